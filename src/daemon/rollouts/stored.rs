//! Rollouts as the store holds them.

use crate::store::Pair;
use cicadashift_core::rollout::Stage;
use cicadashift_wire::rpc;
use serde::{Deserialize, Serialize};

/// The state of a rollout in the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredRollout {
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
        stored.inspect_err(|err| log::warn!("{}: cannot decode: {err}", pair.key)).ok()
    }
}
