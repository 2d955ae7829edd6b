//! Calls from caller to upstream through daemons that run as processes.

mod common;

use cicadashift_http::exec;
use cicadashift_testkit::caller::CallOutcome;
use cicadashift_testkit::mesh::Mesh;
use common::{caller, is_answer, run, spec};
use std::process::Command;
use std::time::Duration;

#[test]
fn every_daemon_serves_calls_and_follows_a_new_configuration() {
    run(async {
        let mesh = Mesh::serving(spec(&["a", "b", "c"], 1)).await;
        for i in mesh.all() {
            let id = format!("call-{i}");
            let call = caller(&mesh, i).call("GET", "/notices/today", &id, b"").await;
            assert!(
                matches!(&call.outcome, CallOutcome::Answer { request, .. } if *request == id),
                "{call:?}"
            );
            assert_eq!(mesh.ledger.count(&id), 1);
        }
        let changed = r#"{"id": "notices", "labels": {"app": "notices"},
            "routes": [{"prefix": "/moved", "service": "notice"}]}"#;
        mesh.roll_out(changed).await;
        for i in mesh.all() {
            let gone = caller(&mesh, i).call("GET", "/notices", "gone", b"").await;
            assert_eq!(gone.outcome, CallOutcome::Refused(404));
            let moved = caller(&mesh, i).call("GET", "/moved", "moved", b"").await;
            assert!(is_answer(&moved.outcome), "{moved:?}");
        }
    });
}

#[test]
fn many_calls_at_once_each_get_their_own_answer() {
    run(async {
        let mesh = Mesh::serving(spec(&["a", "b"], 2)).await;
        let tasks: Vec<_> = (0..200)
            .map(|n| {
                let caller = caller(&mesh, n % 4);
                exec::spawn(async move {
                    let id = format!("own-{n}");
                    let body = format!("body of {n}").into_bytes();
                    let call = caller.call("POST", "/echo", &id, &body).await;
                    match call.outcome {
                        CallOutcome::Answer { request, body: got, .. } => {
                            assert_eq!((request, got.to_vec()), (id, body));
                        }
                        CallOutcome::NotRun { .. } => {}
                        other => panic!("{id}: {other:?}"),
                    }
                })
            })
            .collect();
        for task in tasks {
            task.await;
        }
        assert_eq!(mesh.ledger.duplicates(), 0);
    });
}

#[test]
fn a_planned_stop_cuts_no_call() {
    // Slow calls are in flight when the daemon that their callers are connected to, or
    // the one on the upstream's host, gets SIGTERM. Their callers still get whole answers:
    // the daemon announces that it leaves, finishes the calls in flight, and then exits.
    run(async {
        let mut mesh = Mesh::serving(spec(&["a"], 3)).await;
        mesh.upstreams
            .iter()
            .for_each(|u| u.change(|b| b.service_time = Duration::from_millis(400)));
        let tasks: Vec<_> = (0..12)
            .map(|n| {
                let caller = caller(&mesh, n % 3);
                exec::spawn(async move {
                    caller.call("POST", "/notices", &format!("slow-{n}"), b"x").await
                })
            })
            .collect();
        while mesh.ledger.len() < 12 {
            smol::Timer::after(Duration::from_millis(5)).await;
        }
        assert_eq!(mesh.fleet.stop(0).await, Some(0));
        for task in tasks {
            let call = task.await;
            assert!(is_answer(&call.outcome), "{call:?}");
        }
        assert_eq!(mesh.ledger.duplicates(), 0);
        let after = caller(&mesh, 1).call("GET", "/notices", "after", b"").await;
        assert!(is_answer(&after.outcome), "{after:?}");
    });
}

#[test]
fn invalid_settings_are_rejected() {
    let good = serde_json::json!({
        "host": "h", "failure_domain": "d", "callers": "127.0.0.1:1", "upstreams": "127.0.0.1:2",
        "mesh": "127.0.0.1:3", "platform": [], "witnesses": ["h"],
        "mesh_key": "sixteen bytes at least"
    });
    let cases = [
        ("unknown", "colour", serde_json::json!("red")),
        ("address", "mesh", serde_json::json!("nowhere")),
        ("contradiction", "mesh", serde_json::json!("127.0.0.1:1")),
        ("unreachable", "mesh", serde_json::json!("0.0.0.0:3")),
        ("name", "host", serde_json::json!("two words")),
        ("witnesses", "witnesses", serde_json::json!([])),
        ("key", "mesh_key", serde_json::json!("short")),
        ("threads", "threads", serde_json::json!(0)),
        ("log", "log", serde_json::json!({"level": "loud"})),
    ];
    let mut out = String::new();
    for (name, field, value) in cases {
        let mut settings = good.clone();
        settings[field] = value;
        out.push_str(&format!("{name}: {}", daemon_error(&settings)));
    }
    let mut missing = good.clone();
    missing.as_object_mut().expect("an object").remove("host");
    out.push_str(&format!("missing: {}", daemon_error(&missing)));
    insta::assert_snapshot!(out);
}

fn daemon_error(settings: &serde_json::Value) -> String {
    let name = format!("cicadashift-settings-{}.json", std::process::id());
    let file = std::env::temp_dir().join(name);
    std::fs::write(&file, settings.to_string()).expect("a temporary file");
    let program = env!("CARGO_BIN_EXE_cicadashift");
    let out = Command::new(program).args(["daemon", "--settings"]).arg(&file).output();
    let out = out.expect("the program starts");
    assert_eq!(out.status.code(), Some(2));
    let text = String::from_utf8_lossy(&out.stderr).into_owned();
    text.replace(&file.display().to_string(), "FILE")
}
