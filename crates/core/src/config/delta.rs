//! Delta encoding between two texts of a configuration.
//!
//! Successive versions differ in a few routes among thousands. A member that holds
//! one version needs only the changes to the next: some hundred bytes in place of
//! the whole text.
//!
//! The encoder splits the text after each closing brace, which ends a route in the
//! formats in use. A format without braces gives larger deltas, which still apply
//! correctly. The decoder checks the resulting text against its hash.

use crate::ids::ObjectHash;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::collections::HashMap;

/// Byte that ends a piece of a text.
const PIECE_END: u8 = b'}';
/// Largest text that a delta may produce, in bytes. A value in the store holds at most a
/// megabyte.
const MAX_TEXT_BYTES: usize = 4 << 20;

/// A run of bytes of the newer text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Part {
    /// Copies `len` bytes from offset `from` of the older text.
    Same { from: u32, len: u32 },
    /// Inserts bytes that the older text lacks.
    New(ByteBuf),
}

/// Instructions that produce a newer text from an older one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Hash of the newer text.
    pub whole: ObjectHash,
    /// The parts that make up the newer text, in order.
    pub parts: Vec<Part>,
}

impl Delta {
    /// Computes the delta from `old` to `new`.
    pub fn between(old: &[u8], new: &[u8]) -> Delta {
        let mut offsets = HashMap::new();
        let mut offset = 0;
        for piece in pieces(old) {
            offsets.entry(piece).or_insert(offset);
            offset += piece.len();
        }
        let mut parts = Parts::default();
        for piece in pieces(new) {
            // An equal piece may occur at several offsets; continuing the current run keeps
            // the delta small.
            let continued = parts.run_end().filter(|end| old[*end..].starts_with(piece));
            match continued.or_else(|| offsets.get(piece).copied()) {
                Some(from) => parts.push_same(from, piece.len()),
                None => parts.push_new(piece),
            }
        }
        Delta { whole: ObjectHash::of(new), parts: parts.list }
    }

    /// Returns the newer text, or `None` if a part is out of range, the text exceeds
    /// `MAX_TEXT_BYTES` or its hash differs, as with an `old` that the delta was not made for.
    pub fn apply(&self, old: &[u8]) -> Option<Vec<u8>> {
        let mut new = Vec::new();
        for part in &self.parts {
            let bytes = match part {
                Part::Same { from, len } => {
                    let from = *from as usize;
                    old.get(from..from.checked_add(*len as usize)?)?
                }
                Part::New(bytes) => bytes,
            };
            if new.len() + bytes.len() > MAX_TEXT_BYTES {
                return None;
            }
            new.extend_from_slice(bytes);
        }
        (ObjectHash::of(&new) == self.whole).then_some(new)
    }
}

fn pieces(text: &[u8]) -> impl Iterator<Item = &[u8]> {
    text.split_inclusive(|byte| *byte == PIECE_END)
}

/// List of parts under construction; adjacent parts of one variant are merged.
#[derive(Default)]
struct Parts {
    list: Vec<Part>,
}

impl Parts {
    /// Returns the offset in the older text at which the current copied run ends.
    fn run_end(&self) -> Option<usize> {
        match self.list.last() {
            Some(Part::Same { from, len }) => Some((from + len) as usize),
            _ => None,
        }
    }

    fn push_same(&mut self, from: usize, len: usize) {
        if self.run_end() == Some(from)
            && let Some(Part::Same { len: run, .. }) = self.list.last_mut()
        {
            *run += len as u32;
            return;
        }
        self.list.push(Part::Same { from: from as u32, len: len as u32 });
    }

    fn push_new(&mut self, bytes: &[u8]) {
        match self.list.last_mut() {
            Some(Part::New(run)) => run.extend_from_slice(bytes),
            _ => self.list.push(Part::New(ByteBuf::from(bytes.to_vec()))),
        }
    }
}
