//! `path`: the latency and processor time that two daemons add to a call.

use crate::stats::{Times, round};
use crate::{Options, Outcome, process};
use cicadashift_http::exec;
use cicadashift_testkit::caller::{CallOutcome, Caller};
use cicadashift_testkit::fleet::Spec;
use cicadashift_testkit::mesh::Mesh;
use serde_json::json;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Number of times that direct calls and calls through the mesh alternate, so that a
/// change in the speed of the machine affects both.
const TURNS: usize = 4;

/// Results of calls at a fixed rate.
#[derive(Default)]
struct Run {
    times: Times,
    lost: usize,
    answered: usize,
    seconds: f64,
}

/// Runs the experiment.
pub async fn run(options: &Options) -> Outcome {
    let daemons = options.daemons.unwrap_or(3);
    let mut spec = Spec::small(options.program.clone(), &["a"], daemons);
    spec.decisions = !options.quiet;
    spec.threads = options.threads.unwrap_or(spec.threads);
    let mesh = Mesh::serving(spec).await;
    let direct_callers: Vec<_> =
        mesh.upstreams.iter().map(|up| Arc::new(Caller::new(up.addr))).collect();
    let mesh_callers: Vec<_> =
        mesh.fleet.daemons.iter().map(|node| Arc::new(Caller::new(node.callers))).collect();
    // Opens connections and touches memory pages, so that neither cost enters the figures.
    call_at_rate(&direct_callers, options.rate, 1, "warm-d").await;
    call_at_rate(&mesh_callers, options.rate, 1, "warm-t").await;
    let (mut direct_run, mut mesh_run) = (Run::default(), Run::default());
    let mut cpu_seconds = 0.0;
    let turn = (options.seconds / TURNS as u64).max(1);
    for n in 0..TURNS {
        eprintln!("turn {} of {TURNS}", n + 1);
        direct_run.merge(call_at_rate(&direct_callers, options.rate, turn, &format!("d{n}")).await);
        let before = daemon_cpu_seconds(&mesh);
        mesh_run.merge(call_at_rate(&mesh_callers, options.rate, turn, &format!("t{n}")).await);
        cpu_seconds += daemon_cpu_seconds(&mesh) - before;
    }
    let doubled = mesh.ledger.duplicates();
    let lost = direct_run.lost + mesh_run.lost;
    let mut broken_promises = Vec::new();
    if mesh_run.lost > 0 {
        broken_promises.push("a caller gets the whole answer to its own request");
    }
    if doubled > 0 {
        broken_promises.push("a request that may not be repeated runs at most once");
    }
    let summary = json!({
        "compared_with": "the same calls made straight to the upstreams, in turns",
        "daemons": daemons,
        "rate": options.rate,
        "decisions_logged": !options.quiet,
        "calls": mesh_run.times.len(),
        "direct_p50_ms": direct_run.times.p50(),
        "direct_p99_ms": direct_run.times.p99(),
        "through_p50_ms": mesh_run.times.p50(),
        "through_p99_ms": mesh_run.times.p99(),
        "added_p50_ms": round(mesh_run.times.p50() - direct_run.times.p50()),
        "added_p99_ms": round(mesh_run.times.p99() - direct_run.times.p99()),
        "calls_per_s": round(mesh_run.answered as f64 / mesh_run.seconds),
        "cpu_us_per_call": round(cpu_seconds * 1e6 / mesh_run.times.len().max(1) as f64),
        "lost": lost,
        "doubled": doubled,
    });
    Outcome { summary, broken_promises }
}

/// Returns the processor time of all daemons so far, in seconds.
fn daemon_cpu_seconds(mesh: &Mesh) -> f64 {
    let pids = mesh.all().into_iter().filter_map(|i| mesh.fleet.pid(i));
    pids.map(process::cpu_seconds).sum()
}

/// Sends calls at a fixed rate whether or not earlier calls have been answered. The time
/// of a call runs from the start of its task.
async fn call_at_rate(callers: &[Arc<Caller>], rate: u64, seconds: u64, name: &str) -> Run {
    let started = Instant::now();
    let interval = Duration::from_secs(1) / rate as u32;
    let mut tasks = Vec::new();
    for n in 0..rate * seconds {
        let due = started + interval * n as u32;
        smol::Timer::at(due).await;
        let caller = callers[n as usize % callers.len()].clone();
        let id = format!("{name}-{n}");
        tasks.push(exec::spawn(async move {
            let sent = Instant::now();
            let call = caller.call("POST", "/notices", &id, b"x").await;
            let complete =
                matches!(&call.outcome, CallOutcome::Answer { request, .. } if *request == id);
            (complete, sent.elapsed())
        }));
    }
    let mut run = Run::default();
    for task in tasks {
        let (complete, took) = task.await;
        run.times.add(took);
        run.answered += usize::from(complete);
        run.lost += usize::from(!complete);
    }
    run.seconds = started.elapsed().as_secs_f64();
    run
}

impl Run {
    /// Adds the results of `other`.
    fn merge(&mut self, other: Run) {
        self.times.append(other.times);
        self.lost += other.lost;
        self.answered += other.answered;
        self.seconds += other.seconds;
    }
}
