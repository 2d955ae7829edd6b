//! Reading a connection ahead, and working on several of its requests at once.
//!
//! hyper serves the requests of a connection strictly in turn: the next one is read
//! when the answer before it has been written. A caller that sends further requests
//! before the first answer then has them wait unread, behind whichever is slow.
//!
//! An [`Ahead`] stands between the socket and hyper. While hyper is busy with a
//! request it reads on, finds the heads of further ones ([`scan`]), and begins those
//! that may overlap. hyper still parses every byte, and it alone decides what is a
//! request, in which order answers leave and when the connection ends: when it comes
//! to a request that was begun already, it takes up the answer in progress.
//!
//! # What is begun early
//!
//! Only requests without a body that the handler's owner lets overlap, each behind
//! others of that sort. An answer before it may close the connection, and its caller
//! then sends the request again: one that may not run twice waits for its turn.
//!
//! # Limits
//!
//! At most [`MOST_AHEAD`] requests and [`MOST_UNREAD`] bytes are held for a
//! connection. While that many wait, nothing is read, so that a caller that leaves
//! is noticed when the answer before them is written. A chunked body ends reading
//! ahead for the rest of its connection.

mod scan;

use crate::body::{self, Body};
use bytes::{Buf, BytesMut};
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, Uri};
use scan::{Scan, Step};
use smol::io::{AsyncRead, AsyncWrite};
use smol::{Async, Task};
use std::collections::VecDeque;
use std::io;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

/// Most requests read behind the one that hyper serves. A caller gains from each
/// further one only while upstreams have slots for it; each may hold an answer of
/// 64 KB until its turn, a megabyte a connection in all.
pub const MOST_AHEAD: usize = 16;
/// Most bytes read and not yet taken up by hyper.
pub const MOST_UNREAD: usize = 16 << 10;
/// Bytes read at once.
const CHUNK: usize = 4096;

/// Whether a request may be begun before the answers to those before it have left.
pub type MayOverlap = dyn Fn(&Target) -> bool + Send + Sync;

/// What a request asks for, as far as [`MayOverlap`] needs it.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its method.
    pub method: Method,
    /// Its target.
    pub uri: Uri,
    /// Its `Host` header.
    pub host: Option<HeaderValue>,
}

impl Target {
    fn of(method: &Method, uri: &Uri, headers: &HeaderMap) -> Target {
        let host = headers.get(header::HOST).cloned();
        Target { method: method.clone(), uri: uri.clone(), host }
    }
}

/// How long a request was held here before its handler began; among the request's
/// extensions where that was any time at all.
#[derive(Clone, Copy, Debug)]
pub struct PipelineDelay(pub Duration);

/// Tells a handler that began early when its answer's turn comes; among the
/// request's extensions.
#[derive(Clone, Debug)]
pub struct AnswerTurn {
    rx: async_channel::Receiver<()>,
}

impl AnswerTurn {
    /// Returns once the answers before this one have left.
    pub async fn wait(&self) {
        let _closed = self.rx.recv().await;
    }
}

/// Begins the work on one request.
pub type Begin<'a> = &'a dyn Fn(Request<Body>) -> Task<Response<Body>>;

/// One connection's reading and what was begun early on it.
pub struct Ahead {
    stream: Arc<Async<TcpStream>>,
    may_overlap: Option<Arc<MayOverlap>>,
    head_bytes: usize,
    state: Mutex<State>,
}

struct State {
    scan: Scan,
    /// Read from the socket and not yet by hyper.
    unread: BytesMut,
    /// How many bytes of `unread` hyper may read.
    scanned: usize,
    /// Requests found and not yet taken up by hyper, in order.
    queue: VecDeque<Queued>,
    /// What hyper works on.
    current: Option<Target>,
    /// Whether nothing more comes from the caller.
    ended: bool,
    /// Whether nothing more is begun early.
    stopped: bool,
}

struct Queued {
    since: Instant,
    work: Work,
}

enum Work {
    /// To be begun by hyper.
    InTurn,
    /// May be begun if what is before it lets it.
    Found(Box<Request<()>>),
    /// Begun.
    Begun(Box<Begun>),
}

/// A request that was begun early; dropping it ends the work.
struct Begun {
    target: Target,
    headers: HeaderMap,
    task: Task<Response<Body>>,
    _turn: TurnComes,
}

impl Begun {
    fn is_of(&self, head: &Parts) -> bool {
        let target = &self.target;
        target.method == head.method && target.uri == head.uri && self.headers == head.headers
    }
}

/// Tells a [`AnswerTurn`] when dropped.
struct TurnComes {
    _tx: async_channel::Sender<()>,
}

/// What is known of a request that hyper comes to.
pub enum Taken {
    /// It is to be begun now, and was held for this time.
    New(Duration),
    /// It was begun early.
    Begun(Task<Response<Body>>),
}

impl Ahead {
    /// Makes the reading side of a connection; without `may_overlap` it adds nothing
    /// to hyper's own.
    pub fn new(
        stream: Arc<Async<TcpStream>>,
        may_overlap: Option<Arc<MayOverlap>>,
        head_bytes: usize,
    ) -> Ahead {
        let scan = if may_overlap.is_some() { Scan::Head } else { Scan::GivenUp };
        let state = State {
            scan,
            unread: BytesMut::new(),
            scanned: 0,
            queue: VecDeque::new(),
            current: None,
            ended: false,
            stopped: false,
        };
        // A head that is longer than what is held could never be found whole.
        let head_bytes = head_bytes.min(MOST_UNREAD);
        Ahead { stream, may_overlap, head_bytes, state: Mutex::new(state) }
    }

    /// Returns what is known of a request that hyper has come to.
    pub fn take(&self, head: &Parts) -> Taken {
        if self.may_overlap.is_none() {
            return Taken::New(Duration::ZERO);
        }
        let mut state = self.lock();
        state.current = Some(Target::of(&head.method, &head.uri, &head.headers));
        let Some(queued) = state.queue.pop_front() else { return Taken::New(Duration::ZERO) };
        match queued.work {
            Work::InTurn | Work::Found(_) => Taken::New(queued.since.elapsed()),
            Work::Begun(begun) => {
                // Both come from the same bytes by the same parser. If they ever
                // differed, a caller would get the answer to another request.
                if begun.is_of(head) {
                    return Taken::Begun(begun.task);
                }
                log::error!("a request read ahead is not the one that hyper read: begun anew");
                state.scan = Scan::GivenUp;
                state.queue.clear();
                Taken::New(queued.since.elapsed())
            }
        }
    }

    /// Returns whether a request behind the present one was begun.
    pub fn has_begun(&self) -> bool {
        let begun = |queued: &Queued| matches!(queued.work, Work::Begun(_));
        self.lock().queue.iter().any(begun)
    }

    /// Begins nothing early from now on.
    pub fn stop(&self) {
        self.lock().stopped = true;
    }

    /// Reads on and begins what may be begun; ready once the caller has left.
    ///
    /// To be polled after hyper, in the same task. `busy` tells whether hyper works
    /// on a request; if it does not, it reads for itself.
    pub fn poll(&self, cx: &mut Context<'_>, busy: bool, begin: Begin<'_>) -> Poll<()> {
        let Some(may_overlap) = &self.may_overlap else { return Poll::Pending };
        let mut state = self.lock();
        if !busy {
            // It shares hyper's buffer, which an idle connection is not to hold.
            state.current = None;
            return Poll::Pending;
        }
        loop {
            state.find(self.head_bytes);
            state.begin_found(may_overlap, begin);
            if state.ended {
                return Poll::Ready(());
            }
            if state.is_full() || state.scan != Scan::Head {
                return Poll::Pending;
            }
            ready!(self.fill(cx, &mut state));
        }
    }

    /// Reads some bytes and finds what is whole among them.
    fn fill(&self, cx: &mut Context<'_>, state: &mut State) -> Poll<()> {
        let mut chunk = [0; CHUNK];
        // An error ends the connection as its end does: nothing more comes, and
        // nobody reads an answer.
        match ready!(Pin::new(&mut &*self.stream).poll_read(cx, &mut chunk)) {
            Ok(0) | Err(_) => state.ended = true,
            Ok(len) => state.unread.extend_from_slice(&chunk[..len]),
        }
        Poll::Ready(())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn is_full(&self) -> bool {
        self.queue.len() >= MOST_AHEAD || self.unread.len() >= MOST_UNREAD
    }

    /// Follows the bytes read as far as they are whole, and until enough requests are
    /// found.
    fn find(&mut self, head_bytes: usize) {
        while self.scanned < self.unread.len() && self.queue.len() < MOST_AHEAD {
            let work = match self.scan.step(&self.unread[self.scanned..], head_bytes) {
                Step::Partial if self.ended => {
                    self.scan = Scan::GivenUp;
                    continue;
                }
                Step::Partial => return,
                Step::GaveUp => {
                    self.scanned = self.unread.len();
                    return;
                }
                Step::Skipped(len) => {
                    self.scanned += len;
                    continue;
                }
                Step::Sized(len) => {
                    self.scanned += len;
                    Work::InTurn
                }
                Step::Bare(req, len) => {
                    self.scanned += len;
                    Work::Found(req)
                }
            };
            self.queue.push_back(Queued { since: Instant::now(), work });
        }
    }

    /// Begins the requests that may overlap, up to the first that may not.
    fn begin_found(&mut self, may_overlap: &Arc<MayOverlap>, begin: Begin<'_>) {
        let has_found = |queued: &Queued| matches!(queued.work, Work::Found(_));
        if self.stopped || !self.queue.iter().any(has_found) {
            return;
        }
        if !self.current.as_ref().is_some_and(|target| may_overlap(target)) {
            return;
        }
        for queued in &mut self.queue {
            match &queued.work {
                Work::InTurn => return,
                Work::Begun(_) => continue,
                Work::Found(req) => {
                    let target = Target::of(req.method(), req.uri(), req.headers());
                    if !may_overlap(&target) {
                        return;
                    }
                }
            }
            if let Work::Found(req) = std::mem::replace(&mut queued.work, Work::InTurn) {
                queued.work = begun(*req, queued.since, begin);
            }
        }
    }
}

fn begun(mut req: Request<()>, since: Instant, begin: Begin<'_>) -> Work {
    let target = Target::of(req.method(), req.uri(), req.headers());
    let headers = req.headers().clone();
    let (tx, rx) = async_channel::bounded(1);
    req.extensions_mut().insert(PipelineDelay(since.elapsed()));
    req.extensions_mut().insert(AnswerTurn { rx });
    let task = begin(req.map(|()| body::empty()));
    Work::Begun(Box::new(Begun { target, headers, task, _turn: TurnComes { _tx: tx } }))
}

/// The socket as hyper sees it.
pub struct Io(pub Arc<Ahead>);

impl AsyncRead for Io {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let ahead = &self.0;
        let mut state = ahead.lock();
        loop {
            state.find(ahead.head_bytes);
            if state.scanned > 0 {
                let len = state.scanned.min(buf.len());
                buf[..len].copy_from_slice(&state.unread[..len]);
                state.unread.advance(len);
                state.scanned -= len;
                if state.unread.is_empty() {
                    // An idle connection holds no memory for this.
                    state.unread = BytesMut::new();
                }
                return Poll::Ready(Ok(len));
            }
            if state.ended {
                return Poll::Ready(Ok(0));
            }
            if state.is_full() {
                // hyper has requests enough, and asks again when it takes one up.
                return Poll::Pending;
            }
            let passed = match state.scan {
                Scan::Head => 0,
                Scan::Body(left) => buf.len().min(usize::try_from(left).unwrap_or(usize::MAX)),
                Scan::GivenUp => buf.len(),
            };
            if passed > 0 {
                let mut stream = &*ahead.stream;
                let len = ready!(Pin::new(&mut stream).poll_read(cx, &mut buf[..passed]))?;
                let _skipped = state.scan.step(&buf[..len], ahead.head_bytes);
                return Poll::Ready(Ok(len));
            }
            ready!(ahead.fill(cx, &mut state));
        }
    }
}

impl AsyncWrite for Io {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self.0.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self.0.stream).poll_write_vectored(cx, bufs)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.0.stream).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.0.stream).poll_close(cx)
    }
}
