//! Small `Copy` keys.
//!
//! Operators name hosts, failure domains and objects by strings of any length, but
//! every message compares and stores them. Each string is reduced to a fixed-size
//! hash once, where it enters the process.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::cmp::Ordering;
use std::fmt;

/// Number of bytes to which the SHA-256 of an object is truncated.
///
/// Sixteen bytes make accidental collisions negligible and keep a manifest root
/// under one kilobyte. The mesh key, not this hash, protects against forged
/// objects; see `docs/DESIGN.md`, "What is trusted".
pub const HASH_BYTES: usize = 16;

/// Identifies an immutable object by its contents.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ObjectHash([u8; HASH_BYTES]);

impl ObjectHash {
    /// Returns the hash of an object with these bytes.
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

/// Identifies a host, and with it the only daemon that runs there.
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

/// Fingerprint of a request: calls with the same contents have the same digest, whatever
/// their request id and whichever host receives them.
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

/// Separates the instance id from the start time in the name of an incarnation.
const START_SEPARATOR: char = '@';

/// Returns the name in the mesh of an incarnation of an instance. A start time of zero is
/// unknown; the name is then the instance's id.
pub fn incarnation_name(instance: &str, start: u64) -> String {
    match start {
        0 => instance.to_string(),
        start => format!("{instance}{START_SEPARATOR}{start}"),
    }
}

/// Splits the name of an incarnation into the instance id and the start time, if the name
/// has one.
pub fn split_incarnation_name(name: &str) -> (&str, Option<u64>) {
    match name.split_once(START_SEPARATOR) {
        Some((instance, start)) => (instance, start.parse().ok()),
        None => (name, None),
    }
}

/// Identifies one incarnation of an upstream: a restarted upstream has another key.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Debug, Default,
)]
pub struct IncarnationKey(pub u64);

impl IncarnationKey {
    /// Returns the key of the incarnation with this name, which is unique in the mesh.
    pub fn of(name: &str) -> IncarnationKey {
        IncarnationKey(hash64(name))
    }
}

/// Numbers the incarnations of a daemon: each later start has a larger number.
pub type Incarnation = u64;

/// Position of an accepted configuration in the total order; zero means none.
pub type Version = u64;

/// Position of a key's last change in the store.
///
/// A store that is restored from a copy assigns the same positions again, and marks
/// this by a higher era. Positions of different eras are not comparable: neither is
/// later, and a condition on a position of one era proves nothing in another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Revision {
    /// Increases by one each time the store is restored from a copy.
    pub era: u64,
    /// Increases with each change within one era.
    pub number: i64,
}

impl Revision {
    /// The position of a key that does not exist, in any era.
    pub const ABSENT: Revision = Revision { era: 0, number: 0 };

    /// Returns whether this is the position of a key that does not exist.
    pub fn is_absent(self) -> bool {
        self.number == 0
    }

    /// Returns whether a value written at this position replaces one written at `other`:
    /// every position of a later era supersedes all positions of an earlier one.
    pub fn supersedes(self, other: Revision) -> bool {
        (self.era, self.number) > (other.era, other.number)
    }
}

/// Positions are ordered only within one era.
impl PartialOrd for Revision {
    fn partial_cmp(&self, other: &Revision) -> Option<Ordering> {
        (self.era == other.era).then(|| self.number.cmp(&other.number))
    }
}

/// Returns the first eight bytes of the SHA-256 of a name.
pub(crate) fn hash64(name: &str) -> u64 {
    let digest = Sha256::digest(name.as_bytes());
    let mut out = [0; 8];
    out.copy_from_slice(&digest[..8]);
    u64::from_le_bytes(out)
}
