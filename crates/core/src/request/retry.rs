//! Whether a call may be sent again, and what its caller is told if not.

use super::{MIN_RETRY_AFTER, jitter};
use std::time::{Duration, Instant};

/// Most times one call is sent to an upstream, the first included.
pub const MAX_ATTEMPTS: u32 = 3;
/// Most daemons asked for one call. After three refusals the service is full as far
/// as anybody needs to know, and each further question takes time from daemons that
/// have none.
const MAX_ASKED: u32 = 3;

/// How one attempt ended, as far as the entry daemon knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// A whole answer, whatever its status.
    Answered,
    /// It certainly did not run. `arrived` tells whether an upstream saw it: that
    /// costs the upstream something, a refusal by a daemon does not.
    NotRun { retry_after: Duration, arrived: bool },
    /// It may have run.
    Unknown,
}

impl Attempt {
    /// Makes the outcome of an attempt that reached nobody.
    pub fn unreached() -> Attempt {
        Attempt::NotRun { retry_after: MIN_RETRY_AFTER, arrived: false }
    }

    /// Returns whether the attempt reached an upstream, or may have.
    pub fn may_have_arrived(&self) -> bool {
        !matches!(self, Attempt::NotRun { arrived: false, .. })
    }
}

/// What to do after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Pass the answer on.
    Answer,
    /// Send it to another upstream.
    Retry,
    /// Tell the caller that it did not run, and when to come back.
    Refuse { retry_after: Duration },
    /// Tell the caller that it may have run.
    Unknown,
}

/// Retries that a service's calls may still use at one daemon.
///
/// Failure: every call to a failing service is sent three times. Symptom: the
/// service gets three times the load at the moment it can bear least. A budget
/// that only first attempts fill keeps the extra load under a bound that the
/// operators set for all daemons together.
///
/// # Load pattern
///
/// A service sheds half of its calls at every upstream, and hundreds of daemons send it a
/// few calls a second each. What a daemon may save up is what its own first attempts
/// earned lately, so that retries are where the calls are, and the sum stays in
/// proportion to the calls of all daemons however many those are.
///
/// # Less than one retry
///
/// With many daemons each saves up less than one retry, and buckets that must hold a whole
/// one would never give any. So a bucket with a part of a retry gives one with that chance
/// and goes into debt, which is paid back by what is earned next: in the long run all
/// daemons together give what they earn.
///
/// # Limits
///
/// Each daemon may be in debt for less than one retry, so that in one moment all together
/// may have given one a daemon more than they held. Where a daemon sends a call in several
/// seconds only, part of what it earns is forgotten before it is used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries that may be given; below zero is a debt.
    tokens: f64,
    /// What first attempts earned lately.
    recent: f64,
    earned_at: Option<Instant>,
}

/// What fills a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Share of a retry that each first attempt earns.
    pub earned_per_attempt: f64,
    /// Most retries saved up beside those earned lately.
    pub max_saved: f64,
    /// Time for which what was earned may be saved.
    pub saved_for: Duration,
}

/// Steps of the chance of a part of a retry.
const CHANCES: u64 = 1024;

impl RetryBudget {
    /// Makes a budget with half of what may be saved.
    pub fn new(allowance: Allowance) -> RetryBudget {
        RetryBudget { tokens: allowance.max_saved / 2.0, recent: 0.0, earned_at: None }
    }

    /// Records a first attempt.
    pub fn earn(&mut self, allowance: Allowance, now: Instant) {
        let passed = self.earned_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.earned_at = Some(now);
        let over = allowance.saved_for.as_secs_f64().max(f64::MIN_POSITIVE);
        self.recent *= (-passed.as_secs_f64() / over).exp();
        self.recent += allowance.earned_per_attempt;
        self.tokens =
            (self.tokens + allowance.earned_per_attempt).min(allowance.max_saved + self.recent);
    }

    /// Takes a retry if there is one; `random` is any number.
    pub fn spend(&mut self, random: u64) -> bool {
        // Never with a part that is no more than nothing, always with a whole one.
        let least = (random % CHANCES + 1) as f64 / CHANCES as f64;
        if self.tokens < least {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// One call's attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallState {
    /// Whether the configuration allows a second execution.
    pub repeatable: bool,
    /// Whether the body can be sent again.
    pub replayable: bool,
    /// Daemons asked.
    pub attempts: u32,
    /// Attempts that reached an upstream, or may have.
    pub arrivals: u32,
    /// Attempts that calls above this one left to it.
    pub max_attempts: u32,
    /// Whether an earlier attempt ended unknown.
    pub may_have_run: bool,
}

impl CallState {
    /// Decides what follows an attempt.
    ///
    /// `left` is what remains of the deadline; `random` spreads the time to come
    /// back. A retry is taken from the budget only when it is made.
    pub fn decide(
        &self,
        attempt: Attempt,
        left: Duration,
        budget: &mut RetryBudget,
        random: u64,
    ) -> RetryDecision {
        match attempt {
            Attempt::Answered => RetryDecision::Answer,
            Attempt::NotRun { retry_after, arrived } => {
                if self.may_repeat(left) && (!arrived || budget.spend(random)) {
                    return RetryDecision::Retry;
                }
                // Failure: the first attempt ran and its answer was lost, the
                // second was refused. Symptom: the caller is told "not run" of
                // what ran. The last attempt speaks only for itself.
                if self.may_have_run {
                    return RetryDecision::Unknown;
                }
                RetryDecision::Refuse { retry_after: jitter(retry_after, random) }
            }
            Attempt::Unknown => {
                // Failure: the answer is lost after the upstream ran the call.
                // Symptom: a notice is published twice. Only what the
                // configuration calls repeatable is sent again.
                if self.repeatable && self.may_repeat(left) && budget.spend(random) {
                    return RetryDecision::Retry;
                }
                RetryDecision::Unknown
            }
        }
    }

    fn may_repeat(&self, left: Duration) -> bool {
        let room = self.arrivals < self.max_attempts && self.attempts < MAX_ASKED;
        self.replayable && room && !left.is_zero()
    }
}
