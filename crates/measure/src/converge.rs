//! `converge`: the time until every selected proxy runs an accepted configuration, and
//! the bytes and platform calls that it costs.

use crate::baseline::BaselineFleet;
use crate::stats::{Times, round};
use crate::{Options, Outcome};
use cicadashift::clock::{Clock, SystemClock};
use cicadashift_testkit::fleet::{Fleet, Spec};
use cicadashift_testkit::mesh::{Mesh, WAIT_TIMEOUT};
use cicadashift_testkit::upstream::Behaviour;
use serde_json::{Value, json};
use std::time::Duration;

/// Failure domains of the experiment.
const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// Configurations, one for each group of proxies.
const GROUPS: usize = 10;
/// Routes of each configuration, which make about six kilobytes of text.
const ROUTES: usize = 60;
/// How long a fault lasts.
const FAULT_DURATION: Duration = Duration::from_secs(4);
/// How long the idle traffic is measured; it is subtracted from the costs of the changes.
const IDLE_DURATION: Duration = Duration::from_secs(4);

/// Counters of the fleet and the platform, read before and after a phase.
#[derive(Clone, Copy, Debug)]
struct Counters {
    bytes: u64,
    calls: u64,
    at_ms: u64,
}

/// Runs the experiment.
pub async fn run(options: &Options) -> Outcome {
    let daemons = options.daemons.unwrap_or(60);
    let mut mesh = start(options, daemons).await;
    smol::Timer::after(Duration::from_secs(1)).await;
    let before = counters(&mesh).await;
    smol::Timer::after(IDLE_DURATION).await;
    let idle = counters(&mesh).await.since(before);

    let mut times = Times::default();
    let (mut partial, mut late) = (0, 0);
    let before_changes = counters(&mesh).await;
    let changes = if options.fault == "none" { options.changes } else { options.changes.min(3) };
    for n in 0..changes {
        let result = measure_change(&mut mesh, options, n).await;
        eprintln!("change {}: {} ms at the most", n + 1, result.max_ms);
        times.append(result.times);
        partial += result.partial;
        late += result.late;
    }
    let cost = counters(&mesh).await.since(before_changes);
    let per_change = cost.minus_idle(idle).divided_by(changes as f64);
    let baseline = measure_baseline(&mut mesh, changes, daemons).await;
    let reverted = mesh.fleet.version_regressions();
    let mut broken_promises = Vec::new();
    if reverted > 0 {
        broken_promises.push("no proxy goes back to an older version");
    }
    if partial > 0 {
        broken_promises.push("a version is applied whole or not at all");
    }
    if late > 0 {
        broken_promises.push("an accepted configuration is in force everywhere within seconds");
    }
    // Sender and receiver both count a byte between daemons; only the receiver counts a
    // byte from the platform. The baseline counts received bytes only.
    let bytes = per_change.0 / daemons as f64 / 2.0;
    let summary = json!({
        "compared_with": "each daemon watching the platform itself and getting every changed object",
        "fault": options.fault,
        "daemons": daemons,
        "changes": changes,
        "p50_ms": times.p50(),
        "p99_ms": times.p99(),
        "max_ms": times.max(),
        "bytes_per_change_per_daemon": round(bytes),
        "platform_calls_per_change": round(per_change.1),
        "reverted": reverted,
        "partial": partial,
        "late": late,
        "baseline_p50_ms": baseline.times.p50(),
        "baseline_p99_ms": baseline.times.p99(),
        "baseline_max_ms": baseline.times.max(),
        "baseline_bytes_per_change_per_daemon": round(baseline.bytes),
        "baseline_platform_calls_per_change": round(baseline.calls),
        "bytes_saved_factor": round(baseline.bytes / bytes.max(1.0)),
    });
    Outcome { summary, broken_promises }
}

/// Times and costs of the same changes in the baseline fleet.
struct BaselineCosts {
    times: Times,
    bytes: f64,
    calls: f64,
}

/// Accepts the same number of changes with a baseline fleet on the same platform.
async fn measure_baseline(mesh: &mut Mesh, changes: usize, daemons: usize) -> BaselineCosts {
    let baseline = BaselineFleet::start(daemons, mesh.platform.addr);
    // The first change makes the baseline fetch all objects; this fetch is not measured.
    smol::Timer::after(Duration::from_secs(1)).await;
    let mut times = Times::default();
    let first = accept(mesh, &config(0, usize::MAX)).await;
    baseline.wait(first, 0, &mut Times::default()).await;
    let (bytes, calls) = (baseline.bytes(), mesh.platform.counts().calls());
    for n in 0..changes {
        let start_ms = SystemClock::new().wall_ms();
        let version = accept(mesh, &config(n % GROUPS, 1_000_000 + n)).await;
        baseline.wait(version, start_ms, &mut times).await;
    }
    let per_change = 1.0 / changes as f64;
    let calls = mesh.platform.counts().calls() - calls;
    BaselineCosts {
        times,
        bytes: (baseline.bytes() - bytes) as f64 * per_change / daemons as f64,
        calls: calls as f64 * per_change,
    }
}

/// Starts a fleet with one configuration for each group of proxies.
pub async fn start(options: &Options, daemons: usize) -> Mesh {
    let mut spec = Spec::small(options.program.clone(), &DOMAINS, daemons.div_ceil(DOMAINS.len()));
    spec.delay = Duration::from_micros(1500);
    spec.groups = GROUPS;
    spec.threads = 1;
    let mesh = Mesh::start(spec, |node| {
        let first = node.name.ends_with("-0");
        first.then(|| Behaviour::plain("notice", &format!("notice-{}", node.name)))
    })
    .await;
    eprintln!("{} daemons are up", mesh.fleet.daemons.len());
    for group in 0..GROUPS {
        mesh.set_selector(&format!(
            r#"{{"name": "s{group}", "configs": {{"g": "g{group}"}}, "proxies": {{"group": "g{group}"}}}}"#
        ))
        .await;
        mesh.accept(&config(group, 0)).await.expect("the configuration is accepted");
    }
    let version = mesh.accept(&config(0, 0)).await.expect("the configuration is accepted");
    let took = mesh.fleet.wait_running(&mesh.all(), version, WAIT_TIMEOUT).await;
    assert!(took.is_some(), "the first versions come into force");
    mesh
}

/// Returns the text of a group's configuration; each `n` gives another text.
pub fn config(group: usize, n: usize) -> String {
    let routes: Vec<Value> = (0..ROUTES)
        .map(|i| {
            json!({
                "prefix": format!("/group-{group}/change-{n}/route-{i}"),
                "service": "notice",
                "repeatable": ["GET", "HEAD"],
            })
        })
        .collect();
    json!({"id": format!("c{group}"), "labels": {"g": format!("g{group}")}, "routes": routes})
        .to_string()
}

/// Results of one change.
struct ChangeResult {
    times: Times,
    max_ms: f64,
    partial: usize,
    late: usize,
}

/// Accepts one change under the fault. Times are measured from just before the change is
/// accepted, or from the end of the fault if there is one.
async fn measure_change(mesh: &mut Mesh, options: &Options, n: usize) -> ChangeResult {
    let group = n % GROUPS;
    let text = config(group, n + 1);
    let (version, from_ms) = match options.fault.as_str() {
        "platform-outage" => {
            mesh.platform.change_faults(|faults| faults.outage = true);
            smol::Timer::after(FAULT_DURATION).await;
            mesh.platform.change_faults(|faults| faults.outage = false);
            (accept(mesh, &text).await, SystemClock::new().wall_ms())
        }
        "partition" => {
            let isolated = DOMAINS[n % DOMAINS.len()];
            mesh.fleet.cut(true);
            mesh.fleet.cut_platform(isolated, true);
            smol::Timer::after(FAULT_DURATION / 2).await;
            let version = accept(mesh, &text).await;
            smol::Timer::after(FAULT_DURATION / 2).await;
            mesh.fleet.cut(false);
            mesh.fleet.cut_platform(isolated, false);
            (version, SystemClock::new().wall_ms())
        }
        "herd" => {
            let killed: Vec<usize> = mesh.all().into_iter().filter(|i| (i + n) % 3 != 0).collect();
            killed.iter().for_each(|i| mesh.fleet.kill(*i));
            let version = accept(mesh, &text).await;
            smol::Timer::after(FAULT_DURATION / 4).await;
            killed.iter().for_each(|i| mesh.fleet.restart(*i));
            (version, SystemClock::new().wall_ms())
        }
        "freeze" => {
            let frozen: Vec<usize> = mesh.all().into_iter().filter(|i| (i + n) % 5 == 0).collect();
            frozen.iter().for_each(|i| mesh.fleet.freeze(*i, true));
            smol::Timer::after(FAULT_DURATION / 2).await;
            let version = accept(mesh, &text).await;
            smol::Timer::after(FAULT_DURATION / 2).await;
            frozen.iter().for_each(|i| mesh.fleet.freeze(*i, false));
            (version, SystemClock::new().wall_ms())
        }
        _ => {
            let start_ms = SystemClock::new().wall_ms();
            (accept(mesh, &text).await, start_ms)
        }
    };
    let converged = mesh.fleet.wait_running(&mesh.all(), version, WAIT_TIMEOUT).await;
    let mut result = ChangeResult {
        times: Times::default(),
        max_ms: 0.0,
        partial: 0,
        late: usize::from(converged.is_none()),
    };
    for i in mesh.all() {
        let Some(status) = mesh.fleet.status(i).await else { continue };
        let since = status["running_since_ms"].as_u64().unwrap_or(0);
        if status["running"] == version {
            result.times.add_ms(since.saturating_sub(from_ms) as f64);
        }
        result.partial += usize::from(!runs_own_config(&mesh.fleet, i, &status));
    }
    result.max_ms = result.times.max();
    result
}

async fn accept(mesh: &Mesh, text: &str) -> u64 {
    mesh.accept(text).await.expect("the configuration is accepted")
}

/// Returns whether a proxy runs the configuration of its group and no other.
fn runs_own_config(fleet: &Fleet, i: usize, status: &Value) -> bool {
    let expected = fleet.daemons[i].group.replace('g', "c");
    status["selected"] == json!([expected])
}

/// Reads the counters of all daemons and of the platform.
async fn counters(mesh: &Mesh) -> Counters {
    let mut bytes = 0;
    for i in mesh.all() {
        let status = mesh.fleet.status(i).await;
        bytes += status.and_then(|status| status["control_bytes"].as_u64()).unwrap_or(0);
    }
    Counters { bytes, calls: mesh.platform.counts().calls(), at_ms: SystemClock::new().wall_ms() }
}

impl Counters {
    /// Returns the differences from `before`.
    fn since(self, before: Counters) -> Counters {
        Counters {
            bytes: self.bytes.saturating_sub(before.bytes),
            calls: self.calls.saturating_sub(before.calls),
            at_ms: self.at_ms.saturating_sub(before.at_ms),
        }
    }

    /// Returns the bytes and calls, less those of an idle fleet in the same time.
    fn minus_idle(self, idle: Counters) -> (f64, f64) {
        let share = self.at_ms as f64 / (idle.at_ms as f64).max(1.0);
        (
            self.bytes as f64 - idle.bytes as f64 * share,
            self.calls as f64 - idle.calls as f64 * share,
        )
    }
}

/// Divides totals by a number of changes.
trait DivideBy {
    fn divided_by(self, n: f64) -> Self;
}

impl DivideBy for (f64, f64) {
    fn divided_by(self, n: f64) -> (f64, f64) {
        (self.0.max(0.0) / n, self.1.max(0.0) / n)
    }
}
