//! The reader of a failure domain, which reads the platform for all its daemons.
//!
//! One daemon of each failure domain holds the reader lease, watches the head
//! and promotes each new version. The lease only limits the load on the platform.
//! A daemon that reads without it, such as a reader that was frozen until after
//! its lease expired, still reads a valid head and does no harm.

use super::promotion;
use super::sources::ObjectSource;
use super::{Daemon, lock};
use crate::store::{
    Change, ConditionalWrite, KeyValueStore, Lease, Pair, PlatformError, Revision, Watch, keys,
};
use cicadashift_core::delivery::head::Head;
use cicadashift_core::delivery::node::Event;
use cicadashift_core::ids::{HostKey, ObjectHash, Version};
use cicadashift_http::exec;
use cicadashift_http::reactor::Timer;
use cicadashift_wire::rpc::VersionRef;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Time to live of the reader lease.
const LEASE_TTL: Duration = Duration::from_secs(2);
/// Time between two keep-alives.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(650);
/// Number of members that try to acquire the lease: the first by key, and one in reserve.
const CANDIDATES: usize = 2;
/// Mean time between two checks whether to try to acquire the lease.
const CANDIDATE_INTERVAL: Duration = Duration::from_millis(400);
/// First and longest backoff after a failure of the platform, before jitter.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(1200));
/// Minimum time between two writes of the roster.
const ROSTER_INTERVAL: Duration = Duration::from_secs(2);
/// Time without a change from the watch after which the head is read again, in
/// case the watch has failed without an error.
const REREAD_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of members whose addresses are in a roster.
const MAX_ROSTER_MEMBERS: usize = 8;
/// Minimum time between the starts of two reads of the head for other daemons.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(20);

/// Members and services of one failure domain, as stored on the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Roster {
    /// Mesh addresses of members, for daemons of the same failure domain.
    pub near: Vec<SocketAddr>,
    /// Mesh addresses of members, for daemons of other failure domains.
    pub far: Vec<SocketAddr>,
    /// Services ever announced in the failure domain.
    pub services: BTreeSet<String>,
}

/// State of one daemon as a reader.
#[derive(Default)]
pub struct State {
    lease: Mutex<Option<Lease>>,
    /// Result of the latest read of the head, with the time when the read began.
    last_head: Mutex<Option<(Instant, Option<VersionRef>)>>,
    /// Held while the head is read for other daemons, so that reads do not overlap.
    read_lock: smol::lock::Mutex<()>,
}

/// Tries to acquire the lease while this daemon is a candidate, and reads while it holds it.
pub async fn run(d: Arc<Daemon>) {
    let mut pause = BACKOFF.0;
    loop {
        Timer::after(jitter(CANDIDATE_INTERVAL)).await;
        if !is_candidate(&d) || d.is_leaving() {
            continue;
        }
        match read_under_lease(&d).await {
            Ok(()) => pause = BACKOFF.0,
            Err(err) => {
                log::warn!("reader: platform error: {err}");
                d.metrics.incr("platform.failed");
                Timer::after(jitter(pause)).await;
                pause = (pause * 2).min(BACKOFF.1);
            }
        }
    }
}

/// Revokes the lease, so that another daemon need not wait until it expires.
pub async fn release(d: &Daemon) {
    let lease = lock(&d.reader.lease).take();
    if let Some(lease) = lease {
        let _expires_anyway = d.store.revoke(lease).await;
    }
}

/// Returns the head from a read that begins after this call, if this daemon is a
/// reader and the platform answers; version zero before the first accept.
///
/// Requests that arrive during a read share the next read, so that many daemons
/// that start at once cause only a few reads of the platform.
pub async fn fresh_head(d: &Arc<Daemon>) -> Option<VersionRef> {
    if lock(&d.reader.lease).is_none() {
        return None;
    }
    let requested_at = d.clock.now();
    let _guard = d.reader.read_lock.lock().await;
    let last = *lock(&d.reader.last_head);
    if let Some((began, head)) = last {
        if began >= requested_at {
            return Some(head.unwrap_or_else(empty_head));
        }
        let since = d.clock.now().saturating_duration_since(began);
        if since < MIN_READ_INTERVAL {
            Timer::after(MIN_READ_INTERVAL - since).await;
        }
    }
    let head = read_head(d).await.ok()?;
    Some(head.unwrap_or_else(empty_head))
}

/// Reads the head from the platform and passes it to the state machine of this daemon.
///
/// # Errors
///
/// Returns the platform's error.
pub async fn read_head(d: &Arc<Daemon>) -> Result<Option<VersionRef>, PlatformError> {
    let began = d.clock.now();
    let pair = d.store.get(keys::HEAD).await?;
    let version_ref = pair.as_ref().map(parse_head).transpose()?.flatten();
    *lock(&d.reader.last_head) = Some((began, version_ref));
    let actions =
        d.versions.on(Event::HeadRead(version_ref.map_or(0, |version_ref| version_ref.version)));
    if let Some(version_ref) = version_ref {
        d.versions.add_version_ref(version_ref);
    }
    super::stage::perform(d, actions, None);
    Ok(version_ref)
}

/// Returns the head before the first accept. Version zero is a valid floor.
fn empty_head() -> VersionRef {
    VersionRef { version: 0, root: ObjectHash::of(b""), accepted_ms: 0 }
}

/// Returns whether this daemon may try to acquire the lease: no other live member
/// is a reader, and this daemon is among the first [`CANDIDATES`] by key.
fn is_candidate(d: &Daemon) -> bool {
    let mut hosts: Vec<HostKey> = d.members.others();
    hosts.push(d.me);
    hosts.sort_unstable();
    let has_live_reader = hosts
        .iter()
        .filter(|host| **host != d.me)
        .filter_map(|host| d.members.get(*host))
        .any(|record| record.reader);
    !has_live_reader && hosts.iter().take(CANDIDATES).any(|host| *host == d.me)
}

async fn read_under_lease(d: &Arc<Daemon>) -> Result<(), PlatformError> {
    let key = keys::reader(&d.settings.failure_domain);
    if d.store.get(&key).await?.is_some() {
        return Ok(());
    }
    let lease = d.store.grant(LEASE_TTL).await?;
    let swapped = d
        .store
        .compare_and_swap(&key, Revision::ABSENT, d.settings.host.as_bytes(), Some(lease))
        .await;
    if swapped != Ok(ConditionalWrite::Applied) {
        // If the response was lost, the swap may have taken effect. Revoking the
        // lease also deletes the key if it was written.
        let _expires_anyway = d.store.revoke(lease).await;
        return swapped.map(|_| ());
    }
    *lock(&d.reader.lease) = Some(lease);
    d.members.update_own(d, |own| own.reader = true);
    log::info!("acquired the reader lease of {}", d.settings.failure_domain);
    let keeping = keep_lease(d, lease);
    let reading = watch_head(d);
    let ended = smol::future::or(keeping, reading).await;
    lock(&d.reader.lease).take();
    d.members.update_own(d, |own| own.reader = false);
    ended
}

async fn keep_lease(d: &Arc<Daemon>, lease: Lease) -> Result<(), PlatformError> {
    let mut roster = Roster::default();
    let mut last_written = None::<Instant>;
    let mut failing_since = None::<Instant>;
    loop {
        Timer::after(KEEP_ALIVE_INTERVAL).await;
        match d.store.keep_alive(lease).await {
            Ok(true) => failing_since = None,
            Ok(false) => {
                log::warn!("reader lease expired; another daemon may become the reader");
                return Ok(());
            }
            Err(err) => {
                let now = d.clock.now();
                let since = *failing_since.get_or_insert(now);
                if now.saturating_duration_since(since) > LEASE_TTL {
                    return Err(err);
                }
            }
        }
        let is_due = last_written.is_none_or(|at| d.clock.now() >= at + ROSTER_INTERVAL);
        let current = current_roster(d);
        if is_due && current != roster && write_roster(d, &current).await.is_ok() {
            last_written = Some(d.clock.now());
            roster = current;
        }
    }
}

/// Watches the head and promotes each new version; returns when the watch fails.
async fn watch_head(d: &Arc<Daemon>) -> Result<(), PlatformError> {
    let mut watch = d.store.watch(keys::HEAD).await?;
    load_catalog(d).await?;
    // The head is read after the watch is set up, so that no change is missed.
    let mut newest = read_head(d).await?;
    let (tx, rx) = smol::channel::unbounded::<VersionRef>();
    let promoting = promote_heads(d, rx);
    let watching = async {
        loop {
            if let Some(version_ref) = newest.take() {
                let _receiver_is_alive = tx.try_send(version_ref);
            }
            match exec::timeout(REREAD_INTERVAL, watch.next()).await {
                Some(changes) => {
                    newest = newest_head(&changes?)?
                        .inspect(|version_ref| d.versions.add_version_ref(*version_ref))
                }
                None => newest = read_head(d).await?,
            }
        }
    };
    smol::future::or(watching, promoting).await
}

/// Promotes each new head; of several that wait, only the newest.
async fn promote_heads(
    d: &Arc<Daemon>,
    rx: smol::channel::Receiver<VersionRef>,
) -> Result<(), PlatformError> {
    let mut newest_done: Version = 0;
    while let Ok(mut version_ref) = rx.recv().await {
        while let Ok(newer) = rx.try_recv() {
            version_ref = newer;
        }
        d.versions.add_version_ref(version_ref);
        let is_unfinished = d.versions.active_version() < version_ref.version;
        if version_ref.version <= newest_done && !is_unfinished {
            continue;
        }
        if let Err(err) = promotion::run(d, version_ref, &ObjectSource::Platform).await {
            log::error!("version {} is not offered: {err}", version_ref.version);
            if !err.is_invalid() {
                continue;
            }
        }
        newest_done = newest_done.max(version_ref.version);
    }
    Ok(())
}

fn newest_head(changes: &[Change]) -> Result<Option<VersionRef>, PlatformError> {
    let heads = changes.iter().filter_map(|change| change.pair(keys::HEAD));
    Ok(heads.map(parse_head).collect::<Result<Vec<_>, _>>()?.into_iter().flatten().last())
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

/// Adds the services listed in the rosters of all failure domains to the catalog.
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
    records.truncate(MAX_ROSTER_MEMBERS);
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

/// Returns a random duration between half and one and a half times `pause`.
fn jitter(pause: Duration) -> Duration {
    pause.mul_f64(0.5 + fastrand::f64())
}
