//! Status of this daemon and of the fleet.

use super::{Daemon, peers, quarantine as suspected};
use cicadashift_core::membership::record::Record;
use cicadashift_core::request::suspects::QuarantineState;
use cicadashift_http::exec;
use cicadashift_wire::rpc::{Request, Response};
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time limit for the answer of one daemon.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(700);

/// Returns the status of this daemon.
pub fn own(d: &Daemon) -> Value {
    let own = d.members.own();
    let versions = d.versions.summary();
    let now = d.clock.now();
    let upstreams: Vec<Value> = d
        .gates
        .all()
        .into_iter()
        .map(|(endpoint, load)| {
            json!({
                "instance": endpoint.instance,
                "service": endpoint.service,
                "readiness": endpoint.readiness,
                "slots": endpoint.slots,
                "limit": load.limit,
                "running": load.running,
                "queued": load.queued,
                "mean_ms": load.mean.as_secs_f64() * 1e3,
                "pace": load.machine.and_then(|m| m.report(now)).map(|report| report.per_cent),
            })
        })
        .collect();
    let services: Value = d
        .members
        .catalog()
        .into_iter()
        .map(|service| (service.clone(), json!(d.services.available(&service))))
        .collect::<serde_json::Map<_, _>>()
        .into();
    json!({
        "host": own.name,
        "domain": own.domain,
        "life": own.life,
        "proxy": {
            "host": d.settings.host,
            "domain": d.settings.failure_domain,
            "services": d.settings.services,
            "labels": d.settings.labels,
        },
        "reader": own.reader,
        "follows_store": d.follows_store.load(Ordering::Relaxed),
        "leaving": d.is_leaving(),
        "running": versions.running,
        "running_since_ms": versions.since_ms,
        "active": versions.active,
        "held": versions.held,
        "floor": versions.floor,
        "newest": versions.newest,
        "selected": versions.selected,
        "bad": versions.rejected,
        "waiting": versions.waiting,
        "objects": versions.objects.0,
        "object_bytes": versions.objects.1,
        "upstreams": upstreams,
        "services": services,
        "throttled_share": d.throttles.max_refused_share(),
        "dependencies": d.dependencies.status(d),
        "members": d.members.others().len() + 1,
        "departures": d.departures.count(),
        "control_bytes": d.costs.control_bytes(),
        "config_age_ms": d.versions.document.confirmed_age_ms(d.clock.now()),
        "log_lines_lost": crate::logging::lost_lines(),
        "log_lines_left_out": crate::logging::omitted_lines(),
        "at_ms": d.clock.wall_ms(),
    })
}

/// Returns the rollouts known to this daemon.
pub fn rollouts(d: &Daemon) -> Value {
    let stages = d.rollouts.stages().into_iter().map(|stage| {
        json!({
            "service": stage.service,
            "target": stage.target,
            "order": stage.order,
            "step": stage.step,
            "phase": stage.phase.name(),
            "decider": d.members.name_of(stage.decider),
        })
    });
    stages.collect::<Vec<_>>().into()
}

/// Returns the calls suspected of ending upstreams, and for how long each of them remains
/// quarantined.
pub fn quarantine(d: &Daemon) -> Value {
    let rows = suspected::suspicions(d).into_iter().filter(|suspicion| suspicion.count() > 0);
    rows.map(|suspicion| {
        let left = match suspected::state(d, suspicion.call) {
            QuarantineState::Quarantined { left } => Some(left.as_secs()),
            QuarantineState::Suspected | QuarantineState::Clear => None,
        };
        json!({
            "call": suspicion.call.to_string(),
            "ended": suspicion.count(),
            "quarantined_s": left,
        })
    })
    .collect::<Vec<_>>()
    .into()
}

/// Returns the status of every known daemon, requested now.
///
/// A daemon that does not answer is listed with its last membership record and
/// `"answered": false`, so that an operator sees which parts may be out of date.
pub async fn fleet(d: &Arc<Daemon>) -> Value {
    let mut hosts = vec![mark_answered(own(d))];
    hosts.extend(ask_others(d, Request::Status).await);
    hosts.sort_by_key(|host| (host["domain"].to_string(), host["host"].to_string()));
    json!({"asked": d.settings.host, "at_ms": d.clock.wall_ms(), "hosts": hosts})
}

/// Sends a request to all other known daemons at once, and returns their answers.
pub async fn ask_others(d: &Arc<Daemon>, request: Request) -> Vec<Value> {
    let others = d.members.all().into_iter().filter(|record| record.host != d.me);
    let ask_one = |record| {
        let (d, request) = (d.clone(), request.clone());
        exec::spawn(async move { request_json(&d, record, &request).await })
    };
    let tasks: Vec<_> = others.map(ask_one).collect();
    let mut answers = Vec::new();
    for task in tasks {
        answers.push(task.await);
    }
    answers
}

async fn request_json(d: &Arc<Daemon>, record: Record, request: &Request) -> Value {
    if record.is_live() {
        if let Some(to) = d.members.address(record.host) {
            if let Ok(Response::Status(text)) = peers::ask(d, to, request, REQUEST_TIMEOUT).await {
                return mark_answered(serde_json::from_str(&text).unwrap_or_default());
            }
        }
    }
    json!({
        "host": record.name,
        "domain": record.domain,
        "health": record.health,
        "reader": record.reader,
        "answered": false,
    })
}

fn mark_answered(mut status: Value) -> Value {
    status["answered"] = json!(true);
    status
}
