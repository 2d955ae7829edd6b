//! Membership's state: the table, what is to be told, who answers.

use super::{Daemon, lock};
use crate::settings::{InterfaceKind, Settings};
use cicadashift_core::ids::{HostKey, Incarnation};
use cicadashift_core::membership::detector::{Action, Detector};
use cicadashift_core::membership::gossip::{
    BRIDGES, Candidates, DATAGRAMS_PER_ROUND, GOSSIP_FANOUT, Queue, RECORDS_PER_DATAGRAM,
};
use cicadashift_core::membership::record::{Endpoint, Health, Record};
use cicadashift_core::membership::table::{Applied, Comparison, JournalPos, Table};
use cicadashift_core::rollout::Stage;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

/// Daemons of a failure domain that follow the store for the others. Each reads
/// every version whole, which on a link of 5 Mbit/s delays its requests by a third
/// of a second; with four of them instead of two the median way to the narrow ones
/// took 284 ms under five changes in two seconds, and 10 ms to the others.
const FOLLOWERS: usize = 2;
/// Daemons of a failure domain that keep an entry in the store. Any one of them, of any
/// domain, is enough to find the mesh.
const ENTRIES: usize = 2;
/// Daemons of a failure domain up to which all of them follow the store: so few
/// cost it little, and rely on nobody.
const ALL_FOLLOW: usize = 4;

/// Daemons of a failure domain for each that keeps limits.
const MEMBERS_PER_KEEPER: usize = 32;

/// Other daemons up to which urgent news go to all of them at once: a few kilobytes, and
/// nobody has to pass them on.
const FEW: usize = 16;

/// Returns the two followers that a member hears heartbeats of; the first is the one
/// that it asks for changes.
pub fn followers_of(followers: &[HostKey], member: HostKey) -> [Option<HostKey>; 2] {
    let at = |offset: u64| {
        let place = member.0.wrapping_add(offset) % followers.len().max(1) as u64;
        followers.get(place as usize).copied()
    };
    [at(0), at(1)]
}

struct Inner {
    table: Table,
    queue: Queue<HostKey, Record>,
    detector: Detector,
    /// Every service that was ever announced, as far as this life has heard. A
    /// service without an upstream at the moment still exists.
    catalog: BTreeSet<String>,
}

/// Membership's state of one daemon.
pub struct Members {
    inner: Mutex<Inner>,
    me: HostKey,
    domain: String,
    /// Whether all daemons of the mesh probe and tell each other, not only those
    /// of one failure domain.
    flat: bool,
    live: AtomicUsize,
}

impl Members {
    /// Makes the state of a daemon that knows only itself.
    pub fn new(
        settings: &Settings,
        me: HostKey,
        life: Incarnation,
        mesh: SocketAddr,
        now: Instant,
    ) -> Members {
        let own = Record {
            host: me,
            name: settings.host.clone(),
            domain: settings.failure_domain.clone(),
            life,
            seq: 0,
            health: Health::Alive,
            near: settings.near_address.unwrap_or(mesh),
            far: settings.far_address.unwrap_or(mesh),
            link_kbps: settings.link_mbps.map_or(0, |mbps| (mbps * 1e3) as u32),
            reader: false,
            endpoints: Vec::new(),
            rollouts: Vec::new(),
        };
        let inner = Inner {
            table: Table::new(own, now),
            queue: Queue::default(),
            detector: Detector::new(now),
            catalog: BTreeSet::new(),
        };
        let domain = settings.failure_domain.clone();
        let flat = settings.interface == InterfaceKind::Platform;
        Members { inner: Mutex::new(inner), me, domain, flat, live: AtomicUsize::new(1) }
    }

    /// Returns how many daemons of the mesh are believed to run, this one
    /// included.
    pub fn live_count(&self) -> usize {
        self.live.load(Ordering::Relaxed)
    }

    /// The failure domain within which members probe and tell each other.
    fn scope(&self) -> Option<&str> {
        if self.flat { None } else { Some(&self.domain) }
    }

    /// Takes records in and spreads those that are new; returns whether any was.
    pub fn apply(&self, d: &Daemon, records: Vec<Record>) -> bool {
        self.take_in(d, records, true)
    }

    /// Takes the answer to a comparison in.
    ///
    /// Failure: a daemon that starts gets the whole table, all of it new to it, and
    /// spreads it. Symptom: each start sends some 295 records 18 times, and real news
    /// wait behind them. One that is told more than it knew before is the one that was
    /// behind; what it was told is no news to others.
    pub fn join(&self, d: &Daemon, records: Vec<Record>) -> bool {
        let is_behind = records.len() > lock(&self.inner).table.len();
        self.take_in(d, records, !is_behind)
    }

    fn take_in(&self, d: &Daemon, records: Vec<Record>, spread: bool) -> bool {
        let now = d.clock.now();
        let mut changed = false;
        {
            let mut inner = lock(&self.inner);
            for record in records {
                changed |= inner.take(record, spread, now);
            }
        }
        if changed {
            self.changed(d);
        }
        changed
    }

    fn told_rollouts(&self) -> Vec<Stage> {
        let inner = lock(&self.inner);
        inner.table.iter().flat_map(|record| &record.rollouts).cloned().collect()
    }

    /// Passes a changed table on to what is derived from it.
    fn changed(&self, d: &Daemon) {
        let live = lock(&self.inner).table.iter().filter(|record| record.is_live()).count();
        self.live.store(live, Ordering::Relaxed);
        let told: Vec<Stage> = self.told_rollouts();
        told.iter().for_each(|stage| {
            d.rollouts.apply_stage(stage, d.clock.now());
        });
        d.services.sync(d);
    }

    /// Changes this daemon's own record and spreads it.
    pub fn update_own(&self, d: &Daemon, change: impl FnOnce(&mut Record)) {
        {
            let mut inner = lock(&self.inner);
            let record = inner.table.update_own(d.clock.now(), change);
            let services: Vec<_> = record.endpoints.iter().map(|e| e.service.clone()).collect();
            inner.catalog.extend(services);
            inner.queue.push(record.host, record);
        }
        self.changed(d);
    }

    /// Announces the upstreams of this host.
    pub fn set_endpoints(&self, d: &Daemon, endpoints: Vec<Endpoint>) {
        if self.own().endpoints != endpoints {
            self.update_own(d, |own| own.endpoints = endpoints);
        }
    }

    /// Announces that this daemon stops.
    pub fn announce_leaving(&self, d: &Daemon) {
        self.update_own(d, |own| own.health = Health::Leaving);
    }

    /// Records a belief about another daemon and spreads it.
    pub fn believe(&self, d: &Daemon, host: HostKey, health: Health) {
        let changed = {
            let mut inner = lock(&self.inner);
            let record = inner.table.set_health(host, health, d.clock.now());
            record.map(|record| inner.queue.push(record.host, record)).is_some()
        };
        if changed {
            self.changed(d);
        }
    }

    /// Notes that a member answered.
    pub fn answered(&self, host: HostKey) {
        lock(&self.inner).detector.answered(host);
    }

    /// Returns the probes that are due.
    pub fn tick(&self, now: Instant, random: u64) -> Vec<Action> {
        let mut inner = lock(&self.inner);
        inner.table.sweep(now);
        let others = inner.others(self.me, self.scope());
        inner.detector.tick(now, &others, random)
    }

    /// Returns whom one round of gossip goes to.
    pub fn audience(&self) -> Vec<HostKey> {
        let inner = lock(&self.inner);
        let mut near = inner.table.live(Some(&self.domain));
        near.retain(|host| *host != self.me);
        let mut audience = Candidates { near, ..Candidates::default() };
        if self.flat {
            let others = inner.table.domains().into_iter().filter(|domain| *domain != self.domain);
            audience.far = others.map(|domain| inner.widest(&domain)).collect();
            audience.far.retain(|members| !members.is_empty());
            audience.is_bridge =
                inner.widest(&self.domain).iter().take(BRIDGES).any(|h| *h == self.me);
        }
        drop(inner);
        audience.sample(|most| fastrand::usize(..most.max(1)))
    }

    /// Returns whom news go to that every daemon is to have within milliseconds: all
    /// others where they are few, or else some of the own failure domain and one of each
    /// other, who do the same.
    pub fn audience_at_once(&self) -> Vec<HostKey> {
        let inner = lock(&self.inner);
        let mut all = inner.others(self.me, None);
        if all.len() <= FEW {
            return all;
        }
        fastrand::shuffle(&mut all);
        let domain_of = |host: &HostKey| inner.table.get(*host).map(|record| &record.domain);
        let mut taken: BTreeMap<&String, usize> = BTreeMap::new();
        let mut is_taken = |host: &HostKey| {
            let Some(domain) = domain_of(host) else { return false };
            let most = if *domain == self.domain { GOSSIP_FANOUT } else { 1 };
            let count = taken.entry(domain).or_default();
            *count += 1;
            *count <= most
        };
        all.retain(&mut is_taken);
        all
    }

    /// Returns the records for one round of gossip.
    pub fn take_round(&self) -> Vec<Record> {
        lock(&self.inner).queue.take_round(RECORDS_PER_DATAGRAM * DATAGRAMS_PER_ROUND)
    }

    /// Returns whether there is nothing to tell.
    pub fn is_quiet(&self) -> bool {
        lock(&self.inner).queue.is_empty()
    }

    /// Returns this daemon's own record.
    pub fn own(&self) -> Record {
        lock(&self.inner).table.own().clone()
    }

    /// Returns a host's name for people.
    pub fn name_of(&self, host: HostKey) -> String {
        self.get(host).map_or_else(|| format!("{:016x}", host.0), |record| record.name)
    }

    /// Returns a host's record.
    pub fn get(&self, host: HostKey) -> Option<Record> {
        lock(&self.inner).table.get(host).cloned()
    }

    /// Returns the address of a host, as seen from this failure domain.
    pub fn address(&self, host: HostKey) -> Option<SocketAddr> {
        let inner = lock(&self.inner);
        let record = inner.table.get(host)?;
        Some(if record.domain == self.domain { record.near } else { record.far })
    }

    /// Returns the hosts of another one's failure domain, that one included.
    pub fn beside(&self, host: HostKey) -> Vec<HostKey> {
        let inner = lock(&self.inner);
        let domain = inner.table.get(host).map(|record| record.domain.as_str());
        let beside = inner.table.iter().filter(|record| Some(record.domain.as_str()) == domain);
        beside.map(|record| record.host).collect()
    }

    /// Returns whether a host is known to be in another failure domain.
    pub fn is_far(&self, host: HostKey) -> bool {
        let inner = lock(&self.inner);
        inner.table.get(host).is_some_and(|record| record.domain != self.domain)
    }

    /// Returns the host that has a mesh address.
    pub fn at_address(&self, addr: SocketAddr) -> Option<HostKey> {
        let inner = lock(&self.inner);
        let found = inner.table.iter().find(|record| record.far == addr || record.near == addr);
        found.map(|record| record.host)
    }

    /// Returns whether the daemon at a mesh address is believed to run.
    pub fn is_live_at(&self, addr: SocketAddr) -> bool {
        let inner = lock(&self.inner);
        inner.table.iter().any(|record| record.far == addr && record.is_live())
    }

    /// Returns all records.
    pub fn all(&self) -> Vec<Record> {
        lock(&self.inner).table.iter().cloned().collect()
    }

    /// Returns the live members of the own failure domain but this one.
    pub fn others(&self) -> Vec<HostKey> {
        lock(&self.inner).others(self.me, self.scope())
    }

    /// Returns the members of the own failure domain that are to follow the store
    /// for it, the same at each of them where their tables agree: those with the
    /// widest links, since a narrow one carries a configuration for a third of a
    /// second.
    pub fn followers(&self) -> Vec<HostKey> {
        let mut fit = lock(&self.inner).widest(&self.domain);
        if fit.len() > ALL_FOLLOW {
            fit.truncate(FOLLOWERS);
        }
        fit
    }

    /// Returns whether this daemon keeps an entry in the store for its failure domain,
    /// by which daemons that start find the others.
    pub fn keeps_entry(&self) -> bool {
        let widest = lock(&self.inner).widest(&self.domain);
        widest.iter().take(ENTRIES).any(|host| *host == self.me)
    }

    /// Returns the members of the own failure domain that this follower sends its
    /// heartbeats to: each hears two followers.
    pub fn members_of(&self, followers: &[HostKey], follower: HostKey) -> Vec<HostKey> {
        let live = lock(&self.inner).table.live(Some(&self.domain));
        live.into_iter()
            .filter(|host| !followers.contains(host))
            .filter(|host| followers_of(followers, *host).contains(&Some(follower)))
            .collect()
    }

    /// Returns the daemons that are believed dead.
    pub fn lost(&self) -> Vec<HostKey> {
        let inner = lock(&self.inner);
        let dead = inner.table.iter().filter(|record| record.health == Health::Dead);
        dead.map(|record| record.host).collect()
    }

    /// Returns how many daemons are believed dead.
    pub fn lost_count(&self) -> usize {
        let inner = lock(&self.inner);
        inner.table.iter().filter(|record| record.health == Health::Dead).count()
    }

    /// Returns the daemons that keep limits for the others: one of each
    /// [`MEMBERS_PER_KEEPER`] of a failure domain, so that the reports that one takes in
    /// do not grow with the mesh; those with the widest links.
    pub fn limit_keepers(&self) -> Vec<HostKey> {
        let inner = lock(&self.inner);
        let mut keepers = Vec::new();
        for domain in inner.table.domains() {
            let mut widest = inner.widest(&domain);
            widest.truncate(widest.len().div_ceil(MEMBERS_PER_KEEPER));
            keepers.extend(widest);
        }
        keepers
    }

    /// Returns live daemons of other failure domains.
    pub fn far(&self) -> Vec<Record> {
        let inner = lock(&self.inner);
        inner
            .table
            .iter()
            .filter(|record| record.is_live() && record.domain != self.domain)
            .cloned()
            .collect()
    }

    /// Returns each host with a number that tells the state of its record.
    pub fn outline(&self) -> Vec<(HostKey, u64)> {
        lock(&self.inner).table.outline()
    }

    /// Compares the table with the outline of another member's.
    pub fn compare(&self, outline: &[(HostKey, u64)]) -> Comparison {
        lock(&self.inner).table.compare(outline)
    }

    /// Returns the records of some hosts, as far as they are known.
    pub fn records_of(&self, hosts: &[HostKey]) -> Vec<Record> {
        lock(&self.inner).table.records_of(hosts)
    }

    /// Returns the records that changed after a position, and the new position.
    pub fn since(&self, pos: JournalPos) -> (Vec<Record>, JournalPos) {
        lock(&self.inner).table.since(pos)
    }

    /// Returns the digest of the own failure domain's table.
    pub fn digest(&self) -> u64 {
        lock(&self.inner).table.digest()
    }

    /// Returns the services ever announced.
    pub fn catalog(&self) -> Vec<String> {
        lock(&self.inner).catalog.iter().cloned().collect()
    }

    /// Adds services that others heard of.
    pub fn add_catalog(&self, services: Vec<String>) {
        lock(&self.inner).catalog.extend(services);
    }

    /// Returns the first of the services that nobody ever announced.
    pub fn first_unknown<'a>(&self, services: &[&'a str]) -> Option<&'a str> {
        let inner = lock(&self.inner);
        services.iter().copied().find(|service| !inner.catalog.contains(*service))
    }
}

impl Inner {
    /// Takes a record in, and spreads it if it is to.
    fn take(&mut self, record: Record, spread: bool, now: Instant) -> bool {
        let (host, health) = (record.host, record.health);
        let services: Vec<_> = record.endpoints.iter().map(|e| e.service.clone()).collect();
        match (self.table.apply(record.clone(), now), spread) {
            (Applied::Old, _) => return false,
            (Applied::New, true) => self.queue.push(host, record),
            (Applied::New, false) => {}
            (Applied::Refute, _) => self.queue.push(host, self.table.own().clone()),
        }
        match health {
            Health::Suspect => self.detector.suspected(host, now),
            _ => self.detector.answered(host),
        }
        self.catalog.extend(services);
        true
    }

    /// Returns the members of a failure domain that answer, those with the widest links
    /// first.
    fn widest(&self, domain: &str) -> Vec<HostKey> {
        let fit = self
            .table
            .iter()
            .filter(|record| record.domain == domain && record.health == Health::Alive);
        let mut fit: Vec<_> = fit.map(|record| (Reverse(record.link_kbps), record.host)).collect();
        fit.sort_unstable();
        fit.into_iter().map(|(_, host)| host).collect()
    }

    fn others(&self, me: HostKey, scope: Option<&str>) -> Vec<HostKey> {
        self.table.live(scope).into_iter().filter(|host| *host != me).collect()
    }
}
