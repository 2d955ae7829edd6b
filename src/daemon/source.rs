//! The configuration where it lies whole under one key of the store.
//!
//! Every daemon watches the key itself: the store's order of writes is the order
//! of versions, so nothing has to be agreed. A version is decoded, checked and
//! compiled whole before it comes into force with one assignment, and only a
//! higher one does. A daemon that cannot reach the store takes the configuration
//! of a member that runs a higher version, which each datagram tells.
//! `docs/PLATFORM.md` has what was weighed.

use super::versions::Running;
use super::{Daemon, mesh};
use crate::store::{Change, Platform, PlatformError, Watch};
use bytes::Bytes;
use cicadashift_core::config::Invalid;
use cicadashift_core::config::compile::Table;
use cicadashift_core::ids::{HostKey, Version};
use cicadashift_edge::interface::{Document, Malformed};
use cicadashift_wire::rpc::{Request as Ask, Response};
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// First and longest pause after the store failed. A change must be in force two
/// seconds after it was accepted, also right after an outage.
const PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(600));
/// Time after a change in which further ones are let pass. A change must be in
/// force within two seconds; reading one takes some 0.3 s on a narrow link.
const SETTLE: Duration = Duration::from_millis(900);
/// How recent the store's word must be for this daemon to be following it.
const FOLLOWING: Duration = Duration::from_secs(15);
/// How long a daemon that follows the store leaves a newer version to it before it
/// asks a member. Asking at once would bring each version twice over narrow links.
const BEHIND_MOST: Duration = Duration::from_millis(1300);
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
    loop {
        let Err(err) = follow(&d, &mut reached, &mut pause).await;
        d.versions.doubt();
        if reached {
            log::warn!("configuration: the store is lost: {err}");
            reached = false;
        }
        d.metrics.incr("platform.failed");
        smol::Timer::after(pause.mul_f64(0.5 + fastrand::f64())).await;
        pause = (pause * 2).min(PAUSE.1);
    }
}

/// Takes in the version that a member runs, where this daemon lacks it.
pub async fn learn_from(d: &Arc<Daemon>, member: HostKey) {
    let now = d.clock.now();
    let behind = d.versions.behind_for(now);
    if d.versions.is_confirmed_within(now, FOLLOWING) && behind < BEHIND_MOST {
        return;
    }
    if d.learning.swap(true, Ordering::Relaxed) {
        return;
    }
    if let Some(to) = d.members.address(member) {
        match mesh::ask(d, to, &Ask::Document, ASK_TIME).await {
            Ok(Response::Document(Some((version, text)))) => {
                if version > d.versions.running_version() {
                    take(d, Bytes::from(text.into_vec()), "member");
                }
            }
            Ok(_) => {}
            Err(err) => log::debug!("no configuration from {to}: {err}"),
        }
    }
    d.learning.store(false, Ordering::Relaxed);
}

/// Watches the key; returns when the store fails.
async fn follow(
    d: &Arc<Daemon>,
    reached: &mut bool,
    pause: &mut Duration,
) -> Result<std::convert::Infallible, PlatformError> {
    let key = d.config_key();
    loop {
        let mut watch = d.platform.watch(key).await?;
        // Read after the watch is in place, so that no change falls in between.
        if let Some(pair) = d.platform.get(key).await? {
            take(d, Bytes::from(pair.value), "store");
        }
        let mut changed = false;
        while !changed {
            d.versions.confirm(d.clock.now());
            if !*reached {
                log::info!("configuration: the store is back");
                *reached = true;
            }
            *pause = PAUSE.0;
            for change in watch.next().await? {
                if let Change::Put(pair) = change
                    && pair.key == key
                {
                    take(d, Bytes::from(pair.value), "store");
                    changed = true;
                }
            }
        }
        // Failure: versions follow each other in quick succession, and a watch
        // brings each of them whole. Symptom: at five a second of 150 KB they
        // fill a link of 5 Mbit/s, and requests wait behind them. Those that are
        // accepted in this time are read as one, the newest.
        smol::Timer::after(SETTLE).await;
    }
}

/// Puts a version in force if it is good and newer; otherwise the last good one
/// stays.
fn take(d: &Daemon, text: Bytes, from: &str) {
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
    if !d.versions.install(running, text) {
        return;
    }
    if let Some(limits) = limits {
        let allowed = Duration::from_millis(limits.idle_ms);
        d.caller_idle.set(allowed.min(CALLER_IDLE_MOST) + IDLE_MARGIN);
    }
    d.metrics.gauge("version.running", version);
    log::info!("version {version} is in force: {routes} routes, from {from}");
}

fn compile(d: &Daemon, document: Document) -> Result<Running, SourceError> {
    let proxy = d.settings.proxy();
    let selected: Vec<_> = document
        .configs
        .into_iter()
        .filter(|cfg| document.selectors.iter().any(|s| s.selects(&cfg.labels, &proxy)))
        .collect();
    let table = Table::compile(document.version, &selected).map_err(SourceError::Invalid)?;
    Ok(Running {
        table,
        selected: selected.into_iter().map(|cfg| cfg.id).collect(),
        health_paths: document.health_paths,
        since_ms: d.clock.wall_ms(),
    })
}

fn refuse(d: &Daemon, version: Version, err: &SourceError, from: &str) {
    log::error!("version {version} from {from} is bad and does not come into force: {err}");
    d.metrics.incr("version.bad");
    d.versions.mark_bad(version, err.to_string());
}
