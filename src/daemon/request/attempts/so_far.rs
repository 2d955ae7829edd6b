//! What the attempts at a call left behind, and what follows for the next one.

use crate::daemon::request::answer::Answer;
use crate::daemon::request::send::SendOptions;
use crate::daemon::request::trial::Trial;
use crate::daemon::services::Target;
use cicadashift_core::request::choose::UpstreamKey;
use cicadashift_core::request::retry::Attempt;
use std::time::{Duration, Instant};

/// How long the link of the host asked may be busy with other large answers, for the
/// first hosts asked for one; afterwards the objective is the bound. About one
/// document of 90 KB at 5 Mbit/s: asking another host costs some 10 ms.
const LINK_BUSY_MOST: Duration = Duration::from_millis(160);
/// Hosts asked in that way.
const LINKS_ASKED: u32 = 2;
/// Hosts asked for a free slot before a call waits at one, while what is known of them
/// says that they have one. Where all are full each question only costs two daemons their
/// time.
const ASKED_FREE: u32 = 2;
/// Time for which a call waits where daemons do not agree yet which version serves: one
/// hears of a cutover up to half a second before another.
const STAGE_WAIT: Duration = Duration::from_millis(700);

/// What the attempts so far left behind.
#[derive(Default)]
pub struct SoFar {
    pub tried: Vec<UpstreamKey>,
    /// Hosts whose link was too busy for the answer; one of them may be asked again,
    /// since what they said counts in the choice.
    pub links_busy: u32,
    /// Upstreams that had no free slot. They may be asked again, to wait there.
    pub full: Vec<UpstreamKey>,
    /// Hosts asked for a free slot.
    pub asked_free: u32,
    /// Attempts that reached an upstream or may have.
    pub arrivals: u32,
    pub last_refusal: Option<(&'static str, Duration)>,
    pub may_have_run: bool,
    /// A failure that an upstream answered, for the caller if nothing better
    /// comes.
    pub failure: Option<Answer>,
    /// When the call was found to be in doubt: it may end upstreams.
    pub doubted: Option<Instant>,
    /// When a host first left it to another version.
    pub held_back: Option<Instant>,
    /// Held while the call is the one trial of the fleet.
    pub trial: Option<Trial>,
}

impl SoFar {
    /// Returns how many daemons were asked.
    pub fn asked(&self) -> u32 {
        self.tried.len() as u32 + self.links_busy
    }

    /// Returns how long the call may wait at the next host.
    pub fn patience(&self, target: &Target) -> SendOptions {
        let asks_free = target.has_room && self.asked_free < ASKED_FREE;
        SendOptions {
            max_link_backlog: if self.links_busy < LINKS_ASKED {
                LINK_BUSY_MOST
            } else {
                Duration::MAX
            },
            max_slot_wait: if asks_free { Duration::ZERO } else { Duration::MAX },
            is_trial: self.trial.is_some(),
        }
    }

    /// Returns whether a call that was left to another version is sent again.
    pub fn may_wait_for_stage(&mut self, now: Instant) -> bool {
        now < *self.held_back.get_or_insert(now) + STAGE_WAIT
    }

    /// Takes in that a host had no free slot.
    pub fn was_full(&mut self, key: UpstreamKey) {
        self.full.push(key);
        self.asked_free += 1;
        if self.asked_free >= ASKED_FREE {
            self.back_to_full();
        }
    }

    /// Lets the call be sent to those that had no free slot, to wait there; returns
    /// whether there are any.
    pub fn back_to_full(&mut self) -> bool {
        let full = std::mem::take(&mut self.full);
        self.asked_free = ASKED_FREE;
        self.tried.retain(|tried| !full.contains(tried));
        !full.is_empty()
    }

    /// Takes in how an attempt ended, other than with an answer to pass on.
    pub fn missed(&mut self, attempt: Attempt, reason: &'static str) {
        if let Attempt::NotRun { retry_after, .. } = attempt {
            let soonest = self.last_refusal.map_or(retry_after, |(_, wait)| wait.min(retry_after));
            self.last_refusal = Some((reason, soonest));
        }
        self.arrivals += u32::from(attempt.may_have_arrived());
        self.may_have_run |= attempt == Attempt::Unknown;
    }
}
