//! What a picker learns from attempts and their answers.

use super::kinds::Spread;
use super::picker::Picker;
use super::upstream::BackOff;
use super::{Demand, Outcome, UpstreamKey};
use crate::ids::HostKey;
use crate::request::gate::KindKey;
use std::time::{Duration, Instant};

/// Kinds of calls whose times are kept apart; further ones share the rest.
const KINDS_KEPT: usize = 64;
/// Failures in a row before an upstream is set aside.
const EJECT_AFTER: u32 = 3;
/// Longest time for which an upstream that refused a call gets no further ones of
/// that rank. Its queue is as long as it may be; asking again at once costs a way
/// there and back for the same answer. Short, since a slot is free again soon.
const BACK_OFF_MOST: Duration = Duration::from_millis(60);
/// Weight of a new answer in the service's share of errors.
const SERVICE_ERROR_SMOOTHING: f64 = 0.02;
/// Weight of a new attempt in the service's share of those that found no free slot.
const SHORTAGE_SMOOTHING: f64 = 0.05;

impl Picker {
    /// Takes in that a host gives no sign of life, or does again.
    pub fn set_silent(&mut self, host: HostKey, silent: bool) {
        for upstream in self.arena.iter_mut().filter(|upstream| upstream.info.host == host) {
            upstream.silent = silent;
        }
    }

    /// Takes in that an attempt is late: it has taken this long and goes on.
    ///
    /// Failure: an upstream falls silent, and each call to it is answered by a
    /// second attempt elsewhere, after which the first is cancelled. Symptom:
    /// nothing bad was ever observed of it, and every call is late. What has
    /// passed already counts as the least that the attempt takes.
    pub fn record_late(
        &mut self,
        key: UpstreamKey,
        demand: Demand,
        passed: Duration,
        now: Instant,
    ) {
        let Some(spread) = self.kinds.get(&demand.kind) else { return };
        let relative = passed.as_secs_f64() * 1e3 / spread.total.max(0.1);
        let upstream = self.at_mut(key);
        upstream.observe_speed(relative.max(1.0), now);
        upstream.erred(now);
    }

    /// Takes in how long one more large answer would take to leave the host of an
    /// upstream.
    pub fn record_link_wait(&mut self, key: UpstreamKey, wait: Duration, now: Instant) {
        self.at_mut(key).link = Some((wait, now));
    }

    /// Returns whether a kind's answers are large.
    pub fn is_large(&self, kind: KindKey) -> bool {
        self.kinds.get(&kind).is_some_and(|spread| spread.large)
    }

    /// Takes in whether a kind's answers are large.
    pub fn set_large(&mut self, kind: KindKey, large: bool) {
        if let Some(spread) = self.kinds.get_mut(&kind) {
            spread.large = large;
        }
    }

    /// Records that an attempt was sent.
    pub fn started(&mut self, key: UpstreamKey) {
        self.at_mut(key).outstanding += 1;
    }

    /// Records how an attempt of a call ended.
    pub fn ended(&mut self, key: UpstreamKey, demand: Demand, outcome: Outcome, now: Instant) {
        let policy = self.policy;
        let relative = match outcome {
            Outcome::Answered { service, total, .. } => {
                Some(self.observe(demand.kind, service, total))
            }
            _ => None,
        };
        self.observe_error(outcome);
        self.observe_shortage(outcome);
        let upstream = self.at_mut(key);
        upstream.outstanding = upstream.outstanding.saturating_sub(1);
        match outcome {
            Outcome::Answered { report, .. } => {
                upstream.answered(relative.unwrap_or(1.0), report.load, now);
                upstream.apply_report(report, now);
            }
            Outcome::Full { report } => {
                upstream.failures = 0;
                upstream.apply_report(report, now);
            }
            Outcome::ErrorAnswer => upstream.erred(now),
            Outcome::Refused { retry_after, report } => {
                upstream.failures = 0;
                upstream.apply_report(report, now);
                if policy.back_off {
                    upstream.back_off = Some(BackOff {
                        priority: demand.priority,
                        until: now + retry_after.min(BACK_OFF_MOST),
                        retry_after,
                    });
                }
            }
            Outcome::Unreached | Outcome::Failed => {
                upstream.erred(now);
                upstream.failures += 1;
                let at_once = outcome == Outcome::Unreached;
                if policy.eject && (at_once || upstream.failures >= EJECT_AFTER) {
                    upstream.eject(now);
                }
            }
            Outcome::LinkBusy | Outcome::HeldBack | Outcome::Cancelled => {}
        }
    }

    /// Takes times in; returns the upstream's in means of its kind.
    fn observe(&mut self, kind: KindKey, service: Duration, total: Duration) -> f64 {
        let (service, total) = (service.as_secs_f64() * 1e3, total.as_secs_f64() * 1e3);
        let has_room = self.kinds.len() < KINDS_KEPT;
        match self.kinds.get_mut(&kind) {
            Some(spread) => {
                let relative = service / spread.service.max(0.1);
                spread.observe(service, total);
                relative
            }
            None if has_room => {
                let deviation = total / 2.0;
                let large = false;
                self.kinds.insert(kind, Spread { service, total, deviation, large });
                1.0
            }
            None => 1.0,
        }
    }

    fn observe_error(&mut self, outcome: Outcome) {
        let error = match outcome {
            Outcome::Answered { .. } => 0.0,
            Outcome::ErrorAnswer | Outcome::Failed => 1.0,
            Outcome::Refused { .. }
            | Outcome::Full { .. }
            | Outcome::LinkBusy
            | Outcome::HeldBack
            | Outcome::Unreached
            | Outcome::Cancelled => return,
        };
        self.errors += SERVICE_ERROR_SMOOTHING * (error - self.errors);
    }

    fn observe_shortage(&mut self, outcome: Outcome) {
        let had_none = match outcome {
            Outcome::Full { .. } | Outcome::Refused { .. } => 1.0,
            Outcome::Answered { .. } => 0.0,
            Outcome::ErrorAnswer
            | Outcome::LinkBusy
            | Outcome::HeldBack
            | Outcome::Unreached
            | Outcome::Failed
            | Outcome::Cancelled => return,
        };
        self.shortage += SHORTAGE_SMOOTHING * (had_none - self.shortage);
    }
}
