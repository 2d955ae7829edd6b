//! `converge`: how long until every selected proxy runs what was accepted, and
//! what that costs.

use crate::baseline::Plain;
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
/// Routes of each; about six kilobytes of text.
const ROUTES: usize = 60;
/// How long a fault lasts.
const FAULT_TIME: Duration = Duration::from_secs(4);
/// How long the idle rates are measured, to be taken off.
const IDLE_TIME: Duration = Duration::from_secs(4);

/// What is counted before and after.
#[derive(Clone, Copy, Debug)]
struct Counters {
    bytes: u64,
    calls: u64,
    at_ms: u64,
}

pub async fn run(options: &Options) -> Outcome {
    let daemons = options.daemons.unwrap_or(60);
    let mut mesh = start(options, daemons).await;
    smol::Timer::after(Duration::from_secs(1)).await;
    let before = counters(&mesh).await;
    smol::Timer::after(IDLE_TIME).await;
    let idle = counters(&mesh).await.since(before);

    let mut times = Times::default();
    let (mut partial, mut late) = (0, 0);
    let begun = counters(&mesh).await;
    let changes = if options.fault == "none" { options.changes } else { options.changes.min(3) };
    for n in 0..changes {
        let round = change(&mut mesh, options, n).await;
        eprintln!("change {}: {} ms at the most", n + 1, round.worst);
        times.append(round.times);
        partial += round.partial;
        late += round.late;
    }
    let cost = counters(&mesh).await.since(begun);
    let per_change = cost.without(idle).per(changes as f64);
    let plain = compare(&mut mesh, changes, daemons).await;
    let reverted = mesh.fleet.version_regressions();
    let mut broken = Vec::new();
    if reverted > 0 {
        broken.push("no proxy goes back to an older version");
    }
    if partial > 0 {
        broken.push("a version is applied whole or not at all");
    }
    if late > 0 {
        broken.push("an accepted configuration is in force everywhere within seconds");
    }
    // Each byte between daemons is counted by its sender and its receiver, those
    // from the platform once; the plain design counts what is received.
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
        "baseline_p50_ms": plain.times.p50(),
        "baseline_p99_ms": plain.times.p99(),
        "baseline_max_ms": plain.times.max(),
        "baseline_bytes_per_change_per_daemon": round(plain.bytes),
        "baseline_platform_calls_per_change": round(plain.calls),
        "bytes_saved_factor": round(plain.bytes / bytes.max(1.0)),
    });
    Outcome { summary, broken }
}

/// What the plain design costs for the same changes.
struct Comparison {
    times: Times,
    bytes: f64,
    calls: f64,
}

/// Puts the same changes to a plain fleet on the same platform.
async fn compare(mesh: &mut Mesh, changes: usize, daemons: usize) -> Comparison {
    let plain = Plain::start(daemons, mesh.platform.addr);
    // The first change makes it fetch everything once, outside the figures.
    smol::Timer::after(Duration::from_secs(1)).await;
    let mut times = Times::default();
    let first = accept(mesh, &config(0, usize::MAX)).await;
    plain.wait(first, 0, &mut Times::default()).await;
    let (bytes, calls) = (plain.bytes(), mesh.platform.counts().calls());
    for n in 0..changes {
        let began = SystemClock::new().wall_ms();
        let version = accept(mesh, &config(n % GROUPS, 1_000_000 + n)).await;
        plain.wait(version, began, &mut times).await;
    }
    let per = 1.0 / changes as f64;
    let calls = mesh.platform.counts().calls() - calls;
    Comparison {
        times,
        bytes: (plain.bytes() - bytes) as f64 * per / daemons as f64,
        calls: calls as f64 * per,
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

/// Returns the text of a group's configuration; `n` makes it a new one.
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

/// What one change brought.
struct Round {
    times: Times,
    worst: f64,
    partial: usize,
    late: usize,
}

/// Accepts one change under the fault, and measures from the acceptance or, if
/// that is later, from the end of the fault.
async fn change(mesh: &mut Mesh, options: &Options, n: usize) -> Round {
    let group = n % GROUPS;
    let text = config(group, n + 1);
    let (version, from_ms) = match options.fault.as_str() {
        "platform-outage" => {
            mesh.platform.change_faults(|faults| faults.outage = true);
            smol::Timer::after(FAULT_TIME).await;
            mesh.platform.change_faults(|faults| faults.outage = false);
            (accept(mesh, &text).await, SystemClock::new().wall_ms())
        }
        "partition" => {
            let cut = DOMAINS[n % DOMAINS.len()];
            mesh.fleet.cut(true);
            mesh.fleet.cut_platform(cut, true);
            smol::Timer::after(FAULT_TIME / 2).await;
            let version = accept(mesh, &text).await;
            smol::Timer::after(FAULT_TIME / 2).await;
            mesh.fleet.cut(false);
            mesh.fleet.cut_platform(cut, false);
            (version, SystemClock::new().wall_ms())
        }
        "herd" => {
            let herd: Vec<usize> = mesh.all().into_iter().filter(|i| (i + n) % 3 != 0).collect();
            herd.iter().for_each(|i| mesh.fleet.kill(*i));
            let version = accept(mesh, &text).await;
            smol::Timer::after(FAULT_TIME / 4).await;
            herd.iter().for_each(|i| mesh.fleet.restart(*i));
            (version, SystemClock::new().wall_ms())
        }
        "freeze" => {
            let frozen: Vec<usize> = mesh.all().into_iter().filter(|i| (i + n) % 5 == 0).collect();
            frozen.iter().for_each(|i| mesh.fleet.freeze(*i, true));
            smol::Timer::after(FAULT_TIME / 2).await;
            let version = accept(mesh, &text).await;
            smol::Timer::after(FAULT_TIME / 2).await;
            frozen.iter().for_each(|i| mesh.fleet.freeze(*i, false));
            (version, SystemClock::new().wall_ms())
        }
        _ => {
            let began = SystemClock::new().wall_ms();
            (accept(mesh, &text).await, began)
        }
    };
    let reached = mesh.fleet.wait_running(&mesh.all(), version, WAIT_TIMEOUT).await;
    let mut round = Round {
        times: Times::default(),
        worst: 0.0,
        partial: 0,
        late: usize::from(reached.is_none()),
    };
    for i in mesh.all() {
        let Some(status) = mesh.fleet.status(i).await else { continue };
        let since = status["running_since_ms"].as_u64().unwrap_or(0);
        if status["running"] == version {
            round.times.add_ms(since.saturating_sub(from_ms) as f64);
        }
        round.partial += usize::from(!is_whole(&mesh.fleet, i, &status));
    }
    round.worst = round.times.max();
    round
}

async fn accept(mesh: &Mesh, text: &str) -> u64 {
    mesh.accept(text).await.expect("the configuration is accepted")
}

/// Returns whether a proxy runs exactly the configuration of its group.
fn is_whole(fleet: &Fleet, i: usize, status: &Value) -> bool {
    let expected = fleet.daemons[i].group.replace('g', "c");
    status["selected"] == json!([expected])
}

async fn counters(mesh: &Mesh) -> Counters {
    let mut bytes = 0;
    for i in mesh.all() {
        let status = mesh.fleet.status(i).await;
        bytes += status.and_then(|status| status["control_bytes"].as_u64()).unwrap_or(0);
    }
    Counters { bytes, calls: mesh.platform.counts().calls(), at_ms: SystemClock::new().wall_ms() }
}

impl Counters {
    fn since(self, before: Counters) -> Counters {
        Counters {
            bytes: self.bytes.saturating_sub(before.bytes),
            calls: self.calls.saturating_sub(before.calls),
            at_ms: self.at_ms.saturating_sub(before.at_ms),
        }
    }

    /// Takes off what an idle fleet would have cost in the same time.
    fn without(self, idle: Counters) -> (f64, f64) {
        let share = self.at_ms as f64 / (idle.at_ms as f64).max(1.0);
        (
            self.bytes as f64 - idle.bytes as f64 * share,
            self.calls as f64 - idle.calls as f64 * share,
        )
    }
}

trait Per {
    fn per(self, n: f64) -> Self;
}

impl Per for (f64, f64) {
    fn per(self, n: f64) -> (f64, f64) {
        (self.0.max(0.0) / n, self.1.max(0.0) / n)
    }
}
