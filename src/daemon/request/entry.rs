//! The entry side of a call: matches the route, checks key and quota, buffers the body.

use super::attempts;
use super::digest::DigestInput;
use super::log_lines::RefuseLine;
use super::payload::{MAX_BUFFERED, buffer};
use super::refuse::refuse;
use super::sender::{self, Sender};
use super::tracked::InFlightGuard;
use super::work::{RoutedCall, pick_part};
use super::{headers, paced};
use crate::daemon::Daemon;
use crate::daemon::services::Service;
use crate::daemon::source::MAX_CALLER_IDLE;
use crate::daemon::throttles::THROTTLED;
use crate::logging::{DecisionClass, rate_limited_decision};
use cicadashift_core::config::Route;
use cicadashift_core::config::compile::RoutingTable;
use cicadashift_core::config::organisation::Account;
use cicadashift_core::request::gate::KindKey;
use cicadashift_core::request::jitter;
use cicadashift_core::request::retry::MAX_ATTEMPTS;
use cicadashift_http::ahead::{AnswerTurn, PipelineDelay, Place, Target};
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

/// `Retry-After` of a daemon that has no configuration yet; a start takes about this long.
const NO_CONFIGURATION_RETRY_AFTER: Duration = Duration::from_millis(400);
/// `Retry-After` for an organisation that is over its quota; quotas are rates per second.
const OVER_QUOTA_RETRY_AFTER: Duration = Duration::from_secs(1);
/// How recently the store must have confirmed that the configuration is the newest before
/// a caller gets the answer that its route or key does not exist: one and a half times the
/// length of a watch. A daemon that loses the store in between drops the confirmation at
/// once, or after three seconds if the store falls silent without an error.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(15);

/// Reason of a refusal of a call that a planned stop might cut.
const STOPPING: &str = "stopping";
/// `Retry-After` of such a call; a stop and a start take longer, another host answers at once.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(400);

/// How long before its caller's deadline a call is given up, so that the error response
/// still reaches the caller: a round trip to the caller, at most about 16 ms, and the
/// processing in this daemon.
const CALLER_MARGIN: Duration = Duration::from_millis(25);

/// Answers one caller's request.
pub async fn handle(d: Arc<Daemon>, peer: SocketAddr, req: Request<Body>) -> Response<Body> {
    let in_flight = InFlightGuard::new(&d);
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
    // During a stop the connection is closed after this answer, so that the caller
    // does not send its next request into a socket that is about to close.
    // Refused callers come back on a new connection; under overload thousands of the
    // old connections would stay open unused.
    let refused = res.status() == StatusCode::SERVICE_UNAVAILABLE;
    if d.is_leaving() || (d.platform_adapter.is_some() && refused) {
        headers::set(res.headers_mut(), "connection", "close");
    } else if d.platform_adapter.is_some() {
        let seconds = MAX_CALLER_IDLE.as_secs();
        headers::set(res.headers_mut(), "keep-alive", &format!("timeout={seconds}"));
    }
    paced::pace_answer(&d, res).map(|body| body::with_guard(body, in_flight))
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
        let retry_after = jitter(NO_CONFIGURATION_RETRY_AFTER, fastrand::u64(..));
        return refuse_unrouted(d, &request_id, version, "no-configuration", retry_after);
    }
    let Some(route) = find_route(&running.table, &head) else {
        return no_route(d, &request_id, version, started);
    };
    let digest_input = DigestInput::of(&head);
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
    let kind = kind_of(&route).0;
    let caller_timeout = headers::number(&head.headers, d.dialect.deadline_ms.as_str());
    let caller_timeout = caller_timeout.map(Duration::from_millis);
    let caller_deadline = caller_timeout.map(|caller_timeout| started + caller_timeout);
    let first_arrival = first_arrival(d, kind, caller_deadline).unwrap_or(started);
    let priority = match &organisation {
        Some(account) => route.priority.within(account.priority),
        None => route.priority,
    };
    if may_throttle(d, &running.table, &route)
        && let Err(wait) = d.throttles.admit(KindKey(kind), priority, started)
    {
        expect_return(d, kind, first_arrival, caller_deadline);
        let res = refuse_throttled(d, &request_id, &route, version, wait);
        d.dependencies.record_entered(d, KindKey(kind), &res);
        return res;
    }
    if let Some(account) = &organisation
        && !is_within_quota(d, account, started >= first_arrival + route.objective(), started)
    {
        expect_return(d, kind, first_arrival, caller_deadline);
        return over_quota(d, &request_id, version, &account.name);
    }
    let timeout = caller_timeout.map_or(route.deadline(), |caller_timeout| {
        caller_timeout.saturating_sub(CALLER_MARGIN).min(route.deadline())
    });
    let attempts_left = headers::number(&head.headers, call::ATTEMPTS);
    let route_max = route.max_attempts.unwrap_or(MAX_ATTEMPTS);
    let max_attempts =
        attempts_left.map_or(route_max, |left| left.min(u64::from(route_max)) as u32);
    let caller = match &organisation {
        Some(account) => account.limit.0,
        None => caller_key(&head, peer),
    };
    headers::strip_cicadashift(&mut head.headers);
    headers::strip_hop_by_hop(&mut head.headers);
    let turn = head.extensions.remove::<AnswerTurn>();
    let place = head.extensions.remove::<Place>();
    let mut payload =
        match exec::timeout(timeout, buffer(incoming, MAX_BUFFERED, route.max_body)).await {
            Some(Ok(payload)) => payload,
            Some(Err(BodyError::TooLong)) => {
                return headers::plain(StatusCode::PAYLOAD_TOO_LARGE, "body is over the limit\n");
            }
            Some(Err(_)) => return headers::plain(StatusCode::BAD_REQUEST, "body is not whole\n"),
            None => return headers::plain(StatusCode::REQUEST_TIMEOUT, "body came too slowly\n"),
        };
    let sender_name = organisation.as_ref().map_or("", |account| account.name.as_str());
    let digest = digest_input.digest(&d.key, &head, sender_name, &mut payload);
    let part = pick_part(&route, fastrand::u64(..)).to_string();
    let canaries = d.rollouts.canary_lane_for_call(&part, fastrand::u64(..));
    let (service, stable_service) = match canaries {
        Some(canaries) => (canaries, Some(part)),
        None => (part, None),
    };
    let repeatable = route.may_repeat(head.method.as_str());
    let objective = first_arrival + route.objective();
    let deadline = d.latest_end(started + timeout);
    let call = RoutedCall {
        request_id,
        digest,
        version,
        route,
        service,
        stable_service,
        repeatable,
        priority,
        organisation: sender_name.to_string(),
        caller,
        kind,
        first_arrival,
        started,
        deadline,
        objective,
        is_admitted: false,
        max_attempts,
        head,
        turn,
        place,
    };
    // A call that may not be repeated, and that the end of a stop may cut, would be lost.
    let res = match !call.repeatable && d.would_cut(started + timeout) {
        true => refuse(d, &call, &[], STOPPING, jitter(STOPPING_RETRY_AFTER, fastrand::u64(..))),
        false => attempts::run(d, call, payload).await,
    };
    d.dependencies.record_entered(d, KindKey(kind), &res);
    if let Some(account) = organisation.filter(|_| headers::is_not_run(res.headers())) {
        d.limits.give_back(account.limit);
    }
    d.throttles.record(KindKey(kind), priority, res.headers(), d.clock.now());
    // A caller that got no answer may send the call again.
    if res.status().is_server_error() {
        expect_return(d, kind, first_arrival, caller_deadline);
    }
    res
}

/// Records that the caller of an unanswered call may send it again.
fn expect_return(d: &Daemon, kind: u64, first_arrival: Instant, deadline: Option<Instant>) {
    if let Some(deadline) = deadline {
        let now = d.clock.now();
        d.returning_callers.record_unanswered(KindKey(kind), first_arrival, deadline, now);
    }
}

/// Returns when a call with this deadline first arrived, if its caller got no answer then
/// and has now sent it again.
fn first_arrival(d: &Daemon, kind: u64, until: Option<Instant>) -> Option<Instant> {
    let until = until.filter(|_| d.settings.load.returning)?;
    d.returning_callers.take_first_arrival(KindKey(kind), until)
}

/// Returns whether a request may be started before the answers to the earlier requests on
/// its connection have been sent.
///
/// An earlier answer may close the connection, and the caller then sends the later
/// requests again. So a request that may not run twice waits for its turn. Nothing is
/// started behind an answer that is probably large, and would have to be held until it is
/// whole; see [`super::held`]. Once a stop has begun every request waits, since the connection
/// is about to be closed.
pub fn may_overlap(d: &Daemon, target: &Target) -> bool {
    if d.is_leaving() || !d.settings.load.overlap {
        return false;
    }
    let running = d.versions.running();
    let host = target.uri.host().or_else(|| target.host.as_ref()?.to_str().ok());
    let method = target.method.as_str();
    let key = running.table.find(host, target.uri.path(), method);
    let route = key.and_then(|key| running.table.route(key));
    route.is_some_and(|route| {
        route.may_repeat(method) && !d.large_answers.contains(kind_of(route), d.clock.now())
    })
}

/// Responds that no route matches, if the configuration is certainly the newest.
///
/// Failure: a daemon that does not run a new version yet gets a request for a route that
/// this version adds. Symptom: the caller gets a 404 and never tries again. Where the
/// store has not confirmed the version lately, or a member runs a newer one, the request
/// is refused as not run instead.
fn no_route(d: &Daemon, request: &str, version: u64, now: Instant) -> Response<Body> {
    if !is_config_current(d, now) {
        let retry_after = jitter(NO_CONFIGURATION_RETRY_AFTER, fastrand::u64(..));
        return refuse_unrouted(d, request, version, "no-route-unconfirmed", retry_after);
    }
    d.metrics.incr("call.no_route");
    let status = StatusCode::NOT_FOUND;
    log_unrouted(d, request, version, "no-route", status, Duration::ZERO);
    headers::plain(status, "no route for this request\n")
}

/// Responds that no organisation has the request's key, if the configuration is certainly
/// the newest.
///
/// Failure: the key is new and this daemon does not run its configuration yet. Symptom:
/// the key's owner gets a 401 and gives up. As with [`no_route`], an unconfirmed
/// configuration leads to a refusal as not run.
fn no_key(d: &Daemon, request: &str, version: u64, now: Instant) -> Response<Body> {
    if !is_config_current(d, now) {
        let retry_after = jitter(NO_CONFIGURATION_RETRY_AFTER, fastrand::u64(..));
        return refuse_unrouted(d, request, version, "no-key-unconfirmed", retry_after);
    }
    d.metrics.incr("call.no_key");
    let status = StatusCode::UNAUTHORIZED;
    log_unrouted(d, request, version, "no-key", status, Duration::ZERO);
    let mut res = headers::plain(status, "no organisation has this key\n");
    headers::set(res.headers_mut(), "www-authenticate", "Bearer");
    res
}

/// Returns whether an organisation is within its quota, and counts the request if so.
fn is_within_quota(d: &Daemon, account: &Account, is_late: bool, now: Instant) -> bool {
    let Some(quota) = account.quota else { return true };
    d.limits.admit((account.limit, quota), is_late, now, fastrand::u64(..))
}

/// Responds that an organisation is over its quota.
fn over_quota(d: &Daemon, request: &str, version: u64, organisation: &str) -> Response<Body> {
    d.metrics.incr("call.over_quota");
    let retry_after = jitter(OVER_QUOTA_RETRY_AFTER, fastrand::u64(..));
    let status = StatusCode::TOO_MANY_REQUESTS;
    let line = RefuseLine {
        organisation,
        ..refuse_line(d, request, version, "over-quota", status, retry_after)
    };
    rate_limited_decision(DecisionClass::Refusal, &line);
    let mut res = headers::not_run("over-quota", retry_after, d.dialect.fractional_retry_after);
    *res.status_mut() = status;
    res
}

/// Returns whether calls of a route are throttled here: where organisations compete for the
/// upstreams, or these report the pace of their machines.
fn may_throttle(d: &Daemon, table: &RoutingTable, route: &Route) -> bool {
    let reports_pace = |service: &mut Service| service.picker.reports_pace();
    d.settings.load.throttle
        && (table.organisations.is_some()
            || d.services.with(&route.service, reports_pace).unwrap_or(false))
}

/// Refuses a call of a kind that hosts have no room for; see
/// [`cicadashift_core::request::throttle`].
fn refuse_throttled(
    d: &Daemon,
    request: &str,
    route: &Route,
    version: u64,
    wait: Duration,
) -> Response<Body> {
    d.metrics.incr("call.throttled");
    let retry_after = jitter(wait, fastrand::u64(..));
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let line = RefuseLine {
        service: &route.service,
        ..refuse_line(d, request, version, THROTTLED, status, retry_after)
    };
    rate_limited_decision(DecisionClass::Refusal, &line);
    headers::not_run(THROTTLED, retry_after, d.dialect.fractional_retry_after)
}

/// Returns whether the version in force is certainly the newest. With the product's own
/// platform interface, which has no adapter, it is assumed to be.
fn is_config_current(d: &Daemon, now: Instant) -> bool {
    d.platform_adapter.is_none() || d.versions.document.is_current(now, MAX_CONFIRMATION_AGE)
}

fn refuse_unrouted(
    d: &Daemon,
    request: &str,
    version: u64,
    why: &str,
    retry_after: Duration,
) -> Response<Body> {
    d.metrics.incr("call.refused");
    log_unrouted(d, request, version, why, StatusCode::SERVICE_UNAVAILABLE, retry_after);
    headers::not_run(why, retry_after, d.dialect.fractional_retry_after)
}

fn log_unrouted(
    d: &Daemon,
    request: &str,
    version: u64,
    why: &str,
    status: StatusCode,
    retry_after: Duration,
) {
    let line = refuse_line(d, request, version, why, status, retry_after);
    rate_limited_decision(DecisionClass::Refusal, &line);
}

fn refuse_line<'a>(
    d: &Daemon,
    request: &'a str,
    version: u64,
    why: &'a str,
    status: StatusCode,
    retry_after: Duration,
) -> RefuseLine<'a> {
    RefuseLine {
        kind: "refuse",
        request,
        organisation: "",
        version,
        service: "",
        why,
        status: status.as_u16(),
        tried: &[],
        took_ms: 0,
        retry_after_ms: retry_after.as_millis() as u64,
        config_age_ms: d.versions.document.confirmed_age_ms(d.clock.now()),
    }
}

fn find_route(table: &RoutingTable, head: &Parts) -> Option<Arc<Route>> {
    let host = head.uri.host().or_else(|| headers::text(&head.headers, header::HOST.as_str()));
    let key = table.find(host, head.uri.path(), head.method.as_str())?;
    table.route(key).cloned()
}

/// Returns the kind of the calls that match a route.
pub fn kind_of(route: &Route) -> KindKey {
    KindKey(hash(&(&route.host, &route.prefix)))
}

fn request_id(d: &Daemon, head: &Parts) -> String {
    headers::text(&head.headers, d.dialect.request_id.as_str())
        .filter(|id| (1..=128).contains(&id.len()))
        .map_or_else(|| format!("{:016x}", fastrand::u64(..)), str::to_string)
}

/// Returns the key of the caller for fair queueing: a hash of the name in its header, or
/// else of its IP address.
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
