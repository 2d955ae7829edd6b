//! Large answers that break off, stall or arrive slowly. The daemons are real processes, the
//! upstreams stand-in instances.

mod common;

use cicadashift_testkit::hosted::fleet::HostedFleet;
use cicadashift_testkit::hosted::instance::{HUGE_BYTES, HugeFault};
use cicadashift_testkit::hosted::pipeline::{self, Received, exchange};
use common::run;
use smol::Async;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use std::net::TcpStream;
use std::path::Path;
use std::time::{Duration, Instant};

/// Requests that a caller sends behind a large one.
const BEHIND: usize = 4;

/// The routes' `TimeoutMs` in the tests of answers that arrive slowly.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time after it within which the caller must have its final answer, and the upstream must
/// know that nobody waits for the answer any more.
const END_TIMEOUT: Duration = Duration::from_millis(500);

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_cicadashift"))
}

/// Waits until all daemons have this version of the configuration in force.
async fn wait_for_version(fleet: &HostedFleet, version: u64) {
    let line = format!("version {version} is in force");
    let is_applied =
        async |fleet: &HostedFleet| (0..fleet.daemons.len()).all(|i| fleet.log(i).contains(&line));
    assert!(fleet.wait(is_applied).await, "{}", fleet.log(0));
}

#[test]
fn requests_behind_an_answer_that_breaks_off_are_answered() {
    // Guards against requests that are run by sound upstreams and lost with their connection,
    // since a large answer before them broke off after a part of it had been passed on.
    run(async {
        let fleet = HostedFleet::serving(program(), 2).await;
        let prefixes: Vec<_> = (0..6).map(|n| format!("/download-{n}/")).collect();
        let routes: Vec<_> = prefixes.iter().map(String::as_str).chain(["/notices/"]).collect();
        fleet.put_config(2, &routes);
        wait_for_version(&fleet, 2).await;
        fleet.daemons[0].instance.set_huge_fault(Some(HugeFault::Breaking));
        for prefix in &prefixes {
            let huge = format!("{prefix}huge");
            let ids: Vec<_> = (0..=BEHIND).map(|n| format!("{prefix}{n}")).collect();
            let path = |n: usize| if n == 0 { huge.as_str() } else { "/notices/1" };
            let requests: Vec<_> =
                ids.iter().enumerate().map(|(n, id)| (path(n), id.as_str())).collect();
            let got = exchange(fleet.daemons[0].callers, &requests).await;
            assert_eq!(got.successes, 1 + BEHIND, "{prefix}: {got:?} {}", fleet.log(0));
            assert!(got.bytes > HUGE_BYTES, "{prefix}: {got:?}");
        }
    });
}

/// Returns a fleet of two daemons of which only the second one's instance takes requests.
async fn serving_from_second() -> HostedFleet {
    let fleet = HostedFleet::serving(program(), 2).await;
    assert!(fleet.daemons[0].instance.drain().await);
    let is_drained = async |fleet: &HostedFleet| fleet.sees_instances(0, 1).await;
    assert!(fleet.wait(is_drained).await, "{}", fleet.log(0));
    fleet
}

/// Requests a huge answer at the first daemon, and returns what arrived and how long it took.
async fn download(fleet: &HostedFleet, id: &str) -> (Received, Duration) {
    let began = Instant::now();
    let got = exchange(fleet.daemons[0].callers, &[("/notices/huge", id)]).await;
    (got, began.elapsed())
}

/// Waits until the upstream of the second daemon finds that nobody waits for an answer.
async fn assert_given_up(fleet: &HostedFleet, id: &str, began: Instant) {
    let is_given_up =
        async |fleet: &HostedFleet| fleet.daemons[1].instance.abandoned().contains(&id.to_string());
    assert!(fleet.wait(is_given_up).await, "{}", fleet.log(1));
    assert!(began.elapsed() < ROUTE_TIMEOUT + END_TIMEOUT, "{:?}", began.elapsed());
}

#[test]
fn an_answer_that_stalls_ends_with_the_timeout_of_its_route() {
    // Guards against a caller that waits without end for the rest of an answer, and against an
    // upstream that is kept at work on it.
    run(async {
        let fleet = serving_from_second().await;
        fleet.daemons[1].instance.set_huge_fault(Some(HugeFault::Stalling));
        let began = Instant::now();
        let (got, took) = download(&fleet, "stalled").await;
        assert!(got.bytes < HUGE_BYTES, "{got:?}");
        assert!(took < ROUTE_TIMEOUT + END_TIMEOUT, "{took:?}: {}", fleet.log(0));
        assert_given_up(&fleet, "stalled", began).await;
    });
}

#[test]
fn an_answer_ends_in_time_although_the_daemon_beside_its_upstream_stands_still() {
    // Guards against a caller that gets no final answer while the daemon on another host, which
    // passes its answer on, stands still.
    run(async {
        let fleet = serving_from_second().await;
        fleet.daemons[1].instance.set_huge_answer_time(ROUTE_TIMEOUT / 2);
        let freeze = async {
            smol::Timer::after(ROUTE_TIMEOUT * 3 / 8).await;
            fleet.signal(1, "-STOP");
        };
        let (_, (got, took)) = smol::future::zip(freeze, download(&fleet, "frozen")).await;
        fleet.signal(1, "-CONT");
        assert!(got.bytes < HUGE_BYTES, "{got:?}");
        assert!(took < ROUTE_TIMEOUT + END_TIMEOUT, "{took:?}: {}", fleet.log(0));
    });
}

#[test]
fn an_answer_that_arrives_slowly_and_in_time_is_whole() {
    // Guards against an answer that is cut although all of it arrives before the timeout.
    run(async {
        let fleet = serving_from_second().await;
        fleet.daemons[1].instance.set_huge_answer_time(ROUTE_TIMEOUT * 3 / 4);
        let (got, took) = download(&fleet, "slow").await;
        assert_eq!(got.successes, 1, "{}", fleet.log(0));
        assert!(got.bytes > HUGE_BYTES, "{got:?}");
        assert!(took > ROUTE_TIMEOUT * 5 / 8, "{took:?}");
    });
}

#[test]
fn an_answer_that_its_caller_reads_slowly_is_whole() {
    // Guards against an answer that is there and is cut, since its caller takes longer to read
    // it than the timeout of the route.
    run(async {
        let fleet = serving_from_second().await;
        let mut caller = Async::<TcpStream>::connect(fleet.daemons[0].callers)
            .await
            .expect("the daemon listens");
        let text = pipeline::get("/notices/huge", "slow-caller", true);
        caller.write_all(text.as_bytes()).await.expect("the daemon reads the request");
        let (mut got, mut chunk) = (0, [0; HUGE_BYTES / 40]);
        while let Ok(len @ 1..) = caller.read(&mut chunk).await {
            got += len;
            smol::Timer::after((ROUTE_TIMEOUT + END_TIMEOUT) / 40).await;
        }
        assert!(got > HUGE_BYTES, "{got} bytes: {}", fleet.log(0));
    });
}
