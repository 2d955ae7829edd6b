//! Whether the hosts that calls are under way to still give signs of life.
//!
//! Membership finds a dead daemon within seconds. A call that is under way to a
//! host which was cut off or frozen cannot wait for that. Whatever comes from a
//! host counts as a sign; where none came for a while, it is pinged, and where
//! that brings nothing either it gets no calls until something comes from it.

use super::{Daemon, gossip, lock};
use cicadashift_core::ids::HostKey;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time between two looks while a call is under way.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Silence after which a host is pinged. Most calls are answered in less.
const PING_AFTER: Duration = Duration::from_millis(150);
/// Time between two pings of a host that has not answered.
const PING_EVERY: Duration = Duration::from_millis(75);
/// Time without an answer after which a host is taken for cut off or frozen. At
/// least three pings were sent in it, one of which may have been lost.
const SILENT_AFTER: Duration = Duration::from_millis(450);
/// Time that a call waits itself before it counts its host as silent.
const OWN_WAIT: Duration = Duration::from_millis(300);
/// Gap between two rounds of gossip, which come every 200 ms, that means that
/// this daemon itself stood still.
const STOOD_STILL: Duration = Duration::from_millis(600);
/// Silent hosts pinged in one round, so that twenty are found again within half
/// a second.
const PINGED_AT_ONCE: usize = 8;

#[derive(Clone, Copy)]
struct Signs {
    /// When something last came from it.
    heard: Instant,
    /// When the first call or ping was sent that nothing followed.
    asked: Option<Instant>,
    pinged: Instant,
    silent: bool,
}

impl Signs {
    fn new(now: Instant) -> Signs {
        Signs { heard: now, asked: None, pinged: now, silent: false }
    }

    /// Says what is to be done about a host that a call is under way to.
    fn look(&mut self, now: Instant) -> Look {
        let quiet = now.saturating_duration_since(self.heard) >= PING_AFTER;
        let unanswered = self.asked.map(|at| now.saturating_duration_since(at));
        if unanswered.is_some_and(|time| time >= SILENT_AFTER) {
            return Look::Silent;
        }
        if quiet && now.saturating_duration_since(self.pinged) >= PING_EVERY {
            self.pinged = now;
            self.asked.get_or_insert(now);
            return Look::Ping;
        }
        Look::Wait
    }
}

enum Look {
    Wait,
    Ping,
    Silent,
}

/// Signs of life by host.
#[derive(Default)]
pub struct Liveness {
    by_host: Mutex<HashMap<HostKey, Signs>>,
}

impl Liveness {
    /// Notes that a call was sent to a host.
    pub fn asked(&self, host: HostKey, now: Instant) {
        let mut by_host = lock(&self.by_host);
        by_host.entry(host).or_insert_with(|| Signs::new(now)).asked.get_or_insert(now);
    }

    /// Forgets what was not answered, after this daemon stood still: the others
    /// were not silent, it was deaf.
    fn forgive(&self, now: Instant) {
        for signs in lock(&self.by_host).values_mut() {
            signs.heard = now;
            signs.asked = None;
        }
    }

    fn look(&self, host: HostKey, now: Instant) -> Look {
        let mut by_host = lock(&self.by_host);
        by_host.entry(host).or_insert_with(|| Signs::new(now)).look(now)
    }

    /// Changes whether a host is taken for silent; returns whether that is news.
    fn set_silent(&self, host: HostKey, silent: bool, now: Instant) -> bool {
        let mut by_host = lock(&self.by_host);
        let signs = by_host.entry(host).or_insert_with(|| Signs::new(now));
        std::mem::replace(&mut signs.silent, silent) != silent
    }

    fn silent_hosts(&self) -> Vec<HostKey> {
        let by_host = lock(&self.by_host);
        by_host.iter().filter(|(_, signs)| signs.silent).map(|(host, _)| *host).collect()
    }
}

/// Notes that something came from a host.
pub fn heard(d: &Daemon, host: HostKey) {
    let now = d.clock.now();
    let was_silent = {
        let mut by_host = lock(&d.liveness.by_host);
        let signs = by_host.entry(host).or_insert_with(|| Signs::new(now));
        signs.heard = now;
        signs.asked = None;
        std::mem::replace(&mut signs.silent, false)
    };
    if was_silent {
        log::info!("host {} gives signs of life again", d.members.name_of(host));
        d.services.set_silent(host, false);
    }
}

/// Does what is due once in a round of gossip: pings hosts that are taken for
/// silent, to find out when they are back.
pub async fn round(d: &Daemon, since_last: Duration) {
    if since_last >= STOOD_STILL {
        d.liveness.forgive(d.clock.now());
    }
    let mut hosts = d.liveness.silent_hosts();
    fastrand::shuffle(&mut hosts);
    for host in hosts.into_iter().take(PINGED_AT_ONCE) {
        gossip::ping(d, host).await;
    }
}

/// Returns when a host has been silent for too long during a call.
///
/// That others wait for it in vain says little about a call that was sent a moment
/// ago and may have just reached a slow host: each waits for [`OWN_WAIT`] itself.
pub async fn silent(d: &Arc<Daemon>, host: HostKey) {
    if host == d.me {
        return std::future::pending().await;
    }
    let started = d.clock.now();
    loop {
        smol::Timer::after(LOOK_EVERY).await;
        let now = d.clock.now();
        match d.liveness.look(host, now) {
            Look::Wait => {}
            Look::Ping => gossip::ping(d, host).await,
            Look::Silent => {
                note_silent(d, host);
                if now.saturating_duration_since(started) >= OWN_WAIT {
                    return;
                }
            }
        }
    }
}

fn note_silent(d: &Daemon, host: HostKey) {
    if d.liveness.set_silent(host, true, d.clock.now()) {
        log::warn!("host {} gives no sign of life and gets no calls", d.members.name_of(host));
        d.metrics.incr("host.silent");
        d.services.set_silent(host, true);
    }
}
