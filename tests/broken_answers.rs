//! Upstreams whose answers have a broken head. The daemons are real processes, the upstreams
//! stand-ins, and the caller reads what arrives byte by byte.

mod common;

use cicadashift_testkit::hosted::cut::End;
use cicadashift_testkit::hosted::fleet::HostedFleet;
use cicadashift_testkit::hosted::pipeline::exchange_bytes;
use cicadashift_testkit::hosted::scripted::{Reply, ScriptedUpstream};
use common::run;
use std::path::Path;

const ID: &str = "i-broken";
const SLOTS: usize = 8;
/// The stamp of the upstream's answers.
const STAMP: &str = "x-server-stamp: broken";
/// The body of an answer that is sent with a length, and the same in chunks.
const PLAIN: &str = "0123456789";
const CHUNKS: &str = "a\r\n0123456789\r\n0\r\n\r\n";

/// An answer that is sound but for one part of its head.
struct Broken {
    status: &'static str,
    stamp: &'static str,
    /// In place of the line that states the length of the body.
    lines: &'static [u8],
    body: &'static str,
}

const fn broken(lines: &'static [u8], body: &'static str) -> Broken {
    Broken { status: "200", stamp: STAMP, lines, body }
}

const fn status(status: &'static str) -> Broken {
    Broken { status, ..broken(b"content-length: 10\r\n", PLAIN) }
}

/// Heads in which the transfer coding is broken or is none that a client knows.
const CODINGS: [Broken; 11] = [
    broken(b"transfer-encoding: chunkex\r\n", CHUNKS),
    broken(b"transfer-encoding: xchunked\r\n", CHUNKS),
    broken(b"transfer-encoding: chunke\r\n", CHUNKS),
    broken(b"transfer-encoding:\r\n", CHUNKS),
    broken(b"transfer-encoding: chunked;q=1\r\n", CHUNKS),
    broken(b"transfer-encoding: chun\xe9ed\r\n", CHUNKS),
    broken(b"transfer-encoding: chunked, gzip\r\n", CHUNKS),
    broken(b"transfer-encoding: chunked\r\ntransfer-encoding: gzip\r\n", CHUNKS),
    broken(b"transfer-encoding: gzip, chunked\r\n", CHUNKS),
    broken(b"transfer-encoding: chunked, chunked\r\n", CHUNKS),
    broken(b"transfer-encoding: identity\r\n", PLAIN),
];

/// Heads that state the length of the body twice.
const TWO_LENGTHS: [Broken; 5] = [
    broken(b"content-length: 5\r\ntransfer-encoding: chunked\r\n", CHUNKS),
    broken(b"transfer-encoding: chunked\r\ncontent-length: 20\r\n", CHUNKS),
    broken(b"content-length: 10\r\ntransfer-encoding: chunked\r\n", CHUNKS),
    broken(b"content-length: 10\r\ncontent-length: 11\r\n", PLAIN),
    broken(b"content-length: 10, 11\r\n", PLAIN),
];

/// Heads that state no length, although they do not say that the connection ends.
const NO_LENGTH: [Broken; 6] = [
    broken(b"", PLAIN),
    broken(b"transfer-encodinh: chunked\r\n", CHUNKS),
    broken(b"content-lengtg: 10\r\n", PLAIN),
    broken(b"\r\ncontent-length: 10\r\n", PLAIN),
    broken(b"connection: keep-alive\r\n", PLAIN),
    broken(b"connection: close\r\ntransfer-encodinh: chunked\r\n", CHUNKS),
];

/// Heads in which a line feed stands alone.
const LONE_LINE_FEEDS: [Broken; 5] = [
    broken(b"x-a: b\n\r\ncontent-length: 10\r\n", PLAIN),
    broken(b"content-length: 10\r\nx-a: b\n\nx-b: c\r\n", PLAIN),
    broken(b"content-length: 10\n\n", PLAIN),
    broken(b"content-length: 10\n", PLAIN),
    broken(b"connection: close\r\n\ncontent-length: 10\r\n", PLAIN),
];

/// Statuses that are none, that nothing asked for, or that have no body.
const STATUSES: [Broken; 12] = [
    status("000"),
    status("099"),
    status("20"),
    status("2000"),
    status("2x0"),
    status("-20"),
    status("100"),
    status("101"),
    status("600"),
    status("999"),
    status("204"),
    Broken { status: "204", ..broken(b"transfer-encoding: chunked\r\n", CHUNKS) },
];

/// Heads with a line that is no field, or a field whose name cannot be one.
const FIELDS: [Broken; 8] = [
    broken(b"content-length: 10\r\nno field\r\n", PLAIN),
    broken(b"content-length: 10\r\n: no name\r\n", PLAIN),
    broken(b"content-length: 10\r\n folded\r\n", PLAIN),
    broken(b"content-length 10\r\n", PLAIN),
    broken(b"content-length : 10\r\n", PLAIN),
    broken(b"content-length: 10\r\nx a: b\r\n", PLAIN),
    broken(b"content-length: 10\r\nx\x01a: b\r\n", PLAIN),
    broken(b"content-length: 1x\r\n", PLAIN),
];

/// Heads in which the stamp lost its name, or a part of it.
const UNSTAMPED: [Broken; 2] = [
    Broken { stamp: "x-server-stamq: broken", ..broken(b"content-length: 10\r\n", PLAIN) },
    Broken { stamp: "x-server:stamp: broken", ..broken(b"content-length: 10\r\n", PLAIN) },
];

/// Heads that are sound, if unusual.
const SOUND: [Broken; 9] = [
    broken(b"transfer-encoding:   ChunkeD \r\n", CHUNKS),
    broken(b"content-length: 10, 10\r\n", PLAIN),
    broken(b"content-length: 10\r\ncontent-length: 10\r\n", PLAIN),
    broken(b"content-length: 10\r\nconnection: close\r\n", PLAIN),
    broken(b"connection: keep-alive, Close\r\n", PLAIN),
    Broken { status: "204", ..broken(b"", "") },
    Broken { status: "204", ..broken(b"content-length: 0\r\n", "") },
    Broken { status: "304", ..broken(b"content-length: 10\r\n", "") },
    status("599"),
];

fn answer(broken: &Broken, request_id: &str) -> Vec<u8> {
    let start = format!(
        "HTTP/1.1 {} OK\r\nx-request-id: {request_id}\r\n{}\r\n",
        broken.status, broken.stamp
    );
    [start.as_bytes(), broken.lines, b"\r\n", broken.body.as_bytes()].concat()
}

/// Returns the path of a request that gets the answer at an index of a table.
fn path(index: usize, end: Option<End>) -> String {
    let end = if end.is_some() { "end" } else { "stay" };
    format!("/notices/{end}/{index}")
}

/// Starts daemons; the upstream beside the first one, alone in use, sends answers of a table.
async fn serving(daemons: usize, table: &'static [Broken]) -> (HostedFleet, ScriptedUpstream) {
    let program = Path::new(env!("CARGO_BIN_EXE_cicadashift"));
    let fleet = HostedFleet::serving(program, daemons).await;
    let upstream = ScriptedUpstream::start_healthy(ID, move |req| {
        let mut parts = req.path.rsplit('/');
        let index = parts.next().and_then(|part| part.parse::<usize>().ok());
        let bytes = match index.and_then(|index| table.get(index)) {
            Some(broken) => answer(broken, &req.id),
            None => answer(&broken(b"content-length: 10\r\n", PLAIN), &req.id),
        };
        Reply { bytes, end: (parts.next() == Some("end")).then_some(End::Close) }
    });
    fleet.replace_upstream(0, ID, upstream.addr, SLOTS).await;
    for daemon in 1..daemons {
        assert!(fleet.daemons[daemon].instance.drain().await);
    }
    let is_alone = async |fleet: &HostedFleet| {
        for daemon in 0..daemons {
            if !fleet.sees_instances(daemon, 1).await {
                return false;
            }
        }
        true
    };
    assert!(fleet.wait(is_alone).await, "{}", fleet.log(0));
    (fleet, upstream)
}

/// Sends a request to a daemon; returns the status and the body that its caller gets, and whether
/// they are said to be the upstream's.
async fn request(fleet: &HostedFleet, daemon: usize, path: &str, id: &str) -> String {
    let got = exchange_bytes(fleet.daemons[daemon].callers, &[(path, id)]).await;
    let text = String::from_utf8_lossy(&got).into_owned();
    let status = text.get(9..12).unwrap_or("none");
    let stamp = if text.contains("x-server-stamp") { "stamp" } else { "no stamp" };
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    let length = text.split("\r\n").find_map(|line| line.strip_prefix("content-length: "));
    match status.starts_with('2') {
        true => format!("{status} {stamp}, {} bytes: {body:?}", length.unwrap_or("some")),
        false => format!("{status} {stamp}"),
    }
}

/// Returns what callers get for each answer of a table, from the upstream's own daemon and from
/// another one, where the upstream then closes its connection and where it does not.
async fn outcomes(table: &'static [Broken]) -> String {
    outcomes_of(table, &[Some(End::Close), None]).await
}

async fn outcomes_of(table: &'static [Broken], ends: &[Option<End>]) -> String {
    let (fleet, upstream) = serving(2, table).await;
    let mut out = Vec::new();
    for (index, broken) in table.iter().enumerate() {
        for daemon in [0, 1] {
            for end in ends.iter().copied() {
                let id = format!("broken-{}", out.len());
                let got = request(&fleet, daemon, &path(index, end), &id).await;
                assert!(upstream.runs().contains(&id), "{}", fleet.trace(&id));
                let lines = broken.lines.escape_ascii();
                let head = match broken.stamp {
                    STAMP => format!("{} {lines}", broken.status),
                    stamp => format!("{} {stamp}\\r\\n{lines}", broken.status),
                };
                out.push((head, got));
            }
        }
    }
    out.dedup();
    let lines: Vec<String> =
        out.into_iter().map(|(lines, got)| format!("{lines}: {got}")).collect();
    lines.join("\n")
}

// Guards against the lines of chunks, or a body that is still coded, as the body of an answer.
#[test]
fn an_answer_of_an_unknown_transfer_coding_is_not_passed_on() {
    run(async {
        insta::assert_snapshot!(outcomes(&CODINGS).await, @r"
        200 transfer-encoding: chunkex\r\n: 502 no stamp
        200 transfer-encoding: xchunked\r\n: 502 no stamp
        200 transfer-encoding: chunke\r\n: 502 no stamp
        200 transfer-encoding:\r\n: 502 no stamp
        200 transfer-encoding: chunked;q=1\r\n: 502 no stamp
        200 transfer-encoding: chun\xe9ed\r\n: 502 no stamp
        200 transfer-encoding: chunked, gzip\r\n: 502 no stamp
        200 transfer-encoding: chunked\r\ntransfer-encoding: gzip\r\n: 502 no stamp
        200 transfer-encoding: gzip, chunked\r\n: 502 no stamp
        200 transfer-encoding: chunked, chunked\r\n: 502 no stamp
        200 transfer-encoding: identity\r\n: 502 no stamp
        ");
    });
}

// Guards against an answer that is passed on under the length that does not hold for its body, so
// that its caller takes the rest for the next answer or waits for more.
#[test]
fn an_answer_of_two_lengths_is_not_passed_on() {
    run(async {
        insta::assert_snapshot!(outcomes(&TWO_LENGTHS).await, @r"
        200 content-length: 5\r\ntransfer-encoding: chunked\r\n: 502 no stamp
        200 transfer-encoding: chunked\r\ncontent-length: 20\r\n: 502 no stamp
        200 content-length: 10\r\ntransfer-encoding: chunked\r\n: 502 no stamp
        200 content-length: 10\r\ncontent-length: 11\r\n: 502 no stamp
        200 content-length: 10, 11\r\n: 502 no stamp
        ");
    });
}

// Guards against what is left of an answer whose length was lost as a whole answer.
#[test]
fn an_answer_that_states_no_end_is_not_passed_on() {
    run(async {
        insta::assert_snapshot!(outcomes(&NO_LENGTH).await, @r"
        200 : 502 no stamp
        200 transfer-encodinh: chunked\r\n: 502 no stamp
        200 content-lengtg: 10\r\n: 502 no stamp
        200 \r\ncontent-length: 10\r\n: 502 no stamp
        200 connection: keep-alive\r\n: 502 no stamp
        200 connection: close\r\ntransfer-encodinh: chunked\r\n: 502 no stamp
        ");
    });
}

// Guards against the rest of a head as the beginning of the body.
#[test]
fn an_answer_with_a_lone_line_feed_in_its_head_is_not_passed_on() {
    run(async {
        insta::assert_snapshot!(outcomes(&LONE_LINE_FEEDS).await, @r"
        200 x-a: b\n\r\ncontent-length: 10\r\n: 502 no stamp
        200 content-length: 10\r\nx-a: b\n\nx-b: c\r\n: 502 no stamp
        200 content-length: 10\n\n: 502 no stamp
        200 content-length: 10\n: 502 no stamp
        200 connection: close\r\n\ncontent-length: 10\r\n: 502 no stamp
        ");
    });
}

// Guards against an answer of a status that does not exist, that nothing asked for, or that drops
// a body which the upstream sent.
#[test]
fn an_answer_of_a_status_that_cannot_be_is_not_passed_on() {
    run(async {
        insta::assert_snapshot!(outcomes(&STATUSES).await, @r"
        000 content-length: 10\r\n: 502 no stamp
        099 content-length: 10\r\n: 502 no stamp
        20 content-length: 10\r\n: 502 no stamp
        2000 content-length: 10\r\n: 502 no stamp
        2x0 content-length: 10\r\n: 502 no stamp
        -20 content-length: 10\r\n: 502 no stamp
        100 content-length: 10\r\n: 502 no stamp
        101 content-length: 10\r\n: 502 no stamp
        600 content-length: 10\r\n: 502 no stamp
        999 content-length: 10\r\n: 502 no stamp
        204 content-length: 10\r\n: 502 no stamp
        204 transfer-encoding: chunked\r\n: 502 no stamp
        ");
    });
}

// Guards against a line that is no field, or a name with a blank or a control byte, in an answer.
#[test]
fn an_answer_with_a_line_that_is_no_field_is_not_passed_on() {
    run(async {
        insta::assert_snapshot!(outcomes(&FIELDS).await, @r"
        200 content-length: 10\r\nno field\r\n: 502 no stamp
        200 content-length: 10\r\n: no name\r\n: 502 no stamp
        200 content-length: 10\r\n folded\r\n: 502 no stamp
        200 content-length 10\r\n: 502 no stamp
        200 content-length : 10\r\n: 502 no stamp
        200 content-length: 10\r\nx a: b\r\n: 502 no stamp
        200 content-length: 10\r\nx\x01a: b\r\n: 502 no stamp
        200 content-length: 1x\r\n: 502 no stamp
        ");
    });
}

// Guards against a success that nobody can tell from one that the upstream did not send.
#[test]
fn a_success_without_the_stamp_of_its_upstream_is_not_passed_on() {
    run(async {
        insta::assert_snapshot!(outcomes(&UNSTAMPED).await, @r"
        200 x-server-stamq: broken\r\ncontent-length: 10\r\n: 502 no stamp
        200 x-server:stamp: broken\r\ncontent-length: 10\r\n: 502 no stamp
        ");
    });
}

// Guards against the opposite: an answer that can be told to be whole is refused, or its length is
// passed on in a form that not all clients read.
#[test]
fn an_unusual_answer_is_passed_on() {
    run(async {
        insta::assert_snapshot!(outcomes_of(&SOUND, &[Some(End::Close)]).await, @r#"
        200 transfer-encoding:   ChunkeD \r\n: 200 stamp, 10 bytes: "0123456789"
        200 content-length: 10, 10\r\n: 200 stamp, 10 bytes: "0123456789"
        200 content-length: 10\r\ncontent-length: 10\r\n: 200 stamp, 10 bytes: "0123456789"
        200 content-length: 10\r\nconnection: close\r\n: 200 stamp, 10 bytes: "0123456789"
        200 connection: keep-alive, Close\r\n: 200 stamp, 10 bytes: "0123456789"
        204 : 204 stamp, some bytes: ""
        204 content-length: 0\r\n: 204 stamp, some bytes: ""
        304 content-length: 10\r\n: 304 stamp
        599 content-length: 10\r\n: 599 stamp
        "#);
    });
}
