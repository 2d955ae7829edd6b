//! Sending requests over kept connections.
//!
//! A connection is used again only after the caller has read the whole answer
//! and found it in order ([`Connection::return_to`]). Whatever else happens closes it,
//! so that bytes of one answer can never reach the next request.

use crate::body::{self, Body, BodyError};
use crate::{exec, socket};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use smol::Async;
use smol_hyper::rt::FuturesIo;
use std::collections::HashMap;
use std::fmt;
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Time for a connection to be made.
pub const CONNECT_TIME: Duration = Duration::from_millis(1000);
/// Time after which an unused connection is closed. Servers of this project and
/// of its users keep them for longer, so a request rarely meets a closing one,
/// and an idle connection holds two buffers of 8 KB at both ends.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Most bytes buffered for one answer; hyper's own bound is 400 KB, which a few
/// slow readers of large answers make the largest part of a daemon's memory.
const BUFFER_BYTES: usize = 64 << 10;

/// Why a request has no answer.
#[derive(Debug)]
pub enum SendError {
    /// No connection: certainly no byte of the request left.
    Unreached(String),
    /// The connection was closed before the request was written: no byte left.
    NotSent,
    /// The connection broke afterwards: the request may have been received.
    Broken(String),
    /// The time was up afterwards: the request may have been received.
    TimedOut,
    /// The answer's body did not arrive whole.
    Body(BodyError),
}

impl SendError {
    /// Returns whether certainly no byte of the request reached the peer.
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
            SendError::Body(err) => write!(f, "{err}"),
        }
    }
}

impl std::error::Error for SendError {}

/// Connections kept for reuse, by address.
pub struct Pool {
    per_address: usize,
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

struct Idle {
    sender: SendRequest<Body>,
    until: Instant,
}

/// The connection that an answer comes on; dropping it closes it once the answer
/// has ended.
pub struct Connection {
    to: SocketAddr,
    sender: SendRequest<Body>,
}

impl Connection {
    /// Puts the connection back for at most `idle`.
    ///
    /// To be called when the answer has been read whole and found to belong to
    /// its request.
    pub fn return_to(self, pool: &Pool, idle: Duration) {
        if self.sender.is_closed() {
            return;
        }
        let mut kept = pool.lock();
        let idles = kept.entry(self.to).or_default();
        if idles.len() < pool.per_address {
            idles.push(Idle { sender: self.sender, until: Instant::now() + idle });
        }
    }
}

impl Pool {
    /// Makes a pool that keeps at most `per_address` connections to an address.
    pub fn new(per_address: usize) -> Pool {
        Pool { per_address, idle: Mutex::new(HashMap::new()) }
    }

    /// Sends a request and returns the head of its answer with the connection
    /// that the rest of it comes on.
    ///
    /// A kept connection that its peer has closed meanwhile is noticed before
    /// the request is written, and the request goes to a new one.
    ///
    /// # Errors
    ///
    /// Returns [`SendError`], whose [`SendError::is_unsent`] tells whether the
    /// request may have run.
    pub async fn send(
        &self,
        to: SocketAddr,
        req: Request<Body>,
    ) -> Result<(Response<Incoming>, Connection), SendError> {
        let mut req = req;
        while let Some(mut sender) = self.take(to) {
            match sender.try_send_request(req).await {
                Ok(answer) => return Ok((answer, Connection { to, sender })),
                Err(mut err) => match err.take_message() {
                    Some(unsent) => req = unsent,
                    None => return Err(SendError::Broken(err.into_error().to_string())),
                },
            }
        }
        let mut sender = connect(to).await?;
        match sender.try_send_request(req).await {
            Ok(answer) => Ok((answer, Connection { to, sender })),
            Err(mut err) => match err.take_message() {
                Some(_) => Err(SendError::NotSent),
                None => Err(SendError::Broken(err.into_error().to_string())),
            },
        }
    }

    /// Sends a request and reads its whole answer, within a time.
    ///
    /// # Errors
    ///
    /// Returns [`SendError`] as [`Pool::send`] does, and for a body that did not
    /// arrive whole or is over `most` bytes.
    pub async fn exchange(
        &self,
        to: SocketAddr,
        req: Request<Body>,
        most: usize,
        time: Duration,
    ) -> Result<Response<Bytes>, SendError> {
        let whole = async {
            let (answer, connection) = self.send(to, req).await?;
            let (head, incoming) = answer.into_parts();
            let buf = body::read(incoming, most).await.map_err(SendError::Body)?;
            connection.return_to(self, IDLE_TIMEOUT);
            Ok(Response::from_parts(head, buf))
        };
        exec::timeout(time, whole).await.unwrap_or(Err(SendError::TimedOut))
    }

    /// Closes the kept connections to an address.
    pub fn close_idle(&self, to: SocketAddr) {
        self.lock().remove(&to);
    }

    /// Closes connections that were not used for their time.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.lock().retain(|_, idles| {
            idles.retain(|idle| now < idle.until && !idle.sender.is_closed());
            !idles.is_empty()
        });
    }

    /// Takes the connection that was used last, so that those not needed any
    /// more reach their time.
    fn take(&self, to: SocketAddr) -> Option<SendRequest<Body>> {
        let now = Instant::now();
        let mut kept = self.lock();
        let idles = kept.get_mut(&to)?;
        idles.retain(|idle| now < idle.until && !idle.sender.is_closed());
        let ready = idles.iter().rposition(|idle| idle.sender.is_ready())?;
        Some(idles.remove(ready).sender)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

async fn connect(to: SocketAddr) -> Result<SendRequest<Body>, SendError> {
    let stream = exec::timeout(CONNECT_TIME, Async::<TcpStream>::connect(to))
        .await
        .ok_or_else(|| SendError::Unreached("timed out".to_string()))?
        .map_err(|err| SendError::Unreached(err.to_string()))?;
    socket::tune(stream.get_ref());
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(BUFFER_BYTES)
        .handshake(FuturesIo::new(stream))
        .await
        .map_err(|err| SendError::Unreached(err.to_string()))?;
    exec::spawn(async move {
        let _closed = connection.await;
    })
    .detach();
    Ok(sender)
}
