//! Requests that end the upstreams which run them, with real daemons and simulated instances.

mod common;

use cicadashift_http::exec;
use cicadashift_http::hyper::Method;
use cicadashift_testkit::hosted::fleet::{HostedCaller, HostedFleet};
use cicadashift_testkit::hosted::instance::{AnswerMode, FatalRun};
use cicadashift_testkit::hosted::store::Outage;
use common::run;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Instances that a request may end before daemons must quarantine it.
const FREE_ENDS: usize = 3;
/// Time after these ends within which every daemon that can be reached must quarantine the
/// request.
const QUARANTINE_DELAY: Duration = Duration::from_secs(3);
/// Maximum number of runs of the request after that.
const MAX_LATE_RUNS: usize = 3;

async fn serving(count: usize) -> HostedFleet {
    HostedFleet::serving(Path::new(env!("CARGO_BIN_EXE_cicadashift")), count).await
}

/// Returns the runs of a request that ends instances, at all instances, in order of time.
fn fatal_runs(fleet: &HostedFleet, path: &str) -> Vec<FatalRun> {
    let mut runs: Vec<_> =
        fleet.daemons.iter().flat_map(|node| node.instance.fatal_runs()).collect();
    runs.retain(|run| run.path == path);
    runs.sort_by_key(|run| run.at);
    runs
}

/// Returns how many runs began when all daemons should have quarantined the request.
fn count_late(runs: &[FatalRun]) -> usize {
    let Some(third) = runs.get(FREE_ENDS - 1) else { return 0 };
    let deadline = third.at + QUARANTINE_DELAY;
    runs.iter().filter(|run| run.at > deadline).count()
}

/// Sends a request to a daemon repeatedly until it has ended two instances; returns when.
async fn repeat_until_two_ends(fleet: &HostedFleet, i: usize, path: &str) -> Instant {
    let mut n = 0;
    while fatal_runs(fleet, path).len() < 2 {
        fleet.status(i, path, &format!("known-{i}-{n}")).await;
        n += 1;
        assert!(n < 100, "{}", fleet.log(i));
        smol::Timer::after(Duration::from_millis(50)).await;
    }
    Instant::now()
}

/// Sends a request; returns whether it is refused because it is quarantined.
async fn is_quarantined(caller: &HostedCaller, path: &str, id: &str) -> bool {
    let res = caller.call(Method::GET, path, id).await;
    res.is_some_and(|res| {
        let reason = res.headers().get("cicadashift-reason");
        reason.is_some_and(|reason| reason == "quarantined") && res.status() == 503
    })
}

/// Waits until the first `count` daemons have received the records of `count` instances.
async fn wait_for_instances(fleet: &HostedFleet, count: usize) {
    for i in 0..count {
        let known =
            fleet.wait(async |fleet: &HostedFleet| fleet.sees_instances(i, count).await).await;
        assert!(known, "daemon {i} has not received all instances: {}", fleet.log(i));
    }
}

#[test]
fn a_request_that_ends_instances_is_not_sent_on_for_ever() {
    // A caller repeats a request that ends the instance which runs it, for seven seconds,
    // under new ids and at each daemon in turn. Failure: the request ends every instance
    // that starts again, because each daemon takes it for a new call, and may send a call
    // that broke to a second instance. Calls to all else are refused meanwhile, since no
    // instance is left. After nineteen ends in a row, the logs had nothing but nine lines
    // "connection closed before message completed", for nine ids that never came again.
    run(async {
        let fleet = serving(4).await;
        let path = "/notices/guilty-1";
        let until = Instant::now() + Duration::from_secs(7);
        let mut n = 0;
        while Instant::now() < until {
            let status = fleet.status(n % 4, path, &format!("again-{n}")).await;
            assert_ne!(status, Some(200), "no instance can answer it");
            n += 1;
            smol::Timer::after(Duration::from_millis(100)).await;
        }
        let runs = fatal_runs(&fleet, path);
        assert!(runs.len() >= 2, "the request was quarantined from the start");
        let late = count_late(&runs);
        assert!(late <= MAX_LATE_RUNS, "{late} late runs, {} in all, of {n} calls", runs.len());
        for n in 0..40 {
            let id = format!("after-{n}");
            let status = fleet.status(n % 4, &format!("/notices/{n}"), &id).await;
            assert_eq!(status, Some(200), "request {n}: {}", fleet.trace(&id));
        }
    });
}

#[test]
fn a_request_sent_at_every_host_at_once_is_quarantined_everywhere() {
    // Four callers, one at each of four hosts in two failure domains, repeat the same
    // request at the same time. The calls in flight before the first end is detected may end
    // one instance each; after that the daemons must have informed each other.
    run(async {
        let fleet = serving(4).await;
        let path = "/notices/guilty-2";
        let callers: Vec<_> = (0..4)
            .map(|i| {
                let caller = fleet.caller(i);
                exec::spawn(async move {
                    for n in 0..60 {
                        caller.call(Method::GET, path, &format!("once-{i}-{n}")).await;
                        smol::Timer::after(Duration::from_millis(100)).await;
                    }
                })
            })
            .collect();
        for caller in callers {
            caller.await;
        }
        let runs = fatal_runs(&fleet, path);
        let late = count_late(&runs);
        assert!(late <= MAX_LATE_RUNS, "{late} late runs, {} in all", runs.len());
    });
}

#[test]
fn a_request_whose_caller_gave_up_before_the_end_is_quarantined() {
    // Each time the caller gives up after 40 ms, and the instance that still runs its
    // request ends 60 ms later. By then the daemon beside the instance no longer counts the
    // request among the calls in flight.
    run(async {
        let fleet = serving(4).await;
        fleet
            .daemons
            .iter()
            .for_each(|node| node.instance.set_service_time(Duration::from_millis(100)));
        let path = "/notices/guilty-left";
        let until = Instant::now() + Duration::from_secs(7);
        let mut n = 0;
        while Instant::now() < until {
            let id = format!("left-{n}");
            let call = fleet.status(n % 4, path, &id);
            assert_ne!(exec::timeout(Duration::from_millis(40), call).await, Some(Some(200)));
            // A request of another caller, which breaks when the instance ends.
            fleet.status(n % 4, &format!("/notices/{n}"), &format!("other-{n}")).await;
            n += 1;
        }
        let runs = fatal_runs(&fleet, path);
        let late = count_late(&runs);
        assert!(late <= MAX_LATE_RUNS, "{late} late runs, {} in all, of {n} calls", runs.len());
    });
}

#[test]
fn a_popular_request_is_not_quarantined() {
    // Many callers read the same notice repeatedly while twelve other requests end
    // instances. So the read is in flight at nearly every end. It is answered in between, and
    // must never be taken for the cause.
    run(async {
        let fleet = serving(4).await;
        let stop = Arc::new(AtomicBool::new(false));
        let readers: Vec<_> = (0..8)
            .map(|i| {
                let (caller, stop) = (fleet.caller(i % 4), stop.clone());
                exec::spawn(async move {
                    let (mut n, mut quarantined) = (0, 0);
                    while !stop.load(Ordering::Relaxed) {
                        n += 1;
                        let id = format!("read-{i}-{n}");
                        let refused = is_quarantined(&caller, "/notices/popular", &id).await;
                        quarantined += u32::from(refused);
                    }
                    quarantined
                })
            })
            .collect();
        for n in 0..12 {
            let path = format!("/notices/guilty-popular-{n}");
            repeat_until_two_ends(&fleet, n % 4, &path).await;
        }
        stop.store(true, Ordering::Relaxed);
        for reader in readers {
            assert_eq!(reader.await, 0);
        }
    });
}

#[test]
fn calls_in_flight_at_two_ends_of_a_new_fleet_are_served_again() {
    // The fleet has just started, so that no call was answered anywhere yet. Two popular
    // reads are in flight at both instances when these end for another reason. Both reads
    // are suspected of two ends. Failure: a quarantined call is sent to no instance, so that
    // no answer can clear these reads, and they are refused for ten minutes.
    run(async {
        let fleet = serving(2).await;
        fleet
            .daemons
            .iter()
            .for_each(|node| node.instance.set_service_time(Duration::from_millis(300)));
        let paths = ["/notices/popular-1", "/notices/popular-2"];
        let calls: Vec<_> = (0..16)
            .map(|n| {
                let (caller, id) = (fleet.caller(n % 2), format!("cold-{n}"));
                exec::spawn(async move { caller.call(Method::GET, paths[n / 2 % 2], &id).await })
            })
            .collect();
        smol::Timer::after(Duration::from_millis(100)).await;
        fleet.daemons.iter().for_each(|node| node.instance.crash());
        for call in calls {
            call.await;
        }
        fleet
            .daemons
            .iter()
            .for_each(|node| node.instance.set_service_time(Duration::from_millis(2)));
        wait_for_instances(&fleet, 2).await;
        for path in paths {
            let served = async |fleet: &HostedFleet| {
                let id = format!("again-{:08x}", fastrand::u32(..));
                fleet.status(1, path, &id).await == Some(200)
            };
            assert!(fleet.wait(served).await, "{path}: {}", fleet.log(1));
        }
        for n in 0..20 {
            let id = format!("then-{n}");
            assert_eq!(fleet.status(n % 2, paths[n / 2 % 2], &id).await, Some(200));
        }
    });
}

#[test]
fn instances_that_end_by_themselves_cause_no_quarantine() {
    // All instances of a failure domain end at once, not because of a request, while many
    // different requests are in flight; a second later those of the other domain do. The
    // requests must be answered when they are repeated.
    run(async {
        let fleet = serving(4).await;
        for node in &fleet.daemons {
            node.instance.set_service_time(Duration::from_millis(60));
        }
        for round in 0..4 {
            let path = |n: usize| format!("/notices/of-{n}");
            let calls: Vec<_> = (0..24)
                .map(|n| {
                    let (caller, id) = (fleet.caller(n % 4), format!("{round}-{n}"));
                    exec::spawn(async move { caller.call(Method::GET, &path(n), &id).await })
                })
                .collect();
            smol::Timer::after(Duration::from_millis(30)).await;
            let domain = if round % 2 == 0 { 0..2 } else { 2..4 };
            fleet.daemons[domain].iter().for_each(|node| node.instance.crash());
            for call in calls {
                call.await;
            }
            wait_for_instances(&fleet, 4).await;
            for n in 0..24 {
                let id = format!("after-{round}-{n}");
                let status = fleet.status(n % 4, &path(n), &id).await;
                let trace = fleet.trace(&id);
                assert_eq!(status, Some(200), "round {round}, request {n}: {trace}");
            }
        }
    });
}

#[test]
fn calls_that_reached_no_upstream_are_not_suspected() {
    // Both instances of a failure domain end, not because of a request, and new requests are
    // sent to them before their daemons have noticed. Failure: the requests, which reached
    // neither, count as in flight at both ends and are quarantined.
    run(async {
        let fleet = serving(4).await;
        fleet.daemons[..2].iter().for_each(|node| node.instance.crash());
        for node in &fleet.daemons[..2] {
            let is_closed = async |_: &HostedFleet| node.instance.refuses_connections().await;
            assert!(fleet.wait(is_closed).await, "the port is closed");
        }
        let calls: Vec<_> = (0..16)
            .map(|n| {
                let caller = fleet.caller(n % 2);
                let (path, id) = (format!("/notices/early-{n}"), format!("early-{n}"));
                exec::spawn(async move { caller.call(Method::GET, &path, &id).await })
            })
            .collect();
        for (n, call) in calls.into_iter().enumerate() {
            let status = call.await.map(|res| res.status().as_u16());
            assert_eq!(status, Some(200), "{}", fleet.trace(&format!("early-{n}")));
        }
        for i in 0..4 {
            let list = quarantine(&fleet, i, &["list"]).await;
            assert!(!list.contains(" ended "), "{list}{}", fleet.log(i));
        }
    });
}

#[test]
fn a_truncated_answer_does_not_count_as_an_end() {
    // Every instance truncates its answers for a while and continues to serve. The same
    // request is sent twenty times; once answers are complete again it must be answered.
    run(async {
        let fleet = serving(2).await;
        fleet.daemons.iter().for_each(|node| node.instance.set_answer_mode(AnswerMode::Truncating));
        for n in 0..20 {
            let status = fleet.status(n % 2, "/notices/broken", &format!("broken-{n}")).await;
            assert_eq!(status, Some(502));
        }
        fleet.daemons.iter().for_each(|node| node.instance.set_answer_mode(AnswerMode::Normal));
        assert_eq!(fleet.status(0, "/notices/broken", "whole").await, Some(200));
    });
}

#[test]
fn daemons_that_were_frozen_or_down_receive_the_quarantine() {
    // While the daemons of one failure domain find out which request ends instances, one
    // daemon of the other domain is frozen and one is down; the store is unavailable
    // throughout. Three seconds after they are back, both refuse the request, and no further
    // instance ends, since they received the quarantine from the other daemons.
    run(async {
        let mut fleet = serving(4).await;
        let path = "/notices/guilty-3";
        fleet.store.change_faults(|faults| faults.down = Some(Outage::Busy));
        fleet.signal(2, "-STOP");
        fleet.kill(3);
        repeat_until_two_ends(&fleet, 0, path).await;
        fleet.signal(2, "-CONT");
        fleet.restart(3);
        let ready = async |fleet: &HostedFleet| fleet.is_ready(3).await;
        assert!(fleet.wait(ready).await, "{}", fleet.log(3));
        smol::Timer::after(QUARANTINE_DELAY).await;
        let before = fatal_runs(&fleet, path).len();
        for i in 0..4 {
            assert!(is_quarantined(&fleet.caller(i), path, &format!("back-{i}")).await, "{i}");
        }
        assert_eq!(fatal_runs(&fleet, path).len(), before);
    });
}

#[test]
fn a_daemon_that_starts_without_the_store_receives_the_quarantine_by_comparison() {
    // A daemon is down while the others find out which request ends instances, and starts
    // when the others have sent all their updates. The store is unavailable, so that the
    // daemon can receive the quarantine only by a comparison with another daemon.
    run(async {
        let mut fleet = serving(3).await;
        let path = "/notices/guilty-7";
        fleet.store.change_faults(|faults| faults.down = Some(Outage::Busy));
        fleet.kill(2);
        repeat_until_two_ends(&fleet, 0, path).await;
        smol::Timer::after(Duration::from_secs(1)).await;
        fleet.restart(2);
        let ready = async |fleet: &HostedFleet| fleet.is_ready(2).await;
        assert!(fleet.wait(ready).await, "{}", fleet.log(2));
        smol::Timer::after(QUARANTINE_DELAY).await;
        let list = quarantine(&fleet, 2, &["list"]).await;
        assert!(list.contains("quarantined for"), "{list}{}", fleet.log(2));
    });
}

#[test]
fn a_quarantine_outlives_a_restart_of_all_daemons() {
    // The store is unavailable when a request is found to end instances. Once the store is
    // back, the quarantine is written to it. Then all daemons are killed at once, so that
    // none has the quarantine in memory; after their start they must refuse the request.
    run(async {
        let mut fleet = serving(3).await;
        let path = "/notices/guilty-4";
        fleet.store.change_faults(|faults| faults.down = Some(Outage::Busy));
        repeat_until_two_ends(&fleet, 1, path).await;
        fleet.store.change_faults(|faults| faults.down = None);
        let is_stored =
            async |fleet: &HostedFleet| !fleet.store.keys("cicadashift/quarantine/").is_empty();
        assert!(fleet.wait(is_stored).await, "{}", fleet.log(1));
        (0..3).for_each(|i| fleet.kill(i));
        (0..3).for_each(|i| fleet.restart(i));
        for i in 0..3 {
            let ready = async |fleet: &HostedFleet| fleet.is_ready(i).await;
            assert!(fleet.wait(ready).await, "{}", fleet.log(i));
        }
        wait_for_instances(&fleet, 3).await;
        let before = fatal_runs(&fleet, path).len();
        for i in 0..3 {
            assert!(is_quarantined(&fleet.caller(i), path, &format!("all-{i}")).await, "{i}");
        }
        assert_eq!(fatal_runs(&fleet, path).len(), before);
    });
}

#[test]
fn an_operator_sees_a_quarantine_and_lifts_it() {
    // The operator reads the digest of a quarantined request from the list of one daemon and
    // lifts the quarantine at another. The request is sent to instances again, and a further
    // instance ends.
    run(async {
        let fleet = serving(3).await;
        let path = "/notices/guilty-5";
        repeat_until_two_ends(&fleet, 0, path).await;
        for i in 0..3 {
            let caller = fleet.caller(i);
            let known = async |_: &HostedFleet| is_quarantined(&caller, path, "q").await;
            assert!(fleet.wait(known).await, "{}", fleet.log(i));
        }
        let list = quarantine(&fleet, 2, &["list"]).await;
        let line =
            list.lines().find(|line| line.contains("2 ended")).expect("the request is listed");
        assert!(line.contains("quarantined for"), "{line}");
        let call = line.split_whitespace().next().expect("a line begins with the digest");
        assert_eq!(quarantine(&fleet, 1, &["lift", call]).await, "lifted\n");
        let before = fatal_runs(&fleet, path).len();
        let ended = async |fleet: &HostedFleet| {
            fleet.status(0, path, "lifted").await;
            fatal_runs(fleet, path).len() > before
        };
        assert!(fleet.wait(ended).await, "{}", fleet.log(0));
    });
}

/// Runs `cicadashift quarantine` against a daemon; returns its standard output.
async fn quarantine(fleet: &HostedFleet, i: usize, args: &[&str]) -> String {
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_cicadashift"));
    command.arg("quarantine").args(args);
    command.arg("--daemon").arg(fleet.daemons[i].control.to_string());
    let output = smol::unblock(move || command.output()).await.expect("the command can be started");
    String::from_utf8_lossy(&output.stdout).into_owned()
}
