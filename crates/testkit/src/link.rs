//! A link between failure domains: a TCP relay that adds a delay and can be cut.

use cicadashift_http::exec;
use smol::Async;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

const CHUNK_BYTES: usize = 64 << 10;

/// A TCP relay to one address.
pub struct Link {
    /// The listen address of the relay.
    pub addr: SocketAddr,
    cut: Arc<AtomicBool>,
    bytes: Arc<AtomicU64>,
}

impl Link {
    /// Starts a relay to `to` that adds `delay` in each direction.
    ///
    /// # Panics
    ///
    /// Panics if the system refuses a port.
    pub fn start(to: SocketAddr, delay: Duration) -> Link {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a free port");
        let addr = listener.get_ref().local_addr().expect("a bound socket has an address");
        let cut = Arc::new(AtomicBool::new(false));
        let bytes = Arc::new(AtomicU64::new(0));
        exec::spawn(accept(listener, to, delay, cut.clone(), bytes.clone())).detach();
        Link { addr, cut, bytes }
    }

    /// Cuts the link or restores it. Cutting loses the bytes in transit and closes all
    /// connections.
    pub fn cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }

    /// Returns the number of bytes relayed in both directions.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

async fn accept(
    listener: Async<TcpListener>,
    to: SocketAddr,
    delay: Duration,
    cut: Arc<AtomicBool>,
    bytes: Arc<AtomicU64>,
) {
    while let Ok((inbound, _)) = listener.accept().await {
        if cut.load(Ordering::SeqCst) {
            continue;
        }
        let (cut, bytes) = (cut.clone(), bytes.clone());
        exec::spawn(async move {
            let Ok(outbound) = Async::<TcpStream>::connect(to).await else { return };
            let _best_effort =
                (inbound.get_ref().set_nodelay(true), outbound.get_ref().set_nodelay(true));
            let (inbound, outbound) = (Arc::new(inbound), Arc::new(outbound));
            let forward =
                relay(inbound.clone(), outbound.clone(), delay, cut.clone(), bytes.clone());
            let backward = relay(outbound, inbound, delay, cut, bytes);
            smol::future::zip(forward, backward).await;
        })
        .detach();
    }
}

async fn relay(
    from: Arc<Async<TcpStream>>,
    to: Arc<Async<TcpStream>>,
    delay: Duration,
    cut: Arc<AtomicBool>,
    bytes: Arc<AtomicU64>,
) {
    let (tx, rx) = smol::channel::bounded::<(Instant, Vec<u8>)>(1024);
    let reader = async {
        let mut from = &*from;
        let mut buf = vec![0; CHUNK_BYTES];
        while let Ok(len) = from.read(&mut buf).await {
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
            if cut.load(Ordering::SeqCst) || to.write_all(&chunk).await.is_err() {
                break;
            }
            bytes.fetch_add(chunk.len() as u64, Ordering::Relaxed);
        }
        let _closed = to.get_ref().shutdown(std::net::Shutdown::Both);
    };
    let cut_watcher = async {
        while !cut.load(Ordering::SeqCst) {
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
