//! What the upstreams of a service answered, counted by the daemon beside each of them.

use crate::ids::{HostKey, Revision};
use crate::request::gate::KindKey;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Buckets of the latency histogram. Two buckets double the time, so that the last one holds
/// answers that took over 16 s.
pub const LATENCY_BUCKETS: usize = 24;
/// Upper end of the first bucket.
const FIRST_BUCKET: Duration = Duration::from_millis(8);
/// Kinds of calls that are counted separately at one upstream; further kinds are counted
/// together with the last of them.
pub const MAX_KINDS: usize = 16;

/// Outcomes of the calls of one kind at one upstream, since counting began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Calls that the upstream failed: it answered with an error of its own, or the answer
    /// was incomplete or missing.
    pub failures: u32,
    /// Answered calls by the time that the answer took, in buckets.
    pub times: [u32; LATENCY_BUCKETS],
}

impl Tally {
    /// Counts an answered call.
    pub fn record_answer(&mut self, took: Duration) {
        self.times[bucket_of(took)] += 1;
    }

    /// Returns the number of counted calls, failed ones included.
    pub fn total(&self) -> u32 {
        self.failures + self.times.iter().sum::<u32>()
    }

    /// Returns what was counted since an earlier state of the same tally.
    pub fn since(&self, earlier: &Tally) -> Tally {
        let times = std::array::from_fn(|i| self.times[i].saturating_sub(earlier.times[i]));
        Tally { failures: self.failures.saturating_sub(earlier.failures), times }
    }

    /// Adds the counts of another tally.
    pub fn add(&mut self, other: &Tally) {
        self.failures += other.failures;
        self.times.iter_mut().zip(other.times).for_each(|(own, other)| *own += other);
    }
}

fn bucket_of(took: Duration) -> usize {
    let doublings = (took.as_secs_f64() / FIRST_BUCKET.as_secs_f64()).log2();
    let buckets = (2.0 * doublings).ceil();
    (buckets.max(0.0) as usize).min(LATENCY_BUCKETS - 1)
}

/// Tallies of one upstream by kind of call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kinds(pub Vec<(KindKey, Tally)>);

impl Kinds {
    /// Returns the tally of a kind, which is added if there is room (see [`MAX_KINDS`]).
    pub fn tally_mut(&mut self, kind: KindKey) -> &mut Tally {
        let position = self.0.iter().position(|(counted, _)| *counted == kind);
        let at = position.unwrap_or_else(|| {
            if self.0.len() < MAX_KINDS {
                self.0.push((kind, Tally::default()));
            }
            self.0.len() - 1
        });
        &mut self.0[at].1
    }

    /// Returns what was counted since an earlier state of the same tallies.
    pub fn since(&self, earlier: &Kinds) -> Kinds {
        let before = |kind: KindKey| earlier.0.iter().find(|(counted, _)| *counted == kind);
        let rows = self.0.iter().map(|(kind, tally)| {
            (*kind, before(*kind).map_or(*tally, |(_, earlier)| tally.since(earlier)))
        });
        Kinds(rows.collect())
    }

    /// Returns the number of counted calls of all kinds.
    pub fn total(&self) -> u32 {
        self.0.iter().map(|(_, tally)| tally.total()).sum()
    }
}

/// What a daemon reports about one upstream on its host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamReport {
    /// The upstream's name in the mesh.
    pub upstream: String,
    /// Whether it runs the new version.
    pub is_new: bool,
    /// Calls that it runs at once.
    pub slots: u16,
    /// Whether it takes calls and its slow start is over.
    pub is_warm: bool,
    /// Calls sent to it in the report's epoch.
    pub sent: u32,
    /// Calls that it runs or that are queued for it.
    pub in_flight: u32,
    /// Whether its daemon sends it no further calls, whatever stage the daemon receives next.
    pub is_closed: bool,
    /// What it answered.
    pub kinds: Kinds,
}

/// What a daemon reports to the decider.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Host of the reporting daemon.
    pub host: HostKey,
    /// The service.
    pub service: String,
    /// Position of the order in the store.
    pub order: Revision,
    /// Epoch of the decider for which the daemon counts sent calls.
    pub epoch: u32,
    /// The service's upstreams on the host.
    pub upstreams: Vec<UpstreamReport>,
}

/// The decider's answer to a report: how many calls each canary may be sent in total in the
/// decider's epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quotas(pub Vec<(String, u32)>);
