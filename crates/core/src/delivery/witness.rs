//! Promises of witnesses and how they are counted.

use crate::ids::{HostKey, Incarnation, Version};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The witnesses of one failure domain, the same in every daemon's settings.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct WitnessSet {
    hosts: Vec<HostKey>,
}

impl WitnessSet {
    /// Makes a panel; order and repetition do not matter.
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

    /// Returns how many witnesses are more than half.
    pub fn majority(&self) -> usize {
        self.hosts.len() / 2 + 1
    }
}

/// What one witness says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Testimony {
    /// Who speaks.
    pub witness: HostKey,
    /// In which of its lives.
    pub life: Incarnation,
    /// The highest version it promised to name.
    pub promised: Version,
    /// The newest life of each other witness that has asked it.
    pub lives: BTreeMap<HostKey, Incarnation>,
    /// Whose question this answers, if any.
    pub answers: Option<(HostKey, Incarnation)>,
}

/// The latest testimony of each witness.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Testimonies {
    by_witness: BTreeMap<HostKey, Testimony>,
}

impl Testimonies {
    /// Keeps a testimony unless a newer one of the same witness is held.
    pub fn add(&mut self, testimony: Testimony) {
        let newest = self.by_witness.get(&testimony.witness).map(|t| (t.life, t.promised));
        if newest.is_none_or(|held| held <= (testimony.life, testimony.promised)) {
            self.by_witness.insert(testimony.witness, testimony);
        }
    }

    /// Returns the highest version that a majority of the panel promised.
    ///
    /// A promise of a life that another testimony knows to be over does not
    /// count when `check_incarnations` is set. Failure: a witness promises, dies, comes
    /// back empty and learns an older bound; its late promise is then counted
    /// although it no longer names the version. Symptom: a proxy runs a version
    /// that a majority of witnesses has never heard of, and goes back after its
    /// next restart. The guard is enough because the majority that the witness
    /// asked on its return remembers its new life, and every majority shares a
    /// member with that one.
    pub fn active(&self, panel: &WitnessSet, check_incarnations: bool) -> Version {
        let mut promised: Vec<Version> = self
            .by_witness
            .values()
            .filter(|t| panel.contains(t.witness))
            .filter(|t| !check_incarnations || !self.is_over(t))
            .map(|t| t.promised)
            .collect();
        promised.sort_unstable_by(|a, b| b.cmp(a));
        promised.get(panel.majority() - 1).copied().unwrap_or(0)
    }

    /// Drops what can no longer raise the active version.
    ///
    /// What those testimonies know of lives is not needed: in any majority that
    /// counts for a version, some member answered the new life before it
    /// promised, and brings that knowledge itself.
    pub fn prune(&mut self, active: Version) {
        self.by_witness.retain(|_, t| t.promised > active);
    }

    /// Returns the testimonies held.
    pub fn iter(&self) -> impl Iterator<Item = &Testimony> {
        self.by_witness.values()
    }

    fn is_over(&self, testimony: &Testimony) -> bool {
        self.by_witness
            .values()
            .filter_map(|other| other.lives.get(&testimony.witness))
            .any(|life| *life > testimony.life)
    }
}
