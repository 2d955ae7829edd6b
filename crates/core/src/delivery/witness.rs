//! Promises of witnesses, and how they are counted.
//!
//! A witness promises a version by reporting it, from then on, to every daemon
//! that asks for its floor.

use crate::ids::{HostKey, Incarnation, Version};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The witnesses of one failure domain, the same in every daemon's settings.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct WitnessSet {
    hosts: Vec<HostKey>,
}

impl WitnessSet {
    /// Creates the set; order and duplicates do not matter.
    pub fn new(hosts: impl IntoIterator<Item = HostKey>) -> WitnessSet {
        let mut hosts: Vec<_> = hosts.into_iter().collect();
        hosts.sort_unstable();
        hosts.dedup();
        WitnessSet { hosts }
    }

    /// Returns the witnesses, sorted.
    pub fn hosts(&self) -> &[HostKey] {
        &self.hosts
    }

    /// Returns whether a host is a witness.
    pub fn contains(&self, host: HostKey) -> bool {
        self.hosts.binary_search(&host).is_ok()
    }

    /// Returns the smallest number of witnesses that is more than half.
    pub fn majority(&self) -> usize {
        self.hosts.len() / 2 + 1
    }
}

/// The state that a witness reports about itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Testimony {
    /// The witness that sends the testimony.
    pub witness: HostKey,
    /// Incarnation of the witness.
    pub life: Incarnation,
    /// The highest version that it promised.
    pub promised: Version,
    /// The newest known incarnation of each other witness that requested a floor.
    pub lives: BTreeMap<HostKey, Incarnation>,
    /// The host and incarnation whose floor request this answers, if any.
    pub answers: Option<(HostKey, Incarnation)>,
}

/// The latest testimony of each witness.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Testimonies {
    by_witness: BTreeMap<HostKey, Testimony>,
}

impl Testimonies {
    /// Adds a testimony unless a newer one of the same witness is already kept.
    pub fn add(&mut self, testimony: Testimony) {
        let newest = self.by_witness.get(&testimony.witness).map(|t| (t.life, t.promised));
        if newest.is_none_or(|kept| kept <= (testimony.life, testimony.promised)) {
            self.by_witness.insert(testimony.witness, testimony);
        }
    }

    /// Returns the highest version that a majority of the witnesses promised.
    ///
    /// If `check_incarnations` is set, a promise is not counted when another
    /// testimony shows that the incarnation that made it has ended. Failure: a
    /// witness promises a version, restarts without state and takes an older
    /// floor; its late promise is then counted although it no longer reports the
    /// version. Symptom: a proxy runs a version that a majority of witnesses does
    /// not know, and goes back to an older one after its next restart. The check
    /// suffices because the majority that the restarted witness asked for its
    /// floor remembers the new incarnation, and any two majorities share a
    /// member.
    pub fn active(&self, witnesses: &WitnessSet, check_incarnations: bool) -> Version {
        let mut promised: Vec<Version> = self
            .by_witness
            .values()
            .filter(|t| witnesses.contains(t.witness))
            .filter(|t| !check_incarnations || !self.has_ended(t))
            .map(|t| t.promised)
            .collect();
        promised.sort_unstable_by(|a, b| b.cmp(a));
        promised.get(witnesses.majority() - 1).copied().unwrap_or(0)
    }

    /// Removes testimonies that can no longer raise the active version.
    ///
    /// The incarnations that those testimonies list are not needed: in any
    /// majority that is counted for a version, some member answered the floor
    /// request of the new incarnation before it promised, so its own testimony
    /// lists that incarnation.
    pub fn prune(&mut self, active: Version) {
        self.by_witness.retain(|_, t| t.promised > active);
    }

    /// Returns the testimonies.
    pub fn iter(&self) -> impl Iterator<Item = &Testimony> {
        self.by_witness.values()
    }

    fn has_ended(&self, testimony: &Testimony) -> bool {
        self.by_witness
            .values()
            .filter_map(|other| other.lives.get(&testimony.witness))
            .any(|life| *life > testimony.life)
    }
}
