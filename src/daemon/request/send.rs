//! One attempt: to the exit side of the upstream's host, and its answer back.

use super::answer::{self, AttemptResult};
use super::tracked::Tracked;
use super::work::RoutedCall;
use super::{exit, headers};
use crate::daemon::costs::Purpose;
use crate::daemon::services::{Flight, Target};
use crate::daemon::{Daemon, liveness, lock, quarantine};
use cicadashift_core::request::choose::{LoadReport, Locality, Outcome};
use cicadashift_core::request::gate::KindKey;
use cicadashift_core::request::retry::Attempt;
use cicadashift_http::body::Body;
use cicadashift_http::client::{IDLE_TIME, SendError};
use cicadashift_http::exec;
use cicadashift_http::hyper::body::Body as HttpBody;
use cicadashift_http::hyper::header::HeaderMap;
use cicadashift_http::hyper::{Request, Response};
use cicadashift_wire::call::{self, Context};
use cicadashift_wire::rpc;
use http_body_util::BodyExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What the exit daemon has more than the deadline to say what became of a call:
/// a way there and back between failure domains, and its own processing.
const ANSWER_MARGIN: Duration = Duration::from_millis(10);

/// Bytes of the heads of a call and of its answer between daemons, for the count.
const CALL_HEAD: usize = 600;

/// How long a call may wait at one host, while others can still be asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Patience {
    /// For the host's link, if its answer is large.
    pub link: Duration,
    /// For a slot of the upstream.
    pub slot: Duration,
    /// Whether it is the one trial of a call that may end upstreams.
    pub is_trial: bool,
}

impl Patience {
    /// As long as there is time.
    pub const LAST: Patience =
        Patience { link: Duration::MAX, slot: Duration::MAX, is_trial: false };
}

/// Sends a call to a chosen upstream and reads its answer as far as it is held.
///
/// It is taken on only where it has to wait no longer than `patience` says.
pub async fn send(
    d: &Arc<Daemon>,
    work: &RoutedCall,
    target: &Target,
    body: Body,
    patience: Patience,
) -> AttemptResult {
    let started = d.clock.now();
    let demand = work.demand(started);
    let flight = Flight::new(d, &work.service, target.choice.key, demand);
    let left = work.deadline.saturating_duration_since(started);
    let Some(to) = d.members.address(target.host) else {
        flight.end(Outcome::Unreached);
        return AttemptResult::NoAnswer(Attempt::unreached(), "unreached");
    };
    lock(&d.liveness).call_sent(target.host, started);
    let cx = context(d, work, target, left, patience, started);
    let req = request(work, body);
    let is_far = target.locality == Locality::OtherDomain;
    d.costs.add(Purpose::Call, is_far, CALL_HEAD + size_of(req.body()));
    let sent = match target.host == d.me {
        true => exec::timeout(left + ANSWER_MARGIN, here(d, cx, req)).await,
        false => exec::timeout(left + ANSWER_MARGIN, there(d, to, cx, req)).await,
    };
    let res = match sent {
        Some(Ok(res)) => res,
        Some(Err(err)) => {
            let unsent = err.is_unsent();
            flight.end(if unsent { Outcome::Unreached } else { Outcome::Failed });
            log::debug!("call {}: exit daemon at {to}: {err}", work.request_id);
            return match unsent {
                true => AttemptResult::NoAnswer(Attempt::unreached(), "unreached"),
                false => AttemptResult::NoAnswer(Attempt::Unknown, "exit-broke"),
            };
        }
        None => {
            flight.end(Outcome::Failed);
            d.mesh_pool.forget(to);
            return AttemptResult::NoAnswer(Attempt::Unknown, "deadline");
        }
    };
    liveness::heard(d, target.host);
    read_answer(d, work, target, res, flight, started).await
}

/// Sends to the exit side of this daemon.
async fn here(
    d: &Arc<Daemon>,
    cx: Context,
    req: Request<Body>,
) -> Result<Response<Body>, SendError> {
    Ok(exit::handle(d.clone(), cx, req, exit::Origin::Here).await)
}

/// Sends to the daemon on the upstream's host.
async fn there(
    d: &Arc<Daemon>,
    to: SocketAddr,
    cx: Context,
    mut req: Request<Body>,
) -> Result<Response<Body>, SendError> {
    headers::set(req.headers_mut(), call::CONTEXT, &cx.to_header());
    headers::set(req.headers_mut(), rpc::TOKEN_HEADER, d.key.token());
    let (res, connection) = d.mesh_pool.send(to, req).await?;
    let d = d.clone();
    let keep = move |whole: bool| {
        if whole {
            connection.keep(&d.mesh_pool, IDLE_TIME);
        }
    };
    Ok(res.map(|incoming| Tracked::new(incoming, keep).boxed_unsync()))
}

async fn read_answer(
    d: &Arc<Daemon>,
    work: &RoutedCall,
    target: &Target,
    res: Response<Body>,
    flight: Flight,
    started: Instant,
) -> AttemptResult {
    let (head, body) = res.into_parts();
    d.costs.add(
        Purpose::Answer,
        target.locality == Locality::OtherDomain,
        CALL_HEAD + size_of(&body),
    );
    let report = report(&head.headers);
    if d.signals.take(target.host, &target.instance, &head.headers, d.clock.now()) {
        d.services.sync(d);
    }
    let key = target.choice.key;
    if let Some(ms) = headers::number(&head.headers, call::LINK_MS) {
        let now = d.clock.now();
        let wait = Duration::from_millis(ms);
        d.services.with(&work.service, |service| service.picker.record_link_wait(key, wait, now));
    }
    if let Some((attempt, reason)) = answer::refusal(&head) {
        if reason == call::UPSTREAM_ENDED {
            // The news may still be under way when the next attempt is decided on.
            quarantine::ended(d, &target.instance, &[work.digest]);
        }
        flight.end(match attempt {
            Attempt::NotRun { .. } if reason == "unreached" => Outcome::Unreached,
            Attempt::NotRun { .. } if reason == "link-busy" => Outcome::LinkBusy,
            Attempt::NotRun { .. } if reason == "held-back" => Outcome::HeldBack,
            Attempt::NotRun { .. } if reason == "full" => Outcome::Full { report },
            Attempt::NotRun { retry_after, .. } => Outcome::Refused { retry_after, report },
            Attempt::Unknown | Attempt::Answered => Outcome::Failed,
        });
        return AttemptResult::NoAnswer(attempt, reason);
    }
    let service = headers::number(&head.headers, call::SERVICE_US).map(Duration::from_micros);
    let left = work.deadline.saturating_duration_since(d.clock.now()) + ANSWER_MARGIN;
    match exec::timeout(left, answer::read(head, body)).await {
        Some(Ok(answer)) => {
            let total = d.clock.now().saturating_duration_since(started);
            let service = service.unwrap_or(total);
            flight.end(match answer.is_failure() {
                true => Outcome::ErrorAnswer,
                false => Outcome::Answered { service, total, report },
            });
            let kind = KindKey(work.kind);
            let large = answer.is_large();
            d.services.with(&work.service, |service| service.picker.set_large(kind, large));
            AttemptResult::Answer(answer)
        }
        Some(Err(why)) => {
            flight.end(Outcome::Failed);
            AttemptResult::NoAnswer(Attempt::Unknown, why)
        }
        None => {
            flight.end(Outcome::Failed);
            AttemptResult::NoAnswer(Attempt::Unknown, "deadline")
        }
    }
}

/// Returns the bytes of a body, as far as it tells.
fn size_of(body: &Body) -> usize {
    body.size_hint().lower() as usize
}

/// Reads what the exit daemon tells of its upstream.
fn report(head: &HeaderMap) -> LoadReport {
    LoadReport {
        load: headers::number(head, call::LOAD).map(|load| load as u16),
        accept_ratio: headers::number(head, call::ACCEPTS)
            .map(|share| share.min(1000) as f64 / 1e3),
        next_token: headers::number(head, call::NEXT_TOKEN_MS).map(Duration::from_millis),
    }
}

fn context(
    d: &Daemon,
    work: &RoutedCall,
    target: &Target,
    left: Duration,
    patience: Patience,
    now: Instant,
) -> Context {
    let said = d.signals.limit(target.host, &target.instance);
    let ms = |time: Duration| time.as_millis().min(u128::from(u32::MAX)) as u32;
    Context {
        request_id: work.request_id.clone(),
        digest: work.digest,
        instance: target.instance.clone(),
        deadline_ms: ms(left),
        objective_ms: ms(work.objective.saturating_duration_since(now)),
        link_most_ms: ms(patience.link),
        wait_most_ms: ms(patience.slot),
        priority: work.priority,
        caller: work.caller,
        call_kind: work.kind,
        caller_service: d.settings.services.first().cloned().unwrap_or_default(),
        organisation: work.organisation.clone(),
        // What this call may still use is shared by all calls below it, so that
        // retries at nine levels add up instead of multiplying.
        attempts: work.max_attempts.saturating_sub(1).max(1),
        version: work.version,
        is_trial: patience.is_trial,
        limit_thousandths: said.map(|limit| limit.thousandths()),
    }
}

fn request(work: &RoutedCall, body: Body) -> Request<Body> {
    let mut req = Request::new(body);
    *req.method_mut() = work.head.method.clone();
    *req.uri_mut() = work.head.uri.clone();
    *req.headers_mut() = work.head.headers.clone();
    req
}
