//! Threads that run tasks, and poll the reactor when they have none.
//!
//! Each thread in [`drive`] runs tasks in rounds. After a round in which it ran out of
//! tasks it waits in the kernel, or parks if another thread waits there. After a full
//! round it only looks which sockets and timers are ready.

use super::{REACTOR, Turn, lock};
use smol::Executor;
use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::task::{Context, Poll, Wake, Waker};
use std::thread::{self, Thread};

/// Tasks that a thread runs before it looks at the sockets and timers again: few enough
/// for an event to wait only some milliseconds, and enough to share the system call.
const TASKS_PER_ROUND: usize = 61;

/// The thread is running, and looks for work before it waits.
const RUNNING: u8 = 0;
/// The thread was woken since it began the round.
const WOKEN: u8 = 1;
/// The thread waits in the kernel for sockets and timers.
const POLLING: u8 = 2;
/// The thread is parked until it is woken.
const PARKED: u8 = 3;

/// A thread that runs tasks.
pub(super) struct Driver {
    state: AtomicU8,
    thread: Thread,
    /// Whether the thread's own future is to be polled.
    is_main_woken: AtomicBool,
    /// Whether the executor has tasks for the thread.
    are_tasks_woken: AtomicBool,
}

/// Wakes the future that a thread was started with.
struct MainWaker(Arc<Driver>);

/// Tells a thread that the executor has tasks.
struct TasksWaker(Arc<Driver>);

impl Wake for MainWaker {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        self.0.is_main_woken.store(true, Ordering::SeqCst);
        self.0.wake();
    }
}

impl Wake for TasksWaker {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        self.0.are_tasks_woken.store(true, Ordering::SeqCst);
        self.0.wake();
    }
}

impl Driver {
    fn new() -> Driver {
        Driver {
            state: AtomicU8::new(RUNNING),
            thread: thread::current(),
            is_main_woken: AtomicBool::new(true),
            are_tasks_woken: AtomicBool::new(true),
        }
    }

    /// Makes the thread begin another round. A system call is made only if it waits.
    pub(super) fn wake(&self) {
        match self.state.swap(WOKEN, Ordering::SeqCst) {
            POLLING => REACTOR.interrupt(),
            PARKED => self.thread.unpark(),
            _ => {}
        }
    }

    /// Ends a round: waits until the thread is woken, or looks at the sockets and timers if
    /// it was woken in the round.
    fn end_round(self: &Arc<Self>) {
        if self.state.load(Ordering::SeqCst) == WOKEN {
            if let Some(turn) = REACTOR.try_turn() {
                turn.poll();
            }
            return;
        }
        match REACTOR.try_turn() {
            Some(turn) => self.wait(turn),
            None => self.park(),
        }
    }

    fn wait(&self, turn: Turn<'_>) {
        if self.set_idle(POLLING) {
            turn.wait();
        }
    }

    fn park(self: &Arc<Self>) {
        lock(&REACTOR.parked).push(self.clone());
        // A thread that gives up polling wakes a parked one. It may have done so before
        // this one was in the list.
        match REACTOR.try_turn() {
            Some(turn) => self.wait(turn),
            None if self.set_idle(PARKED) => self.sleep(),
            None => {}
        }
        lock(&REACTOR.parked).retain(|driver| !Arc::ptr_eq(driver, self));
    }

    fn sleep(&self) {
        while self.state.load(Ordering::SeqCst) == PARKED {
            thread::park();
        }
    }

    /// Notes that the thread is about to wait; returns false if it was woken before.
    fn set_idle(&self, state: u8) -> bool {
        let changed =
            self.state.compare_exchange(RUNNING, state, Ordering::SeqCst, Ordering::SeqCst);
        changed.is_ok()
    }
}

/// Runs a future to completion on the calling thread, which meanwhile also runs the
/// executor's tasks and polls the reactor.
pub(crate) fn drive<T>(executor: &Executor<'static>, main: impl Future<Output = T>) -> T {
    let driver = Arc::new(Driver::new());
    let main_waker = Waker::from(Arc::new(MainWaker(driver.clone())));
    let tasks_waker = Waker::from(Arc::new(TasksWaker(driver.clone())));
    let mut main = pin!(main);
    let mut tasks = pin!(run_tasks(executor));
    loop {
        driver.state.store(RUNNING, Ordering::SeqCst);
        if driver.is_main_woken.swap(false, Ordering::SeqCst) {
            // The future may end, or block this thread as those of tests do: another one
            // polls then, and the executor tells another one of tasks.
            REACTOR.hand_over();
            tasks.set(run_tasks(executor));
            driver.are_tasks_woken.store(true, Ordering::SeqCst);
            if let Poll::Ready(result) = main.as_mut().poll(&mut Context::from_waker(&main_waker)) {
                return result;
            }
        }
        if driver.are_tasks_woken.swap(false, Ordering::SeqCst) {
            let _endless = tasks.as_mut().poll(&mut Context::from_waker(&tasks_waker));
        }
        driver.end_round();
    }
}

/// Runs tasks, and yields after each full round.
async fn run_tasks(executor: &Executor<'static>) -> Infallible {
    loop {
        for _ in 0..TASKS_PER_ROUND {
            executor.tick().await;
        }
        smol::future::yield_now().await;
    }
}
