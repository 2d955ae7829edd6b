//! What is known of callers: who was sent away and may come back, sharded by kind of
//! call, and which requests run here that calls may be nested in.

use super::lock;
use cicadashift_core::request::gate::KindKey;
use cicadashift_core::request::nested::Parents;
use cicadashift_core::request::returning::Returning;
use std::sync::{Arc, Mutex};
use std::time::Instant;

const SHARDS: usize = 8;

/// What is known of callers.
#[derive(Default)]
pub struct Callers {
    shards: [Mutex<Returning>; SHARDS],
    parents: Arc<Mutex<Parents>>,
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

    /// Returns whether a call is nested in a request that runs on this host.
    pub fn is_nested(&self, id: &str) -> bool {
        lock(&self.parents).is_nested(id)
    }

    /// Takes in that a request runs on this host, until what is returned is dropped.
    pub fn runs(&self, id: &str) -> Parent {
        lock(&self.parents).began(id);
        Parent { parents: self.parents.clone(), id: id.to_string() }
    }

    fn shard(&self, kind: KindKey) -> &Mutex<Returning> {
        &self.shards[kind.0 as usize % SHARDS]
    }
}

/// A request that runs on this host.
pub struct Parent {
    parents: Arc<Mutex<Parents>>,
    id: String,
}

impl Drop for Parent {
    fn drop(&mut self) {
        lock(&self.parents).ended(&self.id);
    }
}
