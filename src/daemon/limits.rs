//! This daemon's part in the limits that apply to the whole mesh.
//!
//! The daemon admits the granted share of the calls offered to it, reports its usage to the
//! keepers of the limits, and is itself the keeper of some. `cicadashift_core::limit`
//! contains the algorithms.

use super::versions::RunningConfig;
use super::{Daemon, datagrams, lock};
use cicadashift_core::ids::HostKey;
use cicadashift_core::limit::keeper::{Account, QuotaPart};
use cicadashift_core::limit::share::Limiter;
use cicadashift_core::limit::{Grant, LimitKey, NOTICE_EVERY, Notice, REPORT_EVERY, Usage};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::sync::{Arc, Mutex};
use std::time::Instant;

const SHARDS: usize = 8;
/// Maximum number of usage reports in one datagram.
const USAGES_PER_DATAGRAM: usize = 128;

/// Limiters, accounts and notices of this daemon.
#[derive(Default)]
pub struct MeshLimits {
    /// Admission at this daemon, sharded by limit.
    limiters: [Mutex<HashMap<LimitKey, Limiter>>; SHARDS],
    /// Accounts of the limits of which this daemon is the keeper.
    accounts: Mutex<HashMap<LimitKey, Account>>,
    notices: Mutex<Notices>,
}

/// State of the notices of throttled limits.
#[derive(Default)]
struct Notices {
    /// Number of this daemon's last notice.
    last_number: u64,
    /// When this daemon last sent a notice.
    last_sent: Option<Instant>,
    /// Throttled limits listed in this daemon's last notice.
    announced: BTreeSet<LimitKey>,
    /// Highest notice number received, by keeper.
    last_received: HashMap<HostKey, u64>,
}

impl MeshLimits {
    /// Returns whether to admit one call under a limit; `random` is any number.
    ///
    /// While the limit is throttled, a call whose answer would be late in any case
    /// (`is_late`) is refused.
    pub fn admit(&self, key: LimitKey, is_late: bool, now: Instant, random: u64) -> bool {
        let mut limiters = lock(self.shard(key));
        limiters.entry(key).or_insert_with(|| Limiter::new(now)).admit(is_late, now, random)
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

    fn take_usages(&self, now: Instant) -> Vec<Usage> {
        let mut usages = Vec::new();
        for shard in &self.limiters {
            let mut limiters = lock(shard);
            limiters.retain(|_, limiter| !limiter.is_idle(now));
            usages
                .extend(limiters.iter_mut().filter_map(|(key, limiter)| limiter.take_usage(*key)));
        }
        usages
    }

    fn shard(&self, key: LimitKey) -> &Mutex<HashMap<LimitKey, Limiter>> {
        &self.limiters[key.0 as usize % SHARDS]
    }
}

/// Sends usage reports and notices until cancelled.
pub async fn run(d: Arc<Daemon>) {
    loop {
        smol::Timer::after(REPORT_EVERY.mul_f64(0.9 + 0.2 * fastrand::f64())).await;
        if let Some(notice) = due_notice(&d) {
            apply_and_forward(&d, &notice).await;
        }
        let usages = d.limits.take_usages(d.clock.now());
        if usages.is_empty() {
            continue;
        }
        for (keeper, usages) in group_by_keeper(&d.members.limit_keepers(), usages) {
            match keeper == d.me {
                true => apply_grants(&d, &handle_usages(&d, &usages)),
                false => {
                    for part in usages.chunks(USAGES_PER_DATAGRAM) {
                        datagrams::send_usages(&d, keeper, part.to_vec()).await;
                    }
                }
            }
        }
    }
}

/// Adds a daemon's usage reports to the accounts kept here; returns the grants in answer.
pub fn handle_usages(d: &Daemon, usages: &[Usage]) -> Vec<Grant> {
    let now = d.clock.now();
    let parts = QuotaParts::current(d);
    let mut accounts = lock(&d.limits.accounts);
    let mut grant = |usage: &Usage| {
        let Some(part) = parts.of(usage.key) else {
            // The reporting daemon may run a newer version of the configuration, with a
            // limit that the version here does not have.
            return Some(Grant { key: usage.key, share: Grant::ALL });
        };
        let account = accounts.entry(usage.key).or_insert_with(|| {
            log::info!("limit {}: an account is opened here, {parts}", usage.key);
            Account::new(now)
        });
        account.add_usage(usage, part, now);
        account.answer(usage, part, now)
    };
    usages.iter().filter_map(&mut grant).collect()
}

/// Returns the calls that may be admitted at once under a limit (negative for a debt) and
/// the calls offered a second; `None` if this daemon has no account of the limit.
pub fn balance(d: &Daemon, key: LimitKey) -> Option<(f64, f64)> {
    let now = d.clock.now();
    let part = QuotaParts::current(d).of(key)?;
    lock(&d.limits.accounts).get_mut(&key).map(|account| account.balance(part, now))
}

/// Determines the part of each quota that this daemon enforces as keeper.
struct QuotaParts {
    running: Arc<RunningConfig>,
    live: usize,
    dead: usize,
}

impl fmt::Display for QuotaParts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "for {} of {} daemons", self.live, self.live + self.dead)
    }
}

impl QuotaParts {
    fn current(d: &Daemon) -> QuotaParts {
        let (live, dead) = (d.members.live_count(), d.members.dead_count());
        QuotaParts { running: d.versions.running(), live, dead }
    }

    fn of(&self, key: LimitKey) -> Option<QuotaPart> {
        let quota = self.running.table.organisations.as_ref()?.quota(key)?;
        Some(QuotaPart::of(quota, self.live, self.dead))
    }
}

/// Returns a notice of the limits that are throttled by this keeper, when one is due: at
/// once when the set of throttled limits changes, else every [`NOTICE_EVERY`].
fn due_notice(d: &Daemon) -> Option<Notice> {
    let now = d.clock.now();
    let mut grants = throttled_grants(d, now);
    let mut notices = lock(&d.limits.notices);
    let keys: BTreeSet<LimitKey> = grants.iter().map(|grant| grant.key).collect();
    let is_changed = keys != notices.announced;
    let released = notices.announced.difference(&keys);
    grants.extend(released.map(|key| Grant { key: *key, share: Grant::ALL }));
    let is_due = notices.last_sent.is_none_or(|sent| now >= sent + NOTICE_EVERY);
    notices.announced = keys;
    if grants.is_empty() || !(is_changed || is_due) {
        return None;
    }
    notices.last_sent = Some(now);
    // Based on the wall clock, so that the number also increases over a restart of this
    // daemon.
    notices.last_number = d.clock.wall_ms().max(notices.last_number + 1);
    Some(Notice { keeper: d.me, number: notices.last_number, grants })
}

/// Returns the reduced grants of the throttled limits of which this daemon is the keeper.
fn throttled_grants(d: &Daemon, now: Instant) -> Vec<Grant> {
    if lock(&d.limits.accounts).is_empty() {
        return Vec::new();
    }
    let parts = QuotaParts::current(d);
    let mut accounts = lock(&d.limits.accounts);
    accounts.retain(|_, account| !account.is_idle(now));
    let reduced = |(key, account): (&LimitKey, &mut Account)| {
        parts.of(*key).and_then(|part| account.reduced_grant(*key, part, now))
    };
    accounts.iter_mut().filter_map(reduced).collect()
}

/// Applies a received notice and forwards it, unless it was received before.
pub async fn handle_notice(d: &Daemon, notice: Notice) {
    let is_new = {
        let mut notices = lock(&d.limits.notices);
        let last = notices.last_received.entry(notice.keeper).or_default();
        let is_new = notice.number > *last && notice.keeper != d.me;
        *last = notice.number.max(*last);
        is_new
    };
    if is_new {
        apply_and_forward(d, &notice).await;
    }
}

/// Applies the grants of a notice here and sends the notice to other daemons.
async fn apply_and_forward(d: &Daemon, notice: &Notice) {
    let now = d.clock.now();
    for grant in &notice.grants {
        let mut limiters = lock(d.limits.shard(grant.key));
        let limiter = limiters.entry(grant.key).or_insert_with(|| Limiter::new(now));
        log_first_grant(limiter, *grant, now);
        limiter.apply_grant(*grant, now);
    }
    for host in d.members.urgent_targets() {
        datagrams::send_notice(d, host, notice.clone()).await;
    }
}

/// Applies grants that a keeper sent in answer to a usage report.
pub fn apply_grants(d: &Daemon, grants: &[Grant]) {
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

/// Groups usage reports by the keeper of each limit.
///
/// Keepers are chosen by rendezvous hashing: daemons whose membership tables agree choose
/// the same keeper, and a limit moves only when its keeper ends or a daemon that ranks
/// higher for the limit joins.
fn group_by_keeper(keepers: &[HostKey], usages: Vec<Usage>) -> BTreeMap<HostKey, Vec<Usage>> {
    let mut by_keeper: BTreeMap<HostKey, Vec<Usage>> = BTreeMap::new();
    for usage in usages {
        let keeper = keepers.iter().max_by_key(|host| mix(host.0 ^ usage.key.0.rotate_left(32)));
        if let Some(keeper) = keeper {
            by_keeper.entry(*keeper).or_default().push(usage);
        }
    }
    by_keeper
}

/// Mixes the bits of a number (the finalizer of SplitMix64).
fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
