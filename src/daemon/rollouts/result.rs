//! The result of a rollout, which is written to the store for the operator.
//!
//! The decider writes it, after the last stage. Where the decider ends before that, or the
//! store was restored from a copy that lacks the result, a follower writes it.

use super::stored;
use crate::daemon::{Daemon, lock};
use crate::store::{ConditionalWrite, KeyValueStore, PlatformError, Revision, keys};
use cicadashift_core::rollout::{Order, Phase};
use cicadashift_edge::interface::{Interface, RolloutState, RolloutStatus};
use std::collections::HashMap;
use std::sync::atomic::Ordering;

/// The rollouts whose result this daemon found in the store or wrote there, by service: the
/// order, and the era of the store.
#[derive(Default)]
pub struct ConfirmedResults(HashMap<String, (Revision, u64)>);

impl ConfirmedResults {
    /// Returns whether this daemon has to confirm that the store has the result of an order.
    pub fn lack(&self, d: &Daemon, order: &Order) -> bool {
        d.follows_store.load(Ordering::Relaxed)
            && self.0.get(&order.service) != Some(&(order.revision, order.read_in_era))
            && !lock(&d.rollouts.owned).contains_key(&order.service)
            && result_of(d, order).is_some()
    }

    /// Confirms that the store has the result of an order. Writes it if it is missing and no
    /// daemon holds the decider key: the decider itself writes it.
    ///
    /// # Errors
    ///
    /// Returns why the store could not be read or written.
    pub async fn confirm(&mut self, d: &Daemon, order: &Order) -> Result<(), PlatformError> {
        let Some(state) = result_of(d, order) else { return Ok(()) };
        if order.read_in_era > order.revision.era {
            stored::rewrite(d, &order.service).await?;
        }
        if let Some(write) = missing_status(d, order, state).await? {
            if d.store.get(&keys::decider(&order.service)).await?.is_some() {
                return Ok(());
            }
            log::info!("rollout of {}: writes the result, which is missing", order.service);
            write.apply(d).await?;
        }
        self.0.insert(order.service.clone(), (order.revision, order.read_in_era));
        Ok(())
    }
}

/// Returns the result of an order's rollout, if this daemon knows that it has ended.
fn result_of(d: &Daemon, order: &Order) -> Option<RolloutState> {
    let stage = d.rollouts.latest_stage(&order.service)?;
    let has_ended = stage.order == order.revision && stage.phase.is_final();
    has_ended.then(|| state_of(&stage.phase))
}

/// Returns what the operator is told about a phase.
pub fn state_of(phase: &Phase) -> RolloutState {
    match phase {
        Phase::Completed => RolloutState::Completed,
        Phase::RolledBack => RolloutState::RolledBack,
        Phase::Canary { .. } | Phase::Cutover => RolloutState::Running,
    }
}

/// Writes the status of a rollout for the operator, unless the store holds it already.
///
/// # Errors
///
/// Returns why the store could not be read or written.
pub async fn write_status(
    d: &Daemon,
    order: &Order,
    state: RolloutState,
) -> Result<(), PlatformError> {
    match missing_status(d, order, state).await? {
        Some(write) => write.apply(d).await,
        None => Ok(()),
    }
}

/// The write of a status that the store does not hold.
struct StatusWrite {
    key: String,
    value: Vec<u8>,
    /// Position of the status that it replaces.
    replaced: Revision,
}

async fn missing_status(
    d: &Daemon,
    order: &Order,
    state: RolloutState,
) -> Result<Option<StatusWrite>, PlatformError> {
    let Some(adapter) = &d.platform_adapter else { return Ok(None) };
    let key = adapter.rollout_status_key(&order.service);
    let status =
        RolloutStatus { service: order.service.clone(), target: order.target.clone(), state };
    let value = adapter.encode_rollout_status(&status);
    let stored = d.store.get(&key).await?;
    // A status that is older than the order is that of an earlier order.
    if stored.as_ref().is_some_and(|pair| pair.value == value && pair.revision > order.revision) {
        return Ok(None);
    }
    let replaced = stored.map_or(Revision::ABSENT, |pair| pair.revision);
    Ok(Some(StatusWrite { key, value, replaced }))
}

impl StatusWrite {
    async fn apply(&self, d: &Daemon) -> Result<(), PlatformError> {
        match d.store.compare_and_swap(&self.key, self.replaced, &self.value, None).await? {
            ConditionalWrite::Applied => Ok(()),
            ConditionalWrite::Rejected => {
                Err(PlatformError::NotApplied("the status was written meanwhile".to_string()))
            }
        }
    }
}
