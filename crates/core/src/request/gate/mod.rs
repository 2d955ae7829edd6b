//! Admission control of one upstream, on the upstream's own host.
//!
//! A [`Gate`] runs at most as many calls as the upstream has slots and queues the rest
//! while each can still be answered within its objective. The queue has no fixed length: a
//! call is queued if the work before it, at the observed service time of each kind of
//! call, leaves enough time. Any other call is refused at once, so that its caller can use
//! the time otherwise and the queue holds only calls that can be answered in time.
//!
//! # Order
//!
//! More urgent calls go first, but one part in five of the work is reserved for the least
//! urgent priority that has queued calls. Otherwise urgent calls that fill the upstream
//! would make all others wait until their deadlines. The share is measured in service time
//! and not in calls: with one call of 240 ms for every four of 40 ms the less urgent calls
//! would get 60 in 100 of the upstream's time.
//!
//! Within a priority the call whose objective ends first goes first. Short calls that other
//! calls wait for thus go before long ones, and a retry of a refused call goes before a new
//! call. For each call that a caller has queued, its next call is ordered as if its
//! objective ended one mean service time later, so that a caller with many calls does not
//! delay a caller with few.
//!
//! # Load patterns
//!
//! - More arrivals than slots for seconds: if calls could wait until their deadlines, the
//!   queue would grow until every answer is late. With the objective as the bound the
//!   upstream answers as many calls, and in time.
//! - An upstream that is slower than the objective: no call is queued, but free slots are
//!   used, since a late answer is better than none.
//!
//! # An upstream that names a limit
//!
//! Calls are sent to such an upstream at the named rate, even if more slots are free; see
//! [`pace`]. Calls wait for a token in the same queue and order as for a slot.
//!
//! # Limits
//!
//! The estimated wait is based on mean service times. If service times have a heavy tail,
//! some queued calls run out of time; these are refused as not run once the gate finds it.

mod admit;
pub mod pace;
mod queue;
mod refusal;
mod times;

pub use admit::{Gate, MAX_QUEUE};
pub use refusal::Refusal;

use crate::config::Priority;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Identifies one call at one gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Identifies a caller, for fairness between callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CallerKey(pub u64);

/// A call that arrives at the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// When the caller stops waiting for the answer.
    pub deadline: Instant,
    /// End of the objective: until then an answer has its full worth. At most the deadline.
    pub objective: Instant,
    /// Priority of the call.
    pub priority: Priority,
    /// The caller that sent the call.
    pub caller: CallerKey,
    /// Kind of the call; calls of one kind have similar service times.
    pub kind: KindKey,
    /// Longest expected wait at which the call is queued. Zero if the entry daemon prefers to
    /// try another upstream.
    pub max_wait: Duration,
}

/// Identifies a kind of call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KindKey(pub u64);

/// Decision of the gate about an arriving call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Send the call now.
    Run(Ticket),
    /// Hold the call until a [`Wake`] carries its ticket.
    Wait(Ticket),
    /// Refuse the call as not run.
    Refuse(Refusal),
}

/// Decision of the gate about a queued call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wake {
    /// Send the call now.
    Run(Ticket),
    /// Refuse the call as not run.
    Refuse(Ticket, Refusal),
}

/// How a call that was sent to the upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Completely answered, after this service time.
    Answered(Duration),
    /// Refused by the upstream before it ran.
    Shed,
    /// Without a complete answer.
    Failed,
}
