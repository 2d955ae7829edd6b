//! `storm`: two thirds of the daemons die at once and come back at once.

use crate::stats::Times;
use crate::{Options, Outcome, converge};
use cicadashift::clock::{Clock, SystemClock};
use cicadashift_http::exec;
use cicadashift_testkit::caller::{CallOutcome, Caller};
use cicadashift_testkit::mesh::{Mesh, WAIT_TIMEOUT};
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

/// Between two calls of one caller.
const CALL_EVERY: Duration = Duration::from_millis(20);
/// Time between the death of the herd and its return.
const DOWN: Duration = Duration::from_millis(500);

#[derive(Default)]
struct Tally {
    stop: AtomicBool,
    sent: AtomicU64,
    refused: AtomicU64,
    unknown: AtomicU64,
    lost: AtomicU64,
}

pub async fn run(options: &Options) -> Outcome {
    let daemons = options.daemons.unwrap_or(60);
    let mut mesh = converge::start(options, daemons).await;
    let herd: Vec<usize> = mesh.all().into_iter().filter(|i| i % 3 != 0).collect();
    let (tally, callers) = callers(&mesh, &herd);
    smol::Timer::after(Duration::from_secs(1)).await;
    mesh.platform.reset_peak();
    herd.iter().for_each(|i| mesh.fleet.kill(*i));
    let version = mesh.accept(&converge::config(0, 1)).await.expect("accepted");
    smol::Timer::after(DOWN).await;
    let mut started = Vec::new();
    for i in &herd {
        started.push(SystemClock::new().wall_ms());
        mesh.fleet.restart(*i);
    }
    let back = mesh.fleet.wait_running(&mesh.all(), version, WAIT_TIMEOUT).await;
    let mut times = Times::default();
    for (i, started) in herd.iter().zip(&started) {
        let status = mesh.fleet.status(*i).await.unwrap_or_default();
        let since = status["running_since_ms"].as_u64().unwrap_or(u64::MAX);
        times.add_ms(since.saturating_sub(*started) as f64);
    }
    tally.stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await;
    }
    let count = |n: &AtomicU64| n.load(Ordering::Relaxed);
    let reverted = mesh.fleet.version_regressions();
    let mut broken = Vec::new();
    if back.is_none() {
        broken.push("an accepted configuration is in force everywhere within seconds");
    }
    if reverted > 0 {
        broken.push("no proxy goes back to an older version");
    }
    if count(&tally.lost) > 0 {
        broken.push("a caller gets the whole answer to its own request");
    }
    let summary = json!({
        "compared_with": "nothing; the bars are absolute",
        "daemons": daemons,
        "killed": herd.len(),
        "back_ms_p50": times.p50(),
        "back_ms_max": times.max(),
        "platform_calls_per_s_peak": mesh.platform.counts().peak_per_s,
        "calls": count(&tally.sent),
        "calls_refused": count(&tally.refused),
        "calls_unknown": count(&tally.unknown),
        "calls_lost": count(&tally.lost),
        "reverted": reverted,
    });
    Outcome { summary, broken }
}

/// Calls through daemons that survive, all the time.
fn callers(mesh: &Mesh, herd: &[usize]) -> (Arc<Tally>, Vec<smol::Task<()>>) {
    let tally = Arc::new(Tally::default());
    let survivors = mesh.all().into_iter().filter(|i| !herd.contains(i)).take(6);
    let tasks = survivors
        .map(|i| {
            let node = &mesh.fleet.daemons[i];
            let path = format!("/group-{}/change-0/route-1", node.group.trim_start_matches('g'));
            let (tally, caller) = (tally.clone(), Caller::new(node.callers));
            exec::spawn(async move { call(i, path, caller, tally).await })
        })
        .collect();
    (tally, tasks)
}

async fn call(i: usize, path: String, caller: Caller, tally: Arc<Tally>) {
    let mut n = 0;
    while !tally.stop.load(Ordering::Relaxed) {
        n += 1;
        let counter = match caller.call("POST", &path, &format!("{i}-{n}"), b"").await.outcome {
            // The change in the middle takes this route away from one group.
            CallOutcome::Answer { .. } | CallOutcome::Refused(404) => &tally.sent,
            CallOutcome::NotRun { .. } => &tally.refused,
            CallOutcome::Unknown => &tally.unknown,
            CallOutcome::Refused(_) | CallOutcome::Lost(_) => &tally.lost,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        smol::Timer::after(CALL_EVERY).await;
    }
}
