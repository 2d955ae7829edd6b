//! The port for upstreams and operators on the same host.
//!
//! `docs/UPSTREAMS.md` describes it for authors of upstreams. It trusts whoever can reach
//! it, so it belongs on loopback.

use super::gates::{Evidence, Removed};
use super::request::headers;
use super::{Daemon, departures, greet, quarantine, quotas, status};
use cicadashift_core::config::check_name;
use cicadashift_core::ids::CallDigest;
use cicadashift_core::membership::record::Readiness;
use cicadashift_core::membership::reports::Credibility;
use cicadashift_core::membership::silence::Health;
use cicadashift_edge::interface::{
    Announcement as PlatformAnnouncement, Interface, Malformed, Report as PlatformReport,
};
use cicadashift_http::body::{self, Body};
use cicadashift_http::hyper::{Method, Request, Response, StatusCode};
use serde::Deserialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Largest request body in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;

/// Body of `POST /v1/upstreams`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Announcement {
    instance: String,
    service: String,
    address: SocketAddr,
    slots: u16,
    connections: u16,
    #[serde(default = "ready")]
    readiness: Readiness,
}

/// Body of `POST /v1/upstreams/{instance}/report`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Report {
    readiness: Readiness,
    /// Accepted but not used: the gate counts calls in flight itself.
    #[serde(default, rename = "in_flight")]
    _in_flight: u32,
}

/// Handles one request.
pub async fn handle(d: Arc<Daemon>, req: Request<Body>) -> Response<Body> {
    let (head, incoming) = req.into_parts();
    let Ok(buf) = body::read(incoming, MAX_BODY_BYTES).await else {
        return headers::plain(StatusCode::PAYLOAD_TOO_LARGE, "body too large\n");
    };
    if let Some(adapter) = &d.platform_adapter {
        match adapter.decode_report(&head.method, head.uri.path(), &buf) {
            Ok(Some(report)) => return apply_report(&d, report).await,
            Ok(None) => {}
            Err(err) => return reject_report(&d, &err),
        }
    }
    let path = head.uri.path().trim_matches('/');
    let parts: Vec<&str> = path.split('/').collect();
    match (&head.method, parts.as_slice()) {
        (&Method::POST, ["v1", "upstreams"]) => announce(&d, &buf).await,
        (&Method::POST, ["v1", "upstreams", instance, "report"]) => {
            report(&d, instance, &buf).await
        }
        (&Method::DELETE, ["v1", "upstreams", instance]) => leave(&d, instance).await,
        (&Method::GET, ["v1", "status"]) => json(status::fleet(&d).await),
        (&Method::GET, ["v1", "status", "self"]) => json(status::own(&d)),
        (&Method::GET, ["v1", "quarantine"]) => json(status::quarantine(&d)),
        (&Method::GET, ["v1", "rollouts"]) => json(status::rollouts(&d)),
        (&Method::GET, ["v1", "organisations"]) => json(quotas::fleet(&d).await),
        (&Method::DELETE, ["v1", "quarantine", call]) => lift(&d, call).await,
        (&Method::GET, ["v1", "record"]) => json(d.delivery_record.to_json()),
        _ => headers::plain(StatusCode::NOT_FOUND, "no such path; see docs/UPSTREAMS.md\n"),
    }
}

/// Applies a report in the platform's form. Once it is answered, an upstream that leaves
/// gets no new work, also if this daemon is then restarted.
async fn apply_report(d: &Arc<Daemon>, report: PlatformReport) -> Response<Body> {
    match report {
        PlatformReport::Announce(announced) => {
            let credibility = d.gates.announce(d, announced.clone(), Evidence::Report);
            if credibility == Credibility::Unconfirmed {
                apply_unconfirmed(d, &announced).await;
            }
            remember_if_leaving(d, &announced.instance).await;
        }
        PlatformReport::Leave { instance, start } => {
            let removed = d.gates.remove(d, &instance, start);
            log_left(&instance, removed);
            departures::record_own(d, &instance, removed.start).await;
        }
    }
    json(serde_json::json!({}))
}

/// Applies a report that may be late if the upstream's health confirms it.
async fn apply_unconfirmed(d: &Arc<Daemon>, announced: &PlatformAnnouncement) {
    match greet::confirm(d, announced).await {
        Health::Good => {
            d.gates.announce(d, announced.clone(), Evidence::Confirmed);
        }
        Health::Denied => {
            log::info!("upstream {}: health denies its report", announced.instance);
            d.gates.record_denial(announced);
        }
        Health::Unknown => log::info!("upstream {}: health is not known", announced.instance),
    }
}

/// Logs what a leave message was applied to: it may be late, or name another incarnation.
fn log_left(instance: &str, removed: Removed) {
    let Removed { was_present, start } = removed;
    match was_present {
        true => log::info!("upstream {instance} left, started at {start}"),
        false => log::info!("upstream {instance} left, started at {start}, not in use here"),
    }
}

/// Has other daemons remember that an upstream is leaving, if it is.
async fn remember_if_leaving(d: &Arc<Daemon>, instance: &str) {
    if let Some(start) = d.gates.leaving_start(instance) {
        departures::record_own(d, instance, start).await;
    }
}

fn reject_report(d: &Daemon, err: &Malformed) -> Response<Body> {
    log::warn!("upstream report rejected: {err}");
    d.metrics.incr("upstream.malformed");
    headers::plain(StatusCode::BAD_REQUEST, &format!("{err}\n"))
}

async fn announce(d: &Arc<Daemon>, buf: &[u8]) -> Response<Body> {
    let announcement: Announcement = match serde_json::from_slice(buf) {
        Ok(announcement) => announcement,
        Err(err) => return headers::plain(StatusCode::BAD_REQUEST, &format!("{err}\n")),
    };
    let names = [("instance", &announcement.instance), ("service", &announcement.service)];
    for (field, value) in names {
        if let Err(err) = check_name(field, value) {
            return headers::plain(StatusCode::BAD_REQUEST, &format!("{err}\n"));
        }
    }
    if announcement.slots == 0 || announcement.connections < announcement.slots {
        let line = "slots must be at least 1 and at most connections\n";
        return headers::plain(StatusCode::BAD_REQUEST, line);
    }
    let announcement = PlatformAnnouncement {
        instance: announcement.instance,
        start: 0,
        service: announcement.service,
        version: String::new(),
        address: announcement.address,
        slots: announcement.slots,
        readiness: announcement.readiness,
        // Reports in this form carry no sequence number; each counts as new.
        sequence: 0,
        cold_for: Duration::ZERO,
    };
    let instance = announcement.instance.clone();
    d.gates.announce(d, announcement, Evidence::Confirmed);
    remember_if_leaving(d, &instance).await;
    headers::plain(StatusCode::OK, "announced\n")
}

async fn report(d: &Arc<Daemon>, instance: &str, buf: &[u8]) -> Response<Body> {
    let report: Report = match serde_json::from_slice(buf) {
        Ok(report) => report,
        Err(err) => return headers::plain(StatusCode::BAD_REQUEST, &format!("{err}\n")),
    };
    let is_announced = d.gates.report(d, instance, report.readiness);
    remember_if_leaving(d, instance).await;
    match is_announced {
        true => headers::plain(StatusCode::OK, "ok\n"),
        false => headers::plain(StatusCode::NOT_FOUND, "not announced\n"),
    }
}

async fn leave(d: &Arc<Daemon>, instance: &str) -> Response<Body> {
    let removed = d.gates.remove(d, instance, 0);
    log_left(instance, removed);
    if removed.was_present {
        departures::record_own(d, instance, removed.start).await;
    }
    match removed.was_present {
        true => headers::plain(StatusCode::OK, "gone\n"),
        false => headers::plain(StatusCode::NOT_FOUND, "not announced\n"),
    }
}

/// Lifts the quarantine of a call at an operator's request.
async fn lift(d: &Arc<Daemon>, call: &str) -> Response<Body> {
    let Some(call) = CallDigest::from_hex(call) else {
        return headers::plain(StatusCode::BAD_REQUEST, "a digest has 16 hexadecimal digits\n");
    };
    log::info!("an operator lifts the quarantine of call {call}");
    match quarantine::lift(d, call).await {
        Ok(true) => headers::plain(StatusCode::OK, "lifted\n"),
        Ok(false) => headers::plain(StatusCode::NOT_FOUND, "nothing is known against it\n"),
        Err(err) => {
            log::warn!("the store still holds the quarantine of call {call}: {err}");
            let line = format!("lifted, but the store still holds it: {err}\n");
            headers::plain(StatusCode::OK, &line)
        }
    }
}

fn json(value: serde_json::Value) -> Response<Body> {
    let mut res = Response::new(body::full(format!("{value}\n")));
    headers::set(res.headers_mut(), "content-type", "application/json");
    res
}

fn ready() -> Readiness {
    Readiness::Ready
}
