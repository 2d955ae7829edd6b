//! When a daemon takes the upstream on its host for gone. The daemons are real processes, the
//! upstreams stand-in instances.

mod common;

use cicadashift_http::exec;
use cicadashift_http::hyper::Method;
use cicadashift_testkit::hosted::fleet::HostedFleet;
use cicadashift_testkit::hosted::instance::Instance;
use common::run;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time for which callers go on sending after an instance must be out of use, or kept.
const CHECKED_TIME: Duration = Duration::from_secs(3);
/// Time within which an instance that neither reports nor is healthy must be out of use: the
/// report timeout, two health requests, and the time to spread it.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(9);

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_cicadashift"))
}

async fn serving(count: usize) -> HostedFleet {
    HostedFleet::serving(program(), count).await
}

/// Requests that a caller of each daemon sent, with the time of each.
type Sent = Vec<(String, Instant)>;

/// Starts two callers at each of these daemons, which send one request after the other until
/// `until`.
fn start_callers(fleet: &HostedFleet, daemons: &[usize], until: Instant) -> Vec<smol::Task<Sent>> {
    let start = |i: &usize| {
        let caller = fleet.caller(*i);
        let name = format!("{i}-{:08x}", fastrand::u32(..));
        exec::spawn(async move {
            let mut sent = Vec::new();
            while Instant::now() < until {
                let id = format!("{name}-{}", sent.len());
                sent.push((id.clone(), Instant::now()));
                caller.call(Method::GET, "/notices/1", &id).await;
                smol::Timer::after(Duration::from_millis(20)).await;
            }
            sent
        })
    };
    daemons.iter().chain(daemons).map(start).collect()
}

/// Returns how many of the callers' requests that were sent after `from` reached an instance.
async fn arrived_late(
    callers: Vec<smol::Task<Sent>>,
    instance: &Instance,
    from: Instant,
) -> (usize, usize) {
    let mut late = Vec::new();
    for caller in callers {
        let sent = caller.await;
        late.extend(sent.into_iter().filter(|(_, at)| *at > from).map(|(id, _)| id));
    }
    let arrivals = instance.arrivals();
    let count = arrivals.iter().filter(|arrival| late.contains(&arrival.id)).count();
    (count, late.len())
}

#[test]
fn an_instance_in_use_that_neither_reports_nor_is_healthy_gets_no_new_requests() {
    // Guards against an upstream that has left without this daemon's knowledge, and is kept as
    // long as it runs calls, which under steady load is until it ends. Its next heartbeat
    // brings it back.
    run(async {
        let fleet = serving(2).await;
        let instance: Arc<Instance> = fleet.daemons[1].instance.clone();
        fleet.daemons.iter().for_each(|daemon| {
            daemon.instance.set_service_time(Duration::from_millis(300));
        });
        instance.set_heartbeats(false);
        instance.deny_health(true);
        let silent = Instant::now();
        let from = silent + SILENCE_TIMEOUT;
        let callers = start_callers(&fleet, &[0, 0, 0, 1, 1, 1], from + CHECKED_TIME);
        let (late, sent) = arrived_late(callers, &instance, from).await;
        assert_eq!(late, 0, "of {sent}; {}", events(&fleet, 1));
        instance.set_heartbeats(true);
        let back = async |fleet: &HostedFleet| fleet.sees_instances(0, 2).await;
        assert!(fleet.wait(back).await, "{}", events(&fleet, 1));
    });
}

#[test]
fn an_instance_in_use_whose_reports_are_cut_off_is_kept() {
    // Guards against an upstream that is taken out of use because of missing reports alone.
    run(async {
        let fleet = serving(1).await;
        let instance: Arc<Instance> = fleet.daemons[0].instance.clone();
        instance.set_service_time(Duration::from_millis(300));
        instance.set_heartbeats(false);
        let silent = Instant::now();
        let until = silent + SILENCE_TIMEOUT + CHECKED_TIME;
        let callers = start_callers(&fleet, &[0, 0, 0], until);
        let from = silent + SILENCE_TIMEOUT;
        let (arrived, sent) = arrived_late(callers, &instance, from).await;
        assert_eq!(arrived, sent, "{}", events(&fleet, 0));
    });
}

/// Returns the log of a daemon without its decisions.
fn events(fleet: &HostedFleet, i: usize) -> String {
    let log = fleet.log(i);
    let lines = log.lines().filter(|line| !line.contains("\"event\""));
    lines.map(|line| format!("\n{line}")).collect()
}
