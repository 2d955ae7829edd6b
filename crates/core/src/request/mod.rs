//! Where a call goes, when it runs, and what its caller is told.
//!
//! Two daemons decide about a call. The *entry* daemon, where the caller is
//! connected, chooses an upstream ([`choose`]) and decides about another
//! attempt ([`retry`]). The *exit* daemon, on the upstream's host, admits it
//! ([`gate`]): it alone sends to that upstream, so it counts slots exactly. Each has a
//! [`link`] that its answers leave by.
//!
//! # What "not run" means
//!
//! Only a daemon that knows that no byte of a call reached an upstream says
//! "not run". Everything else that is not a whole answer is an unknown outcome,
//! and a call that is not repeatable is never sent again after one.

pub mod choose;
pub mod gate;
pub mod link;
pub mod retry;
pub mod returning;
pub mod suspects;

use std::time::Duration;

/// Shortest time a refused caller is told to wait.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Longest time a refused caller is told to wait.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Spreads a time to come back over half to one and a half times its length.
///
/// Failure: all callers refused in one moment come back in one moment. Symptom:
/// the overload repeats at a regular beat. `random` is any number.
pub fn jitter(wait: Duration, random: u64) -> Duration {
    let share = 0.5 + (random % 1024) as f64 / 1024.0;
    wait.mul_f64(share).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
