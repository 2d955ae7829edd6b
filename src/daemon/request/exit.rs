//! The exit side of a call: admits it, forwards it to an upstream on this host, and passes
//! the answer on.

use super::bounded::BoundedBody;
use super::headers;
use super::log_lines::AdmitLine;
use super::paced::ExpectedAnswer;
use super::payload::{Payload, buffer};
use super::tracked::{InFlightGuard, TrackedBody};
use crate::daemon::dependencies::ExitCall;
use crate::daemon::gates::ended;
use crate::daemon::gates::local::{LocalUpstream, SlotPermit};
use crate::daemon::in_band::{self, Signals};
use crate::daemon::{Daemon, lock, quarantine};
use crate::logging::{DecisionClass, rate_limited_decision};
use cicadashift_core::request::gate::pace::NamedLimit;
use cicadashift_core::request::gate::{Arrival, CallerKey, End, KindKey, Refusal};
use cicadashift_core::request::jitter;
use cicadashift_core::request::link::LargeAnswer;
use cicadashift_core::request::suspects::{QuarantineState, Review, SETTLE_TIME};
use cicadashift_http::body::{self, Body};
use cicadashift_http::client::{Connection, IDLE_TIMEOUT};
use cicadashift_http::exec;
use cicadashift_http::hyper::body::Incoming;
use cicadashift_http::hyper::header::HeaderMap;
use cicadashift_http::hyper::http::response;
use cicadashift_http::hyper::{Request, Response, StatusCode};
use cicadashift_http::keep_alive;
use cicadashift_wire::call::{self, Context};
use http_body_util::BodyExt;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time after which to retry a call whose upstream could not be reached or was replaced: the
/// upstream's next start or report takes at least as long.
const UNREACHED_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Fraction of its keep-alive time in which an idle connection is reused. The keep-alive time
/// is the one that the upstream states, or else [`IDLE_TIMEOUT`]. Without the margin, a
/// request could still be on its way when the upstream closes the connection.
const REUSE_SHARE: f64 = 0.7;

/// Largest answer that is buffered completely before it is passed on, in bytes. Nearly all
/// documents fit, and a handful of them at a time take less than one or two megabytes.
pub const MAX_BUFFERED_ANSWER: usize = 256 << 10;

/// The daemon that a call comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The entry side of this daemon.
    SameDaemon,
    /// Another daemon.
    Mesh,
}

/// Runs a call from an entry daemon at an upstream on this host. Returns the upstream's
/// answer, or a response that says why there is none.
pub async fn handle(
    d: Arc<Daemon>,
    cx: Context,
    req: Request<Body>,
    origin: Origin,
) -> Response<Body> {
    let is_nested = d.dependencies.record_arrival(&d, &cx);
    let run = ExitCall { kind: KindKey(cx.call_kind), priority: cx.priority, is_nested };
    let local = d.gates.get(&cx.instance);
    let mut res = serve(d.clone(), cx, req, origin).await;
    if let Some(local) = local {
        d.dependencies.record_run(&d, &local, run, &mut res);
    }
    res
}

async fn serve(d: Arc<Daemon>, cx: Context, req: Request<Body>, origin: Origin) -> Response<Body> {
    let _in_flight = InFlightGuard::new(&d);
    let arrived = d.clock.now();
    let deadline = arrived + Duration::from_millis(u64::from(cx.deadline_ms));
    let Some(local) = d.gates.get(&cx.instance) else {
        return refuse(&d, &cx, Refusal::Gone, arrived, None);
    };
    if let Some(refusal) = quarantine_refusal(&d, &cx) {
        return refuse(&d, &cx, refusal, arrived, Some(&local));
    }
    if let Some(limit) = cx.limit_thousandths {
        local.adopt_limit(NamedLimit::from_thousandths(limit), arrived);
    }
    let kind = KindKey(cx.call_kind);
    if let Err(refusal) = d.dependencies.admit_at_exit(&d, &local, kind, req.headers()) {
        return refuse(&d, &cx, refusal, arrived, Some(&local));
    }
    let objective = Duration::from_millis(u64::from(cx.objective_ms));
    let transfer_time = match (origin, admit_on_link(&d, &cx, local.service_time(kind), arrived)) {
        (_, Ok(time)) => time,
        // A call of this daemon's own entry side is not refused: its answer leaves by this
        // link even if another host serves it.
        (Origin::SameDaemon, Err(backlog)) => backlog,
        (Origin::Mesh, Err(backlog)) => {
            let retry_after = jitter(backlog, fastrand::u64(..));
            let refusal = Refusal::LinkBusy { retry_after };
            return refuse(&d, &cx, refusal, arrived, Some(&local));
        }
    };
    let arrival = Arrival {
        deadline,
        objective: arrived + objective.saturating_sub(transfer_time),
        priority: cx.priority,
        caller: CallerKey(cx.caller),
        kind,
        max_wait: Duration::from_millis(u64::from(cx.max_slot_wait_ms)),
    };
    let may_redirect = req.headers().contains_key(call::MAY_REDIRECT);
    let permit = match local.admit(arrival, may_redirect, &d.clock).await {
        Ok(permit) => permit,
        Err(refusal) => return refuse(&d, &cx, refusal, arrived, Some(&local)),
    };
    let now = d.clock.now();
    // The process may have been frozen since the admission. A call past its deadline would
    // then take a slot although nobody waits for its answer, so the clock is read again
    // before the call is sent to the upstream.
    if now >= deadline {
        return refuse(&d, &cx, Refusal::TooLate, arrived, Some(&local));
    }
    // Other upstreams may have ended while running the same request since this call was
    // queued.
    if let Some(refusal) = quarantine_refusal(&d, &cx) {
        return refuse(&d, &cx, refusal, arrived, Some(&local));
    }
    if let Err(refusal) = d.rollouts.admit(&d, &local) {
        return refuse(&d, &cx, refusal, arrived, Some(&local));
    }
    if local.is_leaving() {
        d.metrics.incr("upstream.sent_leaving");
    }
    log_admit(&d, &cx, "run", arrived, Some(&local));
    let expected = ExpectedAnswer::new(&d, kind);
    let res = forward(d, cx, req, local, permit, deadline).await;
    drop(expected);
    res
}

/// Returns the refusal of a quarantined call.
///
/// The entry daemon checks the quarantine too, but only the exit daemon can check it
/// immediately before the call is sent to the upstream.
fn quarantine_refusal(d: &Daemon, cx: &Context) -> Option<Refusal> {
    match quarantine::state(d, cx.digest) {
        QuarantineState::Suspected | QuarantineState::Clear => None,
        QuarantineState::Quarantined { left } => match quarantine::review(d, cx.digest) {
            Review::Certain => Some(Refusal::Quarantined { retry_after: left }),
            Review::Settling | Review::Doubtful if cx.is_trial => None,
            Review::Settling | Review::Doubtful => {
                Some(Refusal::Disputed { retry_after: SETTLE_TIME })
            }
        },
    }
}

/// Returns how long a call's answer will take to leave by the host's link, its wait for the
/// link included; zero if no large answer is expected or the link is not shaped.
///
/// # Errors
///
/// Returns how long the link is busy if the answer would be too late, or if the link is
/// busy for longer than the call's `max_link_backlog_ms`.
fn admit_on_link(
    d: &Daemon,
    cx: &Context,
    service_time: Duration,
    now: Instant,
) -> Result<Duration, Duration> {
    let Some(link) = &d.link else { return Ok(Duration::ZERO) };
    let link = lock(link);
    let Some(bytes) = link.large_size(KindKey(cx.call_kind)) else { return Ok(Duration::ZERO) };
    let time_left = Duration::from_millis(u64::from(cx.objective_ms));
    let max_backlog = Duration::from_millis(u64::from(cx.max_link_backlog_ms));
    link.admit_answer(LargeAnswer { bytes, service_time, time_left, max_backlog }, now)
}

async fn forward(
    d: Arc<Daemon>,
    cx: Context,
    mut req: Request<Body>,
    local: Arc<LocalUpstream>,
    permit: SlotPermit,
    deadline: Instant,
) -> Response<Body> {
    let started = d.clock.now();
    let left = deadline - started;
    set_upstream_headers(&d, &cx, &local.instance, req.headers_mut(), left);
    permit.begin(cx.digest);
    let sent = exec::timeout(left, local.pool.send(local.address, req)).await;
    let (res, connection) = match sent {
        Some(Ok(received)) => received,
        Some(Err(err)) if err.is_unsent() => {
            local.record_connect_failure();
            permit.take_back();
            ended::check_after_refused_connection(&d, &local).await;
            permit.end(End::Failed, d.clock.now());
            return not_run(&d, &cx, "unreached", UNREACHED_RETRY_AFTER, started, &local);
        }
        Some(Err(err)) => {
            let has_ended = ended::check_after_broken_call(&d, &local, cx.digest).await;
            permit.end(End::Failed, d.clock.now());
            d.rollouts.observe(&local, KindKey(cx.call_kind), None);
            log::warn!("call {}: upstream {}: {err}", cx.request_id, cx.instance);
            let reason = if has_ended { call::UPSTREAM_ENDED } else { "upstream-broke" };
            return unknown(&d, &cx, StatusCode::BAD_GATEWAY, reason, started, &local);
        }
        None => {
            local.record_timeout(&d);
            permit.end(End::Failed, d.clock.now());
            d.rollouts.observe(&local, KindKey(cx.call_kind), None);
            return unknown(&d, &cx, StatusCode::GATEWAY_TIMEOUT, "deadline", started, &local);
        }
    };
    let passed_on = pass_on_answer(&d, &cx, res, connection, &local, permit, started);
    match exec::timeout(deadline.saturating_duration_since(d.clock.now()), passed_on).await {
        Some(res) => {
            res.map(|body| BoundedBody::new(body, deadline, d.clock.clone()).boxed_unsync())
        }
        None => unknown(&d, &cx, StatusCode::GATEWAY_TIMEOUT, "deadline", started, &local),
    }
}

fn set_upstream_headers(
    d: &Daemon,
    cx: &Context,
    instance: &str,
    head: &mut HeaderMap,
    left: Duration,
) {
    let dialect = &d.dialect;
    headers::strip_cicadashift(head);
    headers::insert(head, &dialect.request_id, &cx.request_id);
    headers::insert(head, &dialect.deadline_ms, &left.as_millis().to_string());
    if let Some(name) = &dialect.caller_service {
        headers::insert(head, name, &cx.caller_service);
    }
    if !cx.organisation.is_empty() {
        headers::insert(head, &dialect.organisation, &cx.organisation);
    }
    match &dialect.expected_instance {
        Some(name) => headers::insert(head, name, instance),
        None => headers::set(head, call::ATTEMPTS, &cx.attempts.to_string()),
    }
}

/// Passes an upstream's answer on; the slot is released when its body has ended.
///
/// Most answers are buffered completely first. If an answer were passed on only as fast as the
/// caller's link takes it, it would occupy a slot of the upstream for as long, and calls
/// would be refused while the upstream is idle.
async fn pass_on_answer(
    d: &Arc<Daemon>,
    cx: &Context,
    res: Response<Incoming>,
    connection: Connection,
    local: &Arc<LocalUpstream>,
    permit: SlotPermit,
    started: Instant,
) -> Response<Body> {
    let (mut head, incoming) = res.into_parts();
    // An upstream may send a second answer, or the answer to an earlier call, on a reused
    // connection, and a caller would get the answer to another caller's request. An answer
    // without this call's id is not passed on, and its connection is closed.
    if !is_of_call(d, cx, &head) {
        permit.end(End::Failed, d.clock.now());
        d.metrics.incr("upstream.wrong_answer");
        return unknown(d, cx, StatusCode::BAD_GATEWAY, "wrong-answer", started, local);
    }
    if head.status != StatusCode::MISDIRECTED_REQUEST {
        in_band::apply(d, local, Signals::of(d, &head.headers), started);
    }
    if let Some(res) = refusal_of_upstream(d, cx, &head, local) {
        permit.end(End::Shed, d.clock.now());
        keep_connection(incoming, connection, local);
        return res;
    }
    headers::strip_cicadashift(&mut head.headers);
    let reuse_time = connection_reuse_time(&head.headers);
    headers::strip_hop_by_hop(&mut head.headers);
    let service_time = d.clock.now().saturating_duration_since(started);
    add_load_report(d, local, &mut head.headers);
    headers::set(&mut head.headers, call::SERVICE_US, &service_time.as_micros().to_string());
    let tracked = {
        let (d, local, digest) = (d.clone(), local.clone(), cx.digest);
        let (kind, has_failed) = (KindKey(cx.call_kind), head.status.is_server_error());
        TrackedBody::new(incoming, move |is_complete| {
            let now = d.clock.now();
            let took = now.saturating_duration_since(started);
            d.metrics.time("upstream.time", took);
            permit.end(if is_complete { End::Answered(took) } else { End::Failed }, now);
            d.rollouts.observe(&local, kind, (is_complete && !has_failed).then_some(took));
            if is_complete {
                quarantine::record_answer(&d, digest);
            }
            if is_complete && let Some(time) = reuse_time {
                connection.return_to(&local.pool, time);
            }
        })
    };
    let body = match buffer(tracked, MAX_BUFFERED_ANSWER, u64::MAX).await {
        Ok(Payload::Buffered(buf)) => {
            observe_size(d, cx, buf.len() as u64);
            body::full(buf)
        }
        Ok(Payload::Streamed(body, _)) => {
            observe_size(d, cx, MAX_BUFFERED_ANSWER as u64);
            body.unwrap_or_else(body::empty)
        }
        Err(err) => {
            log::debug!("call {}: upstream {}: {err}", cx.request_id, cx.instance);
            let has_ended = ended::check_after_broken_call(d, local, cx.digest).await;
            let reason = if has_ended { call::UPSTREAM_ENDED } else { "truncated" };
            return unknown(d, cx, StatusCode::BAD_GATEWAY, reason, started, local);
        }
    };
    let mut res = Response::from_parts(head, body);
    add_link_report(d, res.headers_mut());
    res
}

fn observe_size(d: &Daemon, cx: &Context, bytes: u64) {
    if let Some(link) = &d.link {
        lock(link).observe_size(KindKey(cx.call_kind), bytes);
    }
}

/// Adds the load report of the upstream for the entry daemon. This daemon sees all calls at
/// the upstream, while an entry daemon sees only the few that it sends there itself.
fn add_load_report(d: &Daemon, local: &Arc<LocalUpstream>, head: &mut HeaderMap) {
    let load = local.load();
    headers::set(head, call::LOAD, &(load.running + load.queued).to_string());
    let now = d.clock.now();
    let accepted_per_thousand = local.acceptance_rate(now) * 1e3;
    headers::set(head, call::ACCEPT_RATIO, &(accepted_per_thousand.round() as u64).to_string());
    if let Some(pace) = local.machine_report(now) {
        headers::set(head, call::PACE, &call::pace_to_header(pace));
    }
    if let Some((limit, next_token)) = local.schedule_retry(now) {
        headers::set(head, call::LIMIT_THOUSANDTHS, &limit.thousandths().to_string());
        headers::set(head, call::NEXT_TOKEN_MS, &next_token.as_millis().to_string());
    }
    if local.signalled_leaving() {
        headers::set(head, call::LEAVING_START, &local.start().to_string());
    }
}

/// Adds the time that one more large answer would take to leave by this host's link, for
/// the entry daemon.
fn add_link_report(d: &Daemon, head: &mut HeaderMap) {
    let Some(link) = &d.link else { return };
    let transfer_time = lock(link).estimated_transfer_time(d.clock.now());
    if let Some(time) = transfer_time {
        headers::set(head, call::LINK_MS, &time.as_millis().to_string());
    }
}

/// Returns whether an answer bears what shows that an upstream made it for this call.
fn is_of_call(d: &Daemon, cx: &Context, head: &response::Parts) -> bool {
    let is_stamped = d.dialect.stamp.as_ref().is_none_or(|name| head.headers.contains_key(name));
    (!d.dialect.echoes_request_id || has_request_id(d, cx, &head.headers))
        && (is_stamped || !head.status.is_success())
}

fn has_request_id(d: &Daemon, cx: &Context, head: &HeaderMap) -> bool {
    headers::text(head, d.dialect.request_id.as_str()) == Some(cx.request_id.as_str())
}

/// Returns the answer to the entry daemon if the upstream reports that it did not run the
/// call.
fn refusal_of_upstream(
    d: &Arc<Daemon>,
    cx: &Context,
    head: &response::Parts,
    local: &Arc<LocalUpstream>,
) -> Option<Response<Body>> {
    if headers::text(&head.headers, d.dialect.not_run.as_str())? == call::UNKNOWN {
        return None;
    }
    let now = d.clock.now();
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        let other = d.dialect.instance.as_ref();
        let other = other.and_then(|name| headers::text(&head.headers, name.as_str()));
        log::warn!(
            "upstream {} was replaced by another instance: {}",
            cx.instance,
            other.unwrap_or("unnamed")
        );
        d.gates.handle_misdirected(d, &cx.instance, other);
        return Some(not_run(d, cx, "misdirected", UNREACHED_RETRY_AFTER, now, local));
    }
    d.metrics.incr("upstream.shed");
    Some(not_run(d, cx, "shed", local.load().mean, now, local))
}

/// Reads the body of a refusal, so that its connection can be reused.
fn keep_connection(incoming: Incoming, connection: Connection, local: &Arc<LocalUpstream>) {
    let local = local.clone();
    exec::spawn(async move {
        if cicadashift_http::body::read(incoming, MAX_REFUSAL_BODY).await.is_ok() {
            connection.return_to(&local.pool, IDLE_TIMEOUT);
        }
    })
    .detach();
}

/// Maximum number of bytes of a refusal's body that are read to reuse its connection.
const MAX_REFUSAL_BODY: usize = 4096;

/// Returns how long an upstream's connection may be reused, or `None` if the upstream
/// is about to close it.
fn connection_reuse_time(head: &HeaderMap) -> Option<Duration> {
    let closes = headers::text(head, "connection").is_some_and(|value| value.contains("close"));
    if closes {
        return None;
    }
    let stated = headers::text(head, "keep-alive").and_then(keep_alive::timeout);
    Some(stated.unwrap_or(IDLE_TIMEOUT).mul_f64(REUSE_SHARE))
}

fn refuse(
    d: &Daemon,
    cx: &Context,
    refusal: Refusal,
    arrived: Instant,
    local: Option<&Arc<LocalUpstream>>,
) -> Response<Body> {
    let reason = refusal.to_string();
    log_admit(d, cx, &reason, arrived, local);
    d.metrics.incr("exit.refused");
    if matches!(refusal, Refusal::OverLimit { .. }) {
        d.metrics.incr("upstream.over_limit");
    }
    let mut res = headers::not_run(&reason, refusal.retry_after(), false);
    if let Some(local) = local {
        add_load_report(d, local, res.headers_mut());
    }
    add_link_report(d, res.headers_mut());
    res
}

fn not_run(
    d: &Daemon,
    cx: &Context,
    reason: &str,
    retry_after: Duration,
    started: Instant,
    local: &Arc<LocalUpstream>,
) -> Response<Body> {
    log_admit(d, cx, reason, started, Some(local));
    let mut res = headers::not_run(reason, retry_after, false);
    add_load_report(d, local, res.headers_mut());
    res
}

fn unknown(
    d: &Daemon,
    cx: &Context,
    status: StatusCode,
    reason: &str,
    started: Instant,
    local: &Arc<LocalUpstream>,
) -> Response<Body> {
    log_admit(d, cx, reason, started, Some(local));
    headers::unknown(status, reason)
}

fn log_admit(
    d: &Daemon,
    cx: &Context,
    result: &str,
    since: Instant,
    local: Option<&Arc<LocalUpstream>>,
) {
    let load = local.map(|local| local.load()).unwrap_or_default();
    let waited = d.clock.now().saturating_duration_since(since);
    let leaving = local.is_some_and(|local| local.is_leaving());
    let class = match result {
        "run" if !leaving => DecisionClass::Ordinary,
        _ => DecisionClass::FailedAttempt,
    };
    rate_limited_decision(
        class,
        &AdmitLine {
            kind: "admit",
            request: &cx.request_id,
            digest: cx.digest.to_string(),
            version: cx.version,
            upstream: &cx.instance,
            result,
            waited_ms: waited.as_secs_f64() * 1e3,
            running: load.running,
            queued: load.queued,
            mean_ms: load.mean.as_secs_f64() * 1e3,
            leaving,
        },
    );
}
