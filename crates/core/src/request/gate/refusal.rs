//! Reasons for refusing a call as not run, and when the caller may retry.

use crate::request::MIN_RETRY_AFTER;
use std::fmt;
use std::time::Duration;

/// Reason for refusing a call as not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The call would be answered after the end of its objective.
    Busy { retry_after: Duration },
    /// The expected wait is longer than the call allows, although there is time for it.
    Full { retry_after: Duration },
    /// The upstream's limit does not allow the call in time.
    OverLimit { retry_after: Duration },
    /// The deadline has passed, or too little time is left before it.
    TooLate,
    /// The upstream is draining; other instances may serve the call.
    Draining,
    /// The upstream is not registered here.
    Gone,
    /// The queue is at [`MAX_QUEUE`].
    QueueFull { retry_after: Duration },
    /// The large answer would be sent over the host's link too late.
    LinkBusy { retry_after: Duration },
    /// The call ends upstreams that run it.
    Quarantined { retry_after: Duration },
    /// The call may have ended upstreams; a trial has to show whether it does.
    Disputed { retry_after: Duration },
    /// Upstreams of another version are to serve the call.
    HeldBack { retry_after: Duration },
    /// The upstream's machine is slow at the moment, and another upstream may be faster.
    SlowHost { retry_after: Duration },
    /// The nested calls of such calls are refused by the service that they call.
    Dependency { retry_after: Duration },
}

impl Refusal {
    /// Returns the time after which the caller may retry, as estimated by the gate.
    pub fn retry_after(&self) -> Duration {
        match self {
            Refusal::Busy { retry_after }
            | Refusal::Full { retry_after }
            | Refusal::OverLimit { retry_after }
            | Refusal::QueueFull { retry_after }
            | Refusal::LinkBusy { retry_after }
            | Refusal::Quarantined { retry_after }
            | Refusal::Disputed { retry_after }
            | Refusal::HeldBack { retry_after }
            | Refusal::SlowHost { retry_after }
            | Refusal::Dependency { retry_after } => *retry_after,
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
            Refusal::SlowHost { .. } => "slow-host",
            Refusal::Dependency { .. } => "dependency",
        })
    }
}
