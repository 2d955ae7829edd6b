//! Sending requests over pooled connections.
//!
//! A connection is reused only after the code that sent the request has read the
//! complete answer, checked it and called [`Connection::return_to`]. In all other cases
//! the connection is closed, so that bytes of one answer are never taken for the answer
//! to the next request.

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
    sender: SendRequest<Body>,
    expires: Instant,
}

/// The connection on which an answer arrives. Dropping it closes the connection once the
/// answer has ended.
pub struct Connection {
    to: SocketAddr,
    sender: SendRequest<Body>,
}

impl Connection {
    /// Returns the connection to the pool, where it may stay unused for `timeout`.
    ///
    /// To be called only after the complete answer has been read and found to belong
    /// to its request.
    pub fn return_to(self, pool: &Pool, timeout: Duration) {
        if self.sender.is_closed() {
            return;
        }
        let mut idle = pool.lock();
        let connections = idle.entry(self.to).or_default();
        if connections.len() < pool.max_per_address {
            connections
                .push(IdleConnection { sender: self.sender, expires: Instant::now() + timeout });
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
        while let Some(mut sender) = self.take_idle(to) {
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

    /// Sends a request and reads its complete answer within `timeout`.
    ///
    /// # Errors
    ///
    /// Returns [`SendError`] as [`Pool::send`] does, and also if the timeout passes or
    /// the body is incomplete or longer than `max_bytes`.
    pub async fn exchange(
        &self,
        to: SocketAddr,
        req: Request<Body>,
        max_bytes: usize,
        timeout: Duration,
    ) -> Result<Response<Bytes>, SendError> {
        let round_trip = async {
            let (answer, connection) = self.send(to, req).await?;
            let (head, incoming) = answer.into_parts();
            let buf = body::read(incoming, max_bytes).await.map_err(SendError::Body)?;
            connection.return_to(self, IDLE_TIMEOUT);
            Ok(Response::from_parts(head, buf))
        };
        exec::timeout(timeout, round_trip).await.unwrap_or(Err(SendError::TimedOut))
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, to: SocketAddr) {
        self.lock().remove(&to);
    }

    /// Closes the connections that have stayed unused for their timeout.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.lock().retain(|_, connections| {
            connections
                .retain(|connection| now < connection.expires && !connection.sender.is_closed());
            !connections.is_empty()
        });
    }

    /// Takes the connection that was used most recently, so that surplus connections
    /// reach their idle timeout.
    fn take_idle(&self, to: SocketAddr) -> Option<SendRequest<Body>> {
        let now = Instant::now();
        let mut idle = self.lock();
        let connections = idle.get_mut(&to)?;
        connections.retain(|connection| now < connection.expires && !connection.sender.is_closed());
        let ready = connections.iter().rposition(|connection| connection.sender.is_ready())?;
        Some(connections.remove(ready).sender)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

async fn connect(to: SocketAddr) -> Result<SendRequest<Body>, SendError> {
    let stream = exec::timeout(CONNECT_TIMEOUT, Async::<TcpStream>::connect(to))
        .await
        .ok_or_else(|| SendError::Unreached("timed out".to_string()))?
        .map_err(|err| SendError::Unreached(err.to_string()))?;
    socket::set_options(stream.get_ref());
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(FuturesIo::new(stream))
        .await
        .map_err(|err| SendError::Unreached(err.to_string()))?;
    exec::spawn(async move {
        let _closed = connection.await;
    })
    .detach();
    Ok(sender)
}
