//! Discovery of the other daemons through the store.
//!
//! A few daemons of each failure domain, those with the widest links, keep an entry in
//! the store under a lease. A daemon that starts reads the entries, asks one of these
//! daemons for its membership table and is a member from then on; daemons learn
//! everything else from each other. A daemon that finds no other waits for a random delay
//! before it writes an entry itself, so that only a handful of hundreds that start at
//! once write one. Daemons that keep entries read those of the others from time to time,
//! so that groups separated by a partition find each other again. A missing entry does
//! not mean that its daemon is dead: leases expire while the store is unavailable.
//!
//! The load on the store grows with the number of starts, each of which costs a tenth of a
//! current read, and not with the number of daemons.

use super::{Daemon, catch_up, departures, lock};
use crate::store::{ConditionalWrite, KeyValueStore, Lease, Pair, PlatformError, keys};
use cicadashift_http::exec;
use cicadashift_http::reactor::Timer;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Time after a daemon's last renewal at which its entry expires.
const LEASE_TTL: Duration = Duration::from_secs(10);
/// Time between two renewals; two may fail before the entry expires.
const RENEW_INTERVAL: Duration = Duration::from_millis(3000);
/// Pause after the store failed; an entry must be back within two seconds of the store's
/// return.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// First time between two reads while no other daemon is known; it grows by half with
/// each read.
const ALONE_READ_INTERVAL: Duration = Duration::from_millis(150);
/// Longest time between two reads while no other daemon is known.
const MAX_ALONE_READ_INTERVAL: Duration = Duration::from_millis(1500);
/// Longest time that a daemon waits before it writes its first entry. The wait is random,
/// so that only a handful of hundreds that start at once write one.
const MAX_FIRST_WRITE_DELAY: Duration = Duration::from_millis(2000);
/// Width of a link in Mbit/s above which its daemon waits less before it writes its first
/// entry, since starting daemons ask those with an entry for the whole table.
const WIDE_LINK_MBPS: f64 = 20.0;
/// Time after a start in which a daemon compares tables with one that it found, at
/// intervals that double, since others may still be starting.
const STARTUP_SYNC_TIME: Duration = Duration::from_secs(4);
/// First interval between these comparisons.
const FIRST_SYNC_DELAY: Duration = Duration::from_millis(300);
/// Time between two reads by a daemon that keeps an entry.
const READ_INTERVAL: Duration = Duration::from_secs(5);
/// Largest age of the data that a stale read returns. Stale reads are used since they cost a
/// tenth of a current one; a daemon that does not find its own entry treats it as missing
/// only this long after it wrote the entry.
const MAX_STALENESS: Duration = Duration::from_secs(5);
/// Time for which a daemon must have been eligible to keep an entry before it writes one,
/// once it knows others: tables differ for a moment after a start.
const MIN_ELIGIBLE_TIME: Duration = Duration::from_millis(700);
/// Unknown daemons asked after one read.
const MAX_SYNC_PEERS: usize = 3;
/// Time between two rounds while no other daemon is known.
const ALONE_ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two rounds once others are known.
const ROUND_INTERVAL: Duration = Duration::from_millis(400);

/// Value of a daemon's entry in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    mesh: SocketAddr,
    domain: String,
}

/// Finds the other daemons, and keeps this daemon's entry while it should have one, until
/// cancelled.
pub async fn run(d: Arc<Daemon>) {
    let mut state = State::new(&d);
    let mut available = true;
    loop {
        let result = state.round(&d).await;
        log_store_state(&result, &mut available);
        let pause = match (result, d.members.live_count()) {
            (Err(_), _) => RETRY_PAUSE,
            (Ok(()), 1) => ALONE_ROUND_INTERVAL,
            (Ok(()), _) => ROUND_INTERVAL,
        };
        Timer::after(pause.mul_f64(0.8 + 0.4 * fastrand::f64())).await;
    }
}

/// Removes this daemon's entry, so that starting daemons do not ask it.
pub async fn remove_entry(d: &Daemon) {
    let lease = lock(&d.entry_lease).take();
    if let Some(lease) = lease {
        // The store may be unavailable; the entry then expires with its lease.
        let _ended = d.store.revoke(lease).await;
    }
}

fn log_store_state(result: &Result<(), PlatformError>, available: &mut bool) {
    match result {
        Err(err) if *available => log::warn!("discovery: the store is unavailable: {err}"),
        Ok(()) if !*available => log::info!("discovery: the store is available again"),
        _ => {}
    }
    *available = result.is_ok();
}

/// State of discovery at this daemon.
struct State {
    started: Instant,
    /// Earliest time at which this daemon may write an entry.
    first_write_at: Instant,
    next_read: Instant,
    alone_interval: Duration,
    /// Since when this daemon is eligible to keep an entry.
    eligible_since: Option<Instant>,
    written: Option<Instant>,
    renewed: Option<Instant>,
    /// The store's era in the last round.
    era: Option<u64>,
    /// Daemon to compare tables with after a start, and when to do so next.
    startup_peer: Option<SocketAddr>,
    next_sync: Instant,
}

impl State {
    fn new(d: &Daemon) -> State {
        let now = d.clock.now();
        let mbps = d.settings.link_mbps.unwrap_or(WIDE_LINK_MBPS);
        let scale = (WIDE_LINK_MBPS / mbps).clamp(0.25, 1.0);
        let fraction = 0.1 + 0.9 * fastrand::f64();
        State {
            started: now,
            first_write_at: now + MAX_FIRST_WRITE_DELAY.mul_f64(fraction * scale),
            next_read: now,
            alone_interval: ALONE_READ_INTERVAL,
            eligible_since: None,
            written: None,
            renewed: None,
            era: None,
            startup_peer: None,
            next_sync: now,
        }
    }

    async fn round(&mut self, d: &Arc<Daemon>) -> Result<(), PlatformError> {
        if d.is_leaving() {
            return Ok(());
        }
        self.sync_at_startup(d).await;
        self.check_era(d);
        let now = d.clock.now();
        let is_alone = d.members.live_count() == 1;
        let should_keep_entry = self.should_keep_entry(d, now, is_alone);
        if (is_alone || should_keep_entry) && now >= self.next_read {
            let is_own_listed = self.read_entries(d).await?;
            let must_be_listed = self.written.is_some_and(|at| d.clock.now() > at + MAX_STALENESS);
            if should_keep_entry && !is_own_listed && must_be_listed {
                // The store removed the entry although its lease still runs. Daemons that
                // start later would not find this one, so the entry is written again
                // under a new lease.
                self.forget_lease(d);
            }
            self.schedule_read(d.clock.now(), d.members.live_count() == 1);
        }
        match should_keep_entry && self.is_renewal_due(d.clock.now()) {
            true => self.renew(d).await,
            false => Ok(()),
        }
    }

    /// Returns whether this daemon should keep an entry now.
    fn should_keep_entry(&mut self, d: &Daemon, now: Instant, is_alone: bool) -> bool {
        if !d.members.keeps_entry() {
            self.eligible_since = None;
            return false;
        }
        let since = *self.eligible_since.get_or_insert(now);
        let has_waited = is_alone || self.written.is_some() || now >= since + MIN_ELIGIBLE_TIME;
        now >= self.first_write_at && has_waited
    }

    fn schedule_read(&mut self, now: Instant, is_alone: bool) {
        let pause = match is_alone {
            true => self.alone_interval,
            false => READ_INTERVAL,
        };
        self.alone_interval = self.alone_interval.mul_f64(1.5).min(MAX_ALONE_READ_INTERVAL);
        self.next_read = now + pause.mul_f64(0.8 + 0.4 * fastrand::f64());
    }

    /// Compares tables with a daemon that was found, while others may still be starting.
    async fn sync_at_startup(&mut self, d: &Arc<Daemon>) {
        let now = d.clock.now();
        let Some(to) = self.startup_peer.filter(|_| now >= self.next_sync) else { return };
        let age = now.saturating_duration_since(self.started);
        if age > STARTUP_SYNC_TIME {
            self.startup_peer = None;
            return;
        }
        self.next_sync = now + age.max(FIRST_SYNC_DELAY);
        if !catch_up::sync_with(d, to).await {
            self.startup_peer = None;
        }
    }

    /// Reads the entries and compares tables with unknown daemons among them, those of
    /// the own failure domain first; returns whether this daemon's own entry is listed.
    ///
    /// Those of other domains are asked as well where no daemon of the own domain is known that
    /// was running before: they may all have been started together, and know only each other.
    async fn read_entries(&mut self, d: &Arc<Daemon>) -> Result<bool, PlatformError> {
        let pairs = d.store.list_allow_stale(keys::DAEMONS).await?;
        let own_key = keys::daemon(&d.settings.host);
        let is_own_listed = pairs.iter().any(|pair| pair.key == own_key);
        let others = pairs.iter().filter(|pair| pair.key != own_key).filter_map(decode);
        let is_unknown = |entry: &Entry| !d.members.is_live_at(entry.mesh);
        let mut unknown: Vec<Entry> = others.filter(is_unknown).collect();
        fastrand::shuffle(&mut unknown);
        let was_alone = d.members.live_count() == 1;
        let (same_domain, other_domains): (Vec<_>, Vec<_>) =
            unknown.into_iter().partition(|entry| entry.domain == d.settings.failure_domain);
        let near = sync_with_any(d, &same_domain).await;
        let far = match near.is_some() && departures::knows_established(d) {
            true => None,
            false => sync_with_any(d, &other_domains).await,
        };
        let found = near.or(far);
        if was_alone {
            self.startup_peer = found;
            self.next_sync = d.clock.now() + FIRST_SYNC_DELAY;
        }
        d.has_read_entries.store(true, Ordering::Relaxed);
        Ok(is_own_listed)
    }

    /// Has the entry written again after the store was restored from a copy.
    ///
    /// The entry and its lease are then gone, or the lease's id belongs to another
    /// daemon. Until the next renewal, daemons that start would find no other.
    fn check_era(&mut self, d: &Daemon) {
        let era = d.store.era();
        if self.era.is_some() && era != self.era {
            self.forget_lease(d);
            self.next_read = d.clock.now();
        }
        self.era = era;
    }

    fn is_renewal_due(&self, now: Instant) -> bool {
        self.renewed.is_none_or(|at| now >= at + RENEW_INTERVAL)
    }

    fn forget_lease(&mut self, d: &Daemon) {
        self.renewed = None;
        *lock(&d.entry_lease) = None;
    }

    async fn renew(&mut self, d: &Arc<Daemon>) -> Result<(), PlatformError> {
        let held = *lock(&d.entry_lease);
        let kept = match held {
            Some(lease) => d.store.keep_alive(lease).await?,
            None => false,
        };
        if !kept {
            self.forget_lease(d);
            let lease = self.write_entry(d).await?;
            *lock(&d.entry_lease) = lease;
        }
        self.renewed = Some(d.clock.now());
        Ok(())
    }

    /// Writes the entry under a new lease.
    async fn write_entry(&mut self, d: &Arc<Daemon>) -> Result<Option<Lease>, PlatformError> {
        let lease = d.store.grant(LEASE_TTL).await?;
        let record = d.members.own();
        let entry = Entry { mesh: record.far, domain: record.domain };
        let buf =
            serde_json::to_vec(&entry).map_err(|err| PlatformError::Protocol(err.to_string()))?;
        let key = keys::daemon(&d.settings.host);
        let swap = d.store.put_leased(&key, &buf, lease).await?;
        self.written = Some(d.clock.now());
        Ok((swap == ConditionalWrite::Applied).then_some(lease))
    }
}

/// Compares tables with some of the daemons that have these entries; returns the first
/// that answers. The others are not awaited: hosts without power do not answer.
async fn sync_with_any(d: &Arc<Daemon>, entries: &[Entry]) -> Option<SocketAddr> {
    let (tx, rx) = smol::channel::bounded(MAX_SYNC_PEERS);
    let tasks: Vec<smol::Task<()>> = entries
        .iter()
        .take(MAX_SYNC_PEERS)
        .map(|entry| {
            let (d, tx, to) = (d.clone(), tx.clone(), entry.mesh);
            exec::spawn(async move {
                if catch_up::sync_with(&d, to).await {
                    let _receiver_may_be_gone = tx.try_send(to);
                }
            })
        })
        .collect();
    drop(tx);
    let found = rx.recv().await.ok();
    drop(tasks);
    found
}

fn decode(pair: &Pair) -> Option<Entry> {
    let entry = serde_json::from_slice::<Entry>(&pair.value);
    entry
        .inspect_err(|err| log::warn!("discovery entry {} cannot be decoded: {err}", pair.key))
        .ok()
}
