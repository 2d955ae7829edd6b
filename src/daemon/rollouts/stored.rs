//! Rollouts as the store holds them.
//!
//! The decider writes each stage to the store before it sends it to other daemons, and other
//! daemons only remember what they received. Where all daemons that remember a stage end
//! together, the store alone knows which version gets no calls. So a daemon reads the stages
//! before it puts its first configuration from the store in force, and again when it first
//! follows the store. It announces them, so that a daemon which takes its first configuration
//! from a member finds them in the member's record. docs/design/ROLLOUTS.md has the
//! alternatives.

use super::{HOLD_AFTER_COMPLETION, decider};
use crate::daemon::Daemon;
use crate::store::{ConditionalWrite, KeyValueStore, Pair, PlatformError, Revision, keys};
use cicadashift_core::rollout::{Order, Phase, Stage};
use cicadashift_wire::rpc;
use serde::{Deserialize, Serialize};
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Largest step of a stage that a decider writes. Each step is a change of the stage, at most a few
/// in a second of the order's time.
const MAX_STEP: u32 = 1 << 24;

/// The state of a rollout in the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredRollout {
    /// The last stage that was written.
    pub stage: Stage,
    /// When the order was first seen, in Unix milliseconds.
    pub began_ms: u64,
    /// Calls that reached the service and were reported to deciders.
    pub seen: u64,
    /// Calls granted to canaries.
    pub granted: u64,
}

impl StoredRollout {
    /// Decodes a state, or logs why that is not possible.
    pub fn decode(pair: &Pair) -> Option<StoredRollout> {
        let stored = rpc::decode::<StoredRollout>(&pair.value);
        let stored = stored.inspect_err(|err| log::warn!("{}: cannot decode: {err}", pair.key));
        stored.ok().filter(|stored| stored.is_plausible(pair))
    }

    /// Returns whether a decider can have written this state: a few steps after its order.
    ///
    /// Failure: another writer leaves a state with the largest numbers. Symptom: no stage ever
    /// outranks it, so that its order, or each later order of the service, is never carried out,
    /// and followers acquire and release the decider key for ever.
    fn is_plausible(&self, pair: &Pair) -> bool {
        let Stage { order, step, .. } = self.stage;
        let is_plausible = step <= MAX_STEP && pair.revision.supersedes(order);
        if !is_plausible {
            log::warn!("{}: ignored, no decider wrote step {step} of {order:?}", pair.key);
        }
        is_plausible
    }
}

/// Applies the stages in the store, as a daemon that has not put a configuration in force yet,
/// and announces them: other daemons may take the configuration from this one.
///
/// The read may be stale, which costs the store less: an earlier stage of a rollout holds the
/// new version as well. What it lacks is read when a daemon follows the store.
///
/// # Errors
///
/// Returns why the store could not be read. The caller must not put a configuration in force
/// then: calls would go to versions that get none.
pub async fn restore_at_start(d: &Daemon) -> Result<(), PlatformError> {
    if d.platform_adapter.is_none() {
        return Ok(());
    }
    let pairs = d.store.list_allow_stale(keys::ROLLOUTS).await?;
    apply(d, &pairs).await?;
    announce(d);
    Ok(())
}

/// Applies the stages in the store and publishes them, since no other daemon may know them. Does
/// so once: from then on stages reach a follower by orders and from other daemons.
///
/// # Errors
///
/// Returns why the store could not be read.
pub async fn restore_as_follower(d: &Daemon) -> Result<(), PlatformError> {
    if d.platform_adapter.is_none() || d.rollouts.is_restored.load(Ordering::Relaxed) {
        return Ok(());
    }
    let pairs = d.store.list(keys::ROLLOUTS, false).await?;
    apply(d, &pairs).await?;
    d.rollouts.is_restored.store(true, Ordering::Relaxed);
    announce(d);
    Ok(())
}

fn announce(d: &Daemon) {
    decider::publish(d);
    d.services.sync(d);
}

async fn apply(d: &Daemon, pairs: &[Pair]) -> Result<(), PlatformError> {
    for stored in pairs.iter().filter_map(StoredRollout::decode) {
        let is_past = stored.stage.phase == Phase::Completed && is_past(d, &stored).await?;
        d.rollouts.restore_stage(&stored.stage, is_past, d.clock.now());
    }
    Ok(())
}

/// Returns whether a completed rollout holds other versions no more. The store has no time of
/// its end, which is at most the order's duration after its beginning.
async fn is_past(d: &Daemon, stored: &StoredRollout) -> Result<bool, PlatformError> {
    let Some(order) = read_order(d, &stored.stage.service).await? else { return Ok(true) };
    let age = Duration::from_millis(d.clock.wall_ms().saturating_sub(stored.began_ms));
    let is_same = order.revision == stored.stage.order;
    Ok(!is_same || age >= order.duration + HOLD_AFTER_COMPLETION)
}

async fn read_order(d: &Daemon, service: &str) -> Result<Option<Order>, PlatformError> {
    let Some(key) = d.rollout_order_key(service) else { return Ok(None) };
    let pair = d.store.get(&key).await?;
    Ok(pair.and_then(|pair| d.rollouts.decode(d, &pair)))
}

/// Writes the last stage of a service's rollout again, if the store was restored from a copy
/// that lacks it. If all daemons ended later, none would know the stage.
///
/// # Errors
///
/// Returns why the store could not be read or written.
pub async fn rewrite(d: &Daemon, service: &str) -> Result<(), PlatformError> {
    let Some(stage) = d.rollouts.latest_stage(service) else { return Ok(()) };
    let key = keys::rollout(service);
    let pair = d.store.get(&key).await?;
    let stored = pair.as_ref().and_then(StoredRollout::decode);
    if stored.is_some_and(|stored| !stage.outranks(&stored.stage)) {
        return Ok(());
    }
    let revision = pair.map_or(Revision::ABSENT, |pair| pair.revision);
    log::info!("rollout of {service}: writes the stage again, the store was restored");
    // The beginning and the counts matter only for a rollout that goes on.
    let stored = StoredRollout { stage, began_ms: 0, seen: 0, granted: 0 };
    match d.store.compare_and_swap(&key, revision, &rpc::encode(&stored), None).await? {
        ConditionalWrite::Applied => Ok(()),
        ConditionalWrite::Rejected => {
            Err(PlatformError::NotApplied("the stage was written meanwhile".to_string()))
        }
    }
}
