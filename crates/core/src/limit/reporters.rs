//! What the daemons that report to a keeper admit, and what those that fell silent may admit.
//!
//! A daemon that cannot reach its keeper goes on at the rate that it admitted before
//! ([`super::share`]). Its keeper cannot tell it from one that has ended, and must not grant
//! its part to others. [`Reporters`] therefore stands in for the reports that are missing: it
//! counts a silent daemon at the rate that it last reported, for as long as the membership
//! table has the daemon as live. A daemon sends a closing report after its last calls, so that
//! silence means lost reports. Daemons of older builds send none, and no shares either: their
//! silence is taken for the end of their calls.
//!
//! Reports come in lumps, four a second from each daemon. Between them the keeper goes by the
//! calls that were probably admitted since the last ones.

use super::{EARLY_REPORT_GAP, REPORT_EVERY, Report};
use crate::ids::HostKey;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Averaging window of the calls that a daemon admits.
const ADMITTED_WINDOW: Duration = Duration::from_secs(1);
/// Averaging window of the demand.
const DEMAND_WINDOW: Duration = Duration::from_millis(750);
/// Standard deviations above the averaged demand from which on the last reports show a jump.
const JUMP_DEVIATIONS: f64 = 3.0;
/// Time after a report in which the next one is not missing: an interval with its jitter, and
/// the time on the way.
const REPORT_COVERS: Duration = Duration::from_millis(300);
/// Time without a report after which a daemon counts as silent, not only a report as lost.
const SILENT_AFTER: Duration = REPORT_EVERY.saturating_mul(4);
/// Shortest time between two sums over all daemons.
const SUM_EVERY: Duration = Duration::from_millis(50);

/// The daemons that report usage of one limit.
#[derive(Clone, Debug)]
pub struct Reporters {
    rows: BTreeMap<HostKey, Reporter>,
    /// Daemons that are known to send closing reports.
    closers: BTreeSet<HostKey>,
    /// Calls offered a second, by the last reports, and averaged.
    offered_per_s: f64,
    demand_per_s: f64,
    /// Calls that all daemons admit a second.
    admitted_per_s: f64,
    /// Calls that were probably admitted since the last reports, at `rolled`.
    pending: f64,
    rolled: Instant,
    /// Daemons that count as silent.
    silent: usize,
    /// When the sums were last brought up to date.
    summed: Instant,
}

/// One daemon's rates.
#[derive(Clone, Copy, Debug)]
struct Reporter {
    /// Calls offered a second, by the last report.
    offered_per_s: f64,
    /// Calls admitted a second, averaged.
    admitted_per_s: f64,
    /// Calls offered in the last report, and the time that it covers.
    last_offered: f64,
    last_covers: Duration,
    last_report: Instant,
    /// Until when its calls are counted, by its reports or in their place.
    counted_until: Instant,
    /// Whether a reduced share was granted to it here.
    is_throttled_here: bool,
    /// Whether it is taken for dead. The part of the limit that is enforced here then leaves
    /// it out, and its row waits for its return.
    is_dead: bool,
}

/// What the membership table says of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Membership {
    /// It is a live member.
    Live,
    /// It is taken for dead, perhaps wrongly.
    Dead,
    /// It ended: it left, or has started again.
    Ended,
}

impl Reporters {
    /// Creates an empty set.
    pub fn new(now: Instant) -> Reporters {
        Reporters {
            rows: BTreeMap::new(),
            closers: BTreeSet::new(),
            offered_per_s: 0.0,
            demand_per_s: 0.0,
            admitted_per_s: 0.0,
            pending: 0.0,
            rolled: now,
            silent: 0,
            summed: now,
        }
    }

    /// Adds a usage report. A closing report, which has no calls, ends the row of its daemon.
    pub fn add(&mut self, from: HostKey, report: &Report, now: Instant) {
        self.roll(now);
        let before = self.rows.remove(&from);
        if let Some(row) = before.filter(|row| !row.is_dead) {
            self.offered_per_s -= row.offered_per_s;
            self.admitted_per_s -= row.admitted_per_s;
            self.pending -= row.pending(now);
        }
        if report.is_closing() || report.share.is_some() {
            self.closers.insert(from);
        }
        if report.is_closing() {
            return;
        }
        let row = match before {
            Some(row) => row.after(report, now),
            None => Reporter::new(report, now),
        };
        self.offered_per_s += row.offered_per_s;
        self.admitted_per_s += row.admitted_per_s;
        self.rows.insert(from, row);
        self.follow_jump();
    }

    /// Brings the sums up to date. Returns the calls that were probably admitted by daemons
    /// whose reports are missing, since the last time.
    pub fn advance(&mut self, now: Instant) -> f64 {
        self.roll(now);
        let elapsed = now.saturating_duration_since(self.summed);
        if elapsed < SUM_EVERY {
            return 0.0;
        }
        self.summed = now;
        let missing = self.take_missing(now);
        let live = || self.rows.values().filter(|row| !row.is_dead);
        self.admitted_per_s = live().map(|row| row.admitted_per_s).sum();
        self.pending = live().map(|row| row.pending(now)).sum();
        self.offered_per_s = live().map(|row| row.offered_per_s).sum();
        let weight = 1.0 - (-elapsed.as_secs_f64() / DEMAND_WINDOW.as_secs_f64()).exp();
        self.demand_per_s += (self.offered_per_s - self.demand_per_s) * weight;
        missing
    }

    /// Counts the silent daemons, and returns what they probably admitted. A few reports say
    /// little of a rate: the calls are counted with a standard deviation added.
    fn take_missing(&mut self, now: Instant) -> f64 {
        let (mut admitted, mut offered) = (0.0, 0.0);
        self.silent = 0;
        let closers = &self.closers;
        self.rows.retain(|host, row| closers.contains(host) || !row.is_missing(now));
        for row in self.rows.values_mut() {
            let missing = row.take_missing(now);
            if row.is_dead {
                continue;
            }
            admitted += missing;
            offered += if missing > 0.0 { row.last_offered } else { 0.0 };
            self.silent += usize::from(row.is_silent(now));
        }
        admitted * (1.0 + 1.0 / offered.max(1.0).sqrt())
    }

    fn roll(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.rolled);
        self.rolled = self.rolled.max(now);
        self.pending += self.admitted_per_s * elapsed.as_secs_f64();
    }

    /// Lets the averaged demand follow a jump at once. Few calls make no jump: their number
    /// varies by its square root from report to report.
    fn follow_jump(&mut self) {
        let deviation = (self.demand_per_s / REPORT_EVERY.as_secs_f64()).sqrt();
        if self.offered_per_s > self.demand_per_s + JUMP_DEVIATIONS * deviation {
            self.demand_per_s = self.offered_per_s;
        }
    }

    /// Returns the calls offered a second, those of silent daemons included.
    pub fn demand_per_s(&self) -> f64 {
        self.demand_per_s
    }

    /// Returns the calls that were probably admitted since the last reports.
    pub fn pending(&self) -> f64 {
        self.pending.max(0.0)
    }

    /// Returns the number of daemons that are not taken for dead.
    pub fn count(&self) -> usize {
        self.rows.values().filter(|row| !row.is_dead).count()
    }

    /// Returns the number of daemons that have been silent for a while.
    pub fn silent_count(&self) -> usize {
        self.silent
    }

    /// Returns the calls a second that are counted here for some daemons.
    pub fn counted_per_s(&self, hosts: &[HostKey]) -> f64 {
        let rows = hosts.iter().filter_map(|host| self.rows.get(host));
        rows.filter(|row| !row.is_dead).map(|row| row.admitted_per_s).sum()
    }

    /// Records whether a daemon was granted a reduced share.
    pub fn set_throttled(&mut self, host: HostKey, is_throttled: bool) {
        if let Some(row) = self.rows.get_mut(&host) {
            row.is_throttled_here = is_throttled;
        }
    }

    /// Returns whether a daemon has a reduced share that was granted here.
    pub fn is_throttled_here(&self, host: HostKey) -> bool {
        self.rows.get(&host).is_some_and(|row| row.is_throttled_here)
    }

    /// Takes over what the membership table says.
    ///
    /// Failure: a daemon that only datagrams fail to reach is taken for dead and found alive by
    /// turns. Symptom: its calls are not counted while it is alive, since its row went with its
    /// first death and it cannot report.
    pub fn update_members(&mut self, membership: impl Fn(HostKey) -> Membership) {
        self.rows.retain(|host, row| {
            let membership = membership(*host);
            row.is_dead = membership == Membership::Dead;
            membership != Membership::Ended
        });
        self.closers.retain(|host| membership(*host) != Membership::Ended);
    }
}

impl Reporter {
    fn new(report: &Report, now: Instant) -> Reporter {
        Reporter {
            offered_per_s: f64::from(report.usage.offered) / REPORT_EVERY.as_secs_f64(),
            admitted_per_s: report.admitted_on_average() / REPORT_EVERY.as_secs_f64(),
            last_offered: f64::from(report.usage.offered),
            last_covers: REPORT_EVERY,
            last_report: now,
            counted_until: now,
            is_throttled_here: false,
            is_dead: false,
        }
    }

    /// Returns the row after a further report.
    fn after(mut self, report: &Report, now: Instant) -> Reporter {
        // A report after missing ones covers one interval only.
        let covers = now.saturating_duration_since(self.last_report).min(REPORT_COVERS);
        let weight = 1.0 - (-covers.as_secs_f64() / ADMITTED_WINDOW.as_secs_f64()).exp();
        let admitted_per_s = report.admitted_on_average() / covers.as_secs_f64().max(f64::EPSILON);
        self.admitted_per_s += (admitted_per_s - self.admitted_per_s) * weight;
        self.last_report = now;
        self.counted_until = now;
        self.is_dead = false;
        self.add_offered(f64::from(report.usage.offered), covers);
        self
    }

    fn add_offered(&mut self, offered: f64, covers: Duration) {
        match self.last_covers + covers <= REPORT_EVERY {
            // Early reports are taken as one, and so is one with the one before that was
            // delayed on its way.
            true => {
                self.last_offered += offered;
                self.last_covers += covers;
            }
            false => (self.last_offered, self.last_covers) = (offered, covers),
        }
        // A report that is early is so because of many calls, perhaps by chance.
        let by_chance =
            if covers < REPORT_EVERY / 2 { self.last_offered.sqrt() * 0.5 } else { 0.0 };
        let seconds = self.last_covers.max(EARLY_REPORT_GAP).as_secs_f64();
        self.offered_per_s = (self.last_offered - by_chance) / seconds;
    }

    fn is_missing(&self, now: Instant) -> bool {
        now > self.last_report + REPORT_COVERS
    }

    fn is_silent(&self, now: Instant) -> bool {
        now > self.last_report + SILENT_AFTER
    }

    fn pending(&self, now: Instant) -> f64 {
        let uncounted = now.saturating_duration_since(self.counted_until);
        self.admitted_per_s * uncounted.as_secs_f64()
    }

    /// Returns the calls that were probably admitted since the last count. Those of the last
    /// interval are left out: the next report covers them if it still arrives.
    fn take_missing(&mut self, now: Instant) -> f64 {
        let until = now.checked_sub(REPORT_COVERS).unwrap_or(self.counted_until);
        let uncounted = until.saturating_duration_since(self.counted_until);
        self.counted_until = self.counted_until.max(until);
        self.admitted_per_s * uncounted.as_secs_f64()
    }
}
