//! A simulated instance on the users' platform, with heartbeats, an instance id and
//! injected faults.
//!
//! A request whose path contains [`FATAL_PATH`] crashes the instance during the execution of
//! the request. The instance restarts under another id after [`RESTART_DELAY`].

use super::front::{HeadFault, Relay};
use crate::upstream::Ledger;
use bytes::Bytes;
use cicadashift_http::body::{self, Body, BodyError};
use cicadashift_http::client::Pool;
use cicadashift_http::exec;
use cicadashift_http::hyper::body::Frame;
use cicadashift_http::hyper::{Method, Request, Response, StatusCode};
use cicadashift_http::reactor::Async;
use cicadashift_http::server::{self, Limits, StopHandle};
use http_body_util::{BodyExt, StreamBody};
use serde_json::json;
use smol::stream::StreamExt;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_BODY_BYTES: usize = 64 << 20;
/// Approximate size of the answers to requests whose path ends in `/large`.
pub const LARGE_BYTES: usize = 240_000;
/// Size of the answers to requests whose path ends in `/huge`, which are sent piece by piece.
pub const HUGE_BYTES: usize = HUGE_PIECES * HUGE_PIECE_BYTES;
const HUGE_PIECES: usize = 30;
const HUGE_PIECE_BYTES: usize = 20_000;

/// A request whose path contains this text crashes the instance that executes it.
pub const FATAL_PATH: &str = "guilty";
/// Time between a crash of an instance and its restart.
pub const RESTART_DELAY: Duration = Duration::from_millis(400);

/// An execution of a request that crashes the instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FatalRun {
    /// Path of the request.
    pub path: String,
    /// Request id.
    pub id: String,
    /// When the execution began on the instance.
    pub at: Instant,
}

/// The origin of an executed request, as its headers name it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestOrigin {
    /// Request id.
    pub id: String,
    /// The organisation; empty if the request names none.
    pub organisation: String,
    /// Whether the request carried the caller's credentials.
    pub has_credentials: bool,
}

/// A request that reached an instance, executed or not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Request id.
    pub id: String,
    /// Id of the instance at that time.
    pub instance: String,
    /// When the request arrived.
    pub at: Instant,
}

/// How an instance answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnswerMode {
    /// Complete and correct answers.
    #[default]
    Normal,
    /// Executes the request and never answers.
    Silent,
    /// Answers with the id of another request.
    WrongId,
    /// Executes the request and answers 500.
    Failing,
    /// Answers 503 without executing the request, and says so in a header.
    Shedding,
    /// Closes the connection after the first bytes of the answer, and goes on serving.
    Truncating,
}

/// What goes wrong in the middle of huge answers. Other answers are complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HugeFault {
    /// The connection is closed.
    Breaking,
    /// Nothing more is sent.
    Stalling,
}

/// Calls that an instance makes at the end of each execution. If one of them gets no
/// successful answer, the execution fails.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NestedCalls {
    /// Where the calls enter: the caller address of the daemon on the same host.
    pub to: SocketAddr,
    /// Value of their `host` header.
    pub host: &'static str,
    /// Path of the calls.
    pub path: &'static str,
    /// Number of calls, all made at the same time.
    pub times: usize,
}

struct Shared {
    id: Mutex<String>,
    nested_calls: Mutex<Option<NestedCalls>>,
    nested_pool: Pool,
    /// The load report in the answers.
    load_report: Mutex<Option<&'static str>>,
    answer_mode: Mutex<AnswerMode>,
    service_time: Mutex<Duration>,
    huge_fault: Mutex<Option<HugeFault>>,
    /// Time between two pieces of a huge answer.
    piece_interval: Mutex<Duration>,
    slots: Mutex<u16>,
    version: Mutex<String>,
    draining: Mutex<bool>,
    /// The limit that answers name, as text.
    limit: Mutex<Option<String>>,
    /// Pace of the machine in per cent, which the service time is multiplied by and answers
    /// report; `None` reports no load.
    pace: Mutex<Option<u16>>,
    /// Whether answers carry the leaving signal.
    leaving: Mutex<bool>,
    /// Additional headers of answers, which replace others of the same name.
    headers: Mutex<Vec<(&'static str, String)>>,
    /// The requests that were addressed to this instance.
    arrivals: Mutex<Vec<Arrival>>,
    sends_heartbeats: Mutex<bool>,
    answers_health: Mutex<bool>,
    /// Whether health answers say that the instance takes no calls, whatever its state.
    denies_health: Mutex<bool>,
    sequence: AtomicU64,
    /// Start time, in Unix milliseconds by the clock of the instance.
    start_ms: AtomicU64,
    ledger: Ledger,
    caller_headers: Mutex<Vec<(String, String)>>,
    request_origins: Mutex<Vec<RequestOrigin>>,
    abandoned: Mutex<Vec<String>>,
    relay: Relay,
    fatal_runs: Mutex<Vec<FatalRun>>,
    /// Number of crashes.
    crashes: AtomicU64,
}

/// A running instance.
pub struct Instance {
    /// The listen address.
    pub addr: SocketAddr,
    service: String,
    control: SocketAddr,
    shared: Arc<Shared>,
    pool: Pool,
    _stop: StopHandle,
}

impl Instance {
    /// Starts an instance that sends heartbeats to a daemon.
    ///
    /// # Panics
    ///
    /// Panics if the system refuses a port.
    pub fn start(id: &str, service: &str, control: SocketAddr, ledger: Ledger) -> Arc<Instance> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a free port");
        let server = listener.get_ref().local_addr().expect("a bound socket has an address");
        let relay = Relay::start(server);
        let addr = relay.addr;
        let shared = Arc::new(Shared {
            id: Mutex::new(id.to_string()),
            nested_calls: Mutex::default(),
            nested_pool: Pool::new(8),
            load_report: Mutex::default(),
            answer_mode: Mutex::default(),
            service_time: Mutex::new(Duration::from_millis(2)),
            huge_fault: Mutex::default(),
            piece_interval: Mutex::default(),
            slots: Mutex::new(9),
            version: Mutex::new("v1".to_string()),
            draining: Mutex::new(false),
            limit: Mutex::default(),
            pace: Mutex::default(),
            leaving: Mutex::default(),
            headers: Mutex::default(),
            arrivals: Mutex::default(),
            sends_heartbeats: Mutex::new(true),
            answers_health: Mutex::new(true),
            denies_health: Mutex::new(false),
            sequence: AtomicU64::new(0),
            start_ms: AtomicU64::new(1),
            ledger,
            caller_headers: Mutex::default(),
            request_origins: Mutex::default(),
            abandoned: Mutex::default(),
            relay,
            fatal_runs: Mutex::default(),
            crashes: AtomicU64::new(0),
        });
        let (stop, stopped) = server::stop_channel();
        let serving = shared.clone();
        exec::spawn(server::serve(listener, Limits::default(), stopped, move |_, req| {
            handle(serving.clone(), req)
        }))
        .detach();
        let instance = Arc::new(Instance {
            addr,
            service: service.to_string(),
            control,
            shared,
            pool: Pool::new(1),
            _stop: stop,
        });
        let weak_instance = Arc::downgrade(&instance);
        exec::spawn(async move {
            while let Some(instance) = weak_instance.upgrade() {
                let sends_heartbeats = *lock(&instance.shared.sends_heartbeats);
                if sends_heartbeats {
                    let _daemon_may_be_down = instance.send_heartbeat().await;
                }
                drop(instance);
                smol::Timer::after(HEARTBEAT_INTERVAL).await;
            }
        })
        .detach();
        instance
    }

    /// Changes how requests are answered.
    pub fn set_answer_mode(&self, answer_mode: AnswerMode) {
        *lock(&self.shared.answer_mode) = answer_mode;
    }

    /// Changes the service time of a request.
    pub fn set_service_time(&self, service_time: Duration) {
        *lock(&self.shared.service_time) = service_time;
    }

    /// Changes what goes wrong in huge answers.
    pub fn set_huge_fault(&self, huge_fault: Option<HugeFault>) {
        *lock(&self.shared.huge_fault) = huge_fault;
    }

    /// Changes the time that a huge answer takes to be sent.
    pub fn set_huge_answer_time(&self, time: Duration) {
        *lock(&self.shared.piece_interval) = time / HUGE_PIECES as u32;
    }

    /// Changes the pace of the machine, in per cent: requests take as much longer, and answers
    /// report it. `None` reports no load.
    pub fn set_pace(&self, per_cent: Option<u16>) {
        *lock(&self.shared.pace) = per_cent;
    }

    /// Makes these calls at the end of each further execution.
    pub fn make_nested_calls(&self, nested_calls: NestedCalls) {
        *lock(&self.shared.nested_calls) = Some(nested_calls);
    }

    /// Sends a load report with all further answers.
    pub fn report_load(&self, load_report: &'static str) {
        *lock(&self.shared.load_report) = Some(load_report);
    }

    /// Changes the reported number of slots.
    pub fn set_slots(&self, slots: u16) {
        *lock(&self.shared.slots) = slots;
    }

    /// Changes the reported software version.
    pub fn set_version(&self, version: &str) {
        *lock(&self.shared.version) = version.to_string();
    }

    /// Names a limit in requests per second in all further answers; `None` names no limit.
    pub fn name_limit(&self, per_s: Option<&str>) {
        *lock(&self.shared.limit) = per_s.map(str::to_string);
    }

    /// Sends the leaving signal in all further answers, but not in heartbeats.
    pub fn signal_leaving(&self) {
        *lock(&self.shared.leaving) = true;
    }

    /// Adds headers to all further answers.
    pub fn state_headers(&self, headers: Vec<(&'static str, String)>) {
        *lock(&self.shared.headers) = headers;
    }

    /// Returns the requests that reached the instance.
    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.shared.arrivals).clone()
    }

    /// Stops or resumes heartbeats.
    pub fn set_heartbeats(&self, sends_heartbeats: bool) {
        *lock(&self.shared.sends_heartbeats) = sends_heartbeats;
    }

    /// Lets health requests go unanswered, or answers them again.
    pub fn set_health_answers(&self, answers_health: bool) {
        *lock(&self.shared.answers_health) = answers_health;
    }

    /// Lets something happen to the head of each answer, or nothing from now on.
    pub fn set_head_fault(&self, fault: Option<HeadFault>) {
        self.shared.relay.set_head_fault(fault);
    }

    /// Returns the number of answers whose heads were cut or broken.
    pub fn faulty_heads(&self) -> usize {
        self.shared.relay.faulty_heads()
    }

    /// Makes health answers say that the instance takes no calls, or what it does.
    pub fn deny_health(&self, denies_health: bool) {
        *lock(&self.shared.denies_health) = denies_health;
    }

    /// Returns the id.
    pub fn id(&self) -> String {
        lock(&self.shared.id).clone()
    }

    /// Replaces the instance by another one at the same address, without a report to the
    /// daemon.
    pub fn replace_id(&self, id: &str) {
        *lock(&self.shared.id) = id.to_string();
    }

    /// Restarts under the same id with the start time `start_ms`, by the clock of the instance.
    /// Draining, limit and leaving signal are reset and heartbeats are counted from 0 again.
    /// Returns whether the first heartbeat is acknowledged.
    pub async fn restart_at(&self, start_ms: u64) -> bool {
        self.shared.start_ms.store(start_ms, Ordering::Relaxed);
        self.shared.sequence.store(0, Ordering::Relaxed);
        *lock(&self.shared.draining) = false;
        *lock(&self.shared.leaving) = false;
        *lock(&self.shared.limit) = None;
        *lock(&self.shared.sends_heartbeats) = true;
        self.send_heartbeat().await
    }

    /// Reports `draining` in a heartbeat. Returns whether the heartbeat is acknowledged.
    pub async fn drain(&self) -> bool {
        *lock(&self.shared.draining) = true;
        self.send_heartbeat().await
    }

    /// Withdraws the instance from the daemon and stops heartbeats, but goes on serving.
    /// Returns whether the withdrawal is acknowledged.
    pub async fn leave(&self) -> bool {
        *lock(&self.shared.sends_heartbeats) = false;
        let id = lock(&self.shared.id).clone();
        self.send_report(Method::DELETE, &id, String::new()).await
    }

    /// Sends one heartbeat. Returns whether it is acknowledged.
    pub async fn send_heartbeat(&self) -> bool {
        let id = lock(&self.shared.id).clone();
        let sequence = self.shared.sequence.fetch_add(1, Ordering::Relaxed);
        let draining = *lock(&self.shared.draining);
        self.send_heartbeat_as(&id, sequence, draining).await
    }

    /// Sends a heartbeat with the given content, such as one that arrives late.
    pub async fn send_heartbeat_as(&self, id: &str, sequence: u64, draining: bool) -> bool {
        let start_ms = self.shared.start_ms.load(Ordering::Relaxed);
        self.send_heartbeat_of_incarnation(id, start_ms, sequence, draining).await
    }

    /// Sends a heartbeat with the given content and start time; 0 leaves the start time out.
    pub async fn send_heartbeat_of_incarnation(
        &self,
        id: &str,
        start_ms: u64,
        sequence: u64,
        draining: bool,
    ) -> bool {
        let slots = *lock(&self.shared.slots);
        let version = lock(&self.shared.version).clone();
        let state = if draining { "draining" } else { "ready" };
        let mut heartbeat = json!({
            "Address": self.addr,
            "Info": {"Service": self.service, "Version": version, "Zone": "a", "Slots": slots},
            "Status": {"State": state, "Seq": sequence, "ColdMs": 0},
        });
        if start_ms != 0 {
            heartbeat["born"] = json!(start_ms);
        }
        self.send_report(Method::PUT, id, heartbeat.to_string()).await
    }

    /// Sends a heartbeat with this number in place of its `born`, `Slots`, `Seq` and `ColdMs`, as
    /// JSON text that need not be a number. Returns whether it is acknowledged.
    pub async fn send_heartbeat_with_number(&self, id: &str, number: &str) -> bool {
        let heartbeat = format!(
            "{{\"Address\":\"{}\",\"born\":{number},\"Info\":{{\"Service\":\"{}\",\"Slots\":{number}}},\
             \"Status\":{{\"State\":\"ready\",\"Seq\":{number},\"ColdMs\":{number}}}}}",
            self.addr, self.service
        );
        self.send_report(Method::PUT, id, heartbeat).await
    }

    /// Returns the ids of the requests whose connection closed during their execution or in a
    /// huge answer.
    pub fn abandoned(&self) -> Vec<String> {
        lock(&self.shared.abandoned).clone()
    }

    /// Returns the executions of requests that crash the instance.
    pub fn fatal_runs(&self) -> Vec<FatalRun> {
        lock(&self.shared.fatal_runs).clone()
    }

    /// Crashes the instance, which restarts under another id after [`RESTART_DELAY`].
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Returns whether the port is closed, as after a crash.
    pub async fn refuses_connections(&self) -> bool {
        Async::<TcpStream>::connect(self.addr).await.is_err()
    }

    /// Returns the caller's service and the deadline of each executed request.
    pub fn caller_headers(&self) -> Vec<(String, String)> {
        lock(&self.shared.caller_headers).clone()
    }

    /// Returns the origins of the executed requests.
    pub fn request_origins(&self) -> Vec<RequestOrigin> {
        lock(&self.shared.request_origins).clone()
    }

    async fn send_report(&self, method: Method, id: &str, body: String) -> bool {
        let req = Request::builder()
            .method(method)
            .uri(format!("/cicadashift/instances/{id}"))
            .header("host", "control")
            .body(body::full(body));
        let Ok(req) = req else { return false };
        let result = self.pool.exchange(self.control, req, 4096, CONTROL_TIMEOUT).await;
        result.is_ok_and(|res| res.status() == StatusCode::OK)
    }
}

impl Shared {
    /// Simulates the end of the process: stops heartbeats, and closes the port and then all
    /// connections.
    fn crash(self: &Arc<Self>) {
        if !std::mem::replace(&mut *lock(&self.sends_heartbeats), false) {
            return;
        }
        let crashes = self.crashes.fetch_add(1, Ordering::Relaxed) + 1;
        let shared = self.clone();
        exec::spawn(async move {
            shared.relay.close().await;
            smol::Timer::after(RESTART_DELAY).await;
            let id = lock(&shared.id).split('.').next().unwrap_or_default().to_string();
            *lock(&shared.id) = format!("{id}.{crashes}");
            shared.sequence.store(0, Ordering::Relaxed);
            shared.relay.listen_again();
            *lock(&shared.sends_heartbeats) = true;
        })
        .detach();
    }
}

/// An execution in progress. It is dropped before [`Execution::complete`] if its connection
/// closes.
struct Execution {
    shared: Arc<Shared>,
    id: String,
    completed: bool,
}

impl Execution {
    fn complete(mut self) {
        self.completed = true;
    }
}

impl Drop for Execution {
    fn drop(&mut self) {
        if !self.completed {
            lock(&self.shared.abandoned).push(self.id.clone());
        }
    }
}

async fn handle(shared: Arc<Shared>, req: Request<Body>) -> Response<Body> {
    let mut res = answer(&shared, req).await;
    let limit = lock(&shared.limit).clone();
    if let Some(limit) = limit {
        set(&mut res, "server-limit", &limit);
    }
    let pace = *lock(&shared.pace);
    if let Some(per_cent) = pace {
        let slots = *lock(&shared.slots);
        set(&mut res, "x-server-load", &format!("0,0,{slots},{per_cent}"));
    }
    if *lock(&shared.leaving) {
        set(&mut res, "server-leaving", "1");
    }
    for (name, value) in lock(&shared.headers).iter() {
        set(&mut res, name, value);
    }
    let load_report = *lock(&shared.load_report);
    if let Some(load_report) = load_report {
        set(&mut res, "x-server-load", load_report);
    }
    res
}

async fn answer(shared: &Arc<Shared>, req: Request<Body>) -> Response<Body> {
    let own = lock(&shared.id).clone();
    if req.uri().path() == "/health" {
        let answers_health = *lock(&shared.answers_health);
        return match answers_health {
            true => health(shared, &own),
            false => std::future::pending().await,
        };
    }
    let (head, incoming) = req.into_parts();
    let text = |name: &str| {
        head.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_string()
    };
    let id = text("x-request-id");
    if text("x-expect-instance") != own {
        return not_run(StatusCode::MISDIRECTED_REQUEST, &id, &own);
    }
    lock(&shared.arrivals).push(Arrival {
        id: id.clone(),
        instance: own.clone(),
        at: Instant::now(),
    });
    let answer_mode = *lock(&shared.answer_mode);
    if answer_mode == AnswerMode::Shedding {
        return not_run(StatusCode::SERVICE_UNAVAILABLE, &id, &own);
    }
    lock(&shared.caller_headers).push((text("x-caller-service"), text("x-deadline-ms")));
    lock(&shared.request_origins).push(RequestOrigin {
        id: id.clone(),
        organisation: text("x-tenant"),
        has_credentials: head.headers.contains_key("authorization"),
    });
    let body = body::read(incoming, MAX_BODY_BYTES).await.unwrap_or_default();
    shared.ledger.record_run(&id);
    let pace = *lock(&shared.pace);
    let service_time = *lock(&shared.service_time) * u32::from(pace.unwrap_or(100)) / 100;
    if head.uri.path().contains(FATAL_PATH) {
        let path = head.uri.path().to_string();
        lock(&shared.fatal_runs).push(FatalRun { path, id, at: Instant::now() });
        // In a task of its own: once begun, the execution crashes the instance even if the
        // caller disconnects. The crash also drops the connection of the request.
        let crashing = shared.clone();
        let crash = async move {
            smol::Timer::after(service_time).await;
            crashing.crash();
        };
        exec::spawn(crash).detach();
        return std::future::pending().await;
    }
    let execution = Execution { shared: shared.clone(), id: id.clone(), completed: false };
    smol::Timer::after(service_time).await;
    let nested_calls = lock(&shared.nested_calls).clone();
    let has_nested_answers = match nested_calls {
        Some(nested_calls) => make_nested_calls(shared, &nested_calls, &id).await,
        None => true,
    };
    if head.uri.path().ends_with("/huge") {
        let (interval, fault) = (*lock(&shared.piece_interval), *lock(&shared.huge_fault));
        let mut res = Response::new(huge(execution, fault, interval));
        set(&mut res, "x-request-id", &id);
        set(&mut res, "x-server-stamp", &own);
        return res;
    }
    execution.complete();
    if answer_mode == AnswerMode::Silent {
        return std::future::pending().await;
    }
    if answer_mode == AnswerMode::Truncating {
        return truncated(&id, &own);
    }
    let echoed = if answer_mode == AnswerMode::WrongId { "of-another" } else { id.as_str() };
    let answer = match head.uri.path().ends_with("/large") {
        true => id.repeat(LARGE_BYTES / id.len().max(1)),
        false => format!("{own} {id} {}", body.len()),
    };
    let mut res = Response::new(body::full(answer));
    if answer_mode == AnswerMode::Failing || !has_nested_answers {
        *res.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    }
    set(&mut res, "x-request-id", echoed);
    set(&mut res, "x-server-stamp", &own);
    res
}

/// Makes nested calls; returns whether all of them are answered with success.
async fn make_nested_calls(shared: &Arc<Shared>, nested_calls: &NestedCalls, id: &str) -> bool {
    let tasks: Vec<_> = (0..nested_calls.times)
        .map(|n| {
            let (shared, nested_calls) = (shared.clone(), nested_calls.clone());
            let id = format!("{id}.{n}");
            exec::spawn(async move { make_nested_call(&shared, &nested_calls, &id).await })
        })
        .collect();
    let mut all_succeeded = true;
    for task in tasks {
        all_succeeded &= task.await;
    }
    all_succeeded
}

async fn make_nested_call(shared: &Shared, nested_calls: &NestedCalls, id: &str) -> bool {
    let req = Request::get(nested_calls.path)
        .header("host", nested_calls.host)
        .header("x-request-id", id)
        .header("x-deadline-ms", "1000")
        .body(body::empty());
    let Ok(req) = req else { return false };
    let res = shared.nested_pool.exchange(nested_calls.to, req, 4096, CONTROL_TIMEOUT).await;
    res.is_ok_and(|res| res.status().is_success())
}

/// Returns the body of a huge answer, with a fault in its middle if there is one.
fn huge(execution: Execution, fault: Option<HugeFault>, interval: Duration) -> Body {
    let pieces = smol::stream::unfold((execution, 0), move |(execution, sent)| async move {
        if sent == HUGE_PIECES {
            execution.complete();
            return None;
        }
        smol::Timer::after(interval).await;
        let piece = match fault.filter(|_| sent == HUGE_PIECES / 2) {
            Some(HugeFault::Stalling) => std::future::pending().await,
            Some(HugeFault::Breaking) => Err(BodyError::Broken("on purpose".to_string())),
            None => Ok(Frame::data(Bytes::from(vec![b'x'; HUGE_PIECE_BYTES]))),
        };
        Some((piece, (execution, sent + 1)))
    });
    StreamBody::new(pieces).boxed_unsync()
}

/// Returns an answer whose body fails after its first bytes.
fn truncated(id: &str, own: &str) -> Response<Body> {
    let first_bytes = smol::stream::once(Ok(Frame::data(Bytes::from_static(b"begun"))));
    let broken = smol::stream::once(Err(BodyError::Broken("on purpose".to_string())));
    let mut res = Response::new(StreamBody::new(first_bytes.chain(broken)).boxed_unsync());
    set(&mut res, "x-request-id", id);
    set(&mut res, "x-server-stamp", own);
    res
}

fn health(shared: &Shared, own: &str) -> Response<Body> {
    let mut res = Response::new(body::empty());
    if *lock(&shared.draining) || *lock(&shared.denies_health) {
        *res.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    set(&mut res, "x-instance-id", own);
    // The last number is the current service time in hundredths of the usual service time.
    let slots = *lock(&shared.slots);
    set(&mut res, "x-server-load", &format!("0,0,{slots},140"));
    res
}

fn not_run(status: StatusCode, id: &str, own: &str) -> Response<Body> {
    let mut res = Response::new(body::empty());
    *res.status_mut() = status;
    set(&mut res, "x-not-executed", "1");
    set(&mut res, "x-request-id", id);
    set(&mut res, "x-instance-id", own);
    res
}

fn set(res: &mut Response<Body>, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        res.headers_mut().insert(name, value);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
