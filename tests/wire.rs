//! HTTP/1.1 towards callers and the mesh: framing, limits, malformed and hostile requests.

mod common;

use cicadashift_testkit::mesh::{Mesh, NOTICES_CONFIG};
use common::{run, spec};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

/// Deadline of calls with bodies of megabytes, which the deadline covers whole.
const LARGE_DEADLINE_MS: u64 = 15_000;

/// Sends raw bytes and returns all that is received until the connection ends.
async fn raw(to: SocketAddr, sent: &'static [u8]) -> String {
    smol::unblock(move || {
        let mut stream = TcpStream::connect(to).expect("the port is open");
        stream.set_read_timeout(Some(Duration::from_secs(20))).expect("the read timeout is set");
        stream.write_all(sent).expect("the request is written");
        let mut got = Vec::new();
        let _reset_is_an_end = stream.read_to_end(&mut got);
        String::from_utf8_lossy(&got).into_owned()
    })
    .await
}

fn status_of(text: &str) -> &str {
    text.split("\r\n").next().unwrap_or("")
}

#[test]
fn framing_and_malformed_requests() {
    run(async {
        let mesh = Mesh::serving(spec(&["a"], 1)).await;
        let to = mesh.fleet.daemons[0].callers;
        let cases: [(&str, &'static [u8]); 11] = [
            ("sized", b"POST /echo HTTP/1.1\r\nhost: m\r\nconnection: close\r\ncontent-length: 3\r\n\r\nabc"),
            ("chunked", b"POST /echo HTTP/1.1\r\nhost: m\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
            ("head", b"HEAD /notices HTTP/1.1\r\nhost: m\r\nconnection: close\r\n\r\n"),
            ("expect", b"POST /echo HTTP/1.1\r\nhost: m\r\nconnection: close\r\nexpect: 100-continue\r\ncontent-length: 3\r\n\r\nabc"),
            ("length and chunks", b"POST /echo HTTP/1.1\r\nhost: m\r\nconnection: close\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /notices HTTP/1.1\r\nhost: m\r\n\r\n"),
            ("two lengths", b"POST /echo HTTP/1.1\r\nhost: m\r\nconnection: close\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd"),
            ("chunked not last", b"POST /echo HTTP/1.1\r\nhost: m\r\nconnection: close\r\ntransfer-encoding: chunked, gzip\r\n\r\n0\r\n\r\n"),
            ("bad chunk", b"POST /echo HTTP/1.1\r\nhost: m\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n"),
            ("space before colon", b"GET /notices HTTP/1.1\r\nhost : m\r\nconnection: close\r\n\r\n"),
            ("not http", b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n"),
            ("too long a body", b"POST /notices HTTP/1.1\r\nhost: m\r\nconnection: close\r\ncontent-length: 99999999999\r\n\r\n"),
        ];
        let mut out = String::new();
        for (name, sent) in cases {
            let got = raw(to, sent).await;
            let answers = got.matches("HTTP/1.1 ").count();
            let echoed = got.ends_with("abc");
            out.push_str(&format!(
                "{name}: {} answers={answers} echoed={echoed}\n",
                status_of(&got)
            ));
        }
        insta::assert_snapshot!(out);
    });
}

#[test]
fn answers_carry_no_cicadashift_headers() {
    run(async {
        let mesh = Mesh::serving(spec(&["a"], 1)).await;
        let got = raw(
            mesh.fleet.daemons[0].callers,
            b"GET /notices HTTP/1.1\r\nhost: m\r\nconnection: close, x-secret\r\nx-secret: 1\r\ncicadashift-token: x\r\n\r\n",
        )
        .await;
        let internal: Vec<&str> =
            got.split("\r\n").filter(|line| line.contains("cicadashift-")).collect();
        assert!(got.starts_with("HTTP/1.1 200"), "{got}");
        assert_eq!(internal, Vec::<&str>::new());
    });
}

#[test]
fn a_head_that_is_too_large_is_refused() {
    run(async {
        let mesh = Mesh::serving(spec(&["a"], 1)).await;
        let to = mesh.fleet.daemons[0].callers;
        let got = smol::unblock(move || {
            let mut stream = TcpStream::connect(to).expect("the port is open");
            let filler = "x".repeat(200_000);
            let head = format!("GET /notices HTTP/1.1\r\nhost: m\r\nx: {filler}\r\n\r\n");
            let _refused_early = stream.write_all(head.as_bytes());
            let _half_closed = stream.shutdown(Shutdown::Write);
            let mut got = Vec::new();
            let _reset_is_an_end = stream.read_to_end(&mut got);
            String::from_utf8_lossy(&got).into_owned()
        })
        .await;
        assert!(got.is_empty() || got.starts_with("HTTP/1.1 431"), "{got}");
        let after = common::caller(&mesh, 0).call("GET", "/notices", "after", b"").await;
        assert!(common::is_answer(&after.outcome), "the daemon no longer answers: {after:?}");
    });
}

#[test]
fn a_slow_caller_is_timed_out() {
    // A caller sends half a head and then nothing. Its connection is closed after
    // `head_ms` of the settings, so that slow callers cannot occupy all connections.
    // Other callers are served in the meantime.
    run(async {
        let mut spec = spec(&["a"], 1);
        spec.head_ms = 700;
        let mesh = Mesh::serving(spec).await;
        let to = mesh.fleet.daemons[0].callers;
        let slow = raw(to, b"GET /notices HTTP/1.1\r\nhost: m\r\n");
        let caller = common::caller(&mesh, 0);
        let other = common::call_until(&caller, "other", common::is_answer);
        let (got, _) = smol::future::zip(slow, other).await;
        assert!(!got.contains("200 OK"), "{got}");
    });
}

#[test]
fn large_bodies_pass_whole_both_ways() {
    run(async {
        let mesh = Mesh::serving(spec(&["a", "b"], 1)).await;
        let service = r#""service": "notice""#;
        let patient = format!(r#"{service}, "deadline_ms": {LARGE_DEADLINE_MS}"#);
        mesh.roll_out(&NOTICES_CONFIG.replace(service, &patient)).await;
        let body = vec![b'y'; 3 << 20];
        let call = common::caller(&mesh, 0).call("POST", "/echo", "big", &body).await;
        match call.outcome {
            cicadashift_testkit::caller::CallOutcome::Answer { body: got, .. } => {
                assert!(got == body)
            }
            other => panic!("{other:?}"),
        }
        let call = common::caller(&mesh, 1).call("GET", "/notices?size=5000000", "wide", b"").await;
        match call.outcome {
            cicadashift_testkit::caller::CallOutcome::Answer { body: got, .. } => {
                assert_eq!(got.len(), 5_000_000);
            }
            other => panic!("{other:?}"),
        }
    });
}

#[test]
fn unauthenticated_mesh_requests_are_refused() {
    run(async {
        let mesh = Mesh::serving(spec(&["a"], 1)).await;
        let to = mesh.fleet.daemons[0].mesh;
        let cases: [&'static [u8]; 3] = [
            b"POST /mesh HTTP/1.1\r\nhost: m\r\nconnection: close\r\ncontent-length: 1\r\n\r\n\xc0",
            b"POST /mesh HTTP/1.1\r\nhost: m\r\nconnection: close\r\ncicadashift-token: guess\r\ncontent-length: 1\r\n\r\n\xc0",
            b"GET /notices HTTP/1.1\r\nhost: m\r\nconnection: close\r\ncicadashift-call: AAAA\r\n\r\n",
        ];
        for sent in cases {
            let got = raw(to, sent).await;
            assert_eq!(status_of(&got), "HTTP/1.1 403 Forbidden");
        }
        let udp = std::net::UdpSocket::bind("127.0.0.1:0").expect("a UDP socket");
        udp.send_to(&[0xff; 600], to).expect("the datagram is sent");
        let after = common::caller(&mesh, 0).call("GET", "/notices", "after", b"").await;
        assert!(common::is_answer(&after.outcome), "the daemon no longer answers: {after:?}");
    });
}

#[test]
fn a_caller_that_disconnects_cancels_its_call() {
    run(async {
        let mesh = Mesh::serving(spec(&["a"], 1)).await;
        mesh.upstreams[0].change(|b| b.service_time = Duration::from_secs(20));
        let to = mesh.fleet.daemons[0].callers;
        let stream = smol::unblock(move || {
            let mut stream = TcpStream::connect(to).expect("the port is open");
            stream
                .write_all(
                    b"GET /notices HTTP/1.1\r\nhost: m\r\ncicadashift-request-id: left\r\n\r\n",
                )
                .expect("the request is written");
            stream
        })
        .await;
        while mesh.ledger.count("left") == 0 {
            smol::Timer::after(Duration::from_millis(5)).await;
        }
        drop(stream);
        let until = std::time::Instant::now() + cicadashift_testkit::mesh::WAIT_TIMEOUT;
        while mesh.upstreams[0].cancelled() == 0 {
            assert!(std::time::Instant::now() < until, "the upstream sees no cancellation");
            smol::Timer::after(Duration::from_millis(5)).await;
        }
    });
}
