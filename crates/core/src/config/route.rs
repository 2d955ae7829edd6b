//! One route: which requests it matches, who serves them, and what they may cost.

use super::{Invalid, MAX_DEADLINE_MS, check_name};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Most weighted parts of one route.
const MAX_PARTS: usize = 32;

/// Sends matching requests to a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Request's `Host` without port; absent matches any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
    /// Prefix of the path, ending at a segment's end.
    #[serde(default = "root_prefix")]
    pub prefix: String,
    /// Methods matched; empty matches any.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub methods: Vec<String>,
    /// Service whose upstreams serve the request.
    pub service: String,
    /// Services that share the requests by weight; empty sends all to `service`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<Part>,
    /// Time a call may take in all, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Time within which an answer is worth most, in milliseconds; absent or
    /// above the deadline means that any time up to the deadline is as good.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub objective_ms: Option<u64>,
    /// Most upstreams that one call is sent to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_attempts: Option<u32>,
    /// Methods that may be sent again after an unknown outcome.
    #[serde(default = "default_repeatable")]
    pub repeatable: Vec<String>,
    /// What may be sent again whatever the method; goes before `repeatable`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<RouteKind>,
    /// Which calls go first under shortage.
    #[serde(default)]
    pub priority: Priority,
    /// Whether requests need no key although the configuration names organisations.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub anonymous: bool,
    /// Largest request body in bytes.
    #[serde(default = "default_max_body")]
    pub max_body: u64,
}

/// One weighted part of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// The service that serves this part.
    pub service: String,
    /// Its share, relative to the weights of the other parts.
    pub weight: u32,
}

/// Whether a call may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// May be sent again after an unknown outcome.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Idempotent, with a large answer.
    Download,
}

/// Rank of a call when an upstream is short of slots; zero goes first.
///
/// Configurations may write the rank or `high`, `normal`, `low` for 0, 1, 2.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "PriorityText", into = "u8")]
pub struct Priority(pub u8);

impl Priority {
    /// Goes first.
    pub const HIGH: Priority = Priority(0);
    /// The default.
    pub const NORMAL: Priority = Priority(1);
    /// Refused first.
    pub const LOW: Priority = Priority(2);

    /// Ranks of routes that are told apart within one rank of organisations.
    const RANKS: u8 = 16;

    /// Returns the rank of a call of an organisation: the organisation's goes first, and
    /// the route's decides among calls of organisations with the same rank.
    pub fn within(self, organisation: Priority) -> Priority {
        let base = organisation.0.saturating_mul(Priority::RANKS);
        Priority(base.saturating_add(self.0.min(Priority::RANKS - 1)))
    }
}

impl Default for Priority {
    fn default() -> Priority {
        Priority::NORMAL
    }
}

impl From<Priority> for u8 {
    fn from(priority: Priority) -> u8 {
        priority.0
    }
}

#[derive(Deserialize)]
#[serde(untagged)]
enum PriorityText {
    Rank(u8),
    Word(PriorityWord),
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum PriorityWord {
    High,
    Normal,
    Low,
}

impl From<PriorityText> for Priority {
    fn from(text: PriorityText) -> Priority {
        match text {
            PriorityText::Rank(rank) => Priority(rank),
            PriorityText::Word(PriorityWord::High) => Priority::HIGH,
            PriorityText::Word(PriorityWord::Normal) => Priority::NORMAL,
            PriorityText::Word(PriorityWord::Low) => Priority::LOW,
        }
    }
}

/// Bounds on what callers may send, in force for all routes of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head_bytes: u64,
    /// Bytes of a request's body.
    pub body_bytes: u64,
    /// Milliseconds for a head to arrive.
    pub head_ms: u64,
    /// Milliseconds that a connection may stay idle.
    pub idle_ms: u64,
}

impl Route {
    /// Returns the call's deadline when the caller asked for nothing shorter.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// Returns the time within which an answer is worth most.
    pub fn objective(&self) -> Duration {
        let ms = self.objective_ms.unwrap_or(self.deadline_ms);
        Duration::from_millis(ms.min(self.deadline_ms))
    }

    /// Returns whether a call may run more than once.
    pub fn may_repeat(&self, method: &str) -> bool {
        match self.kind {
            Some(RouteKind::Idempotent | RouteKind::Download) => true,
            Some(RouteKind::NonIdempotent) => false,
            None => self.repeatable.iter().any(|repeatable| repeatable == method),
        }
    }

    /// Returns the services that serve this route.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        let parts = self.parts.iter().map(|part| part.service.as_str());
        let sole = self.parts.is_empty().then_some(self.service.as_str());
        parts.chain(sole)
    }

    pub(super) fn check(&self) -> Result<(), Invalid> {
        for service in self.services() {
            check_name("service", service)?;
        }
        if let Some(host) = &self.host {
            check_name("host", host)?;
        }
        let bad = ["?", "#", "//", ".."].iter().any(|part| self.prefix.contains(part));
        if !self.prefix.starts_with('/') || bad {
            return Err(Invalid::Prefix(self.prefix.clone()));
        }
        for method in self.methods.iter().chain(&self.repeatable) {
            if method.is_empty() || !method.bytes().all(|b| b.is_ascii_uppercase()) {
                return Err(Invalid::Method(method.clone()));
            }
        }
        if self.deadline_ms == 0 || self.deadline_ms > MAX_DEADLINE_MS {
            return Err(Invalid::Deadline(self.deadline_ms));
        }
        if self.objective_ms == Some(0) {
            return Err(Invalid::Objective);
        }
        if self.max_attempts == Some(0) {
            return Err(Invalid::Attempts);
        }
        let weight: u64 = self.parts.iter().map(|part| u64::from(part.weight)).sum();
        if !self.parts.is_empty() && (weight == 0 || self.parts.len() > MAX_PARTS) {
            return Err(Invalid::Parts(self.prefix.clone()));
        }
        Ok(())
    }
}

fn root_prefix() -> String {
    "/".to_string()
}

fn default_deadline_ms() -> u64 {
    2000
}

fn default_max_body() -> u64 {
    16 << 20
}

fn default_repeatable() -> Vec<String> {
    vec!["GET".to_string(), "HEAD".to_string()]
}
