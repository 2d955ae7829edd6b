//! State machine that decides which versions a daemon may promise and run.
//!
//! The state machine is small on purpose: it has no clock, and each event may
//! arrive late, twice or in any order without harm. `spec/` model-checks it
//! together with crashes, message loss and network partitions.

use super::witness::{Testimonies, Testimony, WitnessSet};
use crate::ids::{HostKey, Incarnation, Version};
use std::collections::{BTreeMap, BTreeSet};

/// Safeguards of the protocol, each of which the model check can switch off.
///
/// Production code uses [`Guards::ALL`]. The switches exist only so that `spec/`
/// can show the counterexample that each safeguard prevents.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// A fresh daemon runs no version before it has a floor.
    pub floor_before_run: bool,
    /// A version is run only after a majority of witnesses promised it.
    pub majority_before_run: bool,
    /// A witness that restarted sends no testimony until it has promised at least
    /// its floor.
    pub silent_while_fresh: bool,
    /// Promises made by an ended incarnation of a witness are not counted.
    pub check_incarnations: bool,
    /// Only responses to this incarnation's own request set the floor.
    pub match_answers: bool,
    /// A witness promises a version only after it has staged it completely.
    pub stage_before_promise: bool,
}

impl Guards {
    /// All safeguards switched on.
    pub const ALL: Guards = Guards {
        floor_before_run: true,
        majority_before_run: true,
        silent_while_fresh: true,
        check_incarnations: true,
        match_answers: true,
        stage_before_promise: true,
    };
}

/// Input of a [`Node`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The platform's head was read, by a read that began in this incarnation.
    HeadRead(Version),
    /// Every object of this version that the proxy needs is present and valid.
    Staged(Version),
    /// A reader or a recovering daemon requests a promise of this version.
    PromiseRequested(Version),
    /// A fresh daemon requests its floor; `life` is its incarnation.
    FloorRequested { from: HostKey, life: Incarnation },
    /// A testimony of a witness arrived.
    TestimonyReceived(Testimony),
    /// Another daemon counted a majority of promises for this version.
    Activated(Version),
}

/// Output of a [`Node`], for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Answer the request with this testimony.
    SendTestimony(Testimony),
    /// Answer the request without a testimony: this daemon is not a witness, or may
    /// not testify yet.
    Decline,
    /// Fetch and check this version, which is the floor or was promised by a majority.
    Stage(Version),
    /// Ask the witnesses to promise this version, which may already be active
    /// elsewhere.
    RequestPromises(Version),
    /// Replace the running routing table by the table of this version.
    Run(Version),
}

/// The delivery state of one incarnation of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Node {
    me: HostKey,
    incarnation: Incarnation,
    witnesses: WitnessSet,
    guards: Guards,
    floor: Option<Version>,
    staged: BTreeSet<Version>,
    promised: Version,
    active: Version,
    running: Version,
    incarnations: BTreeMap<HostKey, Incarnation>,
    testimonies: Testimonies,
    floor_responses: BTreeMap<HostKey, Version>,
}

impl Node {
    /// Creates the state of a daemon that has just started.
    pub fn new(
        me: HostKey,
        incarnation: Incarnation,
        witnesses: WitnessSet,
        guards: Guards,
    ) -> Node {
        Node {
            me,
            incarnation,
            witnesses,
            guards,
            floor: None,
            staged: BTreeSet::new(),
            promised: 0,
            active: 0,
            running: 0,
            incarnations: BTreeMap::new(),
            testimonies: Testimonies::default(),
            floor_responses: BTreeMap::new(),
        }
    }

    /// Returns the running version, or zero before the first.
    pub fn running(&self) -> Version {
        self.running
    }

    /// Returns the highest version known to be safe to run.
    pub fn active(&self) -> Version {
        self.active
    }

    /// Returns the version that this incarnation must not go below, once known.
    pub fn floor(&self) -> Option<Version> {
        self.floor
    }

    /// Returns the highest version that is completely staged.
    pub fn newest_staged(&self) -> Version {
        self.staged.last().copied().unwrap_or(self.running)
    }

    /// Returns the highest version promised by this daemon as a witness.
    pub fn promised(&self) -> Version {
        self.promised
    }

    /// Returns the number of this incarnation, which its floor requests carry.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns whether this daemon may serve calls.
    pub fn is_serving(&self) -> bool {
        self.running > 0
    }

    /// Handles one event and returns the actions to carry out, in order.
    pub fn on(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::HeadRead(version) => self.lower_floor(version, &mut actions),
            Event::Staged(version) => self.mark_staged(version),
            Event::PromiseRequested(version) => self.promise(version, &mut actions),
            Event::FloorRequested { from, life } => {
                self.answer_floor_request(from, life, &mut actions)
            }
            Event::TestimonyReceived(testimony) => self.receive_testimony(testimony),
            Event::Activated(version) => self.activate(version, &mut actions),
        }
        self.recover_floor(&mut actions);
        self.count_promises(&mut actions);
        self.run(&mut actions);
        actions
    }

    /// Sets the floor to `bound` if there is no floor yet or a higher one.
    ///
    /// Each source gives a version at least as high as any that an earlier
    /// incarnation ran, so the lowest of these versions is a valid floor.
    fn lower_floor(&mut self, bound: Version, actions: &mut Vec<Action>) {
        if self.running > 0 || self.floor.is_some_and(|floor| floor <= bound) {
            return;
        }
        self.floor = Some(bound);
        if bound > 0 && !self.staged.contains(&bound) {
            actions.push(Action::Stage(bound));
        }
    }

    fn mark_staged(&mut self, version: Version) {
        if version > self.running {
            self.staged.insert(version);
        }
    }

    fn promise(&mut self, version: Version, actions: &mut Vec<Action>) {
        let is_staged = self.staged.contains(&version) || version <= self.running;
        if is_staged || !self.guards.stage_before_promise {
            self.promised = self.promised.max(version);
        }
        actions.push(self.testimony(None).map_or(Action::Decline, Action::SendTestimony));
    }

    fn answer_floor_request(
        &mut self,
        from: HostKey,
        life: Incarnation,
        actions: &mut Vec<Action>,
    ) {
        if self.witnesses.contains(from) {
            let newest = self.incarnations.entry(from).or_insert(life);
            *newest = life.max(*newest);
        }
        let testimony = self.testimony(Some((from, life)));
        actions.push(testimony.map_or(Action::Decline, Action::SendTestimony));
    }

    fn receive_testimony(&mut self, testimony: Testimony) {
        if !self.witnesses.contains(testimony.witness) || testimony.witness == self.me {
            return;
        }
        // Failure: the host's clock went back between two starts, so that this
        // incarnation has a lower number than an earlier one. Symptom: promises of
        // the earlier incarnation count, and those of this one never do. Taking a
        // higher number is always safe: it claims no knowledge of earlier promises.
        if let Some(known) =
            testimony.lives.get(&self.me).filter(|known| **known > self.incarnation)
        {
            self.incarnation = known + 1;
            self.floor_responses.clear();
            return;
        }
        // Failure: a response to a floor request of an earlier incarnation arrives
        // after the restart, with a version older than the last one that
        // incarnation ran. Symptom: the fresh daemon takes too low a floor and runs
        // an older version. A response names the incarnation that sent the request,
        // and incarnation numbers never repeat, so a late response is detected.
        let is_response = testimony.answers == Some((self.me, self.incarnation));
        if is_response || !self.guards.match_answers {
            self.floor_responses.insert(testimony.witness, testimony.promised);
            for (host, life) in &testimony.lives {
                let newest = self.incarnations.entry(*host).or_insert(*life);
                *newest = (*life).max(*newest);
            }
        }
        self.testimonies.add(testimony);
    }

    /// Derives the floor from the highest promise among the responses of a majority
    /// of witnesses.
    fn recover_floor(&mut self, actions: &mut Vec<Action>) {
        if self.running > 0 || self.floor_responses.len() < self.witnesses.majority() {
            return;
        }
        let bound = self.floor_responses.values().max().copied().unwrap_or(0);
        self.lower_floor(bound, actions);
        // A version that only some witnesses are known to have promised may have
        // been activated by a reader that has since died. No daemon may go below
        // it, so any daemon that finds such a version completes its promises.
        if bound > self.active && self.staged.contains(&bound) {
            self.promised = self.promised.max(bound);
            actions.push(Action::RequestPromises(bound));
        }
    }

    fn activate(&mut self, version: Version, actions: &mut Vec<Action>) {
        if version <= self.active {
            return;
        }
        self.active = version;
        if version > self.running && !self.staged.contains(&version) {
            actions.push(Action::Stage(version));
        }
    }

    fn count_promises(&mut self, actions: &mut Vec<Action>) {
        let mut testimonies = self.testimonies.clone();
        if let Some(own) = self.testimony(None) {
            testimonies.add(own);
        }
        let active = testimonies.active(&self.witnesses, self.guards.check_incarnations);
        self.activate(active, actions);
        self.testimonies.prune(self.active);
    }

    fn run(&mut self, actions: &mut Vec<Action>) {
        let version = match self.guards.majority_before_run {
            true => self.active,
            false => self.newest_staged(),
        };
        if version <= self.running || !self.staged.contains(&version) {
            return;
        }
        // Failure: a restarted daemon receives an older version than its last
        // incarnation ran. Symptom: withdrawn routes are served again. No version
        // runs until the floor is known, and no version below the floor ever runs.
        let reaches_floor = self.floor.is_some_and(|floor| version >= floor);
        if !reaches_floor && self.guards.floor_before_run {
            return;
        }
        self.running = version;
        // The running version was promised by a majority, so promising it is
        // always safe. A restarted witness may testify again once it has done so.
        self.promised = self.promised.max(version);
        self.floor_responses.clear();
        self.staged.retain(|staged| *staged > version);
        actions.push(Action::Run(version));
    }

    /// Returns the testimony of this daemon, or `None` if it is not a witness or
    /// may not testify yet.
    ///
    /// Failure: a witness that restarted answers that it promised nothing, and
    /// the response is counted. Symptom: a majority of such responses gives a
    /// fresh daemon a floor below the version it ran. A witness therefore
    /// testifies only once it has a floor itself and has promised at least that
    /// version.
    fn testimony(&self, answers: Option<(HostKey, Incarnation)>) -> Option<Testimony> {
        if !self.witnesses.contains(self.me) {
            return None;
        }
        let is_current = self.floor.is_some_and(|floor| self.promised >= floor);
        if !is_current && self.guards.silent_while_fresh {
            return None;
        }
        Some(Testimony {
            witness: self.me,
            life: self.incarnation,
            promised: self.promised,
            lives: self.incarnations.clone(),
            answers,
        })
    }
}
