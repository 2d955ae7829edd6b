//! When an upstream that sends no reports is taken for gone.
//!
//! An upstream that departed without this daemon's knowledge sends no more reports, and its
//! health says no. Neither alone is enough: reports may be cut off or late while the upstream
//! serves, and its health may be wrong for a while. If both last, no new work is sent to it;
//! its next report brings it back, and calls that it runs are not cut off. An upstream that
//! neither reports nor answers health requests is taken for gone once it runs no calls.

use std::time::{Duration, Instant};

/// Time without a report after which an upstream is asked for its health.
pub const REPORT_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval of health requests to an upstream that sends no reports.
pub const HEALTH_INTERVAL: Duration = Duration::from_secs(1);
/// Consecutive health answers that say no after which it is taken for gone.
pub const MAX_DENIALS: u32 = 2;

/// What to do about an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Nothing.
    Keep,
    /// Send a health request.
    CheckHealth,
    /// Take it for gone.
    Remove,
}

/// What an upstream's health says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It takes calls.
    Good,
    /// It takes none, or another instance has its address.
    Denied,
    /// Unknown: it did not answer, or was too busy to.
    Unknown,
}

/// Whether an upstream runs calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Usage {
    /// It runs calls.
    Running,
    /// It runs none at the moment.
    Idle,
    /// It runs none and gets no more.
    Drained,
}

/// State of one upstream's silence.
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    last_report: Instant,
    last_check: Option<Instant>,
    denials: u32,
    /// Whether the last health request got no answer.
    is_unanswered: bool,
}

impl Silence {
    /// Creates the state of an upstream that sends a report now.
    pub fn new(now: Instant) -> Silence {
        Silence { last_report: now, last_check: None, denials: 0, is_unanswered: false }
    }

    /// Records a report.
    pub fn reported(&mut self, now: Instant) {
        *self = Silence::new(now);
    }

    /// Returns the time since the last report.
    pub fn since_report(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_report)
    }

    /// Records what the upstream's health says.
    pub fn health_checked(&mut self, health: Health) {
        self.is_unanswered = health == Health::Unknown;
        self.denials = match health {
            Health::Good => 0,
            Health::Denied => self.denials + 1,
            Health::Unknown => self.denials,
        };
    }

    /// Returns what to do now.
    pub fn tick(&mut self, usage: Usage, now: Instant) -> Action {
        if self.since_report(now) < REPORT_TIMEOUT {
            return Action::Keep;
        }
        let is_gone = match usage {
            Usage::Running => false,
            Usage::Idle => self.is_unanswered,
            Usage::Drained => true,
        };
        if is_gone || self.denials >= MAX_DENIALS {
            return Action::Remove;
        }
        if self.last_check.is_some_and(|at| now < at + HEALTH_INTERVAL) {
            return Action::Keep;
        }
        self.last_check = Some(now);
        Action::CheckHealth
    }
}
