//! `footprint`: what the control side costs each daemon, idle and under churn.

use crate::converge::config;
use crate::stats::round;
use crate::{Options, Outcome, converge, process};
use cicadashift_testkit::mesh::Mesh;
use cicadashift_testkit::upstream::{Behaviour, Upstream};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Each upstream instance is replaced this often under churn.
const INSTANCE_LIFE_S: f64 = 60.0;
/// Time between two changes of configuration under churn; at 260 a day the
/// brief's is 332 s, which a short run would not see.
const CHANGE_EVERY: Duration = Duration::from_secs(10);
/// Time for the start's exchanges to end.
const SETTLE: Duration = Duration::from_secs(8);

/// What is counted of all daemons at a moment.
struct Picture {
    bytes: Vec<f64>,
    cpu: Vec<f64>,
    calls: u64,
    at: Instant,
}

pub async fn run(options: &Options) -> Outcome {
    let daemons = options.daemons.unwrap_or(60);
    let mesh = converge::start(options, daemons).await;
    let mut all = Vec::new();
    for node in &mesh.fleet.daemons {
        let name = format!("first-{}", node.name);
        let behaviour = Behaviour::plain("notice", &name);
        let upstream = Upstream::start(behaviour, node.upstreams, mesh.ledger.clone());
        let _retried_by_reports = upstream.announce().await;
        all.push(upstream);
    }
    smol::Timer::after(SETTLE).await;
    let before = picture(&mesh).await;
    smol::Timer::after(Duration::from_secs(options.seconds)).await;
    let idle = figures(&mesh, before).await;
    eprintln!("idle: {idle}");
    let before = picture(&mesh).await;
    churn(&mesh, &mut all, Duration::from_secs(options.seconds)).await;
    let churn = figures(&mesh, before).await;
    let summary = json!({
        "compared_with": "idle and churn of the same fleet; slopes against N in docs/CAPACITY.md",
        "daemons": daemons,
        "idle": idle,
        "churn": churn,
        "churn_instances_per_s": round(daemons as f64 / INSTANCE_LIFE_S),
        "reverted": mesh.fleet.version_regressions(),
    });
    let broken = match mesh.fleet.version_regressions() {
        0 => Vec::new(),
        _ => vec!["no proxy goes back to an older version"],
    };
    Outcome { summary, broken }
}

/// Replaces instances one after the other, and changes configurations.
async fn churn(mesh: &Mesh, all: &mut [Arc<Upstream>], time: Duration) {
    let gap = Duration::from_secs_f64(INSTANCE_LIFE_S / all.len() as f64);
    let began = Instant::now();
    let (mut n, mut changed) = (0, began);
    while began.elapsed() < time {
        let slot = n % all.len();
        let node = &mesh.fleet.daemons[slot];
        let _gone = all[slot].leave().await;
        all[slot].kill();
        let behaviour = Behaviour::plain("notice", &format!("next-{n}-{}", node.name));
        all[slot] = Upstream::start(behaviour, node.upstreams, mesh.ledger.clone());
        let _retried_by_reports = all[slot].announce().await;
        n += 1;
        if changed.elapsed() >= CHANGE_EVERY {
            changed = Instant::now();
            let _late_is_seen = mesh.accept(&config(n % 10, n)).await;
        }
        smol::Timer::at(began + gap * n as u32).await;
    }
}

async fn picture(mesh: &Mesh) -> Picture {
    let mut bytes = Vec::new();
    for i in mesh.all() {
        let status = mesh.fleet.status(i).await.unwrap_or(Value::Null);
        bytes.push(status["control_bytes"].as_f64().unwrap_or(0.0));
    }
    let pids = mesh.all().into_iter().filter_map(|i| mesh.fleet.pid(i));
    let cpu = pids.map(process::cpu_seconds).collect();
    Picture { bytes, cpu, calls: mesh.platform.counts().calls(), at: Instant::now() }
}

async fn figures(mesh: &Mesh, before: Picture) -> Value {
    let after = picture(mesh).await;
    let seconds = (after.at - before.at).as_secs_f64();
    let rate = |after: &[f64], before: &[f64]| -> Vec<f64> {
        after.iter().zip(before).map(|(a, b)| (a - b) / seconds).collect()
    };
    let bytes = rate(&after.bytes, &before.bytes);
    let cpu = rate(&after.cpu, &before.cpu);
    let rss = mesh.all().into_iter().filter_map(|i| mesh.fleet.pid(i)).map(process::rss_mb);
    json!({
        "control_bytes_per_s_per_daemon": round(mean(&bytes)),
        "control_bytes_per_s_max": round(most(&bytes)),
        "cpu_percent_per_daemon": round(mean(&cpu) * 100.0),
        "cpu_percent_max": round(most(&cpu) * 100.0),
        "rss_mb_max": round(rss.fold(0.0, f64::max)),
        "platform_calls_per_s": round((after.calls - before.calls) as f64 / seconds),
    })
}

fn mean(xs: &[f64]) -> f64 {
    xs.iter().sum::<f64>() / xs.len().max(1) as f64
}

fn most(xs: &[f64]) -> f64 {
    xs.iter().copied().fold(0.0, f64::max)
}
