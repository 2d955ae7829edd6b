//! Threads that share the reactor and the tasks. These tests have a process of their own and
//! run one after the other, so that no thread of another test can poll instead.

use cicadashift_http::exec;
use cicadashift_http::reactor::Timer;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

/// Timeout for events that nothing delays.
const SOON: Duration = Duration::from_secs(5);
/// Time in which a thread without tasks begins to wait.
const UNTIL_IDLE: Duration = Duration::from_millis(10);
/// Rounds of a test in which the threads change places.
const ROUNDS: usize = 20;

/// Failure: the thread that polled ends, and the parked ones wait for ever.
fn a_parked_thread_polls_when_the_polling_one_ends() {
    let (tx, rx) = mpsc::channel();
    for n in 1..5 {
        let tx = tx.clone();
        thread::spawn(move || {
            exec::run(1, Timer::after(UNTIL_IDLE * 2 * n));
            tx.send(n).expect("the test waits");
        });
        // Lets the first of the threads to end be the one that polls.
        thread::sleep(UNTIL_IDLE / 2);
    }
    for _ in 1..5 {
        rx.recv_timeout(SOON).expect("a thread waits for ever");
    }
}

/// Failure: the first thread's future blocks it while it has the right to poll, and with it
/// the timers of all tasks.
fn timers_fire_while_the_first_thread_is_blocked() {
    exec::run(2, async {
        for _ in 0..ROUNDS {
            let (tx, rx) = mpsc::channel();
            let task = exec::spawn(async move {
                Timer::after(UNTIL_IDLE * 2).await;
                tx.send(()).expect("the test waits");
            });
            Timer::after(UNTIL_IDLE).await;
            rx.recv_timeout(SOON).expect("the timer of a task did not fire");
            task.await;
        }
    });
}

/// Failure: the executor tells the first thread of a task, while that thread's future
/// blocks it.
fn tasks_run_while_the_first_thread_is_blocked() {
    exec::run(2, async {
        for _ in 0..ROUNDS {
            Timer::after(UNTIL_IDLE).await;
            let (tx, rx) = mpsc::channel();
            let task = exec::spawn(async move { tx.send(()).expect("the test waits") });
            rx.recv_timeout(SOON).expect("the task did not run");
            task.await;
        }
    });
}

fn main() {
    println!("a_parked_thread_polls_when_the_polling_one_ends");
    // First, since the threads of the others stay.
    a_parked_thread_polls_when_the_polling_one_ends();
    println!("timers_fire_while_the_first_thread_is_blocked");
    timers_fire_while_the_first_thread_is_blocked();
    println!("tasks_run_while_the_first_thread_is_blocked");
    tasks_run_while_the_first_thread_is_blocked();
    println!("passed");
}
