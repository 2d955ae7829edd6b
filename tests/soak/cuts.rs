//! Instances that end their connections in the middle of an answer's head.

use super::Random;
use cicadashift_http::exec;
use cicadashift_testkit::hosted::fleet::HostedFleet;
use cicadashift_testkit::hosted::instance::Instance;
use std::sync::Arc;
use std::time::Duration;

/// Time for which an instance cuts heads.
const CUT_TIME: Duration = Duration::from_millis(120);
/// Least and longest pause until the next instance does, in milliseconds.
const PAUSE_MS: (u64, u64) = (500, 1500);
/// Most bytes that are sent of a head.
const MAX_BYTES: u64 = 160;

/// The instances of a run, of which one at a time cuts heads until this is cancelled.
pub struct Cuts {
    instances: Vec<Arc<Instance>>,
    task: smol::Task<()>,
}

impl Cuts {
    /// Begins to cut heads. The times come from a generator of its own, so that the other faults
    /// of a seed stay the same.
    pub fn start(seed: u64, fleet: &HostedFleet) -> Cuts {
        let instances: Vec<_> =
            fleet.daemons.iter().map(|daemon| daemon.instance.clone()).collect();
        let task = exec::spawn(cut(Random(seed), instances.clone()));
        Cuts { instances, task }
    }

    /// Ends it, and prints how many heads were cut.
    pub async fn end(self, seed: u64) {
        self.task.cancel().await;
        self.instances.iter().for_each(|instance| instance.cut_heads(None));
        let count: usize = self.instances.iter().map(|instance| instance.heads_cut()).sum();
        eprintln!("seed {seed}: {count} heads of answers cut");
    }
}

async fn cut(mut random: Random, instances: Vec<Arc<Instance>>) {
    loop {
        let (least, most) = PAUSE_MS;
        smol::Timer::after(Duration::from_millis(least + random.below(most - least))).await;
        let instance = &instances[random.below(instances.len() as u64) as usize];
        instance.cut_heads(Some(random.below(MAX_BYTES) as usize));
        smol::Timer::after(CUT_TIME).await;
        instance.cut_heads(None);
    }
}
