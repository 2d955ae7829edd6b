//! The reactor of a process that runs its tasks on one thread. These tests have a process of
//! their own and run one after the other, so that no other thread can poll instead.

use cicadashift_http::exec;
use cicadashift_http::reactor::{Async, Timer};
use smol::channel::bounded;
use smol::future::yield_now;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use std::future::Future;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Wake, Waker};
use std::thread;
use std::time::Duration;

/// Timeout of all tests, which nothing delays.
const SOON: Duration = Duration::from_secs(20);
/// Time after which the thread under test waits in the kernel.
const UNTIL_IDLE: Duration = Duration::from_millis(100);

fn listen() -> (Async<TcpListener>, SocketAddr) {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port is free");
    let addr = listener.get_ref().local_addr().expect("the listener is bound");
    (listener, addr)
}

/// Sends back each byte of one connection.
async fn echo(listener: Async<TcpListener>) {
    let (mut stream, _) = listener.accept().await.expect("a connection is accepted");
    let mut byte = [0];
    while stream.read(&mut byte).await.expect("the connection is kept") > 0 {
        stream.write_all(&byte).await.expect("the connection is kept");
    }
}

/// Sends bytes to [`echo`] and reads them back.
async fn call_echo(bytes: u8) {
    let (listener, addr) = listen();
    let serving = exec::spawn(echo(listener));
    let mut stream = Async::<TcpStream>::connect(addr).await.expect("the server listens");
    let mut received = [0];
    for byte in 0..bytes {
        stream.write_all(&[byte]).await.expect("the connection is kept");
        stream.read_exact(&mut received).await.expect("the connection is kept");
        assert_eq!(received, [byte]);
    }
    drop(stream);
    serving.await;
}

fn count_threads() -> usize {
    std::fs::read_dir("/proc/self/task").expect("the system lists threads").count()
}

/// Failure: sockets or timers start a thread that is woken beside the one that runs the
/// tasks.
fn sockets_and_timers_start_no_thread() {
    let threads = exec::run(1, async {
        Timer::after(Duration::from_millis(5)).await;
        call_echo(10).await;
        count_threads()
    });
    assert_eq!(threads, 1, "threads of the process");
}

/// Failure: a task woken by another thread is run only after the next event.
fn a_wake_from_another_thread_interrupts_the_wait() {
    exec::run(1, async {
        let (tx, rx) = bounded(1);
        let waker = thread::spawn(move || {
            thread::sleep(UNTIL_IDLE);
            tx.send_blocking(()).expect("the test waits");
        });
        exec::spawn(async move { rx.recv().await }).await.expect("the thread sent it");
        waker.join().expect("the thread ended");
    });
}

/// Tells the test that a timer fired.
struct Told(smol::channel::Sender<()>);

impl Wake for Told {
    fn wake(self: Arc<Self>) {
        self.0.try_send(()).expect("the test waits");
    }
}

/// Failure: a timer set by another thread is noticed only when the wait ends by itself.
fn an_earlier_timer_of_another_thread_interrupts_the_wait() {
    exec::run(1, async {
        let (tx, rx) = bounded(1);
        let waker = Waker::from(Arc::new(Told(tx)));
        let setter = thread::spawn(move || {
            thread::sleep(UNTIL_IDLE);
            let mut timer = Timer::after(Duration::from_millis(20));
            let polled = Pin::new(&mut timer).poll(&mut Context::from_waker(&waker));
            assert!(polled.is_pending());
            timer
        });
        rx.recv().await.expect("the timer fired");
        drop(setter.join().expect("the thread ended"));
    });
}

/// Failure: a task that is always ready keeps its thread from looking at sockets and timers.
fn a_task_that_yields_for_ever_does_not_starve_sockets_and_timers() {
    exec::run(1, async {
        let busy = exec::spawn(async {
            loop {
                yield_now().await;
            }
        });
        call_echo(20).await;
        Timer::after(Duration::from_millis(5)).await;
        drop(busy);
    });
}

/// Failure: the future that a thread was started with is always ready, and no task runs.
fn a_first_future_that_yields_for_ever_does_not_starve_tasks() {
    exec::run(1, async {
        let task = exec::spawn(async {
            call_echo(20).await;
            Timer::after(Duration::from_millis(5)).await;
        });
        while !task.is_finished() {
            yield_now().await;
        }
    });
}

/// Ends the process if the tests hang, which a timer of the reactor under test might not.
fn start_watchdog() {
    thread::spawn(|| {
        thread::sleep(SOON);
        eprintln!("the last test hangs");
        std::process::exit(1);
    });
}

fn main() {
    println!("sockets_and_timers_start_no_thread");
    // First, since the watchdog is a thread.
    sockets_and_timers_start_no_thread();
    start_watchdog();
    println!("a_wake_from_another_thread_interrupts_the_wait");
    a_wake_from_another_thread_interrupts_the_wait();
    println!("an_earlier_timer_of_another_thread_interrupts_the_wait");
    an_earlier_timer_of_another_thread_interrupts_the_wait();
    println!("a_task_that_yields_for_ever_does_not_starve_sockets_and_timers");
    a_task_that_yields_for_ever_does_not_starve_sockets_and_timers();
    println!("a_first_future_that_yields_for_ever_does_not_starve_tasks");
    a_first_future_that_yields_for_ever_does_not_starve_tasks();
    println!("passed");
}
