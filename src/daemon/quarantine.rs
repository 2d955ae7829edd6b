//! Replication and storage of the suspicions against calls that end their upstreams.
//!
//! [`cicadashift_core::request::suspects`] decides which calls are suspected or
//! quarantined. This module sends each change to other daemons at once, in datagrams.
//! Probes carry a summary of all suspicions; two daemons whose summaries differ exchange
//! their suspicions in full. Quarantines are also written to the store until they are
//! over, so that they outlive a restart of all daemons; each daemon reads them once after
//! its start.
//!
//! The bytes sent grow with the number of upstreams that end, not with the number of
//! calls: some 30 bytes for each call in flight at an upstream that ended. Each daemon that
//! receives an update for the first time sends it to seven daemons, twice.

use super::{Daemon, datagrams, lock, peers};
use crate::store::{ConditionalWrite, KeyValueStore, PlatformError, keys};
use cicadashift_core::ids::{CallDigest, IncarnationKey};
use cicadashift_core::membership::gossip::Queue;
use cicadashift_core::request::suspects::{QuarantineState, Review, Suspects, Suspicion};
use cicadashift_http::exec;
use cicadashift_http::reactor::Timer;
use cicadashift_wire::rpc::{self, Request as Ask, Response};
use smol::channel::{Receiver, Sender};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time between two rounds of updates. The first round is sent at once, since a call that
/// ends upstreams may arrive at every host at the same time.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(40);
/// Suspicions in one datagram; at about 30 bytes each they fit a usual MTU.
const SUSPICIONS_PER_DATAGRAM: usize = 32;
/// Datagrams that one daemon is sent in a round. If 59 of 295 upstreams end at once, some
/// 400 calls are suspected, and sending all of these suspicions at once would delay the
/// remaining calls. With this limit it takes a quarter of a second.
const DATAGRAMS_PER_ROUND: usize = 4;
/// How long a computed summary is used: computing one for each datagram would be most of
/// the work.
const SUMMARY_MAX_AGE: Duration = Duration::from_millis(500);
/// Minimum time between two comparisons that are started because summaries differ.
const COMPARE_INTERVAL: Duration = Duration::from_millis(400);
/// The same for each suspected call. A comparison takes some 30 bytes a call in each
/// direction, and full tables may never become equal: comparing these takes 8 KB/s with
/// this limit and 80 KB/s without it.
const COMPARE_INTERVAL_PER_CALL: Duration = Duration::from_millis(8);
const COMPARE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two rounds that drop old suspicions and write quarantines to the store.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);
/// How long the store keeps a quarantine after a write: as long as the quarantine lasts.
/// Daemons that read it after a restart start its time anew, so that it may last twice as
/// long.
const STORE_TTL: Duration = cicadashift_core::request::suspects::QUARANTINE_TIME;

/// The suspicions of this daemon.
pub struct Quarantine {
    suspects: Mutex<Suspects>,
    /// Changes that remain to be sent to other daemons.
    pending: Mutex<Queue<CallDigest, Suspicion>>,
    /// Wakes [`send_updates`].
    wakeup: (Sender<()>, Receiver<()>),
    /// The last computed summary and when it was computed.
    summary: Mutex<Option<(Instant, u64)>>,
    /// When a differing summary last led to a comparison with another daemon.
    last_comparison: Mutex<Option<Instant>>,
    /// State of the trials that this daemon starts.
    pub trials: Trials,
}

/// State of the trials that this daemon starts.
#[derive(Default)]
pub struct Trials {
    /// Earliest time of the next attempt to acquire the key for a trial.
    pub next: smol::lock::Mutex<Option<Instant>>,
}

impl Default for Quarantine {
    fn default() -> Quarantine {
        Quarantine {
            suspects: Mutex::default(),
            pending: Mutex::default(),
            wakeup: smol::channel::bounded(1),
            summary: Mutex::default(),
            last_comparison: Mutex::default(),
            trials: Trials::default(),
        }
    }
}

impl Quarantine {
    /// Returns a hash of all suspicions, which is equal at daemons with equal suspicions.
    pub fn summary(&self, now: Instant) -> u64 {
        let mut summary = lock(&self.summary);
        match *summary {
            Some((at, summary)) if now < at + SUMMARY_MAX_AGE => summary,
            _ => {
                let computed = lock(&self.suspects).summary(now);
                *summary = Some((now, computed));
                computed
            }
        }
    }
}

/// Returns whether a call is suspected or quarantined.
pub fn state(d: &Daemon, call: CallDigest) -> QuarantineState {
    lock(&d.quarantine.suspects).state(call, d.clock.now())
}

/// Returns how certain it is that a quarantined call ends upstreams.
pub fn review(d: &Daemon, call: CallDigest) -> Review {
    lock(&d.quarantine.suspects).review(call, d.clock.now())
}

/// Records that an upstream ended while these calls were in flight at it.
pub fn record_end(d: &Arc<Daemon>, upstream: &str, calls: &[CallDigest]) {
    let now = d.clock.now();
    let changes = lock(&d.quarantine.suspects).ended(IncarnationKey::of(upstream), calls, now);
    publish(d, changes);
}

/// Records that an upstream ran a call and answered.
pub fn record_answer(d: &Arc<Daemon>, call: CallDigest) {
    let change = lock(&d.quarantine.suspects).ran_well(call, d.clock.now());
    publish(d, change.into_iter().collect());
}

/// Merges the suspicions that another daemon sent or the store holds.
pub fn merge(d: &Arc<Daemon>, received: &[Suspicion]) {
    if received.is_empty() {
        return;
    }
    let changes = lock(&d.quarantine.suspects).merge(received, d.clock.now());
    publish(d, changes);
}

/// Clears a call at all daemons; returns whether it was suspected.
///
/// # Errors
///
/// Returns why the store may still hold the quarantine. If it does, a restart of all
/// daemons brings the quarantine back.
pub async fn lift(d: &Arc<Daemon>, call: CallDigest) -> Result<bool, PlatformError> {
    let change = lock(&d.quarantine.suspects).clear(call, d.clock.now());
    let Some(change) = change else { return Ok(false) };
    publish(d, vec![change.clone()]);
    save(d, &change).await.map(|()| true)
}

/// Returns all suspicions, for other daemons and for operators.
pub fn suspicions(d: &Daemon) -> Vec<Suspicion> {
    lock(&d.quarantine.suspects).all(d.clock.now())
}

/// Returns whether there are any suspicions, old and cleared ones included.
pub fn has_suspicions(d: &Daemon) -> bool {
    !lock(&d.quarantine.suspects).is_empty()
}

/// Starts a comparison with another daemon, unless the last one was too recent or updates
/// that remain to be sent may explain why the summaries differ.
pub fn compare_if_due(d: &Arc<Daemon>, to: SocketAddr) {
    if !lock(&d.quarantine.pending).is_empty() {
        return;
    }
    let now = d.clock.now();
    let calls = lock(&d.quarantine.suspects).len() as u32;
    let interval = COMPARE_INTERVAL.max(COMPARE_INTERVAL_PER_CALL * calls);
    let mut last_comparison = lock(&d.quarantine.last_comparison);
    if last_comparison.is_some_and(|at| now < at + interval) {
        return;
    }
    *last_comparison = Some(now);
    let d = d.clone();
    exec::spawn(async move { compare_with(&d, to).await }).detach();
}

/// Sends all suspicions to a daemon and merges those that it returns.
pub async fn compare_with(d: &Arc<Daemon>, to: SocketAddr) {
    let ask = Ask::Suspicions(suspicions(d));
    match peers::ask(d, to, &ask, COMPARE_TIMEOUT).await {
        Ok(Response::Suspicions(received)) => merge(d, &received),
        Ok(_) => log::debug!("{to}: unexpected answer to a comparison of suspicions"),
        Err(err) => log::debug!("{to}: comparison of suspicions failed: {err}"),
    }
}

/// Reads the quarantines from the store, then writes those of this daemon to it and drops
/// old suspicions, until cancelled.
pub async fn run(d: Arc<Daemon>) {
    let mut last_read = None;
    let mut is_failing = false;
    loop {
        let result = maintain(&d, &mut last_read).await;
        if let (Err(err), false) = (&result, is_failing) {
            log::warn!("quarantine: the store is unavailable: {err}");
        }
        is_failing = result.is_err();
        Timer::after(MAINTENANCE_INTERVAL).await;
    }
}

/// The last read of the quarantines in the store.
#[derive(Clone, Copy, PartialEq, Eq)]
struct StoreRead {
    /// The store's era.
    era: u64,
    /// Whether the read returned current data, not data that may be seconds old.
    is_current: bool,
}

/// Runs one round: drops old suspicions, reads the quarantines from the store where that is
/// due, and writes those that are not saved yet.
async fn maintain(d: &Arc<Daemon>, last_read: &mut Option<StoreRead>) -> Result<(), PlatformError> {
    lock(&d.quarantine.suspects).sweep(d.clock.now());
    let era = d.store.era().unwrap_or_default();
    let is_restored = last_read.is_some_and(|read| read.era != era);
    if is_restored {
        handle_restore(d, era);
    }
    let is_current = last_read.is_some_and(|read| read.is_current);
    if last_read.is_none()
        || is_restored
        || (!is_current && d.follows_store.load(Ordering::Relaxed))
    {
        *last_read = Some(read_stored(d).await?);
    }
    let unsaved = lock(&d.quarantine.suspects).unsaved(d.clock.now());
    for suspicion in unsaved {
        save(d, &suspicion).await?;
        lock(&d.quarantine.suspects).mark_saved(&suspicion);
    }
    Ok(())
}

/// Marks quarantines to be written again after the store was restored from a copy. The
/// daemons that wrote them may have ended since, so that followers write all quarantines
/// that they hold, and other daemons only their own.
fn handle_restore(d: &Daemon, era: u64) {
    let all = d.follows_store.load(Ordering::Relaxed);
    let count = lock(&d.quarantine.suspects).mark_lost(all, d.clock.now());
    log::warn!("the store was restored from a copy, era {era}: {count} quarantines to rewrite");
    d.metrics.incr("platform.restored");
}

/// Reads the quarantines from the store: followers read current data, other daemons data
/// that may be seconds old, which costs the store a tenth. A daemon that becomes a follower
/// later reads again; the others receive from followers what their own read missed.
///
/// Failure: hundreds of daemons that start all read current data, and most find no
/// quarantine. Symptom: these reads are half of all calls to the store.
async fn read_stored(d: &Arc<Daemon>) -> Result<StoreRead, PlatformError> {
    let is_current = d.follows_store.load(Ordering::Relaxed);
    let pairs = match is_current {
        true => d.store.list(keys::QUARANTINE, false).await?,
        false => d.store.list_allow_stale(keys::QUARANTINE).await?,
    };
    let decoded = pairs.iter().filter_map(|pair| {
        let suspicion = rpc::decode::<Suspicion>(&pair.value);
        suspicion.inspect_err(|err| log::warn!("{}: cannot decode: {err}", pair.key)).ok()
    });
    let stored: Vec<_> = decoded.collect();
    merge(d, &stored);
    Ok(StoreRead { era: d.store.era().unwrap_or_default(), is_current })
}

async fn save(d: &Daemon, suspicion: &Suspicion) -> Result<(), PlatformError> {
    let lease = d.store.grant(STORE_TTL).await?;
    let key = keys::quarantine(suspicion.call);
    match d.store.put_leased(&key, &rpc::encode(suspicion), lease).await? {
        ConditionalWrite::Applied => Ok(()),
        ConditionalWrite::Rejected => {
            Err(PlatformError::NotApplied("the lease has ended".to_string()))
        }
    }
}

/// Logs changed suspicions and queues them to be sent to other daemons.
fn publish(d: &Arc<Daemon>, changes: Vec<Suspicion>) {
    if changes.is_empty() {
        return;
    }
    for suspicion in &changes {
        let Suspicion { call, ended, .. } = suspicion;
        match state(d, *call) {
            QuarantineState::Quarantined { left } => {
                d.metrics.incr("quarantine.judged");
                let (ends, left) = (ended.len(), left.as_secs());
                log::warn!("call {call} is quarantined for {left} s: {ends} upstreams ended");
            }
            QuarantineState::Clear => log::info!("call {call} is cleared"),
            QuarantineState::Suspected => log::debug!("call {call} is suspected"),
        }
    }
    *lock(&d.quarantine.summary) = None;
    let mut pending = lock(&d.quarantine.pending);
    changes.into_iter().for_each(|suspicion| pending.push(suspicion.call, suspicion));
    let _wakeup_already_pending = d.quarantine.wakeup.0.try_send(());
}

/// Sends changed suspicions to other daemons until cancelled.
pub async fn send_updates(d: Arc<Daemon>) {
    while d.quarantine.wakeup.1.recv().await.is_ok() {
        while send_round(&d).await {
            Timer::after(GOSSIP_INTERVAL).await;
        }
    }
}

/// Sends one round of updates; returns whether there were any.
async fn send_round(d: &Daemon) -> bool {
    let updates =
        lock(&d.quarantine.pending).take_round(SUSPICIONS_PER_DATAGRAM * DATAGRAMS_PER_ROUND);
    let receivers = d.members.urgent_targets();
    for chunk in updates.chunks(SUSPICIONS_PER_DATAGRAM) {
        for host in &receivers {
            datagrams::send_suspicions(d, *host, chunk.to_vec()).await;
        }
    }
    !updates.is_empty()
}
