//! A reader's decision when to promote a version to the next state.
//!
//! The reader offers a version to every live member of its failure domain and
//! waits until all of them have staged it, so that they switch together. A member
//! that does not answer in time must not delay the others: after [`GRACE`] it is
//! recorded as late and catches up by itself. A member that refuses the version
//! stops its promotion: an invalid version is run by no daemon.

use crate::ids::{HostKey, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// How long late members may delay the others.
pub const GRACE: Duration = Duration::from_millis(600);

/// What a reader does next with a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Wait for the remaining members until this time.
    WaitUntil(Instant),
    /// Ask the witnesses to promise the version.
    RequestPromises,
    /// Leave the previous version in force, because a member refused this one.
    Withhold,
}

/// The state of the promotion of one version in one failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Promotion {
    /// The version being promoted.
    pub version: Version,
    offered_at: Instant,
    pending: BTreeSet<HostKey>,
    staged: BTreeSet<HostKey>,
    refused: BTreeMap<HostKey, String>,
}

impl Promotion {
    /// Starts the promotion of a version among the members that are live now.
    pub fn new(
        version: Version,
        live: impl IntoIterator<Item = HostKey>,
        now: Instant,
    ) -> Promotion {
        Promotion {
            version,
            offered_at: now,
            pending: live.into_iter().collect(),
            staged: BTreeSet::new(),
            refused: BTreeMap::new(),
        }
    }

    /// Records that a member has staged the version.
    pub fn mark_staged(&mut self, host: HostKey) {
        self.pending.remove(&host);
        self.refused.remove(&host);
        self.staged.insert(host);
    }

    /// Records that a member refused the version as invalid.
    pub fn mark_refused(&mut self, host: HostKey, reason: String) {
        self.pending.remove(&host);
        self.refused.insert(host, reason);
    }

    /// Records that a member died, could not be reached or did not answer in time.
    pub fn mark_unreachable(&mut self, host: HostKey) {
        self.pending.remove(&host);
    }

    /// Returns the members that have staged the version.
    pub fn staged(&self) -> &BTreeSet<HostKey> {
        &self.staged
    }

    /// Returns the members whose response is pending.
    pub fn pending(&self) -> &BTreeSet<HostKey> {
        &self.pending
    }

    /// Returns the members that refused the version, with their reasons.
    pub fn refusals(&self) -> &BTreeMap<HostKey, String> {
        &self.refused
    }

    /// Returns the next step at the time `now`.
    pub fn step(&self, now: Instant) -> Step {
        if !self.refused.is_empty() {
            return Step::Withhold;
        }
        let deadline = self.offered_at + GRACE;
        if self.pending.is_empty() || now >= deadline {
            return Step::RequestPromises;
        }
        Step::WaitUntil(deadline)
    }
}
