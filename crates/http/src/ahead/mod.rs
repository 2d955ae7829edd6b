//! Reading ahead on a connection, and handling several of its requests concurrently.
//!
//! hyper serves the requests of a connection strictly one after the other: it reads the
//! next one when the answer before it has been written. Pipelined requests would
//! therefore wait unread behind a slow one.
//!
//! A [`ReadAhead`] sits between the socket and hyper. While hyper serves a request, it
//! reads on, finds the heads of further requests ([`scan`]), and starts those that may
//! overlap. hyper still parses every byte, and it alone decides what is a request, in
//! which order answers are written and when the connection ends. When hyper reaches a
//! request that was started early, it takes over the answer in progress.
//!
//! # Which requests are started early
//!
//! Only requests without a body for which [`MayOverlap`] returns true, and only while
//! every request before them is of this kind. An answer before a request may close the
//! connection, and its caller then sends the request again: a request that may not run
//! twice waits for its turn.
//!
//! # Which answers may end the connection
//!
//! An answer that may end the connection, because it closes it or is sent before it is
//! whole, reserves the end of the connection ([`Place::reserve_end`]). This fails while a
//! request behind it has been started, and no request behind it is started afterwards.
//!
//! # Limits
//!
//! At most [`MAX_PIPELINED`] requests and [`MAX_UNREAD_BYTES`] bytes are buffered per
//! connection. Nothing is read while either limit is reached, so a caller that
//! disconnects then is noticed only when the answer before them is written. A chunked
//! body ends reading ahead for the rest of its connection.

mod scan;

use crate::activity::Activity;
use crate::body::{self, Body};
use crate::reactor::Async;
use bytes::{Buf, BytesMut};
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, Uri};
use scan::{Scanner, Step};
use smol::Task;
use smol::io::{AsyncRead, AsyncWrite};
use std::collections::VecDeque;
use std::io;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

/// Maximum number of requests read behind the one that hyper serves. A caller gains
/// from a further one only while upstreams have slots for it. Each may buffer an answer
/// of 64 KB until its turn, which is a megabyte per connection.
pub const MAX_PIPELINED: usize = 16;
/// Maximum bytes read from the socket and not yet by hyper.
pub const MAX_UNREAD_BYTES: usize = 16 << 10;
/// Maximum bytes of one read from the socket.
const READ_CHUNK: usize = 4096;

/// Returns whether a request may be started before the answers to the requests before it
/// have been written.
pub type MayOverlap = dyn Fn(&Target) -> bool + Send + Sync;

/// The parts of a request that [`MayOverlap`] needs.
#[derive(Clone, Debug)]
pub struct Target {
    /// The request's method.
    pub method: Method,
    /// The request's URI.
    pub uri: Uri,
    /// The request's `Host` header.
    pub host: Option<HeaderValue>,
}

impl Target {
    fn of(method: &Method, uri: &Uri, headers: &HeaderMap) -> Target {
        let host = headers.get(header::HOST).cloned();
        Target { method: method.clone(), uri: uri.clone(), host }
    }
}

/// How long a pipelined request waited before its handler started; an extension of the
/// requests that waited.
#[derive(Clone, Copy, Debug)]
pub struct PipelineDelay(pub Duration);

/// Tells the handler of a request that was started early when its answer can be written;
/// an extension of these requests.
#[derive(Clone, Debug)]
pub struct AnswerTurn {
    rx: async_channel::Receiver<()>,
}

impl AnswerTurn {
    /// Returns once the answers before this one have been written.
    pub async fn wait(&self) {
        let _closed = self.rx.recv().await;
    }
}

/// The place of a request among those of its connection; an extension of the requests of a
/// connection on which requests are started early.
#[derive(Clone, Debug)]
pub struct Place {
    read_ahead: Weak<ReadAhead>,
    number: u64,
}

impl Place {
    /// Returns whether the answer to this request may end the connection: whether no request
    /// behind it was started early. If so, none is started until the answer has been sent.
    ///
    /// Failure: an answer breaks off after a part of it was sent. Symptom: the requests
    /// behind it run on sound upstreams, and their answers are lost with the connection.
    pub fn reserve_end(&self) -> bool {
        self.read_ahead.upgrade().is_none_or(|read_ahead| read_ahead.reserve_end(self.number))
    }
}

/// Starts the handler of one request.
pub type StartHandler<'a> = &'a dyn Fn(Request<Body>) -> Task<Response<Body>>;

/// The read side of one connection, with the requests started early on it.
pub struct ReadAhead {
    stream: Arc<Async<TcpStream>>,
    may_overlap: Option<Arc<MayOverlap>>,
    head_bytes: usize,
    state: Mutex<State>,
}

struct State {
    scanner: Scanner,
    /// Bytes read from the socket and not yet by hyper.
    unread: BytesMut,
    /// How many bytes of `unread` hyper may read.
    scanned: usize,
    /// Requests found and not yet parsed by hyper, in order.
    queue: VecDeque<Queued>,
    /// The request that hyper serves.
    current: Option<Target>,
    /// How many requests hyper has parsed, which is the number of the current one.
    parsed: u64,
    /// Number of the request whose answer may end the connection.
    end_reserved_by: Option<u64>,
    /// Whether the read side of the socket has ended or failed.
    read_closed: bool,
    /// Whether no further request is started early.
    stopped: bool,
}

struct Queued {
    since: Instant,
    progress: Progress,
}

enum Progress {
    /// To be started when hyper reaches it.
    InOrder,
    /// Has no body, and may be started early if the requests before it allow it.
    Startable(Box<Request<()>>),
    /// Started early.
    Started(Box<Started>),
}

/// A request that was started early; dropping it cancels its handler.
struct Started {
    target: Target,
    headers: HeaderMap,
    task: Task<Response<Body>>,
    _turn: TurnSignal,
}

impl Started {
    fn is_same_request(&self, head: &Parts) -> bool {
        let target = &self.target;
        target.method == head.method && target.uri == head.uri && self.headers == head.headers
    }
}

/// Completes the [`AnswerTurn`] when dropped.
struct TurnSignal {
    _tx: async_channel::Sender<()>,
}

/// How a request that hyper has parsed is to be served.
pub enum NextRequest {
    /// It is to be started now, after having waited for this time.
    New(Duration),
    /// It was started early.
    Started(Task<Response<Body>>),
}

impl ReadAhead {
    /// Creates the read side of a connection. Without `may_overlap` nothing is read ahead.
    pub fn new(
        stream: Arc<Async<TcpStream>>,
        may_overlap: Option<Arc<MayOverlap>>,
        head_bytes: usize,
    ) -> ReadAhead {
        let scanner = if may_overlap.is_some() { Scanner::Head } else { Scanner::Disabled };
        let state = State {
            scanner,
            unread: BytesMut::new(),
            scanned: 0,
            queue: VecDeque::new(),
            current: None,
            parsed: 0,
            end_reserved_by: None,
            read_closed: false,
            stopped: false,
        };
        // A head longer than the buffer could never be found complete.
        let head_bytes = head_bytes.min(MAX_UNREAD_BYTES);
        ReadAhead { stream, may_overlap, head_bytes, state: Mutex::new(state) }
    }

    /// Takes the request that hyper has just parsed off the queue, and makes it the current
    /// one.
    pub fn take_next(&self, head: &Parts) -> NextRequest {
        if self.may_overlap.is_none() {
            return NextRequest::New(Duration::ZERO);
        }
        let mut state = self.lock();
        state.parsed += 1;
        state.current = Some(Target::of(&head.method, &head.uri, &head.headers));
        let Some(queued) = state.queue.pop_front() else { return NextRequest::New(Duration::ZERO) };
        match queued.progress {
            Progress::InOrder | Progress::Startable(_) => NextRequest::New(queued.since.elapsed()),
            Progress::Started(started) => {
                // Both were parsed from the same bytes by the same parser. If they
                // differed, the caller would get the answer to another request.
                if started.is_same_request(head) {
                    return NextRequest::Started(started.task);
                }
                log::error!(
                    "request read ahead differs from the one that hyper parsed; starting it again"
                );
                state.scanner = Scanner::Disabled;
                state.queue.clear();
                NextRequest::New(queued.since.elapsed())
            }
        }
    }

    /// Returns the place of the request that hyper has parsed last, or `None` if no request of
    /// this connection is started early.
    pub fn current_place(self: &Arc<Self>) -> Option<Place> {
        self.may_overlap.as_ref()?;
        Some(self.place(self.lock().parsed))
    }

    fn place(self: &Arc<Self>, number: u64) -> Place {
        Place { read_ahead: Arc::downgrade(self), number }
    }

    fn reserve_end(&self, number: u64) -> bool {
        let mut state = self.lock();
        let is_free = !state.has_started_behind(number);
        if is_free {
            state.end_reserved_by = Some(number);
        }
        is_free
    }

    /// Returns whether a request behind the current one was started early.
    pub fn has_started(&self) -> bool {
        let state = self.lock();
        state.has_started_behind(state.parsed)
    }

    /// Starts no further request early.
    pub fn stop_early_starts(&self) {
        self.lock().stopped = true;
    }

    /// Reads ahead and starts the requests that may overlap; ready once the caller has
    /// disconnected.
    ///
    /// To be polled after hyper, in the same task. `busy` tells whether hyper serves a
    /// request; if not, hyper reads from the socket through [`Io`].
    pub fn poll(
        self: &Arc<Self>,
        cx: &mut Context<'_>,
        busy: bool,
        start_handler: StartHandler<'_>,
    ) -> Poll<()> {
        let Some(may_overlap) = &self.may_overlap else { return Poll::Pending };
        let mut state = self.lock();
        if !busy {
            // `current` shares memory with hyper's read buffer, which an idle connection
            // should not keep allocated.
            state.current = None;
            return Poll::Pending;
        }
        loop {
            state.scan_unread(self.head_bytes);
            state.start_overlapping(may_overlap, start_handler, &|number| self.place(number));
            if state.read_closed {
                return Poll::Ready(());
            }
            if state.is_full() || state.scanner != Scanner::Head {
                return Poll::Pending;
            }
            ready!(self.read_chunk(cx, &mut state));
        }
    }

    /// Reads some bytes from the socket into `unread`.
    fn read_chunk(&self, cx: &mut Context<'_>, state: &mut State) -> Poll<()> {
        let mut chunk = [0; READ_CHUNK];
        // An error is treated like the end of the stream: no further bytes arrive, and
        // nobody reads the answers.
        match ready!(Pin::new(&mut &*self.stream).poll_read(cx, &mut chunk)) {
            Ok(0) | Err(_) => state.read_closed = true,
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
        self.queue.len() >= MAX_PIPELINED || self.unread.len() >= MAX_UNREAD_BYTES
    }

    /// Scans the unread bytes and queues the requests found, up to the first incomplete
    /// head or until the queue is full.
    fn scan_unread(&mut self, head_bytes: usize) {
        while self.scanned < self.unread.len() && self.queue.len() < MAX_PIPELINED {
            let progress = match self.scanner.step(&self.unread[self.scanned..], head_bytes) {
                Step::Partial if self.read_closed => {
                    self.scanner = Scanner::Disabled;
                    continue;
                }
                Step::Partial => return,
                Step::Unsupported => {
                    self.scanned = self.unread.len();
                    return;
                }
                Step::Skipped(len) => {
                    self.scanned += len;
                    continue;
                }
                Step::WithBody(len) => {
                    self.scanned += len;
                    Progress::InOrder
                }
                Step::NoBody(req, len) => {
                    self.scanned += len;
                    Progress::Startable(req)
                }
            };
            self.queue.push_back(Queued { since: Instant::now(), progress });
        }
    }

    /// Returns whether a request behind the one with this number was started early.
    fn has_started_behind(&self, number: u64) -> bool {
        let is_started = |queued: &Queued| matches!(queued.progress, Progress::Started(_));
        let nearer = usize::try_from(number.saturating_sub(self.parsed)).unwrap_or(usize::MAX);
        self.queue.iter().skip(nearer).any(is_started)
    }

    /// Returns whether the answer to a request that is not answered yet may end the connection.
    fn is_end_reserved(&self) -> bool {
        self.end_reserved_by.is_some_and(|number| number >= self.parsed)
    }

    /// Starts the queued requests that may overlap, up to the first that may not.
    fn start_overlapping(
        &mut self,
        may_overlap: &Arc<MayOverlap>,
        start_handler: StartHandler<'_>,
        place: &dyn Fn(u64) -> Place,
    ) {
        let is_startable = |queued: &Queued| matches!(queued.progress, Progress::Startable(_));
        if self.stopped || self.is_end_reserved() || !self.queue.iter().any(is_startable) {
            return;
        }
        if !self.current.as_ref().is_some_and(|target| may_overlap(target)) {
            return;
        }
        for (number, queued) in (self.parsed + 1..).zip(&mut self.queue) {
            match &queued.progress {
                Progress::InOrder => return,
                Progress::Started(_) => continue,
                Progress::Startable(req) => {
                    let target = Target::of(req.method(), req.uri(), req.headers());
                    if !may_overlap(&target) {
                        return;
                    }
                }
            }
            if let Progress::Startable(req) =
                std::mem::replace(&mut queued.progress, Progress::InOrder)
            {
                queued.progress = start_early(*req, queued.since, place(number), start_handler);
            }
        }
    }
}

fn start_early(
    mut req: Request<()>,
    since: Instant,
    place: Place,
    start_handler: StartHandler<'_>,
) -> Progress {
    let target = Target::of(req.method(), req.uri(), req.headers());
    let headers = req.headers().clone();
    let (tx, rx) = async_channel::bounded(1);
    req.extensions_mut().insert(PipelineDelay(since.elapsed()));
    req.extensions_mut().insert(AnswerTurn { rx });
    req.extensions_mut().insert(place);
    let task = start_handler(req.map(|()| body::empty()));
    Progress::Started(Box::new(Started { target, headers, task, _turn: TurnSignal { _tx: tx } }))
}

/// The connection's stream that hyper reads from and writes to.
pub struct Io {
    /// The read side.
    pub read_ahead: Arc<ReadAhead>,
    /// Notes whether hyper holds bytes that the peer does not take.
    pub activity: Arc<Activity>,
}

impl AsyncRead for Io {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read_ahead = &self.read_ahead;
        let mut state = read_ahead.lock();
        loop {
            state.scan_unread(read_ahead.head_bytes);
            if state.scanned > 0 {
                let len = state.scanned.min(buf.len());
                buf[..len].copy_from_slice(&state.unread[..len]);
                state.unread.advance(len);
                state.scanned -= len;
                if state.unread.is_empty() {
                    // Frees the buffer, so that an idle connection holds no memory for it.
                    state.unread = BytesMut::new();
                }
                return Poll::Ready(Ok(len));
            }
            if state.read_closed {
                return Poll::Ready(Ok(0));
            }
            if state.is_full() {
                // hyper has not yet parsed the queued requests, and polls again once it has
                // parsed one of them.
                return Poll::Pending;
            }
            let passthrough = match state.scanner {
                Scanner::Head => 0,
                Scanner::Body(left) => buf.len().min(usize::try_from(left).unwrap_or(usize::MAX)),
                Scanner::Disabled => buf.len(),
            };
            if passthrough > 0 {
                let mut stream = &*read_ahead.stream;
                let len = ready!(Pin::new(&mut stream).poll_read(cx, &mut buf[..passthrough]))?;
                let _skipped = state.scanner.step(&buf[..len], read_ahead.head_bytes);
                return Poll::Ready(Ok(len));
            }
            ready!(read_ahead.read_chunk(cx, &mut state));
        }
    }
}

impl AsyncWrite for Io {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut &*self.read_ahead.stream).poll_write(cx, buf);
        self.activity.record_write(written.is_pending());
        written
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut &*self.read_ahead.stream).poll_write_vectored(cx, bufs);
        self.activity.record_write(written.is_pending());
        written
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.read_ahead.stream).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.read_ahead.stream).poll_close(cx)
    }
}
