//! Admission to one upstream, decided on its own host.
//!
//! A [`Gate`] lets at most as many calls through as the upstream has slots and
//! queues the rest for as long as each can still be answered within its
//! objective. The length of the queue is not fixed: a call is queued if the work
//! before it, at the observed time of each kind of call, leaves enough time.
//! What does not fit is refused at once, so that its caller can do something
//! else with the time, and so that the queue holds only what is worth most.
//!
//! # Order
//!
//! More urgent calls go first, but one part in five of the work is for
//! the least urgent rank that waits. Failure: urgent calls alone fill the upstream.
//! Symptom: the others wait until their deadlines and none is served. It goes by work
//! and not by turns: with one call of 240 ms for every four of 40 ms the less urgent
//! ones would get 60 in 100 of the upstream.
//!
//! Within a rank the call whose objective ends first goes first, so that short calls
//! which others wait for go before long ones, and a caller that was refused and came
//! back before one that has just come. A caller's further calls count as if their
//! objective ended later by the time of each that it has waiting, so that a busy caller
//! cannot push back a quiet one.
//!
//! # Load patterns
//!
//! - More arrivals than slots for seconds: with the whole remaining time to wait
//!   in, the queue grows until every answer is late; with the objective as the
//!   bound the upstream answers as many, in time.
//! - An upstream that is slower than the objective: nothing waits, but free slots
//!   are used, since a late answer is better than none.
//!
//! # An upstream that names a limit
//!
//! It is sent calls at that rate, whatever slots it has free; see [`pace`]. Calls wait for
//! a token as they wait for a slot, in the same order.
//!
//! # Limits
//!
//! The estimate is a mean. Under a service time with a heavy tail some queued
//! calls run out of time; they are refused as not run as soon as that is seen.

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

/// Names one call at one gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Names a caller for fairness.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CallerKey(pub u64);

/// What a call brings to the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// When its answer is worthless.
    pub deadline: Instant,
    /// Until when its answer is worth most; at most the deadline.
    pub objective: Instant,
    /// From its route.
    pub priority: Priority,
    /// Who asked.
    pub caller: CallerKey,
    /// What kind of call it is; calls of one kind take about the same time.
    pub kind: KindKey,
    /// How long it may be expected to wait here; a caller that can ask elsewhere gives
    /// none.
    pub max_wait: Duration,
}

/// Names a kind of call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KindKey(pub u64);

/// The gate's answer to an arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Send it now.
    Run(Ticket),
    /// Hold it until a [`Wake`] names it.
    Wait(Ticket),
    /// It did not run.
    Refuse(Refusal),
}

/// News for a call that was told to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wake {
    /// Send it now.
    Run(Ticket),
    /// It did not run.
    Refuse(Ticket, Refusal),
}

/// How a call that ran ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A whole answer after this time.
    Answered(Duration),
    /// The upstream refused it before running it.
    Shed,
    /// No whole answer.
    Failed,
}
