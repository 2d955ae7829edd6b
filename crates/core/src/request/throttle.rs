//! Adaptive throttling at the entry daemon: refuses calls at once that hosts would refuse.
//!
//! Load pattern: more calls than slots for seconds. Each call that finds no slot is first sent
//! to several hosts, which refuse it one after the other. This work delays the calls that could
//! be served, most of all where daemons have little processor time, and fewer calls are served
//! than without the overload. An entry daemon therefore sends only somewhat more calls of a kind
//! than hosts lately accepted from it, and refuses the others before it reads their bodies.
//!
//! Only refusals for want of room count. Calls that upstreams refuse although they have free
//! slots would be refused in the same share however few of them are sent, so that throttling
//! would take from callers without any gain.
//!
//! # Limits
//!
//! Each entry daemon knows only its own calls. A daemon that sends a few calls of a kind per
//! second needs some seconds to see an overload, and throttles none until then.

use super::gate::KindKey;
use crate::config::Priority;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Calls sent for each call that hosts accept. The calls above one find out when there is
/// room again.
const SENT_PER_ACCEPTED: f64 = 1.4;
/// Time constant with which outcomes are forgotten.
const WINDOW: Duration = Duration::from_secs(1);
/// Recent calls of a kind below which none is refused here.
const MIN_CALLS: f64 = 10.0;
/// Largest share of the calls that is refused here, so that room is noticed soon.
const MAX_REFUSED: f64 = 0.7;
/// Kinds with an account of their own; calls of further kinds are never refused here.
const MAX_KINDS: usize = 64;

/// Recent calls of one entry daemon, by kind and priority.
#[derive(Clone, Debug, Default)]
pub struct Throttle {
    accounts: HashMap<(KindKey, Priority), Account>,
}

/// Decayed counts of the calls of one kind and priority.
#[derive(Clone, Copy, Debug)]
struct Account {
    /// Calls whose outcome is known, including those refused here.
    calls: f64,
    /// Calls that a host accepted.
    accepted: f64,
    /// Wait that hosts asked for when they last refused a call.
    retry_after: Duration,
    updated: Instant,
}

/// What hosts did with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// A host had room for it, however it ended then.
    Accepted,
    /// No host had room for it.
    NoRoom { retry_after: Duration },
}

impl Throttle {
    /// Decides whether a call is sent to hosts; `random` is any number.
    ///
    /// # Errors
    ///
    /// Returns the wait that hosts asked for lately if the call is to be refused.
    pub fn admit(
        &mut self,
        kind: KindKey,
        priority: Priority,
        now: Instant,
        random: u64,
    ) -> Result<(), Duration> {
        let Some(account) = self.accounts.get_mut(&(kind, priority)) else { return Ok(()) };
        account.decay(now);
        let draw = (random % 1024) as f64 / 1024.0;
        if draw >= account.refused_share() {
            return Ok(());
        }
        account.calls += 1.0;
        Err(account.retry_after)
    }

    /// Records what hosts did with a call that was sent.
    pub fn record(
        &mut self,
        kind: KindKey,
        priority: Priority,
        outcome: CallOutcome,
        now: Instant,
    ) {
        let has_space = self.accounts.len() < MAX_KINDS;
        let account = match self.accounts.get_mut(&(kind, priority)) {
            Some(account) => account,
            None if has_space => self.accounts.entry((kind, priority)).or_insert(Account::new(now)),
            None => return,
        };
        account.decay(now);
        account.calls += 1.0;
        match outcome {
            CallOutcome::Accepted => account.accepted += 1.0,
            CallOutcome::NoRoom { retry_after } => account.retry_after = retry_after,
        }
    }

    /// Returns the largest share of the calls of any kind that is refused now.
    pub fn max_refused_share(&self) -> f64 {
        self.accounts.values().map(Account::refused_share).fold(0.0, f64::max)
    }
}

impl Account {
    fn new(now: Instant) -> Account {
        Account { calls: 0.0, accepted: 0.0, retry_after: super::MIN_RETRY_AFTER, updated: now }
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated);
        self.updated = now;
        let kept = (-elapsed.as_secs_f64() / WINDOW.as_secs_f64()).exp();
        self.calls *= kept;
        self.accepted *= kept;
    }

    fn refused_share(&self) -> f64 {
        if self.calls < MIN_CALLS {
            return 0.0;
        }
        (1.0 - SENT_PER_ACCEPTED * self.accepted / self.calls).clamp(0.0, MAX_REFUSED)
    }
}
