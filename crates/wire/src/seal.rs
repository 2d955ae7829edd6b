//! Proof that a message comes from a holder of the mesh key.
//!
//! The proof is an HMAC-SHA-256 from a library, truncated to sixteen bytes. It rejects
//! messages from outside the mesh and from other meshes. It encrypts nothing, and an
//! attacker who can record traffic can replay a datagram; since every receiver
//! ignores old records, a replay changes nothing. See `docs/DESIGN.md`,
//! "What is trusted".

use cicadashift_core::ids::CallDigest;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Length of a datagram's seal in bytes.
pub const SEAL_BYTES: usize = 16;

const DIGEST_CONTEXT: &[u8] = b"cicadashift call digest 1";
const TOKEN_CONTEXT: &[u8] = b"cicadashift mesh token 1";

/// The key that all daemons of one mesh share.
#[derive(Clone)]
pub struct MeshKey {
    mac: Hmac<Sha256>,
    token: String,
}

impl MeshKey {
    /// Makes the key from the secret in the settings.
    ///
    /// # Panics
    ///
    /// Never: HMAC takes keys of any length.
    pub fn new(secret: &str) -> MeshKey {
        let mac = Hmac::<Sha256>::new_from_slice(secret.as_bytes()).expect("any length is a key");
        let token = mac.clone().chain_update(TOKEN_CONTEXT).finalize().into_bytes();
        let token = token[..SEAL_BYTES].iter().map(|byte| format!("{byte:02x}")).collect();
        MeshKey { mac, token }
    }

    /// Returns the header value that proves that the sender has the key.
    pub fn token(&self) -> &str {
        &self.token
    }

    /// Returns whether a header value is the token; compares in constant time.
    pub fn accepts_token(&self, value: &[u8]) -> bool {
        let token = self.token.as_bytes();
        let differ = token.iter().zip(value).fold(0, |acc, (a, b)| acc | (a ^ b));
        value.len() == token.len() && differ == 0
    }

    /// Returns the digest of a call's parts.
    ///
    /// The digest is keyed, so that a caller cannot construct a call whose digest is that
    /// of another caller's call. It is the same at all holders of the key.
    pub fn digest(&self, parts: &[&[u8]]) -> CallDigest {
        let mut mac = self.mac.clone().chain_update(DIGEST_CONTEXT);
        for part in parts {
            mac.update(&(part.len() as u64).to_le_bytes());
            mac.update(part);
        }
        let tag = mac.finalize().into_bytes();
        CallDigest(u64::from_le_bytes(std::array::from_fn(|i| tag[i])))
    }

    /// Appends the seal to a datagram's contents.
    pub fn seal(&self, buf: &mut Vec<u8>) {
        let tag = self.mac.clone().chain_update(&*buf).finalize().into_bytes();
        buf.extend_from_slice(&tag[..SEAL_BYTES]);
    }

    /// Returns a datagram's contents if its seal is valid.
    pub fn open<'a>(&self, buf: &'a [u8]) -> Option<&'a [u8]> {
        let (body, tag) = buf.split_at_checked(buf.len().checked_sub(SEAL_BYTES)?)?;
        self.mac.clone().chain_update(body).verify_truncated_left(tag).ok()?;
        Some(body)
    }
}
