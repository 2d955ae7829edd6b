//! Pacing of calls to an upstream that names a limit.
//!
//! An overloaded upstream names in its answers how many calls a second it takes from all
//! hosts together. All calls to it pass the gate on its host, so one [`Pace`] there enforces
//! the limit exactly, whichever daemons the calls entered at. [`Pace`] is a token bucket: it
//! is filled at the named rate, holds little more than one token, and is empty when a limit
//! is first named or lowered.
//!
//! A daemon that has just started has no limit on record. Until the upstream has answered a
//! call of this daemon, the daemon adopts the limit that calls of other daemons carry.
//!
//! # Retry times
//!
//! A call that finds no token is sent elsewhere, and its entry daemon gets a time after
//! which to retry. If all daemons got the time of the next token, all would retry at once
//! and all but one would be refused. So each token is announced to [`RETRIES_PER_TOKEN`]
//! daemons, which bounds the retries by the limit and not by the number of daemons.
//!
//! # Limits
//!
//! Retries are scheduled at most [`RETRY_HORIZON`] ahead; all daemons beyond that get this
//! time. After a limit is lowered, calls sent under the higher limit are not counted.

use std::time::{Duration, Instant};

/// Time for which unused tokens beyond the first one accumulate, so that a late timer loses
/// no tokens.
const BURST_TIME: Duration = Duration::from_millis(50);
/// Least calls a second that are sent, whatever limit the upstream names: only the answer to
/// a call can lift a limit.
const MIN_PER_S: f64 = 0.25;
/// Daemons that one token is announced to. More than one, since not every daemon has a call
/// to send when the token is due.
const RETRIES_PER_TOKEN: u32 = 2;
/// Longest time until a scheduled retry.
const RETRY_HORIZON: Duration = Duration::from_secs(2);
/// Resolution of a limit that is sent between daemons, in calls a second.
const STEP_PER_S: f64 = 0.001;

/// Limit that an upstream names: the calls a second it takes from all hosts together.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct NamedLimit {
    per_s: f64,
}

impl NamedLimit {
    /// Parses a limit; `None` if the text is not a finite number of zero or more.
    pub fn parse(text: &str) -> Option<NamedLimit> {
        let per_s: f64 = text.trim().parse().ok()?;
        (per_s.is_finite() && per_s >= 0.0).then_some(NamedLimit { per_s })
    }

    /// Creates a limit from [thousandths](NamedLimit::thousandths) of a call a second.
    pub fn from_thousandths(number: u32) -> NamedLimit {
        NamedLimit { per_s: f64::from(number) * STEP_PER_S }
    }

    /// Returns the limit in thousandths of a call a second, as sent between daemons.
    pub fn thousandths(&self) -> u32 {
        // The cast saturates.
        (self.per_s / STEP_PER_S).round() as u32
    }

    /// Returns the limit in calls a second.
    pub fn per_s(&self) -> f64 {
        self.per_s
    }

    fn enforced_per_s(&self) -> f64 {
        self.per_s.max(MIN_PER_S)
    }
}

/// Change of a limit by an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The upstream named a first or a different limit.
    Named(NamedLimit),
    /// The upstream no longer names a limit.
    Lifted,
}

/// Token bucket that paces the calls to one upstream.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    limit: Option<NamedLimit>,
    /// When an answer of the upstream last named a limit.
    named_at: Option<Instant>,
    /// Whether the upstream has answered a call since this daemon started.
    is_observed: bool,
    /// Tokens in the bucket at `updated_at`.
    tokens: f64,
    updated_at: Option<Instant>,
    /// When the last announced token is due, and to how many daemons it was announced.
    announced: Option<(Instant, u32)>,
}

impl Pace {
    /// Updates the limit from an answer to a call that was sent at `sent`.
    ///
    /// Answers can arrive out of order: an answer without a limit lifts the limit only if its
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
                self.named_at = Some(now);
                self.set_limit(limit, now).then_some(LimitChange::Named(limit))
            }
            None if self.named_at.is_some_and(|named_at| sent < named_at) => None,
            None => {
                self.announced = None;
                self.limit.take().map(|_| LimitChange::Lifted)
            }
        }
    }

    /// Adopts a lower limit that another daemon observed, unless the upstream has answered a
    /// call of this daemon; returns whether the limit changed.
    pub fn adopt_limit(&mut self, limit: NamedLimit, now: Instant) -> bool {
        let should_adopt = !self.is_observed && self.limit.is_none_or(|current| limit < current);
        should_adopt && self.set_limit(limit, now)
    }

    /// Returns the limit in force.
    pub fn limit(&self) -> Option<NamedLimit> {
        self.limit
    }

    /// Returns whether a call may be sent now.
    pub fn is_open(&self, now: Instant) -> bool {
        self.wait(0, now).is_zero()
    }

    /// Takes a token for a call that is sent.
    pub fn take_token(&mut self, now: Instant) {
        self.refill(now);
        if self.limit.is_some() {
            self.tokens -= 1.0;
        }
    }

    /// Returns the time until a call may be sent after `before` other calls.
    pub fn wait(&self, before: usize, now: Instant) -> Duration {
        let Some(limit) = self.limit else { return Duration::ZERO };
        let tokens_missing = before as f64 + 1.0 - self.tokens_at(limit, now);
        Duration::from_secs_f64((tokens_missing / limit.enforced_per_s()).max(0.0))
    }

    /// Returns the time after which a daemon may retry, behind `queued` calls at the gate;
    /// `None` without a limit.
    pub fn schedule_retry(&mut self, queued: usize, now: Instant) -> Option<Duration> {
        let limit = self.limit?;
        let next = now + self.wait(queued, now).min(RETRY_HORIZON);
        let (mut token, mut count) =
            self.announced.filter(|(token, _)| *token >= next).unwrap_or((next, 0));
        if count >= RETRIES_PER_TOKEN {
            token += Duration::from_secs_f64(1.0 / limit.enforced_per_s());
            count = 0;
        }
        token = token.min(now + RETRY_HORIZON);
        self.announced = Some((token, count + 1));
        Some(token.saturating_duration_since(now))
    }

    fn set_limit(&mut self, limit: NamedLimit, now: Instant) -> bool {
        self.refill(now);
        let before = self.limit.replace(limit);
        if before.is_none_or(|before| limit < before) {
            self.tokens = self.tokens.min(0.0);
        }
        if before.is_none() {
            self.tokens = 0.0;
            self.updated_at = Some(now);
        }
        before != Some(limit)
    }

    fn refill(&mut self, now: Instant) {
        let Some(limit) = self.limit else { return };
        self.tokens = self.tokens_at(limit, now);
        self.updated_at = Some(self.updated_at.map_or(now, |at| at.max(now)));
    }

    fn tokens_at(&self, limit: NamedLimit, now: Instant) -> f64 {
        let per_s = limit.enforced_per_s();
        let elapsed =
            self.updated_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        (self.tokens + per_s * elapsed.as_secs_f64()).min(1.0 + per_s * BURST_TIME.as_secs_f64())
    }
}
