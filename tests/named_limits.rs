//! Upstreams that name a limit in their answers, or that they leave, with real daemons
//! beside stand-in instances.

mod common;

use cicadashift_http::exec;
use cicadashift_http::hyper::Method;
use cicadashift_testkit::hosted::fleet::HostedFleet;
use cicadashift_testkit::hosted::instance::{Arrival, Instance};
use common::run;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Span in which the requests that reach an instance are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after an instance first named its limit from which it must be kept.
const KEPT_AFTER: Duration = Duration::from_secs(3);
/// Time after which a daemon that passed on an answer with the limit is bound by it.
const TOLD_AFTER: Duration = Duration::from_millis(500);
/// Requests in a window allowed beyond one and a half times what the limit allows.
const SLACK: f64 = 5.0;
/// Time after which an instance that leaves gets no new request.
const DRAIN: Duration = Duration::from_secs(2);

async fn serving(count: usize) -> HostedFleet {
    HostedFleet::serving(Path::new(env!("CARGO_BIN_EXE_cicadashift")), count).await
}

/// Returns most requests that reached an instance in one window, of those that came when
/// all daemons were told its limit.
fn most_in_window(instance: &Instance, named: Instant) -> usize {
    let mut times: Vec<Instant> = instance.arrivals().iter().map(|arrival| arrival.at).collect();
    times.retain(|at| *at >= named + TOLD_AFTER);
    let counted = |end: &Instant| {
        let is_counted = |at: &&Instant| **at <= *end && **at + WINDOW > *end;
        times.iter().filter(is_counted).count()
    };
    times.iter().filter(|at| **at >= named + KEPT_AFTER).map(counted).max().unwrap_or(0)
}

fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64() + SLACK) as usize
}

/// What callers were answered.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    served: usize,
    refused: usize,
}

/// Asks at each daemon, one request after the other, until a moment.
async fn ask_everywhere(fleet: &HostedFleet, callers_each: usize, until: Instant) -> Tally {
    let callers: Vec<_> = (0..fleet.nodes.len() * callers_each)
        .map(|k| {
            let caller = fleet.caller(k % fleet.nodes.len());
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
    // Guards against calls that go to an upstream by its slots alone, whatever it names.
    run(async {
        let fleet = serving(4).await;
        let limits = [(0, "1", 1.0), (2, "4.2", 4.2)];
        ask_everywhere(&fleet, 2, Instant::now() + Duration::from_secs(1)).await;
        for (i, text, _) in limits {
            fleet.nodes[i].instance.name_limit(Some(text));
        }
        let named = Instant::now();
        let tally = ask_everywhere(&fleet, 2, named + Duration::from_secs(9)).await;
        for (i, _, limit) in limits {
            let most = most_in_window(&fleet.nodes[i].instance, named);
            assert!(most <= allowed(limit), "{most} of {} at {limit} a second", allowed(limit));
            assert!(most as f64 >= 2.0 * limit, "{most} at {limit} a second: it is hardly used");
        }
        // Two upstreams without a limit have room for all.
        assert!(tally.refused * 50 <= tally.served, "{tally:?}");
    });
}

#[test]
fn a_named_limit_outlasts_the_daemon_that_keeps_it() {
    // Guards against a daemon that starts again and knows no limit, while calls that
    // began elsewhere go on coming through it.
    run(async {
        let mut fleet = serving(3).await;
        fleet.nodes[0].instance.name_limit(Some("1"));
        let named = Instant::now();
        for _ in 0..4 {
            ask_everywhere(&fleet, 3, Instant::now() + Duration::from_secs(2)).await;
            fleet.kill(0);
            fleet.restart(0);
            let known = fleet.wait(async |fleet| fleet.knows(1, 3).await).await;
            assert!(known, "{}", fleet.log(1));
        }
        ask_everywhere(&fleet, 3, Instant::now() + Duration::from_secs(2)).await;
        let most = most_in_window(&fleet.nodes[0].instance, named);
        assert!(most <= allowed(1.0), "{most} of {}", allowed(1.0));
    });
}

#[test]
fn a_limit_that_is_taken_back_is_gone_at_once() {
    // Guards against a limit that outlasts the answers which named it, and one of zero
    // under which no answer could ever take it back.
    run(async {
        let fleet = serving(1).await;
        let instance = &fleet.nodes[0].instance;
        instance.name_limit(Some("0"));
        ask_everywhere(&fleet, 2, Instant::now() + Duration::from_secs(5)).await;
        instance.name_limit(None);
        let lifted = Instant::now();
        let served = fleet.wait(async |fleet| {
            ask_everywhere(fleet, 1, Instant::now() + Duration::from_millis(400)).await.served >= 8
        });
        assert!(served.await, "{}", fleet.log(0));
        assert!(lifted.elapsed() < Duration::from_secs(7), "{:?}", lifted.elapsed());
    });
}

/// Returns the requests that reached an instance and were sent after a moment.
fn sent_later(instance: &Instance, sent: &[(String, Instant)], from: Instant) -> Vec<Arrival> {
    let late: Vec<&String> = sent.iter().filter(|(_, at)| *at > from).map(|(id, _)| id).collect();
    instance.arrivals().into_iter().filter(|arrival| late.contains(&&arrival.id)).collect()
}

/// Starts daemons of whose instances only the first takes work.
async fn serving_by_first(count: usize) -> HostedFleet {
    let fleet = serving(count).await;
    for node in &fleet.nodes[1..] {
        assert!(node.instance.leave().await);
    }
    let alone = fleet.wait(async |fleet| fleet.knows(1, 1).await).await;
    assert!(alone, "{}", fleet.log(1));
    fleet
}

/// Asks at a daemon one after the other until a moment; returns what was sent when.
async fn ask_at(fleet: &HostedFleet, i: usize, until: Instant) -> Vec<(String, Instant)> {
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
fn an_upstream_that_leaves_by_its_answers_gets_nothing_new() {
    // Guards against a daemon that passes on that an upstream leaves and goes on sending
    // there: the upstream reports itself as ready, and the daemon beside it starts anew.
    run(async {
        let mut fleet = serving_by_first(3).await;
        fleet.nodes[0].instance.name_leaving();
        let instance: Arc<Instance> = fleet.nodes[0].instance.clone();
        let said = Instant::now();
        let before = instance.arrivals().len();
        let mut sent = ask_at(&fleet, 1, said + Duration::from_millis(700)).await;
        assert!(instance.arrivals().len() > before, "its daemon is told by no answer");
        fleet.kill(0);
        fleet.restart(0);
        sent.extend(ask_at(&fleet, 1, said + Duration::from_secs(8)).await);
        let late = sent_later(&instance, &sent, said + Duration::from_millis(700) + DRAIN);
        assert!(late.is_empty(), "{} of {}", late.len(), sent.len());
    });
}

#[test]
fn an_upstream_that_starts_again_takes_work_after_it_left() {
    // Guards against the memory of an upstream that left being held against its next
    // start under the same id.
    run(async {
        let fleet = serving_by_first(2).await;
        let instance = &fleet.nodes[0].instance;
        instance.name_leaving();
        ask_at(&fleet, 1, Instant::now() + Duration::from_secs(1)).await;
        assert!(instance.start_again(1_771_000_000_000).await);
        let before = instance.arrivals().len();
        let served = fleet.wait(async |fleet| {
            ask_at(fleet, 1, Instant::now() + Duration::from_millis(200)).await;
            instance.arrivals().len() > before
        });
        assert!(served.await, "{}", fleet.log(0));
    });
}

#[test]
fn an_upstream_found_by_asking_has_the_slots_that_it_names() {
    // Guards against reading how slow an upstream is as its slots, and sending it that many
    // calls at once until its next report.
    run(async {
        let mut fleet = serving(1).await;
        fleet.nodes[0].instance.set_beats(false);
        fleet.kill(0);
        fleet.restart(0);
        let found = fleet.wait(async |fleet| fleet.log(0).contains("was found by asking it"));
        assert!(found.await, "{}", fleet.log(0));
        let known = fleet.wait(async |fleet| fleet.knows(0, 1).await).await;
        assert!(known, "{}", fleet.log(0));
        assert_eq!(fleet.own_status(0).await["upstreams"][0]["slots"], 9);
    });
}
