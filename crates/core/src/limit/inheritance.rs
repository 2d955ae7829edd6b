//! What daemons may admit under the shares that they bring from another keeper.
//!
//! A keeper that takes over a throttled limit knows neither the demand nor whether the keeper
//! before still lives: it may be on the other side of a split, with daemons that go on
//! reporting to it. The new keeper therefore starts with the shares that its daemons bring with
//! them. Their sum is what the whole mesh admitted, whoever reports to whom.
//!
//! The same goes for daemons that come back to a keeper after a split: until their part of the
//! limit is enforced here again, they bring what they were granted on the other side.

use super::part::{QuotaPart, SETTLE_TIME};
use super::{REPORT_EVERY, Report};
use crate::ids::HostKey;
use std::collections::HashSet;
use std::time::{Duration, Instant};

/// Time in which all daemons report once. Until then the demand seems smaller than it is.
pub const LEARNING_TIME: Duration = Duration::from_millis(300);

/// Shares that daemons brought from another keeper.
#[derive(Clone, Copy, Debug)]
pub struct Inheritance {
    since: Instant,
    /// Calls offered to daemons that brought a share, and those that their shares admit.
    offered: f64,
    admitted: f64,
    /// Calls a second that were inherited, once the demand is known.
    rate_per_s: Option<f64>,
}

impl Inheritance {
    /// Starts with no shares.
    pub fn new(since: Instant) -> Inheritance {
        Inheritance { since, offered: 0.0, admitted: 0.0, rate_per_s: None }
    }

    /// Adds the share of a report.
    pub fn add(&mut self, report: &Report) {
        if let Some(admitted) = report.admitted_by_share() {
            self.offered += f64::from(report.usage.offered);
            self.admitted += admitted;
        }
    }

    /// Returns the share of the calls that daemons admit by the shares that they brought.
    pub fn share(&self) -> f64 {
        match self.offered > 0.0 {
            true => self.admitted / self.offered,
            false => 0.0,
        }
    }

    /// Fixes the inherited rate where the demand is known. Returns whether it was just fixed.
    pub fn fix_rate(&mut self, demand_per_s: f64, now: Instant) -> bool {
        let is_due = self.rate_per_s.is_none() && self.age(now) >= LEARNING_TIME;
        if is_due {
            self.rate_per_s = Some(self.share() * demand_per_s);
        }
        is_due
    }

    /// Returns the rate that may be admitted: what was inherited or, if it is more, the part
    /// of the limit of `reporters` daemons.
    pub fn rate_per_s(&self, demand_per_s: f64, part: QuotaPart, reporters: usize) -> f64 {
        match self.rate_per_s {
            Some(rate_per_s) => rate_per_s.max(part.rate_per_daemon * reporters as f64),
            None => self.share() * demand_per_s,
        }
    }

    /// Returns the inherited rate, once the demand is known.
    pub fn fixed_rate_per_s(&self) -> Option<f64> {
        self.rate_per_s
    }

    /// Returns whether the demand is still unknown.
    pub fn is_learning(&self) -> bool {
        self.rate_per_s.is_none()
    }

    /// Returns whether it is settled which daemons are lost, so that the part of the limit
    /// that is enforced here is known.
    pub fn is_settled(&self, now: Instant) -> bool {
        self.age(now) >= SETTLE_TIME
    }

    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }
}

/// What daemons brought that came back after a split.
#[derive(Clone, Debug)]
pub struct Brought {
    hosts: HashSet<HostKey>,
    /// Calls a second that their shares admit.
    per_s: f64,
    /// When the last of them came back.
    last: Instant,
}

impl Brought {
    /// Starts with no daemons.
    pub fn new(now: Instant) -> Brought {
        Brought { hosts: HashSet::new(), per_s: 0.0, last: now }
    }

    /// Adds the first report of a daemon that came back.
    pub fn add(&mut self, from: HostKey, report: &Report, now: Instant) {
        let Some(admitted) = report.admitted_by_share() else { return };
        if self.hosts.insert(from) {
            self.per_s += admitted / REPORT_EVERY.as_secs_f64();
            self.last = now;
        }
    }

    /// Drops what was brought once the membership has settled.
    pub fn expire(&mut self, now: Instant) {
        if !self.hosts.is_empty() && now.saturating_duration_since(self.last) >= SETTLE_TIME {
            *self = Brought::new(now);
        }
    }

    /// Returns the calls a second that were brought.
    pub fn per_s(&self) -> f64 {
        self.per_s
    }
}
