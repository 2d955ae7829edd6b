//! The clock, passed in as a trait so that decisions can be replayed.

use rustix::time::{ClockId, clock_gettime};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A source of the current time.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time, which never goes back.
    fn now(&self) -> Instant;

    /// Returns the wall clock time in milliseconds since 1970, which may go back.
    fn wall_ms(&self) -> u64;
}

/// The clock of the system.
///
/// Its monotonic time includes the time during which the host was suspended, which
/// [`Instant`] alone leaves out. Failure: a host is suspended for seconds. Symptom: after
/// it resumes, expired deadlines seem to lie ahead, and the daemon starts calls that their
/// callers have given up.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    base: Instant,
    since_boot: Duration,
}

impl SystemClock {
    /// Makes a clock whose monotonic time starts at the current [`Instant`].
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
