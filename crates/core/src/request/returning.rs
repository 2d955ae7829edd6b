//! Which calls come from callers that were refused before.
//!
//! A caller that comes back after a refusal has a new id and less time left than one
//! that has just come. What stays the same is the moment until which it waits: a call
//! that asks for the time up to the very moment at which a refused one would have
//! ended is from the same caller.
//!
//! Load pattern: more calls than slots for seconds. Of those refused most come back,
//! and without this each counts as fresh: it waits for a slot within an objective
//! that has passed already, and its late answer takes the place of one in time.
//!
//! # Limits
//!
//! Two callers whose moments lie within [`DEADLINE_TOLERANCE`] of each other are taken for
//! one another. With twelve calls of a kind refused and not yet back, one in twenty
//! fresh ones is, and counts as older than it is. Callers that come back to another
//! daemon count as fresh.

use super::gate::KindKey;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// How far apart the ends of two attempts of one caller may lie: both are told in
/// whole milliseconds, and a way to us varies by as much.
pub const DEADLINE_TOLERANCE: Duration = Duration::from_millis(2);
/// Most refused calls remembered.
const KEPT: usize = 4096;

/// Calls that ended without an answer, by kind and the moment until which their
/// callers wait.
#[derive(Clone, Debug, Default)]
pub struct ReturningCallers {
    by_kind: HashMap<KindKey, BTreeMap<Instant, Instant>>,
    count: usize,
}

impl ReturningCallers {
    /// Takes in that a call was given no answer; `since` is when its caller first came,
    /// `until` how long it waits.
    pub fn record_unanswered(
        &mut self,
        kind: KindKey,
        since: Instant,
        until: Instant,
        now: Instant,
    ) {
        if self.count >= KEPT {
            self.forget(now);
        }
        if self.count >= KEPT || until <= now {
            return;
        }
        let replaced = self.by_kind.entry(kind).or_default().insert(until, since);
        self.count += usize::from(replaced.is_none());
    }

    /// Returns when the caller of a call first came, if it was sent away before; each
    /// is found once.
    pub fn take_first_arrival(&mut self, kind: KindKey, until: Instant) -> Option<Instant> {
        let sent_away = self.by_kind.get_mut(&kind)?;
        let from = until.checked_sub(DEADLINE_TOLERANCE)?;
        let nearby = sent_away.range(from..=until + DEADLINE_TOLERANCE).map(|(key, _)| *key);
        let distance = |key: &Instant| key.max(&until).duration_since(*key.min(&until));
        let key = nearby.min_by_key(distance)?;
        self.count -= 1;
        sent_away.remove(&key)
    }

    /// Forgets callers whose time is over.
    fn forget(&mut self, now: Instant) {
        for sent_away in self.by_kind.values_mut() {
            *sent_away = sent_away.split_off(&now);
        }
        self.by_kind.retain(|_, sent_away| !sent_away.is_empty());
        self.count = self.by_kind.values().map(BTreeMap::len).sum();
    }
}
