//! Requests between daemons, and their responses.

use crate::WireError;
use cicadashift_core::config::delta::{Delta, Signature};
use cicadashift_core::delivery::witness::Testimony;
use cicadashift_core::ids::{HostKey, Incarnation, ObjectHash, Revision, Version};
use cicadashift_core::membership::departures::Departure;
use cicadashift_core::membership::record::Record;
use cicadashift_core::membership::table::JournalPos;
use cicadashift_core::request::suspects::Suspicion;
use cicadashift_core::rollout::tally::{Quotas, Report};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

/// Path of requests between daemons (method `POST`).
pub const PATH: &str = "/mesh";
/// Header that carries [`crate::seal::MeshKey::token`].
pub const TOKEN_HEADER: &str = "cicadashift-token";
/// Largest message in bytes: one object of a megabyte and the encoding around it.
pub const MAX_MESSAGE: usize = (1 << 20) + 4096;

/// Reference to a version and its root.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRef {
    /// Number of the version; versions are totally ordered.
    pub version: Version,
    /// Hash of the root of its manifest.
    pub root: ObjectHash,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_ms: u64,
}

/// Changes of a version's manifest, small enough to be sent with the offer.
///
/// A daemon that holds the root `base` computes the new root from it and checks the hash;
/// any other daemon fetches the root. This saves two exchanges per host and change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ManifestDelta {
    /// Root that the changes apply to; absent where there is none.
    pub base: Option<ObjectHash>,
    /// Changed positions in the root, as indices into `Root::page_hashes`, with the
    /// new hashes.
    pub slots: Vec<(u16, ObjectHash)>,
    /// Contents of those pages named in `slots` that are small.
    pub pages: Vec<ByteBuf>,
}

/// A request of one daemon to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Fetch and hold this version, and forward the offer to `rest`.
    Offer {
        #[serde(rename = "what")]
        version_ref: VersionRef,
        origin: HostKey,
        #[serde(rename = "news")]
        delta: ManifestDelta,
        rest: Vec<HostKey>,
    },
    /// Send those of these objects that are held.
    Fetch { hashes: Vec<ObjectHash> },
    /// Promise this version as a witness.
    Promise { version: Version },
    /// Return, as a witness, the version that the daemon `host`, which has just started in
    /// the incarnation `life`, must not go below.
    Floor { host: HostKey, life: Incarnation },
    /// Run this version, which is safe to run, and forward this to `rest`.
    Activate {
        #[serde(rename = "what")]
        version_ref: VersionRef,
        rest: Vec<HostKey>,
    },
    /// Compare membership tables: `outline` summarises the sender's table, and `records`
    /// are some that the receiver may lack. The response has the records that the sender
    /// lacks.
    Sync { outline: Vec<(HostKey, u64)>, records: Vec<Record> },
    /// Add these records, which the receiver asked for in [`Response::Compared`].
    #[serde(rename = "Tell")]
    PushRecords { records: Vec<Record> },
    /// Between failure domains: send the records that changed since `since`. `records` and
    /// `newest` are the sender's own changes and its newest complete version.
    Exchange {
        from: HostKey,
        life: Incarnation,
        since: JournalPos,
        records: Vec<Record>,
        newest: Option<VersionRef>,
    },
    /// Read the platform's head, beginning after this request arrived, and return it.
    Head,
    /// Return the active version.
    Current,
    /// Send the complete text of the configuration in force, if it is newer than `held`.
    Document { held: Version },
    /// Return the daemon's own status, for the command `status`.
    Status,
    /// Return the state of the organisations' quotas.
    Quotas,
    /// Add these rows to the delivery record.
    Record { rows: Vec<RecordRow> },
    /// Merge the sender's suspicions of calls that end upstreams, and return all that the
    /// receiver has.
    Suspicions(Vec<Suspicion>),
    /// Report on the answers of a service's upstreams during a rollout.
    Rollout(Report),
    /// Send an update from the version `held`, whose text has this signature, to the
    /// configuration in force.
    DocumentDelta { held: Version, signature: Signature },
    /// Remember that these upstreams are leaving, and return those of the host `host` that
    /// are.
    Departures { host: HostKey, departures: Vec<Departure> },
}

/// The result of an offer or activation at one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeliveryResult {
    /// The host holds or runs the version.
    Done,
    /// The host rejected the version as invalid, with the reason.
    Refused(String),
    /// The host could not be reached or did not finish in time.
    Late,
}

/// The response to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// To `Offer` and `Activate`: one result for the host itself and for each host that the
    /// request was forwarded to.
    #[serde(rename = "Fates")]
    DeliveryResults(Vec<(HostKey, DeliveryResult)>),
    /// To `Fetch`: those of the requested objects that are held.
    Objects(Vec<(ObjectHash, ByteBuf)>),
    /// To `Promise` and `Floor`: the testimony of the witness, if it may give one.
    Testimony(Option<Testimony>),
    /// To `Sync`: records that the requester's table lacks, and the hosts whose records are
    /// wanted from it.
    Compared { records: Vec<Record>, wanted: Vec<HostKey>, active: Version, catalog: Vec<String> },
    /// To `Exchange`: the records that changed since `since`, the position to ask from
    /// next, and the incarnation whose journal the position belongs to.
    Exchanged {
        life: Incarnation,
        records: Vec<Record>,
        pos: JournalPos,
        newest: Option<VersionRef>,
    },
    /// To `Head` and `Current`: the version, `None` where it is not known.
    Version(Option<VersionRef>),
    /// To `Document` and `DocumentDelta`: the update, `None` where no newer version is in force.
    Document(Option<Update>),
    /// To `Status` and `Quotas`: JSON, since operators read it.
    Status(String),
    /// To `Suspicions`: all suspicions of the receiver.
    Suspicions(Vec<Suspicion>),
    /// To `Rollout`: the step since which answers of canaries count, and the quota of calls
    /// for each canary; `None` where the daemon is not the decider.
    Quotas(Option<(u32, Quotas)>),
    /// The request is done; there is nothing to return.
    Done,
    /// The request cannot be answered, with the reason.
    Declined(String),
    /// To `Departures`: the upstreams of the host that are leaving.
    Departures(Vec<Departure>),
}

/// An update of a member to the configuration in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Version of the configuration.
    pub version: Version,
    /// Revision in the store at which it was written; a watch of the store can start there.
    pub revision: Revision,
    /// Text of the configuration.
    pub body: UpdateBody,
}

/// The text of a configuration, complete or as a delta.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpdateBody {
    /// The complete text.
    #[serde(rename = "Whole")]
    Complete(ByteBuf),
    /// The delta from the text that the member holds.
    Changed(Delta),
}

/// The delivery of one version in one failure domain, as a row of the delivery record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RecordRow {
    /// The version.
    pub version: Version,
    /// The failure domain.
    pub domain: String,
    /// When the operator accepted it, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// When the reader first read it.
    pub seen_ms: u64,
    /// When every live member held it; `None` where a member did not.
    pub staged_ms: Option<u64>,
    /// When every live member ran it; `None` where a member did not.
    pub run_ms: Option<u64>,
    /// Number of members that it was offered to.
    pub offered: u32,
    /// Bytes of control traffic that the reader sent and received from reading the version
    /// until it finished this row.
    pub control_bytes: u64,
    /// Members that were late or rejected it, by name, with the reason.
    pub late: Vec<(String, String)>,
}

/// Encodes a message.
///
/// # Panics
///
/// Never: messages are plain data, which always encodes.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    rmp_serde::to_vec(message).expect("plain data always encodes")
}

/// Decodes a message.
///
/// # Errors
///
/// Returns [`WireError`] where there are more than [`MAX_MESSAGE`] bytes, or they do not
/// encode a `T`.
pub fn decode<T: for<'de> Deserialize<'de>>(buf: &[u8]) -> Result<T, WireError> {
    if buf.len() > MAX_MESSAGE {
        return Err(WireError::TooLarge { got: buf.len(), max: MAX_MESSAGE });
    }
    rmp_serde::from_slice(buf).map_err(|err| WireError::Malformed(err.to_string()))
}
