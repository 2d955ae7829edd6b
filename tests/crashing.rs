//! Requests that end the upstreams which run them, with real daemons beside stand-in
//! instances.

mod common;

use cicadashift_testkit::hosted::fleet::HostedFleet;
use cicadashift_testkit::hosted::instance::Fatal;
use common::run;
use std::path::Path;
use std::time::{Duration, Instant};

/// Instances that a request may end before it must be known.
const FREE_ENDS: usize = 3;
/// Time after which every daemon in touch must know it.
const KNOWN_AFTER: Duration = Duration::from_secs(3);
/// Most runs of it after that.
const LATE_RUNS: usize = 3;

async fn serving(count: usize) -> HostedFleet {
    HostedFleet::serving(Path::new(env!("CARGO_BIN_EXE_cicadashift")), count).await
}

/// Returns the runs of a guilty request over all instances, in their order.
fn fatal(fleet: &HostedFleet, path: &str) -> Vec<Fatal> {
    let mut runs: Vec<_> = fleet.nodes.iter().flat_map(|node| node.instance.fatal()).collect();
    runs.retain(|run| run.path == path);
    runs.sort_by_key(|run| run.at);
    runs
}

/// Returns how many runs began when the request had to be known everywhere.
fn late(runs: &[Fatal]) -> usize {
    let Some(third) = runs.get(FREE_ENDS - 1) else { return 0 };
    let known = third.at + KNOWN_AFTER;
    runs.iter().filter(|run| run.at > known).count()
}

#[test]
fn a_request_that_ends_instances_is_not_sent_on_for_ever() {
    // A caller asks for something that ends the instance which runs it, and asks again
    // for seven seconds, under new ids and at each daemon in turn. Every instance that
    // comes back is ended by it: to each daemon it looked like a new call each time, and
    // a call that breaks may be sent to a second instance. Of nineteen ends in a row the
    // logs said no more than nine times "connection closed before message completed"
    // for nine ids that never came again. Callers of everything else are refused
    // meanwhile, since no instance is left.
    run(async {
        let fleet = serving(4).await;
        let path = "/notices/guilty-1";
        let until = Instant::now() + Duration::from_secs(7);
        let mut n = 0;
        while Instant::now() < until {
            let status = fleet.status(n % 4, path, &format!("again-{n}")).await;
            assert_ne!(status, Some(200), "nothing can answer it");
            n += 1;
            smol::Timer::after(Duration::from_millis(100)).await;
        }
        let runs = fatal(&fleet, path);
        assert!(runs.len() >= 2, "it was not known from the start");
        let late = late(&runs);
        assert!(late <= LATE_RUNS, "{late} late runs, {} in all, of {n} calls", runs.len());
        for n in 0..40 {
            let id = format!("after-{n}");
            assert_eq!(fleet.status(n % 4, &format!("/notices/{n}"), &id).await, Some(200));
        }
    });
}
