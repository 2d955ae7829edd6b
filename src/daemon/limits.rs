//! Limits that all daemons keep together, at this daemon.
//!
//! It admits its share of what is offered to it, reports that to the keepers of the
//! limits, and keeps some limits itself. `cicadashift_core::limit` has the decisions.

use super::versions::Running;
use super::{Daemon, datagrams, lock};
use cicadashift_core::ids::HostKey;
use cicadashift_core::limit::keeper::{Account, QuotaPart};
use cicadashift_core::limit::share::Limiter;
use cicadashift_core::limit::{Grant, LimitKey, NOTICE_EVERY, Notice, REPORT_EVERY, Usage};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, Mutex};
use std::time::Instant;

const SHARDS: usize = 8;
/// Most limits told of in one datagram.
const USAGES_PER_DATAGRAM: usize = 128;

/// Limits at this daemon.
#[derive(Default)]
pub struct MeshLimits {
    /// What this daemon may admit.
    shares: [Mutex<HashMap<LimitKey, Limiter>>; SHARDS],
    /// Accounts of the limits that it keeps.
    accounts: Mutex<HashMap<LimitKey, Account>>,
    notices: Mutex<Notices>,
}

/// Notices of limits that are held back.
#[derive(Default)]
struct Notices {
    /// Number of this daemon's last one, and when it went out.
    number: u64,
    sent: Option<Instant>,
    /// Limits that it told of.
    told: BTreeSet<LimitKey>,
    /// Numbers of the last ones of other keepers.
    heard: HashMap<HostKey, u64>,
}

impl MeshLimits {
    /// Decides about one call under a limit; one that is late gives way to others while
    /// the limit is held back.
    pub fn admit(&self, key: LimitKey, is_late: bool, now: Instant, random: u64) -> bool {
        let mut shares = lock(self.shard(key));
        shares.entry(key).or_insert_with(|| Limiter::new(now)).admit(is_late, now, random)
    }

    /// Takes in that a call which was admitted did not run after all.
    pub fn give_back(&self, key: LimitKey) {
        if let Some(share) = lock(self.shard(key)).get_mut(&key) {
            share.give_back();
        }
    }

    /// Returns the share of a limit's calls that is admitted here, and how many a second.
    pub fn admitting(&self, key: LimitKey, now: Instant) -> (u16, f64) {
        let shares = lock(self.shard(key));
        shares.get(&key).map_or((Grant::ALL, 0.0), |share| share.share_and_rate(now))
    }

    fn take_usages(&self, now: Instant) -> Vec<Usage> {
        let mut usages = Vec::new();
        for shard in &self.shares {
            let mut shares = lock(shard);
            shares.retain(|_, share| !share.is_idle(now));
            usages.extend(shares.iter_mut().filter_map(|(key, share)| share.take_usage(*key)));
        }
        usages
    }

    fn shard(&self, key: LimitKey) -> &Mutex<HashMap<LimitKey, Limiter>> {
        &self.shares[key.0 as usize % SHARDS]
    }
}

/// Reports to the keepers of limits until cancelled.
pub async fn run(d: Arc<Daemon>) {
    loop {
        smol::Timer::after(REPORT_EVERY.mul_f64(0.9 + 0.2 * fastrand::f64())).await;
        if let Some(notice) = due_notice(&d) {
            pass_on(&d, &notice).await;
        }
        let usages = d.limits.take_usages(d.clock.now());
        if usages.is_empty() {
            continue;
        }
        for (keeper, usages) in by_keeper(&d.members.limit_keepers(), usages) {
            match keeper == d.me {
                true => apply_grants(&d, &handle_usages(&d, &usages)),
                false => {
                    for part in usages.chunks(USAGES_PER_DATAGRAM) {
                        datagrams::tell_usages(&d, keeper, part.to_vec()).await;
                    }
                }
            }
        }
    }
}

/// Takes in what a daemon saw of limits kept here; returns what it may admit.
pub fn handle_usages(d: &Daemon, usages: &[Usage]) -> Vec<Grant> {
    let now = d.clock.now();
    let parts = Parts::now(d);
    let mut accounts = lock(&d.limits.accounts);
    let mut grant = |usage: &Usage| {
        let Some(part) = parts.of(usage.key) else {
            // This daemon may run an older version than the one that reports.
            return Grant { key: usage.key, share: Grant::ALL };
        };
        let account = accounts.entry(usage.key).or_insert_with(|| Account::new(now));
        account.add_usage(usage, part, now);
        account.grant(usage.key, part)
    };
    usages.iter().map(&mut grant).collect()
}

/// Returns what may be admitted at once of a limit that is kept here, and what is offered a
/// second; `None` where another daemon keeps it.
pub fn balance(d: &Daemon, key: LimitKey) -> Option<(f64, f64)> {
    let now = d.clock.now();
    let part = Parts::now(d).of(key)?;
    lock(&d.limits.accounts).get_mut(&key).map(|account| account.balance(part, now))
}

/// What of each limit this daemon counts with as its keeper.
struct Parts {
    running: Arc<Running>,
    live: usize,
    lost: usize,
}

impl Parts {
    fn now(d: &Daemon) -> Parts {
        let (live, lost) = (d.members.live_count(), d.members.lost_count());
        Parts { running: d.versions.running(), live, lost }
    }

    fn of(&self, key: LimitKey) -> Option<QuotaPart> {
        let quota = self.running.table.organisations.as_ref()?.quota(key)?;
        Some(QuotaPart::of(quota, self.live, self.lost))
    }
}

/// Returns a notice of the limits that are held back here, when one is due.
fn due_notice(d: &Daemon) -> Option<Notice> {
    let now = d.clock.now();
    let mut grants = held_back(d, now);
    let mut notices = lock(&d.limits.notices);
    let keys: BTreeSet<LimitKey> = grants.iter().map(|grant| grant.key).collect();
    let is_new = keys != notices.told;
    let released = notices.told.difference(&keys);
    grants.extend(released.map(|key| Grant { key: *key, share: Grant::ALL }));
    let is_old = notices.sent.is_none_or(|sent| now >= sent + NOTICE_EVERY);
    notices.told = keys;
    if grants.is_empty() || !(is_new || is_old) {
        return None;
    }
    notices.sent = Some(now);
    // Rises over a restart of this daemon too.
    notices.number = d.clock.wall_ms().max(notices.number + 1);
    Some(Notice { keeper: d.me, number: notices.number, grants })
}

fn held_back(d: &Daemon, now: Instant) -> Vec<Grant> {
    if lock(&d.limits.accounts).is_empty() {
        return Vec::new();
    }
    let parts = Parts::now(d);
    let mut accounts = lock(&d.limits.accounts);
    accounts.retain(|_, account| !account.is_idle(now));
    let notice = |(key, account): (&LimitKey, &mut Account)| {
        parts.of(*key).and_then(|part| account.reduced_grant(*key, part, now))
    };
    accounts.iter_mut().filter_map(notice).collect()
}

/// Takes a notice in, and passes it on if it is new here.
pub async fn handle_notice(d: &Daemon, notice: Notice) {
    let is_new = {
        let mut notices = lock(&d.limits.notices);
        let last = notices.heard.entry(notice.keeper).or_default();
        let is_new = notice.number > *last && notice.keeper != d.me;
        *last = notice.number.max(*last);
        is_new
    };
    if is_new {
        pass_on(d, &notice).await;
    }
}

async fn pass_on(d: &Daemon, notice: &Notice) {
    let now = d.clock.now();
    for grant in &notice.grants {
        let mut shares = lock(d.limits.shard(grant.key));
        shares.entry(grant.key).or_insert_with(|| Limiter::new(now)).apply_grant(*grant, now);
    }
    for host in d.members.audience_at_once() {
        datagrams::tell_notice(d, host, notice.clone()).await;
    }
}

/// Takes in what this daemon may admit.
pub fn apply_grants(d: &Daemon, grants: &[Grant]) {
    let now = d.clock.now();
    for grant in grants {
        if let Some(share) = lock(d.limits.shard(grant.key)).get_mut(&grant.key) {
            share.apply_grant(*grant, now);
        }
    }
}

/// Sorts reports by the daemon that keeps each limit, the same at all daemons whose
/// tables agree. Rendezvous hashing: a limit moves only when its keeper ends, or when
/// one comes that ranks higher for it.
fn by_keeper(keepers: &[HostKey], usages: Vec<Usage>) -> BTreeMap<HostKey, Vec<Usage>> {
    let mut sorted: BTreeMap<HostKey, Vec<Usage>> = BTreeMap::new();
    for usage in usages {
        let keeper = keepers.iter().max_by_key(|host| mix(host.0 ^ usage.key.0.rotate_left(32)));
        if let Some(keeper) = keeper {
            sorted.entry(*keeper).or_default().push(usage);
        }
    }
    sorted
}

/// Mixes the bits of a number (the finalizer of SplitMix64).
fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
