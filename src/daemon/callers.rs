//! Callers that were sent away and may come back, sharded by kind of call.

use super::lock;
use cicadashift_core::request::gate::KindKey;
use cicadashift_core::request::returning::ReturningCallers;
use std::sync::Mutex;
use std::time::Instant;

const SHARDS: usize = 8;

/// Callers that were sent away.
#[derive(Default)]
pub struct ShardedReturningCallers {
    shards: [Mutex<ReturningCallers>; SHARDS],
}

impl ShardedReturningCallers {
    /// Returns when the caller of a call first came, if it was sent away before.
    pub fn take_first_arrival(&self, kind: KindKey, until: Instant) -> Option<Instant> {
        lock(self.shard(kind)).take_first_arrival(kind, until)
    }

    /// Takes in that a call was given no answer.
    pub fn record_unanswered(&self, kind: KindKey, since: Instant, until: Instant, now: Instant) {
        lock(self.shard(kind)).record_unanswered(kind, since, until, now);
    }

    fn shard(&self, kind: KindKey) -> &Mutex<ReturningCallers> {
        &self.shards[kind.0 as usize % SHARDS]
    }
}
