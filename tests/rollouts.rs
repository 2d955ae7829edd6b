//! Rollouts of new versions, with real daemons beside stand-in instances of two versions.

mod common;

use cicadashift_http::exec;
use cicadashift_http::hyper::Method;
use cicadashift_testkit::hosted::fleet::HostedFleet;
use cicadashift_testkit::hosted::instance::Manner;
use cicadashift_testkit::hosted::store::Down;
use common::run;
use serde_json::{Value, json};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const STATUS: &str = "status/rollout/notice";
const ORDER: &str = "op/rollout/notice";
/// Time that an order gives.
const DURATION: Duration = Duration::from_secs(9);
/// Time in which nothing more may reach a bad version, after its fiftieth bad answer.
const ROLL_BACK: Duration = Duration::from_secs(5);

/// Instances with an odd place are of the new version.
fn is_new(i: usize) -> bool {
    i % 2 == 1
}

/// Starts daemons, half beside the old version and half beside the new one.
async fn two_versions(count: usize) -> HostedFleet {
    let fleet = HostedFleet::serving(Path::new(env!("CARGO_BIN_EXE_cicadashift")), count).await;
    for i in (0..count).filter(|i| is_new(*i)) {
        fleet.nodes[i].instance.set_version("v2");
        assert!(fleet.nodes[i].instance.beat().await);
    }
    fleet
}

fn order(fleet: &HostedFleet, target: &str) {
    let order = json!({
        "Service": "notice", "TargetVersion": target, "DurationS": DURATION.as_secs(),
    });
    fleet.store.put(ORDER, order.to_string().as_bytes());
}

fn state(fleet: &HostedFleet) -> Option<String> {
    let status: Value = serde_json::from_slice(&fleet.store.value(STATUS)?).ok()?;
    status["State"].as_str().map(str::to_string)
}

/// Requests that ran at instances of a version so far.
fn runs(fleet: &HostedFleet, new: bool) -> usize {
    let nodes = fleet.nodes.iter().enumerate().filter(|(i, _)| is_new(*i) == new);
    nodes.map(|(_, node)| node.instance.seen().len()).sum()
}

/// Callers that ask all the while; returns their statuses when told to stop.
struct Load {
    stop: Arc<AtomicBool>,
    callers: Vec<smol::Task<Vec<Option<u16>>>>,
}

impl Load {
    fn start(fleet: &HostedFleet, callers: usize) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let callers = (0..callers)
            .map(|c| {
                let (caller, stop) = (fleet.caller(c % fleet.nodes.len()), stop.clone());
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

/// Waits until the status has a state; returns after what time.
async fn until_state(fleet: &HostedFleet, wanted: &str, most: Duration) -> Option<Duration> {
    let started = Instant::now();
    while started.elapsed() < most {
        if state(fleet).as_deref() == Some(wanted) {
            return Some(started.elapsed());
        }
        smol::Timer::after(Duration::from_millis(20)).await;
    }
    None
}

/// Waits until somebody has taken the order on.
async fn is_running(fleet: &HostedFleet) {
    let running = until_state(fleet, "running", Duration::from_secs(3)).await;
    assert!(running.is_some(), "{}", logs(fleet));
}

fn logs(fleet: &HostedFleet) -> String {
    let lines = (0..fleet.nodes.len()).map(|i| {
        let log = fleet.log(i);
        let lines: Vec<&str> = log.lines().filter(|line| line.contains("rollout")).collect();
        format!("daemon {i}\n{}\n", lines.join("\n"))
    });
    lines.collect()
}

#[test]
fn a_good_version_takes_all_calls_in_time() {
    // A service is ordered onto a version whose instances run beside the old ones. At
    // first a few of the new ones get a small share of the calls, then all of them get
    // all, and the status says so before its time is over. No caller notices, and from
    // then on no call reaches an old instance, since these are stopped at once.
    run(async {
        let fleet = two_versions(6).await;
        let load = Load::start(&fleet, 12);
        order(&fleet, "v2");
        is_running(&fleet).await;
        let completed = until_state(&fleet, "completed", DURATION).await;
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
fn a_bad_version_is_taken_back_within_its_bound() {
    // Every answer of the new version is a failure. It gets no more than a tenth of the
    // calls and fifty; soon after its fiftieth failure the status says that it is rolled
    // back, and then no call reaches it. Callers get their answers from the old version.
    run(async {
        let fleet = two_versions(6).await;
        order(&fleet, "v2");
        // Until all know of the order a new version is an ordinary one.
        is_running(&fleet).await;
        smol::Timer::after(Duration::from_secs(1)).await;
        for i in (0..6).filter(|i| is_new(*i)) {
            fleet.nodes[i].instance.set_manner(Manner::Failing);
        }
        let load = Load::start(&fleet, 12);
        let back = until_state(&fleet, "rolled_back", ROLL_BACK).await;
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

#[test]
fn another_daemon_goes_on_where_the_deciding_one_is_killed() {
    // The daemon that decides is killed while canaries are under way. Another one finds
    // its key gone after two seconds, reads how far it was, and completes the rollout.
    run(async {
        let mut fleet = two_versions(6).await;
        let load = Load::start(&fleet, 12);
        order(&fleet, "v2");
        is_running(&fleet).await;
        let decides = (0..6).find(|i| fleet.log(*i).contains("decided here"));
        let decides = decides.expect("somebody decides");
        fleet.kill(decides);
        fleet.restart(decides);
        let completed = until_state(&fleet, "completed", DURATION).await;
        assert!(completed.is_some(), "{:?} {}", state(&fleet), logs(&fleet));
        load.end().await;
    });
}

#[test]
fn an_order_whose_instances_never_come_is_rolled_back() {
    // An operator mistypes the version. Nothing of it is there, so nothing is proven; when
    // the time is nearly over the status says that it is rolled back, and nobody notices.
    run(async {
        let fleet = two_versions(4).await;
        let load = Load::start(&fleet, 4);
        order(&fleet, "v3");
        let back = until_state(&fleet, "rolled_back", DURATION).await;
        assert!(back.is_some(), "{:?} {}", state(&fleet), logs(&fleet));
        let statuses = load.end().await;
        assert!(statuses.iter().all(|status| *status == Some(200)));
    });
}

#[test]
fn a_restart_of_all_daemons_in_the_middle_comes_to_an_end() {
    // All daemons are killed while canaries are under way, and start again. Nobody
    // remembers how far it was; the store does. The rollout comes to an end in its time,
    // and then callers are served.
    run(async {
        let mut fleet = two_versions(6).await;
        let load = Load::start(&fleet, 12);
        order(&fleet, "v2");
        is_running(&fleet).await;
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
    // The store goes away while canaries are under way, and then the new version begins to
    // fail. Nothing can be written, so that no status changes; what canaries were granted
    // is all that they get. Once the store is back it is rolled back.
    run(async {
        let fleet = two_versions(6).await;
        let load = Load::start(&fleet, 12);
        order(&fleet, "v2");
        is_running(&fleet).await;
        smol::Timer::after(Duration::from_millis(1500)).await;
        fleet.store.fault(|faults| faults.down = Some(Down::Busy));
        let (new, old) = (runs(&fleet, true), runs(&fleet, false));
        for i in (0..6).filter(|i| is_new(*i)) {
            fleet.nodes[i].instance.set_manner(Manner::Failing);
        }
        smol::Timer::after(Duration::from_secs(3)).await;
        let (new, old) = (runs(&fleet, true) - new, runs(&fleet, false) - old);
        assert!(new as f64 <= 0.1 * (new + old) as f64 + 50.0, "{new} of {}", new + old);
        fleet.store.fault(|faults| faults.down = None);
        let back = until_state(&fleet, "rolled_back", Duration::from_secs(3)).await;
        assert!(back.is_some(), "{:?} {}", state(&fleet), logs(&fleet));
        let statuses = load.end().await;
        let bad = statuses.iter().filter(|status| **status != Some(200)).count();
        assert_eq!(bad, 0, "of {}", statuses.len());
    });
}

#[test]
fn an_order_that_is_taken_back_ends_its_rollout_and_another_one_may_follow() {
    // An operator takes an order back while canaries are under way: the new version gets
    // nothing from then on. The same version, ordered again, goes in.
    run(async {
        let fleet = two_versions(6).await;
        let load = Load::start(&fleet, 12);
        order(&fleet, "v2");
        is_running(&fleet).await;
        fleet.store.revoke(ORDER);
        let back = until_state(&fleet, "rolled_back", Duration::from_secs(3)).await;
        assert!(back.is_some(), "{:?} {}", state(&fleet), logs(&fleet));
        smol::Timer::after(Duration::from_secs(1)).await;
        let new = runs(&fleet, true);
        smol::Timer::after(Duration::from_millis(500)).await;
        assert_eq!(runs(&fleet, true), new, "{}", logs(&fleet));
        order(&fleet, "v2");
        let completed = until_state(&fleet, "completed", DURATION).await;
        assert!(completed.is_some(), "{:?} {}", state(&fleet), logs(&fleet));
        let statuses = load.end().await;
        assert!(statuses.iter().all(|status| *status == Some(200)));
    });
}

#[test]
fn versions_that_nobody_ordered_are_ordinary() {
    // A release starts instances of another version and nobody orders anything: they get
    // calls as any other, and nothing is written.
    run(async {
        let fleet = two_versions(4).await;
        let load = Load::start(&fleet, 4);
        smol::Timer::after(Duration::from_secs(1)).await;
        assert!(runs(&fleet, true) > 0 && runs(&fleet, false) > 0);
        assert_eq!(fleet.store.keys("cicadashift/rollout"), Vec::<String>::new());
        let statuses = load.end().await;
        assert!(statuses.iter().all(|status| *status == Some(200)));
    });
}
