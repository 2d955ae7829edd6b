//! The account by which a keeper enforces one limit.
//!
//! # Load pattern
//!
//! An organisation calls at several times its limit, at hundreds of daemons: the account
//! runs down within a second, and from then on each daemon is granted the share that
//! brings the sum of admitted calls to the rate. Daemons are granted all calls of
//! organisations below their limit.

use super::inheritance::{Brought, Inheritance, LEARNING_TIME};
use super::part::QuotaPart;
use super::reporters::Reporters;
use super::{Grant, LimitKey, NOTICE_EVERY, REPORT_EVERY, Report};
use crate::ids::HostKey;
use std::time::{Duration, Instant};

/// Time after the last usage report during which a limit counts as in use.
const IN_USE_FOR: Duration = Duration::from_millis(750);
/// Time in which a debt is paid back, or the tolerance is used up.
const PAY_BACK_TIME: Duration = Duration::from_millis(1000);
/// Time in which the rest of the burst may be spent. Two report intervals pass until a smaller
/// share has its effect, so that a faster pace would overdraw the account.
const BURST_TIME: Duration = REPORT_EVERY.saturating_mul(2);
/// Demand, relative to the rate of the limit, from which on it matters whether all daemons are
/// reached. Below, the daemons of a part of the mesh that is not reached may use the rest.
const HIGH_DEMAND: f64 = 0.5;
/// Time in which all daemons come to know a reduced share: a notice and the next one.
const SHARE_KNOWN_AFTER: Duration = NOTICE_EVERY.saturating_mul(2);
/// Part of the limit reserved for daemons that are not reached, from which on a new keeper learns
/// the demand before it grants anything.
const MIN_WITHHOLDING_PART: f64 = 0.1;
/// Time without usage reports after which the account of a limit is dropped.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// A limit's account at its keeper: a token bucket that may go into debt, and the demand.
#[derive(Clone, Debug)]
pub struct Account {
    /// Calls that may be admitted at once; a negative level is a debt.
    level: f64,
    /// The daemons that report usage.
    reporters: Reporters,
    /// What another keeper granted, if the limit was throttled when the account was opened.
    inherited: Option<Inheritance>,
    /// What daemons brought that came back after a split.
    brought: Brought,
    /// Calls a second that daemons which are not reached may admit, and that are not counted
    /// by their reports.
    reserved_per_s: f64,
    /// Since when a reduced share is granted.
    throttled_since: Option<Instant>,
    /// Whether all daemons knew a reduced share when the first of those that are not reached
    /// was lost, while there are any.
    lost_throttled: Option<bool>,
    /// When the account was opened.
    opened: Instant,
    /// When the level was last brought up to date.
    updated: Instant,
    /// When a daemon last reported usage.
    last_report: Instant,
}

impl Account {
    /// Creates an account with an empty bucket, since a new keeper does not know how much
    /// of the burst was spent.
    pub fn new(now: Instant) -> Account {
        Account {
            level: 0.0,
            reporters: Reporters::new(now),
            inherited: None,
            brought: Brought::new(now),
            reserved_per_s: 0.0,
            throttled_since: None,
            lost_throttled: None,
            opened: now,
            updated: now,
            last_report: now,
        }
    }

    /// Adds a daemon's usage report. `part` is the part of the limit enforced here.
    pub fn add_report(&mut self, from: HostKey, report: &Report, part: QuotaPart, now: Instant) {
        self.advance(part, now);
        if !self.is_in_use(now) {
            (self.throttled_since, self.lost_throttled) = (None, None);
        }
        self.last_report = now;
        self.inherit(from, report, now);
        self.reporters.add(from, report, now);
        self.level -= f64::from(report.usage.admitted);
    }

    /// Takes over the share that a daemon brings from another keeper, as long as this account
    /// has not learned the demand.
    fn inherit(&mut self, from: HostKey, report: &Report, now: Instant) {
        let is_brought = report.share.is_some() && !self.reporters.is_throttled_here(from);
        if is_brought && self.is_learning(now) {
            self.inherited.get_or_insert_with(|| Inheritance::new(now)).add(report);
        }
    }

    /// Takes over the share that a daemon brings which was taken for dead until lately.
    pub fn add_returned(&mut self, from: HostKey, report: &Report, now: Instant) {
        self.brought.add(from, report, now);
    }

    /// Returns whether it matters which daemons are reached: the demand is high, or not known
    /// yet.
    pub fn needs_contacts(&self, part: QuotaPart, now: Instant) -> bool {
        let is_high = self.reporters.demand_per_s() > part.max_rate_per_s * HIGH_DEMAND;
        (self.is_in_use(now) && is_high) || self.is_new(now)
    }

    /// Returns whether usage was reported lately.
    pub fn is_in_use(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_report) < IN_USE_FOR
    }

    /// Returns whether the account was opened so lately that not all daemons have reported.
    fn is_new(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.opened) < LEARNING_TIME
    }

    /// Returns whether to leave a report unanswered: the account is so new that the demand is not
    /// known, and a part of the mesh is not reached. Daemons that have heard no keeper go on with
    /// their parts of the limit.
    pub fn is_withholding(&self, part: QuotaPart, now: Instant) -> bool {
        self.is_new(now) && self.reserved_per_s > part.max_rate_per_s * MIN_WITHHOLDING_PART
    }

    /// Reserves what daemons that are not reached may admit without a keeper.
    ///
    /// Failure: an organisation begins to call while a part of the mesh is cut off. Symptom: the
    /// keeper grants the whole limit to the daemons that it reaches, and the others admit their
    /// parts of it as well.
    pub fn reserve_for(&mut self, unreached: &[HostKey], part: QuotaPart, now: Instant) {
        self.advance(part, now);
        if unreached.is_empty() {
            (self.reserved_per_s, self.lost_throttled) = (0.0, None);
            return;
        }
        let is_known = |since: Instant| now >= since + SHARE_KNOWN_AFTER;
        let lost_throttled = self.is_in_use(now) && self.throttled_since.is_some_and(is_known);
        // Daemons with a reduced share go on at their last rates, which are counted.
        if *self.lost_throttled.get_or_insert(lost_throttled) {
            self.reserved_per_s = 0.0;
            return;
        }
        let parts_per_s = part.rate_per_daemon * unreached.len() as f64;
        let counted_per_s = self.reporters.counted_per_s(unreached);
        self.reserved_per_s = (parts_per_s - counted_per_s).max(0.0);
    }

    fn is_learning(&self, now: Instant) -> bool {
        match &self.inherited {
            Some(inherited) => inherited.is_learning(),
            None => self.is_new(now),
        }
    }

    /// Returns the grant in answer to a usage report.
    pub fn answer(&mut self, from: HostKey, report: &Report, part: QuotaPart) -> Grant {
        let grant = self.grant(report.usage.key, part);
        let is_throttled = grant.share < Grant::ALL;
        self.throttled_since = self.throttled_since.or(Some(self.updated)).filter(|_| is_throttled);
        self.reporters.set_throttled(from, is_throttled);
        grant
    }

    /// Returns the grant for the calls offered next.
    fn grant(&self, key: LimitKey, part: QuotaPart) -> Grant {
        Grant { key, share: (self.share(part) * f64::from(Grant::ALL)).round() as u16 }
    }

    /// Returns the share of the demand that brings the admitted calls to the rate, plus what is
    /// left of the burst.
    ///
    /// It follows the demand at any level of the account. Failure: all calls are granted as
    /// soon as a debt is paid. Symptom: several times the rate is admitted until the next
    /// report, and callers are refused for the debt afterwards.
    fn share(&self, part: QuotaPart) -> f64 {
        let demand = self.reporters.demand_per_s();
        let target = self.rate_per_s(part) + self.room_per_s(part);
        match demand > 0.0 {
            true => (target / demand).clamp(0.0, 1.0),
            false => 1.0,
        }
    }

    /// Returns the calls a second that are granted beyond the rate, or fewer, to use up the
    /// burst and the tolerance or to pay back a debt. The keeper before may still use what it
    /// has of them.
    fn room_per_s(&self, part: QuotaPart) -> f64 {
        let level = self.level - self.reporters.pending();
        match &self.inherited {
            Some(inherited) if inherited.is_learning() => 0.0,
            Some(_) => level.min(0.0) / PAY_BACK_TIME.as_secs_f64(),
            None => {
                let part = part.without(self.reserved_per_s);
                let burst = level.clamp(0.0, part.burst) / BURST_TIME.as_secs_f64();
                burst + (level.min(0.0) + part.tolerance) / PAY_BACK_TIME.as_secs_f64()
            }
        }
    }

    /// Returns the grant to send to all daemons, or `None` if the limit is not throttled or
    /// was not in use lately, or if the account is still learning the demand.
    pub fn reduced_grant(&mut self, key: LimitKey, part: QuotaPart, now: Instant) -> Option<Grant> {
        let is_in_use = self.is_in_use(now);
        self.advance(part, now);
        if !is_in_use || self.is_learning(now) {
            return None;
        }
        Some(self.grant(key, part)).filter(|grant| grant.share < Grant::ALL)
    }

    /// Returns the calls that may be admitted at once, negative for a debt, and the calls
    /// offered a second.
    pub fn balance(&mut self, part: QuotaPart, now: Instant) -> (f64, f64) {
        self.advance(part, now);
        (self.level - self.reporters.pending(), self.reporters.demand_per_s())
    }

    /// Returns the calls a second that were inherited from another keeper, while they are
    /// enforced.
    pub fn inherited_per_s(&self) -> Option<f64> {
        self.inherited.and_then(|inherited| inherited.fixed_rate_per_s())
    }

    /// Returns whether the account can be dropped without losing anything.
    pub fn is_idle(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_report) >= FORGET_AFTER
    }

    /// Returns the daemons that report usage.
    pub fn reporters(&mut self) -> &mut Reporters {
        &mut self.reporters
    }

    /// Returns the rate that may be admitted here: the part of the limit enforced here, without
    /// what is reserved, and what daemons brought that came back.
    ///
    /// What was brought may belong to daemons that were lost again since, so that the sum leaves
    /// what is reserved for them.
    ///
    /// Until it is settled who is lost, an inherited account enforces what it inherited.
    /// Failure: a partition chooses a keeper of its own as soon as it suspects the old one.
    /// Symptom: both keepers grant the whole limit.
    fn rate_per_s(&self, part: QuotaPart) -> f64 {
        let reporters = &self.reporters;
        match &self.inherited {
            None => {
                let own_per_s = part.without(self.reserved_per_s).rate_per_s;
                let max_rate_per_s = (part.max_rate_per_s - self.reserved_per_s).max(0.0);
                (own_per_s + self.brought.per_s()).min(max_rate_per_s)
            }
            Some(inherited) => inherited
                .rate_per_s(reporters.demand_per_s(), part, reporters.count())
                .min(part.max_rate_per_s),
        }
    }

    fn advance(&mut self, part: QuotaPart, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.level += self.rate_per_s(part) * elapsed - self.reporters.advance(now);
        // Reports come in lumps. Without the calls that they will bring, the account of a small
        // burst would be full between two reports, and lose a part of the rate.
        let burst = part.without(self.reserved_per_s).burst;
        self.level = self.level.min(burst + self.reporters.pending());
        if let Some(inherited) = &mut self.inherited {
            if inherited.fix_rate(self.reporters.demand_per_s(), now) {
                self.level = self.level.min(0.0);
            }
        }
        self.brought.expire(now);
        self.inherited = self.inherited.filter(|inherited| !inherited.is_settled(now));
    }
}
