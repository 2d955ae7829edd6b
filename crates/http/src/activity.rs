//! The requests in flight on a connection, whether its peer takes their answers, and how long
//! it has been idle.

use crate::reactor::Timer;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Maximum interval between two checks of whether a connection has been idle for too
/// long, so that a lowered timeout also takes effect on open connections.
const MAX_IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// How long a connection may stay open without a request. Clones share the value,
/// which can be changed while connections are open.
#[derive(Clone, Debug)]
pub struct IdleTimeout {
    ms: Arc<AtomicU64>,
}

impl IdleTimeout {
    /// Creates an idle timeout.
    pub fn new(time: Duration) -> IdleTimeout {
        IdleTimeout { ms: Arc::new(AtomicU64::new(time.as_millis() as u64)) }
    }

    /// Changes the timeout, also for open connections.
    pub fn set(&self, time: Duration) {
        self.ms.store(time.as_millis() as u64, Ordering::Relaxed);
    }

    pub(crate) fn get(&self) -> Duration {
        Duration::from_millis(self.ms.load(Ordering::Relaxed))
    }
}

/// The requests in flight on one connection and the end of the last answer.
pub struct Activity {
    opened: Instant,
    /// Requests whose answers have not been sent completely.
    in_flight: AtomicUsize,
    /// Milliseconds from `opened` to the end of the last answer, or to the last time that a peer
    /// which does not keep up took a part of one.
    last_end_ms: AtomicU64,
    /// Whether a part of an answer waits until the peer has taken what was sent before.
    is_write_blocked: AtomicBool,
}

/// Counts a request as in flight until it is dropped with the answer's body.
pub struct RequestGuard(Arc<Activity>);

impl RequestGuard {
    pub fn new(activity: &Arc<Activity>) -> RequestGuard {
        activity.in_flight.fetch_add(1, Ordering::Relaxed);
        RequestGuard(activity.clone())
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.record_progress();
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Activity {
    pub fn new() -> Activity {
        Activity {
            opened: Instant::now(),
            in_flight: AtomicUsize::new(0),
            last_end_ms: AtomicU64::new(0),
            is_write_blocked: AtomicBool::new(false),
        }
    }

    fn record_progress(&self) {
        let ms = self.opened.elapsed().as_millis() as u64;
        self.last_end_ms.store(ms, Ordering::Relaxed);
    }

    /// Records that a part of an answer was written, or has to wait.
    pub fn record_write(&self, is_blocked: bool) {
        let was_blocked = self.is_write_blocked.swap(is_blocked, Ordering::Relaxed);
        if was_blocked && !is_blocked {
            self.record_progress();
        }
    }

    /// Returns whether a request is in flight.
    pub fn is_busy(&self) -> bool {
        self.in_flight.load(Ordering::Relaxed) > 0
    }

    /// Waits for `time`, and again for `time` while a request is in flight or a part of an
    /// answer waits for the peer.
    ///
    /// hyper keeps waiting for the first request of a connection that has had none,
    /// even after a graceful shutdown is requested; without this bound a stop would
    /// wait as well. A request stops counting as in flight when hyper has the whole answer,
    /// of which a slow peer may not have taken the end.
    pub async fn finished_after(&self, time: Duration) {
        Timer::after(time).await;
        while self.is_busy() || self.is_write_blocked.load(Ordering::Relaxed) {
            Timer::after(time).await;
        }
    }

    /// Returns `time` after the connection has reached the idle timeout, once no request is in
    /// flight, whether its peer takes the rest of an answer or not.
    pub async fn abandoned_after(&self, timeout: &IdleTimeout, time: Duration) {
        self.idle_timed_out(timeout).await;
        Timer::after(time).await;
        while self.is_busy() {
            Timer::after(time).await;
        }
    }

    /// Returns once the connection has been without a request for the idle timeout, and its
    /// peer has taken nothing for as long.
    pub async fn idle_timed_out(&self, timeout: &IdleTimeout) {
        loop {
            let last_end = Duration::from_millis(self.last_end_ms.load(Ordering::Relaxed));
            let idle = match self.in_flight.load(Ordering::Relaxed) {
                0 => self.opened.elapsed().saturating_sub(last_end),
                _ => Duration::ZERO,
            };
            let remaining = timeout.get().saturating_sub(idle);
            if remaining.is_zero() {
                return;
            }
            Timer::after(remaining.min(MAX_IDLE_CHECK_INTERVAL)).await;
        }
    }
}
