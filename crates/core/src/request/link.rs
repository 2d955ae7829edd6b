//! Traffic shaping of a host's link: when the pieces of large answers are sent.
//!
//! A [`Link`] counts the bytes handed to the link and estimates when all of them will have
//! left. Small answers are sent at once. Pieces of large answers wait until the link is
//! nearly empty, so that a small answer waits for at most [`MAX_IN_LINK`] of bytes of large
//! answers.
//!
//! # Load patterns
//!
//! - Several large answers share a narrow link. If they are sent in parallel, all of them
//!   end late, and every small answer waits behind the windows of all their connections:
//!   half a second at 5 Mbit/s. Sent in order, they end one after the other.
//! - More large answers than the link carries: [`Link::backlog`] returns how long one more
//!   would wait, so that its call is refused before the upstream has done the work.
//!
//! # Limits
//!
//! The rate is taken from the settings. A link that loses packets carries less; the rest
//! waits in the windows of the connections.

use super::gate::KindKey;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Largest answer that is sent at once, in bytes: 25 ms at 5 Mbit/s.
pub const SMALL_BYTES: u64 = 16 << 10;
/// Most bytes that large answers may have in the link, as transmission time. Long enough that
/// a timer that fires some milliseconds late does not leave the link idle, and short compared
/// with the objective of 150 ms of calls between services.
const MAX_IN_LINK: Duration = Duration::from_millis(24);
/// Transmission time of one piece of a large answer.
const PIECE_TIME: Duration = Duration::from_millis(8);
/// Least and most bytes of a piece: a smaller piece is not worth its wake-up, and a larger one
/// does not fit one buffer.
const PIECE_BYTES_RANGE: (f64, f64) = (4096.0, 65536.0);
/// Share of the link's rate that is used. The rest is left for packet headers, and for
/// datagrams and connections that are not counted here.
const USED_SHARE: f64 = 0.93;
/// Longest wait before a piece is requested again: a transfer before it may have been
/// cancelled in the meantime.
const MAX_WAIT: Duration = Duration::from_millis(30);

/// Weight of a new answer in the mean size of its kind.
const SIZE_SMOOTHING: f64 = 0.1;
/// Most kinds of calls with a recorded mean size; answers of further kinds count as small.
const MAX_KINDS: usize = 64;

/// Identifies the transfer of one large answer; transfers are sent in the order of their ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TransferId {
    /// When the transfer would end if it had the link to itself from its start. By this order
    /// short transfers overtake long ones, but none is overtaken for ever.
    due: Instant,
    number: u64,
}

/// A call with a large answer that asks for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LargeAnswer {
    /// Expected size of the answer in bytes.
    pub bytes: u64,
    /// Expected service time at the upstream.
    pub service_time: Duration,
    /// Time left until the end of the call's objective.
    pub time_left: Duration,
    /// Longest backlog of the link that the caller accepts.
    pub max_backlog: Duration,
}

/// State of the transfer of one large answer.
#[derive(Clone, Copy, Debug)]
struct Transfer {
    bytes_left: u64,
    /// Whether the next piece has been read and waits for the link.
    waiting: bool,
}

/// Shaper of one host's link.
#[derive(Clone, Debug)]
pub struct Link {
    /// Rate in bytes a second.
    bytes_per_s: f64,
    /// When all bytes handed to the link will have left.
    free_at: Option<Instant>,
    transfers: BTreeMap<TransferId, Transfer>,
    last_number: u64,
    /// Mean size of an answer in bytes, by kind of call.
    mean_sizes: HashMap<KindKey, f64>,
    /// Bytes of the large answers of calls that run at upstreams.
    expected_bytes: u64,
}

impl Link {
    /// Creates the shaper of a link of `mbps` megabits a second.
    pub fn new(mbps: f64) -> Link {
        let bytes_per_s = (mbps * 1e6 / 8.0 * USED_SHARE).max(1.0);
        Link {
            bytes_per_s,
            free_at: None,
            transfers: BTreeMap::new(),
            last_number: 0,
            mean_sizes: HashMap::new(),
            expected_bytes: 0,
        }
    }

    /// Returns the transmission time of a number of bytes.
    pub fn transmission_time(&self, bytes: u64) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.bytes_per_s)
    }

    /// Returns how long the link is busy with the bytes handed to it.
    pub fn busy_for(&self, now: Instant) -> Duration {
        self.free_at.map_or(Duration::ZERO, |at| at.saturating_duration_since(now))
    }

    /// Returns the size of one piece of a large answer in bytes.
    pub fn piece(&self) -> usize {
        let bytes = self.bytes_per_s * PIECE_TIME.as_secs_f64();
        bytes.clamp(PIECE_BYTES_RANGE.0, PIECE_BYTES_RANGE.1) as usize
    }

    /// Records bytes that were handed to the link.
    pub fn record_sent(&mut self, bytes: u64, now: Instant) {
        let from = self.free_at.map_or(now, |at| at.max(now));
        self.free_at = Some(from + self.transmission_time(bytes));
    }

    /// Starts the transfer of a large answer of `bytes` bytes.
    pub fn start_transfer(&mut self, bytes: u64, now: Instant) -> TransferId {
        self.last_number += 1;
        let transfer_id =
            TransferId { due: now + self.transmission_time(bytes), number: self.last_number };
        self.transfers.insert(transfer_id, Transfer { bytes_left: bytes, waiting: false });
        transfer_id
    }

    /// Requests to send the next piece of a large answer, and records it as sent if granted.
    ///
    /// # Errors
    ///
    /// Returns the time after which to request it again.
    pub fn request_piece(
        &mut self,
        transfer_id: TransferId,
        bytes: u64,
        now: Instant,
    ) -> Result<(), Duration> {
        let busy = self.busy_for(now);
        let before = self.transfers.range(..transfer_id).filter(|(_, other)| other.waiting).count();
        if before == 0 && busy <= MAX_IN_LINK {
            if let Some(transfer) = self.transfers.get_mut(&transfer_id) {
                transfer.bytes_left = transfer.bytes_left.saturating_sub(bytes);
                transfer.waiting = false;
            }
            self.record_sent(bytes, now);
            return Ok(());
        }
        if let Some(transfer) = self.transfers.get_mut(&transfer_id) {
            transfer.waiting = true;
        }
        let wait = busy.saturating_sub(MAX_IN_LINK) + PIECE_TIME * before as u32;
        Err(wait.clamp(Duration::from_millis(1), MAX_WAIT))
    }

    /// Ends a transfer that is complete or cancelled.
    pub fn end_transfer(&mut self, transfer_id: TransferId) {
        self.transfers.remove(&transfer_id);
    }

    /// Updates the mean size of a kind's answers.
    pub fn observe_size(&mut self, kind: KindKey, bytes: u64) {
        let has_room = self.mean_sizes.len() < MAX_KINDS;
        match self.mean_sizes.get_mut(&kind) {
            Some(mean) => *mean += SIZE_SMOOTHING * (bytes as f64 - *mean),
            None if has_room => {
                self.mean_sizes.insert(kind, bytes as f64);
            }
            None => {}
        }
    }

    /// Returns the mean size of a kind's answers in bytes, if they are large.
    pub fn large_size(&self, kind: KindKey) -> Option<u64> {
        let bytes = *self.mean_sizes.get(&kind)? as u64;
        (bytes > SMALL_BYTES).then_some(bytes)
    }

    /// Adds the large answer of a call that an upstream starts to run (`begins`), or removes it
    /// once the answer has arrived or will not come.
    pub fn expect(&mut self, bytes: u64, begins: bool) {
        self.expected_bytes = match begins {
            true => self.expected_bytes + bytes,
            false => self.expected_bytes.saturating_sub(bytes),
        };
    }

    /// Returns how long the link is busy with the bytes handed to it, the rest of all transfers
    /// and the answers expected from upstreams.
    pub fn backlog(&self, now: Instant) -> Duration {
        let busy = self.busy_for(now);
        let bytes_left: u64 = self.transfers.values().map(|transfer| transfer.bytes_left).sum();
        busy + self.transmission_time(bytes_left + self.expected_bytes)
    }

    /// Returns how long one more large answer would take to leave, at the largest mean size of
    /// any kind; `None` if no kind has large answers.
    pub fn estimated_transfer_time(&self, now: Instant) -> Option<Duration> {
        let large = self.mean_sizes.values().filter(|bytes| **bytes > SMALL_BYTES as f64);
        let bytes = large.copied().reduce(f64::max)?;
        Some(self.backlog(now) + self.transmission_time(bytes as u64))
    }

    /// Returns how long a call's large answer would take to leave if the call started now.
    ///
    /// A free link admits every answer, since a late answer is better than none.
    ///
    /// # Errors
    ///
    /// Returns how long the link is busy, if that is longer than the caller accepts or the
    /// answer would leave after the end of the objective.
    pub fn admit_answer(&self, large: LargeAnswer, now: Instant) -> Result<Duration, Duration> {
        let backlog = self.backlog(now);
        let on_link = backlog + self.transmission_time(large.bytes);
        let is_late = on_link + large.service_time > large.time_left;
        if backlog > MAX_IN_LINK && (is_late || backlog > large.max_backlog) {
            return Err(backlog);
        }
        Ok(on_link)
    }
}
