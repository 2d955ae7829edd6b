//! Membership state of one daemon: the table of records, the queue of changes to gossip,
//! and the failure detector.

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

/// Daemons of a failure domain that follow the store for the others. A follower reads every
/// version completely, which delays its requests by a third of a second on a link of 5 Mbit/s.
/// With four followers instead of two, the median time to reach hosts with narrow links was
/// 284 ms under five changes in two seconds, and 10 ms for the other hosts.
const FOLLOWERS_PER_DOMAIN: usize = 2;
/// Daemons of a failure domain that keep an entry in the store. One entry, of any domain, is
/// enough for a starting daemon to find the mesh.
const ENTRIES_PER_DOMAIN: usize = 2;
/// Largest failure domain, in daemons, in which all of them follow the store: so few add
/// little load to the store, and none depends on a follower.
const ALL_FOLLOW_MAX: usize = 4;

/// Daemons of a failure domain per keeper of limits.
const MEMBERS_PER_KEEPER: usize = 32;

/// Largest number of other daemons to which an urgent update is sent directly: this takes a
/// few kilobytes, and no daemon has to forward the update.
const URGENT_DIRECT_MAX: usize = 16;

/// Returns the two followers that send heartbeats to a member. The member fetches changes
/// from the first.
pub fn followers_of(followers: &[HostKey], member: HostKey) -> [Option<HostKey>; 2] {
    let at = |offset: u64| {
        let index = member.0.wrapping_add(offset) % followers.len().max(1) as u64;
        followers.get(index as usize).copied()
    };
    [at(0), at(1)]
}

struct Inner {
    table: Table,
    queue: Queue<HostKey, Record>,
    detector: Detector,
    /// Every service whose announcement has reached this run of the daemon. A service that
    /// has no upstream at the moment still exists.
    catalog: BTreeSet<String>,
}

/// Membership state of one daemon.
pub struct Members {
    inner: Mutex<Inner>,
    me: HostKey,
    domain: String,
    /// Whether probes and gossip go to all daemons of the mesh, not only to those of the own
    /// failure domain.
    is_mesh_wide: bool,
    live: AtomicUsize,
}

impl Members {
    /// Creates the state with only this daemon's own record.
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
        let is_mesh_wide = settings.interface == InterfaceKind::Platform;
        Members { inner: Mutex::new(inner), me, domain, is_mesh_wide, live: AtomicUsize::new(1) }
    }

    /// Returns the number of live daemons in the mesh, this one included.
    pub fn live_count(&self) -> usize {
        self.live.load(Ordering::Relaxed)
    }

    /// Returns the failure domain that probes are limited to, or `None` for the whole mesh.
    fn scope(&self) -> Option<&str> {
        if self.is_mesh_wide { None } else { Some(&self.domain) }
    }

    /// Applies received records and queues those that are new for gossip; returns whether
    /// any record changed the table.
    pub fn apply(&self, d: &Daemon, records: Vec<Record>) -> bool {
        self.apply_records(d, records, true)
    }

    /// Applies the records of an answer to a table comparison.
    ///
    /// Failure: a daemon that starts receives the whole table, every record of it new to this
    /// daemon, and gossips it. Symptom: each start sends some 295 records 18 times, and real
    /// changes wait behind them in the queue. If an answer has more records than the own
    /// table, this daemon was behind, and the others already have these records: they are
    /// applied without gossip.
    pub fn apply_sync_answer(&self, d: &Daemon, records: Vec<Record>) -> bool {
        let is_behind = records.len() > lock(&self.inner).table.len();
        self.apply_records(d, records, !is_behind)
    }

    fn apply_records(&self, d: &Daemon, records: Vec<Record>, spread: bool) -> bool {
        let now = d.clock.now();
        let mut changed = false;
        {
            let mut inner = lock(&self.inner);
            for record in records {
                changed |= inner.apply_record(record, spread, now);
            }
        }
        if changed {
            self.on_table_change(d);
        }
        changed
    }

    fn announced_rollouts(&self) -> Vec<Stage> {
        let inner = lock(&self.inner);
        inner.table.iter().flat_map(|record| &record.rollouts).cloned().collect()
    }

    /// Updates the state that is derived from the table after a change.
    fn on_table_change(&self, d: &Daemon) {
        let live = lock(&self.inner).table.iter().filter(|record| record.is_live()).count();
        self.live.store(live, Ordering::Relaxed);
        let rollouts: Vec<Stage> = self.announced_rollouts();
        rollouts.iter().for_each(|stage| {
            d.rollouts.apply_stage(stage, d.clock.now());
        });
        d.services.sync(d);
    }

    /// Changes this daemon's own record and queues it for gossip.
    pub fn update_own(&self, d: &Daemon, change: impl FnOnce(&mut Record)) {
        {
            let mut inner = lock(&self.inner);
            let record = inner.table.update_own(d.clock.now(), change);
            let services: Vec<_> = record.endpoints.iter().map(|e| e.service.clone()).collect();
            inner.catalog.extend(services);
            inner.queue.push(record.host, record);
        }
        self.on_table_change(d);
    }

    /// Announces the upstreams on this host to the mesh, if they changed.
    pub fn set_endpoints(&self, d: &Daemon, endpoints: Vec<Endpoint>) {
        if self.own().endpoints != endpoints {
            self.update_own(d, |own| own.endpoints = endpoints);
        }
    }

    /// Announces a planned stop of this daemon to the mesh.
    pub fn announce_leaving(&self, d: &Daemon) {
        self.update_own(d, |own| own.health = Health::Leaving);
    }

    /// Sets the health of another daemon and queues its record for gossip, unless the table
    /// already holds this health or a later one in the order of [`Health`].
    pub fn set_member_health(&self, d: &Daemon, host: HostKey, health: Health) {
        let changed = {
            let mut inner = lock(&self.inner);
            let record = inner.table.set_health(host, health, d.clock.now());
            record.map(|record| inner.queue.push(record.host, record)).is_some()
        };
        if changed {
            self.on_table_change(d);
        }
    }

    /// Records that a member answered a probe.
    pub fn answered(&self, host: HostKey) {
        lock(&self.inner).detector.answered(host);
    }

    /// Advances the failure detector to `now`, drops expired tombstones, and returns the
    /// actions that are due.
    pub fn tick(&self, now: Instant, random: u64) -> Vec<Action> {
        let mut inner = lock(&self.inner);
        inner.table.sweep(now);
        let others = inner.others(self.me, self.scope());
        inner.detector.tick(now, &others, random)
    }

    /// Returns the receivers of one round of gossip.
    pub fn gossip_targets(&self) -> Vec<HostKey> {
        let inner = lock(&self.inner);
        let mut near = inner.table.live(Some(&self.domain));
        near.retain(|host| *host != self.me);
        let mut candidates = Candidates { near, ..Candidates::default() };
        if self.is_mesh_wide {
            let others = inner.table.domains().into_iter().filter(|domain| *domain != self.domain);
            candidates.far = others.map(|domain| inner.alive_by_link(&domain)).collect();
            candidates.far.retain(|members| !members.is_empty());
            candidates.is_bridge =
                inner.alive_by_link(&self.domain).iter().take(BRIDGES).any(|h| *h == self.me);
        }
        drop(inner);
        candidates.sample(|bound| fastrand::usize(..bound.max(1)))
    }

    /// Returns the receivers of an update that has to reach every daemon within milliseconds:
    /// all other daemons if there are at most `URGENT_DIRECT_MAX`, else some of the own
    /// failure domain and one of each other domain, which forward the update in the same way.
    pub fn urgent_targets(&self) -> Vec<HostKey> {
        let inner = lock(&self.inner);
        let mut targets = inner.others(self.me, None);
        if targets.len() <= URGENT_DIRECT_MAX {
            return targets;
        }
        fastrand::shuffle(&mut targets);
        let domain_of = |host: &HostKey| inner.table.get(*host).map(|record| &record.domain);
        let mut per_domain: BTreeMap<&String, usize> = BTreeMap::new();
        let mut is_target = |host: &HostKey| {
            let Some(domain) = domain_of(host) else { return false };
            let max_count = if *domain == self.domain { GOSSIP_FANOUT } else { 1 };
            let count = per_domain.entry(domain).or_default();
            *count += 1;
            *count <= max_count
        };
        targets.retain(&mut is_target);
        targets
    }

    /// Takes the records for one round of gossip from the queue.
    pub fn take_round(&self) -> Vec<Record> {
        lock(&self.inner).queue.take_round(RECORDS_PER_DATAGRAM * DATAGRAMS_PER_ROUND)
    }

    /// Returns whether no record is queued for gossip.
    pub fn is_queue_empty(&self) -> bool {
        lock(&self.inner).queue.is_empty()
    }

    /// Returns this daemon's own record.
    pub fn own(&self) -> Record {
        lock(&self.inner).table.own().clone()
    }

    /// Returns the name of a host for logs, or its key in hexadecimal if it has no record.
    pub fn name_of(&self, host: HostKey) -> String {
        self.get(host).map_or_else(|| format!("{:016x}", host.0), |record| record.name)
    }

    /// Returns the record of a host.
    pub fn get(&self, host: HostKey) -> Option<Record> {
        lock(&self.inner).table.get(host).cloned()
    }

    /// Returns the mesh address by which this daemon reaches a host: the near address in the
    /// own failure domain, else the far one.
    pub fn address(&self, host: HostKey) -> Option<SocketAddr> {
        let inner = lock(&self.inner);
        let record = inner.table.get(host)?;
        Some(if record.domain == self.domain { record.near } else { record.far })
    }

    /// Returns all hosts in the failure domain of `host`, including `host` itself.
    pub fn same_domain_hosts(&self, host: HostKey) -> Vec<HostKey> {
        let inner = lock(&self.inner);
        let domain = inner.table.get(host).map(|record| record.domain.as_str());
        let same_domain =
            inner.table.iter().filter(|record| Some(record.domain.as_str()) == domain);
        same_domain.map(|record| record.host).collect()
    }

    /// Returns whether a host has a record that names another failure domain.
    pub fn is_in_other_domain(&self, host: HostKey) -> bool {
        let inner = lock(&self.inner);
        inner.table.get(host).is_some_and(|record| record.domain != self.domain)
    }

    /// Returns the host whose near or far mesh address is `addr`.
    pub fn host_at(&self, addr: SocketAddr) -> Option<HostKey> {
        let inner = lock(&self.inner);
        let found = inner.table.iter().find(|record| record.far == addr || record.near == addr);
        found.map(|record| record.host)
    }

    /// Returns whether a live daemon has `addr` as its far mesh address.
    pub fn is_live_at(&self, addr: SocketAddr) -> bool {
        let inner = lock(&self.inner);
        inner.table.iter().any(|record| record.far == addr && record.is_live())
    }

    /// Returns all records.
    pub fn all(&self) -> Vec<Record> {
        lock(&self.inner).table.iter().cloned().collect()
    }

    /// Returns the live members that this daemon probes: those of the own failure domain or,
    /// with the interface of the users' platform, of the whole mesh; without this daemon.
    pub fn others(&self) -> Vec<HostKey> {
        lock(&self.inner).others(self.me, self.scope())
    }

    /// Returns the members of the own failure domain that are to follow the store for it.
    ///
    /// Members whose tables agree return the same list: the members with the widest links,
    /// since a narrow link needs a third of a second to carry a configuration.
    pub fn followers(&self) -> Vec<HostKey> {
        lock(&self.inner).followers_of_domain(&self.domain)
    }

    /// Returns the members of all failure domains that are to follow the store, without this
    /// daemon.
    pub fn other_followers(&self) -> Vec<HostKey> {
        let inner = lock(&self.inner);
        let domains = inner.table.domains();
        let mut followers: Vec<HostKey> =
            domains.iter().flat_map(|domain| inner.followers_of_domain(domain)).collect();
        followers.retain(|host| *host != self.me);
        followers
    }

    /// Returns whether this daemon is one of those that keep an entry in the store for their
    /// failure domain. Starting daemons find the mesh by these entries.
    pub fn keeps_entry(&self) -> bool {
        let widest = lock(&self.inner).alive_by_link(&self.domain);
        widest.iter().take(ENTRIES_PER_DOMAIN).any(|host| *host == self.me)
    }

    /// Returns the members of the own failure domain that `follower` sends heartbeats to:
    /// each member receives those of two followers.
    pub fn heartbeat_targets(&self, followers: &[HostKey], follower: HostKey) -> Vec<HostKey> {
        let live = lock(&self.inner).table.live(Some(&self.domain));
        live.into_iter()
            .filter(|host| !followers.contains(host))
            .filter(|host| followers_of(followers, *host).contains(&Some(follower)))
            .collect()
    }

    /// Returns the hosts whose daemon is marked as dead.
    pub fn dead_hosts(&self) -> Vec<HostKey> {
        let inner = lock(&self.inner);
        let dead = inner.table.iter().filter(|record| record.health == Health::Dead);
        dead.map(|record| record.host).collect()
    }

    /// Returns the number of daemons that are marked as dead.
    pub fn dead_count(&self) -> usize {
        let inner = lock(&self.inner);
        inner.table.iter().filter(|record| record.health == Health::Dead).count()
    }

    /// Returns whether a member is suspected of having ended.
    pub fn has_suspects(&self) -> bool {
        let inner = lock(&self.inner);
        inner.table.iter().any(|record| record.health == Health::Suspect)
    }

    /// Returns the other live members of each failure domain.
    pub fn others_by_domain(&self) -> Vec<Vec<HostKey>> {
        let inner = lock(&self.inner);
        let mut domains: BTreeMap<&String, Vec<HostKey>> = BTreeMap::new();
        let is_other = |record: &&Record| record.host != self.me && record.is_live();
        for record in inner.table.iter().filter(is_other) {
            domains.entry(&record.domain).or_default().push(record.host);
        }
        domains.into_values().collect()
    }

    /// Returns each daemon of the table with its incarnation and whether it is live.
    pub fn incarnations(&self) -> Vec<(HostKey, (Incarnation, bool))> {
        let inner = lock(&self.inner);
        let of = |record: &Record| (record.host, (record.life, record.is_live()));
        inner.table.iter().map(of).collect()
    }

    /// Returns the keepers of limits: in each failure domain, one for every
    /// [`MEMBERS_PER_KEEPER`] members, those with the widest links. Their number grows with
    /// the mesh, so that the number of usage reports per keeper does not.
    pub fn limit_keepers(&self) -> Vec<HostKey> {
        let inner = lock(&self.inner);
        let mut keepers = Vec::new();
        for domain in inner.table.domains() {
            let mut widest = inner.alive_by_link(&domain);
            widest.truncate(widest.len().div_ceil(MEMBERS_PER_KEEPER));
            keepers.extend(widest);
        }
        keepers
    }

    /// Returns whether a live daemon whose incarnation satisfies a condition is known.
    pub fn has_live(&self, is_wanted: impl Fn(Incarnation) -> bool) -> bool {
        let inner = lock(&self.inner);
        let is_other = |record: &Record| record.host != self.me && record.is_live();
        inner.table.iter().any(|record| is_other(record) && is_wanted(record.life))
    }

    /// Returns up to `max` random daemons that are to remember something for this one: one in
    /// another failure domain, if there is one, and others of the own one. `silent` hosts, those
    /// that are not marked as alive and those whose incarnation is not wanted are left out.
    pub fn replicas(
        &self,
        silent: &[HostKey],
        max: usize,
        is_wanted: impl Fn(Incarnation) -> bool,
    ) -> Vec<HostKey> {
        let inner = lock(&self.inner);
        let is_usable = |record: &&Record| {
            record.host != self.me
                && record.health == Health::Alive
                && !silent.contains(&record.host)
                && is_wanted(record.life)
        };
        let (mut near, mut far): (Vec<_>, Vec<_>) = inner
            .table
            .iter()
            .filter(is_usable)
            .map(|record| (record.host, record.domain == self.domain))
            .partition(|(_, is_near)| *is_near);
        drop(inner);
        fastrand::shuffle(&mut near);
        fastrand::shuffle(&mut far);
        let first_far = far.pop();
        first_far.into_iter().chain(near).chain(far).map(|(host, _)| host).take(max).collect()
    }

    /// Returns the records of live daemons in other failure domains.
    pub fn live_in_other_domains(&self) -> Vec<Record> {
        let inner = lock(&self.inner);
        inner
            .table
            .iter()
            .filter(|record| record.is_live() && record.domain != self.domain)
            .cloned()
            .collect()
    }

    /// Returns each host with a fingerprint of its record.
    pub fn outline(&self) -> Vec<(HostKey, u64)> {
        lock(&self.inner).table.outline()
    }

    /// Compares the table with the outline of another member's table.
    pub fn compare(&self, outline: &[(HostKey, u64)]) -> Comparison {
        lock(&self.inner).table.compare(outline)
    }

    /// Returns the records of `hosts`, without those that the table lacks.
    pub fn records_of(&self, hosts: &[HostKey]) -> Vec<Record> {
        lock(&self.inner).table.records_of(hosts)
    }

    /// Returns the records that changed after a journal position, and the new position.
    pub fn since(&self, pos: JournalPos) -> (Vec<Record>, JournalPos) {
        lock(&self.inner).table.since(pos)
    }

    /// Returns the digest of the own failure domain's table.
    pub fn digest(&self) -> u64 {
        lock(&self.inner).table.digest()
    }

    /// Returns the catalog: every service whose announcement has reached this daemon.
    pub fn catalog(&self) -> Vec<String> {
        lock(&self.inner).catalog.iter().cloned().collect()
    }

    /// Adds services from another daemon's catalog.
    pub fn add_catalog(&self, services: Vec<String>) {
        lock(&self.inner).catalog.extend(services);
    }

    /// Returns the first of `services` that is not in the catalog.
    pub fn first_unknown<'a>(&self, services: &[&'a str]) -> Option<&'a str> {
        let inner = lock(&self.inner);
        services.iter().copied().find(|service| !inner.catalog.contains(*service))
    }
}

impl Inner {
    /// Applies a record, and queues it for gossip if `spread` is set; returns whether it
    /// changed the table.
    fn apply_record(&mut self, record: Record, spread: bool, now: Instant) -> bool {
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

    /// Returns the members of a failure domain that are marked as alive, those with the
    /// widest links first.
    fn alive_by_link(&self, domain: &str) -> Vec<HostKey> {
        let alive = self
            .table
            .iter()
            .filter(|record| record.domain == domain && record.health == Health::Alive);
        let mut alive: Vec<_> =
            alive.map(|record| (Reverse(record.link_kbps), record.host)).collect();
        alive.sort_unstable();
        alive.into_iter().map(|(_, host)| host).collect()
    }

    /// Returns the members of a failure domain that are to follow the store for it.
    fn followers_of_domain(&self, domain: &str) -> Vec<HostKey> {
        let mut followers = self.alive_by_link(domain);
        if followers.len() > ALL_FOLLOW_MAX {
            followers.truncate(FOLLOWERS_PER_DOMAIN);
        }
        followers
    }

    /// Returns the live members of a failure domain, or of the whole mesh, without `me`.
    fn others(&self, me: HostKey, scope: Option<&str>) -> Vec<HostKey> {
        self.table.live(scope).into_iter().filter(|host| *host != me).collect()
    }
}
