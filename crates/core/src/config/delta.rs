//! What differs between two texts of a configuration.
//!
//! Versions follow each other with a few routes changed among thousands. A member
//! that holds one needs only what is new in the next: some hundred bytes in place
//! of the whole text.
//!
//! The text is cut behind each closing brace, which ends a route in the forms in
//! use; a form without braces costs bytes, not correctness. What is made of parts
//! is checked against the hash of the whole.

use crate::ids::ObjectHash;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::collections::HashMap;

/// Where a text is cut.
const CUT_BEHIND: u8 = b'}';
/// Largest text that is put together, in bytes; the store holds a megabyte.
const MOST: usize = 4 << 20;

/// A piece of the newer text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Part {
    /// Bytes that the older text has as well.
    Same { from: u32, len: u32 },
    /// Bytes that it lacks.
    New(ByteBuf),
}

/// How to make a newer text of an older one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Hash of the newer text.
    pub whole: ObjectHash,
    /// The newer text, in order.
    pub parts: Vec<Part>,
}

impl Delta {
    /// Finds what differs.
    pub fn between(old: &[u8], new: &[u8]) -> Delta {
        let mut places = HashMap::new();
        let mut at = 0;
        for piece in pieces(old) {
            places.entry(piece).or_insert(at);
            at += piece.len();
        }
        let mut parts = Parts::default();
        for piece in pieces(new) {
            // Equal pieces may stand in several places; the run goes on where it can.
            let goes_on = parts.run_end().filter(|end| old[*end..].starts_with(piece));
            match goes_on.or_else(|| places.get(piece).copied()) {
                Some(from) => parts.same(from, piece.len()),
                None => parts.new_bytes(piece),
            }
        }
        Delta { whole: ObjectHash::of(new), parts: parts.done }
    }

    /// Makes the newer text; `None` where the older one is not the one meant.
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
            if new.len() + bytes.len() > MOST {
                return None;
            }
            new.extend_from_slice(bytes);
        }
        (ObjectHash::of(&new) == self.whole).then_some(new)
    }
}

fn pieces(text: &[u8]) -> impl Iterator<Item = &[u8]> {
    text.split_inclusive(|byte| *byte == CUT_BEHIND)
}

/// Parts being gathered; neighbours of one sort become one.
#[derive(Default)]
struct Parts {
    done: Vec<Part>,
}

impl Parts {
    fn run_end(&self) -> Option<usize> {
        match self.done.last() {
            Some(Part::Same { from, len }) => Some((from + len) as usize),
            _ => None,
        }
    }

    fn same(&mut self, from: usize, len: usize) {
        if self.run_end() == Some(from)
            && let Some(Part::Same { len: run, .. }) = self.done.last_mut()
        {
            *run += len as u32;
            return;
        }
        self.done.push(Part::Same { from: from as u32, len: len as u32 });
    }

    fn new_bytes(&mut self, bytes: &[u8]) {
        match self.done.last_mut() {
            Some(Part::New(run)) => run.extend_from_slice(bytes),
            _ => self.done.push(Part::New(ByteBuf::from(bytes.to_vec()))),
        }
    }
}
