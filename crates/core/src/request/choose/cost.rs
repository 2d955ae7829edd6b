//! Cost model of the picker: the expected time of a call at each upstream.

use super::picker::Picker;
use super::upstream::FIRST_EJECTION;
use super::{CROSS_DOMAIN_RTT, Choice, Demand, Locality, Reason, UpstreamKey};
use crate::request::gate::KindKey;
use std::time::{Duration, Instant};

/// Upstreams of its own failure domain that a daemon chooses from. The subset is stable
/// and differs between daemons. In a larger set each upstream would get too few calls
/// from this daemon for an estimate of its speed.
const SUBSET_SIZE: usize = 12;
/// Candidates whose costs are compared for one attempt.
const CANDIDATES: usize = 4;
/// Round trip to another host of the same failure domain, with the processing time of
/// two more daemons, in milliseconds.
const HOP_MS: f64 = 5.0;
/// Share of the near upstream's cost below which a far upstream is preferred although
/// the near one has a free slot.
const SPILL_COST_RATIO: f64 = 0.5;
/// Share of the remaining objective. A call whose near cost is below it stays in its own
/// failure domain, whatever the far cost: links between failure domains are narrow and
/// expensive, and any answer within the objective is as good as an earlier one.
const NEAR_OBJECTIVE_SHARE: f64 = 0.6;
/// Mean time assumed for a kind of calls before its first answer.
const DEFAULT_MEAN_MS: f64 = 5.0;
/// Weight in the cost of the error ratio above the service's own: an upstream that fails
/// every third call must look three times as slow. Errors that all upstreams of a service
/// return alike, such as failures of a dependency, must not steer calls away from any of
/// them.
const ERROR_PENALTY: f64 = 8.0;
/// Weight in the cost of the share of calls that an upstream refuses. A refused call costs
/// a round trip and a part of the retry budget, but no work at the upstream.
const REFUSAL_PENALTY: f64 = 4.0;

impl Picker {
    /// Returns the cheapest of a few consecutive candidates, from a random index on.
    pub(super) fn cheapest_of_sample(
        &self,
        keys: &[UpstreamKey],
        demand: Demand,
        now: Instant,
        random: u64,
    ) -> Option<UpstreamKey> {
        let start = random as u32 as usize % keys.len().max(1);
        let sample_size = if self.policy.compare { CANDIDATES } else { 1 };
        let sample = keys.iter().cycle().skip(start).take(sample_size.min(keys.len()));
        let costs = sample.map(|key| (self.cost(*key, demand, now), *key));
        costs.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, key)| key)
    }

    /// Returns whether a call should go to another failure domain.
    ///
    /// A call whose near answer is expected well within its objective stays. A full near
    /// upstream is left for a far one with a free slot that is cheaper, round trip
    /// included. A near upstream that is not full is left only for a far one at less than
    /// half its cost, so that traffic does not oscillate when a domain is close to its
    /// capacity.
    pub(super) fn should_spill(
        &self,
        near: UpstreamKey,
        far: UpstreamKey,
        demand: Demand,
        now: Instant,
    ) -> bool {
        let (a, b) = (self.at(near), self.at(far));
        let near_cost = self.cost(near, demand, now);
        let objective = demand.objective.as_secs_f64() * 1e3;
        if near_cost < objective * NEAR_OBJECTIVE_SHARE && self.has_observed(demand.kind) {
            return false;
        }
        let full = a.load(now, self.policy) >= a.slots(now, self.policy);
        let free = b.load(now, self.policy) + 1.0 <= b.slots(now, self.policy);
        let far_cost = self.cost(far, demand, now) + CROSS_DOMAIN_RTT.as_secs_f64() * 1e3;
        free && far_cost < near_cost * if full { 1.0 } else { SPILL_COST_RATIO }
    }

    /// Returns the cheaper of a candidate and the upstream on this daemon's host.
    pub(super) fn or_same_host(
        &self,
        best: Option<UpstreamKey>,
        open: &[UpstreamKey],
        demand: Demand,
        now: Instant,
    ) -> Option<UpstreamKey> {
        let is_same_host = |key: &&UpstreamKey| self.at(**key).info.locality == Locality::SameHost;
        let same_host = open.iter().find(is_same_host).copied().filter(|_| self.policy.compare);
        let candidates = best.into_iter().chain(same_host);
        let costs = candidates.map(|key| (self.cost(key, demand, now), key));
        costs.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, key)| key)
    }

    /// Returns this daemon's subset of the available upstreams of its failure domain.
    pub(super) fn subset_of(&self, mut near: Vec<UpstreamKey>) -> Vec<UpstreamKey> {
        if self.policy.subset && near.len() > SUBSET_SIZE {
            near.select_nth_unstable_by_key(SUBSET_SIZE, |key| self.at(*key).subset_rank);
            near.truncate(SUBSET_SIZE);
        }
        near
    }

    pub(super) fn is_far(&self, key: UpstreamKey) -> bool {
        self.at(key).info.locality == Locality::OtherDomain
    }

    fn has_observed(&self, kind: KindKey) -> bool {
        self.kinds.contains_key(&kind)
    }

    /// Returns the expected time of a call in milliseconds.
    fn cost(&self, key: UpstreamKey, demand: Demand, now: Instant) -> f64 {
        let upstream = self.at(key);
        let relative_time = if self.policy.latency { upstream.relative_time(now) } else { 1.0 };
        let time = self.mean_ms(demand.kind) * relative_time * upstream.machine_factor(now);
        let load = upstream.load(now, self.policy) + 1.0;
        let slots = upstream.slots(now, self.policy);
        let wait = (load - slots).max(0.0) / slots;
        let error_ratio = (upstream.error_ratio(now) - self.error_ratio).max(0.0);
        // A call in a free slot still slows down the others a little; the term
        // `0.2 * load / slots` prefers the less loaded of two upstreams with free slots.
        let transit = match upstream.info.locality {
            // The answer leaves by this host's link whichever upstream is chosen.
            Locality::SameHost => 0.0,
            Locality::SameDomain | Locality::OtherDomain if self.is_large(demand.kind) => {
                HOP_MS + upstream.link_ms(now)
            }
            Locality::SameDomain | Locality::OtherDomain => HOP_MS,
        };
        let refusal_ratio =
            if self.policy.refusals { 1.0 - upstream.accept_ratio(now) } else { 0.0 };
        let per_attempt = time * (1.0 + wait + 0.2 * load / slots) + transit;
        per_attempt * (1.0 + ERROR_PENALTY * error_ratio + REFUSAL_PENALTY * refusal_ratio)
    }

    /// Returns the upstream whose rate limit admits a call first, if the call can then
    /// still be answered within its objective.
    pub(super) fn next_token(
        &self,
        untried: &[UpstreamKey],
        demand: Demand,
        now: Instant,
    ) -> Option<UpstreamKey> {
        let usable = untried.iter().filter(|key| {
            let upstream = self.at(**key);
            !upstream.is_ejected_or_suspected(now) && !upstream.is_backing_off(demand.priority, now)
        });
        let in_time = usable.filter_map(|key| {
            let upstream = self.at(*key);
            let wait = upstream.wait_for_token(now)?;
            let usual = self.mean_ms(demand.kind) * upstream.relative_time(now) / 1e3;
            let time = usual * upstream.machine_factor(now);
            let needed = wait + Duration::from_secs_f64(time);
            (needed <= demand.objective).then_some((wait, *key))
        });
        in_time.min().map(|(_, key)| key)
    }

    /// Chooses an ejected or suspected upstream where no other is left.
    ///
    /// Failure: a network partition makes every upstream look dead for a moment.
    /// Symptom: calls to the service are still refused after the partition has healed. The
    /// upstream whose ejection ends first is tried, so that there is a candidate as long
    /// as any host announces the service.
    ///
    /// # Errors
    ///
    /// Returns the shortest wait among the upstreams that refused a call of this rank or
    /// have no token, or the first ejection time where no upstream is left.
    pub(super) fn last_resort(
        &self,
        untried: &[UpstreamKey],
        demand: Demand,
        now: Instant,
    ) -> Result<Choice, Duration> {
        let waits = untried.iter().filter_map(|key| {
            let upstream = self.at(*key);
            if upstream.is_ejected_or_suspected(now) {
                return None;
            }
            let is_backing_off = upstream.is_backing_off(demand.priority, now);
            let refused =
                upstream.back_off.filter(|_| is_backing_off).map(|refusal| refusal.retry_after);
            refused.max(upstream.wait_for_token(now))
        });
        if let Some(retry_after) = waits.min() {
            // Some upstream is alive and has named a wait. After a refusal the whole wait
            // is returned, not what is left of it: the queue is as long a moment later.
            return Err(retry_after);
        }
        let first = untried.iter().copied().min_by_key(|key| self.at(*key).ejected_until);
        let Some(key) = first else { return Err(FIRST_EJECTION) };
        Ok(Choice { key, reason: Reason::LastResort })
    }

    fn mean_ms(&self, kind: KindKey) -> f64 {
        self.kinds.get(&kind).map_or(DEFAULT_MEAN_MS, |stats| stats.service)
    }
}
