//! Recognizing retries of refused calls by their deadlines.

use cicadashift_core::request::gate::KindKey;
use cicadashift_core::request::returning::{DEADLINE_TOLERANCE, ReturningCallers};
use std::time::{Duration, Instant};

const LOOKUP: KindKey = KindKey(1);
const PAYMENT: KindKey = KindKey(2);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

// A call with 2.3 s left is refused, retried 180 ms later with 2.12 s left, refused again and
// retried once more. Each retry is matched to the first arrival; a call with the same time
// left that arrives at another moment is not.
#[test]
fn a_retry_is_recognized_by_its_deadline() {
    let start = Instant::now();
    let mut returning = ReturningCallers::default();
    let deadline = start + ms(2300);
    assert_eq!(returning.take_first_arrival(LOOKUP, deadline), None);
    returning.record_unanswered(LOOKUP, start, deadline, start + ms(2));

    let other_deadline = start + ms(90) + ms(2120);
    assert_eq!(returning.take_first_arrival(LOOKUP, other_deadline), None);
    let retry_deadline = start + ms(181) + ms(2120);
    assert_eq!(
        returning.take_first_arrival(PAYMENT, retry_deadline),
        None,
        "a call of another kind"
    );
    assert_eq!(returning.take_first_arrival(LOOKUP, retry_deadline), Some(start));
    assert_eq!(
        returning.take_first_arrival(LOOKUP, retry_deadline),
        None,
        "a recorded call is matched once"
    );

    returning.record_unanswered(LOOKUP, start, retry_deadline, start + ms(183));
    let third_deadline = start + ms(520) + ms(1780);
    assert_eq!(returning.take_first_arrival(LOOKUP, third_deadline), Some(start));
}

// Two callers have nearly the same deadline. A retry is matched to the nearer one.
#[test]
fn the_nearest_deadline_is_taken() {
    let start = Instant::now();
    let mut returning = ReturningCallers::default();
    returning.record_unanswered(LOOKUP, start, start + ms(1000), start);
    returning.record_unanswered(LOOKUP, start + ms(5), start + ms(1003), start + ms(5));
    assert_eq!(returning.take_first_arrival(LOOKUP, start + ms(1002)), Some(start + ms(5)));
    assert_eq!(returning.take_first_arrival(LOOKUP, start + ms(1002)), Some(start));
    assert_eq!(returning.take_first_arrival(LOOKUP, start + ms(1002) + DEADLINE_TOLERANCE), None);
}

// After many refusals the number of recorded calls stays bounded, and calls whose deadlines
// have passed are removed, so that later calls are recorded again.
#[test]
fn the_number_of_recorded_refusals_is_bounded() {
    let start = Instant::now();
    let mut returning = ReturningCallers::default();
    let deadline = |i: u64| start + ms(1000) + Duration::from_micros(10 * i);
    for i in 0..20_000 {
        returning.record_unanswered(LOOKUP, start, deadline(i), start);
    }
    let recognized = (0..20_000)
        .filter(|i| returning.take_first_arrival(LOOKUP, deadline(*i)).is_some())
        .count();
    for i in 0..20_000 {
        returning.record_unanswered(LOOKUP, start, deadline(i), start);
    }
    let later = start + ms(5000);
    returning.record_unanswered(PAYMENT, later, later + ms(700), later);
    let payment = returning.take_first_arrival(PAYMENT, later + ms(700));
    insta::assert_snapshot!(
        format!("{recognized} known; later one known: {}", payment == Some(later)),
        @"4096 known; later one known: true"
    );
}
