//! The store is unavailable for a moment and is then restored from a copy some seconds old,
//! with real daemons: it assigns positions a second time, and what the daemons wrote after
//! the copy was made is gone.

mod common;

use cicadashift_testkit::hosted::fleet::HostedFleet;
use cicadashift_testkit::hosted::store::{Outage, StoreCopy};
use common::run;
use serde_json::{Value, json};
use std::path::Path;
use std::time::{Duration, Instant};

const ENTRIES: &str = "cicadashift/daemon/";
const QUARANTINES: &str = "cicadashift/quarantine/";
const ORDER: &str = "op/rollout/notice";
const STATUS: &str = "status/rollout/notice";
/// Time within which an accepted change must be in force, and daemons must have written
/// their entries again.
const MAX_DELAY: Duration = Duration::from_secs(2);
/// How long the store is unavailable.
const OUTAGE: Duration = Duration::from_millis(700);

async fn serving(count: usize) -> HostedFleet {
    HostedFleet::serving(Path::new(env!("CARGO_BIN_EXE_cicadashift")), count).await
}

/// Makes the store unavailable for a moment and restores it from a copy.
async fn restore(fleet: &HostedFleet, copy: StoreCopy) {
    fleet.store.change_faults(|faults| faults.down = Some(Outage::Busy));
    smol::Timer::after(OUTAGE).await;
    fleet.store.restore(copy);
    fleet.store.change_faults(|faults| faults.down = None);
}

#[test]
fn a_change_after_a_restore_is_seen_although_its_position_was_used_before() {
    // Guards against a watch that continues from a position of the earlier era: changes that
    // are written below that position after the restore are never reported.
    run(async {
        let fleet = serving(3).await;
        let copy = fleet.store.copy();
        for n in 0..40 {
            fleet.store.put("other/before", format!("{n}").as_bytes());
        }
        fleet.put_config(5, &["/notices/", "/five/"]);
        wait_until_in_force(&fleet, "/five/").await;
        fleet.store.change_faults(|faults| faults.down = Some(Outage::Busy));
        smol::Timer::after(OUTAGE).await;
        fleet.store.restore(copy);
        fleet.put_config(6, &["/notices/", "/six/"]);
        for n in 0..80 {
            fleet.store.put("other/after", format!("{n}").as_bytes());
        }
        fleet.store.change_faults(|faults| faults.down = None);
        wait_until_in_force(&fleet, "/six/").await;
        fleet.put_config(7, &["/notices/", "/seven/"]);
        wait_until_in_force(&fleet, "/seven/").await;
    });
}

#[test]
fn the_version_in_force_never_goes_back_with_the_store() {
    // Guards against daemons that go back to an older version with the store. The store is
    // restored twice in a row.
    run(async {
        let fleet = serving(3).await;
        for (version, path) in [(4, "/four/"), (9, "/nine/")] {
            let copy = fleet.store.copy();
            fleet.put_config(version, &["/notices/", path]);
            wait_until_in_force(&fleet, path).await;
            // After the restore the operator writes this older version first, and the newest
            // only later.
            let older = cicadashift_testkit::hosted::fleet::config(version - 1, &["/older/"]);
            fleet.store.put("op/config", older.to_string().as_bytes());
            restore(&fleet, copy).await;
            smol::Timer::after(Duration::from_millis(600)).await;
            for i in 0..3 {
                assert_eq!(fleet.status(i, path, "still").await, Some(200), "{}", fleet.log(i));
            }
        }
    });
}

/// Waits until all daemons serve a path, which must not take longer than [`MAX_DELAY`].
async fn wait_until_in_force(fleet: &HostedFleet, path: &str) {
    let accepted = Instant::now();
    for i in 0..fleet.daemons.len() {
        let served = async |fleet: &HostedFleet| fleet.status(i, path, "probe").await;
        assert!(fleet.wait(async |fleet| served(fleet).await == Some(200)).await, "{path} at {i}");
        assert!(accepted.elapsed() < MAX_DELAY, "{path} at {i}: {}", fleet.log(i));
    }
}

#[test]
fn entries_are_written_again_soon_after_a_restore() {
    // Guards against a daemon that renews a lease which the store has granted to another
    // daemon since, or that waits for its next renewal: until then, daemons that start find
    // no members.
    run(async {
        let fleet = HostedFleet::start(Path::new(env!("CARGO_BIN_EXE_cicadashift")), 3);
        let copy = fleet.store.copy();
        fleet.put_config(1, &["/notices/"]);
        let written = async |fleet: &HostedFleet| fleet.store.keys(ENTRIES).len() >= 2;
        assert!(fleet.wait(written).await);
        restore(&fleet, copy).await;
        assert!(fleet.store.keys(ENTRIES).is_empty());
        let back = Instant::now();
        assert!(fleet.wait(written).await);
        assert!(back.elapsed() < MAX_DELAY, "{:?}", back.elapsed());
    });
}

#[test]
fn quarantines_are_written_again_after_a_restore() {
    // Guards against the loss of quarantines if all daemons restart after the restore: the
    // call would not be quarantined any more and end more upstreams.
    run(async {
        let fleet = serving(3).await;
        let copy = fleet.store.copy();
        for n in 0..3 {
            for i in 0..3 {
                let _ends = fleet.status(i, "/notices/guilty", &format!("g-{n}-{i}")).await;
                smol::Timer::after(Duration::from_millis(300)).await;
            }
        }
        let written = async |fleet: &HostedFleet| !fleet.store.keys(QUARANTINES).is_empty();
        assert!(fleet.wait(written).await);
        restore(&fleet, copy).await;
        assert!(fleet.store.keys(QUARANTINES).is_empty());
        assert!(fleet.wait(written).await);
    });
}

/// Sets a new version on half of the instances, makes a copy of the store and orders the
/// version; returns the copy.
async fn order_new_version(fleet: &HostedFleet, duration_s: u64) -> StoreCopy {
    for i in [1, 3] {
        fleet.daemons[i].instance.set_version("v2");
        assert!(fleet.daemons[i].instance.send_heartbeat().await);
    }
    let copy = fleet.store.copy();
    let order = json!({"Service": "notice", "TargetVersion": "v2", "DurationS": duration_s});
    fleet.store.put(ORDER, order.to_string().as_bytes());
    copy
}

/// Returns the state in the rollout's status.
fn state(fleet: &HostedFleet) -> Option<String> {
    let status: Value = serde_json::from_slice(&fleet.store.value(STATUS)?).ok()?;
    status["State"].as_str().map(str::to_string)
}

#[test]
fn a_rolled_back_version_stays_rolled_back_after_a_restore() {
    // Guards against an order that the operator writes again, at another position, and that
    // daemons take for a new order: the version that was rolled back would get calls again.
    run(async {
        let fleet = serving(4).await;
        let copy = order_new_version(&fleet, 3).await;
        // Without calls nothing is proven, and the time of the order runs out.
        let ended = async |fleet: &HostedFleet| state(fleet).as_deref() == Some("rolled_back");
        assert!(fleet.wait(ended).await);
        let before: usize =
            [1, 3].iter().map(|i| fleet.daemons[*i].instance.caller_headers().len()).sum();
        restore(&fleet, copy).await;
        assert_eq!(state(&fleet), None);
        for n in 0..400 {
            let id = format!("after-{n}");
            assert_eq!(fleet.status(n % 4, "/notices/1", &id).await, Some(200));
            smol::Timer::after(Duration::from_millis(5)).await;
        }
        assert!(fleet.wait(ended).await, "{}", fleet.log(0));
        let after: usize =
            [1, 3].iter().map(|i| fleet.daemons[*i].instance.caller_headers().len()).sum();
        assert_eq!(after, before, "the version that was rolled back got calls");
    });
}

#[test]
fn a_rollout_keeps_its_decider_after_a_restore_and_ends() {
    // Guards against two deciders, or none, after the decider key is gone.
    run(async {
        let fleet = serving(4).await;
        let copy = order_new_version(&fleet, 9).await;
        let running = async |fleet: &HostedFleet| state(fleet).as_deref() == Some("running");
        assert!(fleet.wait(running).await);
        send_calls(&fleet, "before", Duration::from_secs(2)).await;
        restore(&fleet, copy).await;
        send_calls(&fleet, "after", Duration::from_secs(10)).await;
        let ended = async |fleet: &HostedFleet| {
            matches!(state(fleet).as_deref(), Some("completed" | "rolled_back"))
        };
        assert!(fleet.wait(ended).await, "{:?}", state(&fleet));
        let logs: Vec<String> = (0..4).map(|i| fleet.log(i)).collect();
        let count = |text: &str| logs.iter().map(|log| log.matches(text).count()).sum::<usize>();
        let all = logs.join("\n--\n");
        assert_eq!(count("decider key reacquired, the store was restored"), 1, "{all}");
        assert_eq!(count("this daemon is the decider"), 1, "{all}");
    });
}

/// Sends calls to each daemon in turn for a time; each call must be answered.
async fn send_calls(fleet: &HostedFleet, name: &str, time: Duration) {
    let until = Instant::now() + time;
    let mut n = 0;
    while Instant::now() < until {
        let id = format!("{name}-{n}");
        let status = fleet.status(n % 4, "/notices/1", &id).await;
        assert_eq!(status, Some(200), "{id}: {}", fleet.log(n % 4));
        n += 1;
        smol::Timer::after(Duration::from_millis(5)).await;
    }
}
