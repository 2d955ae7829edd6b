//! Finding the other daemons through the store.
//!
//! Each daemon keeps one entry there under a lease and reads the others' at its
//! start. From then on daemons hear of each other by gossip; the entries are
//! read again now and then, so that groups that lost each other find together.
//! An entry that is missing proves nothing: leases end while the store is away.

use super::{Daemon, catch_up};
use crate::store::{Lease, Platform, PlatformError, Swap, keys};
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
/// Time between the first two readings of all entries; it doubles with each, since
/// the others may still be starting.
const FIRST_READS: Duration = Duration::from_millis(400);
/// How long that goes on.
const FIRST_TIME: Duration = Duration::from_secs(3);
/// Least time between two readings afterwards.
const READ_EVERY: Duration = Duration::from_secs(10);
/// Time added to it for each daemon, so that the store gives out about as many
/// entries a second whatever their number: at 450, one reading in 22 s each.
const READ_EVERY_PER_DAEMON: Duration = Duration::from_millis(40);
/// How old a reading after the first may be: it only serves to find groups that lost
/// each other, and costs a tenth of a current one.
const OLD_MOST: Duration = Duration::from_secs(5);
/// Strangers asked at once after one reading.
const ASKED: usize = 3;

/// What a daemon's entry holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    mesh: SocketAddr,
    domain: String,
}

/// Keeps this daemon's entry, and reads the others', until cancelled.
pub async fn run(d: Arc<Daemon>) {
    let mut own = OwnEntry::default();
    let started = d.clock.now();
    let mut next_read = started;
    let mut reached = true;
    loop {
        let now = d.clock.now();
        let result = round(&d, &mut own, now >= next_read).await;
        if now >= next_read && result.is_ok() {
            let running = now.saturating_duration_since(started);
            let is_early = running < FIRST_TIME;
            next_read = now + if is_early { running.max(FIRST_READS) } else { read_every(&d) };
        }
        let pause = match result {
            Ok(()) => own.next_renewal(d.clock.now()).min(next_read.saturating_duration_since(now)),
            Err(_) => RETRY,
        };
        tell(&result, &mut reached);
        smol::Timer::after(pause.max(FIRST_READS / 4).mul_f64(0.8 + 0.4 * fastrand::f64())).await;
    }
}

/// Takes this daemon's entry away, so that nobody looks for it any more.
pub async fn leave(d: &Daemon) {
    let key = keys::daemon(&d.settings.host);
    if let Ok(Some(pair)) = d.platform.get(&key).await {
        let _ends_with_its_lease = d.platform.delete_unchanged(&[(key, pair.revision)]).await;
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

fn read_every(d: &Daemon) -> Duration {
    READ_EVERY + READ_EVERY_PER_DAEMON * d.members.live_count() as u32
}

#[derive(Default)]
struct OwnEntry {
    lease: Option<Lease>,
    written: Option<Instant>,
    renewed: Option<Instant>,
}

impl OwnEntry {
    fn is_older_than(&self, time: Duration, now: Instant) -> bool {
        self.written.is_some_and(|at| now.saturating_duration_since(at) > time)
    }

    fn next_renewal(&self, now: Instant) -> Duration {
        let due = self.renewed.map(|at| at + RENEW_EVERY);
        due.map_or(Duration::ZERO, |due| due.saturating_duration_since(now))
    }
}

async fn round(d: &Arc<Daemon>, own: &mut OwnEntry, read: bool) -> Result<(), PlatformError> {
    if d.is_leaving() {
        return Ok(());
    }
    if own.next_renewal(d.clock.now()).is_zero() {
        renew(d, own).await?;
    }
    if read && !read_entries(d).await? && own.is_older_than(OLD_MOST, d.clock.now()) {
        // Failure: the store took the entry away although its lease runs on.
        // Symptom: daemons that start later never hear of this one. It is
        // written again under a new lease.
        own.lease = None;
        renew(d, own).await?;
    }
    Ok(())
}

async fn renew(d: &Arc<Daemon>, own: &mut OwnEntry) -> Result<(), PlatformError> {
    let kept = match own.lease {
        Some(lease) => d.platform.keep_alive(lease).await?,
        None => false,
    };
    if !kept {
        own.lease = None;
        let lease = d.platform.grant(LEASE_TIME).await?;
        let record = d.members.own();
        let entry = Entry { mesh: record.far, domain: record.domain };
        let buf =
            serde_json::to_vec(&entry).map_err(|err| PlatformError::Protocol(err.to_string()))?;
        let key = keys::daemon(&d.settings.host);
        if d.platform.put_leased(&key, &buf, lease).await? == Swap::Done {
            own.lease = Some(lease);
            own.written = Some(d.clock.now());
        }
    }
    own.renewed = Some(d.clock.now());
    Ok(())
}

/// Reads all entries and speaks to strangers among them; returns whether this
/// daemon's own is there.
async fn read_entries(d: &Arc<Daemon>) -> Result<bool, PlatformError> {
    let pairs = match d.joined.load(Ordering::Relaxed) {
        false => d.platform.list(keys::DAEMONS, false).await?,
        true => d.platform.list_maybe_old(keys::DAEMONS).await?,
    };
    let own_key = keys::daemon(&d.settings.host);
    let own_is_there = pairs.iter().any(|pair| pair.key == own_key);
    let live: Vec<_> = d.members.others().iter().filter_map(|h| d.members.address(*h)).collect();
    let entries = pairs.iter().filter(|pair| pair.key != own_key).filter_map(|pair| {
        let entry = serde_json::from_slice::<Entry>(&pair.value);
        entry.inspect_err(|err| log::warn!("entry {} is damaged: {err}", pair.key)).ok()
    });
    let mut strangers: Vec<_> =
        entries.map(|entry| entry.mesh).filter(|mesh| !live.contains(mesh)).collect();
    fastrand::shuffle(&mut strangers);
    strangers.truncate(ASKED);
    for to in strangers {
        let d = d.clone();
        exec::spawn(async move {
            catch_up::sync_with(&d, to).await;
        })
        .detach();
    }
    d.joined.store(true, Ordering::Relaxed);
    Ok(own_is_there)
}
