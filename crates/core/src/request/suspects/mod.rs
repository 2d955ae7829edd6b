//! Calls that end the upstreams which run them.
//!
//! When an upstream ends, every call at it is suspected. A call under which
//! [`ENDS_TO_QUARANTINE`] upstreams ended, and which none has run well, is quarantined: it
//! is sent to no upstream for [`QUARANTINE_TIME`]. What counts is the contents of a call, by
//! its [`CallDigest`], over all daemons: its caller gives it a new id with each try and
//! may bring it to any host.
//!
//! Failure: each daemon limits what it sends by the call's id. Symptom: a call that
//! ends upstreams comes again and again as a new one, and ends the fleet: of 64 such
//! calls to four daemons 44 ended an upstream, and with this 2 (the test
//! `a_request_that_ends_instances_is_not_sent_on_for_ever`).
//!
//! # Who is innocent
//!
//! Nearly all calls at an upstream that ends are. What speaks for a call is a run that
//! ended well: it clears the call of all ends known then, and for [`GOOD_FOR`] a daemon
//! that saw one vetoes further suspicion. So a popular call keeps its name clean when
//! many upstreams end beside it. One without a good run that had the bad luck of two ends
//! is found by comparing it with the others at the same ends, or by a trial.
//!
//! # Merging
//!
//! A suspicion holds the starts of upstreams that ended under the call, and those of
//! which it was cleared; both only grow, and merging is their union. So the order in which
//! news arrive, and how often, is of no matter.
//!
//! # Limits
//!
//! A call that sometimes ends an upstream and sometimes runs well is cleared each time.
//! One that ran well until a release is not named for [`GOOD_FOR`].
//! A call of which several tries are begun before the first end is known may end as many
//! upstreams.

mod review;
mod row;

pub use self::review::{Review, SETTLE_TIME, TRIAL_AFTER};
use self::row::{Row, unite};
use crate::delivery::tree::mix;
use crate::ids::{CallDigest, IncarnationKey};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Ends of different upstreams after which a call is quarantined. One may be chance; a
/// second, with no good run between, costs an innocent call at most its caller's further
/// tries, and a third would cost a service one more upstream.
pub const ENDS_TO_QUARANTINE: usize = 2;
/// How long a call is sent to nobody after the last end. A new release takes minutes to
/// cure it, and one more upstream ends if it has not: six an hour.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(600);
/// How long an end is remembered after that: the next one quarantines the call at once.
const REMEMBERED: Duration = Duration::from_secs(3600);
/// Time before its end from which on a suspicion is not told any more, so that daemons
/// that forget it at slightly different moments do not remind each other.
const UNTOLD: Duration = Duration::from_secs(5);
/// How long a run that ended well speaks for a call: some rounds of gossip, and long
/// enough for calls that come every few seconds.
const GOOD_FOR: Duration = Duration::from_secs(30);
/// Places for calls that ran well lately: at some thirty answers a second of one upstream
/// the last half minute. A call that is pushed out may be suspected.
const GOOD_KEPT: usize = 1024;
/// Most calls suspected at once, about 150 KB. To fill it upstreams of ten slots must end
/// a hundred times within an hour; those not yet quarantined go first.
pub const MAX_SUSPECTED: usize = 1024;
/// Ends kept of a call; more tell nothing new.
const ENDS_KEPT: usize = 8;

/// What a daemon knows against a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineState {
    /// Nothing.
    Clear,
    /// An upstream ended under it.
    Suspected,
    /// It is to be sent to no upstream.
    Quarantined {
        /// For how long.
        left: Duration,
    },
}

/// What daemons tell each other of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// The call.
    pub call: CallDigest,
    /// Starts of upstreams that ended under it, in order.
    pub ended: Vec<IncarnationKey>,
    /// Those that do not speak against it any more, in order.
    pub cleared: Vec<IncarnationKey>,
    /// Milliseconds until the last end is old enough.
    pub left_ms: u32,
}

impl Suspicion {
    /// Returns how many ends speak against the call.
    pub fn count(&self) -> usize {
        self.ended.iter().filter(|start| !self.cleared.contains(start)).count()
    }
}

/// A call that ran well, and when.
type Good = Option<(CallDigest, Instant)>;

/// All calls that a daemon knows something against.
#[derive(Clone, Debug)]
pub struct Suspects {
    rows: BTreeMap<CallDigest, Row>,
    good: Vec<Good>,
}

impl Default for Suspects {
    fn default() -> Suspects {
        Suspects { rows: BTreeMap::new(), good: vec![None; GOOD_KEPT] }
    }
}

impl Suspects {
    /// Takes in that an upstream ended with these calls at it; returns what is news.
    pub fn ended(
        &mut self,
        start: IncarnationKey,
        calls: &[CallDigest],
        now: Instant,
    ) -> Vec<Suspicion> {
        let mut news = Vec::new();
        for call in calls {
            if self.ran_well_lately(*call, now) {
                continue;
            }
            let row = self.row(*call, now);
            if !unite(&mut row.ended, &[start]) {
                continue;
            }
            row.until = now + QUARANTINE_TIME;
            row.grown_at = now;
            row.seen_here = true;
            row.unsaved |= row.count() >= ENDS_TO_QUARANTINE;
            news.push(row.told(*call, now));
        }
        news
    }

    /// Takes in that an upstream ran a call and answered; returns what is news.
    pub fn ran_well(&mut self, call: CallDigest, now: Instant) -> Option<Suspicion> {
        self.good[place(call)] = Some((call, now));
        self.clear(call, now)
    }

    /// Takes the suspicion from a call; returns what is news.
    pub fn clear(&mut self, call: CallDigest, now: Instant) -> Option<Suspicion> {
        let row = self.rows.get_mut(&call)?;
        row.clear().then(|| row.told(call, now))
    }

    /// Takes in what another daemon told; returns what is news here.
    pub fn merge(&mut self, told: &[Suspicion], now: Instant) -> Vec<Suspicion> {
        told.iter().filter_map(|suspicion| self.merge_one(suspicion, now)).collect()
    }

    fn merge_one(&mut self, told: &Suspicion, now: Instant) -> Option<Suspicion> {
        let left = Duration::from_millis(u64::from(told.left_ms)).min(QUARANTINE_TIME);
        if left.is_zero() {
            return None;
        }
        let is_good = self.ran_well_lately(told.call, now);
        let row = self.row(told.call, now);
        let has_ended = unite(&mut row.ended, &told.ended);
        if has_ended {
            row.until = row.until.max(now + left);
            row.grown_at = now;
            row.unsaved |= row.seen_here && row.count() >= ENDS_TO_QUARANTINE;
        }
        let is_cleared = unite(&mut row.cleared, &told.cleared);
        row.unsaved |= is_cleared && row.is_kept;
        let mut is_news = is_cleared || has_ended;
        is_news |= is_good && row.clear();
        is_news.then(|| row.told(told.call, now))
    }

    /// Returns what is known against a call.
    pub fn state(&self, call: CallDigest, now: Instant) -> QuarantineState {
        let Some(row) = self.rows.get(&call) else { return QuarantineState::Clear };
        match row.count() {
            0 => QuarantineState::Clear,
            _ if row.is_judged(now) && !self.is_explained(call, row) => {
                QuarantineState::Quarantined { left: row.until.saturating_duration_since(now) }
            }
            _ => QuarantineState::Suspected,
        }
    }

    /// Returns how many calls are known.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether nothing is known against any call.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns all that is to be told.
    pub fn all(&self, now: Instant) -> Vec<Suspicion> {
        self.told_rows(now).map(|(call, row)| row.told(*call, now)).collect()
    }

    /// Returns a number that is the same for daemons that know the same.
    pub fn summary(&self, now: Instant) -> u64 {
        let starts = |starts: &[IncarnationKey], salt: u64| {
            starts.iter().fold(salt, |acc, start| mix(acc ^ start.0))
        };
        self.told_rows(now).fold(0, |acc, (call, row)| {
            acc ^ mix(call.0 ^ starts(&row.ended, 1) ^ starts(&row.cleared, 2).rotate_left(1))
        })
    }

    /// Returns the quarantined calls that must outlive all daemons and are not kept as
    /// they are now: those that this daemon saw an upstream end under, so that a few
    /// daemons keep each.
    pub fn unsaved(&self, now: Instant) -> Vec<Suspicion> {
        let is_due = |row: &Row| row.unsaved && (row.is_judged(now) || row.is_kept);
        let unsaved = self.rows.iter().filter(|(_, row)| is_due(row));
        unsaved.map(|(call, row)| row.told(*call, now)).collect()
    }

    /// Takes in that a quarantined call is kept.
    pub fn mark_saved(&mut self, kept: &Suspicion) {
        if let Some(row) = self.rows.get_mut(&kept.call) {
            row.is_kept = true;
            row.unsaved = row.ended != kept.ended || row.cleared != kept.cleared;
        }
    }

    /// Takes in that what was kept may be gone; returns how much is to be kept again: what
    /// this daemon kept, or `all` that it knows.
    pub fn mark_lost(&mut self, all: bool, now: Instant) -> usize {
        let is_lost = |row: &&mut Row| row.is_kept || (all && row.is_judged(now));
        let lost = self.rows.values_mut().filter(is_lost);
        lost.map(|row| row.unsaved = true).count()
    }

    /// Forgets what is old.
    pub fn sweep(&mut self, now: Instant) {
        self.rows.retain(|_, row| now < row.until + REMEMBERED);
    }

    fn told_rows(&self, now: Instant) -> impl Iterator<Item = (&CallDigest, &Row)> {
        self.rows.iter().filter(move |(_, row)| now + UNTOLD < row.until)
    }

    fn ran_well_lately(&self, call: CallDigest, now: Instant) -> bool {
        let good = self.good[place(call)].filter(|(good, _)| *good == call);
        good.is_some_and(|(_, at)| now.saturating_duration_since(at) < GOOD_FOR)
    }

    /// Returns a call's row, in place of one that matters less where there are too many.
    fn row(&mut self, call: CallDigest, now: Instant) -> &mut Row {
        if self.rows.len() >= MAX_SUSPECTED && !self.rows.contains_key(&call) {
            let least = self.rows.iter().min_by_key(|(_, row)| (row.is_judged(now), row.until));
            if let Some(least) = least.map(|(call, _)| *call) {
                self.rows.remove(&least);
            }
        }
        self.rows.entry(call).or_insert_with(|| Row::new(now))
    }
}

fn place(call: CallDigest) -> usize {
    call.0 as usize % GOOD_KEPT
}
