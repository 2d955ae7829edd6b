//! Choosing an upstream, sending the call there, and deciding what follows.
//!
//! A call is sent to one upstream after the other. [`so_far`] what is
//! known after some attempts, [`second`] one attempt with another beside it.

mod second;
mod so_far;

use super::answer::AttemptResult;
use super::payload::Payload;
use super::refuse::{refuse, unknown};
use super::story::{log_choice, log_missed};
use super::trial::{self, Permit};
use super::work::RoutedCall;
use crate::daemon::{Daemon, quarantine};
use cicadashift_core::request::MIN_RETRY_AFTER;
use cicadashift_core::request::retry::{Attempt, CallState, RetryDecision};
use cicadashift_http::body::Body;
use cicadashift_http::hyper::Response;
use cicadashift_wire::call;
use second::attempt;
use so_far::SoFar;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Why a host did not take a call on that would have had to wait.
const FULL: &str = "full";
/// Why a host did not take a large answer on.
const LINK_BUSY: &str = "link-busy";
/// Why a host did not take a call on that another version is to serve.
const HELD_BACK: &str = "held-back";
/// Time between two tries meanwhile.
const STAGE_LOOK: Duration = Duration::from_millis(20);

/// Sends the call until there is something to tell its caller.
pub async fn run(d: &Arc<Daemon>, mut work: RoutedCall, mut payload: Payload) -> Response<Body> {
    d.services.earn(d, &work.service);
    let mut so_far = SoFar::default();
    loop {
        let now = d.clock.now();
        if let Some((reason, wait)) = is_over(&work, &so_far, now) {
            return give_up(d, &work, so_far, reason, wait);
        }
        if so_far.trial.is_none() {
            match trial::permit(d, &work, &mut so_far.doubted).await {
                Permit::Sent => {}
                Permit::Tried(trial) => so_far.trial = Some(trial),
                Permit::Refused { retry_after } => {
                    return give_up(d, &work, so_far, call::QUARANTINED, retry_after);
                }
            }
        }
        let now = d.clock.now();
        let target = match d.services.choose(&work.service, work.demand(now), now, &so_far.tried) {
            Ok(target) => target,
            Err(_) if leave_canaries(&mut work, &mut so_far) => continue,
            Err(_) if so_far.back_to_full() => continue,
            Err(wait) => {
                let (reason, wait) = so_far.last_refusal.unwrap_or(("no-upstream", wait));
                return give_up(d, &work, so_far, reason, wait);
            }
        };
        so_far.tried.push(target.choice.key);
        log_choice(d, &work, &target, so_far.asked());
        let may_have_run = so_far.may_have_run;
        let (attempt, reason) = match attempt(d, &work, &target, &mut payload, &mut so_far).await {
            AttemptResult::Answer(answer) if !answer.is_failure() => {
                if so_far.trial.is_some() {
                    // Others wait for this here; the exit daemon's news take longer.
                    quarantine::ran_well(d, work.digest);
                }
                return answer.into_response();
            }
            AttemptResult::Answer(answer) => {
                so_far.failure = Some(answer);
                (Attempt::Unknown, "upstream-failed")
            }
            AttemptResult::NoAnswer(attempt, reason) => (attempt, reason),
        };
        if reason == FULL {
            so_far.was_full(target.choice.key);
            continue;
        }
        if reason == LINK_BUSY {
            so_far.tried.retain(|key| *key != target.choice.key);
            so_far.links_busy += 1;
        }
        so_far.missed(attempt, reason);
        if attempt.may_have_arrived() {
            so_far.trial = None;
        }
        let has_left_canaries = leave_canaries(&mut work, &mut so_far);
        // What cannot be sent again is refused below, as not run.
        let may_be_sent = payload.is_left() && !attempt.may_have_arrived();
        if has_left_canaries && may_be_sent {
            continue;
        }
        if reason == HELD_BACK && may_be_sent && so_far.may_wait_for_stage(d.clock.now()) {
            so_far.tried.retain(|key| *key != target.choice.key);
            smol::Timer::after(STAGE_LOOK).await;
            continue;
        }
        if reason == call::DISPUTED && may_be_sent {
            so_far.tried.retain(|key| *key != target.choice.key);
            trial::wait_for_news(d, &mut so_far.doubted).await;
            continue;
        }
        if let (Attempt::NotRun { retry_after, .. }, call::QUARANTINED) = (attempt, reason) {
            // This daemon has not heard of it yet; another host would run it.
            d.metrics.incr("call.quarantined");
            return give_up(d, &work, so_far, reason, retry_after);
        }
        let verdict = decide(d, &work, &payload, &so_far, attempt, may_have_run);
        log_missed(d, &work, &target, attempt, reason, verdict, now);
        match verdict {
            RetryDecision::Retry => d.metrics.incr("call.retried"),
            RetryDecision::Refuse { retry_after } => {
                // Others that refused may be free sooner than the last one.
                let wait = so_far.last_refusal.map_or(retry_after, |(_, wait)| wait);
                return refuse(d, &work, reason, retry_after.min(wait.max(MIN_RETRY_AFTER)));
            }
            RetryDecision::Answer | RetryDecision::Unknown => {
                return give_up_unknown(d, &work, so_far, reason);
            }
        }
    }
}

/// Sends a call that canaries did not serve on to the upstreams that do; returns whether
/// it was theirs.
///
/// Failure: a new version is bad, or has had all calls that it may get. Symptom: callers
/// are refused although the old version serves.
fn leave_canaries(work: &mut RoutedCall, so_far: &mut SoFar) -> bool {
    let Some(service) = work.without_canaries.take() else { return false };
    work.service = service;
    // Their keys are of another arena.
    so_far.tried.clear();
    so_far.full.clear();
    true
}

/// Returns why a call is sent to nobody any more, and when its caller may come back.
fn is_over(work: &RoutedCall, so_far: &SoFar, now: Instant) -> Option<(&'static str, Duration)> {
    let is_late = now >= work.deadline;
    is_late.then(|| so_far.last_refusal.unwrap_or(("too-late", MIN_RETRY_AFTER)))
}

fn decide(
    d: &Daemon,
    work: &RoutedCall,
    payload: &Payload,
    so_far: &SoFar,
    attempt: Attempt,
    may_have_run: bool,
) -> RetryDecision {
    let call = CallState {
        repeatable: work.repeatable,
        replayable: payload.is_left(),
        attempts: so_far.asked(),
        arrivals: so_far.arrivals,
        max_attempts: work.max_attempts,
        may_have_run,
    };
    let left = work.deadline.saturating_duration_since(d.clock.now());
    let random = fastrand::u64(..);
    let verdict = d
        .services
        .with(&work.service, |service| call.decide(attempt, left, &mut service.budget, random));
    verdict.unwrap_or(RetryDecision::Unknown)
}

/// Ends a call that cannot be tried again; what an earlier attempt left open
/// stays open.
fn give_up(
    d: &Daemon,
    work: &RoutedCall,
    so_far: SoFar,
    reason: &str,
    retry_after: Duration,
) -> Response<Body> {
    match so_far.may_have_run {
        true => give_up_unknown(d, work, so_far, reason),
        false => refuse(d, work, reason, retry_after),
    }
}

fn give_up_unknown(d: &Daemon, work: &RoutedCall, so_far: SoFar, reason: &str) -> Response<Body> {
    match so_far.failure {
        Some(answer) => answer.into_response(),
        None => unknown(d, work, reason),
    }
}
