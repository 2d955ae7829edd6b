//! Keeps the configuration current where the store holds it complete under one key.
//!
//! A few daemons of each failure domain, the followers, watch the key. The store's order
//! of writes is the order of versions, so that daemons need not agree on one. Followers
//! send heartbeats to the other members of the domain, which ask one of them for updates.
//! A daemon that receives no heartbeat for about a second watches the key itself.
//! Whatever its source, a version is decoded, checked and compiled as a whole before one
//! assignment puts it in force, and only a higher version replaces the one in force.
//! `docs/PLATFORM.md` has the alternatives that were considered.

use super::members::followers_of;
use super::peers::MeshError;
use super::rollouts::stored;
use super::versions::RunningConfig;
use super::{Daemon, catch_up, datagrams, peers};
use crate::store::{Change, ClientWatch, KeyValueStore, Pair, PlatformError, Revision, Watch};
use bytes::Bytes;
use cicadashift_core::config::Invalid;
use cicadashift_core::config::compile::RoutingTable;
use cicadashift_core::config::delta::Signature;
use cicadashift_core::ids::{HostKey, Version};
use cicadashift_edge::interface::{Document, Interface, Malformed};
use cicadashift_http::hyper::StatusCode;
use cicadashift_http::reactor::Timer;
use cicadashift_wire::rpc::{Request, Response, Update, UpdateBody};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// First and longest pause after the store failed. A change must be in force two seconds
/// after it was accepted, also right after an outage.
const RETRY_PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(600));
/// Changes of a burst that follow each other within this time are read as one, the
/// newest. A change must be in force within two seconds; reading one takes some 0.3 s on
/// a link of 5 Mbit/s.
const DEBOUNCE: Duration = Duration::from_millis(900);
/// Changes that follow each other within this time are a burst.
const BURST_GAP: Duration = Duration::from_millis(1500);
/// Age of the store's last confirmation up to which this daemon counts as following the
/// store.
const FOLLOWING_MAX_AGE: Duration = Duration::from_secs(15);
/// Time for which a daemon leaves a newer version to the store or to followers before it
/// asks any member.
const ASK_ANY_MEMBER_AFTER: Duration = Duration::from_millis(1300);
/// Time for which a daemon leaves a newer version to its own follower, which reads
/// changes of a burst [`DEBOUNCE`] apart, before it asks another follower.
const ASK_OTHER_FOLLOWER_AFTER: Duration = Duration::from_millis(800);
/// Time for which a follower leaves a version that another follower runs to its own watch, or
/// to its own read if it is about to read. The store tells all followers within milliseconds,
/// so a follower that hears nothing for longer has a slow or silent connection.
const OWN_READ_TIME: Duration = Duration::from_millis(200);
/// Time for which a daemon that has just started leaves its first version to its own read
/// of the store, which is under way, before it asks members.
const FIRST_READ_WAIT: Duration = Duration::from_millis(600);
/// Time between two checks whether this daemon should follow the store.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Time after a daemon's first read of the key in which it does not start to follow the
/// store, so that others have time to announce that they do; shorter for the designated
/// followers. If hundreds of daemons start at once and each requests a watch before it
/// knows of any other, the store refuses calls over its rate limit, and a start takes
/// seconds.
const FOLLOW_DELAY: (Duration, Duration) =
    (Duration::from_millis(500), Duration::from_millis(2000));
/// For the first start of the whole mesh: time in which daemons find each other before
/// the designated followers start to follow the store, and longest time for which the
/// others wait for the first heartbeat or version.
const FIRST_START_WAIT: (Duration, Duration) =
    (Duration::from_millis(1500), Duration::from_millis(3500));
/// Number of successive checks that find this daemon not needed before it stops following
/// the store: a follower that repeatedly starts and stops is worse than an additional one.
const CHECKS_BEFORE_STOP: u32 = 12;
/// Time between two heartbeats of a follower. One may be lost before the members that
/// rely on it follow the store themselves.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time until a member answers a request, and between two pieces of its answer.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest time for which a caller's idle connection is kept, whatever the configuration
/// allows; answers announce it. An idle connection holds two buffers of 8 KB, and callers
/// that retry open more connections than they use again. With two seconds instead of 15,
/// and link-time optimization, eleven daemons under overload took 5.5 GB x seconds of
/// memory in a minute instead of 12.4 (resident size, summed).
pub const MAX_CALLER_IDLE: Duration = Duration::from_secs(2);
/// Time for which idle connections are kept beyond the time announced to callers, so that a
/// call sent at the last moment does not meet a closed connection.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// Why a version is rejected.
#[derive(Debug)]
pub enum ConfigError {
    /// It cannot be decoded.
    Malformed(Malformed),
    /// Its configurations contradict each other or fail the product's own checks.
    Invalid(Invalid),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::Malformed(err) => write!(f, "{err}"),
            ConfigError::Invalid(err) => write!(f, "{err}"),
        }
    }
}

impl std::error::Error for ConfigError {}

/// Keeps the configuration current until cancelled.
pub async fn run(d: Arc<Daemon>) {
    let mut pause = RETRY_PAUSE.0;
    let mut available = true;
    if d.settings.first_start {
        wait_for_followers(&d).await;
    }
    first_read(&d).await;
    loop {
        if !should_follow(&d) {
            Timer::after(CHECK_INTERVAL).await;
            continue;
        }
        let not_needed = async {
            until_not_needed(&d).await;
            None
        };
        let failure = async {
            let Err(err) = follow(&d, &mut available, &mut pause).await;
            Some(err)
        };
        let failure = smol::future::or(failure, not_needed).await;
        d.follows_store.store(false, Ordering::Relaxed);
        let Some(err) = failure else {
            log::info!("configuration: left to members that follow the store");
            continue;
        };
        if !d.versions.document.has_live_follower(d.clock.now()) {
            d.versions.document.unconfirm();
        }
        if available {
            log::warn!("configuration: the store is unavailable: {err}");
            available = false;
        }
        d.metrics.incr("platform.failed");
        Timer::after(pause.mul_f64(0.5 + fastrand::f64())).await;
        pause = (pause * 2).min(RETRY_PAUSE.1);
    }
}

/// Waits until a version or a follower's heartbeat has arrived, this daemon is to follow
/// the store itself, or the longest wait has passed.
///
/// On the first start of the whole mesh the store has nothing to read yet: without this
/// wait, all daemons would make their calls at once, 295 in one second.
async fn wait_for_followers(d: &Daemon) {
    let started = d.clock.now();
    loop {
        Timer::after(CHECK_INTERVAL).await;
        let now = d.clock.now();
        let age = now.saturating_duration_since(started);
        let is_designated = age >= FIRST_START_WAIT.0 && d.members.followers().contains(&d.me);
        let document = &d.versions.document;
        let has_version_or_follower = document.version() > 0 || document.has_live_follower(now);
        if has_version_or_follower || is_designated || age >= FIRST_START_WAIT.1 {
            return;
        }
    }
}

/// Reads the stages of rollouts and the key once, unless a member delivers a version or a
/// heartbeat first.
async fn first_read(d: &Daemon) {
    let mut pause = RETRY_PAUSE.0;
    let document = &d.versions.document;
    while document.version() == 0 && !document.has_live_follower(d.clock.now()) {
        let first_read = async {
            stored::restore_at_start(d).await?;
            read_key(d, d.config_key()).await
        };
        match first_read.await {
            Ok(_) => return document.note_first_read(d.clock.now()),
            Err(err) => log::debug!("the first read of the configuration failed: {err}"),
        }
        Timer::after(pause.mul_f64(0.5 + fastrand::f64())).await;
        pause = (pause * 2).min(RETRY_PAUSE.1);
    }
}

/// Sends heartbeats to the members that rely on this daemon while it follows the store,
/// until cancelled.
pub async fn run_heartbeats(d: Arc<Daemon>) {
    loop {
        Timer::after(HEARTBEAT_INTERVAL.mul_f64(0.9 + 0.2 * fastrand::f64())).await;
        send_heartbeats(&d).await;
    }
}

async fn send_heartbeats(d: &Daemon) {
    if !d.follows_store.load(Ordering::Relaxed) {
        return;
    }
    let followers = d.members.followers();
    if !followers.contains(&d.me) {
        return;
    }
    for host in d.members.heartbeat_targets(&followers, d.me) {
        datagrams::send_heartbeat(d, host).await;
    }
}

/// Announces a version that the store has just reported: to the members that rely on this
/// daemon, and to the other followers.
///
/// A connection to the store may be silent for seconds before the probes of the connection
/// fail. Its follower would go on vouching for the version before, and its members would
/// wait for it.
async fn announce_version(d: &Daemon) {
    send_heartbeats(d).await;
    if !d.follows_store.load(Ordering::Relaxed) || !d.members.followers().contains(&d.me) {
        return;
    }
    for host in d.members.other_followers() {
        datagrams::send_heartbeat(d, host).await;
    }
}

/// Returns whether this daemon should follow the store: it is one of its failure domain's
/// designated followers, or receives no heartbeat of any.
///
/// Followers may die, or be cut off from some members but not from the store. A change
/// would then be accepted and not come into force on those members. They do not wait until
/// the failure detector marks the followers as dead: about a second without a heartbeat is
/// enough.
fn should_follow(d: &Daemon) -> bool {
    let (document, now) = (&d.versions.document, d.clock.now());
    let is_designated = d.members.followers().contains(&d.me);
    let wait = if is_designated { FOLLOW_DELAY.0 } else { FOLLOW_DELAY.1 };
    if !d.follows_store.load(Ordering::Relaxed) && document.was_first_read_within(now, wait) {
        return false;
    }
    is_designated || !document.has_live_follower(now)
}

async fn until_not_needed(d: &Daemon) {
    let mut checks_not_needed = 0;
    while checks_not_needed < CHECKS_BEFORE_STOP {
        Timer::after(CHECK_INTERVAL).await;
        checks_not_needed = if should_follow(d) { 0 } else { checks_not_needed + 1 };
    }
}

/// Fetches the version that a member runs, if this daemon lacks it and no other source
/// delivers it within the time left to that source.
pub async fn update_from_member(
    d: &Arc<Daemon>,
    member: HostKey,
    version: Version,
    member_follows: bool,
) {
    let document = &d.versions.document;
    let Some(behind) = document.note_member_version(version, d.clock.now()) else { return };
    let wait = time_to_wait(d, member, member_follows, behind);
    if !wait.is_zero() {
        // Followers are few. Were each announcement waited for, the datagrams of hundreds of
        // members would keep as many tasks.
        if !member_follows {
            return;
        }
        Timer::after(wait).await;
    }
    let Some(behind) = document.note_member_version(version, d.clock.now()) else { return };
    if d.is_fetching_config.swap(true, Ordering::Relaxed) {
        return;
    }
    if let Some(to) = d.members.address(member) {
        fetch_and_log(d, to, version, behind).await;
    }
    d.is_fetching_config.store(false, Ordering::Relaxed);
    if document.version() >= version {
        send_heartbeats(d).await;
    }
}

async fn fetch_and_log(d: &Arc<Daemon>, to: SocketAddr, version: Version, behind: Duration) {
    let began = d.clock.now();
    let result = fetch_update(d, to).await;
    let took = d.clock.now().saturating_duration_since(began);
    d.metrics.time("version.fetch", took);
    if let Err(err) = result {
        d.metrics.incr("version.fetch_failed");
        let (behind, took) = ((behind + took).as_millis(), took.as_millis());
        log::warn!(
            "cannot fetch version {version} from {to}: {err}, after {took} ms; behind for \
             {behind} ms"
        );
    }
}

/// Returns how long to leave a newer version to the usual source before this member is asked.
///
/// Followers read changes of a burst at different times. A daemon that took every version of
/// every follower would decode several times as many, and answers nobody meanwhile. A
/// follower therefore leaves a version to its own watch or read, a member to its own
/// follower while this one's heartbeats are on time, and any other member is asked only when
/// neither delivers.
fn time_to_wait(d: &Daemon, member: HostKey, member_follows: bool, behind: Duration) -> Duration {
    let now = d.clock.now();
    let document = &d.versions.document;
    if document.version() == 0 {
        return FIRST_READ_WAIT.saturating_sub(behind);
    }
    if d.follows_store.load(Ordering::Relaxed)
        && document.was_confirmed_within(now, FOLLOWING_MAX_AGE)
    {
        return match (member_follows, document.time_to_read(now)) {
            (true, None) => OWN_READ_TIME.saturating_sub(behind),
            (true, Some(ahead)) => ahead + OWN_READ_TIME,
            (false, _) => ASK_ANY_MEMBER_AFTER.saturating_sub(behind),
        };
    }
    if !document.has_live_follower(now) {
        return Duration::ZERO;
    }
    let own = followers_of(&d.members.followers(), d.me)[0];
    let is_own_on_time = own.is_some_and(|own| document.is_follower_on_time(own, now));
    match (own == Some(member) || !is_own_on_time, member_follows) {
        (true, true) => Duration::ZERO,
        (false, true) => ASK_OTHER_FOLLOWER_AFTER.saturating_sub(behind),
        (_, false) => ASK_ANY_MEMBER_AFTER.saturating_sub(behind),
    }
}

/// Fetches from a member what this daemon lacks, and puts it in force.
///
/// A first version is put in force only under the stages of rollouts in the member's record.
/// Failure: the store shows no stages, and the member has not told its own ones yet. Symptom:
/// calls go to a version that was rolled back.
async fn fetch_update(d: &Arc<Daemon>, to: SocketAddr) -> Result<(), MeshError> {
    let (held, text) = d.versions.document.version_and_text();
    if held == 0 && !catch_up::sync_with(d, to).await {
        return Err(MeshError::NotCompared);
    }
    if held > 0 && fetch_delta(d, to, held, &text).await? == DeltaOutcome::Done {
        return Ok(());
    }
    // A daemon of a build before signatures sends a delta of another encoding if it keeps the
    // version held here. From version zero it sends the complete text.
    let Some(update) = request_update(d, to, &Request::Document { held: 0 }).await? else {
        return Ok(());
    };
    let UpdateBody::Complete(text) = update.body else { return Err(MeshError::Unexpected) };
    if update.version <= held {
        return Ok(());
    }
    log::info!("version {} comes whole from {to}", update.version);
    install_text(d, Bytes::from(text.into_vec()), update.revision, "member");
    Ok(())
}

/// What became of a delta that a member was asked for.
#[derive(Clone, Copy, PartialEq, Eq)]
enum DeltaOutcome {
    /// It is installed, or the member has no newer version.
    Done,
    /// The complete text is needed: the delta does not apply, or the member runs a build
    /// without deltas.
    Unusable,
}

async fn fetch_delta(
    d: &Daemon,
    to: SocketAddr,
    held: Version,
    text: &[u8],
) -> Result<DeltaOutcome, MeshError> {
    let request = Request::DocumentDelta { held, signature: Signature::of(text) };
    let update = match request_update(d, to, &request).await {
        Ok(Some(update)) => update,
        Ok(None) => return Ok(DeltaOutcome::Done),
        Err(MeshError::Status(StatusCode::BAD_REQUEST)) => return Ok(DeltaOutcome::Unusable),
        Err(err) => return Err(err),
    };
    let version = update.version;
    let UpdateBody::Changed(delta) = update.body else { return Err(MeshError::Unexpected) };
    let Some(text) = delta.apply(text) else {
        log::warn!("version {version} from {to}: its delta does not apply to version {held}");
        return Ok(DeltaOutcome::Unusable);
    };
    install_text(d, Bytes::from(text), update.revision, "member");
    Ok(DeltaOutcome::Done)
}

async fn request_update(
    d: &Daemon,
    to: SocketAddr,
    request: &Request,
) -> Result<Option<Update>, MeshError> {
    match peers::ask(d, to, request, REQUEST_TIMEOUT).await? {
        Response::Document(update) => Ok(update),
        _ => Err(MeshError::Unexpected),
    }
}

/// Watches the key; returns only when the store fails.
async fn follow(
    d: &Arc<Daemon>,
    available: &mut bool,
    pause: &mut Duration,
) -> Result<std::convert::Infallible, PlatformError> {
    let key = d.config_key();
    let mut watch = start_watch(d, key).await?;
    let mut last_change: Option<Instant> = None;
    loop {
        let changes = watch.next().await?;
        if !*available {
            log::info!("configuration: the store is available again");
            *available = true;
        }
        *pause = RETRY_PAUSE.0;
        apply_order_changes(d, &changes);
        let newest = changes.iter().rev().find_map(|change| change.pair(key));
        if let Some(pair) = newest {
            install_text(d, Bytes::copy_from_slice(&pair.value), pair.revision, "store");
        }
        let now = d.clock.now();
        mark_current(d, now);
        let Some(pair) = newest else { continue };
        announce_version(d).await;
        let is_burst = last_change.is_some_and(|at| now < at + BURST_GAP);
        last_change = Some(now);
        if is_burst {
            let after = debounce(d, key, pair.revision).await?;
            // The new watch does not report orders that were written during the burst.
            read_orders(d).await?;
            watch = d.store.watch_from(d.operator_prefix(), after).await?;
        }
    }
}

/// Applies rollout orders that were written or withdrawn.
fn apply_order_changes(d: &Daemon, changes: &[Change]) {
    for change in changes {
        match change {
            Change::Put(pair) if d.is_rollout_order(&pair.key) => d.rollouts.add_order(d, pair),
            Change::Deleted(key) if d.is_rollout_order(key) => {
                d.rollouts.withdraw_order(key.rsplit('/').next().unwrap_or_default());
            }
            Change::All(pairs) => replace_orders(d, pairs),
            Change::Put(_) | Change::Deleted(_) => {}
        }
    }
}

/// Replaces all rollout orders by those among the present items.
fn replace_orders(d: &Daemon, pairs: &[Pair]) {
    let is_order = |pair: &&Pair| d.is_rollout_order(&pair.key);
    let orders: Vec<Pair> = pairs.iter().filter(is_order).cloned().collect();
    d.rollouts.replace_orders(d, &orders);
}

/// Reads and applies all rollout orders.
async fn read_orders(d: &Daemon) -> Result<(), PlatformError> {
    let Some(adapter) = &d.platform_adapter else { return Ok(()) };
    let pairs = d.store.list(adapter.order_prefix(), false).await?;
    d.rollouts.replace_orders(d, &pairs);
    Ok(())
}

/// Reads the stages of rollouts, under which orders and the configuration are applied, and starts
/// a watch: after the revision in force if the store is still in the era of that revision,
/// otherwise after reading all keys.
async fn start_watch(d: &Daemon, key: &str) -> Result<ClientWatch, PlatformError> {
    stored::restore_as_follower(d).await?;
    let installed = d.versions.document.revision();
    let is_current_era = d.store.era().is_none_or(|era| era == installed.era);
    if !installed.is_absent() && is_current_era {
        read_orders(d).await?;
        return d.store.watch_from(d.operator_prefix(), installed).await;
    }
    let (pairs, watch) = d.store.list_and_watch(d.operator_prefix()).await?;
    replace_orders(d, &pairs);
    for pair in pairs.into_iter().filter(|pair| pair.key == key) {
        install_text(d, Bytes::from(pair.value), pair.revision, "store");
    }
    mark_current(d, d.clock.now());
    Ok(watch)
}

/// Reads the key until a burst of changes has ended; returns the revision of the last
/// change.
///
/// A watch would deliver each version of the burst completely. At three versions a second
/// of 200 KB they fill a link of 5 Mbit/s, and requests wait.
async fn debounce(d: &Daemon, key: &str, mut after: Revision) -> Result<Revision, PlatformError> {
    loop {
        d.versions.document.expect_read(Some(d.clock.now() + DEBOUNCE));
        Timer::after(DEBOUNCE).await;
        let revision = read_key(d, key).await?.unwrap_or(after);
        mark_current(d, d.clock.now());
        if revision == after {
            d.versions.document.expect_read(None);
            return Ok(after);
        }
        after = revision;
        announce_version(d).await;
    }
}

/// Reads the key and puts its version in force; returns its revision.
async fn read_key(d: &Daemon, key: &str) -> Result<Option<Revision>, PlatformError> {
    let Some(pair) = d.store.get(key).await? else { return Ok(None) };
    install_text(d, Bytes::from(pair.value), pair.revision, "store");
    Ok(Some(pair.revision))
}

/// Records that the store has no newer version and that this daemon follows the store.
fn mark_current(d: &Daemon, now: Instant) {
    d.versions.document.confirm(now);
    d.follows_store.store(true, Ordering::Relaxed);
}

/// Puts a version in force if it is valid and newer; otherwise the version in force
/// stays.
fn install_text(d: &Daemon, text: Bytes, revision: Revision, from: &str) {
    let began = d.clock.now();
    let document = match d.decode_document(&text) {
        Ok(document) => document,
        Err(err) => return reject(d, 0, &ConfigError::Malformed(err), from),
    };
    let version = document.version;
    if version <= d.versions.running_version() {
        return;
    }
    let running = match compile(d, document) {
        Ok(compiled) => compiled,
        Err(err) => return reject(d, version, &err, from),
    };
    let limits = running.table.limits;
    let routes = running.table.len();
    let behind = d.versions.document.behind_for(began);
    if !d.versions.install(running, revision, text) {
        return;
    }
    if let Some(limits) = limits {
        let allowed = Duration::from_millis(limits.idle_ms);
        d.caller_idle.set(allowed.min(MAX_CALLER_IDLE) + IDLE_MARGIN);
    }
    d.metrics.gauge("version.running", version);
    let took = d.clock.now().saturating_duration_since(began);
    d.metrics.time("version.behind", behind + took);
    let (took, behind) = (took.as_millis(), (behind + took).as_millis());
    log::info!(
        "version {version} is in force: {routes} routes, from {from}, after {took} ms; behind \
         for {behind} ms"
    );
}

fn compile(d: &Daemon, document: Document) -> Result<RunningConfig, ConfigError> {
    let proxy = d.settings.proxy();
    let selected: Vec<_> = document
        .configs
        .into_iter()
        .filter(|cfg| document.selectors.iter().any(|s| s.selects(&cfg.labels, &proxy)))
        .collect();
    let names = selected.iter().map(|cfg| cfg.id.clone()).collect();
    let table = RoutingTable::compile(document.version, selected).map_err(ConfigError::Invalid)?;
    Ok(RunningConfig {
        table,
        selected: names,
        health_paths: document.health_paths,
        since_ms: d.clock.wall_ms(),
    })
}

fn reject(d: &Daemon, version: Version, err: &ConfigError, from: &str) {
    log::error!("version {version} from {from} is rejected and does not come into force: {err}");
    d.metrics.incr("version.bad");
    d.versions.mark_rejected(version, err.to_string());
}
