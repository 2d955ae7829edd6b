//! Moving a service's calls to a new version of its upstreams.
//!
//! An operator orders a rollout, and one daemon, the decider, controls it. The decider gives
//! a few upstreams of the new version a small share of the calls ([`Phase::Canary`]) and
//! compares their answers with those of the old version ([`judge`]). Then it either takes all
//! calls back from the new version ([`Phase::RolledBack`]) or sends it all calls
//! ([`Phase::Cutover`]). [`decide`] is the decider's side; [`account`] bounds the calls that
//! an unproven version gets.
//!
//! Each daemon acts on the highest [`Stage`] that it has received. A stage is written to the
//! store, under a condition, before any daemon receives it, so that of two daemons that both
//! believe to be the decider only one succeeds. Upstreams of a service are separated by
//! [`Lane`]; each upstream for a call is chosen within one lane.
//!
//! # Limits
//!
//! Where the decider is cut off, canaries use up what they were granted and get no more.
//! Until a daemon has received the order, it treats new upstreams as ordinary ones: that is
//! why only a part of the allowed share is granted. docs/design/ROLLOUTS.md has the
//! alternatives that were weighed.

pub mod account;
pub mod decide;
pub mod judge;
pub mod tally;

use crate::ids::{HostKey, Revision};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// An operator's order to move a service to a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub service: String,
    /// The version that all of its calls are to be sent to.
    pub target: String,
    /// Position of the order in the store when it was first seen; a later one replaces it.
    pub revision: Revision,
    /// The store's era in which the order was last read. An order that its operator writes
    /// again after the store was restored from a copy is the same order.
    pub read_in_era: u64,
    /// Time within which the rollout must complete.
    pub duration: Duration,
}

/// The phase of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// Some upstreams of the new version get a share of the calls.
    Canary {
        /// The share, in thousandths.
        permille: u16,
        /// The names of these upstreams in the mesh.
        upstreams: Vec<String>,
    },
    /// All calls go to the new version; the old version finishes its calls in flight.
    Cutover,
    /// The old upstreams may be stopped.
    Completed,
    /// The new version gets no calls.
    RolledBack,
}

impl Order {
    /// Returns the order of a rollout whose operator has withdrawn it: no time is left.
    pub fn withdrawn(stage: &Stage) -> Order {
        Order {
            service: stage.service.clone(),
            target: stage.target.clone(),
            revision: stage.order,
            read_in_era: stage.order.era,
            duration: Duration::ZERO,
        }
    }

    /// Returns the order with the position of the order behind `stage`, if that one has the
    /// same target and is of an earlier era.
    ///
    /// Guards against a rollout that was rolled back and begins anew, because the store was
    /// restored from a copy and the operator wrote the order again, at another position.
    pub fn with_known_revision(self, stage: Option<&Stage>) -> Order {
        match stage {
            Some(stage) if stage.target == self.target && stage.order.era < self.revision.era => {
                Order { revision: stage.order, ..self }
            }
            _ => self,
        }
    }
}

impl Phase {
    /// Returns whether no other phase follows.
    pub fn is_final(&self) -> bool {
        matches!(self, Phase::Completed | Phase::RolledBack)
    }

    /// Returns the name of the phase in logs and status.
    pub fn name(&self) -> &'static str {
        match self {
            Phase::Canary { .. } => "canary",
            Phase::Cutover => "cutover",
            Phase::Completed => "completed",
            Phase::RolledBack => "rolled-back",
        }
    }
}

/// The state of a rollout, as daemons receive it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Stage {
    /// The service.
    pub service: String,
    /// The new version.
    pub target: String,
    /// Position of the order in the store.
    pub order: Revision,
    /// Rises with each change, also when the decider changes.
    pub step: u32,
    /// Host of the decider.
    pub decider: HostKey,
    /// The phase.
    pub phase: Phase,
}

/// A group of a service's upstreams that calls are sent to separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Lane {
    /// Upstreams that get the calls not sent to canaries.
    Main,
    /// Upstreams of the new version that get a share of the calls.
    Canary,
    /// Upstreams that get no new calls.
    Held,
}

impl Stage {
    /// Returns whether this stage replaces another one.
    pub fn outranks(&self, other: &Stage) -> bool {
        let is_later = self.order == other.order && self.step > other.step;
        is_later || self.order.supersedes(other.order)
    }

    /// Returns whether `version` is the new version.
    pub fn is_new(&self, version: &str) -> bool {
        version == self.target
    }

    /// Returns the lane of an upstream. An upstream that has not reported its version yet is
    /// held.
    pub fn lane(&self, version: &str, upstream: &str) -> Lane {
        if version.is_empty() {
            return Lane::Held;
        }
        match (&self.phase, self.is_new(version)) {
            (Phase::Canary { .. } | Phase::RolledBack, false) => Lane::Main,
            (Phase::Canary { upstreams, .. }, true) => {
                let is_canary = upstreams.iter().any(|canary| canary == upstream);
                if is_canary { Lane::Canary } else { Lane::Held }
            }
            (Phase::Cutover | Phase::Completed, true) => Lane::Main,
            (Phase::Cutover | Phase::Completed, false) | (Phase::RolledBack, true) => Lane::Held,
        }
    }

    /// Returns the lane in which a call is tried first; `random` is a random number.
    pub fn lane_of_call(&self, random: u64) -> Lane {
        match &self.phase {
            Phase::Canary { permille, .. } if random % 1000 < u64::from(*permille) => Lane::Canary,
            _ => Lane::Main,
        }
    }
}
