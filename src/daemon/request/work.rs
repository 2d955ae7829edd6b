//! Calls whose route is known.

use cicadashift_core::config::{Priority, Route};
use cicadashift_core::ids::CallDigest;
use cicadashift_core::request::choose::Demand;
use cicadashift_core::request::gate::KindKey;
use cicadashift_http::ahead::{AnswerTurn, Place};
use cicadashift_http::hyper::http::request::Parts;
use std::sync::Arc;
use std::time::Instant;

/// A call whose route is known, and what its attempts need.
pub struct RoutedCall {
    /// Id of the request, which the log lines about it carry.
    pub request_id: String,
    /// Digest of the call, the same each time its caller sends it.
    pub digest: CallDigest,
    /// Version of the configuration that routed it.
    pub version: u64,
    /// Its route.
    pub route: Arc<Route>,
    /// The service it is sent to: the route's, that of the weighted part, or the canaries
    /// of either.
    pub service: String,
    /// The service to fall back to, if `service` names canaries of a new version.
    pub stable_service: Option<String>,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Its priority when capacity is short.
    pub priority: Priority,
    /// Organisation that sent it; empty if none did.
    pub organisation: String,
    /// Key of the caller for fair queueing.
    pub caller: u64,
    /// Key of the kind of call: a hash of its route's host and prefix.
    pub kind: u64,
    /// When it first arrived; earlier than `started` if its caller got no answer then and
    /// has sent it again.
    pub first_arrival: Instant,
    /// When its head was read.
    pub started: Instant,
    /// When the daemon gives it up.
    pub deadline: Instant,
    /// The latency objective as a moment: an answer after it is worth less.
    pub objective: Instant,
    /// Whether it was admitted by the levels of all hosts for the sake of its nested calls.
    pub is_admitted: bool,
    /// Most times it may be sent to an upstream.
    pub max_attempts: u32,
    /// Its head.
    pub head: Parts,
    /// Tells when its answer may be sent, if earlier requests of its connection are still
    /// unanswered.
    pub turn: Option<AnswerTurn>,
    /// Its place on its connection, if requests of the connection are started early.
    pub place: Option<Place>,
}

impl RoutedCall {
    /// Returns what the choice of an upstream needs of the call.
    pub fn demand(&self, now: Instant) -> Demand {
        Demand {
            kind: KindKey(self.kind),
            priority: self.priority,
            objective: self.objective.saturating_duration_since(now),
        }
    }
}

/// Picks the service for a call at random by the weights of the route's parts.
///
/// A call stays in its part: one for which the part has no capacity is refused and not
/// moved to another part, so that the calls that run keep the shares that the operator set.
pub fn pick_part(route: &Route, random: u64) -> &str {
    let total: u64 = route.parts.iter().map(|part| u64::from(part.weight)).sum();
    if total == 0 {
        return &route.service;
    }
    let mut left = random % total;
    for part in &route.parts {
        let weight = u64::from(part.weight);
        if left < weight {
            return &part.service;
        }
        left -= weight;
    }
    &route.service
}
