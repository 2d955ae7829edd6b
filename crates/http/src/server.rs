//! Accepting connections, within limits, until told to stop.

use crate::activity::{Activity, Busy};
use crate::ahead::{Ahead, Io, MayOverlap, Taken};
use crate::body::{self, Body, BodyError};
use crate::{exec, socket};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::header::{self, HeaderMap};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use smol::Async;
use smol_hyper::rt::{FuturesIo, SmolTimer};
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

pub use crate::activity::IdleTimeout;

/// Wait after a failed accept, which usually means no file descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time in which a request that is on its way when a stop begins is still read.
const UNUSED_WAIT: Duration = Duration::from_millis(200);

/// Step in which a stopping connection looks whether requests begun early are left.
const BEGUN_STEP: Duration = Duration::from_millis(20);

/// What one listening port takes.
#[derive(Clone)]
pub struct Limits {
    /// Connections held at once; further ones are closed.
    pub connections: usize,
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Time for a head to arrive.
    pub head_timeout: Duration,
    /// How long a connection may stay without a request.
    pub idle_timeout: IdleTimeout,
    /// Which requests of a connection may be worked on beside others of it; `None`
    /// serves them one at a time.
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

/// Tells servers to stop; dropping it does.
pub struct StopHandle {
    _tx: async_channel::Sender<()>,
}

/// The servers' end of a [`StopHandle`].
#[derive(Clone)]
pub struct StopSignal {
    rx: async_channel::Receiver<()>,
}

/// Makes a way to stop servers.
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

/// Serves a port until stopped, then returns when the last connection has
/// finished its request.
///
/// The handler gets the peer's address. A connection that is idle when the stop
/// comes is closed at once; one with a request finishes it first.
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
    stop: StopSignal,
    handler: Arc<F>,
) where
    F: Fn(SocketAddr, Request<Body>) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    socket::tune(stream.get_ref());
    let ahead = Ahead::new(Arc::new(stream), limits.may_overlap, limits.head_bytes);
    let ahead = Arc::new(ahead);
    let activity = Arc::new(Activity::new());
    let (of_hyper, watched, begins) = (ahead.clone(), activity.clone(), handler.clone());
    let service = service_fn(move |req: Request<Incoming>| {
        let busy = Busy::new(&watched);
        // Boxed, because a connection's task is as large as the largest future
        // in it: an idle connection would hold the room of a request.
        Box::pin(answer(peer, req, of_hyper.clone(), handler.clone(), busy))
    });
    let serving = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(limits.head_timeout + limits.idle_timeout.get())
        .max_buf_size(limits.head_bytes.max(8192))
        .serve_connection(FuturesIo::new(Io(ahead.clone())), service);
    let mut serving = std::pin::pin!(serving);
    let begin = move |req| exec::spawn(begins(peer, req));
    let caller_left = poll_fn(|cx| ahead.poll(cx, activity.is_busy(), &begin));
    let mut caller_left = std::pin::pin!(caller_left);
    let closed = async {
        smol::future::or(async { drop(serving.as_mut().await) }, caller_left.as_mut()).await;
        Over::Closed
    };
    let ending = async {
        smol::future::or(stop.wait(), activity.idle_for(&limits.idle_timeout)).await;
        finish_begun(&ahead).await;
        Over::Ending
    };
    if let Over::Ending = smol::future::or(closed, ending).await {
        serving.as_mut().graceful_shutdown();
        let closed = smol::future::or(async { drop(serving.await) }, caller_left);
        smol::future::or(closed, activity.unused_after(UNUSED_WAIT)).await;
    }
}

/// Why a connection is no longer served as usual.
enum Over {
    /// It is closed, or its caller has left.
    Closed,
    /// It is to end with the present request.
    Ending,
}

/// Lets the requests that were begun early be answered, and begins no more.
///
/// Failure: a stop ends a connection with the present answer. Symptom: requests
/// behind it, at work on upstreams, are cut off. hyper is told to end the
/// connection only when it has come to the last of them.
async fn finish_begun(ahead: &Ahead) {
    ahead.stop();
    while ahead.has_begun() {
        smol::Timer::after(BEGUN_STEP).await;
    }
}

/// Answers one request that hyper has come to.
async fn answer<F, Fut>(
    peer: SocketAddr,
    req: Request<Incoming>,
    ahead: Arc<Ahead>,
    handler: Arc<F>,
    busy: Busy,
) -> Result<Response<Body>, Infallible>
where
    F: Fn(SocketAddr, Request<Body>) -> Fut,
    Fut: Future<Output = Response<Body>>,
{
    let (head, incoming) = req.into_parts();
    let mut res = match ahead.take(&head) {
        Taken::Begun(task) => task.await,
        Taken::New(held) => {
            let mut req = Request::from_parts(head, boxed(incoming));
            if !held.is_zero() {
                req.extensions_mut().insert(crate::ahead::PipelineDelay(held));
            }
            handler(peer, req).await
        }
    };
    if ahead.has_begun() {
        keep_open(res.headers_mut());
    }
    Ok(res.map(|body| body::with_guard(body, busy)))
}

/// Takes back an answer's word that it ends the connection.
///
/// Failure: an answer ends a connection on which further requests were begun.
/// Symptom: their callers send them again, and work that was nearly done is lost.
/// The last of them says so in its place.
fn keep_open(headers: &mut HeaderMap) {
    headers.remove(header::CONNECTION);
}

fn boxed(incoming: Incoming) -> Body {
    if incoming.is_end_stream() {
        return body::empty();
    }
    incoming.map_err(|err| BodyError::Broken(err.to_string())).boxed_unsync()
}
