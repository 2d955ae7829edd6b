//! The context of a forwarded call, and the headers that callers and upstreams
//! see.

use crate::{WireError, rpc};
use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use cicadashift_core::config::Priority;
use cicadashift_core::ids::{CallDigest, Version};
use serde::{Deserialize, Serialize};

/// Header between daemons that carries a [`Context`].
pub const CONTEXT: &str = "cicadashift-call";
/// Names the call from end to end; made by the entry daemon if absent.
pub const REQUEST_ID: &str = "cicadashift-request-id";
/// Milliseconds left of the call's deadline. Upstreams pass it on with calls of
/// their own.
pub const DEADLINE: &str = "cicadashift-deadline-ms";
/// Attempts left to calls below this one. Upstreams pass it on.
pub const ATTEMPTS: &str = "cicadashift-attempts";
/// Names the caller for fairness.
pub const CALLER: &str = "cicadashift-caller";
/// Names the organisation that sent the call, on what goes to upstreams.
pub const ORGANISATION: &str = "cicadashift-organisation";
/// On answers without a whole answer of an upstream: `not-run` or `unknown`. An
/// upstream may say `not-run` itself on a 503 when it sheds.
pub const OUTCOME: &str = "cicadashift-outcome";
/// Value of [`OUTCOME`]: the call certainly did not run.
pub const NOT_RUN: &str = "not-run";
/// Value of [`OUTCOME`]: the call may have run.
pub const UNKNOWN: &str = "unknown";
/// Why, in one word, on refusals.
pub const REASON: &str = "cicadashift-reason";
/// Value of [`REASON`]: the upstream ended while it ran the call.
pub const UPSTREAM_ENDED: &str = "upstream-ended";
/// Value of [`REASON`]: the call ends the upstreams that run it.
pub const QUARANTINED: &str = "quarantined";
/// Value of [`REASON`]: the call may end the upstreams that run it; it runs as a trial only.
pub const DISPUTED: &str = "disputed";
/// Milliseconds after which to come back; finer than `Retry-After`.
pub const RETRY_AFTER_MS: &str = "cicadashift-retry-after-ms";
/// On answers between daemons: calls now at the upstream and waiting for it.
pub const LOAD: &str = "cicadashift-load";
/// On answers between daemons: calls in a thousand that the upstream takes of those
/// sent to it.
pub const ACCEPT_RATIO: &str = "cicadashift-accepts";
/// On an upstream's answer: calls a second that it takes from all hosts together.
pub const LIMIT: &str = "cicadashift-limit";
/// On an upstream's answer: it takes no new calls.
pub const LEAVING: &str = "cicadashift-leaving";
/// On answers between daemons: the upstream takes no new calls until it starts anew. The
/// value is its start, zero where that is not known.
pub const LEAVING_START: &str = "cicadashift-leaving-start";
/// On answers between daemons: the limit that the upstream names, in thousandths of a
/// call a second.
pub const LIMIT_THOUSANDTHS: &str = "cicadashift-limit-thousandths";
/// On answers between daemons: milliseconds after which to ask the upstream again, where
/// it names a limit.
pub const NEXT_TOKEN_MS: &str = "cicadashift-next-token-ms";
/// On answers between daemons: microseconds from sending to the upstream to the
/// head of its answer.
pub const SERVICE_US: &str = "cicadashift-service-us";
/// On answers between daemons: milliseconds that one more large answer of the
/// usual size would take to leave the exit daemon's host.
pub const LINK_MS: &str = "cicadashift-link-ms";
/// Every header of ours starts with this; those from outside that are not
/// listed for callers are removed.
pub const PREFIX: &str = "cicadashift-";

/// Longest encoded context in bytes.
const MAX_CONTEXT: usize = 1024;

/// What the exit daemon needs to know of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Context {
    /// Names the call in logs.
    pub request_id: String,
    /// The chosen instance.
    pub instance: String,
    /// Milliseconds left of the deadline when it was sent.
    pub deadline_ms: u32,
    /// Milliseconds left of the time in which an answer is worth most.
    pub objective_ms: u32,
    /// Milliseconds for which the link of the exit daemon's host may be busy for a
    /// large answer to be taken on.
    #[serde(rename = "link_most_ms")]
    pub max_link_backlog_ms: u32,
    /// Milliseconds that it may be expected to wait for a slot.
    #[serde(rename = "wait_most_ms")]
    pub max_slot_wait_ms: u32,
    /// Names what it asks for, whatever its id.
    pub digest: CallDigest,
    /// From its route.
    pub priority: Priority,
    /// Names the caller for fairness.
    pub caller: u64,
    /// Names the kind of call, for what its time is known from.
    pub call_kind: u64,
    /// Service of the host on which the call began; empty where it is not told.
    pub caller_service: String,
    /// Organisation that sent the call; empty where none did.
    pub organisation: String,
    /// Attempts left to calls that the upstream makes.
    pub attempts: u32,
    /// The configuration version that routed it.
    pub version: Version,
    /// Whether it is the one trial of a call that may end upstreams.
    pub is_trial: bool,
    /// The limit that the upstream named when the sender last heard, in thousandths of a
    /// call a second.
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
    /// Returns [`WireError`] where it is too long or not a context.
    pub fn from_header(value: &[u8]) -> Result<Context, WireError> {
        if value.len() > MAX_CONTEXT {
            return Err(WireError::TooLarge { got: value.len(), most: MAX_CONTEXT });
        }
        let buf =
            STANDARD_NO_PAD.decode(value).map_err(|err| WireError::Malformed(err.to_string()))?;
        rpc::decode(&buf)
    }
}
