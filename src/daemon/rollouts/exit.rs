//! What the upstreams of this host are sent and answer while a rollout stands.

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
pub type Counts = HashMap<String, Count>;

/// What one upstream was sent and answered since its rollout was ordered.
#[derive(Clone, Debug, Default)]
pub struct Count {
    order: Revision,
    /// Decider for which `sent` and `quota` count.
    pub epoch: u32,
    /// Calls sent to it.
    pub sent: u32,
    /// Calls that it may be sent.
    quota: u32,
    /// What it answered.
    pub kinds: Kinds,
}

impl Rollouts {
    /// Says whether an upstream may be sent a call now, and counts it if so.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a call that another version is to serve.
    pub fn admit(&self, d: &Daemon, local: &LocalUpstream) -> Result<(), Refusal> {
        if !self.is_any() {
            return Ok(());
        }
        let endpoint = local.endpoint();
        let Some(stage) = self.stage(&endpoint.service) else { return Ok(()) };
        let is_open = || !self.has_closed(&endpoint.service, d.clock.now());
        let is_old = !endpoint.version.is_empty() && !stage.is_new(&endpoint.version);
        let is_let_in = match stage.lane(&endpoint.version, &local.name) {
            Lane::Main => true,
            Lane::Canary => self.count(&local.name, stage.order).is_some(),
            // What was on its way when the cutover was told is still served.
            Lane::Held => is_old && is_open(),
        };
        if is_let_in {
            return Ok(());
        }
        d.metrics.incr("rollout.held_back");
        Err(Refusal::HeldBack { retry_after: MIN_RETRY_AFTER })
    }

    /// Counts a call to a canary; `None` where it has had what it may.
    fn count(&self, upstream: &str, order: Revision) -> Option<()> {
        let mut counts = lock(&self.counts);
        let count = counts.entry(upstream.to_string()).or_default();
        count.begin(order);
        (count.sent < count.quota).then(|| count.sent += 1)
    }

    /// Takes in how a call ended at an upstream: the time that it took, or nothing where
    /// the upstream failed it.
    pub fn observe(&self, local: &LocalUpstream, kind: KindKey, took: Option<Duration>) {
        if !self.is_any() {
            return;
        }
        let endpoint = local.endpoint();
        let Some(stage) = self.stage(&endpoint.service) else { return };
        // One that has just started is slow whatever its version.
        if stage.phase.is_final() || endpoint.readiness == Readiness::Cold {
            return;
        }
        let mut counts = lock(&self.counts);
        let count = counts.entry(local.name.clone()).or_default();
        count.begin(stage.order);
        let tally = count.kinds.tally_mut(kind);
        match took {
            Some(took) => tally.record_answer(took),
            None => tally.failures += 1,
        }
    }

    /// Returns what an upstream was sent and answered.
    pub(super) fn count_of(&self, upstream: &str, order: Revision) -> Count {
        let mut counts = lock(&self.counts);
        let count = counts.entry(upstream.to_string()).or_default();
        count.begin(order);
        count.clone()
    }

    /// Takes in what the decider allows these upstreams.
    pub(super) fn allow(&self, upstreams: &[String], epoch: u32, quotas: Quotas) {
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

impl Count {
    fn begin(&mut self, order: Revision) {
        if self.order != order {
            *self = Count { order, ..Count::default() };
        }
    }
}
