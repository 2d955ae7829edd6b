//! Requests that end the upstreams which run them, with real daemons beside stand-in
//! instances.

mod common;

use cicadashift_http::exec;
use cicadashift_http::hyper::Method;
use cicadashift_testkit::hosted::fleet::{HostedCaller, HostedFleet};
use cicadashift_testkit::hosted::instance::{Fatal, Manner};
use cicadashift_testkit::hosted::store::Down;
use common::run;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Instances that a request may end before it must be known.
const FREE_ENDS: usize = 3;
/// Time after which every daemon in touch must know it.
const KNOWN_AFTER: Duration = Duration::from_secs(3);
/// Most runs of it after that.
const LATE_RUNS: usize = 3;

async fn serving(count: usize) -> HostedFleet {
    HostedFleet::serving(Path::new(env!("CARGO_BIN_EXE_cicadashift")), count).await
}

/// Returns the runs of a guilty request over all instances, in their order.
fn fatal(fleet: &HostedFleet, path: &str) -> Vec<Fatal> {
    let mut runs: Vec<_> = fleet.nodes.iter().flat_map(|node| node.instance.fatal()).collect();
    runs.retain(|run| run.path == path);
    runs.sort_by_key(|run| run.at);
    runs
}

/// Returns how many runs began when the request had to be known everywhere.
fn late(runs: &[Fatal]) -> usize {
    let Some(third) = runs.get(FREE_ENDS - 1) else { return 0 };
    let known = third.at + KNOWN_AFTER;
    runs.iter().filter(|run| run.at > known).count()
}

/// Asks at a daemon again and again until the instances that ended are two; returns when.
async fn until_known(fleet: &HostedFleet, i: usize, path: &str) -> Instant {
    let mut n = 0;
    while fatal(fleet, path).len() < 2 {
        fleet.status(i, path, &format!("known-{i}-{n}")).await;
        n += 1;
        assert!(n < 100, "{}", fleet.log(i));
        smol::Timer::after(Duration::from_millis(50)).await;
    }
    Instant::now()
}

/// Returns whether an answer says that its request is sent to nobody.
async fn is_quarantined(caller: &HostedCaller, path: &str, id: &str) -> bool {
    let res = caller.call(Method::GET, path, id).await;
    res.is_some_and(|res| {
        let reason = res.headers().get("cicadashift-reason");
        reason.is_some_and(|reason| reason == "quarantined") && res.status() == 503
    })
}

/// Waits until a number of daemons know all instances again.
async fn all_back(fleet: &HostedFleet, count: usize) {
    for i in 0..count {
        let known = fleet.wait(async |fleet: &HostedFleet| fleet.knows(i, count).await).await;
        assert!(known, "daemon {i} knows all instances: {}", fleet.log(i));
    }
}

#[test]
fn a_request_that_ends_instances_is_not_sent_on_for_ever() {
    // A caller asks for something that ends the instance which runs it, and asks again
    // for seven seconds, under new ids and at each daemon in turn. Every instance that
    // comes back is ended by it: to each daemon it looked like a new call each time, and
    // a call that breaks may be sent to a second instance. Of nineteen ends in a row the
    // logs said no more than nine times "connection closed before message completed"
    // for nine ids that never came again. Callers of everything else are refused
    // meanwhile, since no instance is left.
    run(async {
        let fleet = serving(4).await;
        let path = "/notices/guilty-1";
        let until = Instant::now() + Duration::from_secs(7);
        let mut n = 0;
        while Instant::now() < until {
            let status = fleet.status(n % 4, path, &format!("again-{n}")).await;
            assert_ne!(status, Some(200), "nothing can answer it");
            n += 1;
            smol::Timer::after(Duration::from_millis(100)).await;
        }
        let runs = fatal(&fleet, path);
        assert!(runs.len() >= 2, "it was not known from the start");
        let late = late(&runs);
        assert!(late <= LATE_RUNS, "{late} late runs, {} in all, of {n} calls", runs.len());
        for n in 0..40 {
            let id = format!("after-{n}");
            assert_eq!(fleet.status(n % 4, &format!("/notices/{n}"), &id).await, Some(200));
        }
    });
}

#[test]
fn callers_at_every_host_that_ask_at_once_are_known_to_all() {
    // Four callers, one at each of four hosts in two failure domains, ask for the same
    // at the same moment, over and over. What is under way before the first end is known
    // may end one instance each; after that the daemons must have told each other.
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
        let runs = fatal(&fleet, path);
        let late = late(&runs);
        assert!(late <= LATE_RUNS, "{late} late runs, {} in all", runs.len());
    });
}

#[test]
fn a_caller_that_leaves_before_the_end_is_remembered() {
    // Each time the caller gives up after 40 ms, and the instance that still runs its
    // request ends 60 ms later. By then the request is at work nowhere, as far as the
    // daemon beside the instance knows.
    run(async {
        let fleet = serving(4).await;
        fleet.nodes.iter().for_each(|node| node.instance.set_work(Duration::from_millis(100)));
        let path = "/notices/guilty-left";
        let until = Instant::now() + Duration::from_secs(7);
        let mut n = 0;
        while Instant::now() < until {
            let id = format!("left-{n}");
            let call = fleet.status(n % 4, path, &id);
            assert_ne!(exec::timeout(Duration::from_millis(40), call).await, Some(Some(200)));
            // Somebody else's request, which breaks when the instance ends.
            fleet.status(n % 4, &format!("/notices/{n}"), &format!("other-{n}")).await;
            n += 1;
        }
        let runs = fatal(&fleet, path);
        let late = late(&runs);
        assert!(late <= LATE_RUNS, "{late} late runs, {} in all, of {n} calls", runs.len());
    });
}

#[test]
fn a_popular_request_keeps_its_name_clean() {
    // Many callers read the same notice all the while. Twelve different requests end
    // instance after instance under them, so that the notice is at nearly every end. It
    // runs well in between, and is never taken for the cause.
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
            until_known(&fleet, n % 4, &path).await;
        }
        stop.store(true, Ordering::Relaxed);
        for reader in readers {
            assert_eq!(reader.await, 0);
        }
    });
}

#[test]
fn calls_beside_two_ends_of_a_fresh_fleet_are_served_again() {
    // The fleet has just started, so that no call has run well anywhere. Two reads that
    // everybody asks for are at both instances when these end, through no fault of
    // either. Both are suspected of two ends, and since a quarantined call is sent to
    // nobody, no good run can ever clear them: callers would be refused for ten minutes.
    run(async {
        let fleet = serving(2).await;
        fleet.nodes.iter().for_each(|node| node.instance.set_work(Duration::from_millis(300)));
        let paths = ["/notices/popular-1", "/notices/popular-2"];
        let asking: Vec<_> = (0..16)
            .map(|n| {
                let (caller, id) = (fleet.caller(n % 2), format!("cold-{n}"));
                exec::spawn(async move { caller.call(Method::GET, paths[n / 2 % 2], &id).await })
            })
            .collect();
        smol::Timer::after(Duration::from_millis(100)).await;
        fleet.nodes.iter().for_each(|node| node.instance.end());
        for call in asking {
            call.await;
        }
        fleet.nodes.iter().for_each(|node| node.instance.set_work(Duration::from_millis(2)));
        all_back(&fleet, 2).await;
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
fn instances_that_end_by_themselves_make_no_request_guilty() {
    // All instances of a failure domain end at once, without any request to blame, under
    // many requests that differ; a second later those of the other domain. Who asks again
    // afterwards is served.
    run(async {
        let fleet = serving(4).await;
        for node in &fleet.nodes {
            node.instance.set_work(Duration::from_millis(60));
        }
        for round in 0..4 {
            let path = |n: usize| format!("/notices/of-{n}");
            let asking: Vec<_> = (0..24)
                .map(|n| {
                    let (caller, id) = (fleet.caller(n % 4), format!("{round}-{n}"));
                    exec::spawn(async move { caller.call(Method::GET, &path(n), &id).await })
                })
                .collect();
            smol::Timer::after(Duration::from_millis(30)).await;
            let domain = if round % 2 == 0 { 0..2 } else { 2..4 };
            fleet.nodes[domain].iter().for_each(|node| node.instance.end());
            for call in asking {
                call.await;
            }
            all_back(&fleet, 4).await;
            for n in 0..24 {
                let status = fleet.status(n % 4, &path(n), &format!("after-{round}-{n}")).await;
                assert_eq!(status, Some(200), "round {round}, request {n}");
            }
        }
    });
}

#[test]
fn an_answer_that_breaks_off_is_no_end() {
    // Every instance breaks its answers off for a while and goes on serving. The same is
    // asked for twenty times; when answers are whole again it is served.
    run(async {
        let fleet = serving(2).await;
        fleet.nodes.iter().for_each(|node| node.instance.set_manner(Manner::Truncating));
        for n in 0..20 {
            let status = fleet.status(n % 2, "/notices/broken", &format!("broken-{n}")).await;
            assert_eq!(status, Some(502));
        }
        fleet.nodes.iter().for_each(|node| node.instance.set_manner(Manner::Good));
        assert_eq!(fleet.status(0, "/notices/broken", "whole").await, Some(200));
    });
}

#[test]
fn daemons_that_were_frozen_or_started_meanwhile_know_it_too() {
    // While the daemons of one failure domain learn which request ends instances, one of
    // the other is frozen and one is down, and the store is away all the while. Three
    // seconds after they are back, both refuse it, and no further instance ends: they
    // hear of it from the others.
    run(async {
        let mut fleet = serving(4).await;
        let path = "/notices/guilty-3";
        fleet.store.fault(|faults| faults.down = Some(Down::Busy));
        fleet.signal(2, "-STOP");
        fleet.kill(3);
        until_known(&fleet, 0, path).await;
        fleet.signal(2, "-CONT");
        fleet.restart(3);
        let ready = async |fleet: &HostedFleet| fleet.is_ready(3).await;
        assert!(fleet.wait(ready).await, "{}", fleet.log(3));
        smol::Timer::after(KNOWN_AFTER).await;
        let before = fatal(&fleet, path).len();
        for i in 0..4 {
            assert!(is_quarantined(&fleet.caller(i), path, &format!("back-{i}")).await, "{i}");
        }
        assert_eq!(fatal(&fleet, path).len(), before);
    });
}

#[test]
fn a_daemon_that_starts_without_the_store_learns_it_by_comparing() {
    // A daemon is down while the others learn which request ends instances, and starts
    // when all of that has been told. The store is away, so that only a comparison with
    // another daemon can tell it.
    run(async {
        let mut fleet = serving(3).await;
        let path = "/notices/guilty-7";
        fleet.store.fault(|faults| faults.down = Some(Down::Busy));
        fleet.kill(2);
        until_known(&fleet, 0, path).await;
        smol::Timer::after(Duration::from_secs(1)).await;
        fleet.restart(2);
        let ready = async |fleet: &HostedFleet| fleet.is_ready(2).await;
        assert!(fleet.wait(ready).await, "{}", fleet.log(2));
        smol::Timer::after(KNOWN_AFTER).await;
        let list = quarantine(&fleet, 2, &["list"]).await;
        assert!(list.contains("quarantined for"), "{list}{}", fleet.log(2));
    });
}

#[test]
fn a_quarantine_outlives_a_restart_of_all_daemons() {
    // The store is away when a request is found to end instances. Once it is back the
    // quarantine is kept there. Then all daemons are killed in one moment, so that none
    // remembers; after their start they refuse the request.
    run(async {
        let mut fleet = serving(3).await;
        let path = "/notices/guilty-4";
        fleet.store.fault(|faults| faults.down = Some(Down::Busy));
        until_known(&fleet, 1, path).await;
        fleet.store.fault(|faults| faults.down = None);
        let kept =
            async |fleet: &HostedFleet| !fleet.store.keys("cicadashift/quarantine/").is_empty();
        assert!(fleet.wait(kept).await, "{}", fleet.log(1));
        (0..3).for_each(|i| fleet.kill(i));
        (0..3).for_each(|i| fleet.restart(i));
        for i in 0..3 {
            let ready = async |fleet: &HostedFleet| fleet.is_ready(i).await;
            assert!(fleet.wait(ready).await, "{}", fleet.log(i));
        }
        all_back(&fleet, 3).await;
        let before = fatal(&fleet, path).len();
        for i in 0..3 {
            assert!(is_quarantined(&fleet.caller(i), path, &format!("all-{i}")).await, "{i}");
        }
        assert_eq!(fatal(&fleet, path).len(), before);
    });
}

#[test]
fn an_operator_sees_a_quarantine_and_lifts_it() {
    // A request is quarantined. The operator finds its digest in the list of one daemon
    // and lifts it at another; it is sent on again, and a further instance ends.
    run(async {
        let fleet = serving(3).await;
        let path = "/notices/guilty-5";
        until_known(&fleet, 0, path).await;
        for i in 0..3 {
            let caller = fleet.caller(i);
            let known = async |_: &HostedFleet| is_quarantined(&caller, path, "q").await;
            assert!(fleet.wait(known).await, "{}", fleet.log(i));
        }
        let list = quarantine(&fleet, 2, &["list"]).await;
        let line = list.lines().find(|line| line.contains("2 ended")).expect("it is listed");
        assert!(line.contains("quarantined for"), "{line}");
        let call = line.split_whitespace().next().expect("the digest comes first");
        assert_eq!(quarantine(&fleet, 1, &["lift", call]).await, "lifted\n");
        let before = fatal(&fleet, path).len();
        let ended = async |fleet: &HostedFleet| {
            fleet.status(0, path, "lifted").await;
            fatal(fleet, path).len() > before
        };
        assert!(fleet.wait(ended).await, "{}", fleet.log(0));
    });
}

/// Runs `cicadashift quarantine` against a daemon; returns what it says.
async fn quarantine(fleet: &HostedFleet, i: usize, args: &[&str]) -> String {
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_cicadashift"));
    command.arg("quarantine").args(args);
    command.arg("--daemon").arg(fleet.nodes[i].control.to_string());
    let output = smol::unblock(move || command.output()).await.expect("it can be started");
    String::from_utf8_lossy(&output.stdout).into_owned()
}
