//! The protocol towards callers, upstreams and operators.

use cicadashift_core::config::{Config, Selector};
use cicadashift_core::ids::{Revision, Version};
use cicadashift_core::membership::record::Readiness;
use cicadashift_core::rollout::Order;
use cicadashift_http::hyper::Method;
use cicadashift_http::hyper::header::HeaderName;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Names of the headers that callers and upstreams use, and variations of the protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dialect {
    /// Id of a call; the same header towards callers and upstreams.
    pub request_id: HeaderName,
    /// Milliseconds that the sender waits for the answer.
    pub deadline_ms: HeaderName,
    /// Tells the upstream on which service's host the call began.
    pub caller_service: Option<HeaderName>,
    /// Tells the upstream which organisation sent the call.
    pub organisation: HeaderName,
    /// Tells the upstream which instance the call is for; another instance must refuse it.
    pub expected_instance: Option<HeaderName>,
    /// On an upstream's answer: it did not run the call.
    pub not_run: HeaderName,
    /// On an upstream's answer: calls running, calls queued, and slots, in this order.
    pub load: Option<HeaderName>,
    /// On an upstream's answer: calls per second that it accepts from all hosts together.
    pub limit: HeaderName,
    /// On an upstream's answer: it is leaving and takes no new calls.
    pub leaving: HeaderName,
    /// On an upstream's refusal: the id of the instance that refused.
    pub instance: Option<HeaderName>,
    /// Whether upstreams repeat the request id in their answers. An answer with
    /// another id belongs to another call.
    pub echoes_request_id: bool,
    /// On each successful answer of an upstream: shows that the upstream made it.
    pub stamp: Option<HeaderName>,
    /// Whether `Retry-After` may have a fraction.
    pub fractional_retry_after: bool,
}

/// A heartbeat of an upstream, with its properties and state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Id of the instance.
    pub instance: String,
    /// When it started, in Unix milliseconds by its own clock, to tell apart incarnations
    /// with the same id; zero where it does not report it.
    pub start: u64,
    /// The service that it serves.
    pub service: String,
    /// Version of its software; empty where it does not report it.
    pub version: String,
    /// Address on which it accepts calls.
    pub address: SocketAddr,
    /// Number of calls that it runs at once.
    pub slots: u16,
    /// Whether it takes calls.
    pub readiness: Readiness,
    /// Increases with each report of this instance, so that a report that arrives late is
    /// recognised.
    pub sequence: u64,
    /// How much longer it stays slow after its start (cold).
    pub cold_for: Duration,
}

/// A report of an upstream about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Report {
    /// It is running.
    Announce(Announcement),
    /// It takes no more calls and will end. `start` is as in [`Announcement`]; zero means
    /// the incarnation that is known to the daemon.
    Leave { instance: String, start: u64 },
}

/// A complete version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// Number of the version; versions are totally ordered.
    pub version: Version,
    /// All configurations.
    pub configs: Vec<Config>,
    /// Selectors, which assign configurations to proxies.
    pub selectors: Vec<Selector>,
    /// Path of the health check of each service's upstreams.
    pub health_paths: BTreeMap<String, String>,
}

/// Why bytes cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// The bytes cannot be parsed; has the parser's message.
    Syntax(String),
    /// A field has a value that is not allowed.
    Field { field: &'static str, value: String },
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Malformed::Syntax(why) => write!(f, "cannot be parsed: {why}"),
            Malformed::Field { field, value } => write!(f, "field {field}: {value} is not allowed"),
        }
    }
}

impl std::error::Error for Malformed {}

/// The state of a rollout, as reported to the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutState {
    /// It is in progress.
    Running,
    /// It has completed; the old upstreams may be stopped at once.
    Completed,
    /// It was rolled back; the new upstreams get no calls.
    RolledBack,
}

/// The status of a rollout, as reported to the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutStatus {
    /// The service.
    pub service: String,
    /// The new version.
    pub target: String,
    /// State of the rollout.
    pub state: RolloutState,
}

/// The protocol of a platform.
pub trait Interface: Send + Sync {
    /// Returns the names of headers and the variations of the protocol.
    fn dialect(&self) -> &Dialect;

    /// Returns the key of the newest configuration, which is stored in one value.
    fn config_key(&self) -> &'static str;

    /// Returns the prefix of all keys that operators write: the configuration and orders.
    fn operator_prefix(&self) -> &'static str;

    /// Returns the prefix of the keys of orders; an order moves a service to a new version.
    fn order_prefix(&self) -> &'static str;

    /// Decodes an order that was written at `revision`.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the order.
    fn decode_order(&self, buf: &[u8], revision: Revision) -> Result<Order, Malformed>;

    /// Returns the key of the status of a service's rollout.
    fn rollout_status_key(&self, service: &str) -> String;

    /// Encodes the status of a rollout.
    fn encode_rollout_status(&self, status: &RolloutStatus) -> Vec<u8>;

    /// Decodes a configuration.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the configuration; no fault is repaired or skipped.
    fn decode_document(&self, buf: &[u8]) -> Result<Document, Malformed>;

    /// Decodes a report of an upstream, or returns `None` where method and path are not
    /// those of a report.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the body.
    fn decode_report(
        &self,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Result<Option<Report>, Malformed>;

    /// Returns whether a path is that of the daemon's readiness check.
    fn is_readiness_path(&self, path: &str) -> bool;
}
