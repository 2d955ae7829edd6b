//! `storm`: two thirds of the daemons are killed at once and restarted at once.

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

/// Time between two calls of one caller.
const CALL_INTERVAL: Duration = Duration::from_millis(20);
/// Time between killing the daemons and restarting them.
const DOWN_TIME: Duration = Duration::from_millis(500);

/// Results of the calls, shared by all callers; `stop` ends them.
#[derive(Default)]
struct Tally {
    stop: AtomicBool,
    /// Answered calls, with those that got a 404 because their route was removed.
    answered: AtomicU64,
    refused: AtomicU64,
    unknown: AtomicU64,
    lost: AtomicU64,
}

/// Runs the experiment.
pub async fn run(options: &Options) -> Outcome {
    let daemons = options.daemons.unwrap_or(60);
    let mut mesh = converge::start(options, daemons).await;
    let killed: Vec<usize> = mesh.all().into_iter().filter(|i| i % 3 != 0).collect();
    let (tally, callers) = start_callers(&mesh, &killed);
    smol::Timer::after(Duration::from_secs(1)).await;
    mesh.platform.reset_peak();
    killed.iter().for_each(|i| mesh.fleet.kill(*i));
    let version =
        mesh.accept(&converge::config(0, 1)).await.expect("the configuration is accepted");
    smol::Timer::after(DOWN_TIME).await;
    let mut started = Vec::new();
    for i in &killed {
        started.push(SystemClock::new().wall_ms());
        mesh.fleet.restart(*i);
    }
    let converged = mesh.fleet.wait_running(&mesh.all(), version, WAIT_TIMEOUT).await;
    let mut times = Times::default();
    for (i, started) in killed.iter().zip(&started) {
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
    let mut broken_promises = Vec::new();
    if converged.is_none() {
        broken_promises.push("an accepted configuration is in force everywhere within seconds");
    }
    if reverted > 0 {
        broken_promises.push("no proxy goes back to an older version");
    }
    if count(&tally.lost) > 0 {
        broken_promises.push("a caller gets the whole answer to its own request");
    }
    let summary = json!({
        "compared_with": "nothing; the bars are absolute",
        "daemons": daemons,
        "killed": killed.len(),
        "back_ms_p50": times.p50(),
        "back_ms_max": times.max(),
        "platform_calls_per_s_peak": mesh.platform.counts().peak_per_s,
        "calls": count(&tally.answered),
        "calls_refused": count(&tally.refused),
        "calls_unknown": count(&tally.unknown),
        "calls_lost": count(&tally.lost),
        "reverted": reverted,
    });
    Outcome { summary, broken_promises }
}

/// Starts callers that send calls through up to six surviving daemons until they are
/// stopped.
fn start_callers(mesh: &Mesh, killed: &[usize]) -> (Arc<Tally>, Vec<smol::Task<()>>) {
    let tally = Arc::new(Tally::default());
    let survivors = mesh.all().into_iter().filter(|i| !killed.contains(i)).take(6);
    let tasks = survivors
        .map(|i| {
            let node = &mesh.fleet.daemons[i];
            let path = format!("/group-{}/change-0/route-1", node.group.trim_start_matches('g'));
            let (tally, caller) = (tally.clone(), Caller::new(node.callers));
            exec::spawn(async move { call_until_stopped(i, path, caller, tally).await })
        })
        .collect();
    (tally, tasks)
}

/// Sends one call after another through a daemon and counts the results.
async fn call_until_stopped(i: usize, path: String, caller: Caller, tally: Arc<Tally>) {
    let mut n = 0;
    while !tally.stop.load(Ordering::Relaxed) {
        n += 1;
        let counter = match caller.call("POST", &path, &format!("{i}-{n}"), b"").await.outcome {
            // The configuration accepted during the run removes this route from group 0.
            CallOutcome::Answer { .. } | CallOutcome::Refused(404) => &tally.answered,
            CallOutcome::NotRun { .. } => &tally.refused,
            CallOutcome::Unknown => &tally.unknown,
            CallOutcome::Refused(_) | CallOutcome::Lost(_) => &tally.lost,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        smol::Timer::after(CALL_INTERVAL).await;
    }
}
