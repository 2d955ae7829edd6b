//! Upstreams that end their connection in the middle of an answer's head. The daemons are real
//! processes, the upstreams stand-ins.

mod common;

use cicadashift_http::hyper::Method;
use cicadashift_testkit::hosted::cut::{BODY, Cut, CutUpstream, End, Framing, head};
use cicadashift_testkit::hosted::fleet::HostedFleet;
use cicadashift_testkit::hosted::pipeline::exchange;
use common::run;
use std::collections::BTreeMap;
use std::path::Path;

const ID: &str = "i-cut";
const SLOTS: usize = 8;
/// Requests whose answers are cut, beside a sound upstream: few enough for the retry budget.
const RETRIED: usize = 12;
/// A path whose requests may be repeated, and one whose requests may not.
const IDEMPOTENT: &str = "/notices/";
const NOT_IDEMPOTENT: &str = "/lift/";

async fn serving_cut(daemons: usize) -> (HostedFleet, CutUpstream) {
    let fleet = HostedFleet::serving(Path::new(env!("CARGO_BIN_EXE_cicadashift")), daemons).await;
    fleet.put_config(2, &[IDEMPOTENT, NOT_IDEMPOTENT]);
    let has_version = async |fleet: &HostedFleet| {
        (0..daemons).all(|i| fleet.log(i).contains("version 2 is in force"))
    };
    assert!(fleet.wait(has_version).await, "{}", fleet.log(0));
    let upstream = CutUpstream::start(ID);
    fleet.replace_upstream(0, ID, upstream.addr, SLOTS).await;
    (fleet, upstream)
}

/// Returns all cuts within the head of an answer to a request.
fn cuts_in_head(framing: Framing, end: End, request_id: &str) -> impl Iterator<Item = Cut> {
    (0..head(framing, request_id).len()).map(move |bytes| Cut { framing, end, bytes })
}

/// Sends a request whose answer is cut; returns the status and body of what the caller gets,
/// none where that is not a complete answer.
async fn request(fleet: &HostedFleet, prefix: &str, cut: Cut, id: &str) -> Option<(u16, String)> {
    request_at(fleet, 0, prefix, cut, id).await
}

/// Sends such a request to a daemon, which need not be beside the upstream.
async fn request_at(
    fleet: &HostedFleet,
    entry: usize,
    prefix: &str,
    cut: Cut,
    id: &str,
) -> Option<(u16, String)> {
    let method = if prefix == IDEMPOTENT { Method::GET } else { Method::POST };
    let res = fleet.call(entry, method, &cut.path(prefix), id).await?;
    Some((res.status().as_u16(), res.into_body()))
}

/// Checks what callers of a daemon get for cuts within a head, `step` bytes apart.
async fn check_cut_heads(fleet: &HostedFleet, upstream: &CutUpstream, entry: usize, step: usize) {
    let mut statuses: BTreeMap<String, usize> = BTreeMap::new();
    for (framing, end) in Cut::ALL {
        for cut in cuts_in_head(framing, end, "0000").step_by(step) {
            for prefix in [IDEMPOTENT, NOT_IDEMPOTENT] {
                let id = format!("{:04}", statuses.values().sum::<usize>());
                let got = request_at(fleet, entry, prefix, cut, &id).await;
                let status = got.as_ref().map(|(status, _)| *status);
                assert!(status.is_none_or(|status| status >= 500), "{cut:?} {got:?}");
                *statuses.entry(format!("{prefix} {status:?}")).or_default() += 1;
            }
        }
    }
    let runs = upstream.runs().len();
    let sent: usize = statuses.values().sum();
    assert!(runs > sent / 2, "{runs} of {sent} requests reached the upstream: {statuses:?}");
}

// Guards against a cut head that becomes an answer of status 200 with an empty or short body.
#[test]
fn a_head_that_is_cut_short_never_becomes_an_answer() {
    run(async {
        let (fleet, upstream) = serving_cut(1).await;
        check_cut_heads(&fleet, &upstream, 0, 1).await;
    });
}

// Guards against the same where the daemon that the caller asks is not the one beside the upstream,
// and gets the answer from that one.
#[test]
fn a_head_that_is_cut_short_never_becomes_an_answer_of_another_daemon() {
    run(async {
        let (fleet, upstream) = serving_cut(2).await;
        assert!(fleet.daemons[1].instance.drain().await);
        let is_drained = async |fleet: &HostedFleet| {
            fleet.sees_instances(0, 1).await && fleet.sees_instances(1, 1).await
        };
        assert!(fleet.wait(is_drained).await, "{}", fleet.log(1));
        check_cut_heads(&fleet, &upstream, 1, 5).await;
    });
}

// Guards against a request that is lost although it may be sent to another upstream, or that is
// sent to another one although it may not.
#[test]
fn a_request_whose_answer_is_cut_in_its_head_is_sent_again_where_it_may_be() {
    run(async {
        let (fleet, upstream) = serving_cut(2).await;
        for n in 0..RETRIED {
            let (framing, end) = Cut::ALL[n % Cut::ALL.len()];
            let cut = Cut { framing, end, bytes: 9 * n };
            let id = format!("again-{n}");
            let got = request(&fleet, IDEMPOTENT, cut, &id).await;
            let is_whole =
                got.as_ref().is_some_and(|(status, body)| *status == 200 && body != BODY);
            assert!(is_whole, "{cut:?} {got:?} {}", fleet.trace(&id));
            let id = format!("once-{n}");
            let got = request(&fleet, NOT_IDEMPOTENT, cut, &id).await;
            let runs = upstream.runs().iter().filter(|run| **run == id).count() as u32;
            let expected = if runs == 0 { Some(200) } else { Some(502) };
            assert_eq!(got.as_ref().map(|(status, _)| *status), expected, "{cut:?} {got:?}");
            assert_eq!(runs + fleet.ledger.count(&id), 1, "{cut:?} {}", fleet.trace(&id));
        }
        let runs = upstream.runs();
        assert!(runs.iter().any(|id| id.starts_with("again")), "{runs:?}");
        assert!(runs.iter().any(|id| id.starts_with("once")), "{runs:?}");
    });
}

// Guards against answers that requests behind a cut one get in its place.
#[test]
fn requests_behind_a_cut_answer_get_their_own() {
    run(async {
        let (fleet, _upstream) = serving_cut(1).await;
        for (framing, end) in Cut::ALL {
            for cut in cuts_in_head(framing, end, "ahead-00").step_by(20) {
                let path = cut.path(IDEMPOTENT);
                let requests = [
                    ("/notices/1", "ahead-00"),
                    (path.as_str(), "ahead-01"),
                    ("/notices/1", "ahead-02"),
                    ("/notices/1", "ahead-03"),
                ];
                let got = exchange(fleet.daemons[0].callers, &requests).await;
                assert_eq!((got.answers, got.successes), (4, 3), "{cut:?} {got:?}");
            }
        }
    });
}

// Guards against an answer whose length nothing states, and which is refused although it ended
// well. That it may be a short one cannot be told; a reset can.
#[test]
fn an_answer_that_ends_with_its_connection_is_complete_unless_it_is_reset() {
    run(async {
        let (fleet, _upstream) = serving_cut(1).await;
        let framing = Framing::ByClose;
        let bytes = head(framing, "by-close").len() + BODY.len();
        for (end, expected) in [
            (End::Close, Some((200, BODY.to_string()))),
            (End::HalfClose, Some((200, BODY.to_string()))),
        ] {
            let cut = Cut { framing, end, bytes };
            assert_eq!(request(&fleet, IDEMPOTENT, cut, "by-close").await, expected, "{end:?}");
        }
        let cut = Cut { framing, end: End::Reset, bytes };
        let got = request(&fleet, IDEMPOTENT, cut, "by-close").await;
        assert!(got.as_ref().is_none_or(|(status, _)| *status >= 500), "{got:?}");
    });
}
