//! What an upstream is expected to cost a call, and which of several is the cheapest.

use super::picker::Picker;
use super::upstream::EJECT_FOR;
use super::{CROSS_DOMAIN_RTT, Choice, Demand, Locality, Reason, UpstreamKey};
use crate::request::gate::KindKey;
use std::time::{Duration, Instant};

/// Upstreams of the own failure domain that a daemon usually chooses from, the same ones
/// each time and others than its neighbours. Of a larger set it would see each so seldom
/// that it knew nothing of any.
const SUBSET: usize = 12;
/// Candidates compared for one attempt.
const CANDIDATES: usize = 4;
/// The way to another host of the own failure domain and back, with the work of two
/// more daemons on it, in milliseconds.
const HOP_MS: f64 = 5.0;
/// Share of the near side's cost at which the far side is taken although the
/// near side has room.
const MUCH_CHEAPER: f64 = 0.5;
/// Share of what is left of a call's objective within which the near side's
/// answer must be expected for the call to stay near whatever the far side
/// offers. Ways between failure domains are narrow and cost; an answer that is in
/// time is as good as an earlier one.
const IN_TIME: f64 = 0.6;
/// Time of a call assumed before the first answer to one of its kind.
const FIRST_GUESS_MS: f64 = 5.0;
/// By how much errors beyond the service's own share raise the cost: an upstream
/// that fails every third call must look three times as slow. What all upstreams
/// of a service fail, such as calls whose own calls fail, is no reason to leave
/// any of them.
const ERROR_COST: f64 = 8.0;
/// By how much the share of calls that an upstream refuses raises its cost. A refused
/// call costs a way there and back and a part of the retries allowed, but no work.
const REFUSAL_COST: f64 = 4.0;

impl Picker {
    /// Returns the cheapest of a few candidates that begin at a random place.
    pub(super) fn best_of_few(
        &self,
        keys: &[UpstreamKey],
        demand: Demand,
        now: Instant,
        random: u64,
    ) -> Option<UpstreamKey> {
        let start = random as u32 as usize % keys.len().max(1);
        let few = if self.policy.compare { CANDIDATES } else { 1 };
        let round = keys.iter().cycle().skip(start).take(few.min(keys.len()));
        let costs = round.map(|key| (self.cost(*key, demand, now), *key));
        costs.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, key)| key)
    }

    /// Returns whether the way to another domain is better than staying here.
    ///
    /// A call whose near answer is expected well within its objective stays. A
    /// full near side is left for a free far one that is cheaper with the way
    /// added. One that is not full is left only for a far one at half its cost,
    /// so that a domain at the edge of its capacity does not swing.
    pub(super) fn should_spill(
        &self,
        near: UpstreamKey,
        far: UpstreamKey,
        demand: Demand,
        now: Instant,
    ) -> bool {
        let (a, b) = (self.at(near), self.at(far));
        let here = self.cost(near, demand, now);
        let objective = demand.objective.as_secs_f64() * 1e3;
        if here < objective * IN_TIME && self.is_known(demand.kind) {
            return false;
        }
        let full = a.load(now, self.policy) >= a.slots(now, self.policy);
        let free = b.load(now, self.policy) + 1.0 <= b.slots(now, self.policy);
        let there = self.cost(far, demand, now) + CROSS_DOMAIN_RTT.as_secs_f64() * 1e3;
        free && there < here * if full { 1.0 } else { MUCH_CHEAPER }
    }

    /// Returns the cheaper of a candidate and the upstream on the own host.
    pub(super) fn or_here(
        &self,
        best: Option<UpstreamKey>,
        open: &[UpstreamKey],
        demand: Demand,
        now: Instant,
    ) -> Option<UpstreamKey> {
        let is_here = |key: &&UpstreamKey| self.at(**key).info.locality == Locality::SameHost;
        let here = open.iter().find(is_here).copied().filter(|_| self.policy.compare);
        let both = best.into_iter().chain(here);
        let costs = both.map(|key| (self.cost(key, demand, now), key));
        costs.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, key)| key)
    }

    /// Returns those of the open upstreams of the own failure domain that this daemon
    /// usually chooses from.
    pub(super) fn usual_of(&self, mut near: Vec<UpstreamKey>) -> Vec<UpstreamKey> {
        if self.policy.subset && near.len() > SUBSET {
            near.select_nth_unstable_by_key(SUBSET, |key| self.at(*key).rank);
            near.truncate(SUBSET);
        }
        near
    }

    pub(super) fn is_far(&self, key: UpstreamKey) -> bool {
        self.at(key).info.locality == Locality::OtherDomain
    }

    fn is_known(&self, kind: KindKey) -> bool {
        self.kinds.contains_key(&kind)
    }

    /// Returns the expected time of a call in milliseconds.
    fn cost(&self, key: UpstreamKey, demand: Demand, now: Instant) -> f64 {
        let upstream = self.at(key);
        let speed = if self.policy.latency { upstream.speed(now) } else { 1.0 };
        let time = self.mean_ms(demand.kind) * speed;
        let load = upstream.load(now, self.policy) + 1.0;
        let slots = upstream.slots(now, self.policy);
        let wait = (load - slots).max(0.0) / slots;
        let errors = (upstream.errors(now) - self.errors).max(0.0);
        // A call in a free slot still costs its neighbours something; the small
        // term makes the emptier of two idle upstreams win.
        let way = match upstream.info.locality {
            // Whatever is answered here leaves by this host's link in any case.
            Locality::SameHost => 0.0,
            Locality::SameDomain | Locality::OtherDomain if self.is_large(demand.kind) => {
                HOP_MS + upstream.link_ms(now)
            }
            Locality::SameDomain | Locality::OtherDomain => HOP_MS,
        };
        let refuses = if self.policy.refusals { 1.0 - upstream.accept_ratio(now) } else { 0.0 };
        let once = time * (1.0 + wait + 0.2 * load / slots) + way;
        once * (1.0 + ERROR_COST * errors + REFUSAL_COST * refuses)
    }

    /// Returns the upstream whose limit lets a call through first, if that is in time.
    pub(super) fn next_token(
        &self,
        untried: &[UpstreamKey],
        demand: Demand,
        now: Instant,
    ) -> Option<UpstreamKey> {
        let waits = untried.iter().filter(|key| {
            let upstream = self.at(**key);
            !upstream.is_aside(now) && !upstream.is_backing_off(demand.priority, now)
        });
        let in_time = waits.filter_map(|key| {
            let upstream = self.at(*key);
            let wait = upstream.wait_for_token(now)?;
            let time = self.mean_ms(demand.kind) * upstream.speed(now) / 1e3;
            let needed = wait + Duration::from_secs_f64(time);
            (needed <= demand.objective).then_some((wait, *key))
        });
        in_time.min().map(|(_, key)| key)
    }

    /// Tries an upstream that is set aside, rather than none.
    ///
    /// Failure: a cut makes every upstream look dead for a moment. Symptom: the
    /// service stays refused after the cut ended. The one whose time ends first
    /// is tried, so the set is never empty while somebody announces the service.
    pub(super) fn last_resort(
        &self,
        untried: &[UpstreamKey],
        demand: Demand,
        now: Instant,
    ) -> Result<Choice, Duration> {
        let waits = untried.iter().filter_map(|key| {
            let upstream = self.at(*key);
            if upstream.is_aside(now) {
                return None;
            }
            let is_refused = upstream.is_backing_off(demand.priority, now);
            let refused = upstream.back_off.filter(|_| is_refused).map(|said| said.retry_after);
            refused.max(upstream.wait_for_token(now))
        });
        if let Some(retry_after) = waits.min() {
            // It is alive and said when to come back: that is the answer, and no
            // less of it a moment later, since its queue is as long still.
            return Err(retry_after);
        }
        let first = untried.iter().copied().min_by_key(|key| self.at(*key).aside_until);
        let Some(key) = first else { return Err(EJECT_FOR) };
        Ok(Choice { key, reason: Reason::LastResort })
    }

    fn mean_ms(&self, kind: KindKey) -> f64 {
        self.kinds.get(&kind).map_or(FIRST_GUESS_MS, |spread| spread.service)
    }
}
