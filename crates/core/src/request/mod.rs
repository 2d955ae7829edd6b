//! Where a call is sent, when it runs, and what its caller is answered.
//!
//! Two daemons decide about a call. The *entry* daemon, which the caller is connected to,
//! chooses an upstream ([`choose`]) and decides about retries ([`retry`]). The *exit* daemon,
//! on the upstream's host, admits the call ([`gate`]): no other daemon sends to that upstream,
//! so it counts slots exactly. Both shape the answers that leave by their host's [`link`].
//!
//! # What "not run" means
//!
//! A daemon answers "not run" only if it is certain that the call did not run: no byte of it
//! reached an upstream, or the upstream refused it unexecuted. Any other attempt without a
//! complete answer has an unknown outcome, after which a call that is not repeatable is never
//! sent again.

pub mod choose;
pub mod dependency;
pub mod gate;
pub mod link;
pub mod machine;
pub mod retry;
pub mod returning;
pub mod suspects;
pub mod throttle;

use std::time::Duration;

/// Shortest time until a retry that a refused caller is given.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Longest time until a retry that a refused caller is given.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Adds jitter to a time until a retry: half to one and a half times its length.
///
/// Without jitter all callers refused at one moment would retry at one moment, and the
/// overload would recur at regular intervals. `random` is a random number.
pub fn jitter(wait: Duration, random: u64) -> Duration {
    let share = 0.5 + (random % 1024) as f64 / 1024.0;
    wait.mul_f64(share).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
