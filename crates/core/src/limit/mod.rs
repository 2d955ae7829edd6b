//! Limits that all daemons keep together.
//!
//! A limit is a rate and a burst for the whole mesh, such as an organisation's quota.
//! Dividing it evenly by the daemons refuses calls wherever demand is uneven, and with
//! more daemons than the limit has calls a second nobody's share is a whole call. So a
//! limit is never divided by members:
//!
//! - One daemon, the *keeper*, counts what all admit ([`keeper`]). It answers each report
//!   with the share of the calls offered that may be admitted.
//! - Each daemon admits that share of what is offered to it ([`share`]), by chance, and
//!   reports what was offered and admitted some times a second.
//! - While a share is below one, the keeper lets all daemons know it. Otherwise those at
//!   which an organisation asks seldom would admit their first call each, and that sum
//!   grows with the mesh.
//!
//! Below the limit the share is one: a call costs a look at a number, and no call waits
//! for a message.
//!
//! # Why the limit holds
//!
//! What is admitted before a keeper notices that a limit is reached becomes a debt in its
//! account, which is paid back by what it admits next. A sliding window therefore never
//! holds more than the burst, the rate and the debt at its end.
//!
//! - *A daemon hears nothing of its keeper*: it goes on with a little more than it admitted
//!   before, see [`share::Limiter`]. The sum over such daemons is what they had together.
//! - *The mesh is split*: each part has a keeper of its own, which counts with the part of
//!   the limit that its part of the daemons is of all.
//! - *A keeper ends*: the next one begins with the rate alone, since nobody knows what was
//!   spent of the burst.
//!
//! # Limits of this design
//!
//! While daemons do not agree who keeps a limit, for about a second after a change of
//! membership, each of two keepers sees a part of the demand and admits more of it.

pub mod keeper;
pub mod share;

use crate::ids::HostKey;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time between two notices of a keeper while limits stay held back.
pub const NOTICE_EVERY: Duration = Duration::from_millis(500);
/// Time between two reports of a daemon to a keeper.
pub const REPORT_EVERY: Duration = Duration::from_millis(250);

/// Calls that all daemons together may let through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quota {
    /// Calls a second.
    pub rate_per_s: u64,
    /// Calls beyond the rate after a time without any.
    pub burst: u64,
}

/// Names a limit.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Debug, Default,
)]
pub struct LimitKey(pub u64);

impl LimitKey {
    /// Returns the key of an organisation's quota.
    pub fn of_organisation(name: &str) -> LimitKey {
        LimitKey(crate::ids::hash64(name))
    }
}

/// What one daemon saw of a limit since its last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Which limit.
    pub key: LimitKey,
    /// Calls that came.
    pub offered: u32,
    /// Those of them that were let through and not refused later as not run.
    pub admitted: u32,
}

/// How much of what is offered may be admitted, as a keeper tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Which limit.
    pub key: LimitKey,
    /// Calls of 10,000.
    pub share: u16,
}

/// Limits that are held back, for all daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Who keeps them.
    pub keeper: HostKey,
    /// Rises with each notice of one keeper.
    pub number: u64,
    /// What may be admitted.
    pub grants: Vec<Grant>,
}

impl Grant {
    /// Everything may be admitted.
    pub const ALL: u16 = 10_000;
}
