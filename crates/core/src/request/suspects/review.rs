//! Review of a quarantine: how certain the verdict is, and whether a trial may be made.
//!
//! A quarantined call never runs, so no good run can clear it. Failure: two upstreams of a
//! fleet that has just started end within the time of one run. Symptom: every call in
//! flight at both is quarantined, the fatal one and the harmless ones, and callers are
//! refused for [`QUARANTINE_TIME`](super::QUARANTINE_TIME) although most would be served.
//!
//! Two rules find the harmless calls. A call is *explained* where at each end that counts
//! against it there was another call with more ends: it is sent again, until it has as many
//! ends. A call that shares each of its ends with another suspect of two ends is in doubt:
//! one such call at a time in the whole fleet is *tried*, which means sent to one upstream,
//! once. A good run clears it. An end leaves it with one end more than the other calls,
//! which are then explained.
//!
//! # Cost
//!
//! A fatal call ends one more upstream in each trial, up to [`MAX_TRIAL_ENDS`] in all. It
//! is tried at once only where other calls share its ends, and otherwise [`TRIAL_AFTER`]
//! its last end.

use super::{ENDS_TO_QUARANTINE, QUARANTINE_TIME, Row, Suspects};
use crate::ids::CallDigest;
use std::time::{Duration, Instant};

/// How long a verdict waits for further reports of the same ends. The daemons of two
/// upstreams report their ends separately; until both reports have arrived, a call looks
/// like the only suspect of ends that it shares with others.
pub const SETTLE_TIME: Duration = Duration::from_millis(250);
/// Time after the last end from which on a call that was the only suspect of its ends is
/// tried. A harmless call is refused for that long, and a release that fixes a fatal one
/// takes at least about as long.
pub const TRIAL_AFTER: Duration = Duration::from_secs(30);
/// Ends from which on a call is never tried. Three ends are accepted in any case, and up to
/// three more may follow.
const MAX_TRIAL_ENDS: usize = 6;

/// How certain the verdict on a quarantined call is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Review {
    /// Reports of the same ends may still be in flight.
    Settling,
    /// One daemon at a time may make a trial of the call.
    Doubtful,
    /// The call is refused.
    Certain,
}

impl Suspects {
    /// Returns how certain the verdict on a quarantined call is.
    pub fn review(&self, call: CallDigest, now: Instant) -> Review {
        let Some(row) = self.rows.get(&call) else { return Review::Doubtful };
        if now < row.ends_changed_at + SETTLE_TIME {
            return Review::Settling;
        }
        let ends = row.count();
        if ends >= MAX_TRIAL_ENDS {
            return Review::Certain;
        }
        let is_shared = self.is_shared(call, row);
        let last_end = row.until.checked_sub(QUARANTINE_TIME).unwrap_or(now);
        let is_trial_due = now >= last_end + TRIAL_AFTER;
        if is_shared || is_trial_due { Review::Doubtful } else { Review::Certain }
    }

    /// Returns whether at each uncleared end of a call there was a call with more ends.
    pub(super) fn is_explained(&self, call: CallDigest, row: &Row) -> bool {
        let ends = row.count();
        let with_more_ends: Vec<&Row> =
            self.others(call).filter(|other| other.count() > ends).collect();
        row.uncleared()
            .all(|incarnation| with_more_ends.iter().any(|other| other.is_uncleared(*incarnation)))
    }

    /// Returns whether at each uncleared end of a call there was another suspect of two ends.
    ///
    /// While the call has only two ends, a suspect that was cleared since counts as well:
    /// that the other call is harmless does not prove that this one is fatal.
    fn is_shared(&self, call: CallDigest, row: &Row) -> bool {
        let is_first_verdict = row.count() == ENDS_TO_QUARANTINE;
        let suspects: Vec<&Row> =
            self.others(call).filter(|other| other.ended.len() >= ENDS_TO_QUARANTINE).collect();
        row.uncleared().all(|incarnation| {
            let mut at_same_end = suspects.iter().filter(|other| other.ended.contains(incarnation));
            at_same_end.any(|other| is_first_verdict || other.count() >= ENDS_TO_QUARANTINE)
        })
    }

    fn others(&self, call: CallDigest) -> impl Iterator<Item = &Row> {
        self.rows.iter().filter(move |(other, _)| **other != call).map(|(_, row)| row)
    }
}
