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
