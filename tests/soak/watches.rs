//! Watches whose answers cannot be used: too many changes for one answer, answers that are late, a
//! history that is gone and a present state that cannot be read, while daemons are killed.

use crate::{Random, daemons};
use cicadashift_testkit::hosted::fleet::HostedFleet;
use cicadashift_testkit::hosted::store::Outage;
use serde_json::json;
use std::path::Path;
use std::time::{Duration, Instant};

/// Writes of a large order, and its size: together they are more changes than one answer may hold.
const LARGE_WRITES: u64 = 8;
const LARGE_ORDER_BYTES: usize = 600 << 10;
/// Longest pause between two faults, in milliseconds.
const MAX_PAUSE_MS: u64 = 900;
/// Time after the last fault in which all daemons are ready and one follows the store.
const RECOVERY_TIME: Duration = Duration::from_secs(8);
/// Time within which a change must be in force after that.
const CHANGE_TIME: Duration = Duration::from_secs(2);

/// Injects faults for `time`, and checks that a change is in force in time afterwards.
pub async fn soak(seed: u64, time: Duration) {
    let program = Path::new(env!("CARGO_BIN_EXE_cicadashift"));
    let mut fleet = HostedFleet::serving(program, daemons()).await;
    let mut random = Random(seed);
    let mut version = 1;
    let mut fault_log = Vec::new();
    let until = Instant::now() + time;
    while Instant::now() < until {
        fault_log.push(inject_fault(&mut fleet, &mut random, &mut version));
        smol::Timer::after(Duration::from_millis(random.below(MAX_PAUSE_MS))).await;
    }
    end_faults(&mut fleet);
    let recovered = recover(&fleet).await;
    assert!(recovered, "seed {seed}: no daemon follows the store: {fault_log:?} {}", fleet.log(0));
    version += 1;
    fleet.put_config(version, &["/notices/"]);
    smol::Timer::after(CHANGE_TIME).await;
    for i in 0..daemons() {
        let running = fleet.own_status(i).await["running"].clone();
        assert_eq!(running, json!(version), "seed {seed}: {i}: {fault_log:?} {}", fleet.log(i));
    }
}

fn inject_fault(fleet: &mut HostedFleet, random: &mut Random, version: &mut u64) -> String {
    let one = random.below(fleet.daemons.len() as u64) as usize;
    match random.below(8) {
        0 | 1 => {
            let value = vec![b'x'; LARGE_ORDER_BYTES];
            (0..LARGE_WRITES).for_each(|_| fleet.store.put("op/rollout/large", &value));
            "large changes".to_string()
        }
        2 => {
            let late = random.below(2) == 0;
            fleet.store.change_faults(|faults| faults.late_watches = late);
            format!("late watches: {late}")
        }
        3 => {
            let refused = (random.below(2) == 0).then_some("op/");
            fleet.store.change_faults(|faults| faults.refused_reads = refused);
            format!("refused reads: {refused:?}")
        }
        4 => {
            fleet.store.delete_prefix("op/rollout/");
            fleet.store.drop_history();
            "orders deleted, history dropped".to_string()
        }
        5 => {
            let down = [None, Some(Outage::Busy), Some(Outage::Silent)][one % 3];
            fleet.store.change_faults(|faults| faults.down = down);
            format!("outage: {down:?}")
        }
        6 => {
            fleet.kill(one);
            fleet.restart(one);
            format!("{one} killed")
        }
        _ => {
            *version += 1;
            fleet.put_config(*version, &["/notices/"]);
            format!("version {version}")
        }
    }
}

fn end_faults(fleet: &mut HostedFleet) {
    fleet.store.change_faults(|faults| {
        faults.down = None;
        faults.late_watches = false;
        faults.refused_reads = None;
    });
}

/// Waits until all daemons are ready and one follows the store.
async fn recover(fleet: &HostedFleet) -> bool {
    let until = Instant::now() + RECOVERY_TIME;
    while Instant::now() < until {
        let mut ready = 0;
        for i in 0..fleet.daemons.len() {
            ready += usize::from(fleet.is_ready(i).await);
        }
        if ready == fleet.daemons.len() && !fleet.followers().await.is_empty() {
            return true;
        }
        smol::Timer::after(Duration::from_millis(50)).await;
    }
    false
}
