//! Small `Copy` keys.
//!
//! Hosts, failure domains and objects are named by operators with strings of
//! any length, yet they are compared and stored on every message. Each is
//! reduced once, where it enters the process, to a fixed-size hash.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::cmp::Ordering;
use std::fmt;

/// Number of bytes kept of a SHA-256 when objects are named.
///
/// Sixteen bytes keep accidental collisions out of reach while a manifest root
/// stays under one kilobyte. Forged objects are kept out by the mesh key, not
/// by this hash; see `docs/DESIGN.md`, "What is trusted".
pub const HASH_BYTES: usize = 16;

/// Names an immutable object by its contents.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ObjectHash([u8; HASH_BYTES]);

impl ObjectHash {
    /// Returns the name of an object with these bytes.
    ///
    /// # Examples
    ///
    /// ```
    /// use cicadashift_core::ids::ObjectHash;
    /// assert_eq!(ObjectHash::of(b"a"), ObjectHash::of(b"a"));
    /// assert_ne!(ObjectHash::of(b"a"), ObjectHash::of(b"b"));
    /// ```
    pub fn of(buf: &[u8]) -> ObjectHash {
        let digest = Sha256::digest(buf);
        let mut out = [0; HASH_BYTES];
        out.copy_from_slice(&digest[..HASH_BYTES]);
        ObjectHash(out)
    }

    /// Parses the form that [`fmt::Display`] writes, or returns `None`.
    pub fn from_hex(text: &str) -> Option<ObjectHash> {
        if text.len() != HASH_BYTES * 2 || !text.is_ascii() {
            return None;
        }
        let mut out = [0; HASH_BYTES];
        for (i, byte) in out.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[i * 2..i * 2 + 2], 16).ok()?;
        }
        Some(ObjectHash(out))
    }
}

impl fmt::Display for ObjectHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for ObjectHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Names a host, and with it the one daemon that runs there.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Debug, Default,
)]
pub struct HostKey(pub u64);

impl HostKey {
    /// Returns the key of the host with this name.
    pub fn of(name: &str) -> HostKey {
        HostKey(hash64(name))
    }
}

/// Names what a call asks for: calls with the same contents have the same digest,
/// whichever id they carry and whichever host they come to.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default)]
pub struct CallDigest(pub u64);

impl CallDigest {
    /// Parses the form that [`fmt::Display`] writes, or returns `None`.
    pub fn from_hex(text: &str) -> Option<CallDigest> {
        let is_hex = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        is_hex.then(|| u64::from_str_radix(text, 16).ok().map(CallDigest)).flatten()
    }
}

impl fmt::Display for CallDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Debug for CallDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Names one start of one upstream.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Debug, Default,
)]
pub struct IncarnationKey(pub u64);

impl IncarnationKey {
    /// Returns the key of the start with this name in the mesh.
    pub fn of(name: &str) -> IncarnationKey {
        IncarnationKey(hash64(name))
    }
}

/// Counts one life of a daemon: a later start has a larger number.
pub type Incarnation = u64;

/// Numbers accepted configurations in their one total order; zero is "none".
pub type Version = u64;

/// Position of a key's last change in the store.
///
/// A store that is restored from a copy gives positions out again, and says so by a
/// higher era. Positions of different eras tell nothing about each other: neither is
/// later, and a condition on the one proves nothing in the other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Revision {
    /// Rises by one each time that the store comes back from a copy.
    pub era: u64,
    /// Rises with each change in one era.
    pub number: i64,
}

impl Revision {
    /// The position of a key that is not there, in any era.
    pub const ABSENT: Revision = Revision { era: 0, number: 0 };

    /// Returns whether it is that of a key that is not there.
    pub fn is_absent(self) -> bool {
        self.number == 0
    }

    /// Returns whether what was written here stands in place of what was written there: a
    /// later era goes before all of an earlier one.
    pub fn supersedes(self, other: Revision) -> bool {
        (self.era, self.number) > (other.era, other.number)
    }
}

/// Positions compare within an era only.
impl PartialOrd for Revision {
    fn partial_cmp(&self, other: &Revision) -> Option<Ordering> {
        (self.era == other.era).then(|| self.number.cmp(&other.number))
    }
}

pub(crate) fn hash64(name: &str) -> u64 {
    let digest = Sha256::digest(name.as_bytes());
    let mut out = [0; 8];
    out.copy_from_slice(&digest[..8]);
    u64::from_le_bytes(out)
}
