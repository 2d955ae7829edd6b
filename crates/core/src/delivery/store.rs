//! Content-addressed objects, kept in memory.

use crate::ids::ObjectHash;
use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::sync::Arc;

/// Maximum size of an object; the platform stores values of up to a megabyte.
pub const MAX_OBJECT_BYTES: usize = 1 << 20;

/// Why the store rejects the bytes of an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObjectError {
    /// The bytes do not have the expected hash: they are corrupt or truncated.
    Mismatch { wanted: ObjectHash, got: ObjectHash },
    /// The object is larger than [`MAX_OBJECT_BYTES`].
    TooLarge(usize),
}

impl fmt::Display for ObjectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ObjectError::Mismatch { wanted, got } => {
                write!(f, "object {wanted} arrived as {got}: corrupt or truncated")
            }
            ObjectError::TooLarge(len) => write!(f, "object of {len} bytes is over the limit"),
        }
    }
}

impl std::error::Error for ObjectError {}

/// Objects by the hash of their contents.
#[derive(Clone, Debug, Default)]
pub struct Store {
    objects: HashMap<ObjectHash, Arc<Vec<u8>>>,
}

impl Store {
    /// Stores the bytes of an object after checking their hash.
    ///
    /// # Errors
    ///
    /// Returns [`ObjectError`] and stores nothing if the bytes cannot be the
    /// object.
    pub fn put(&mut self, wanted: ObjectHash, buf: Vec<u8>) -> Result<(), ObjectError> {
        if buf.len() > MAX_OBJECT_BYTES {
            return Err(ObjectError::TooLarge(buf.len()));
        }
        let got = ObjectHash::of(&buf);
        if got != wanted {
            return Err(ObjectError::Mismatch { wanted, got });
        }
        self.objects.insert(wanted, Arc::new(buf));
        Ok(())
    }

    /// Returns an object's bytes.
    pub fn get(&self, hash: ObjectHash) -> Option<Arc<Vec<u8>>> {
        self.objects.get(&hash).cloned()
    }

    /// Returns those of the hashes whose objects are not in the store.
    pub fn missing(&self, hashes: &[ObjectHash]) -> Vec<ObjectHash> {
        hashes.iter().filter(|hash| !self.objects.contains_key(hash)).copied().collect()
    }

    /// Removes every object whose hash is not in `keep`.
    pub fn retain(&mut self, keep: &BTreeSet<ObjectHash>) {
        self.objects.retain(|hash, _| keep.contains(hash));
    }

    /// Returns the number of objects and their total size in bytes.
    pub fn size(&self) -> (usize, usize) {
        (self.objects.len(), self.objects.values().map(|buf| buf.len()).sum())
    }
}
