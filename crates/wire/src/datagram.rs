//! Datagrams between daemons: probes and gossip.

use crate::WireError;
use crate::seal::MeshKey;
use cicadashift_core::ids::{HostKey, Version};
use cicadashift_core::limit::{Grant, Notice, Usage};
use cicadashift_core::membership::departures::Departure;
use cicadashift_core::membership::record::Record;
use cicadashift_core::request::suspects::Suspicion;
use serde::{Deserialize, Serialize};

/// Largest datagram sent or accepted, in bytes.
pub const MAX_DATAGRAM: usize = 8192;

/// A datagram, with the data that is piggybacked on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// The sender.
    pub from: HostKey,
    /// Purpose of the datagram.
    pub kind: Kind,
    /// The highest version that the sender knows to be active. A receiver that runs a
    /// lower one has missed an activation.
    pub active: Version,
    /// Whether the sender follows the store itself, so that `active` is the version in
    /// the store.
    #[serde(rename = "follows")]
    pub follows_store: bool,
    /// Digest of the sender's membership table.
    pub digest: u64,
    /// Records that are piggybacked.
    pub records: Vec<Record>,
    /// Summary of the calls that the sender suspects of ending upstreams.
    #[serde(rename = "suspects")]
    pub suspicions_summary: u64,
    /// Suspicions that are piggybacked.
    pub suspicions: Vec<Suspicion>,
    /// Usage reports on limits whose keeper is the receiver.
    pub usages: Vec<Usage>,
    /// Grants to the receiver under limits whose keeper is the sender. Beside usage reports,
    /// the reduced shares by which the sender admits.
    pub grants: Vec<Grant>,
    /// Grants of throttled limits, which the receiver forwards.
    pub notice: Option<Notice>,
}

/// The purpose of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Asks for an [`Kind::Ack`].
    Ping,
    /// Answers a ping.
    Ack,
    /// Asks the receiver to ping `target` for the sender.
    PingFor { target: HostKey },
    /// Reports that `target` answered.
    AckFor { target: HostKey },
    /// Carries piggybacked data and needs no answer.
    News,
    /// Tells which upstreams are leaving. A kind of its own, since daemons that do not know
    /// it discard the datagram and can still decode all others.
    Departures(Vec<Departure>),
    /// Asks whether the receiver has the sender as a keeper of limits.
    CheckKeeper,
    /// Says so.
    ConfirmKeeper,
}

impl Datagram {
    /// Encodes the datagram and appends its seal.
    ///
    /// # Panics
    ///
    /// Never: a datagram is plain data, which always encodes.
    pub fn encode(&self, key: &MeshKey) -> Vec<u8> {
        let mut buf = rmp_serde::to_vec(self).expect("plain data always encodes");
        key.seal(&mut buf);
        buf
    }

    /// Checks the seal and decodes the datagram.
    ///
    /// # Errors
    ///
    /// Returns [`WireError`] where the datagram is too long, its seal is not made with
    /// `key`, or its contents cannot be decoded.
    pub fn decode(buf: &[u8], key: &MeshKey) -> Result<Datagram, WireError> {
        if buf.len() > MAX_DATAGRAM {
            return Err(WireError::TooLarge { got: buf.len(), max: MAX_DATAGRAM });
        }
        let body = key.open(buf).ok_or(WireError::BadSeal)?;
        rmp_serde::from_slice(body).map_err(|err| WireError::Malformed(err.to_string()))
    }
}
