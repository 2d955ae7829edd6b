//! The core protocol as a small specification, explored exhaustively.
//!
//! A [`World`] holds the real state machines of `cicadashift-core` for a few
//! hosts of one failure domain, the platform's head, and everything that was
//! ever said. [`World::steps`] lists all that can happen next. A search from
//! [`World::start`] then visits every state that can be reached.
//!
//! # What is covered without being written down
//!
//! Networks are modelled by memory: what was once said can be delivered at any
//! later moment, any number of times, or never. That covers loss, repetition,
//! reordering, cuts of any shape, and paused senders, without message queues.
//! An outage of the platform is a stretch in which nobody happens to read it.
//! Other failure domains and readers appear as what they can do: pass on the
//! head, offer, ask for promises, pass on that a version is active. A reader
//! whose lease has lapsed can do nothing else, so it is covered too.
//!
//! # What is left out to keep the search small, and why that is sound
//!
//! - Unless [`Size::lazy`] is set, a host holds every accepted version at once.
//!   Holding later only makes it promise and run later, which other steps may do
//!   as well.
//! - A witness's answer to a fresh host arrives at once or never. An answer that
//!   comes later is the same as one that was asked for earlier and acted on
//!   later. Only where [`Guards::match_answers`] is off are old answers kept.
//! - Promises are counted by an observer that may know any two of them, in place
//!   of each host counting what it happened to hear. Knowing more promises only
//!   makes the count stricter, since it can show that a life is over.
//! - Of two equal promises of one witness, only the one that knows less of other
//!   lives is kept, for the same reason.
//! - A host that runs something no longer listens to answers; its state machine
//!   ignores them too.
//!
//! [`head`] explores the other half: the total order of versions.

use cicadashift_core::delivery::node::{Action, Event, Guards, Node};
use cicadashift_core::delivery::witness::{Testimonies, Testimony, WitnessSet};
use cicadashift_core::ids::{HostKey, Incarnation, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

pub mod head;

/// Bounds of an exploration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Size {
    /// Hosts, all of them witnesses.
    pub hosts: u64,
    /// Highest version accepted.
    pub versions: Version,
    /// Crashes in all; each brings the host back empty at once.
    pub crashes: u32,
    /// Whether holding a version is a step of its own.
    pub lazy: bool,
}

/// An invariant that does not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Broken {
    /// A host ran an older version than it had run, in any of its lives.
    WentBack { host: u64, ran: Version, runs: Version },
    /// A host runs a version that was never accepted.
    AheadOfHead { host: u64 },
    /// A witness promised what it cannot hand to those who need it.
    PromisedWithoutHolding { host: u64 },
}

/// One step, as a counterexample shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// An operator accepts a version.
    Accept,
    /// A fresh host's read of the head is answered.
    ReadHead(u64),
    /// Somebody asks a witness for a promise.
    AskPromise(u64, Version),
    /// A host has fetched and checked a version.
    Hold(u64, Version),
    /// A fresh host asks a witness and gets its answer.
    AskFloor { from: u64, to: u64 },
    /// An old answer, by position in what was said, reaches a host.
    Hear(u64, usize),
    /// Somebody counts two promises, by position, and a version is active.
    Count(usize, usize),
    /// News that a version is active reaches a host.
    HearActive(u64, Version),
    /// A host dies and starts again with nothing.
    Crash(u64),
}

/// What a witness once said; ordered, so that sets of it compare.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Said {
    witness: HostKey,
    life: Incarnation,
    promised: Version,
    lives: BTreeMap<HostKey, Incarnation>,
    answers: Option<(HostKey, Incarnation)>,
}

impl Said {
    /// Returns whether counting this promise allows all that counting the other
    /// would: the same promise, knowing of no more lives.
    fn permits_what(&self, other: &Said) -> bool {
        let same =
            (self.witness, self.life, self.promised) == (other.witness, other.life, other.promised);
        let knows = |host, life: &Incarnation| other.lives.get(host).is_some_and(|l| l >= life);
        same && self.lives.iter().all(|(host, life)| knows(host, life))
    }
}

impl From<Testimony> for Said {
    fn from(t: Testimony) -> Said {
        let Testimony { witness, life, promised, lives, answers } = t;
        Said { witness, life, promised, lives, answers }
    }
}

impl From<&Said> for Testimony {
    fn from(said: &Said) -> Testimony {
        let Said { witness, life, promised, lives, answers } = said.clone();
        Testimony { witness, life, promised, lives, answers }
    }
}

/// One state of the whole system.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    size: Size,
    guards: Guards,
    /// Shared between states: most steps change one host, and a million states
    /// would not fit into memory otherwise.
    nodes: Vec<Rc<Node>>,
    lives: Vec<Incarnation>,
    head: Version,
    crashes: u32,
    promises: Rc<BTreeSet<Said>>,
    answers: BTreeSet<Said>,
    active: BTreeSet<Version>,
    ran: Vec<Version>,
    broken: Option<Broken>,
}

impl World {
    /// Returns the state in which every host runs version one and remembers
    /// that, as after a quiet day.
    pub fn start(size: Size, guards: Guards) -> World {
        let count = size.hosts as usize;
        let mut world = World {
            size,
            guards,
            nodes: (0..size.hosts).map(|i| Rc::new(fresh(size, guards, i, 1))).collect(),
            lives: vec![1; count],
            head: 1,
            crashes: size.crashes,
            promises: Rc::default(),
            answers: BTreeSet::new(),
            active: BTreeSet::from([1]),
            ran: vec![0; count],
            broken: None,
        };
        for i in 0..size.hosts {
            world.event(i, Event::HeadRead(1));
            world.event(i, Event::Staged(1));
            world.event(i, Event::PromiseRequested(1));
            world.event(i, Event::Activated(1));
        }
        world.promises = Rc::default();
        world
    }

    /// Returns the invariant that this state breaks, if any.
    pub fn broken(&self) -> Option<Broken> {
        self.broken
    }

    /// Returns every state that can follow.
    pub fn successors(&self) -> Vec<World> {
        if self.broken.is_some() {
            return Vec::new();
        }
        self.steps().into_iter().map(|step| self.after(step)).filter(|next| next != self).collect()
    }

    /// Returns the state after a step.
    pub fn after(&self, step: Step) -> World {
        let mut next = self.clone();
        next.apply(step);
        next.forget();
        next
    }

    /// Returns all that can happen next.
    pub fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        if self.head < self.size.versions {
            steps.push(Step::Accept);
        }
        for a in 0..self.promises.len() {
            steps.extend((a + 1..self.promises.len()).map(|b| Step::Count(a, b)));
        }
        for i in 0..self.size.hosts {
            self.steps_of(i, &mut steps);
        }
        steps
    }

    fn steps_of(&self, i: u64, steps: &mut Vec<Step>) {
        let node = &self.nodes[i as usize];
        if node.running() == 0 {
            steps.push(Step::ReadHead(i));
            let others = (0..self.size.hosts).filter(|to| *to != i);
            steps.extend(others.map(|to| Step::AskFloor { from: i, to }));
            steps.extend((0..self.answers.len()).map(|n| Step::Hear(i, n)));
        }
        if self.size.lazy {
            let versions = (1..=self.head).filter(|version| *version > node.newest_staged());
            steps.extend(versions.map(|version| Step::Hold(i, version)));
        }
        let versions = (1..=self.head).filter(|version| *version > node.promised());
        steps.extend(versions.map(|version| Step::AskPromise(i, version)));
        let news = self.active.iter().filter(|version| **version > node.active());
        steps.extend(news.map(|version| Step::HearActive(i, *version)));
        if self.crashes > 0 {
            steps.push(Step::Crash(i));
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Accept => {
                self.head += 1;
                (0..self.size.hosts).for_each(|i| self.hold_all(i));
            }
            Step::ReadHead(i) => self.event(i, Event::HeadRead(self.head)),
            Step::AskPromise(i, version) => self.event(i, Event::PromiseRequested(version)),
            Step::Hold(i, version) => self.event(i, Event::Staged(version)),
            Step::AskFloor { from, to } => self.ask_floor(from, to),
            Step::Hear(i, n) => {
                if let Some(said) = self.answers.iter().nth(n).map(Testimony::from) {
                    self.event(i, Event::TestimonyReceived(said));
                }
            }
            Step::Count(a, b) => self.count(a, b),
            Step::HearActive(i, version) => self.event(i, Event::Activated(version)),
            Step::Crash(i) => self.crash(i),
        }
    }

    fn ask_floor(&mut self, from: u64, to: u64) {
        let life = self.lives[from as usize];
        let ask = Event::FloorRequested { from: HostKey(from), life };
        let actions = Rc::make_mut(&mut self.nodes[to as usize]).on(ask);
        for action in actions {
            if let Action::SendTestimony(said) = action {
                self.hear(said.clone().into());
                self.event(from, Event::TestimonyReceived(said));
            }
        }
    }

    fn count(&mut self, a: usize, b: usize) {
        let mut known = Testimonies::default();
        for n in [a, b] {
            if let Some(said) = self.promises.iter().nth(n) {
                known.add(Testimony::from(said));
            }
        }
        let active = known.active(&panel(self.size), self.guards.check_incarnations);
        if active > 0 {
            self.active.insert(active);
        }
    }

    fn crash(&mut self, i: u64) {
        self.crashes -= 1;
        let slot = i as usize;
        self.lives[slot] += 1;
        self.nodes[slot] = Rc::new(fresh(self.size, self.guards, i, self.lives[slot]));
        self.hold_all(i);
    }

    fn hold_all(&mut self, i: u64) {
        if !self.size.lazy {
            (1..=self.head).for_each(|version| self.event(i, Event::Staged(version)));
        }
    }

    fn event(&mut self, i: u64, event: Event) {
        let slot = i as usize;
        for action in Rc::make_mut(&mut self.nodes[slot]).on(event) {
            match action {
                Action::SendTestimony(testimony) => self.hear(testimony.into()),
                Action::Run(version) => self.check_run(i, version),
                // What these ask for may happen at any time in any case.
                Action::Stage(_) | Action::RequestPromises(_) | Action::Decline => {}
            }
        }
        let node = &self.nodes[slot];
        if node.active() > 0 {
            self.active.insert(node.active());
        }
        if node.promised() > node.newest_staged().max(node.running()) {
            self.broken = Some(Broken::PromisedWithoutHolding { host: i });
        }
    }

    fn hear(&mut self, said: Said) {
        if said.answers.is_some() && !self.guards.match_answers {
            self.answers.insert(said.clone());
        }
        let said = Said { answers: None, ..said };
        if self.promises.iter().any(|held| held.permits_what(&said)) {
            return;
        }
        let promises = Rc::make_mut(&mut self.promises);
        promises.retain(|held| !said.permits_what(held));
        promises.insert(said);
    }

    /// Drops what can have no effect any more.
    fn forget(&mut self) {
        let known = self.active.last().copied().unwrap_or(0);
        if self.promises.iter().any(|said| said.promised <= known) {
            Rc::make_mut(&mut self.promises).retain(|said| said.promised > known);
        }
    }

    fn check_run(&mut self, i: u64, version: Version) {
        let ran = &mut self.ran[i as usize];
        if version < *ran {
            self.broken = Some(Broken::WentBack { host: i, ran: *ran, runs: version });
        }
        if version > self.head {
            self.broken = Some(Broken::AheadOfHead { host: i });
        }
        *ran = version.max(*ran);
    }
}

/// What an exploration found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Explored {
    /// States visited.
    pub states: usize,
    /// Whether every state that can be reached was visited.
    pub whole: bool,
    /// The invariant broken first, by the fewest steps, if any.
    pub broken: Option<Broken>,
}

/// Visits every state that can be reached, or `most` of them.
///
/// The search is breadth first, so what it finds first takes the fewest steps.
pub fn explore(size: Size, guards: Guards, most: usize) -> Explored {
    let start = World::start(size, guards);
    let mut states = 0;
    for world in pathfinding::directed::bfs::bfs_reach(start, |world| world.successors()) {
        states += 1;
        if let Some(broken) = world.broken() {
            return Explored { states, whole: false, broken: Some(broken) };
        }
        if states >= most {
            return Explored { states, whole: false, broken: None };
        }
    }
    Explored { states, whole: true, broken: None }
}

/// Returns the shortest way to a broken invariant, step by step.
pub fn counterexample(size: Size, guards: Guards) -> Option<Vec<Step>> {
    let start = World::start(size, guards);
    let path = pathfinding::directed::bfs::bfs(
        &start,
        |world| world.successors(),
        |world| world.broken().is_some(),
    )?;
    let named = path.windows(2).map(|pair| {
        let steps = pair[0].steps();
        steps.into_iter().find(|step| pair[0].after(*step) == pair[1])
    });
    named.collect()
}

fn panel(size: Size) -> WitnessSet {
    WitnessSet::new((0..size.hosts).map(HostKey))
}

fn fresh(size: Size, guards: Guards, i: u64, life: Incarnation) -> Node {
    Node::new(HostKey(i), life, panel(size), guards)
}
