//! One daemon's view of versions: what it may promise and what it may run.
//!
//! The state machine is small on purpose: it has no clock, and each event can
//! come late, twice or in any order without harm. `spec/` explores it together
//! with crashes, losses and cuts.

use super::witness::{Testimonies, Testimony, WitnessSet};
use crate::ids::{HostKey, Incarnation, Version};
use std::collections::{BTreeMap, BTreeSet};

/// Safeguards of the protocol, each of which the model check can take out.
///
/// Production code uses [`Guards::ALL`]. A switch exists only to show, in
/// `spec/`, the counterexample that its safeguard prevents.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// A fresh daemon runs nothing before it has a floor.
    pub floor_before_run: bool,
    /// A version is run only after a majority of witnesses promised it.
    pub majority_before_run: bool,
    /// A witness that lost its memory stays silent until it is current.
    pub silent_while_fresh: bool,
    /// Promises of lives that are over do not count.
    pub check_incarnations: bool,
    /// Only answers to this life's own question set the floor.
    pub match_answers: bool,
    /// A witness promises only what it holds whole.
    pub stage_before_promise: bool,
}

impl Guards {
    /// Every safeguard in place.
    pub const ALL: Guards = Guards {
        floor_before_run: true,
        majority_before_run: true,
        silent_while_fresh: true,
        check_incarnations: true,
        match_answers: true,
        stage_before_promise: true,
    };
}

/// What happens to a [`Node`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The platform's head was read, and the read began in this life.
    HeadRead(Version),
    /// Every object of this version that concerns the proxy is here and valid.
    Staged(Version),
    /// A reader or a recovering daemon asks to promise a version.
    PromiseRequested(Version),
    /// A fresh daemon asks for its floor.
    FloorRequested { from: HostKey, life: Incarnation },
    /// A witness spoke.
    TestimonyReceived(Testimony),
    /// Somebody counted a majority of promises for this version.
    Activated(Version),
}

/// What a [`Node`] wants done.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Answer whoever asked.
    SendTestimony(Testimony),
    /// Answer that this witness cannot speak yet.
    Decline,
    /// Fetch and check this version, since the floor or a majority requires it.
    Stage(Version),
    /// Ask the witnesses to promise this version, since its fate is in doubt.
    RequestPromises(Version),
    /// Swap the running table for this version's.
    Run(Version),
}

/// The delivery state of one daemon in one life.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Node {
    me: HostKey,
    life: Incarnation,
    panel: WitnessSet,
    guards: Guards,
    floor: Option<Version>,
    held: BTreeSet<Version>,
    promised: Version,
    active: Version,
    running: Version,
    lives: BTreeMap<HostKey, Incarnation>,
    heard: Testimonies,
    answered: BTreeMap<HostKey, Version>,
}

impl Node {
    /// Makes the state of a daemon that has just started and knows nothing.
    pub fn new(me: HostKey, life: Incarnation, panel: WitnessSet, guards: Guards) -> Node {
        Node {
            me,
            life,
            panel,
            guards,
            floor: None,
            held: BTreeSet::new(),
            promised: 0,
            active: 0,
            running: 0,
            lives: BTreeMap::new(),
            heard: Testimonies::default(),
            answered: BTreeMap::new(),
        }
    }

    /// Returns the version being run, zero before the first.
    pub fn running(&self) -> Version {
        self.running
    }

    /// Returns the highest version known to be safe to run.
    pub fn active(&self) -> Version {
        self.active
    }

    /// Returns the version this life must not fall below, once that is known.
    pub fn floor(&self) -> Option<Version> {
        self.floor
    }

    /// Returns the highest version held whole.
    pub fn newest_staged(&self) -> Version {
        self.held.last().copied().unwrap_or(self.running)
    }

    /// Returns the highest version promised by this daemon as a witness.
    pub fn promised(&self) -> Version {
        self.promised
    }

    /// Returns the number of this life, by which questions are asked.
    pub fn incarnation(&self) -> Incarnation {
        self.life
    }

    /// Returns whether this daemon may serve calls.
    pub fn is_serving(&self) -> bool {
        self.running > 0
    }

    /// Takes one event in and returns what to do, in order.
    pub fn on(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::HeadRead(version) => self.lower_floor(version, &mut actions),
            Event::Staged(version) => self.hold(version),
            Event::PromiseRequested(version) => self.promise(version, &mut actions),
            Event::FloorRequested { from, life } => self.answer(from, life, &mut actions),
            Event::TestimonyReceived(testimony) => self.hear(testimony),
            Event::Activated(version) => self.activate(version, &mut actions),
        }
        self.recover(&mut actions);
        self.count(&mut actions);
        self.run(&mut actions);
        actions
    }

    /// Takes a lower bound on the floor than the one held, if it is lower.
    ///
    /// Each source gives a version that is at least what any earlier life ran,
    /// so the least of them is one as well.
    fn lower_floor(&mut self, bound: Version, actions: &mut Vec<Action>) {
        if self.running > 0 || self.floor.is_some_and(|floor| floor <= bound) {
            return;
        }
        self.floor = Some(bound);
        if bound > 0 && !self.held.contains(&bound) {
            actions.push(Action::Stage(bound));
        }
    }

    fn hold(&mut self, version: Version) {
        if version > self.running {
            self.held.insert(version);
        }
    }

    fn promise(&mut self, version: Version, actions: &mut Vec<Action>) {
        let has = self.held.contains(&version) || version <= self.running;
        if has || !self.guards.stage_before_promise {
            self.promised = self.promised.max(version);
        }
        actions.push(self.testimony(None).map_or(Action::Decline, Action::SendTestimony));
    }

    fn answer(&mut self, from: HostKey, life: Incarnation, actions: &mut Vec<Action>) {
        if self.panel.contains(from) {
            let newest = self.lives.entry(from).or_insert(life);
            *newest = life.max(*newest);
        }
        let testimony = self.testimony(Some((from, life)));
        actions.push(testimony.map_or(Action::Decline, Action::SendTestimony));
    }

    fn hear(&mut self, testimony: Testimony) {
        if !self.panel.contains(testimony.witness) || testimony.witness == self.me {
            return;
        }
        // Failure: the host's clock went back between two starts, so that this
        // life has a lower number than an earlier one. Symptom: promises of the
        // earlier life count, and this one's never do. Taking a higher number is
        // always safe, since it claims no memory that is not there.
        if let Some(known) = testimony.lives.get(&self.me).filter(|known| **known > self.life) {
            self.life = known + 1;
            self.answered.clear();
            return;
        }
        // Failure: an answer to an earlier life's question arrives after the
        // restart, naming a version from before that life's last run. Symptom:
        // the fresh daemon takes too low a floor and goes back. Answers name
        // the question's life, and lives never repeat, so a late one is known.
        let mine = testimony.answers == Some((self.me, self.life));
        if mine || !self.guards.match_answers {
            self.answered.insert(testimony.witness, testimony.promised);
            for (host, life) in &testimony.lives {
                let newest = self.lives.entry(*host).or_insert(*life);
                *newest = (*life).max(*newest);
            }
        }
        self.heard.add(testimony);
    }

    /// Takes the highest answer of a majority as the floor.
    fn recover(&mut self, actions: &mut Vec<Action>) {
        if self.running > 0 || self.answered.len() < self.panel.majority() {
            return;
        }
        let bound = self.answered.values().max().copied().unwrap_or(0);
        self.lower_floor(bound, actions);
        // A version that only some witnesses promised may have been activated
        // by a reader that is gone. Nobody may fall below it, so somebody has to
        // complete it: whoever notices does.
        if bound > self.active && self.held.contains(&bound) {
            self.promised = self.promised.max(bound);
            actions.push(Action::RequestPromises(bound));
        }
    }

    fn activate(&mut self, version: Version, actions: &mut Vec<Action>) {
        if version <= self.active {
            return;
        }
        self.active = version;
        if version > self.running && !self.held.contains(&version) {
            actions.push(Action::Stage(version));
        }
    }

    fn count(&mut self, actions: &mut Vec<Action>) {
        let mut all = self.heard.clone();
        if let Some(own) = self.testimony(None) {
            all.add(own);
        }
        let active = all.active(&self.panel, self.guards.check_incarnations);
        self.activate(active, actions);
        self.heard.prune(self.active);
    }

    fn run(&mut self, actions: &mut Vec<Action>) {
        let version = match self.guards.majority_before_run {
            true => self.active,
            false => self.newest_staged(),
        };
        if version <= self.running || !self.held.contains(&version) {
            return;
        }
        // Failure: a restarted daemon is handed an older version than its last
        // life ran. Symptom: routes that were withdrawn answer again. Until a
        // bound is known nothing runs, and below the bound nothing ever does.
        let above = self.floor.is_some_and(|floor| version >= floor);
        if !above && self.guards.floor_before_run {
            return;
        }
        self.running = version;
        // What runs was promised by a majority, so naming it is always safe. A
        // witness that came back is thereby current again.
        self.promised = self.promised.max(version);
        self.answered.clear();
        self.held.retain(|held| *held > version);
        actions.push(Action::Run(version));
    }

    /// Returns what this daemon may say as a witness, or `None` if it is not
    /// one or may not speak.
    ///
    /// Failure: a witness that restarted answers "I promised nothing" and is
    /// counted. Symptom: a majority of such answers gives a fresh daemon a floor
    /// below what it ran. A witness therefore speaks only once it has a floor
    /// itself and has promised at least that much.
    fn testimony(&self, answers: Option<(HostKey, Incarnation)>) -> Option<Testimony> {
        if !self.panel.contains(self.me) {
            return None;
        }
        let current = self.floor.is_some_and(|floor| self.promised >= floor);
        if !current && self.guards.silent_while_fresh {
            return None;
        }
        Some(Testimony {
            witness: self.me,
            life: self.life,
            promised: self.promised,
            lives: self.lives.clone(),
            answers,
        })
    }
}
