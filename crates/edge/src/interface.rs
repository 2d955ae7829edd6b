//! The form in which callers, upstreams and operators speak.

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

/// Names of the headers that callers and upstreams use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dialect {
    /// Names a call; the same towards caller and upstream.
    pub request_id: HeaderName,
    /// Milliseconds that the sender will wait.
    pub deadline_ms: HeaderName,
    /// Tells the upstream on whose host the call began.
    pub caller_service: Option<HeaderName>,
    /// Tells the upstream which organisation sent the call.
    pub organisation: HeaderName,
    /// Tells the upstream which instance is meant; another one must refuse.
    pub expected_instance: Option<HeaderName>,
    /// On an upstream's answer: it did not run the call.
    pub not_run: HeaderName,
    /// On an upstream's answer: calls running, waiting, and slots, in this order.
    pub load: Option<HeaderName>,
    /// On an upstream's answer: calls a second that it takes from all hosts together.
    pub limit: HeaderName,
    /// On an upstream's answer: it leaves and takes no new calls.
    pub leaving: HeaderName,
    /// On an upstream's refusal: which instance it is.
    pub instance: Option<HeaderName>,
    /// Whether upstreams repeat the request id in their answers. An answer with
    /// another id belongs to another call.
    pub echoes_request_id: bool,
    /// Whether `Retry-After` may have a fraction.
    pub fractional_retry_after: bool,
}

/// What an upstream tells of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// The instance's name.
    pub instance: String,
    /// When it started, in Unix milliseconds by its own clock, to tell apart starts
    /// under one name; zero where it does not tell.
    pub start: u64,
    /// The service that it serves.
    pub service: String,
    /// Version of its software; empty where it does not tell.
    pub version: String,
    /// Where it serves.
    pub address: SocketAddr,
    /// Calls that it runs at once.
    pub slots: u16,
    /// Whether it takes work.
    pub readiness: Readiness,
    /// Rises with each report of this instance, so that a late one is known.
    pub sequence: u64,
    /// How much longer it stays slow after its start.
    pub cold_for: Duration,
}

/// A call of an upstream about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Report {
    /// It runs.
    Announce(Announcement),
    /// It takes no more work and will end; `start` as in [`Announcement`], zero for
    /// whichever start is known.
    Leave { instance: String, start: u64 },
}

/// One whole version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// Its place in the order of versions.
    pub version: Version,
    /// All configurations.
    pub configs: Vec<Config>,
    /// Which of them reach whom.
    pub selectors: Vec<Selector>,
    /// Path by which each service's upstreams tell how they are.
    pub health_paths: BTreeMap<String, String>,
}

/// Why bytes are not what they should be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// The bytes do not parse; carries the parser's words.
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

/// How far a rollout is, as the operator acts on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutState {
    /// It is under way.
    Running,
    /// The old upstreams may be stopped at once.
    Completed,
    /// The new upstreams get nothing.
    RolledBack,
}

/// What the operator reads of a rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutStatus {
    /// The service.
    pub service: String,
    /// The new version.
    pub target: String,
    /// How far it is.
    pub state: RolloutState,
}

/// A platform's own way of speaking.
pub trait Interface: Send + Sync {
    /// Returns the names of headers.
    fn dialect(&self) -> &Dialect;

    /// Returns the key under which the newest configuration lies whole.
    fn config_key(&self) -> &'static str;

    /// Returns the prefix of all keys that operators write, the configuration's and
    /// those of orders.
    fn operator_prefix(&self) -> &'static str;

    /// Returns the prefix of the keys of orders to move a service to a new version.
    fn order_prefix(&self) -> &'static str;

    /// Decodes such an order, which was written at `revision`.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    fn decode_order(&self, buf: &[u8], revision: Revision) -> Result<Order, Malformed>;

    /// Returns the key of what the operator reads of a service's rollout.
    fn rollout_status_key(&self, service: &str) -> String;

    /// Encodes what the operator reads of a rollout.
    fn encode_rollout_status(&self, status: &RolloutStatus) -> Vec<u8>;

    /// Decodes a configuration.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it; nothing is repaired.
    fn decode_document(&self, buf: &[u8]) -> Result<Document, Malformed>;

    /// Decodes a call of an upstream, or returns `None` where the path is not
    /// one for such calls.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the call's body.
    fn decode_report(
        &self,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Result<Option<Report>, Malformed>;

    /// Returns whether a path asks if the daemon takes work.
    fn is_readiness_path(&self, path: &str) -> bool;
}
