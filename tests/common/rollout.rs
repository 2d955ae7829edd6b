//! Fleets with instances of two versions, orders as the operator writes them, and callers.

use cicadashift_http::exec;
use cicadashift_http::hyper::Method;
use cicadashift_testkit::hosted::fleet::HostedFleet;
use serde_json::{Value, json};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

pub const STATUS: &str = "status/rollout/notice";
pub const ORDER: &str = "op/rollout/notice";
/// Time within which an ordered rollout must complete.
pub const DURATION: Duration = Duration::from_secs(9);
/// Time after the fiftieth bad answer of a version within which it must be rolled back, so
/// that no more calls reach it.
pub const MAX_ROLLBACK_TIME: Duration = Duration::from_secs(5);

/// Returns whether the instance at an index is of the new version: those at odd indices are.
pub fn is_new(i: usize) -> bool {
    i % 2 == 1
}

/// Starts daemons, half of them with an instance of the old version and half with one of the
/// new version.
pub async fn start_two_versions(count: usize) -> HostedFleet {
    let fleet = HostedFleet::serving(Path::new(env!("CARGO_BIN_EXE_cicadashift")), count).await;
    for i in (0..count).filter(|i| is_new(*i)) {
        fleet.daemons[i].instance.set_version("v2");
        assert!(fleet.daemons[i].instance.send_heartbeat().await);
    }
    fleet
}

/// Orders a rollout as the operator does.
pub fn order(fleet: &HostedFleet, target: &str) {
    let order = json!({
        "Service": "notice", "TargetVersion": target, "DurationS": DURATION.as_secs(),
    });
    fleet.store.put(ORDER, order.to_string().as_bytes());
}

/// Returns the state in the rollout's status.
pub fn state(fleet: &HostedFleet) -> Option<String> {
    let status: Value = serde_json::from_slice(&fleet.store.value(STATUS)?).ok()?;
    status["State"].as_str().map(str::to_string)
}

/// Returns how many requests have run so far at the instances of the new or old version.
pub fn runs(fleet: &HostedFleet, new: bool) -> usize {
    let nodes = fleet.daemons.iter().enumerate().filter(|(i, _)| is_new(*i) == new);
    nodes.map(|(_, node)| node.instance.caller_headers().len()).sum()
}

/// A request's id, and the status of its answer, if there was one.
pub type Answer = (String, Option<u16>);

/// Callers that send requests until [`Load::end`].
pub struct Load {
    stop: Arc<AtomicBool>,
    callers: Vec<smol::Task<Vec<Answer>>>,
}

impl Load {
    pub fn start(fleet: &HostedFleet, callers: usize) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let callers = (0..callers)
            .map(|c| {
                let (caller, stop) = (fleet.caller(c % fleet.daemons.len()), stop.clone());
                exec::spawn(async move {
                    let mut statuses = Vec::new();
                    while !stop.load(Ordering::Relaxed) {
                        let path = format!("/notices/{}", statuses.len());
                        let id = format!("r-{c}-{}", statuses.len());
                        let res = caller.call(Method::GET, &path, &id).await;
                        statuses.push((id, res.map(|res| res.status().as_u16())));
                        smol::Timer::after(Duration::from_millis(10)).await;
                    }
                    statuses
                })
            })
            .collect();
        Load { stop, callers }
    }

    /// Stops the callers; returns all answers.
    pub async fn end(self) -> Vec<Answer> {
        self.stop.store(true, Ordering::Relaxed);
        let mut all = Vec::new();
        for caller in self.callers {
            all.extend(caller.await);
        }
        all
    }

    /// Stops the callers.
    ///
    /// # Panics
    ///
    /// Panics with what the daemons decided, if any request was not answered with success.
    pub async fn end_without_failure(self, fleet: &HostedFleet) {
        let all = self.end().await;
        let failed: Vec<_> = all.iter().filter(|(_, status)| *status != Some(200)).collect();
        let traces: Vec<String> = failed.iter().map(|(id, _)| fleet.trace(id)).collect();
        assert!(failed.is_empty(), "{failed:?} of {}: {}", all.len(), traces.concat());
    }
}

/// Waits until the status has a state; returns how long that took, or `None` if it took
/// longer than `timeout`.
pub async fn wait_for_state(
    fleet: &HostedFleet,
    wanted: &str,
    timeout: Duration,
) -> Option<Duration> {
    let started = Instant::now();
    while started.elapsed() < timeout {
        if state(fleet).as_deref() == Some(wanted) {
            return Some(started.elapsed());
        }
        smol::Timer::after(Duration::from_millis(20)).await;
    }
    None
}

/// Waits until a daemon has become the decider of the order.
pub async fn wait_until_running(fleet: &HostedFleet) {
    let running = wait_for_state(fleet, "running", Duration::from_secs(3)).await;
    assert!(running.is_some(), "{}", logs(fleet));
}

/// Returns the log lines of all daemons that concern rollouts.
pub fn logs(fleet: &HostedFleet) -> String {
    let lines = (0..fleet.daemons.len()).map(|i| {
        let log = fleet.log(i);
        let lines: Vec<&str> = log.lines().filter(|line| line.contains("rollout")).collect();
        format!("daemon {i}\n{}\n", lines.join("\n"))
    });
    lines.collect()
}
