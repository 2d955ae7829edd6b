//! Limits that apply to the whole mesh.
//!
//! A limit is a rate and a burst for all daemons together, such as an organisation's
//! quota. Dividing it evenly among the daemons would refuse calls wherever demand is
//! uneven, and with more daemons than the limit has calls a second, each daemon's part
//! would be less than one call. A limit is therefore never divided by the number of
//! members:
//!
//! - One daemon, the *keeper*, counts the calls that all daemons admit ([`keeper`]). It
//!   answers each usage report with a grant: the share of the offered calls that may be
//!   admitted.
//! - Each daemon admits this share of the calls offered to it ([`share`]), at random, and
//!   reports the offered and admitted calls a few times a second, or at once when the demand
//!   jumps.
//! - While a share is below one, the limit is *throttled* and the keeper sends the grant
//!   to all daemons. Otherwise each daemon that rarely sees a call of the organisation
//!   would admit its first one, and the sum of these calls grows with the mesh.
//!
//! Below the limit the share is one: a call costs a comparison with a number in memory,
//! and no call waits for a message.
//!
//! # Why the limit holds
//!
//! Calls that are admitted before a keeper notices that a limit is reached become a debt
//! in its account, which is paid back by admitting fewer calls afterwards. A sliding
//! window therefore never holds more calls than the burst, the rate and the debt at its
//! end.
//!
//! A grant is a lease: what one daemon may admit by its last grant is not granted to
//! another, whoever can or cannot be reached. docs/DESIGN.md, "What is allowed before the mesh
//! is known", has the rule for each case:
//!
//! - *A daemon receives no answer from its keeper*: it continues at the rate of its last
//!   grant where the limit was throttled, else at its part of the limit: the rate divided by
//!   all daemons ([`share`]).
//! - *A keeper hears nothing of a daemon*: it counts the daemon at the rate that it last
//!   reported, while the daemon is live in the membership table ([`reporters`]).
//! - *A keeper does not know whether a daemon without calls hears it*: while the demand is
//!   high, it asks ([`contacts`]), and leaves the parts of those that do not answer.
//! - *A keeper hears a daemon that the table has for dead*: it counts the daemon as live
//!   ([`presence`]).
//! - *A keeper takes over a throttled limit*: it grants the rate that the daemons reporting to
//!   it had under the keeper before, until it is settled who is lost ([`inheritance`]).
//! - *The mesh is split, and both parts know it*: each keeper enforces the fraction of the
//!   limit that its live daemons are of all daemons ([`part`]). After the split the fraction
//!   rises only when the membership has settled; daemons that come back bring what they had.
//! - *A keeper ends*: the next keeper starts without the burst, since it does not know how much
//!   of it was spent. While members are suspected, it learns the demand before it grants, and
//!   takes daemons for lost until they answer.
//!
//! # Limits of this design
//!
//! A jump of the demand is known after a report interval and the way of a notice, about 0.4 s
//! in a mesh of a thousand daemons. A limit whose burst is smaller than what is offered
//! meanwhile, and most of whose rate was used before, is exceeded once: in the model by 9 in
//! 100 at 986 daemons, where a demand at 0.9 of the limit rises to seven times the limit and
//! the burst is half a second's.
//!
//! A daemon that was never answered admits calls until it misses the first answer
//! ([`ANSWER_TIME`]). Where hundreds of daemons are cut off, and an organisation's limit is a
//! few calls a second for each hundred of them, the first calls at all of them exceed it.

pub mod contacts;
pub mod inheritance;
pub mod keeper;
pub mod part;
pub mod presence;
pub mod reporters;
pub mod share;

use crate::ids::HostKey;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

/// Interval between two notices of a keeper while limits stay throttled.
pub const NOTICE_EVERY: Duration = Duration::from_millis(500);
/// Interval between two usage reports of a daemon to a keeper.
pub const REPORT_EVERY: Duration = Duration::from_millis(250);
/// Shortest time between two usage reports, or two notices, where the demand jumps or a limit
/// comes to be throttled.
pub const EARLY_REPORT_GAP: Duration = Duration::from_millis(50);
/// Time in which a keeper answers a usage report, and a daemon its keeper's question.
pub const ANSWER_TIME: Duration = Duration::from_millis(150);
/// Fraction of the announced share below which a smaller one is announced at once.
const URGENT_FRACTION: f64 = 0.75;

/// Rate and burst of the calls that all daemons together may admit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quota {
    /// Calls a second.
    pub rate_per_s: u64,
    /// Calls that may be admitted beyond the rate after an idle period.
    pub burst: u64,
}

/// Identifies a limit.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Debug, Default,
)]
pub struct LimitKey(pub u64);

impl fmt::Display for LimitKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl LimitKey {
    /// Returns the key of an organisation's quota.
    pub fn of_organisation(name: &str) -> LimitKey {
        LimitKey(crate::ids::hash64(name))
    }
}

/// Usage report: the calls that one daemon counted under a limit since its last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The limit.
    pub key: LimitKey,
    /// Calls that arrived.
    pub offered: u32,
    /// Calls that were admitted, without those that then did not run.
    pub admitted: u32,
}

/// A usage report with the share by which the daemon admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// The calls.
    pub usage: Usage,
    /// The reduced share that was granted last, in calls of [`Grant::ALL`]; `None` if all calls
    /// are admitted.
    pub share: Option<u16>,
}

impl Report {
    /// Returns whether this is a closing report: there are no calls any more.
    pub fn is_closing(&self) -> bool {
        self.usage.offered == 0
    }

    /// Returns the calls that the reduced share admits on average, if there is one.
    pub fn admitted_by_share(&self) -> Option<f64> {
        let offered = f64::from(self.usage.offered);
        self.share.map(|share| offered * f64::from(share) / f64::from(Grant::ALL))
    }

    /// Returns the admitted calls as the share tells them: the few calls of one report vary.
    pub fn admitted_on_average(&self) -> f64 {
        self.admitted_by_share().unwrap_or(f64::from(self.usage.admitted))
    }

    /// Splits reports into usage and reduced shares, as datagrams carry them.
    pub fn split(reports: &[Report]) -> (Vec<Usage>, Vec<Grant>) {
        let usages = reports.iter().map(|report| report.usage).collect();
        let share =
            |report: &Report| report.share.map(|share| Grant { key: report.usage.key, share });
        (usages, reports.iter().filter_map(share).collect())
    }

    /// Joins usage and the reduced shares of its sender.
    pub fn join(usages: &[Usage], shares: &[Grant]) -> Vec<Report> {
        let shares: HashMap<LimitKey, u16> =
            shares.iter().map(|grant| (grant.key, grant.share)).collect();
        let report =
            |usage: &Usage| Report { usage: *usage, share: shares.get(&usage.key).copied() };
        usages.iter().map(report).collect()
    }
}

/// The share of the offered calls that a keeper allows to be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The limit.
    pub key: LimitKey,
    /// Calls admitted of 10,000 offered.
    pub share: u16,
}

/// Grants of throttled limits, sent to all daemons.
///
/// A limit that is no longer throttled is listed once more, with [`Grant::ALL`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The keeper of these limits.
    pub keeper: HostKey,
    /// Increases with each notice of one keeper.
    pub number: u64,
    /// The grants, by limit.
    pub grants: Vec<Grant>,
}

impl Grant {
    /// The share that admits all calls.
    pub const ALL: u16 = 10_000;

    /// Returns whether the share is so much smaller than the one that was announced to all
    /// daemons that it is announced without waiting for the next notice.
    pub fn is_urgent_after(&self, announced: u16) -> bool {
        f64::from(self.share) < f64::from(announced) * URGENT_FRACTION
    }
}
