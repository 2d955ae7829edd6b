//! What a host's link carries, and whose turn it is.
//!
//! A [`Link`] keeps account of the bytes that were handed to the link and of the
//! time at which they will have left. Small answers pass at once. The pieces of
//! large ones wait until the link is nearly empty, so that a small answer never
//! finds more than [`AHEAD`] before it.
//!
//! # Load patterns
//!
//! - Several large answers leave a narrow link at once. Without turns each gets a
//!   share, all of them end late, and every small answer waits behind the windows
//!   of all their connections: half a second at 5 Mbit/s. With turns they end one
//!   after the other.
//! - More large answers than the link carries: [`Link::backlog`] says how long one
//!   more would wait, so that it is refused before its upstream has done the work.
//!
//! # Limits
//!
//! The rate is the one of the settings; a link that loses packets carries less,
//! and the connections' own windows hold the rest back.

use super::gate::KindKey;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Answers up to this size pass at once, in bytes: 25 ms at 5 Mbit/s.
pub const SMALL_BYTES: u64 = 16 << 10;
/// Time's worth of bytes that large answers may keep in the link. Long enough for
/// a timer that fires some milliseconds late not to leave the link empty, short
/// beside the 150 ms in which calls between services are to be answered.
const AHEAD: Duration = Duration::from_millis(24);
/// Time's worth of one piece of a large answer.
const PIECE: Duration = Duration::from_millis(8);
/// Bounds of a piece in bytes: less costs a wake-up for little, more is not held
/// in one buffer.
const PIECE_BYTES: (f64, f64) = (4096.0, 65536.0);
/// Share of the rate that is used. The rest is for heads of packets, and for
/// datagrams and connections that are not counted here.
const USED_SHARE: f64 = 0.93;
/// Longest time after which a waiting answer asks again: one before it may have
/// been given up.
const ASK_AGAIN: Duration = Duration::from_millis(30);

/// Weight of a new answer in the mean size of its kind.
const SIZE_SMOOTHING: f64 = 0.1;
/// Kinds of calls whose sizes are kept apart; further ones count as small.
const KINDS_KEPT: usize = 64;

/// Names one large answer; the order is the order of turns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TransferId {
    /// When it would end if it had the link to itself from its arrival on: short
    /// ones overtake long ones, but none is overtaken for ever.
    due: Instant,
    number: u64,
}

/// A call whose answer will be large.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LargeAnswer {
    /// Bytes of the answer.
    pub bytes: u64,
    /// Time that the upstream needs.
    pub service_time: Duration,
    /// What is left of the time in which the answer is worth most.
    pub time_left: Duration,
    /// How long the link may be busy.
    pub max_backlog: Duration,
}

/// What one large answer has yet to send.
#[derive(Clone, Copy, Debug)]
struct Sending {
    left: u64,
    /// Whether its next piece is there and waits for the link.
    waiting: bool,
}

/// The account of one link.
#[derive(Clone, Debug)]
pub struct Link {
    /// Bytes a second.
    rate: f64,
    /// When all that was handed over will have left.
    free_at: Option<Instant>,
    sending: BTreeMap<TransferId, Sending>,
    next: u64,
    /// Mean bytes of an answer, by kind of call.
    sizes: HashMap<KindKey, f64>,
    /// Bytes of answers that upstreams are at work on.
    expected: u64,
}

impl Link {
    /// Makes the account of a link of so many megabits a second.
    pub fn new(mbps: f64) -> Link {
        let rate = (mbps * 1e6 / 8.0 * USED_SHARE).max(1.0);
        Link {
            rate,
            free_at: None,
            sending: BTreeMap::new(),
            next: 0,
            sizes: HashMap::new(),
            expected: 0,
        }
    }

    /// Returns the time that bytes take.
    pub fn transmission_time(&self, bytes: u64) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.rate)
    }

    /// Returns how long the link is busy with what was handed over.
    pub fn busy_for(&self, now: Instant) -> Duration {
        self.free_at.map_or(Duration::ZERO, |at| at.saturating_duration_since(now))
    }

    /// Returns the bytes of one piece of a large answer.
    pub fn piece(&self) -> usize {
        let bytes = self.rate * PIECE.as_secs_f64();
        bytes.clamp(PIECE_BYTES.0, PIECE_BYTES.1) as usize
    }

    /// Takes in bytes that were sent without waiting.
    pub fn record_sent(&mut self, bytes: u64, now: Instant) {
        let from = self.free_at.map_or(now, |at| at.max(now));
        self.free_at = Some(from + self.transmission_time(bytes));
    }

    /// Takes in that a large answer is going to be sent.
    pub fn start_transfer(&mut self, bytes: u64, now: Instant) -> TransferId {
        self.next += 1;
        let turn = TransferId { due: now + self.transmission_time(bytes), number: self.next };
        self.sending.insert(turn, Sending { left: bytes, waiting: false });
        turn
    }

    /// Asks to send the next piece of a large answer.
    ///
    /// # Errors
    ///
    /// Returns after what time to ask again.
    pub fn request_piece(
        &mut self,
        turn: TransferId,
        bytes: u64,
        now: Instant,
    ) -> Result<(), Duration> {
        let busy = self.busy_for(now);
        let before = self.sending.range(..turn).filter(|(_, other)| other.waiting).count();
        if before == 0 && busy <= AHEAD {
            if let Some(sending) = self.sending.get_mut(&turn) {
                sending.left = sending.left.saturating_sub(bytes);
                sending.waiting = false;
            }
            self.record_sent(bytes, now);
            return Ok(());
        }
        if let Some(sending) = self.sending.get_mut(&turn) {
            sending.waiting = true;
        }
        let wait = busy.saturating_sub(AHEAD) + PIECE * before as u32;
        Err(wait.clamp(Duration::from_millis(1), ASK_AGAIN))
    }

    /// Takes in that a large answer has ended or was given up.
    pub fn end_transfer(&mut self, turn: TransferId) {
        self.sending.remove(&turn);
    }

    /// Takes in the size of an answer.
    pub fn observe_size(&mut self, kind: KindKey, bytes: u64) {
        let has_room = self.sizes.len() < KINDS_KEPT;
        match self.sizes.get_mut(&kind) {
            Some(mean) => *mean += SIZE_SMOOTHING * (bytes as f64 - *mean),
            None if has_room => {
                self.sizes.insert(kind, bytes as f64);
            }
            None => {}
        }
    }

    /// Returns the bytes of a kind's answers where they are large.
    pub fn large_size(&self, kind: KindKey) -> Option<u64> {
        let bytes = *self.sizes.get(&kind)? as u64;
        (bytes > SMALL_BYTES).then_some(bytes)
    }

    /// Takes in that an upstream began work on a call with a large answer, or,
    /// with `false`, that the answer is there or will not come.
    pub fn expect(&mut self, bytes: u64, begins: bool) {
        self.expected = match begins {
            true => self.expected + bytes,
            false => self.expected.saturating_sub(bytes),
        };
    }

    /// Returns how long the link is busy with what was handed over, waits or is
    /// expected.
    pub fn backlog(&self, now: Instant) -> Duration {
        let busy = self.busy_for(now);
        let left: u64 = self.sending.values().map(|sending| sending.left).sum();
        busy + self.transmission_time(left + self.expected)
    }

    /// Returns how long one more large answer of the usual size would take to
    /// leave; `None` where there are no large ones.
    pub fn estimated_transfer_time(&self, now: Instant) -> Option<Duration> {
        let large = self.sizes.values().filter(|bytes| **bytes > SMALL_BYTES as f64);
        let bytes = large.copied().reduce(f64::max)?;
        Some(self.backlog(now) + self.transmission_time(bytes as u64))
    }

    /// Returns how long a call's large answer would take to leave, were the call
    /// begun now, or why it should not be: the link is busy for longer than the
    /// caller accepts, or too little time would be left for the call itself.
    ///
    /// A link that is free takes every answer: a late one is better than none.
    ///
    /// # Errors
    ///
    /// Returns how long the link is busy.
    pub fn admit_answer(&self, large: LargeAnswer, now: Instant) -> Result<Duration, Duration> {
        let backlog = self.backlog(now);
        let on_link = backlog + self.transmission_time(large.bytes);
        let is_late = on_link + large.service_time > large.time_left;
        if backlog > AHEAD && (is_late || backlog > large.max_backlog) {
            return Err(backlog);
        }
        Ok(on_link)
    }
}
