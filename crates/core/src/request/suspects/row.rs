//! The entry of one suspected call.

use super::{ENDS_TO_QUARANTINE, MAX_ENDS, Suspicion};
use crate::ids::{CallDigest, IncarnationKey};
use std::time::Instant;

/// Ends of upstreams under one call, each by the upstream's incarnation, and those ends of
/// which the call was cleared.
#[derive(Clone, Debug)]
pub(super) struct Row {
    pub ended: Vec<IncarnationKey>,
    pub cleared: Vec<IncarnationKey>,
    /// When the last end is [`QUARANTINE_TIME`](super::QUARANTINE_TIME) old.
    pub until: Instant,
    /// When this daemon last learned of a further end.
    pub ends_changed_at: Instant,
    /// Whether this daemon saw one of the ends itself.
    pub seen_here: bool,
    /// Whether the store lacks this row or its latest changes.
    pub unsaved: bool,
    /// Whether this daemon has written the row to the store.
    pub is_stored: bool,
}

impl Row {
    pub fn new(now: Instant) -> Row {
        Row {
            ended: Vec::new(),
            cleared: Vec::new(),
            until: now,
            ends_changed_at: now,
            seen_here: false,
            unsaved: false,
            is_stored: false,
        }
    }

    pub fn count(&self) -> usize {
        self.uncleared().count()
    }

    /// Returns the ends of which the call was not cleared.
    pub fn uncleared(&self) -> impl Iterator<Item = &IncarnationKey> {
        self.ended.iter().filter(|incarnation| !self.cleared.contains(incarnation))
    }

    pub fn is_uncleared(&self, incarnation: IncarnationKey) -> bool {
        self.ended.contains(&incarnation) && !self.cleared.contains(&incarnation)
    }

    pub fn has_verdict(&self, now: Instant) -> bool {
        self.count() >= ENDS_TO_QUARANTINE && now < self.until
    }

    /// Clears the call of all ends known; returns whether this changed anything.
    pub fn clear(&mut self) -> bool {
        let has_changed = self.count() > 0;
        merge_incarnations(&mut self.cleared, &self.ended);
        // A restart of all daemons would restore the old row from the store.
        self.unsaved |= has_changed && self.is_stored;
        has_changed
    }

    pub fn to_suspicion(&self, call: CallDigest, now: Instant) -> Suspicion {
        let left = self.until.saturating_duration_since(now).as_millis();
        Suspicion {
            call,
            ended: self.ended.clone(),
            cleared: self.cleared.clone(),
            left_ms: left.min(u128::from(u32::MAX)) as u32,
        }
    }
}

/// Merges incarnations into a sorted list of at most [`MAX_ENDS`]; returns whether the list
/// changed.
pub(super) fn merge_incarnations(own: &mut Vec<IncarnationKey>, others: &[IncarnationKey]) -> bool {
    let before = own.clone();
    own.extend_from_slice(others);
    own.sort_unstable();
    own.dedup();
    // All daemons keep the same incarnations, whatever the order in which they arrive.
    own.truncate(MAX_ENDS);
    *own != before
}
