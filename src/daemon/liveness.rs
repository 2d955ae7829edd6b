//! Detects silent hosts while calls to them are in flight.
//!
//! This module feeds signs of life to [`cicadashift_core::membership::liveness`], which
//! decides when a host is silent, and applies the decisions.

use super::{Daemon, datagrams, lock};
use cicadashift_core::ids::HostKey;
use cicadashift_core::membership::liveness::Check;
use cicadashift_http::reactor::Timer;
use std::sync::Arc;
use std::time::Duration;

/// Interval of checks while a call is in flight.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time that a call waits before it treats its host as silent, even if other calls
/// have already found the host silent.
const MIN_CALL_WAIT: Duration = Duration::from_millis(300);
/// Gap between two rounds of gossip from which on this daemon counts as having been frozen.
/// Rounds come every 200 ms.
const FROZEN_GAP: Duration = Duration::from_millis(600);
/// Silent hosts pinged in one round: of twenty that come back, all are found within half a
/// second.
const PINGS_PER_ROUND: usize = 8;

/// Records a datagram or an answer from a host as a sign of life.
pub fn note_received(d: &Daemon, host: HostKey) {
    let (was_silent, any_presumed) = {
        let mut liveness = lock(&d.liveness);
        let was_silent = liveness.received(host, d.clock.now());
        (was_silent, was_silent && liveness.has_presumed())
    };
    if !was_silent {
        return;
    }
    log::info!("host {} gives signs of life again", d.members.name_of(host));
    d.services.set_silent(host, false);
    if any_presumed {
        let cleared = lock(&d.liveness).clear_presumed(&d.members.same_domain_hosts(host));
        cleared.into_iter().for_each(|host| d.services.set_silent(host, false));
    }
}

/// Pings some of the hosts marked as silent, to detect when they are back; runs once in each
/// round of gossip. Resets the detector if this daemon was frozen.
pub async fn ping_silent_hosts(d: &Daemon, since_last: Duration) {
    if since_last >= FROZEN_GAP {
        lock(&d.liveness).reset(d.clock.now());
    }
    let mut hosts = lock(&d.liveness).silent_hosts();
    fastrand::shuffle(&mut hosts);
    for host in hosts.into_iter().take(PINGS_PER_ROUND) {
        datagrams::ping(d, host).await;
    }
}

/// Returns once a host has been silent for too long during a call.
///
/// A host marked as silent because of other calls may only be slow, and a call that was sent
/// a moment ago may have just reached it: each call waits at least [`MIN_CALL_WAIT`].
pub async fn wait_until_silent(d: &Arc<Daemon>, host: HostKey) {
    if host == d.me {
        return std::future::pending().await;
    }
    let started = d.clock.now();
    loop {
        Timer::after(CHECK_INTERVAL).await;
        let now = d.clock.now();
        match check(d, host) {
            Check::Wait => {}
            Check::Ping => datagrams::ping(d, host).await,
            Check::Silent => {
                mark_silent(d, host);
                if now.saturating_duration_since(started) >= MIN_CALL_WAIT {
                    return;
                }
            }
        }
    }
}

fn check(d: &Daemon, host: HostKey) -> Check {
    lock(&d.liveness).check(host, d.clock.now())
}

fn mark_silent(d: &Daemon, host: HostKey) {
    let now = d.clock.now();
    if !lock(&d.liveness).mark_silent(host, now) {
        return;
    }
    log::warn!("host {} gives no sign of life and gets no calls", d.members.name_of(host));
    d.metrics.incr("host.silent");
    d.services.set_silent(host, true);
    if !d.members.is_in_other_domain(host) {
        return;
    }
    let presumed = lock(&d.liveness).presume_silent(&d.members.same_domain_hosts(host), now);
    if !presumed.is_empty() {
        let count = presumed.len();
        log::warn!("nothing received from its failure domain: {count} more hosts get no calls");
        presumed.into_iter().for_each(|host| d.services.set_silent(host, true));
    }
}
