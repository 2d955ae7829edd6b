//! The context of a forwarded call, and the headers between daemons, callers and
//! upstreams.

use crate::{WireError, rpc};
use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use cicadashift_core::config::Priority;
use cicadashift_core::ids::{CallDigest, Version};
use cicadashift_core::request::machine::PaceReport;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Header between daemons that carries a [`Context`].
pub const CONTEXT: &str = "cicadashift-call";
/// Identifies a call from the caller to the upstream; the entry daemon sets it if absent.
pub const REQUEST_ID: &str = "cicadashift-request-id";
/// Milliseconds left until the call's deadline. Upstreams pass it on with the calls that
/// they make for this one.
pub const DEADLINE: &str = "cicadashift-deadline-ms";
/// Attempts left for the calls that an upstream makes for this one. Upstreams pass it on
/// with those calls.
pub const ATTEMPTS: &str = "cicadashift-attempts";
/// Identifies the caller for fair queueing.
pub const CALLER: &str = "cicadashift-caller";
/// Name of the organisation that sent the call, on requests to upstreams.
pub const ORGANISATION: &str = "cicadashift-organisation";
/// On answers that do not contain a complete answer of an upstream: `not-run` or
/// `unknown`. An upstream that sheds load may itself set `not-run` on a 503.
pub const OUTCOME: &str = "cicadashift-outcome";
/// Value of [`OUTCOME`]: the call certainly did not run.
pub const NOT_RUN: &str = "not-run";
/// Value of [`OUTCOME`]: the call may have run.
pub const UNKNOWN: &str = "unknown";
/// Reason for a refusal, as a short code.
pub const REASON: &str = "cicadashift-reason";
/// Value of [`REASON`]: the upstream process ended while it ran the call.
pub const UPSTREAM_ENDED: &str = "upstream-ended";
/// Value of [`REASON`]: the call ends the upstreams that run it (a query of death).
pub const QUARANTINED: &str = "quarantined";
/// Value of [`REASON`]: the call may end the upstreams that run it, so it runs only as a
/// trial.
pub const DISPUTED: &str = "disputed";
/// Milliseconds after which to retry; finer than `Retry-After`.
pub const RETRY_AFTER_MS: &str = "cicadashift-retry-after-ms";
/// On answers between daemons: calls running at the upstream and queued for it.
pub const LOAD: &str = "cicadashift-load";
/// On answers between daemons: of a thousand calls sent to the upstream, how many it
/// accepts.
pub const ACCEPT_RATIO: &str = "cicadashift-accepts";
/// On answers between daemons: pace of the upstream's machine in per cent, and the age of the
/// upstream's report in milliseconds, separated by a comma.
pub const PACE: &str = "cicadashift-pace";
/// On calls between daemons: the exit daemon refuses the call if the upstream's machine is
/// slow at the moment, since another upstream can take it.
pub const MAY_REDIRECT: &str = "cicadashift-may-redirect";
/// Value of [`REASON`]: the upstream's machine is slow at the moment.
pub const SLOW_HOST: &str = "slow-host";
/// On an upstream's answer: calls per second that it accepts from all hosts together.
pub const LIMIT: &str = "cicadashift-limit";
/// On an upstream's answer: it takes no new calls.
pub const LEAVING: &str = "cicadashift-leaving";
/// On answers between daemons: the upstream takes no new calls until it restarts. The
/// value is the time of its last start, zero where that is not known.
pub const LEAVING_START: &str = "cicadashift-leaving-start";
/// On answers between daemons: the limit that the upstream names, in thousandths of a
/// call per second.
pub const LIMIT_THOUSANDTHS: &str = "cicadashift-limit-thousandths";
/// On answers between daemons: milliseconds until the upstream's rate limit has its next
/// token, where it names a limit.
pub const NEXT_TOKEN_MS: &str = "cicadashift-next-token-ms";
/// On answers between daemons: microseconds from sending the call to the upstream until
/// the head of its answer arrived.
pub const SERVICE_US: &str = "cicadashift-service-us";
/// On answers between daemons: milliseconds that another large answer of the usual size
/// would take to be sent over the link of the exit daemon's host.
pub const LINK_MS: &str = "cicadashift-link-ms";
/// On answers between daemons: the kind of call is taken for nested calls of the service at
/// whose host it entered.
pub const NESTED: &str = "cicadashift-nested";
/// On answers between daemons: of a thousand calls of this kind, how many the host admits for
/// the sake of their nested calls; absent where it admits all.
pub const LEVEL: &str = "cicadashift-level";
/// On calls between daemons: the entry daemon admitted the call by the levels that it knows.
pub const ADMITTED: &str = "cicadashift-admitted";
/// Prefix of all headers of this product. Headers with this prefix that come from outside
/// the mesh and are not meant for callers are removed.
pub const PREFIX: &str = "cicadashift-";

/// Longest encoded context in bytes.
const MAX_CONTEXT: usize = 1024;

/// Encodes a pace as the value of [`PACE`].
pub fn pace_to_header(pace: PaceReport) -> String {
    format!("{},{}", pace.per_cent, pace.age.as_millis())
}

/// Decodes the value of [`PACE`]; `None` if it is malformed.
pub fn pace_from_header(value: &str) -> Option<PaceReport> {
    let (per_cent, age_ms) = value.split_once(',')?;
    let age = Duration::from_millis(age_ms.parse().ok()?);
    Some(PaceReport { per_cent: per_cent.parse().ok()?, age })
}

/// The properties of a call that the exit daemon needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Context {
    /// Id of the call, also in logs.
    pub request_id: String,
    /// The chosen instance.
    pub instance: String,
    /// Milliseconds left until the deadline when the call was sent.
    pub deadline_ms: u32,
    /// Milliseconds left until the latency objective when the call was sent.
    pub objective_ms: u32,
    /// Longest backlog of the exit daemon's link, in milliseconds, at which a call with a
    /// large answer is still accepted.
    #[serde(rename = "link_most_ms")]
    pub max_link_backlog_ms: u32,
    /// Longest expected wait for a slot, in milliseconds, at which the call is accepted.
    #[serde(rename = "wait_most_ms")]
    pub max_slot_wait_ms: u32,
    /// Digest of the request; the same for each copy of it, whatever its id.
    pub digest: CallDigest,
    /// Priority from the route.
    pub priority: Priority,
    /// Identifies the caller for fair queueing.
    pub caller: u64,
    /// Identifies the kind of call, by which service times are measured.
    pub call_kind: u64,
    /// Service of the host on which the call began; empty where it is not known.
    pub caller_service: String,
    /// Organisation that sent the call; empty where none did.
    pub organisation: String,
    /// Attempts left for the calls that the upstream makes for this one.
    pub attempts: u32,
    /// Version of the configuration that routed the call.
    pub version: Version,
    /// Whether this is the trial of a call that may end upstreams; one trial runs at a time.
    pub is_trial: bool,
    /// The limit that the upstream named in the last answer that the sender received, in
    /// thousandths of a call per second.
    pub limit_thousandths: Option<u32>,
}

impl Context {
    /// Encodes as a header value.
    pub fn to_header(&self) -> String {
        STANDARD_NO_PAD.encode(rpc::encode(self))
    }

    /// Decodes a header value.
    ///
    /// # Errors
    ///
    /// Returns [`WireError`] where the value is too long or not a context.
    pub fn from_header(value: &[u8]) -> Result<Context, WireError> {
        if value.len() > MAX_CONTEXT {
            return Err(WireError::TooLarge { got: value.len(), max: MAX_CONTEXT });
        }
        let buf =
            STANDARD_NO_PAD.decode(value).map_err(|err| WireError::Malformed(err.to_string()))?;
        rpc::decode(&buf)
    }
}
