//! Throttling at the entry, on a virtual clock: one entry daemon in front of hosts that accept a
//! fixed number of calls each second.

use cicadashift_core::config::Priority;
use cicadashift_core::request::gate::KindKey;
use cicadashift_core::request::throttle::{CallOutcome, Throttle};
use std::time::{Duration, Instant};

const KIND: KindKey = KindKey(1);
const OTHER: KindKey = KindKey(2);
const RANK: Priority = Priority(1);
const STEP: Duration = Duration::from_millis(1);
const WAIT: Duration = Duration::from_millis(80);

/// Counts of one second.
#[derive(Clone, Copy, Debug, Default)]
struct Second {
    sent: u32,
    accepted: u32,
}

/// Offers calls each millisecond, of which hosts accept `capacity` a second; returns the counts
/// of each second.
fn offer(
    throttle: &mut Throttle,
    rng: &mut fastrand::Rng,
    from: Instant,
    seconds: u32,
    (offered, capacity): (f64, f64),
) -> Vec<Second> {
    let (mut due, mut room) = (0.0, 0.0);
    let mut counts = vec![Second::default(); seconds as usize];
    for step in 0..seconds * 1000 {
        let (now, second) = (from + STEP * step, &mut counts[(step / 1000) as usize]);
        due += offered / 1e3;
        room = f64::min(room + capacity / 1e3, 10.0);
        while due >= 1.0 {
            due -= 1.0;
            if throttle.admit(KIND, RANK, now, rng.u64(..)).is_err() {
                continue;
            }
            second.sent += 1;
            let outcome = match room >= 1.0 {
                true => CallOutcome::Accepted,
                false => CallOutcome::NoRoom { retry_after: WAIT },
            };
            if outcome == CallOutcome::Accepted {
                room -= 1.0;
                second.accepted += 1;
            }
            throttle.record(KIND, RANK, outcome, now);
        }
    }
    counts
}

#[test]
fn few_calls_are_sent_beyond_what_hosts_accept() {
    // Guards against hosts that spend their processor time on refusing calls.
    let (mut throttle, mut rng) = (Throttle::default(), fastrand::Rng::with_seed(1));
    let counts = offer(&mut throttle, &mut rng, Instant::now(), 20, (300.0, 100.0));
    let sent: u32 = counts[5..].iter().map(|second| second.sent).sum();
    assert!(sent < 1500 * 3 / 2, "{counts:?}");
    let accepted: u32 = counts.iter().map(|second| second.accepted).sum();
    assert!(accepted >= 1980, "{accepted} of 2000");
}

#[test]
fn room_is_found_soon_after_an_overload() {
    // Guards against callers that are refused although hosts have room again.
    let (mut throttle, mut rng) = (Throttle::default(), fastrand::Rng::with_seed(2));
    let from = Instant::now();
    offer(&mut throttle, &mut rng, from, 10, (800.0, 100.0));
    let later = from + Duration::from_secs(10);
    let counts = offer(&mut throttle, &mut rng, later, 6, (800.0, 1000.0));
    for second in &counts[4..] {
        assert!(second.accepted > 780, "{counts:?}");
    }
}

#[test]
fn calls_are_not_refused_where_hosts_refuse_one_in_five() {
    // Guards against refusals at the entry of calls that another host may accept.
    let (mut throttle, mut rng) = (Throttle::default(), fastrand::Rng::with_seed(3));
    let counts = offer(&mut throttle, &mut rng, Instant::now(), 10, (200.0, 160.0));
    let sent: u32 = counts.iter().map(|second| second.sent).sum();
    assert!(sent >= 1940, "{sent} of 2000");
}

#[test]
fn a_kind_is_not_refused_for_another_kind() {
    let (mut throttle, mut rng) = (Throttle::default(), fastrand::Rng::with_seed(4));
    let from = Instant::now();
    offer(&mut throttle, &mut rng, from, 5, (300.0, 50.0));
    let now = from + Duration::from_secs(5);
    let draws = |throttle: &mut Throttle, kind, rank, rng: &mut fastrand::Rng| {
        (0..100).filter(|_| throttle.admit(kind, rank, now, rng.u64(..)).is_err()).count()
    };
    assert!(draws(&mut throttle, KIND, RANK, &mut rng) > 50);
    assert_eq!(draws(&mut throttle, OTHER, RANK, &mut rng), 0);
    assert_eq!(draws(&mut throttle, KIND, Priority(0), &mut rng), 0);
    let wait = (0..100).find_map(|_| throttle.admit(KIND, RANK, now, rng.u64(..)).err());
    assert_eq!(wait, Some(WAIT));
}
