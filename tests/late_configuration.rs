//! Tests of the time until a change is in force, with real processes on narrow links and with
//! a configuration of many routes.

mod common;

use cicadashift_testkit::hosted::fleet::HostedFleet;
use common::run;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Longest time until a change is in force, at a daemon that nothing disturbs.
const IN_FORCE: Duration = Duration::from_secs(2);
/// Routes of the large configuration, some 200 KB of text.
const ROUTES: usize = 1500;
/// Time between two changes of a burst, and their number.
const BURST: (Duration, u64) = (Duration::from_millis(250), 10);
/// Time between two questions for the version that a daemon runs.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Time between two changes of a series.
const CHANGE_INTERVAL: Duration = Duration::from_millis(1000);
/// Time after the end of a disturbance from which its daemons are held to [`IN_FORCE`].
const STABLE_AFTER: Duration = Duration::from_secs(3);
/// Rate of a narrow link in bytes per second: it carries the large configuration in two to
/// three seconds.
const NARROW: u64 = 80_000;
/// Rate of a link that carries the large configuration, as members send it, in about one
/// second.
const MODERATE: u64 = 200_000;
/// The same for the configuration as the store sends it, a third longer.
const MODERATE_FROM_STORE: u64 = 260_000;

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_cicadashift"))
}

/// Writes a large configuration with a route of its own.
fn put_large(fleet: &HostedFleet, version: u64) {
    let mut prefixes: Vec<String> = (0..ROUTES).map(|n| format!("/unused/{n}/")).collect();
    prefixes.push("/notices/".to_string());
    prefixes.push(format!("/new-{version}/"));
    let prefixes: Vec<&str> = prefixes.iter().map(String::as_str).collect();
    fleet.put_config(version, &prefixes);
}

/// Returns whether a daemon serves the route of its own of a version.
async fn serves(fleet: &HostedFleet, i: usize, version: u64) -> bool {
    fleet.status(i, &format!("/new-{version}/1"), "probe").await == Some(200)
}

async fn wait_until_served(fleet: &HostedFleet, daemons: &[usize], version: u64) {
    for i in daemons {
        let served = async |fleet: &HostedFleet| serves(fleet, *i, version).await;
        assert!(fleet.wait(served).await, "version {version} at {i}: {}", fleet.log(*i));
    }
}

#[test]
fn a_daemon_that_missed_many_versions_catches_up_over_a_narrow_link() {
    // Guards against a transfer of the complete configuration that is given up and begun anew
    // until the link is idle, while the daemon runs an old version.
    run(async {
        let fleet = HostedFleet::serving_over_mesh_links(program(), 8).await;
        let two_per_domain = async |fleet: &HostedFleet| fleet.followers().await.len() == 4;
        assert!(fleet.wait(two_per_domain).await, "{:?}", fleet.followers().await);
        put_large(&fleet, 2);
        let all: Vec<usize> = (0..8).collect();
        wait_until_served(&fleet, &all, 2).await;
        let followers = fleet.followers().await;
        let member = (2..8).find(|i| !followers.contains(i)).expect("four of six");
        fleet.signal(member, "-STOP");
        for version in 3..10 {
            put_large(&fleet, version);
            smol::Timer::after(CHANGE_INTERVAL).await;
        }
        for daemon in &fleet.daemons {
            daemon.mesh_link.as_ref().expect("links").tcp.limit_rate(NARROW);
        }
        fleet.signal(member, "-CONT");
        let resumed = Instant::now();
        wait_until_served(&fleet, &[member], 9).await;
        let took = resumed.elapsed();
        assert!(took < IN_FORCE, "after {took:?}: {}", fleet.log(member));
    });
}

#[test]
fn a_large_change_arrives_over_a_link_that_carries_it_in_one_second() {
    // Guards against a time limit on a whole transfer, which a large change over a narrow link
    // exceeds each time, however steadily it arrives.
    run(async {
        let fleet = HostedFleet::serving_over_mesh_links(program(), 8).await;
        let two_per_domain = async |fleet: &HostedFleet| fleet.followers().await.len() == 4;
        assert!(fleet.wait(two_per_domain).await, "{:?}", fleet.followers().await);
        for daemon in &fleet.daemons {
            daemon.mesh_link.as_ref().expect("links").tcp.limit_rate(MODERATE);
        }
        put_large(&fleet, 2);
        let accepted = Instant::now();
        let all: Vec<usize> = (0..8).collect();
        wait_until_served(&fleet, &all, 2).await;
        let took = accepted.elapsed();
        let slowest = fleet.log(7);
        assert!(took < IN_FORCE, "after {took:?}: {slowest}");
    });
}

#[test]
fn a_daemon_starts_although_the_store_needs_a_second_to_send_the_configuration() {
    // Guards against the same time limit on reads of the store, by which a daemon on a narrow
    // link never comes to have a configuration.
    run(async {
        let fleet = HostedFleet::start(program(), 2);
        for daemon in &fleet.daemons {
            daemon.store_link.limit_rate(MODERATE_FROM_STORE);
        }
        put_large(&fleet, 2);
        let accepted = Instant::now();
        wait_until_served(&fleet, &[0, 1], 2).await;
        let took = accepted.elapsed();
        assert!(took < STABLE_AFTER, "after {took:?}: {}", fleet.log(0));
    });
}

#[test]
fn members_get_changes_in_time_although_their_followers_hear_nothing_of_the_store() {
    // Guards against followers that vouch for an old version while their connections to the
    // store are silent, and against waits for them that add up in a burst of changes.
    run(async {
        let fleet = HostedFleet::serving(program(), 8).await;
        let two_per_domain = async |fleet: &HostedFleet| fleet.followers().await.len() == 4;
        assert!(fleet.wait(two_per_domain).await, "{:?}", fleet.followers().await);
        let followers = fleet.followers().await;
        let members: Vec<usize> = (2..8).filter(|i| !followers.contains(i)).collect();
        for i in followers.iter().filter(|i| **i >= 2) {
            fleet.daemons[*i].store_link.silence(true);
        }
        let accepted = async {
            let mut accepted = Vec::new();
            for version in 2..2 + BURST.1 {
                fleet.put_config(version, &["/notices/"]);
                accepted.push((version, wall_ms()));
                smol::Timer::after(BURST.0).await;
            }
            accepted
        };
        let seen = watch_versions(&fleet, &members, 1 + BURST.1);
        let (accepted, seen) = smol::future::zip(accepted, seen).await;
        for (version, accepted_ms) in accepted {
            for member in &members {
                let first = seen.iter().find(|s| s.daemon == *member && s.version >= version);
                let lag_ms =
                    first.expect("all versions arrive").since_ms.saturating_sub(accepted_ms);
                let lag = Duration::from_millis(lag_ms);
                assert!(lag < IN_FORCE, "{version} at {member} {lag:?}: {}", fleet.log(*member));
            }
        }
    });
}

/// A version that a daemon was seen to run.
struct Seen {
    daemon: usize,
    version: u64,
    /// When it came into force, in milliseconds since 1970.
    since_ms: u64,
}

/// Watches which versions daemons run, until all of them run `last`.
async fn watch_versions(fleet: &HostedFleet, daemons: &[usize], last: u64) -> Vec<Seen> {
    let mut seen: Vec<Seen> = Vec::new();
    let until = Instant::now() + cicadashift_testkit::hosted::fleet::WAIT_TIMEOUT;
    let mut behind = daemons.to_vec();
    while !behind.is_empty() {
        assert!(Instant::now() < until, "{behind:?} are behind: {}", fleet.log(behind[0]));
        for daemon in behind.clone() {
            let status = fleet.own_status(daemon).await;
            let number = |field: &str| status[field].as_u64().unwrap_or(0);
            let (version, since_ms) = (number("running"), number("running_since_ms"));
            seen.push(Seen { daemon, version, since_ms });
            behind.retain(|i| *i != daemon || version < last);
        }
        smol::Timer::after(POLL_INTERVAL).await;
    }
    seen
}

fn wall_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as u64
}
