//! The readiness and metrics ports.

use super::Daemon;
use super::request::headers;
use cicadashift_edge::interface::Interface;
use cicadashift_http::body::Body;
use cicadashift_http::hyper::{Request, Response, StatusCode};
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Path of the readiness check in the product's own form.
const READY_PATH: &str = "/v1/ready";
/// Path of counters and histograms.
pub const METRICS_PATH: &str = "/metrics";

/// Answers whether the daemon takes work.
///
/// It does from its first configuration until a planned stop begins; with discovery
/// through the store, it must also have read the entries there or know another daemon. An
/// outage of the store changes nothing: the configuration in force continues to be
/// served.
pub async fn handle(d: Arc<Daemon>, req: Request<Body>) -> Response<Body> {
    let path = req.uri().path();
    let is_adapter_path =
        d.platform_adapter.as_ref().is_some_and(|adapter| adapter.is_readiness_path(path));
    if path != READY_PATH && !is_adapter_path {
        return headers::plain(StatusCode::NOT_FOUND, "no such path\n");
    }
    match not_ready_reason(&d) {
        None => headers::plain(StatusCode::OK, "ready\n"),
        Some(reason) => headers::plain(StatusCode::SERVICE_UNAVAILABLE, &format!("{reason}\n")),
    }
}

/// Answers with counters and histograms.
pub async fn metrics(d: Arc<Daemon>, req: Request<Body>) -> Response<Body> {
    match req.uri().path() {
        METRICS_PATH => headers::plain(StatusCode::OK, &d.metrics.text()),
        _ => headers::plain(StatusCode::NOT_FOUND, "no such path; see docs/METRICS.md\n"),
    }
}

fn not_ready_reason(d: &Daemon) -> Option<&'static str> {
    if d.is_leaving() {
        return Some("leaving");
    }
    if d.versions.running_version() == 0 {
        return Some("no configuration yet");
    }
    let not_joined = d.platform_adapter.is_some() && !d.has_read_entries.load(Ordering::Relaxed);
    if not_joined && d.members.live_count() < 2 {
        return Some("no other daemon found yet");
    }
    None
}
