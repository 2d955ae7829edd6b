//! Counts how the callers of a run ended, by kind, failure domain and second of arrival.

use super::caller::{Caller, End};
use super::deployment::{Deployment, Kind, Service};
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

/// Runs of the upstreams of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Runs {
    pub runs: u64,
    /// Runs that failed because a nested call of theirs was refused.
    pub lost_to_refused_calls: u64,
    /// Runs that failed because a nested call of theirs got no answer, or a failure.
    pub lost_to_failed_calls: u64,
}

impl Runs {
    fn merge(&mut self, other: &Runs) {
        self.runs += other.runs;
        self.lost_to_refused_calls += other.lost_to_refused_calls;
        self.lost_to_failed_calls += other.lost_to_failed_calls;
    }

    fn to_json(self) -> Value {
        json!({
            "runs": self.runs,
            "lost_to_refused_calls": self.lost_to_refused_calls,
            "lost_to_failed_calls": self.lost_to_failed_calls,
        })
    }
}

/// Everything counted in one run, or in several.
#[derive(Clone, Debug)]
pub struct Tally {
    kind_names: Vec<String>,
    service_names: Vec<String>,
    pub by_kind: Vec<Counts>,
    pub by_domain: Vec<Counts>,
    pub by_second: Vec<Counts>,
    pub by_organisation: Vec<Counts>,
    pub by_service: Vec<Runs>,
    pub all: Counts,
    /// Callers that reached an upstream after more than half of their objective.
    reached_late: u64,
    /// Callers that reached no upstream.
    not_reached: u64,
    /// Runs that were cancelled, or that failed because a nested call did.
    pub wasted_runs: u64,
    latencies: Vec<Histogram<u64>>,
}

impl Tally {
    /// Creates an empty tally.
    pub fn new(
        kinds: &[(String, Kind)],
        services: &[(String, Service)],
        deployment: &Deployment,
    ) -> Tally {
        let organisations = deployment.organisations.as_ref().map_or(0, |all| all.number.get());
        let histogram = || Histogram::new_with_max(MAX_LATENCY_MS, 3).expect("bounds are valid");
        Tally {
            kind_names: kinds.iter().map(|(name, _)| name.clone()).collect(),
            by_kind: vec![Counts::default(); kinds.len()],
            service_names: services.iter().map(|(name, _)| name.clone()).collect(),
            by_domain: vec![Counts::default(); deployment.domains],
            by_second: vec![Counts::default(); deployment.seconds.ceil() as usize],
            by_organisation: vec![Counts::default(); organisations],
            by_service: vec![Runs::default(); services.len()],
            reached_late: 0,
            not_reached: 0,
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
        let of_organisation = caller.organisation.map(|own| &mut self.by_organisation[own.0]);
        for counts in counts.into_iter().chain(of_organisation) {
            counts.add(caller, spec, end, in_time);
        }
        self.add_reached(caller, spec);
        if end == End::Served {
            self.latencies[caller.kind.0].saturating_record(latency.as_millis() as u64);
        }
    }

    fn add_reached(&mut self, caller: &Caller, spec: &Kind) {
        match caller.reached_at.map(|at| at.saturating_sub(caller.arrived_at)) {
            None => self.not_reached += 1,
            Some(after) if after.as_secs_f64() * 2e3 > spec.objective_ms => self.reached_late += 1,
            Some(_) => {}
        }
    }

    /// Returns the share that the worst tenth of the organisations earned together; `None`
    /// without organisations.
    pub fn worst_organisations(&self) -> Option<f64> {
        let asked = self.by_organisation.iter().filter(|counts| counts.possible > 0.0);
        let mut organisations: Vec<&Counts> = asked.collect();
        organisations.sort_by(|a, b| a.share().total_cmp(&b.share()));
        organisations.truncate(organisations.len().div_ceil(10));
        let mut worst = Counts::default();
        organisations.iter().for_each(|counts| worst.merge(counts));
        (!organisations.is_empty()).then(|| worst.share())
    }

    /// Adds the counts of another run.
    pub fn merge(&mut self, other: &Tally) {
        let pairs = [
            (&mut self.by_kind, &other.by_kind),
            (&mut self.by_domain, &other.by_domain),
            (&mut self.by_second, &other.by_second),
            (&mut self.by_organisation, &other.by_organisation),
        ];
        for (own, others) in pairs {
            own.iter_mut().zip(others).for_each(|(own, other)| own.merge(other));
        }
        self.all.merge(&other.all);
        for (own, other) in self.by_service.iter_mut().zip(&other.by_service) {
            own.merge(other);
        }
        self.wasted_runs += other.wasted_runs;
        self.reached_late += other.reached_late;
        self.not_reached += other.not_reached;
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
        let services: serde_json::Map<String, Value> = self
            .service_names
            .iter()
            .zip(&self.by_service)
            .map(|(name, runs)| (name.clone(), runs.to_json()))
            .collect();
        let shares = |counts: &[Counts]| -> Vec<f64> {
            counts.iter().map(|counts| crate::stats::round(counts.share())).collect()
        };
        json!({
            "all": self.all.to_json(),
            "kinds": kinds,
            "domains": shares(&self.by_domain),
            "seconds": shares(&self.by_second),
            "organisations": shares(&self.by_organisation),
            "services": services,
            "wasted_runs": self.wasted_runs,
            "reached_late": self.reached_late,
            "not_reached": self.not_reached,
        })
    }
}
