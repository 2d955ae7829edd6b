//! The exit side of a call: admit, forward to the upstream on this host, answer.

use super::headers;
use super::paced::Expected;
use super::payload::{Payload, hold};
use super::story::AdmitLine;
use super::tracked::{Counted, Tracked};
use crate::daemon::gates::ended;
use crate::daemon::gates::local::{Local, Pass};
use crate::daemon::in_band::{self, Signals};
use crate::daemon::{Daemon, lock, quarantine};
use cicadashift_core::request::gate::pace::NamedLimit;
use cicadashift_core::request::gate::{Arrival, CallerKey, End, KindKey, Refusal};
use cicadashift_core::request::jitter;
use cicadashift_core::request::link::LargeAnswer;
use cicadashift_core::request::suspects::{QuarantineState, Review, SETTLE_TIME};
use cicadashift_http::body::{self, Body};
use cicadashift_http::client::{Connection, IDLE_TIME};
use cicadashift_http::exec;
use cicadashift_http::hyper::body::Incoming;
use cicadashift_http::hyper::header::HeaderMap;
use cicadashift_http::hyper::{Request, Response, StatusCode};
use cicadashift_wire::call::{self, Context};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time to come back after the upstream could not be reached: its next start or
/// report takes at least as long.
const UNREACHED_WAIT: Duration = Duration::from_millis(50);
/// Share of the time for which an upstream says it keeps idle connections that
/// one is used again. The rest is for what is under way.
const KEEP_SHARE: f64 = 0.7;

/// Largest answer that is read whole before it is passed on, in bytes. Nearly all
/// documents fit; a handful at a time are less than a megabyte or two.
const HELD_BYTES: usize = 256 << 10;

/// Where a call comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The entry side of this daemon.
    Here,
    /// Another daemon.
    Mesh,
}

/// Answers one forwarded call.
pub async fn handle(
    d: Arc<Daemon>,
    cx: Context,
    req: Request<Body>,
    origin: Origin,
) -> Response<Body> {
    let _counted = Counted::new(&d);
    let arrived = d.clock.now();
    let deadline = arrived + Duration::from_millis(u64::from(cx.deadline_ms));
    let Some(local) = d.gates.get(&cx.instance) else {
        return refuse(&d, &cx, Refusal::Gone, arrived, None);
    };
    if let Some(refusal) = quarantined(&d, &cx) {
        return refuse(&d, &cx, refusal, arrived, Some(&local));
    }
    if let Some(limit) = cx.limit_thousandths {
        local.adopt_limit(NamedLimit::from_thousandths(limit), arrived);
    }
    let kind = KindKey(cx.call_kind);
    let objective = Duration::from_millis(u64::from(cx.objective_ms));
    let on_link = match (origin, time_on_link(&d, &cx, local.time_of(kind), arrived)) {
        (_, Ok(time)) => time,
        // The answer leaves by this link wherever it comes from.
        (Origin::Here, Err(backlog)) => backlog,
        (Origin::Mesh, Err(backlog)) => {
            let retry_after = jitter(backlog, fastrand::u64(..));
            let refusal = Refusal::LinkBusy { retry_after };
            return refuse(&d, &cx, refusal, arrived, Some(&local));
        }
    };
    let arrival = Arrival {
        deadline,
        objective: arrived + objective.saturating_sub(on_link),
        priority: cx.priority,
        caller: CallerKey(cx.caller),
        kind,
        max_wait: Duration::from_millis(u64::from(cx.wait_most_ms)),
    };
    let pass = match local.admit(arrival, &d.clock).await {
        Ok(pass) => pass,
        Err(refusal) => return refuse(&d, &cx, refusal, arrived, Some(&local)),
    };
    let now = d.clock.now();
    // Failure: the process is frozen between admission and here. Symptom: work
    // whose answer nobody waits for any more takes a slot. The clock is read
    // again at the last moment before the upstream is involved.
    if now >= deadline {
        return refuse(&d, &cx, Refusal::TooLate, arrived, Some(&local));
    }
    // While it waited other upstreams may have ended under it.
    if let Some(refusal) = quarantined(&d, &cx) {
        return refuse(&d, &cx, refusal, arrived, Some(&local));
    }
    if let Err(refusal) = d.rollouts.admit(&d, &local) {
        return refuse(&d, &cx, refusal, arrived, Some(&local));
    }
    log_admit(&d, &cx, "run", arrived, Some(&local));
    let expected = Expected::new(&d, kind);
    let res = forward(d, cx, req, local, pass, deadline).await;
    drop(expected);
    res
}

/// Returns the refusal of a call that ends upstreams.
///
/// Its entry daemon asks too; only this one can be sure of the moment of the send.
fn quarantined(d: &Daemon, cx: &Context) -> Option<Refusal> {
    match quarantine::standing(d, cx.digest) {
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

/// Returns how long a call's answer will take on the host's link.
///
/// # Errors
///
/// Returns how long the link is busy, where the answer would be too late.
fn time_on_link(
    d: &Daemon,
    cx: &Context,
    service_time: Duration,
    now: Instant,
) -> Result<Duration, Duration> {
    let Some(link) = &d.link else { return Ok(Duration::ZERO) };
    let link = lock(link);
    let Some(bytes) = link.large_size(KindKey(cx.call_kind)) else { return Ok(Duration::ZERO) };
    let time_left = Duration::from_millis(u64::from(cx.objective_ms));
    let max_backlog = Duration::from_millis(u64::from(cx.link_most_ms));
    link.admit_answer(LargeAnswer { bytes, service_time, time_left, max_backlog }, now)
}

async fn forward(
    d: Arc<Daemon>,
    cx: Context,
    mut req: Request<Body>,
    local: Arc<Local>,
    pass: Pass,
    deadline: Instant,
) -> Response<Body> {
    let started = d.clock.now();
    let left = deadline - started;
    set_upstream_headers(&d, &cx, &local.instance, req.headers_mut(), left);
    pass.begin(cx.digest);
    let sent = exec::timeout(left, local.pool.send(local.address, req)).await;
    let (res, connection) = match sent {
        Some(Ok(answered)) => answered,
        Some(Err(err)) if err.is_unsent() => {
            local.unreached();
            ended::after_refusal(&d, &local).await;
            pass.end(End::Failed, d.clock.now());
            return not_run(&d, &cx, "unreached", UNREACHED_WAIT, started, &local);
        }
        Some(Err(err)) => {
            let has_ended = ended::after_break(&d, &local, cx.digest).await;
            pass.end(End::Failed, d.clock.now());
            d.rollouts.observe(&local, KindKey(cx.call_kind), None);
            log::warn!("call {}: upstream {}: {err}", cx.request_id, cx.instance);
            let reason = if has_ended { call::UPSTREAM_ENDED } else { "upstream-broke" };
            return unknown(&d, &cx, StatusCode::BAD_GATEWAY, reason, started, &local);
        }
        None => {
            local.silent(&d);
            pass.end(End::Failed, d.clock.now());
            d.rollouts.observe(&local, KindKey(cx.call_kind), None);
            return unknown(&d, &cx, StatusCode::GATEWAY_TIMEOUT, "deadline", started, &local);
        }
    };
    let answered = answer(&d, &cx, res, connection, &local, pass, started);
    match exec::timeout(deadline.saturating_duration_since(d.clock.now()), answered).await {
        Some(res) => res,
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

/// Passes an answer on; the slot is given back when its body has ended.
///
/// Most answers are read whole first. Failure: an answer is passed on as fast as
/// the caller's link takes it. Symptom: a slot of the upstream is held for as
/// long, and calls are refused while the upstream is idle.
async fn answer(
    d: &Arc<Daemon>,
    cx: &Context,
    res: Response<Incoming>,
    connection: Connection,
    local: &Arc<Local>,
    pass: Pass,
    started: Instant,
) -> Response<Body> {
    let (mut head, incoming) = res.into_parts();
    // Failure: an upstream sends a second answer, or one to an earlier call, on
    // a connection that is used again. Symptom: a caller gets the answer to
    // somebody else's request. An answer without this call's id is not passed
    // on, and its connection is closed with it.
    if d.dialect.echoes_request_id && !is_own(d, cx, &head.headers) {
        pass.end(End::Failed, d.clock.now());
        d.metrics.incr("upstream.wrong_answer");
        return unknown(d, cx, StatusCode::BAD_GATEWAY, "wrong-answer", started, local);
    }
    if head.status != StatusCode::MISDIRECTED_REQUEST {
        in_band::apply(d, local, Signals::of(d, &head.headers), started);
    }
    if let Some(res) = refusal_of_upstream(d, cx, &head, local) {
        pass.end(End::Shed, d.clock.now());
        keep_when_whole(incoming, connection, local);
        return res;
    }
    headers::strip_cicadashift(&mut head.headers);
    let idle = idle_time(&head.headers);
    headers::strip_hop_by_hop(&mut head.headers);
    let service = d.clock.now().saturating_duration_since(started);
    tell_upstream(d, local, &mut head.headers);
    headers::set(&mut head.headers, call::SERVICE_US, &service.as_micros().to_string());
    let whole = {
        let (d, local, call) = (d.clone(), local.clone(), cx.digest);
        let (kind, has_failed) = (KindKey(cx.call_kind), head.status.is_server_error());
        Tracked::new(incoming, move |whole| {
            let now = d.clock.now();
            let took = now.saturating_duration_since(started);
            d.metrics.time("upstream.time", took);
            pass.end(if whole { End::Answered(took) } else { End::Failed }, now);
            d.rollouts.observe(&local, kind, (whole && !has_failed).then_some(took));
            if whole {
                quarantine::ran_well(&d, call);
            }
            if whole && let Some(idle) = idle {
                connection.keep(&local.pool, idle);
            }
        })
    };
    let body = match hold(whole, HELD_BYTES, u64::MAX).await {
        Ok(Payload::Held(buf)) => {
            observe_size(d, cx, buf.len() as u64);
            body::full(buf)
        }
        Ok(Payload::Streamed(body, _)) => {
            observe_size(d, cx, HELD_BYTES as u64);
            body.unwrap_or_else(body::empty)
        }
        Err(err) => {
            log::debug!("call {}: upstream {}: {err}", cx.request_id, cx.instance);
            let has_ended = ended::after_break(d, local, cx.digest).await;
            let reason = if has_ended { call::UPSTREAM_ENDED } else { "truncated" };
            return unknown(d, cx, StatusCode::BAD_GATEWAY, reason, started, local);
        }
    };
    let mut res = Response::from_parts(head, body);
    tell_link(d, res.headers_mut());
    res
}

fn observe_size(d: &Daemon, cx: &Context, bytes: u64) {
    if let Some(link) = &d.link {
        lock(link).observe_size(KindKey(cx.call_kind), bytes);
    }
}

/// Tells the entry daemon how the upstream is. What this daemon saw of all its calls is
/// worth more than what an entry daemon learns from the few that it sends there.
fn tell_upstream(d: &Daemon, local: &Arc<Local>, head: &mut HeaderMap) {
    let load = local.load();
    headers::set(head, call::LOAD, &(load.running + load.queued).to_string());
    let now = d.clock.now();
    let accepts = local.accepts(now) * 1e3;
    headers::set(head, call::ACCEPTS, &(accepts.round() as u64).to_string());
    if let Some((limit, next)) = local.schedule_retry(now) {
        headers::set(head, call::LIMIT_THOUSANDTHS, &limit.thousandths().to_string());
        headers::set(head, call::NEXT_TOKEN_MS, &next.as_millis().to_string());
    }
    if local.signalled_leaving() {
        headers::set(head, call::LEAVING_START, &local.start().to_string());
    }
}

/// Tells the entry daemon how busy this host's link is.
fn tell_link(d: &Daemon, head: &mut HeaderMap) {
    let Some(link) = &d.link else { return };
    let wait = lock(link).estimated_transfer_time(d.clock.now());
    if let Some(wait) = wait {
        headers::set(head, call::LINK_MS, &wait.as_millis().to_string());
    }
}

fn is_own(d: &Daemon, cx: &Context, head: &HeaderMap) -> bool {
    headers::text(head, d.dialect.request_id.as_str()) == Some(cx.request_id.as_str())
}

/// Returns the answer to the entry daemon where the upstream says that it did
/// not run the call.
fn refusal_of_upstream(
    d: &Arc<Daemon>,
    cx: &Context,
    head: &cicadashift_http::hyper::http::response::Parts,
    local: &Arc<Local>,
) -> Option<Response<Body>> {
    if headers::text(&head.headers, d.dialect.not_run.as_str())? == call::UNKNOWN {
        return None;
    }
    let now = d.clock.now();
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        let other = d.dialect.instance.as_ref();
        let other = other.and_then(|name| headers::text(&head.headers, name.as_str()));
        log::warn!("upstream {} is another one now: {}", cx.instance, other.unwrap_or("unnamed"));
        d.gates.misdirected(d, &cx.instance, other);
        return Some(not_run(d, cx, "misdirected", UNREACHED_WAIT, now, local));
    }
    d.metrics.incr("upstream.shed");
    Some(not_run(d, cx, "shed", local.load().mean, now, local))
}

/// Reads the rest of a refusal so that its connection can be used again.
fn keep_when_whole(incoming: Incoming, connection: Connection, local: &Arc<Local>) {
    let local = local.clone();
    exec::spawn(async move {
        if cicadashift_http::body::read(incoming, REFUSAL_BYTES).await.is_ok() {
            connection.keep(&local.pool, IDLE_TIME);
        }
    })
    .detach();
}

/// Most bytes of a refusal's body that are read to keep its connection.
const REFUSAL_BYTES: usize = 4096;

/// Returns for how long an upstream's connection may be used again; `None` where
/// it is about to close it.
fn idle_time(head: &HeaderMap) -> Option<Duration> {
    let closes = headers::text(head, "connection").is_some_and(|value| value.contains("close"));
    if closes {
        return None;
    }
    let stated = headers::text(head, "keep-alive").and_then(|value| {
        let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        seconds.parse::<u64>().ok()
    });
    let time = stated.map_or(IDLE_TIME, Duration::from_secs);
    Some(time.mul_f64(KEEP_SHARE))
}

fn refuse(
    d: &Daemon,
    cx: &Context,
    refusal: Refusal,
    arrived: Instant,
    local: Option<&Arc<Local>>,
) -> Response<Body> {
    let reason = refusal.to_string();
    log_admit(d, cx, &reason, arrived, local);
    d.metrics.incr("exit.refused");
    if matches!(refusal, Refusal::OverLimit { .. }) {
        d.metrics.incr("upstream.over_limit");
    }
    let mut res = headers::not_run(&reason, refusal.retry_after(), false);
    if let Some(local) = local {
        tell_upstream(d, local, res.headers_mut());
    }
    tell_link(d, res.headers_mut());
    res
}

fn not_run(
    d: &Daemon,
    cx: &Context,
    reason: &str,
    wait: Duration,
    started: Instant,
    local: &Arc<Local>,
) -> Response<Body> {
    log_admit(d, cx, reason, started, Some(local));
    let mut res = headers::not_run(reason, wait, false);
    tell_upstream(d, local, res.headers_mut());
    res
}

fn unknown(
    d: &Daemon,
    cx: &Context,
    status: StatusCode,
    reason: &str,
    started: Instant,
    local: &Arc<Local>,
) -> Response<Body> {
    log_admit(d, cx, reason, started, Some(local));
    headers::unknown(status, reason)
}

fn log_admit(d: &Daemon, cx: &Context, result: &str, since: Instant, local: Option<&Arc<Local>>) {
    let load = local.map(|local| local.load()).unwrap_or_default();
    let waited = d.clock.now().saturating_duration_since(since);
    crate::logging::ordinary(
        result == "run",
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
        },
    );
}
