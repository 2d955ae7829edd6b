//! Rollouts of new versions: what each daemon does for them.
//!
//! [`cicadashift_core::rollout`] has the rules. Stages are spread in the membership records
//! of the decider and of the followers; each daemon acts on the highest stage that it has
//! received. [`exit`] counts and limits the calls that the upstreams of this host are sent,
//! [`report`] sends these counts to the decider, and [`decider`] runs on the one daemon that
//! decides on a rollout.
//!
//! While there is no order, nothing is read, sent or counted, except that a daemon reads
//! the orders once whenever it becomes a follower.

pub mod decider;
pub mod exit;
pub mod report;
pub mod result;
pub mod stored;

use super::{Daemon, lock};
use crate::store::Pair;
use cicadashift_core::rollout::{Lane, Order, Phase, Stage};
use cicadashift_edge::interface::Interface;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Time after a daemon has received a cutover in which it still sends calls to the old
/// upstreams on its host. After this time all other daemons have received the cutover and
/// choose new upstreams.
const CLOSE_DELAY: Duration = Duration::from_secs(1);
/// How long upstreams of other versions are held after a rollout was completed. The old
/// upstreams are stopped as soon as it is completed.
const HOLD_AFTER_COMPLETION: Duration = Duration::from_secs(10);
/// Suffix that makes the name of a service the name of its canary lane. Names of services
/// contain no space, so that no service has the name of a canary lane.
const CANARY_SUFFIX: &str = " canaries";

/// A stage that this daemon has received.
#[derive(Clone, Debug)]
struct ReceivedStage {
    stage: Stage,
    /// When the phase of the stage was first received.
    since: Instant,
    /// Whether the stage has expired, so that upstreams of all versions are ordinary again.
    is_expired: bool,
}

/// The rollouts that a daemon takes part in.
#[derive(Default)]
pub struct Rollouts {
    has_stages: AtomicBool,
    /// Whether the stages in the store have been applied, see [`stored`].
    is_restored: AtomicBool,
    /// Stages by service.
    stages: Mutex<BTreeMap<String, ReceivedStage>>,
    /// Orders in the store by service, while this daemon follows the store.
    orders: Mutex<BTreeMap<String, Order>>,
    counts: Mutex<exit::CountsByUpstream>,
    owned: Mutex<decider::OwnedRollouts>,
}

impl Rollouts {
    /// Returns whether this daemon has received any stage.
    pub fn has_stages(&self) -> bool {
        self.has_stages.load(Ordering::Relaxed)
    }

    /// Returns the stage of a service's rollout, unless it has expired.
    pub fn stage(&self, service: &str) -> Option<Stage> {
        if !self.has_stages() {
            return None;
        }
        let stages = lock(&self.stages);
        stages
            .get(service)
            .filter(|received| !received.is_expired)
            .map(|received| received.stage.clone())
    }

    /// Returns the latest stage of a service's rollout, expired or not.
    fn latest_stage(&self, service: &str) -> Option<Stage> {
        lock(&self.stages).get(service).map(|received| received.stage.clone())
    }

    /// Stores a stage that was read from the store; `is_past` is whether it was reached so long
    /// ago that it has expired.
    fn restore_stage(&self, stage: &Stage, is_past: bool, now: Instant) {
        self.apply_stage(stage, now);
        if let Some(received) = lock(&self.stages).get_mut(&stage.service)
            && received.stage == *stage
            && stage.phase == Phase::Completed
        {
            received.is_expired = is_past || now >= received.since + HOLD_AFTER_COMPLETION;
        }
    }

    /// Expires the stages of rollouts that were completed some time ago, so that upstreams
    /// of other versions are ordinary again; returns whether there were any.
    ///
    /// Failure: a later release, for which there is no order, starts upstreams of a third
    /// version. Symptom: they are held like upstreams of the old version, and get no calls.
    fn expire(&self, now: Instant) -> bool {
        let mut stages = lock(&self.stages);
        let is_due = |received: &&mut ReceivedStage| {
            received.stage.phase == Phase::Completed
                && !received.is_expired
                && now >= received.since + HOLD_AFTER_COMPLETION
        };
        stages.values_mut().filter(is_due).map(|received| received.is_expired = true).count() > 0
    }

    /// Returns all stages, expired ones included.
    pub fn stages(&self) -> Vec<Stage> {
        lock(&self.stages).values().map(|received| received.stage.clone()).collect()
    }

    /// Returns the stages of rollouts that have not ended and whose order was withdrawn, by the
    /// orders that this daemon knows.
    fn withdrawn_stages(&self) -> Vec<Stage> {
        let orders = lock(&self.orders);
        let is_withdrawn =
            |stage: &Stage| !stage.phase.is_final() && !orders.contains_key(&stage.service);
        self.stages().into_iter().filter(is_withdrawn).collect()
    }

    /// Stores a stage if it outranks the current stage of its service; returns whether it
    /// does.
    ///
    /// A daemon that learns of a rollout by its completion has just started or was cut off, and
    /// cannot know how long ago that was. The stage counts as expired then, so that upstreams of
    /// a version that was released since are not held.
    pub fn apply_stage(&self, stage: &Stage, now: Instant) -> bool {
        let mut stages = lock(&self.stages);
        let current = stages.get(&stage.service);
        if current.is_some_and(|current| !stage.outranks(&current.stage)) {
            return false;
        }
        let Stage { service, target, step, .. } = stage;
        log::info!("rollout of {service} to {target}: {}, step {step}", stage.phase.name());
        // The canaries may change within a phase, which does not restart its time.
        let since = match current {
            Some(ReceivedStage { stage: before, since, .. })
                if before.order == stage.order && before.phase.name() == stage.phase.name() =>
            {
                *since
            }
            _ => now,
        };
        let is_same_order = current.is_some_and(|current| current.stage.order == stage.order);
        let is_expired = stage.phase == Phase::Completed && !is_same_order;
        let received = ReceivedStage { stage: stage.clone(), since, is_expired };
        stages.insert(service.clone(), received);
        self.has_stages.store(true, Ordering::Relaxed);
        true
    }

    /// Returns the name of the lane in which an upstream is chosen, or `None` if it is held.
    pub fn lane_name(&self, service: &str, version: &str, upstream: &str) -> Option<String> {
        let lane = self.stage(service).map_or(Lane::Main, |stage| stage.lane(version, upstream));
        match lane {
            Lane::Main => Some(service.to_string()),
            Lane::Canary => Some(canary_lane_name(service)),
            Lane::Held => None,
        }
    }

    /// Returns the name of a service's canary lane if a call is to be sent to a canary;
    /// `random` is a random number.
    pub fn canary_lane_for_call(&self, service: &str, random: u64) -> Option<String> {
        let is_canary = self.stage(service)?.lane_of_call(random) == Lane::Canary;
        is_canary.then(|| canary_lane_name(service))
    }

    /// Returns whether this daemon sends no more calls to old upstreams of a service.
    fn has_closed(&self, service: &str, now: Instant) -> bool {
        lock(&self.stages).get(service).is_some_and(|received| match received.stage.phase {
            Phase::Cutover => now >= received.since + CLOSE_DELAY,
            Phase::Completed => true,
            Phase::Canary { .. } | Phase::RolledBack => false,
        })
    }

    /// Replaces all orders by those read from the store.
    pub fn replace_orders(&self, d: &Daemon, pairs: &[Pair]) {
        let mut orders = BTreeMap::new();
        for pair in pairs {
            if let Some(order) = self.decode(d, pair) {
                orders.insert(order.service.clone(), order);
            }
        }
        *lock(&self.orders) = orders;
    }

    /// Adds an order that was written to the store.
    pub fn add_order(&self, d: &Daemon, pair: &Pair) {
        if let Some(order) = self.decode(d, pair) {
            log::info!("rollout of {} to {} is ordered", order.service, order.target);
            lock(&self.orders).insert(order.service.clone(), order);
        }
    }

    fn decode(&self, d: &Daemon, pair: &Pair) -> Option<Order> {
        let decoded = d.platform_adapter.as_ref()?.decode_order(&pair.value, pair.revision);
        let order = decoded
            .inspect_err(|err| log::warn!("{}: invalid rollout order: {err}", pair.key))
            .ok()?;
        let stages = lock(&self.stages);
        let stage = stages.get(&order.service).map(|received| &received.stage);
        Some(order.with_known_revision(stage))
    }

    /// Removes an order that was deleted from the store.
    pub fn withdraw_order(&self, service: &str) {
        if lock(&self.orders).remove(service).is_some() {
            log::info!("rollout of {service}: the order was withdrawn");
        }
    }
}

fn canary_lane_name(service: &str) -> String {
    format!("{service}{CANARY_SUFFIX}")
}
