//! Decides whether a call is retried, and otherwise what its caller is answered.

use super::{MIN_RETRY_AFTER, jitter};
use std::time::{Duration, Instant};

/// Most attempts of one call that reach an upstream, the first included.
pub const MAX_ATTEMPTS: u32 = 3;
/// Most daemons asked to run one call. After three refusals the service is most likely full,
/// and each further request takes time from overloaded daemons.
const MAX_DAEMONS_ASKED: u32 = 3;

/// Outcome of one attempt, as far as the entry daemon can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// The answer is complete, whatever its status.
    Answered,
    /// The call certainly did not run. `arrived` is set if it reached an upstream: that costs
    /// the upstream some work, while a refusal by a daemon does not.
    NotRun { retry_after: Duration, arrived: bool },
    /// The call may have run.
    Unknown,
}

impl Attempt {
    /// Returns the outcome of an attempt that reached no daemon.
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
    /// Send the call to another upstream.
    Retry,
    /// Answer the caller that the call did not run and when to retry.
    Refuse { retry_after: Duration },
    /// Answer the caller that the call may have run.
    Unknown,
}

/// Retry budget of one service at one daemon.
///
/// Without a budget every call to a failing service is sent three times, so that the service
/// gets three times the load when it is least able to handle it. Only first attempts fill the
/// budget, which keeps the additional load below a bound that the operators set for all
/// daemons together.
///
/// # Load pattern
///
/// A service sheds half of its calls at every upstream, and hundreds of daemons each send it
/// a few calls a second. A daemon may save up the retries that its own first attempts earned
/// recently. The retries are thus available where the calls enter, and their sum stays
/// proportional to the calls of all daemons, whatever the number of daemons.
///
/// # Less than one retry
///
/// With many daemons each saves up less than one retry, and a bucket that needs a whole token
/// would never allow a retry. A bucket with part of a token therefore allows a retry with that
/// probability and goes into debt, which the next earned tokens pay back. In the long run all
/// daemons together allow as many retries as they earn.
///
/// # Limits
///
/// Each daemon may be in debt by less than one retry, so all daemons together may at one moment
/// exceed their budgets by one retry a daemon. If a daemon sends only one call in several
/// seconds, part of the retries it earns expires unused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries that may be made; negative while in debt.
    tokens: f64,
    /// Retries earned by recent first attempts, with exponential decay.
    recently_earned: f64,
    earned_at: Option<Instant>,
}

/// Refill and capacity of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Retries that each first attempt earns.
    pub earned_per_attempt: f64,
    /// Most retries saved up in addition to those earned recently.
    pub max_saved: f64,
    /// Time constant with which recently earned retries expire.
    pub saved_for: Duration,
}

/// Resolution of the probability with which part of a token allows a retry.
const CHANCE_STEPS: u64 = 1024;

impl RetryBudget {
    /// Creates a budget that holds half of the retries that may be saved.
    pub fn new(allowance: Allowance) -> RetryBudget {
        RetryBudget { tokens: allowance.max_saved / 2.0, recently_earned: 0.0, earned_at: None }
    }

    /// Records a first attempt.
    pub fn earn(&mut self, allowance: Allowance, now: Instant) {
        let elapsed = self.earned_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.earned_at = Some(now);
        let saved_for = allowance.saved_for.as_secs_f64().max(f64::MIN_POSITIVE);
        self.recently_earned *= (-elapsed.as_secs_f64() / saved_for).exp();
        self.recently_earned += allowance.earned_per_attempt;
        self.tokens = (self.tokens + allowance.earned_per_attempt)
            .min(allowance.max_saved + self.recently_earned);
    }

    /// Takes a retry from the budget, if it allows one; `random` is a random number.
    pub fn spend(&mut self, random: u64) -> bool {
        // With no tokens or a debt a retry is never allowed, with a whole token always.
        let min_tokens = (random % CHANCE_STEPS + 1) as f64 / CHANCE_STEPS as f64;
        if self.tokens < min_tokens {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Attempts of one call so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallState {
    /// Whether the configuration allows a second execution.
    pub repeatable: bool,
    /// Whether the body is still held and can be sent again.
    pub replayable: bool,
    /// Number of daemons asked to run the call.
    pub attempts: u32,
    /// Number of attempts that reached an upstream, or may have.
    pub arrivals: u32,
    /// Most attempts that may reach an upstream: the route's number, or what the calls above
    /// this one leave of it.
    pub max_attempts: u32,
    /// Whether an earlier attempt had an unknown outcome.
    pub may_have_run: bool,
}

impl CallState {
    /// Decides what to do after an attempt.
    ///
    /// `left` is the time left before the deadline; `random` adds jitter to the time until the
    /// caller's retry. A retry is taken from the budget only if it is made.
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
                if self.may_retry(left) && (!arrived || budget.spend(random)) {
                    return RetryDecision::Retry;
                }
                // The refusal covers only the last attempt. If an earlier attempt ran and
                // its answer was lost, "not run" would be wrong for the call.
                if self.may_have_run {
                    return RetryDecision::Unknown;
                }
                RetryDecision::Refuse { retry_after: jitter(retry_after, random) }
            }
            Attempt::Unknown => {
                // The upstream may have run the call although its answer was lost. A retry
                // would then run it twice (a notice published twice, for example), so only
                // calls that the configuration marks repeatable are sent again.
                if self.repeatable && self.may_retry(left) && budget.spend(random) {
                    return RetryDecision::Retry;
                }
                RetryDecision::Unknown
            }
        }
    }

    fn may_retry(&self, left: Duration) -> bool {
        let below_limits = self.arrivals < self.max_attempts && self.attempts < MAX_DAEMONS_ASKED;
        self.replayable && below_limits && !left.is_zero()
    }
}
