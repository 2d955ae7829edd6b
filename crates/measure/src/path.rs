//! `path`: what two daemons add to a call.

use crate::stats::{Times, round};
use crate::{Options, Outcome, process};
use cicadashift_http::exec;
use cicadashift_testkit::caller::{CallOutcome, Caller};
use cicadashift_testkit::fleet::Spec;
use cicadashift_testkit::mesh::Mesh;
use serde_json::json;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Turns in which the two ways alternate, so that a change of the machine's
/// speed meets both.
const TURNS: usize = 4;

/// What came of calls at a fixed rate.
#[derive(Default)]
struct Run {
    times: Times,
    lost: usize,
    answered: usize,
    seconds: f64,
}

pub async fn run(options: &Options) -> Outcome {
    let daemons = options.daemons.unwrap_or(3);
    let mut spec = Spec::small(options.program.clone(), &["a"], daemons);
    spec.decisions = !options.quiet;
    let mesh = Mesh::serving(spec).await;
    let direct: Vec<_> = mesh.upstreams.iter().map(|up| Arc::new(Caller::new(up.addr))).collect();
    let through: Vec<_> =
        mesh.fleet.daemons.iter().map(|node| Arc::new(Caller::new(node.callers))).collect();
    // Connections and pages warm up outside the figures.
    at_rate(&direct, options.rate, 1, "warm-d").await;
    at_rate(&through, options.rate, 1, "warm-t").await;
    let (mut plain, mut added) = (Run::default(), Run::default());
    let mut cpu_seconds = 0.0;
    let turn = (options.seconds / TURNS as u64).max(1);
    for n in 0..TURNS {
        eprintln!("turn {} of {TURNS}", n + 1);
        plain.join(at_rate(&direct, options.rate, turn, &format!("d{n}")).await);
        let before = cpu(&mesh);
        added.join(at_rate(&through, options.rate, turn, &format!("t{n}")).await);
        cpu_seconds += cpu(&mesh) - before;
    }
    let doubled = mesh.ledger.duplicates();
    let lost = plain.lost + added.lost;
    let mut broken = Vec::new();
    if added.lost > 0 {
        broken.push("a caller gets the whole answer to its own request");
    }
    if doubled > 0 {
        broken.push("a request that may not be repeated runs at most once");
    }
    let summary = json!({
        "compared_with": "the same calls made straight to the upstreams, in turns",
        "daemons": daemons,
        "rate": options.rate,
        "decisions_logged": !options.quiet,
        "calls": added.times.len(),
        "direct_p50_ms": plain.times.p50(),
        "direct_p99_ms": plain.times.p99(),
        "through_p50_ms": added.times.p50(),
        "through_p99_ms": added.times.p99(),
        "added_p50_ms": round(added.times.p50() - plain.times.p50()),
        "added_p99_ms": round(added.times.p99() - plain.times.p99()),
        "calls_per_s": round(added.answered as f64 / added.seconds),
        "cpu_us_per_call": round(cpu_seconds * 1e6 / added.times.len().max(1) as f64),
        "lost": lost,
        "doubled": doubled,
    });
    Outcome { summary, broken }
}

/// Returns the processor time of all daemons so far, in seconds.
fn cpu(mesh: &Mesh) -> f64 {
    let pids = mesh.all().into_iter().filter_map(|i| mesh.fleet.pid(i));
    pids.map(process::cpu_seconds).sum()
}

/// Calls at a fixed rate whether or not earlier calls have come back, and
/// counts each from the moment it was due.
async fn at_rate(callers: &[Arc<Caller>], rate: u64, seconds: u64, name: &str) -> Run {
    let started = Instant::now();
    let gap = Duration::from_secs(1) / rate as u32;
    let mut tasks = Vec::new();
    for n in 0..rate * seconds {
        let due = started + gap * n as u32;
        smol::Timer::at(due).await;
        let caller = callers[n as usize % callers.len()].clone();
        let id = format!("{name}-{n}");
        tasks.push(exec::spawn(async move {
            let sent = Instant::now();
            let call = caller.call("POST", "/notices", &id, b"x").await;
            let whole =
                matches!(&call.outcome, CallOutcome::Answer { request, .. } if *request == id);
            (whole, sent.elapsed())
        }));
    }
    let mut run = Run::default();
    for task in tasks {
        let (whole, took) = task.await;
        run.times.add(took);
        run.answered += usize::from(whole);
        run.lost += usize::from(!whole);
    }
    run.seconds = started.elapsed().as_secs_f64();
    run
}

impl Run {
    fn join(&mut self, other: Run) {
        self.times.append(other.times);
        self.lost += other.lost;
        self.answered += other.answered;
        self.seconds += other.seconds;
    }
}
