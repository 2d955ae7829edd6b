//! Rollouts of new versions, as each daemon takes part in them.
//!
//! [`cicadashift_core::rollout`] decides. Stages travel in membership's records of the
//! deciding daemon and of those that follow the store; each daemon acts by the highest one
//! that it knows. [`exit`] counts and limits what the upstreams of this host are sent,
//! [`report`] tells the decider, and [`decider`] is what one daemon does for all.
//!
//! Nothing is read, told or counted while no order stands, but for one look at the orders
//! whenever a daemon begins to follow the store.

pub mod decider;
pub mod exit;
pub mod report;

use super::{Daemon, lock};
use crate::store::Pair;
use cicadashift_core::rollout::{Lane, Order, Phase, Stage};
use cicadashift_edge::interface::Interface;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Time after a daemon has heard of a cutover in which the old upstream beside it is
/// still sent calls: until then all others have heard, and choose new ones.
const CLOSE_AFTER: Duration = Duration::from_secs(1);
/// How long the old upstreams of a completed rollout are kept out; they are stopped at once.
const COMPLETED_FOR: Duration = Duration::from_secs(10);
/// What names the canaries of a service apart from it; no service has a space in its name.
const CANARIES: &str = " canaries";

/// A stage and when this daemon heard of it.
#[derive(Clone, Debug)]
struct Known {
    stage: Stage,
    /// When its phase was first heard of.
    since: Instant,
    /// Whether upstreams of any version are ordinary ones again.
    is_over: bool,
}

/// What a daemon knows of rollouts.
#[derive(Default)]
pub struct Rollouts {
    is_any: AtomicBool,
    stages: Mutex<BTreeMap<String, Known>>,
    /// Orders as the store has them, where this daemon follows it.
    orders: Mutex<BTreeMap<String, Order>>,
    counts: Mutex<exit::Counts>,
    decisions: Mutex<decider::Decisions>,
}

impl Rollouts {
    /// Returns whether any stage is known.
    pub fn is_any(&self) -> bool {
        self.is_any.load(Ordering::Relaxed)
    }

    /// Returns the stage of a service's rollout, unless it is long over.
    pub fn stage(&self, service: &str) -> Option<Stage> {
        if !self.is_any() {
            return None;
        }
        let stages = lock(&self.stages);
        stages.get(service).filter(|known| !known.is_over).map(|known| known.stage.clone())
    }

    /// Lets further versions be ordinary ones again, some time after a rollout was
    /// completed; returns whether any was.
    ///
    /// Failure: a later release, which nobody orders, starts upstreams of a third version.
    /// Symptom: they are held as if they were the old ones, and get no calls.
    fn expire(&self, now: Instant) -> bool {
        let mut stages = lock(&self.stages);
        let is_due = |known: &&mut Known| {
            known.stage.phase == Phase::Completed
                && !known.is_over
                && now >= known.since + COMPLETED_FOR
        };
        stages.values_mut().filter(is_due).map(|known| known.is_over = true).count() > 0
    }

    /// Returns all stages.
    pub fn stages(&self) -> Vec<Stage> {
        lock(&self.stages).values().map(|known| known.stage.clone()).collect()
    }

    /// Takes a stage in if it outranks what is known; returns whether it does.
    pub fn apply_stage(&self, stage: &Stage, now: Instant) -> bool {
        let mut stages = lock(&self.stages);
        let known = stages.get(&stage.service);
        if known.is_some_and(|known| !stage.outranks(&known.stage)) {
            return false;
        }
        let Stage { service, target, step, .. } = stage;
        log::info!("rollout of {service} to {target}: {}, step {step}", stage.phase.name());
        // Only a new phase begins anew; canaries may change within one.
        let since = match known {
            Some(Known { stage: before, since, .. })
                if before.order == stage.order && before.phase.name() == stage.phase.name() =>
            {
                *since
            }
            _ => now,
        };
        stages.insert(service.clone(), Known { stage: stage.clone(), since, is_over: false });
        self.is_any.store(true, Ordering::Relaxed);
        true
    }

    /// Returns under which name an upstream is chosen, or nothing where it is not.
    pub fn lane_name(&self, service: &str, version: &str, upstream: &str) -> Option<String> {
        let lane = self.stage(service).map_or(Lane::Main, |stage| stage.lane(version, upstream));
        match lane {
            Lane::Main => Some(service.to_string()),
            Lane::Canary => Some(canaries_of(service)),
            Lane::Held => None,
        }
    }

    /// Returns the name of a service's canaries, where one call is to go to them.
    pub fn canary_lane_for_call(&self, service: &str, random: u64) -> Option<String> {
        let is_canary = self.stage(service)?.lane_of_call(random) == Lane::Canary;
        is_canary.then(|| canaries_of(service))
    }

    /// Returns whether the old upstreams of a service are sent nothing more from here.
    fn has_closed(&self, service: &str, now: Instant) -> bool {
        lock(&self.stages).get(service).is_some_and(|known| match known.stage.phase {
            Phase::Cutover => now >= known.since + CLOSE_AFTER,
            Phase::Completed => true,
            Phase::Canary { .. } | Phase::RolledBack => false,
        })
    }

    /// Takes in the orders that the store has.
    pub fn replace_orders(&self, d: &Daemon, pairs: &[Pair]) {
        let mut orders = BTreeMap::new();
        for pair in pairs {
            if let Some(order) = self.decode(d, pair) {
                orders.insert(order.service.clone(), order);
            }
        }
        *lock(&self.orders) = orders;
    }

    /// Takes in that one order was written.
    pub fn add_order(&self, d: &Daemon, pair: &Pair) {
        if let Some(order) = self.decode(d, pair) {
            log::info!("rollout of {} to {} is ordered", order.service, order.target);
            lock(&self.orders).insert(order.service.clone(), order);
        }
    }

    fn decode(&self, d: &Daemon, pair: &Pair) -> Option<Order> {
        let decoded = d.hosted.as_ref()?.order(&pair.value, pair.revision);
        let order =
            decoded.inspect_err(|err| log::warn!("{} is no order: {err}", pair.key)).ok()?;
        let stages = lock(&self.stages);
        let stage = stages.get(&order.service).map(|known| &known.stage);
        Some(order.with_known_revision(stage))
    }

    /// Takes in that an order was taken back.
    pub fn withdraw_order(&self, service: &str) {
        if lock(&self.orders).remove(service).is_some() {
            log::info!("rollout of {service}: the order was taken back");
        }
    }
}

fn canaries_of(service: &str) -> String {
    format!("{service}{CANARIES}")
}
