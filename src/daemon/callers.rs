//! Callers whose call was not answered and who may come back, sharded by kind of call.

use super::lock;
use cicadashift_core::request::gate::KindKey;
use cicadashift_core::request::returning::ReturningCallers;
use std::sync::Mutex;
use std::time::Instant;

const SHARDS: usize = 8;

/// [`ReturningCallers`], sharded by kind of call to reduce lock contention.
#[derive(Default)]
pub struct ShardedReturningCallers {
    shards: [Mutex<ReturningCallers>; SHARDS],
}

impl ShardedReturningCallers {
    /// Returns when the caller of a call first arrived, if an earlier call of it was not
    /// answered; each such call is found once. `until` is how long the caller waits.
    pub fn take_first_arrival(&self, kind: KindKey, until: Instant) -> Option<Instant> {
        lock(self.shard(kind)).take_first_arrival(kind, until)
    }

    /// Records that a call was not answered; `since` is when its caller first arrived,
    /// `until` how long the caller waits.
    pub fn record_unanswered(&self, kind: KindKey, since: Instant, until: Instant, now: Instant) {
        lock(self.shard(kind)).record_unanswered(kind, since, until, now);
    }

    fn shard(&self, kind: KindKey) -> &Mutex<ReturningCallers> {
        &self.shards[kind.0 as usize % SHARDS]
    }
}
