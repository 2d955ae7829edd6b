//! `footprint`: bytes, processor time and memory that the control plane costs each
//! daemon, idle and under churn.

use crate::converge::config;
use crate::stats::round;
use crate::{Options, Outcome, converge, process};
use cicadashift_testkit::mesh::Mesh;
use cicadashift_testkit::upstream::{Behaviour, Upstream};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Lifetime of an upstream instance under churn.
const INSTANCE_LIFE_S: f64 = 60.0;
/// Time between two changes of configuration under churn. The brief has 260 changes a
/// day, one every 332 s, and a short run at that rate would contain none.
const CHANGE_INTERVAL: Duration = Duration::from_secs(10);
/// Time for the exchanges that follow the start to end.
const SETTLE_TIME: Duration = Duration::from_secs(8);

/// Counters of all daemons at one moment.
struct Snapshot {
    bytes: Vec<f64>,
    cpu: Vec<f64>,
    calls: u64,
    at: Instant,
}

/// Runs the experiment.
pub async fn run(options: &Options) -> Outcome {
    let daemons = options.daemons.unwrap_or(60);
    let mesh = converge::start(options, daemons).await;
    let mut upstreams = Vec::new();
    for node in &mesh.fleet.daemons {
        let name = format!("first-{}", node.name);
        let behaviour = Behaviour::plain("notice", &name);
        let upstream = Upstream::start(behaviour, node.upstreams, mesh.ledger.clone());
        // An upstream whose load report is not accepted announces itself again.
        let _announce_result = upstream.announce().await;
        upstreams.push(upstream);
    }
    smol::Timer::after(SETTLE_TIME).await;
    let before = snapshot(&mesh).await;
    smol::Timer::after(Duration::from_secs(options.seconds)).await;
    let idle = rates_since(&mesh, before).await;
    eprintln!("idle: {idle}");
    let before = snapshot(&mesh).await;
    churn(&mesh, &mut upstreams, Duration::from_secs(options.seconds)).await;
    let churn = rates_since(&mesh, before).await;
    let summary = json!({
        "compared_with": "idle and churn of the same fleet; slopes against N in docs/CAPACITY.md",
        "daemons": daemons,
        "idle": idle,
        "churn": churn,
        "churn_instances_per_s": round(daemons as f64 / INSTANCE_LIFE_S),
        "reverted": mesh.fleet.version_regressions(),
    });
    let broken_promises = match mesh.fleet.version_regressions() {
        0 => Vec::new(),
        _ => vec!["no proxy goes back to an older version"],
    };
    Outcome { summary, broken_promises }
}

/// Replaces upstream instances one after the other and changes configurations.
async fn churn(mesh: &Mesh, upstreams: &mut [Arc<Upstream>], duration: Duration) {
    let interval = Duration::from_secs_f64(INSTANCE_LIFE_S / upstreams.len() as f64);
    let started = Instant::now();
    let (mut n, mut last_change) = (0, started);
    while started.elapsed() < duration {
        let index = n % upstreams.len();
        let node = &mesh.fleet.daemons[index];
        let _leave_result = upstreams[index].leave().await;
        upstreams[index].kill();
        let behaviour = Behaviour::plain("notice", &format!("next-{n}-{}", node.name));
        upstreams[index] = Upstream::start(behaviour, node.upstreams, mesh.ledger.clone());
        let _announce_result = upstreams[index].announce().await;
        n += 1;
        if last_change.elapsed() >= CHANGE_INTERVAL {
            last_change = Instant::now();
            let _accept_result = mesh.accept(&config(n % 10, n)).await;
        }
        smol::Timer::at(started + interval * n as u32).await;
    }
}

/// Reads the counters of all daemons and of the platform.
async fn snapshot(mesh: &Mesh) -> Snapshot {
    let mut bytes = Vec::new();
    for i in mesh.all() {
        let status = mesh.fleet.status(i).await.unwrap_or(Value::Null);
        bytes.push(status["control_bytes"].as_f64().unwrap_or(0.0));
    }
    let pids = mesh.all().into_iter().filter_map(|i| mesh.fleet.pid(i));
    let cpu = pids.map(process::cpu_seconds).collect();
    Snapshot { bytes, cpu, calls: mesh.platform.counts().calls(), at: Instant::now() }
}

/// Returns the rates since `before`, and the present memory, as JSON.
async fn rates_since(mesh: &Mesh, before: Snapshot) -> Value {
    let after = snapshot(mesh).await;
    let seconds = (after.at - before.at).as_secs_f64();
    let rate = |after: &[f64], before: &[f64]| -> Vec<f64> {
        after.iter().zip(before).map(|(a, b)| (a - b) / seconds).collect()
    };
    let bytes = rate(&after.bytes, &before.bytes);
    let cpu = rate(&after.cpu, &before.cpu);
    let rss = mesh.all().into_iter().filter_map(|i| mesh.fleet.pid(i)).map(process::rss_mb);
    json!({
        "control_bytes_per_s_per_daemon": round(mean(&bytes)),
        "control_bytes_per_s_max": round(maximum(&bytes)),
        "cpu_percent_per_daemon": round(mean(&cpu) * 100.0),
        "cpu_percent_max": round(maximum(&cpu) * 100.0),
        "rss_mb_max": round(rss.fold(0.0, f64::max)),
        "platform_calls_per_s": round((after.calls - before.calls) as f64 / seconds),
    })
}

fn mean(xs: &[f64]) -> f64 {
    xs.iter().sum::<f64>() / xs.len().max(1) as f64
}

fn maximum(xs: &[f64]) -> f64 {
    xs.iter().copied().fold(0.0, f64::max)
}
