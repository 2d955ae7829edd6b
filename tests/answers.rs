//! Large answers that break off. The daemons are real processes, the
//! upstreams stand-in instances.

mod common;

use cicadashift_http::exec;
use cicadashift_testkit::hosted::fleet::HostedFleet;
use cicadashift_testkit::hosted::instance::{AnswerMode, HUGE_BYTES};
use common::run;
use smol::Async;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::Duration;

/// Requests that a caller sends behind a large one.
const BEHIND: usize = 4;

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
        fleet.daemons[0].instance.set_answer_mode(AnswerMode::BreakingHuge);
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
