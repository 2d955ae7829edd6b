//! The clock, passed in so that decisions can be replayed.

use rustix::time::{ClockId, clock_gettime};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Tells the time.
pub trait Clock: Send + Sync {
    /// Returns a time that never goes back.
    fn now(&self) -> Instant;

    /// Returns milliseconds since 1970, which may go back.
    fn wall_ms(&self) -> u64;
}

/// The system's clock.
///
/// It counts the time for which the host was suspended, which [`Instant`] alone
/// does not. Failure: a host is suspended for seconds. Symptom: deadlines seem to
/// lie ahead when it wakes, and work is started that its callers gave up.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    base: Instant,
    since_boot: Duration,
}

impl SystemClock {
    /// Makes a clock.
    pub fn new() -> SystemClock {
        SystemClock { base: Instant::now(), since_boot: since_boot() }
    }
}

impl Default for SystemClock {
    fn default() -> SystemClock {
        SystemClock::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        self.base + since_boot().saturating_sub(self.since_boot)
    }

    fn wall_ms(&self) -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}
