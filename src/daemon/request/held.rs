//! Answers that are held until they are whole, for the sake of the requests behind them.
//!
//! A caller may send further requests on a connection before the first is answered, and they
//! are started early. An answer that is passed on as it arrives ends the connection if it
//! breaks off, and the answers behind it are lost although sound upstreams ran them. So an
//! answer with started requests behind it is held here until it is whole, and can then be
//! requested again from another upstream if it breaks off.
//!
//! Nothing is started behind requests of a kind whose answers were large of late
//! ([`LargeAnswers`]), so that few large answers have to be held.
//!
//! # Limits
//!
//! An answer of more than [`MAX_HELD_ANSWER`] bytes, or one for which [`MAX_HELD_TOTAL`]
//! leaves no room, is passed on as it arrives. This can happen to the first large answers of a
//! kind after a daemon's start.

use crate::daemon::lock;
use cicadashift_core::request::gate::KindKey;
use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Largest answer that is held, in bytes.
const MAX_HELD_ANSWER: usize = 1 << 20;
/// Most bytes of all answers that a daemon holds.
const MAX_HELD_TOTAL: usize = 4 << 20;
/// Largest answer behind which requests are started, in bytes. The daemon beside the
/// upstream passes larger ones on before they are whole.
const MAX_OVERLAPPED_ANSWER: u64 = super::exit::MAX_BUFFERED_ANSWER as u64;
/// Time for which a kind of call counts as large after a large answer.
const LARGE_FOR: Duration = Duration::from_secs(60);

/// The memory for held answers of a daemon.
#[derive(Debug, Default)]
pub struct HeldAnswers {
    bytes: Arc<AtomicUsize>,
}

impl HeldAnswers {
    /// Reserves memory for an answer of the stated length, or for the largest if it states
    /// none. Returns `None` if the answer is too large, or other answers need the memory.
    pub fn reserve(&self, stated: Option<u64>) -> Option<HeldMemory> {
        let wanted = stated.map_or(Some(MAX_HELD_ANSWER), |bytes| usize::try_from(bytes).ok())?;
        if wanted > MAX_HELD_ANSWER {
            return None;
        }
        let add = |held: usize| Some(held + wanted).filter(|total| *total <= MAX_HELD_TOTAL);
        self.bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).ok()?;
        Some(HeldMemory { held: self.bytes.clone(), bytes: wanted })
    }
}

/// Memory that is reserved for one answer until it is dropped.
#[derive(Debug)]
pub struct HeldMemory {
    held: Arc<AtomicUsize>,
    bytes: usize,
}

impl HeldMemory {
    /// Returns the number of bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Gives back what an answer of this length does not need.
    pub fn shrink_to(&mut self, bytes: usize) {
        let unused = self.bytes.saturating_sub(bytes);
        self.held.fetch_sub(unused, Ordering::Relaxed);
        self.bytes -= unused;
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        self.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// The kinds of calls whose answers were large of late.
#[derive(Debug, Default)]
pub struct LargeAnswers {
    /// When each kind last had a large answer; as many entries as there are routes at most.
    last: Mutex<HashMap<KindKey, Instant>>,
}

impl LargeAnswers {
    /// Records the stated length of an answer.
    pub fn record(&self, kind: KindKey, stated: Option<u64>, now: Instant) {
        if stated.is_some_and(|bytes| bytes <= MAX_OVERLAPPED_ANSWER) {
            return;
        }
        let mut last = lock(&self.last);
        last.retain(|_, at| is_recent(*at, now));
        last.insert(kind, now);
    }

    /// Returns whether an answer of this kind was large of late.
    pub fn contains(&self, kind: KindKey, now: Instant) -> bool {
        lock(&self.last).get(&kind).is_some_and(|at| is_recent(*at, now))
    }
}

fn is_recent(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < LARGE_FOR
}
