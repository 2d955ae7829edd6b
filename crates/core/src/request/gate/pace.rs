//! The rate at which calls are sent to an upstream that names a limit.
//!
//! An upstream in need says in its answers how many calls a second it takes from all
//! hosts together. All of them pass the gate beside it, so one [`Pace`] there keeps the
//! limit exactly, whichever daemons the calls began at: a bucket that is filled at the
//! named rate, holds little more than one call, and is empty when the limit is first
//! heard of or lowered.
//!
//! A daemon that has just started knows of no limit. Until the upstream has answered it,
//! it adopts the one that comes with calls of other daemons.
//!
//! # Retry times
//!
//! A call that finds no token is sent elsewhere, and its entry daemon is told when to ask
//! again. If all were told when the next token is due, all would ask at once and all but
//! one in vain, so each token is announced to [`RETRIES_PER_TOKEN`] daemons. That bounds
//! the retries by the limit, not by the number of daemons.
//!
//! # Limits
//!
//! Retries are scheduled within [`RETRY_WITHIN`]; beyond that, daemons that ask are all told
//! this time. A limit that is lowered does not count what was sent under the higher one.

use std::time::{Duration, Instant};

/// Time for which unused tokens are kept beyond the first one, so that a late timer
/// costs nothing.
const SAVED_FOR: Duration = Duration::from_millis(50);
/// Least calls a second that are sent whatever the upstream names: only the answer to a
/// call can take a limit back.
const LEAST_PER_S: f64 = 0.25;
/// Daemons that a token is announced to. More than one, since not each has a call to send
/// when it is due.
const RETRIES_PER_TOKEN: u32 = 2;
/// Longest time until a scheduled retry.
const RETRY_WITHIN: Duration = Duration::from_secs(2);
/// Steps of a limit between daemons, in calls a second.
const STEP_PER_S: f64 = 0.001;

/// Calls a second that an upstream takes from all hosts together, as it names them.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct NamedLimit {
    per_s: f64,
}

impl NamedLimit {
    /// Returns the limit that a text names; `None` where it is no number of calls.
    pub fn parse(text: &str) -> Option<NamedLimit> {
        let per_s: f64 = text.trim().parse().ok()?;
        (per_s.is_finite() && per_s >= 0.0).then_some(NamedLimit { per_s })
    }

    /// Returns the limit of a number of [thousandths](NamedLimit::thousandths).
    pub fn from_thousandths(number: u32) -> NamedLimit {
        NamedLimit { per_s: f64::from(number) * STEP_PER_S }
    }

    /// Returns thousandths of a call a second, as daemons tell each other.
    pub fn thousandths(&self) -> u32 {
        // The cast saturates.
        (self.per_s / STEP_PER_S).round() as u32
    }

    /// Returns calls a second.
    pub fn per_s(&self) -> f64 {
        self.per_s
    }

    fn kept_per_s(&self) -> f64 {
        self.per_s.max(LEAST_PER_S)
    }
}

/// How a limit changed with an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// It was not named before, or named otherwise.
    Named(NamedLimit),
    /// It is named no more.
    Lifted,
}

/// The rate at which one upstream is sent calls.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    limit: Option<NamedLimit>,
    /// When the upstream itself last named it.
    named: Option<Instant>,
    /// Whether the upstream has answered since this daemon started.
    is_observed: bool,
    /// Calls that may be sent, and when that was so.
    level: f64,
    at: Option<Instant>,
    /// The token that was announced last, and to how many daemons.
    retries: Option<(Instant, u32)>,
}

impl Pace {
    /// Takes in what an answer says, to a call that was sent at a moment.
    ///
    /// Answers overtake each other: one without a limit takes a limit back only if its
    /// call was sent after the limit was last named.
    pub fn observe_limit(
        &mut self,
        limit: Option<NamedLimit>,
        sent: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        self.is_observed = true;
        match limit {
            Some(limit) => {
                self.named = Some(now);
                self.set(limit, now).then_some(LimitChange::Named(limit))
            }
            None if self.named.is_some_and(|named| sent < named) => None,
            None => {
                self.retries = None;
                self.limit.take().map(|_| LimitChange::Lifted)
            }
        }
    }

    /// Takes over the limit that another daemon last observed, until the upstream has
    /// answered here.
    pub fn adopt_limit(&mut self, limit: NamedLimit, now: Instant) -> bool {
        let is_news = !self.is_observed && self.limit.is_none_or(|known| limit < known);
        is_news && self.set(limit, now)
    }

    /// Returns the limit that is kept.
    pub fn limit(&self) -> Option<NamedLimit> {
        self.limit
    }

    /// Returns whether a call may be sent now.
    pub fn is_open(&self, now: Instant) -> bool {
        self.wait(0, now).is_zero()
    }

    /// Counts a call that is sent.
    pub fn take(&mut self, now: Instant) {
        self.advance(now);
        if self.limit.is_some() {
            self.level -= 1.0;
        }
    }

    /// Returns how long it takes until a call may be sent after `before` others.
    pub fn wait(&self, before: usize, now: Instant) -> Duration {
        let Some(limit) = self.limit else { return Duration::ZERO };
        let missing = before as f64 + 1.0 - self.level_at(limit, now);
        Duration::from_secs_f64((missing / limit.kept_per_s()).max(0.0))
    }

    /// Returns when a daemon is to ask again, after `queued` calls that wait here;
    /// `None` without a limit.
    pub fn schedule_retry(&mut self, queued: usize, now: Instant) -> Option<Duration> {
        let limit = self.limit?;
        let next = now + self.wait(queued, now).min(RETRY_WITHIN);
        let (mut token, mut count) =
            self.retries.filter(|(token, _)| *token >= next).unwrap_or((next, 0));
        if count >= RETRIES_PER_TOKEN {
            token += Duration::from_secs_f64(1.0 / limit.kept_per_s());
            count = 0;
        }
        token = token.min(now + RETRY_WITHIN);
        self.retries = Some((token, count + 1));
        Some(token.saturating_duration_since(now))
    }

    fn set(&mut self, limit: NamedLimit, now: Instant) -> bool {
        self.advance(now);
        let before = self.limit.replace(limit);
        if before.is_none_or(|before| limit < before) {
            self.level = self.level.min(0.0);
        }
        if before.is_none() {
            self.level = 0.0;
            self.at = Some(now);
        }
        before != Some(limit)
    }

    fn advance(&mut self, now: Instant) {
        let Some(limit) = self.limit else { return };
        self.level = self.level_at(limit, now);
        self.at = Some(self.at.map_or(now, |at| at.max(now)));
    }

    fn level_at(&self, limit: NamedLimit, now: Instant) -> f64 {
        let per_s = limit.kept_per_s();
        let passed = self.at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        (self.level + per_s * passed.as_secs_f64()).min(1.0 + per_s * SAVED_FOR.as_secs_f64())
    }
}
