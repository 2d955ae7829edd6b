//! How often new callers arrive, and the organisations that they belong to.

use super::deployment::{Fault, FaultKind, Organisations, Swing};
use super::world::{KindId, World};
use std::f64::consts::TAU;

/// Index of an organisation; the first one is the largest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrganisationId(pub usize);

impl Organisations {
    /// Returns the share of the callers that belongs to each organisation without faults.
    pub fn shares(&self) -> Vec<f64> {
        let number = self.number.get();
        if number == 1 {
            return vec![1.0];
        }
        let weights: f64 = (2..=number).map(|rank| 1.0 / rank as f64).sum();
        let rest = (1.0 - self.largest_share) / weights;
        (1..=number)
            .map(|rank| if rank == 1 { self.largest_share } else { rest / rank as f64 })
            .collect()
    }
}

impl Swing {
    /// Returns the factor on the callers of a failure domain at a time.
    fn factor(&self, domain: usize, seconds: f64) -> f64 {
        1.0 + self.by * (TAU * (seconds / self.period_s + self.phases[domain])).sin()
    }
}

impl World {
    /// Returns the new callers of a kind in a failure domain per second at this time.
    pub fn arrivals_per_s(&self, kind: KindId, domain: usize) -> f64 {
        let (name, spec) = &self.kinds[kind.0];
        let of_kind = |fault: &&Fault| fault.kind.as_ref().is_none_or(|burst| burst == name);
        let burst: f64 =
            self.active(FaultKind::Burst).filter(of_kind).map(|fault| fault.x).product();
        let swing = self
            .deployment
            .swing
            .as_ref()
            .map_or(1.0, |swing| swing.factor(domain, self.now().as_secs_f64()));
        let organisations =
            if self.organisations.is_empty() { 1.0 } else { self.organisation_weights().sum() };
        spec.per_s * burst * swing * organisations / self.deployment.domains as f64
    }

    /// Draws the organisation of a new caller; `None` in a deployment without organisations.
    pub fn random_organisation(&mut self) -> Option<OrganisationId> {
        let last = self.organisations.len().checked_sub(1)?;
        let total: f64 = self.organisation_weights().sum();
        let mut left = self.rng.f64() * total;
        let drawn = self.organisation_weights().position(|weight| {
            left -= weight;
            left < 0.0
        });
        Some(OrganisationId(drawn.unwrap_or(last)))
    }

    /// Returns the callers of each organisation, as a share of all callers without faults.
    fn organisation_weights(&self) -> impl Iterator<Item = f64> {
        self.organisations.iter().enumerate().map(|(index, share)| {
            let hot = self.active(FaultKind::Hot).filter(|fault| fault.organisation == index);
            share * hot.map(|fault| fault.x).product::<f64>()
        })
    }

    /// Returns the faults of a kind that last at this time.
    fn active(&self, what: FaultKind) -> impl Iterator<Item = &Fault> {
        let faults = self.deployment.trouble.iter().zip(&self.active_faults);
        faults.filter(move |(fault, active)| **active && fault.what == what).map(|(fault, _)| fault)
    }
}
