//! Counts and limits of the calls to the upstreams of this host during a rollout.

use super::Rollouts;
use crate::daemon::gates::local::LocalUpstream;
use crate::daemon::{Daemon, lock};
use cicadashift_core::ids::Revision;
use cicadashift_core::membership::record::Readiness;
use cicadashift_core::request::MIN_RETRY_AFTER;
use cicadashift_core::request::gate::{KindKey, Refusal};
use cicadashift_core::rollout::Lane;
use cicadashift_core::rollout::tally::{Kinds, Quotas};
use std::collections::HashMap;
use std::time::Duration;

/// Counts by the upstream's name in the mesh.
pub type CountsByUpstream = HashMap<String, CallCounts>;

/// The calls that one upstream was sent and answered since its rollout was ordered.
#[derive(Clone, Debug, Default)]
pub struct CallCounts {
    /// Position of the order that the counts belong to.
    order: Revision,
    /// Epoch of the decider that `sent` and `quota` belong to.
    pub epoch: u32,
    /// Calls sent to the upstream as a canary.
    pub sent: u32,
    /// Calls that the upstream may be sent as a canary.
    quota: u32,
    /// Outcomes of the upstream's calls by kind.
    pub kinds: Kinds,
}

impl Rollouts {
    /// Decides whether an upstream may be sent a call now, and counts the call if the
    /// upstream is a canary.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a call that an upstream of another version has to serve.
    pub fn admit(&self, d: &Daemon, local: &LocalUpstream) -> Result<(), Refusal> {
        if !self.has_stages() {
            return Ok(());
        }
        let endpoint = local.endpoint();
        let Some(stage) = self.stage(&endpoint.service) else { return Ok(()) };
        let is_open = || !self.has_closed(&endpoint.service, d.clock.now());
        let is_old = !endpoint.version.is_empty() && !stage.is_new(&endpoint.version);
        let is_admitted = match stage.lane(&endpoint.version, &local.name) {
            Lane::Main => true,
            Lane::Canary => self.count_canary_call(&local.name, stage.order).is_some(),
            // Calls that other daemons sent before they received the cutover are still served.
            Lane::Held => is_old && is_open(),
        };
        if is_admitted {
            return Ok(());
        }
        d.metrics.incr("rollout.held_back");
        Err(Refusal::HeldBack { retry_after: MIN_RETRY_AFTER })
    }

    /// Counts a call to a canary; returns `None` if its quota is used up.
    fn count_canary_call(&self, upstream: &str, order: Revision) -> Option<()> {
        let mut counts = lock(&self.counts);
        let count = counts.entry(upstream.to_string()).or_default();
        count.reset_for(order);
        (count.sent < count.quota).then(|| count.sent += 1)
    }

    /// Counts the outcome of a call at an upstream: `took` is the time until the answer was
    /// complete, or `None` if the upstream failed the call.
    pub fn observe(&self, local: &LocalUpstream, kind: KindKey, took: Option<Duration>) {
        if !self.has_stages() {
            return;
        }
        let endpoint = local.endpoint();
        let Some(stage) = self.stage(&endpoint.service) else { return };
        // An upstream that has just started is slow, whatever its version.
        if stage.phase.is_final() || endpoint.readiness == Readiness::Cold {
            return;
        }
        let mut counts = lock(&self.counts);
        let count = counts.entry(local.name.clone()).or_default();
        count.reset_for(stage.order);
        let tally = count.kinds.tally_mut(kind);
        match took {
            Some(took) => tally.record_answer(took),
            None => tally.failures += 1,
        }
    }

    /// Returns the counts of an upstream.
    pub(super) fn counts_of(&self, upstream: &str, order: Revision) -> CallCounts {
        let mut counts = lock(&self.counts);
        let count = counts.entry(upstream.to_string()).or_default();
        count.reset_for(order);
        count.clone()
    }

    /// Applies the quotas in the answer to a report on `upstreams`. A new epoch restarts
    /// their counts of sent calls.
    pub(super) fn apply_quotas(&self, upstreams: &[String], epoch: u32, quotas: Quotas) {
        let mut counts = lock(&self.counts);
        for upstream in upstreams {
            if let Some(count) = counts.get_mut(upstream).filter(|count| count.epoch != epoch) {
                (count.epoch, count.sent, count.quota) = (epoch, 0, 0);
            }
        }
        for (upstream, quota) in quotas.0 {
            if let Some(count) = counts.get_mut(&upstream) {
                count.quota = count.quota.max(quota);
            }
        }
    }
}

impl CallCounts {
    /// Restarts the counts from zero if they belong to another order.
    fn reset_for(&mut self, order: Revision) {
        if self.order != order {
            *self = CallCounts { order, ..CallCounts::default() };
        }
    }
}
