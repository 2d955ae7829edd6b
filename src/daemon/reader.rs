//! Reading the platform for a failure domain.
//!
//! One daemon of each failure domain holds the reader lease, watches the head
//! and rolls out what it finds. The lease only keeps the platform's load small.
//! Whoever reads without it, such as a reader that was frozen past its end,
//! learns a true head and can do no harm.

use super::promotion;
use super::sources::ObjectSource;
use super::{Daemon, lock};
use crate::store::{Change, Lease, Pair, Platform, PlatformError, Revision, Swap, Watch, keys};
use cicadashift_core::delivery::head::Head;
use cicadashift_core::delivery::node::Event;
use cicadashift_core::ids::{HostKey, ObjectHash, Version};
use cicadashift_http::exec;
use cicadashift_wire::rpc::VersionRef;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Time that a reader lease lasts.
const LEASE_TIME: Duration = Duration::from_secs(2);
/// Time between two keep-alives.
const KEEP_ALIVE: Duration = Duration::from_millis(650);
/// Members that try for the lease: the first by key, and one in reserve.
const CANDIDATES: usize = 2;
/// Time between two looks whether to try for the lease.
const CANDIDATE_STEP: Duration = Duration::from_millis(400);
/// First and longest pause after the platform failed.
const BACK_OFF: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(1200));
/// Time between two writes of the roster.
const ROSTER_EVERY: Duration = Duration::from_secs(2);
/// Time between two reads of the head in spite of the watch, for a watch that
/// has silently died.
const REREAD_EVERY: Duration = Duration::from_secs(5);
/// Addresses in a roster.
const ROSTER_SIZE: usize = 8;
/// Least time between two reads of the head for others.
const FRESH_SPACING: Duration = Duration::from_millis(20);

/// One failure domain's roster, as the platform keeps it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Roster {
    /// Mesh addresses for the own failure domain.
    pub near: Vec<SocketAddr>,
    /// Mesh addresses for other failure domains.
    pub far: Vec<SocketAddr>,
    /// Services ever announced there.
    pub services: BTreeSet<String>,
}

/// The reader's state of one daemon.
#[derive(Default)]
pub struct State {
    lease: Mutex<Option<Lease>>,
    /// The latest head read, with the time its read began.
    last_head: Mutex<Option<(Instant, Option<VersionRef>)>>,
    /// Held while the head is read for others.
    reading: smol::lock::Mutex<()>,
}

/// Tries for the lease when it is this daemon's turn, and reads while it has it.
pub async fn run(d: Arc<Daemon>) {
    let mut pause = BACK_OFF.0;
    loop {
        smol::Timer::after(spread(CANDIDATE_STEP)).await;
        if !is_candidate(&d) || d.is_leaving() {
            continue;
        }
        match hold_lease(&d).await {
            Ok(()) => pause = BACK_OFF.0,
            Err(err) => {
                log::warn!("reader: {err}");
                d.metrics.incr("platform.failed");
                smol::Timer::after(spread(pause)).await;
                pause = (pause * 2).min(BACK_OFF.1);
            }
        }
    }
}

/// Gives the lease back, so that another daemon need not wait for its end.
pub async fn release(d: &Daemon) {
    let lease = lock(&d.reader.lease).take();
    if let Some(lease) = lease {
        let _ends_anyway = d.store.revoke(lease).await;
    }
}

/// Returns the head by a read that begins after this call, if this daemon is a
/// reader and the platform answers; version zero where nothing was accepted yet.
///
/// Requests that come while a read is under way share the next one, so that a
/// herd of fresh daemons costs the platform a few reads.
pub async fn fresh_head(d: &Arc<Daemon>) -> Option<VersionRef> {
    if lock(&d.reader.lease).is_none() {
        return None;
    }
    let asked = d.clock.now();
    let _turn = d.reader.reading.lock().await;
    let last = *lock(&d.reader.last_head);
    if let Some((began, head)) = last {
        if began >= asked {
            return Some(head.unwrap_or_else(nothing_yet));
        }
        let since = d.clock.now().saturating_duration_since(began);
        if since < FRESH_SPACING {
            smol::Timer::after(FRESH_SPACING - since).await;
        }
    }
    let head = read_head(d).await.ok()?;
    Some(head.unwrap_or_else(nothing_yet))
}

/// Reads the head for this daemon itself.
///
/// # Errors
///
/// Returns the platform's error.
pub async fn read_head(d: &Arc<Daemon>) -> Result<Option<VersionRef>, PlatformError> {
    let began = d.clock.now();
    let pair = d.store.get(keys::HEAD).await?;
    let what = pair.as_ref().map(parse_head).transpose()?.flatten();
    *lock(&d.reader.last_head) = Some((began, what));
    let actions = d.versions.on(Event::HeadRead(what.map_or(0, |what| what.version)));
    if let Some(what) = what {
        d.versions.add_version_ref(what);
    }
    super::stage::perform(d, actions, None);
    Ok(what)
}

/// The head before the first version: a floor like any other.
fn nothing_yet() -> VersionRef {
    VersionRef { version: 0, root: ObjectHash::of(b""), accepted_ms: 0 }
}

/// Returns whether this daemon may try for the lease: nobody live claims it, and
/// it is among the first by key.
fn is_candidate(d: &Daemon) -> bool {
    let mut hosts: Vec<HostKey> = d.members.others();
    hosts.push(d.me);
    hosts.sort_unstable();
    let reader_lives = hosts
        .iter()
        .filter(|host| **host != d.me)
        .filter_map(|host| d.members.get(*host))
        .any(|record| record.reader);
    !reader_lives && hosts.iter().take(CANDIDATES).any(|host| *host == d.me)
}

async fn hold_lease(d: &Arc<Daemon>) -> Result<(), PlatformError> {
    let key = keys::reader(&d.settings.failure_domain);
    if d.store.get(&key).await?.is_some() {
        return Ok(());
    }
    let lease = d.store.grant(LEASE_TIME).await?;
    let swapped =
        d.store.swap(&key, Revision::ABSENT, d.settings.host.as_bytes(), Some(lease)).await;
    if swapped != Ok(Swap::Done) {
        // A lost answer counts as lost: the lease is given up, and with it the
        // key, whoever has it.
        let _ends_anyway = d.store.revoke(lease).await;
        return swapped.map(|_| ());
    }
    *lock(&d.reader.lease) = Some(lease);
    d.members.update_own(d, |own| own.reader = true);
    log::info!("reader of {}", d.settings.failure_domain);
    let keeping = keep(d, lease);
    let reading = read(d);
    let ended = smol::future::or(keeping, reading).await;
    lock(&d.reader.lease).take();
    d.members.update_own(d, |own| own.reader = false);
    ended
}

async fn keep(d: &Arc<Daemon>, lease: Lease) -> Result<(), PlatformError> {
    let mut roster = Roster::default();
    let mut written = None::<Instant>;
    let mut failing_since = None::<Instant>;
    loop {
        smol::Timer::after(KEEP_ALIVE).await;
        match d.store.keep_alive(lease).await {
            Ok(true) => failing_since = None,
            Ok(false) => {
                log::warn!("reader lease ended; another daemon may read");
                return Ok(());
            }
            Err(err) => {
                let now = d.clock.now();
                let since = *failing_since.get_or_insert(now);
                if now.saturating_duration_since(since) > LEASE_TIME {
                    return Err(err);
                }
            }
        }
        let due = written.is_none_or(|at| d.clock.now() >= at + ROSTER_EVERY);
        let now_is = current_roster(d);
        if due && now_is != roster && write_roster(d, &now_is).await.is_ok() {
            written = Some(d.clock.now());
            roster = now_is;
        }
    }
}

/// Watches the head; returns when the watch ends.
async fn read(d: &Arc<Daemon>) -> Result<(), PlatformError> {
    let mut watch = d.store.watch(keys::HEAD).await?;
    load_catalog(d).await?;
    // Read after the watch is in place, so that no change falls in between.
    let mut newest = read_head(d).await?;
    let (tx, rx) = smol::channel::unbounded::<VersionRef>();
    let rolling = roll_out_all(d, rx);
    let watching = async {
        loop {
            if let Some(what) = newest.take() {
                let _receiver_lives = tx.try_send(what);
            }
            match exec::timeout(REREAD_EVERY, watch.next()).await {
                Some(changes) => {
                    newest = head_in(&changes?)?.inspect(|what| d.versions.add_version_ref(*what))
                }
                None => newest = read_head(d).await?,
            }
        }
    };
    smol::future::or(watching, rolling).await
}

/// Rolls out each new head, the newest first when several wait.
async fn roll_out_all(
    d: &Arc<Daemon>,
    rx: smol::channel::Receiver<VersionRef>,
) -> Result<(), PlatformError> {
    let mut done: Version = 0;
    while let Ok(mut what) = rx.recv().await {
        while let Ok(newer) = rx.try_recv() {
            what = newer;
        }
        d.versions.add_version_ref(what);
        let unfinished = d.versions.active_version() < what.version;
        if what.version <= done && !unfinished {
            continue;
        }
        if let Err(err) = promotion::run(d, what, &ObjectSource::Platform).await {
            log::error!("version {} is not offered: {err}", what.version);
            if !err.is_invalid() {
                continue;
            }
        }
        done = done.max(what.version);
    }
    Ok(())
}

fn head_in(changes: &[Change]) -> Result<Option<VersionRef>, PlatformError> {
    let puts = changes.iter().filter_map(|change| match change {
        Change::Put(pair) if pair.key == keys::HEAD => Some(pair),
        _ => None,
    });
    Ok(puts.map(parse_head).collect::<Result<Vec<_>, _>>()?.into_iter().flatten().last())
}

fn parse_head(pair: &Pair) -> Result<Option<VersionRef>, PlatformError> {
    let head: Head = serde_json::from_slice(&pair.value)
        .map_err(|err| PlatformError::Protocol(format!("head: {err}")))?;
    Ok(head.root_hash().map(|root| VersionRef {
        version: head.version,
        root,
        accepted_ms: head.accepted_ms,
    }))
}

/// Learns from the rosters which services exist.
async fn load_catalog(d: &Arc<Daemon>) -> Result<(), PlatformError> {
    for pair in d.store.list(keys::ROSTERS, false).await? {
        if let Ok(roster) = serde_json::from_slice::<Roster>(&pair.value) {
            d.members.add_catalog(roster.services.into_iter().collect());
        }
    }
    Ok(())
}

fn current_roster(d: &Daemon) -> Roster {
    let mut records: Vec<_> = d
        .members
        .all()
        .into_iter()
        .filter(|record| record.is_live() && record.domain == d.settings.failure_domain)
        .collect();
    records.sort_by_key(|record| record.host);
    records.truncate(ROSTER_SIZE);
    Roster {
        near: records.iter().map(|record| record.near).collect(),
        far: records.iter().map(|record| record.far).collect(),
        services: d.members.catalog().into_iter().collect(),
    }
}

async fn write_roster(d: &Daemon, roster: &Roster) -> Result<(), PlatformError> {
    let buf = serde_json::to_vec(roster).unwrap_or_default();
    d.store.put_many(&[(keys::roster(&d.settings.failure_domain), buf)]).await
}

/// Spreads a pause over half to one and a half times its length.
fn spread(pause: Duration) -> Duration {
    pause.mul_f64(0.5 + fastrand::f64())
}
