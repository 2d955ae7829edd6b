//! A matched call on its way.

use cicadashift_core::config::{Priority, Route};
use cicadashift_core::ids::CallDigest;
use cicadashift_core::request::choose::Demand;
use cicadashift_core::request::gate::KindKey;
use cicadashift_http::ahead::AnswerTurn;
use cicadashift_http::hyper::http::request::Parts;
use std::sync::Arc;
use std::time::Instant;

/// A matched call on its way.
pub struct Work {
    /// Names the call.
    pub request_id: String,
    /// Names what it asks for, whatever its id.
    pub digest: CallDigest,
    /// Version of the configuration that routed it.
    pub version: u64,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that serves it: the route's, or that of the weighted part.
    pub service: String,
    /// The service, where it goes to canaries of a new version first.
    pub without_canaries: Option<String>,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Its rank under shortage.
    pub priority: Priority,
    /// Organisation that sent it; empty where none did.
    pub organisation: String,
    /// Names the caller for fairness.
    pub caller: u64,
    /// Names the kind of call: its route.
    pub kind: u64,
    /// When its caller first came, before it was sent away and came back.
    pub first_came: Instant,
    /// When its head had been read.
    pub started: Instant,
    /// When it is given up.
    pub deadline: Instant,
    /// Until when an answer is worth most.
    pub objective: Instant,
    /// Upstreams that it may be sent to.
    pub allowed: u32,
    /// Its head.
    pub head: Parts,
    /// When its answer can leave, where others of its connection go before.
    pub turn: Option<AnswerTurn>,
}

impl Work {
    pub fn demand(&self, now: Instant) -> Demand {
        Demand {
            kind: KindKey(self.kind),
            priority: self.priority,
            objective: self.objective.saturating_duration_since(now),
        }
    }
}

/// Returns the service that serves a call, by the weights of the route's parts.
///
/// A call stays in its part: what does not fit there is refused, not moved, so
/// that the shares of those that run are the shares that the operator set.
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
