//! Clients of the mesh on kept connections.

use crate::http::{Conn, Head};
use std::io::{self, ErrorKind, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The `Host` of all routes.
pub const HOST: &str = "ficu95.example";
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

static LAST_ID: AtomicU64 = AtomicU64::new(0);

/// Returns an id that no other request of the run has.
pub fn new_id() -> String {
    let number = LAST_ID.fetch_add(1, Ordering::SeqCst) + 1;
    format!("{:08x}{number:08x}", std::process::id())
}

/// Makes a request. The body is not empty for methods other than GET.
pub fn request(method: &str, path: &str, id: &str, deadline: Duration) -> Vec<u8> {
    let body = if method == "GET" { String::new() } else { format!("body of {id}") };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        deadline.as_millis(),
        body.len()
    )
    .into_bytes()
}

/// What a client got for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// A complete answer: the status, and whether an instance signed it.
    Answer { status: u16, is_signed: bool, id: String },
    /// The connection ended before the first byte of an answer.
    NoAnswer,
    /// The connection ended within the answer.
    CutInAnswer,
    /// The deadline of the client passed.
    LeftAtDeadline,
}

impl Outcome {
    pub fn is_success(&self) -> bool {
        matches!(self, Outcome::Answer { status, is_signed: true, .. } if (200..300).contains(status))
    }
}

/// A client's connection.
pub struct Client {
    to: SocketAddr,
    conn: Option<Conn>,
}

impl Client {
    pub fn new(to: SocketAddr) -> Client {
        Client { to, conn: None }
    }

    /// Sends bytes on the kept connection, or on a new one.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.conn.is_none() {
            self.conn = Some(Conn::connect(self.to, CONNECT_TIMEOUT)?);
        }
        let Some(conn) = &mut self.conn else { return Err(ErrorKind::NotConnected.into()) };
        conn.stream.write_all(bytes)
    }

    /// Reads the answer to the oldest request that has none.
    pub fn read(&mut self, left: Duration) -> Outcome {
        let Some(mut conn) = self.conn.take() else { return Outcome::NoAnswer };
        let _limits_the_wait =
            conn.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
        let head = match conn.read_head() {
            Ok(Some(head)) => head,
            Ok(None) => return Outcome::NoAnswer,
            Err(err) if is_timeout(&err) => return Outcome::LeftAtDeadline,
            Err(_) => return Outcome::NoAnswer,
        };
        match conn.read_body(&head) {
            Ok(_) => {}
            Err(err) if is_timeout(&err) => return Outcome::LeftAtDeadline,
            Err(_) => return Outcome::CutInAnswer,
        }
        if !closes(&head) {
            self.conn = Some(conn);
        }
        Outcome::Answer {
            status: head.status(),
            is_signed: head.header("x-server-stamp").is_some(),
            id: head.header("x-request-id").unwrap_or("").to_string(),
        }
    }

    /// Closes the connection.
    pub fn close(&mut self) {
        self.conn = None;
    }

    pub fn is_open(&self) -> bool {
        self.conn.is_some()
    }
}

fn closes(head: &Head) -> bool {
    head.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
}

fn is_timeout(err: &io::Error) -> bool {
    matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}
