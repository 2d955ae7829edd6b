//! Recognizing callers that come back after a refusal.

use cicadashift_core::request::gate::KindKey;
use cicadashift_core::request::returning::{DEADLINE_TOLERANCE, ReturningCallers};
use std::time::{Duration, Instant};

const LOOKUP: KindKey = KindKey(1);
const PAYMENT: KindKey = KindKey(2);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

// A caller with 2.3 s is refused, comes back 180 ms later with 2.12 s left, is refused
// again and comes back once more. Each time it is known since when it waits; another
// caller with the same time left at another moment is not taken for it.
#[test]
fn a_caller_is_known_by_the_moment_until_which_it_waits() {
    let start = Instant::now();
    let mut returning = ReturningCallers::default();
    let until = start + ms(2300);
    assert_eq!(returning.take_first_arrival(LOOKUP, until), None);
    returning.record_unanswered(LOOKUP, start, until, start + ms(2));

    let stranger = start + ms(90) + ms(2120);
    assert_eq!(returning.take_first_arrival(LOOKUP, stranger), None);
    let again = start + ms(181) + ms(2120);
    assert_eq!(returning.take_first_arrival(PAYMENT, again), None, "a call of another kind");
    assert_eq!(returning.take_first_arrival(LOOKUP, again), Some(start));
    assert_eq!(returning.take_first_arrival(LOOKUP, again), None, "each is found once");

    returning.record_unanswered(LOOKUP, start, again, start + ms(183));
    let third = start + ms(520) + ms(1780);
    assert_eq!(returning.take_first_arrival(LOOKUP, third), Some(start));
}

// Two callers wait until nearly the same moment. Whoever comes back is taken for the
// nearer one.
#[test]
fn the_nearest_moment_is_taken() {
    let start = Instant::now();
    let mut returning = ReturningCallers::default();
    returning.record_unanswered(LOOKUP, start, start + ms(1000), start);
    returning.record_unanswered(LOOKUP, start + ms(5), start + ms(1003), start + ms(5));
    assert_eq!(returning.take_first_arrival(LOOKUP, start + ms(1002)), Some(start + ms(5)));
    assert_eq!(returning.take_first_arrival(LOOKUP, start + ms(1002)), Some(start));
    assert_eq!(returning.take_first_arrival(LOOKUP, start + ms(1002) + DEADLINE_TOLERANCE), None);
}

// A flood of refusals: what is remembered stays bounded, and is forgotten once the
// callers' time is over, so that later ones are known again.
#[test]
fn a_flood_of_refusals_is_remembered_in_part() {
    let start = Instant::now();
    let mut returning = ReturningCallers::default();
    let until = |i: u64| start + ms(1000) + Duration::from_micros(10 * i);
    for i in 0..20_000 {
        returning.record_unanswered(LOOKUP, start, until(i), start);
    }
    let known =
        (0..20_000).filter(|i| returning.take_first_arrival(LOOKUP, until(*i)).is_some()).count();
    for i in 0..20_000 {
        returning.record_unanswered(LOOKUP, start, until(i), start);
    }
    let later = start + ms(5000);
    returning.record_unanswered(PAYMENT, later, later + ms(700), later);
    let payment = returning.take_first_arrival(PAYMENT, later + ms(700));
    insta::assert_snapshot!(
        format!("{known} known; later one known: {}", payment == Some(later)),
        @"4096 known; later one known: true"
    );
}
