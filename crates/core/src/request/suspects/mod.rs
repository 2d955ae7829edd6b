//! Quarantine of queries of death: calls that end the upstreams which run them.
//!
//! When an upstream ends, every call in flight at it becomes a suspect. A call is
//! quarantined, which means sent to no upstream for [`QUARANTINE_TIME`], once
//! [`ENDS_TO_QUARANTINE`] upstreams ended while they ran it and no upstream has run it
//! well. Calls are identified across all daemons by their contents, as a [`CallDigest`],
//! since a caller gives each retry a new id and may send it to any host.
//!
//! Failure: each daemon limits attempts by the call's id. Symptom: a query of death comes
//! back as a new call again and again and ends one upstream after the other. Of 64 such
//! calls to four daemons 44 ended an upstream, and 2 with the quarantine (the test
//! `a_request_that_ends_instances_is_not_sent_on_for_ever`).
//!
//! # Harmless calls
//!
//! Nearly all calls in flight at an upstream that ends are harmless. A good run, one that
//! the upstream answered, clears a call of all ends known at that time, and for
//! [`GOOD_RUN_TTL`] the daemon that saw the run vetoes further suspicions of the call. A
//! frequent call is therefore not suspected when many upstreams end while they run it. A
//! harmless call without a good run that was in flight at two ends is found by a
//! comparison with the other calls at the same ends, or by a trial.
//!
//! # Merging
//!
//! A suspicion holds the incarnations of upstreams that ended under the call, and those
//! whose ends no longer count against it (of which it was cleared). Both sets only grow, and
//! merging is their union, so suspicions may arrive in any order and any number of times.
//!
//! # Limits
//!
//! A call that sometimes ends an upstream and sometimes runs well is cleared each time.
//! A call that starts to end upstreams with a new release is not suspected until its last
//! good run is [`GOOD_RUN_TTL`] old.
//! A call of which several attempts begin before the first end is known may end as many
//! upstreams.

mod review;
mod row;

pub use self::review::{Review, SETTLE_TIME, TRIAL_AFTER};
use self::row::{Row, merge_incarnations};
use crate::delivery::tree::mix;
use crate::ids::{CallDigest, IncarnationKey};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Ends of different upstreams after which a call is quarantined. One end may be a
/// coincidence. A verdict after the second, with no good run between, costs a harmless call
/// at most its caller's further tries; waiting for a third would cost the service one more
/// upstream.
pub const ENDS_TO_QUARANTINE: usize = 2;
/// Time after the last end for which a quarantined call is sent to no upstream. A release
/// with a fix takes minutes; without one, each expiry costs another upstream, six an hour.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(600);
/// How long the ends are kept after the quarantine. Within this time a further end
/// quarantines the call at once.
const RETENTION: Duration = Duration::from_secs(3600);
/// Time before its expiry from which on a suspicion is not sent to other daemons, so that
/// daemons whose copies expire at slightly different moments do not restore it in turn.
const GOSSIP_CUTOFF: Duration = Duration::from_secs(5);
/// How long a good run keeps a call from being suspected: several rounds of gossip, and
/// long enough for calls that come every few seconds.
const GOOD_RUN_TTL: Duration = Duration::from_secs(30);
/// Slots for recent good runs, which hold the last half minute of an upstream that gives
/// some thirty answers a second. A call whose slot is overwritten may be suspected.
const GOOD_RUN_SLOTS: usize = 1024;
/// Most calls suspected at once, about 150 KB. Upstreams of ten slots must end a hundred
/// times within an hour to fill it. Calls that are not quarantined are evicted first.
pub const MAX_SUSPECTED: usize = 1024;
/// Ends kept for a call; further ones do not change the verdict.
const MAX_ENDS: usize = 8;

/// State of a call in the quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineState {
    /// No end of an upstream counts against it.
    Clear,
    /// An upstream ended while it ran the call.
    Suspected,
    /// It must be sent to no upstream.
    Quarantined {
        /// Time until the quarantine ends.
        left: Duration,
    },
}

/// A suspicion of one call, as daemons exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// Digest of the call.
    pub call: CallDigest,
    /// Incarnations of upstreams that ended under the call, sorted.
    pub ended: Vec<IncarnationKey>,
    /// Incarnations of whose end the call was cleared, sorted.
    pub cleared: Vec<IncarnationKey>,
    /// Milliseconds until the last end is [`QUARANTINE_TIME`] old.
    pub left_ms: u32,
}

impl Suspicion {
    /// Returns the number of ends of which the call was not cleared.
    pub fn count(&self) -> usize {
        self.ended.iter().filter(|incarnation| !self.cleared.contains(incarnation)).count()
    }
}

/// A call with a good run, and the time of the run.
type GoodRun = Option<(CallDigest, Instant)>;

/// The suspected calls that a daemon knows of.
#[derive(Clone, Debug)]
pub struct Suspects {
    rows: BTreeMap<CallDigest, Row>,
    good_runs: Vec<GoodRun>,
}

impl Default for Suspects {
    fn default() -> Suspects {
        Suspects { rows: BTreeMap::new(), good_runs: vec![None; GOOD_RUN_SLOTS] }
    }
}

impl Suspects {
    /// Records that an upstream ended with these calls in flight; returns the suspicions
    /// that changed.
    pub fn ended(
        &mut self,
        incarnation: IncarnationKey,
        calls: &[CallDigest],
        now: Instant,
    ) -> Vec<Suspicion> {
        let mut changes = Vec::new();
        for call in calls {
            if self.ran_well_lately(*call, now) {
                continue;
            }
            let row = self.row(*call, now);
            if !merge_incarnations(&mut row.ended, &[incarnation]) {
                continue;
            }
            row.until = now + QUARANTINE_TIME;
            row.ends_changed_at = now;
            row.seen_here = true;
            row.unsaved |= row.count() >= ENDS_TO_QUARANTINE;
            changes.push(row.to_suspicion(*call, now));
        }
        changes
    }

    /// Records a good run of a call; returns its suspicion if that changed.
    pub fn ran_well(&mut self, call: CallDigest, now: Instant) -> Option<Suspicion> {
        self.good_runs[good_run_slot(call)] = Some((call, now));
        self.clear(call, now)
    }

    /// Clears a call of all ends known; returns its suspicion if that changed.
    pub fn clear(&mut self, call: CallDigest, now: Instant) -> Option<Suspicion> {
        let row = self.rows.get_mut(&call)?;
        row.clear().then(|| row.to_suspicion(call, now))
    }

    /// Merges suspicions from another daemon; returns those that changed here.
    pub fn merge(&mut self, received: &[Suspicion], now: Instant) -> Vec<Suspicion> {
        received.iter().filter_map(|suspicion| self.merge_one(suspicion, now)).collect()
    }

    fn merge_one(&mut self, received: &Suspicion, now: Instant) -> Option<Suspicion> {
        let left = Duration::from_millis(u64::from(received.left_ms)).min(QUARANTINE_TIME);
        if left.is_zero() {
            return None;
        }
        let has_good_run = self.ran_well_lately(received.call, now);
        let row = self.row(received.call, now);
        let has_new_ends = merge_incarnations(&mut row.ended, &received.ended);
        if has_new_ends {
            row.until = row.until.max(now + left);
            row.ends_changed_at = now;
            row.unsaved |= row.seen_here && row.count() >= ENDS_TO_QUARANTINE;
        }
        let has_new_cleared = merge_incarnations(&mut row.cleared, &received.cleared);
        row.unsaved |= has_new_cleared && row.is_stored;
        let mut has_changed = has_new_cleared || has_new_ends;
        has_changed |= has_good_run && row.clear();
        has_changed.then(|| row.to_suspicion(received.call, now))
    }

    /// Returns the state of a call.
    pub fn state(&self, call: CallDigest, now: Instant) -> QuarantineState {
        let Some(row) = self.rows.get(&call) else { return QuarantineState::Clear };
        match row.count() {
            0 => QuarantineState::Clear,
            _ if row.has_verdict(now) && !self.is_explained(call, row) => {
                QuarantineState::Quarantined { left: row.until.saturating_duration_since(now) }
            }
            _ => QuarantineState::Suspected,
        }
    }

    /// Returns the number of calls with an entry, cleared ones included.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether no call has an entry.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns all suspicions to send to other daemons.
    pub fn all(&self, now: Instant) -> Vec<Suspicion> {
        self.gossiped_rows(now).map(|(call, row)| row.to_suspicion(*call, now)).collect()
    }

    /// Returns a hash that is equal at daemons with equal suspicions.
    pub fn summary(&self, now: Instant) -> u64 {
        let hash = |incarnations: &[IncarnationKey], salt: u64| {
            incarnations.iter().fold(salt, |acc, incarnation| mix(acc ^ incarnation.0))
        };
        self.gossiped_rows(now).fold(0, |acc, (call, row)| {
            acc ^ mix(call.0 ^ hash(&row.ended, 1) ^ hash(&row.cleared, 2).rotate_left(1))
        })
    }

    /// Returns the suspicions that have to be written to the store, so that a quarantine
    /// outlives a restart of all daemons. Only a daemon that saw an upstream end under the
    /// call writes it at first, so that a few daemons write each.
    pub fn unsaved(&self, now: Instant) -> Vec<Suspicion> {
        let is_due = |row: &Row| row.unsaved && (row.has_verdict(now) || row.is_stored);
        let unsaved = self.rows.iter().filter(|(_, row)| is_due(row));
        unsaved.map(|(call, row)| row.to_suspicion(*call, now)).collect()
    }

    /// Records that a suspicion was written to the store.
    pub fn mark_saved(&mut self, stored: &Suspicion) {
        if let Some(row) = self.rows.get_mut(&stored.call) {
            row.is_stored = true;
            row.unsaved = row.ended != stored.ended || row.cleared != stored.cleared;
        }
    }

    /// Records that the store may have lost suspicions; returns how many are to be written
    /// again: those that this daemon wrote and, with `include_all`, every call with a
    /// verdict.
    pub fn mark_lost(&mut self, include_all: bool, now: Instant) -> usize {
        let is_lost = |row: &&mut Row| row.is_stored || (include_all && row.has_verdict(now));
        let lost = self.rows.values_mut().filter(is_lost);
        lost.map(|row| row.unsaved = true).count()
    }

    /// Removes the calls whose retention time is over.
    pub fn sweep(&mut self, now: Instant) {
        self.rows.retain(|_, row| now < row.until + RETENTION);
    }

    fn gossiped_rows(&self, now: Instant) -> impl Iterator<Item = (&CallDigest, &Row)> {
        self.rows.iter().filter(move |(_, row)| now + GOSSIP_CUTOFF < row.until)
    }

    fn ran_well_lately(&self, call: CallDigest, now: Instant) -> bool {
        let good_run = self.good_runs[good_run_slot(call)].filter(|(good, _)| *good == call);
        good_run.is_some_and(|(_, at)| now.saturating_duration_since(at) < GOOD_RUN_TTL)
    }

    /// Returns the row of a call. A new row evicts another one where the table is full.
    fn row(&mut self, call: CallDigest, now: Instant) -> &mut Row {
        if self.rows.len() >= MAX_SUSPECTED && !self.rows.contains_key(&call) {
            let evicted = self.rows.iter().min_by_key(|(_, row)| (row.has_verdict(now), row.until));
            if let Some(evicted) = evicted.map(|(call, _)| *call) {
                self.rows.remove(&evicted);
            }
        }
        self.rows.entry(call).or_insert_with(|| Row::new(now))
    }
}

fn good_run_slot(call: CallDigest) -> usize {
    call.0 as usize % GOOD_RUN_SLOTS
}
