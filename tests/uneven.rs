//! Instances whose machines are slow for moments, with real processes: where calls go while a
//! machine is slow, and after it.

mod common;

use cicadashift_http::hyper::Method;
use cicadashift_testkit::hosted::fleet::HostedFleet;
use common::run;
use serde_json::json;
use std::path::Path;
use std::time::{Duration, Instant};

/// The usual pace of a machine.
const USUAL: Option<u16> = Some(100);
/// Rounds in which a call is to be redirected; one is enough on an idle machine.
const ROUNDS: u32 = 20;

async fn serving(count: usize) -> HostedFleet {
    HostedFleet::serving(Path::new(env!("CARGO_BIN_EXE_cicadashift")), count).await
}

/// Returns how many requests reached an instance.
fn arrivals(fleet: &HostedFleet, i: usize) -> usize {
    fleet.daemons[i].instance.arrivals().len()
}

/// Sends lookups to the first daemon, one after the other, for a time; returns how many there
/// were and how many of them reached the first instance.
async fn send_for(fleet: &HostedFleet, time: Duration, name: &str) -> (usize, usize) {
    let (began, before) = (Instant::now(), arrivals(fleet, 0));
    let mut sent = 0;
    while began.elapsed() < time {
        let status = fleet.status(0, "/notices/1", &format!("{name}-{sent}")).await;
        assert_eq!(status, Some(200), "{}", fleet.log(0));
        sent += 1;
    }
    (sent, arrivals(fleet, 0) - before)
}

#[test]
fn calls_leave_a_momentarily_slow_upstream_and_come_back() {
    // Guards against a slow moment of a machine that is remembered as a slow upstream: calls
    // leave it within some hundred milliseconds, and are back soon after the moment has passed
    // instead of seconds later.
    run(async {
        let fleet = serving(2).await;
        // The second upstream is slower for good, by more than times vary on a busy machine.
        for (node, ms) in fleet.daemons.iter().zip([120, 180]) {
            node.instance.set_service_time(Duration::from_millis(ms));
            node.instance.set_pace(USUAL);
        }
        let (sent, own) = send_for(&fleet, Duration::from_secs(3), "usual").await;
        assert!(own * 2 > sent, "the faster one is preferred: {own} of {sent}");
        fleet.daemons[0].instance.set_pace(Some(300));
        send_for(&fleet, Duration::from_millis(400), "turns").await;
        let (sent, own) = send_for(&fleet, Duration::from_millis(1800), "slow").await;
        assert!(own * 2 < sent, "calls leave: {own} of {sent}");
        let slow = async |fleet: &HostedFleet| {
            fleet.status(0, "/notices/1", "again").await;
            fleet.own_status(0).await["upstreams"][0]["pace"] == json!(300)
        };
        assert!(fleet.wait(slow).await, "{}", fleet.own_status(0).await);
        fleet.daemons[0].instance.set_pace(USUAL);
        send_for(&fleet, Duration::from_millis(1200), "turns-back").await;
        let (sent, own) = send_for(&fleet, Duration::from_millis(1500), "back").await;
        assert!(own * 2 > sent, "calls are back: {own} of {sent}");
    });
}

#[test]
fn a_call_that_finds_a_slow_machine_runs_elsewhere_once() {
    // Guards against a call that runs on a machine which became slow since the entry daemon's
    // last report, although another upstream has a free slot. In each round the second daemon
    // hears that its own machine is a little slow, and so would send to the first host, whose
    // machine has become very slow for a call of the first daemon.
    run(async {
        let fleet = serving(2).await;
        fleet.put_config(2, &["/notices/", "/lift/"]);
        let known = async |fleet: &HostedFleet| fleet.status(0, "/lift/1", "k").await;
        assert!(fleet.wait(async |fleet| known(fleet).await == Some(200)).await);
        fleet.daemons[0].instance.set_service_time(Duration::from_millis(60));
        fleet.daemons[1].instance.set_service_time(Duration::from_millis(100));
        fleet.daemons[1].instance.set_pace(USUAL);
        for n in 0..5 {
            assert_eq!(fleet.status(1, "/notices/1", &format!("learn-{n}")).await, Some(200));
        }
        fleet.daemons[0].instance.set_pace(Some(400));
        fleet.daemons[1].instance.set_pace(Some(140));
        let mut ids = Vec::new();
        for round in 0..ROUNDS {
            fleet.status(1, "/notices/1", &format!("near-{round}")).await;
            fleet.call(0, Method::POST, "/lift/1", &format!("far-{round}")).await;
            let id = format!("moves-{round}");
            assert_eq!(fleet.status(1, "/notices/1", &id).await, Some(200), "{}", fleet.log(1));
            ids.push(id);
            if fleet.log(0).contains("slow-host") {
                break;
            }
        }
        assert!(fleet.log(0).contains("slow-host"), "{}{}", fleet.log(0), fleet.log(1));
        for id in &ids {
            assert_eq!(fleet.ledger.count(id), 1, "{id}: {}", fleet.log(1));
        }
        let ran_at_first = fleet.daemons[0].instance.arrivals();
        let last = ids.last().expect("there was a round");
        assert!(ran_at_first.iter().all(|arrival| arrival.id != *last), "{}", fleet.log(0));
    });
}
