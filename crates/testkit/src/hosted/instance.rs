//! An instance on the users' platform: heartbeats, identity, and ways to fail.
//!
//! A request whose path has [`FATAL_PATH`] in it ends the instance while it runs, as a
//! fault of its program would; it is back, as another one, after [`RESTART_DELAY`].

use super::front::Front;
use crate::upstream::Ledger;
use bytes::Bytes;
use cicadashift_http::body::{self, Body, BodyError};
use cicadashift_http::client::Pool;
use cicadashift_http::exec;
use cicadashift_http::hyper::body::Frame;
use cicadashift_http::hyper::{Method, Request, Response, StatusCode};
use cicadashift_http::server::{self, Limits, Stop};
use http_body_util::{BodyExt, StreamBody};
use serde_json::json;
use smol::Async;
use smol::stream::StreamExt;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time between two heartbeats.
const HEARTBEAT_EVERY: Duration = Duration::from_millis(200);
const CONTROL_TIME: Duration = Duration::from_secs(2);
const MOST: usize = 64 << 20;
/// Size of the answers under paths that end in `/large`.
pub const LARGE_BYTES: usize = 240_000;

/// Part of the paths of requests that end the instance which runs them.
pub const FATAL_PATH: &str = "guilty";
/// How long an instance is away after such a request.
pub const RESTART_DELAY: Duration = Duration::from_millis(400);

/// A run of a request that ends instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FatalRun {
    /// What was asked for.
    pub path: String,
    /// Under which id.
    pub id: String,
    /// When it reached the instance.
    pub at: Instant,
}

/// Who sent a request, as the instance that ran it was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestOrigin {
    /// The request.
    pub id: String,
    /// The organisation; empty where none was named.
    pub organisation: String,
    /// Whether it carried credentials of the caller.
    pub has_credentials: bool,
}

/// A request that reached an instance, whether or not it ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The request.
    pub id: String,
    /// The instance's name at that time.
    pub instance: String,
    /// When it came.
    pub at: Instant,
}

/// How an instance answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnswerMode {
    /// Whole and in order.
    #[default]
    Normal,
    /// Runs the request and never answers.
    Silent,
    /// With another request's id.
    WrongId,
    /// That it failed.
    Failing,
    /// That it did not run the request.
    Shedding,
    /// Begins an answer and closes the connection, and goes on serving.
    Truncating,
}

struct Shared {
    id: Mutex<String>,
    manner: Mutex<AnswerMode>,
    work: Mutex<Duration>,
    slots: Mutex<u16>,
    version: Mutex<String>,
    draining: Mutex<bool>,
    /// What its answers name as its limit, as text.
    limit: Mutex<Option<String>>,
    /// Whether its answers say that it leaves.
    leaving: Mutex<bool>,
    /// When requests that name this instance reached it.
    arrivals: Mutex<Vec<Arrival>>,
    beats: Mutex<bool>,
    sequence: AtomicU64,
    /// When it started, in Unix milliseconds of its own clock.
    born: AtomicU64,
    ledger: Ledger,
    seen: Mutex<Vec<(String, String)>>,
    senders: Mutex<Vec<RequestOrigin>>,
    abandoned: Mutex<Vec<String>>,
    front: Front,
    fatal: Mutex<Vec<FatalRun>>,
    /// How often it ended.
    ends: AtomicU64,
}

/// A running instance.
pub struct Instance {
    /// Where it serves.
    pub addr: SocketAddr,
    service: String,
    control: SocketAddr,
    shared: Arc<Shared>,
    pool: Pool,
    _stop: Stop,
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
        let front = Front::start(server);
        let addr = front.addr;
        let shared = Arc::new(Shared {
            id: Mutex::new(id.to_string()),
            manner: Mutex::default(),
            work: Mutex::new(Duration::from_millis(2)),
            slots: Mutex::new(9),
            version: Mutex::new("v1".to_string()),
            draining: Mutex::new(false),
            limit: Mutex::default(),
            leaving: Mutex::default(),
            arrivals: Mutex::default(),
            beats: Mutex::new(true),
            sequence: AtomicU64::new(0),
            born: AtomicU64::new(1),
            ledger,
            seen: Mutex::default(),
            senders: Mutex::default(),
            abandoned: Mutex::default(),
            front,
            fatal: Mutex::default(),
            ends: AtomicU64::new(0),
        });
        let (stop, stopped) = server::stop_pair();
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
        let beating = Arc::downgrade(&instance);
        exec::spawn(async move {
            while let Some(instance) = beating.upgrade() {
                let beats = *lock(&instance.shared.beats);
                if beats {
                    let _daemon_may_be_down = instance.send_heartbeat().await;
                }
                drop(instance);
                smol::Timer::after(HEARTBEAT_EVERY).await;
            }
        })
        .detach();
        instance
    }

    /// Changes how it answers.
    pub fn set_answer_mode(&self, manner: AnswerMode) {
        *lock(&self.shared.manner) = manner;
    }

    /// Changes how long a request takes.
    pub fn set_service_time(&self, work: Duration) {
        *lock(&self.shared.work) = work;
    }

    /// Changes how many requests it says that it runs at once.
    pub fn set_slots(&self, slots: u16) {
        *lock(&self.shared.slots) = slots;
    }

    /// Changes which version of its software it says that it is.
    pub fn set_version(&self, version: &str) {
        *lock(&self.shared.version) = version.to_string();
    }

    /// Names a limit in all answers, in requests a second, or none any more.
    pub fn name_limit(&self, per_s: Option<&str>) {
        *lock(&self.shared.limit) = per_s.map(str::to_string);
    }

    /// Says in all answers that it leaves, without a heartbeat that does.
    pub fn signal_leaving(&self) {
        *lock(&self.shared.leaving) = true;
    }

    /// Returns the requests that reached it.
    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.shared.arrivals).clone()
    }

    /// Stops or resumes heartbeats.
    pub fn set_heartbeats(&self, beats: bool) {
        *lock(&self.shared.beats) = beats;
    }

    /// Becomes another instance at the same address, without a word.
    pub fn replace_id(&self, id: &str) {
        *lock(&self.shared.id) = id.to_string();
    }

    /// Starts again under its id at a moment of its own clock: it knows nothing of before
    /// and counts its heartbeats anew. Returns whether the first was acknowledged.
    pub async fn restart_at(&self, born: u64) -> bool {
        self.shared.born.store(born, Ordering::Relaxed);
        self.shared.sequence.store(0, Ordering::Relaxed);
        *lock(&self.shared.draining) = false;
        *lock(&self.shared.leaving) = false;
        *lock(&self.shared.limit) = None;
        *lock(&self.shared.beats) = true;
        self.send_heartbeat().await
    }

    /// Reports that it is leaving; returns whether that was acknowledged.
    pub async fn drain(&self) -> bool {
        *lock(&self.shared.draining) = true;
        self.send_heartbeat().await
    }

    /// Says that it is gone, and goes on serving.
    pub async fn leave(&self) -> bool {
        *lock(&self.shared.beats) = false;
        let id = lock(&self.shared.id).clone();
        self.tell(Method::DELETE, &id, String::new()).await
    }

    /// Sends one heartbeat; returns whether it was acknowledged.
    pub async fn send_heartbeat(&self) -> bool {
        let id = lock(&self.shared.id).clone();
        let sequence = self.shared.sequence.fetch_add(1, Ordering::Relaxed);
        let draining = *lock(&self.shared.draining);
        self.send_heartbeat_as(&id, sequence, draining).await
    }

    /// Sends a heartbeat with any content, such as one that was held up.
    pub async fn send_heartbeat_as(&self, id: &str, sequence: u64, draining: bool) -> bool {
        let born = self.shared.born.load(Ordering::Relaxed);
        self.send_heartbeat_of_incarnation(id, born, sequence, draining).await
    }

    /// Sends a heartbeat of any start.
    pub async fn send_heartbeat_of_incarnation(
        &self,
        id: &str,
        born: u64,
        sequence: u64,
        draining: bool,
    ) -> bool {
        let slots = *lock(&self.shared.slots);
        let version = lock(&self.shared.version).clone();
        let state = if draining { "draining" } else { "ready" };
        let mut beat = json!({
            "Address": self.addr,
            "Info": {"Service": self.service, "Version": version, "Zone": "a", "Slots": slots},
            "Status": {"State": state, "Seq": sequence, "ColdMs": 0},
        });
        if born != 0 {
            beat["born"] = json!(born);
        }
        self.tell(Method::PUT, id, beat.to_string()).await
    }

    /// Returns the requests whose connection closed while it was at work.
    pub fn abandoned(&self) -> Vec<String> {
        lock(&self.shared.abandoned).clone()
    }

    /// Returns the runs of requests that end instances, here.
    pub fn fatal_runs(&self) -> Vec<FatalRun> {
        lock(&self.shared.fatal).clone()
    }

    /// Ends without a word, and is back as another instance after [`RESTART_DELAY`].
    pub fn crash(&self) {
        self.shared.end();
    }

    /// Returns the callers' services and deadlines that it saw.
    pub fn caller_headers(&self) -> Vec<(String, String)> {
        lock(&self.shared.seen).clone()
    }

    /// Returns who sent the requests that it ran.
    pub fn request_origins(&self) -> Vec<RequestOrigin> {
        lock(&self.shared.senders).clone()
    }

    async fn tell(&self, method: Method, id: &str, body: String) -> bool {
        let req = Request::builder()
            .method(method)
            .uri(format!("/cicadashift/instances/{id}"))
            .header("host", "control")
            .body(body::full(body));
        let Ok(req) = req else { return false };
        let result = self.pool.exchange(self.control, req, 4096, CONTROL_TIME).await;
        result.is_ok_and(|res| res.status() == StatusCode::OK)
    }
}

impl Shared {
    /// Ends like a process: no further heartbeat, its port and connections closed.
    fn end(self: &Arc<Self>) {
        if !std::mem::replace(&mut *lock(&self.beats), false) {
            return;
        }
        self.front.end();
        let ends = self.ends.fetch_add(1, Ordering::Relaxed) + 1;
        let shared = self.clone();
        exec::spawn(async move {
            smol::Timer::after(RESTART_DELAY).await;
            let id = lock(&shared.id).split('.').next().unwrap_or_default().to_string();
            *lock(&shared.id) = format!("{id}.{ends}");
            shared.sequence.store(0, Ordering::Relaxed);
            shared.front.listen_again();
            *lock(&shared.beats) = true;
        })
        .detach();
    }
}

/// A run in progress; dropped before its end when its connection closes.
struct Run {
    shared: Arc<Shared>,
    id: String,
    ended: bool,
}

impl Run {
    fn end(mut self) {
        self.ended = true;
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if !self.ended {
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
    if *lock(&shared.leaving) {
        set(&mut res, "server-leaving", "1");
    }
    res
}

async fn answer(shared: &Arc<Shared>, req: Request<Body>) -> Response<Body> {
    let own = lock(&shared.id).clone();
    if req.uri().path() == "/health" {
        return health(shared, &own);
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
    let manner = *lock(&shared.manner);
    if manner == AnswerMode::Shedding {
        return not_run(StatusCode::SERVICE_UNAVAILABLE, &id, &own);
    }
    lock(&shared.seen).push((text("x-caller-service"), text("x-deadline-ms")));
    lock(&shared.senders).push(RequestOrigin {
        id: id.clone(),
        organisation: text("x-tenant"),
        has_credentials: head.headers.contains_key("authorization"),
    });
    let body = body::read(incoming, MOST).await.unwrap_or_default();
    shared.ledger.record_run(&id);
    let work = *lock(&shared.work);
    if head.uri.path().contains(FATAL_PATH) {
        let path = head.uri.path().to_string();
        lock(&shared.fatal).push(FatalRun { path, id, at: Instant::now() });
        // By itself: a run that has begun ends the instance whether or not its caller
        // stays, and the end drops the connection.
        let ending = shared.clone();
        let ending = async move {
            smol::Timer::after(work).await;
            ending.end();
        };
        exec::spawn(ending).detach();
        return std::future::pending().await;
    }
    let run = Run { shared: shared.clone(), id: id.clone(), ended: false };
    smol::Timer::after(work).await;
    run.end();
    if manner == AnswerMode::Silent {
        return std::future::pending().await;
    }
    if manner == AnswerMode::Truncating {
        return truncated(&id, &own);
    }
    let echoed = if manner == AnswerMode::WrongId { "of-another" } else { id.as_str() };
    let answer = match head.uri.path().ends_with("/large") {
        true => id.repeat(LARGE_BYTES / id.len().max(1)),
        false => format!("{own} {id} {}", body.len()),
    };
    let mut res = Response::new(body::full(answer));
    if manner == AnswerMode::Failing {
        *res.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    }
    set(&mut res, "x-request-id", echoed);
    set(&mut res, "x-server-stamp", &own);
    res
}

/// An answer that breaks off after its first bytes.
fn truncated(id: &str, own: &str) -> Response<Body> {
    let begun = smol::stream::once(Ok(Frame::data(Bytes::from_static(b"begun"))));
    let broken = smol::stream::once(Err(BodyError::Broken("on purpose".to_string())));
    let mut res = Response::new(StreamBody::new(begun.chain(broken)).boxed_unsync());
    set(&mut res, "x-request-id", id);
    set(&mut res, "x-server-stamp", own);
    res
}

fn health(shared: &Shared, own: &str) -> Response<Body> {
    let mut res = Response::new(body::empty());
    if *lock(&shared.draining) {
        *res.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    set(&mut res, "x-instance-id", own);
    // The last figure is how long work takes there now, in hundredths of the usual time.
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
