//! Admission of calls together with their nested calls, on a virtual clock: a small closed
//! loop of services whose runs call another service at their end.

use cicadashift_core::config::Priority;
use cicadashift_core::request::dependency::{
    Change, EntryDecision, Level, Levels, NestedEnd, NestedKinds, Origins, ReportedLevels,
    ServiceKey,
};
use cicadashift_core::request::gate::KindKey;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// Hosts of the calling service.
const HOSTS: usize = 4;
/// How long a run works before it makes its nested calls.
const RUN_TIME: Duration = Duration::from_millis(110);
/// Nested calls of a run.
const NESTED: usize = 2;
/// Service time of a nested call.
const NESTED_TIME: Duration = Duration::from_millis(40);
/// Hosts of the called service.
const CALLED_HOSTS: usize = 4;
/// Nested calls that a host of the called service runs at once; it queues twice as many. All hosts
/// together run half of the nested calls that all parents would make.
const SLOTS: usize = 2;
/// Parents a second, over all hosts.
const RATE: f64 = 200.0;

/// Runs of the loop that a verdict is made over.
const SEEDS: u64 = 5;

const PARENT: KindKey = KindKey(1);
const URGENT: KindKey = KindKey(2);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// What happens in the loop, with the host and the parent that it concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives,
    CallsNested { parent: usize },
    NestedEnds { parent: usize, called: usize },
}

#[derive(Clone, Copy, Debug)]
struct Parent {
    host: usize,
    kind: KindKey,
    open: usize,
    is_lost: bool,
}

/// A host of the called service.
#[derive(Clone, Debug, Default)]
struct Called {
    running: usize,
    /// Parents of the queued calls.
    queued: Vec<usize>,
}

/// Counts of a part of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Totals {
    offered: u32,
    begun: u32,
    finished: u32,
    lost: u32,
    urgent_offered: u32,
    urgent_begun: u32,
}

impl Totals {
    fn combine(self, other: Totals, with: fn(u32, u32) -> u32) -> Totals {
        Totals {
            offered: with(self.offered, other.offered),
            begun: with(self.begun, other.begun),
            finished: with(self.finished, other.finished),
            lost: with(self.lost, other.lost),
            urgent_offered: with(self.urgent_offered, other.urgent_offered),
            urgent_begun: with(self.urgent_begun, other.urgent_begun),
        }
    }

    fn since(self, before: Totals) -> Totals {
        self.combine(before, |now, before| now - before)
    }

    fn plus(self, other: Totals) -> Totals {
        self.combine(other, |a, b| a + b)
    }

    fn lost_share(self) -> f64 {
        f64::from(self.lost) / f64::from(self.lost + self.finished).max(1.0)
    }
}

/// A loop of a calling service A and a called service B.
struct Loop {
    now: Instant,
    rng: fastrand::Rng,
    decides: bool,
    hosts: Vec<Levels>,
    slots: usize,
    called: Vec<Called>,
    parents: Vec<Parent>,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    sequence: u64,
    totals: Totals,
    /// Share of the parents that are of the urgent kind.
    urgent_share: f64,
    /// Share of the runs that fail by themselves.
    own_failures: f64,
}

impl Loop {
    fn new(decides: bool, seed: u64) -> Loop {
        let mut sim = Loop {
            now: Instant::now(),
            rng: fastrand::Rng::with_seed(seed),
            decides,
            hosts: vec![Levels::default(); HOSTS],
            slots: SLOTS,
            called: vec![Called::default(); CALLED_HOSTS],
            parents: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            totals: Totals::default(),
            urgent_share: 0.0,
            own_failures: 0.0,
        };
        sim.at(Duration::ZERO, Event::Arrives);
        sim
    }

    fn at(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + delay, self.sequence, event)));
    }

    /// Runs for `time` and returns what happened in it.
    fn run(&mut self, time: Duration) -> Totals {
        let (before, until) = (self.totals, self.now + time);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > until {
                self.events.push(Reverse((at, 0, event)));
                break;
            }
            self.now = at;
            match event {
                Event::Arrives => self.arrive(),
                Event::CallsNested { parent } => self.call_nested(parent),
                Event::NestedEnds { parent, called } => self.nested_ended(parent, called),
            }
        }
        self.now = until;
        self.totals.since(before)
    }

    fn arrive(&mut self) {
        let gap = -(1.0 - self.rng.f64()).ln() / RATE;
        self.at(Duration::from_secs_f64(gap), Event::Arrives);
        let host = self.rng.usize(..HOSTS);
        let is_urgent = self.rng.f64() < self.urgent_share;
        let kind = if is_urgent { URGENT } else { PARENT };
        self.totals.offered += 1;
        self.totals.urgent_offered += u32::from(is_urgent);
        let random = self.rng.u64(..);
        if self.decides && self.hosts[host].admit(kind, self.now, random).is_err() {
            return;
        }
        self.totals.begun += 1;
        self.totals.urgent_begun += u32::from(is_urgent);
        self.parents.push(Parent { host, kind, open: NESTED, is_lost: false });
        let parent = self.parents.len() - 1;
        self.at(RUN_TIME, Event::CallsNested { parent });
    }

    fn call_nested(&mut self, parent: usize) {
        if self.rng.f64() < self.own_failures {
            self.parents[parent].is_lost = true;
            return self.end(parent);
        }
        for _ in 0..NESTED {
            let called = self.choose_called();
            let host = &mut self.called[called];
            if host.running < self.slots {
                host.running += 1;
                self.at(NESTED_TIME, Event::NestedEnds { parent, called });
            } else if host.queued.len() < 2 * self.slots {
                host.queued.push(parent);
            } else {
                self.refuse_nested(parent);
            }
        }
    }

    /// Chooses the less loaded of two hosts of the called service.
    fn choose_called(&mut self) -> usize {
        let (a, b) = (self.rng.usize(..CALLED_HOSTS), self.rng.usize(..CALLED_HOSTS));
        let load = |i: usize| self.called[i].running + self.called[i].queued.len();
        if load(a) <= load(b) { a } else { b }
    }

    fn refuse_nested(&mut self, parent: usize) {
        let host = self.parents[parent].host;
        self.hosts[host].record_nested(NestedEnd::Refused, self.now);
        self.parents[parent].open -= 1;
        // The first refused call ends the run.
        if !std::mem::replace(&mut self.parents[parent].is_lost, true) {
            self.end(parent);
        }
    }

    fn nested_ended(&mut self, parent: usize, called: usize) {
        let at_called = &mut self.called[called];
        at_called.running -= 1;
        if at_called.running < self.slots && !at_called.queued.is_empty() {
            let next = at_called.queued.remove(0);
            at_called.running += 1;
            self.at(NESTED_TIME, Event::NestedEnds { parent: next, called });
        }
        let state = &mut self.parents[parent];
        state.open -= 1;
        let (host, is_done) = (state.host, state.open == 0 && !state.is_lost);
        self.hosts[host].record_nested(NestedEnd::Ran, self.now);
        if is_done {
            self.end(parent);
        }
    }

    fn end(&mut self, parent: usize) {
        let Parent { host, kind, is_lost, .. } = self.parents[parent];
        self.totals.lost += u32::from(is_lost);
        self.totals.finished += u32::from(!is_lost);
        let priority = if kind == URGENT { Priority::HIGH } else { Priority::NORMAL };
        self.hosts[host].record_run(kind, priority, is_lost, self.now);
    }

    fn lowest_level(&self) -> Option<Level> {
        let levels = self.hosts.iter().flat_map(Levels::throttled).map(|(_, level)| level);
        levels.min()
    }
}

#[test]
fn few_runs_are_lost_where_the_called_service_is_full() {
    // Failure: B takes half of the nested calls of A. Symptom: most runs of A are paid for and
    // thrown away, and fewer callers are answered than B has capacity for.
    let (mut wasted, mut saved) = (Totals::default(), Totals::default());
    for seed in 1..=SEEDS {
        for (decides, totals) in [(false, &mut wasted), (true, &mut saved)] {
            let mut sim = Loop::new(decides, seed);
            sim.run(ms(3000));
            *totals = sim.run(ms(20_000)).plus(*totals);
        }
    }
    assert!(wasted.lost_share() > 0.5, "{wasted:?}");
    assert!(saved.lost_share() < 0.1, "{saved:?}");
    assert!(f64::from(saved.finished) > 1.15 * f64::from(wasted.finished), "{saved:?} {wasted:?}");
}

#[test]
fn all_calls_are_admitted_soon_after_the_called_service_has_room() {
    // Failure: a level that was lowered stays low. Symptom: callers are refused although both
    // services have room.
    let mut sim = Loop::new(true, 1);
    sim.run(ms(6000));
    assert!(sim.lowest_level().is_some());
    sim.slots = 4 * SLOTS;
    sim.run(ms(3000));
    assert_eq!(sim.lowest_level(), None);
    let after = sim.run(ms(2000));
    assert_eq!(after.begun, after.offered);
    assert_eq!(after.lost, 0);
}

#[test]
fn an_upstream_that_fails_by_itself_is_not_throttled() {
    // Failure: an upstream answers errors, and its host takes them for runs that were lost to
    // refused nested calls. Symptom: callers are refused although both services have room.
    for own_failures in [0.2, 1.0] {
        let mut sim = Loop::new(true, 1);
        sim.slots = 4 * SLOTS;
        sim.own_failures = own_failures;
        let totals = sim.run(ms(10_000));
        assert!(totals.lost > 0);
        assert_eq!(totals.begun, totals.offered);
    }
}

#[test]
fn a_kind_that_always_fails_is_not_throttled_for_the_calls_of_another() {
    // Failure: one kind of run fails by itself, and nested calls of another kind are refused.
    // Symptom: both kinds are throttled.
    let (failing, calling) = (KindKey(8), KindKey(9));
    let start = Instant::now();
    let mut levels = Levels::default();
    for n in 0..1000 {
        let now = start + ms(10 * n);
        // The other kind's nested calls are refused from the fifth second on, both of a run.
        let is_refused = n >= 500 && n % 2 == 0;
        let end = if is_refused { NestedEnd::Refused } else { NestedEnd::Ran };
        (0..NESTED).for_each(|_| levels.record_nested(end, now));
        levels.record_run(failing, Priority::NORMAL, true, now);
        levels.record_run(calling, Priority::NORMAL, is_refused, now + ms(1));
    }
    assert_eq!(levels.level(failing), None);
    assert!(levels.level(calling).is_some());
}

#[test]
fn services_that_call_each_other_recover() {
    // Failure: after an overload each of two services refuses the nested calls of the other by
    // its own level, and lowers its level since its nested calls are refused. Symptom: both
    // stay at the floor although nobody is full any more.
    let mut rng = fastrand::Rng::with_seed(3);
    let mut now = Instant::now();
    let mut both = [Levels::default(), Levels::default()];
    let mut run = |both: &mut [Levels; 2], time: Duration, is_full: bool| {
        let until = now + time;
        while now < until {
            now += ms(10);
            for caller in 0..2 {
                if both[caller].admit(PARENT, now, rng.u64(..)).is_err() {
                    continue;
                }
                let end = match both[1 - caller].admit(PARENT, now, rng.u64(..)) {
                    _ if is_full && rng.f64() < 0.7 => NestedEnd::Refused,
                    Ok(()) => NestedEnd::Ran,
                    Err(_) => NestedEnd::PassedOn,
                };
                both[caller].record_nested(end, now);
                let is_lost = end != NestedEnd::Ran;
                both[caller].record_run(PARENT, Priority::NORMAL, is_lost, now);
            }
        }
    };
    run(&mut both, ms(5000), true);
    for levels in &both {
        assert!(levels.level(PARENT).is_some_and(|level| level.thousandths() < 300));
    }
    run(&mut both, ms(6000), false);
    assert_eq!(both.each_ref().map(|levels| levels.level(PARENT)), [None, None]);
}

#[test]
fn a_level_is_forgotten_without_evidence() {
    // Failure: all callers leave while a level is low. Symptom: the first ones that come back
    // are refused for what was long ago.
    let start = Instant::now();
    let mut levels = Levels::default();
    for n in 0..300 {
        let now = start + ms(10 * n);
        levels.record_nested(NestedEnd::Refused, now);
        levels.record_run(PARENT, Priority::NORMAL, true, now);
    }
    assert_eq!(levels.tick(start + ms(3000)), [Change::Began(PARENT)]);
    assert!(levels.level(PARENT).is_some());
    assert_eq!(levels.tick(start + ms(6200)), [Change::Ended(PARENT)]);
    assert_eq!(levels.level(PARENT), None);
}

#[test]
fn a_more_urgent_kind_keeps_its_share() {
    // Failure: levels are lowered without regard to ranks. Symptom: more urgent callers are
    // refused as often as others.
    let mut sim = Loop::new(true, 1);
    sim.urgent_share = 0.25;
    sim.run(ms(3000));
    let totals = sim.run(ms(10_000));
    let urgent = f64::from(totals.urgent_begun) / f64::from(totals.urgent_offered);
    let others = f64::from(totals.begun - totals.urgent_begun)
        / f64::from(totals.offered - totals.urgent_offered);
    assert!(urgent > 0.9, "{urgent} {others}");
    assert!(others < 0.5, "{urgent} {others}");
}

#[test]
fn a_kind_that_enters_at_hosts_of_one_service_is_nested() {
    // Failure: ordinary calls are taken for nested ones, or nested ones are not known.
    // Symptom: callers are refused for refusals that end no run, or runs are lost.
    let (own, caller, other) = (ServiceKey(1), ServiceKey(2), ServiceKey(3));
    let (nested, ordinary, rare) = (KindKey(1), KindKey(2), KindKey(3));
    let start = Instant::now();
    let mut origins = Origins::default();
    for n in 0..100 {
        origins.record(nested, caller, start + ms(n));
    }
    let now = start + ms(100);
    // No host of another service has callers yet.
    assert_eq!(origins.nested_of(nested, own, now), None);
    for n in 0..100 {
        origins.record(ordinary, if n % 3 == 0 { caller } else { other }, start + ms(n));
    }
    origins.record(rare, caller, now);
    assert_eq!(origins.nested_of(nested, own, now), Some(caller));
    assert_eq!(origins.nested_of(nested, caller, now), None);
    assert_eq!(origins.nested_of(ordinary, own, now), None);
    assert_eq!(origins.nested_of(rare, own, now), None);
    // One call from elsewhere, and for ten seconds nothing is concluded.
    origins.record(nested, other, now);
    for n in 0..1500 {
        origins.record(nested, caller, now + ms(10 * n));
        origins.record(ordinary, other, now + ms(10 * n));
        let is_known = origins.nested_of(nested, own, now + ms(10 * n)).is_some();
        assert_eq!(is_known, n >= 1000, "{n}");
    }
}

#[test]
fn what_is_known_of_nested_kinds_is_bounded_and_ages() {
    // Failure: a daemon keeps what it was told for ever. Symptom: memory grows with the kinds,
    // and a kind that callers use now counts as nested.
    let start = Instant::now();
    let mut nested = NestedKinds::default();
    (0..1000).for_each(|kind| nested.record(KindKey(kind), start));
    let known = (0..1000).filter(|kind| nested.contains(KindKey(*kind), start)).count();
    assert_eq!(known, 64);
    let later = start + ms(10_000);
    assert!(!nested.contains(KindKey(0), later));
    nested.record(KindKey(5000), later);
    assert!(nested.contains(KindKey(5000), later));
}

#[test]
fn an_entry_refuses_by_the_mean_of_fresh_levels_of_the_same_kind() {
    // Failure: an entry daemon refuses by the level of one host, of another kind, or of long
    // ago. Symptom: callers are refused whom a host would admit.
    let (service, now) = (ServiceKey(1), Instant::now());
    let mut reported = ReportedLevels::default();
    // Returns how many of a thousand calls are admitted; `None` where no level is known.
    let admitted = |reported: &ReportedLevels, kind, now| {
        let mut rng = fastrand::Rng::with_seed(1);
        let decide = |_| reported.admit(service, kind, now, rng.u64(..));
        let all: Vec<_> = (0..1000).map(decide).collect();
        let is_known = !all.contains(&EntryDecision::Unknown);
        is_known.then(|| all.iter().filter(|one| **one == EntryDecision::Admit).count())
    };
    reported.record(service, PARENT, None, now);
    assert_eq!(admitted(&reported, PARENT, now), None, "unknown");
    reported.record(service, PARENT, Some(Level::from_thousandths(200)), now);
    reported.record(service, PARENT, None, now);
    let share = admitted(&reported, PARENT, now).expect("a level is known");
    assert!((550..650).contains(&share), "{share}");
    assert_eq!(admitted(&reported, URGENT, now), None, "another kind is unknown");
    assert_eq!(admitted(&reported, PARENT, now + ms(1000)), None, "too old");
}
