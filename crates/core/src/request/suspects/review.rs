//! How sure a verdict is, and whether the call may be tried.
//!
//! A quarantined call never runs, so that no good run can clear it. Failure: two
//! upstreams of a fleet that has just started end within the time of one run. Symptom:
//! every call at both is quarantined, the guilty one and those beside it, and callers are
//! refused for [`QUARANTINE_TIME`](super::QUARANTINE_TIME) although most would be served.
//!
//! Two rules find the innocent. A call is *explained* where at each end that speaks against
//! it another one was that has more of them: it is sent again, until it has as many. A call
//! that was never the only suspect of two ends is in doubt: one such call at a time in the
//! whole fleet is *tried*, which means sent to one upstream, once. A good run clears it; an
//! end leaves it with one end more than the others, which are explained by that.
//!
//! # Cost
//!
//! A guilty call ends one upstream more for each trial, up to [`MOST_FOR_TRIAL`] in all. It
//! is tried only where others share its ends, and else [`TRIAL_AFTER`] its last end.

use super::{ENDS_TO_QUARANTINE, QUARANTINE_TIME, Row, Suspects};
use crate::ids::CallDigest;
use std::time::{Duration, Instant};

/// How long a verdict waits for news of the same ends. The daemons beside two upstreams
/// tell of them apart; before both have told, a call looks alone at ends that it shared.
pub const SETTLE_TIME: Duration = Duration::from_millis(250);
/// Time after the last end after which a call that was alone at its ends is tried: an
/// innocent one is refused for that long, and a release that mends a guilty one takes
/// about as long at the least.
pub const TRIAL_AFTER: Duration = Duration::from_secs(30);
/// Ends from which on a call is not tried whatever may speak for it: three are free, and
/// three more may follow.
const MOST_FOR_TRIAL: usize = 6;

/// What is to be done about a quarantined call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Review {
    /// News of the same ends may be under way.
    Settling,
    /// One daemon at a time may try it.
    Doubtful,
    /// It is refused.
    Certain,
}

impl Suspects {
    /// Returns how sure the verdict on a quarantined call is.
    pub fn review(&self, call: CallDigest, now: Instant) -> Review {
        let Some(row) = self.rows.get(&call) else { return Review::Doubtful };
        if now < row.grown_at + SETTLE_TIME {
            return Review::Settling;
        }
        let ends = row.count();
        if ends >= MOST_FOR_TRIAL {
            return Review::Certain;
        }
        let is_shared = self.is_shared(call, row);
        let last_end = row.until.checked_sub(QUARANTINE_TIME).unwrap_or(now);
        let is_old = now >= last_end + TRIAL_AFTER;
        if is_shared || is_old { Review::Doubtful } else { Review::Certain }
    }

    /// Returns whether at each end there was a call that has more of them.
    pub(super) fn is_explained(&self, call: CallDigest, row: &Row) -> bool {
        let ends = row.count();
        let guiltier: Vec<&Row> = self.others(call).filter(|other| other.count() > ends).collect();
        row.against().all(|start| guiltier.iter().any(|other| other.is_against(*start)))
    }

    /// Returns whether at each end there was another suspect of two ends.
    ///
    /// The first time one that was cleared since is as good: that it is innocent does not
    /// make the call that is left guilty.
    fn is_shared(&self, call: CallDigest, row: &Row) -> bool {
        let is_first = row.count() == ENDS_TO_QUARANTINE;
        let suspects: Vec<&Row> =
            self.others(call).filter(|other| other.ended.len() >= ENDS_TO_QUARANTINE).collect();
        row.against().all(|start| {
            let mut at_end = suspects.iter().filter(|other| other.ended.contains(start));
            at_end.any(|other| is_first || other.count() >= ENDS_TO_QUARANTINE)
        })
    }

    fn others(&self, call: CallDigest) -> impl Iterator<Item = &Row> {
        self.rows.iter().filter(move |(other, _)| **other != call).map(|(_, row)| row)
    }
}
