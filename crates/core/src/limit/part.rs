//! The part of a quota that a keeper enforces.
//!
//! A split mesh has a keeper in each partition. Each of them enforces the fraction of the
//! quota that its live daemons are of all daemons, so that the sum is the quota without a word
//! between them. For the seconds in which daemons find out who is lost, the fractions overlap;
//! [`SettledFraction`] and [`super::reporters`] bound what is granted meanwhile.

use super::Quota;
use crate::membership::detector::{PROBE_INTERVAL, SUSPICION_TIMEOUT};
use std::time::{Duration, Instant};

/// Calls by which a limit may be exceeded. Without this tolerance, a few calls that happen
/// to arrive together would exceed a limit of a few calls a second.
const TOLERANCE: f64 = 10.0;
/// Time in which all daemons of a partition come to know who is lost: two probe intervals until
/// all lost daemons are probed, and the time that suspects have to answer.
pub const SETTLE_TIME: Duration =
    PROBE_INTERVAL.saturating_mul(2).saturating_add(SUSPICION_TIMEOUT);

/// The part of a quota that a keeper enforces.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaPart {
    /// Calls a second that the keeper may grant on its own.
    pub rate_per_s: f64,
    /// Calls a second that it may grant to daemons that admitted them before.
    pub max_rate_per_s: f64,
    /// Calls a second for each daemon that reports to it.
    pub rate_per_daemon: f64,
    /// Calls that may be admitted beyond the rate after an idle period.
    pub burst: f64,
    /// Calls by which rate and burst may be exceeded.
    pub tolerance: f64,
}

impl QuotaPart {
    /// Returns the part of a keeper whose table has `live` daemons and `dead` ones.
    ///
    /// Failure: the mesh is split and each partition has its own keeper. Symptom: an
    /// organisation gets its whole limit in each partition.
    pub fn of(quota: Quota, live: usize, dead: usize) -> QuotaPart {
        let all = (live + dead).max(1) as f64;
        let part = live as f64 / all;
        let rate_per_s = quota.rate_per_s as f64;
        QuotaPart {
            rate_per_s: rate_per_s * part,
            max_rate_per_s: rate_per_s * part,
            rate_per_daemon: rate_per_s / all,
            burst: quota.burst as f64 * part,
            tolerance: TOLERANCE * part,
        }
    }

    /// Returns the part where the fraction of live daemons was `settled` of late.
    pub fn settled(self, quota: Quota, settled: f64) -> QuotaPart {
        let rate_per_s = (quota.rate_per_s as f64 * settled).min(self.max_rate_per_s);
        QuotaPart { rate_per_s, ..self }
    }

    /// Returns the part without the calls a second that are reserved for daemons which the
    /// keeper does not reach. Burst and tolerance shrink with the rate.
    pub fn without(self, reserved_per_s: f64) -> QuotaPart {
        let rate_per_s = (self.rate_per_s - reserved_per_s).max(0.0);
        let fraction = match self.rate_per_s > 0.0 {
            true => rate_per_s / self.rate_per_s,
            false => 1.0,
        };
        QuotaPart {
            rate_per_s,
            burst: self.burst * fraction,
            tolerance: self.tolerance * fraction,
            ..self
        }
    }
}

/// The fraction of all daemons that have been live for [`SETTLE_TIME`].
///
/// Failure: a split ends, and the keepers of both partitions find the others alive while some
/// daemons still report to the one and some to the other. Symptom: both grant the whole quota.
/// The fraction falls at once, and rises only after it has been larger for a while. Until then a
/// keeper grants daemons that come back what they bring with them.
#[derive(Clone, Copy, Debug)]
pub struct SettledFraction {
    fraction: f64,
    /// Since when the fraction of live daemons has been larger.
    larger_since: Option<Instant>,
}

impl SettledFraction {
    /// Starts with all daemons live.
    pub fn new() -> SettledFraction {
        SettledFraction { fraction: 1.0, larger_since: None }
    }

    /// Takes the counts of the membership table and returns the settled fraction.
    pub fn update(&mut self, live: usize, dead: usize, now: Instant) -> f64 {
        let fraction = live as f64 / (live + dead).max(1) as f64;
        if fraction <= self.fraction {
            *self = SettledFraction { fraction, larger_since: None };
            return fraction;
        }
        let since = *self.larger_since.get_or_insert(now);
        if now.saturating_duration_since(since) >= SETTLE_TIME {
            *self = SettledFraction { fraction, larger_since: None };
        }
        self.fraction
    }
}

impl Default for SettledFraction {
    fn default() -> SettledFraction {
        SettledFraction::new()
    }
}
