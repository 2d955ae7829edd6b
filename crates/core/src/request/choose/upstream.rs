//! One upstream as an entry daemon sees it.

use super::{LoadReport, Policy, UpstreamInfo};
use crate::config::Priority;
use crate::membership::record::Readiness;
use std::time::{Duration, Instant};

/// Weight of a new observation in an upstream's speed.
const SMOOTHING: f64 = 0.2;
/// Calls that an upstream without a recent answer is given at once, to learn how
/// it is: what is not known must not look better than what is.
const UNPROVEN_SLOTS: f64 = 2.0;
/// How long a load hint counts.
const HINT_LIFE: Duration = Duration::from_millis(200);
/// Longest time set aside.
const EJECT_MOST: Duration = Duration::from_secs(15);
/// Time in which an unused speed falls half-way back to the service's, so that an
/// upstream that was slow is tried again.
const FORGET: Duration = Duration::from_secs(4);
/// Weight of a new answer in an upstream's share of errors.
const ERROR_SMOOTHING: f64 = 0.1;
/// Time in which an unused upstream's share of errors is halved. A fault that
/// lasts seconds is then looked at again a few times while it lasts.
const FORGIVE: Duration = Duration::from_millis(1500);
/// First time set aside; doubles with each further one.
pub const EJECT_FOR: Duration = Duration::from_millis(500);

/// What is known and observed of one upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    pub info: UpstreamInfo,
    pub present: bool,
    pub outstanding: u32,
    /// Time of a call here in means of its kind.
    pub speed: Option<f64>,
    pub speed_at: Instant,
    pub hint: Option<(u16, Instant)>,
    /// Time that one more large answer would have taken to leave its host, and
    /// when that was so.
    pub link: Option<(Duration, Instant)>,
    /// Share of answers that were errors, lately, and when that was observed.
    pub errors: f64,
    pub errors_at: Instant,
    /// Whether its host gives no sign of life.
    pub silent: bool,
    pub failures: u32,
    pub ejections: u32,
    pub aside_until: Option<Instant>,
    pub back_off: Option<BackOff>,
    /// Share of the calls sent to it that it takes, as its host tells, and when.
    pub accept_ratio: Option<(f64, Instant)>,
    /// When to ask it again, where it names a limit.
    pub next_token: Option<Instant>,
    /// Its place among those that this daemon prefers.
    pub rank: u64,
}

/// What an upstream said when it refused a call.
#[derive(Clone, Copy, Debug)]
pub struct BackOff {
    /// Rank of the call.
    pub priority: Priority,
    /// Until when no call of that rank or a lower one is sent.
    pub until: Instant,
    /// After what time to come back, as it said.
    pub retry_after: Duration,
}

impl Upstream {
    pub fn new(info: UpstreamInfo, rank: u64, now: Instant) -> Upstream {
        Upstream {
            info,
            present: true,
            outstanding: 0,
            speed: None,
            speed_at: now,
            hint: None,
            link: None,
            errors: 0.0,
            errors_at: now,
            silent: false,
            failures: 0,
            ejections: 0,
            aside_until: None,
            back_off: None,
            accept_ratio: None,
            next_token: None,
            rank,
        }
    }

    pub fn takes_work(&self) -> bool {
        self.present && self.info.readiness != Readiness::Draining && !self.silent
    }

    pub fn is_aside(&self, now: Instant) -> bool {
        self.info.host_suspected || self.aside_until.is_some_and(|until| now < until)
    }

    pub fn is_backing_off(&self, priority: Priority, now: Instant) -> bool {
        self.back_off.is_some_and(|refused| now < refused.until && priority >= refused.priority)
    }

    /// Returns after what time it may take a call, where it named a limit and has no
    /// token now.
    pub fn wait_for_token(&self, now: Instant) -> Option<Duration> {
        self.next_token.filter(|at| *at > now).map(|at| at - now)
    }

    /// Returns how many calls it may be expected to run at once.
    pub fn slots(&self, now: Instant, policy: Policy) -> f64 {
        let slots = f64::from(self.info.slots.max(1));
        if policy.unproven && !self.is_proven(now) {
            return slots.min(UNPROVEN_SLOTS);
        }
        slots
    }

    pub fn is_proven(&self, now: Instant) -> bool {
        self.speed.is_some() && now.saturating_duration_since(self.speed_at) < FORGET
    }

    pub fn load(&self, now: Instant, policy: Policy) -> f64 {
        let own = f64::from(self.outstanding);
        let fresh = self.hint.filter(|(_, at)| policy.hints && now < *at + HINT_LIFE);
        fresh.map_or(own, |(load, _)| own.max(f64::from(load)))
    }

    /// Returns the time that a large answer takes to leave its host, less what
    /// has left since that was heard, in milliseconds.
    pub fn link_ms(&self, now: Instant) -> f64 {
        let Some((wait, at)) = self.link else { return 0.0 };
        wait.saturating_sub(now.saturating_duration_since(at)).as_secs_f64() * 1e3
    }

    /// Returns the time of a call here, in means of its kind.
    pub fn speed(&self, now: Instant) -> f64 {
        let Some(observed) = self.speed else { return 1.0 };
        let idle = now.saturating_duration_since(self.speed_at).as_secs_f64();
        let kept = 0.5_f64.powf(idle / FORGET.as_secs_f64());
        1.0 + (observed - 1.0) * kept
    }

    pub fn answered(&mut self, relative: f64, load: Option<u16>, now: Instant) {
        self.observe_speed(relative, now);
        self.hint = load.map(|load| (load, now));
        self.errors = self.errors(now) * (1.0 - ERROR_SMOOTHING);
        self.errors_at = now;
        self.failures = 0;
        self.ejections = 0;
        self.aside_until = None;
    }

    /// Takes in what its host tells of it.
    pub fn apply_report(&mut self, report: LoadReport, now: Instant) {
        self.hint = report.load.map(|load| (load, now)).or(self.hint);
        self.accept_ratio = report.accept_ratio.map(|share| (share, now)).or(self.accept_ratio);
        self.next_token = report.next_token.map(|wait| now + wait);
    }

    /// Returns the share of the calls sent to it that it takes.
    pub fn accept_ratio(&self, now: Instant) -> f64 {
        let Some((share, at)) = self.accept_ratio else { return 1.0 };
        let idle = now.saturating_duration_since(at).as_secs_f64();
        1.0 - (1.0 - share) * 0.5_f64.powf(idle / FORGIVE.as_secs_f64())
    }

    pub fn observe_speed(&mut self, relative: f64, now: Instant) {
        let old = self.speed.map_or(relative, |_| self.speed(now));
        self.speed = Some(old + SMOOTHING * (relative - old));
        self.speed_at = now;
    }

    /// Returns the share of errors, less what is forgiven by now.
    pub fn errors(&self, now: Instant) -> f64 {
        let idle = now.saturating_duration_since(self.errors_at).as_secs_f64();
        self.errors * 0.5_f64.powf(idle / FORGIVE.as_secs_f64())
    }

    pub fn erred(&mut self, now: Instant) {
        let errors = self.errors(now);
        self.errors = errors + ERROR_SMOOTHING * (1.0 - errors);
        self.errors_at = now;
    }

    pub fn eject(&mut self, now: Instant) {
        let time = EJECT_FOR * 2_u32.pow(self.ejections.min(5));
        self.ejections += 1;
        self.aside_until = Some(now + time.min(EJECT_MOST));
    }
}
