//! Counts how the callers of a run ended, by kind, failure domain and second of arrival.

use super::caller::{Caller, End};
use super::deployment::Kind;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::time::Duration;

/// Largest latency in the histograms, in milliseconds; longer ones are recorded as this one.
const MAX_LATENCY_MS: u64 = 60_000;

/// Counts of callers by how they ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub in_time: u64,
    pub late: u64,
    pub refused: u64,
    pub failed: u64,
    pub left: u64,
    /// Total worth of the answers.
    pub earned: f64,
    /// Worth if all callers that did not disconnect had been answered in time.
    pub possible: f64,
}

impl Counts {
    fn add(&mut self, caller: &Caller, spec: &Kind, end: End, in_time: bool) {
        let worth = if end == End::Left { 0.0 } else { spec.worth };
        self.possible += worth;
        match (end, in_time) {
            (End::Served, true) => {
                self.in_time += 1;
                self.earned += spec.worth;
            }
            (End::Served, false) => {
                self.late += 1;
                self.earned += spec.late_worth;
            }
            (End::Refused(_), _) => self.refused += 1,
            (End::Failed, _) if caller.refused => self.refused += 1,
            (End::Failed, _) => self.failed += 1,
            (End::Left, _) => self.left += 1,
        }
    }

    fn merge(&mut self, other: &Counts) {
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.failed += other.failed;
        self.left += other.left;
        self.earned += other.earned;
        self.possible += other.possible;
    }

    /// Returns the share of the possible worth that was earned.
    pub fn share(&self) -> f64 {
        if self.possible > 0.0 { self.earned / self.possible } else { 1.0 }
    }

    fn to_json(self) -> Value {
        json!({
            "share": crate::stats::round(self.share()),
            "in_time": self.in_time, "late": self.late, "refused": self.refused,
            "failed": self.failed, "left": self.left,
        })
    }
}

/// Everything counted in one run, or in several.
#[derive(Clone, Debug)]
pub struct Tally {
    kind_names: Vec<String>,
    pub by_kind: Vec<Counts>,
    pub by_domain: Vec<Counts>,
    pub by_second: Vec<Counts>,
    pub all: Counts,
    /// Runs that were cancelled, or that failed because a nested call did.
    pub wasted_runs: u64,
    latencies: Vec<Histogram<u64>>,
}

impl Tally {
    /// Creates an empty tally.
    pub fn new(kinds: &[(String, Kind)], domains: usize, seconds: f64) -> Tally {
        let histogram = || Histogram::new_with_max(MAX_LATENCY_MS, 3).expect("bounds are valid");
        Tally {
            kind_names: kinds.iter().map(|(name, _)| name.clone()).collect(),
            by_kind: vec![Counts::default(); kinds.len()],
            by_domain: vec![Counts::default(); domains],
            by_second: vec![Counts::default(); seconds.ceil() as usize],
            all: Counts::default(),
            wasted_runs: 0,
            latencies: kinds.iter().map(|_| histogram()).collect(),
        }
    }

    /// Records how a caller ended and, if it was served, its latency.
    pub fn add(&mut self, caller: &Caller, spec: &Kind, end: End, latency: Duration) {
        let in_time = latency.as_secs_f64() * 1e3 <= spec.objective_ms;
        let second = (caller.arrived_at.as_secs() as usize).min(self.by_second.len() - 1);
        let counts = [
            &mut self.all,
            &mut self.by_kind[caller.kind.0],
            &mut self.by_domain[caller.domain],
            &mut self.by_second[second],
        ];
        for counts in counts {
            counts.add(caller, spec, end, in_time);
        }
        if end == End::Served {
            self.latencies[caller.kind.0].saturating_record(latency.as_millis() as u64);
        }
    }

    /// Adds the counts of another run.
    pub fn merge(&mut self, other: &Tally) {
        let pairs = [
            (&mut self.by_kind, &other.by_kind),
            (&mut self.by_domain, &other.by_domain),
            (&mut self.by_second, &other.by_second),
        ];
        for (own, others) in pairs {
            own.iter_mut().zip(others).for_each(|(own, other)| own.merge(other));
        }
        self.all.merge(&other.all);
        self.wasted_runs += other.wasted_runs;
        for (own, other) in self.latencies.iter_mut().zip(&other.latencies) {
            own.add(other).expect("all histograms have the same bounds");
        }
    }

    /// Returns the counts for the summary.
    pub fn to_json(&self) -> Value {
        let kinds: serde_json::Map<String, Value> = (0..self.kind_names.len())
            .filter(|kind| self.by_kind[*kind].possible > 0.0)
            .map(|kind| {
                let mut counts = self.by_kind[kind].to_json();
                counts["p50_ms"] = self.latencies[kind].value_at_quantile(0.5).into();
                counts["p99_ms"] = self.latencies[kind].value_at_quantile(0.99).into();
                (self.kind_names[kind].clone(), counts)
            })
            .collect();
        let shares = |counts: &[Counts]| -> Vec<f64> {
            counts.iter().map(|counts| crate::stats::round(counts.share())).collect()
        };
        json!({
            "all": self.all.to_json(),
            "kinds": kinds,
            "domains": shares(&self.by_domain),
            "seconds": shares(&self.by_second),
            "wasted_runs": self.wasted_runs,
        })
    }
}
