//! A simulated upstream with slots, cold start, load shedding, drain and cancellation,
//! which counts every execution.

use bytes::Bytes;
use cicadashift_http::body::{self, Body};
use cicadashift_http::client::{Pool, SendError};
use cicadashift_http::exec;
use cicadashift_http::hyper::{Method, Request, Response, StatusCode};
use cicadashift_http::reactor::Async;
use cicadashift_http::server::{self, Limits, StopHandle};
use serde_json::json;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Time between two reports to the daemon.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// How an upstream behaves.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Instance name, unique in the service.
    pub instance: String,
    /// Name of the service.
    pub service: String,
    /// Number of calls that run concurrently; further calls are shed as not run.
    pub slots: u16,
    /// Number of connections that it announces.
    pub connections: u16,
    /// Service time of a call.
    pub service_time: Duration,
    /// Duration of the cold start, and the factor on the service time during it.
    pub cold: Option<(Duration, f64)>,
    /// Whether reports always claim that the upstream is ready with no call in flight.
    pub claims_idle: bool,
}

impl Behaviour {
    /// Returns the behaviour of a default instance, with the slots and connections that the
    /// requirements name.
    pub fn plain(service: &str, instance: &str) -> Behaviour {
        Behaviour {
            instance: instance.to_string(),
            service: service.to_string(),
            slots: 10,
            connections: 110,
            service_time: Duration::from_millis(2),
            cold: None,
            claims_idle: false,
        }
    }
}

/// Number of executions by request id, shared by all instances of a test or measurement.
#[derive(Clone, Default)]
pub struct Ledger {
    runs: Arc<Mutex<HashMap<String, u32>>>,
}

impl Ledger {
    /// Records an execution of a request.
    pub fn record_run(&self, id: &str) {
        *lock(&self.runs).entry(id.to_string()).or_default() += 1;
    }

    /// Returns the number of executions of a request.
    pub fn count(&self, id: &str) -> u32 {
        lock(&self.runs).get(id).copied().unwrap_or(0)
    }

    /// Returns the number of requests that were executed more than once.
    pub fn duplicates(&self) -> usize {
        lock(&self.runs).values().filter(|count| **count > 1).count()
    }

    /// Returns the number of requests that were executed.
    pub fn len(&self) -> usize {
        lock(&self.runs).len()
    }

    /// Returns whether no request was executed.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

struct Shared {
    behaviour: Mutex<Behaviour>,
    ledger: Ledger,
    started: Instant,
    running: AtomicU32,
    max_running: AtomicU32,
    executions: AtomicU64,
    cancelled: AtomicU64,
    draining: AtomicBool,
    frozen: AtomicBool,
    last_start: Mutex<Option<Instant>>,
}

/// A running upstream.
pub struct Upstream {
    /// The listen address.
    pub addr: SocketAddr,
    shared: Arc<Shared>,
    daemon: SocketAddr,
    pool: Pool,
    stop: Mutex<Option<StopHandle>>,
}

impl Upstream {
    /// Starts an instance on a free port, without announcing it to its daemon.
    ///
    /// # Panics
    ///
    /// Panics if the system refuses a port.
    pub fn start(behaviour: Behaviour, daemon: SocketAddr, ledger: Ledger) -> Arc<Upstream> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a free port");
        let addr = listener.get_ref().local_addr().expect("a bound socket has an address");
        let shared = Arc::new(Shared {
            behaviour: Mutex::new(behaviour),
            ledger,
            started: Instant::now(),
            running: AtomicU32::new(0),
            max_running: AtomicU32::new(0),
            executions: AtomicU64::new(0),
            cancelled: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            frozen: AtomicBool::new(false),
            last_start: Mutex::new(None),
        });
        let (stop, stopped) = server::stop_channel();
        let serving = shared.clone();
        exec::spawn(server::serve(listener, Limits::default(), stopped, move |_, req| {
            handle(serving.clone(), req)
        }))
        .detach();
        let upstream =
            Upstream { addr, shared, daemon, pool: Pool::new(1), stop: Mutex::new(Some(stop)) };
        let upstream = Arc::new(upstream);
        exec::spawn(report_periodically(Arc::downgrade(&upstream))).detach();
        upstream
    }

    /// Announces the instance to its daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon cannot be reached or does not accept the request.
    pub async fn announce(&self) -> Result<(), SendError> {
        let readiness = self.readiness();
        let (uri, body) = {
            let behaviour = lock(&self.shared.behaviour);
            let body = json!({
                "instance": behaviour.instance,
                "service": behaviour.service,
                "address": self.addr.to_string(),
                "slots": behaviour.slots,
                "connections": behaviour.connections,
                "readiness": readiness,
            });
            ("/v1/upstreams".to_string(), body)
        };
        self.send_to_daemon(Method::POST, &uri, &body).await
    }

    /// Reports to the daemon that the instance is draining. Running calls are completed.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon cannot be reached or does not accept the request.
    pub async fn drain(&self) -> Result<(), SendError> {
        self.shared.draining.store(true, Ordering::SeqCst);
        self.report().await
    }

    /// Withdraws the instance from the daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon cannot be reached or does not accept the request.
    pub async fn leave(&self) -> Result<(), SendError> {
        let uri = format!("/v1/upstreams/{}", lock(&self.shared.behaviour).instance);
        self.send_to_daemon(Method::DELETE, &uri, &json!({})).await
    }

    /// Stops listening without a report to the daemon.
    pub fn kill(&self) {
        lock(&self.stop).take();
    }

    /// Stops or resumes answering. A frozen instance keeps its calls in flight.
    pub fn freeze(&self, frozen: bool) {
        self.shared.frozen.store(frozen, Ordering::SeqCst);
    }

    /// Changes the behaviour.
    pub fn change(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut lock(&self.shared.behaviour));
    }

    /// Returns the number of executed calls.
    pub fn executions(&self) -> u64 {
        self.shared.executions.load(Ordering::SeqCst)
    }

    /// Returns the number of calls that were cancelled by the daemon during execution.
    pub fn cancelled(&self) -> u64 {
        self.shared.cancelled.load(Ordering::SeqCst)
    }

    /// Returns the maximum number of calls that ran concurrently.
    pub fn max_running(&self) -> u32 {
        self.shared.max_running.load(Ordering::SeqCst)
    }

    /// Returns the start time of the last call.
    pub fn last_start(&self) -> Option<Instant> {
        *lock(&self.shared.last_start)
    }

    async fn report(&self) -> Result<(), SendError> {
        let claims_idle = lock(&self.shared.behaviour).claims_idle;
        let readiness = if claims_idle { "ready" } else { self.readiness() };
        let in_flight = if claims_idle { 0 } else { self.shared.running.load(Ordering::SeqCst) };
        let uri = format!("/v1/upstreams/{}/report", lock(&self.shared.behaviour).instance);
        let body = json!({"readiness": readiness, "in_flight": in_flight});
        self.send_to_daemon(Method::POST, &uri, &body).await
    }

    fn readiness(&self) -> &'static str {
        if self.shared.draining.load(Ordering::SeqCst) {
            return "draining";
        }
        let cold = lock(&self.shared.behaviour).cold;
        match cold {
            Some((time, _)) if self.shared.started.elapsed() < time => "cold",
            _ => "ready",
        }
    }

    async fn send_to_daemon(
        &self,
        method: Method,
        uri: &str,
        body: &serde_json::Value,
    ) -> Result<(), SendError> {
        let req = Request::builder()
            .method(method)
            .uri(uri)
            .header("host", "daemon")
            .body(body::full(body.to_string()))
            .map_err(|err| SendError::Broken(err.to_string()))?;
        let res = self.pool.exchange(self.daemon, req, 1 << 16, CONTROL_TIMEOUT).await?;
        match res.status().is_success() {
            true => Ok(()),
            false => Err(SendError::Broken(format!("daemon answered {}", res.status()))),
        }
    }
}

async fn report_periodically(upstream: std::sync::Weak<Upstream>) {
    loop {
        smol::Timer::after(REPORT_INTERVAL).await;
        let Some(upstream) = upstream.upgrade() else { return };
        if lock(&upstream.stop).is_none() {
            return;
        }
        if upstream.shared.frozen.load(Ordering::SeqCst) {
            continue;
        }
        if upstream.report().await.is_err() {
            // The daemon has restarted and has no record of this upstream.
            let _retried = upstream.announce().await;
        }
    }
}

/// Guard of a call. Dropping it counts the call as cancelled unless the flag is set.
struct RunningCall(Arc<Shared>, bool);

impl Drop for RunningCall {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
        if !self.1 {
            self.0.cancelled.fetch_add(1, Ordering::SeqCst);
        }
    }
}

async fn handle(shared: Arc<Shared>, req: Request<Body>) -> Response<Body> {
    let behaviour = lock(&shared.behaviour).clone();
    let running = shared.running.fetch_add(1, Ordering::SeqCst) + 1;
    let mut guard = RunningCall(shared.clone(), true);
    if running > u32::from(behaviour.slots) {
        let mut res = Response::new(body::full("shed"));
        *res.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        res.headers_mut()
            .insert("cicadashift-outcome", "not-run".parse().expect("the value is ASCII"));
        return res;
    }
    guard.1 = false;
    shared.max_running.fetch_max(running, Ordering::SeqCst);
    let (head, incoming) = req.into_parts();
    let header = |name: &str| {
        head.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default().to_string()
    };
    let id = header("cicadashift-request-id");
    shared.executions.fetch_add(1, Ordering::SeqCst);
    shared.ledger.record_run(&id);
    *lock(&shared.last_start) = Some(Instant::now());
    let echo = head.uri.path().starts_with("/echo");
    let size: usize = head
        .uri
        .query()
        .and_then(|query| query.strip_prefix("size="))
        .and_then(|size| size.parse().ok())
        .unwrap_or(0);
    let body = body::read(incoming, 64 << 20).await.unwrap_or_default();
    smol::Timer::after(current_service_time(&shared, &behaviour)).await;
    while shared.frozen.load(Ordering::SeqCst) {
        smol::Timer::after(Duration::from_millis(20)).await;
    }
    guard.1 = true;
    let body = match (echo, size) {
        (true, _) => body::full(body),
        (false, 0) => body::full(format!("{} {id}", behaviour.instance)),
        (false, size) => body::full(Bytes::from(vec![b'x'; size])),
    };
    let mut res = Response::new(body);
    let headers = res.headers_mut();
    headers.insert("x-instance", behaviour.instance.parse().expect("instance names are ASCII"));
    if let Ok(id) = id.parse() {
        headers.insert("x-request", id);
    }
    res
}

fn current_service_time(shared: &Shared, behaviour: &Behaviour) -> Duration {
    match behaviour.cold {
        Some((time, factor)) if shared.started.elapsed() < time => {
            behaviour.service_time.mul_f64(factor)
        }
        _ => behaviour.service_time,
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
