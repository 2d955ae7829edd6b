//! What a connection is doing, and for how long it has been idle.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Longest time between two looks whether a connection is idle, so that a limit
/// that was lowered takes effect.
const IDLE_STEP: Duration = Duration::from_secs(5);

/// How long a connection may stay without a request; can be changed while it
/// does.
#[derive(Clone, Debug)]
pub struct IdleTimeout {
    ms: Arc<AtomicU64>,
}

impl IdleTimeout {
    /// Makes a limit.
    pub fn new(time: Duration) -> IdleTimeout {
        IdleTimeout { ms: Arc::new(AtomicU64::new(time.as_millis() as u64)) }
    }

    /// Changes the limit, also for connections that are open.
    pub fn set(&self, time: Duration) {
        self.ms.store(time.as_millis() as u64, Ordering::Relaxed);
    }

    pub(crate) fn get(&self) -> Duration {
        Duration::from_millis(self.ms.load(Ordering::Relaxed))
    }
}

/// What one connection is doing.
pub struct Activity {
    started: Instant,
    /// Requests whose answers have not ended.
    busy: AtomicUsize,
    /// Milliseconds from `started` to the end of the last answer.
    last_ms: AtomicU64,
}

/// A request on a connection; ends with its answer's body.
pub struct Busy(Arc<Activity>);

impl Busy {
    pub fn new(activity: &Arc<Activity>) -> Busy {
        activity.busy.fetch_add(1, Ordering::Relaxed);
        Busy(activity.clone())
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        let ms = self.0.started.elapsed().as_millis() as u64;
        self.0.last_ms.store(ms, Ordering::Relaxed);
        self.0.busy.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Activity {
    pub fn new() -> Activity {
        Activity { started: Instant::now(), busy: AtomicUsize::new(0), last_ms: AtomicU64::new(0) }
    }

    /// Returns whether a request's answer has not ended.
    pub fn is_busy(&self) -> bool {
        self.busy.load(Ordering::Relaxed) > 0
    }

    /// Returns after a time, or later when the connection has no request.
    ///
    /// hyper waits for the first request of a connection that has had none, also
    /// when it is told to shut down; a stop would wait with it.
    pub async fn unused_after(&self, time: Duration) {
        smol::Timer::after(time).await;
        while self.busy.load(Ordering::Relaxed) > 0 {
            smol::Timer::after(time).await;
        }
    }

    /// Returns once the connection has had no request for as long as it may.
    pub async fn idle_for(&self, limit: &IdleTimeout) {
        loop {
            let last = Duration::from_millis(self.last_ms.load(Ordering::Relaxed));
            let unused = match self.busy.load(Ordering::Relaxed) {
                0 => self.started.elapsed().saturating_sub(last),
                _ => Duration::ZERO,
            };
            let left = limit.get().saturating_sub(unused);
            if left.is_zero() {
                return;
            }
            smol::Timer::after(left.min(IDLE_STEP)).await;
        }
    }
}
