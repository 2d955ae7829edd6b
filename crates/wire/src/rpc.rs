//! Requests between daemons.

use crate::WireError;
use cicadashift_core::config::delta::Delta;
use cicadashift_core::delivery::witness::Testimony;
use cicadashift_core::ids::{HostKey, Incarnation, ObjectHash, Revision, Version};
use cicadashift_core::membership::record::Record;
use cicadashift_core::membership::table::JournalPos;
use cicadashift_core::request::suspects::Suspicion;
use cicadashift_core::rollout::tally::{Quotas, Report};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

/// Path that requests are posted to.
pub const PATH: &str = "/mesh";
/// Header that carries [`crate::seal::MeshKey::token`].
pub const TOKEN_HEADER: &str = "cicadashift-token";
/// Largest message in bytes: one object of a megabyte and its frame.
pub const MAX_MESSAGE: usize = (1 << 20) + 4096;

/// Names a version and its root.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRef {
    /// Place in the total order.
    pub version: Version,
    /// Hash of its root.
    pub root: ObjectHash,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_ms: u64,
}

/// What is new in a version, small enough to travel with its offer.
///
/// Who holds the root of `base` makes the new root out of it and checks its hash;
/// who does not fetches the root. It saves two exchanges per host and change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ManifestDelta {
    /// Root that the slots change; absent where there is none to build on.
    pub base: Option<ObjectHash>,
    /// Positions in the root, as `Root::slots` counts them, with what is there now.
    pub slots: Vec<(u16, ObjectHash)>,
    /// Bytes of the pages named in `slots`, as far as they are small.
    pub pages: Vec<ByteBuf>,
}

/// What one daemon asks of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Hold this version, and pass it on to `rest`.
    Offer {
        #[serde(rename = "what")]
        version_ref: VersionRef,
        origin: HostKey,
        #[serde(rename = "news")]
        delta: ManifestDelta,
        rest: Vec<HostKey>,
    },
    /// Send these objects as far as they are held.
    Fetch { hashes: Vec<ObjectHash> },
    /// Promise this version as a witness.
    Promise { version: Version },
    /// Tell the fresh daemon `host` in its life `life` what it must not go below.
    Floor { host: HostKey, life: Incarnation },
    /// This version is safe to run; pass it on to `rest`.
    Activate {
        #[serde(rename = "what")]
        version_ref: VersionRef,
        rest: Vec<HostKey>,
    },
    /// Send what my table lacks; this is its outline, and these are records that you
    /// may lack.
    Sync { outline: Vec<(HostKey, u64)>, records: Vec<Record> },
    /// These are records that you asked for.
    #[serde(rename = "Tell")]
    PushRecords { records: Vec<Record> },
    /// Between failure domains: what changed since `since`, and what I know.
    Exchange {
        from: HostKey,
        life: Incarnation,
        since: JournalPos,
        records: Vec<Record>,
        newest: Option<VersionRef>,
    },
    /// Read the platform's head for me, beginning after this request.
    Head,
    /// Which version is active here?
    Current,
    /// Send what makes the configuration in force of the version `held`.
    Document { held: Version },
    /// What do you know of yourself, for `status`?
    Status,
    /// What do you know of organisations' quotas?
    Quotas,
    /// Add these rows to the delivery record.
    Record { rows: Vec<RecordRow> },
    /// These calls are suspected here of ending upstreams; which are there?
    Suspicions(Vec<Suspicion>),
    /// This is what upstreams of a service answered while it is rolled out.
    Rollout(Report),
}

/// How one host fared with an offer or activation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeliveryResult {
    /// Holds or runs the version.
    Done,
    /// Found it bad.
    Refused(String),
    /// Could not be reached or did not finish in time.
    Late,
}

/// The answer to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// To `Offer` and `Activate`: one row for each host below.
    #[serde(rename = "Fates")]
    DeliveryResults(Vec<(HostKey, DeliveryResult)>),
    /// To `Fetch`: those of the objects that are held.
    Objects(Vec<(ObjectHash, ByteBuf)>),
    /// To `Promise` and `Floor`: what the witness says, if it may speak.
    Testimony(Option<Testimony>),
    /// To `Sync`: what the other table lacks, and the hosts whose records this one
    /// lacks.
    Compared { records: Vec<Record>, wanted: Vec<HostKey>, active: Version, catalog: Vec<String> },
    /// To `Exchange`: what changed here since `since`, the position to ask from
    /// next, and the life it belongs to.
    Exchanged {
        life: Incarnation,
        records: Vec<Record>,
        pos: JournalPos,
        newest: Option<VersionRef>,
    },
    /// To `Head` and `Current`: nothing where it is not known.
    Version(Option<VersionRef>),
    /// To `Document`: nothing where no newer one is in force.
    Document(Option<Update>),
    /// To `Status`, as JSON, since it goes on to people.
    Status(String),
    /// To `Suspicions`: all of them.
    Suspicions(Vec<Suspicion>),
    /// To `Rollout`: since which step canaries count, and what each may be sent; nothing
    /// where the daemon does not decide.
    Quotas(Option<(u32, Quotas)>),
    /// Nothing to say.
    Done,
    /// Cannot be answered, and why.
    Declined(String),
}

/// A configuration for a member that lacks it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Its version.
    pub version: Version,
    /// Its position in the store, from which on the store can be watched.
    pub revision: Revision,
    /// Its text.
    pub body: UpdateBody,
}

/// The text of a configuration for a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpdateBody {
    /// All of it.
    #[serde(rename = "Whole")]
    Complete(ByteBuf),
    /// What differs from the version that the member holds.
    Changed(Delta),
}

/// One version's fate in one failure domain.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RecordRow {
    /// The version.
    pub version: Version,
    /// The failure domain.
    pub domain: String,
    /// When the operator accepted it, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// When the reader saw it.
    pub seen_ms: u64,
    /// When every live member held it, or nothing where one did not.
    pub staged_ms: Option<u64>,
    /// When every live member ran it, or nothing where one did not.
    pub run_ms: Option<u64>,
    /// Members it was offered to.
    pub offered: u32,
    /// Bytes sent and received for control by the reader's count since its start.
    pub control_bytes: u64,
    /// Those late or refusing, with the reason.
    pub late: Vec<(String, String)>,
}

/// Encodes a message.
///
/// # Panics
///
/// Does not: messages are plain data.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    rmp_serde::to_vec(message).expect("plain data always encodes")
}

/// Decodes a message.
///
/// # Errors
///
/// Returns [`WireError`] where the bytes are too many or not a `T`.
pub fn decode<T: for<'de> Deserialize<'de>>(buf: &[u8]) -> Result<T, WireError> {
    if buf.len() > MAX_MESSAGE {
        return Err(WireError::TooLarge { got: buf.len(), most: MAX_MESSAGE });
    }
    rmp_serde::from_slice(buf).map_err(|err| WireError::Malformed(err.to_string()))
}
