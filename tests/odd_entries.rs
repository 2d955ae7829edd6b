//! Entries of another writer in the store, and changes that are too large for one answer. The
//! daemons are real processes.

mod common;

use cicadashift_core::ids::{HostKey, Revision};
use cicadashift_core::rollout::{Phase, Stage};
use cicadashift_http::hyper::Method;
use cicadashift_testkit::hosted::fleet::{HostedFleet, config};
use cicadashift_testkit::hosted::store::{CONFIG_KEY, Outage};
use cicadashift_wire::rpc;
use common::run;
use serde::Serialize;
use serde_json::{Value, json};
use std::path::Path;
use std::time::Duration;

const DAEMONS: usize = 4;
/// Prefixes under which daemons read entries.
const PREFIXES: [&str; 6] = [
    "cicadashift/daemon/",
    "cicadashift/rollout/",
    "cicadashift/quarantine/",
    "op/rollout/",
    "servers/",
    "status/rollout/",
];
/// Time within which a change must be in force.
const CHANGE_TIME: Duration = Duration::from_secs(2);
/// Time after a start from which on a change must be in force in time.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Duration of the orders here, which come before their services have upstreams.
const ORDER_TIME: Duration = Duration::from_secs(5);
/// Time in which daemons without work make at most so many calls to the store: leases, watches and
/// the table of daemons.
const IDLE_TIME: Duration = Duration::from_secs(3);
const MAX_IDLE_CALLS: u64 = 60;
/// Changes during an outage that are too large for one answer together, and the size of each.
const LARGE_CHANGES: u64 = 12;
const LARGE_CHANGE_ROUTES: usize = 3000;

/// Returns values that are no entries, or absurd ones.
fn odd_values() -> Vec<Vec<u8>> {
    let nested = |open: &str, close: &str, depth: usize| {
        format!("{}1{}", open.repeat(depth), close.repeat(depth)).into_bytes()
    };
    let mut msgpack = vec![0x91_u8; 200_000];
    msgpack.push(1);
    vec![
        Vec::new(),
        vec![0xc1; 64],
        b"{\"mesh\":".to_vec(),
        nested("[", "]", 120),
        nested("[", "]", 100_000),
        nested("{\"mesh\":", "}", 100_000),
        msgpack,
        br#"{"mesh":"127.0.0.1:70000","domain":"a"}"#.to_vec(),
        br#"{"mesh":"127.0.0.1:0","domain":"a"}"#.to_vec(),
        br#"{"mesh":"255.255.255.255:9","domain":"a"}"#.to_vec(),
        br#"{"mesh":1e999,"domain":-1}"#.to_vec(),
        br#"{"Service":"notice","TargetVersion":"v2","DurationS":18446744073709551616}"#.to_vec(),
        br#"{"Service":"notice","TargetVersion":"v2","DurationS":1e308}"#.to_vec(),
        br#"{"Service":7,"TargetVersion":[],"DurationS":-1}"#.to_vec(),
    ]
}

async fn assert_served(fleet: &HostedFleet, when: &str) {
    for i in 0..DAEMONS {
        let is_ready = async |fleet: &HostedFleet| {
            fleet.is_ready(i).await && fleet.sees_instances(i, DAEMONS).await
        };
        assert!(fleet.wait(is_ready).await, "daemon {i} {when}: {}", fleet.log(i));
        let id = format!("{when}-{i}-{:08x}", fastrand::u32(..));
        let status = fleet.status(i, "/notices/1", &id).await;
        assert_eq!(status, Some(200), "daemon {i} {when}: {}", fleet.log(i));
    }
}

/// Accepts a configuration and checks that it is in force at all daemons in time.
async fn assert_change_in_force(fleet: &HostedFleet, version: u64, when: &str) {
    fleet.put_config(version, &["/notices/"]);
    smol::Timer::after(CHANGE_TIME).await;
    for i in 0..DAEMONS {
        let running = fleet.own_status(i).await["running"].clone();
        assert_eq!(running, json!(version), "daemon {i} {when}: {}", fleet.log(i));
    }
    assert!(!fleet.followers().await.is_empty(), "no daemon follows the store {when}");
}

/// Kills and restarts all daemons, and checks that they serve and that a change is in force in time.
async fn assert_restart(fleet: &mut HostedFleet, version: u64) {
    (0..DAEMONS).for_each(|i| fleet.kill(i));
    (0..DAEMONS).for_each(|i| fleet.restart(i));
    assert_served(fleet, "after a restart").await;
    smol::Timer::after(STABLE_WINDOW).await;
    assert_change_in_force(fleet, version, "after a restart").await;
    for i in 0..DAEMONS {
        assert_eq!(fleet.exit_code(i), None, "{}", fleet.log(i));
    }
}

#[test]
fn odd_entries_end_no_daemon_and_hide_no_change() {
    // Guards against daemons that end, or stop following the store, because of one entry that
    // another writer left: very deeply nested, with numbers too large or ports out of range.
    run(async {
        let program = Path::new(env!("CARGO_BIN_EXE_cicadashift"));
        let mut fleet = HostedFleet::serving(program, DAEMONS).await;
        for prefix in PREFIXES {
            for (n, value) in odd_values().iter().enumerate() {
                fleet.store.put(&format!("{prefix}odd-{n}"), value);
            }
            fleet.store.put_text(&format!("{prefix}odd-text"), "no base64");
        }
        assert_served(&fleet, "beside odd entries").await;
        assert_change_in_force(&fleet, 2, "beside odd entries").await;
        for i in 0..DAEMONS {
            assert_eq!(fleet.exit_code(i), None, "{}", fleet.log(i));
        }
        assert_restart(&mut fleet, 3).await;
    });
}

#[test]
fn odd_values_under_the_keys_of_daemons_end_no_daemon_and_hide_no_change() {
    // Guards against daemons that end, or do not find each other any more, because another
    // writer has overwritten all their entries.
    run(async {
        let program = Path::new(env!("CARGO_BIN_EXE_cicadashift"));
        let mut fleet = HostedFleet::serving(program, DAEMONS).await;
        let keys = fleet.store.keys("cicadashift/");
        assert!(!keys.is_empty());
        for (key, value) in keys.iter().zip(odd_values().iter().cycle().skip(1)) {
            fleet.store.put(key, value);
        }
        assert_change_in_force(&fleet, 2, "beside overwritten entries").await;
        assert_restart(&mut fleet, 3).await;
    });
}

/// A rollout as daemons store it.
#[derive(Serialize)]
struct StoredRollout {
    stage: Stage,
    began_ms: u64,
    seen: u64,
    granted: u64,
}

/// Returns rollouts of services that have no upstreams, with the largest and smallest numbers.
fn absurd_rollouts() -> Vec<StoredRollout> {
    let phases = [
        Phase::Canary { permille: u16::MAX, upstreams: vec![String::new(); 1000] },
        Phase::Cutover,
        Phase::Completed,
        Phase::RolledBack,
    ];
    let orders = [
        Revision { era: u64::MAX, number: i64::MAX },
        Revision { era: 0, number: i64::MIN },
        Revision { era: 0, number: 1 },
    ];
    let pairs = orders.iter().flat_map(|order| phases.iter().map(move |phase| (order, phase)));
    let stages = pairs.enumerate().map(|(n, (order, phase))| Stage {
        service: format!("nobody-{n}"),
        target: "v2".to_string(),
        order: *order,
        step: u32::MAX,
        decider: HostKey(u64::MAX),
        phase: phase.clone(),
    });
    let stored =
        |stage| StoredRollout { stage, began_ms: u64::MAX, seen: u64::MAX, granted: u64::MAX };
    stages.map(stored).collect()
}

#[test]
fn absurd_rollouts_end_no_daemon_and_hide_no_change() {
    // Guards against daemons that end because of a stored rollout whose numbers are too large, or
    // acquire and release its decider key for ever, and against orders that it hides.
    run(async {
        let program = Path::new(env!("CARGO_BIN_EXE_cicadashift"));
        let mut fleet = HostedFleet::serving(program, DAEMONS).await;
        for (n, rollout) in absurd_rollouts().iter().enumerate() {
            let service = &rollout.stage.service;
            fleet.store.put(&format!("cicadashift/rollout/{service}"), &rpc::encode(rollout));
            // The others count as withdrawn, and are ended by a daemon that follows the store.
            if n % 2 == 0 {
                let order = json!({
                    "Service": service, "TargetVersion": "v2", "DurationS": ORDER_TIME.as_secs(),
                });
                fleet.store.put(&format!("op/rollout/{service}"), order.to_string().as_bytes());
            }
        }
        assert_restart(&mut fleet, 2).await;
        smol::Timer::after(ORDER_TIME).await;
        for (n, StoredRollout { stage, .. }) in absurd_rollouts().iter().enumerate() {
            let status = fleet.store.value(&format!("status/rollout/{}", stage.service));
            let status = String::from_utf8(status.unwrap_or_default()).expect("a status is text");
            let is_ended = status.contains("rolled_back");
            assert_eq!(is_ended, n % 2 == 0, "{stage:?}: {status} {}", fleet.log(0));
        }
        let calls = fleet.store.calls();
        smol::Timer::after(IDLE_TIME).await;
        let calls = fleet.store.calls() - calls;
        assert!(calls <= MAX_IDLE_CALLS, "{calls} calls to the store: {}", fleet.log(0));
        for i in 0..DAEMONS {
            assert!(!fleet.log(i).contains("panicked"), "{}", fleet.log(i));
        }
    });
}

#[test]
fn odd_heartbeats_end_no_daemon() {
    // Guards against a daemon that ends because of a heartbeat that is very deeply nested, or
    // names numbers that are too large and ports that do not exist.
    run(async {
        let program = Path::new(env!("CARGO_BIN_EXE_cicadashift"));
        let mut fleet = HostedFleet::serving(program, DAEMONS).await;
        let heartbeat = |address: &str, slots: &str, seq: &str| {
            format!(
                r#"{{"Address":"{address}","Info":{{"Service":"notice","Version":"v1","Zone":"a",
                "Slots":{slots}}},"Status":{{"State":"ready","Seq":{seq},"ColdMs":1e999}}}}"#
            )
            .into_bytes()
        };
        let mut bodies = odd_values();
        bodies.push(heartbeat("127.0.0.1:70000", "9", "4"));
        bodies.push(heartbeat("127.0.0.1:0", "18446744073709551615", "18446744073709551615"));
        bodies.push(heartbeat("255.255.255.255:1", "-1", "1e308"));
        for (n, body) in bodies.into_iter().enumerate() {
            let req = cicadashift_http::hyper::Request::builder()
                .method(Method::PUT)
                .uri(format!("/cicadashift/instances/odd-{n}"))
                .header("host", "daemon")
                .header("content-type", "application/json")
                .body(cicadashift_http::body::full(body))
                .expect("a request");
            // A daemon may close the connection before it has read a heartbeat that is too long.
            let pool = cicadashift_http::client::Pool::new(1);
            let _answer = pool.exchange(fleet.daemons[0].control, req, 1 << 16, CHANGE_TIME).await;
            assert_eq!(fleet.exit_code(0), None, "heartbeat {n}: {}", fleet.log(0));
        }
        assert_eq!(fleet.exit_code(0), None, "{}", fleet.log(0));
        for i in 0..DAEMONS {
            let id = format!("after-{i}-{:08x}", fastrand::u32(..));
            let status = fleet.status(i, "/notices/1", &id).await;
            assert_eq!(status, Some(200), "daemon {i}: {}", fleet.log(i));
        }
    });
}

#[test]
fn changes_too_large_for_one_answer_are_followed_after_an_outage() {
    // Guards against daemons that stop following the store for ever: the configurations accepted
    // during an outage are more than they accept in one answer.
    run(async {
        let program = Path::new(env!("CARGO_BIN_EXE_cicadashift"));
        let fleet = HostedFleet::serving(program, DAEMONS).await;
        fleet.store.change_faults(|faults| faults.down = Some(Outage::Busy));
        smol::Timer::after(Duration::from_secs(1)).await;
        for version in 2..2 + LARGE_CHANGES {
            fleet.store.put(CONFIG_KEY, large_config(version).to_string().as_bytes());
        }
        fleet.store.change_faults(|faults| faults.down = None);
        let follows = async |fleet: &HostedFleet| !fleet.followers().await.is_empty();
        assert!(fleet.wait(follows).await, "{}", fleet.log(0));
        assert_change_in_force(&fleet, 2 + LARGE_CHANGES, "after an outage").await;
    });
}

/// Returns a configuration with many routes.
fn large_config(version: u64) -> Value {
    let prefixes: Vec<String> =
        (0..LARGE_CHANGE_ROUTES).map(|n| format!("/route-{n:05}-{}/", "x".repeat(40))).collect();
    let mut prefixes: Vec<&str> = prefixes.iter().map(String::as_str).collect();
    prefixes.push("/notices/");
    config(version, &prefixes)
}
