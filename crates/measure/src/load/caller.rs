//! Callers: they come, wait, leave, and come back when they are told to.

use super::entry::Parent;
use super::world::{CallerId, Event, HostId, KindId, RequestId, World};
use std::time::Duration;

/// Most of what is left of a caller's time that it waits before it comes back.
const WAIT_SHARE: f64 = 1.0 / 3.0;
/// Pause before a caller repeats what failed without a time to come back.
const PAUSE: Duration = Duration::from_millis(20);
/// Least share of the deadline that callers ask for; they differ.
const LEAST_DEADLINE: f64 = 0.85;

/// A caller with one thing to ask.
#[derive(Clone, Debug)]
pub struct Caller {
    pub kind: KindId,
    pub domain: usize,
    /// Where it is connected.
    pub entry: HostId,
    /// When it came first.
    pub came: Duration,
    /// Until when it waits.
    pub until: Duration,
    /// How often it comes back.
    pub retries: u32,
    /// Whether it comes back at once, whatever it is told.
    pub impatient: bool,
    /// Whether it was refused at least once.
    pub refused: bool,
}

/// How a request ended for whoever made it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    /// A good answer.
    Served,
    /// It did not run; when to come back.
    Refused(Duration),
    /// No answer, or that of a failure.
    Failed,
    /// The caller left.
    Left,
}

impl World {
    /// Plans the next caller of a kind in a failure domain.
    pub fn next_caller(&mut self, kind: KindId, domain: usize) {
        let per_s = self.kinds[kind.0].1.per_s * self.burst / self.deployment.domains as f64;
        if per_s <= 0.0 {
            return;
        }
        let wait = Duration::from_secs_f64(-self.rng.f64().max(1e-12).ln() / per_s);
        if self.now() + wait < Duration::from_secs_f64(self.deployment.seconds) {
            self.after(wait, Event::Comes { kind, domain });
        }
    }

    pub(super) fn caller_comes(&mut self, kind: KindId, domain: usize) {
        self.next_caller(kind, domain);
        let Some(entry) = self.some_entry(domain) else { return };
        let spec = &self.kinds[kind.0].1;
        let retries = spec.retries;
        let patience = LEAST_DEADLINE + (1.0 - LEAST_DEADLINE) * self.rng.f64();
        let waits = Duration::from_secs_f64(spec.deadline_ms / 1e3 * patience);
        let (share, more) = self.impatient;
        let impatient = self.rng.f64() < share;
        let caller = Caller {
            kind,
            domain,
            entry,
            came: self.now(),
            until: self.now() + waits,
            retries: if impatient { (f64::from(retries) * more) as u32 } else { retries },
            impatient,
            refused: false,
        };
        self.callers.push(caller);
        self.caller_sends(CallerId(self.callers.len() - 1), Duration::ZERO);
    }

    fn some_entry(&mut self, domain: usize) -> Option<HostId> {
        let own: Vec<usize> =
            (0..self.hosts.len()).filter(|host| self.hosts[*host].domain == domain).collect();
        self.rng.choice(own).map(HostId)
    }

    fn caller_sends(&mut self, caller: CallerId, wait: Duration) {
        let way = Duration::from_secs_f64(self.deployment.ways.caller_ms / 1e3);
        self.after(wait + way, Event::AtEntry(caller));
    }

    pub(super) fn caller_asks(&mut self, caller: CallerId) {
        let Caller { kind, entry, until, .. } = self.callers[caller.0];
        let leaves = self.rng.f64() < self.leave;
        let objective = Duration::from_secs_f64(self.kinds[kind.0].1.objective_ms / 1e3);
        if until <= self.now() {
            return self.caller_ends(caller, End::Failed);
        }
        if !self.hosts[entry.0].open {
            return self.caller_ends(caller, End::Failed);
        }
        let request = self.enter(kind, entry, Parent::Caller(caller), until);
        if leaves {
            self.after(objective / 2, Event::Leaves(request));
        }
    }

    pub(super) fn caller_leaves(&mut self, request: RequestId) {
        if self.is_open(request) {
            self.end(request, End::Left);
        }
    }

    /// Tells a caller what became of its request.
    pub fn caller_ends(&mut self, caller: CallerId, end: End) {
        let way = Duration::from_secs_f64(self.deployment.ways.caller_ms / 1e3);
        let at = self.now() + way;
        let spec = self.kinds[self.callers[caller.0].kind.0].1.clone();
        let state = &mut self.callers[caller.0];
        let left = state.until.saturating_sub(at);
        let may_return = match end {
            End::Served | End::Left => false,
            End::Refused(_) => true,
            End::Failed => spec.repeatable || !self.hosts[state.entry.0].open,
        };
        state.refused |= matches!(end, End::Refused(_));
        if may_return && state.retries > 0 && !left.is_zero() {
            state.retries -= 1;
            let wait = match end {
                End::Refused(wait) if !state.impatient => wait.min(left.mul_f64(WAIT_SHARE)),
                _ => PAUSE,
            };
            return self.caller_sends(caller, way + wait);
        }
        let state = self.callers[caller.0].clone();
        let took = at.saturating_sub(state.came);
        let warm = Duration::from_secs_f64(self.deployment.warm_s);
        if state.came >= warm {
            self.tally.add(&state, &spec, end, took);
        }
    }
}
