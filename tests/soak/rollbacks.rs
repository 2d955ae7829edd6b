//! A version that was rolled back, while daemons are killed in series, also all of them, and the
//! store fails. Callers keep their connections.

use crate::common::rollout::{
    Load, MAX_ROLLBACK_TIME, ORDER, is_new, logs, order, runs, start_two_versions, wait_for_state,
    wait_until_running,
};
use crate::{Random, daemons};
use cicadashift_testkit::hosted::fleet::HostedFleet;
use cicadashift_testkit::hosted::instance::AnswerMode;
use cicadashift_testkit::hosted::store::Outage;
use std::time::{Duration, Instant};

/// Time within which all daemons receive a stage.
const SPREAD_TIME: Duration = Duration::from_secs(1);
/// Longest pause between two faults, and between a kill and the restart, in milliseconds.
const MAX_PAUSE_MS: u64 = 1200;
/// Callers for each daemon.
const CALLERS_PER_DAEMON: usize = 3;

/// Has a bad version rolled back, and checks that no request reaches it in `time` of faults,
/// although its answers are good from then on.
pub async fn soak(seed: u64, time: Duration) {
    let daemons = daemons();
    let mut fleet = start_two_versions(daemons).await;
    roll_back(&fleet).await;
    smol::Timer::after(SPREAD_TIME).await;
    set_answers(&fleet, AnswerMode::Normal);
    let (new, old) = (runs(&fleet, true), runs(&fleet, false));
    let load = Load::start(&fleet, daemons * CALLERS_PER_DAEMON);
    let mut random = Random(seed);
    let mut fault_log = Vec::new();
    let until = Instant::now() + time;
    while Instant::now() < until {
        fault_log.push(inject_fault(&mut fleet, &mut random).await);
        smol::Timer::after(Duration::from_millis(random.below(MAX_PAUSE_MS))).await;
    }
    for i in 0..daemons {
        let is_ready = async |fleet: &HostedFleet| fleet.is_ready(i).await;
        assert!(fleet.wait(is_ready).await, "seed {seed}: daemon {i}: {fault_log:?}");
    }
    smol::Timer::after(SPREAD_TIME).await;
    load.end().await;
    let (new, old) = (runs(&fleet, true) - new, runs(&fleet, false) - old);
    eprintln!("seed {seed}: {old} requests at the version that stayed, {} faults", fault_log.len());
    assert_eq!(new, 0, "seed {seed}: beside {old}: {fault_log:?} {}", logs(&fleet));
    assert!(old > 0, "seed {seed}: {fault_log:?}");
}

async fn roll_back(fleet: &HostedFleet) {
    order(fleet, "v2");
    wait_until_running(fleet).await;
    smol::Timer::after(SPREAD_TIME).await;
    set_answers(fleet, AnswerMode::Failing);
    let load = Load::start(fleet, 12);
    let back = wait_for_state(fleet, "rolled_back", MAX_ROLLBACK_TIME).await;
    assert!(back.is_some(), "{}", logs(fleet));
    load.end().await;
}

fn set_answers(fleet: &HostedFleet, mode: AnswerMode) {
    for i in (0..fleet.daemons.len()).filter(|i| is_new(*i)) {
        fleet.daemons[i].instance.set_answer_mode(mode);
    }
}

async fn inject_fault(fleet: &mut HostedFleet, random: &mut Random) -> String {
    let count = fleet.daemons.len();
    let one = random.below(count as u64) as usize;
    let pause = Duration::from_millis(random.below(MAX_PAUSE_MS));
    match random.below(8) {
        0 => restart(fleet, &[one], pause).await,
        1 => restart(fleet, &[0, 1], pause).await,
        2 => restart(fleet, &(2..count).collect::<Vec<_>>(), pause).await,
        3 | 4 => restart(fleet, &(0..count).collect::<Vec<_>>(), pause).await,
        5 => {
            let outage = [Outage::Busy, Outage::Silent, Outage::TooMany][one % 3];
            fleet.store.change_faults(|faults| faults.down = Some(outage));
            let killed = restart(fleet, &(0..count).collect::<Vec<_>>(), pause).await;
            smol::Timer::after(pause).await;
            fleet.store.change_faults(|faults| faults.down = None);
            format!("{outage:?} outage, {killed}")
        }
        6 => {
            fleet.signal(one, "-STOP");
            smol::Timer::after(pause).await;
            fleet.signal(one, "-CONT");
            format!("daemon {one} frozen for {pause:?}")
        }
        _ => {
            fleet.store.delete_prefix(ORDER);
            fleet.store.drop_history();
            "order withdrawn, history dropped".to_string()
        }
    }
}

async fn restart(fleet: &mut HostedFleet, daemons: &[usize], pause: Duration) -> String {
    daemons.iter().for_each(|i| fleet.kill(*i));
    smol::Timer::after(pause).await;
    daemons.iter().for_each(|i| fleet.restart(*i));
    format!("{daemons:?} killed for {pause:?}")
}
