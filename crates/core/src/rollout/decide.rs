//! The side of the daemon that decides on a rollout.
//!
//! It takes in reports, and says what it wishes to write to the store next: a phase, or a
//! larger grant. Only when that is written does it hold here, see [`Decider::apply`].
//!
//! # When to cut over
//!
//! What is left of the canaries' share is also a clock: the longer it is kept small, the
//! later a fault is still caught. So canaries go on until the time is just enough for all
//! daemons to hear of the cutover, for calls at old upstreams to end, and for the write.

use super::account::{Account, Bounds};
use super::judge::{Evidence, judge};
use super::tally::{Kinds, Quotas, Report, UpstreamReport};
use super::{Order, Phase};
use crate::ids::HostKey;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Share of the calls that canaries are sent, in thousandths; what is granted bounds it.
const CANARY_PERMILLE: u16 = 65;
/// Canaries at least, so that a faulty host among them is told from a bad version.
const CANARIES_LEAST: usize = 3;
/// Time for a cutover: a second until all daemons know, the longest usual call, a write to
/// a slow store.
const CUTOVER_TIME: Duration = Duration::from_secs(5);
/// Part of the time of a short order that canaries have in any case.
const CANARY_PART: f64 = 0.4;
/// Time before the end at which a rollout that has not begun its cutover is given up.
const GIVE_UP_BEFORE: Duration = Duration::from_millis(1500);
/// Answers of the new version without which nothing is concluded.
const ANSWERS_LEAST: u32 = 10;
/// Slots of the new version for each of the old one without which there is no room.
const ROOM_LEAST: f64 = 0.7;
/// Age at which a report counts no more.
const REPORT_LIFE: Duration = Duration::from_secs(2);
/// Span of the answers that are judged apart from all: a fault that begins late shows in
/// them first.
const RECENT: Duration = Duration::from_millis(2500);
/// Time between two states of the counts that are kept for that.
const HISTORY_EVERY: Duration = Duration::from_millis(500);
/// Answers of the old version in that span below which all of its answers are compared.
const RECENT_LEAST: u32 = 100;
/// Growth of the grant that is worth a write: so many calls, and this part of what is
/// granted, so that an order takes some thirty writes however busy its service is.
const GRANT_LEAST: u64 = 16;
const GRANT_PART: u64 = 8;

/// What the decider wants written.
#[derive(Clone, Debug, PartialEq)]
pub enum Proposal {
    /// The next phase, and why.
    Phase(Phase, Why),
    /// A larger grant.
    Grant(u64),
}

/// Why a phase follows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Why {
    /// The order has come, or canaries came and went.
    Canaries,
    /// Nothing speaks against the version, and it is time.
    Proven,
    /// Nothing is at work at old upstreams.
    Emptied,
    /// The version is worse.
    Worse(Evidence),
    /// The time is over.
    NoTime,
    /// The order was taken back.
    Withdrawn,
    /// The one that decided before is gone.
    TakenOver,
}

struct Seen {
    host: HostKey,
    report: UpstreamReport,
    at: Instant,
    history: VecDeque<(Instant, Kinds)>,
    /// Calls of counts that began anew.
    counted_before: u64,
    /// Calls that it may be sent in this epoch.
    issued: u32,
}

/// One rollout as its decider sees it.
pub struct Decider {
    order: Order,
    bounds: Bounds,
    began: Instant,
    epoch: u32,
    step: u32,
    phase: Option<Phase>,
    account: Account,
    seen: BTreeMap<String, Seen>,
    /// Whether the others must hear that this daemon decides now.
    is_untold: bool,
    /// Whether the version was found to be worse.
    is_worse: bool,
}

impl Decider {
    /// Begins, or takes over a rollout that is at `step` and in `phase`.
    pub fn new(
        order: Order,
        bounds: Bounds,
        began: Instant,
        step: u32,
        phase: Option<Phase>,
        account: Account,
    ) -> Decider {
        let epoch = step + 1;
        let (is_untold, seen) = (phase.is_some(), BTreeMap::new());
        Decider {
            order,
            bounds,
            began,
            epoch,
            step,
            phase,
            account,
            seen,
            is_untold,
            is_worse: false,
        }
    }

    /// Returns the order.
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// Returns the step that is in force.
    pub fn step(&self) -> u32 {
        self.step
    }

    /// Returns the step from which on canaries count for this decider.
    pub fn epoch(&self) -> u32 {
        self.epoch
    }

    /// Returns the phase in force.
    pub fn phase(&self) -> Option<&Phase> {
        self.phase.as_ref()
    }

    /// Returns what was granted and seen, for the store.
    pub fn account(&self) -> Account {
        Account { calls_before: self.account.calls_before + self.calls_seen(), ..self.account }
    }

    /// Takes a report in; returns what its upstreams may be sent.
    pub fn handle_report(&mut self, report: Report, now: Instant) -> Quotas {
        let counts = report.epoch == self.epoch;
        let mut quotas = Quotas::default();
        for told in report.upstreams {
            let name = told.upstream.clone();
            self.take(report.host, told, counts, now);
            if counts && !self.is_worse && self.is_canary(&name) {
                quotas.0.push((name.clone(), self.issue(&name)));
            }
        }
        quotas
    }

    fn take(&mut self, host: HostKey, mut told: UpstreamReport, counts: bool, now: Instant) {
        if !counts {
            told.sent = 0;
        }
        match self.seen.get_mut(&told.upstream) {
            None => {
                let history = VecDeque::from([(now, told.kinds.clone())]);
                let name = told.upstream.clone();
                let seen =
                    Seen { host, report: told, at: now, history, counted_before: 0, issued: 0 };
                self.seen.insert(name, seen);
            }
            Some(seen) => {
                if told.kinds.total() < seen.report.kinds.total() {
                    seen.counted_before += u64::from(seen.report.kinds.total());
                    seen.history.clear();
                }
                let last = seen.history.back().map(|(at, _)| *at);
                if last.is_none_or(|at| now >= at + HISTORY_EVERY) {
                    seen.history.push_back((now, told.kinds.clone()));
                }
                while seen.history.get(1).is_some_and(|(at, _)| now >= *at + RECENT) {
                    seen.history.pop_front();
                }
                seen.report = told;
                seen.host = host;
                seen.at = now;
            }
        }
    }

    fn is_canary(&self, name: &str) -> bool {
        let Some(Phase::Canary { upstreams, .. }) = &self.phase else { return false };
        upstreams.iter().any(|canary| canary == name)
    }

    /// Raises what a canary may be sent, as far as the grant allows; returns it.
    fn issue(&mut self, name: &str) -> u32 {
        let issued: u64 = self.seen.values().map(|seen| u64::from(seen.issued)).sum();
        let left = self.account.left(issued);
        let canaries = match &self.phase {
            Some(Phase::Canary { upstreams, .. }) => upstreams.len().max(1) as u64,
            _ => 1,
        };
        let Some(seen) = self.seen.get_mut(name) else { return 0 };
        let unused = seen.issued.saturating_sub(seen.report.sent);
        // As much for each at any time, so that none hoards what others need.
        let most = (left / canaries).max(u64::from(left > 0));
        seen.issued += (most as u32).saturating_sub(unused);
        seen.issued
    }

    /// Says what is to be written next. `old` are the upstreams of other versions on
    /// hosts that are believed to run.
    pub fn propose(&mut self, old: &[String], now: Instant) -> Option<Proposal> {
        let phase = self.phase.clone();
        let age = now.saturating_duration_since(self.began);
        match phase {
            Some(phase) if phase.is_final() => return None,
            Some(_) => {
                if let Some(evidence) = self.verdict(now) {
                    self.is_worse = true;
                    return Some(Proposal::Phase(Phase::RolledBack, Why::Worse(evidence)));
                }
            }
            None => {}
        }
        if let Some(phase) = self.phase.clone().filter(|_| self.is_untold) {
            return Some(Proposal::Phase(phase, Why::TakenOver));
        }
        match phase {
            None => Some(Proposal::Phase(self.canaries(&[], now), Why::Canaries)),
            Some(Phase::Canary { upstreams, .. }) => self.propose_in_canary(&upstreams, age, now),
            Some(Phase::Cutover) if age >= self.order.duration => {
                Some(Proposal::Phase(Phase::RolledBack, Why::NoTime))
            }
            Some(Phase::Cutover) => self
                .are_emptied(old, now)
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
        if age >= self.order.duration.saturating_sub(GIVE_UP_BEFORE) {
            return Some(Proposal::Phase(Phase::RolledBack, Why::NoTime));
        }
        let enough = self.order.duration.mul_f64(CANARY_PART);
        let cutover_at = self.order.duration.saturating_sub(CUTOVER_TIME).max(enough);
        if age >= cutover_at && self.answers_of_new() >= ANSWERS_LEAST && self.has_room(now) {
            return Some(Proposal::Phase(Phase::Cutover, Why::Proven));
        }
        let next = self.canaries(upstreams, now);
        if !matches!(&next, Phase::Canary { upstreams: wanted, .. } if wanted == upstreams) {
            return Some(Proposal::Phase(next, Why::Canaries));
        }
        let allowed = self.account.allowed(self.bounds, self.calls_seen());
        let granted = self.account.granted;
        let grows = allowed >= granted.saturating_add(GRANT_LEAST.max(granted / GRANT_PART));
        (grows && !upstreams.is_empty()).then_some(Proposal::Grant(allowed))
    }

    /// Takes in that a proposal is written.
    pub fn apply(&mut self, proposal: &Proposal) {
        self.step += 1;
        self.is_untold = false;
        match proposal {
            Proposal::Phase(phase, _) => self.phase = Some(phase.clone()),
            Proposal::Grant(granted) => self.account.granted = *granted,
        }
    }

    /// Returns the phase with as many canaries as there are to be; those of before stay
    /// while they take work.
    fn canaries(&self, before: &[String], now: Instant) -> Phase {
        let warm: Vec<&String> = self.fresh(now, true).map(|(name, _)| name).collect();
        let slots = |is_new: bool| {
            self.fresh(now, is_new).map(|(_, seen)| f64::from(seen.report.slots)).sum::<f64>()
        };
        let mean = slots(true) / warm.len().max(1) as f64;
        let wanted = slots(false) * f64::from(CANARY_PERMILLE) / 1000.0 / mean.max(1.0);
        let wanted = (wanted.ceil() as usize).max(CANARIES_LEAST);
        let stay = before.iter().filter(|name| warm.contains(name));
        let more = warm.iter().copied().filter(|name| !before.contains(name));
        let upstreams = stay.chain(more).take(wanted).cloned().collect();
        Phase::Canary { permille: CANARY_PERMILLE, upstreams }
    }

    /// Returns the upstreams that take work, by a fresh report.
    fn fresh(&self, now: Instant, is_new: bool) -> impl Iterator<Item = (&String, &Seen)> {
        self.seen.iter().filter(move |(_, seen)| {
            seen.report.is_new == is_new && seen.report.is_warm && now < seen.at + REPORT_LIFE
        })
    }

    fn has_room(&self, now: Instant) -> bool {
        let slots = |is_new| -> f64 {
            self.fresh(now, is_new).map(|(_, seen)| f64::from(seen.report.slots)).sum()
        };
        slots(true) >= ROOM_LEAST * slots(false)
    }

    fn answers_of_new(&self) -> u32 {
        let new = self.seen.values().filter(|seen| seen.report.is_new);
        new.map(|seen| seen.report.kinds.total()).sum()
    }

    fn calls_seen(&self) -> u64 {
        let calls = |seen: &Seen| seen.counted_before + u64::from(seen.report.kinds.total());
        self.seen.values().map(calls).sum()
    }

    /// Returns whether nothing is at work at old upstreams, nor on its way to them.
    fn are_emptied(&self, old: &[String], now: Instant) -> bool {
        old.iter().all(|name| {
            self.seen.get(name).is_some_and(|seen| {
                let report = &seen.report;
                report.is_closed && report.in_flight == 0 && now < seen.at + REPORT_LIFE
            })
        })
    }

    fn verdict(&self, now: Instant) -> Option<Evidence> {
        let all = |is_new| -> Vec<Kinds> {
            let of = self.seen.values().filter(move |seen| seen.report.is_new == is_new);
            of.map(|seen| seen.report.kinds.clone()).collect()
        };
        let recent = |is_new| -> Vec<Kinds> {
            let of = self.seen.values().filter(move |seen| seen.report.is_new == is_new);
            let of = of.filter(|seen| now < seen.at + REPORT_LIFE);
            of.filter_map(|seen| {
                let (_, earlier) = seen.history.front()?;
                Some(seen.report.kinds.since(earlier))
            })
            .collect()
        };
        let old = all(false);
        if let Some(evidence) = judge(&refs(&all(true)), &refs(&old)) {
            return Some(evidence);
        }
        let old_recent = recent(false);
        let is_enough = old_recent.iter().map(Kinds::total).sum::<u32>() >= RECENT_LEAST;
        judge(&refs(&recent(true)), &refs(if is_enough { &old_recent } else { &old }))
    }
}

fn refs(all: &[Kinds]) -> Vec<&Kinds> {
    all.iter().collect()
}
