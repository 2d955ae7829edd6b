//! Which daemons a keeper counts as live.
//!
//! The membership table decides, but for daemons that report their usage to this keeper: such a
//! daemon lives and has this keeper, although the table may have it for dead. That happens where
//! it does not receive the probes, and after a split, until the table learns that it is alive.

use super::part::SETTLE_TIME;
use super::reporters::Membership;
use crate::ids::{HostKey, Incarnation};
use crate::membership::detector::SUSPICION_TIMEOUT;
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// Time after a usage report for which its daemon counts as live: one that was heard while it was
/// suspected has not ended.
const HEARD_FOR: Duration = SUSPICION_TIMEOUT;

/// What a keeper knows of the daemons of the mesh.
#[derive(Clone, Debug, Default)]
pub struct Presence {
    /// Incarnation, and whether it counts as live, by host.
    members: HashMap<HostKey, (Incarnation, bool)>,
    /// Daemons that had another incarnation before the last update.
    restarted: HashSet<HostKey>,
    /// When daemons were found that did not count as live before.
    found: HashMap<HostKey, Instant>,
    /// When daemons last reported usage.
    heard: HashMap<HostKey, Instant>,
}

impl Presence {
    /// Takes over the membership table: incarnation, and whether it is live, by host.
    pub fn update(&mut self, table: HashMap<HostKey, (Incarnation, bool)>, now: Instant) {
        let before = std::mem::replace(&mut self.members, table);
        self.heard.retain(|_, at| now.saturating_duration_since(*at) < HEARD_FOR);
        self.restarted.clear();
        for (host, (life, is_live)) in &mut self.members {
            let last = before.get(host);
            if last.is_some_and(|(last, _)| last != life) {
                self.restarted.insert(*host);
            }
            *is_live |= self.heard.contains_key(host);
            if *is_live && !last.is_some_and(|(_, was_live)| *was_live) {
                self.found.insert(*host, now);
            }
        }
        self.found.retain(|_, since| now.saturating_duration_since(*since) < SETTLE_TIME);
    }

    /// Records that a daemon reported usage.
    ///
    /// Failure: a daemon comes back after a split, and the keeper answers it before the table has
    /// it for live again. Symptom: the daemon brings the small share of that answer instead of what
    /// it had, and far less than the limit is served until the membership has settled.
    pub fn note_report(&mut self, from: HostKey, now: Instant) {
        self.heard.insert(from, now);
        if let Some((_, is_live @ false)) = self.members.get_mut(&from) {
            *is_live = true;
            self.found.insert(from, now);
        }
    }

    /// Returns whether a daemon was found lately, and brings what it had.
    pub fn has_returned(&self, host: HostKey) -> bool {
        self.found.contains_key(&host)
    }

    /// Returns how many of the daemons that the table has for dead report usage.
    pub fn count_heard(&self, dead: &[HostKey], now: Instant) -> usize {
        let is_heard = |host: &&HostKey| {
            let at = self.heard.get(host);
            at.is_some_and(|at| now.saturating_duration_since(*at) < HEARD_FOR)
        };
        dead.iter().filter(is_heard).count()
    }

    /// Returns what became of a daemon.
    pub fn membership(&self, host: HostKey) -> Membership {
        match self.members.get(&host) {
            Some(_) if self.restarted.contains(&host) => Membership::Ended,
            Some((_, true)) => Membership::Live,
            Some((_, false)) => Membership::Dead,
            None => Membership::Ended,
        }
    }
}
