//! Organisations with real processes on the platform's interface: API keys, the organisation
//! header that upstreams receive, and quotas that apply to all daemons together.

mod common;

use cicadashift_testkit::hosted::fleet::{HostedFleet, config};
use cicadashift_testkit::hosted::store::CONFIG_KEY;
use common::run;
use serde_json::{Value, json};
use std::path::Path;
use std::time::{Duration, Instant};

const TOWN: &str = "Bearer key-of-town";
const CLINIC: &str = "Bearer key-of-clinic";

/// A configuration with two organisations; `/open/` needs no key.
fn with_organisations(version: u64, rate_per_s: u64) -> Value {
    let mut cfg = config(version, &["/notices/", "/open/"]);
    cfg["VirtualHosts"][0]["Paths"][1]["Anonymous"] = json!(true);
    cfg["Tenants"] = json!([
        {"Name": "town", "ApiKeys": ["key-of-town", "second-key"], "Priority": 1,
         "RatePerS": rate_per_s, "Burst": rate_per_s},
        {"Name": "clinic", "ApiKeys": ["key-of-clinic"], "Priority": 0, "RatePerS": 0},
    ]);
    cfg
}

/// A request, and the organisation that its upstream receives, or `None` if the request must
/// reach no upstream.
struct Case {
    id: &'static str,
    headers: Vec<(&'static str, &'static str)>,
    organisation: Option<&'static str>,
}

async fn serving(count: usize, rate_per_s: u64) -> HostedFleet {
    let fleet = HostedFleet::serving(Path::new(env!("CARGO_BIN_EXE_cicadashift")), count).await;
    fleet.store.put(CONFIG_KEY, with_organisations(2, rate_per_s).to_string().as_bytes());
    for i in 0..count {
        let asked = async |fleet: &HostedFleet| status(fleet, i, "/notices/1", "k", &[]).await;
        assert!(fleet.wait(async |fleet| asked(fleet).await == Some(401)).await);
    }
    fleet
}

async fn status(
    fleet: &HostedFleet,
    i: usize,
    path: &str,
    id: &str,
    headers: &[(&str, &str)],
) -> Option<u16> {
    fleet.call_with(i, path, id, headers).await.map(|res| res.status().as_u16())
}

#[test]
fn upstreams_learn_the_organisation_and_never_the_key() {
    // Guards against a caller that forges the organisation header, and against a key that
    // reaches an upstream or a log.
    run(async {
        let fleet = serving(2, 0).await;
        let case = |id, headers, organisation| Case { id, headers, organisation };
        let forged = ("x-tenant", "clinic");
        let cases = [
            case("known", vec![("authorization", TOWN), forged], Some("town")),
            case("scheme", vec![("authorization", "bearer second-key")], Some("town")),
            case("missing", vec![forged], None),
            case("unknown", vec![("authorization", "Bearer nobody's")], None),
            case("basic", vec![("authorization", "Basic key-of-town")], None),
            case("twice", vec![("authorization", TOWN), ("authorization", CLINIC)], None),
        ];
        for Case { id, headers, organisation } in &cases {
            let expected = if organisation.is_some() { 200 } else { 401 };
            let got = status(&fleet, 0, "/notices/1", id, headers).await;
            assert_eq!(got, Some(expected), "{id}");
        }
        let anonymous = status(&fleet, 0, "/open/1", "anonymous", &[forged]).await;
        assert_eq!(anonymous, Some(200));
        let seen: Vec<_> =
            fleet.daemons.iter().flat_map(|node| node.instance.request_origins()).collect();
        let received = |id: &str| -> Vec<String> {
            let ran = seen.iter().filter(|sender| sender.id == id);
            ran.map(|sender| sender.organisation.clone()).collect()
        };
        for Case { id, organisation, .. } in &cases {
            assert_eq!(received(id), Vec::from_iter(organisation.map(str::to_string)), "{id}");
        }
        assert_eq!(received("anonymous"), [""]);
        assert!(seen.iter().all(|sender| !sender.has_credentials));
        let logs: String = (0..2).map(|i| fleet.log(i)).collect();
        assert!(!logs.contains("key-of-town") && !logs.contains("second-key"));
    });
}

#[test]
fn a_key_that_is_taken_away_stops_working_everywhere() {
    // Guards against a daemon that still accepts a key which the newest version removed, or
    // refuses a key which it added.
    run(async {
        let fleet = serving(3, 0).await;
        let mut cfg = with_organisations(3, 0);
        cfg["Tenants"][0]["ApiKeys"] = json!(["third-key"]);
        fleet.store.put(CONFIG_KEY, cfg.to_string().as_bytes());
        let accepted = Instant::now();
        for i in 0..3 {
            let old = async |fleet: &HostedFleet| {
                status(fleet, i, "/notices/1", "old", &[("authorization", TOWN)]).await
            };
            assert!(fleet.wait(async |fleet| old(fleet).await == Some(401)).await);
            let new = [("authorization", "Bearer third-key")];
            assert_eq!(status(&fleet, i, "/notices/1", "new", &new).await, Some(200));
            assert!(accepted.elapsed() < Duration::from_secs(2));
        }
    });
}

#[test]
fn a_quota_holds_for_all_daemons_together() {
    // Guards against a quota that each daemon enforces by itself: an organisation that calls
    // three daemons at ten times its quota gets its quota once, and calls of another
    // organisation are still served.
    const RATE: u64 = 20;
    const SECONDS: u64 = 4;
    run(async {
        let fleet = serving(3, RATE).await;
        let until = Instant::now() + Duration::from_secs(SECONDS);
        let (mut served, mut refused) = (0_u64, 0_u64);
        let mut n = 0;
        while Instant::now() < until {
            let id = format!("town-{n}");
            match status(&fleet, n % 3, "/notices/1", &id, &[("authorization", TOWN)]).await {
                Some(200) => served += 1,
                Some(429) => refused += 1,
                other => panic!("{id}: {other:?}"),
            }
            if n % 10 == 0 {
                let id = format!("clinic-{n}");
                let headers = [("authorization", CLINIC)];
                assert_eq!(status(&fleet, n % 3, "/notices/1", &id, &headers).await, Some(200));
            }
            n += 1;
            smol::Timer::after(Duration::from_millis(2)).await;
        }
        // Allowed are the rate and the burst, a tenth more, and twenty calls.
        let most = (RATE * SECONDS + RATE) * 11 / 10 + 20;
        assert!(served <= most, "{served} served, {refused} refused");
        assert!(served >= RATE * SECONDS / 2, "{served} served, {refused} refused");
        assert!(refused > 0);
        let ran = (0..n).filter(|n| fleet.ledger.count(&format!("town-{n}")) > 0).count();
        assert_eq!(ran as u64, served, "refused calls must not run");
    });
}

/// Runs `cicadashift organisation` against the first daemon; returns whether it succeeded and
/// its output.
async fn organisation(fleet: &HostedFleet, args: &[&str]) -> (bool, String) {
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_cicadashift"));
    command.arg("organisation").args(args);
    command.arg("--daemon").arg(fleet.daemons[0].control.to_string());
    let output = smol::unblock(move || command.output()).await.expect("cicadashift can be started");
    let text = |buf: &[u8]| String::from_utf8_lossy(buf).into_owned();
    (output.status.success(), text(&output.stdout) + &text(&output.stderr))
}

#[test]
fn operators_see_throttled_organisations_and_never_a_key() {
    // Guards against a throttled organisation whose offered calls operators cannot see, and
    // against a key in the output for operators.
    run(async {
        let fleet = serving(3, 20).await;
        let (_, idle) = organisation(&fleet, &["list"]).await;
        assert_eq!(
            idle,
            "2 organisations\n\
             clinic: rank 0, 0 a second, no limit\n\
             town: rank 1, 0 of 20 a second, 20 at once\n"
        );
        for n in 0..600 {
            let headers = [("authorization", TOWN)];
            let _answer = status(&fleet, n % 3, "/notices/1", &format!("t-{n}"), &headers).await;
        }
        let (is_known, shown) = organisation(&fleet, &["show", "town"]).await;
        assert!(is_known && shown.contains("HELD BACK"), "{shown}");
        assert!(shown.contains("counted by ") && shown.contains("3 daemons answered"), "{shown}");
        let (_, json) = organisation(&fleet, &["list", "--json"]).await;
        assert!(json.contains("\"rate_per_s\":20"), "{json}");
        for text in [&shown, &json, &idle] {
            assert!(!text.contains("key-of") && !text.contains("second-key"), "{text}");
        }
        let (is_known, shown) = organisation(&fleet, &["show", "nobody"]).await;
        assert!(!is_known && shown.contains("organisation nobody does not exist"), "{shown}");
    });
}
