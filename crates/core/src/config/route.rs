//! One route: the requests that it matches, the services that serve them, and the limits
//! on each call.

use super::{Invalid, MAX_DEADLINE_MS, check_name};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Most weighted parts of one route.
const MAX_PARTS: usize = 32;

/// Sends matching requests to a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// `Host` of the request, without port; absent matches any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
    /// Prefix of the path. It matches whole segments only.
    #[serde(default = "root_prefix")]
    pub prefix: String,
    /// Methods matched; empty matches any.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub methods: Vec<String>,
    /// Service whose upstreams serve the requests; not used if `parts` has entries.
    pub service: String,
    /// Services that share the requests by weight; if empty, `service` serves all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<Part>,
    /// Total time that a call may take, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Latency objective of a call, in milliseconds. If absent or above the deadline, the
    /// objective is the deadline.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub objective_ms: Option<u64>,
    /// Maximum number of upstreams that one call is sent to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_attempts: Option<u32>,
    /// Methods of calls that may be retried after an unknown outcome.
    #[serde(default = "default_repeatable")]
    pub repeatable: Vec<String>,
    /// Whether calls may be retried, whatever their method; takes precedence over
    /// `repeatable`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<RouteKind>,
    /// Priority of the calls when slots are short.
    #[serde(default)]
    pub priority: Priority,
    /// Whether requests need no key even if the configuration lists organisations.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub anonymous: bool,
    /// Largest request body in bytes.
    #[serde(default = "default_max_body")]
    pub max_body: u64,
}

/// One weighted part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// The service that serves this part.
    pub service: String,
    /// Its share of the requests, relative to the weights of the other parts.
    pub weight: u32,
}

/// Whether a call may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// May be retried after an unknown outcome.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Idempotent, with a large response.
    Download,
}

/// Priority rank of a call when an upstream is short of slots; zero is the highest.
///
/// Configurations give the rank as a number, or as `high`, `normal` or `low` for 0, 1
/// or 2.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "PriorityText", into = "u8")]
pub struct Priority(pub u8);

impl Priority {
    /// The highest priority.
    pub const HIGH: Priority = Priority(0);
    /// The default.
    pub const NORMAL: Priority = Priority(1);
    /// The lowest named priority: such calls are refused before normal ones.
    pub const LOW: Priority = Priority(2);

    /// Number of route ranks that stay distinct within one rank of organisations; route
    /// ranks above this count as the lowest of them.
    const ROUTE_RANKS: u8 = 16;

    /// Returns the rank of a call that an organisation sends on a route with this rank. The
    /// organisation's rank takes precedence; the route's rank decides among calls of
    /// organisations with the same rank.
    pub fn within(self, organisation: Priority) -> Priority {
        let base = organisation.0.saturating_mul(Priority::ROUTE_RANKS);
        Priority(base.saturating_add(self.0.min(Priority::ROUTE_RANKS - 1)))
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
    Word(PriorityName),
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum PriorityName {
    High,
    Normal,
    Low,
}

impl From<PriorityText> for Priority {
    fn from(text: PriorityText) -> Priority {
        match text {
            PriorityText::Rank(rank) => Priority(rank),
            PriorityText::Word(PriorityName::High) => Priority::HIGH,
            PriorityText::Word(PriorityName::Normal) => Priority::NORMAL,
            PriorityText::Word(PriorityName::Low) => Priority::LOW,
        }
    }
}

/// Limits on callers, which apply to all routes of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerLimits {
    /// Largest request head in bytes.
    pub head_bytes: u64,
    /// Largest request body in bytes.
    pub body_bytes: u64,
    /// Time within which a request head must arrive, in milliseconds.
    pub head_ms: u64,
    /// Time that a connection may stay idle, in milliseconds.
    pub idle_ms: u64,
}

impl Route {
    /// Returns the time that a call may take unless its caller sets a shorter deadline.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// Returns the latency objective of a call, which is at most its deadline.
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
        let unweighted = self.parts.is_empty().then_some(self.service.as_str());
        parts.chain(unweighted)
    }

    pub(super) fn check(&self) -> Result<(), Invalid> {
        for service in self.services() {
            check_name("service", service)?;
        }
        if let Some(host) = &self.host {
            check_name("host", host)?;
        }
        let has_forbidden = ["?", "#", "//", ".."].iter().any(|part| self.prefix.contains(part));
        if !self.prefix.starts_with('/') || has_forbidden {
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
