//! The reactor: timers, sockets, and the threads that poll them.
//!
//! Several tests run at the same time, so that several threads share the reactor, as they
//! do in a process with more than one thread.

use cicadashift_http::exec;
use cicadashift_http::reactor::{Async, Timer};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use std::future::Future;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Wake, Waker};
use std::thread;
use std::time::{Duration, Instant};

/// Timeout for events that nothing delays.
const SOON: Duration = Duration::from_secs(10);
/// Far longer than a test.
const FAR: Duration = Duration::from_secs(3600);
/// Connections open at the same time.
const MANY: usize = 300;
/// Time in which a thread that waits takes an event.
const EVENT_TIME: Duration = Duration::from_millis(200);

/// Counts how often it is woken.
#[derive(Default)]
struct Wakes(AtomicUsize);

impl Wake for Wakes {
    fn wake(self: Arc<Self>) {
        self.0.fetch_add(1, Ordering::SeqCst);
    }
}

/// Polls a timer once, with a waker of its own.
fn poll_once(timer: &mut Timer, wakes: &Arc<Wakes>) -> Poll<()> {
    let waker = Waker::from(wakes.clone());
    Pin::new(timer).poll(&mut Context::from_waker(&waker))
}

async fn soon<T>(what: &str, future: impl Future<Output = T>) -> T {
    exec::timeout(SOON, future).await.unwrap_or_else(|| panic!("{what}"))
}

fn listen() -> (Async<TcpListener>, SocketAddr) {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port is free");
    let addr = listener.get_ref().local_addr().expect("the listener is bound");
    (listener, addr)
}

/// Returns a socket of the reactor and the one that it is connected with, which blocks.
async fn pair() -> (Async<TcpStream>, TcpStream) {
    let (listener, addr) = listen();
    let far = TcpStream::connect(addr).expect("the listener is bound");
    let (near, peer) = listener.accept().await.expect("a connection waits");
    assert_eq!(peer, far.local_addr().expect("the socket is connected"));
    (near, far)
}

/// Returns every byte that it receives, until the connection is closed.
async fn echo(mut stream: Async<TcpStream>) {
    let mut buf = [0; 256];
    loop {
        let len = stream.read(&mut buf).await.expect("the connection is kept");
        if len == 0 {
            return;
        }
        stream.write_all(&buf[..len]).await.expect("the connection is kept");
    }
}

async fn ask(stream: &mut Async<TcpStream>, text: &str) {
    let mut buf = vec![0; text.len()];
    stream.write_all(text.as_bytes()).await.expect("the connection is kept");
    stream.read_exact(&mut buf).await.expect("the connection is kept");
    assert_eq!(buf, text.as_bytes());
}

/// Failure: timers are woken in the order of their creation, or before their deadlines.
#[test]
fn timers_fire_in_order_and_not_early() {
    let fired = Arc::new(Mutex::new(Vec::new()));
    exec::run(1, async {
        let start = Instant::now();
        let tasks: Vec<_> = [40, 10, 30, 20, 10]
            .map(|ms| {
                let fired = fired.clone();
                exec::spawn(async move {
                    let deadline = start + Duration::from_micros(ms * 1000 + 300);
                    Timer::at(deadline).await;
                    assert!(Instant::now() >= deadline, "fired early");
                    fired.lock().expect("the lock is not poisoned").push(ms);
                })
            })
            .into();
        for task in tasks {
            soon("a timer never fired", task).await;
        }
    });
    assert_eq!(*fired.lock().expect("the lock is not poisoned"), [10, 10, 20, 30, 40]);
}

/// Failure: a timer that was dropped or set again still wakes its task.
#[test]
fn a_cancelled_timer_wakes_nothing() {
    let (dropped, renewed) = (Arc::new(Wakes::default()), Arc::new(Wakes::default()));
    exec::run(1, async {
        let near = Duration::from_millis(10);
        let mut timer = Timer::after(near);
        let mut set_again = Timer::after(near);
        assert!(poll_once(&mut timer, &dropped).is_pending());
        assert!(poll_once(&mut set_again, &renewed).is_pending());
        drop(timer);
        set_again.set_at(Instant::now() + FAR);
        assert!(poll_once(&mut set_again, &renewed).is_pending());
        Timer::after(near * 3).await;
        assert!(poll_once(&mut set_again, &renewed).is_pending());
    });
    assert_eq!((dropped.0.load(Ordering::SeqCst), renewed.0.load(Ordering::SeqCst)), (0, 0));
}

/// Failure: a timer wakes the task that polled it first instead of the last one.
#[test]
fn a_timer_wakes_the_task_that_polled_it_last() {
    let (first, last) = (Arc::new(Wakes::default()), Arc::new(Wakes::default()));
    exec::run(1, async {
        let mut timer = Timer::after(Duration::from_millis(10));
        assert!(poll_once(&mut timer, &first).is_pending());
        assert!(poll_once(&mut timer, &last).is_pending());
        Timer::after(Duration::from_millis(30)).await;
        assert!(poll_once(&mut timer, &last).is_ready());
    });
    assert_eq!((first.0.load(Ordering::SeqCst), last.0.load(Ordering::SeqCst)), (0, 1));
}

/// Failure: events of one socket are assigned to another, or more events than are taken at
/// once get lost.
#[test]
fn many_sockets_are_served_at_the_same_time() {
    exec::run(1, async {
        let (listener, addr) = listen();
        let serving = exec::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("connections are accepted");
                exec::spawn(echo(stream)).detach();
            }
        });
        let mut streams = Vec::new();
        for _ in 0..MANY {
            let stream = soon("not connected", Async::<TcpStream>::connect(addr)).await;
            streams.push(stream.expect("the server listens"));
        }
        let calls: Vec<_> = streams
            .into_iter()
            .enumerate()
            .map(|(n, mut stream)| {
                exec::spawn(async move {
                    ask(&mut stream, &format!("first of {n}")).await;
                    ask(&mut stream, &format!("second of {n}")).await;
                })
            })
            .collect();
        for call in calls {
            soon("an answer was lost", call).await;
        }
        drop(serving);
    });
}

/// Failure: a byte arrives while a read that found none is about to forget the readiness.
/// Symptom: the read waits for ever, since the event is reported once.
#[test]
fn a_byte_that_arrives_while_a_read_finds_none_is_not_lost() {
    exec::run(2, async {
        let (near, mut far) = pair().await;
        let mut tries = 0;
        let read = near.read_with(|mut socket| {
            tries += 1;
            let result = socket.read(&mut [0; 8]);
            if tries == 1 {
                far.write_all(b"x").expect("the connection is kept");
                // Lets the other thread take the event before this read ends.
                thread::sleep(EVENT_TIME);
            }
            result
        });
        let read = soon("the byte was lost", read).await;
        assert_eq!(read.expect("the connection is kept"), 1);
        assert_eq!(tries, 2);
    });
}

/// Failure: a read that leaves room in the buffer forgets the readiness, and with it the
/// end of the connection that was reported with the bytes.
#[test]
fn an_end_that_came_with_the_bytes_is_seen_after_a_short_read() {
    exec::run(1, async {
        let (near, mut far) = pair().await;
        far.write_all(b"last").expect("the connection is open");
        drop(far);
        // Lets the event be taken before the first read.
        Timer::after(EVENT_TIME).await;
        assert_reads_to_the_end(near).await;
    });
}

/// Failure: the end of a connection is not reported after a read that left room in the
/// buffer.
#[test]
fn an_end_that_comes_later_is_seen_after_a_short_read() {
    exec::run(1, async {
        let (near, mut far) = pair().await;
        far.write_all(b"last").expect("the connection is open");
        let closer = thread::spawn(move || {
            thread::sleep(EVENT_TIME);
            drop(far);
        });
        assert_reads_to_the_end(near).await;
        closer.join().expect("the thread ended");
    });
}

async fn assert_reads_to_the_end(mut near: Async<TcpStream>) {
    let mut bytes = Vec::new();
    let read = soon("the end was lost", near.read_to_end(&mut bytes)).await;
    assert_eq!((read.expect("the connection ended"), &*bytes), (4, &b"last"[..]));
}

/// Failure: a connection that accepts no more bytes is not reported when it does again.
#[test]
fn a_write_goes_on_when_the_peer_reads() {
    const BYTES: usize = 8 << 20;
    exec::run(1, async {
        let (mut near, far) = pair().await;
        let reader = thread::spawn(move || {
            thread::sleep(Duration::from_millis(50));
            std::io::copy(&mut &far, &mut std::io::sink()).expect("the connection is kept")
        });
        soon("the write hangs", near.write_all(&vec![1; BYTES])).await.expect("it is kept");
        drop(near);
        assert_eq!(reader.join().expect("the reader ended"), BYTES as u64);
    });
}

/// Failure: a refused connection is taken for an established one, or never completes.
#[test]
fn a_refused_connection_is_an_error() {
    exec::run(1, async {
        let (listener, addr) = listen();
        drop(listener);
        let connected = soon("never refused", Async::<TcpStream>::connect(addr)).await;
        assert_eq!(connected.err().map(|err| err.kind()), Some(ErrorKind::ConnectionRefused));
    });
}

/// Failure: datagrams that arrive together are reported once and received once.
#[test]
fn all_datagrams_of_one_event_are_received() {
    exec::run(1, async {
        let near = Async::<UdpSocket>::bind(([127, 0, 0, 1], 0)).expect("a port is free");
        let far = Async::<UdpSocket>::bind(([127, 0, 0, 1], 0)).expect("a port is free");
        let to = near.get_ref().local_addr().expect("the socket is bound");
        let from = far.get_ref().local_addr().expect("the socket is bound");
        let mut buf = [0; 8];
        for _ in 0..2 {
            for n in 0..5_u8 {
                assert_eq!(far.send_to(&[n], to).await.expect("loopback carries it"), 1);
            }
            for n in 0..5 {
                let received = soon("a datagram was lost", near.recv_from(&mut buf)).await;
                assert_eq!(received.expect("a datagram"), (1, from));
                assert_eq!(buf[0], n);
            }
        }
    });
}
