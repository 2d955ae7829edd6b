//! Upstreams on this host: which there are ([`Gates`]), admission to each ([`local`]),
//! and whether one ended ([`ended`]).

mod end_check;
pub mod ended;
pub mod local;

use super::{Daemon, lock};
use cicadashift_core::membership::record::{Endpoint, Readiness};
use cicadashift_edge::interface::Announcement;
use local::{LATE_REPORT, Load, LocalUpstream};
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time between two looks at reports.
const TICK: Duration = Duration::from_millis(250);
/// Instances that ended, remembered so that a late report does not bring one
/// back. One host has one upstream at a time; sixteen lives are hours.
const ENDED_KEPT: usize = 16;

/// Upstreams on this host by instance name.
#[derive(Default)]
pub struct Gates {
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    by_name: HashMap<String, Arc<LocalUpstream>>,
    /// Instances that left or whose address another one has now, newest last.
    ended: VecDeque<Ended>,
}

struct Ended {
    instance: String,
    start: u64,
    at: Instant,
}

impl Gates {
    /// Makes a set without upstreams.
    pub fn new() -> Gates {
        Gates::default()
    }

    /// Takes in an announcement and tells the mesh.
    pub fn announce(&self, d: &Daemon, announced: Announcement) {
        let now = d.clock.now();
        let (news, replaced) = lock(&self.inner).announce(announced, now);
        for local in replaced {
            local.drain();
        }
        if news {
            self.publish(d);
        }
    }

    /// Takes in a report; `false` if the instance is not known.
    pub fn report(&self, d: &Daemon, instance: &str, readiness: Readiness) -> bool {
        let known = lock(&self.inner).known(instance);
        let Some(local) = known else { return false };
        let changed = local.report(readiness, d.clock.now());
        if changed {
            self.publish(d);
        }
        true
    }

    /// Takes an upstream away; its calls in progress end as they may.
    ///
    /// `start` tells which start of the instance is meant, zero whichever is known. A
    /// farewell of an earlier one that comes late takes nothing away.
    pub fn remove(&self, d: &Daemon, instance: &str, start: u64) -> bool {
        let removed = lock(&self.inner).end(instance, start, d.clock.now());
        let Some(local) = removed else { return false };
        local.drain();
        self.publish(d);
        true
    }

    /// Takes in that an upstream said in an answer that it leaves.
    pub fn drain(&self, d: &Daemon, local: &LocalUpstream) {
        if local.leave() {
            self.publish(d);
        }
    }

    /// Takes in that an upstream said it is another instance.
    ///
    /// Failure: the report of an instance that ended arrives after that of the
    /// one which has its address now. Symptom: every call is refused as
    /// misdirected until the next report. The one that answers is believed.
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

    fn publish(&self, d: &Daemon) {
        let mut endpoints: Vec<_> =
            self.locals().iter().map(|(_, local)| local.endpoint()).collect();
        endpoints.sort_by(|a, b| a.instance.cmp(&b.instance));
        d.members.set_endpoints(d, endpoints);
    }

    fn tick(&self, d: &Daemon) {
        let now = d.clock.now();
        for (name, local) in self.locals() {
            local.pool.sweep();
            if local.tick(now) {
                log::warn!("upstream {name} is taken for gone: no reports and no connection");
                self.lose(d, &name);
            }
        }
    }

    /// Takes away an upstream that went without a word.
    pub fn lose(&self, d: &Daemon, name: &str) {
        d.metrics.incr("upstream.lost");
        let removed = lock(&self.inner).by_name.remove(name);
        removed.iter().for_each(|local| local.drain());
        self.publish(d);
    }
}

impl Inner {
    /// Returns whether there is news for the mesh, and which upstreams the
    /// announced one replaces.
    fn announce(
        &mut self,
        announced: Announcement,
        now: Instant,
    ) -> (bool, Vec<Arc<LocalUpstream>>) {
        let (name, start) = (announced.instance.clone(), announced.start);
        if self.has_ended(&name, start, now) {
            log::info!("upstream {name} has ended; its late report is not taken in");
            return (false, Vec::new());
        }
        if let Some(local) = self.known(&name) {
            if local.is_later_start_than(start, now) {
                log::info!("upstream {name} started anew; a late report is not taken in");
                return (false, Vec::new());
            }
            if local.address == announced.address && local.is_start(start) {
                return (local.renew(announced, now), Vec::new());
            }
        }
        // An address has one instance, and an instance runs once: a new one means that
        // the old ended.
        let is_replaced = |local: &Arc<LocalUpstream>| {
            local.address == announced.address || local.instance == name
        };
        let replaced: Vec<(String, u64)> = self
            .by_name
            .values()
            .filter(|local| is_replaced(local))
            .map(|local| (local.instance.clone(), local.start()))
            .collect();
        let end = |(instance, start): &(String, u64)| self.end(instance, *start, now);
        let gone: Vec<_> = replaced.iter().filter_map(end).collect();
        // It may only have moved: what is announced has not ended.
        self.ended.retain(|ended| ended.instance != name || ended.start != start);
        log::info!("upstream {name} of {} announced, started at {start}", announced.service);
        let local = Arc::new(LocalUpstream::new(announced, now));
        self.by_name.insert(local.name.clone(), local);
        (true, gone)
    }

    /// Returns the start of an instance that is known here.
    fn known(&self, instance: &str) -> Option<Arc<LocalUpstream>> {
        self.by_name.values().find(|local| local.instance == instance).cloned()
    }

    /// Returns whether a report is of a start that has ended.
    fn has_ended(&self, instance: &str, start: u64, now: Instant) -> bool {
        self.ended.iter().filter(|ended| ended.instance == instance).any(|ended| {
            let is_late = now.saturating_duration_since(ended.at) < LATE_REPORT;
            start == ended.start || start == 0 || (start < ended.start && is_late)
        })
    }

    fn end(&mut self, instance: &str, start: u64, now: Instant) -> Option<Arc<LocalUpstream>> {
        let known = self.known(instance);
        if known.as_ref().is_some_and(|local| !local.is_start(start)) {
            return None;
        }
        let start = known.as_ref().map_or(start, |local| local.start());
        self.ended.retain(|ended| ended.instance != instance || ended.start != start);
        self.ended.push_back(Ended { instance: instance.to_string(), start, at: now });
        while self.ended.len() > ENDED_KEPT {
            self.ended.pop_front();
        }
        self.by_name.remove(&known?.name)
    }
}

/// Takes upstreams that fell silent for gone, and queues up to date.
pub async fn run(d: Arc<Daemon>) {
    loop {
        smol::Timer::after(TICK).await;
        d.gates.tick(&d);
        d.mesh_pool.sweep();
    }
}
