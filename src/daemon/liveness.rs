//! Signs of life of other hosts, as they come and are missed.
//!
//! [`cicadashift_core::membership::liveness`] decides what they mean.

use super::{Daemon, datagrams, lock};
use cicadashift_core::ids::HostKey;
use cicadashift_core::membership::liveness::Check;
use std::sync::Arc;
use std::time::Duration;

/// Time between two looks while a call is under way.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Time that a call waits itself before it counts its host as silent.
const OWN_WAIT: Duration = Duration::from_millis(300);
/// Gap between two rounds of gossip, which come every 200 ms, that means that
/// this daemon itself stood still.
const STOOD_STILL: Duration = Duration::from_millis(600);
/// Silent hosts pinged in one round, so that twenty are found again within half
/// a second.
const PINGED_AT_ONCE: usize = 8;

/// Notes that something came from a host.
pub fn note_received(d: &Daemon, host: HostKey) {
    let (was_silent, may_be_presumed) = {
        let mut liveness = lock(&d.liveness);
        let was_silent = liveness.received(host, d.clock.now());
        (was_silent, was_silent && liveness.has_presumed())
    };
    if !was_silent {
        return;
    }
    log::info!("host {} gives signs of life again", d.members.name_of(host));
    d.services.set_silent(host, false);
    if may_be_presumed {
        let back = lock(&d.liveness).clear_presumed(&d.members.beside(host));
        back.into_iter().for_each(|host| d.services.set_silent(host, false));
    }
}

/// Does what is due once in a round of gossip: pings hosts that are taken for
/// silent, to find out when they are back.
pub async fn ping_silent_hosts(d: &Daemon, since_last: Duration) {
    if since_last >= STOOD_STILL {
        lock(&d.liveness).reset(d.clock.now());
    }
    let mut hosts = lock(&d.liveness).silent_hosts();
    fastrand::shuffle(&mut hosts);
    for host in hosts.into_iter().take(PINGED_AT_ONCE) {
        datagrams::ping(d, host).await;
    }
}

/// Returns when a host has been silent for too long during a call.
///
/// That others wait for it in vain says little about a call that was sent a moment
/// ago and may have just reached a slow host: each waits for [`OWN_WAIT`] itself.
pub async fn wait_until_silent(d: &Arc<Daemon>, host: HostKey) {
    if host == d.me {
        return std::future::pending().await;
    }
    let started = d.clock.now();
    loop {
        smol::Timer::after(LOOK_EVERY).await;
        let now = d.clock.now();
        match look(d, host) {
            Check::Wait => {}
            Check::Ping => datagrams::ping(d, host).await,
            Check::Silent => {
                note_silent(d, host);
                if now.saturating_duration_since(started) >= OWN_WAIT {
                    return;
                }
            }
        }
    }
}

fn look(d: &Daemon, host: HostKey) -> Check {
    lock(&d.liveness).check(host, d.clock.now())
}

fn note_silent(d: &Daemon, host: HostKey) {
    let now = d.clock.now();
    if !lock(&d.liveness).mark_silent(host, now) {
        return;
    }
    log::warn!("host {} gives no sign of life and gets no calls", d.members.name_of(host));
    d.metrics.incr("host.silent");
    d.services.set_silent(host, true);
    if !d.members.is_far(host) {
        return;
    }
    let presumed = lock(&d.liveness).presume_silent(&d.members.beside(host), now);
    if !presumed.is_empty() {
        let count = presumed.len();
        log::warn!("nothing is heard of its failure domain: {count} more hosts get no calls");
        presumed.into_iter().for_each(|host| d.services.set_silent(host, true));
    }
}
