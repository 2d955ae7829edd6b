//! Upstreams that send bytes without end in place of an answer. The daemon is a real process,
//! the upstream a stand-in.

mod common;

use cicadashift_http::exec;
use cicadashift_http::hyper::Method;
use cicadashift_testkit::hosted::endless::{Endless, EndlessUpstream};
use cicadashift_testkit::hosted::fleet::HostedFleet;
use common::run;
use std::path::Path;
use std::time::{Duration, Instant};

/// The routes' `TimeoutMs`.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time after it within which the caller must have its final answer, and the upstream's
/// connection must be closed.
const END_TIMEOUT: Duration = Duration::from_millis(500);
/// Memory that one daemon may take, in bytes.
const MAX_MEMORY: u64 = 32 << 20;
/// Calls at the same time: as many as the upstream has slots.
const CALLS: usize = 4;
/// Calls at the same time by way of another daemon.
const MANY_CALLS: usize = 32;
const MODES: [Endless; 8] = [
    Endless::Noise,
    Endless::Header,
    Endless::Interim,
    Endless::Body,
    Endless::UnstatedBody,
    Endless::ChunkSize,
    Endless::Trailers,
    Endless::Surplus,
];
const ID: &str = "i-endless";

/// Returns daemons whose only upstream in use, beside the first one, sends bytes without end.
async fn serving_endless(
    daemons: usize,
    slots: usize,
    mode: Endless,
) -> (HostedFleet, EndlessUpstream) {
    let fleet = HostedFleet::serving(Path::new(env!("CARGO_BIN_EXE_cicadashift")), daemons).await;
    let upstream = EndlessUpstream::start(ID, mode);
    fleet.replace_upstream(0, ID, upstream.addr, slots).await;
    for daemon in 1..daemons {
        assert!(fleet.daemons[daemon].instance.drain().await);
        let is_drained = async |fleet: &HostedFleet| fleet.sees_instances(daemon, 1).await;
        assert!(fleet.wait(is_drained).await, "{}", fleet.log(daemon));
    }
    (fleet, upstream)
}

/// Returns the status codes of calls that are sent at the same time, none where no complete
/// answer arrived, and checks that each ends in time.
async fn statuses(
    fleet: &HostedFleet,
    daemon: usize,
    calls: usize,
    mode: Endless,
) -> Vec<Option<u16>> {
    let calls: Vec<_> = (0..calls)
        .map(|n| {
            let caller = fleet.caller(daemon);
            exec::spawn(async move {
                let began = Instant::now();
                let id = format!("{mode:?}-{n}");
                let res = caller.call(Method::GET, "/notices/1", &id).await;
                (res.map(|res| res.status().as_u16()), began.elapsed())
            })
        })
        .collect();
    let mut out = Vec::new();
    for call in calls {
        let (status, took) = call.await;
        assert!(took < ROUTE_TIMEOUT + END_TIMEOUT, "{mode:?}: {took:?}");
        out.push(status);
    }
    out.sort();
    out.dedup();
    out
}

/// Returns the results of calls to an upstream that sends bytes without end, after checks that
/// it is left in time and that the daemon keeps its memory.
async fn check(mode: Endless) -> Vec<Option<u16>> {
    let (fleet, upstream) = serving_endless(1, CALLS, mode).await;
    let statuses = statuses(&fleet, 0, CALLS, mode).await;
    let first = exec::timeout(END_TIMEOUT, upstream.closed.recv()).await;
    let Some(Ok(first)) = first else { panic!("{mode:?}: no connection is closed") };
    let more = std::iter::from_fn(|| upstream.closed.try_recv().ok());
    for closed in std::iter::once(first).chain(more) {
        assert!(closed.after < ROUTE_TIMEOUT + END_TIMEOUT, "{mode:?}: {closed:?}");
    }
    let peak = fleet.peak_memory(0).expect("the daemon is running");
    assert!(peak < MAX_MEMORY, "{mode:?}: {peak} bytes");
    statuses
}

// Guards against an upstream whose head or body never ends, which would take a daemon's memory
// or hold its slots and its callers for ever.
#[test]
fn bytes_without_end_take_bounded_time_and_memory() {
    run(async {
        let mut results = Vec::new();
        for mode in MODES {
            results.push(format!("{mode:?}: {:?}", check(mode).await));
        }
        // A body that ends with its connection is passed on as it arrives, and breaks off.
        insta::assert_snapshot!(results.join("\n"), @r"
        Noise: [Some(502)]
        Header: [Some(502)]
        Interim: [Some(504)]
        Body: [None]
        UnstatedBody: [Some(502)]
        ChunkSize: [Some(502)]
        Trailers: [Some(502)]
        Surplus: [Some(200)]
        ");
    });
}

// Guards against the same where many calls at once come by way of a daemon on another host, which
// gets the bytes from the first one.
#[test]
fn bytes_without_end_of_many_calls_take_bounded_memory_at_each_daemon() {
    run(async {
        for mode in MODES {
            let (fleet, upstream) = serving_endless(2, MANY_CALLS, mode).await;
            let statuses = statuses(&fleet, 1, MANY_CALLS, mode).await;
            let is_surplus = mode == Endless::Surplus;
            let is_success = |status: &Option<u16>| *status == Some(200);
            assert!(is_surplus || !statuses.iter().any(is_success), "{mode:?}: {statuses:?}");
            assert!(exec::timeout(END_TIMEOUT, upstream.closed.recv()).await.is_some(), "{mode:?}");
            for daemon in 0..2 {
                let peak = fleet.peak_memory(daemon).expect("the daemon is running");
                assert!(peak < MAX_MEMORY, "{mode:?}: {peak} bytes at daemon {daemon}");
            }
        }
    });
}
