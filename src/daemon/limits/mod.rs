//! This daemon's part in the limits that apply to the whole mesh.
//!
//! The daemon admits the granted share of the calls offered to it and reports its usage to the
//! keepers of the limits. It is itself the keeper of some ([`kept`]), and announces those that
//! are throttled to all daemons ([`notices`]). `cicadashift_core::limit` contains the
//! algorithms.

pub mod kept;
pub mod notices;

use super::{Daemon, datagrams, lock};
use cicadashift_core::ids::HostKey;
use cicadashift_core::limit::share::{DaemonPart, Limiter};
use cicadashift_core::limit::{EARLY_REPORT_GAP, Grant, LimitKey, Quota, REPORT_EVERY, Report};
use cicadashift_http::reactor::Timer;
use cicadashift_wire::datagram::Kind;
use kept::KeptLimits;
use notices::Notices;
use smol::channel::{Receiver, Sender};
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

const SHARDS: usize = 8;
/// Maximum number of usage reports in one datagram.
const REPORTS_PER_DATAGRAM: usize = 128;

/// Limiters, accounts and notices of this daemon.
pub struct MeshLimits {
    /// Admission at this daemon, sharded by limit.
    limiters: [Mutex<HashMap<LimitKey, Limiter>>; SHARDS],
    /// The daemons that are keepers of limits.
    keepers: Mutex<Vec<HostKey>>,
    /// All daemons of the mesh, dead ones included.
    daemons: AtomicUsize,
    /// The limits of which this daemon is the keeper.
    kept: KeptLimits,
    notices: Mutex<Notices>,
    /// Wakes the task that reports usage and sends notices before its interval ends.
    wakeup: (Sender<()>, Receiver<()>),
}

impl Default for MeshLimits {
    fn default() -> MeshLimits {
        MeshLimits {
            limiters: Default::default(),
            keepers: Mutex::default(),
            daemons: AtomicUsize::new(1),
            kept: KeptLimits::default(),
            notices: Mutex::default(),
            wakeup: smol::channel::bounded(1),
        }
    }
}

impl MeshLimits {
    /// Returns whether to admit one call under a limit; `random` is any number.
    ///
    /// While the limit is throttled, a call whose answer would be late in any case
    /// (`is_late`) is refused.
    pub fn admit(
        &self,
        (key, quota): (LimitKey, Quota),
        is_late: bool,
        now: Instant,
        random: u64,
    ) -> bool {
        let part = DaemonPart::of(quota, self.daemons.load(Ordering::Relaxed));
        let mut limiters = lock(self.shard(key));
        let limiter = limiters.entry(key).or_insert_with(|| Limiter::new(now));
        limiter.set_part(part);
        let is_admitted = limiter.admit(is_late, now, random);
        if limiter.has_jumped() {
            self.wake();
        }
        is_admitted
    }

    /// Subtracts a call that was admitted but did not run from the usage.
    pub fn give_back(&self, key: LimitKey) {
        if let Some(limiter) = lock(self.shard(key)).get_mut(&key) {
            limiter.give_back();
        }
    }

    /// Returns the share of calls that this daemon admits under a limit ([`Grant::ALL`] for all
    /// calls), and the number of calls admitted per second.
    pub fn share_and_rate(&self, key: LimitKey, now: Instant) -> (u16, f64) {
        let limiters = lock(self.shard(key));
        limiters.get(&key).map_or((Grant::ALL, 0.0), |limiter| limiter.share_and_rate(now))
    }

    /// Returns the keeper of a limit, or `None` before the members are known.
    ///
    /// Keepers are chosen by rendezvous hashing: daemons whose membership tables agree choose
    /// the same keeper, and a limit moves only when its keeper ends or a daemon that ranks
    /// higher for the limit joins.
    fn keeper_of(&self, key: LimitKey) -> Option<HostKey> {
        keeper_of(&lock(&self.keepers), key)
    }

    /// Takes the reports of all limiters, by the keeper that they go to.
    fn take_reports(&self, now: Instant) -> BTreeMap<HostKey, Vec<Report>> {
        let keepers = lock(&self.keepers).clone();
        let mut by_keeper: BTreeMap<HostKey, Vec<Report>> = BTreeMap::new();
        for shard in &self.limiters {
            let mut limiters = lock(shard);
            limiters.retain(|_, limiter| !limiter.is_idle(now));
            for (key, limiter) in limiters.iter_mut() {
                let Some(keeper) = keeper_of(&keepers, *key) else { continue };
                if let Some(report) = limiter.take_report(*key, keeper, now) {
                    by_keeper.entry(keeper).or_default().push(report);
                }
            }
        }
        by_keeper
    }

    fn wake(&self) {
        // A full channel means that the task is about to wake up.
        let _ = self.wakeup.0.try_send(());
    }

    fn shard(&self, key: LimitKey) -> &Mutex<HashMap<LimitKey, Limiter>> {
        &self.limiters[key.0 as usize % SHARDS]
    }
}

/// Sends usage reports and notices until cancelled.
pub async fn run(d: Arc<Daemon>) {
    loop {
        let interval = REPORT_EVERY.mul_f64(0.9 + 0.2 * fastrand::f64());
        let regular = async {
            Timer::after(interval).await;
        };
        let early = async {
            Timer::after(EARLY_REPORT_GAP).await;
            // The sender is never dropped before this task.
            let _ = d.limits.wakeup.1.recv().await;
        };
        smol::future::or(regular, early).await;
        *lock(&d.limits.keepers) = d.members.limit_keepers();
        let daemons = d.members.live_count() + d.members.dead_count();
        d.limits.daemons.store(daemons, Ordering::Relaxed);
        kept::update_members(&d);
        for host in kept::daemons_to_ask(&d) {
            datagrams::send(&d, host, Kind::CheckKeeper, Vec::new()).await;
        }
        if let Some(notice) = notices::due(&d) {
            notices::apply_and_forward(&d, &notice).await;
        }
        send_reports(&d).await;
    }
}

/// Answers a daemon that asks whether this one has it as a keeper, if it does.
pub async fn confirm_keeper(d: &Daemon, host: HostKey) {
    let is_keeper = lock(&d.limits.keepers).contains(&host);
    if is_keeper {
        datagrams::send(d, host, Kind::ConfirmKeeper, Vec::new()).await;
    }
}

async fn send_reports(d: &Daemon) {
    for (keeper, reports) in d.limits.take_reports(d.clock.now()) {
        match keeper == d.me {
            true => apply_answers(d, &kept::handle_reports(d, d.me, &reports)),
            false => {
                for part in reports.chunks(REPORTS_PER_DATAGRAM) {
                    datagrams::send_reports(d, keeper, part).await;
                }
            }
        }
    }
}

/// Applies grants that a keeper sent in answer to usage reports.
pub fn apply_answers(d: &Daemon, grants: &[Grant]) {
    let now = d.clock.now();
    for grant in grants {
        if let Some(limiter) = lock(d.limits.shard(grant.key)).get_mut(&grant.key) {
            log_first_grant(limiter, *grant, now);
            limiter.apply_grant(*grant, now);
        }
    }
}

/// Logs the first grant for a limit if it is throttled: what was admitted before it counts
/// against the quota, and no grant restricted it.
fn log_first_grant(limiter: &Limiter, grant: Grant, now: Instant) {
    let Some((admitted, age)) = limiter.admitted_before_first_grant(now) else { return };
    if grant.share < Grant::ALL {
        log::info!(
            "limit {}: first grant, {} of {} after {} ms; {admitted} calls admitted before",
            grant.key,
            grant.share,
            Grant::ALL,
            age.as_millis()
        );
    }
}

fn keeper_of(keepers: &[HostKey], key: LimitKey) -> Option<HostKey> {
    keepers.iter().copied().max_by_key(|host| mix(host.0 ^ key.0.rotate_left(32)))
}

/// Mixes the bits of a number (the finalizer of SplitMix64).
fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
