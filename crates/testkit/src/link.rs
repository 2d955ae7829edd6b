//! A link between failure domains: a TCP relay that adds a delay, and that can be cut,
//! silenced or made narrow.

use cicadashift_http::exec;
use smol::Async;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

const CHUNK_BYTES: usize = 64 << 10;
/// Interval at which a silent link checks whether it relays again.
const SILENCE_POLL: Duration = Duration::from_millis(10);
/// Bytes relayed at a time while the link has a limited rate.
const NARROW_CHUNK_BYTES: usize = 4 << 10;

/// A TCP relay to one address.
pub struct Link {
    /// The listen address of the relay.
    pub addr: SocketAddr,
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    cut: AtomicBool,
    silent: AtomicBool,
    bytes: AtomicU64,
    /// Rate of each connection and direction in bytes per second; zero is unlimited.
    bytes_per_s: AtomicU64,
}

impl Link {
    /// Starts a relay to `to` that adds `delay` in each direction.
    ///
    /// # Panics
    ///
    /// Panics if the system refuses a port.
    pub fn start(to: SocketAddr, delay: Duration) -> Link {
        Link::start_at(([127, 0, 0, 1], 0).into(), to, delay)
    }

    /// Starts a relay as [`Link::start`] does, with a given listen address.
    ///
    /// # Panics
    ///
    /// Panics if the address is in use.
    pub fn start_at(addr: SocketAddr, to: SocketAddr, delay: Duration) -> Link {
        let listener = Async::<TcpListener>::bind(addr).expect("a free port");
        let addr = listener.get_ref().local_addr().expect("a bound socket has an address");
        let state = Arc::new(State::default());
        exec::spawn(accept(listener, to, delay, state.clone())).detach();
        Link { addr, state }
    }

    /// Cuts the link or restores it. Cutting loses the bytes in transit and closes all
    /// connections.
    pub fn cut(&self, cut: bool) {
        self.state.cut.store(cut, Ordering::SeqCst);
    }

    /// Silences the link or restores it. A silent link holds all bytes back and closes no
    /// connection.
    pub fn silence(&self, silent: bool) {
        self.state.silent.store(silent, Ordering::SeqCst);
    }

    /// Limits the rate of each connection, in bytes per second and direction.
    pub fn limit_rate(&self, bytes_per_s: u64) {
        self.state.bytes_per_s.store(bytes_per_s, Ordering::Relaxed);
    }

    /// Returns the number of bytes relayed in both directions.
    pub fn bytes(&self) -> u64 {
        self.state.bytes.load(Ordering::Relaxed)
    }
}

async fn accept(listener: Async<TcpListener>, to: SocketAddr, delay: Duration, state: Arc<State>) {
    while let Ok((inbound, _)) = listener.accept().await {
        if state.cut.load(Ordering::SeqCst) {
            continue;
        }
        let state = state.clone();
        exec::spawn(async move {
            let Ok(outbound) = Async::<TcpStream>::connect(to).await else { return };
            let _best_effort =
                (inbound.get_ref().set_nodelay(true), outbound.get_ref().set_nodelay(true));
            let (inbound, outbound) = (Arc::new(inbound), Arc::new(outbound));
            let forward = relay(inbound.clone(), outbound.clone(), delay, state.clone());
            let backward = relay(outbound, inbound, delay, state);
            smol::future::zip(forward, backward).await;
        })
        .detach();
    }
}

async fn relay(
    from: Arc<Async<TcpStream>>,
    to: Arc<Async<TcpStream>>,
    delay: Duration,
    state: Arc<State>,
) {
    let (tx, rx) = smol::channel::bounded::<(Instant, Vec<u8>)>(1024);
    let reader = async {
        let mut from = &*from;
        let mut buf = vec![0; CHUNK_BYTES];
        loop {
            let is_narrow = state.bytes_per_s.load(Ordering::Relaxed) > 0;
            let max_len = if is_narrow { NARROW_CHUNK_BYTES } else { CHUNK_BYTES };
            let Ok(len) = from.read(&mut buf[..max_len]).await else { break };
            if len == 0 || tx.send((Instant::now() + delay, buf[..len].to_vec())).await.is_err() {
                break;
            }
        }
        drop(tx);
    };
    let writer = async {
        let mut to = &*to;
        while let Ok((due, chunk)) = rx.recv().await {
            smol::Timer::at(due).await;
            while state.silent.load(Ordering::SeqCst) {
                smol::Timer::after(SILENCE_POLL).await;
            }
            let bytes_per_s = state.bytes_per_s.load(Ordering::Relaxed);
            if bytes_per_s > 0 {
                let time = Duration::from_secs_f64(chunk.len() as f64 / bytes_per_s as f64);
                smol::Timer::after(time).await;
            }
            if state.cut.load(Ordering::SeqCst) || to.write_all(&chunk).await.is_err() {
                break;
            }
            state.bytes.fetch_add(chunk.len() as u64, Ordering::Relaxed);
        }
        let _closed = to.get_ref().shutdown(std::net::Shutdown::Both);
    };
    let cut_watcher = async {
        while !state.cut.load(Ordering::SeqCst) {
            smol::Timer::after(Duration::from_millis(10)).await;
        }
        let _closed = from.get_ref().shutdown(std::net::Shutdown::Both);
    };
    let both = smol::future::zip(reader, writer);
    smol::future::or(
        async {
            both.await;
        },
        cut_watcher,
    )
    .await;
    let _closed = to.get_ref().shutdown(std::net::Shutdown::Both);
}
