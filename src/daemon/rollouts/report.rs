//! Telling the decider what the upstreams of this host answered.

use super::decider;
use crate::daemon::{Daemon, peers};
use cicadashift_core::membership::record::Readiness;
use cicadashift_core::rollout::Stage;
use cicadashift_core::rollout::tally::{Report, UpstreamReport};
use cicadashift_wire::rpc::{Request as Ask, Response};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time between two reports.
const EVERY: Duration = Duration::from_millis(500);
/// Time for the decider's answer.
const ASK_TIME: Duration = Duration::from_millis(450);

/// Reports to deciders until cancelled.
pub async fn run(d: Arc<Daemon>) {
    loop {
        smol::Timer::after(EVERY).await;
        if !d.rollouts.is_any() {
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
                tell(&d, &stage).await;
            }
        }
    }
}

async fn tell(d: &Arc<Daemon>, stage: &Stage) {
    let Some(report) = report(d, stage) else { return };
    let told: Vec<String> = report.upstreams.iter().map(|told| told.upstream.clone()).collect();
    let answer = if stage.decider == d.me {
        decider::on_report(d, report)
    } else {
        let Some(to) = d.members.address(stage.decider) else { return };
        match peers::ask(d, to, &Ask::Rollout(report), ASK_TIME).await {
            Ok(Response::Quotas(answer)) => answer,
            Ok(_) => return log::debug!("{to} does not decide on {}", stage.service),
            Err(err) => return log::debug!("{to} was not told of {}: {err}", stage.service),
        }
    };
    if let Some((epoch, quotas)) = answer {
        d.rollouts.allow(&told, epoch, quotas);
    }
}

/// Returns what is to be told; nothing where no upstream of the service is here.
fn report(d: &Daemon, stage: &Stage) -> Option<Report> {
    let now = d.clock.now();
    let mut epoch = 0;
    let upstreams: Vec<UpstreamReport> = d
        .gates
        .all()
        .into_iter()
        .filter(|(endpoint, _)| endpoint.service == stage.service && !endpoint.version.is_empty())
        .map(|(endpoint, load)| {
            let count = d.rollouts.count_of(&endpoint.instance, stage.order);
            epoch = count.epoch;
            let is_new = stage.is_new(&endpoint.version);
            UpstreamReport {
                is_new,
                slots: endpoint.slots,
                is_warm: endpoint.readiness == Readiness::Ready,
                sent: count.sent,
                in_flight: (load.running + load.queued) as u32,
                is_closed: !is_new && d.rollouts.has_closed(&stage.service, now),
                kinds: count.kinds,
                upstream: endpoint.instance,
            }
        })
        .collect();
    let report =
        Report { host: d.me, service: stage.service.clone(), order: stage.order, epoch, upstreams };
    (!report.upstreams.is_empty()).then_some(report)
}
