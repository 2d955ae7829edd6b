//! Callers: they arrive, wait for an answer, disconnect, and retry when asked to.

use super::arrivals::OrganisationId;
use super::entry::Parent;
use super::world::{CallerId, Event, HostId, KindId, RequestId, World};
use std::time::Duration;

/// Largest share of a caller's remaining time that it waits before a retry.
const MAX_WAIT_SHARE: f64 = 1.0 / 3.0;
/// Wait before a caller retries a failed request, for which no refusal names a wait, and before
/// each retry of an impatient caller.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Smallest share of its kind's deadline that a caller waits; each caller draws its own.
const MIN_DEADLINE_SHARE: f64 = 0.85;

/// A caller with one request, which it may retry.
#[derive(Clone, Debug)]
pub struct Caller {
    pub kind: KindId,
    pub domain: usize,
    pub organisation: Option<OrganisationId>,
    /// Host of the entry daemon that it is connected to.
    pub entry: HostId,
    /// Time of its first arrival.
    pub arrived_at: Duration,
    /// Time at which a request of it first reached an upstream.
    pub reached_at: Option<Duration>,
    /// Time at which it stops waiting.
    pub deadline: Duration,
    /// Retries left.
    pub retries: u32,
    /// Whether it retries after [`RETRY_PAUSE`], whatever wait a refusal names.
    pub impatient: bool,
    /// Whether a request of it was refused at least once.
    pub refused: bool,
}

/// How a request ended for the caller or upstream that made it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    /// With a successful answer.
    Served,
    /// Refused and not run, with the wait before a retry.
    Refused(Duration),
    /// Without an answer, or with one that reports a failure.
    Failed,
    /// The caller disconnected, or the run that made the request ended.
    Left,
}

impl World {
    /// Schedules the next caller of a kind in a failure domain.
    pub fn schedule_next_caller(&mut self, kind: KindId, domain: usize) {
        let per_s = self.arrivals_per_s(kind, domain);
        if per_s <= 0.0 {
            return;
        }
        let wait = Duration::from_secs_f64(-self.rng.f64().max(1e-12).ln() / per_s);
        if self.now() + wait < Duration::from_secs_f64(self.deployment.seconds) {
            self.schedule(wait, Event::CallerArrives { kind, domain });
        }
    }

    pub(super) fn caller_arrives(&mut self, kind: KindId, domain: usize) {
        self.schedule_next_caller(kind, domain);
        let Some(entry) = self.random_entry(domain) else { return };
        let spec = &self.kinds[kind.0].1;
        let retries = spec.retries;
        let deadline_share = MIN_DEADLINE_SHARE + (1.0 - MIN_DEADLINE_SHARE) * self.rng.f64();
        let max_wait = Duration::from_secs_f64(spec.deadline_ms / 1e3 * deadline_share);
        let (share, retry_factor) = self.impatient;
        let impatient = self.rng.f64() < share;
        let organisation = self.random_organisation();
        let caller = Caller {
            kind,
            domain,
            organisation,
            entry,
            arrived_at: self.now(),
            reached_at: None,
            deadline: self.now() + max_wait,
            retries: if impatient { (f64::from(retries) * retry_factor) as u32 } else { retries },
            impatient,
            refused: false,
        };
        self.callers.push(caller);
        self.send_from_caller(CallerId(self.callers.len() - 1), Duration::ZERO);
    }

    fn random_entry(&mut self, domain: usize) -> Option<HostId> {
        let in_domain: Vec<usize> =
            (0..self.hosts.len()).filter(|host| self.hosts[*host].domain == domain).collect();
        self.rng.choice(in_domain).map(HostId)
    }

    fn send_from_caller(&mut self, caller: CallerId, wait: Duration) {
        let delay = Duration::from_secs_f64(self.deployment.ways.caller_ms / 1e3);
        self.schedule(wait + delay, Event::AtEntry(caller));
    }

    pub(super) fn request_arrives(&mut self, caller: CallerId) {
        let Caller { kind, entry, deadline, .. } = self.callers[caller.0];
        let disconnects = self.rng.f64() < self.leave_share;
        let objective = Duration::from_secs_f64(self.kinds[kind.0].1.objective_ms / 1e3);
        if deadline <= self.now() {
            return self.answer_caller(caller, End::Failed);
        }
        if !self.hosts[entry.0].daemon_up {
            return self.answer_caller(caller, End::Failed);
        }
        let request = self.start_request(kind, entry, Parent::Caller(caller), deadline);
        if disconnects {
            self.schedule(objective / 2, Event::CallerLeaves(request));
        }
    }

    pub(super) fn caller_leaves(&mut self, request: RequestId) {
        if self.is_pending(request) {
            self.end(request, End::Left);
        }
    }

    /// Ends a caller's request: schedules its retry, or else counts the caller.
    pub fn answer_caller(&mut self, caller: CallerId, end: End) {
        let delay = Duration::from_secs_f64(self.deployment.ways.caller_ms / 1e3);
        let at = self.now() + delay;
        let spec = self.kinds[self.callers[caller.0].kind.0].1.clone();
        let state = &mut self.callers[caller.0];
        let time_left = state.deadline.saturating_sub(at);
        let may_return = match end {
            End::Served | End::Left => false,
            End::Refused(_) => true,
            End::Failed => spec.repeatable || !self.hosts[state.entry.0].daemon_up,
        };
        state.refused |= matches!(end, End::Refused(_));
        if may_return && state.retries > 0 && !time_left.is_zero() {
            state.retries -= 1;
            let wait = match end {
                End::Refused(wait) if !state.impatient => {
                    wait.min(time_left.mul_f64(MAX_WAIT_SHARE))
                }
                _ => RETRY_PAUSE,
            };
            return self.send_from_caller(caller, delay + wait);
        }
        let state = self.callers[caller.0].clone();
        let latency = at.saturating_sub(state.arrived_at);
        let warmup = Duration::from_secs_f64(self.deployment.warm_s);
        if state.arrived_at >= warmup {
            self.tally.add(&state, &spec, end, latency);
        }
    }
}
