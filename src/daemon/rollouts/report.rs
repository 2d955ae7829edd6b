//! Reports to the decider on the upstreams of this host.

use super::decider;
use crate::daemon::{Daemon, peers};
use cicadashift_core::membership::record::Readiness;
use cicadashift_core::rollout::Stage;
use cicadashift_core::rollout::tally::{Report, UpstreamReport};
use cicadashift_http::reactor::Timer;
use cicadashift_wire::rpc::{Request as Ask, Response};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time within which the decider must answer.
const REPORT_TIMEOUT: Duration = Duration::from_millis(450);

/// Reports to deciders, and expires and publishes stages, until cancelled.
pub async fn run(d: Arc<Daemon>) {
    loop {
        Timer::after(REPORT_INTERVAL).await;
        if !d.rollouts.has_stages() {
            continue;
        }
        if d.rollouts.expire(d.clock.now()) {
            d.services.sync(&d);
        }
        if d.follows_store.load(Ordering::Relaxed) {
            decider::publish(&d);
        }
        for stage in d.rollouts.stages() {
            if !stage.phase.is_final() {
                send_report(&d, &stage).await;
            }
        }
    }
}

/// Sends a report to the decider and applies the quotas in its answer.
async fn send_report(d: &Arc<Daemon>, stage: &Stage) {
    let Some(report) = build_report(d, stage) else { return };
    let reported: Vec<String> =
        report.upstreams.iter().map(|entry| entry.upstream.clone()).collect();
    let answer = if stage.decider == d.me {
        decider::on_report(d, report)
    } else {
        let Some(to) = d.members.address(stage.decider) else { return };
        match peers::ask(d, to, &Ask::Rollout(report), REPORT_TIMEOUT).await {
            Ok(Response::Quotas(answer)) => answer,
            Ok(_) => return log::debug!("{to}: unexpected answer on {}", stage.service),
            Err(err) => return log::debug!("{to}: report on {} failed: {err}", stage.service),
        }
    };
    if let Some((epoch, quotas)) = answer {
        d.rollouts.apply_quotas(&reported, epoch, quotas);
    }
}

/// Returns the report on a service's upstreams on this host, or `None` if there are none.
fn build_report(d: &Daemon, stage: &Stage) -> Option<Report> {
    let now = d.clock.now();
    let mut epoch = 0;
    let upstreams: Vec<UpstreamReport> = d
        .gates
        .all()
        .into_iter()
        .filter(|(endpoint, _)| endpoint.service == stage.service && !endpoint.version.is_empty())
        .map(|(endpoint, load)| {
            let counts = d.rollouts.counts_of(&endpoint.instance, stage.order);
            epoch = counts.epoch;
            let is_new = stage.is_new(&endpoint.version);
            UpstreamReport {
                is_new,
                slots: endpoint.slots,
                is_warm: endpoint.readiness == Readiness::Ready,
                sent: counts.sent,
                in_flight: (load.running + load.queued) as u32,
                is_closed: !is_new && d.rollouts.has_closed(&stage.service, now),
                kinds: counts.kinds,
                upstream: endpoint.instance,
            }
        })
        .collect();
    let report =
        Report { host: d.me, service: stage.service.clone(), order: stage.order, epoch, upstreams };
    (!report.upstreams.is_empty()).then_some(report)
}
