//! One attempt, with a hedged second attempt beside it if the first is late.
//!
//! If an answer is so late for its kind of call that it may be lost, or the upstream's host
//! gives no sign of life, a call that may be repeated is also sent to a second upstream.
//! The first good answer of the two is passed on.

use super::history::AttemptHistory;
use crate::daemon::request::answer::AttemptResult;
use crate::daemon::request::log_lines::{log_choice, log_failed_attempt};
use crate::daemon::request::payload::Payload;
use crate::daemon::request::send::{SendOptions, send};
use crate::daemon::request::work::RoutedCall;
use crate::daemon::services::Target;
use crate::daemon::{Daemon, liveness, quarantine};
use cicadashift_core::request::retry::{Attempt, RetryDecision};
use cicadashift_core::request::suspects::QuarantineState;
use cicadashift_http::reactor::Timer;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

/// Reason for giving up an attempt whose upstream's host gives no sign of life.
const HOST_SILENT: &str = "host-silent";

/// Sends the call to an upstream, and to a second one if the first is late.
pub async fn attempt(
    d: &Arc<Daemon>,
    call: &RoutedCall,
    target: &Target,
    payload: &mut Payload,
    history: &mut AttemptHistory,
) -> AttemptResult {
    let Some(body) = payload.take() else {
        return AttemptResult::NoAnswer(Attempt::Unknown, "body-spent");
    };
    let began = d.clock.now();
    let options = match payload.is_available() {
        true => history.send_options(target),
        // A call that cannot be sent again waits for a slot at this host.
        false => SendOptions {
            max_slot_wait: Duration::MAX,
            may_redirect: false,
            ..history.send_options(target)
        },
    };
    let mut first = Box::pin(send(d, call, target, body, options));
    // A suspected call is not sent to two upstreams at once.
    let is_clear = quarantine::state(d, call.digest) == QuarantineState::Clear;
    let may_hedge = is_clear
        && call.repeatable
        && payload.is_available()
        && history.arrivals + 1 < call.max_attempts;
    let may_queue = !options.max_slot_wait.is_zero();
    let due = hedge_due(d, call, target, may_hedge, may_queue);
    let why = match race(first.as_mut(), due).await {
        Raced::First(got) => return got,
        Raced::Second(why) => why,
    };
    let now = d.clock.now();
    let (key, elapsed) = (target.choice.key, now.saturating_duration_since(began));
    d.services.with(&call.service, |service| {
        service.picker.record_late(key, call.demand(began), elapsed, now);
    });
    let hedge = match may_hedge {
        true => d.services.choose_hedge(&call.service, call.demand(now), now, &history.tried),
        false => None,
    };
    let (hedge, body) = match (hedge, payload.take()) {
        (Some(hedge), Some(body)) => (hedge, body),
        _ => return wait_without_hedge(d, call, target, first, why).await,
    };
    history.tried.push(hedge.choice.key);
    history.arrivals += 1;
    d.metrics.incr("call.doubled");
    log_failed_attempt(d, call, target, Attempt::Unknown, why, RetryDecision::Retry, call.started);
    log_choice(d, call, &hedge, history.attempts());
    let second = Box::pin(send(d, call, &hedge, body, SendOptions::UNLIMITED));
    better_of(first, second).await
}

/// Goes on waiting for a late attempt without a hedged one beside it.
///
/// Failure: a host is cut off and no other serves the call. Symptom: the call holds its
/// caller, which is often another call that occupies a slot, until its deadline. So a call
/// that may run again is given up once the host is silent.
///
/// A daemon that is stopping gives up no call: a slow host may look silent while its
/// upstream still works on the call, and a planned stop must not cut such calls.
async fn wait_without_hedge<F: Future<Output = AttemptResult>>(
    d: &Arc<Daemon>,
    call: &RoutedCall,
    target: &Target,
    mut first: BoxedAttempt<F>,
    why: &'static str,
) -> AttemptResult {
    if !call.repeatable || d.is_leaving() {
        return first.await;
    }
    if why != HOST_SILENT {
        let silent = liveness::wait_until_silent(d, target.host);
        if let Raced::First(got) = race(first.as_mut(), silent).await {
            return got;
        }
    }
    if d.is_leaving() {
        return first.await;
    }
    AttemptResult::NoAnswer(Attempt::Unknown, HOST_SILENT)
}

/// Waits until the first attempt is late or its host is silent, and returns which.
async fn hedge_due(
    d: &Arc<Daemon>,
    call: &RoutedCall,
    target: &Target,
    may_hedge: bool,
    may_queue: bool,
) -> &'static str {
    let demand = call.demand(d.clock.now());
    let after = d.services.with(&call.service, |service| {
        // A hedged attempt at a large answer would load the link of a second host as well.
        let is_large = service.picker.is_large(demand.kind);
        // Where hedged attempts come early, a call that is late may only wait for a slot, and a
        // second one would wait as well.
        let only_queues = may_queue && service.picker.reports_pace();
        service.picker.hedge_after(demand).filter(|_| !is_large && !only_queues)
    });
    let slow = async {
        match after.flatten().filter(|_| may_hedge) {
            Some(time) => Timer::after(time).await,
            None => std::future::pending().await,
        };
        // A hedged attempt gains nothing while earlier answers on the caller's connection
        // hold this one back.
        if let Some(turn) = &call.turn {
            turn.wait().await;
        }
        "late"
    };
    let silent = async {
        liveness::wait_until_silent(d, target.host).await;
        HOST_SILENT
    };
    smol::future::or(slow, silent).await
}

/// Output of the future that finished first.
enum Raced<A, B> {
    First(A),
    Second(B),
}

async fn race<A, B>(
    first: impl Future<Output = A>,
    second: impl Future<Output = B>,
) -> Raced<A, B> {
    smol::future::or(async { Raced::First(first.await) }, async { Raced::Second(second.await) })
        .await
}

type BoxedAttempt<F> = Pin<Box<F>>;

/// Returns the first good answer of two attempts. If there is none, a failure answer comes
/// before an unknown outcome, and that before a refusal.
async fn better_of<F, G>(mut first: BoxedAttempt<F>, mut second: BoxedAttempt<G>) -> AttemptResult
where
    F: Future<Output = AttemptResult>,
    G: Future<Output = AttemptResult>,
{
    let (got, other) = match race(first.as_mut(), second.as_mut()).await {
        Raced::First(got) if is_good(&got) => return got,
        Raced::Second(got) if is_good(&got) => return got,
        Raced::First(got) => (got, second.await),
        Raced::Second(got) => (got, first.await),
    };
    match (got, other) {
        (_, other) if is_good(&other) => other,
        (AttemptResult::Answer(failure), _) | (_, AttemptResult::Answer(failure)) => {
            AttemptResult::Answer(failure)
        }
        // If either attempt may have run, the outcome is unknown.
        (AttemptResult::NoAnswer(Attempt::Unknown, why), _)
        | (_, AttemptResult::NoAnswer(Attempt::Unknown, why)) => {
            AttemptResult::NoAnswer(Attempt::Unknown, why)
        }
        (got, _) => got,
    }
}

fn is_good(got: &AttemptResult) -> bool {
    matches!(got, AttemptResult::Answer(answer) if !answer.is_failure())
}
