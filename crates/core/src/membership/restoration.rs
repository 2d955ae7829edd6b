//! When a daemon that has just started knows which upstreams of its host are leaving.
//!
//! Other daemons remember them ([`super::departures`]), but not all of them do: one that has
//! just started itself has forgotten as much. Its answer that nothing left says nothing. Only
//! an *established* daemon, which started well before this one, answers for the time before.
//!
//! Where no established one is known, all daemons may have ended together, or this one has not
//! found the others yet. It waits until a daemon of another failure domain has answered, since
//! domains are lost as a whole, or for [`DISCOVERY_TIME`] if only its own domain answers, and
//! then goes by what the upstream's health says. `docs/DESIGN.md`, "What a restart must not
//! forget", has the reasons.
//!
//! # Limits
//!
//! Established daemons are told by the times of day at which they started. A clock that is wrong
//! by more than [`ESTABLISHED_MARGIN`] makes a daemon wait for nothing, up to
//! [`RESTORE_TIMEOUT`], or take the word of one that has just started.

use crate::ids::Incarnation;
use std::time::{Duration, Instant};

/// Time by which an established daemon started before this one: clocks of hosts differ, and
/// daemons that end together do not start at the same moment.
pub const ESTABLISHED_MARGIN: Duration = Duration::from_millis(1500);
/// Time after the start in which a daemon finds the others.
pub const DISCOVERY_TIME: Duration = Duration::from_millis(300);
/// Longest wait for the word of another daemon.
pub const RESTORE_TIMEOUT: Duration = Duration::from_secs(1);

/// What a daemon has heard from others about the departures of its host since its start.
#[derive(Clone, Debug)]
pub struct Restoration {
    incarnation: Incarnation,
    started: Instant,
    has_established_answered: bool,
    has_own_domain_answered: bool,
    has_other_domain_answered: bool,
}

impl Restoration {
    /// Creates the state of a daemon that starts now. `incarnation` is the time of day of its
    /// start in Unix milliseconds, as for all daemons.
    pub fn new(incarnation: Incarnation, now: Instant) -> Restoration {
        Restoration {
            incarnation,
            started: now,
            has_established_answered: false,
            has_own_domain_answered: false,
            has_other_domain_answered: false,
        }
    }

    /// Returns whether a daemon of this incarnation started well before this one.
    pub fn is_established(&self, other: Incarnation) -> bool {
        other.saturating_add(ESTABLISHED_MARGIN.as_millis() as u64) <= self.incarnation
    }

    /// Records that a daemon has returned the departures that it knows.
    pub fn answered(&mut self, other: Incarnation, is_in_other_domain: bool) {
        self.has_established_answered |= self.is_established(other);
        self.has_own_domain_answered |= !is_in_other_domain;
        self.has_other_domain_answered |= is_in_other_domain;
    }

    /// Returns whether a daemon that remembers has answered.
    pub fn is_complete(&self) -> bool {
        self.has_established_answered
    }

    /// Returns whether nothing more is to be expected from other daemons for the moment.
    /// `knows_established` says that a live established daemon is known.
    pub fn is_settled(&self, knows_established: bool, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.started);
        if self.has_established_answered || age >= RESTORE_TIMEOUT {
            return true;
        }
        let is_alone = self.has_own_domain_answered && age >= DISCOVERY_TIME;
        !knows_established && (self.has_other_domain_answered || is_alone)
    }
}
