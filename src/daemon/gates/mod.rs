//! Upstreams on this host: the set of them ([`Gates`]), admission to each ([`local`]), and
//! the check whether one ended ([`ended`]).

mod end_check;
pub mod ended;
pub mod local;

use super::{Daemon, greet, lock};
use cicadashift_core::membership::record::{Endpoint, Readiness};
use cicadashift_core::membership::silence::Action;
use cicadashift_edge::interface::Announcement;
use cicadashift_http::exec;
use cicadashift_http::reactor::Timer;
use local::{LATE_REPORT_WINDOW, Load, LocalUpstream};
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Interval between two checks for missing reports.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of ended instances remembered, so that a late report does not bring one
/// back. A host has one upstream at a time, so sixteen incarnations cover hours.
const MAX_ENDED: usize = 16;

/// Upstreams on this host.
#[derive(Default)]
pub struct Gates {
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    /// Upstreams by name in the mesh.
    by_name: HashMap<String, Arc<LocalUpstream>>,
    /// Instances that left or were replaced, newest last.
    ended: VecDeque<EndedInstance>,
}

struct EndedInstance {
    instance: String,
    start: u64,
    at: Instant,
}

impl Gates {
    /// Creates an empty set.
    pub fn new() -> Gates {
        Gates::default()
    }

    /// Applies an announcement and publishes the change to the mesh.
    pub fn announce(&self, d: &Daemon, announcement: Announcement) {
        let now = d.clock.now();
        let (is_changed, replaced) = lock(&self.inner).announce(announcement, now);
        for local in replaced {
            local.drain();
        }
        if is_changed {
            self.publish(d);
        }
    }

    /// Applies a report; returns `false` if the instance was not announced.
    pub fn report(&self, d: &Daemon, instance: &str, readiness: Readiness) -> bool {
        let found = lock(&self.inner).find_instance(instance);
        let Some(local) = found else { return false };
        let is_changed = local.report(readiness, d.clock.now());
        if is_changed {
            self.publish(d);
        }
        true
    }

    /// Removes an upstream; its calls in flight are not cut off. Returns `false` if there is
    /// no such upstream.
    ///
    /// `start` is the start time of the incarnation to remove, or zero for any. A late leave
    /// message of an earlier incarnation therefore removes nothing.
    pub fn remove(&self, d: &Daemon, instance: &str, start: u64) -> bool {
        let removed = lock(&self.inner).end_instance(instance, start, d.clock.now());
        let Some(local) = removed else { return false };
        local.drain();
        self.publish(d);
        true
    }

    /// Drains an upstream that signalled in an answer that it is leaving.
    pub fn drain(&self, d: &Daemon, local: &LocalUpstream) {
        if local.record_leaving_signal() {
            self.publish(d);
        }
    }

    /// Removes the upstream `name`, at whose address the instance `other` answered, so that
    /// `other` can be announced even if it is remembered as ended.
    ///
    /// Failure: a report of an instance that ended arrives after the report of the instance
    /// that has its address now. Symptom: every call is refused as misdirected until the next
    /// report. The answer therefore takes precedence over the reports.
    pub fn handle_misdirected(&self, d: &Daemon, name: &str, other: Option<&str>) {
        if let Some(other) = other {
            lock(&self.inner).ended.retain(|ended| ended.instance != other);
        }
        if let Some(local) = self.get(name) {
            self.remove(d, &local.instance, local.start());
        }
    }

    /// Returns an upstream by its name in the mesh.
    pub fn get(&self, name: &str) -> Option<Arc<LocalUpstream>> {
        lock(&self.inner).by_name.get(name).cloned()
    }

    /// Returns all upstreams with their load, for `status`.
    pub fn all(&self) -> Vec<(Endpoint, Load)> {
        self.locals().iter().map(|(_, local)| (local.endpoint(), local.load())).collect()
    }

    fn locals(&self) -> Vec<(String, Arc<LocalUpstream>)> {
        let inner = lock(&self.inner);
        inner.by_name.iter().map(|(name, local)| (name.clone(), local.clone())).collect()
    }

    /// Updates the upstreams in this host's membership record.
    fn publish(&self, d: &Daemon) {
        let mut endpoints: Vec<_> =
            self.locals().iter().map(|(_, local)| local.endpoint()).collect();
        endpoints.sort_by(|a, b| a.instance.cmp(&b.instance));
        d.members.set_endpoints(d, endpoints);
    }

    fn tick(&self, d: &Arc<Daemon>) {
        let now = d.clock.now();
        for (name, local) in self.locals() {
            local.pool.sweep();
            match local.tick(now) {
                Action::Keep => {}
                Action::CheckHealth => check_health(d, local),
                Action::Remove => {
                    log::warn!("upstream {name} is taken for gone: it sends no reports");
                    self.remove_lost(d, &name);
                }
            }
        }
    }

    /// Removes an upstream that ended without a report.
    pub fn remove_lost(&self, d: &Daemon, name: &str) {
        d.metrics.incr("upstream.lost");
        let removed = lock(&self.inner).by_name.remove(name);
        removed.iter().for_each(|local| local.drain());
        self.publish(d);
    }
}

/// Asks an upstream that sends no reports for its health.
fn check_health(d: &Arc<Daemon>, local: Arc<LocalUpstream>) {
    let d = d.clone();
    exec::spawn(async move {
        let answer = greet::request_health(&d, local.address, &local.instance).await;
        local.record_health(answer);
    })
    .detach();
}

impl Inner {
    /// Applies an announcement; returns whether the membership record changed, and the
    /// upstreams that the announced one replaces.
    fn announce(
        &mut self,
        announcement: Announcement,
        now: Instant,
    ) -> (bool, Vec<Arc<LocalUpstream>>) {
        let (name, start) = (announcement.instance.clone(), announcement.start);
        if self.has_ended(&name, start, now) {
            log::info!("upstream {name} has ended; late report ignored");
            return (false, Vec::new());
        }
        if let Some(local) = self.find_instance(&name) {
            if local.is_newer_than(start, now) {
                log::info!(
                    "upstream {name} started again; late report of an earlier incarnation ignored"
                );
                return (false, Vec::new());
            }
            if local.address == announcement.address && local.matches_start(start) {
                return (local.update(announcement, now), Vec::new());
            }
        }
        // An address belongs to one instance, and an instance runs only once at a time: a new
        // announcement means that the old upstream ended.
        let is_replaced = |local: &Arc<LocalUpstream>| {
            local.address == announcement.address || local.instance == name
        };
        let replaced: Vec<(String, u64)> = self
            .by_name
            .values()
            .filter(|local| is_replaced(local))
            .map(|local| (local.instance.clone(), local.start()))
            .collect();
        let end = |(instance, start): &(String, u64)| self.end_instance(instance, *start, now);
        let removed: Vec<_> = replaced.iter().filter_map(end).collect();
        // The instance may only have changed its address, in which case it has not ended.
        self.ended.retain(|ended| ended.instance != name || ended.start != start);
        log::info!(
            "upstream {name} of {} announced, started at {start}, by report {}",
            announcement.service,
            announcement.sequence
        );
        let local = Arc::new(LocalUpstream::new(announcement, now));
        self.by_name.insert(local.name.clone(), local);
        (true, removed)
    }

    /// Returns the upstream of an instance, if it is on this host.
    fn find_instance(&self, instance: &str) -> Option<Arc<LocalUpstream>> {
        self.by_name.values().find(|local| local.instance == instance).cloned()
    }

    /// Returns whether a report comes from an incarnation that has ended.
    fn has_ended(&self, instance: &str, start: u64, now: Instant) -> bool {
        self.ended.iter().filter(|ended| ended.instance == instance).any(|ended| {
            let is_late = now.saturating_duration_since(ended.at) < LATE_REPORT_WINDOW;
            start == ended.start || start == 0 || (start < ended.start && is_late)
        })
    }

    /// Records that an incarnation ended and removes its upstream, which is returned if there
    /// is one. Does nothing if another incarnation of the instance is on this host.
    fn end_instance(
        &mut self,
        instance: &str,
        start: u64,
        now: Instant,
    ) -> Option<Arc<LocalUpstream>> {
        let found = self.find_instance(instance);
        if found.as_ref().is_some_and(|local| !local.matches_start(start)) {
            return None;
        }
        let start = found.as_ref().map_or(start, |local| local.start());
        self.ended.retain(|ended| ended.instance != instance || ended.start != start);
        self.ended.push_back(EndedInstance { instance: instance.to_string(), start, at: now });
        while self.ended.len() > MAX_ENDED {
            self.ended.pop_front();
        }
        self.by_name.remove(&found?.name)
    }
}

/// Removes upstreams that stopped reporting and updates all queues, until cancelled.
pub async fn run(d: Arc<Daemon>) {
    loop {
        Timer::after(TICK_INTERVAL).await;
        d.gates.tick(&d);
        d.dependencies.tick(&d);
        d.mesh_pool.sweep();
    }
}
