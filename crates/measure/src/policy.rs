//! `policy`: a trace of mixed calls to misbehaving upstreams, sent through the daemons
//! and, as baselines, to upstreams picked at random and in round-robin order.
//!
//! The baselines send straight to the upstreams, count answers against the same deadline
//! and stop using an upstream when it starts to drain. They have neither the cost of two
//! daemons nor the load and health data that daemons have.

use crate::stats::{Times, round};
use crate::{Options, Outcome};
use cicadashift_http::exec;
use cicadashift_testkit::caller::{CallOutcome, Caller};
use cicadashift_testkit::fleet::Spec;
use cicadashift_testkit::mesh::{Mesh, SELECT_ALL};
use cicadashift_testkit::upstream::Behaviour;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// Service time of a call at an ordinary upstream.
const SERVICE_TIME: Duration = Duration::from_millis(50);
/// Factor on the service time at the slow upstream.
const SLOWDOWN: u32 = 5;
/// Duration of a cold start, and the factor on the service time during it.
const COLD_START: (Duration, f64) = (Duration::from_secs(4), 4.0);
const SLOTS: u16 = 10;
const DEADLINE_MS: u64 = 1000;
/// When one upstream drains and another is killed, as shares of the run.
const DRAIN_AT: f64 = 0.4;
const KILL_AT: f64 = 0.6;
/// Longest time after the start of a drain in which the upstream may get new calls.
const DRAIN_LIMIT_S: f64 = 2.0;

const CONFIG: &str = r#"{"id": "notices", "labels": {"app": "notices"},
  "routes": [{"prefix": "/notices", "service": "notice", "deadline_ms": 1000}]}"#;

/// How the upstream of a call is picked; `Mesh` leaves it to the daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Picker {
    Mesh,
    Random,
    RoundRobin,
}

/// Results of the calls of a trace.
#[derive(Default)]
struct Tally {
    times: Times,
    offered: usize,
    in_time: usize,
    refused: usize,
    unknown: usize,
    /// Answered after the deadline.
    late: usize,
    /// Without an answer to the call itself, a refusal as not run or an unknown outcome.
    lost: usize,
    ran_after_refusal: usize,
    by_upstream: BTreeMap<String, Times>,
}

/// Results of one trace, with the checks on the upstreams.
struct Run {
    tally: Tally,
    doubled: usize,
    new_work_after_drain_s: f64,
    max_served: f64,
}

/// Runs the experiment.
pub async fn run(options: &Options) -> Outcome {
    let daemons = options.daemons.unwrap_or(12);
    let mesh = run_trace(options, daemons, Picker::Mesh).await;
    let mut broken_promises = Vec::new();
    if mesh.tally.lost > 0 {
        broken_promises.push("a caller gets the whole answer to its own request");
    }
    if mesh.doubled > 0 {
        broken_promises.push("a request that may not be repeated runs at most once");
    }
    if mesh.tally.ran_after_refusal > 0 {
        broken_promises.push("what is refused as not run did not run");
    }
    if mesh.new_work_after_drain_s > DRAIN_LIMIT_S {
        broken_promises.push("an upstream that is leaving gets no new work after a few seconds");
    }
    let mut summary = json!({
        "compared_with": "random and round-robin choice on the same trace, straight to the upstreams",
        "daemons": daemons,
        "load_percent": options.load,
        "without": options.without,
        "new_work_after_drain_s": round(mesh.new_work_after_drain_s),
    });
    add_fields(&mut summary, "", &mesh);
    if options.without.is_none() {
        let random = run_trace(options, daemons, Picker::Random).await;
        add_fields(&mut summary, "baseline_random_", &random);
        let round_robin = run_trace(options, daemons, Picker::RoundRobin).await;
        add_fields(&mut summary, "baseline_round_robin_", &round_robin);
    }
    Outcome { summary, broken_promises }
}

/// Adds the fields of a run to the summary, each key with `prefix`.
fn add_fields(summary: &mut Value, prefix: &str, run: &Run) {
    let tally = &run.tally;
    let possible = run.max_served.min(tally.offered as f64);
    let fields = [
        ("offered", json!(tally.offered)),
        ("answered_in_time", json!(tally.in_time)),
        ("could_have_served", json!(possible.round())),
        ("in_time_of_possible", json!(round(tally.in_time as f64 / possible.max(1.0)))),
        ("refused_not_run", json!(tally.refused)),
        ("unknown", json!(tally.unknown)),
        ("late", json!(tally.late)),
        ("lost", json!(tally.lost)),
        ("doubled", json!(run.doubled)),
        ("ran_after_refusal", json!(tally.ran_after_refusal)),
        ("p50_ms", json!(tally.times.p50())),
        ("p99_ms", json!(tally.times.p99())),
    ];
    for (name, value) in fields {
        summary[format!("{prefix}{name}")] = value;
    }
}

/// Runs the trace with one picker on a fresh mesh, so that all pickers have the same
/// conditions.
async fn run_trace(options: &Options, daemons: usize, picker: Picker) -> Run {
    let mut spec = Spec::small(options.program.clone(), &DOMAINS, daemons.div_ceil(DOMAINS.len()));
    spec.delay = Duration::from_micros(1500);
    spec.disabled_decision = options.without.clone();
    let count = AtomicUsize::new(0);
    let mesh = Mesh::start(spec, |node| {
        let n = count.fetch_add(1, Ordering::Relaxed);
        Some(behaviour(n, &format!("u{n}-{}", node.name)))
    })
    .await;
    mesh.set_selector(SELECT_ALL).await;
    mesh.roll_out(CONFIG).await;
    eprintln!("{picker:?}: the mesh is up");
    let upstreams = &mesh.upstreams;
    let capacity = capacity(upstreams.len());
    let rate = capacity * options.load as f64 / 100.0;
    let shared = Arc::new(Mutex::new(Tally::default()));
    let targets = Arc::new(Targets::new(&mesh, picker));
    let seconds = options.seconds as f64;
    let started = Instant::now();
    let (mut drained, mut killed) = (None, false);
    let mut tasks = Vec::new();
    let total = (rate * seconds) as usize;
    for n in 0..total {
        smol::Timer::at(started + Duration::from_secs_f64(n as f64 / rate)).await;
        let progress = n as f64 / total as f64;
        if progress >= DRAIN_AT && drained.is_none() {
            drained = Some(Instant::now());
            let _drain_result = upstreams[1].drain().await;
            targets.remove(1);
        }
        if progress >= KILL_AT && !killed {
            killed = true;
            upstreams[2].kill();
        }
        let (targets, shared) = (targets.clone(), shared.clone());
        tasks.push(exec::spawn(async move { send_call(n, &targets, &shared).await }));
    }
    for task in tasks {
        task.await;
    }
    let mut tally = std::mem::take(&mut *shared.lock().unwrap_or_else(|err| err.into_inner()));
    tally.offered = total;
    let drained = drained.unwrap_or(started);
    let last_start = upstreams[1].last_start().unwrap_or(drained);
    print_reasons(&mesh);
    for (name, times) in &tally.by_upstream {
        let (count, p50, p99) = (times.len(), times.p50(), times.p99());
        eprintln!("{name}: {count} answers, p50 {p50} ms, p99 {p99} ms");
    }
    let ledger = &mesh.ledger;
    let posts = (0..total).filter(|n| is_post(*n));
    Run {
        doubled: posts.filter(|n| ledger.count(&request_id(*n)) > 1).count(),
        new_work_after_drain_s: last_start.saturating_duration_since(drained).as_secs_f64(),
        max_served: max_served_calls(upstreams.len(), seconds),
        tally: count_ran_after_refusal(tally, &mesh),
    }
}

/// Prints to standard error why the daemons refused calls or ended them as unknown.
fn print_reasons(mesh: &Mesh) {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for i in mesh.all() {
        let log = mesh.fleet.log(i);
        for line in log.lines().filter(|line| line.contains("\"kind\":\"refuse\"")) {
            let event: Value = serde_json::from_str(line).unwrap_or_default();
            let why = event["event"]["why"].as_str().unwrap_or("?").to_string();
            *counts.entry(why).or_default() += 1;
        }
    }
    eprintln!("ended without an answer, by reason: {counts:?}");
}

/// Counts in `tally` the calls that were refused as not run although the ledger has an
/// execution of them.
fn count_ran_after_refusal(mut tally: Tally, mesh: &Mesh) -> Tally {
    let refused = std::mem::take(&mut *REFUSED_CALLS.lock().unwrap_or_else(|err| err.into_inner()));
    tally.ran_after_refusal =
        refused.iter().filter(|n| mesh.ledger.count(&request_id(**n)) > 0).count();
    tally
}

/// Numbers of the calls that were refused as not run.
static REFUSED_CALLS: Mutex<Vec<usize>> = Mutex::new(Vec::new());

/// Targets of a trace's calls: the daemons, or the upstreams for a baseline.
struct Targets {
    picker: Picker,
    callers: Vec<Caller>,
    /// Positions in `callers` that calls may go to.
    in_use: Mutex<Vec<usize>>,
    next: AtomicUsize,
}

impl Targets {
    fn new(mesh: &Mesh, picker: Picker) -> Targets {
        let callers: Vec<Caller> = match picker {
            Picker::Mesh => {
                mesh.fleet.daemons.iter().map(|node| Caller::new(node.callers)).collect()
            }
            _ => mesh.upstreams.iter().map(|up| Caller::new(up.addr)).collect(),
        };
        let in_use = Mutex::new((0..callers.len()).collect());
        Targets { picker, callers, in_use, next: AtomicUsize::new(0) }
    }

    fn choose(&self) -> &Caller {
        let in_use = self.in_use.lock().unwrap_or_else(|err| err.into_inner());
        let n = match self.picker {
            Picker::Random => fastrand::usize(..in_use.len()),
            _ => self.next.fetch_add(1, Ordering::Relaxed) % in_use.len(),
        };
        &self.callers[in_use[n]]
    }

    /// Stops using an upstream that drains; daemons are never removed.
    fn remove(&self, i: usize) {
        if self.picker != Picker::Mesh {
            self.in_use
                .lock()
                .unwrap_or_else(|err| err.into_inner())
                .retain(|position| *position != i);
        }
    }
}

/// Sends call `n` and counts its result.
async fn send_call(n: usize, targets: &Targets, shared: &Mutex<Tally>) {
    let method = if is_post(n) { "POST" } else { "GET" };
    let id = request_id(n);
    let call = targets.choose().call(method, "/notices", &id, b"x").await;
    let mut tally = shared.lock().unwrap_or_else(|err| err.into_inner());
    match call.outcome {
        CallOutcome::Answer { request, instance, .. } if request == id => {
            let name = instance.split('-').next().unwrap_or("").to_string();
            tally.by_upstream.entry(name).or_default().add(call.took);
            tally.times.add(call.took);
            match call.took <= Duration::from_millis(DEADLINE_MS) {
                true => tally.in_time += 1,
                false => tally.late += 1,
            }
        }
        CallOutcome::NotRun { .. } => {
            tally.refused += 1;
            REFUSED_CALLS.lock().unwrap_or_else(|err| err.into_inner()).push(n);
        }
        CallOutcome::Unknown => tally.unknown += 1,
        _ => tally.lost += 1,
    }
}

/// Returns the behaviour of the `n`th upstream: the first is slow, the second drains, the
/// third is killed, the fourth reports false load and readiness, the fifth and sixth
/// start cold.
fn behaviour(n: usize, name: &str) -> Behaviour {
    let mut behaviour = Behaviour::plain("notice", name);
    behaviour.slots = SLOTS;
    behaviour.service_time = SERVICE_TIME;
    match n {
        0 => behaviour.service_time = SERVICE_TIME * SLOWDOWN,
        3 => behaviour.claims_idle = true,
        4 | 5 => behaviour.cold = Some(COLD_START),
        _ => {}
    }
    behaviour
}

/// Returns the calls a second that `n` warm upstreams can serve, one of them slow.
fn capacity(n: usize) -> f64 {
    let per_upstream = f64::from(SLOTS) / SERVICE_TIME.as_secs_f64();
    (n as f64 - 1.0 + 1.0 / f64::from(SLOWDOWN)) * per_upstream
}

/// Returns the calls that the upstreams could have served in the run, less those lost to
/// the cold starts, the drain and the kill.
fn max_served_calls(n: usize, seconds: f64) -> f64 {
    let per_upstream = f64::from(SLOTS) / SERVICE_TIME.as_secs_f64();
    let cold =
        2.0 * per_upstream * COLD_START.0.as_secs_f64().min(seconds) * (1.0 - 1.0 / COLD_START.1);
    let stopped = per_upstream * seconds * ((1.0 - DRAIN_AT) + (1.0 - KILL_AT));
    capacity(n) * seconds - cold - stopped
}

fn is_post(n: usize) -> bool {
    n % 3 == 0
}

fn request_id(n: usize) -> String {
    format!("call-{n}")
}
