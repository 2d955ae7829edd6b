//! Throttling of calls at the entry, sharded by kind of call.

use super::lock;
use super::request::headers;
use cicadashift_core::config::Priority;
use cicadashift_core::request::MIN_RETRY_AFTER;
use cicadashift_core::request::gate::KindKey;
use cicadashift_core::request::throttle::{CallOutcome, Throttle};
use cicadashift_http::hyper::header::HeaderMap;
use cicadashift_wire::call;
use std::sync::Mutex;
use std::time::{Duration, Instant};

const SHARDS: usize = 8;

/// Reasons for which calls are refused that hosts have no room for.
const NO_ROOM: [&str; 7] =
    ["busy", "full", "queue-full", "too-late", "link-busy", "no-upstream", THROTTLED];
/// Reason for which calls are refused at the entry.
pub const THROTTLED: &str = "throttled";

/// [`Throttle`], sharded by kind of call to reduce lock contention.
#[derive(Default)]
pub struct ShardedThrottle {
    shards: [Mutex<Throttle>; SHARDS],
}

impl ShardedThrottle {
    /// Decides whether a call is sent to hosts.
    ///
    /// # Errors
    ///
    /// Returns the wait that hosts asked for lately if the call is to be refused.
    pub fn admit(&self, kind: KindKey, priority: Priority, now: Instant) -> Result<(), Duration> {
        lock(self.shard(kind)).admit(kind, priority, now, fastrand::u64(..))
    }

    /// Records the response to a call that was sent to hosts.
    pub fn record(&self, kind: KindKey, priority: Priority, response: &HeaderMap, now: Instant) {
        if let Some(outcome) = outcome(response) {
            lock(self.shard(kind)).record(kind, priority, outcome, now);
        }
    }

    /// Returns the largest share of the calls of any kind that is refused now.
    pub fn max_refused_share(&self) -> f64 {
        self.shards.iter().map(|shard| lock(shard).max_refused_share()).fold(0.0, f64::max)
    }

    fn shard(&self, kind: KindKey) -> &Mutex<Throttle> {
        &self.shards[kind.0 as usize % SHARDS]
    }
}

/// Returns whether a refusal says that there was no room for a call.
pub fn is_for_want_of_room(response: &HeaderMap) -> bool {
    headers::text(response, call::REASON).is_some_and(|reason| NO_ROOM.contains(&reason))
}

/// Returns whether hosts had room for a call, or `None` if it was refused for another reason.
fn outcome(response: &HeaderMap) -> Option<CallOutcome> {
    if !headers::is_not_run(response) {
        return Some(CallOutcome::Accepted);
    }
    if !is_for_want_of_room(response) {
        return None;
    }
    let wait = headers::number(response, call::RETRY_AFTER_MS).map(Duration::from_millis);
    Some(CallOutcome::NoRoom { retry_after: wait.unwrap_or(MIN_RETRY_AFTER) })
}
