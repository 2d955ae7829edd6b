//! The configuration where it lies whole under one key of the store.
//!
//! A few daemons of each failure domain follow the key: the store's order of writes
//! is the order of versions, so nothing has to be agreed. They send
//! heartbeats to the others of the domain, who ask one of them for what differs. A
//! daemon without a heartbeat for about a second follows the key itself. Whoever brings it, a
//! version is decoded, checked and compiled whole before it comes into force with
//! one assignment, and only a higher one does. `docs/PLATFORM.md` has what was
//! weighed.

use super::members::followers_of;
use super::peers::MeshError;
use super::versions::Running;
use super::{Daemon, datagrams, peers};
use crate::store::{Change, ClientWatch, Pair, Platform, PlatformError, Revision, Watch};
use bytes::Bytes;
use cicadashift_core::config::Invalid;
use cicadashift_core::config::compile::RoutingTable;
use cicadashift_core::ids::{HostKey, Version};
use cicadashift_edge::interface::{Document, Interface, Malformed};
use cicadashift_wire::rpc::{Request as Ask, Response, Update, UpdateBody};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// First and longest pause after the store failed. A change must be in force two
/// seconds after it was accepted, also right after an outage.
const PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(600));
/// Time in which changes that follow each other are read as one, the newest. A
/// change must be in force within two seconds; reading one takes some 0.3 s on a
/// link of 5 Mbit/s.
const SETTLE: Duration = Duration::from_millis(900);
/// A second change within this time begins a burst.
const BURST_WITHIN: Duration = Duration::from_millis(1500);
/// How recent the store's word must be for this daemon to be following it.
const FOLLOWING: Duration = Duration::from_secs(15);
/// How long a daemon leaves a newer version to the store or to followers before it
/// asks any member.
const BEHIND_MOST: Duration = Duration::from_millis(1300);
/// How long it leaves one to its own follower, which reads changes that follow each
/// other [`SETTLE`] apart, before it asks another follower.
const OWN_FOLLOWER_MOST: Duration = Duration::from_millis(1000);
/// How long a daemon that has just started leaves its first version to its own reading
/// of the store, which is under way, before it asks members.
const FIRST_READING: Duration = Duration::from_millis(600);
/// Time between two looks whether this daemon is to follow the store.
const LOOK: Duration = Duration::from_millis(150);
/// Time after a daemon has read the key in which it does not begin to follow it, so
/// that others have time to tell that they do; shorter for those whose turn it is to
/// follow. Failure: hundreds start at once, and each asks for a watch before it knows
/// of any other. Symptom: the store refuses calls over its rate, and a start takes
/// seconds.
const READ_WAIT: (Duration, Duration) = (Duration::from_millis(500), Duration::from_millis(2000));
/// Where the whole mesh starts for the first time: time in which daemons find each other
/// before some of them follow the store, and longest time that the others wait for a
/// word of those.
const FIRST_START: (Duration, Duration) =
    (Duration::from_millis(1500), Duration::from_millis(3500));
/// Looks in a row that say it need not, before it stops: a follower that comes and
/// goes is worse than one more.
const CALM_LOOKS: u32 = 12;
/// Time between two heartbeats of a follower. One may be lost before its members
/// follow the store themselves.
const HEARTBEAT_EVERY: Duration = Duration::from_millis(500);
/// Time for one question to a member.
const ASK_TIME: Duration = Duration::from_millis(800);
/// Longest time for which a caller's idle connection is kept, whatever the
/// configuration allows; answers say so. An idle connection holds two buffers of
/// 8 KB, and callers that retry open more than they use again. With two seconds
/// instead of 15, and link-time optimization, eleven daemons under overload took
/// 5.5 GB x seconds of memory in a minute instead of 12.4 (resident size, summed).
pub const CALLER_IDLE_MOST: Duration = Duration::from_secs(2);
/// Time by which idle connections may outlive what callers were told, so that
/// one that is used at the last moment is not met by a close.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// Why a version does not come into force.
#[derive(Debug)]
pub enum SourceError {
    /// It cannot be decoded.
    Malformed(Malformed),
    /// Its configurations contradict each other or the product's own checks.
    Invalid(Invalid),
}

impl fmt::Display for SourceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SourceError::Malformed(err) => write!(f, "{err}"),
            SourceError::Invalid(err) => write!(f, "{err}"),
        }
    }
}

impl std::error::Error for SourceError {}

/// Keeps the configuration current until cancelled.
pub async fn run(d: Arc<Daemon>) {
    let mut pause = PAUSE.0;
    let mut reached = true;
    if d.settings.first_start {
        wait_for_followers(&d).await;
    }
    first_reading(&d).await;
    loop {
        if !must_follow(&d) {
            smol::Timer::after(LOOK).await;
            continue;
        }
        let relieved = async {
            until_relieved(&d).await;
            None
        };
        let lost = async {
            let Err(err) = follow(&d, &mut reached, &mut pause).await;
            Some(err)
        };
        let lost = smol::future::or(lost, relieved).await;
        d.follows.store(false, Ordering::Relaxed);
        let Some(err) = lost else {
            log::info!("configuration: left to members that follow the store");
            continue;
        };
        if !d.versions.document.is_covered(d.clock.now()) {
            d.versions.document.doubt();
        }
        if reached {
            log::warn!("configuration: the store is lost: {err}");
            reached = false;
        }
        d.metrics.incr("platform.failed");
        smol::Timer::after(pause.mul_f64(0.5 + fastrand::f64())).await;
        pause = (pause * 2).min(PAUSE.1);
    }
}

/// Waits until somebody follows the store or it is this daemon's turn to.
///
/// Where the whole mesh starts for the first time there is nothing to be read yet: each
/// daemon would ask for nothing, 295 calls to the store in one second.
async fn wait_for_followers(d: &Daemon) {
    let started = d.clock.now();
    loop {
        smol::Timer::after(LOOK).await;
        let now = d.clock.now();
        let age = now.saturating_duration_since(started);
        let is_its_turn = age >= FIRST_START.0 && d.members.followers().contains(&d.me);
        let document = &d.versions.document;
        let is_known = document.version() > 0 || document.is_covered(now);
        if is_known || is_its_turn || age >= FIRST_START.1 {
            return;
        }
    }
}

/// Reads the key once, unless a member is quicker.
async fn first_reading(d: &Daemon) {
    let mut pause = PAUSE.0;
    let document = &d.versions.document;
    while document.version() == 0 && !document.is_covered(d.clock.now()) {
        match read(d, d.config_key()).await {
            Ok(_) => return document.note_first_reading(d.clock.now()),
            Err(err) => log::debug!("the first reading of the configuration failed: {err}"),
        }
        smol::Timer::after(pause.mul_f64(0.5 + fastrand::f64())).await;
        pause = (pause * 2).min(PAUSE.1);
    }
}

/// Sends heartbeats to the members that rely on this daemon while it follows the
/// store, until cancelled.
pub async fn heartbeats(d: Arc<Daemon>) {
    loop {
        smol::Timer::after(HEARTBEAT_EVERY.mul_f64(0.9 + 0.2 * fastrand::f64())).await;
        send_heartbeats(&d).await;
    }
}

async fn send_heartbeats(d: &Daemon) {
    if !d.follows.load(Ordering::Relaxed) {
        return;
    }
    let followers = d.members.followers();
    if !followers.contains(&d.me) {
        return;
    }
    for host in d.members.members_of(&followers, d.me) {
        datagrams::tell(d, host).await;
    }
}

/// Returns whether this daemon is to follow the store: it is one of its failure
/// domain's followers, or hears of none.
///
/// Failure: followers die, or are cut off from some members but not the store.
/// Symptom: a change is accepted and not in force on those members. None of them
/// waits for membership to notice: a second without a heartbeat is enough.
fn must_follow(d: &Daemon) -> bool {
    let (document, now) = (&d.versions.document, d.clock.now());
    let is_its_turn = d.members.followers().contains(&d.me);
    let wait = if is_its_turn { READ_WAIT.0 } else { READ_WAIT.1 };
    if !d.follows.load(Ordering::Relaxed) && document.was_just_read(now, wait) {
        return false;
    }
    is_its_turn || !document.is_covered(now)
}

async fn until_relieved(d: &Daemon) {
    let mut calm = 0;
    while calm < CALM_LOOKS {
        smol::Timer::after(LOOK).await;
        calm = if must_follow(d) { 0 } else { calm + 1 };
    }
}

/// Takes in the version that a member runs, where this daemon lacks it.
pub async fn learn_from(d: &Arc<Daemon>, member: HostKey, version: Version, member_follows: bool) {
    let Some(behind) = d.versions.document.behind_for(version, d.clock.now()) else { return };
    if may_wait(d, member, member_follows, behind) {
        return;
    }
    if d.learning.swap(true, Ordering::Relaxed) {
        return;
    }
    if let Some(to) = d.members.address(member) {
        if let Err(err) = fetch(d, to).await {
            log::debug!("no configuration from {to}: {err}");
        }
    }
    d.learning.store(false, Ordering::Relaxed);
}

/// Returns whether a newer version that a member runs is better left to the way by
/// which it is to come.
///
/// Failure: members ask whoever speaks first. Symptom: it lacks the version that they
/// hold, sends the whole text over a narrow link, and the next version is late. So a
/// member asks its own follower while that one speaks, then another follower; others
/// only when nothing else helps.
fn may_wait(d: &Daemon, member: HostKey, member_follows: bool, behind: Duration) -> bool {
    let now = d.clock.now();
    let document = &d.versions.document;
    if document.version() == 0 {
        return behind < FIRST_READING;
    }
    if d.follows.load(Ordering::Relaxed) && document.is_fresh(now, FOLLOWING) {
        return behind < BEHIND_MOST;
    }
    if !document.is_covered(now) {
        return false;
    }
    let own = followers_of(&d.members.followers(), d.me)[0];
    let is_own_there = own.is_some_and(|own| document.is_covered_by(own, now));
    match (own == Some(member) || !is_own_there, member_follows) {
        (true, true) => false,
        (false, true) => behind < OWN_FOLLOWER_MOST,
        (_, false) => behind < BEHIND_MOST,
    }
}

/// Asks a member for what this daemon lacks, and puts it in force.
async fn fetch(d: &Daemon, to: SocketAddr) -> Result<(), MeshError> {
    let (held, text) = d.versions.document.held();
    let update = match ask(d, to, held).await? {
        None => return Ok(()),
        Some(update) => update,
    };
    let (version, revision) = (update.version, update.revision);
    if version <= held {
        return Ok(());
    }
    match update.body {
        UpdateBody::Whole(text) => {
            log::info!("version {version} comes whole from {to}, which lacks {held}");
            take(d, Bytes::from(text.into_vec()), revision, "member");
        }
        UpdateBody::Changed(delta) => match delta.apply(&text) {
            Some(text) => take(d, Bytes::from(text), revision, "member"),
            None => log::warn!("version {version} from {to}: its changes do not fit {held}"),
        },
    }
    Ok(())
}

async fn ask(d: &Daemon, to: SocketAddr, held: Version) -> Result<Option<Update>, MeshError> {
    match peers::ask(d, to, &Ask::Document { held }, ASK_TIME).await? {
        Response::Document(update) => Ok(update),
        _ => Err(MeshError::Unexpected),
    }
}

/// Watches the key; returns when the store fails.
async fn follow(
    d: &Arc<Daemon>,
    reached: &mut bool,
    pause: &mut Duration,
) -> Result<std::convert::Infallible, PlatformError> {
    let key = d.config_key();
    let mut watch = begin(d, key).await?;
    let mut last_change: Option<Instant> = None;
    loop {
        let changes = watch.next().await?;
        if !*reached {
            log::info!("configuration: the store is back");
            *reached = true;
        }
        *pause = PAUSE.0;
        take_orders_of(d, &changes);
        let newest = changes.into_iter().rev().find_map(|change| match change {
            Change::Put(pair) if pair.key == key => Some(pair),
            _ => None,
        });
        if let Some(pair) = &newest {
            take(d, Bytes::copy_from_slice(&pair.value), pair.revision, "store");
        }
        let now = d.clock.now();
        note_current(d, now);
        let Some(pair) = newest else { continue };
        send_heartbeats(d).await;
        let is_burst = last_change.is_some_and(|at| now < at + BURST_WITHIN);
        last_change = Some(now);
        if is_burst {
            let after = let_settle(d, key, pair.revision).await?;
            // Orders that were written meanwhile are not reported any more.
            read_orders(d).await?;
            watch = d.platform.watch_from(d.operator_prefix(), after).await?;
        }
    }
}

/// Takes in the orders of rollouts that were written or taken back.
fn take_orders_of(d: &Daemon, changes: &[Change]) {
    for change in changes {
        match change {
            Change::Put(pair) if d.is_order(&pair.key) => d.rollouts.add_order(d, pair),
            Change::Deleted(key) if d.is_order(key) => {
                d.rollouts.withdraw_order(key.rsplit('/').next().unwrap_or_default());
            }
            Change::Put(_) | Change::Deleted(_) => {}
        }
    }
}

/// Reads all orders of rollouts.
async fn read_orders(d: &Daemon) -> Result<(), PlatformError> {
    let Some(hosted) = &d.hosted else { return Ok(()) };
    let pairs = d.platform.list(hosted.order_prefix(), false).await?;
    d.rollouts.replace_orders(d, &pairs);
    Ok(())
}

/// Begins to watch the key from what is in force here, or from its first reading.
async fn begin(d: &Daemon, key: &str) -> Result<ClientWatch, PlatformError> {
    let known = d.versions.document.revision();
    let is_of_now = d.platform.era().is_none_or(|era| era == known.era);
    if !known.is_absent() && is_of_now {
        read_orders(d).await?;
        return d.platform.watch_from(d.operator_prefix(), known).await;
    }
    let (pairs, watch) = d.platform.list_and_watch(d.operator_prefix()).await?;
    let is_order = |pair: &&Pair| d.is_order(&pair.key);
    let orders: Vec<Pair> = pairs.iter().filter(is_order).cloned().collect();
    d.rollouts.replace_orders(d, &orders);
    for pair in pairs.into_iter().filter(|pair| pair.key == key) {
        take(d, Bytes::from(pair.value), pair.revision, "store");
    }
    note_current(d, d.clock.now());
    Ok(watch)
}

/// Reads changes that follow each other in quick succession as one; returns the
/// position of the last.
///
/// Failure: a watch brings each of several versions a second whole. Symptom: at
/// three a second of 200 KB they fill a link of 5 Mbit/s, and requests wait.
async fn let_settle(d: &Daemon, key: &str, mut after: Revision) -> Result<Revision, PlatformError> {
    loop {
        smol::Timer::after(SETTLE).await;
        let revision = read(d, key).await?.unwrap_or(after);
        note_current(d, d.clock.now());
        if revision == after {
            return Ok(after);
        }
        after = revision;
        send_heartbeats(d).await;
    }
}

/// Reads the key and puts its version in force; returns its position.
async fn read(d: &Daemon, key: &str) -> Result<Option<Revision>, PlatformError> {
    let Some(pair) = d.platform.get(key).await? else { return Ok(None) };
    take(d, Bytes::from(pair.value), pair.revision, "store");
    Ok(Some(pair.revision))
}

/// Notes that the store was asked and has nothing newer.
fn note_current(d: &Daemon, now: Instant) {
    d.versions.document.confirm(now);
    d.follows.store(true, Ordering::Relaxed);
}

/// Puts a version in force if it is good and newer; otherwise the last good one
/// stays.
fn take(d: &Daemon, text: Bytes, revision: Revision, from: &str) {
    let began = d.clock.now();
    let document = match d.decode_document(&text) {
        Ok(document) => document,
        Err(err) => return refuse(d, 0, &SourceError::Malformed(err), from),
    };
    let version = document.version;
    if version <= d.versions.running_version() {
        return;
    }
    let running = match compile(d, document) {
        Ok(compiled) => compiled,
        Err(err) => return refuse(d, version, &err, from),
    };
    let limits = running.table.limits;
    let routes = running.table.len();
    // Members ask a follower only; the others need not hold what they ran before.
    let keep_older = d.follows.load(Ordering::Relaxed);
    if !d.versions.install(running, revision, text, keep_older) {
        return;
    }
    if let Some(limits) = limits {
        let allowed = Duration::from_millis(limits.idle_ms);
        d.caller_idle.set(allowed.min(CALLER_IDLE_MOST) + IDLE_MARGIN);
    }
    d.metrics.gauge("version.running", version);
    let took = d.clock.now().saturating_duration_since(began).as_millis();
    log::info!("version {version} is in force: {routes} routes, from {from}, after {took} ms");
}

fn compile(d: &Daemon, document: Document) -> Result<Running, SourceError> {
    let proxy = d.settings.proxy();
    let selected: Vec<_> = document
        .configs
        .into_iter()
        .filter(|cfg| document.selectors.iter().any(|s| s.selects(&cfg.labels, &proxy)))
        .collect();
    let names = selected.iter().map(|cfg| cfg.id.clone()).collect();
    let table = RoutingTable::compile(document.version, selected).map_err(SourceError::Invalid)?;
    Ok(Running {
        table,
        selected: names,
        health_paths: document.health_paths,
        since_ms: d.clock.wall_ms(),
    })
}

fn refuse(d: &Daemon, version: Version, err: &SourceError, from: &str) {
    log::error!("version {version} from {from} is bad and does not come into force: {err}");
    d.metrics.incr("version.bad");
    d.versions.mark_bad(version, err.to_string());
}
