//! The decider's side of a rollout.
//!
//! A [`Decider`] takes in reports and proposes what to write to the store next: a phase or a
//! larger grant. A proposal takes effect in the decider only after it has been written, see
//! [`Decider::apply`].
//!
//! # When to cut over
//!
//! The later a fault begins, the longer canaries must run for it to be caught while their
//! share is still small. So the canary phase lasts until the time left is just enough for all
//! daemons to receive the cutover, for calls at old upstreams to end, and for the write.

use super::account::{Account, Bounds};
use super::judge::{Evidence, judge};
use super::tally::{Kinds, Quotas, Report, UpstreamReport};
use super::{Order, Phase};
use crate::ids::HostKey;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Share of the calls that is sent to canaries, in thousandths. The grant bounds it.
const CANARY_PERMILLE: u16 = 65;
/// Minimum number of canaries: with fewer, a faulty host among them can't be told apart from
/// a bad version.
const MIN_CANARIES: usize = 3;
/// Time reserved for a cutover: a second until all daemons have received it, the longest usual
/// call, and a write to a slow store.
const CUTOVER_TIME: Duration = Duration::from_secs(5);
/// Part of the order's time that the canary phase has at least, where the order is short.
const MIN_CANARY_FRACTION: f64 = 0.4;
/// Time before the end of the order at which a rollout that has not begun its cutover is
/// rolled back.
const ROLL_BACK_BEFORE_END: Duration = Duration::from_millis(1500);
/// Minimum number of counted calls at the new version before a cutover.
const MIN_ANSWERS: u32 = 10;
/// Slots of ready new upstreams per slot of ready old ones that a cutover needs at least.
const MIN_CAPACITY_RATIO: f64 = 0.7;
/// Age from which on a report is stale.
const MAX_REPORT_AGE: Duration = Duration::from_secs(2);
/// Time span of the recent answers, which are compared in addition to all answers: a fault
/// that begins late shows in them first.
const RECENT_WINDOW: Duration = Duration::from_millis(2500);
/// Time between two entries of the history from which recent answers are computed.
const HISTORY_INTERVAL: Duration = Duration::from_millis(500);
/// Number of recent answers of the old version below which all of its answers are used for
/// the comparison.
const MIN_RECENT_ANSWERS: u32 = 100;
/// Minimum growth of the grant for a write, in calls. The growth must also reach the current
/// grant divided by [`GRANT_GROWTH_DIVISOR`], so that an order takes some thirty writes
/// however busy its service is.
const MIN_GRANT_GROWTH: u64 = 16;
const GRANT_GROWTH_DIVISOR: u64 = 8;

/// A change that the decider proposes to write to the store.
#[derive(Clone, Debug, PartialEq)]
pub enum Proposal {
    /// The next phase and the reason for it.
    Phase(Phase, Why),
    /// A larger grant: the number of calls granted in total.
    Grant(u64),
}

/// The reason for a phase.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Why {
    /// The order is new, or the set of canaries changes.
    Canaries,
    /// The canary phase is over without evidence against the new version.
    Proven,
    /// The old upstreams are drained.
    Emptied,
    /// The new version is worse than the old one.
    Worse(Evidence),
    /// The time of the order is over.
    NoTime,
    /// The operator withdrew the order.
    Withdrawn,
    /// This daemon took the rollout over from a decider that is gone.
    TakenOver,
}

/// The last report on an upstream, and what the decider keeps beside it.
struct UpstreamState {
    host: HostKey,
    report: UpstreamReport,
    reported_at: Instant,
    history: VecDeque<(Instant, Kinds)>,
    /// Calls counted before the upstream's counts restarted from zero.
    calls_before_reset: u64,
    /// Calls that the upstream may be sent in this epoch.
    quota: u32,
}

/// The decider of one rollout.
pub struct Decider {
    order: Order,
    bounds: Bounds,
    began: Instant,
    epoch: u32,
    step: u32,
    phase: Option<Phase>,
    account: Account,
    states: BTreeMap<String, UpstreamState>,
    /// Whether the other daemons have yet to be informed that this daemon decides now.
    must_announce: bool,
    /// Whether the version was found to be worse.
    is_worse: bool,
}

impl Decider {
    /// Begins a rollout (`phase` is `None`), or takes over one that is at `step` and in `phase`.
    pub fn new(
        order: Order,
        bounds: Bounds,
        began: Instant,
        step: u32,
        phase: Option<Phase>,
        account: Account,
    ) -> Decider {
        let epoch = step + 1;
        let (must_announce, states) = (phase.is_some(), BTreeMap::new());
        Decider {
            order,
            bounds,
            began,
            epoch,
            step,
            phase,
            account,
            states,
            must_announce,
            is_worse: false,
        }
    }

    /// Returns the order of the rollout.
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// Returns the last step that was written.
    pub fn step(&self) -> u32 {
        self.step
    }

    /// Returns the first step of this decider. Daemons count the calls that they send to
    /// canaries anew for each epoch.
    pub fn epoch(&self) -> u32 {
        self.epoch
    }

    /// Returns the last phase that was written.
    pub fn phase(&self) -> Option<&Phase> {
        self.phase.as_ref()
    }

    /// Returns the account to write to the store, with all calls reported so far.
    pub fn account(&self) -> Account {
        Account { calls_before: self.account.calls_before + self.calls_reported(), ..self.account }
    }

    /// Stores a report; returns the quotas of the canaries in it.
    pub fn handle_report(&mut self, report: Report, now: Instant) -> Quotas {
        let is_current_epoch = report.epoch == self.epoch;
        let mut quotas = Quotas::default();
        for upstream_report in report.upstreams {
            let name = upstream_report.upstream.clone();
            self.update_state(report.host, upstream_report, is_current_epoch, now);
            if is_current_epoch && !self.is_worse && self.is_canary(&name) {
                quotas.0.push((name.clone(), self.raise_quota(&name)));
            }
        }
        quotas
    }

    fn update_state(
        &mut self,
        host: HostKey,
        mut upstream_report: UpstreamReport,
        is_current_epoch: bool,
        now: Instant,
    ) {
        if !is_current_epoch {
            upstream_report.sent = 0;
        }
        match self.states.get_mut(&upstream_report.upstream) {
            None => {
                let history = VecDeque::from([(now, upstream_report.kinds.clone())]);
                let name = upstream_report.upstream.clone();
                let state = UpstreamState {
                    host,
                    report: upstream_report,
                    reported_at: now,
                    history,
                    calls_before_reset: 0,
                    quota: 0,
                };
                self.states.insert(name, state);
            }
            Some(state) => {
                if upstream_report.kinds.total() < state.report.kinds.total() {
                    state.calls_before_reset += u64::from(state.report.kinds.total());
                    state.history.clear();
                }
                let last = state.history.back().map(|(at, _)| *at);
                if last.is_none_or(|at| now >= at + HISTORY_INTERVAL) {
                    state.history.push_back((now, upstream_report.kinds.clone()));
                }
                while state.history.get(1).is_some_and(|(at, _)| now >= *at + RECENT_WINDOW) {
                    state.history.pop_front();
                }
                state.report = upstream_report;
                state.host = host;
                state.reported_at = now;
            }
        }
    }

    fn is_canary(&self, name: &str) -> bool {
        let Some(Phase::Canary { upstreams, .. }) = &self.phase else { return false };
        upstreams.iter().any(|canary| canary == name)
    }

    /// Raises the quota of a canary as far as the grant allows; returns the quota.
    fn raise_quota(&mut self, name: &str) -> u32 {
        let assigned: u64 = self.states.values().map(|state| u64::from(state.quota)).sum();
        let remaining = self.account.remaining(assigned);
        let canaries = match &self.phase {
            Some(Phase::Canary { upstreams, .. }) => upstreams.len().max(1) as u64,
            _ => 1,
        };
        let Some(state) = self.states.get_mut(name) else { return 0 };
        let unused = state.quota.saturating_sub(state.report.sent);
        // Raises the unused quota to an equal part of the remaining grant at most, so that no
        // canary holds calls that others need.
        let max_unused = (remaining / canaries).max(u64::from(remaining > 0));
        state.quota += (max_unused as u32).saturating_sub(unused);
        state.quota
    }

    /// Returns what is to be written next. `old` holds the upstreams of other versions on
    /// hosts that are believed to run.
    pub fn propose(&mut self, old: &[String], now: Instant) -> Option<Proposal> {
        let phase = self.phase.clone();
        let age = now.saturating_duration_since(self.began);
        match phase {
            Some(phase) if phase.is_final() => return None,
            Some(_) => {
                if let Some(evidence) = self.find_evidence(now) {
                    self.is_worse = true;
                    return Some(Proposal::Phase(Phase::RolledBack, Why::Worse(evidence)));
                }
            }
            None => {}
        }
        if let Some(phase) = self.phase.clone().filter(|_| self.must_announce) {
            return Some(Proposal::Phase(phase, Why::TakenOver));
        }
        match phase {
            None => Some(Proposal::Phase(self.canary_phase(&[], now), Why::Canaries)),
            Some(Phase::Canary { upstreams, .. }) => self.propose_in_canary(&upstreams, age, now),
            Some(Phase::Cutover) if age >= self.order.duration => {
                Some(Proposal::Phase(Phase::RolledBack, Why::NoTime))
            }
            Some(Phase::Cutover) => self
                .are_drained(old, now)
                .then_some(Proposal::Phase(Phase::Completed, Why::Emptied)),
            Some(Phase::Completed | Phase::RolledBack) => None,
        }
    }

    fn propose_in_canary(
        &self,
        upstreams: &[String],
        age: Duration,
        now: Instant,
    ) -> Option<Proposal> {
        if age >= self.order.duration.saturating_sub(ROLL_BACK_BEFORE_END) {
            return Some(Proposal::Phase(Phase::RolledBack, Why::NoTime));
        }
        let min_canary_time = self.order.duration.mul_f64(MIN_CANARY_FRACTION);
        let cutover_at = self.order.duration.saturating_sub(CUTOVER_TIME).max(min_canary_time);
        if age >= cutover_at && self.new_version_answers() >= MIN_ANSWERS && self.has_capacity(now)
        {
            return Some(Proposal::Phase(Phase::Cutover, Why::Proven));
        }
        let next = self.canary_phase(upstreams, now);
        if !matches!(&next, Phase::Canary { upstreams: wanted, .. } if wanted == upstreams) {
            return Some(Proposal::Phase(next, Why::Canaries));
        }
        let limit = self.account.grant_limit(self.bounds, self.calls_reported());
        let granted = self.account.granted;
        let grows =
            limit >= granted.saturating_add(MIN_GRANT_GROWTH.max(granted / GRANT_GROWTH_DIVISOR));
        (grows && !upstreams.is_empty()).then_some(Proposal::Grant(limit))
    }

    /// Applies a proposal that has been written to the store.
    pub fn apply(&mut self, proposal: &Proposal) {
        self.step += 1;
        self.must_announce = false;
        match proposal {
            Proposal::Phase(phase, _) => self.phase = Some(phase.clone()),
            Proposal::Grant(granted) => self.account.granted = *granted,
        }
    }

    /// Returns the canary phase with as many canaries as are needed, if enough are ready.
    /// Current canaries are kept while they are ready.
    fn canary_phase(&self, current: &[String], now: Instant) -> Phase {
        let warm: Vec<&String> = self.ready_upstreams(now, true).map(|(name, _)| name).collect();
        let slots = |is_new: bool| {
            self.ready_upstreams(now, is_new)
                .map(|(_, state)| f64::from(state.report.slots))
                .sum::<f64>()
        };
        let mean = slots(true) / warm.len().max(1) as f64;
        let wanted = slots(false) * f64::from(CANARY_PERMILLE) / 1000.0 / mean.max(1.0);
        let wanted = (wanted.ceil() as usize).max(MIN_CANARIES);
        let kept = current.iter().filter(|name| warm.contains(name));
        let added = warm.iter().copied().filter(|name| !current.contains(name));
        let upstreams = kept.chain(added).take(wanted).cloned().collect();
        Phase::Canary { permille: CANARY_PERMILLE, upstreams }
    }

    /// Returns the upstreams of the new or the old version that take calls, by a report that is
    /// not stale.
    fn ready_upstreams(
        &self,
        now: Instant,
        is_new: bool,
    ) -> impl Iterator<Item = (&String, &UpstreamState)> {
        self.states.iter().filter(move |(_, state)| {
            state.report.is_new == is_new
                && state.report.is_warm
                && now < state.reported_at + MAX_REPORT_AGE
        })
    }

    fn has_capacity(&self, now: Instant) -> bool {
        let slots = |is_new| -> f64 {
            self.ready_upstreams(now, is_new).map(|(_, state)| f64::from(state.report.slots)).sum()
        };
        slots(true) >= MIN_CAPACITY_RATIO * slots(false)
    }

    fn new_version_answers(&self) -> u32 {
        let new = self.states.values().filter(|state| state.report.is_new);
        new.map(|state| state.report.kinds.total()).sum()
    }

    fn calls_reported(&self) -> u64 {
        let calls = |state: &UpstreamState| {
            state.calls_before_reset + u64::from(state.report.kinds.total())
        };
        self.states.values().map(calls).sum()
    }

    /// Returns whether the old upstreams have no calls in flight and are sent no further ones.
    fn are_drained(&self, old: &[String], now: Instant) -> bool {
        old.iter().all(|name| {
            self.states.get(name).is_some_and(|state| {
                let report = &state.report;
                report.is_closed
                    && report.in_flight == 0
                    && now < state.reported_at + MAX_REPORT_AGE
            })
        })
    }

    fn find_evidence(&self, now: Instant) -> Option<Evidence> {
        let all = |is_new| -> Vec<Kinds> {
            let matching = self.states.values().filter(move |state| state.report.is_new == is_new);
            matching.map(|state| state.report.kinds.clone()).collect()
        };
        let recent = |is_new| -> Vec<Kinds> {
            let matching = self.states.values().filter(move |state| state.report.is_new == is_new);
            let matching = matching.filter(|state| now < state.reported_at + MAX_REPORT_AGE);
            matching
                .filter_map(|state| {
                    let (_, earlier) = state.history.front()?;
                    Some(state.report.kinds.since(earlier))
                })
                .collect()
        };
        let old = all(false);
        if let Some(evidence) = judge(&refs(&all(true)), &refs(&old)) {
            return Some(evidence);
        }
        let old_recent = recent(false);
        let is_enough = old_recent.iter().map(Kinds::total).sum::<u32>() >= MIN_RECENT_ANSWERS;
        judge(&refs(&recent(true)), &refs(if is_enough { &old_recent } else { &old }))
    }
}

fn refs(all: &[Kinds]) -> Vec<&Kinds> {
    all.iter().collect()
}
