//! Whether the hosts that calls are under way to still give signs of life.
//!
//! Membership finds a dead daemon within seconds. A call that is under way to a
//! host which was cut off or frozen cannot wait for that. Whatever comes from a
//! host counts as a sign; where none came for a while, it is pinged.

use super::{Daemon, gossip, lock};
use cicadashift_core::ids::HostKey;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time between two looks while a call is under way.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Silence after which a host is pinged. Most calls are answered in less.
const PING_AFTER: Duration = Duration::from_millis(150);
/// Silence after which a host is taken for cut off or frozen: three pings were
/// not answered, one of which may have been lost on the way.
const SILENT_AFTER: Duration = Duration::from_millis(450);

#[derive(Clone, Copy)]
struct Signs {
    heard: Instant,
    pinged: Instant,
}

/// Signs of life by host.
#[derive(Default)]
pub struct Liveness {
    by_host: Mutex<HashMap<HostKey, Signs>>,
}

impl Liveness {
    /// Notes that something came from a host.
    pub fn heard(&self, host: HostKey, now: Instant) {
        let mut by_host = lock(&self.by_host);
        by_host.entry(host).or_insert(Signs { heard: now, pinged: now }).heard = now;
    }

    /// Returns since when a host is silent, and whether a ping is due; counts the
    /// ping as sent.
    fn look(&self, host: HostKey, now: Instant) -> (Instant, bool) {
        let mut by_host = lock(&self.by_host);
        let signs = by_host.entry(host).or_insert(Signs { heard: now, pinged: now });
        let silent = now.saturating_duration_since(signs.heard) >= PING_AFTER;
        let due = silent && now.saturating_duration_since(signs.pinged) >= LOOK_EVERY * 3 / 4;
        if due {
            signs.pinged = now;
        }
        (signs.heard, due)
    }
}

/// Returns when a host has been silent for too long during a call.
pub async fn silent(d: &Arc<Daemon>, host: HostKey) {
    let started = d.clock.now();
    if host == d.me {
        return std::future::pending().await;
    }
    loop {
        smol::Timer::after(LOOK_EVERY).await;
        let now = d.clock.now();
        let (heard, due) = d.liveness.look(host, now);
        // A long gap between two looks means that this daemon stood still.
        if now.saturating_duration_since(heard.max(started)) >= SILENT_AFTER {
            return;
        }
        if due {
            gossip::ping(d, host).await;
        }
    }
}
