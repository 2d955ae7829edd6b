//! A link to the mesh port of one daemon: relays TCP and UDP on the same address.
//!
//! Rate limits apply to TCP only. Datagrams are small and pass as they are, so that daemons go
//! on hearing of each other while transfers between them are slow. The datagrams of single
//! senders can be blocked, as by a partition.

use crate::link::Link;
use crate::ports;
use cicadashift_http::exec;
use smol::Async;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Largest datagram, in bytes.
const MAX_DATAGRAM: usize = 64 << 10;

/// A relay of TCP connections and datagrams to one daemon.
pub struct MeshLink {
    /// The TCP relay; its address is that of the datagrams, too.
    pub tcp: Link,
    blocked: Arc<Mutex<Vec<IpAddr>>>,
}

impl MeshLink {
    /// Starts a relay to the mesh port `to`.
    ///
    /// # Panics
    ///
    /// Panics if the system has no free port.
    pub fn start(to: SocketAddr) -> MeshLink {
        let [addr] = ports::free_addrs(ports::unique_ip());
        let tcp = Link::start_at(addr, to, Duration::ZERO);
        let front = Async::<UdpSocket>::bind(addr).expect("a free port");
        let blocked = Arc::default();
        exec::spawn(relay_datagrams(Arc::new(front), to, Arc::clone(&blocked))).detach();
        MeshLink { tcp, blocked }
    }

    /// Drops the datagrams of these senders, and of no others.
    pub fn block(&self, senders: Vec<IpAddr>) {
        *self.blocked.lock().unwrap_or_else(PoisonError::into_inner) = senders;
    }
}

/// Relays the datagrams of each sender from a socket of its own, so that answers find
/// their way back.
async fn relay_datagrams(
    front: Arc<Async<UdpSocket>>,
    to: SocketAddr,
    blocked: Arc<Mutex<Vec<IpAddr>>>,
) {
    let mut senders: HashMap<SocketAddr, Arc<Async<UdpSocket>>> = HashMap::new();
    let mut buf = vec![0; MAX_DATAGRAM];
    while let Ok((len, from)) = front.recv_from(&mut buf).await {
        if blocked.lock().unwrap_or_else(PoisonError::into_inner).contains(&from.ip()) {
            continue;
        }
        let socket = senders.entry(from).or_insert_with(|| {
            let socket = Async::<UdpSocket>::bind((to.ip(), 0)).expect("a free port");
            let socket = Arc::new(socket);
            exec::spawn(return_answers(front.clone(), socket.clone(), from)).detach();
            socket
        });
        let _lost = socket.send_to(&buf[..len], to).await;
    }
}

async fn return_answers(
    front: Arc<Async<UdpSocket>>,
    socket: Arc<Async<UdpSocket>>,
    to: SocketAddr,
) {
    let mut buf = vec![0; MAX_DATAGRAM];
    while let Ok((len, _)) = socket.recv_from(&mut buf).await {
        let _lost = front.send_to(&buf[..len], to).await;
    }
}
