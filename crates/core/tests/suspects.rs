//! Which calls are quarantined, decided alone, and by daemons that tell each other late,
//! twice or in another order.

use cicadashift_core::ids::{CallDigest, IncarnationKey};
use cicadashift_core::request::suspects::{
    MAX_SUSPECTED, QUARANTINE_TIME, QuarantineState, Suspects, Suspicion,
};
use std::time::{Duration, Instant};

const GUILTY: CallDigest = CallDigest(1);
const INNOCENT: CallDigest = CallDigest(2);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn start(n: u64) -> IncarnationKey {
    IncarnationKey(n)
}

fn is_quarantined(suspects: &Suspects, call: CallDigest, now: Instant) -> bool {
    matches!(suspects.state(call, now), QuarantineState::Quarantined { .. })
}

/// A small generator, so that one seed gives one series of events.
struct Random(u64);

impl Random {
    fn below(&mut self, n: u64) -> u64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % n
    }
}

// An upstream ends with nine calls at it, the guilty one is sent on, and the next ends
// with it and eight others. Only the guilty one was at both.
#[test]
fn what_was_at_two_ends_is_quarantined_until_the_time_is_over() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    let others = |from: u64| (from..from + 8).map(CallDigest);
    let first: Vec<_> = others(10).chain([GUILTY]).collect();
    let second: Vec<_> = others(30).chain([GUILTY]).collect();
    suspects.ended(start(1), &first, now);
    let after_one = suspects.state(GUILTY, now);
    suspects.ended(start(1), &first, now);
    let told_twice = suspects.state(GUILTY, now);
    suspects.ended(start(2), &second, now + ms(100));
    let after_two = suspects.state(GUILTY, now + ms(100));
    let beside = suspects.state(CallDigest(10), now + ms(100));
    let over = now + ms(100) + QUARANTINE_TIME;
    let later = suspects.state(GUILTY, over);
    suspects.ended(start(3), &[GUILTY], over);
    let again = suspects.state(GUILTY, over);
    insta::assert_debug_snapshot!(
        (after_one, told_twice, after_two, beside, later, again),
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

// A call that comes a hundred times a second is at every upstream when a failure domain
// loses its power. It ran well everywhere a moment before; and one that had not run here
// is cleared by the first good run anywhere, also when that is heard of later.
#[test]
fn a_good_run_speaks_for_a_call() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    suspects.ran_well(INNOCENT, now);
    for n in 1..10 {
        assert_eq!(suspects.ended(start(n), &[INNOCENT], now + ms(n)), []);
    }
    assert_eq!(suspects.state(INNOCENT, now + ms(10)), QuarantineState::Clear);

    let mut there = Suspects::default();
    let mut news = there.ended(start(1), &[INNOCENT], now);
    news.extend(there.ended(start(2), &[INNOCENT], now));
    assert!(is_quarantined(&there, INNOCENT, now));
    let veto = suspects.merge(&news, now + ms(20));
    there.merge(&veto, now + ms(21));
    assert_eq!(there.state(INNOCENT, now + ms(21)), QuarantineState::Clear);
    // Late news of the same ends change nothing.
    there.merge(&news, now + ms(30));
    assert_eq!(there.state(INNOCENT, now + ms(30)), QuarantineState::Clear);
}

// Four daemons see ends of upstreams and good runs of twenty calls, two of them guilty,
// and their news are lost, doubled and late. Whatever the order: once they have compared
// what they know, all know the same, the guilty are quarantined, and nobody that ran well
// since the last end is.
#[test]
fn daemons_agree_whatever_became_of_their_news() {
    for seed in 0..300 {
        let mut random = Random(seed);
        let mut now = Instant::now();
        let mut daemons: Vec<Suspects> = (0..4).map(|_| Suspects::default()).collect();
        let mut under_way: Vec<Vec<Suspicion>> = Vec::new();
        for n in 0..60 {
            now += ms(random.below(400));
            let here = random.below(4) as usize;
            let call = CallDigest(random.below(20) + 1);
            let is_guilty = call.0 <= 2;
            let news = match random.below(3) {
                0 => daemons[here].ended(start(n), &[call, CallDigest(1 + n % 2)], now),
                1 if !is_guilty => daemons[here].ran_well(call, now).into_iter().collect(),
                _ => Vec::new(),
            };
            under_way.push(news);
            let at = random.below(under_way.len() as u64) as usize;
            let told = under_way[at].clone();
            let more = daemons[random.below(4) as usize].merge(&told, now);
            under_way.push(more);
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
            assert!(is_quarantined(daemon, GUILTY, now), "seed {seed}");
            let wrong = (3..=20).filter(|call| is_quarantined(daemon, CallDigest(*call), now));
            assert_eq!(wrong.count(), 0, "seed {seed}");
        }
    }
}

// Somebody sends thousands of different calls that end upstreams. What is remembered
// stays bounded, calls that were at one end go before those that are quarantined, and
// what was never at an end is never refused.
#[test]
fn a_flood_of_guilty_calls_is_bounded_and_hits_nobody_else() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    suspects.ended(start(1), &[GUILTY], now);
    suspects.ended(start(2), &[GUILTY], now);
    for n in 0..5_000 {
        suspects.ended(start(10 + n), &[CallDigest(1_000 + n)], now + ms(n));
    }
    let at_end = now + ms(5_000);
    assert!(is_quarantined(&suspects, GUILTY, at_end));
    assert_eq!(suspects.state(INNOCENT, at_end), QuarantineState::Clear);
    assert_eq!(suspects.all(at_end).len(), MAX_SUSPECTED);
}

// Daemons forget at slightly different moments. One that has forgotten is not reminded by
// one that has not, or both would remember for ever.
#[test]
fn what_is_old_is_not_told() {
    let now = Instant::now();
    let mut early = Suspects::default();
    let mut news = early.ended(start(1), &[GUILTY], now);
    news.extend(early.ended(start(2), &[GUILTY], now));
    let mut late = Suspects::default();
    late.merge(&news, now + ms(700));
    let nearly = now + QUARANTINE_TIME - ms(1);
    assert!(is_quarantined(&early, GUILTY, nearly));
    assert_eq!((early.all(nearly), late.all(nearly)), (Vec::new(), Vec::new()));
    assert_eq!(early.summary(nearly), late.summary(nearly));
}

// Of the daemons that know of a quarantine only those keep it that saw an end, until it
// is kept; so a restart of all finds it, and hundreds do not write the same.
#[test]
fn those_that_saw_an_end_keep_the_quarantine() {
    let now = Instant::now();
    let mut saw = Suspects::default();
    let first = saw.ended(start(1), &[GUILTY], now);
    assert_eq!(saw.unsaved(now), []);
    let mut other = Suspects::default();
    other.merge(&first, now);
    let second = other.ended(start(2), &[GUILTY], now);
    let mut heard = Suspects::default();
    heard.merge(&second, now);
    saw.merge(&second, now);
    let unsaved = [&saw, &other, &heard].map(|suspects| suspects.unsaved(now).len());
    assert_eq!(unsaved, [1, 1, 0]);
    saw.mark_saved(&saw.unsaved(now)[0].clone());
    assert_eq!(saw.unsaved(now), []);
    let mut restarted = Suspects::default();
    restarted.merge(&other.unsaved(now), now + ms(10));
    assert!(is_quarantined(&restarted, GUILTY, now + ms(10)));

    // It is lifted at one of the others: who kept it keeps that too.
    let lifted = heard.clear(GUILTY, now + ms(20)).expect("it was known");
    saw.merge(&[lifted], now + ms(30));
    restarted.merge(&saw.unsaved(now + ms(30)), now + ms(40));
    assert_eq!(restarted.state(GUILTY, now + ms(40)), QuarantineState::Clear);
}
