//! Organisations with real processes on the platform's interface: API keys, the organisation
//! header that upstreams receive, and quotas that apply to all daemons together.

mod common;

use cicadashift_testkit::hosted::fleet::{Domain, HostedFleet, config};
use cicadashift_testkit::hosted::store::CONFIG_KEY;
use common::run;
use common::served::{by_quarter_second, least_in_window, most_in_window};
use serde_json::{Value, json};
use std::path::Path;
use std::pin::Pin;
use std::sync::Mutex;
use std::task::Poll;
use std::time::{Duration, Instant};

const TOWN: &str = "Bearer key-of-town";
const CLINIC: &str = "Bearer key-of-clinic";

/// Time before a mesh is split, in which its quotas are throttled, and time after it.
const SPLIT_AFTER: Duration = Duration::from_secs(6);
const SPLIT_TIME: Duration = Duration::from_secs(6);
/// Any span of this length must keep the quota.
const QUOTA_WINDOW: Duration = Duration::from_secs(5);

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

#[test]
fn a_quota_holds_while_a_split_mesh_finds_out_who_is_lost() {
    // Guards against keepers of both parts that grant the whole quota while the daemons of the
    // other part are suspected and not yet taken for dead.
    const RATE: u64 = 120;
    const OVER: u64 = 7;
    const DAEMONS: usize = 8;
    run(async {
        let program = Path::new(env!("CARGO_BIN_EXE_cicadashift"));
        let fleet = HostedFleet::serving_over_mesh_links(program, DAEMONS).await;
        let mut cfg = with_organisations(2, RATE);
        cfg["Tenants"][0]["Burst"] = json!(1);
        fleet.store.put(CONFIG_KEY, cfg.to_string().as_bytes());
        let until = Instant::now() + SPLIT_AFTER + SPLIT_TIME;
        let served = Mutex::new(Vec::new());
        let interval = Duration::from_secs(DAEMONS as u64).div_f64((RATE * OVER) as f64);
        let split = async {
            smol::Timer::after(SPLIT_AFTER).await;
            split_domains(&fleet);
        };
        let calls = (0..DAEMONS).map(|i| call_until(&fleet, i, until, interval, &served));
        smol::future::zip(all(calls.map(Box::pin).collect()), split).await;
        let served = served.into_inner().expect("no test task panics");
        let most = most_in_window(&served, QUOTA_WINDOW);
        let allowed = (RATE * QUOTA_WINDOW.as_secs() + 1) * 11 / 10 + 20;
        assert!(most as u64 <= allowed, "{most} of {allowed}");
        assert!(most as u64 >= RATE * QUOTA_WINDOW.as_secs() / 2, "{most} of {allowed}");
    });
}

#[test]
fn a_quota_holds_while_a_failure_domain_is_cut_off() {
    // Guards against keepers of both parts that grant the whole quota: while daemons find out
    // who is lost, while both parts know it, and while they find each other again.
    run(async {
        let fleet = serving_with_links_between_domains().await;
        let cut = |is_cut| fleet.cut_domains(is_cut);
        let served = served_over_a_split(&fleet, cut).await;
        assert_quota_kept(&served);
    });
}

#[test]
fn a_quota_holds_for_an_organisation_that_begins_in_a_split() {
    // Guards against daemons that admit all calls of an organisation which they have not seen
    // before, as long as its keeper is in the failure domain that is cut off, while the keeper
    // grants the whole quota to its own domain.
    run(async {
        let fleet = serving_with_links_between_domains().await;
        smol::Timer::after(SPLIT_AFTER).await;
        fleet.cut_domains(true);
        smol::Timer::after(BEGIN_AFTER_CUT).await;
        let served = served_until(&fleet, Instant::now() + SPLIT_TIME, async {}).await;
        let allowed = (SPLIT_RATE * QUOTA_WINDOW.as_secs() + 1) * 11 / 10 + 20;
        let most = most_in_window(&served, QUOTA_WINDOW) as u64;
        assert!(most <= allowed, "{most} of {allowed}: {:?}", by_quarter_second(&served));
        let owed = SPLIT_RATE * SPLIT_TIME.as_secs();
        assert!(served.len() as u64 >= owed / 2, "{} of {owed}", served.len());
    });
}

#[test]
fn a_quota_holds_while_datagrams_are_lost_in_one_direction() {
    // Guards against a keeper that hears nothing of daemons which go on, or is heard by none
    // of them, while all daemons find each other alive by their connections.
    run(async {
        for deaf in [Domain::A, Domain::B] {
            let fleet = serving_with_links_between_domains().await;
            let cut = |is_cut| fleet.lose_datagrams_to(deaf, is_cut);
            let served = served_over_a_split(&fleet, cut).await;
            assert_quota_kept(&served);
        }
    });
}

/// Quota and demand of the tests that cut failure domains off.
const SPLIT_RATE: u64 = 60;
const SPLIT_OVER: u64 = 7;
const SPLIT_DAEMONS: usize = 8;
/// Time from a cut to the first calls.
const BEGIN_AFTER_CUT: Duration = Duration::from_millis(300);

async fn serving_with_links_between_domains() -> HostedFleet {
    let program = Path::new(env!("CARGO_BIN_EXE_cicadashift"));
    let fleet = HostedFleet::serving_over_domain_links(program, SPLIT_DAEMONS).await;
    let mut cfg = with_organisations(2, SPLIT_RATE);
    cfg["Tenants"][0]["Burst"] = json!(1);
    fleet.store.put(CONFIG_KEY, cfg.to_string().as_bytes());
    fleet
}

/// Calls all daemons far over the quota before, during and after a split; returns when calls
/// were served.
async fn served_over_a_split(fleet: &HostedFleet, cut: impl Fn(bool)) -> Vec<Instant> {
    let until = Instant::now() + SPLIT_AFTER + SPLIT_TIME * 2;
    let split = async {
        smol::Timer::after(SPLIT_AFTER).await;
        cut(true);
        smol::Timer::after(SPLIT_TIME).await;
        cut(false);
    };
    served_until(fleet, until, split).await
}

/// Calls all daemons far over the quota while something else happens; returns when calls were
/// served.
async fn served_until(
    fleet: &HostedFleet,
    until: Instant,
    beside: impl Future<Output = ()>,
) -> Vec<Instant> {
    let served = Mutex::new(Vec::new());
    let offered_per_s = (SPLIT_RATE * SPLIT_OVER) as f64;
    let interval = Duration::from_secs(SPLIT_DAEMONS as u64).div_f64(offered_per_s);
    let calls = (0..SPLIT_DAEMONS).map(|i| call_until(fleet, i, until, interval, &served));
    smol::future::zip(all(calls.map(Box::pin).collect()), beside).await;
    served.into_inner().expect("no test task panics")
}

/// Checks that no window holds more calls than the quota allows, and that at least half of the
/// quota is served in each, the first second left out.
fn assert_quota_kept(served: &[Instant]) {
    let of_window = SPLIT_RATE * QUOTA_WINDOW.as_secs();
    let allowed = (of_window + 1) * 11 / 10 + 20;
    let most = most_in_window(served, QUOTA_WINDOW);
    assert!(most as u64 <= allowed, "{most} of {allowed}: {:?}", by_quarter_second(served));
    let least = least_in_window(served, QUOTA_WINDOW);
    assert!(
        least as u64 >= of_window / 2,
        "{least} of {of_window}: {:?}",
        by_quarter_second(served)
    );
}

/// Drops all datagrams between the two failure domains of a fleet.
fn split_domains(fleet: &HostedFleet) {
    for (i, daemon) in fleet.daemons.iter().enumerate() {
        let others = fleet.daemons.iter().enumerate().filter(|(j, _)| (*j < 2) != (i < 2));
        let senders = others.map(|(_, other)| other.callers.ip()).collect();
        daemon.mesh_link.as_ref().expect("links").block(senders);
    }
}

/// Calls a daemon at an interval, whatever it answers, and records when calls were served.
async fn call_until(
    fleet: &HostedFleet,
    i: usize,
    until: Instant,
    interval: Duration,
    served: &Mutex<Vec<Instant>>,
) {
    let mut next = Instant::now() + interval.mul_f64(i as f64 / 8.0);
    let mut n = 0;
    while next < until {
        smol::Timer::at(next).await;
        next += interval;
        n += 1;
        let id = format!("town-{i}-{n}");
        let sent = Instant::now();
        let got = status(fleet, i, "/notices/1", &id, &[("authorization", TOWN)]).await;
        if got == Some(200) {
            served.lock().expect("no test task panics").push(sent);
        }
    }
}

/// Polls all futures until they have ended.
async fn all<F: Future<Output = ()> + Unpin>(mut futures: Vec<F>) {
    std::future::poll_fn(|cx| {
        futures.retain_mut(|future| Pin::new(future).poll(cx).is_pending());
        if futures.is_empty() { Poll::Ready(()) } else { Poll::Pending }
    })
    .await;
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
