//! Upstream selection and retry budgets of each service, sharded by service.

use super::{Daemon, lock};
use cicadashift_core::ids::{HostKey, split_incarnation_name};
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
/// Fraction of the allowed ratio of retries to first attempts that is used. The rest is for
/// what a daemon does not see: calls that a repeated run makes again, and windows with fewer
/// first attempts than when the retries were earned.
const SAFE_SHARE: f64 = 0.5;
/// Fraction of the slack that is used. Lower than [`SAFE_SHARE`], since each daemon's bucket
/// may go into debt for part of a retry, and all daemons may do so at the same time.
const SLACK_SHARE: f64 = 0.25;
/// Fraction of the earned retries that hedged attempts are timed for. The rest is for retries
/// of calls that failed.
const HEDGE_SHARE: f64 = 0.8;
/// Fraction of a window for which earned retries are saved. Two services may use their saved
/// retries in the same window, and calls that repeated runs of one service make count at the
/// other.
const SAVED_SHARE: f64 = 0.1;

/// Load balancer and retry budget of one service.
pub struct Service {
    /// Chooses among the service's upstreams.
    pub picker: Picker,
    /// Retry budget of the service's calls.
    pub budget: RetryBudget,
}

impl Service {
    /// Records the start of an attempt at the chosen upstream.
    ///
    /// `tried` are the upstreams of earlier attempts of the call.
    fn start_attempt(
        &mut self,
        choice: Choice,
        demand: Demand,
        now: Instant,
        tried: &[UpstreamKey],
    ) -> Target {
        let has_room = self.picker.has_room(choice.key, now);
        let has_faster = self.picker.has_faster(choice.key, demand, now, tried);
        self.picker.started(choice.key);
        let info = self.picker.info(choice.key);
        let (host, locality, instance) = (info.host, info.locality, info.instance.clone());
        let available = self.picker.len();
        Target { choice, host, locality, instance, has_room, has_faster, available }
    }
}

/// Retry delay when no upstream of the service is announced yet: reports arrive every second
/// or two.
const UNANNOUNCED_WAIT: Duration = Duration::from_millis(600);

type Shard = Mutex<HashMap<String, Service>>;

/// All services by name.
pub struct Services {
    policy: Policy,
    /// Held while membership is read and applied. Failure: two threads read it in one order
    /// and apply it in the other. Symptom: an upstream that left is chosen until the next
    /// change. Under the lock, the last state read is the last one applied.
    syncing: Mutex<()>,
    shards: [Shard; SHARDS],
}

/// A chosen upstream and how to reach it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The picker's choice.
    pub choice: Choice,
    /// The upstream's host, whose daemon decides on admission.
    pub host: HostKey,
    /// Locality of the host.
    pub locality: Locality,
    /// The upstream's name in the mesh.
    pub instance: String,
    /// Whether the upstream had a free slot, as far as this daemon knows.
    pub has_room: bool,
    /// Whether another upstream probably has a free slot on a machine that is not slow.
    pub has_faster: bool,
    /// Number of upstreams of the service that accept calls.
    pub available: usize,
}

impl Services {
    /// Creates an empty set of services.
    pub fn new(policy: Policy) -> Services {
        Services { policy, syncing: Mutex::new(()), shards: Default::default() }
    }

    /// Updates the upstreams of all services from the membership table.
    pub fn sync(&self, d: &Daemon) {
        let _guard = lock(&self.syncing);
        let now = d.clock.now();
        let mut by_service: HashMap<String, Vec<UpstreamInfo>> = HashMap::new();
        for record in d.members.all() {
            for (service, info) in selectable_upstreams(d, &record) {
                by_service.entry(service).or_default().push(info);
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

    /// Calls `f` with a service under its lock; returns `None` if the service was never
    /// announced.
    pub fn with<T>(&self, name: &str, f: impl FnOnce(&mut Service) -> T) -> Option<T> {
        lock(&self.shards[shard_of(name)]).get_mut(name).map(f)
    }

    /// Credits the service's retry budget for the first attempt of a call.
    pub fn earn_retries(&self, d: &Daemon, name: &str) {
        let (allowance, now) = (allowance(d), d.clock.now());
        self.with(name, |service| {
            service.budget.earn(allowance, now);
            service.picker.set_hedge_share(allowance.earned_per_attempt * HEDGE_SHARE);
        });
    }

    /// Chooses an upstream and records the start of the attempt; `tried` lists the upstreams
    /// of earlier attempts.
    ///
    /// # Errors
    ///
    /// Returns the retry delay if no upstream accepts calls.
    pub fn choose(
        &self,
        name: &str,
        demand: Demand,
        now: Instant,
        tried: &[UpstreamKey],
    ) -> Result<Target, Duration> {
        let chosen = self.with(name, |service| {
            let choice = service.picker.choose(demand, now, fastrand::u64(..), tried)?;
            Ok(service.start_attempt(choice, demand, now, tried))
        });
        chosen.unwrap_or(Err(UNANNOUNCED_WAIT))
    }

    /// Chooses an upstream for a hedged attempt and pays for the attempt from the retry budget;
    /// returns `None` if no upstream has room or the budget is exhausted.
    pub fn choose_hedge(
        &self,
        name: &str,
        demand: Demand,
        now: Instant,
        tried: &[UpstreamKey],
    ) -> Option<Target> {
        let chosen = self.with(name, |service| {
            let choice = service.picker.choose(demand, now, fastrand::u64(..), tried).ok()?;
            let is_allowed = service.picker.may_hedge(choice.key, now)
                && service.budget.spend(fastrand::u64(..));
            is_allowed.then(|| service.start_attempt(choice, demand, now, tried))
        });
        chosen.flatten()
    }

    /// Marks a host as silent, or as no longer silent.
    pub fn set_silent(&self, host: HostKey, is_silent: bool) {
        for shard in &self.shards {
            for service in lock(shard).values_mut() {
                service.picker.set_silent(host, is_silent);
            }
        }
    }

    /// Returns how many upstreams of a service accept calls.
    pub fn available(&self, name: &str) -> usize {
        self.with(name, |service| service.picker.len()).unwrap_or(0)
    }
}

/// Returns this daemon's part of the retries that the settings allow to all daemons.
fn allowance(d: &Daemon) -> Allowance {
    let retries = d.tunable.get().retries;
    let daemons = d.members.live_count().max(1) as f64;
    Allowance {
        earned_per_attempt: retries.ratio * SAFE_SHARE,
        max_saved: retries.slack * SLACK_SHARE / daemons,
        saved_for: Duration::from_secs_f64(retries.window_s * SAVED_SHARE),
    }
}

/// An attempt in flight. If it is dropped before [`AttemptGuard::end`], such as when the
/// caller disconnects, the attempt is recorded as cancelled.
pub struct AttemptGuard {
    d: Arc<Daemon>,
    service: String,
    key: UpstreamKey,
    demand: Demand,
    ended: bool,
}

impl AttemptGuard {
    /// Creates the guard of an attempt that [`Services::choose`] or
    /// [`Services::choose_hedge`] started.
    pub fn new(d: &Arc<Daemon>, service: &str, key: UpstreamKey, demand: Demand) -> AttemptGuard {
        AttemptGuard { d: d.clone(), service: service.to_string(), key, demand, ended: false }
    }

    /// Records the outcome of the attempt.
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

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if !self.ended {
            self.record(Outcome::Cancelled);
        }
    }
}

/// Returns the upstreams in a membership record that may be chosen.
///
/// The upstreams of a daemon that is leaving or dead are left out at once, since that daemon
/// admits no more calls.
fn selectable_upstreams(d: &Daemon, record: &Record) -> Vec<(String, UpstreamInfo)> {
    if !matches!(record.health, Health::Alive | Health::Suspect) {
        return Vec::new();
    }
    let now = d.clock.now();
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
            // Whatever its host reports: its daemon may have forgotten in a restart.
            let (id, start) = split_incarnation_name(instance);
            let is_leaving = d.departures.contains(record.host, id, start.unwrap_or(0), now);
            let info = UpstreamInfo {
                host: record.host,
                instance: endpoint.instance.clone(),
                locality,
                slots: endpoint.slots,
                readiness: if is_leaving { Readiness::Draining } else { endpoint.readiness },
                host_suspected: record.health == Health::Suspect,
            };
            Some((name, info))
        })
        .collect()
}

fn shard_of(name: &str) -> usize {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish() as usize % SHARDS
}
