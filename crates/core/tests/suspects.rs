//! Quarantine of calls that end upstreams, at one daemon and across daemons whose
//! suspicions arrive late, twice or out of order.

use cicadashift_core::ids::{CallDigest, IncarnationKey};
use cicadashift_core::request::suspects::{
    MAX_SUSPECTED, QUARANTINE_TIME, QuarantineState, Suspects, Suspicion,
};
use std::time::{Duration, Instant};

const FATAL: CallDigest = CallDigest(1);
const HARMLESS: CallDigest = CallDigest(2);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn start(n: u64) -> IncarnationKey {
    IncarnationKey(n)
}

fn is_quarantined(suspects: &Suspects, call: CallDigest, now: Instant) -> bool {
    matches!(suspects.state(call, now), QuarantineState::Quarantined { .. })
}

/// A linear congruential generator: each seed gives one reproducible series of events.
struct Random(u64);

impl Random {
    fn below(&mut self, n: u64) -> u64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % n
    }
}

// An upstream ends with nine calls in flight. The fatal one is sent to another upstream,
// which ends with it and eight other calls. Only the fatal call was in flight at both.
#[test]
fn a_call_at_two_ends_is_quarantined_for_the_quarantine_time() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    let others = |from: u64| (from..from + 8).map(CallDigest);
    let first: Vec<_> = others(10).chain([FATAL]).collect();
    let second: Vec<_> = others(30).chain([FATAL]).collect();
    suspects.ended(start(1), &first, now);
    let after_one = suspects.state(FATAL, now);
    suspects.ended(start(1), &first, now);
    let after_duplicate = suspects.state(FATAL, now);
    suspects.ended(start(2), &second, now + ms(100));
    let after_two = suspects.state(FATAL, now + ms(100));
    let harmless = suspects.state(CallDigest(10), now + ms(100));
    let over = now + ms(100) + QUARANTINE_TIME;
    let later = suspects.state(FATAL, over);
    suspects.ended(start(3), &[FATAL], over);
    let again = suspects.state(FATAL, over);
    insta::assert_debug_snapshot!(
        (after_one, after_duplicate, after_two, harmless, later, again),
        @r"
    (
        Suspected,
        Suspected,
        Quarantined {
            left: 600s,
        },
        Suspected,
        Suspected,
        Quarantined {
            left: 600s,
        },
    )
    "
    );
}

// A call that arrives a hundred times a second is in flight at every upstream of a failure
// domain that loses power. Its good run a moment before keeps it from being suspected. A
// daemon without a good run of the call clears it when it learns of one elsewhere.
#[test]
fn a_good_run_clears_a_call() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    suspects.ran_well(HARMLESS, now);
    for n in 1..10 {
        assert_eq!(suspects.ended(start(n), &[HARMLESS], now + ms(n)), []);
    }
    assert_eq!(suspects.state(HARMLESS, now + ms(10)), QuarantineState::Clear);

    let mut other_daemon = Suspects::default();
    let mut suspicions = other_daemon.ended(start(1), &[HARMLESS], now);
    suspicions.extend(other_daemon.ended(start(2), &[HARMLESS], now));
    assert!(is_quarantined(&other_daemon, HARMLESS, now));
    let retraction = suspects.merge(&suspicions, now + ms(20));
    other_daemon.merge(&retraction, now + ms(21));
    assert_eq!(other_daemon.state(HARMLESS, now + ms(21)), QuarantineState::Clear);
    // A late copy of the same suspicions changes nothing.
    other_daemon.merge(&suspicions, now + ms(30));
    assert_eq!(other_daemon.state(HARMLESS, now + ms(30)), QuarantineState::Clear);
}

// Four daemons see ends of upstreams and good runs of twenty calls, two of them fatal, and
// their suspicions are lost, duplicated and late. Once the daemons have exchanged all their
// suspicions, they agree in any order of events: the fatal calls are quarantined, and no
// call with a good run since the last end is.
#[test]
fn daemons_converge_although_suspicions_are_lost_duplicated_or_late() {
    for seed in 0..300 {
        let mut random = Random(seed);
        let mut now = Instant::now();
        let mut daemons: Vec<Suspects> = (0..4).map(|_| Suspects::default()).collect();
        let mut in_flight: Vec<Vec<Suspicion>> = Vec::new();
        for n in 0..60 {
            now += ms(random.below(400));
            let here = random.below(4) as usize;
            let call = CallDigest(random.below(20) + 1);
            let is_fatal = call.0 <= 2;
            let suspicions = match random.below(3) {
                0 => daemons[here].ended(start(n), &[call, CallDigest(1 + n % 2)], now),
                1 if !is_fatal => daemons[here].ran_well(call, now).into_iter().collect(),
                _ => Vec::new(),
            };
            in_flight.push(suspicions);
            let at = random.below(in_flight.len() as u64) as usize;
            let received = in_flight[at].clone();
            let more = daemons[random.below(4) as usize].merge(&received, now);
            in_flight.push(more);
        }
        for call in 3..=20 {
            daemons[0].ran_well(CallDigest(call), now);
        }
        for _ in 0..2 {
            for from in 0..4 {
                let all = daemons[from].all(now);
                for daemon in &mut daemons {
                    daemon.merge(&all, now);
                }
            }
        }
        let summaries: Vec<u64> = daemons.iter().map(|daemon| daemon.summary(now)).collect();
        assert!(summaries.iter().all(|summary| *summary == summaries[0]), "seed {seed}");
        for daemon in &daemons {
            assert!(is_quarantined(daemon, FATAL, now), "seed {seed}");
            let wrong = (3..=20).filter(|call| is_quarantined(daemon, CallDigest(*call), now));
            assert_eq!(wrong.count(), 0, "seed {seed}");
        }
    }
}

// A caller sends thousands of different calls that end upstreams. The table stays bounded,
// calls with one end are evicted before quarantined ones, and a call that was at no end is
// never refused.
#[test]
fn a_flood_of_fatal_calls_is_bounded_and_affects_no_other_call() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    suspects.ended(start(1), &[FATAL], now);
    suspects.ended(start(2), &[FATAL], now);
    for n in 0..5_000 {
        suspects.ended(start(10 + n), &[CallDigest(1_000 + n)], now + ms(n));
    }
    let at_end = now + ms(5_000);
    assert!(is_quarantined(&suspects, FATAL, at_end));
    assert_eq!(suspects.state(HARMLESS, at_end), QuarantineState::Clear);
    assert_eq!(suspects.all(at_end).len(), MAX_SUSPECTED);
}

// Copies of a suspicion expire at slightly different moments. A daemon whose copy has
// expired must not get it back from another one, or the suspicion would never expire.
#[test]
fn suspicions_about_to_expire_are_not_sent() {
    let now = Instant::now();
    let mut early = Suspects::default();
    let mut suspicions = early.ended(start(1), &[FATAL], now);
    suspicions.extend(early.ended(start(2), &[FATAL], now));
    let mut late = Suspects::default();
    late.merge(&suspicions, now + ms(700));
    let nearly = now + QUARANTINE_TIME - ms(1);
    assert!(is_quarantined(&early, FATAL, nearly));
    assert_eq!((early.all(nearly), late.all(nearly)), (Vec::new(), Vec::new()));
    assert_eq!(early.summary(nearly), late.summary(nearly));
}

// Only daemons that saw an end of an upstream write a quarantine to the store, until it is
// stored. A restart of all daemons then finds it, without hundreds of daemons writing it.
#[test]
fn daemons_that_saw_an_end_write_the_quarantine_to_the_store() {
    let now = Instant::now();
    let mut first_witness = Suspects::default();
    let first = first_witness.ended(start(1), &[FATAL], now);
    assert_eq!(first_witness.unsaved(now), []);
    let mut second_witness = Suspects::default();
    second_witness.merge(&first, now);
    let second = second_witness.ended(start(2), &[FATAL], now);
    let mut informed = Suspects::default();
    informed.merge(&second, now);
    first_witness.merge(&second, now);
    let unsaved =
        [&first_witness, &second_witness, &informed].map(|suspects| suspects.unsaved(now).len());
    assert_eq!(unsaved, [1, 1, 0]);
    first_witness.mark_saved(&first_witness.unsaved(now)[0].clone());
    assert_eq!(first_witness.unsaved(now), []);
    let mut restarted = Suspects::default();
    restarted.merge(&second_witness.unsaved(now), now + ms(10));
    assert!(is_quarantined(&restarted, FATAL, now + ms(10)));

    // The quarantine is lifted at another daemon: the daemon that stored it stores that too.
    let lifted = informed.clear(FATAL, now + ms(20)).expect("the call is suspected at this daemon");
    first_witness.merge(&[lifted], now + ms(30));
    restarted.merge(&first_witness.unsaved(now + ms(30)), now + ms(40));
    assert_eq!(restarted.state(FATAL, now + ms(40)), QuarantineState::Clear);
}
