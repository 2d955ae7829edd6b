//! Callers that send lookups behind a huge answer on one connection, while instances break such
//! answers off or stall in them.

use super::{Disturbances, Random};
use cicadashift_http::exec;
use cicadashift_testkit::hosted::fleet::{Daemon, HostedFleet};
use cicadashift_testkit::hosted::instance::{HugeFault, Instance};
use cicadashift_testkit::hosted::pipeline::exchange;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Prefix of the route of huge answers.
pub const PREFIX: &str = "/files/";
/// The routes' `TimeoutMs`.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time after it within which a request must have its final answer.
const END_TIMEOUT: Duration = Duration::from_millis(500);
/// Requests without a final answer in time that are allowed, also where they are most of the
/// requests that lasted longer than their timeout.
const MAX_LATE: usize = 7;
/// Share of the requests that lasted longer than their timeout that may have no final answer in
/// time, of 100.
const MAX_LATE_PER_CENT: usize = 25;
/// Requests that may be run and lost with their connection.
const MAX_LOST: usize = 3;
/// Lookups behind each huge answer.
const BEHIND: usize = 2;
/// Pause of a caller between two huge answers.
const PAUSE: Duration = Duration::from_millis(400);
/// Time between two changes of what goes wrong in huge answers.
const FAULT_INTERVAL: Duration = Duration::from_millis(300);
/// Makes the series of these faults differ from that of the others, which has the same seed.
const FAULT_SEED: u64 = 0x00d0_3a10_ad5e_ed00;

/// A huge answer and the lookups behind it.
struct Exchange {
    entry: usize,
    /// Ids of the lookups whose answers did not begin.
    unanswered: Vec<String>,
    from: Instant,
    until: Instant,
}

/// The exchanges of all callers of a run.
#[derive(Clone, Default)]
pub struct Downloads {
    all: Arc<Mutex<Vec<Exchange>>>,
}

impl Downloads {
    /// Starts a caller of each daemon, and the faults in huge answers, until `stop` is set.
    pub fn start(
        &self,
        seed: u64,
        fleet: &HostedFleet,
        stop: &Arc<AtomicBool>,
    ) -> Vec<smol::Task<()>> {
        let call = |(i, daemon): (usize, &Daemon)| {
            exec::spawn(self.clone().call(seed, i, daemon.callers, stop.clone()))
        };
        let instances = fleet.daemons.iter().map(|daemon| daemon.instance.clone()).collect();
        let faults = exec::spawn(inject_faults(seed, instances, stop.clone()));
        fleet.daemons.iter().enumerate().map(call).chain([faults]).collect()
    }

    /// Sends exchanges to a daemon, one after the other, until `stop` is set.
    async fn call(self, seed: u64, entry: usize, to: SocketAddr, stop: Arc<AtomicBool>) {
        let huge = format!("{PREFIX}huge");
        let mut n = 0;
        while !stop.load(Ordering::Relaxed) {
            n += 1;
            let ids: Vec<_> =
                (0..=BEHIND).map(|k| format!("download-{seed}-{n}-{entry}-{k}")).collect();
            let path = |k: usize| if k == 0 { huge.as_str() } else { "/notices/1" };
            let requests: Vec<_> =
                ids.iter().enumerate().map(|(k, id)| (path(k), id.as_str())).collect();
            let from = Instant::now();
            let answers = exchange(to, &requests).await.answers;
            let until = Instant::now();
            let unanswered = ids.into_iter().skip(answers.max(1)).collect();
            let exchange = Exchange { entry, unanswered, from, until };
            self.all.lock().expect("no caller panics").push(exchange);
            smol::Timer::after(PAUSE).await;
        }
    }

    /// Checks the exchanges with daemons that were undisturbed meanwhile.
    pub fn check(
        &self,
        seed: u64,
        fleet: &HostedFleet,
        disturbances: &Disturbances,
        fault_log: &[String],
    ) {
        let all = self.all.lock().expect("no caller panics");
        let is_undisturbed = |exchange: &&Exchange| {
            let is_undisturbed = |at| disturbances.undisturbed(exchange.entry, at);
            is_undisturbed(exchange.from) && is_undisturbed(exchange.until)
        };
        let checked: Vec<_> = all.iter().filter(is_undisturbed).collect();
        let lasted = |time: Duration| {
            checked.iter().filter(|exchange| exchange.until > exchange.from + time).count()
        };
        let (long, late) = (lasted(ROUTE_TIMEOUT), lasted(ROUTE_TIMEOUT + END_TIMEOUT));
        let unanswered = checked.iter().flat_map(|exchange| &exchange.unanswered);
        let lost: Vec<_> = unanswered.filter(|id| fleet.ledger.count(id) > 0).collect();
        eprintln!(
            "seed {seed}: {} of {} downloads checked, {long} longer than their timeout, {late} late; \
             {} requests behind them lost",
            checked.len(),
            all.len(),
            lost.len()
        );
        let is_late = late > MAX_LATE && late * 100 > long * MAX_LATE_PER_CENT;
        assert!(!is_late, "seed {seed}: {late} of {long} late after {fault_log:?}");
        assert!(lost.len() <= MAX_LOST, "seed {seed}: {lost:?} lost after {fault_log:?}");
    }
}

/// Changes what goes wrong in the huge answers of a random instance at a time, until `stop` is
/// set.
async fn inject_faults(seed: u64, instances: Vec<Arc<Instance>>, stop: Arc<AtomicBool>) {
    let mut random = Random(seed ^ FAULT_SEED);
    let faults = [None, None, Some(HugeFault::Breaking), Some(HugeFault::Stalling)];
    while !stop.load(Ordering::Relaxed) {
        let i = random.below(instances.len() as u64) as usize;
        instances[i].set_huge_fault(faults[random.below(faults.len() as u64) as usize]);
        smol::Timer::after(FAULT_INTERVAL).await;
    }
}
