//! What a daemon believes of the upstream on its host, on a virtual clock.

use cicadashift_core::ids::HostKey;
use cicadashift_core::membership::departures::{
    DEPARTURE_TTL, Departure, Departures, MAX_PER_HOST,
};
use cicadashift_core::membership::reports::{
    REPEAT_INTERVAL, ReportHistory, ReportId, STARTUP_WINDOW,
};
use cicadashift_core::membership::restoration::{
    DISCOVERY_TIME, ESTABLISHED_MARGIN, RESTORE_TIMEOUT, Restoration,
};
use std::time::{Duration, Instant};

const HOST: HostKey = HostKey(7);
/// When instances leave and daemons start, in Unix milliseconds.
const AT_MS: u64 = 1_771_000_000_000;
const TICK: Duration = Duration::from_millis(250);

fn report(instance: &str, start: u64, sequence: u64) -> ReportId {
    ReportId { instance: instance.to_string(), start, sequence }
}

// Guards against a daemon that takes reports from before its start for the present state,
// whether one or several of them arrive late.
#[test]
fn reports_after_a_start_have_to_be_confirmed() {
    let start = Instant::now();
    let mut history = ReportHistory::new(start, AT_MS);
    let at_once = history.judge(&report("a", 0, 9), false, start);
    let held_up_together = history.judge(&report("a", 0, 10), false, start + TICK);
    let same_again = history.judge(&report("a", 0, 9), false, start + REPEAT_INTERVAL);
    let later = history.judge(&report("a", 0, 11), false, start + REPEAT_INTERVAL);
    insta::assert_compact_debug_snapshot!(
        [at_once, held_up_together, same_again, later],
        @"[Unconfirmed, Unconfirmed, Unconfirmed, Unconfirmed]"
    );
}

// Guards against a report from before the start that is believed because it is very late, and
// against an incarnation of later that is kept waiting.
#[test]
fn very_late_reports_have_to_be_confirmed_unless_the_incarnation_is_younger() {
    let start = Instant::now();
    let mut history = ReportHistory::new(start, AT_MS);
    let times = [start + STARTUP_WINDOW, start + DEPARTURE_TTL - TICK, start + DEPARTURE_TTL];
    let unknown_start = times.map(|at| history.judge(&report("a", 0, 9), false, at));
    let older = times.map(|at| history.judge(&report("b", AT_MS, 9), false, at));
    let younger = times.map(|at| history.judge(&report("c", AT_MS + 1, 1), false, at));
    let younger_at_once = history.judge(&report("c", AT_MS + 1, 1), false, start);
    insta::assert_compact_debug_snapshot!(
        (unknown_start, older, younger, younger_at_once),
        @"([Unconfirmed, Unconfirmed, Current], [Unconfirmed, Unconfirmed, Current], [Current, Current, Current], Unconfirmed)"
    );
}

// Guards against late reports that outweigh a health which denied one of them, however late
// they are, and against the next incarnation that is kept out with the denied one.
#[test]
fn a_denial_outweighs_reports_until_health_confirms_one() {
    let start = Instant::now();
    let now = start + DEPARTURE_TTL;
    let mut history = ReportHistory::new(start, AT_MS);
    history.denied(&report("a", 5, 9));
    let much_later = history.judge(&report("a", 5, 12), false, now);
    let another = history.judge(&report("b", 5, 1), false, now);
    let next_incarnation = history.judge(&report("a", 6, 1), false, now);
    history.announced("a", 5);
    let confirmed = history.judge(&report("a", 5, 13), false, now);
    insta::assert_compact_debug_snapshot!(
        [much_later, another, next_incarnation, confirmed],
        @"[Unconfirmed, Current, Current, Current]"
    );
}

// Guards against a late report of an upstream that was found gone, which would bring it back.
#[test]
fn an_upstream_found_gone_is_back_only_by_a_later_report() {
    let start = Instant::now();
    let now = start + DEPARTURE_TTL;
    let mut history = ReportHistory::new(start, AT_MS);
    history.found_gone(report("a", 5, 9));
    let late = history.judge(&report("a", 5, 8), false, now);
    let next = history.judge(&report("a", 5, 10), false, now);
    let repeated = history.judge(&report("a", 5, 11), false, now + REPEAT_INTERVAL);
    let another = history.judge(&report("b", 0, 1), false, now);
    let started_again = history.judge(&report("a", 6, 1), false, now);
    insta::assert_compact_debug_snapshot!(
        [late, next, repeated, another, started_again],
        @"[Outdated, Unconfirmed, Current, Current, Current]"
    );
}

// Guards against an ended incarnation that comes back by a late report, and against a later
// incarnation that is kept out with it.
#[test]
fn an_ended_incarnation_does_not_return_and_the_next_one_does() {
    let start = Instant::now();
    let now = start + DEPARTURE_TTL;
    let mut history = ReportHistory::new(start, AT_MS);
    history.ended("a", 5, now);
    let same = history.judge(&report("a", 5, 9), false, now);
    let unknown_start = history.judge(&report("a", 0, 9), false, now);
    let earlier = history.judge(&report("a", 4, 9), false, now);
    let later = history.judge(&report("a", 6, 1), false, now);
    history.ended("b", 0, now);
    let may_be_the_same = history.judge(&report("b", 5, 9), false, now);
    let repeated = history.judge(&report("b", 5, 10), false, now + REPEAT_INTERVAL);
    insta::assert_compact_debug_snapshot!(
        [same, unknown_start, earlier, later, may_be_the_same, repeated],
        @"[Outdated, Outdated, Outdated, Current, Unconfirmed, Unconfirmed]"
    );
}

// Guards against a departure that keeps out a later incarnation, or another instance.
#[test]
fn a_departure_is_of_one_incarnation() {
    let now = Instant::now();
    let mut departures = Departures::default();
    assert!(departures.record(&Departure::new(HOST, "a", 5, AT_MS), now));
    assert!(!departures.record(&Departure::new(HOST, "a", 5, AT_MS), now));
    departures.record(&Departure::new(HOST, "b", 0, AT_MS), now);
    let is_known = |(instance, start)| departures.contains(HOST, instance, start, now);
    let same = [("a", 5), ("a", 0), ("b", 0), ("b", 5)].map(is_known);
    let others = [("a", 6), ("b", AT_MS), ("b", u64::MAX), ("c", 0)].map(is_known);
    insta::assert_compact_debug_snapshot!(
        (same, others),
        @"([true, true, true, true], [false, false, false, false])"
    );
    assert!(!departures.contains(HostKey(8), "a", 5, now));
}

// Guards against a departure without a start time that keeps out a later incarnation after the
// start time of the departed one has become known, and against one that is sent to all daemons
// with each report of the same upstream.
#[test]
fn a_start_time_that_becomes_known_replaces_an_unknown_one() {
    let now = Instant::now();
    let mut departures = Departures::default();
    let at_unknown_time = departures.record(&Departure::new(HOST, "a", 0, 0), now);
    let by_its_host = departures.record(&Departure::new(HOST, "a", 0, AT_MS), now);
    let by_a_later_report = departures.record(&Departure::new(HOST, "a", 0, AT_MS + 1), now);
    let before = departures.contains(HOST, "a", 6, now);
    let known_start = departures.record(&Departure::new(HOST, "a", 5, AT_MS), now);
    let repeated = departures.record(&Departure::new(HOST, "a", 0, 0), now);
    let after = departures.contains(HOST, "a", 6, now);
    insta::assert_compact_debug_snapshot!(
        [at_unknown_time, by_its_host, by_a_later_report, known_start, repeated],
        @"[true, true, false, true, false]"
    );
    assert!(before && !after);
}

// Guards against daemons that renew each other's memory for ever, and against memory that
// grows with the number of departures.
#[test]
fn departures_are_forgotten_in_time_and_bounded() {
    let start = Instant::now();
    let (mut one, mut other) = (Departures::default(), Departures::default());
    one.record(&Departure::new(HOST, "a", 5, AT_MS), start);
    let mut last = start;
    for n in 1..400 {
        let now = start + Duration::from_secs(n);
        one.of_host(HOST, now).iter().for_each(|departure| {
            other.record(departure, now);
        });
        other.of_host(HOST, now).iter().for_each(|departure| {
            one.record(departure, now);
        });
        one.sweep(now);
        other.sweep(now);
        if one.contains(HOST, "a", 5, now) || other.contains(HOST, "a", 5, now) {
            last = now;
        }
    }
    assert!(last - start < DEPARTURE_TTL, "{:?}", last - start);
    assert!(one.is_empty() && other.is_empty());
    for n in 0..100 {
        one.record(&Departure::new(HOST, &format!("i-{n}"), 1, AT_MS), start);
    }
    assert_eq!(one.len(), MAX_PER_HOST);
    assert!(one.contains(HOST, "i-99", 1, start));
}

// Guards against a daemon that takes the word of one that has just started itself, and knows
// nothing, for proof that no upstream left.
#[test]
fn only_a_daemon_that_was_there_before_answers_for_the_time_before() {
    let start = Instant::now();
    let new = Restoration::new(AT_MS, start);
    let established = AT_MS - ESTABLISHED_MARGIN.as_millis() as u64;
    let state = |answers: &[(u64, bool)], knows_established: bool, after: Duration| {
        let mut restoration = new.clone();
        answers.iter().for_each(|(other, is_far)| restoration.answered(*other, *is_far));
        (restoration.is_complete(), restoration.is_settled(knows_established, start + after))
    };
    let nobody = [TICK, DISCOVERY_TIME, RESTORE_TIMEOUT].map(|after| state(&[], false, after));
    let by_established = state(&[(established, false)], true, TICK);
    let neighbour = [TICK, DISCOVERY_TIME].map(|after| state(&[(AT_MS, false)], false, after));
    let other_domain = state(&[(AT_MS - 1, true)], false, TICK);
    let established_is_known = [TICK, DISCOVERY_TIME, RESTORE_TIMEOUT]
        .map(|after| state(&[(AT_MS, false), (AT_MS, true)], true, after));
    insta::assert_compact_debug_snapshot!(
        (nobody, by_established, neighbour, other_domain, established_is_known),
        @"([(false, false), (false, false), (false, true)], (true, true), [(false, false), (false, true)], (false, true), [(false, false), (false, false), (false, true)])"
    );
}
