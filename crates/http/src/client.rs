//! Sending requests over pooled connections.
//!
//! A connection is reused only after the code that sent the request has read the
//! complete answer, checked it and called [`Connection::return_to`]. In all other cases
//! the connection is closed, so that bytes of one answer are never taken for the answer
//! to the next request.

use crate::answer::{self, MalformedHead};
use crate::body::{Body, BodyError};
use crate::fair::Fair;
use crate::head_lines::{HeadLines, NextHead};
use crate::keep_alive::MAX_KEEP_ALIVE;
use crate::reactor::Async;
use crate::{exec, socket};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Method, Request, Response};
use smol_hyper::rt::FuturesIo;
use std::collections::HashMap;
use std::error::Error as _;
use std::fmt;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Timeout for establishing a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time after which an unused connection is closed. It is shorter than the timeout of
/// the servers of this project and of its users, so a request is rarely sent on a
/// connection that its server is closing. It is short since an idle connection holds
/// two buffers of 8 KB at both ends.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum bytes buffered for one answer. With hyper's default of 400 KB, a few slow
/// readers of large answers take up the largest part of a daemon's memory.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// Longest time of one exchange in which the answer arrives steadily: a megabyte over a link
/// of which other traffic leaves 1 Mbit/s.
const MAX_TRANSFER: Duration = Duration::from_secs(10);

/// Time limits of one exchange.
///
/// A limit on the whole exchange would give up an answer that arrives steadily over a narrow
/// or busy link. The next attempt would begin anew and fail in the same way, and the
/// attempts themselves would fill the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// Longest time until the head of the answer.
    pub head: Duration,
    /// Longest time without a further piece of the body.
    pub stall: Duration,
}

impl From<Duration> for Timeouts {
    fn from(time: Duration) -> Timeouts {
        Timeouts { head: time, stall: time }
    }
}

/// Why a request has no complete answer.
#[derive(Debug)]
pub enum SendError {
    /// No connection could be established: no byte of the request was sent.
    Unreached(String),
    /// The connection was closed before the request was written: no byte was sent.
    NotSent,
    /// The connection broke after that: the request may have been received.
    Broken(String),
    /// The timeout passed: the request may have been received.
    TimedOut,
    /// The head of the answer is malformed: the request may have run.
    Malformed(MalformedHead),
    /// The answer's body could not be read completely.
    Body(BodyError),
}

impl SendError {
    /// Returns whether it is certain that no byte of the request reached the peer.
    pub fn is_unsent(&self) -> bool {
        matches!(self, SendError::Unreached(_) | SendError::NotSent)
    }
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SendError::Unreached(why) => write!(f, "cannot connect: {why}"),
            SendError::NotSent => write!(f, "connection closed before the request was sent"),
            SendError::Broken(why) => write!(f, "connection broke: {why}"),
            SendError::TimedOut => write!(f, "no answer in time"),
            SendError::Malformed(why) => write!(f, "malformed answer: {why}"),
            SendError::Body(err) => write!(f, "{err}"),
        }
    }
}

impl std::error::Error for SendError {}

/// Idle connections that are kept for reuse, by address.
pub struct Pool {
    max_per_address: usize,
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

struct IdleConnection {
    link: Link,
    expires: Instant,
}

/// A connection's end at the sender of requests.
struct Link {
    sender: SendRequest<Body>,
    next_head: NextHead,
}

impl Link {
    async fn send(
        &mut self,
        req: Request<Body>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Body>>> {
        self.next_head.expect();
        self.sender.try_send_request(req).await
    }
}

/// The connection on which an answer arrives. Dropping it closes the connection once the
/// answer has ended.
pub struct Connection {
    to: SocketAddr,
    link: Link,
}

impl Connection {
    /// Returns the connection to the pool, where it may stay unused for `timeout`, at most
    /// [`MAX_KEEP_ALIVE`].
    ///
    /// To be called only after the complete answer has been read and found to belong
    /// to its request.
    pub fn return_to(self, pool: &Pool, timeout: Duration) {
        if self.link.sender.is_closed() {
            return;
        }
        let mut idle = pool.lock();
        let connections = idle.entry(self.to).or_default();
        if connections.len() < pool.max_per_address {
            let expires = Instant::now() + timeout.min(MAX_KEEP_ALIVE);
            connections.push(IdleConnection { link: self.link, expires });
        }
    }
}

impl Pool {
    /// Creates a pool that keeps at most `max_per_address` idle connections to an address.
    pub fn new(max_per_address: usize) -> Pool {
        Pool { max_per_address, idle: Mutex::new(HashMap::new()) }
    }

    /// Sends a request and returns the head of its answer, together with the
    /// connection on which the rest of the answer arrives.
    ///
    /// If the peer has closed an idle connection, this is detected before the request
    /// is written, and the request is sent on another connection.
    ///
    /// The head of the answer is sound, see [`answer::accept`].
    ///
    /// # Errors
    ///
    /// Returns [`SendError`]; the request may have run unless [`SendError::is_unsent`]
    /// returns true.
    pub async fn send(
        &self,
        to: SocketAddr,
        req: Request<Body>,
    ) -> Result<(Response<Incoming>, Connection), SendError> {
        let mut req = req;
        let method = req.method().clone();
        while let Some(mut link) = self.take_idle(to) {
            match link.send(req).await {
                Ok(answer) => return accept(answer, &method, Connection { to, link }),
                Err(mut err) => match err.take_message() {
                    Some(unsent) => req = unsent,
                    None => return Err(broken(&err.into_error())),
                },
            }
        }
        let mut link = connect(to).await?;
        match link.send(req).await {
            Ok(answer) => accept(answer, &method, Connection { to, link }),
            Err(mut err) => match err.take_message() {
                Some(_) => Err(SendError::NotSent),
                None => Err(broken(&err.into_error())),
            },
        }
    }

    /// Sends a request and reads its complete answer.
    ///
    /// # Errors
    ///
    /// Returns [`SendError`] as [`Pool::send`] does, and also if one of the timeouts passes,
    /// the answer takes ten seconds, or the body is incomplete or longer than `max_bytes`.
    pub async fn exchange(
        &self,
        to: SocketAddr,
        req: Request<Body>,
        max_bytes: usize,
        timeouts: impl Into<Timeouts>,
    ) -> Result<Response<Bytes>, SendError> {
        let Timeouts { head, stall } = timeouts.into();
        let sent = exec::timeout(head, self.send(to, req)).await;
        let (answer, connection) = sent.unwrap_or(Err(SendError::TimedOut))?;
        let (head, incoming) = answer.into_parts();
        let body = exec::timeout(MAX_TRANSFER, read_steadily(incoming, max_bytes, stall)).await;
        let buf = body.unwrap_or(Err(SendError::TimedOut))?;
        connection.return_to(self, IDLE_TIMEOUT);
        Ok(Response::from_parts(head, buf))
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, to: SocketAddr) {
        self.lock().remove(&to);
    }

    /// Closes the connections that have stayed unused for their timeout.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.lock().retain(|_, connections| {
            connections.retain(|connection| {
                now < connection.expires && !connection.link.sender.is_closed()
            });
            !connections.is_empty()
        });
    }

    /// Takes the connection that was used most recently, so that surplus connections
    /// reach their idle timeout.
    fn take_idle(&self, to: SocketAddr) -> Option<Link> {
        let now = Instant::now();
        let mut idle = self.lock();
        let connections = idle.get_mut(&to)?;
        connections
            .retain(|connection| now < connection.expires && !connection.link.sender.is_closed());
        let ready = connections.iter().rposition(|connection| connection.link.sender.is_ready())?;
        Some(connections.remove(ready).link)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// Returns why a connection broke on which a request was sent.
fn broken(err: &hyper::Error) -> SendError {
    match find_malformed(err) {
        Some(why) => SendError::Malformed(why),
        None => SendError::Broken(err.to_string()),
    }
}

/// Returns the error of [`HeadLines`] that ended a connection, if one did.
fn find_malformed(err: &hyper::Error) -> Option<MalformedHead> {
    let err = err.source()?.downcast_ref::<io::Error>()?;
    err.get_ref()?.downcast_ref().copied()
}

/// Passes an answer on with its connection, unless its head is malformed. Both are dropped then,
/// which closes the connection.
fn accept(
    answer: Response<Incoming>,
    method: &Method,
    connection: Connection,
) -> Result<(Response<Incoming>, Connection), SendError> {
    let answer = answer::accept(answer, method).map_err(SendError::Malformed)?;
    Ok((answer, connection))
}

/// Reads a complete body of at most `max_bytes` whose pieces follow each other within
/// `stall`.
async fn read_steadily(
    mut incoming: Incoming,
    max_bytes: usize,
    stall: Duration,
) -> Result<Bytes, SendError> {
    if incoming.size_hint().lower() > max_bytes as u64 {
        return Err(SendError::Body(BodyError::TooLong));
    }
    let mut buf = BytesMut::new();
    loop {
        let frame = match exec::timeout(stall, incoming.frame()).await {
            None => return Err(SendError::TimedOut),
            Some(None) => return Ok(buf.freeze()),
            Some(Some(Err(err))) => {
                return Err(SendError::Body(BodyError::Broken(err.to_string())));
            }
            Some(Some(Ok(frame))) => frame,
        };
        let Ok(data) = frame.into_data() else { continue };
        if buf.len() + data.len() > max_bytes {
            return Err(SendError::Body(BodyError::TooLong));
        }
        buf.extend_from_slice(&data);
    }
}

async fn connect(to: SocketAddr) -> Result<Link, SendError> {
    let stream = exec::timeout(CONNECT_TIMEOUT, Async::<TcpStream>::connect(to))
        .await
        .ok_or_else(|| SendError::Unreached("timed out".to_string()))?
        .map_err(|err| SendError::Unreached(err.to_string()))?;
    socket::set_options(stream.get_ref());
    let next_head = NextHead::default();
    let io = HeadLines::new(Fair::new(stream), next_head.clone());
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(FuturesIo::new(io))
        .await
        .map_err(|err| SendError::Unreached(err.to_string()))?;
    exec::spawn(async move {
        let _closed = connection.await;
    })
    .detach();
    Ok(Link { sender, next_head })
}
