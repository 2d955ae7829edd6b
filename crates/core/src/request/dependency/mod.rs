//! Admission of a call together with the calls that its upstream will make for it.
//!
//! Load pattern: a service is full for seconds, and another service's runs each call it near
//! their end. Each refused nested call throws away a run that is already paid for. So fewer
//! of these runs are begun, as many as the called service can take the nested calls of.
//!
//! A nested call enters the mesh at the host whose upstream makes it, and cannot be matched
//! to the call that it is made for. What is known:
//!
//! 1. The exit daemon of the called service sees at which service's hosts each kind of call
//!    enters ([`Origins`]). A kind that enters at the hosts of one service only is taken for
//!    nested calls of that service; the entry daemon is told and remembers it
//!    ([`NestedKinds`]).
//! 2. The daemon beside the calling upstream sees both how its nested calls end and how the
//!    runs of each kind end ([`Levels`]). Where nested calls are refused and runs of a kind
//!    fail after them, it admits only a fraction of the calls of that kind: their level.
//! 3. Entry daemons learn the levels from answers and refusals ([`ReportedLevels`]) and
//!    refuse the calls that would not be admitted, which saves the way to the host.
//!
//! # Limits
//!
//! Nested calls of several services to one kind of call are not known as such, and neither
//! are any while callers enter at the hosts of one service only.

mod levels;
mod nested;
mod origins;
mod reported;
mod window;

pub use levels::{Change, Levels};
pub use nested::NestedKinds;
pub use origins::Origins;
pub use reported::{EntryDecision, ReportedLevels};

use super::jitter;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Kinds of calls that each of these tables keeps at most.
pub const MAX_KINDS: usize = 64;

/// Time until the retry of a call that is refused by its kind's level. Short, so that the caller
/// comes back within the objectives of most kinds: whether it is admitted then is drawn anew.
const RETRY_AFTER: Duration = Duration::from_millis(120);

/// Identifies a service: a hash of its name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServiceKey(pub u64);

/// How a nested call ended at the daemon on which it entered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NestedEnd {
    /// It ran, or may have run, whatever the answer. A called service that fails by itself
    /// does not fail less often if it is called less.
    Ran,
    /// It was refused for lack of capacity of the called service.
    Refused,
    /// It was refused by the level of its own kind, for lack of capacity of a service further
    /// on.
    PassedOn,
}

/// Fraction of the calls of a kind that are admitted, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Level(u16);

impl Level {
    /// All calls are admitted.
    pub const ALL: Level = Level(1000);

    /// Makes a level from thousandths; more than a thousand count as a thousand.
    pub fn from_thousandths(thousandths: u64) -> Level {
        Level(thousandths.min(1000) as u16)
    }

    /// Returns the level in thousandths.
    pub fn thousandths(self) -> u16 {
        self.0
    }

    fn of_share(share: f64) -> Level {
        Level((share.clamp(0.0, 1.0) * 1e3).round() as u16)
    }
}

/// Returns whether a random number falls into a share of all numbers.
fn falls_into(share: f64, random: u64) -> bool {
    ((random >> 11) as f64) < share * (1_u64 << 53) as f64
}

/// Returns the time until the retry of a call that is refused by its kind's level.
fn retry_after(random: u64) -> Duration {
    jitter(RETRY_AFTER, random)
}
