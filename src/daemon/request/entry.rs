//! The entry side of a call: match, check, hold the body.

use super::attempts;
use super::digest::Asked;
use super::payload::{MAX_BUFFERED, buffer};
use super::sender::{self, Sender};
use super::story::Refuse;
use super::tracked::InFlightGuard;
use super::work::{Work, pick_part};
use super::{headers, paced};
use crate::daemon::Daemon;
use crate::daemon::source::MAX_CALLER_IDLE;
use cicadashift_core::config::Route;
use cicadashift_core::config::compile::RoutingTable;
use cicadashift_core::config::organisation::Account;
use cicadashift_core::request::gate::KindKey;
use cicadashift_core::request::jitter;
use cicadashift_core::request::retry::MAX_ATTEMPTS;
use cicadashift_http::ahead::{AnswerTurn, PipelineDelay, Target};
use cicadashift_http::body::{self, Body, BodyError};
use cicadashift_http::exec;
use cicadashift_http::hyper::body::Body as _;
use cicadashift_http::hyper::http::request::Parts;
use cicadashift_http::hyper::{Request, Response, StatusCode, header};
use cicadashift_wire::call;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time to come back given by a daemon that has no configuration yet; a start
/// takes about this long.
const NO_CONFIGURATION_WAIT: Duration = Duration::from_millis(400);
/// Time to come back for an organisation that has sent more than it may; its limit is
/// refilled by the second.
const OVER_QUOTA_WAIT: Duration = Duration::from_secs(1);
/// How long ago the store must have confirmed the configuration for a request
/// without a route to be told so: one watch and a half. A daemon that loses the
/// store in between is unsure at once, or three seconds later if nothing says so.
const SURE_FOR: Duration = Duration::from_secs(15);

/// What a call is given up before its caller does, so that the answer to that is
/// still heard: a way to the caller and back, some 16 ms at most, and our own
/// processing.
const CALLER_MARGIN: Duration = Duration::from_millis(25);

/// Answers one caller's request.
pub async fn handle(d: Arc<Daemon>, peer: SocketAddr, req: Request<Body>) -> Response<Body> {
    let counted = InFlightGuard::new(&d);
    let now = d.clock.now();
    let started = match req.extensions().get::<PipelineDelay>() {
        Some(PipelineDelay(time)) => {
            d.metrics.time("call.held", *time);
            now.checked_sub(*time).unwrap_or(now)
        }
        None => now,
    };
    let mut res = serve(&d, peer, req, started).await;
    d.metrics.time("call.time", d.clock.now().saturating_duration_since(started));
    // Where a stop has begun the connection ends with this answer, so that the
    // caller does not send the next request into a socket that is about to close.
    // Who was refused comes back on a new connection; the old ones would stay
    // unused, thousands of them under overload.
    let refused = res.status() == StatusCode::SERVICE_UNAVAILABLE;
    if d.is_leaving() || (d.platform_adapter.is_some() && refused) {
        headers::set(res.headers_mut(), "connection", "close");
    } else if d.platform_adapter.is_some() {
        let seconds = MAX_CALLER_IDLE.as_secs();
        headers::set(res.headers_mut(), "keep-alive", &format!("timeout={seconds}"));
    }
    paced::pace_answer(&d, res).map(|body| body::with_guard(body, counted))
}

async fn serve(
    d: &Arc<Daemon>,
    peer: SocketAddr,
    req: Request<Body>,
    started: Instant,
) -> Response<Body> {
    let (mut head, incoming) = req.into_parts();
    let request_id = request_id(d, &head);
    let running = d.versions.running();
    let version = running.table.version;
    if version == 0 {
        let wait = jitter(NO_CONFIGURATION_WAIT, fastrand::u64(..));
        return refuse_unrouted(d, &request_id, version, "no-configuration", wait);
    }
    let Some(route) = find_route(&running.table, &head) else {
        return no_route(d, &request_id, version, started);
    };
    let asked_for = Asked::of(&head);
    let sent_by =
        sender::identify(&running.table, &route, &mut head.headers, &d.dialect.organisation);
    let organisation = match sent_by {
        Sender::Anonymous => None,
        Sender::Organisation(account) => Some(account),
        Sender::Unauthenticated => return no_key(d, &request_id, version, started),
    };
    if incoming.size_hint().lower() > route.max_body {
        return headers::plain(StatusCode::PAYLOAD_TOO_LARGE, "body is over the route's limit\n");
    }
    let kind = hash(&(&route.host, &route.prefix));
    let asked = headers::number(&head.headers, d.dialect.deadline_ms.as_str());
    let asked = asked.map(Duration::from_millis);
    let until = asked.map(|asked| started + asked);
    let first_came = first_came(d, kind, until).unwrap_or(started);
    if let Some(account) = &organisation
        && !is_within_quota(d, account, started >= first_came + route.objective(), started)
    {
        if let Some(until) = until {
            d.returning_callers.record_unanswered(KindKey(kind), first_came, until, started);
        }
        return over_quota(d, &request_id, version, &account.name);
    }
    let time = asked.map_or(route.deadline(), |asked| {
        asked.saturating_sub(CALLER_MARGIN).min(route.deadline())
    });
    let left = headers::number(&head.headers, call::ATTEMPTS);
    let most = route.max_attempts.unwrap_or(MAX_ATTEMPTS);
    let allowed = left.map_or(most, |left| left.min(u64::from(most)) as u32);
    let caller = match &organisation {
        Some(account) => account.limit.0,
        None => caller_key(&head, peer),
    };
    headers::strip_ours(&mut head.headers);
    headers::strip_hop_by_hop(&mut head.headers);
    let turn = head.extensions.remove::<AnswerTurn>();
    let mut payload =
        match exec::timeout(time, buffer(incoming, MAX_BUFFERED, route.max_body)).await {
            Some(Ok(payload)) => payload,
            Some(Err(BodyError::TooLong)) => {
                return headers::plain(StatusCode::PAYLOAD_TOO_LARGE, "body is over the limit\n");
            }
            Some(Err(_)) => return headers::plain(StatusCode::BAD_REQUEST, "body is not whole\n"),
            None => return headers::plain(StatusCode::REQUEST_TIMEOUT, "body came too slowly\n"),
        };
    let sender = organisation.as_ref().map_or("", |account| account.name.as_str());
    let digest = asked_for.digest(&d.key, &head, sender, &mut payload);
    let part = pick_part(&route, fastrand::u64(..)).to_string();
    let canaries = d.rollouts.canary_lane_for_call(&part, fastrand::u64(..));
    let (service, without_canaries) = match canaries {
        Some(canaries) => (canaries, Some(part)),
        None => (part, None),
    };
    let repeatable = route.may_repeat(head.method.as_str());
    let priority = match &organisation {
        Some(account) => route.priority.within(account.priority),
        None => route.priority,
    };
    let objective = first_came + route.objective();
    let deadline = d.latest_end(started + time);
    let work = Work {
        request_id,
        digest,
        version,
        route,
        service,
        without_canaries,
        repeatable,
        priority,
        organisation: sender.to_string(),
        caller,
        kind,
        first_came,
        started,
        deadline,
        objective,
        allowed,
        head,
        turn,
    };
    let res = attempts::run(d, work, payload).await;
    if let Some(account) = organisation.filter(|_| headers::is_not_run(res.headers())) {
        d.limits.give_back(account.limit);
    }
    // Whoever gets no answer may come back.
    if let Some(until) = until.filter(|_| res.status().is_server_error()) {
        d.returning_callers.record_unanswered(KindKey(kind), first_came, until, d.clock.now());
    }
    res
}

/// Returns when the caller that waits until a moment first came, if it was sent away.
fn first_came(d: &Daemon, kind: u64, until: Option<Instant>) -> Option<Instant> {
    let until = until.filter(|_| d.settings.load.returning)?;
    d.returning_callers.take_first_arrival(KindKey(kind), until)
}

/// Returns whether a request may be begun before the answers to those before it on
/// its connection have left.
///
/// An answer before it may end the connection, and its caller then sends it again:
/// what may not run twice waits. So does everything once a stop has begun, since the
/// connection is to end.
pub fn may_overlap(d: &Daemon, target: &Target) -> bool {
    if d.is_leaving() || !d.settings.load.overlap {
        return false;
    }
    let running = d.versions.running();
    let host = target.uri.host().or_else(|| target.host.as_ref()?.to_str().ok());
    let method = target.method.as_str();
    let key = running.table.find(host, target.uri.path(), method);
    let route = key.and_then(|key| running.table.route(key));
    route.is_some_and(|route| route.may_repeat(method))
}

/// Tells that there is no route, if that is certain.
///
/// Failure: a daemon that does not run a new version yet meets a request for a
/// route that it adds. Symptom: the caller is told that the route does not
/// exist and never asks again. Where the store has not confirmed the version
/// lately, or a member runs a newer one, the request is refused as not run instead.
fn no_route(d: &Daemon, request: &str, version: u64, now: Instant) -> Response<Body> {
    if !is_sure(d, now) {
        let wait = jitter(NO_CONFIGURATION_WAIT, fastrand::u64(..));
        return refuse_unrouted(d, request, version, "no-route-unconfirmed", wait);
    }
    d.metrics.incr("call.no_route");
    let status = StatusCode::NOT_FOUND;
    log_unrouted(d, request, version, "no-route", status, Duration::ZERO);
    headers::plain(status, "no route for this request\n")
}

/// Tells that no organisation has the request's key, if that is certain.
///
/// Failure: a key is new, or its configuration is not here yet. Symptom: its owner is
/// told that it is wrong, and gives up.
fn no_key(d: &Daemon, request: &str, version: u64, now: Instant) -> Response<Body> {
    if !is_sure(d, now) {
        let wait = jitter(NO_CONFIGURATION_WAIT, fastrand::u64(..));
        return refuse_unrouted(d, request, version, "no-key-unconfirmed", wait);
    }
    d.metrics.incr("call.no_key");
    let status = StatusCode::UNAUTHORIZED;
    log_unrouted(d, request, version, "no-key", status, Duration::ZERO);
    let mut res = headers::plain(status, "no organisation has this key\n");
    headers::set(res.headers_mut(), "www-authenticate", "Bearer");
    res
}

/// Returns whether an organisation may send a request now, which counts it.
fn is_within_quota(d: &Daemon, account: &Account, is_late: bool, now: Instant) -> bool {
    account.quota.is_none() || d.limits.admit(account.limit, is_late, now, fastrand::u64(..))
}

/// Tells that an organisation has sent more than it may.
fn over_quota(d: &Daemon, request: &str, version: u64, organisation: &str) -> Response<Body> {
    d.metrics.incr("call.over_quota");
    let wait = jitter(OVER_QUOTA_WAIT, fastrand::u64(..));
    let status = StatusCode::TOO_MANY_REQUESTS;
    crate::logging::decision(&Refuse {
        organisation,
        ..unrouted(d, request, version, "over-quota", status, wait)
    });
    let mut res = headers::not_run("over-quota", wait, d.dialect.fractional_retry_after);
    *res.status_mut() = status;
    res
}

/// Returns whether the version in force is certainly the newest.
fn is_sure(d: &Daemon, now: Instant) -> bool {
    d.platform_adapter.is_none() || d.versions.document.is_current(now, SURE_FOR)
}

fn refuse_unrouted(
    d: &Daemon,
    request: &str,
    version: u64,
    why: &str,
    wait: Duration,
) -> Response<Body> {
    d.metrics.incr("call.refused");
    log_unrouted(d, request, version, why, StatusCode::SERVICE_UNAVAILABLE, wait);
    headers::not_run(why, wait, d.dialect.fractional_retry_after)
}

fn log_unrouted(
    d: &Daemon,
    request: &str,
    version: u64,
    why: &str,
    status: StatusCode,
    wait: Duration,
) {
    crate::logging::decision(&unrouted(d, request, version, why, status, wait));
}

fn unrouted<'a>(
    d: &Daemon,
    request: &'a str,
    version: u64,
    why: &'a str,
    status: StatusCode,
    wait: Duration,
) -> Refuse<'a> {
    Refuse {
        kind: "refuse",
        request,
        organisation: "",
        version,
        service: "",
        why,
        status: status.as_u16(),
        took_ms: 0,
        retry_after_ms: wait.as_millis() as u64,
        config_age_ms: d.versions.document.confirmed_age_ms(d.clock.now()),
    }
}

fn find_route(table: &RoutingTable, head: &Parts) -> Option<Arc<Route>> {
    let host = head.uri.host().or_else(|| headers::text(&head.headers, header::HOST.as_str()));
    let key = table.find(host, head.uri.path(), head.method.as_str())?;
    table.route(key).cloned()
}

fn request_id(d: &Daemon, head: &Parts) -> String {
    headers::text(&head.headers, d.dialect.request_id.as_str())
        .filter(|id| (1..=128).contains(&id.len()))
        .map_or_else(|| format!("{:016x}", fastrand::u64(..)), str::to_string)
}

/// Names the caller for fairness: as it names itself, or by its address.
fn caller_key(head: &Parts, peer: SocketAddr) -> u64 {
    match headers::text(&head.headers, call::CALLER) {
        Some(name) => hash(&name),
        None => hash(&peer.ip()),
    }
}

fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
