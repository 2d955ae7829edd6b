//! The decider of a rollout: the one daemon that controls it.
//!
//! Followers read the order from the store. The daemon that holds the service's decider key,
//! under a lease, is the decider; the lease only determines when another daemon may try to
//! become the decider. The decider writes each stage to a second key, on the condition that
//! no other daemon has written that key since, and only then sends the stage to the other
//! daemons. So the write of a decider that was frozen or cut off, and still believes to be
//! the decider, is refused.

use super::result::{ConfirmedResults, state_of, write_status};
use super::stored::StoredRollout;
use crate::daemon::{Daemon, lock};
use crate::store::{ConditionalWrite, KeyValueStore, Lease, PlatformError, Revision, keys};
use cicadashift_core::membership::record::Record;
use cicadashift_core::rollout::account::{Account, Bounds};
use cicadashift_core::rollout::decide::{Decider, Proposal, Why};
use cicadashift_core::rollout::tally::{Quotas, Report};
use cicadashift_core::rollout::{Order, Phase, Stage};
use cicadashift_edge::interface::RolloutState;
use cicadashift_http::reactor::Timer;
use cicadashift_wire::rpc;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Time between two rounds of the loop in [`run`].
const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// How long a decider's lease lasts without a renewal.
const LEASE_TTL: Duration = Duration::from_secs(2);
/// Time between two renewals of the lease.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(600);
/// Minimum time between two attempts to become the decider of an order.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(700);

/// The rollouts that this daemon is the decider of, by service.
pub type OwnedRollouts = BTreeMap<String, OwnedRollout>;

/// A rollout that this daemon is the decider of.
pub struct OwnedRollout {
    decider: Decider,
    lease: Lease,
    /// When the lease was granted or last renewed.
    renewed: Instant,
    /// Position of the last write of the key that holds the [`StoredRollout`].
    revision: Revision,
    /// When the order was first seen, in Unix milliseconds.
    began_ms: u64,
}

/// Advances the rollouts that this daemon is the decider of, and tries to become the decider
/// of others, until cancelled.
pub async fn run(d: Arc<Daemon>) {
    let mut attempts = Attempts::default();
    let mut results = ConfirmedResults::default();
    let mut eras = Eras::default();
    loop {
        Timer::after(ROUND_INTERVAL).await;
        eras.update(d.store.era(), d.clock.now());
        let orders: Vec<Order> = lock(&d.rollouts.orders).values().cloned().collect();
        let withdrawn = d.rollouts.withdrawn_stages();
        if orders.is_empty() && withdrawn.is_empty() && lock(&d.rollouts.owned).is_empty() {
            continue;
        }
        advance_owned(&d, &orders).await;
        for order in &orders {
            let now = d.clock.now();
            if eras.has_just_changed(now) && has_live_decider(&d, order) {
                continue;
            }
            if may_acquire(&d, order) && attempts.is_due(&order.service, now) {
                if let Err(err) = try_acquire(&d, order).await {
                    log::info!(
                        "rollout of {}: failed to start as the decider: {err}",
                        order.service
                    );
                }
            } else if results.lack(&d, order)
                && attempts.is_due(&order.service, now)
                && let Err(err) = results.confirm(&d, order).await
            {
                log::info!("rollout of {}: cannot confirm the result: {err}", order.service);
            }
        }
        for order in withdrawn.iter().map(Order::withdrawn) {
            if may_end_withdrawn(&d, &order)
                && attempts.is_due(&order.service, d.clock.now())
                && let Err(err) = end_withdrawn(&d, &order).await
            {
                log::info!("rollout of {}: cannot end it: {err}", order.service);
            }
        }
    }
}

/// Advances the rollouts that this daemon is the decider of.
async fn advance_owned(d: &Arc<Daemon>, orders: &[Order]) {
    let owned: Vec<String> = lock(&d.rollouts.owned).keys().cloned().collect();
    for service in owned {
        let order = orders.iter().find(|order| order.service == service);
        if let Err(err) = advance(d, &service, order).await {
            log::warn!("rollout of {service}: no progress: {err}");
            d.metrics.incr("platform.failed");
        }
    }
}

/// When this daemon last made calls to the store for a service's rollout that it does not own.
#[derive(Default)]
struct Attempts(HashMap<String, Instant>);

impl Attempts {
    /// Returns whether the last attempt was long enough ago, and notes the next one if it was.
    fn is_due(&mut self, service: &str, now: Instant) -> bool {
        let is_due = self.0.get(service).is_none_or(|at| now >= *at + ATTEMPT_INTERVAL);
        if is_due {
            self.0.insert(service.to_string(), now);
        }
        is_due
    }
}

/// The store's eras that this daemon has seen.
#[derive(Default)]
struct Eras {
    last: Option<u64>,
    /// When the era last changed.
    changed: Option<Instant>,
}

impl Eras {
    fn update(&mut self, era: Option<u64>, now: Instant) {
        if self.last.is_some() && self.last != era {
            self.changed = Some(now);
        }
        self.last = era.or(self.last);
    }

    /// Returns whether a daemon may still act on a lease of the previous era: the era changed
    /// less than the lease's time to live ago.
    fn has_just_changed(&self, now: Instant) -> bool {
        self.changed.is_some_and(|at| now < at + LEASE_TTL)
    }
}

/// Returns whether the last decider of an order is another daemon that is believed to run.
///
/// Failure: the store is restored from a copy without the decider key, and another daemon
/// reaches the store before the decider does. Symptom: two daemons decide one after the
/// other, and calls that the first one granted are granted again. So a lease that is
/// missing in the copy is respected for as long as it would have lasted, see
/// [`Eras::has_just_changed`].
fn has_live_decider(d: &Daemon, order: &Order) -> bool {
    let stage = d.rollouts.stage(&order.service);
    let decider = stage.filter(|stage| stage.order == order.revision).map(|stage| stage.decider);
    let is_live =
        |host| d.members.all().iter().any(|record| record.host == host && record.is_live());
    decider.is_some_and(|decider| decider != d.me && is_live(decider))
}

/// Returns whether this daemon may try to become the decider of an order: it follows the
/// store, does not own the rollout yet, and has received no stage that ends or supersedes
/// the order.
fn may_acquire(d: &Daemon, order: &Order) -> bool {
    let has_ended = d.rollouts.latest_stage(&order.service).is_some_and(|stage| {
        let has_ended = stage.order == order.revision && stage.phase.is_final();
        has_ended || stage.order.supersedes(order.revision)
    });
    let is_owned = lock(&d.rollouts.owned).contains_key(&order.service);
    !has_ended && !is_owned && d.follows_store.load(Ordering::Relaxed)
}

/// Becomes the decider of an order if no daemon holds the decider key.
async fn try_acquire(d: &Arc<Daemon>, order: &Order) -> Result<(), PlatformError> {
    let key = keys::decider(&order.service);
    if d.store.get(&key).await?.is_some() {
        return Ok(());
    }
    let lease = d.store.grant(LEASE_TTL).await?;
    let now = d.clock.now();
    match d
        .store
        .compare_and_swap(&key, Revision::ABSENT, d.settings.host.as_bytes(), Some(lease))
        .await
    {
        Ok(ConditionalWrite::Applied) => {}
        Ok(ConditionalWrite::Rejected) => return d.store.revoke(lease).await,
        Err(err) => {
            let _lease_expires_anyway = d.store.revoke(lease).await;
            return Err(err);
        }
    }
    let pair = d.store.get(&keys::rollout(&order.service)).await?;
    let revision = pair.as_ref().map_or(Revision::ABSENT, |pair| pair.revision);
    let stored = pair.as_ref().and_then(StoredRollout::decode);
    if let Some(stored) = &stored {
        // No other daemon may know the stage, see [`super::stored`].
        d.rollouts.apply_stage(&stored.stage, now);
        publish(d);
    }
    let stored = stored.filter(|stored| stored.stage.order == order.revision);
    let (decider, began_ms) = create_decider(d, order, stored, now);
    let ended = decider.phase().filter(|phase| phase.is_final()).cloned();
    let rollout = OwnedRollout { decider, lease, renewed: now, revision, began_ms };
    lock(&d.rollouts.owned).insert(order.service.clone(), rollout);
    match ended {
        // The previous decider may have ended before it could write the status.
        Some(phase) => {
            log::info!("rollout of {}: had already ended, {}", order.service, phase.name());
            finish(d, order, &phase).await
        }
        None => {
            log::info!(
                "rollout of {} to {}: this daemon is the decider",
                order.service,
                order.target
            );
            d.metrics.incr("rollout.taken_on");
            write_status(d, order, RolloutState::Running).await
        }
    }
}

/// Returns whether this daemon may try to end a rollout whose order was withdrawn. An order that
/// is missing because the store was restored from a copy may be written again.
fn may_end_withdrawn(d: &Daemon, order: &Order) -> bool {
    let is_current_era = d.store.era().is_none_or(|era| era == order.revision.era);
    is_current_era && may_acquire(d, order)
}

/// Becomes the decider of a rollout whose order was withdrawn, if no daemon holds the decider
/// key; the next round rolls it back. Its last decider may have ended before it could do so, and
/// without a last stage the upstreams would be held for ever.
async fn end_withdrawn(d: &Arc<Daemon>, order: &Order) -> Result<(), PlatformError> {
    let Some(key) = d.rollout_order_key(&order.service) else { return Ok(()) };
    // A stage may arrive before the watch reports its order.
    if d.store.get(&key).await?.is_some() {
        return Ok(());
    }
    try_acquire(d, order).await
}

/// Creates the decider of an order, which continues from the stored state or from a later
/// stage that this daemon has received; also returns when the order was first seen, in Unix
/// milliseconds.
fn create_decider(
    d: &Daemon,
    order: &Order,
    stored: Option<StoredRollout>,
    now: Instant,
) -> (Decider, u64) {
    let settings = d.settings.rollouts;
    let bounds = Bounds { share: settings.share, slack: settings.slack };
    let wall_ms = d.clock.wall_ms();
    // If the store was restored from a copy, other daemons may have sent a later stage.
    let received = d.rollouts.stage(&order.service).filter(|stage| stage.order == order.revision);
    let received = received.map(|stage| (stage.step, stage.phase));
    let step_of = |state: &Option<(u32, Phase)>| state.as_ref().map(|(step, _)| *step);
    let (stored, began_ms, seen, granted) = match stored {
        Some(StoredRollout { stage, began_ms, seen, granted }) => {
            (Some((stage.step, stage.phase)), began_ms, seen, granted)
        }
        None => (None, wall_ms, 0, 0),
    };
    let latest = if step_of(&received) > step_of(&stored) { received } else { stored };
    let Some((step, phase)) = latest else {
        let decider = Decider::new(order.clone(), bounds, now, 0, None, Account::default());
        return (decider, wall_ms);
    };
    // The clocks of hosts differ, so the elapsed time is limited to the order's duration.
    let elapsed = Duration::from_millis(wall_ms.saturating_sub(began_ms)).min(order.duration);
    let began = now.checked_sub(elapsed).unwrap_or(now);
    // A copy from which the store was restored may lack the last grants.
    let account = match d.store.era().is_some_and(|era| era > order.revision.era) {
        true => Account::with_unknown_grants(),
        false => Account::taken_over(seen, granted),
    };
    (Decider::new(order.clone(), bounds, began, step, Some(phase), account), began_ms)
}

/// Advances a rollout that this daemon is the decider of: renews the lease where that is due
/// and writes the next proposal. `order` is the current order of the service in the store.
async fn advance(
    d: &Arc<Daemon>,
    service: &str,
    order: Option<&Order>,
) -> Result<(), PlatformError> {
    let now = d.clock.now();
    let is_current_era = has_lease_of_current_era(d, service);
    let (own_order, lease, is_renewal_due, ended) = {
        let owned = lock(&d.rollouts.owned);
        let Some(rollout) = owned.get(service) else { return Ok(()) };
        let is_renewal_due = now >= rollout.renewed + RENEWAL_INTERVAL || !is_current_era;
        let ended = rollout.decider.phase().filter(|phase| phase.is_final()).cloned();
        (rollout.decider.order().clone(), rollout.lease, is_renewal_due, ended)
    };
    let is_replaced = order.is_some_and(|order| order.revision.supersedes(own_order.revision));
    // Runs also while the store is unavailable: once the decider finds that the new version
    // is worse, it raises no more quotas.
    let proposal = match order {
        Some(_) => next_proposal(d, service, now),
        None => Some(Proposal::Phase(Phase::RolledBack, Why::Withdrawn)),
    };
    if is_renewal_due {
        if !d.store.keep_alive(lease).await? && !reacquire(d, service).await? {
            log::info!("rollout of {service}: lease lost, another daemon may be the decider");
            lock(&d.rollouts.owned).remove(service);
            return Ok(());
        }
        if let Some(rollout) = lock(&d.rollouts.owned).get_mut(service) {
            rollout.renewed = now;
        }
    }
    if is_replaced {
        // A later order replaces this one; its decider begins a new rollout.
        return release(d, service).await;
    }
    match (ended, proposal) {
        // The status was not written after the last stage, for instance since it was refused.
        (Some(phase), _) => finish(d, &own_order, &phase).await,
        (None, Some(proposal)) => write_proposal(d, service, &own_order, proposal).await,
        (None, None) => Ok(()),
    }
}

/// Acquires the decider key of an owned rollout again, if the key is gone because the store
/// was restored from a copy. Returns whether it did.
///
/// Failure: another daemon takes over the rollout from the state in the copy. Symptom: what
/// was granted to canaries after the copy was made is granted once more, or a decision is
/// reversed.
async fn reacquire(d: &Daemon, service: &str) -> Result<bool, PlatformError> {
    let lease_era = lock(&d.rollouts.owned).get(service).map(|rollout| rollout.lease.era);
    if lease_era.is_none() || lease_era == d.store.era() {
        return Ok(false);
    }
    let lease = d.store.grant(LEASE_TTL).await?;
    let (key, holder) = (keys::decider(service), d.settings.host.as_bytes());
    if d.store.compare_and_swap(&key, Revision::ABSENT, holder, Some(lease)).await?
        == ConditionalWrite::Rejected
    {
        d.store.revoke(lease).await?;
        return Ok(false);
    }
    let pair = d.store.get(&keys::rollout(service)).await?;
    if let Some(rollout) = lock(&d.rollouts.owned).get_mut(service) {
        rollout.lease = lease;
        rollout.revision = pair.map_or(Revision::ABSENT, |pair| pair.revision);
        log::warn!("rollout of {service}: decider key reacquired, the store was restored");
    }
    Ok(true)
}

/// Returns whether the lease of an owned rollout is of the store's current era.
fn has_lease_of_current_era(d: &Daemon, service: &str) -> bool {
    let lease_era = lock(&d.rollouts.owned).get(service).map(|rollout| rollout.lease.era);
    lease_era.is_some_and(|lease_era| d.store.era().is_none_or(|era| era == lease_era))
}

fn next_proposal(d: &Daemon, service: &str, now: Instant) -> Option<Proposal> {
    let old = old_upstreams(d, service);
    let mut owned = lock(&d.rollouts.owned);
    owned.get_mut(service)?.decider.propose(&old, now)
}

/// Returns the upstreams of other versions on hosts that are believed to run.
fn old_upstreams(d: &Daemon, service: &str) -> Vec<String> {
    let Some(stage) = d.rollouts.stage(service) else { return Vec::new() };
    let live = d.members.all().into_iter().filter(Record::is_live);
    let endpoints = live.flat_map(|record| record.endpoints);
    let old = endpoints
        .filter(|endpoint| endpoint.service == service && !stage.is_new(&endpoint.version));
    old.map(|endpoint| endpoint.instance).collect()
}

/// Writes a proposal to the store, on the condition that no other daemon has written since,
/// and then sends a changed stage to the other daemons.
async fn write_proposal(
    d: &Arc<Daemon>,
    service: &str,
    order: &Order,
    proposal: Proposal,
) -> Result<(), PlatformError> {
    let Some((stored, revision)) = stored_after(d, service, &proposal) else { return Ok(()) };
    let key = keys::rollout(service);
    let value = rpc::encode(&stored);
    let swap = d.store.compare_and_swap(&key, revision, &value, None).await;
    if let Err(err) = &swap {
        log::info!("rollout of {service}: reading back whether the step was written: {err}");
    }
    // The answer to the write may be lost, or another daemon may have written.
    let pair = d.store.get(&key).await?;
    if !has_lease_of_current_era(d, service) {
        // The decider key must be reacquired first; then the step is proposed again.
        return Ok(());
    }
    match pair {
        Some(pair) if pair.value == value => {
            log_written(service, &proposal);
            if let Some(rollout) = lock(&d.rollouts.owned).get_mut(service) {
                rollout.revision = pair.revision;
                rollout.decider.apply(&proposal);
            }
        }
        Some(pair) if pair.revision != revision => {
            log::warn!("rollout of {service}: another daemon is the decider");
            return release(d, service).await;
        }
        // Nothing was written; the step is proposed again.
        _ => return Ok(()),
    }
    // A grant changes nothing for other daemons; they get quotas in answers to reports.
    if let Proposal::Grant(_) = proposal {
        return Ok(());
    }
    d.rollouts.apply_stage(&stored.stage, d.clock.now());
    publish(d);
    if stored.stage.phase.is_final() {
        d.metrics.incr("rollout.decided");
        return finish(d, order, &stored.stage.phase).await;
    }
    Ok(())
}

/// Returns the state that a proposal writes to the store, and the revision that the stored
/// state must have before the write.
fn stored_after(
    d: &Daemon,
    service: &str,
    proposal: &Proposal,
) -> Option<(StoredRollout, Revision)> {
    let owned = lock(&d.rollouts.owned);
    let rollout = owned.get(service)?;
    let decider = &rollout.decider;
    let account = decider.account();
    let (phase, granted) = match proposal {
        Proposal::Phase(phase, _) => (phase.clone(), account.granted),
        Proposal::Grant(granted) => (decider.phase()?.clone(), *granted),
    };
    let order = decider.order();
    let stage = Stage {
        service: order.service.clone(),
        target: order.target.clone(),
        order: order.revision,
        step: decider.step() + 1,
        decider: d.me,
        phase,
    };
    let stored =
        StoredRollout { stage, began_ms: rollout.began_ms, seen: account.calls_before, granted };
    Some((stored, rollout.revision))
}

fn log_written(service: &str, proposal: &Proposal) {
    match proposal {
        Proposal::Phase(phase, why) => {
            log::warn!("rollout of {service}: {} is decided: {why:?}", phase.name());
        }
        Proposal::Grant(granted) => log::info!("rollout of {service}: {granted} calls are granted"),
    }
}

/// Writes the result of a rollout for the operator, then releases the rollout.
async fn finish(d: &Arc<Daemon>, order: &Order, phase: &Phase) -> Result<(), PlatformError> {
    write_status(d, order, state_of(phase)).await?;
    release(d, &order.service).await
}

/// Stops being the decider of a rollout, so that another daemon may become it.
async fn release(d: &Daemon, service: &str) -> Result<(), PlatformError> {
    let rollout = lock(&d.rollouts.owned).remove(service);
    match rollout {
        Some(rollout) => d.store.revoke(rollout.lease).await,
        None => Ok(()),
    }
}

/// Copies all stages into this daemon's own membership record, which spreads them. Expired ones
/// are among them, since other records may have earlier stages of the same rollout.
pub fn publish(d: &Daemon) {
    let stages = d.rollouts.stages();
    if d.members.own().rollouts != stages {
        d.members.update_own(d, |own| own.rollouts = stages);
    }
}

/// Handles a daemon's report; returns the epoch and the quotas of the daemon's canaries, or
/// `None` if this daemon is not the decider of the reported order.
pub fn on_report(d: &Daemon, report: Report) -> Option<(u32, Quotas)> {
    let now = d.clock.now();
    let mut owned = lock(&d.rollouts.owned);
    let rollout = owned.get_mut(&report.service)?;
    if rollout.decider.order().revision != report.order {
        return None;
    }
    let quotas = rollout.decider.handle_report(report, now);
    Some((rollout.decider.epoch(), quotas))
}
