//! State of one upstream at an entry daemon.

use super::{LoadReport, Policy, UpstreamInfo};
use crate::config::Priority;
use crate::membership::record::Readiness;
use crate::request::machine::{MachinePace, PACE_TTL};
use std::time::{Duration, Instant};

/// Weight of a new observation in an upstream's relative time.
const RELATIVE_TIME_SMOOTHING: f64 = 0.2;
/// Slots assumed at an upstream without a recent answer: enough calls for a first estimate.
/// An upstream without an estimate must not look better than one that has one.
const UNPROVEN_SLOTS: f64 = 2.0;
/// How long a reported load is used.
const HINT_TTL: Duration = Duration::from_millis(200);
/// Longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(15);
/// Time in which the relative time of an unused upstream moves half-way back to that of the
/// service, so that an upstream that was slow is tried again. An upstream that was not
/// observed for this long counts as unproven.
const RELATIVE_TIME_HALF_LIFE: Duration = Duration::from_secs(4);
/// Weight of a new answer in an upstream's error ratio.
const ERROR_SMOOTHING: f64 = 0.1;
/// Time in which the error and refusal ratios of an unused upstream are halved. An upstream
/// whose fault lasts seconds is then tried again a few times while it lasts.
const ERROR_HALF_LIFE: Duration = Duration::from_millis(1500);
/// First ejection; each further one is twice as long.
pub const FIRST_EJECTION: Duration = Duration::from_millis(500);

/// One upstream, with what this daemon has observed of it.
#[derive(Clone, Debug)]
pub struct Upstream {
    pub info: UpstreamInfo,
    pub present: bool,
    pub outstanding: u32,
    /// Time of a call at this upstream as a multiple of the mean of its kind.
    pub relative_time: Option<f64>,
    pub relative_time_at: Instant,
    pub hint: Option<(u16, Instant)>,
    /// Time that one more large answer would have waited for its host's link, and when this
    /// was reported.
    pub link_wait: Option<(Duration, Instant)>,
    /// Recent share of answers that were errors, as of `error_ratio_at`.
    pub error_ratio: f64,
    pub error_ratio_at: Instant,
    /// Whether its host does not respond.
    pub silent: bool,
    pub failures: u32,
    pub ejections: u32,
    pub ejected_until: Option<Instant>,
    pub back_off: Option<BackOff>,
    /// Reported share of the calls sent to it that it accepts, and when it was reported.
    pub accept_ratio: Option<(f64, Instant)>,
    /// When its next token comes, where it names a rate limit.
    pub next_token: Option<Instant>,
    /// Last reported pace of its machine, where it reports one.
    pub machine: Option<MachinePace>,
    /// When the first attempt since its last answer was found late.
    pub late_since: Option<Instant>,
    /// Sort key for the daemon's subset, which has the upstreams with the lowest keys.
    pub subset_rank: u64,
}

/// Backoff that a refused call leads to.
#[derive(Clone, Copy, Debug)]
pub struct BackOff {
    /// Priority of the refused call.
    pub priority: Priority,
    /// Until when no call of this or a lower priority is sent.
    pub until: Instant,
    /// Wait that the refusal asked for.
    pub retry_after: Duration,
}

impl Upstream {
    pub fn new(info: UpstreamInfo, subset_rank: u64, now: Instant) -> Upstream {
        Upstream {
            info,
            present: true,
            outstanding: 0,
            relative_time: None,
            relative_time_at: now,
            hint: None,
            link_wait: None,
            error_ratio: 0.0,
            error_ratio_at: now,
            silent: false,
            failures: 0,
            ejections: 0,
            ejected_until: None,
            back_off: None,
            accept_ratio: None,
            next_token: None,
            machine: None,
            late_since: None,
            subset_rank,
        }
    }

    pub fn takes_work(&self) -> bool {
        self.present && self.info.readiness != Readiness::Draining && !self.silent
    }

    pub fn is_ejected_or_suspected(&self, now: Instant) -> bool {
        self.info.host_suspected || self.ejected_until.is_some_and(|until| now < until)
    }

    pub fn is_backing_off(&self, priority: Priority, now: Instant) -> bool {
        self.back_off.is_some_and(|refused| now < refused.until && priority >= refused.priority)
    }

    /// Returns the time until its next token, where it named a rate limit and has no token
    /// now.
    pub fn wait_for_token(&self, now: Instant) -> Option<Duration> {
        self.next_token.filter(|at| *at > now).map(|at| at - now)
    }

    /// Returns how many calls it is expected to run at once.
    pub fn slots(&self, now: Instant, policy: Policy) -> f64 {
        let slots = f64::from(self.info.slots.max(1));
        if policy.unproven && !self.is_proven(now) {
            return slots.min(UNPROVEN_SLOTS);
        }
        slots
    }

    pub fn is_proven(&self, now: Instant) -> bool {
        self.relative_time.is_some()
            && now.saturating_duration_since(self.relative_time_at) < RELATIVE_TIME_HALF_LIFE
    }

    pub fn load(&self, now: Instant, policy: Policy) -> f64 {
        let own = f64::from(self.outstanding);
        let fresh = self.hint.filter(|(_, at)| policy.hints && now < *at + HINT_TTL);
        fresh.map_or(own, |(load, _)| own.max(f64::from(load)))
    }

    /// Returns the time in milliseconds that a large answer waits for its host's link: the
    /// reported wait less the time since the report.
    pub fn link_ms(&self, now: Instant) -> f64 {
        let Some((wait, at)) = self.link_wait else { return 0.0 };
        wait.saturating_sub(now.saturating_duration_since(at)).as_secs_f64() * 1e3
    }

    /// Returns the time of a call at this upstream as a multiple of the mean of its kind.
    pub fn relative_time(&self, now: Instant) -> f64 {
        let Some(observed) = self.relative_time else { return 1.0 };
        let idle = now.saturating_duration_since(self.relative_time_at).as_secs_f64();
        let remaining = 0.5_f64.powf(idle / RELATIVE_TIME_HALF_LIFE.as_secs_f64());
        1.0 + (observed - 1.0) * remaining
    }

    pub fn record_answer(&mut self, relative: f64, load: Option<u16>, now: Instant) {
        self.observe_relative_time(relative, now);
        self.hint = load.map(|load| (load, now));
        self.error_ratio = self.error_ratio(now) * (1.0 - ERROR_SMOOTHING);
        self.error_ratio_at = now;
        self.late_since = None;
        self.failures = 0;
        self.ejections = 0;
        self.ejected_until = None;
    }

    /// Applies a load report.
    pub fn apply_report(&mut self, report: LoadReport, now: Instant) {
        self.hint = report.load.map(|load| (load, now)).or(self.hint);
        self.accept_ratio = report.accept_ratio.map(|share| (share, now)).or(self.accept_ratio);
        self.next_token = report.next_token.map(|wait| now + wait);
        if let Some(pace) = report.pace {
            self.machine = Some(pace.received(now).newer(self.machine));
        }
    }

    /// Returns the expected time of a call that begins now as a multiple of its usual time
    /// here.
    pub fn machine_factor(&self, now: Instant) -> f64 {
        self.machine.map_or(1.0, |machine| machine.factor(now))
    }

    /// Returns whether the attempts that were late since its last answer may all be due to one
    /// slow moment of its machine, and counts another one.
    pub fn is_late_for_a_moment(&mut self, now: Instant) -> bool {
        let since = *self.late_since.get_or_insert(now);
        now.saturating_duration_since(since) < PACE_TTL
    }

    /// Presumes that its machine is slow, as an attempt has taken a multiple of the usual time.
    pub fn presume_slow(&mut self, factor: f64, now: Instant) {
        let presumed = MachinePace::new((factor * 100.0) as u16, now);
        self.machine = Some(presumed.newer(self.machine));
    }

    /// Returns whether its machine is much slower than usual.
    pub fn is_slow(&self, now: Instant) -> bool {
        self.machine.is_some_and(|machine| machine.is_slow(now))
    }

    /// Returns the share of the calls sent to it that it accepts.
    pub fn accept_ratio(&self, now: Instant) -> f64 {
        let Some((share, at)) = self.accept_ratio else { return 1.0 };
        let idle = now.saturating_duration_since(at).as_secs_f64();
        1.0 - (1.0 - share) * 0.5_f64.powf(idle / ERROR_HALF_LIFE.as_secs_f64())
    }

    pub fn observe_relative_time(&mut self, relative: f64, now: Instant) {
        let old = self.relative_time.map_or(relative, |_| self.relative_time(now));
        self.relative_time = Some(old + RELATIVE_TIME_SMOOTHING * (relative - old));
        self.relative_time_at = now;
    }

    /// Returns the error ratio, decayed since the last observation.
    pub fn error_ratio(&self, now: Instant) -> f64 {
        let idle = now.saturating_duration_since(self.error_ratio_at).as_secs_f64();
        self.error_ratio * 0.5_f64.powf(idle / ERROR_HALF_LIFE.as_secs_f64())
    }

    pub fn record_error(&mut self, now: Instant) {
        let error_ratio = self.error_ratio(now);
        self.error_ratio = error_ratio + ERROR_SMOOTHING * (1.0 - error_ratio);
        self.error_ratio_at = now;
    }

    pub fn eject(&mut self, now: Instant) {
        let time = FIRST_EJECTION * 2_u32.pow(self.ejections.min(5));
        self.ejections += 1;
        self.ejected_until = Some(now + time.min(MAX_EJECTION));
    }
}
