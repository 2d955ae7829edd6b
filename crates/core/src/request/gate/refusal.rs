//! Why a call is refused as not run, and when it may come back.

use crate::request::MIN_RETRY_AFTER;
use std::fmt;
use std::time::Duration;

/// Why a call is refused as not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The calls before it leave too little of its deadline.
    Busy { retry_after: Duration },
    /// It would wait longer than it was said to; there is time for it still.
    Full { retry_after: Duration },
    /// The upstream named a limit, and no call may be sent to it in time.
    OverLimit { retry_after: Duration },
    /// Its deadline has passed.
    TooLate,
    /// The upstream is leaving; other instances may serve.
    Draining,
    /// The upstream is not registered here.
    Gone,
    /// The queue is at [`MAX_QUEUE`].
    QueueFull { retry_after: Duration },
    /// Its large answer would leave the host too late.
    LinkBusy { retry_after: Duration },
    /// It ends the upstreams that run it.
    Quarantined { retry_after: Duration },
    /// It may be the one that ended upstreams; somebody has to try it.
    Disputed { retry_after: Duration },
    /// Upstreams of another version are to serve it.
    HeldBack { retry_after: Duration },
}

impl Refusal {
    /// Returns when to come back, as far as the gate can tell.
    pub fn retry_after(&self) -> Duration {
        match self {
            Refusal::Busy { retry_after }
            | Refusal::Full { retry_after }
            | Refusal::OverLimit { retry_after }
            | Refusal::QueueFull { retry_after }
            | Refusal::LinkBusy { retry_after }
            | Refusal::Quarantined { retry_after }
            | Refusal::Disputed { retry_after }
            | Refusal::HeldBack { retry_after } => *retry_after,
            Refusal::TooLate | Refusal::Draining | Refusal::Gone => MIN_RETRY_AFTER,
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Refusal::Busy { .. } => "busy",
            Refusal::Full { .. } => "full",
            Refusal::OverLimit { .. } => "over-limit",
            Refusal::TooLate => "too-late",
            Refusal::Draining => "draining",
            Refusal::Gone => "gone",
            Refusal::QueueFull { .. } => "queue-full",
            Refusal::LinkBusy { .. } => "link-busy",
            Refusal::Quarantined { .. } => "quarantined",
            Refusal::Disputed { .. } => "disputed",
            Refusal::HeldBack { .. } => "held-back",
        })
    }
}
