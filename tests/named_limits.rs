//! In-band signals: upstreams that name a limit in their answers, or signal in them that they
//! are leaving. The daemons are real processes, the upstreams stand-in instances.

mod common;

use cicadashift_http::exec;
use cicadashift_http::hyper::Method;
use cicadashift_testkit::hosted::fleet::HostedFleet;
use cicadashift_testkit::hosted::instance::{Arrival, Instance};
use common::run;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Length of the sliding window in which requests to an instance are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after an instance first named its limit from which the limit must hold.
const ENFORCED_AFTER: Duration = Duration::from_secs(3);
/// Time after which a daemon that returned an answer with the limit must observe it.
const OBSERVED_AFTER: Duration = Duration::from_millis(500);
/// Requests allowed in a window beyond one and a half times the limit.
const SLACK: f64 = 5.0;
/// Time after which an instance that is leaving gets no new request.
const DRAIN_TIME: Duration = Duration::from_secs(2);

async fn serving(count: usize) -> HostedFleet {
    HostedFleet::serving(Path::new(env!("CARGO_BIN_EXE_cicadashift")), count).await
}

/// Returns the largest number of requests that reached an instance in one window, counting
/// only those that arrived after all daemons received its limit.
fn max_in_window(instance: &Instance, named: Instant) -> usize {
    let mut times: Vec<Instant> = instance.arrivals().iter().map(|arrival| arrival.at).collect();
    times.retain(|at| *at >= named + OBSERVED_AFTER);
    let count_until = |end: &Instant| {
        let is_counted = |at: &&Instant| **at <= *end && **at + WINDOW > *end;
        times.iter().filter(is_counted).count()
    };
    times.iter().filter(|at| **at >= named + ENFORCED_AFTER).map(count_until).max().unwrap_or(0)
}

/// Returns the number of requests allowed in a window under a limit in calls a second.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64() + SLACK) as usize
}

/// Counts of the answers that callers received.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    served: usize,
    refused: usize,
}

/// Runs `callers_each` callers at each daemon, each of which sends one request after the
/// other until `until`.
async fn call_all_daemons(fleet: &HostedFleet, callers_each: usize, until: Instant) -> Tally {
    let callers: Vec<_> = (0..fleet.daemons.len() * callers_each)
        .map(|k| {
            let caller = fleet.caller(k % fleet.daemons.len());
            let name = format!("{:08x}", fastrand::u32(..));
            exec::spawn(async move {
                let mut tally = Tally::default();
                let mut n = 0;
                while Instant::now() < until {
                    n += 1;
                    let id = format!("{name}-{n}");
                    let res = caller.call(Method::GET, "/notices/1", &id).await;
                    match res.map(|res| res.status().as_u16()) {
                        Some(200) => tally.served += 1,
                        _ => tally.refused += 1,
                    }
                    smol::Timer::after(Duration::from_millis(40)).await;
                }
                tally
            })
        })
        .collect();
    let mut sum = Tally::default();
    for caller in callers {
        let tally = caller.await;
        sum.served += tally.served;
        sum.refused += tally.refused;
    }
    sum
}

#[test]
fn an_upstream_gets_no_more_than_the_limit_it_named() {
    // Guards against an exit daemon that sends calls to an upstream by its slots alone and
    // ignores the limit that the upstream names.
    run(async {
        let fleet = serving(4).await;
        let limits = [(0, "1", 1.0), (2, "4.2", 4.2)];
        call_all_daemons(&fleet, 2, Instant::now() + Duration::from_secs(1)).await;
        for (i, text, _) in limits {
            fleet.daemons[i].instance.name_limit(Some(text));
        }
        let named = Instant::now();
        let tally = call_all_daemons(&fleet, 2, named + Duration::from_secs(9)).await;
        for (i, _, limit) in limits {
            let most = max_in_window(&fleet.daemons[i].instance, named);
            assert!(most <= allowed(limit), "{most} of {} at {limit} a second", allowed(limit));
            assert!(
                most as f64 >= 2.0 * limit,
                "{most} at {limit} a second: the limit is hardly used"
            );
        }
        // Two of the four upstreams name no limit and have room for all requests.
        assert!(tally.refused * 50 <= tally.served, "{tally:?}");
    });
}

#[test]
fn a_named_limit_survives_a_restart_of_its_exit_daemon() {
    // Guards against an exit daemon that has lost the limit in a restart and admits calls of
    // other daemons without it.
    run(async {
        let mut fleet = serving(3).await;
        fleet.daemons[0].instance.name_limit(Some("1"));
        let named = Instant::now();
        for _ in 0..4 {
            call_all_daemons(&fleet, 3, Instant::now() + Duration::from_secs(2)).await;
            fleet.kill(0);
            fleet.restart(0);
            let known = fleet.wait(async |fleet| fleet.sees_instances(1, 3).await).await;
            assert!(known, "{}", fleet.log(1));
        }
        call_all_daemons(&fleet, 3, Instant::now() + Duration::from_secs(2)).await;
        let most = max_in_window(&fleet.daemons[0].instance, named);
        assert!(most <= allowed(1.0), "{most} of {}", allowed(1.0));
    });
}

/// Restarts a daemon beside the only upstream that accepts calls, and waits until the second
/// daemon knows of the upstream again.
async fn restart_beside_upstream(fleet: &mut HostedFleet, i: usize) {
    fleet.kill(i);
    fleet.restart(i);
    let ready = fleet.wait(async |fleet| fleet.is_ready(i).await).await;
    assert!(ready, "{}", fleet.log(i));
    let announced = fleet.wait(async |fleet| fleet.sees_instances(i, 1).await).await;
    assert!(announced, "{}", fleet.log(i));
    let known = fleet.wait(async |fleet| fleet.sees_instances(1, 1).await).await;
    assert!(known, "{}", fleet.log(1));
}

#[test]
fn an_exit_daemon_that_restarted_adopts_the_limit_that_another_daemon_knows() {
    // Guards against an exit daemon that has lost the limit in a restart, cannot learn it from
    // an answer to a health request, and sends all calls that arrive before the first answer.
    run(async {
        let mut fleet = serving_by_first_only(2).await;
        let instance: Arc<Instance> = fleet.daemons[0].instance.clone();
        instance.set_health_answers(false);
        instance.name_limit(Some("1"));
        call_daemon(&fleet, 1, Instant::now() + Duration::from_millis(1500)).await;
        instance.set_service_time(Duration::from_secs(1));
        restart_beside_upstream(&mut fleet, 0).await;
        let before = instance.arrivals().len();
        let ids: Vec<String> = (0..9).map(|n| format!("first-{n}")).collect();
        fleet.statuses(1, "/notices/1", &ids).await;
        let together = instance.arrivals().len() - before;
        assert!(together <= 2, "{together} of {}: {}", ids.len(), fleet.log(0));
        let served = fleet.wait(async |fleet| {
            call_daemon(fleet, 1, Instant::now() + Duration::from_millis(200)).await;
            instance.arrivals().len() > before
        });
        assert!(served.await, "{}", fleet.log(0));
    });
}

#[test]
fn a_limit_that_is_taken_back_is_gone_at_once() {
    // Guards against a limit that still applies after answers no longer name it, and against
    // a limit of zero under which no call is sent whose answer could lift it.
    run(async {
        let fleet = serving(1).await;
        let instance = &fleet.daemons[0].instance;
        instance.name_limit(Some("0"));
        call_all_daemons(&fleet, 2, Instant::now() + Duration::from_secs(5)).await;
        instance.name_limit(None);
        let lifted = Instant::now();
        let served = fleet.wait(async |fleet| {
            call_all_daemons(fleet, 1, Instant::now() + Duration::from_millis(400)).await.served
                >= 8
        });
        assert!(served.await, "{}", fleet.log(0));
        assert!(lifted.elapsed() < Duration::from_secs(7), "{:?}", lifted.elapsed());
    });
}

/// Returns the requests that reached an instance and were sent after `from`.
fn sent_later(instance: &Instance, sent: &[(String, Instant)], from: Instant) -> Vec<Arrival> {
    let late: Vec<&String> = sent.iter().filter(|(_, at)| *at > from).map(|(id, _)| id).collect();
    instance.arrivals().into_iter().filter(|arrival| late.contains(&&arrival.id)).collect()
}

/// Starts daemons with an instance each, of which only the first accepts calls.
async fn serving_by_first_only(count: usize) -> HostedFleet {
    let fleet = serving(count).await;
    for node in &fleet.daemons[1..] {
        assert!(node.instance.leave().await);
    }
    let alone = fleet.wait(async |fleet| fleet.sees_instances(1, 1).await).await;
    assert!(alone, "{}", fleet.log(1));
    fleet
}

/// Sends requests to a daemon, one after the other, until `until`; returns their ids and when
/// each was sent.
async fn call_daemon(fleet: &HostedFleet, i: usize, until: Instant) -> Vec<(String, Instant)> {
    let caller = fleet.caller(i);
    let mut sent = Vec::new();
    while Instant::now() < until {
        let id = format!("{i}-{:08x}", fastrand::u32(..));
        sent.push((id.clone(), Instant::now()));
        caller.call(Method::GET, "/notices/1", &id).await;
        smol::Timer::after(Duration::from_millis(10)).await;
    }
    sent
}

#[test]
fn an_upstream_that_signals_leaving_gets_no_new_calls() {
    // Guards against an entry daemon that received the leaving signal and still sends calls to
    // the upstream: the upstream reports itself as ready, and the daemon beside it restarts and
    // so loses the signal.
    run(async {
        let mut fleet = serving_by_first_only(3).await;
        fleet.daemons[0].instance.signal_leaving();
        let instance: Arc<Instance> = fleet.daemons[0].instance.clone();
        let signalled = Instant::now();
        let before = instance.arrivals().len();
        let mut sent = call_daemon(&fleet, 1, signalled + Duration::from_millis(700)).await;
        assert!(instance.arrivals().len() > before, "no answer carried the leaving signal");
        fleet.kill(0);
        fleet.restart(0);
        sent.extend(call_daemon(&fleet, 1, signalled + Duration::from_secs(8)).await);
        let late =
            sent_later(&instance, &sent, signalled + Duration::from_millis(700) + DRAIN_TIME);
        assert!(late.is_empty(), "{} of {}", late.len(), sent.len());
    });
}

#[test]
fn a_leaving_signal_outlives_a_restart_of_the_exit_daemon() {
    // Guards against an entry daemon that forgets the leaving signal: the upstream reports
    // itself as ready and answers no health request, and the daemon beside it, which has lost
    // the signal in a restart, learns it again only from the answer to a further call.
    run(async {
        let mut fleet = serving_by_first_only(3).await;
        let instance: Arc<Instance> = fleet.daemons[0].instance.clone();
        instance.set_health_answers(false);
        instance.signal_leaving();
        let before = instance.arrivals().len();
        call_daemon(&fleet, 1, Instant::now() + Duration::from_millis(700)).await;
        assert!(instance.arrivals().len() > before, "no answer carried the leaving signal");
        smol::Timer::after(DRAIN_TIME).await;
        let before = instance.arrivals().len();
        fleet.kill(0);
        fleet.restart(0);
        let announced =
            fleet.wait(async |fleet| fleet.own_status(0).await["upstreams"][0].is_object());
        assert!(announced.await, "{}", fleet.log(0));
        call_daemon(&fleet, 1, Instant::now() + Duration::from_secs(3)).await;
        assert_eq!(instance.arrivals().len(), before);
    });
}

#[test]
fn an_upstream_that_starts_again_takes_work_after_it_left() {
    // Guards against a remembered leaving signal that is also applied to the next incarnation
    // under the same id.
    run(async {
        let fleet = serving_by_first_only(2).await;
        let instance = &fleet.daemons[0].instance;
        instance.signal_leaving();
        call_daemon(&fleet, 1, Instant::now() + Duration::from_secs(1)).await;
        assert!(instance.restart_at(1_771_000_000_000).await);
        let before = instance.arrivals().len();
        let served = fleet.wait(async |fleet| {
            call_daemon(fleet, 1, Instant::now() + Duration::from_millis(200)).await;
            instance.arrivals().len() > before
        });
        assert!(served.await, "{}", fleet.log(0));
    });
}

#[test]
fn an_upstream_found_by_a_health_request_has_the_slots_it_names() {
    // Guards against a daemon that reads the wrong field of the load header, the current
    // slowness, as the number of slots, and sends that many calls at once until the next
    // report.
    run(async {
        let mut fleet = serving(1).await;
        fleet.daemons[0].instance.set_heartbeats(false);
        fleet.kill(0);
        fleet.restart(0);
        let found = fleet.wait(async |fleet| fleet.log(0).contains("was found by asking it"));
        assert!(found.await, "{}", fleet.log(0));
        let known = fleet.wait(async |fleet| fleet.sees_instances(0, 1).await).await;
        assert!(known, "{}", fleet.log(0));
        assert_eq!(fleet.own_status(0).await["upstreams"][0]["slots"], 9);
    });
}
