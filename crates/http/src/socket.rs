//! Options set on every TCP socket.

use socket2::{SockRef, TcpKeepalive};
use std::net::TcpStream;
use std::time::Duration;

/// Idle time before the first keep-alive probe, and interval between probes. One
/// second is the smallest value that these options accept.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keep-alive probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// How long sent bytes may stay unacknowledged before the connection is closed.
/// Long enough for three round trips of 110 ms with retransmissions, and short enough
/// to leave a caller time for a second attempt.
const USER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Size of a connection's send buffer in the kernel. Failure: with a larger one, large
/// answers fill the queue of a narrow link. Symptom: small answers on other
/// connections wait behind them, 50 ms for each 32 KB at 5 Mbit/s. This size still
/// carries 90 KB between failure domains in three round trips.
const SEND_BUFFER: usize = 32 << 10;

/// Sets the options by which a socket sends without delay and detects a silent peer.
///
/// Failure: a connection goes silent without a reset, as in a network partition.
/// Symptom: each request on it waits until its own deadline, and the connection is
/// reused. Keep-alive probes close it after about three seconds, and unacknowledged
/// bytes after half of that, independently of any request's deadline. Without
/// `TCP_NODELAY`, an answer written in two parts waits 40 ms for the peer's delayed
/// acknowledgement.
pub fn set_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let results = [
        socket.set_tcp_nodelay(true),
        socket.set_tcp_keepalive(&keepalive),
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT)),
        socket.set_send_buffer_size(SEND_BUFFER),
    ];
    for err in results.into_iter().filter_map(Result::err) {
        log::debug!("cannot set a socket option: {err}");
    }
}
