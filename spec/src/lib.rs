//! Model of the core protocol, explored exhaustively.
//!
//! A [`State`] holds the production state machines of `cicadashift-core` for a few hosts
//! of one failure domain, the head in the store, and every testimony that was sent.
//! [`State::steps`] lists the steps that are possible next. A search from
//! [`State::start`] visits every reachable state.
//!
//! # What the model covers implicitly
//!
//! The network is modelled by the set of sent testimonies: each can be delivered at any
//! later moment, any number of times, or never. This covers loss, duplication,
//! reordering, any partition and paused senders, without message queues. An outage of the
//! store is an interval in which no host reads it. Other failure domains and readers
//! appear only through their possible effects: they pass on the head, offer versions, ask
//! for promises, and pass on that a version is active. A reader whose lease has expired
//! can do nothing else, so it is covered too.
//!
//! # What the model omits to keep the search small, and why this is sound
//!
//! - Unless [`Bounds::hold_as_step`] is set, a host holds every accepted version at once.
//!   Holding a version later only delays promising and running it, and other steps can
//!   cause the same delay.
//! - A witness's answer to a fresh host (one that has started and runs no version yet)
//!   arrives at once or never. An answer that arrives later is equivalent to one that was
//!   requested earlier and processed later. Old answers are kept only where
//!   [`Guards::match_answers`] is off.
//! - Promises are counted by an observer that may know any two of them, instead of by
//!   each host from the promises that it received. Knowing more promises only makes the
//!   count stricter, since they can show that an incarnation is over.
//! - Of two equal promises of one witness, only the one that knows fewer incarnations of
//!   other hosts is kept, for the same reason.
//! - A host that runs a version no longer receives answers; its state machine ignores
//!   them too.
//!
//! [`head`] explores the other part of the protocol: the total order of versions.

use cicadashift_core::delivery::node::{Action, Event, Guards, Node};
use cicadashift_core::delivery::witness::{Testimonies, Testimony, WitnessSet};
use cicadashift_core::ids::{HostKey, Incarnation, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

pub mod head;

/// Bounds of an exploration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// Hosts, all of them witnesses.
    pub hosts: u64,
    /// Highest version accepted.
    pub versions: Version,
    /// Total number of crashes; after each the host restarts at once without any state.
    pub crashes: u32,
    /// Whether holding a version is a separate step, so that it can be delayed.
    pub hold_as_step: bool,
}

/// A violated invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Violation {
    /// A host runs an older version than it ran before, in this or an earlier incarnation.
    Regressed { host: u64, highest_run: Version, runs: Version },
    /// A host runs a version that was never accepted.
    AheadOfHead { host: u64 },
    /// A witness promised a version whose objects it does not have and thus cannot serve.
    PromisedWithoutHolding { host: u64 },
}

/// One step of the model. Counterexamples print the steps by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// An operator accepts a version.
    Accept,
    /// A fresh host reads the head.
    ReadHead(u64),
    /// A reader or a recovering daemon asks a witness to promise a version.
    AskPromise(u64, Version),
    /// A host has fetched and validated a version.
    Hold(u64, Version),
    /// A fresh host asks a witness for its floor and receives the answer.
    AskFloor { from: u64, to: u64 },
    /// A host receives an old answer, by position in the answers sent.
    Hear(u64, usize),
    /// Two promises, by position, are counted, which may show that a version is active.
    Count(usize, usize),
    /// A host is informed that a version is active.
    HearActive(u64, Version),
    /// A host crashes and restarts without any state.
    Crash(u64),
}

/// A testimony that a witness sent; ordered, so that sets of testimonies compare.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct SentTestimony {
    witness: HostKey,
    life: Incarnation,
    promised: Version,
    lives: BTreeMap<HostKey, Incarnation>,
    answers: Option<(HostKey, Incarnation)>,
}

impl SentTestimony {
    /// Returns whether counting this promise permits everything that counting the other
    /// would: it is the same promise, and for each host it knows of no newer incarnation
    /// than the other.
    fn subsumes(&self, other: &SentTestimony) -> bool {
        let same =
            (self.witness, self.life, self.promised) == (other.witness, other.life, other.promised);
        let knows = |host, life: &Incarnation| other.lives.get(host).is_some_and(|l| l >= life);
        same && self.lives.iter().all(|(host, life)| knows(host, life))
    }
}

impl From<Testimony> for SentTestimony {
    fn from(t: Testimony) -> SentTestimony {
        let Testimony { witness, life, promised, lives, answers } = t;
        SentTestimony { witness, life, promised, lives, answers }
    }
}

impl From<&SentTestimony> for Testimony {
    fn from(testimony: &SentTestimony) -> Testimony {
        let SentTestimony { witness, life, promised, lives, answers } = testimony.clone();
        Testimony { witness, life, promised, lives, answers }
    }
}

/// One state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    bounds: Bounds,
    guards: Guards,
    /// Shared between states, since most steps change one host and a million states would
    /// not fit into memory otherwise.
    nodes: Vec<Rc<Node>>,
    incarnations: Vec<Incarnation>,
    head: Version,
    crashes: u32,
    promises: Rc<BTreeSet<SentTestimony>>,
    answers: BTreeSet<SentTestimony>,
    active: BTreeSet<Version>,
    highest_run: Vec<Version>,
    violation: Option<Violation>,
}

impl State {
    /// Returns the state in which every host runs, holds and has promised version one, as
    /// in a mesh without recent changes: no earlier testimony can still be delivered.
    pub fn start(bounds: Bounds, guards: Guards) -> State {
        let count = bounds.hosts as usize;
        let mut state = State {
            bounds,
            guards,
            nodes: (0..bounds.hosts).map(|i| Rc::new(fresh_node(bounds, guards, i, 1))).collect(),
            incarnations: vec![1; count],
            head: 1,
            crashes: bounds.crashes,
            promises: Rc::default(),
            answers: BTreeSet::new(),
            active: BTreeSet::from([1]),
            highest_run: vec![0; count],
            violation: None,
        };
        for i in 0..bounds.hosts {
            state.event(i, Event::HeadRead(1));
            state.event(i, Event::Staged(1));
            state.event(i, Event::PromiseRequested(1));
            state.event(i, Event::Activated(1));
        }
        state.promises = Rc::default();
        state
    }

    /// Returns the invariant that this state violates, if any.
    pub fn violation(&self) -> Option<Violation> {
        self.violation
    }

    /// Returns all successor states.
    pub fn successors(&self) -> Vec<State> {
        if self.violation.is_some() {
            return Vec::new();
        }
        self.steps().into_iter().map(|step| self.after(step)).filter(|next| next != self).collect()
    }

    /// Returns the state after a step.
    pub fn after(&self, step: Step) -> State {
        let mut next = self.clone();
        next.apply(step);
        next.prune_promises();
        next
    }

    /// Returns the steps that are possible in this state.
    pub fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        if self.head < self.bounds.versions {
            steps.push(Step::Accept);
        }
        for a in 0..self.promises.len() {
            steps.extend((a + 1..self.promises.len()).map(|b| Step::Count(a, b)));
        }
        for i in 0..self.bounds.hosts {
            self.steps_of(i, &mut steps);
        }
        steps
    }

    fn steps_of(&self, i: u64, steps: &mut Vec<Step>) {
        let node = &self.nodes[i as usize];
        if node.running() == 0 {
            steps.push(Step::ReadHead(i));
            let others = (0..self.bounds.hosts).filter(|to| *to != i);
            steps.extend(others.map(|to| Step::AskFloor { from: i, to }));
            steps.extend((0..self.answers.len()).map(|n| Step::Hear(i, n)));
        }
        if self.bounds.hold_as_step {
            let versions = (1..=self.head).filter(|version| *version > node.newest_staged());
            steps.extend(versions.map(|version| Step::Hold(i, version)));
        }
        let versions = (1..=self.head).filter(|version| *version > node.promised());
        steps.extend(versions.map(|version| Step::AskPromise(i, version)));
        let undelivered = self.active.iter().filter(|version| **version > node.active());
        steps.extend(undelivered.map(|version| Step::HearActive(i, *version)));
        if self.crashes > 0 {
            steps.push(Step::Crash(i));
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Accept => {
                self.head += 1;
                (0..self.bounds.hosts).for_each(|i| self.mark_all_held(i));
            }
            Step::ReadHead(i) => self.event(i, Event::HeadRead(self.head)),
            Step::AskPromise(i, version) => self.event(i, Event::PromiseRequested(version)),
            Step::Hold(i, version) => self.event(i, Event::Staged(version)),
            Step::AskFloor { from, to } => self.ask_floor(from, to),
            Step::Hear(i, n) => {
                if let Some(testimony) = self.answers.iter().nth(n).map(Testimony::from) {
                    self.event(i, Event::TestimonyReceived(testimony));
                }
            }
            Step::Count(a, b) => self.count(a, b),
            Step::HearActive(i, version) => self.event(i, Event::Activated(version)),
            Step::Crash(i) => self.crash(i),
        }
    }

    fn ask_floor(&mut self, from: u64, to: u64) {
        let life = self.incarnations[from as usize];
        let event = Event::FloorRequested { from: HostKey(from), life };
        let actions = Rc::make_mut(&mut self.nodes[to as usize]).on(event);
        for action in actions {
            if let Action::SendTestimony(testimony) = action {
                self.record_testimony(testimony.clone().into());
                self.event(from, Event::TestimonyReceived(testimony));
            }
        }
    }

    fn count(&mut self, a: usize, b: usize) {
        let mut testimonies = Testimonies::default();
        for n in [a, b] {
            if let Some(testimony) = self.promises.iter().nth(n) {
                testimonies.add(Testimony::from(testimony));
            }
        }
        let active = testimonies.active(&panel(self.bounds), self.guards.check_incarnations);
        if active > 0 {
            self.active.insert(active);
        }
    }

    fn crash(&mut self, i: u64) {
        self.crashes -= 1;
        let slot = i as usize;
        self.incarnations[slot] += 1;
        self.nodes[slot] =
            Rc::new(fresh_node(self.bounds, self.guards, i, self.incarnations[slot]));
        self.mark_all_held(i);
    }

    fn mark_all_held(&mut self, i: u64) {
        if !self.bounds.hold_as_step {
            (1..=self.head).for_each(|version| self.event(i, Event::Staged(version)));
        }
    }

    fn event(&mut self, i: u64, event: Event) {
        let slot = i as usize;
        for action in Rc::make_mut(&mut self.nodes[slot]).on(event) {
            match action {
                Action::SendTestimony(testimony) => self.record_testimony(testimony.into()),
                Action::Run(version) => self.check_run(i, version),
                // The steps that these actions ask for are possible at any time anyway.
                Action::Stage(_) | Action::RequestPromises(_) | Action::Decline => {}
            }
        }
        let node = &self.nodes[slot];
        if node.active() > 0 {
            self.active.insert(node.active());
        }
        if node.promised() > node.newest_staged().max(node.running()) {
            self.violation = Some(Violation::PromisedWithoutHolding { host: i });
        }
    }

    fn record_testimony(&mut self, testimony: SentTestimony) {
        if testimony.answers.is_some() && !self.guards.match_answers {
            self.answers.insert(testimony.clone());
        }
        let testimony = SentTestimony { answers: None, ..testimony };
        if self.promises.iter().any(|kept| kept.subsumes(&testimony)) {
            return;
        }
        let promises = Rc::make_mut(&mut self.promises);
        promises.retain(|kept| !testimony.subsumes(kept));
        promises.insert(testimony);
    }

    /// Drops promises that can have no further effect, since their version or a newer one
    /// is active.
    fn prune_promises(&mut self) {
        let newest_active = self.active.last().copied().unwrap_or(0);
        if self.promises.iter().any(|testimony| testimony.promised <= newest_active) {
            Rc::make_mut(&mut self.promises).retain(|testimony| testimony.promised > newest_active);
        }
    }

    fn check_run(&mut self, i: u64, version: Version) {
        let highest_run = &mut self.highest_run[i as usize];
        if version < *highest_run {
            self.violation =
                Some(Violation::Regressed { host: i, highest_run: *highest_run, runs: version });
        }
        if version > self.head {
            self.violation = Some(Violation::AheadOfHead { host: i });
        }
        *highest_run = version.max(*highest_run);
    }
}

/// The result of an exploration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exploration {
    /// States visited.
    pub states: usize,
    /// Whether every reachable state was visited.
    pub complete: bool,
    /// The first violation found, with the fewest steps, if any.
    pub violation: Option<Violation>,
}

/// Visits every reachable state, up to `max_states`.
///
/// The search is breadth first, so the first violation found takes the fewest steps.
pub fn explore(bounds: Bounds, guards: Guards, max_states: usize) -> Exploration {
    let start = State::start(bounds, guards);
    let mut states = 0;
    for state in pathfinding::directed::bfs::bfs_reach(start, |state| state.successors()) {
        states += 1;
        if let Some(violation) = state.violation() {
            return Exploration { states, complete: false, violation: Some(violation) };
        }
        if states >= max_states {
            return Exploration { states, complete: false, violation: None };
        }
    }
    Exploration { states, complete: true, violation: None }
}

/// Returns the steps of a shortest path to a violation, if there is one.
pub fn counterexample(bounds: Bounds, guards: Guards) -> Option<Vec<Step>> {
    let start = State::start(bounds, guards);
    let path = pathfinding::directed::bfs::bfs(
        &start,
        |state| state.successors(),
        |state| state.violation().is_some(),
    )?;
    let steps_taken = path.windows(2).map(|pair| {
        let steps = pair[0].steps();
        steps.into_iter().find(|step| pair[0].after(*step) == pair[1])
    });
    steps_taken.collect()
}

fn panel(bounds: Bounds) -> WitnessSet {
    WitnessSet::new((0..bounds.hosts).map(HostKey))
}

fn fresh_node(bounds: Bounds, guards: Guards, i: u64, life: Incarnation) -> Node {
    Node::new(HostKey(i), life, panel(bounds), guards)
}
