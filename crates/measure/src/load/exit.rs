//! The exit daemon with its gate, and the upstream behind it.

use super::caller::End;
use super::entry::{Got, Parent};
use super::world::{Event, HostId, KindId, RequestId, TryId, World};
use cicadashift_core::request::choose::{Demand, LoadReport, UpstreamKey};
use cicadashift_core::request::gate::{
    self, Admission, Arrival, CallerKey, Gate, Refusal, Ticket, Wake,
};
use std::time::Duration;

/// How far an attempt is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    OnWay,
    Waits(Ticket),
    Runs { ticket: Ticket, since: Duration, nested: Vec<RequestId>, left: u32 },
    Over,
}

/// One attempt of a request at an upstream.
#[derive(Clone, Debug)]
pub struct Try {
    pub request: RequestId,
    pub host: HostId,
    /// The start of the upstream that it was sent to.
    pub life: u32,
    pub key: UpstreamKey,
    pub demand: Demand,
    pub sent: Duration,
    /// Time of the way back.
    pub back: Duration,
    /// How long it may wait at the gate.
    pub max_wait: Duration,
    pub stage: Stage,
}

impl World {
    pub(super) fn at_exit(&mut self, attempt: TryId) {
        let Try { request, host, life, demand, max_wait, .. } = self.tries[attempt.0];
        if self.tries[attempt.0].stage == Stage::Over {
            return;
        }
        let state = &self.hosts[host.0];
        if !state.up || state.life != life {
            return self.answer(attempt, Got::Unreached);
        }
        let now = self.now();
        let objective = self.requests[request.0].first_came
            + Duration::from_secs_f64(
                self.kinds[self.requests[request.0].kind.0].1.objective_ms / 1e3,
            );
        let arrival = Arrival {
            deadline: self.instant(self.requests[request.0].deadline),
            objective: self.instant(objective.max(now)),
            priority: demand.priority,
            caller: CallerKey(self.requests[request.0].entry.0 as u64),
            kind: demand.kind,
            max_wait,
        };
        let (at, random) = (self.instant(now), self.rng.u64(..));
        let state = &mut self.hosts[host.0];
        match state.gate.admit(arrival, at, random) {
            Admission::Run(ticket) => {
                state.tickets.insert(ticket, attempt);
                self.run(attempt, ticket);
            }
            Admission::Wait(ticket) => {
                state.tickets.insert(ticket, attempt);
                self.tries[attempt.0].stage = Stage::Waits(ticket);
            }
            Admission::Refuse(Refusal::Full { .. }) => {
                let report = self.report(attempt);
                self.answer(attempt, Got::Full { report });
            }
            Admission::Refuse(refusal) => self.refuse(attempt, refusal.retry_after(), false),
        }
    }

    fn refuse(&mut self, attempt: TryId, retry_after: Duration, arrived: bool) {
        let report = self.report(attempt);
        self.answer(attempt, Got::Refused { retry_after, arrived, report });
    }

    /// Returns what the exit daemon tells of its upstream beside any answer.
    fn report(&self, attempt: TryId) -> LoadReport {
        let host = self.tries[attempt.0].host;
        let gate = &self.hosts[host.0].gate;
        LoadReport {
            load: Some((gate.running() + gate.queued()) as u16),
            accept_ratio: Some(gate.acceptance_rate(self.instant(self.now()))),
            next_token: None,
        }
    }

    fn answer(&mut self, attempt: TryId, got: Got) {
        self.tries[attempt.0].stage = Stage::Over;
        let back = self.tries[attempt.0].back;
        self.after(back, Event::Back(attempt, got));
    }

    /// Begins work on an attempt that was let in.
    fn run(&mut self, attempt: TryId, ticket: Ticket) {
        let host = self.tries[attempt.0].host;
        if self.rng.f64() < self.hosts[host.0].refuses {
            let retry_after = self.hosts[host.0].gate.mean_service_time();
            self.refuse(attempt, retry_after, true);
            return self.leave_gate(host, ticket, gate::End::Shed);
        }
        let since = self.now();
        let kind = self.requests[self.tries[attempt.0].request.0].kind;
        let left = match &self.kinds[kind.0].1.calls {
            Some(nested) if self.rng.f64() < nested.share => nested.times,
            _ => 0,
        };
        self.tries[attempt.0].stage = Stage::Runs { ticket, since, nested: Vec::new(), left };
        self.work(attempt);
    }

    fn call_others(&mut self, attempt: TryId, times: u32) {
        let Try { request, host, .. } = self.tries[attempt.0];
        let parent = self.requests[request.0].clone();
        let nested = self.kinds[parent.kind.0].1.calls.clone();
        let Some(kind) =
            nested.and_then(|n| self.kinds.iter().position(|(name, _)| *name == n.kind))
        else {
            return;
        };
        let most = Duration::from_secs_f64(self.kinds[kind].1.deadline_ms / 1e3);
        let until = parent.deadline.min(self.now() + most);
        for _ in 0..times {
            // One before it may have ended the run already.
            if !matches!(self.tries[attempt.0].stage, Stage::Runs { .. }) {
                return;
            }
            let id = self.enter(KindId(kind), host, Parent::Run(attempt), until);
            if let Stage::Runs { nested, .. } = &mut self.tries[attempt.0].stage {
                nested.push(id);
            }
        }
    }

    /// Takes in how a call that an upstream made has ended.
    pub(super) fn nested_ends(&mut self, attempt: TryId, served: bool) {
        let Stage::Runs { ticket, left, .. } = &mut self.tries[attempt.0].stage else { return };
        let ticket = *ticket;
        if served {
            *left -= 1;
            if *left == 0 {
                self.end_work(attempt, ticket);
            }
            return;
        }
        self.tally.wasted_runs += 1;
        self.finish(attempt, ticket, false);
    }

    fn work(&mut self, attempt: TryId) {
        let host = self.tries[attempt.0].host;
        let kind = self.requests[self.tries[attempt.0].request.0].kind;
        let spec = &self.kinds[kind.0].1;
        let (u, v) = (self.rng.f64().max(1e-12), self.rng.f64());
        let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
        let spread = (spec.spread * normal - spec.spread * spec.spread / 2.0).exp();
        let tail = if self.rng.f64() < spec.tail { spec.tail_x } else { 1.0 };
        let state = &self.hosts[host.0];
        let cold_x = self.services[state.service].1.cold_x;
        let cold = if self.now() < state.cold_until { cold_x } else { 1.0 };
        let ms = spec.work_ms * spread * tail * state.speed * state.slow * cold;
        self.after(Duration::from_secs_f64(ms / 1e3), Event::Worked(attempt));
    }

    pub(super) fn worked(&mut self, attempt: TryId) {
        match self.tries[attempt.0].stage {
            Stage::Runs { ticket, left: 0, .. } => self.end_work(attempt, ticket),
            Stage::Runs { left, .. } => self.call_others(attempt, left),
            _ => {}
        }
    }

    /// Ends a run whose work and calls are done, with an answer that may be lost.
    fn end_work(&mut self, attempt: TryId, ticket: Ticket) {
        let host = self.tries[attempt.0].host;
        if self.rng.f64() < self.hosts[host.0].loses {
            self.answer(attempt, Got::Broken);
            return self.leave_gate(host, ticket, gate::End::Failed);
        }
        let good = self.rng.f64() >= self.hosts[host.0].fails;
        self.finish(attempt, ticket, good);
    }

    /// Ends a run with an answer.
    fn finish(&mut self, attempt: TryId, ticket: Ticket, good: bool) {
        let host = self.tries[attempt.0].host;
        let took = self.stop_nested(attempt);
        let report = self.report(attempt);
        self.answer(attempt, Got::Answer { good, service: took, report });
        self.leave_gate(host, ticket, gate::End::Answered(took));
    }

    /// Ends the calls that a run has under way; returns how long it ran.
    fn stop_nested(&mut self, attempt: TryId) -> Duration {
        let stage = std::mem::replace(&mut self.tries[attempt.0].stage, Stage::Over);
        let Stage::Runs { since, nested, .. } = stage else { return Duration::ZERO };
        for request in nested {
            if self.is_open(request) {
                self.end(request, End::Left);
            }
        }
        self.now().saturating_sub(since)
    }

    fn leave_gate(&mut self, host: HostId, ticket: Ticket, end: gate::End) {
        let now = self.instant(self.now());
        let state = &mut self.hosts[host.0];
        state.tickets.remove(&ticket);
        let wakes = state.gate.ended(ticket, end, now);
        self.wake(host, wakes);
    }

    /// Carries out what a gate decided about those that wait.
    pub(super) fn wake(&mut self, host: HostId, wakes: Vec<Wake>) {
        for wake in wakes {
            let ticket = match wake {
                Wake::Run(ticket) | Wake::Refuse(ticket, _) => ticket,
            };
            let Some(attempt) = self.hosts[host.0].tickets.get(&ticket).copied() else { continue };
            match wake {
                Wake::Run(_) => self.run(attempt, ticket),
                Wake::Refuse(_, refusal) => {
                    self.hosts[host.0].tickets.remove(&ticket);
                    self.refuse(attempt, refusal.retry_after(), false);
                }
            }
        }
    }

    pub(super) fn given_up(&mut self, attempt: TryId) {
        let host = self.tries[attempt.0].host;
        match self.tries[attempt.0].stage.clone() {
            Stage::OnWay => self.tries[attempt.0].stage = Stage::Over,
            Stage::Waits(ticket) => {
                self.tries[attempt.0].stage = Stage::Over;
                self.hosts[host.0].tickets.remove(&ticket);
                self.hosts[host.0].gate.cancel(ticket);
            }
            Stage::Runs { ticket, .. } => {
                self.tally.wasted_runs += 1;
                self.stop_nested(attempt);
                self.leave_gate(host, ticket, gate::End::Failed);
            }
            Stage::Over => {}
        }
    }

    /// Breaks off all that an upstream has in hand.
    pub(super) fn break_all(&mut self, host: HostId) {
        let held: Vec<TryId> = self.hosts[host.0].tickets.drain().map(|(_, held)| held).collect();
        let slots = self.services[self.hosts[host.0].service].1.slots;
        self.hosts[host.0].gate = Gate::new(u32::from(slots));
        for attempt in held {
            self.stop_nested(attempt);
            self.answer(attempt, Got::Broken);
        }
    }
}
