//! The entry daemon: the logic of `src/daemon/request/attempts`, without sockets.

use super::arrivals::OrganisationId;
use super::caller::End;
use super::exit::{Stage, UpstreamAttempt};
use super::world::{AttemptId, CallerId, Event, HostId, KindId, RequestId, World};
use cicadashift_core::request::MIN_RETRY_AFTER;
use cicadashift_core::request::choose::{Demand, LoadReport, Outcome, UpstreamKey};
use cicadashift_core::request::gate::KindKey;
use cicadashift_core::request::retry::{Attempt, CallState, MAX_ATTEMPTS, RetryDecision};
use std::time::Duration;

/// Time between the deadline of a request and that of its caller, as in
/// `src/daemon/request/entry.rs`.
const CALLER_MARGIN: Duration = Duration::from_millis(25);

/// Hosts asked for a free slot before a call is queued at one, as in
/// `src/daemon/request/attempts/history.rs`.
const ASKED_FREE: u32 = 2;

/// Result of an attempt, as the entry daemon receives it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptResult {
    /// A complete answer: whether it reports success, the service time and the load report.
    Answer { good: bool, service: Duration, report: LoadReport },
    /// Refused and not run, by the upstream if `arrived` is set and else by the exit daemon.
    Refused { retry_after: Duration, arrived: bool, report: LoadReport },
    /// Not admitted by the exit daemon, since the attempt would have had to wait for a slot.
    Full { report: LoadReport },
    /// The host could not be reached.
    Unreached,
    /// No complete answer.
    Incomplete,
}

/// The origin of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Parent {
    Caller(CallerId),
    /// An upstream that made a nested call while it ran this attempt.
    Run(AttemptId),
}

/// One request at its entry daemon.
#[derive(Clone, Debug)]
pub struct Request {
    pub kind: KindId,
    pub entry: HostId,
    pub parent: Parent,
    pub organisation: Option<OrganisationId>,
    pub first_arrival: Duration,
    pub deadline: Duration,
    /// When the caller stops waiting; the deadline is earlier by [`CALLER_MARGIN`] or more.
    caller_deadline: Duration,
    tried: Vec<UpstreamKey>,
    in_flight: Vec<AttemptId>,
    /// Attempts that reached an upstream, or may have.
    arrivals: u32,
    /// Shortest wait before a retry that a refusal named.
    shortest_wait: Option<Duration>,
    may_have_run: bool,
    ended: bool,
    /// Upstreams asked for a free slot; they may be asked again, to queue the call there.
    full: Vec<UpstreamKey>,
    /// Number of upstreams that had no free slot; [`ASKED_FREE`] once the call may be queued.
    asked_free: u32,
}

impl World {
    /// Accepts a request and sends it to a first upstream.
    pub fn start_request(
        &mut self,
        kind: KindId,
        entry: HostId,
        parent: Parent,
        caller_deadline: Duration,
    ) -> RequestId {
        let now = self.now();
        let (key, at) = (KindKey(kind.0 as u64), self.instant(caller_deadline));
        let returning = &mut self.hosts[entry.0].returning;
        let earlier = returning.take_first_arrival(key, at).filter(|_| self.switches.returning);
        let first_arrival =
            earlier.map_or(now, |first| first.duration_since(self.instant(Duration::ZERO)));
        let organisation = self.organisation_of(parent);
        let timeout = self.kinds[kind.0].1.timeout();
        let request = Request {
            kind,
            entry,
            parent,
            organisation,
            first_arrival,
            deadline: caller_deadline.saturating_sub(CALLER_MARGIN).min(now + timeout),
            caller_deadline,
            tried: Vec::new(),
            in_flight: Vec::new(),
            arrivals: 0,
            shortest_wait: None,
            may_have_run: false,
            ended: false,
            full: Vec::new(),
            asked_free: 0,
        };
        let time_left = request.deadline.saturating_sub(now);
        self.requests.push(request);
        let id = RequestId(self.requests.len() - 1);
        self.schedule(time_left, Event::Deadline(id));
        let service = self.service_index_of_kind(kind);
        let allowance = self.allowance();
        self.hosts[entry.0].budgets[service].earn(allowance, at);
        self.send_next(id);
        id
    }

    fn organisation_of(&self, parent: Parent) -> Option<OrganisationId> {
        match parent {
            Parent::Caller(caller) => self.callers[caller.0].organisation,
            Parent::Run(run) => self.requests[self.attempts[run.0].request.0].organisation,
        }
    }

    pub(super) fn service_index_of_kind(&self, kind: KindId) -> usize {
        self.service_index(&self.kinds[kind.0].1.service)
    }

    /// Returns whether a request has not ended yet.
    pub fn is_pending(&self, request: RequestId) -> bool {
        !self.requests[request.0].ended
    }

    /// Returns the properties of a request that the choice of an upstream depends on.
    pub fn demand(&self, request: RequestId) -> Demand {
        let Request { kind, first_arrival, .. } = self.requests[request.0];
        let spec = &self.kinds[kind.0].1;
        let objective = first_arrival + Duration::from_secs_f64(spec.objective_ms / 1e3);
        Demand {
            kind: KindKey(kind.0 as u64),
            priority: spec.priority(),
            objective: objective.saturating_sub(self.now()),
        }
    }

    /// Sends a request to the next upstream, or ends it if none is left or its deadline passed.
    fn send_next(&mut self, id: RequestId) {
        let now = self.now();
        if now >= self.requests[id.0].deadline {
            return self.give_up(id, MIN_RETRY_AFTER);
        }
        let (demand, random, at) = (self.demand(id), self.rng.u64(..), self.instant(now));
        let request = &self.requests[id.0];
        let service = self.service_index_of_kind(request.kind);
        let picker = &self.hosts[request.entry.0].pickers[service];
        match picker.choose(demand, at, random, &request.tried) {
            Ok(choice) => self.send(id, choice.key, demand),
            Err(wait) => match self.allow_waiting(id) {
                true => self.send_next(id),
                false => self.give_up(id, wait),
            },
        }
    }

    /// Allows a request to wait for a slot at the upstreams that had none free; returns whether
    /// there are any.
    fn allow_waiting(&mut self, id: RequestId) -> bool {
        let request = &mut self.requests[id.0];
        let full = std::mem::take(&mut request.full);
        request.asked_free = ASKED_FREE;
        request.tried.retain(|key| !full.contains(key));
        !full.is_empty()
    }

    fn send(&mut self, id: RequestId, key: UpstreamKey, demand: Demand) {
        let now = self.now();
        let (entry, kind) = (self.requests[id.0].entry, self.requests[id.0].kind);
        let service = self.service_index_of_kind(kind);
        let picker = &mut self.hosts[entry.0].pickers[service];
        picker.started(key);
        let info = picker.info(key);
        let (host, name) = (HostId(info.host.0 as usize), info.instance.clone());
        let hedge_after = picker.hedge_after(demand);
        let incarnation = name
            .split('@')
            .next_back()
            .and_then(|incarnation| incarnation.parse().ok())
            .unwrap_or(0);
        let has_room = self.hosts[entry.0].pickers[service].has_room(key, self.instant(now));
        let asks_free = self.switches.ask_free && self.requests[id.0].asked_free < ASKED_FREE;
        let max_wait = if asks_free && has_room { Duration::ZERO } else { Duration::MAX };
        let delay = self.one_way_delay(entry, host);
        let return_delay = self.one_way_delay(host, entry);
        let stage = Stage::InTransit;
        self.attempts.push(UpstreamAttempt {
            request: id,
            host,
            incarnation,
            key,
            demand,
            sent_at: now,
            return_delay,
            max_wait,
            stage,
        });
        let attempt = AttemptId(self.attempts.len() - 1);
        let request = &mut self.requests[id.0];
        request.tried.push(key);
        if max_wait.is_zero() {
            request.full.push(key);
        }
        request.in_flight.push(attempt);
        self.schedule(delay, Event::AtExit(attempt));
        if let Some(wait) = hedge_after.filter(|_| self.switches.hedge) {
            self.schedule(wait, Event::HedgeDue(attempt));
        }
    }

    /// Sends a hedged attempt beside a late one, if the picker and the retry budget allow it.
    pub(super) fn hedge(&mut self, attempt: AttemptId) {
        let UpstreamAttempt { request: id, key, sent_at, .. } = self.attempts[attempt.0];
        let is_only = self.requests[id.0].in_flight == [attempt];
        let spec = &self.kinds[self.requests[id.0].kind.0].1;
        let hedge_allowed = spec.repeatable && self.requests[id.0].arrivals + 1 < MAX_ATTEMPTS;
        if !self.is_pending(id) || !is_only || !hedge_allowed {
            return;
        }
        let now = self.now();
        let (demand, at) = (self.demand(id), self.instant(now));
        let (entry, service) =
            (self.requests[id.0].entry, self.service_index_of_kind(self.requests[id.0].kind));
        let elapsed = now.saturating_sub(sent_at);
        let random = self.rng.u64(..);
        let tried = self.requests[id.0].tried.clone();
        let host = &mut self.hosts[entry.0];
        host.pickers[service].record_late(key, demand, elapsed, at);
        let Ok(choice) = host.pickers[service].choose(demand, at, random, &tried) else { return };
        let may_send =
            host.pickers[service].may_hedge(choice.key, at) && host.budgets[service].spend(random);
        if may_send {
            self.requests[id.0].arrivals += 1;
            self.send(id, choice.key, demand);
        }
    }

    /// Handles the result of an attempt.
    pub(super) fn attempt_ended(&mut self, attempt: AttemptId, result: AttemptResult) {
        let UpstreamAttempt { request: id, key, demand, sent_at, .. } = self.attempts[attempt.0];
        if !self.requests[id.0].in_flight.contains(&attempt) {
            return;
        }
        self.requests[id.0].in_flight.retain(|other| *other != attempt);
        let now = self.now();
        let total = now.saturating_sub(sent_at);
        let outcome = match result {
            AttemptResult::Answer { good: true, service, report } => {
                Outcome::Answered { service, total, report }
            }
            AttemptResult::Answer { good: false, .. } => Outcome::ErrorAnswer,
            AttemptResult::Refused { retry_after, report, .. } => {
                Outcome::Refused { retry_after, report }
            }
            AttemptResult::Full { report } => Outcome::Full { report },
            AttemptResult::Unreached => Outcome::Unreached,
            AttemptResult::Incomplete => Outcome::Failed,
        };
        self.record(id, key, demand, outcome);
        let attempt = match result {
            AttemptResult::Answer { good: true, .. } => return self.end(id, End::Served),
            AttemptResult::Answer { good: false, .. } | AttemptResult::Incomplete => {
                Attempt::Unknown
            }
            AttemptResult::Refused { retry_after, arrived, .. } => {
                Attempt::NotRun { retry_after, arrived }
            }
            AttemptResult::Unreached => Attempt::unreached(),
            AttemptResult::Full { .. } => {
                self.requests[id.0].asked_free += 1;
                if self.requests[id.0].asked_free >= ASKED_FREE {
                    self.allow_waiting(id);
                }
                return self.send_next(id);
            }
        };
        self.attempt_failed(id, attempt);
    }

    fn record(&mut self, id: RequestId, key: UpstreamKey, demand: Demand, outcome: Outcome) {
        let (entry, kind) = (self.requests[id.0].entry, self.requests[id.0].kind);
        let (service, at) = (self.service_index_of_kind(kind), self.instant(self.now()));
        self.hosts[entry.0].pickers[service].ended(key, demand, outcome, at);
    }

    fn attempt_failed(&mut self, id: RequestId, attempt: Attempt) {
        let request = &mut self.requests[id.0];
        if let Attempt::NotRun { retry_after, .. } = attempt {
            let shortest_wait =
                request.shortest_wait.map_or(retry_after, |wait| wait.min(retry_after));
            request.shortest_wait = Some(shortest_wait);
        }
        let may_have_run = request.may_have_run;
        request.arrivals += u32::from(attempt.may_have_arrived());
        request.may_have_run |= attempt == Attempt::Unknown;
        if !request.in_flight.is_empty() {
            return;
        }
        let request = self.requests[id.0].clone();
        let call = CallState {
            repeatable: self.kinds[request.kind.0].1.repeatable,
            replayable: true,
            attempts: request.tried.len() as u32,
            arrivals: request.arrivals,
            max_attempts: MAX_ATTEMPTS,
            may_have_run,
        };
        let time_left = request.deadline.saturating_sub(self.now());
        let (service, random) = (self.service_index_of_kind(request.kind), self.rng.u64(..));
        let budget = &mut self.hosts[request.entry.0].budgets[service];
        match call.decide(attempt, time_left, budget, random) {
            RetryDecision::Retry => self.send_next(id),
            RetryDecision::Refuse { retry_after } => {
                let wait = request.shortest_wait.unwrap_or(retry_after).max(MIN_RETRY_AFTER);
                self.end(id, End::Refused(retry_after.min(wait)));
            }
            RetryDecision::Answer | RetryDecision::Unknown => self.end(id, End::Failed),
        }
    }

    fn give_up(&mut self, id: RequestId, wait: Duration) {
        let request = &self.requests[id.0];
        let wait = request.shortest_wait.unwrap_or(wait);
        match request.may_have_run {
            true => self.end(id, End::Failed),
            false => self.end(id, End::Refused(wait)),
        }
    }

    pub(super) fn deadline_passed(&mut self, id: RequestId) {
        if self.is_pending(id) {
            self.end(id, End::Failed);
        }
    }

    /// Ends a request and cancels its attempts in flight.
    pub fn end(&mut self, id: RequestId, end: End) {
        self.requests[id.0].ended = true;
        for attempt in std::mem::take(&mut self.requests[id.0].in_flight) {
            let UpstreamAttempt { host, key, demand, .. } = self.attempts[attempt.0];
            self.record(id, key, demand, Outcome::Cancelled);
            let delay = self.one_way_delay(self.requests[id.0].entry, host);
            self.schedule(delay, Event::AttemptCancelled(attempt));
        }
        let Request { kind, entry, parent, first_arrival, caller_deadline, .. } =
            self.requests[id.0];
        if matches!(end, End::Refused(_) | End::Failed) {
            let (since, caller_deadline) =
                (self.instant(first_arrival), self.instant(caller_deadline));
            let now = self.instant(self.now());
            let returning = &mut self.hosts[entry.0].returning;
            returning.record_unanswered(KindKey(kind.0 as u64), since, caller_deadline, now);
        }
        match parent {
            Parent::Caller(caller) => self.answer_caller(caller, end),
            Parent::Run(run) => self.nested_call_ended(run, end),
        }
    }
}
