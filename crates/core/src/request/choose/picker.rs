//! The upstreams of a service, and the choice among them.

use super::kinds::Spread;
use super::policy::Policy;
use super::upstream::Upstream;
use super::{Choice, Demand, Reason, UpstreamInfo, UpstreamKey};
use crate::delivery::tree;
use crate::ids::HostKey;
use crate::request::gate::KindKey;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Share of attempts that find no free slot above which the service is short of them.
const SHORT_SHARE: f64 = 0.3;
/// Deviations above the mean before which no call is late for its kind; one in a
/// hundred takes longer.
const EARLY_DEVIATIONS: f64 = 3.0;
/// Mean times, and milliseconds beside them, after which each call is late for its
/// kind. The milliseconds are for kinds that take next to no time, where a busy
/// moment of a host is many means.
const LATE_TIMES: f64 = 3.0;
const LATE_LEAST_MS: f64 = 50.0;
/// Mean times that a second try needs to be in time.
const SECOND_TRY_ROOM: f64 = 1.3;

/// The upstreams of one service as one entry daemon sees them.
#[derive(Clone, Debug)]
pub struct Picker {
    pub(super) policy: Policy,
    me: HostKey,
    pub(super) kinds: HashMap<KindKey, Spread>,
    /// Share of answers of the service that were errors, lately.
    pub(super) errors: f64,
    /// Share of attempts at the service that found no free slot, lately.
    pub(super) shortage: f64,
    pub(super) arena: Vec<Upstream>,
    index: HashMap<(HostKey, String), UpstreamKey>,
}

impl Picker {
    /// Makes a picker without upstreams.
    pub fn new(policy: Policy, me: HostKey) -> Picker {
        Picker {
            policy,
            me,
            kinds: HashMap::new(),
            errors: 0.0,
            shortage: 0.0,
            arena: Vec::new(),
            index: HashMap::new(),
        }
    }

    /// Takes in the present set of upstreams.
    ///
    /// What was observed of those that stay is kept. Those that left get nothing
    /// new; their outstanding calls end as they may.
    pub fn sync(&mut self, known: impl IntoIterator<Item = UpstreamInfo>, now: Instant) {
        self.arena.iter_mut().for_each(|upstream| upstream.present = false);
        let mut new = Vec::new();
        for item in known {
            match self.index.get(&(item.host, item.instance.clone())) {
                Some(key) => {
                    let upstream = &mut self.arena[key.0 as usize];
                    upstream.info = item;
                    upstream.present = true;
                }
                None => new.push(item),
            }
        }
        // Only now is it known whose place is free.
        new.into_iter().for_each(|item| self.add(item, now));
    }

    /// Puts a new upstream in the place of one that left and has no calls any
    /// more, so that the arena does not grow as instances come and go.
    fn add(&mut self, item: UpstreamInfo, now: Instant) {
        let id = (item.host, item.instance.clone());
        let free = self.arena.iter().position(|old| !old.present && old.outstanding == 0);
        let slot = free.unwrap_or(self.arena.len());
        let key = UpstreamKey(slot as u32);
        let rank = tree::mix(self.me.0 ^ tree::mix(item.host.0));
        let new = Upstream::new(item, rank, now);
        match self.arena.get_mut(slot) {
            Some(old) => *old = new,
            None => self.arena.push(new),
        }
        self.index.retain(|_, held| *held != key);
        self.index.insert(id, key);
    }

    /// Returns what is known of an upstream.
    pub fn info(&self, key: UpstreamKey) -> &UpstreamInfo {
        &self.arena[key.0 as usize].info
    }

    /// Returns how many upstreams take work.
    pub fn len(&self) -> usize {
        self.arena.iter().filter(|upstream| upstream.takes_work()).count()
    }

    /// Returns whether no upstream takes work.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Chooses an upstream for one attempt.
    ///
    /// `tried` are those that earlier attempts of the call went to. `random` is
    /// any number.
    ///
    /// # Errors
    ///
    /// Returns when to come back, where no upstream is left.
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
            has_token && !upstream.is_aside(now) && !upstream.is_backing_off(demand.priority, now)
        };
        let open: Vec<UpstreamKey> = untried.iter().copied().filter(is_open).collect();
        let (near, far): (Vec<_>, Vec<_>) =
            open.iter().partition(|key| !self.policy.prefer_near || !self.is_far(**key));
        let near = self.usual_of(near);
        let best_near = self.best_of_few(&near, demand, now, random);
        let best_near = self.or_here(best_near, &near, demand, now);
        let best_far = self.best_of_few(&far, demand, now, random.rotate_left(32));
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

    /// Returns after what time an attempt is so late for its kind that a second
    /// one is worth its cost; `None` before the kind is known.
    ///
    /// That is the last moment at which another answer can still be in time. Not
    /// earlier than a few deviations above the mean, since then most answers are
    /// only slow; not later than a few times the mean, since then they are lost
    /// however long the objective is.
    pub fn hedge_after(&self, demand: Demand) -> Option<Duration> {
        let spread = self.kinds.get(&demand.kind)?;
        let objective = demand.objective.as_secs_f64() * 1e3;
        let least = spread.total + EARLY_DEVIATIONS * spread.deviation;
        let most = least.max(LATE_TIMES * spread.total + LATE_LEAST_MS);
        let ms = (objective - SECOND_TRY_ROOM * spread.total).clamp(least, most);
        Some(Duration::from_secs_f64(ms / 1e3))
    }

    /// Returns whether an upstream has a slot free, as far as is known.
    pub fn has_room(&self, key: UpstreamKey, now: Instant) -> bool {
        let upstream = self.at(key);
        upstream.load(now, self.policy) + 1.0 <= upstream.slots(now, self.policy)
    }

    /// Returns whether another attempt beside a late one may be sent to an upstream.
    ///
    /// Failure: all slots of a service are full for seconds, and what is known of them is
    /// some calls old. Symptom: second attempts go to slots that seem free, and calls that
    /// had none yet wait longer.
    pub fn may_hedge(&self, key: UpstreamKey, now: Instant) -> bool {
        let has_token = self.at(key).wait_for_token(now).is_none();
        has_token && self.has_room(key, now) && self.shortage < SHORT_SHARE
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
