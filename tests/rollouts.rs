//! Rollouts of new versions, with real daemons and simulated instances of two versions.

mod common;

use cicadashift_testkit::hosted::fleet::HostedFleet;
use cicadashift_testkit::hosted::instance::AnswerMode;
use cicadashift_testkit::hosted::store::Outage;
use common::rollout::{
    DURATION, Load, MAX_ROLLBACK_TIME, ORDER, is_new, logs, order, runs, start_two_versions, state,
    wait_for_state, wait_until_running,
};
use common::run;
use std::time::{Duration, Instant};

#[test]
fn a_good_version_takes_all_calls_in_time() {
    // A rollout to a version without faults. At first a few of its instances get a small
    // share of the calls, then all of its instances get all calls, and the status is
    // `completed` within the time of the order. No call fails, and after completion no call
    // reaches an old instance, since the operator stops these at once.
    run(async {
        let fleet = start_two_versions(6).await;
        let load = Load::start(&fleet, 12);
        order(&fleet, "v2");
        wait_until_running(&fleet).await;
        let completed = wait_for_state(&fleet, "completed", DURATION).await;
        assert!(completed.is_some(), "{:?} {}", state(&fleet), logs(&fleet));
        let old = runs(&fleet, false);
        smol::Timer::after(Duration::from_millis(500)).await;
        assert_eq!(runs(&fleet, false), old, "{}", logs(&fleet));
        load.end_without_failure(&fleet).await;
    });
}

#[test]
fn a_bad_version_is_rolled_back_within_its_bound() {
    // Every answer of the new version is a failure. It gets no more than a tenth of the
    // calls plus fifty. Soon after its fiftieth failure the status is `rolled_back`, and then
    // no call reaches it. No call fails, since the old version answers in its place.
    run(async {
        let fleet = start_two_versions(6).await;
        order(&fleet, "v2");
        // Daemons that have not received the order treat the new version as an ordinary one.
        wait_until_running(&fleet).await;
        smol::Timer::after(Duration::from_secs(1)).await;
        for i in (0..6).filter(|i| is_new(*i)) {
            fleet.daemons[i].instance.set_answer_mode(AnswerMode::Failing);
        }
        let load = Load::start(&fleet, 12);
        let back = wait_for_state(&fleet, "rolled_back", MAX_ROLLBACK_TIME).await;
        assert!(back.is_some(), "{:?} {}", state(&fleet), logs(&fleet));
        smol::Timer::after(Duration::from_millis(300)).await;
        let (new, old) = (runs(&fleet, true), runs(&fleet, false));
        assert!(new as f64 <= 0.1 * (new + old) as f64 + 50.0, "{new} of {}", new + old);
        smol::Timer::after(Duration::from_millis(700)).await;
        assert_eq!(runs(&fleet, true), new, "{}", logs(&fleet));
        load.end_without_failure(&fleet).await;
    });
}

/// Returns the daemon that logged that it is the decider.
fn find_decider(fleet: &HostedFleet) -> Option<usize> {
    (0..fleet.daemons.len()).find(|i| fleet.log(*i).contains("this daemon is the decider"))
}

#[test]
fn another_daemon_takes_over_when_the_decider_is_killed() {
    // The decider is killed in the canary phase. Its key expires after two seconds; then
    // another daemon takes over from the stored state and completes the rollout.
    run(async {
        let mut fleet = start_two_versions(6).await;
        let load = Load::start(&fleet, 12);
        order(&fleet, "v2");
        wait_until_running(&fleet).await;
        // The log thread may write the line after the store has the state.
        let is_logged = async |fleet: &HostedFleet| find_decider(fleet).is_some();
        assert!(fleet.wait(is_logged).await, "no daemon is the decider: {}", logs(&fleet));
        let decider = find_decider(&fleet).expect("a daemon is the decider");
        fleet.kill(decider);
        fleet.restart(decider);
        let completed = wait_for_state(&fleet, "completed", DURATION).await;
        assert!(completed.is_some(), "{:?} {}", state(&fleet), logs(&fleet));
        load.end().await;
    });
}

#[test]
fn an_order_without_instances_is_rolled_back() {
    // The ordered version has no instances, for instance because the operator mistyped it.
    // So nothing can be proven, and shortly before the time of the order is over the status
    // is `rolled_back`. No call fails.
    run(async {
        let fleet = start_two_versions(4).await;
        let load = Load::start(&fleet, 4);
        order(&fleet, "v3");
        let back = wait_for_state(&fleet, "rolled_back", DURATION).await;
        assert!(back.is_some(), "{:?} {}", state(&fleet), logs(&fleet));
        load.end_without_failure(&fleet).await;
    });
}

#[test]
fn a_rollout_ends_in_time_after_a_restart_of_all_daemons() {
    // All daemons are killed in the canary phase and start again, so that only the store has
    // the state of the rollout. The rollout ends within its time, and then calls are
    // answered.
    run(async {
        let mut fleet = start_two_versions(6).await;
        let load = Load::start(&fleet, 12);
        order(&fleet, "v2");
        wait_until_running(&fleet).await;
        smol::Timer::after(Duration::from_secs(1)).await;
        (0..6).for_each(|i| fleet.kill(i));
        (0..6).for_each(|i| fleet.restart(i));
        let started = Instant::now();
        let has_ended = |state: Option<String>| {
            state.is_some_and(|state| state == "completed" || state == "rolled_back")
        };
        while !has_ended(state(&fleet)) && started.elapsed() < DURATION {
            smol::Timer::after(Duration::from_millis(50)).await;
        }
        assert!(has_ended(state(&fleet)), "{:?} {}", state(&fleet), logs(&fleet));
        load.end().await;
        for n in 0..12 {
            let served = async |fleet: &HostedFleet| {
                let id = format!("end-{n}-{:08x}", fastrand::u32(..));
                fleet.status(n % 6, "/notices/end", &id).await == Some(200)
            };
            assert!(fleet.wait(served).await, "{}", logs(&fleet));
        }
    });
}

#[test]
fn without_the_store_a_bad_version_gets_no_more_than_its_bound() {
    // The store becomes unavailable in the canary phase, and then the new version begins to
    // fail. Nothing can be written, so that the status can't change and the canaries get no
    // more calls than they were granted before. Once the store is back, the version is
    // rolled back.
    run(async {
        let fleet = start_two_versions(6).await;
        let load = Load::start(&fleet, 12);
        order(&fleet, "v2");
        wait_until_running(&fleet).await;
        smol::Timer::after(Duration::from_millis(1500)).await;
        fleet.store.change_faults(|faults| faults.down = Some(Outage::Busy));
        let (new, old) = (runs(&fleet, true), runs(&fleet, false));
        for i in (0..6).filter(|i| is_new(*i)) {
            fleet.daemons[i].instance.set_answer_mode(AnswerMode::Failing);
        }
        smol::Timer::after(Duration::from_secs(3)).await;
        let (new, old) = (runs(&fleet, true) - new, runs(&fleet, false) - old);
        assert!(new as f64 <= 0.1 * (new + old) as f64 + 50.0, "{new} of {}", new + old);
        fleet.store.change_faults(|faults| faults.down = None);
        let back = wait_for_state(&fleet, "rolled_back", Duration::from_secs(3)).await;
        assert!(back.is_some(), "{:?} {}", state(&fleet), logs(&fleet));
        load.end_without_failure(&fleet).await;
    });
}

#[test]
fn a_withdrawn_order_ends_its_rollout_and_another_one_may_follow() {
    // The operator withdraws the order in the canary phase: the new version gets no more
    // calls. A second order of the same version completes.
    run(async {
        let fleet = start_two_versions(6).await;
        let load = Load::start(&fleet, 12);
        order(&fleet, "v2");
        wait_until_running(&fleet).await;
        fleet.store.delete_prefix(ORDER);
        let back = wait_for_state(&fleet, "rolled_back", Duration::from_secs(3)).await;
        assert!(back.is_some(), "{:?} {}", state(&fleet), logs(&fleet));
        smol::Timer::after(Duration::from_secs(1)).await;
        let new = runs(&fleet, true);
        smol::Timer::after(Duration::from_millis(500)).await;
        assert_eq!(runs(&fleet, true), new, "{}", logs(&fleet));
        order(&fleet, "v2");
        let completed = wait_for_state(&fleet, "completed", DURATION).await;
        assert!(completed.is_some(), "{:?} {}", state(&fleet), logs(&fleet));
        load.end_without_failure(&fleet).await;
    });
}

#[test]
fn an_order_withdrawn_while_the_history_is_dropped_ends_its_rollout() {
    // Guards against a rollout that goes on without its order: the store drops its history just
    // after the order was withdrawn, so that no watch reports the deletion.
    run(async {
        let fleet = start_two_versions(6).await;
        order(&fleet, "v2");
        wait_until_running(&fleet).await;
        fleet.store.delete_prefix(ORDER);
        fleet.store.drop_history();
        let back = wait_for_state(&fleet, "rolled_back", Duration::from_secs(3)).await;
        assert!(back.is_some(), "{:?} {}", state(&fleet), logs(&fleet));
    });
}

#[test]
fn versions_without_an_order_are_ordinary() {
    // A release starts instances of another version without an order: they get calls as any
    // other instances do, and nothing is written to the store.
    run(async {
        let fleet = start_two_versions(4).await;
        let load = Load::start(&fleet, 4);
        smol::Timer::after(Duration::from_secs(1)).await;
        assert!(runs(&fleet, true) > 0 && runs(&fleet, false) > 0);
        assert_eq!(fleet.store.keys("cicadashift/rollout"), Vec::<String>::new());
        load.end_without_failure(&fleet).await;
    });
}
