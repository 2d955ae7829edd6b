//! What a rollout leaves in force after its daemons restart. The daemons are real processes, the
//! upstreams simulated instances of two versions.

mod common;

use cicadashift_testkit::hosted::fleet::HostedFleet;
use cicadashift_testkit::hosted::instance::AnswerMode;
use common::rollout::{
    DURATION, Load, is_new, logs, order, start_two_versions, state, wait_for_state,
    wait_until_running,
};
use common::run;
use std::time::Duration;

const DAEMONS: usize = 6;
/// Time within which the operator must read a result once the store takes its write.
const RESULT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after its completion for which a rollout holds other versions.
const HOLD_TIME: Duration = Duration::from_secs(10);

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

#[test]
fn a_completed_rollout_holds_no_later_version_after_a_restart() {
    // Guards against upstreams of a third version, released long after a rollout, that a daemon
    // holds since it has just received the rollout's last stage. Callers get no answers.
    run(async {
        let mut fleet = start_two_versions(DAEMONS).await;
        let load = Load::start(&fleet, 6);
        order(&fleet, "v2");
        let completed = wait_for_state(&fleet, "completed", DURATION).await;
        assert!(completed.is_some(), "{:?} {}", state(&fleet), logs(&fleet));
        load.end().await;
        smol::Timer::after(DURATION + HOLD_TIME).await;
        for daemon in &fleet.daemons {
            daemon.instance.set_version("v3");
            assert!(daemon.instance.send_heartbeat().await);
        }
        fleet.kill(0);
        fleet.restart(0);
        assert_served(&fleet, "after a restart").await;
        restart_all(&mut fleet, |_| {});
        assert_served(&fleet, "after a restart of all").await;
    });
}

/// Checks that every daemon is ready soon, and then answers calls from upstreams on all hosts.
async fn assert_served(fleet: &HostedFleet, when: &str) {
    for i in 0..DAEMONS {
        let is_ready = async |fleet: &HostedFleet| {
            fleet.is_ready(i).await && fleet.sees_instances(i, DAEMONS).await
        };
        assert!(fleet.wait(is_ready).await, "daemon {i} {when}: {}", logs(fleet));
    }
    smol::Timer::after(Duration::from_secs(1)).await;
    for i in 0..DAEMONS {
        for n in 0..4 {
            let id = format!("{i}-{n}-{:08x}", fastrand::u32(..));
            let status = fleet.status(i, "/notices/later", &id).await;
            assert_eq!(status, Some(200), "daemon {i} {when}: {}", logs(fleet));
        }
    }
}
