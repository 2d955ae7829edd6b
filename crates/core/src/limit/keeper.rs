//! The account that a keeper has of one limit.
//!
//! # Load pattern
//!
//! An organisation asks several times what it may, at hundreds of daemons: the account
//! runs down within a second, and from then on each daemon is told to admit the share
//! that brings the sum to the rate. Organisations below their limit are told to admit all.

use super::{Grant, LimitKey, Quota, REPORT_EVERY, Usage};
use std::time::{Duration, Instant};

/// Times over which demand is averaged; the larger average counts. The short one is a
/// report of each daemon, so that a jump is seen at once, the long one steadies it.
const DEMAND_OVER: [Duration; 2] = [REPORT_EVERY, Duration::from_millis(750)];
/// Time after the last report in which a limit counts as asked for.
const ASKED_FOR: Duration = Duration::from_millis(750);
/// Calls by which a limit may be exceeded. Without them the chance of some calls coming
/// together would count as too many where a limit is a few calls a second.
const TOLERANCE: f64 = 10.0;
/// Share of the burst and the tolerance below which admission is held back.
const HOLD_BACK_BELOW: f64 = 0.5;
/// Time in which a debt is paid back, or what is left of the burst is given out.
const SETTLE_OVER: Duration = Duration::from_millis(1000);
/// Time after which the account of a limit that nobody asks for is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// The part of a limit that a keeper counts with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaPart {
    /// Calls a second.
    rate_per_s: f64,
    /// Calls beyond the rate after a time without any.
    burst: f64,
    /// Calls by which both may be exceeded.
    tolerance: f64,
}

impl QuotaPart {
    /// Returns the part of a keeper that sees `live` daemons and lost sight of `lost`.
    ///
    /// Failure: the mesh is split and each part keeps the limit by itself. Symptom: an
    /// organisation gets its limit once in each part.
    pub fn of(quota: Quota, live: usize, lost: usize) -> QuotaPart {
        let part = live as f64 / (live + lost).max(1) as f64;
        QuotaPart {
            rate_per_s: quota.rate_per_s as f64 * part,
            burst: quota.burst as f64 * part,
            tolerance: TOLERANCE * part,
        }
    }
}

/// A limit's account at its keeper.
#[derive(Clone, Debug)]
pub struct Account {
    /// Calls that may be admitted at once; below zero is a debt.
    level: f64,
    /// Calls offered a second, averaged over [`DEMAND_OVER`].
    demand: [f64; 2],
    at: Instant,
    /// When a daemon last reported.
    reported: Instant,
}

impl Account {
    /// Opens the account of a keeper that does not know what was spent.
    pub fn new(now: Instant) -> Account {
        Account { level: 0.0, demand: [0.0; 2], at: now, reported: now }
    }

    /// Takes one daemon's report in. `part` is what counts here of the limit.
    pub fn add_usage(&mut self, usage: &Usage, part: QuotaPart, now: Instant) {
        self.advance(part, now);
        self.reported = now;
        self.level -= f64::from(usage.admitted);
        for (demand, over) in self.demand.iter_mut().zip(DEMAND_OVER) {
            *demand += f64::from(usage.offered) / over.as_secs_f64();
        }
    }

    /// Returns what may be admitted of what is offered next.
    pub fn grant(&self, key: LimitKey, part: QuotaPart) -> Grant {
        let room = self.level + part.tolerance;
        let share = match room >= (part.burst + part.tolerance) * HOLD_BACK_BELOW {
            true => 1.0,
            false => self.share(part, room),
        };
        Grant { key, share: (share * f64::from(Grant::ALL)).round() as u16 }
    }

    fn share(&self, part: QuotaPart, room: f64) -> f64 {
        let target = part.rate_per_s + room / SETTLE_OVER.as_secs_f64();
        let demand = self.demand[0].max(self.demand[1]);
        match demand > 0.0 {
            true => (target / demand).clamp(0.0, 1.0),
            false => 1.0,
        }
    }

    /// Returns what is to be told to all daemons, where the limit is held back and calls
    /// came lately.
    pub fn reduced_grant(&mut self, key: LimitKey, part: QuotaPart, now: Instant) -> Option<Grant> {
        let is_asked = now.saturating_duration_since(self.reported) < ASKED_FOR;
        self.advance(part, now);
        Some(self.grant(key, part)).filter(|grant| is_asked && grant.share < Grant::ALL)
    }

    /// Returns the calls that may be admitted at once, below zero a debt, and those offered
    /// a second.
    pub fn balance(&mut self, part: QuotaPart, now: Instant) -> (f64, f64) {
        self.advance(part, now);
        (self.level, self.demand[1])
    }

    /// Returns whether nothing is lost by forgetting the account.
    pub fn is_idle(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.reported) >= FORGET_AFTER
    }

    fn advance(&mut self, part: QuotaPart, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.level = (self.level + part.rate_per_s * passed).min(part.burst);
        for (demand, over) in self.demand.iter_mut().zip(DEMAND_OVER) {
            *demand *= (-passed / over.as_secs_f64()).exp();
        }
    }
}
