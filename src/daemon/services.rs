//! Upstreams as this daemon chooses them, sharded by service.

use super::{Daemon, lock};
use cicadashift_core::ids::HostKey;
use cicadashift_core::membership::record::{Endpoint, Health, Readiness, Record};
use cicadashift_core::request::choose::{
    Choice, Demand, Locality, Outcome, Picker, Policy, UpstreamInfo, UpstreamKey,
};
use cicadashift_core::request::retry::{Allowance, RetryBudget};
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const SHARDS: usize = 8;
/// Share of the retries allowed that are made. The rest is for what a daemon
/// does not see: calls that a repeated run makes again, and windows in which
/// first attempts are fewer than when the retries were earned.
const SAFE_SHARE: f64 = 0.5;
/// Share of the slack that is used. Less than of the ratio: a bucket may go into debt for
/// part of a retry, which all daemons together may do at once.
const SLACK_SHARE: f64 = 0.25;
/// Share of a window for which retries that were earned are saved up. What two services
/// save may be used in one window, and the calls that repeated runs of the one make count
/// at the other.
const SAVED_SHARE: f64 = 0.1;

/// One service's upstreams and retries.
pub struct Service {
    /// The choice among its upstreams.
    pub picker: Picker,
    /// Retries that its calls may still use.
    pub budget: RetryBudget,
}

impl Service {
    fn start(&mut self, choice: Choice, now: Instant) -> Target {
        let has_room = self.picker.has_room(choice.key, now);
        self.picker.started(choice.key);
        let known = self.picker.info(choice.key);
        let (host, locality, instance) = (known.host, known.locality, known.instance.clone());
        Target { choice, host, locality, instance, has_room, known: self.picker.len() }
    }
}

/// Time to come back where nobody has announced the service yet: reports come
/// every second or two.
const UNANNOUNCED_WAIT: Duration = Duration::from_millis(600);

type Shard = Mutex<HashMap<String, Service>>;

/// Upstreams of all services.
pub struct Services {
    policy: Policy,
    /// Held while membership is read and taken in. Failure: two threads read it
    /// in one order and take it in in the other. Symptom: an upstream that left
    /// is chosen until the next change. One at a time, the last read is the last
    /// taken in.
    syncing: Mutex<()>,
    shards: [Shard; SHARDS],
}

/// A chosen upstream with what is needed to reach it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The choice.
    pub choice: Choice,
    /// The host whose daemon admits.
    pub host: HostKey,
    /// Where that is.
    pub locality: Locality,
    /// The instance's name.
    pub instance: String,
    /// Whether it has a free slot, as far as is known.
    pub has_room: bool,
    /// Upstreams of the service that take work.
    pub known: usize,
}

impl Services {
    /// Makes a set without services.
    pub fn new(policy: Policy) -> Services {
        Services { policy, syncing: Mutex::new(()), shards: Default::default() }
    }

    /// Takes in what membership knows now.
    pub fn sync(&self, d: &Daemon) {
        let _turn = lock(&self.syncing);
        let now = d.clock.now();
        let mut by_service: HashMap<String, Vec<UpstreamInfo>> = HashMap::new();
        for record in d.members.all() {
            for (service, known) in known(d, &record) {
                by_service.entry(service).or_default().push(known);
            }
        }
        for (i, shard) in self.shards.iter().enumerate() {
            let mut shard = lock(shard);
            for (name, service) in shard.iter_mut() {
                service.picker.sync(by_service.remove(name).unwrap_or_default(), now);
            }
            let new: Vec<_> =
                by_service.keys().filter(|name| shard_of(name) == i).cloned().collect();
            for name in new {
                let mut picker = Picker::new(self.policy, d.me);
                picker.sync(by_service.remove(&name).unwrap_or_default(), now);
                let budget = RetryBudget::new(allowance(d));
                shard.insert(name, Service { picker, budget });
            }
        }
    }

    /// Does something with a service, or returns `None` if nobody announced it.
    pub fn with<T>(&self, name: &str, work: impl FnOnce(&mut Service) -> T) -> Option<T> {
        lock(&self.shards[shard_of(name)]).get_mut(name).map(work)
    }

    /// Records the first attempt of a call.
    pub fn earn(&self, d: &Daemon, name: &str) {
        let (allowance, now) = (allowance(d), d.clock.now());
        self.with(name, |service| service.budget.earn(allowance, now));
    }

    /// Chooses an upstream and counts the attempt as begun.
    ///
    /// # Errors
    ///
    /// Returns when to come back, where no upstream takes work.
    pub fn choose(
        &self,
        name: &str,
        demand: Demand,
        now: Instant,
        tried: &[UpstreamKey],
    ) -> Result<Target, Duration> {
        let chosen = self.with(name, |service| {
            let choice = service.picker.choose(demand, now, fastrand::u64(..), tried)?;
            Ok(service.start(choice, now))
        });
        chosen.unwrap_or(Err(UNANNOUNCED_WAIT))
    }

    /// Chooses an upstream for a second attempt beside the first and pays for it;
    /// `None` where none has room or the budget is spent.
    pub fn choose_spare(
        &self,
        name: &str,
        demand: Demand,
        now: Instant,
        tried: &[UpstreamKey],
    ) -> Option<Target> {
        let chosen = self.with(name, |service| {
            let choice = service.picker.choose(demand, now, fastrand::u64(..), tried).ok()?;
            let pays = service.picker.may_hedge(choice.key, now)
                && service.budget.spend(fastrand::u64(..));
            pays.then(|| service.start(choice, now))
        });
        chosen.flatten()
    }

    /// Takes in that a host gives no sign of life, or does again.
    pub fn set_silent(&self, host: HostKey, silent: bool) {
        for shard in &self.shards {
            for service in lock(shard).values_mut() {
                service.picker.set_silent(host, silent);
            }
        }
    }

    /// Returns how many upstreams of a service take work.
    pub fn available(&self, name: &str) -> usize {
        self.with(name, |service| service.picker.len()).unwrap_or(0)
    }
}

/// Returns what this daemon may use of the retries that the settings allow to all.
fn allowance(d: &Daemon) -> Allowance {
    let retries = d.tunable.get().retries;
    let daemons = d.members.live_count().max(1) as f64;
    Allowance {
        earned_per_attempt: retries.ratio * SAFE_SHARE,
        max_saved: retries.slack * SLACK_SHARE / daemons,
        saved_for: Duration::from_secs_f64(retries.window_s * SAVED_SHARE),
    }
}

/// An attempt in progress; its end is recorded even if the caller vanishes.
pub struct Flight {
    d: Arc<Daemon>,
    service: String,
    key: UpstreamKey,
    demand: Demand,
    ended: bool,
}

impl Flight {
    /// Follows an attempt that [`Services::choose`] began.
    pub fn new(d: &Arc<Daemon>, service: &str, key: UpstreamKey, demand: Demand) -> Flight {
        Flight { d: d.clone(), service: service.to_string(), key, demand, ended: false }
    }

    /// Records how it ended.
    pub fn end(mut self, outcome: Outcome) {
        self.record(outcome);
    }

    fn record(&mut self, outcome: Outcome) {
        self.ended = true;
        let now = self.d.clock.now();
        self.d.services.with(&self.service, |service| {
            service.picker.ended(self.key, self.demand, outcome, now);
        });
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        if !self.ended {
            self.record(Outcome::Cancelled);
        }
    }
}

/// Returns the upstreams of a record that may be chosen.
///
/// A leaving or dead daemon's upstreams are left out at once: its host admits
/// nothing more.
fn known(d: &Daemon, record: &Record) -> Vec<(String, UpstreamInfo)> {
    if !matches!(record.health, Health::Alive | Health::Suspect) {
        return Vec::new();
    }
    let is_near = record.domain == d.settings.failure_domain;
    let locality = match (record.host == d.me, is_near) {
        (true, _) => Locality::SameHost,
        (_, true) => Locality::SameDomain,
        _ => Locality::OtherDomain,
    };
    record
        .endpoints
        .iter()
        .filter_map(|endpoint| {
            let Endpoint { service, version, instance, .. } = endpoint;
            let name = d.rollouts.lane_name(service, version, instance)?;
            let has_left = d.signals.has_left(record.host, instance);
            let known = UpstreamInfo {
                host: record.host,
                instance: endpoint.instance.clone(),
                locality,
                slots: endpoint.slots,
                readiness: if has_left { Readiness::Draining } else { endpoint.readiness },
                host_suspected: record.health == Health::Suspect,
            };
            Some((name, known))
        })
        .collect()
}

fn shard_of(name: &str) -> usize {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish() as usize % SHARDS
}
