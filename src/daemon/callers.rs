//! Callers that were sent away and may come back, sharded by kind of call.

use super::lock;
use cicadashift_core::request::gate::KindKey;
use cicadashift_core::request::returning::Returning;
use std::sync::Mutex;
use std::time::Instant;

const SHARDS: usize = 8;

/// Callers that were sent away.
#[derive(Default)]
pub struct Callers {
    shards: [Mutex<Returning>; SHARDS],
}

impl Callers {
    /// Returns when the caller of a call first came, if it was sent away before.
    pub fn first_came(&self, kind: KindKey, until: Instant) -> Option<Instant> {
        lock(self.shard(kind)).first_came(kind, until)
    }

    /// Takes in that a call was given no answer.
    pub fn sent_away(&self, kind: KindKey, since: Instant, until: Instant, now: Instant) {
        lock(self.shard(kind)).sent_away(kind, since, until, now);
    }

    fn shard(&self, kind: KindKey) -> &Mutex<Returning> {
        &self.shards[kind.0 as usize % SHARDS]
    }
}
