//! Delta encoding of a configuration text against a text that only the receiver holds.
//!
//! Successive versions differ in a few routes among thousands. The receiver sends the
//! [`Signature`] of the text that it holds, a fingerprint for each chunk. The sender answers
//! with the chunks that the signature lacks, and with references to the others. A sender
//! thus needs no earlier version: any daemon with the newer text can bring any other up to
//! date, whichever version that one holds, with a few kilobytes in place of hundreds.
//!
//! Chunks end where the contents say so, so that a route that is added moves the ends of no
//! chunk but its own. They consist of pieces that end with a closing brace, as routes do in
//! the formats in use; a text without braces is cut into chunks of equal length, and its
//! delta is larger but still correct. The receiver checks the resulting text against its
//! hash, since fingerprints may collide.

use crate::ids::ObjectHash;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::collections::HashMap;

/// Byte that ends a piece of a text.
const PIECE_END: u8 = b'}';
/// One in this many pieces ends a chunk: a chunk of eight routes is about a kilobyte.
const PIECES_PER_CHUNK: u64 = 8;
/// Longest chunk in bytes, for texts with long or repeated pieces.
const MAX_CHUNK_BYTES: usize = 4096;
/// Largest text that a delta may produce, in bytes. A value in the store holds at most a
/// megabyte.
const MAX_TEXT_BYTES: usize = 4 << 20;
/// Bytes of a fingerprint.
const FINGERPRINT_BYTES: usize = 8;
/// Initial value and prime of the FNV-1a hash of 64 bits.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Fingerprints of the chunks of a text, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Signature(ByteBuf);

impl Signature {
    /// Computes the signature of a text.
    pub fn of(text: &[u8]) -> Signature {
        let fingerprints = chunks(text).flat_map(|chunk| chunk.fingerprint.to_be_bytes());
        Signature(ByteBuf::from(fingerprints.collect::<Vec<u8>>()))
    }

    /// Returns the position of each fingerprint; of equal ones, the first.
    fn positions(&self) -> HashMap<u64, u32> {
        let mut positions = HashMap::new();
        for (bytes, i) in self.0.chunks_exact(FINGERPRINT_BYTES).zip(0..) {
            let fingerprint = bytes.iter().fold(0, |bits, byte| bits << 8 | u64::from(*byte));
            positions.entry(fingerprint).or_insert(i);
        }
        positions
    }
}

/// A run of bytes of the newer text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Part {
    /// Copies `count` chunks of the older text, beginning with the chunk `first`.
    Same { first: u32, count: u32 },
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
    /// Computes the delta from the text with the signature `old` to `new`.
    pub fn against(old: &Signature, new: &[u8]) -> Delta {
        let positions = old.positions();
        let mut parts = Vec::new();
        for chunk in chunks(new) {
            match positions.get(&chunk.fingerprint) {
                Some(position) => push_same(&mut parts, *position),
                None => push_new(&mut parts, chunk.bytes),
            }
        }
        Delta { whole: ObjectHash::of(new), parts }
    }

    /// Returns the newer text, or `None` if a part is out of range, the text exceeds
    /// `MAX_TEXT_BYTES` or its hash differs, as with an `old` that the delta was not made for.
    pub fn apply(&self, old: &[u8]) -> Option<Vec<u8>> {
        let old: Vec<&[u8]> = chunks(old).map(|chunk| chunk.bytes).collect();
        let mut new = Vec::new();
        for part in &self.parts {
            match part {
                Part::Same { first, count } => {
                    let first = *first as usize;
                    for chunk in old.get(first..first.checked_add(*count as usize)?)? {
                        extend(&mut new, chunk)?;
                    }
                }
                Part::New(bytes) => extend(&mut new, bytes)?,
            }
        }
        (ObjectHash::of(&new) == self.whole).then_some(new)
    }
}

fn extend(text: &mut Vec<u8>, bytes: &[u8]) -> Option<()> {
    if text.len() + bytes.len() > MAX_TEXT_BYTES {
        return None;
    }
    text.extend_from_slice(bytes);
    Some(())
}

/// Appends a chunk of the older text, to the run before it if it continues that.
fn push_same(parts: &mut Vec<Part>, position: u32) {
    match parts.last_mut() {
        Some(Part::Same { first, count }) if *first + *count == position => *count += 1,
        _ => parts.push(Part::Same { first: position, count: 1 }),
    }
}

fn push_new(parts: &mut Vec<Part>, bytes: &[u8]) {
    match parts.last_mut() {
        Some(Part::New(run)) => run.extend_from_slice(bytes),
        _ => parts.push(Part::New(ByteBuf::from(bytes.to_vec()))),
    }
}

/// A run of pieces of a text.
struct Chunk<'a> {
    bytes: &'a [u8],
    fingerprint: u64,
}

fn chunks(text: &[u8]) -> impl Iterator<Item = Chunk<'_>> {
    let mut rest = text;
    std::iter::from_fn(move || {
        let chunk = first_chunk(rest)?;
        rest = &rest[chunk.bytes.len()..];
        Some(chunk)
    })
}

fn first_chunk(text: &[u8]) -> Option<Chunk<'_>> {
    let text = &text[..text.len().min(MAX_CHUNK_BYTES)];
    let mut len = 0;
    let mut fingerprint = FNV_OFFSET;
    for piece in text.split_inclusive(|byte| *byte == PIECE_END) {
        let hash = fnv(FNV_OFFSET, piece);
        len += piece.len();
        fingerprint = fnv(fingerprint, &hash.to_be_bytes());
        if hash % PIECES_PER_CHUNK == 0 {
            break;
        }
    }
    (len > 0).then(|| Chunk { bytes: &text[..len], fingerprint })
}

/// Continues an FNV-1a hash. Daemons of different builds compute the same fingerprints, which
/// the hashes of the standard library do not promise.
fn fnv(start: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(start, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}
