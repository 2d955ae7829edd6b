//! Options of every TCP socket.

use socket2::{SockRef, TcpKeepalive};
use std::net::TcpStream;
use std::time::Duration;

/// Idle time before the first keep-alive probe, and between two; the smallest
/// that the option can express.
const PROBE_EVERY: Duration = Duration::from_secs(1);
/// Unanswered probes after which the connection is given up.
const PROBES: u32 = 2;
/// Time that sent bytes may stay unacknowledged. Three round trips of 110 ms and
/// their retransmissions fit in; a caller's second try still has time left.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1500);

/// Bytes of one connection that may wait in the system. Failure: large answers
/// fill a narrow link with all that the system takes from them. Symptom: small
/// answers on other connections wait behind them, 50 ms for each 32 KB at 5 Mbit/s.
/// This much still carries 90 KB between failure domains in three round trips.
const SEND_BUFFER: usize = 32 << 10;

/// Makes a socket answer at once and notice a silent peer.
///
/// Failure: a connection goes silent without a reset, as behind a partition.
/// Symptom: each request on it waits until its own deadline, and the connection
/// is used again. Probes end it after about three seconds, unacknowledged bytes
/// after half that, whoever waits. Without the first option an answer written in
/// two parts waits 40 ms for the peer's delayed acknowledgement.
pub fn tune(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let probes =
        TcpKeepalive::new().with_time(PROBE_EVERY).with_interval(PROBE_EVERY).with_retries(PROBES);
    let results = [
        socket.set_tcp_nodelay(true),
        socket.set_tcp_keepalive(&probes),
        socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED)),
        socket.set_send_buffer_size(SEND_BUFFER),
    ];
    for err in results.into_iter().filter_map(Result::err) {
        log::debug!("a socket option is not to be had: {err}");
    }
}
