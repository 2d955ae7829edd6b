//! The exit daemon with its gate, and the upstream behind it.

use super::caller::End;
use super::entry::{AttemptResult, Parent, Request};
use super::world::{AttemptId, Event, HostId, KindId, RequestId, World};
use cicadashift_core::request::choose::{Demand, LoadReport, UpstreamKey};
use cicadashift_core::request::gate::{
    self, Admission, Arrival, CallerKey, Gate, Refusal, Ticket, Wake,
};
use std::time::Duration;

/// State of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// On the way to the exit daemon.
    InTransit,
    /// Waiting for a slot at the gate.
    Queued(Ticket),
    /// Running at the upstream; `calls_left` nested calls are not answered yet.
    Running {
        ticket: Ticket,
        since: Duration,
        nested: Vec<RequestId>,
        calls_left: u32,
    },
    Ended,
}

impl Stage {
    /// Returns the number of nested calls that are not answered yet.
    pub fn calls_left(&self) -> u32 {
        match self {
            Stage::Running { calls_left, .. } => *calls_left,
            _ => 0,
        }
    }
}

/// One attempt of a request at an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamAttempt {
    pub request: RequestId,
    pub host: HostId,
    /// Incarnation of the upstream that the attempt was sent to.
    pub incarnation: u32,
    pub key: UpstreamKey,
    pub demand: Demand,
    pub sent_at: Duration,
    /// Network delay of the answer.
    pub return_delay: Duration,
    /// Longest expected wait at which the gate queues the attempt.
    pub max_wait: Duration,
    pub stage: Stage,
}

impl World {
    pub(super) fn attempt_arrives(&mut self, attempt: AttemptId) {
        let UpstreamAttempt { request, host, incarnation, demand, max_wait, .. } =
            self.attempts[attempt.0];
        if self.attempts[attempt.0].stage == Stage::Ended {
            return;
        }
        let state = &self.hosts[host.0];
        if !state.upstream_up || state.incarnation != incarnation {
            return self.send_result(attempt, AttemptResult::Unreached);
        }
        let now = self.now();
        let objective = self.requests[request.0].first_arrival
            + Duration::from_secs_f64(
                self.kinds[self.requests[request.0].kind.0].1.objective_ms / 1e3,
            );
        let arrival = Arrival {
            deadline: self.instant(self.requests[request.0].deadline),
            objective: self.instant(objective.max(now)),
            priority: demand.priority,
            caller: self.caller_key(request),
            kind: demand.kind,
            max_wait,
        };
        let (at, random) = (self.instant(now), self.rng.u64(..));
        let state = &mut self.hosts[host.0];
        match state.gate.admit(arrival, at, random) {
            Admission::Run(ticket) => {
                state.tickets.insert(ticket, attempt);
                self.start_run(attempt, ticket);
            }
            Admission::Wait(ticket) => {
                state.tickets.insert(ticket, attempt);
                self.attempts[attempt.0].stage = Stage::Queued(ticket);
            }
            Admission::Refuse(Refusal::Full { .. }) => {
                let report = self.load_report(attempt);
                self.send_result(attempt, AttemptResult::Full { report });
            }
            Admission::Refuse(refusal) => self.refuse(attempt, refusal.retry_after(), false),
        }
    }

    /// Returns the caller among which gates are fair: the organisation, or else the entry daemon.
    fn caller_key(&self, request: RequestId) -> CallerKey {
        let Request { entry, organisation, .. } = self.requests[request.0];
        CallerKey(organisation.map_or(entry.0, |organisation| organisation.0) as u64)
    }

    fn refuse(&mut self, attempt: AttemptId, retry_after: Duration, arrived: bool) {
        let report = self.load_report(attempt);
        self.send_result(attempt, AttemptResult::Refused { retry_after, arrived, report });
    }

    /// Returns the load report of the attempt's upstream, sent with each answer and refusal.
    fn load_report(&self, attempt: AttemptId) -> LoadReport {
        let host = self.attempts[attempt.0].host;
        let gate = &self.hosts[host.0].gate;
        LoadReport {
            load: Some((gate.running() + gate.queued()) as u16),
            accept_ratio: Some(gate.acceptance_rate(self.instant(self.now()))),
            next_token: None,
            pace: None,
        }
    }

    fn send_result(&mut self, attempt: AttemptId, result: AttemptResult) {
        self.attempts[attempt.0].stage = Stage::Ended;
        let delay = self.attempts[attempt.0].return_delay;
        self.schedule(delay, Event::ResultAtEntry(attempt, result));
    }

    /// Runs an attempt that the gate admitted, unless the upstream refuses it.
    fn start_run(&mut self, attempt: AttemptId, ticket: Ticket) {
        let UpstreamAttempt { request, host, .. } = self.attempts[attempt.0];
        self.record_reached(request);
        if self.rng.f64() < self.hosts[host.0].refuse_share {
            let retry_after = self.hosts[host.0].gate.mean_service_time();
            self.refuse(attempt, retry_after, true);
            return self.leave_gate(host, ticket, gate::End::Shed);
        }
        let since = self.now();
        self.tally.by_service[self.hosts[host.0].service].runs += 1;
        let kind = self.requests[request.0].kind;
        let calls_left = match &self.kinds[kind.0].1.calls {
            Some(nested) if self.rng.f64() < nested.share => nested.times,
            _ => 0,
        };
        self.attempts[attempt.0].stage =
            Stage::Running { ticket, since, nested: Vec::new(), calls_left };
        self.schedule_work(attempt);
    }

    /// Records that a caller's request has reached an upstream.
    fn record_reached(&mut self, request: RequestId) {
        let now = self.now();
        if let Parent::Caller(caller) = self.requests[request.0].parent {
            self.callers[caller.0].reached_at.get_or_insert(now);
        }
    }

    /// Makes the nested calls of a run whose work is done; only the next one if they are made
    /// in turn.
    fn make_nested_calls(&mut self, attempt: AttemptId, calls_left: u32) {
        let UpstreamAttempt { request, host, .. } = self.attempts[attempt.0];
        let parent = self.requests[request.0].clone();
        let Some(spec) = self.kinds[parent.kind.0].1.calls.clone() else { return };
        let Some(kind) = self.kinds.iter().position(|(name, _)| *name == spec.kind) else { return };
        let times = if spec.in_turn { 1 } else { calls_left };
        let own_deadline = Duration::from_secs_f64(self.kinds[kind].1.deadline_ms / 1e3);
        let deadline = parent.deadline.min(self.now() + own_deadline);
        for _ in 0..times {
            // An earlier nested call may have failed at once and ended the run.
            if !matches!(self.attempts[attempt.0].stage, Stage::Running { .. }) {
                return;
            }
            let id = self.start_request(KindId(kind), host, Parent::Run(attempt), deadline);
            if let Stage::Running { nested, .. } = &mut self.attempts[attempt.0].stage {
                nested.push(id);
            }
        }
    }

    /// Handles the end of a nested call: the run ends with its last one or with a failed one.
    pub(super) fn nested_call_ended(&mut self, attempt: AttemptId, end: End) {
        let UpstreamAttempt { request, host, .. } = self.attempts[attempt.0];
        let calls = &self.kinds[self.requests[request.0].kind.0].1.calls;
        let in_turn = calls.as_ref().is_some_and(|calls| calls.in_turn);
        let Stage::Running { ticket, calls_left, .. } = &mut self.attempts[attempt.0].stage else {
            return;
        };
        let ticket = *ticket;
        if end == End::Served {
            *calls_left -= 1;
            return match *calls_left {
                0 => self.complete_run(attempt, ticket),
                calls_left if in_turn => self.make_nested_calls(attempt, calls_left),
                _ => {}
            };
        }
        self.tally.wasted_runs += 1;
        let lost = &mut self.tally.by_service[self.hosts[host.0].service];
        match end {
            End::Refused(_) => lost.lost_to_refused_calls += 1,
            _ => lost.lost_to_failed_calls += 1,
        }
        self.finish_run(attempt, ticket, false);
    }

    fn schedule_work(&mut self, attempt: AttemptId) {
        let host = self.attempts[attempt.0].host;
        let kind = self.requests[self.attempts[attempt.0].request.0].kind;
        let spec = &self.kinds[kind.0].1;
        let (u, v) = (self.rng.f64().max(1e-12), self.rng.f64());
        let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
        let spread = (spec.spread * normal - spec.spread * spec.spread / 2.0).exp();
        let tail = if self.rng.f64() < spec.tail { spec.tail_x } else { 1.0 };
        let usual_ms = (spec.work_ms * spread * tail).min(spec.max_ms.unwrap_or(f64::INFINITY));
        let state = &self.hosts[host.0];
        let service = &self.services[state.service].1;
        let cold = if self.now() < state.cold_until { service.cold_x } else { 1.0 };
        let noise = service.noise.as_ref().filter(|_| state.noisy).map_or(1.0, |noise| noise.x);
        let ms = usual_ms * state.speed * state.slowdown * cold * noise;
        self.schedule(Duration::from_secs_f64(ms / 1e3), Event::WorkDone(attempt));
    }

    pub(super) fn work_done(&mut self, attempt: AttemptId) {
        match self.attempts[attempt.0].stage {
            Stage::Running { ticket, calls_left: 0, .. } => self.complete_run(attempt, ticket),
            Stage::Running { calls_left, .. } => self.make_nested_calls(attempt, calls_left),
            _ => {}
        }
    }

    /// Ends a run whose work and nested calls are done; its answer may be lost.
    fn complete_run(&mut self, attempt: AttemptId, ticket: Ticket) {
        let host = self.attempts[attempt.0].host;
        if self.rng.f64() < self.hosts[host.0].lose_share {
            self.send_result(attempt, AttemptResult::Incomplete);
            return self.leave_gate(host, ticket, gate::End::Failed);
        }
        let good = self.rng.f64() >= self.hosts[host.0].fail_share;
        self.finish_run(attempt, ticket, good);
    }

    /// Ends a run with an answer.
    fn finish_run(&mut self, attempt: AttemptId, ticket: Ticket, good: bool) {
        let host = self.attempts[attempt.0].host;
        let service_time = self.cancel_nested(attempt);
        let report = self.load_report(attempt);
        self.send_result(attempt, AttemptResult::Answer { good, service: service_time, report });
        self.leave_gate(host, ticket, gate::End::Answered(service_time));
    }

    /// Marks an attempt as ended and cancels its nested calls; returns how long it ran, zero
    /// if it did not.
    fn cancel_nested(&mut self, attempt: AttemptId) -> Duration {
        let stage = std::mem::replace(&mut self.attempts[attempt.0].stage, Stage::Ended);
        let Stage::Running { since, nested, .. } = stage else { return Duration::ZERO };
        for request in nested {
            if self.is_pending(request) {
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
        self.apply_wakes(host, wakes);
    }

    /// Applies the decisions of a gate about queued attempts.
    pub(super) fn apply_wakes(&mut self, host: HostId, wakes: Vec<Wake>) {
        for wake in wakes {
            let ticket = match wake {
                Wake::Run(ticket) | Wake::Refuse(ticket, _) => ticket,
            };
            let Some(attempt) = self.hosts[host.0].tickets.get(&ticket).copied() else { continue };
            match wake {
                Wake::Run(_) => self.start_run(attempt, ticket),
                Wake::Refuse(_, refusal) => {
                    self.hosts[host.0].tickets.remove(&ticket);
                    self.refuse(attempt, refusal.retry_after(), false);
                }
            }
        }
    }

    pub(super) fn attempt_cancelled(&mut self, attempt: AttemptId) {
        let host = self.attempts[attempt.0].host;
        match self.attempts[attempt.0].stage.clone() {
            Stage::InTransit => self.attempts[attempt.0].stage = Stage::Ended,
            Stage::Queued(ticket) => {
                self.attempts[attempt.0].stage = Stage::Ended;
                self.hosts[host.0].tickets.remove(&ticket);
                self.hosts[host.0].gate.cancel(ticket);
            }
            Stage::Running { ticket, .. } => {
                self.tally.wasted_runs += 1;
                self.cancel_nested(attempt);
                self.leave_gate(host, ticket, gate::End::Failed);
            }
            Stage::Ended => {}
        }
    }

    /// Aborts all attempts that run or are queued at an upstream.
    pub(super) fn abort_all(&mut self, host: HostId) {
        let aborted = std::mem::take(&mut self.hosts[host.0].tickets);
        let slots = self.services[self.hosts[host.0].service].1.slots;
        self.hosts[host.0].gate = Gate::new(u32::from(slots));
        for attempt in aborted.into_values() {
            self.cancel_nested(attempt);
            self.send_result(attempt, AttemptResult::Incomplete);
        }
    }
}
