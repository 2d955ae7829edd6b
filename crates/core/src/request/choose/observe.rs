//! Updates a picker's estimates from attempts and their outcomes.

use super::kinds::KindStats;
use super::picker::Picker;
use super::upstream::BackOff;
use super::{Demand, Outcome, UpstreamKey};
use crate::ids::HostKey;
use crate::request::gate::KindKey;
use std::time::{Duration, Instant};

/// Kinds of calls with statistics of their own; further kinds are not tracked and count
/// with the default mean.
const MAX_KINDS: usize = 64;
/// Consecutive failures after which an upstream is ejected.
const EJECT_AFTER: u32 = 3;
/// Longest time for which an upstream that refused a call gets no calls of the same or a
/// lower rank. Its queue is full, and another call at once would cost a round trip for the
/// same refusal. The time is short since a slot becomes free soon.
const MAX_BACK_OFF: Duration = Duration::from_millis(60);
/// Weight of a new answer in the error ratio of the service.
const SERVICE_ERROR_SMOOTHING: f64 = 0.02;
/// Weight of a new attempt in the service's share of attempts that found no free slot.
const SHORTAGE_SMOOTHING: f64 = 0.05;

impl Picker {
    /// Records whether a host is silent; the upstreams of a silent host get no calls.
    pub fn set_silent(&mut self, host: HostKey, silent: bool) {
        for upstream in self.arena.iter_mut().filter(|upstream| upstream.info.host == host) {
            upstream.silent = silent;
        }
    }

    /// Records that an attempt has taken `elapsed` so far and is still in flight.
    ///
    /// Failure: an upstream stops answering, and each call to it is answered by a hedged
    /// attempt elsewhere, after which the first attempt is cancelled. Symptom: no failure
    /// of the upstream is ever observed, and every call to it is late. The elapsed time is
    /// a lower bound of the attempt's time and is counted as such; the attempt also counts as
    /// an error.
    ///
    /// Where upstreams report the pace of their machines, a late attempt most likely means that
    /// the machine is slow for a moment, and the report that would say so is lost with the
    /// attempt. It counts as such a report until the upstream gives no answer for longer.
    pub fn record_late(
        &mut self,
        key: UpstreamKey,
        demand: Demand,
        elapsed: Duration,
        now: Instant,
    ) {
        let Some(stats) = self.kinds.get_mut(&demand.kind) else { return };
        stats.totals.add(elapsed.as_secs_f64() * 1e3);
        let relative = elapsed.as_secs_f64() * 1e3 / stats.total.max(0.1);
        let is_paced = self.paced;
        let upstream = self.at_mut(key);
        if is_paced && upstream.is_late_for_a_moment(now) {
            upstream.presume_slow(relative, now);
            return;
        }
        // What the machine's momentary pace explains says nothing about the upstream.
        let relative = relative / upstream.machine_factor(now).max(1.0);
        upstream.observe_relative_time(relative.max(1.0), now);
        upstream.record_error(now);
    }

    /// Records how long one more large answer would wait for the link of an upstream's
    /// host.
    pub fn record_link_wait(&mut self, key: UpstreamKey, wait: Duration, now: Instant) {
        self.at_mut(key).link_wait = Some((wait, now));
    }

    /// Returns whether the answers of a kind are large.
    pub fn is_large(&self, kind: KindKey) -> bool {
        self.kinds.get(&kind).is_some_and(|stats| stats.large)
    }

    /// Records whether the answers of a kind are large.
    pub fn set_large(&mut self, kind: KindKey, large: bool) {
        if let Some(stats) = self.kinds.get_mut(&kind) {
            stats.large = large;
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
            Outcome::Answered { service, total, report } => {
                let machine = report.pace.map(|pace| pace.received(now).factor(now));
                let usual = machine.map_or(service, |factor| service.div_f64(factor));
                Some(self.observe(demand.kind, usual, total))
            }
            _ => None,
        };
        self.observe_error(outcome);
        self.observe_shortage(outcome);
        self.paced |= outcome.report().is_some_and(|report| report.pace.is_some());
        let upstream = self.at_mut(key);
        upstream.outstanding = upstream.outstanding.saturating_sub(1);
        match outcome {
            Outcome::Answered { report, .. } => {
                upstream.record_answer(relative.unwrap_or(1.0), report.load, now);
                upstream.apply_report(report, now);
            }
            Outcome::Full { report } | Outcome::SlowHost { report } => {
                upstream.failures = 0;
                upstream.apply_report(report, now);
            }
            Outcome::ErrorAnswer => upstream.record_error(now),
            Outcome::Refused { retry_after, report } => {
                upstream.failures = 0;
                upstream.apply_report(report, now);
                if policy.back_off {
                    upstream.back_off = Some(BackOff {
                        priority: demand.priority,
                        until: now + retry_after.min(MAX_BACK_OFF),
                        retry_after,
                    });
                }
            }
            Outcome::Unreached | Outcome::Failed => {
                upstream.record_error(now);
                upstream.failures += 1;
                let at_once = outcome == Outcome::Unreached;
                if policy.eject && (at_once || upstream.failures >= EJECT_AFTER) {
                    upstream.eject(now);
                }
            }
            Outcome::LinkBusy | Outcome::HeldBack | Outcome::Cancelled => {}
        }
    }

    /// Adds the times of a call to its kind; returns the upstream's time as a multiple of the
    /// kind's mean.
    fn observe(&mut self, kind: KindKey, service: Duration, total: Duration) -> f64 {
        let (service, total) = (service.as_secs_f64() * 1e3, total.as_secs_f64() * 1e3);
        let has_room = self.kinds.len() < MAX_KINDS;
        match self.kinds.get_mut(&kind) {
            Some(stats) => {
                let relative = service / stats.service.max(0.1);
                stats.observe(service, total);
                relative
            }
            None if has_room => {
                self.kinds.insert(kind, KindStats::new(service, total));
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
            | Outcome::SlowHost { .. }
            | Outcome::LinkBusy
            | Outcome::HeldBack
            | Outcome::Unreached
            | Outcome::Cancelled => return,
        };
        self.error_ratio += SERVICE_ERROR_SMOOTHING * (error - self.error_ratio);
    }

    fn observe_shortage(&mut self, outcome: Outcome) {
        let found_no_slot = match outcome {
            Outcome::Full { .. } | Outcome::Refused { .. } => 1.0,
            Outcome::Answered { .. } => 0.0,
            Outcome::ErrorAnswer
            | Outcome::SlowHost { .. }
            | Outcome::LinkBusy
            | Outcome::HeldBack
            | Outcome::Unreached
            | Outcome::Failed
            | Outcome::Cancelled => return,
        };
        self.shortage += SHORTAGE_SMOOTHING * (found_no_slot - self.shortage);
    }
}
