//! Accepting connections, within limits, until told to stop.

use crate::body::{self, Body};
use crate::{exec, socket};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use smol::Async;
use smol_hyper::rt::{FuturesIo, SmolTimer};
use std::convert::Infallible;
use std::future::Future;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Wait after a failed accept, which usually means no file descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Longest time between two looks whether a connection is idle, so that a limit
/// that was lowered takes effect.
const IDLE_STEP: Duration = Duration::from_secs(5);

/// Time in which a request that is on its way when a stop begins is still read.
const UNUSED_WAIT: Duration = Duration::from_millis(200);

/// What one listening port takes.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Connections held at once; further ones are closed.
    pub connections: usize,
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Time for a head to arrive.
    pub head_time: Duration,
    /// How long a connection may stay without a request.
    pub idle: Idle,
}

impl Default for Limits {
    fn default() -> Limits {
        let head_time = Duration::from_secs(30);
        Limits { connections: 4096, head_bytes: 32 << 10, head_time, idle: Idle::new(head_time) }
    }
}

/// How long a connection may stay without a request; can be changed while it
/// does.
#[derive(Clone, Debug)]
pub struct Idle {
    ms: Arc<AtomicU64>,
}

impl Idle {
    /// Makes a limit.
    pub fn new(time: Duration) -> Idle {
        Idle { ms: Arc::new(AtomicU64::new(time.as_millis() as u64)) }
    }

    /// Changes the limit, also for connections that are open.
    pub fn set(&self, time: Duration) {
        self.ms.store(time.as_millis() as u64, Ordering::Relaxed);
    }

    fn get(&self) -> Duration {
        Duration::from_millis(self.ms.load(Ordering::Relaxed))
    }
}

/// What one connection is doing.
struct Activity {
    started: Instant,
    /// Requests whose answers have not ended.
    busy: AtomicUsize,
    /// Milliseconds from `started` to the end of the last answer.
    last_ms: AtomicU64,
}

/// A request on a connection; ends with its answer's body.
struct Busy(Arc<Activity>);

impl Busy {
    fn new(activity: &Arc<Activity>) -> Busy {
        activity.busy.fetch_add(1, Ordering::Relaxed);
        Busy(activity.clone())
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        let ms = self.0.started.elapsed().as_millis() as u64;
        self.0.last_ms.store(ms, Ordering::Relaxed);
        self.0.busy.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Activity {
    fn new() -> Activity {
        Activity { started: Instant::now(), busy: AtomicUsize::new(0), last_ms: AtomicU64::new(0) }
    }

    /// Returns after a time, or later when the connection has no request.
    ///
    /// hyper waits for the first request of a connection that has had none, also
    /// when it is told to shut down; a stop would wait with it.
    async fn unused_after(&self, time: Duration) {
        smol::Timer::after(time).await;
        while self.busy.load(Ordering::Relaxed) > 0 {
            smol::Timer::after(time).await;
        }
    }

    /// Returns once the connection has had no request for as long as it may.
    async fn idle_for(&self, limit: &Idle) {
        loop {
            let last = Duration::from_millis(self.last_ms.load(Ordering::Relaxed));
            let unused = match self.busy.load(Ordering::Relaxed) {
                0 => self.started.elapsed().saturating_sub(last),
                _ => Duration::ZERO,
            };
            let left = limit.get().saturating_sub(unused);
            if left.is_zero() {
                return;
            }
            smol::Timer::after(left.min(IDLE_STEP)).await;
        }
    }
}

/// Tells servers to stop; dropping it does.
pub struct Stop {
    _tx: async_channel::Sender<()>,
}

/// The servers' end of a [`Stop`].
#[derive(Clone)]
pub struct Stopped {
    rx: async_channel::Receiver<()>,
}

/// Makes a way to stop servers.
pub fn stop_pair() -> (Stop, Stopped) {
    let (tx, rx) = async_channel::bounded(1);
    (Stop { _tx: tx }, Stopped { rx })
}

impl Stopped {
    /// Returns once the [`Stop`] is dropped.
    pub async fn wait(&self) {
        let _closed = self.rx.recv().await;
    }
}

/// Serves a port until stopped, then returns when the last connection has
/// finished its request.
///
/// The handler gets the peer's address. A connection that is idle when the stop
/// comes is closed at once; one with a request finishes it first.
pub async fn serve<F, Fut>(listener: Async<TcpListener>, limits: Limits, stop: Stopped, handler: F)
where
    F: Fn(SocketAddr, Request<Incoming>) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let handler = Arc::new(handler);
    let open = Arc::new(AtomicUsize::new(0));
    let (done_tx, done_rx) = async_channel::bounded::<()>(1);
    loop {
        let accepted = smol::future::or(async { Some(listener.accept().await) }, async {
            stop.wait().await;
            None
        });
        let (stream, peer) = match accepted.await {
            None => break,
            Some(Ok(accepted)) => accepted,
            Some(Err(_)) => {
                smol::Timer::after(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if open.load(Ordering::Relaxed) >= limits.connections {
            continue;
        }
        open.fetch_add(1, Ordering::Relaxed);
        let (handler, open) = (handler.clone(), open.clone());
        let (limits, stop, done_tx) = (limits.clone(), stop.clone(), done_tx.clone());
        let task = async move {
            connection(stream, peer, limits, stop, handler).await;
            open.fetch_sub(1, Ordering::Relaxed);
            drop(done_tx);
        };
        exec::spawn(task).detach();
    }
    drop((listener, done_tx));
    let _all_closed = done_rx.recv().await;
}

async fn connection<F, Fut>(
    stream: Async<TcpStream>,
    peer: SocketAddr,
    limits: Limits,
    stop: Stopped,
    handler: Arc<F>,
) where
    F: Fn(SocketAddr, Request<Incoming>) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    socket::tune(stream.get_ref());
    let activity = Arc::new(Activity::new());
    let watched = activity.clone();
    let service = service_fn(move |req| {
        let busy = Busy::new(&watched);
        // Boxed, because a connection's task is as large as the largest future
        // in it: an idle connection would hold the room of a request.
        let answer = Box::pin(handler(peer, req));
        async move {
            let answer = answer.await;
            Ok::<_, Infallible>(answer.map(|body| body::tied(body, busy)))
        }
    });
    let serving = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(limits.head_time + limits.idle.get())
        .max_buf_size(limits.head_bytes.max(8192))
        .serve_connection(FuturesIo::new(stream), service);
    let mut serving = std::pin::pin!(serving);
    let ending = smol::future::or(stop.wait(), activity.idle_for(&limits.idle));
    let first = smol::future::or(async { Some(serving.as_mut().await) }, async {
        ending.await;
        None
    })
    .await;
    if first.is_none() {
        serving.as_mut().graceful_shutdown();
        let unused = activity.unused_after(UNUSED_WAIT);
        smol::future::or(async { drop(serving.await) }, unused).await;
    }
}
