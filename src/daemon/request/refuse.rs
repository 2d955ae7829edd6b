//! Answers of our own to routed calls.

use super::work::RoutedCall;
use super::{headers, story};
use crate::daemon::Daemon;
use cicadashift_http::body::Body;
use cicadashift_http::hyper::{Response, StatusCode};
use std::time::Duration;

/// Logs and makes the answer that a routed call did not run.
pub fn refuse(d: &Daemon, work: &RoutedCall, why: &str, wait: Duration) -> Response<Body> {
    d.metrics.incr("call.refused");
    log_end(d, work, why, StatusCode::SERVICE_UNAVAILABLE, wait);
    headers::not_run(why, wait, d.dialect.fractional_retry_after)
}

/// Logs and makes the answer that a routed call may have run.
pub fn unknown(d: &Daemon, work: &RoutedCall, why: &str) -> Response<Body> {
    d.metrics.incr("call.unknown");
    let status = match why {
        "deadline" | "too-late" => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    log_end(d, work, why, status, Duration::ZERO);
    headers::unknown(status, why)
}

fn log_end(d: &Daemon, work: &RoutedCall, why: &str, status: StatusCode, wait: Duration) {
    let now = d.clock.now();
    crate::logging::decision(&story::RefuseLine {
        kind: "refuse",
        request: &work.request_id,
        organisation: &work.organisation,
        version: work.version,
        service: &work.service,
        why,
        status: status.as_u16(),
        took_ms: now.saturating_duration_since(work.started).as_millis() as u64,
        retry_after_ms: wait.as_millis() as u64,
        config_age_ms: d.versions.document.confirmed_age_ms(now),
    });
}
