//! Probes and gossip.

use crate::WireError;
use crate::seal::MeshKey;
use cicadashift_core::ids::{HostKey, Version};
use cicadashift_core::limit::{Grant, Notice, Usage};
use cicadashift_core::membership::record::Record;
use cicadashift_core::request::suspects::Suspicion;
use serde::{Deserialize, Serialize};

/// Largest datagram sent or taken in, in bytes.
pub const MAX_DATAGRAM: usize = 8192;

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Who sends it.
    pub from: HostKey,
    /// What it is for.
    pub kind: Kind,
    /// The highest version that the sender knows to be active; a receiver that
    /// runs less knows that it missed something.
    pub active: Version,
    /// Whether the sender follows the store itself, so that `active` is what the
    /// store has.
    #[serde(rename = "follows")]
    pub follows_store: bool,
    /// Digest of the sender's table.
    pub digest: u64,
    /// News that rides along.
    pub records: Vec<Record>,
    /// Summary of the calls that the sender suspects of ending upstreams.
    #[serde(rename = "suspects")]
    pub suspicions_summary: u64,
    /// News of such calls.
    pub suspicions: Vec<Suspicion>,
    /// What the sender saw of limits that the receiver keeps.
    pub usages: Vec<Usage>,
    /// What the receiver may admit under limits that the sender keeps.
    pub grants: Vec<Grant>,
    /// Limits that are held back, to be passed on.
    pub notice: Option<Notice>,
}

/// What a datagram is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Asks for an [`Kind::Ack`].
    Ping,
    /// Answers a ping.
    Ack,
    /// Asks to ping `target` for the sender.
    PingFor { target: HostKey },
    /// Says that `target` answered.
    AckFor { target: HostKey },
    /// Only brings news.
    News,
}

impl Datagram {
    /// Encodes and seals.
    ///
    /// # Panics
    ///
    /// Does not: a datagram is plain data.
    pub fn encode(&self, key: &MeshKey) -> Vec<u8> {
        let mut buf = rmp_serde::to_vec(self).expect("plain data always encodes");
        key.seal(&mut buf);
        buf
    }

    /// Checks the seal and decodes.
    ///
    /// # Errors
    ///
    /// Returns [`WireError`] for anything that a holder of the key did not send.
    pub fn decode(buf: &[u8], key: &MeshKey) -> Result<Datagram, WireError> {
        if buf.len() > MAX_DATAGRAM {
            return Err(WireError::TooLarge { got: buf.len(), most: MAX_DATAGRAM });
        }
        let body = key.open(buf).ok_or(WireError::BadSeal)?;
        rmp_serde::from_slice(body).map_err(|err| WireError::Malformed(err.to_string()))
    }
}
