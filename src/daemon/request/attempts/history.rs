//! The outcome of a call's attempts so far, and what follows for the next attempt.

use crate::daemon::request::answer::Answer;
use crate::daemon::request::log_lines::TriedUpstream;
use crate::daemon::request::send::SendOptions;
use crate::daemon::request::trial::Trial;
use crate::daemon::services::Target;
use cicadashift_core::request::choose::UpstreamKey;
use cicadashift_core::request::retry::Attempt;
use std::time::{Duration, Instant};

/// Longest wait for a host's link that is busy with other large answers, while fewer than
/// [`MAX_LINK_REFUSALS`] hosts have refused for it; after that the objective is the bound.
/// About one document of 90 KB at 5 Mbit/s, while asking another host costs some 10 ms.
const MAX_LINK_WAIT: Duration = Duration::from_millis(160);
/// Refusals for a busy link after which [`MAX_LINK_WAIT`] no longer applies.
const MAX_LINK_REFUSALS: u32 = 2;
/// Refusals for lack of a free slot after which the call waits in a host's queue. Before
/// that, a host believed to have a free slot must run or refuse the call at once. Where
/// all hosts are full each such attempt only costs time at two daemons.
const MAX_FULL_REFUSALS: u32 = 2;
/// Longest time for which a call is retried while daemons do not agree yet which version
/// serves: one learns of a cutover up to half a second before another.
const MAX_STAGE_WAIT: Duration = Duration::from_millis(700);

/// State that a call's attempts share.
#[derive(Default)]
pub struct AttemptHistory {
    /// Upstreams that are not to be chosen again.
    pub tried: Vec<UpstreamKey>,
    /// Refusals by hosts whose link was too busy for the answer. Such a host may be chosen
    /// again, since the picker takes into account how busy the link is.
    pub link_refusals: u32,
    /// Upstreams that had no free slot. They may be chosen again, then to wait for one.
    pub full: Vec<UpstreamKey>,
    /// Refusals by hosts that had no free slot; `MAX_FULL_REFUSALS` once the call may wait.
    pub full_refusals: u32,
    /// The attempts that brought no answer, for the log.
    pub missed: Vec<TriedUpstream>,
    /// Whether a host sent the call elsewhere since its machine was slow at the moment. It
    /// happens once to a call, so that it does not move between slow hosts.
    pub was_redirected: bool,
    /// Attempts that reached an upstream or may have.
    pub arrivals: u32,
    /// Reason of the last refusal, and the shortest `Retry-After` of all refusals.
    pub last_refusal: Option<(&'static str, Duration)>,
    /// Whether an attempt ended with an unknown outcome.
    pub may_have_run: bool,
    /// A failure answer of an upstream, passed to the caller if no later attempt succeeds.
    pub failure: Option<Answer>,
    /// When it was first found to be in doubt whether the call ends upstreams.
    pub in_doubt_since: Option<Instant>,
    /// When a host first refused the call since another version is to serve it.
    pub held_back_since: Option<Instant>,
    /// Held while this call is the one trial in the fleet.
    pub trial: Option<Trial>,
}

impl AttemptHistory {
    /// Returns the number of attempts that count towards the limit of daemons asked: those
    /// at upstreams that are not to be chosen again, and those refused for a busy link.
    pub fn attempts(&self) -> u32 {
        self.tried.len() as u32 + self.link_refusals
    }

    /// Returns the options for the next attempt: how long it may wait at `target`, and whether it
    /// is a trial.
    pub fn send_options(&self, target: &Target) -> SendOptions {
        let no_wait = target.has_room && self.full_refusals < MAX_FULL_REFUSALS;
        SendOptions {
            max_link_backlog: if self.link_refusals < MAX_LINK_REFUSALS {
                MAX_LINK_WAIT
            } else {
                Duration::MAX
            },
            max_slot_wait: if no_wait { Duration::ZERO } else { Duration::MAX },
            may_redirect: target.has_faster && !self.was_redirected && self.trial.is_none(),
            is_trial: self.trial.is_some(),
        }
    }

    /// Returns whether a call that is left to another version may still be retried.
    pub fn may_wait_for_stage(&mut self, now: Instant) -> bool {
        now < *self.held_back_since.get_or_insert(now) + MAX_STAGE_WAIT
    }

    /// Records an attempt that brought no answer, for the log.
    pub fn record_missed(&mut self, target: &Target, why: &'static str) {
        self.missed.push(TriedUpstream { upstream: target.instance.clone(), why });
    }

    /// Records that a host had no free slot.
    pub fn record_full(&mut self, key: UpstreamKey) {
        self.full.push(key);
        self.full_refusals += 1;
        if self.full_refusals >= MAX_FULL_REFUSALS {
            self.retry_full();
        }
    }

    /// Records that a host sent the call elsewhere since its machine was slow at the moment.
    /// Like an upstream without a free slot, it may be chosen again where no other is left.
    pub fn record_redirect(&mut self, key: UpstreamKey) {
        self.full.push(key);
        self.was_redirected = true;
    }

    /// Allows upstreams that had no free slot to be chosen again, so that the call waits for
    /// a slot there; returns whether there are any.
    pub fn retry_full(&mut self) -> bool {
        let full = std::mem::take(&mut self.full);
        self.full_refusals = MAX_FULL_REFUSALS;
        self.tried.retain(|tried| !full.contains(tried));
        !full.is_empty()
    }

    /// Records an attempt that ended without an answer to pass on.
    pub fn record_failure(&mut self, attempt: Attempt, reason: &'static str) {
        if let Attempt::NotRun { retry_after, .. } = attempt {
            let soonest = self.last_refusal.map_or(retry_after, |(_, wait)| wait.min(retry_after));
            self.last_refusal = Some((reason, soonest));
        }
        self.arrivals += u32::from(attempt.may_have_arrived());
        self.may_have_run |= attempt == Attempt::Unknown;
    }
}
