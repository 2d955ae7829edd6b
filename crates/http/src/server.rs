//! Serving connections within limits until a stop.

use crate::activity::{Activity, RequestGuard};
use crate::ahead::{Io, MayOverlap, NextRequest, ReadAhead};
use crate::body::{self, Body, BodyError};
use crate::reactor::{Async, HyperTimer, Timer};
use crate::{exec, socket};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::header::{self, HeaderMap};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use smol_hyper::rt::FuturesIo;
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

pub use crate::activity::IdleTimeout;

/// Wait after a failed accept, which usually means that the process is out of file
/// descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time after the start of a connection's shutdown in which a request that is already on
/// its way is still read.
const LATE_REQUEST_WAIT: Duration = Duration::from_millis(200);

/// Interval at which a connection that shuts down checks whether requests that were
/// started early are still queued.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Limits of one listening port.
#[derive(Clone)]
pub struct Limits {
    /// Maximum number of open connections; further ones are closed once accepted.
    pub connections: usize,
    /// Maximum bytes of a request's head.
    pub head_bytes: usize,
    /// Time for a request's head to arrive.
    pub head_timeout: Duration,
    /// How long a connection may stay open without a request.
    pub idle_timeout: IdleTimeout,
    /// Which requests of a connection may be handled concurrently; with `None` they are
    /// handled one at a time.
    pub may_overlap: Option<Arc<MayOverlap>>,
}

impl Default for Limits {
    fn default() -> Limits {
        let head_timeout = Duration::from_secs(30);
        Limits {
            connections: 4096,
            head_bytes: 32 << 10,
            head_timeout,
            idle_timeout: IdleTimeout::new(head_timeout),
            may_overlap: None,
        }
    }
}

/// Stops the servers that hold its [`StopSignal`] when dropped.
pub struct StopHandle {
    _tx: async_channel::Sender<()>,
}

/// Tells a server when its [`StopHandle`] is dropped.
#[derive(Clone)]
pub struct StopSignal {
    rx: async_channel::Receiver<()>,
}

/// Creates a handle that stops servers, and the signal that they wait for.
pub fn stop_channel() -> (StopHandle, StopSignal) {
    let (tx, rx) = async_channel::bounded(1);
    (StopHandle { _tx: tx }, StopSignal { rx })
}

impl StopSignal {
    /// Returns once the [`StopHandle`] is dropped.
    pub async fn wait(&self) {
        let _closed = self.rx.recv().await;
    }
}

/// Serves a port until a stop, and returns when the last connection has finished its
/// requests.
///
/// The handler gets the peer's address. At a stop, idle connections are closed at once,
/// and the others once their requests are answered.
pub async fn serve<F, Fut>(
    listener: Async<TcpListener>,
    limits: Limits,
    stop: StopSignal,
    handler: F,
) where
    F: Fn(SocketAddr, Request<Body>) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let handler = Arc::new(handler);
    let open = Arc::new(AtomicUsize::new(0));
    let (done_tx, done_rx) = async_channel::bounded::<()>(1);
    loop {
        let accepting = smol::future::or(async { Some(listener.accept().await) }, async {
            stop.wait().await;
            None
        });
        let (stream, peer) = match accepting.await {
            None => break,
            Some(Ok(accepted)) => accepted,
            Some(Err(_)) => {
                Timer::after(ACCEPT_RETRY_DELAY).await;
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
            handle_connection(stream, peer, limits, stop, handler).await;
            open.fetch_sub(1, Ordering::Relaxed);
            drop(done_tx);
        };
        exec::spawn(task).detach();
    }
    drop((listener, done_tx));
    let _all_closed = done_rx.recv().await;
}

async fn handle_connection<F, Fut>(
    stream: Async<TcpStream>,
    peer: SocketAddr,
    limits: Limits,
    stop: StopSignal,
    handler: Arc<F>,
) where
    F: Fn(SocketAddr, Request<Body>) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    socket::set_options(stream.get_ref());
    let read_ahead = ReadAhead::new(Arc::new(stream), limits.may_overlap, limits.head_bytes);
    let read_ahead = Arc::new(read_ahead);
    let activity = Arc::new(Activity::new());
    let (service_ahead, service_activity, early_handler) =
        (read_ahead.clone(), activity.clone(), handler.clone());
    let service = service_fn(move |req: Request<Incoming>| {
        let guard = RequestGuard::new(&service_activity);
        // Boxed, since a task is as large as its largest future: an idle connection
        // would otherwise hold the memory that a request needs.
        Box::pin(answer(peer, req, service_ahead.clone(), handler.clone(), guard))
    });
    let io = Io { read_ahead: read_ahead.clone(), activity: activity.clone() };
    let serving = http1::Builder::new()
        .timer(HyperTimer)
        .header_read_timeout(limits.head_timeout + limits.idle_timeout.get())
        .max_buf_size(limits.head_bytes.max(8192))
        .serve_connection(FuturesIo::new(io), service);
    let mut serving = std::pin::pin!(serving);
    let start_handler = move |req| exec::spawn(early_handler(peer, req));
    let disconnected = poll_fn(|cx| read_ahead.poll(cx, activity.is_busy(), &start_handler));
    let mut disconnected = std::pin::pin!(disconnected);
    let closed = async {
        smol::future::or(async { drop(serving.as_mut().await) }, disconnected.as_mut()).await;
        ConnectionEnd::Closed
    };
    let draining = async {
        smol::future::or(stop.wait(), activity.idle_timed_out(&limits.idle_timeout)).await;
        finish_started(&read_ahead).await;
        ConnectionEnd::Draining
    };
    if let ConnectionEnd::Draining = smol::future::or(closed, draining).await {
        serving.as_mut().graceful_shutdown();
        let closed = smol::future::or(async { drop(serving.await) }, disconnected);
        let finished = smol::future::or(
            activity.finished_after(LATE_REQUEST_WAIT),
            activity.abandoned_after(&limits.idle_timeout, LATE_REQUEST_WAIT),
        );
        smol::future::or(closed, finished).await;
    }
}

/// Why the normal operation of a connection ends.
enum ConnectionEnd {
    /// The connection is closed, or its caller has disconnected.
    Closed,
    /// The connection is to be closed after the current request.
    Draining,
}

/// Stops early starts, and waits until hyper has taken over the last request that was
/// started early.
///
/// Failure: a stop closes a connection after the current answer. Symptom: requests
/// behind it that are already running on upstreams are cut off. Graceful
/// shutdown is therefore requested only when hyper has reached the last of them.
async fn finish_started(read_ahead: &ReadAhead) {
    read_ahead.stop_early_starts();
    while read_ahead.has_started() {
        Timer::after(DRAIN_CHECK_INTERVAL).await;
    }
}

/// Answers one request that hyper has parsed.
async fn answer<F, Fut>(
    peer: SocketAddr,
    req: Request<Incoming>,
    read_ahead: Arc<ReadAhead>,
    handler: Arc<F>,
    guard: RequestGuard,
) -> Result<Response<Body>, Infallible>
where
    F: Fn(SocketAddr, Request<Body>) -> Fut,
    Fut: Future<Output = Response<Body>>,
{
    let (head, incoming) = req.into_parts();
    let next = read_ahead.take_next(&head);
    let place = read_ahead.current_place();
    let mut res = match next {
        NextRequest::Started(task) => task.await,
        NextRequest::New(delay) => {
            let mut req = Request::from_parts(head, boxed(incoming));
            if let Some(place) = place.clone() {
                req.extensions_mut().insert(place);
            }
            if !delay.is_zero() {
                req.extensions_mut().insert(crate::ahead::PipelineDelay(delay));
            }
            handler(peer, req).await
        }
    };
    let closes = res.headers().contains_key(header::CONNECTION);
    if closes && place.is_some_and(|place| !place.reserve_end()) {
        keep_open(res.headers_mut());
    }
    Ok(res.map(|body| body::with_guard(body, guard)))
}

/// Removes the `Connection` header by which an answer closes the connection.
///
/// Failure: an answer closes a connection on which further requests were started early.
/// Symptom: the caller sends them again, and work that was nearly done is lost. The
/// answer to the last of them may close the connection instead.
fn keep_open(headers: &mut HeaderMap) {
    headers.remove(header::CONNECTION);
}

fn boxed(incoming: Incoming) -> Body {
    if incoming.is_end_stream() {
        return body::empty();
    }
    incoming.map_err(|err| BodyError::Broken(err.to_string())).boxed_unsync()
}
