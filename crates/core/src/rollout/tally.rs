//! What the upstreams of a service answered, counted beside each of them.

use crate::ids::{HostKey, Revision};
use crate::request::gate::KindKey;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Classes of times; two of them double the time, so that the last is over 16 s.
pub const CLASSES: usize = 24;
/// Upper end of the first class.
const FIRST_CLASS: Duration = Duration::from_millis(8);
/// Kinds of calls counted apart at one upstream; further ones are counted as one.
pub const KINDS_KEPT: usize = 16;

/// Answers of one upstream to one kind of call, since counting began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Calls that it failed: an error of its own, or no whole answer.
    pub failures: u32,
    /// Calls that it answered, by the time that it took.
    pub times: [u32; CLASSES],
}

impl Tally {
    /// Counts an answer.
    pub fn record_answer(&mut self, took: Duration) {
        self.times[class_of(took)] += 1;
    }

    /// Returns how many calls are counted.
    pub fn total(&self) -> u32 {
        self.failures + self.times.iter().sum::<u32>()
    }

    /// Returns what was counted since an earlier state of the same count.
    pub fn since(&self, earlier: &Tally) -> Tally {
        let times = std::array::from_fn(|i| self.times[i].saturating_sub(earlier.times[i]));
        Tally { failures: self.failures.saturating_sub(earlier.failures), times }
    }

    /// Adds another count.
    pub fn add(&mut self, other: &Tally) {
        self.failures += other.failures;
        self.times.iter_mut().zip(other.times).for_each(|(own, other)| *own += other);
    }
}

fn class_of(took: Duration) -> usize {
    let doublings = (took.as_secs_f64() / FIRST_CLASS.as_secs_f64()).log2();
    let classes = (2.0 * doublings).ceil();
    (classes.max(0.0) as usize).min(CLASSES - 1)
}

/// Counts of one upstream by kind of call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kinds(pub Vec<(KindKey, Tally)>);

impl Kinds {
    /// Returns the count of a kind.
    pub fn tally_mut(&mut self, kind: KindKey) -> &mut Tally {
        let known = self.0.iter().position(|(known, _)| *known == kind);
        let at = known.unwrap_or_else(|| {
            if self.0.len() < KINDS_KEPT {
                self.0.push((kind, Tally::default()));
            }
            self.0.len() - 1
        });
        &mut self.0[at].1
    }

    /// Returns what was counted since an earlier state of the same counts.
    pub fn since(&self, earlier: &Kinds) -> Kinds {
        let before = |kind: KindKey| earlier.0.iter().find(|(known, _)| *known == kind);
        let rows = self.0.iter().map(|(kind, tally)| {
            (*kind, before(*kind).map_or(*tally, |(_, earlier)| tally.since(earlier)))
        });
        Kinds(rows.collect())
    }

    /// Returns how many calls are counted.
    pub fn total(&self) -> u32 {
        self.0.iter().map(|(_, tally)| tally.total()).sum()
    }
}

/// What a daemon tells of one upstream beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamReport {
    /// Its name in the mesh.
    pub upstream: String,
    /// Whether it is of the new version.
    pub is_new: bool,
    /// Calls that it runs at once.
    pub slots: u16,
    /// Whether it takes work and is no longer slow after its start.
    pub is_warm: bool,
    /// Calls sent to it since the daemon began to count for the present decider.
    pub sent: u32,
    /// Calls at work there or waiting for it.
    pub in_flight: u32,
    /// Whether it is sent nothing more, whatever its daemon hears next.
    pub is_closed: bool,
    /// What it answered.
    pub kinds: Kinds,
}

/// What a daemon tells the one that decides.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Who tells.
    pub host: HostKey,
    /// The service.
    pub service: String,
    /// Position of the order in the store.
    pub order: Revision,
    /// Step at which the decider that is told began.
    pub epoch: u32,
    /// The upstreams beside it.
    pub upstreams: Vec<UpstreamReport>,
}

/// What the decider answers: how many calls each canary may be sent since counting began.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quotas(pub Vec<(String, u32)>);
