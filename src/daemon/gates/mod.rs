//! Upstreams on this host: the set of them ([`Gates`]), admission to each ([`local`]), and
//! the check whether one ended ([`ended`]).

mod end_check;
pub mod ended;
pub mod local;

use super::{Daemon, departures, health, lock};
use cicadashift_core::membership::departures::Departure;
use cicadashift_core::membership::record::{Endpoint, Readiness};
use cicadashift_core::membership::reports::{Credibility, ReportHistory, ReportId};
use cicadashift_core::membership::silence::Action;
use cicadashift_edge::interface::Announcement;
use cicadashift_http::exec;
use cicadashift_http::reactor::Timer;
use local::{Load, LocalUpstream};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Interval between two checks for missing reports.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Upstreams on this host.
pub struct Gates {
    started: Instant,
    inner: Mutex<Inner>,
}

struct Inner {
    /// Upstreams by name in the mesh.
    by_name: HashMap<String, Arc<LocalUpstream>>,
    /// What is remembered of earlier reports.
    history: ReportHistory,
}

/// How an announcement is known to tell the present state of its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// By the announcement alone.
    Report,
    /// The upstream's health confirms it, or the interface has no late reports.
    Confirmed,
}

impl Gates {
    /// Creates an empty set, of a daemon that starts now; `now_ms` is the host's wall clock in Unix
    /// milliseconds.
    pub fn new(now: Instant, now_ms: u64) -> Gates {
        let inner = Inner { by_name: HashMap::new(), history: ReportHistory::new(now, now_ms) };
        Gates { started: now, inner: Mutex::new(inner) }
    }

    /// Returns when the daemon started.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// Applies an announcement and publishes the change to the mesh; returns what it was
    /// taken for. One that is [`Credibility::Unconfirmed`] is not applied.
    pub fn announce(
        &self,
        d: &Daemon,
        mut announcement: Announcement,
        evidence: Evidence,
    ) -> Credibility {
        let now = d.clock.now();
        let Announcement { instance, start, .. } = &announcement;
        let is_departed = d.departures.contains(d.me, instance, *start, now);
        if is_departed && announcement.readiness != Readiness::Draining {
            log::info!("upstream {instance} is leaving, as other daemons remember");
            announcement.readiness = Readiness::Draining;
        }
        let Announced { credibility, is_changed, replaced } = {
            let mut inner = lock(&self.inner);
            // An instance that left has no address any more that another one answers at.
            if is_departed && inner.has_other_at(announcement.address, &announcement.instance) {
                log::info!("upstream {} has left; late report ignored", announcement.instance);
                return Credibility::Outdated;
            }
            inner.announce(announcement, evidence, now)
        };
        for local in replaced {
            local.drain();
        }
        if is_changed {
            self.publish(d);
        }
        credibility
    }

    /// Records that the health of an upstream denies a report, which is not applied.
    pub fn record_denial(&self, denied: &Announcement) {
        lock(&self.inner).history.denied(&report_id(denied));
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

    /// Removes an upstream; its calls in flight are not cut off.
    ///
    /// `start` is the start time of the incarnation to remove, or zero for any. A late leave
    /// message of an earlier incarnation therefore removes nothing.
    pub fn remove(&self, d: &Daemon, instance: &str, start: u64) -> Removed {
        let (removed, start) = lock(&self.inner).end_instance(instance, start, d.clock.now());
        if let Some(local) = &removed {
            local.drain();
            self.publish(d);
        }
        Removed { was_present: removed.is_some(), start }
    }

    /// Returns the start time of an instance that is leaving, if it is on this host.
    pub fn leaving_start(&self, instance: &str) -> Option<u64> {
        let local = lock(&self.inner).find_instance(instance)?;
        local.is_leaving().then(|| local.start())
    }

    /// Removes the upstream on this host that other daemons remember as leaving, unless it is
    /// drained already; its calls in flight are not cut off.
    ///
    /// If its start time was not known, its next report tells whether it is the departed
    /// incarnation.
    pub fn apply_departure(&self, d: &Daemon, departure: &Departure) {
        let removed = {
            let mut inner = lock(&self.inner);
            let found = inner.find_instance(&departure.instance);
            let departed =
                found.filter(|local| local.matches_start(departure.start) && !local.is_leaving());
            departed.and_then(|local| inner.by_name.remove(&local.name))
        };
        let Some(local) = removed else { return };
        log::info!("upstream {} is leaving, as other daemons remember", local.name);
        local.drain();
        self.publish(d);
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
            lock(&self.inner).history.found_alive(other);
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

    /// Removes an upstream that ended without a report. Only a later report than its last one
    /// brings it back.
    pub fn remove_lost(&self, d: &Daemon, name: &str) {
        d.metrics.incr("upstream.lost");
        let removed = {
            let mut inner = lock(&self.inner);
            let removed = inner.by_name.remove(name);
            removed.iter().for_each(|local| inner.history.found_gone(local.last_report()));
            removed
        };
        removed.iter().for_each(|local| local.drain());
        self.publish(d);
    }
}

/// Result of [`Gates::remove`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Removed {
    /// Whether the upstream was on this host.
    pub was_present: bool,
    /// Start time of the incarnation that ended, or zero if it is unknown.
    pub start: u64,
}

/// Result of [`Inner::announce`].
struct Announced {
    credibility: Credibility,
    /// Whether the membership record changed.
    is_changed: bool,
    /// The upstreams that the announced one replaces.
    replaced: Vec<Arc<LocalUpstream>>,
}

impl Announced {
    fn unchanged(credibility: Credibility) -> Announced {
        Announced { credibility, is_changed: false, replaced: Vec::new() }
    }
}

fn report_id(announcement: &Announcement) -> ReportId {
    let Announcement { instance, start, sequence, .. } = announcement;
    ReportId { instance: instance.clone(), start: *start, sequence: *sequence }
}

/// Asks an upstream that sends no reports for its health.
fn check_health(d: &Arc<Daemon>, local: Arc<LocalUpstream>) {
    let d = d.clone();
    exec::spawn(async move {
        let answer = health::request(&d, local.address, &local.instance).await;
        local.record_health(answer);
    })
    .detach();
}

impl Inner {
    fn announce(
        &mut self,
        announcement: Announcement,
        evidence: Evidence,
        now: Instant,
    ) -> Announced {
        let (name, start) = (announcement.instance.clone(), announcement.start);
        let found = self.find_instance(&name);
        let report = report_id(&announcement);
        let is_harmless = announcement.readiness == Readiness::Draining
            && !self.has_other_at(announcement.address, &name);
        match self.history.judge(&report, found.is_some(), now) {
            Credibility::Outdated => {
                log::info!("upstream {name} has ended; late report ignored");
                return Announced::unchanged(Credibility::Outdated);
            }
            Credibility::Unconfirmed if evidence == Evidence::Report && !is_harmless => {
                log::info!("upstream {name}: report {} may be late", report.sequence);
                return Announced::unchanged(Credibility::Unconfirmed);
            }
            Credibility::Unconfirmed | Credibility::Current => {}
        }
        if let Some(local) = found {
            if local.is_newer_than(start, now) {
                log::info!(
                    "upstream {name} started again; late report of an earlier incarnation ignored"
                );
                return Announced::unchanged(Credibility::Outdated);
            }
            if local.address == announcement.address && local.matches_start(start) {
                let is_changed = local.update(announcement, now);
                return Announced { is_changed, ..Announced::unchanged(Credibility::Current) };
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
        let end = |(instance, start): &(String, u64)| self.end_instance(instance, *start, now).0;
        let removed: Vec<_> = replaced.iter().filter_map(end).collect();
        // The instance may only have changed its address, in which case it has not ended.
        self.history.announced(&name, start);
        log::info!(
            "upstream {name} of {} announced, started at {start}, by report {}",
            announcement.service,
            announcement.sequence
        );
        let local = Arc::new(LocalUpstream::new(announcement, now));
        self.by_name.insert(local.name.clone(), local);
        Announced { credibility: Credibility::Current, is_changed: true, replaced: removed }
    }

    /// Returns whether another instance than this one has an address.
    fn has_other_at(&self, address: SocketAddr, instance: &str) -> bool {
        let mut locals = self.by_name.values();
        locals.any(|local| local.address == address && local.instance != instance)
    }

    /// Returns the upstream of an instance, if it is on this host.
    fn find_instance(&self, instance: &str) -> Option<Arc<LocalUpstream>> {
        self.by_name.values().find(|local| local.instance == instance).cloned()
    }

    /// Records that an incarnation ended and removes its upstream, which is returned if there
    /// is one, with the start time as far as it is known. Removes nothing if another
    /// incarnation of the instance is on this host.
    fn end_instance(
        &mut self,
        instance: &str,
        start: u64,
        now: Instant,
    ) -> (Option<Arc<LocalUpstream>>, u64) {
        let found = self.find_instance(instance);
        if found.as_ref().is_some_and(|local| !local.matches_start(start)) {
            return (None, start);
        }
        // Each of the two may know the start time when the other does not.
        let start = found.as_ref().map_or(start, |local| local.start().max(start));
        self.history.ended(instance, start, now);
        (found.and_then(|local| self.by_name.remove(&local.name)), start)
    }
}

/// Removes upstreams that stopped reporting, updates all queues and drops old departures, until
/// cancelled.
pub async fn run(d: Arc<Daemon>) {
    loop {
        Timer::after(TICK_INTERVAL).await;
        d.gates.tick(&d);
        departures::tick(&d);
        d.dependencies.tick(&d);
        d.mesh_pool.sweep();
    }
}
