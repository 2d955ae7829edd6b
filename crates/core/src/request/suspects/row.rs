//! What a daemon knows against one call.

use super::{ENDS_KEPT, ENDS_TO_QUARANTINE, Suspicion};
use crate::ids::{CallDigest, IncarnationKey};
use std::time::Instant;

/// The ends under one call, and what became of them.
#[derive(Clone, Debug)]
pub(super) struct Row {
    pub ended: Vec<IncarnationKey>,
    pub cleared: Vec<IncarnationKey>,
    /// When the last end is [`QUARANTINE_TIME`] old.
    pub until: Instant,
    /// When this daemon last came to know of one more end.
    pub grown_at: Instant,
    /// Whether an end was seen here.
    pub seen_here: bool,
    /// Whether it has to be kept where it outlives all daemons, as it is now.
    pub unsaved: bool,
    /// Whether this daemon kept it there before.
    pub is_kept: bool,
}

impl Row {
    pub fn new(now: Instant) -> Row {
        Row {
            ended: Vec::new(),
            cleared: Vec::new(),
            until: now,
            grown_at: now,
            seen_here: false,
            unsaved: false,
            is_kept: false,
        }
    }

    pub fn count(&self) -> usize {
        self.against().count()
    }

    /// Returns the ends that speak against the call.
    pub fn against(&self) -> impl Iterator<Item = &IncarnationKey> {
        self.ended.iter().filter(|start| !self.cleared.contains(start))
    }

    pub fn is_against(&self, start: IncarnationKey) -> bool {
        self.ended.contains(&start) && !self.cleared.contains(&start)
    }

    pub fn is_judged(&self, now: Instant) -> bool {
        self.count() >= ENDS_TO_QUARANTINE && now < self.until
    }

    /// Takes it for cleared of all ends known; returns whether that is news.
    pub fn clear(&mut self) -> bool {
        let is_news = self.count() > 0;
        unite(&mut self.cleared, &self.ended);
        // What is kept would be believed again after a restart of all daemons.
        self.unsaved |= is_news && self.is_kept;
        is_news
    }

    pub fn told(&self, call: CallDigest, now: Instant) -> Suspicion {
        let left = self.until.saturating_duration_since(now).as_millis();
        Suspicion {
            call,
            ended: self.ended.clone(),
            cleared: self.cleared.clone(),
            left_ms: left.min(u128::from(u32::MAX)) as u32,
        }
    }
}

/// Adds starts to a list in order, as many as are kept; returns whether it changed.
pub(super) fn unite(own: &mut Vec<IncarnationKey>, others: &[IncarnationKey]) -> bool {
    let before = own.clone();
    own.extend_from_slice(others);
    own.sort_unstable();
    own.dedup();
    // The same ones are kept everywhere, whatever the order in which they came.
    own.truncate(ENDS_KEPT);
    *own != before
}
