//! What a rollout leaves in force after its daemons restart. The daemons are real processes, the
//! upstreams simulated instances of two versions.

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

const DAEMONS: usize = 6;
/// Daemons of a mesh in which some do not follow the store.
const LARGE_MESH: usize = 12;
/// Time within which all daemons receive a stage.
const SPREAD_TIME: Duration = Duration::from_secs(1);
/// Time for which callers go on sending after a restart.
const CHECKED_TIME: Duration = Duration::from_secs(6);
/// Time within which the operator must read a result once the store takes its write.
const RESULT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after its completion for which a rollout holds other versions.
const HOLD_TIME: Duration = Duration::from_secs(10);
/// Prefix of the stages in the store.
const STAGES: &str = "cicadashift/rollout/";

fn set_answers_of_new_version(fleet: &HostedFleet, mode: AnswerMode) {
    for i in (0..fleet.daemons.len()).filter(|i| is_new(*i)) {
        fleet.daemons[i].instance.set_answer_mode(mode);
    }
}

/// Kills all daemons, does something, and starts them again.
fn restart_all(fleet: &mut HostedFleet, between: impl FnOnce(&HostedFleet)) {
    (0..DAEMONS).for_each(|i| fleet.kill(i));
    between(fleet);
    (0..DAEMONS).for_each(|i| fleet.restart(i));
}

/// Returns how many requests reached the new version, and how many the old one, while callers
/// went on sending.
async fn runs_under_load(fleet: &HostedFleet) -> (usize, usize) {
    let (new, old) = (runs(fleet, true), runs(fleet, false));
    let load = Load::start(fleet, 12);
    smol::Timer::after(CHECKED_TIME).await;
    load.end().await;
    (runs(fleet, true) - new, runs(fleet, false) - old)
}

/// Checks that callers are answered, and none by the new version.
async fn assert_new_version_is_out_of_use(fleet: &HostedFleet) {
    let (new, old) = runs_under_load(fleet).await;
    assert!(old > 0 && new == 0, "{new} beside {old} {}", logs(fleet));
}

/// Starts a fleet in which a bad version has been rolled back.
async fn start_rolled_back() -> HostedFleet {
    start_rolled_back_of(DAEMONS).await
}

async fn start_rolled_back_of(daemons: usize) -> HostedFleet {
    let fleet = start_two_versions(daemons).await;
    order(&fleet, "v2");
    wait_until_running(&fleet).await;
    smol::Timer::after(Duration::from_secs(1)).await;
    set_answers_of_new_version(&fleet, AnswerMode::Failing);
    let load = Load::start(&fleet, 12);
    let back = wait_for_state(&fleet, "rolled_back", MAX_ROLLBACK_TIME).await;
    assert!(back.is_some(), "{:?} {}", state(&fleet), logs(&fleet));
    load.end().await;
    fleet
}

#[test]
fn a_rolled_back_version_gets_no_calls_after_a_kill_of_all_daemons() {
    // Guards against daemons that have just started and take a rolled back version for an
    // ordinary one, since only the store remembers the end of its rollout.
    run(async {
        let mut fleet = start_rolled_back().await;
        restart_all(&mut fleet, |_| {});
        assert_new_version_is_out_of_use(&fleet).await;
    });
}

#[test]
fn a_rolled_back_version_stays_out_of_use_without_its_order() {
    // Guards against the same where the operator has taken its order back, so that no order
    // leads the daemons to the end of the rollout.
    run(async {
        let mut fleet = start_rolled_back().await;
        restart_all(&mut fleet, |fleet| fleet.store.delete_prefix(ORDER));
        assert_new_version_is_out_of_use(&fleet).await;
    });
}

#[test]
fn a_rolled_back_version_stays_out_of_use_when_all_daemons_are_killed_twice() {
    // Guards against the same where the second kill comes before any daemon follows the store
    // again.
    run(async {
        let mut fleet = start_rolled_back().await;
        restart_all(&mut fleet, |_| {});
        smol::Timer::after(Duration::from_millis(300)).await;
        restart_all(&mut fleet, |_| {});
        assert_new_version_is_out_of_use(&fleet).await;
    });
}

#[test]
fn a_rolled_back_version_stays_out_of_use_while_the_store_comes_back() {
    // Guards against the same where the daemons start during an outage of the store: the first
    // call that it answers then must not put a configuration in force without the stage.
    run(async {
        let mut fleet = start_rolled_back().await;
        restart_all(&mut fleet, |fleet| {
            fleet.store.change_faults(|faults| faults.down = Some(Outage::Busy));
        });
        let load = Load::start(&fleet, 12);
        let new = runs(&fleet, true);
        smol::Timer::after(Duration::from_secs(3)).await;
        fleet.store.change_faults(|faults| faults.down = None);
        let (late_new, old) = runs_under_load(&fleet).await;
        load.end().await;
        assert!(old > 0, "{}", logs(&fleet));
        assert_eq!((runs(&fleet, true) - new, late_new), (0, 0), "beside {old} {}", logs(&fleet));
    });
}

#[test]
fn a_host_that_joins_after_a_kill_of_all_daemons_learns_of_the_roll_back() {
    // Guards against a daemon that gets its configuration from others and knows no stage: the
    // instance beside it is of the version that was rolled back.
    run(async {
        let mut fleet = start_rolled_back().await;
        (0..DAEMONS).for_each(|i| fleet.kill(i));
        (0..DAEMONS - 1).for_each(|i| fleet.restart(i));
        smol::Timer::after(Duration::from_secs(2)).await;
        fleet.restart(DAEMONS - 1);
        assert_new_version_is_out_of_use(&fleet).await;
    });
}

#[test]
fn a_daemon_takes_no_configuration_from_a_member_without_its_stages() {
    // Guards against a member that read the stage and the configuration when it started, and has
    // not announced the stage: a daemon to which the store does not show stages takes the
    // configuration alone.
    run(async {
        let mut fleet = start_rolled_back().await;
        (0..DAEMONS).for_each(|i| fleet.kill(i));
        fleet.restart(0);
        let until = Instant::now() + RESULT_TIMEOUT;
        while fleet.own_status(0).await["running"].as_u64().unwrap_or(0) == 0 {
            assert!(Instant::now() < until, "{}", logs(&fleet));
            smol::Timer::after(Duration::from_millis(10)).await;
        }
        fleet.store.change_faults(|faults| faults.refused_reads = Some(STAGES));
        (1..DAEMONS).for_each(|i| fleet.restart(i));
        assert_new_version_is_out_of_use(&fleet).await;
    });
}

#[test]
fn a_roll_back_outlives_all_followers_and_the_store() {
    // Guards against daemons that start during an outage and get their configuration from members
    // that do not tell the stage: all that announced it, the followers, were killed.
    run(async {
        let mut fleet = start_rolled_back_of(LARGE_MESH).await;
        smol::Timer::after(SPREAD_TIME).await;
        fleet.store.change_faults(|faults| faults.down = Some(Outage::Busy));
        let followers = fleet.followers().await;
        assert!(followers.len() < LARGE_MESH, "all daemons follow the store");
        followers.iter().for_each(|i| fleet.kill(*i));
        followers.iter().for_each(|i| fleet.restart(*i));
        assert_new_version_is_out_of_use(&fleet).await;
        for i in followers {
            let is_ready = async |fleet: &HostedFleet| fleet.is_ready(i).await;
            assert!(fleet.wait(is_ready).await, "daemon {i}: {}", logs(&fleet));
        }
    });
}

#[test]
fn a_rolled_back_version_stays_out_of_use_after_a_restore_of_the_store() {
    // Guards against the same where the store was restored, before the daemons were killed, from
    // a copy that is older than the order, so that the rollout would begin anew.
    run(async {
        let mut fleet = start_two_versions(DAEMONS).await;
        let copy = fleet.store.copy();
        order(&fleet, "v2");
        wait_until_running(&fleet).await;
        smol::Timer::after(Duration::from_secs(1)).await;
        set_answers_of_new_version(&fleet, AnswerMode::Failing);
        let load = Load::start(&fleet, 12);
        let back = wait_for_state(&fleet, "rolled_back", MAX_ROLLBACK_TIME).await;
        assert!(back.is_some(), "{:?} {}", state(&fleet), logs(&fleet));
        load.end().await;
        fleet.store.restore(copy);
        order(&fleet, "v2");
        let back = wait_for_state(&fleet, "rolled_back", RESULT_TIMEOUT).await;
        assert!(back.is_some(), "{:?} {}", state(&fleet), logs(&fleet));
        restart_all(&mut fleet, |_| {});
        assert_new_version_is_out_of_use(&fleet).await;
    });
}

#[test]
fn old_upstreams_stay_out_of_use_when_all_daemons_are_killed_after_a_cutover() {
    // Guards against requests lost at instances of the old version, which their operator stops
    // at once when the rollout is completed.
    run(async {
        let mut fleet = start_two_versions(DAEMONS).await;
        let load = Load::start(&fleet, 6);
        order(&fleet, "v2");
        let completed = wait_for_state(&fleet, "completed", DURATION).await;
        assert!(completed.is_some(), "{:?} {}", state(&fleet), logs(&fleet));
        load.end().await;
        restart_all(&mut fleet, |_| {});
        let (new, old) = runs_under_load(&fleet).await;
        assert!(new > 0 && old == 0, "{old} beside {new} {}", logs(&fleet));
    });
}

#[test]
fn an_unproven_version_keeps_its_bound_after_a_kill_of_all_daemons() {
    // Guards against a version that is ordinary after a restart in its canary phase, until a
    // daemon has become the decider again.
    run(async {
        let mut fleet = start_two_versions(DAEMONS).await;
        order(&fleet, "v2");
        wait_until_running(&fleet).await;
        smol::Timer::after(Duration::from_secs(1)).await;
        restart_all(&mut fleet, |fleet| set_answers_of_new_version(fleet, AnswerMode::Failing));
        let load = Load::start(&fleet, 12);
        let back = wait_for_state(&fleet, "rolled_back", DURATION).await;
        assert!(back.is_some(), "{:?} {}", state(&fleet), logs(&fleet));
        load.end().await;
        let (new, old) = (runs(&fleet, true), runs(&fleet, false));
        assert!(new as f64 <= 0.1 * (new + old) as f64 + 50.0, "{new} of {}", new + old);
    });
}

#[test]
fn a_rollout_whose_order_and_decider_are_gone_is_rolled_back() {
    // Guards against upstreams that are held for ever: the order is withdrawn while no daemon
    // runs that could end its rollout.
    run(async {
        let mut fleet = start_two_versions(DAEMONS).await;
        order(&fleet, "v2");
        wait_until_running(&fleet).await;
        smol::Timer::after(Duration::from_secs(1)).await;
        restart_all(&mut fleet, |fleet| fleet.store.delete_prefix(ORDER));
        let back = wait_for_state(&fleet, "rolled_back", RESULT_TIMEOUT).await;
        assert!(back.is_some(), "{:?} {}", state(&fleet), logs(&fleet));
        assert_new_version_is_out_of_use(&fleet).await;
    });
}

/// Starts a fleet in which a bad version was rolled back, and the store refused the result.
async fn start_without_result() -> HostedFleet {
    let fleet = start_two_versions(DAEMONS).await;
    order(&fleet, "v2");
    wait_until_running(&fleet).await;
    fleet.store.change_faults(|faults| faults.refused_writes = Some("status/"));
    smol::Timer::after(Duration::from_secs(1)).await;
    set_answers_of_new_version(&fleet, AnswerMode::Failing);
    let load = Load::start(&fleet, 12);
    let is_decided = async |fleet: &HostedFleet| logs(fleet).contains("rolled-back is decided");
    assert!(fleet.wait(is_decided).await, "{}", logs(&fleet));
    load.end().await;
    assert_eq!(state(&fleet).as_deref(), Some("running"));
    fleet
}

#[test]
fn a_result_that_the_store_refused_is_written_later() {
    // Guards against an operator who reads `running` for ever: the store refuses the result of a
    // rollout after it has taken the last stage.
    run(async {
        let fleet = start_without_result().await;
        fleet.store.change_faults(|faults| faults.refused_writes = None);
        let back = wait_for_state(&fleet, "rolled_back", RESULT_TIMEOUT).await;
        assert!(back.is_some(), "{:?} {}", state(&fleet), logs(&fleet));
    });
}

#[test]
fn a_result_that_its_decider_did_not_write_is_written_after_a_restart() {
    // Guards against the same where all daemons are killed between the last stage and the result.
    run(async {
        let mut fleet = start_without_result().await;
        restart_all(&mut fleet, |fleet| {
            fleet.store.change_faults(|faults| faults.refused_writes = None);
        });
        let back = wait_for_state(&fleet, "rolled_back", RESULT_TIMEOUT).await;
        assert!(back.is_some(), "{:?} {}", state(&fleet), logs(&fleet));
    });
}

/// Starts a fleet in which a rollout was completed long ago, and all upstreams are of a version.
async fn start_completed(daemons: usize, version: &str) -> HostedFleet {
    let fleet = start_two_versions(daemons).await;
    let load = Load::start(&fleet, 6);
    order(&fleet, "v2");
    let completed = wait_for_state(&fleet, "completed", DURATION).await;
    assert!(completed.is_some(), "{:?} {}", state(&fleet), logs(&fleet));
    load.end().await;
    smol::Timer::after(DURATION + HOLD_TIME).await;
    for daemon in &fleet.daemons {
        daemon.instance.set_version(version);
        assert!(daemon.instance.send_heartbeat().await);
    }
    fleet
}

#[test]
fn a_completed_rollout_holds_no_later_version_after_a_restart() {
    // Guards against upstreams of a third version, released long after a rollout, that a daemon
    // holds since it has just received the rollout's last stage. Callers get no answers.
    run(async {
        let mut fleet = start_completed(DAEMONS, "v3").await;
        fleet.kill(0);
        fleet.restart(0);
        assert_served(&fleet, "after a restart").await;
        restart_all(&mut fleet, |_| {});
        assert_served(&fleet, "after a restart of all").await;
    });
}

#[test]
fn a_daemon_that_starts_without_the_store_learns_that_a_rollout_was_completed() {
    // Guards against an older stage in the records of daemons that followed the store when the
    // rollout began: a daemon that starts during an outage would hold the new version, which is
    // the only one by then.
    run(async {
        let mut fleet = start_completed(LARGE_MESH, "v2").await;
        let followers = fleet.followers().await;
        let others: Vec<usize> = (0..LARGE_MESH).filter(|i| !followers.contains(i)).collect();
        assert!(!others.is_empty(), "all daemons follow the store");
        fleet.store.change_faults(|faults| faults.down = Some(Outage::Busy));
        others.iter().take(3).for_each(|i| {
            fleet.kill(*i);
            fleet.restart(*i);
        });
        assert_served(&fleet, "after a restart").await;
    });
}

/// Checks that every daemon is ready soon, and then answers calls from upstreams on all hosts.
async fn assert_served(fleet: &HostedFleet, when: &str) {
    let daemons = fleet.daemons.len();
    for i in 0..daemons {
        let is_ready = async |fleet: &HostedFleet| {
            fleet.is_ready(i).await && fleet.sees_instances(i, daemons).await
        };
        assert!(fleet.wait(is_ready).await, "daemon {i} {when}: {}", logs(fleet));
    }
    smol::Timer::after(Duration::from_secs(1)).await;
    for i in 0..daemons {
        for n in 0..4 {
            let id = format!("{i}-{n}-{:08x}", fastrand::u32(..));
            let status = fleet.status(i, "/notices/later", &id).await;
            assert_eq!(status, Some(200), "daemon {i} {when}: {}", logs(fleet));
        }
    }
}
