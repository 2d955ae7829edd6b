//! A reader's decision when a version goes on to the next state.
//!
//! The reader offers a version to every live member of its failure domain and
//! waits until all of them hold it, so that they switch together. A member that
//! does not answer in time must not hold up the others: after [`GRACE`] it is
//! recorded as a straggler and catches up by itself. A member that refuses the
//! version does hold it up: a bad version is run by nobody.

use crate::ids::{HostKey, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// How long stragglers may delay the others.
pub const GRACE: Duration = Duration::from_millis(600);

/// What a reader does next with a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Wait for answers until this time.
    WaitUntil(Instant),
    /// Ask the witnesses to promise it.
    RequestPromises,
    /// Leave the version before it in force; somebody refused.
    Withhold,
}

/// The state of one version's roll-out in one failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Promotion {
    /// The version rolled out.
    pub version: Version,
    offered_at: Instant,
    waiting: BTreeSet<HostKey>,
    holding: BTreeSet<HostKey>,
    refused: BTreeMap<HostKey, String>,
}

impl Promotion {
    /// Starts the roll-out of a version to the members that are live now.
    pub fn new(
        version: Version,
        live: impl IntoIterator<Item = HostKey>,
        now: Instant,
    ) -> Promotion {
        Promotion {
            version,
            offered_at: now,
            waiting: live.into_iter().collect(),
            holding: BTreeSet::new(),
            refused: BTreeMap::new(),
        }
    }

    /// Records that a member holds the version whole.
    pub fn held(&mut self, host: HostKey) {
        self.waiting.remove(&host);
        self.refused.remove(&host);
        self.holding.insert(host);
    }

    /// Records that a member found the version bad.
    pub fn refused(&mut self, host: HostKey, why: String) {
        self.waiting.remove(&host);
        self.refused.insert(host, why);
    }

    /// Records that a member died or could not be reached.
    pub fn lost(&mut self, host: HostKey) {
        self.waiting.remove(&host);
    }

    /// Returns the members that hold the version.
    pub fn holding(&self) -> &BTreeSet<HostKey> {
        &self.holding
    }

    /// Returns the members not heard of yet.
    pub fn waiting(&self) -> &BTreeSet<HostKey> {
        &self.waiting
    }

    /// Returns the members that refused the version, with their reasons.
    pub fn refusals(&self) -> &BTreeMap<HostKey, String> {
        &self.refused
    }

    /// Decides what to do at this time.
    pub fn step(&self, now: Instant) -> Step {
        if !self.refused.is_empty() {
            return Step::Withhold;
        }
        let until = self.offered_at + GRACE;
        if self.waiting.is_empty() || now >= until {
            return Step::RequestPromises;
        }
        Step::WaitUntil(until)
    }
}
