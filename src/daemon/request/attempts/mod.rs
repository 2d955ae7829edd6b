//! Chooses an upstream, sends the call to it, and decides whether to retry.
//!
//! Upstreams are tried one after the other. [`history`] records the outcome of the attempts
//! so far; [`hedge`] makes one attempt, with a hedged one beside it if the first is late.

mod hedge;
mod history;

use super::answer::AttemptResult;
use super::log_lines::{log_choice, log_failed_attempt};
use super::payload::Payload;
use super::refuse::{refuse, unknown};
use super::trial::{self, QuarantineDecision};
use super::work::RoutedCall;
use crate::daemon::dependencies::DEPENDENCY;
use crate::daemon::{Daemon, quarantine};
use cicadashift_core::request::MIN_RETRY_AFTER;
use cicadashift_core::request::dependency::EntryDecision;
use cicadashift_core::request::retry::{Attempt, CallState, RetryDecision};
use cicadashift_http::body::Body;
use cicadashift_http::hyper::Response;
use cicadashift_http::reactor::Timer;
use cicadashift_wire::call;
use hedge::attempt;
use history::AttemptHistory;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Refusal reason of a host where the call would have to wait for a slot.
const FULL: &str = "full";
/// Refusal reason of a host whose link is too busy for a large answer.
const LINK_BUSY: &str = "link-busy";
/// Refusal reason of a host whose upstream must leave the call to another version.
const HELD_BACK: &str = "held-back";
/// Reason of an attempt that the deadline of its call ended.
const DEADLINE: &str = "deadline";
/// Pause before a call that a host left to another version is sent again.
const STAGE_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Makes attempts until one gives an answer or the call is given up.
pub async fn run(d: &Arc<Daemon>, mut call: RoutedCall, mut payload: Payload) -> Response<Body> {
    match d.dependencies.admit_at_entry(d, &call) {
        EntryDecision::Unknown => {}
        EntryDecision::Admit => call.is_admitted = true,
        EntryDecision::Refuse { retry_after } => {
            d.metrics.incr("call.dependency_refused");
            return refuse(d, &call, &[], DEPENDENCY, retry_after);
        }
    }
    d.services.earn_retries(d, &call.service);
    let mut history = AttemptHistory::default();
    loop {
        let now = d.clock.now();
        if let Some((reason, wait)) = give_up_reason(&call, &history, now) {
            return give_up(d, &call, history, reason, wait);
        }
        if history.trial.is_none() {
            match trial::wait_for_decision(d, &call, &mut history.in_doubt_since).await {
                QuarantineDecision::Send => {}
                QuarantineDecision::SendAsTrial(trial) => history.trial = Some(trial),
                QuarantineDecision::Refuse { retry_after } => {
                    return give_up(d, &call, history, call::QUARANTINED, retry_after);
                }
            }
        }
        let now = d.clock.now();
        let target = match d.services.choose(&call.service, call.demand(now), now, &history.tried) {
            Ok(target) => target,
            Err(_) if fall_back_to_stable(&mut call, &mut history) => continue,
            Err(_) if history.retry_full() => continue,
            Err(wait) => {
                let (reason, wait) = history.last_refusal.unwrap_or(("no-upstream", wait));
                return give_up(d, &call, history, reason, wait);
            }
        };
        history.tried.push(target.choice.key);
        log_choice(d, &call, &target, history.attempts());
        let may_have_run = history.may_have_run;
        let (attempt, reason) = match attempt(d, &call, &target, &mut payload, &mut history).await {
            AttemptResult::Answer(answer) if !answer.is_failure() => {
                if history.trial.is_some() {
                    // Other calls with this digest wait here for the trial's result; the
                    // exit daemon's report takes longer to arrive.
                    quarantine::record_answer(d, call.digest);
                }
                return answer.into_response();
            }
            AttemptResult::Answer(answer) => {
                history.failure = Some(answer);
                (Attempt::Unknown, "upstream-failed")
            }
            AttemptResult::NoAnswer(attempt, reason) => (attempt, reason),
        };
        history.record_missed(&target, reason);
        if reason == FULL {
            history.record_full(target.choice.key);
            continue;
        }
        if reason == call::SLOW_HOST {
            d.metrics.incr("call.redirected_slow");
            history.record_redirect(target.choice.key);
            continue;
        }
        if reason == LINK_BUSY {
            history.tried.retain(|key| *key != target.choice.key);
            history.link_refusals += 1;
        }
        history.record_failure(attempt, reason);
        if attempt.may_have_arrived() {
            history.trial = None;
        }
        let fell_back = fall_back_to_stable(&mut call, &mut history);
        // A call that cannot be sent again is left to the retry decision below, which
        // refuses it as not run unless it may have run.
        let can_resend = payload.is_available() && !attempt.may_have_arrived();
        if fell_back && can_resend {
            continue;
        }
        if reason == HELD_BACK && can_resend && history.may_wait_for_stage(d.clock.now()) {
            history.tried.retain(|key| *key != target.choice.key);
            Timer::after(STAGE_RETRY_INTERVAL).await;
            continue;
        }
        if reason == call::DISPUTED && can_resend {
            history.tried.retain(|key| *key != target.choice.key);
            trial::wait_for_update(d, &mut history.in_doubt_since).await;
            continue;
        }
        if let (Attempt::NotRun { retry_after, .. }, call::QUARANTINED) = (attempt, reason) {
            // This daemon does not know of the quarantine yet, and another host that does
            // not know of it either would run the call.
            d.metrics.incr("call.quarantined");
            return give_up(d, &call, history, reason, retry_after);
        }
        if let (Attempt::NotRun { retry_after, .. }, DEPENDENCY) = (attempt, reason) {
            // Asking further hosts until one admits the call would undo their levels.
            log_failed_attempt(
                d,
                &call,
                &target,
                attempt,
                reason,
                RetryDecision::Refuse { retry_after },
                now,
            );
            return give_up(d, &call, history, reason, retry_after);
        }
        let decision = match reason {
            // The exit daemon counts in whole milliseconds and gives a call up a moment early.
            DEADLINE => RetryDecision::Unknown,
            _ => decide(d, &call, &payload, &history, attempt, may_have_run),
        };
        log_failed_attempt(d, &call, &target, attempt, reason, decision, now);
        match decision {
            RetryDecision::Retry => d.metrics.incr("call.retried"),
            RetryDecision::Refuse { retry_after } => {
                // An upstream that refused earlier may be free sooner than the last one.
                let wait = history.last_refusal.map_or(retry_after, |(_, wait)| wait);
                let wait = retry_after.min(wait.max(MIN_RETRY_AFTER));
                return refuse(d, &call, &history.missed, reason, wait);
            }
            RetryDecision::Answer | RetryDecision::Unknown => {
                return give_up_unknown(d, &call, history, reason);
            }
        }
    }
}

/// Redirects a call for canaries to the service's other upstreams; returns whether it was
/// for canaries.
///
/// Failure: a new version is bad, or has had all the calls that it may get. Symptom:
/// callers are refused although the old version serves.
fn fall_back_to_stable(call: &mut RoutedCall, history: &mut AttemptHistory) -> bool {
    let Some(service) = call.stable_service.take() else { return false };
    call.service = service;
    // The recorded keys belong to the picker of the canaries.
    history.tried.clear();
    history.full.clear();
    true
}

/// Returns the reason and the `Retry-After` of a call whose deadline has passed, or `None`
/// before.
fn give_up_reason(
    call: &RoutedCall,
    history: &AttemptHistory,
    now: Instant,
) -> Option<(&'static str, Duration)> {
    let is_late = now >= call.deadline;
    is_late.then(|| history.last_refusal.unwrap_or(("too-late", MIN_RETRY_AFTER)))
}

fn decide(
    d: &Daemon,
    call: &RoutedCall,
    payload: &Payload,
    history: &AttemptHistory,
    attempt: Attempt,
    may_have_run: bool,
) -> RetryDecision {
    let state = CallState {
        repeatable: call.repeatable,
        replayable: payload.is_available(),
        attempts: history.attempts(),
        arrivals: history.arrivals,
        max_attempts: call.max_attempts,
        may_have_run,
    };
    let left = call.deadline.saturating_duration_since(d.clock.now());
    let random = fastrand::u64(..);
    let decision = d
        .services
        .with(&call.service, |service| state.decide(attempt, left, &mut service.budget, random));
    decision.unwrap_or(RetryDecision::Unknown)
}

/// Ends a call that is not tried again: as not run, or with an unknown outcome if an
/// earlier attempt may have run.
fn give_up(
    d: &Daemon,
    call: &RoutedCall,
    history: AttemptHistory,
    reason: &str,
    retry_after: Duration,
) -> Response<Body> {
    match history.may_have_run {
        true => give_up_unknown(d, call, history, reason),
        false => refuse(d, call, &history.missed, reason, retry_after),
    }
}

fn give_up_unknown(
    d: &Daemon,
    call: &RoutedCall,
    history: AttemptHistory,
    reason: &str,
) -> Response<Body> {
    match history.failure {
        Some(answer) => answer.into_response(),
        None => unknown(d, call, &history.missed, reason),
    }
}
