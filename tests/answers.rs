//! Large answers that break off, stall or arrive slowly. The daemons are real processes, the
//! upstreams stand-in instances.

mod common;

use cicadashift_http::exec;
use cicadashift_testkit::hosted::fleet::HostedFleet;
use cicadashift_testkit::hosted::instance::{HUGE_BYTES, HugeFault};
use common::run;
use smol::Async;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

/// Requests that a caller sends behind a large one.
const BEHIND: usize = 4;

/// The routes' `TimeoutMs` in the tests of answers that arrive slowly.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time after it within which the caller must have its final answer, and the upstream must
/// know that nobody waits for the answer any more.
const END_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which a caller of the tests gives up.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

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

fn get(path: &str, id: &str, connection: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: notices.example\r\nx-request-id: {id}\r\n\
         connection: {connection}\r\n\r\n"
    )
}

/// What arrived on a connection until its end.
#[derive(Debug, PartialEq, Eq)]
struct Received {
    /// Answers that began with status 200.
    answers: usize,
    /// Whether at least the bytes of one huge answer arrived.
    is_huge: bool,
}

/// Sends a text on a new connection and reads until its end.
async fn exchange(to: SocketAddr, text: &str) -> Received {
    let mut caller = Async::<TcpStream>::connect(to).await.expect("the daemon listens");
    caller.write_all(text.as_bytes()).await.expect("the daemon reads the requests");
    let mut got = Vec::new();
    // A connection that is reset has ended too.
    let _reset = exec::timeout(READ_TIMEOUT, caller.read_to_end(&mut got)).await;
    let answers = String::from_utf8_lossy(&got).matches("HTTP/1.1 200").count();
    Received { answers, is_huge: got.len() > HUGE_BYTES }
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
        let complete = Received { answers: 1 + BEHIND, is_huge: true };
        for prefix in &prefixes {
            let mut text = get(&format!("{prefix}huge"), &format!("{prefix}first"), "keep-alive");
            for n in 1..=BEHIND {
                let connection = if n == BEHIND { "close" } else { "keep-alive" };
                text += &get("/notices/1", &format!("{prefix}{n}"), connection);
            }
            let got = exchange(fleet.daemons[0].callers, &text).await;
            assert_eq!(got, complete, "{prefix}: {}", fleet.log(0));
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
    let got = exchange(fleet.daemons[0].callers, &get("/notices/huge", id, "close")).await;
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
        assert!(!got.is_huge);
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
        assert!(!got.is_huge);
        assert!(took < ROUTE_TIMEOUT + END_TIMEOUT, "{took:?}: {}", fleet.log(0));
    });
}

#[test]
fn an_answer_that_arrives_until_the_end_of_the_timeout_is_whole() {
    // Guards against an answer that is cut although it arrives in time, slowly and with a pause.
    run(async {
        let fleet = serving_from_second().await;
        fleet.daemons[1].instance.set_huge_answer_time(ROUTE_TIMEOUT * 7 / 8);
        let (got, took) = download(&fleet, "slow").await;
        assert_eq!(got, Received { answers: 1, is_huge: true }, "{}", fleet.log(0));
        assert!(took > ROUTE_TIMEOUT * 3 / 4, "{took:?}");
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
        let text = get("/notices/huge", "slow-caller", "close");
        caller.write_all(text.as_bytes()).await.expect("the daemon reads the request");
        let (mut got, mut chunk) = (0, [0; HUGE_BYTES / 40]);
        while let Ok(len @ 1..) = caller.read(&mut chunk).await {
            got += len;
            smol::Timer::after((ROUTE_TIMEOUT + END_TIMEOUT) / 40).await;
        }
        assert!(got > HUGE_BYTES, "{got} bytes: {}", fleet.log(0));
    });
}
