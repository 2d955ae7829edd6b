//! Moving a service's calls to a new version of its upstreams.
//!
//! An operator orders it. One daemon decides: it lets a few upstreams of the new version
//! have a small share of the calls ([`Phase::Canary`]), compares what they answer with
//! the old ones ([`judge`]), and either takes all calls back from them or lets them have
//! all ([`Phase::Cutover`]). [`decide`] is that daemon's side, [`account`] what bounds the
//! calls that an unproven version gets.
//!
//! All daemons act by the highest [`Stage`] that they know. A stage is written to the
//! store, under a condition, before anybody hears of it, so that of two daemons that
//! believe to decide only one gets its way. Upstreams of a service are kept apart by
//! [`Lane`]; each choice of an upstream is made inside one lane.
//!
//! # Limits
//!
//! Where the deciding daemon is cut off, canaries use up what they were granted and get
//! no more. Until a daemon hears of an order, new upstreams are ordinary ones: that is why
//! only a part of the share allowed is granted. docs/design/ROLLOUTS.md has what was weighed.

pub mod account;
pub mod decide;
pub mod judge;
pub mod tally;

use crate::ids::{HostKey, Revision};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What an operator wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub service: String,
    /// The version that all of its calls are to be sent to.
    pub target: String,
    /// Position of the order in the store when it was first seen; a later one replaces it.
    pub revision: Revision,
    /// The store's era in which it was last read. An order that its operator writes again
    /// after the store came back from a copy is the same order.
    pub read_in_era: u64,
    /// Time for it.
    pub duration: Duration,
}

/// How far a rollout is.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// These upstreams of the new version get a share of the calls, in thousandths.
    Canary {
        /// The share.
        permille: u16,
        /// The upstreams, by their names in the mesh.
        upstreams: Vec<String>,
    },
    /// All calls go to the new version; the old one finishes what it has.
    Cutover,
    /// The old upstreams may be stopped.
    Completed,
    /// The new version gets nothing.
    RolledBack,
}

impl Order {
    /// Returns the order under the position by which its rollout is known.
    ///
    /// Failure: the store comes back from a copy, and the operator writes an order again,
    /// at another position. Symptom: a rollout that was rolled back begins anew.
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
    /// Returns whether nothing follows.
    pub fn is_final(&self) -> bool {
        matches!(self, Phase::Completed | Phase::RolledBack)
    }

    /// Returns its name in logs and status.
    pub fn name(&self) -> &'static str {
        match self {
            Phase::Canary { .. } => "canary",
            Phase::Cutover => "cutover",
            Phase::Completed => "completed",
            Phase::RolledBack => "rolled-back",
        }
    }
}

/// What daemons know of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Stage {
    /// The service.
    pub service: String,
    /// The new version.
    pub target: String,
    /// Position of the order in the store.
    pub order: Revision,
    /// Rises with each change, whoever decides.
    pub step: u32,
    /// Who decides.
    pub decider: HostKey,
    /// How far it is.
    pub phase: Phase,
}

/// Part of a service's upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Lane {
    /// Those that serve.
    Main,
    /// Those of the new version that get a share.
    Canary,
    /// Those that get nothing.
    Held,
}

impl Stage {
    /// Returns whether this one is to be believed rather than another.
    pub fn outranks(&self, other: &Stage) -> bool {
        let is_later = self.order == other.order && self.step > other.step;
        is_later || self.order.supersedes(other.order)
    }

    /// Returns whether an upstream is of the new version.
    pub fn is_new(&self, version: &str) -> bool {
        version == self.target
    }

    /// Returns the lane of an upstream; one that has not told its version yet waits.
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

    /// Returns the lane that one call goes to first; `random` is any number.
    pub fn lane_of_call(&self, random: u64) -> Lane {
        match &self.phase {
            Phase::Canary { permille, .. } if random % 1000 < u64::from(*permille) => Lane::Canary,
            _ => Lane::Main,
        }
    }
}
