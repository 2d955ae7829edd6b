//! Responses that the daemon itself makes to routed calls.

use super::headers;
use super::log_lines::{RefuseLine, TriedUpstream};
use super::work::RoutedCall;
use crate::daemon::Daemon;
use crate::logging::{DecisionClass, rate_limited_decision};
use cicadashift_http::body::Body;
use cicadashift_http::hyper::{Response, StatusCode};
use std::time::Duration;

/// Logs and makes the response that says that a routed call did not run.
pub fn refuse(
    d: &Daemon,
    call: &RoutedCall,
    tried: &[TriedUpstream],
    why: &str,
    retry_after: Duration,
) -> Response<Body> {
    d.metrics.incr("call.refused");
    log_end(d, call, tried, why, StatusCode::SERVICE_UNAVAILABLE, retry_after);
    headers::not_run(why, retry_after, d.dialect.fractional_retry_after)
}

/// Logs and makes the response that says that a routed call may have run.
pub fn unknown(
    d: &Daemon,
    call: &RoutedCall,
    tried: &[TriedUpstream],
    why: &str,
) -> Response<Body> {
    d.metrics.incr("call.unknown");
    let status = match why {
        "deadline" | "too-late" => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    log_end(d, call, tried, why, status, Duration::ZERO);
    headers::unknown(status, why)
}

fn log_end(
    d: &Daemon,
    call: &RoutedCall,
    tried: &[TriedUpstream],
    why: &str,
    status: StatusCode,
    retry_after: Duration,
) {
    let now = d.clock.now();
    let line = RefuseLine {
        kind: "refuse",
        request: &call.request_id,
        organisation: &call.organisation,
        version: call.version,
        service: &call.service,
        why,
        status: status.as_u16(),
        tried,
        took_ms: now.saturating_duration_since(call.started).as_millis() as u64,
        retry_after_ms: retry_after.as_millis() as u64,
        config_age_ms: d.versions.document.confirmed_age_ms(now),
    };
    rate_limited_decision(DecisionClass::Refusal, &line);
}
