//! One attempt, and a second one beside it where the first is late.
//!
//! If an answer is so late for its kind that it may be lost, or the host it is to come from
//! gives no sign of life, a call that may be repeated is sent to a second upstream, and the
//! first whole answer is passed on.

use super::so_far::SoFar;
use crate::daemon::request::answer::AttemptResult;
use crate::daemon::request::payload::Payload;
use crate::daemon::request::send::{Patience, send};
use crate::daemon::request::story::{log_choice, log_missed};
use crate::daemon::request::work::RoutedCall;
use crate::daemon::services::Target;
use crate::daemon::{Daemon, liveness, quarantine};
use cicadashift_core::request::retry::{Attempt, RetryDecision};
use cicadashift_core::request::suspects::QuarantineState;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

/// Why an attempt at a host without a sign of life is given up.
const HOST_SILENT: &str = "host-silent";

/// Sends the call to an upstream, and to a second one if the first is late.
pub async fn attempt(
    d: &Arc<Daemon>,
    work: &RoutedCall,
    target: &Target,
    payload: &mut Payload,
    so_far: &mut SoFar,
) -> AttemptResult {
    let Some(body) = payload.take() else {
        return AttemptResult::NoAnswer(Attempt::Unknown, "body-spent");
    };
    let began = d.clock.now();
    let patience = match payload.is_left() {
        true => so_far.patience(target),
        // What cannot be sent again waits where it is.
        false => Patience { slot: Duration::MAX, ..so_far.patience(target) },
    };
    let mut first = Box::pin(send(d, work, target, body, patience));
    // A suspected call is not sent to two upstreams at once.
    let is_clear = quarantine::standing(d, work.digest) == QuarantineState::Clear;
    let may_double =
        is_clear && work.repeatable && payload.is_left() && so_far.arrivals + 1 < work.max_attempts;
    let why = match race(first.as_mut(), late(d, work, target, may_double)).await {
        Raced::First(got) => return got,
        Raced::Second(why) => why,
    };
    let now = d.clock.now();
    let (key, passed) = (target.choice.key, now.saturating_duration_since(began));
    d.services.with(&work.service, |service| {
        service.picker.record_late(key, work.demand(began), passed, now);
    });
    let spare = match may_double {
        true => d.services.choose_spare(&work.service, work.demand(now), now, &so_far.tried),
        false => None,
    };
    let (spare, body) = match (spare, payload.take()) {
        (Some(spare), Some(body)) => (spare, body),
        _ => return without_spare(d, work, target, first, why).await,
    };
    so_far.tried.push(spare.choice.key);
    so_far.arrivals += 1;
    d.metrics.incr("call.doubled");
    log_missed(d, work, target, Attempt::Unknown, why, RetryDecision::Retry, work.started);
    log_choice(d, work, &spare, so_far.asked());
    let second = Box::pin(send(d, work, &spare, body, Patience::LAST));
    better_of(first, second).await
}

/// Waits on for a late attempt beside which there can be no other.
///
/// Failure: a host is cut off and no other serves the call. Symptom: the call
/// holds its caller, often a call further up with a slot of its own, until its
/// deadline. One that may run again is given up once the host is silent.
///
/// A daemon that stops gives nothing up: a slow host may look silent and still be
/// at work, and a planned stop must not cut that.
async fn without_spare<F: Future<Output = AttemptResult>>(
    d: &Arc<Daemon>,
    work: &RoutedCall,
    target: &Target,
    mut first: Sending<F>,
    why: &'static str,
) -> AttemptResult {
    if !work.repeatable || d.is_leaving() {
        return first.await;
    }
    if why != HOST_SILENT {
        let silent = liveness::silent(d, target.host);
        if let Raced::First(got) = race(first.as_mut(), silent).await {
            return got;
        }
    }
    if d.is_leaving() {
        return first.await;
    }
    AttemptResult::NoAnswer(Attempt::Unknown, HOST_SILENT)
}

/// Returns why a second attempt is due, once it is.
async fn late(
    d: &Arc<Daemon>,
    work: &RoutedCall,
    target: &Target,
    may_double: bool,
) -> &'static str {
    let demand = work.demand(d.clock.now());
    let after = d.services.with(&work.service, |service| {
        // A second large answer would keep a second link as busy as the first.
        let is_large = service.picker.is_large(demand.kind);
        service.picker.hedge_after(demand).filter(|_| !is_large)
    });
    let slow = async {
        match after.flatten().filter(|_| may_double) {
            Some(time) => smol::Timer::after(time).await,
            None => std::future::pending().await,
        };
        // An answer that waits for those before it gains nothing from a second try.
        if let Some(turn) = &work.turn {
            turn.wait().await;
        }
        "late"
    };
    let silent = async {
        liveness::silent(d, target.host).await;
        HOST_SILENT
    };
    smol::future::or(slow, silent).await
}

/// What ended first.
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

type Sending<F> = Pin<Box<F>>;

/// Returns the first good answer of two, or else what says most.
async fn better_of<F, G>(mut first: Sending<F>, mut second: Sending<G>) -> AttemptResult
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
        // What one of them left open stays open.
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
