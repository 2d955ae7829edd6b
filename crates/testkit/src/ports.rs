//! Addresses on loopback that nothing else takes.

use socket2::{Domain, Socket, Type};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

static NEXT: AtomicU32 = AtomicU32::new(0);

/// Returns an address of its own in 127.0.0.0/8.
///
/// Outgoing connections leave from 127.0.0.1, so a port that the system handed
/// out on another loopback address stays free until it is listened on.
pub fn unique_ip() -> IpAddr {
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let pid = std::process::id();
    let b = 16 + (pid % 200) as u8;
    let c = ((pid / 200) % 200) as u8;
    IpAddr::V4(Ipv4Addr::new(127, b, c.wrapping_add((n / 250) as u8), (n % 250) as u8 + 2))
}

/// Keeps processes from being started while ports are looked for, and the reverse.
///
/// Failure: a process is started in the moment in which a UDP port is tried. Symptom:
/// its copy of the socket lives until it has replaced itself, and the daemon finds its
/// port in use and does not start. Whoever starts a process holds this meanwhile.
pub fn lock_process_starts() -> MutexGuard<'static, ()> {
    static STARTING: Mutex<()> = Mutex::new(());
    STARTING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns different addresses, each free for TCP and UDP a moment ago.
///
/// All are held until the last is found: the system hands out a port again as
/// soon as it is let go, and a daemon with one port for two uses does not start.
/// They are held without listening. Failure: another test starts a process in
/// this moment, whose copy of a listening socket lives until that process has
/// replaced itself. Symptom: the daemon finds its port in use and does not start.
/// A socket that was only bound does not keep the daemon from listening.
///
/// # Panics
///
/// Panics if the system has no free port, which no test can go on from.
pub fn free_addrs<const N: usize>(ip: IpAddr) -> [SocketAddr; N] {
    let mut held = Vec::new();
    let _no_process_starts = lock_process_starts();
    while held.len() < N {
        let (addr, tcp) = bind(ip).expect("the system has free ports");
        if UdpSocket::bind(addr).is_ok() {
            held.push((addr, tcp));
        }
    }
    std::array::from_fn(|i| held[i].0)
}

fn bind(ip: IpAddr) -> std::io::Result<(SocketAddr, Socket)> {
    let tcp = Socket::new(Domain::for_address(SocketAddr::new(ip, 0)), Type::STREAM, None)?;
    tcp.set_reuse_address(true)?;
    tcp.bind(&SocketAddr::new(ip, 0).into())?;
    let addr = tcp.local_addr()?.as_socket().ok_or(std::io::ErrorKind::AddrNotAvailable)?;
    Ok((addr, tcp))
}
