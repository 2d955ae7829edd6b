//! Admission of calls together with their nested calls, with real processes: one service
//! whose instance calls another one at the end of each run.

mod common;

use cicadashift_http::exec;
use cicadashift_http::hyper::Method;
use cicadashift_testkit::hosted::fleet::{HOST, HostedFleet};
use cicadashift_testkit::hosted::instance::NestedCalls;
use cicadashift_testkit::hosted::store::CONFIG_KEY;
use common::run;
use serde_json::{Value, json};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The daemon beside the calling instance, and the one beside the called instance.
const CALLING: usize = 0;
const CALLED: usize = 1;
/// Time between two calls of callers.
const GAP: Duration = Duration::from_millis(25);
/// Longest time in which a refusal that needs no other host is to be answered; other tests
/// run beside this one.
const AT_ONCE: Duration = Duration::from_millis(100);

/// One answer to a caller.
struct Answer {
    status: u16,
    took: Duration,
    reason: String,
    retry_after: Option<f64>,
}

fn config() -> Value {
    let route = |name: &str, service: &str, objective_ms: u64| {
        json!({
            "Name": name, "Prefix": format!("/{name}/"), "Kind": "idempotent", "TimeoutMs": 1500,
            "TargetLatencyMs": objective_ms, "Priority": 1, "Service": service, "MaxAttempts": 1,
        })
    };
    let service = |name: &str| {
        json!({"Name": name, "HealthPath": "/health", "MaxConnections": 110, "Protocol": "h1",
               "Tls": false})
    };
    json!({
        "Version": "r1",
        "Services": [service("notice"), service("lookup")],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1048576, "HeaderTimeoutMs": 3000,
                   "IdleTimeoutMs": 15000},
        "VirtualHosts": [{"Host": HOST, "Paths": [
            route("notices", "notice", 600), route("lookups", "lookup", 300)]}],
    })
}

/// Calls the calling service from the other host at a constant rate and returns the answers.
async fn call_often(fleet: &HostedFleet, name: &str, count: usize) -> Vec<Answer> {
    let caller = Arc::new(fleet.caller(CALLED));
    let mut calls = Vec::new();
    for n in 0..count {
        let (caller, id) = (caller.clone(), format!("{name}-{n}"));
        calls.push(exec::spawn(async move {
            let began = Instant::now();
            let res = caller.call(Method::GET, "/notices/1", &id).await.expect("an answer");
            let text = |name: &str| res.headers().get(name)?.to_str().ok().map(str::to_string);
            Answer {
                status: res.status().as_u16(),
                took: began.elapsed(),
                reason: text("cicadashift-reason").unwrap_or_default(),
                retry_after: text("retry-after").and_then(|text| text.parse().ok()),
            }
        }));
        smol::Timer::after(GAP).await;
    }
    let mut answers = Vec::new();
    for call in calls {
        answers.push(call.await);
    }
    answers
}

async fn serving() -> HostedFleet {
    let fleet = HostedFleet::start_services(
        Path::new(env!("CARGO_BIN_EXE_cicadashift")),
        &["notice", "lookup"],
    );
    fleet.store.put(CONFIG_KEY, config().to_string().as_bytes());
    for i in [CALLING, CALLED] {
        let is_serving = async |fleet: &HostedFleet| {
            let services = fleet.own_status(i).await["services"].clone();
            fleet.is_ready(i).await && services["notice"] == 1 && services["lookup"] == 1
        };
        assert!(fleet.wait(is_serving).await, "daemon {i}: {}", fleet.log(i));
    }
    let calling = &fleet.daemons[CALLING];
    calling.instance.report_load("0,0,9,100");
    calling.instance.set_service_time(Duration::from_millis(20));
    calling.instance.make_nested_calls(NestedCalls {
        to: calling.callers,
        host: HOST,
        path: "/lookups/1",
        times: 2,
    });
    fleet
}

#[test]
fn callers_are_refused_before_runs_that_would_be_thrown_away() {
    // Failure: the called service is full for seconds, and runs of the calling service are
    // begun, work, and fail with their nested calls. Symptom: nearly no run ends well, and
    // callers get a 500 after the whole time of a run.
    run(async {
        let fleet = serving().await;
        let calm = call_often(&fleet, "calm", 40).await;
        assert!(calm.iter().all(|answer| answer.status == 200), "{}", fleet.log(CALLING));
        let called = &fleet.daemons[CALLED].instance;
        called.set_slots(2);
        called.set_service_time(Duration::from_millis(60));
        assert!(called.send_heartbeat().await);
        let _while_levels_move = call_often(&fleet, "full", 80).await;
        let answers = call_often(&fleet, "still", 160).await;
        let refused: Vec<_> = answers.iter().filter(|one| one.reason == "dependency").collect();
        assert!(refused.len() > answers.len() / 4, "{} refused", refused.len());
        assert!(refused.iter().all(|one| one.status == 503 && one.retry_after > Some(0.0)));
        let mut times: Vec<_> = refused.iter().map(|one| one.took).collect();
        times.sort();
        assert!(times[times.len() / 2] < AT_ONCE, "{times:?}");
        let ended_well = answers.iter().filter(|one| one.status == 200).count();
        let lost = answers.iter().filter(|one| one.status == 500).count();
        assert!(ended_well > 2 * lost, "{ended_well} ended well, {lost} lost");
        // One line when the level is first lowered, not one for each move.
        let lines = fleet.log(CALLING).matches("are admitted in part").count();
        assert!((1..=3).contains(&lines), "{lines} lines");
    });
}
