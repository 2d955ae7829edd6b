//! Recognizes retries of calls that were refused before.
//!
//! A retry by the caller has a new request id and less time left than a new call. Its deadline
//! stays the same: a call of the same kind with the deadline of a refused call is taken for a
//! retry by the same caller.
//!
//! Load pattern: more calls than slots for seconds. Most refused calls are retried. If each
//! retry counted as a new call, it would wait for a slot although its objective has already
//! passed, and its late answer would take the place of an answer in time.
//!
//! # Limits
//!
//! Two callers whose deadlines lie within [`DEADLINE_TOLERANCE`] of each other are mistaken for
//! one another. With twelve refused calls of a kind that are not yet retried, one in twenty
//! new calls is taken for a retry and counts as older than it is. A retry that enters at
//! another daemon counts as a new call.

use super::gate::KindKey;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Largest difference between the deadlines of a call and its retry: the caller sends the time
/// left in whole milliseconds, and the network delay varies by as much.
pub const DEADLINE_TOLERANCE: Duration = Duration::from_millis(2);
/// Most unanswered calls kept.
const MAX_KEPT: usize = 4096;

/// Calls that ended without an answer: the first arrival of each by kind and deadline.
#[derive(Clone, Debug, Default)]
pub struct ReturningCallers {
    by_kind: HashMap<KindKey, BTreeMap<Instant, Instant>>,
    count: usize,
}

impl ReturningCallers {
    /// Records a call that ended without an answer.
    ///
    /// `first_arrival` is when the call first arrived, `deadline` until when its caller
    /// waits for an answer.
    pub fn record_unanswered(
        &mut self,
        kind: KindKey,
        first_arrival: Instant,
        deadline: Instant,
        now: Instant,
    ) {
        if self.count >= MAX_KEPT {
            self.remove_expired(now);
        }
        if self.count >= MAX_KEPT || deadline <= now {
            return;
        }
        let replaced = self.by_kind.entry(kind).or_default().insert(deadline, first_arrival);
        self.count += usize::from(replaced.is_none());
    }

    /// Removes the recorded call that an arriving call retries, and returns its first arrival.
    pub fn take_first_arrival(&mut self, kind: KindKey, deadline: Instant) -> Option<Instant> {
        let unanswered = self.by_kind.get_mut(&kind)?;
        let from = deadline.checked_sub(DEADLINE_TOLERANCE)?;
        let nearby = unanswered.range(from..=deadline + DEADLINE_TOLERANCE).map(|(key, _)| *key);
        let distance = |key: &Instant| key.max(&deadline).duration_since(*key.min(&deadline));
        let key = nearby.min_by_key(distance)?;
        self.count -= 1;
        unanswered.remove(&key)
    }

    /// Removes calls whose deadlines have passed.
    fn remove_expired(&mut self, now: Instant) {
        for unanswered in self.by_kind.values_mut() {
            *unanswered = unanswered.split_off(&now);
        }
        self.by_kind.retain(|_, unanswered| !unanswered.is_empty());
        self.count = self.by_kind.values().map(BTreeMap::len).sum();
    }
}
