//! Rollouts of new versions, with real daemons and simulated instances of two versions.

mod common;

use cicadashift_http::exec;
use cicadashift_http::hyper::Method;
use cicadashift_testkit::hosted::fleet::HostedFleet;
use cicadashift_testkit::hosted::instance::AnswerMode;
use cicadashift_testkit::hosted::store::Outage;
use common::run;
use serde_json::{Value, json};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const STATUS: &str = "status/rollout/notice";
const ORDER: &str = "op/rollout/notice";
/// Time within which an ordered rollout must complete.
const DURATION: Duration = Duration::from_secs(9);
/// Time after the fiftieth bad answer of a version within which it must be rolled back, so
/// that no more calls reach it.
const MAX_ROLLBACK_TIME: Duration = Duration::from_secs(5);

/// Returns whether the instance at an index is of the new version: those at odd indices are.
fn is_new(i: usize) -> bool {
    i % 2 == 1
}

/// Starts daemons, half of them with an instance of the old version and half with one of the
/// new version.
async fn start_two_versions(count: usize) -> HostedFleet {
    let fleet = HostedFleet::serving(Path::new(env!("CARGO_BIN_EXE_cicadashift")), count).await;
    for i in (0..count).filter(|i| is_new(*i)) {
        fleet.daemons[i].instance.set_version("v2");
        assert!(fleet.daemons[i].instance.send_heartbeat().await);
    }
    fleet
}

/// Orders a rollout as the operator does.
fn order(fleet: &HostedFleet, target: &str) {
    let order = json!({
        "Service": "notice", "TargetVersion": target, "DurationS": DURATION.as_secs(),
    });
    fleet.store.put(ORDER, order.to_string().as_bytes());
}

/// Returns the state in the rollout's status.
fn state(fleet: &HostedFleet) -> Option<String> {
    let status: Value = serde_json::from_slice(&fleet.store.value(STATUS)?).ok()?;
    status["State"].as_str().map(str::to_string)
}

/// Returns how many requests have run so far at the instances of the new or old version.
fn runs(fleet: &HostedFleet, new: bool) -> usize {
    let nodes = fleet.daemons.iter().enumerate().filter(|(i, _)| is_new(*i) == new);
    nodes.map(|(_, node)| node.instance.caller_headers().len()).sum()
}

/// Callers that send requests until [`Load::end`], which returns the statuses of all answers.
struct Load {
    stop: Arc<AtomicBool>,
    callers: Vec<smol::Task<Vec<Option<u16>>>>,
}

impl Load {
    fn start(fleet: &HostedFleet, callers: usize) -> Load {
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
                        statuses.push(res.map(|res| res.status().as_u16()));
                        smol::Timer::after(Duration::from_millis(10)).await;
                    }
                    statuses
                })
            })
            .collect();
        Load { stop, callers }
    }

    async fn end(self) -> Vec<Option<u16>> {
        self.stop.store(true, Ordering::Relaxed);
        let mut all = Vec::new();
        for caller in self.callers {
            all.extend(caller.await);
        }
        all
    }
}

/// Waits until the status has a state; returns how long that took, or `None` if it took
/// longer than `timeout`.
async fn wait_for_state(fleet: &HostedFleet, wanted: &str, timeout: Duration) -> Option<Duration> {
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
async fn wait_until_running(fleet: &HostedFleet) {
    let running = wait_for_state(fleet, "running", Duration::from_secs(3)).await;
    assert!(running.is_some(), "{}", logs(fleet));
}

/// Returns the log lines of all daemons that concern rollouts.
fn logs(fleet: &HostedFleet) -> String {
    let lines = (0..fleet.daemons.len()).map(|i| {
        let log = fleet.log(i);
        let lines: Vec<&str> = log.lines().filter(|line| line.contains("rollout")).collect();
        format!("daemon {i}\n{}\n", lines.join("\n"))
    });
    lines.collect()
}

#[test]
fn a_good_version_takes_all_calls_in_time() {
    // A rollout to a version without faults. At first a few of its instances get a small
    // share of the calls, then all of its instances get all calls, and the status is
    // `completed` within the time of the order. No call fails, and after completion no call
    // reaches an old instance, since the operator stops these at once.
    run(async {
        let fleet = start_two_versions(6).await;
        let load = Load::start(&fleet, 12);
        order(&fleet, "v2");
        wait_until_running(&fleet).await;
        let completed = wait_for_state(&fleet, "completed", DURATION).await;
        assert!(completed.is_some(), "{:?} {}", state(&fleet), logs(&fleet));
        let old = runs(&fleet, false);
        smol::Timer::after(Duration::from_millis(500)).await;
        assert_eq!(runs(&fleet, false), old, "{}", logs(&fleet));
        let statuses = load.end().await;
        let bad = statuses.iter().filter(|status| **status != Some(200)).count();
        assert_eq!(bad, 0, "of {}", statuses.len());
    });
}

#[test]
fn a_bad_version_is_rolled_back_within_its_bound() {
    // Every answer of the new version is a failure. It gets no more than a tenth of the
    // calls plus fifty. Soon after its fiftieth failure the status is `rolled_back`, and then
    // no call reaches it. No call fails, since the old version answers in its place.
    run(async {
        let fleet = start_two_versions(6).await;
        order(&fleet, "v2");
        // Daemons that have not received the order treat the new version as an ordinary one.
        wait_until_running(&fleet).await;
        smol::Timer::after(Duration::from_secs(1)).await;
        for i in (0..6).filter(|i| is_new(*i)) {
            fleet.daemons[i].instance.set_answer_mode(AnswerMode::Failing);
        }
        let load = Load::start(&fleet, 12);
        let back = wait_for_state(&fleet, "rolled_back", MAX_ROLLBACK_TIME).await;
        assert!(back.is_some(), "{:?} {}", state(&fleet), logs(&fleet));
        smol::Timer::after(Duration::from_millis(300)).await;
        let (new, old) = (runs(&fleet, true), runs(&fleet, false));
        assert!(new as f64 <= 0.1 * (new + old) as f64 + 50.0, "{new} of {}", new + old);
        smol::Timer::after(Duration::from_millis(700)).await;
        assert_eq!(runs(&fleet, true), new, "{}", logs(&fleet));
        let statuses = load.end().await;
        let bad = statuses.iter().filter(|status| **status != Some(200)).count();
        assert_eq!(bad, 0, "of {}", statuses.len());
    });
}

/// Returns the daemon that logged that it is the decider.
fn find_decider(fleet: &HostedFleet) -> Option<usize> {
    (0..fleet.daemons.len()).find(|i| fleet.log(*i).contains("this daemon is the decider"))
}

#[test]
fn another_daemon_takes_over_when_the_decider_is_killed() {
    // The decider is killed in the canary phase. Its key expires after two seconds; then
    // another daemon takes over from the stored state and completes the rollout.
    run(async {
        let mut fleet = start_two_versions(6).await;
        let load = Load::start(&fleet, 12);
        order(&fleet, "v2");
        wait_until_running(&fleet).await;
        // The log thread may write the line after the store has the state.
        let is_logged = async |fleet: &HostedFleet| find_decider(fleet).is_some();
        assert!(fleet.wait(is_logged).await, "no daemon is the decider: {}", logs(&fleet));
        let decider = find_decider(&fleet).expect("a daemon is the decider");
        fleet.kill(decider);
        fleet.restart(decider);
        let completed = wait_for_state(&fleet, "completed", DURATION).await;
        assert!(completed.is_some(), "{:?} {}", state(&fleet), logs(&fleet));
        load.end().await;
    });
}

#[test]
fn an_order_without_instances_is_rolled_back() {
    // The ordered version has no instances, for instance because the operator mistyped it.
    // So nothing can be proven, and shortly before the time of the order is over the status
    // is `rolled_back`. No call fails.
    run(async {
        let fleet = start_two_versions(4).await;
        let load = Load::start(&fleet, 4);
        order(&fleet, "v3");
        let back = wait_for_state(&fleet, "rolled_back", DURATION).await;
        assert!(back.is_some(), "{:?} {}", state(&fleet), logs(&fleet));
        let statuses = load.end().await;
        assert!(statuses.iter().all(|status| *status == Some(200)));
    });
}

#[test]
fn a_rollout_ends_in_time_after_a_restart_of_all_daemons() {
    // All daemons are killed in the canary phase and start again, so that only the store has
    // the state of the rollout. The rollout ends within its time, and then calls are
    // answered.
    run(async {
        let mut fleet = start_two_versions(6).await;
        let load = Load::start(&fleet, 12);
        order(&fleet, "v2");
        wait_until_running(&fleet).await;
        smol::Timer::after(Duration::from_secs(1)).await;
        (0..6).for_each(|i| fleet.kill(i));
        (0..6).for_each(|i| fleet.restart(i));
        let started = Instant::now();
        let has_ended = |state: Option<String>| {
            state.is_some_and(|state| state == "completed" || state == "rolled_back")
        };
        while !has_ended(state(&fleet)) && started.elapsed() < DURATION {
            smol::Timer::after(Duration::from_millis(50)).await;
        }
        assert!(has_ended(state(&fleet)), "{:?} {}", state(&fleet), logs(&fleet));
        load.end().await;
        for n in 0..12 {
            let served = async |fleet: &HostedFleet| {
                let id = format!("end-{n}-{:08x}", fastrand::u32(..));
                fleet.status(n % 6, "/notices/end", &id).await == Some(200)
            };
            assert!(fleet.wait(served).await, "{}", logs(&fleet));
        }
    });
}

#[test]
fn without_the_store_a_bad_version_gets_no_more_than_its_bound() {
    // The store becomes unavailable in the canary phase, and then the new version begins to
    // fail. Nothing can be written, so that the status can't change and the canaries get no
    // more calls than they were granted before. Once the store is back, the version is
    // rolled back.
    run(async {
        let fleet = start_two_versions(6).await;
        let load = Load::start(&fleet, 12);
        order(&fleet, "v2");
        wait_until_running(&fleet).await;
        smol::Timer::after(Duration::from_millis(1500)).await;
        fleet.store.change_faults(|faults| faults.down = Some(Outage::Busy));
        let (new, old) = (runs(&fleet, true), runs(&fleet, false));
        for i in (0..6).filter(|i| is_new(*i)) {
            fleet.daemons[i].instance.set_answer_mode(AnswerMode::Failing);
        }
        smol::Timer::after(Duration::from_secs(3)).await;
        let (new, old) = (runs(&fleet, true) - new, runs(&fleet, false) - old);
        assert!(new as f64 <= 0.1 * (new + old) as f64 + 50.0, "{new} of {}", new + old);
        fleet.store.change_faults(|faults| faults.down = None);
        let back = wait_for_state(&fleet, "rolled_back", Duration::from_secs(3)).await;
        assert!(back.is_some(), "{:?} {}", state(&fleet), logs(&fleet));
        let statuses = load.end().await;
        let bad = statuses.iter().filter(|status| **status != Some(200)).count();
        assert_eq!(bad, 0, "of {}", statuses.len());
    });
}

#[test]
fn a_withdrawn_order_ends_its_rollout_and_another_one_may_follow() {
    // The operator withdraws the order in the canary phase: the new version gets no more
    // calls. A second order of the same version completes.
    run(async {
        let fleet = start_two_versions(6).await;
        let load = Load::start(&fleet, 12);
        order(&fleet, "v2");
        wait_until_running(&fleet).await;
        fleet.store.delete_prefix(ORDER);
        let back = wait_for_state(&fleet, "rolled_back", Duration::from_secs(3)).await;
        assert!(back.is_some(), "{:?} {}", state(&fleet), logs(&fleet));
        smol::Timer::after(Duration::from_secs(1)).await;
        let new = runs(&fleet, true);
        smol::Timer::after(Duration::from_millis(500)).await;
        assert_eq!(runs(&fleet, true), new, "{}", logs(&fleet));
        order(&fleet, "v2");
        let completed = wait_for_state(&fleet, "completed", DURATION).await;
        assert!(completed.is_some(), "{:?} {}", state(&fleet), logs(&fleet));
        let statuses = load.end().await;
        assert!(statuses.iter().all(|status| *status == Some(200)));
    });
}

#[test]
fn versions_without_an_order_are_ordinary() {
    // A release starts instances of another version without an order: they get calls as any
    // other instances do, and nothing is written to the store.
    run(async {
        let fleet = start_two_versions(4).await;
        let load = Load::start(&fleet, 4);
        smol::Timer::after(Duration::from_secs(1)).await;
        assert!(runs(&fleet, true) > 0 && runs(&fleet, false) > 0);
        assert_eq!(fleet.store.keys("cicadashift/rollout"), Vec::<String>::new());
        let statuses = load.end().await;
        assert!(statuses.iter().all(|status| *status == Some(200)));
    });
}
