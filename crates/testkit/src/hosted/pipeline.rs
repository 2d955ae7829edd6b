//! Requests that a caller sends on one connection before the first is answered.

use super::fleet::HOST;
use cicadashift_http::exec;
use cicadashift_http::reactor::Async;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Time after which the caller gives up; longer than any timeout in the tests.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// What arrived on a connection until its end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// Answers that began.
    pub answers: usize,
    /// Those of them with status 200.
    pub successes: usize,
    /// Bytes of all answers and their heads.
    pub bytes: usize,
}

/// Returns the text of a GET. The last one on its connection asks to close it.
pub fn get(path: &str, id: &str, is_last: bool) -> String {
    let connection = if is_last { "close" } else { "keep-alive" };
    format!(
        "GET {path} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\n\
         connection: {connection}\r\n\r\n"
    )
}

/// Sends GETs, each a path and an id, on a new connection, and reads until its end.
pub async fn exchange(to: SocketAddr, requests: &[(&str, &str)]) -> Received {
    let got = exchange_bytes(to, requests).await;
    let text = String::from_utf8_lossy(&got);
    Received {
        answers: text.matches("HTTP/1.1 ").count(),
        successes: text.matches("HTTP/1.1 200").count(),
        bytes: got.len(),
    }
}

/// Sends GETs as [`exchange`] does; returns the bytes that arrive, as no client has read them.
pub async fn exchange_bytes(to: SocketAddr, requests: &[(&str, &str)]) -> Vec<u8> {
    let Ok(mut caller) = Async::<TcpStream>::connect(to).await else { return Vec::new() };
    let numbered = requests.iter().enumerate();
    let text: String =
        numbered.map(|(i, (path, id))| get(path, id, i + 1 == requests.len())).collect();
    let mut got = Vec::new();
    let read = async {
        caller.write_all(text.as_bytes()).await?;
        caller.read_to_end(&mut got).await
    };
    // A connection that is reset has ended too.
    let _ended = exec::timeout(READ_TIMEOUT, read).await;
    got
}
