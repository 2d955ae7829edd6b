//! The load balancer of one service.

use super::kinds::KindStats;
use super::policy::Policy;
use super::upstream::Upstream;
use super::{Choice, Demand, Reason, UpstreamInfo, UpstreamKey};
use crate::delivery::tree;
use crate::ids::HostKey;
use crate::request::gate::KindKey;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Share of attempts without a free slot from which on no call is hedged.
const SHORTAGE_THRESHOLD: f64 = 0.3;
/// Deviations above the mean below which no call of a kind is late; one call in a hundred
/// takes longer.
const LATE_MIN_DEVIATIONS: f64 = 3.0;
/// Means of a kind, and milliseconds added to them, after which any call of the kind is
/// late. The milliseconds are for very short kinds, where a brief delay on a busy host is
/// many times the mean.
const LATE_MAX_MEANS: f64 = 3.0;
const LATE_MAX_EXTRA_MS: f64 = 50.0;
/// Share of the calls that are hedged at most until the retry budget is known.
const DEFAULT_HEDGE_SHARE: f64 = 0.08;
/// Share of the hedged attempts that are to be answered within the objective.
const MOST_HEDGED: f64 = 0.9;
/// Means of its kind that are reserved for a hedged attempt before the objective.
const SECOND_ATTEMPT_MEANS: f64 = 1.3;

/// The upstreams of one service, with the estimates of one entry daemon.
#[derive(Clone, Debug)]
pub struct Picker {
    pub(super) policy: Policy,
    me: HostKey,
    pub(super) kinds: HashMap<KindKey, KindStats>,
    /// Recent share of the service's answers that were errors.
    pub(super) error_ratio: f64,
    /// Recent share of attempts that found no free slot.
    pub(super) shortage: f64,
    /// Whether an upstream has reported the pace of its machine.
    pub(super) paced: bool,
    /// Share of the calls that may be hedged.
    hedge_share: f64,
    pub(super) arena: Vec<Upstream>,
    index: HashMap<(HostKey, String), UpstreamKey>,
}

impl Picker {
    /// Creates a picker without upstreams.
    pub fn new(policy: Policy, me: HostKey) -> Picker {
        Picker {
            policy,
            me,
            kinds: HashMap::new(),
            error_ratio: 0.0,
            shortage: 0.0,
            paced: false,
            hedge_share: DEFAULT_HEDGE_SHARE,
            arena: Vec::new(),
            index: HashMap::new(),
        }
    }

    /// Replaces the set of upstreams.
    ///
    /// Upstreams that stay keep their statistics. Those that left get no new calls; their
    /// outstanding calls still run to their end.
    pub fn sync(&mut self, upstreams: impl IntoIterator<Item = UpstreamInfo>, now: Instant) {
        self.arena.iter_mut().for_each(|upstream| upstream.present = false);
        let mut added = Vec::new();
        for item in upstreams {
            match self.index.get(&(item.host, item.instance.clone())) {
                Some(key) => {
                    let upstream = &mut self.arena[key.0 as usize];
                    upstream.info = item;
                    upstream.present = true;
                }
                None => added.push(item),
            }
        }
        // Upstreams are added last, since only now it is known which arena positions are free.
        added.into_iter().for_each(|item| self.add(item, now));
        let reports = |upstream: &Upstream| upstream.present && upstream.machine.is_some();
        self.paced = self.arena.iter().any(reports);
    }

    /// Adds an upstream at the arena position of one that left and has no outstanding calls,
    /// so that the arena does not grow as instances come and go.
    fn add(&mut self, item: UpstreamInfo, now: Instant) {
        let id = (item.host, item.instance.clone());
        let free = self.arena.iter().position(|old| !old.present && old.outstanding == 0);
        let arena_index = free.unwrap_or(self.arena.len());
        let key = UpstreamKey(arena_index as u32);
        let subset_rank = tree::mix(self.me.0 ^ tree::mix(item.host.0));
        let added = Upstream::new(item, subset_rank, now);
        match self.arena.get_mut(arena_index) {
            Some(old) => *old = added,
            None => self.arena.push(added),
        }
        self.index.retain(|_, indexed| *indexed != key);
        self.index.insert(id, key);
    }

    /// Returns the description of an upstream.
    pub fn info(&self, key: UpstreamKey) -> &UpstreamInfo {
        &self.arena[key.0 as usize].info
    }

    /// Returns the number of upstreams that accept calls.
    pub fn len(&self) -> usize {
        self.arena.iter().filter(|upstream| upstream.takes_work()).count()
    }

    /// Returns whether no upstream accepts calls.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Chooses an upstream for one attempt.
    ///
    /// `tried` are the upstreams of earlier attempts of the call. `random` is any number.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller should retry, where no upstream is left.
    pub fn choose(
        &self,
        demand: Demand,
        now: Instant,
        random: u64,
        tried: &[UpstreamKey],
    ) -> Result<Choice, Duration> {
        let untried: Vec<UpstreamKey> =
            self.keys().filter(|key| self.at(*key).takes_work() && !tried.contains(key)).collect();
        let is_open = |key: &UpstreamKey| {
            let upstream = self.at(*key);
            let has_token = upstream.wait_for_token(now).is_none();
            has_token
                && !upstream.is_ejected_or_suspected(now)
                && !upstream.is_backing_off(demand.priority, now)
        };
        let open: Vec<UpstreamKey> = untried.iter().copied().filter(is_open).collect();
        let (near, far): (Vec<_>, Vec<_>) =
            open.iter().partition(|key| !self.policy.prefer_near || !self.is_far(**key));
        let near = self.subset_of(near);
        let best_near = self.cheapest_of_sample(&near, demand, now, random);
        let best_near = self.or_same_host(best_near, &near, demand, now);
        let best_far = self.cheapest_of_sample(&far, demand, now, random.rotate_left(32));
        match (best_near, best_far) {
            (Some(near), Some(far)) if self.should_spill(near, far, demand, now) => {
                Ok(Choice { key: far, reason: Reason::Spill })
            }
            (Some(key), _) => Ok(Choice { key, reason: Reason::Near }),
            (None, Some(key)) => Ok(Choice { key, reason: Reason::NoneNear }),
            (None, None) => match self.next_token(&untried, demand, now) {
                Some(key) => Ok(Choice { key, reason: Reason::NextToken }),
                None => self.last_resort(&untried, demand, now),
            },
        }
    }

    /// Returns the time after which an attempt is late enough for a hedged attempt; `None`
    /// where nothing was observed of its kind.
    ///
    /// It is the last moment at which a hedged attempt can still be answered within the
    /// objective. It is not earlier than a few deviations above the mean, since most
    /// answers that late are only slow, and not later than a few times the mean, since an
    /// answer that late is probably lost, however long the objective is.
    pub fn hedge_after(&self, demand: Demand) -> Option<Duration> {
        let stats = self.kinds.get(&demand.kind)?;
        if let Some(ms) = self.hedge_after_by_distribution(stats, demand) {
            return Some(Duration::from_secs_f64(ms / 1e3));
        }
        let objective = demand.objective.as_secs_f64() * 1e3;
        let earliest = stats.total + LATE_MIN_DEVIATIONS * stats.deviation;
        let latest = earliest.max(LATE_MAX_MEANS * stats.total + LATE_MAX_EXTRA_MS);
        let ms = (objective - SECOND_ATTEMPT_MEANS * stats.total).clamp(earliest, latest);
        Some(Duration::from_secs_f64(ms / 1e3))
    }

    /// Returns the time in milliseconds after which an attempt is hedged, where upstreams report
    /// the pace of their machines and enough was observed.
    ///
    /// On shared machines the times of a kind are spread so widely that a few deviations above
    /// the mean lie beyond the moment at which a hedged attempt still helps. The attempt is
    /// therefore hedged as late as most hedged attempts can still be answered within the
    /// objective, but not so early that more attempts are late than the retry budget pays for.
    fn hedge_after_by_distribution(&self, stats: &KindStats, demand: Demand) -> Option<f64> {
        if !self.paced || !self.policy.quantiles {
            return None;
        }
        let objective = demand.objective.as_secs_f64() * 1e3;
        let earliest = stats.totals.quantile(1.0 - self.hedge_share)?;
        let most = stats.totals.quantile(MOST_HEDGED)?;
        let latest = earliest.max(LATE_MAX_MEANS * stats.total + LATE_MAX_EXTRA_MS);
        Some((objective - most).clamp(earliest, latest))
    }

    /// Sets the share of the calls that may be hedged, which the retry budget pays for.
    pub fn set_hedge_share(&mut self, share: f64) {
        self.hedge_share = share.clamp(0.0, 1.0);
    }

    /// Returns whether an upstream probably has a free slot, by the calls and load reports
    /// seen here.
    pub fn has_room(&self, key: UpstreamKey, now: Instant) -> bool {
        let upstream = self.at(key);
        upstream.load(now, self.policy) + 1.0 <= upstream.slots(now, self.policy)
    }

    /// Returns whether another upstream probably has a free slot and is not slow at the moment,
    /// so that a call which finds `key` slow may be sent there. False for a service whose
    /// upstreams do not report the pace of their machines.
    pub fn has_faster(
        &self,
        key: UpstreamKey,
        demand: Demand,
        now: Instant,
        tried: &[UpstreamKey],
    ) -> bool {
        if !self.reports_pace() {
            return false;
        }
        self.keys().any(|other| {
            let upstream = self.at(other);
            let is_near = self.is_far(key) || !self.is_far(other);
            let is_new = other != key && !tried.contains(&other);
            let is_open = upstream.takes_work()
                && upstream.wait_for_token(now).is_none()
                && !upstream.is_ejected_or_suspected(now)
                && !upstream.is_backing_off(demand.priority, now);
            is_new && is_near && is_open && !upstream.is_slow(now) && self.has_room(other, now)
        })
    }

    /// Returns whether an upstream of the service has reported the pace of its machine.
    pub fn reports_pace(&self) -> bool {
        self.paced
    }

    /// Returns whether a hedged attempt may be sent to an upstream.
    ///
    /// Failure: all slots of a service are full for seconds, and the load reports are some
    /// calls old. Symptom: hedged attempts go to slots that seem free, and calls that have
    /// no slot yet wait longer.
    pub fn may_hedge(&self, key: UpstreamKey, now: Instant) -> bool {
        let has_token = self.at(key).wait_for_token(now).is_none();
        let is_fast = !self.at(key).is_slow(now);
        has_token && is_fast && self.has_room(key, now) && self.shortage < SHORTAGE_THRESHOLD
    }

    fn keys(&self) -> impl Iterator<Item = UpstreamKey> {
        (0..self.arena.len() as u32).map(UpstreamKey)
    }

    pub(super) fn at(&self, key: UpstreamKey) -> &Upstream {
        &self.arena[key.0 as usize]
    }

    pub(super) fn at_mut(&mut self, key: UpstreamKey) -> &mut Upstream {
        &mut self.arena[key.0 as usize]
    }
}
