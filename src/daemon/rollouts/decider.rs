//! The one daemon that decides on a rollout.
//!
//! Daemons that follow the store see its order there. Whoever holds the key of the
//! service, under a lease, decides; the lease only says when another one may try. What is
//! decided is written to a second key, each time on the condition that nobody else wrote
//! since, and is told to the others after that. A decider that was frozen or cut off and
//! still believes to decide finds its write refused.

use crate::daemon::{Daemon, lock};
use crate::store::{Lease, Platform, PlatformError, Revision, Swap, keys};
use cicadashift_core::membership::record::Record;
use cicadashift_core::rollout::account::{Account, Bounds};
use cicadashift_core::rollout::decide::{Decider, Proposal, Why};
use cicadashift_core::rollout::tally::{Quotas, Report};
use cicadashift_core::rollout::{Order, Phase, Stage};
use cicadashift_edge::interface::{Interface, RolloutState, RolloutStatus};
use cicadashift_wire::rpc;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Time between two looks.
const LOOK: Duration = Duration::from_millis(200);
/// How long a decider's lease lasts without being kept.
const LEASE: Duration = Duration::from_secs(2);
/// Time between two renewals of it.
const KEEP_EVERY: Duration = Duration::from_millis(600);
/// Time after a failed try to decide before the next.
const TRY_EVERY: Duration = Duration::from_millis(700);

/// Rollouts that this daemon decides on, by service.
pub type Decisions = BTreeMap<String, Decision>;

/// One of them.
pub struct Decision {
    decider: Decider,
    lease: Lease,
    kept: Instant,
    /// Position of the last write of the key that holds what was decided.
    revision: Revision,
    began_ms: u64,
}

/// What the store holds of a rollout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Kept {
    stage: Stage,
    /// When the order was first seen, in Unix milliseconds.
    began_ms: u64,
    /// Calls that reached the service and were reported.
    seen: u64,
    /// Calls granted to canaries.
    granted: u64,
}

/// Decides on rollouts until cancelled.
pub async fn run(d: Arc<Daemon>) {
    let mut tried: HashMap<String, Instant> = HashMap::new();
    let mut told_in: HashMap<String, u64> = HashMap::new();
    let mut eras = Eras::default();
    loop {
        smol::Timer::after(LOOK).await;
        eras.look(d.platform.era(), d.clock.now());
        if lock(&d.rollouts.orders).is_empty() && lock(&d.rollouts.decisions).is_empty() {
            continue;
        }
        let orders: Vec<Order> = lock(&d.rollouts.orders).values().cloned().collect();
        let deciding: Vec<String> = lock(&d.rollouts.decisions).keys().cloned().collect();
        for service in deciding {
            let order = orders.iter().find(|order| order.service == service);
            if let Err(err) = go_on(&d, &service, order).await {
                log::warn!("rollout of {service}: not decided further: {err}");
                d.metrics.incr("platform.failed");
            }
        }
        for order in orders {
            let now = d.clock.now();
            let is_due = tried.get(&order.service).is_none_or(|at| now >= *at + TRY_EVERY);
            if eras.has_just_changed(now) && has_live_decider(&d, &order) {
                continue;
            }
            if is_due && is_open(&d, &order) {
                tried.insert(order.service.clone(), now);
                if let Err(err) = try_to_decide(&d, &order).await {
                    log::info!("rollout of {}: not taken on: {err}", order.service);
                }
            } else if is_due && is_untold(&d, &order, &told_in) {
                tried.insert(order.service.clone(), now);
                match tell_again(&d, &order).await {
                    Ok(()) => drop(told_in.insert(order.service.clone(), order.read_in_era)),
                    Err(err) => log::info!("rollout of {}: not told: {err}", order.service),
                }
            }
        }
    }
}

/// The store's eras, as this daemon learns of them.
#[derive(Default)]
struct Eras {
    last: Option<u64>,
    changed: Option<Instant>,
}

impl Eras {
    fn look(&mut self, era: Option<u64>, now: Instant) {
        if self.last.is_some() && self.last != era {
            self.changed = Some(now);
        }
        self.last = era.or(self.last);
    }

    /// Returns whether leases of the era before would still last.
    fn has_just_changed(&self, now: Instant) -> bool {
        self.changed.is_some_and(|at| now < at + LEASE)
    }
}

/// Returns whether another daemon that is believed to run was the last to decide on an order.
///
/// Failure: the store comes back from a copy without the key of the deciding daemon, and
/// another one reaches the store first. Symptom: two daemons decide one after the other, and
/// what the first had granted is granted again. A lease that the store forgot is respected
/// for as long as it would have lasted.
fn has_live_decider(d: &Daemon, order: &Order) -> bool {
    let stage = d.rollouts.stage(&order.service);
    let decider = stage.filter(|stage| stage.order == order.revision).map(|stage| stage.decider);
    let is_live = |host| d.members.all().iter().any(|of| of.host == host && of.is_live());
    decider.is_some_and(|decider| decider != d.me && is_live(decider))
}

/// Returns whether an order needs somebody to decide, as far as is known here.
fn is_open(d: &Daemon, order: &Order) -> bool {
    let has_ended = d.rollouts.stage(&order.service).is_some_and(|stage| {
        let has_ended = stage.order == order.revision && stage.phase.is_final();
        has_ended || stage.order.supersedes(order.revision)
    });
    let decides_here = lock(&d.rollouts.decisions).contains_key(&order.service);
    !has_ended && !decides_here && d.follows.load(Ordering::Relaxed)
}

/// Returns whether the store came back from a copy since a rollout ended, so that the
/// operator may not know how.
fn is_untold(d: &Daemon, order: &Order, told_in: &HashMap<String, u64>) -> bool {
    let is_rewritten = order.read_in_era > order.revision.era;
    let is_told = told_in.get(&order.service) == Some(&order.read_in_era);
    is_rewritten && !is_told && d.follows.load(Ordering::Relaxed)
}

/// Tells the operator again how a rollout ended.
async fn tell_again(d: &Daemon, order: &Order) -> Result<(), PlatformError> {
    let stage = d.rollouts.stage(&order.service);
    let ended = stage.filter(|stage| stage.order == order.revision && stage.phase.is_final());
    match ended {
        Some(stage) => write_status(d, order, state_of(&stage.phase)).await,
        None => Ok(()),
    }
}

/// Takes a rollout on if nobody holds its key.
async fn try_to_decide(d: &Arc<Daemon>, order: &Order) -> Result<(), PlatformError> {
    let key = keys::decider(&order.service);
    if d.platform.get(&key).await?.is_some() {
        return Ok(());
    }
    let lease = d.platform.grant(LEASE).await?;
    let now = d.clock.now();
    match d.platform.swap(&key, Revision::ABSENT, d.settings.host.as_bytes(), Some(lease)).await {
        Ok(Swap::Done) => {}
        Ok(Swap::Lost) => return d.platform.revoke(lease).await,
        Err(err) => {
            let _ends_by_itself = d.platform.revoke(lease).await;
            return Err(err);
        }
    }
    let kept = d.platform.get(&keys::rollout(&order.service)).await?;
    let revision = kept.as_ref().map_or(Revision::ABSENT, |pair| pair.revision);
    let kept = kept.and_then(|pair| {
        let kept = rpc::decode::<Kept>(&pair.value);
        kept.inspect_err(|err| log::warn!("{} is damaged: {err}", pair.key)).ok()
    });
    let before = kept.filter(|kept| kept.stage.order == order.revision);
    let (decider, began_ms) = begin(d, order, before, now);
    let ended = decider.phase().filter(|phase| phase.is_final()).cloned();
    let decision = Decision { decider, lease, kept: now, revision, began_ms };
    lock(&d.rollouts.decisions).insert(order.service.clone(), decision);
    match ended {
        // The one before may have ended before it could tell.
        Some(phase) => {
            log::info!("rollout of {}: had ended, {}", order.service, phase.name());
            end(d, order, &phase).await
        }
        None => {
            log::info!("rollout of {} to {}: decided here", order.service, order.target);
            d.metrics.incr("rollout.taken_on");
            write_status(d, order, RolloutState::Running).await
        }
    }
}

fn begin(d: &Daemon, order: &Order, before: Option<Kept>, now: Instant) -> (Decider, u64) {
    let allowed = d.settings.rollouts;
    let bounds = Bounds { share: allowed.share, slack: allowed.slack };
    let wall = d.clock.wall_ms();
    // What others know may be newer than what a store has that came back from a copy.
    let known = d.rollouts.stage(&order.service).filter(|stage| stage.order == order.revision);
    let known = known.map(|stage| (stage.step, stage.phase));
    let step_of = |before: &Option<(u32, Phase)>| before.as_ref().map(|(step, _)| *step);
    let (before, began_ms, seen, granted) = match before {
        Some(Kept { stage, began_ms, seen, granted }) => {
            (Some((stage.step, stage.phase)), began_ms, seen, granted)
        }
        None => (None, wall, 0, 0),
    };
    let latest = if step_of(&known) > step_of(&before) { known } else { before };
    let Some((step, phase)) = latest else {
        let decider = Decider::new(order.clone(), bounds, now, 0, None, Account::default());
        return (decider, wall);
    };
    // Clocks differ between hosts; what was passed is at most the order's whole time.
    let passed = Duration::from_millis(wall.saturating_sub(began_ms)).min(order.duration);
    let began = now.checked_sub(passed).unwrap_or(now);
    // Grants may have been written that the copy does not have.
    let account = match d.platform.era().is_some_and(|era| era > order.revision.era) {
        true => Account::with_unknown_grants(),
        false => Account::taken_over(seen, granted),
    };
    (Decider::new(order.clone(), bounds, began, step, Some(phase), account), began_ms)
}

/// Does what is due for a rollout that this daemon decides on.
async fn go_on(d: &Arc<Daemon>, service: &str, order: Option<&Order>) -> Result<(), PlatformError> {
    let now = d.clock.now();
    let is_of_now = decides_in_this_era(d, service);
    let (own, lease, is_due) = {
        let decisions = lock(&d.rollouts.decisions);
        let Some(decision) = decisions.get(service) else { return Ok(()) };
        let is_due = now >= decision.kept + KEEP_EVERY || !is_of_now;
        (decision.decider.order().clone(), decision.lease, is_due)
    };
    let is_replaced = order.is_some_and(|order| order.revision.supersedes(own.revision));
    // Looked at also while the store is away: canaries of a worse version get no more.
    let proposal = match order {
        Some(_) => next_proposal(d, service, now),
        None => Some(Proposal::Phase(Phase::RolledBack, Why::Withdrawn)),
    };
    if is_due {
        if !d.platform.keep_alive(lease).await? && !keep_deciding(d, service).await? {
            log::info!("rollout of {service}: another daemon may decide now");
            lock(&d.rollouts.decisions).remove(service);
            return Ok(());
        }
        if let Some(decision) = lock(&d.rollouts.decisions).get_mut(service) {
            decision.kept = now;
        }
    }
    if is_replaced {
        // Another order stands; whoever takes it on begins anew.
        return let_go(d, service).await;
    }
    match proposal {
        Some(proposal) => write(d, service, &own, proposal).await,
        None => Ok(()),
    }
}

/// Takes a rollout on again that this daemon decides on, where its key is gone: the store
/// came back from a copy. Returns whether it did.
///
/// Failure: another daemon takes it on from what the copy has. Symptom: canaries get what
/// was granted since the copy once more, or a verdict turns.
async fn keep_deciding(d: &Daemon, service: &str) -> Result<bool, PlatformError> {
    let lost = lock(&d.rollouts.decisions).get(service).map(|decision| decision.lease.era);
    if lost.is_none() || lost == d.platform.era() {
        return Ok(false);
    }
    let lease = d.platform.grant(LEASE).await?;
    let (key, holder) = (keys::decider(service), d.settings.host.as_bytes());
    if d.platform.swap(&key, Revision::ABSENT, holder, Some(lease)).await? == Swap::Lost {
        d.platform.revoke(lease).await?;
        return Ok(false);
    }
    let kept = d.platform.get(&keys::rollout(service)).await?;
    if let Some(decision) = lock(&d.rollouts.decisions).get_mut(service) {
        decision.lease = lease;
        decision.revision = kept.map_or(Revision::ABSENT, |pair| pair.revision);
        log::warn!("rollout of {service}: decided further over the store's return from a copy");
    }
    Ok(true)
}

/// Returns whether this daemon decides by a lease of the store's present era.
fn decides_in_this_era(d: &Daemon, service: &str) -> bool {
    let held = lock(&d.rollouts.decisions).get(service).map(|decision| decision.lease.era);
    held.is_some_and(|held| d.platform.era().is_none_or(|era| era == held))
}

fn next_proposal(d: &Daemon, service: &str, now: Instant) -> Option<Proposal> {
    let old = old_upstreams(d, service);
    let mut decisions = lock(&d.rollouts.decisions);
    decisions.get_mut(service)?.decider.propose(&old, now)
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

/// Writes a wish to the store on the condition that nobody wrote since, then tells it.
async fn write(
    d: &Arc<Daemon>,
    service: &str,
    order: &Order,
    proposal: Proposal,
) -> Result<(), PlatformError> {
    let Some((kept, revision)) = kept_with(d, service, &proposal) else { return Ok(()) };
    let key = keys::rollout(service);
    let value = rpc::encode(&kept);
    let swap = d.platform.swap(&key, revision, &value, None).await;
    if let Err(err) = &swap {
        log::info!("rollout of {service}: whether a step was written is looked up: {err}");
    }
    // The answer may be lost, or another daemon may have written.
    let pair = d.platform.get(&key).await?;
    if !decides_in_this_era(d, service) {
        // The rollout is taken on again first, and the step is wished again.
        return Ok(());
    }
    match pair {
        Some(pair) if pair.value == value => {
            log_written(service, &proposal);
            if let Some(decision) = lock(&d.rollouts.decisions).get_mut(service) {
                decision.revision = pair.revision;
                decision.decider.apply(&proposal);
            }
        }
        Some(pair) if pair.revision != revision => {
            log::warn!("rollout of {service}: another daemon decides");
            return let_go(d, service).await;
        }
        // Nothing was written; it is wished again.
        _ => return Ok(()),
    }
    // A grant concerns the decider alone.
    if let Proposal::Grant(_) = proposal {
        return Ok(());
    }
    d.rollouts.apply_stage(&kept.stage, d.clock.now());
    publish(d);
    if kept.stage.phase.is_final() {
        d.metrics.incr("rollout.decided");
        return end(d, order, &kept.stage.phase).await;
    }
    Ok(())
}

/// Returns what the store is to hold once a wish is written, and what it must hold now.
fn kept_with(d: &Daemon, service: &str, proposal: &Proposal) -> Option<(Kept, Revision)> {
    let decisions = lock(&d.rollouts.decisions);
    let decision = decisions.get(service)?;
    let decider = &decision.decider;
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
    let kept = Kept { stage, began_ms: decision.began_ms, seen: account.calls_before, granted };
    Some((kept, decision.revision))
}

fn log_written(service: &str, proposal: &Proposal) {
    match proposal {
        Proposal::Phase(phase, why) => {
            log::warn!("rollout of {service}: {} is decided: {why:?}", phase.name());
        }
        Proposal::Grant(granted) => log::info!("rollout of {service}: {granted} calls are granted"),
    }
}

/// Tells the operator how a rollout ended, then lets it go.
async fn end(d: &Arc<Daemon>, order: &Order, phase: &Phase) -> Result<(), PlatformError> {
    write_status(d, order, state_of(phase)).await?;
    let_go(d, &order.service).await
}

fn state_of(phase: &Phase) -> RolloutState {
    match phase {
        Phase::Completed => RolloutState::Completed,
        Phase::RolledBack => RolloutState::RolledBack,
        Phase::Canary { .. } | Phase::Cutover => RolloutState::Running,
    }
}

async fn write_status(d: &Daemon, order: &Order, state: RolloutState) -> Result<(), PlatformError> {
    let Some(hosted) = &d.hosted else { return Ok(()) };
    let key = hosted.rollout_status_key(&order.service);
    let status =
        RolloutStatus { service: order.service.clone(), target: order.target.clone(), state };
    let value = hosted.rollout_status(&status);
    let known = d.platform.get(&key).await?;
    if known.as_ref().is_some_and(|pair| pair.value == value && pair.revision > order.revision) {
        return Ok(());
    }
    let revision = known.map_or(Revision::ABSENT, |pair| pair.revision);
    match d.platform.swap(&key, revision, &value, None).await? {
        Swap::Done => Ok(()),
        Swap::Lost => Err(PlatformError::NotDone("the status was written meanwhile".to_string())),
    }
}

async fn let_go(d: &Daemon, service: &str) -> Result<(), PlatformError> {
    let decision = lock(&d.rollouts.decisions).remove(service);
    match decision {
        Some(decision) => d.platform.revoke(decision.lease).await,
        None => Ok(()),
    }
}

/// Puts what is known of rollouts into this daemon's own record.
pub fn publish(d: &Daemon) {
    let stages = d.rollouts.stages();
    if d.members.own().rollouts != stages {
        d.members.update_own(d, |own| own.rollouts = stages);
    }
}

/// Takes in the report of a daemon; returns what its canaries may be sent, and for which
/// epoch.
pub fn on_report(d: &Daemon, report: Report) -> Option<(u32, Quotas)> {
    let now = d.clock.now();
    let mut decisions = lock(&d.rollouts.decisions);
    let decision = decisions.get_mut(&report.service)?;
    if decision.decider.order().revision != report.order {
        return None;
    }
    let quotas = decision.decider.handle_report(report, now);
    Some((decision.decider.epoch(), quotas))
}
