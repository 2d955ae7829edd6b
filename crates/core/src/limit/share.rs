//! Admission of calls under one limit at one daemon.

use super::{ANSWER_TIME, Grant, LimitKey, NOTICE_EVERY, Quota, REPORT_EVERY, Report, Usage};
use crate::ids::HostKey;
use std::time::{Duration, Instant};

/// Time for which a grant is valid: three reports or their answers may be lost.
const GRANT_TTL: Duration = REPORT_EVERY.saturating_mul(3);
/// Time for which a reduced share is valid at a daemon without calls, which reports no
/// usage and so receives no grants in answer. The end of throttling is announced by a notice,
/// so that this is for daemons that miss it. A daemon that is cut off misses all notices, and
/// admits its first call if it has none for this time.
const REDUCED_SHARE_TTL: Duration = NOTICE_EVERY.saturating_mul(30);
/// Averaging window of the admitted rate, at which a daemon continues without a keeper.
const RATE_WINDOW: Duration = Duration::from_secs(3);
/// Time without calls after which the limiter of a limit is dropped.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Calls that may be admitted without a keeper beyond the rate and the part of the burst, so
/// that a daemon that admitted few calls before does not refuse all of them.
const FALLBACK_BURST: f64 = 1.5;
/// The same for a daemon that has not heard its keeper yet.
const UNGRANTED_BURST: f64 = 1.0;
/// The same where the limit was throttled: the keeper counts this daemon at its last rate.
const THROTTLED_BURST: f64 = 4.0;
/// Rate admitted without a keeper where the limit was not throttled, relative to the rate
/// admitted of late.
const FALLBACK_RATE_FACTOR: f64 = 1.25;
/// Largest such rate, relative to the rate at the last grant.
const MAX_FALLBACK_GROWTH: f64 = 1.25;
/// Largest debt of calls that were admitted before the first answer of a keeper was missed.
const MAX_FALLBACK_DEBT: f64 = 100.0;
/// Time whose calls may be admitted together without a keeper.
const FALLBACK_BURST_TIME: Duration = Duration::from_secs(1);
/// The same where the limit was throttled.
const THROTTLED_BURST_TIME: Duration = REPORT_EVERY;
/// Calls offered since the last usage report, relative to those expected in an interval, from
/// which on the demand counts as having jumped.
const JUMP_FACTOR: f64 = 2.0;
/// Calls beyond these that make a jump: a single call is not worth a datagram.
const JUMP_CALLS: f64 = 1.0;

/// What the keeper of a limit knows of a daemon's calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reporting {
    /// There are none.
    Idle,
    /// Calls were reported.
    Open,
    /// The end of the calls was reported, and no answer came yet.
    Closing,
}

/// One daemon's part of a limit, which it may spend without a word of others: they leave it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DaemonPart {
    /// Calls a second.
    pub rate_per_s: f64,
    /// Calls that may be admitted beyond the rate after an idle period.
    pub burst: f64,
}

impl DaemonPart {
    /// Returns the part of one of `daemons` daemons, dead ones included.
    pub fn of(quota: Quota, daemons: usize) -> DaemonPart {
        let daemons = daemons.max(1) as f64;
        DaemonPart {
            rate_per_s: quota.rate_per_s as f64 / daemons,
            burst: quota.burst as f64 / daemons,
        }
    }
}

/// The first usage report that was not answered.
#[derive(Clone, Copy, Debug)]
struct Unanswered {
    /// The share at that time.
    share: u16,
    /// When it was made.
    since: Instant,
    /// Calls admitted a second at that time.
    admitted_per_s: f64,
}

/// Admission under one limit at one daemon, by the share that the keeper granted.
///
/// Where the daemon has calls but does not hear its keeper, a token bucket also bounds the
/// admitted calls: where the limit was throttled, to the rate admitted before, once the grant
/// has expired; else to what nobody else may spend, once a usage report is not answered in
/// time. That is the daemon's part of the limit or, if it is more, slightly more than the rate
/// admitted before.
#[derive(Clone, Debug)]
pub struct Limiter {
    /// Calls offered and admitted since the last usage report.
    offered: u32,
    admitted: u32,
    /// Calls of [`Grant::ALL`] that may be admitted, and when this grant expires.
    granted_share: u16,
    grant_expires: Instant,
    /// Calls of [`Grant::ALL`] that may be admitted without a keeper: the last grant, also
    /// after it has lapsed.
    fallback_share: u16,
    reporting: Reporting,
    /// The keeper that usage was last reported to.
    reported_to: Option<HostKey>,
    unanswered: Option<Unanswered>,
    /// Whether calls were refused since the last usage report for want of tokens.
    has_run_out: bool,
    /// This daemon's part of the limit, if it is known.
    part: Option<DaemonPart>,
    /// When the limiter was created.
    created: Instant,
    /// When the last grant arrived; before the first, when the limiter was created.
    last_grant: Instant,
    /// Calls admitted before the first grant; `None` once it has arrived.
    ungranted: Option<u32>,
    /// Calls offered and admitted a second, averaged over [`RATE_WINDOW`].
    offered_per_s: f64,
    admitted_per_s: f64,
    /// Calls admitted a second when the last grant arrived.
    granted_per_s: f64,
    /// Calls that may be admitted without a keeper.
    fallback_tokens: f64,
    /// When the rate and the tokens were last brought up to date.
    updated: Instant,
}

impl Limiter {
    /// Creates a limiter without a grant; it admits all calls until its keeper has had time
    /// to answer.
    pub fn new(now: Instant) -> Limiter {
        Limiter {
            offered: 0,
            admitted: 0,
            granted_share: Grant::ALL,
            grant_expires: now + GRANT_TTL,
            fallback_share: Grant::ALL,
            reporting: Reporting::Idle,
            reported_to: None,
            unanswered: None,
            has_run_out: false,
            part: None,
            created: now,
            last_grant: now,
            ungranted: Some(0),
            offered_per_s: 0.0,
            admitted_per_s: 0.0,
            granted_per_s: f64::INFINITY,
            fallback_tokens: 0.0,
            updated: now,
        }
    }

    /// Sets this daemon's part of the limit.
    pub fn set_part(&mut self, part: DaemonPart) {
        if self.part.is_none() {
            self.fallback_tokens += part.burst;
        }
        self.part = Some(part);
    }

    /// Returns whether to admit one call; `random` is any number.
    ///
    /// While the limit is throttled, a call whose answer would be late in any case
    /// (`is_late`) is refused, so that it does not take the place of a call that can still
    /// be answered in time. It does not count as offered.
    pub fn admit(&mut self, is_late: bool, now: Instant, random: u64) -> bool {
        self.advance(now);
        if is_late && self.granted_share < Grant::ALL {
            return false;
        }
        self.offered = self.offered.saturating_add(1);
        self.offered_per_s += 1.0 / RATE_WINDOW.as_secs_f64();
        let is_admitted = match self.hears_keeper(now) {
            true => is_in_share(random, self.granted_share),
            false => self.admit_without_keeper(random),
        };
        if is_admitted {
            self.admitted = self.admitted.saturating_add(1);
            self.ungranted = self.ungranted.map(|calls| calls.saturating_add(1));
            self.take_fallback_token();
            self.admitted_per_s += 1.0 / RATE_WINDOW.as_secs_f64();
        }
        is_admitted
    }

    /// Limits the calls that may be admitted together without a keeper, where the limit was not
    /// throttled.
    fn limit_fallback_burst(&mut self) {
        let Some(part) = self.part.filter(|_| self.fallback_share == Grant::ALL) else { return };
        let burst = if self.ungranted.is_some() { UNGRANTED_BURST } else { FALLBACK_BURST };
        self.fallback_tokens = self.fallback_tokens.min(burst + part.burst);
    }

    /// Counts an admitted call against what may be admitted without a keeper.
    ///
    /// While no grant covers the calls, they become a debt. Failure: daemons that are cut off
    /// admit all calls until they miss the first answer of their keeper. Symptom: they admit
    /// their parts of the limit beside these calls.
    fn take_fallback_token(&mut self) {
        let is_throttled = self.fallback_share < Grant::ALL;
        let is_covered = is_throttled || (self.ungranted.is_none() && self.unanswered.is_none());
        let min_tokens = if is_covered { 0.0 } else { -MAX_FALLBACK_DEBT };
        self.fallback_tokens = (self.fallback_tokens - 1.0).max(min_tokens);
    }

    fn hears_keeper(&self, now: Instant) -> bool {
        let is_late = |unanswered: Unanswered| {
            unanswered.share == Grant::ALL && now >= unanswered.since + ANSWER_TIME
        };
        now < self.grant_expires && !self.unanswered.is_some_and(is_late)
    }

    fn admit_without_keeper(&mut self, random: u64) -> bool {
        self.limit_fallback_burst();
        self.has_run_out |= self.fallback_tokens < 1.0;
        self.fallback_tokens >= 1.0 && is_in_share(random, self.fallback_share)
    }

    /// Subtracts a call that was admitted but did not run from the usage.
    pub fn give_back(&mut self) {
        self.admitted = self.admitted.saturating_sub(1);
    }

    /// Applies a grant that the keeper sent in answer to a usage report.
    pub fn apply_grant(&mut self, grant: Grant, now: Instant) {
        if self.reporting == Reporting::Closing {
            self.reporting = Reporting::Idle;
        }
        self.unanswered = None;
        self.granted_per_s = self.admitted_per_s;
        self.apply_notice(grant, now);
    }

    /// Applies a grant that the keeper sent to all daemons.
    ///
    /// Where reports were not answered, the keeper hears none of them, and counts this daemon
    /// at what it admitted before. The daemon goes on at that rate then, whatever is granted to
    /// others, and the grant is not valid for longer than the one before.
    pub fn apply_notice(&mut self, grant: Grant, now: Instant) {
        if self.ungranted.take().is_some() && self.unanswered.is_none() {
            self.fallback_tokens = THROTTLED_BURST;
        }
        self.granted_share = grant.share;
        if self.unanswered.is_none() {
            self.fallback_share = grant.share;
            self.grant_expires = now + GRANT_TTL;
            self.last_grant = now;
        }
    }

    /// Returns the calls admitted so far and the limiter's age, or `None` once a grant arrived.
    pub fn admitted_before_first_grant(&self, now: Instant) -> Option<(u32, Duration)> {
        let age = now.saturating_duration_since(self.created);
        self.ungranted.map(|calls| (calls, age))
    }

    /// Returns whether to report the usage before the interval ends, since many more calls
    /// were offered than usual in a whole interval.
    ///
    /// Failure: the demand of an organisation jumps to several times its limit. Symptom: all
    /// calls pass for a whole report interval, and callers are refused for the debt afterwards.
    pub fn has_jumped(&self) -> bool {
        let expected = self.offered_per_s * REPORT_EVERY.as_secs_f64();
        f64::from(self.offered) > JUMP_CALLS + JUMP_FACTOR * expected
    }

    /// Returns the usage to report, or `None` if no calls were offered, and resets the
    /// counters.
    pub fn take_usage(&mut self, key: LimitKey, now: Instant) -> Option<Usage> {
        let usage = Usage { key, offered: self.offered, admitted: self.admitted };
        (self.offered, self.admitted) = (0, 0);
        if usage.offered > 0 {
            if self.unanswered.is_none() {
                self.limit_fallback_burst();
            }
            let share = self.fallback_share;
            let admitted_per_s = self.admitted_per_s;
            self.unanswered.get_or_insert(Unanswered { share, since: now, admitted_per_s });
        }
        (usage.offered > 0).then_some(usage)
    }

    /// Returns the report to send to `keeper`, if there is one, and resets the counters.
    ///
    /// After the last calls, a report without calls is sent until it is answered: a keeper
    /// counts a daemon that falls silent as cut off. The same goes for a keeper that takes the
    /// limit over again, and may remember calls from before.
    pub fn take_report(&mut self, key: LimitKey, keeper: HostKey, now: Instant) -> Option<Report> {
        let last = self.reported_to.replace(keeper);
        let is_new_keeper = last.is_some_and(|last| last != keeper);
        let share = self.share_to_report();
        let usage = self.take_usage(key, now);
        self.reporting = match (usage, self.reporting) {
            (Some(_), _) => Reporting::Open,
            (None, Reporting::Idle) if !is_new_keeper => return None,
            (None, _) => Reporting::Closing,
        };
        let usage = usage.unwrap_or(Usage { key, ..Usage::default() });
        Some(Report { usage, share })
    }

    /// Returns the reduced share that was granted last; where more calls came than may be
    /// admitted without a keeper, only what may. Another keeper may start with it.
    ///
    /// Failure: the demand jumps after a part of the mesh was cut off. Symptom: the next keeper
    /// takes the share of the demand before for that of the demand now.
    fn share_to_report(&mut self) -> Option<u16> {
        let has_run_out = std::mem::take(&mut self.has_run_out);
        let share = self.reduced_share()?;
        if !has_run_out {
            return Some(share);
        }
        let (rate_per_s, _) = self.fallback_rate_and_burst_time();
        let admitted = rate_per_s * REPORT_EVERY.as_secs_f64() / f64::from(self.offered.max(1));
        Some(share.min((admitted * f64::from(Grant::ALL)) as u16))
    }

    /// Returns the reduced share that was granted last, or `None` if all calls were granted or
    /// no grant arrived yet.
    pub fn reduced_share(&self) -> Option<u16> {
        (self.fallback_share < Grant::ALL).then_some(self.fallback_share)
    }

    /// Returns how many calls of [`Grant::ALL`] are admitted, and the calls admitted a
    /// second.
    pub fn share_and_rate(&self, now: Instant) -> (u16, f64) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        (self.granted_share, self.admitted_per_s * (-elapsed / RATE_WINDOW.as_secs_f64()).exp())
    }

    /// Returns whether the limiter can be dropped without losing anything.
    pub fn is_idle(&self, now: Instant) -> bool {
        self.offered == 0 && now.saturating_duration_since(self.updated) >= FORGET_AFTER
    }

    fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated);
        // A daemon without calls sends no usage report, so it receives no grant in answer. One
        // whose report was not answered is cut off from its keeper, however few calls it has.
        if elapsed >= GRANT_TTL && self.unanswered.is_none() {
            self.grant_expires = self.grant_expires.max(now + GRANT_TTL);
            if now.saturating_duration_since(self.last_grant) >= REDUCED_SHARE_TTL {
                self.granted_share = Grant::ALL;
            }
        }
        self.updated = self.updated.max(now);
        let seconds = elapsed.as_secs_f64();
        let decay = (-seconds / RATE_WINDOW.as_secs_f64()).exp();
        let (rate_per_s, burst_time) = self.fallback_rate_and_burst_time();
        let max_tokens = THROTTLED_BURST + rate_per_s * burst_time.as_secs_f64();
        self.fallback_tokens = (self.fallback_tokens + rate_per_s * seconds).min(max_tokens);
        self.offered_per_s *= decay;
        self.admitted_per_s *= decay;
    }

    /// Returns the rate to admit without a keeper, and the time whose calls may be admitted
    /// together.
    ///
    /// Under a throttled limit the rate stays that of the last grant: the keeper counts this
    /// daemon at that rate, and grants the rest to others. Otherwise the keeper leaves this daemon
    /// its part of the limit, or counts what it admitted before if that is more.
    fn fallback_rate_and_burst_time(&self) -> (f64, Duration) {
        if self.fallback_share < Grant::ALL && self.granted_per_s.is_finite() {
            return (self.granted_per_s, THROTTLED_BURST_TIME);
        }
        let part_per_s = self.part.map(|part| part.rate_per_s);
        // After an idle period the rate of the last grant says nothing.
        let lost_per_s = self.unanswered.map_or(f64::INFINITY, |lost| lost.admitted_per_s);
        let max_rate_per_s = self.granted_per_s.min(lost_per_s) * MAX_FALLBACK_GROWTH;
        let before = (self.admitted_per_s * FALLBACK_RATE_FACTOR).min(max_rate_per_s);
        let rate_per_s = match part_per_s {
            Some(part_per_s) if self.granted_per_s.is_finite() => before.max(part_per_s),
            Some(part_per_s) => part_per_s,
            None => before,
        };
        (rate_per_s, FALLBACK_BURST_TIME)
    }
}

fn is_in_share(random: u64, share: u16) -> bool {
    random % u64::from(Grant::ALL) < u64::from(share)
}
