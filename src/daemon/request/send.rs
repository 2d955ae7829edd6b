//! One attempt: sends a call to the exit side on the upstream's host and reads its answer.

use super::answer::{self, AttemptResult};
use super::tracked::TrackedBody;
use super::work::RoutedCall;
use super::{exit, headers};
use crate::daemon::costs::Purpose;
use crate::daemon::dependencies::DEPENDENCY;
use crate::daemon::services::{AttemptGuard, Target};
use crate::daemon::{Daemon, departures, in_band, liveness, lock, quarantine};
use cicadashift_core::request::choose::{LoadReport, Locality, Outcome};
use cicadashift_core::request::gate::KindKey;
use cicadashift_core::request::retry::Attempt;
use cicadashift_http::body::Body;
use cicadashift_http::client::{IDLE_TIMEOUT, SendError};
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

/// Time beyond the deadline in which the exit daemon may still report the outcome of a
/// call: a round trip between failure domains, and its own processing.
const ANSWER_MARGIN: Duration = Duration::from_millis(10);

/// Bytes that the traffic counters assume for the head of a call between daemons, and for the
/// head of its answer.
const HEAD_BYTES: usize = 600;

/// How one attempt is sent. Short limits on its waits leave time to ask other hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendOptions {
    /// Longest time for which the host's link may already be busy, if the call's answer is
    /// large.
    pub max_link_backlog: Duration,
    /// Longest wait for a slot of the upstream.
    pub max_slot_wait: Duration,
    /// Whether the exit daemon refuses the call if the upstream's machine is slow at the moment.
    pub may_redirect: bool,
    /// Whether this attempt is the one trial of a quarantined call that is in doubt.
    pub is_trial: bool,
}

impl SendOptions {
    /// Waits are limited only by the deadline.
    pub const UNLIMITED: SendOptions = SendOptions {
        max_link_backlog: Duration::MAX,
        max_slot_wait: Duration::MAX,
        may_redirect: false,
        is_trial: false,
    };
}

/// Sends a call to a chosen upstream and reads its answer as far as it is buffered.
///
/// The exit daemon refuses the call if it would have to wait longer than `options` allows.
pub async fn send(
    d: &Arc<Daemon>,
    call: &RoutedCall,
    target: &Target,
    body: Body,
    options: SendOptions,
) -> AttemptResult {
    let started = d.clock.now();
    let demand = call.demand(started);
    let guard = AttemptGuard::new(d, &call.service, target.choice.key, demand);
    let left = call.deadline.saturating_duration_since(started);
    let Some(to) = d.members.address(target.host) else {
        guard.end(Outcome::Unreached);
        return AttemptResult::NoAnswer(Attempt::unreached(), "unreached");
    };
    lock(&d.liveness).call_sent(target.host, started);
    let cx = context(d, call, target, left, options, started);
    let mut req = request(call, body);
    if options.may_redirect {
        headers::set(req.headers_mut(), call::MAY_REDIRECT, "1");
    }
    let crosses_domains = target.locality == Locality::OtherDomain;
    d.costs.add(Purpose::Call, crosses_domains, HEAD_BYTES + stated_length(req.body()));
    let sent = match target.host == d.me {
        true => exec::timeout(left + ANSWER_MARGIN, send_local(d, cx, req)).await,
        false => exec::timeout(left + ANSWER_MARGIN, send_remote(d, to, cx, req)).await,
    };
    let res = match sent {
        Some(Ok(res)) => res,
        Some(Err(err)) => {
            let unsent = err.is_unsent();
            guard.end(if unsent { Outcome::Unreached } else { Outcome::Failed });
            log::debug!("call {}: exit daemon at {to}: {err}", call.request_id);
            return match unsent {
                true => AttemptResult::NoAnswer(Attempt::unreached(), "unreached"),
                false => AttemptResult::NoAnswer(Attempt::Unknown, "exit-broke"),
            };
        }
        None => {
            guard.end(Outcome::Failed);
            d.mesh_pool.close_idle(to);
            return AttemptResult::NoAnswer(Attempt::Unknown, "deadline");
        }
    };
    liveness::note_received(d, target.host);
    read_answer(d, call, target, res, guard, started).await
}

/// Passes a call to the exit side of this daemon.
async fn send_local(
    d: &Arc<Daemon>,
    cx: Context,
    req: Request<Body>,
) -> Result<Response<Body>, SendError> {
    Ok(exit::handle(d.clone(), cx, req, exit::Origin::SameDaemon).await)
}

/// Sends a call to the daemon on the upstream's host.
async fn send_remote(
    d: &Arc<Daemon>,
    to: SocketAddr,
    cx: Context,
    mut req: Request<Body>,
) -> Result<Response<Body>, SendError> {
    headers::set(req.headers_mut(), call::CONTEXT, &cx.to_header());
    headers::set(req.headers_mut(), rpc::TOKEN_HEADER, d.key.token());
    let (res, connection) = d.mesh_pool.send(to, req).await?;
    let d = d.clone();
    let keep = move |is_complete: bool| {
        if is_complete {
            connection.return_to(&d.mesh_pool, IDLE_TIMEOUT);
        }
    };
    Ok(res.map(|incoming| TrackedBody::new(incoming, keep).boxed_unsync()))
}

async fn read_answer(
    d: &Arc<Daemon>,
    call: &RoutedCall,
    target: &Target,
    res: Response<Body>,
    guard: AttemptGuard,
    started: Instant,
) -> AttemptResult {
    let (head, body) = res.into_parts();
    d.costs.add(
        Purpose::Answer,
        target.locality == Locality::OtherDomain,
        HEAD_BYTES + stated_length(&body),
    );
    let report = decode_report(d, &head.headers);
    d.dependencies.record_answer(d, call, &head.headers);
    d.named_limits.record(target.host, &target.instance, &head.headers, d.clock.now());
    if let Some(departure) = in_band::departure(target.host, &target.instance, &head.headers) {
        departures::merge(d, &[departure]);
    }
    let key = target.choice.key;
    if let Some(ms) = headers::number(&head.headers, call::LINK_MS) {
        let now = d.clock.now();
        let wait = Duration::from_millis(ms);
        d.services.with(&call.service, |service| service.picker.record_link_wait(key, wait, now));
    }
    if let Some((attempt, reason)) = answer::refusal(&head) {
        if reason == call::UPSTREAM_ENDED {
            // Suspects the call at once: the exit daemon's own suspicion may arrive only after
            // the next attempt is decided on.
            quarantine::record_end(d, &target.instance, &[call.digest]);
        }
        guard.end(match attempt {
            Attempt::NotRun { .. } if reason == "unreached" => Outcome::Unreached,
            Attempt::NotRun { .. } if reason == "link-busy" => Outcome::LinkBusy,
            Attempt::NotRun { .. } if reason == "held-back" => Outcome::HeldBack,
            Attempt::NotRun { .. } if reason == call::SLOW_HOST => Outcome::SlowHost { report },
            // The upstream has room; only calls of this kind are not begun.
            Attempt::NotRun { .. } if reason == DEPENDENCY => Outcome::HeldBack,
            Attempt::NotRun { .. } if reason == "full" => Outcome::Full { report },
            Attempt::NotRun { retry_after, .. } => Outcome::Refused { retry_after, report },
            Attempt::Unknown | Attempt::Answered => Outcome::Failed,
        });
        return AttemptResult::NoAnswer(attempt, reason);
    }
    let service_time = headers::number(&head.headers, call::SERVICE_US).map(Duration::from_micros);
    let kind = KindKey(call.kind);
    let now = d.clock.now();
    d.large_answers.record(kind, body.size_hint().exact(), now);
    let left = call.deadline.saturating_duration_since(now) + ANSWER_MARGIN;
    let reading = answer::read(head, body, call.place.as_ref(), &d.held_answers);
    match exec::timeout(left, reading).await {
        Some(Ok(answer)) => {
            let total = d.clock.now().saturating_duration_since(started);
            let service = service_time.unwrap_or(total);
            guard.end(match answer.is_failure() {
                true => Outcome::ErrorAnswer,
                false => Outcome::Answered { service, total, report },
            });
            let large = answer.is_large();
            d.services.with(&call.service, |service| service.picker.set_large(kind, large));
            AttemptResult::Answer(answer.bounded_by(call.deadline + ANSWER_MARGIN, &d.clock))
        }
        Some(Err(reason)) => {
            guard.end(Outcome::Failed);
            AttemptResult::NoAnswer(Attempt::Unknown, reason)
        }
        None => {
            guard.end(Outcome::Failed);
            AttemptResult::NoAnswer(Attempt::Unknown, "deadline")
        }
    }
}

/// Returns the length of a body in bytes, as far as the body states it.
fn stated_length(body: &Body) -> usize {
    body.size_hint().lower() as usize
}

/// Decodes the exit daemon's load report on its upstream.
fn decode_report(d: &Daemon, head: &HeaderMap) -> LoadReport {
    LoadReport {
        load: headers::number(head, call::LOAD).map(|load| load as u16),
        accept_ratio: headers::number(head, call::ACCEPT_RATIO)
            .map(|accepted| accepted.min(1000) as f64 / 1e3),
        next_token: headers::number(head, call::NEXT_TOKEN_MS).map(Duration::from_millis),
        pace: headers::text(head, call::PACE)
            .filter(|_| d.settings.load.pace)
            .and_then(call::pace_from_header),
    }
}

fn context(
    d: &Daemon,
    call: &RoutedCall,
    target: &Target,
    left: Duration,
    options: SendOptions,
    now: Instant,
) -> Context {
    let named_limit = d.named_limits.limit(target.host, &target.instance);
    let ms = |time: Duration| time.as_millis().min(u128::from(u32::MAX)) as u32;
    Context {
        request_id: call.request_id.clone(),
        digest: call.digest,
        instance: target.instance.clone(),
        deadline_ms: ms(left),
        objective_ms: ms(call.objective.saturating_duration_since(now)),
        max_link_backlog_ms: ms(options.max_link_backlog),
        max_slot_wait_ms: ms(options.max_slot_wait),
        priority: call.priority,
        caller: call.caller,
        call_kind: call.kind,
        caller_service: d.settings.services.first().cloned().unwrap_or_default(),
        organisation: call.organisation.clone(),
        // The attempts that are left are shared by all calls that the upstream makes for
        // this one, so that retries at nine levels add up instead of multiplying.
        attempts: call.max_attempts.saturating_sub(1).max(1),
        version: call.version,
        is_trial: options.is_trial,
        limit_thousandths: named_limit.map(|limit| limit.thousandths()),
    }
}

fn request(call: &RoutedCall, body: Body) -> Request<Body> {
    let mut req = Request::new(body);
    *req.method_mut() = call.head.method.clone();
    *req.uri_mut() = call.head.uri.clone();
    *req.headers_mut() = call.head.headers.clone();
    if call.is_admitted {
        headers::set(req.headers_mut(), call::ADMITTED, "1");
    }
    req
}
