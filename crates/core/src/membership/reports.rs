//! Which reports about the upstream on its host a daemon may believe.
//!
//! Reports may arrive seconds late. A daemon that has been running tells a late report from a
//! new one by what it remembers: the last report of each incarnation, and the incarnations
//! that ended. A daemon that has just started remembers nothing, so that the first report to
//! arrive is not evidence by itself: it may have been sent before the start, by an upstream
//! that has left since. Nor is the second one, since several reports may be late. Such a report
//! is believed once the upstream's health confirms it, which a leaving upstream's does not. A
//! health that denies it outweighs all reports of the same incarnation until it confirms one.
//!
//! A report of an upstream that this daemon itself found gone is believed once its health or
//! a later report confirms it: no leaving of it was acknowledged.
//!
//! An incarnation that started after this daemon cannot have left before, and one with a later
//! start time than that of a known incarnation is a new one; the reports of both are believed at
//! once, unless the health has denied the incarnation. So are those of any incarnation once all
//! daemons have forgotten the departures from before the start, after [`DEPARTURE_TTL`].

use super::departures::DEPARTURE_TTL;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time in which reports of an earlier incarnation of an instance may still arrive: when a
/// partition ends, reports that were held up are delivered some seconds late. After this
/// time a report with an older start time is accepted, since the host's clock may have been
/// set back between two starts.
pub const LATE_REPORT_WINDOW: Duration = Duration::from_secs(5);
/// Time after a daemon's start in which reports from before the start are usual: twice as long
/// as reports are usually late. Later ones are rare, so that a health which does not answer does
/// not keep an upstream out.
pub const STARTUP_WINDOW: Duration = Duration::from_secs(10);
/// Shortest time between two reports of an upstream that was found gone of which the later
/// confirms the earlier. Reports that were held up are delivered together.
pub const REPEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum number of incarnations remembered as ended, as found gone, and as denied. A host has
/// one upstream at a time, so sixteen incarnations cover hours.
const MAX_REMEMBERED: usize = 16;

/// What identifies a report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportId {
    /// Id of the instance.
    pub instance: String,
    /// Start time of the incarnation in Unix milliseconds, or zero if it is unknown.
    pub start: u64,
    /// Increases with each report of an incarnation.
    pub sequence: u64,
}

/// What to do with a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credibility {
    /// It tells the present state.
    Current,
    /// It comes late from an incarnation that has ended or was found gone.
    Outdated,
    /// It may be late; the upstream's health has to confirm it.
    Unconfirmed,
}

#[derive(Clone, Debug)]
struct Ended {
    instance: String,
    start: u64,
    at: Instant,
}

#[derive(Clone, Debug)]
struct Unconfirmed {
    id: ReportId,
    at: Instant,
}

/// What a daemon remembers about the reports of the upstreams on its host.
#[derive(Clone, Debug)]
pub struct ReportHistory {
    started: Instant,
    /// When the daemon started, in Unix milliseconds.
    started_ms: u64,
    /// Incarnations that left or were replaced, newest last.
    ended: VecDeque<Ended>,
    /// The last reports of upstreams that were found gone, newest last.
    gone: VecDeque<ReportId>,
    /// Incarnations whose health denied a report, by instance id and start time, newest last.
    denied: VecDeque<(String, u64)>,
    /// The first report of an upstream found gone that waits to be confirmed.
    unconfirmed: Option<Unconfirmed>,
}

impl ReportHistory {
    /// Creates the history of a daemon that starts now; `now_ms` is the host's wall clock in Unix
    /// milliseconds.
    pub fn new(now: Instant, now_ms: u64) -> ReportHistory {
        ReportHistory {
            started: now,
            started_ms: now_ms,
            ended: VecDeque::new(),
            gone: VecDeque::new(),
            denied: VecDeque::new(),
            unconfirmed: None,
        }
    }

    /// Judges a report. `is_registered` says whether the daemon has an upstream with this
    /// instance id, whose own sequence number then tells late reports.
    pub fn judge(&mut self, report: &ReportId, is_registered: bool, now: Instant) -> Credibility {
        if self.has_ended(&report.instance, report.start, now) {
            return Credibility::Outdated;
        }
        if is_registered {
            return Credibility::Current;
        }
        if self.is_new_incarnation(report) {
            return Credibility::Current;
        }
        let gone = self.gone.iter().rev().find(|gone| gone.instance == report.instance);
        if let Some(gone) = gone {
            return match report.sequence < gone.sequence {
                true => Credibility::Outdated,
                false => self.judge_return(report, now),
            };
        }
        // An end without a known start time may be of the incarnation that reports.
        let may_have_ended = self.known_starts(&report.instance).next().is_some();
        let may_have_left = self.may_have_left_before_start(report, now);
        match may_have_ended || may_have_left || self.is_denied(report) {
            true => Credibility::Unconfirmed,
            false => Credibility::Current,
        }
    }

    /// Returns whether the incarnation that reports may have left before this daemon started. In
    /// the first seconds the wall clock is no evidence against it: it may have been set since the
    /// incarnation started.
    fn may_have_left_before_start(&self, report: &ReportId, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.started);
        let started_before = report.start <= self.started_ms;
        age < STARTUP_WINDOW || (age < DEPARTURE_TTL && started_before)
    }

    /// Returns the start times of the known incarnations of an instance that ended or were
    /// found gone; zero where one is unknown.
    fn known_starts(&self, instance: &str) -> impl Iterator<Item = u64> {
        let ended = self.ended.iter().map(|ended| (&ended.instance, ended.start));
        let gone = self.gone.iter().map(|gone| (&gone.instance, gone.start));
        ended.chain(gone).filter(move |(other, _)| *other == instance).map(|(_, start)| start)
    }

    /// Returns whether a report names a later start time than every known incarnation of its
    /// instance, of which there is at least one. An incarnation whose start time is unknown
    /// may be the one that reports.
    fn is_new_incarnation(&self, report: &ReportId) -> bool {
        let is_earlier = |start: u64| start != 0 && start < report.start;
        let mut starts = self.known_starts(&report.instance).peekable();
        starts.peek().is_some() && starts.all(is_earlier)
    }

    /// Judges a report of an upstream that was found gone, which may be back.
    fn judge_return(&mut self, report: &ReportId, now: Instant) -> Credibility {
        if let Some(first) = &self.unconfirmed
            && first.id.instance == report.instance
            && first.id.start == report.start
        {
            let is_repeated = report.sequence > first.id.sequence;
            return match is_repeated && now >= first.at + REPEAT_INTERVAL {
                true => Credibility::Current,
                false => Credibility::Unconfirmed,
            };
        }
        self.unconfirmed = Some(Unconfirmed { id: report.clone(), at: now });
        Credibility::Unconfirmed
    }

    /// Records that the health of an upstream denies one of its reports.
    pub fn denied(&mut self, report: &ReportId) {
        if self.is_denied(report) {
            return;
        }
        self.denied.push_back((report.instance.clone(), report.start));
        if self.denied.len() > MAX_REMEMBERED {
            self.denied.pop_front();
        }
    }

    fn is_denied(&self, report: &ReportId) -> bool {
        let is_same = |(instance, start): &(String, u64)| {
            *instance == report.instance && *start == report.start
        };
        self.denied.iter().any(is_same)
    }

    /// Records that an incarnation is announced.
    pub fn announced(&mut self, instance: &str, start: u64) {
        self.ended.retain(|ended| ended.instance != instance || ended.start != start);
        self.gone.retain(|gone| gone.instance != instance);
        self.denied.retain(|(denied, _)| denied != instance);
        self.unconfirmed = None;
    }

    /// Records that an incarnation left or was replaced.
    pub fn ended(&mut self, instance: &str, start: u64, now: Instant) {
        self.ended.retain(|ended| ended.instance != instance || ended.start != start);
        self.ended.push_back(Ended { instance: instance.to_string(), start, at: now });
        if self.ended.len() > MAX_REMEMBERED {
            self.ended.pop_front();
        }
    }

    /// Records that an upstream was found gone, with the last report that it sent.
    pub fn found_gone(&mut self, last: ReportId) {
        self.gone.retain(|gone| gone.instance != last.instance);
        self.gone.push_back(last);
        if self.gone.len() > MAX_REMEMBERED {
            self.gone.pop_front();
        }
    }

    /// Forgets that incarnations of an instance ended: it answers at the address.
    pub fn found_alive(&mut self, instance: &str) {
        self.ended.retain(|ended| ended.instance != instance);
    }

    /// Returns whether a report comes from an incarnation that has ended.
    fn has_ended(&self, instance: &str, start: u64, now: Instant) -> bool {
        self.ended.iter().filter(|ended| ended.instance == instance).any(|ended| {
            let is_late = now.saturating_duration_since(ended.at) < LATE_REPORT_WINDOW;
            start == ended.start || start == 0 || (start < ended.start && is_late)
        })
    }
}
