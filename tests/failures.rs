//! Tests of failures, with real processes: daemons that are killed, frozen or partitioned, and
//! a store that is out, slow or loses answers.

mod common;

use cicadashift_core::delivery::head::Operation;
use cicadashift_testkit::caller::CallOutcome;
use cicadashift_testkit::mesh::{Mesh, NOTICES_CONFIG, WAIT_TIMEOUT};
use common::{call_until, caller, is_answer, run, spec};
use std::time::Duration;

const CHANGED: &str = r#"{"id": "notices", "labels": {"app": "notices"},
    "routes": [{"prefix": "/notices", "service": "notice"}, {"prefix": "/new", "service": "notice"}]}"#;

#[test]
fn a_restart_during_an_outage_learns_its_floor_from_the_witnesses() {
    // The store is out, and one daemon is killed and restarts without any state. Two of three
    // witnesses remember which version ran, so the daemon runs that version and none older,
    // and its callers get answers again.
    run(async {
        let mut mesh = Mesh::serving(spec(&["a"], 3)).await;
        let (version, _) = mesh.roll_out(CHANGED).await;
        mesh.platform.change_faults(|faults| faults.outage = true);
        mesh.fleet.kill(2);
        mesh.fleet.restart(2);
        let took = mesh.fleet.wait_running(&[2], version, WAIT_TIMEOUT).await;
        assert!(took.is_some(), "{}", mesh.fleet.log(2));
        mesh.announce_all().await;
        call_until(&caller(&mesh, 2), "after", is_answer).await;
    });
}

#[test]
fn a_fresh_daemon_without_store_and_witnesses_refuses_calls() {
    // All daemons are killed during an outage of the store and restart without any state, so
    // that no witness remembers which version ran. Callers get a refusal as not run, with a
    // time to retry, until the store answers again.
    run(async {
        let mut mesh = Mesh::serving(spec(&["a"], 3)).await;
        mesh.platform.change_faults(|faults| faults.outage = true);
        for i in mesh.all() {
            mesh.fleet.kill(i);
        }
        for i in mesh.all() {
            mesh.fleet.restart(i);
        }
        mesh.announce_all().await;
        assert!(mesh.fleet.wait_joined(WAIT_TIMEOUT).await);
        let refused = caller(&mesh, 0).call("GET", "/notices", "early", b"").await;
        let CallOutcome::NotRun { reason, retry_after } = refused.outcome else {
            panic!("{refused:?}")
        };
        assert_eq!(reason, "no-configuration");
        // The time is spread, so that callers refused at the same moment do not all return
        // at the same moment.
        let expected = Duration::from_millis(200)..=Duration::from_millis(600);
        assert!(expected.contains(&retry_after), "{retry_after:?}");
        assert_eq!(mesh.ledger.count("early"), 0);
        let status = mesh.fleet.status(0).await.expect("it answers operators");
        assert_eq!((status["floor"].is_null(), status["running"].as_u64()), (true, Some(0)));
        mesh.platform.change_faults(|faults| faults.outage = false);
        call_until(&caller(&mesh, 0), "late", is_answer).await;
    });
}

#[test]
fn a_frozen_reader_neither_blocks_nor_rolls_back_a_version() {
    // The reader is frozen past its lease while a version is accepted. Another daemon becomes
    // reader, and the version comes into force on the other daemons. When the frozen daemon
    // resumes, it catches up, and no daemon goes back to the older version.
    run(async {
        let mesh = Mesh::serving(spec(&["a"], 4)).await;
        let mut reader = None;
        for i in mesh.all() {
            let status = mesh.fleet.status(i).await.expect("every daemon answers its operators");
            if status["reader"] == true {
                reader = Some(i);
            }
        }
        let reader = reader.expect("one daemon is the reader");
        mesh.fleet.freeze(reader, true);
        let version = mesh.accept(CHANGED).await.expect("accepted");
        let others: Vec<_> = mesh.all().into_iter().filter(|i| *i != reader).collect();
        assert!(mesh.fleet.wait_running(&others, version, WAIT_TIMEOUT).await.is_some());
        mesh.fleet.freeze(reader, false);
        assert!(mesh.fleet.wait_running(&mesh.all(), version, WAIT_TIMEOUT).await.is_some());
        call_until(&caller(&mesh, reader), "thawed", is_answer).await;
    });
}

#[test]
fn a_write_with_a_lost_answer_applies_once() {
    // The write of a new head takes effect, but its answer is lost. The operator gets the
    // version that the write created, and no second version is created.
    run(async {
        let mesh = Mesh::serving(spec(&["a"], 1)).await;
        let before = mesh.accept(NOTICES_CONFIG).await.expect("accepted");
        mesh.platform.change_faults(|faults| faults.lose_answers = 2);
        let version = mesh.accept(CHANGED).await.expect("settled");
        assert_eq!(version, before + 1);
        let next = mesh.accept(NOTICES_CONFIG).await.expect("accepted");
        assert_eq!(next, before + 2);
    });
}

#[test]
fn concurrent_operators_are_ordered_and_a_conflict_is_reported() {
    // Two operators change different labels at once: both changes take effect, as two
    // consecutive versions. Two operators withdraw the same configuration at once: one
    // succeeds, and the other gets an error.
    run(async {
        let mesh = Mesh::serving(spec(&["a"], 1)).await;
        let label = |host: &str| Operation::SetLabels {
            host: host.to_string(),
            labels: [("k".to_string(), "v".to_string())].into(),
        };
        let (one, other) = (label("x"), label("y"));
        let (a, b) = smol::future::zip(mesh.commit(&one), mesh.commit(&other)).await;
        let (a, b) = (a.expect("first"), b.expect("second"));
        assert_eq!(a.abs_diff(b), 1);
        let withdraw = Operation::Withdraw("notices".to_string());
        let (a, b) = smol::future::zip(mesh.commit(&withdraw), mesh.commit(&withdraw)).await;
        assert_eq!([&a, &b].iter().filter(|result| result.is_ok()).count(), 1, "{a:?} {b:?}");
    });
}

#[test]
fn no_daemon_runs_a_version_with_a_damaged_object() {
    // An object of an accepted configuration is damaged in the store before a daemon reads it.
    // No daemon runs any part of that version, all keep the version before, and the reader's
    // status shows why. The next valid version comes into force.
    run(async {
        let mesh = Mesh::serving(spec(&["a"], 3)).await;
        let before = mesh.fleet.status(0).await.expect("it answers")["running"].as_u64();
        let objects = mesh.platform.keys("cicadashift/object/");
        mesh.platform.change_faults(|faults| faults.delay = Duration::from_millis(150));
        let version = mesh.accept(CHANGED).await.expect("accepted");
        for key in mesh.platform.keys("cicadashift/object/") {
            let text = mesh.platform.get(&key).unwrap_or_default();
            if !objects.contains(&key) && text.starts_with(b"{\"id\"") {
                mesh.platform.corrupt(&key, b"damaged");
            }
        }
        mesh.platform.change_faults(|faults| faults.delay = Duration::ZERO);
        let key = version.to_string();
        let is_reported = |status: &serde_json::Value| !status["bad"][&key].is_null();
        let mut reader = Vec::new();
        for i in mesh.all() {
            if mesh.fleet.status(i).await.expect("it answers")["reader"] == true {
                reader.push(i);
            }
        }
        assert!(mesh.fleet.wait_all(&reader, WAIT_TIMEOUT, is_reported).await.is_some());
        for i in mesh.all() {
            assert_eq!(mesh.fleet.status(i).await.expect("it answers")["running"].as_u64(), before);
            assert!(is_answer(&caller(&mesh, i).call("GET", "/notices", "on", b"").await.outcome));
        }
        mesh.roll_out(NOTICES_CONFIG).await;
    });
}

#[test]
fn a_partitioned_domain_serves_and_follows_the_store_on_its_own() {
    // The failure domains are partitioned from each other, and each serves calls with its own
    // upstreams. A version accepted during the partition comes into force on every daemon,
    // since the store stays reachable, and is still in force after it. No call runs twice.
    run(async {
        let mesh = Mesh::serving(spec(&["a", "b"], 2)).await;
        mesh.fleet.cut(true);
        for i in mesh.all() {
            call_until(&caller(&mesh, i), &format!("cut-{i}"), is_answer).await;
        }
        let (version, _) = mesh.roll_out(CHANGED).await;
        mesh.fleet.cut(false);
        assert!(mesh.fleet.wait_running(&mesh.all(), version, WAIT_TIMEOUT).await.is_some());
        assert_eq!(mesh.ledger.duplicates(), 0);
    });
}

#[test]
fn a_draining_upstream_gets_no_new_calls() {
    // An upstream reports that it drains. Once all daemons know this, no new call starts on
    // it, and callers still get answers from the other upstreams.
    run(async {
        let mesh = Mesh::serving(spec(&["a"], 3)).await;
        mesh.upstreams[0].drain().await.expect("the daemon takes the report");
        let elsewhere = |status: &serde_json::Value| status["services"]["notice"] == 2;
        assert!(mesh.fleet.wait_all(&mesh.all(), WAIT_TIMEOUT, elsewhere).await.is_some());
        let before = mesh.upstreams[0].executions();
        for n in 0..60 {
            let call = caller(&mesh, n % 3).call("POST", "/notices", &format!("d-{n}"), b"").await;
            assert!(is_answer(&call.outcome), "{call:?}");
        }
        assert_eq!(mesh.upstreams[0].executions(), before);
    });
}

#[test]
fn an_unknown_outcome_is_reported_and_not_retried() {
    // Exit daemons are killed while their upstreams run calls. A call that must not be
    // repeated runs once, and its caller gets the answer or an unknown outcome; an idempotent
    // call is answered by another upstream.
    run(async {
        let mut mesh = Mesh::serving(spec(&["a"], 3)).await;
        mesh.upstreams
            .iter()
            .for_each(|u| u.change(|b| b.service_time = Duration::from_millis(700)));
        let entry = caller(&mesh, 0);
        let calls: Vec<_> = (0..9)
            .map(|n| {
                let caller = caller(&mesh, 0);
                cicadashift_http::exec::spawn(async move {
                    let method = if n % 3 == 0 { "GET" } else { "POST" };
                    (method, caller.call(method, "/notices", &format!("p-{n}"), b"x").await)
                })
            })
            .collect();
        while mesh.ledger.len() < 9 {
            smol::Timer::after(Duration::from_millis(5)).await;
        }
        mesh.fleet.kill(1);
        mesh.fleet.kill(2);
        for task in calls {
            let (method, call) = task.await;
            let is_expected = is_answer(&call.outcome)
                || (method == "POST" && call.outcome == CallOutcome::Unknown);
            assert!(is_expected, "{method} {call:?}");
        }
        for n in (0..9).filter(|n| n % 3 != 0) {
            assert_eq!(mesh.ledger.count(&format!("p-{n}")), 1);
        }
        drop(entry);
    });
}
