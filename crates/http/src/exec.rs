//! The executor of the process.

use crate::reactor::{self, Timer};
use smol::{Executor, Task};
use std::future::Future;

static EXECUTOR: Executor<'static> = Executor::new();

/// Spawns a future on the executor of the process.
pub fn spawn<T: Send + 'static>(future: impl Future<Output = T> + Send + 'static) -> Task<T> {
    EXECUTOR.spawn(future)
}

/// Runs a future to completion on the calling thread, while `threads` threads in all
/// drive the spawned tasks, sockets and timers.
///
/// # Panics
///
/// Panics if the system offers no epoll or a worker thread cannot be started.
pub fn run<T>(threads: usize, main: impl Future<Output = T>) -> T {
    for i in 1..threads.max(1) {
        std::thread::Builder::new()
            .name(format!("worker-{i}"))
            .spawn(|| reactor::drive(&EXECUTOR, std::future::pending::<()>()))
            .expect("worker threads can be started");
    }
    reactor::drive(&EXECUTOR, main)
}

/// Runs a future for at most `time`; returns `None` if it has not finished by then.
pub async fn timeout<T>(time: std::time::Duration, future: impl Future<Output = T>) -> Option<T> {
    let expired = async {
        Timer::after(time).await;
        None
    };
    smol::future::or(async { Some(future.await) }, expired).await
}
