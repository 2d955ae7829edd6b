//! `policy`: a trace of mixed calls against upstreams that misbehave, through
//! the daemons and, for comparison, by random and round-robin choice.
//!
//! The baselines send straight to the announced upstreams with the same
//! deadline and stop using one when it has left. They have neither the cost of
//! two daemons nor their knowledge.

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
/// Time of a call at an ordinary upstream.
const WORK: Duration = Duration::from_millis(50);
/// How much longer it takes at the slow one.
const SLOWER: u32 = 5;
/// How long, and how much slower, the cold ones are.
const COLD: (Duration, f64) = (Duration::from_secs(4), 4.0);
const SLOTS: u16 = 10;
const DEADLINE_MS: u64 = 1000;
/// When, as a share of the run, one upstream drains and another is killed.
const DRAIN_AT: f64 = 0.4;
const KILL_AT: f64 = 0.6;
/// What may begin at an upstream this long after it said that it drains.
const DRAIN_LIMIT_S: f64 = 2.0;

const CONFIG: &str = r#"{"id": "notices", "labels": {"app": "notices"},
  "routes": [{"prefix": "/notices", "service": "notice", "deadline_ms": 1000}]}"#;

/// Who chooses the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Mesh,
    Random,
    RoundRobin,
}

/// What came of a trace.
#[derive(Default)]
struct Tally {
    times: Times,
    offered: usize,
    in_time: usize,
    refused: usize,
    unknown: usize,
    late: usize,
    lost: usize,
    ran_after_refusal: usize,
    by_upstream: BTreeMap<String, Times>,
}

struct Run {
    tally: Tally,
    doubled: usize,
    new_work_after_drain_s: f64,
    served_possible: f64,
}

pub async fn run(options: &Options) -> Outcome {
    let daemons = options.daemons.unwrap_or(12);
    let mesh = trace(options, daemons, Way::Mesh).await;
    let mut broken = Vec::new();
    if mesh.tally.lost > 0 {
        broken.push("a caller gets the whole answer to its own request");
    }
    if mesh.doubled > 0 {
        broken.push("a request that may not be repeated runs at most once");
    }
    if mesh.tally.ran_after_refusal > 0 {
        broken.push("what is refused as not run did not run");
    }
    if mesh.new_work_after_drain_s > DRAIN_LIMIT_S {
        broken.push("an upstream that is leaving gets no new work after a few seconds");
    }
    let mut summary = json!({
        "compared_with": "random and round-robin choice on the same trace, straight to the upstreams",
        "daemons": daemons,
        "load_percent": options.load,
        "without": options.without,
        "new_work_after_drain_s": round(mesh.new_work_after_drain_s),
    });
    put(&mut summary, "", &mesh);
    if options.without.is_none() {
        let random = trace(options, daemons, Way::Random).await;
        put(&mut summary, "baseline_random_", &random);
        let robin = trace(options, daemons, Way::RoundRobin).await;
        put(&mut summary, "baseline_round_robin_", &robin);
    }
    Outcome { summary, broken }
}

fn put(summary: &mut Value, prefix: &str, run: &Run) {
    let tally = &run.tally;
    let possible = run.served_possible.min(tally.offered as f64);
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

/// Runs the trace one way on a fresh mesh, so that all ways meet the same.
async fn trace(options: &Options, daemons: usize, way: Way) -> Run {
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
    eprintln!("{way:?}: the mesh is up");
    let ups = &mesh.upstreams;
    let capacity = capacity(ups.len());
    let rate = capacity * options.load as f64 / 100.0;
    let shared = Arc::new(Mutex::new(Tally::default()));
    let targets = Arc::new(Targets::new(&mesh, way));
    let seconds = options.seconds as f64;
    let started = Instant::now();
    let (mut drained, mut killed) = (None, false);
    let mut tasks = Vec::new();
    let total = (rate * seconds) as usize;
    for n in 0..total {
        smol::Timer::at(started + Duration::from_secs_f64(n as f64 / rate)).await;
        let at = n as f64 / total as f64;
        if at >= DRAIN_AT && drained.is_none() {
            drained = Some(Instant::now());
            let _told = ups[1].drain().await;
            targets.leave(1);
        }
        if at >= KILL_AT && !killed {
            killed = true;
            ups[2].kill();
        }
        let (targets, shared) = (targets.clone(), shared.clone());
        tasks.push(exec::spawn(async move { one(n, &targets, &shared).await }));
    }
    for task in tasks {
        task.await;
    }
    let mut tally = std::mem::take(&mut *shared.lock().unwrap_or_else(|err| err.into_inner()));
    tally.offered = total;
    let drained = drained.unwrap_or(started);
    let last = ups[1].last_start().unwrap_or(drained);
    tell_reasons(&mesh);
    for (name, times) in &tally.by_upstream {
        let (count, p50, p99) = (times.len(), times.p50(), times.p99());
        eprintln!("{name}: {count} answers, p50 {p50} ms, p99 {p99} ms");
    }
    let ledger = &mesh.ledger;
    let may_not_repeat = (0..total).filter(|n| is_post(*n));
    Run {
        doubled: may_not_repeat.filter(|n| ledger.count(&id(*n)) > 1).count(),
        new_work_after_drain_s: last.saturating_duration_since(drained).as_secs_f64(),
        served_possible: possible(ups.len(), seconds),
        tally: after_refusal(tally, &mesh),
    }
}

/// Says on standard error why the daemons refused calls or left them unknown.
fn tell_reasons(mesh: &Mesh) {
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

/// Calls that were refused as not run, by id, are checked against the ledger.
fn after_refusal(mut tally: Tally, mesh: &Mesh) -> Tally {
    let refused = std::mem::take(&mut *REFUSED.lock().unwrap_or_else(|err| err.into_inner()));
    tally.ran_after_refusal = refused.iter().filter(|n| mesh.ledger.count(&id(**n)) > 0).count();
    tally
}

static REFUSED: Mutex<Vec<usize>> = Mutex::new(Vec::new());

/// Where a trace's calls go.
struct Targets {
    way: Way,
    callers: Vec<Caller>,
    there: Mutex<Vec<usize>>,
    next: AtomicUsize,
}

impl Targets {
    fn new(mesh: &Mesh, way: Way) -> Targets {
        let callers: Vec<Caller> = match way {
            Way::Mesh => mesh.fleet.daemons.iter().map(|node| Caller::new(node.callers)).collect(),
            _ => mesh.upstreams.iter().map(|up| Caller::new(up.addr)).collect(),
        };
        let there = Mutex::new((0..callers.len()).collect());
        Targets { way, callers, there, next: AtomicUsize::new(0) }
    }

    fn choose(&self) -> &Caller {
        let there = self.there.lock().unwrap_or_else(|err| err.into_inner());
        let n = match self.way {
            Way::Random => fastrand::usize(..there.len()),
            _ => self.next.fetch_add(1, Ordering::Relaxed) % there.len(),
        };
        &self.callers[there[n]]
    }

    /// Stops using an upstream that said it leaves; callers go on to daemons.
    fn leave(&self, i: usize) {
        if self.way != Way::Mesh {
            self.there.lock().unwrap_or_else(|err| err.into_inner()).retain(|there| *there != i);
        }
    }
}

async fn one(n: usize, targets: &Targets, shared: &Mutex<Tally>) {
    let method = if is_post(n) { "POST" } else { "GET" };
    let id = id(n);
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
            REFUSED.lock().unwrap_or_else(|err| err.into_inner()).push(n);
        }
        CallOutcome::Unknown => tally.unknown += 1,
        _ => tally.lost += 1,
    }
}

/// The first is slow, the second drains, the third is killed, the fourth lies
/// about its load and health, the fifth and sixth start cold.
fn behaviour(n: usize, name: &str) -> Behaviour {
    let mut behaviour = Behaviour::plain("notice", name);
    behaviour.slots = SLOTS;
    behaviour.service_time = WORK;
    match n {
        0 => behaviour.service_time = WORK * SLOWER,
        3 => behaviour.claims_idle = true,
        4 | 5 => behaviour.cold = Some(COLD),
        _ => {}
    }
    behaviour
}

/// Returns the calls a second that `n` warm upstreams can serve.
fn capacity(n: usize) -> f64 {
    let each = f64::from(SLOTS) / WORK.as_secs_f64();
    (n as f64 - 1.0 + 1.0 / f64::from(SLOWER)) * each
}

/// Returns the calls that the upstreams could have served in the run, with the
/// cold start, the drain and the kill taken off.
fn possible(n: usize, seconds: f64) -> f64 {
    let each = f64::from(SLOTS) / WORK.as_secs_f64();
    let cold = 2.0 * each * COLD.0.as_secs_f64().min(seconds) * (1.0 - 1.0 / COLD.1);
    let gone = each * seconds * ((1.0 - DRAIN_AT) + (1.0 - KILL_AT));
    capacity(n) * seconds - cold - gone
}

fn is_post(n: usize) -> bool {
    n % 3 == 0
}

fn id(n: usize) -> String {
    format!("call-{n}")
}
