//! Loopback addresses and ports that no other process uses.

use socket2::{Domain, Socket, Type};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

static NEXT_IP: AtomicU32 = AtomicU32::new(0);

/// Returns an address in 127.0.0.0/8 that this process has not returned before.
///
/// Outgoing connections use 127.0.0.1 as their source address, so they do not take a port
/// that the system has assigned on another loopback address.
pub fn unique_ip() -> IpAddr {
    let n = NEXT_IP.fetch_add(1, Ordering::Relaxed);
    let pid = std::process::id();
    let b = 16 + (pid % 200) as u8;
    let c = ((pid / 200) % 200) as u8;
    IpAddr::V4(Ipv4Addr::new(127, b, c.wrapping_add((n / 250) as u8), (n % 250) as u8 + 2))
}

/// Locks the start of processes against the search for free ports; callers hold the guard
/// while they start a process.
///
/// A process that is started while [`free_addrs`] tries a UDP port inherits a copy of that
/// socket, which stays open until the process calls `exec`. A daemon that binds the port in
/// the meantime finds it in use and does not start.
pub fn lock_process_starts() -> MutexGuard<'static, ()> {
    static PROCESS_START: Mutex<()> = Mutex::new(());
    PROCESS_START.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns `N` different addresses whose ports are free for TCP and UDP.
///
/// All sockets stay bound until the last port is found: the system may assign a port again
/// as soon as its socket is closed, and a daemon with the same port for two purposes does
/// not start. The TCP sockets are bound but do not listen. A process that another test
/// starts at this moment inherits a copy of the socket, which stays open until the process
/// calls `exec`. A copy of a listening socket makes the daemon find its port in use and not
/// start; a copy of a socket that is only bound does not keep the daemon from listening.
///
/// # Panics
///
/// Panics if the system has no free port.
pub fn free_addrs<const N: usize>(ip: IpAddr) -> [SocketAddr; N] {
    let mut bound = Vec::new();
    let _process_start_lock = lock_process_starts();
    while bound.len() < N {
        let (addr, tcp) = bind_tcp(ip).expect("the system has a free port");
        if UdpSocket::bind(addr).is_ok() {
            bound.push((addr, tcp));
        }
    }
    std::array::from_fn(|i| bound[i].0)
}

fn bind_tcp(ip: IpAddr) -> std::io::Result<(SocketAddr, Socket)> {
    let tcp = Socket::new(Domain::for_address(SocketAddr::new(ip, 0)), Type::STREAM, None)?;
    tcp.set_reuse_address(true)?;
    tcp.bind(&SocketAddr::new(ip, 0).into())?;
    let addr = tcp.local_addr()?.as_socket().ok_or(std::io::ErrorKind::AddrNotAvailable)?;
    Ok((addr, tcp))
}
