//! Notices of throttled limits, which reach all daemons.

use super::{kept, log_first_grant};
use crate::daemon::{Daemon, datagrams, lock};
use cicadashift_core::ids::HostKey;
use cicadashift_core::limit::share::Limiter;
use cicadashift_core::limit::{Grant, LimitKey, NOTICE_EVERY, Notice};
use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

/// State of the notices of throttled limits.
#[derive(Default)]
pub struct Notices {
    /// Number of this daemon's last notice.
    last_number: u64,
    /// When this daemon last sent a notice.
    last_sent: Option<Instant>,
    /// The share of each throttled limit in this daemon's last notice.
    announced: BTreeMap<LimitKey, u16>,
    /// Highest notice number received, by keeper.
    last_received: HashMap<HostKey, u64>,
}

impl Notices {
    /// Returns whether a grant is so small that it is to be announced at once.
    pub fn has_urgent(&self, grants: &[Grant]) -> bool {
        let announced = |key| self.announced.get(&key).copied().unwrap_or(Grant::ALL);
        grants.iter().any(|grant| grant.is_urgent_after(announced(grant.key)))
    }
}

/// Returns a notice of the limits that are throttled by this keeper, when one is due: at
/// once when a limit is throttled, is throttled far more than before, or is released; else
/// every [`NOTICE_EVERY`].
///
/// Only limits that this daemon still keeps are announced. Failure: usage is reported to
/// another keeper, as after a split. Symptom: the keeper before takes the end of the reports
/// for the end of the demand, and releases the limit at all daemons.
pub fn due(d: &Daemon) -> Option<Notice> {
    let now = d.clock.now();
    let mut grants = kept::throttled_grants(d, now);
    grants.retain(|grant| d.limits.keeper_of(grant.key) == Some(d.me));
    let mut notices = lock(&d.limits.notices);
    let shares: BTreeMap<LimitKey, u16> = grants.iter().map(|g| (g.key, g.share)).collect();
    let is_urgent = notices.has_urgent(&grants);
    let released: Vec<LimitKey> = notices
        .announced
        .keys()
        .filter(|key| !shares.contains_key(key) && d.limits.keeper_of(**key) == Some(d.me))
        .copied()
        .collect();
    let is_due = notices.last_sent.is_none_or(|sent| now >= sent + NOTICE_EVERY);
    let is_news = is_urgent || !released.is_empty();
    grants.extend(released.into_iter().map(|key| Grant { key, share: Grant::ALL }));
    if grants.is_empty() || !(is_news || is_due) {
        return None;
    }
    notices.announced = shares;
    notices.last_sent = Some(now);
    // Based on the wall clock, so that the number also increases over a restart of this
    // daemon.
    notices.last_number = d.clock.wall_ms().max(notices.last_number + 1);
    Some(Notice { keeper: d.me, number: notices.last_number, grants })
}

/// Applies a received notice and forwards it, unless it was received before.
pub async fn handle(d: &Daemon, notice: Notice) {
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
pub async fn apply_and_forward(d: &Daemon, notice: &Notice) {
    apply(d, notice);
    for host in d.members.urgent_targets() {
        datagrams::send_notice(d, host, notice.clone()).await;
    }
}

/// Applies the grants of limits that the sender keeps, as far as this daemon knows: it reports
/// its usage to that keeper, so that no other one has counted it.
fn apply(d: &Daemon, notice: &Notice) {
    let now = d.clock.now();
    for grant in &notice.grants {
        if d.limits.keeper_of(grant.key) != Some(notice.keeper) {
            continue;
        }
        let mut limiters = lock(d.limits.shard(grant.key));
        let limiter = limiters.entry(grant.key).or_insert_with(|| Limiter::new(now));
        log_first_grant(limiter, *grant, now);
        limiter.apply_notice(*grant, now);
    }
}
