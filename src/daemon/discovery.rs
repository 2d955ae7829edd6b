//! Finding the other daemons through the store.
//!
//! A few daemons of each failure domain, those with the widest links, keep an entry
//! there under a lease. One that starts reads the entries, asks one of these daemons
//! for its table and is a member from then on; all else daemons hear from each other.
//! Where nobody is found, each of them waits for its turn and then writes an entry
//! itself, so that of hundreds that start at once a handful does. Those that keep
//! entries read the others' now and then, so that groups that lost each other find
//! together. An entry that is missing proves nothing: leases end while the store is
//! away.
//!
//! Calls to the store grow with starts, by a tenth of a current reading each, and not
//! with the number of daemons.

use super::{Daemon, catch_up, lock};
use crate::store::{Lease, Pair, Platform, PlatformError, Swap, keys};
use cicadashift_http::exec;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Time that an entry outlives its daemon.
const LEASE_TIME: Duration = Duration::from_secs(10);
/// Time between two renewals; two may fail before the entry ends.
const RENEW_EVERY: Duration = Duration::from_millis(3000);
/// Pause after the store failed; an entry is to be back within two seconds of
/// the store's return.
const RETRY: Duration = Duration::from_millis(500);
/// Time between two readings while nobody is found; it grows by half with each.
const ALONE_EVERY: Duration = Duration::from_millis(150);
/// Longest time between two readings while nobody is found.
const ALONE_MOST: Duration = Duration::from_millis(1500);
/// Longest time that a daemon which finds nobody waits for its turn to write an entry.
/// Of hundreds that start at once only a handful is to write one.
const TURN_MOST: Duration = Duration::from_millis(2000);
/// Megabits a second of a link from which on its daemon waits less for its turn, since
/// others will ask it for the whole table.
const WIDE_MBPS: f64 = 20.0;
/// Time after a start in which a daemon compares tables with one that it found, each
/// time after twice the time: the others may still be starting.
const SETTLING: Duration = Duration::from_secs(4);
/// First of those times.
const SETTLE_FIRST: Duration = Duration::from_millis(300);
/// Time between two readings of a daemon that keeps an entry.
const READ_EVERY: Duration = Duration::from_secs(5);
/// How old a reading may be. Readings are allowed to be old, since they cost a tenth; a
/// daemon that misses its own entry in one waits for so long before it believes it.
const OLD_MOST: Duration = Duration::from_secs(5);
/// How long a daemon must have been one of those that keep entries before it writes
/// one, once it has found others: tables differ for a moment after a start.
const KEEPER_FOR: Duration = Duration::from_millis(700);
/// Strangers asked after one reading.
const ASKED: usize = 3;
/// Time between two looks at what is due.
const LOOK: Duration = Duration::from_millis(100);
/// The same once there are others.
const QUIET_LOOK: Duration = Duration::from_millis(400);

/// What a daemon's entry holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    mesh: SocketAddr,
    domain: String,
}

/// Finds the others and keeps this daemon's entry where it is its turn, until
/// cancelled.
pub async fn run(d: Arc<Daemon>) {
    let mut state = State::new(&d);
    let mut reached = true;
    loop {
        let result = state.round(&d).await;
        tell(&result, &mut reached);
        let pause = match (result, d.members.live_count()) {
            (Err(_), _) => RETRY,
            (Ok(()), 1) => LOOK,
            (Ok(()), _) => QUIET_LOOK,
        };
        smol::Timer::after(pause.mul_f64(0.8 + 0.4 * fastrand::f64())).await;
    }
}

/// Takes this daemon's entry away, so that nobody looks for it any more.
pub async fn leave(d: &Daemon) {
    let lease = lock(&d.entry_lease).take();
    if let Some(lease) = lease {
        // The store may be away; the entry then ends with its lease.
        let _ended = d.store.revoke(lease).await;
    }
}

fn tell(result: &Result<(), PlatformError>, reached: &mut bool) {
    match result {
        Err(err) if *reached => log::warn!("discovery: the store is lost: {err}"),
        Ok(()) if !*reached => log::info!("discovery: the store is back"),
        _ => {}
    }
    *reached = result.is_ok();
}

/// Where this daemon stands.
struct State {
    started: Instant,
    /// When it may write an entry although it found nobody.
    turn: Instant,
    next_read: Instant,
    pause: Duration,
    /// Since when it is one of those that keep entries.
    keeper_since: Option<Instant>,
    written: Option<Instant>,
    renewed: Option<Instant>,
    /// The store's era that the entry was written in.
    era: Option<u64>,
    /// Whom it compares tables with while it settles, and when next.
    settles_with: Option<SocketAddr>,
    next_compare: Instant,
}

impl State {
    fn new(d: &Daemon) -> State {
        let now = d.clock.now();
        let mbps = d.settings.link_mbps.unwrap_or(WIDE_MBPS);
        let width = (WIDE_MBPS / mbps).clamp(0.25, 1.0);
        let share = 0.1 + 0.9 * fastrand::f64();
        State {
            started: now,
            turn: now + TURN_MOST.mul_f64(share * width),
            next_read: now,
            pause: ALONE_EVERY,
            keeper_since: None,
            written: None,
            renewed: None,
            era: None,
            settles_with: None,
            next_compare: now,
        }
    }

    async fn round(&mut self, d: &Arc<Daemon>) -> Result<(), PlatformError> {
        if d.is_leaving() {
            return Ok(());
        }
        self.settle(d).await;
        self.note_era(d);
        let now = d.clock.now();
        let is_alone = d.members.live_count() == 1;
        let keeps = self.keeps(d, now, is_alone);
        if (is_alone || keeps) && now >= self.next_read {
            let own_is_there = self.read(d).await?;
            let is_old = self.written.is_some_and(|at| d.clock.now() > at + OLD_MOST);
            if keeps && !own_is_there && is_old {
                // Failure: the store took the entry away although its lease runs on.
                // Symptom: daemons that start later never hear of this one. It is
                // written again under a new lease.
                self.forget(d);
            }
            self.plan_next(d.clock.now(), d.members.live_count() == 1);
        }
        match keeps && self.is_due(d.clock.now()) {
            true => self.renew(d).await,
            false => Ok(()),
        }
    }

    /// Returns whether this daemon is to keep an entry now.
    fn keeps(&mut self, d: &Daemon, now: Instant, is_alone: bool) -> bool {
        if !d.members.keeps_entry() {
            self.keeper_since = None;
            return false;
        }
        let since = *self.keeper_since.get_or_insert(now);
        let has_waited = is_alone || self.written.is_some() || now >= since + KEEPER_FOR;
        now >= self.turn && has_waited
    }

    fn plan_next(&mut self, now: Instant, is_alone: bool) {
        let pause = match is_alone {
            true => self.pause,
            false => READ_EVERY,
        };
        self.pause = self.pause.mul_f64(1.5).min(ALONE_MOST);
        self.next_read = now + pause.mul_f64(0.8 + 0.4 * fastrand::f64());
    }

    /// Compares tables with a daemon that was found, while others are starting too.
    async fn settle(&mut self, d: &Arc<Daemon>) {
        let now = d.clock.now();
        let Some(to) = self.settles_with.filter(|_| now >= self.next_compare) else { return };
        let age = now.saturating_duration_since(self.started);
        if age > SETTLING {
            self.settles_with = None;
            return;
        }
        self.next_compare = now + age.max(SETTLE_FIRST);
        if !catch_up::sync_with(d, to).await {
            self.settles_with = None;
        }
    }

    /// Reads the entries and asks strangers among them for their tables, those of the
    /// own failure domain first; returns whether this daemon's own is there.
    async fn read(&mut self, d: &Arc<Daemon>) -> Result<bool, PlatformError> {
        let pairs = d.store.list_maybe_old(keys::DAEMONS).await?;
        let own_key = keys::daemon(&d.settings.host);
        let own_is_there = pairs.iter().any(|pair| pair.key == own_key);
        let others = pairs.iter().filter(|pair| pair.key != own_key).filter_map(decode);
        let is_stranger = |entry: &Entry| !d.members.is_live_at(entry.mesh);
        let mut strangers: Vec<Entry> = others.filter(is_stranger).collect();
        fastrand::shuffle(&mut strangers);
        let was_alone = d.members.live_count() == 1;
        let (near, far): (Vec<_>, Vec<_>) =
            strangers.into_iter().partition(|entry| entry.domain == d.settings.failure_domain);
        let found = match first_answer(d, &near).await {
            Some(found) => Some(found),
            None => first_answer(d, &far).await,
        };
        if was_alone {
            self.settles_with = found;
            self.next_compare = d.clock.now() + SETTLE_FIRST;
        }
        d.has_read_entries.store(true, Ordering::Relaxed);
        Ok(own_is_there)
    }

    /// Writes the entry again where the store came back from a copy.
    ///
    /// Failure: entry and lease are gone, or the lease's number is somebody else's.
    /// Symptom: daemons that start find nobody until the next renewal.
    fn note_era(&mut self, d: &Daemon) {
        let era = d.store.era();
        if self.era.is_some() && era != self.era {
            self.forget(d);
            self.next_read = d.clock.now();
        }
        self.era = era;
    }

    fn is_due(&self, now: Instant) -> bool {
        self.renewed.is_none_or(|at| now >= at + RENEW_EVERY)
    }

    fn forget(&mut self, d: &Daemon) {
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
            self.forget(d);
            let lease = self.write(d).await?;
            *lock(&d.entry_lease) = lease;
        }
        self.renewed = Some(d.clock.now());
        Ok(())
    }

    /// Writes the entry under a new lease.
    async fn write(&mut self, d: &Arc<Daemon>) -> Result<Option<Lease>, PlatformError> {
        let lease = d.store.grant(LEASE_TIME).await?;
        let record = d.members.own();
        let entry = Entry { mesh: record.far, domain: record.domain };
        let buf =
            serde_json::to_vec(&entry).map_err(|err| PlatformError::Protocol(err.to_string()))?;
        let key = keys::daemon(&d.settings.host);
        let swap = d.store.put_leased(&key, &buf, lease).await?;
        self.written = Some(d.clock.now());
        Ok((swap == Swap::Done).then_some(lease))
    }
}

/// Compares tables with some of the daemons that have these entries; returns the first
/// that answers. The others are not waited for: hosts without power do not answer.
async fn first_answer(d: &Arc<Daemon>, entries: &[Entry]) -> Option<SocketAddr> {
    let (tx, rx) = smol::channel::bounded(ASKED);
    let asking: Vec<smol::Task<()>> = entries
        .iter()
        .take(ASKED)
        .map(|entry| {
            let (d, tx, to) = (d.clone(), tx.clone(), entry.mesh);
            exec::spawn(async move {
                if catch_up::sync_with(&d, to).await {
                    let _first_is_enough = tx.try_send(to);
                }
            })
        })
        .collect();
    drop(tx);
    let found = rx.recv().await.ok();
    drop(asking);
    found
}

fn decode(pair: &Pair) -> Option<Entry> {
    let entry = serde_json::from_slice::<Entry>(&pair.value);
    entry.inspect_err(|err| log::warn!("entry {} is damaged: {err}", pair.key)).ok()
}
