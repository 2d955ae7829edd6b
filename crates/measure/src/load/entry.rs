//! The entry daemon: as `src/daemon/request/attempts`, without sockets.

use super::caller::End;
use super::exit::{Stage, Try};
use super::world::{CallerId, Event, HostId, KindId, RequestId, TryId, World};
use cicadashift_core::request::MIN_RETRY_AFTER;
use cicadashift_core::request::choose::{Demand, LoadReport, Outcome, UpstreamKey};
use cicadashift_core::request::gate::KindKey;
use cicadashift_core::request::retry::{Attempt, CallState, MAX_ATTEMPTS, RetryDecision};
use std::time::Duration;

/// What a request is given up before its caller does, as `src/daemon/request/entry.rs`
/// has it.
const CALLER_MARGIN: Duration = Duration::from_millis(25);

/// Hosts asked for a free slot before a call waits at one.
const ASKED_FREE: u32 = 2;

/// What an entry daemon hears of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Got {
    /// A whole answer: whether it is good, and the time at the upstream.
    Answer { good: bool, service: Duration, report: LoadReport },
    /// The exit daemon or the upstream did not take it.
    Refused { retry_after: Duration, arrived: bool, report: LoadReport },
    /// The exit daemon would have let it wait.
    Full { report: LoadReport },
    /// The host could not be reached.
    Unreached,
    /// No whole answer.
    Broken,
}

/// Who made a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Parent {
    Caller(CallerId),
    /// An upstream, while it runs this attempt.
    Run(TryId),
}

/// One request at its entry daemon.
#[derive(Clone, Debug)]
pub struct Request {
    pub kind: KindId,
    pub entry: HostId,
    pub parent: Parent,
    pub first_came: Duration,
    pub deadline: Duration,
    until: Duration,
    tried: Vec<UpstreamKey>,
    open: Vec<TryId>,
    arrivals: u32,
    soonest: Option<Duration>,
    may_have_run: bool,
    ended: bool,
    /// Upstreams that had no free slot, and how many were asked so.
    full: Vec<UpstreamKey>,
    asked_free: u32,
}

impl World {
    /// Takes a request in and sends it to a first upstream.
    pub fn enter(
        &mut self,
        kind: KindId,
        entry: HostId,
        parent: Parent,
        until: Duration,
    ) -> RequestId {
        let now = self.now();
        let (key, at) = (KindKey(kind.0 as u64), self.instant(until));
        let returning = &mut self.hosts[entry.0].returning;
        let known = returning.take_first_arrival(key, at).filter(|_| self.switches.returning);
        let first_came =
            known.map_or(now, |first| first.duration_since(self.instant(Duration::ZERO)));
        let request = Request {
            kind,
            entry,
            parent,
            first_came,
            deadline: until.saturating_sub(CALLER_MARGIN),
            until,
            tried: Vec::new(),
            open: Vec::new(),
            arrivals: 0,
            soonest: None,
            may_have_run: false,
            ended: false,
            full: Vec::new(),
            asked_free: 0,
        };
        let left = request.deadline.saturating_sub(now);
        self.requests.push(request);
        let id = RequestId(self.requests.len() - 1);
        self.after(left, Event::Deadline(id));
        let service = self.service_of_kind(kind);
        let allowance = self.allowance();
        self.hosts[entry.0].budgets[service].earn(allowance, at);
        self.pursue(id);
        id
    }

    pub(super) fn service_of_kind(&self, kind: KindId) -> usize {
        self.service_of(&self.kinds[kind.0].1.service)
    }

    /// Returns whether nobody was told yet what became of a request.
    pub fn is_open(&self, request: RequestId) -> bool {
        !self.requests[request.0].ended
    }

    /// Returns what a request asks of a choice.
    pub fn demand(&self, request: RequestId) -> Demand {
        let Request { kind, first_came, .. } = self.requests[request.0];
        let spec = &self.kinds[kind.0].1;
        let objective = first_came + Duration::from_secs_f64(spec.objective_ms / 1e3);
        Demand {
            kind: KindKey(kind.0 as u64),
            priority: spec.priority(),
            objective: objective.saturating_sub(self.now()),
        }
    }

    /// Sends a request to the next upstream.
    fn pursue(&mut self, id: RequestId) {
        let now = self.now();
        if now >= self.requests[id.0].deadline {
            return self.give_up(id, MIN_RETRY_AFTER);
        }
        let (demand, random, at) = (self.demand(id), self.rng.u64(..), self.instant(now));
        let request = &self.requests[id.0];
        let service = self.service_of_kind(request.kind);
        let picker = &self.hosts[request.entry.0].pickers[service];
        match picker.choose(demand, at, random, &request.tried) {
            Ok(choice) => self.send(id, choice.key, demand),
            Err(wait) => match self.back_to_full(id) {
                true => self.pursue(id),
                false => self.give_up(id, wait),
            },
        }
    }

    /// Lets a request be sent to those that had no free slot, to wait there; returns
    /// whether there are any.
    fn back_to_full(&mut self, id: RequestId) -> bool {
        let request = &mut self.requests[id.0];
        let full = std::mem::take(&mut request.full);
        request.asked_free = ASKED_FREE;
        request.tried.retain(|key| !full.contains(key));
        !full.is_empty()
    }

    fn send(&mut self, id: RequestId, key: UpstreamKey, demand: Demand) {
        let now = self.now();
        let (entry, kind) = (self.requests[id.0].entry, self.requests[id.0].kind);
        let service = self.service_of_kind(kind);
        let picker = &mut self.hosts[entry.0].pickers[service];
        picker.started(key);
        let known = picker.info(key);
        let (host, name) = (HostId(known.host.0 as usize), known.instance.clone());
        let hedge_after = picker.hedge_after(demand);
        let life = name.split('@').next_back().and_then(|life| life.parse().ok()).unwrap_or(0);
        let has_room = self.hosts[entry.0].pickers[service].has_room(key, self.instant(now));
        let asks_free = self.switches.ask_free && self.requests[id.0].asked_free < ASKED_FREE;
        let max_wait = if asks_free && has_room { Duration::ZERO } else { Duration::MAX };
        let way = self.way(entry, host);
        let back = self.way(host, entry);
        let stage = Stage::OnWay;
        self.tries.push(Try {
            request: id,
            host,
            life,
            key,
            demand,
            sent: now,
            back,
            max_wait,
            stage,
        });
        let attempt = TryId(self.tries.len() - 1);
        let request = &mut self.requests[id.0];
        request.tried.push(key);
        if max_wait.is_zero() {
            request.full.push(key);
        }
        request.open.push(attempt);
        self.after(way, Event::AtExit(attempt));
        if let Some(wait) = hedge_after.filter(|_| self.switches.second) {
            self.after(wait, Event::Late(attempt));
        }
    }

    /// Sends a second attempt beside one that is late, where it may pay.
    pub(super) fn late(&mut self, attempt: TryId) {
        let Try { request: id, key, sent, .. } = self.tries[attempt.0];
        let is_first = self.requests[id.0].open == [attempt];
        let spec = &self.kinds[self.requests[id.0].kind.0].1;
        let may_double = spec.repeatable && self.requests[id.0].arrivals + 1 < MAX_ATTEMPTS;
        if !self.is_open(id) || !is_first || !may_double {
            return;
        }
        let now = self.now();
        let (demand, at) = (self.demand(id), self.instant(now));
        let (entry, service) =
            (self.requests[id.0].entry, self.service_of_kind(self.requests[id.0].kind));
        let passed = now.saturating_sub(sent);
        let random = self.rng.u64(..);
        let tried = self.requests[id.0].tried.clone();
        let host = &mut self.hosts[entry.0];
        host.pickers[service].record_late(key, demand, passed, at);
        let Ok(choice) = host.pickers[service].choose(demand, at, random, &tried) else { return };
        let pays =
            host.pickers[service].may_hedge(choice.key, at) && host.budgets[service].spend(random);
        if pays {
            self.requests[id.0].arrivals += 1;
            self.send(id, choice.key, demand);
        }
    }

    /// Takes in what became of an attempt.
    pub(super) fn back(&mut self, attempt: TryId, got: Got) {
        let Try { request: id, key, demand, sent, .. } = self.tries[attempt.0];
        if !self.requests[id.0].open.contains(&attempt) {
            return;
        }
        self.requests[id.0].open.retain(|other| *other != attempt);
        let now = self.now();
        let total = now.saturating_sub(sent);
        let outcome = match got {
            Got::Answer { good: true, service, report } => {
                Outcome::Answered { service, total, report }
            }
            Got::Answer { good: false, .. } => Outcome::ErrorAnswer,
            Got::Refused { retry_after, report, .. } => Outcome::Refused { retry_after, report },
            Got::Full { report } => Outcome::Full { report },
            Got::Unreached => Outcome::Unreached,
            Got::Broken => Outcome::Failed,
        };
        self.record(id, key, demand, outcome);
        let attempt = match got {
            Got::Answer { good: true, .. } => return self.end(id, End::Served),
            Got::Answer { good: false, .. } | Got::Broken => Attempt::Unknown,
            Got::Refused { retry_after, arrived, .. } => Attempt::NotRun { retry_after, arrived },
            Got::Unreached => Attempt::unreached(),
            Got::Full { .. } => {
                self.requests[id.0].asked_free += 1;
                if self.requests[id.0].asked_free >= ASKED_FREE {
                    self.back_to_full(id);
                }
                return self.pursue(id);
            }
        };
        self.missed(id, attempt);
    }

    fn record(&mut self, id: RequestId, key: UpstreamKey, demand: Demand, outcome: Outcome) {
        let (entry, kind) = (self.requests[id.0].entry, self.requests[id.0].kind);
        let (service, at) = (self.service_of_kind(kind), self.instant(self.now()));
        self.hosts[entry.0].pickers[service].ended(key, demand, outcome, at);
    }

    fn missed(&mut self, id: RequestId, attempt: Attempt) {
        let request = &mut self.requests[id.0];
        if let Attempt::NotRun { retry_after, .. } = attempt {
            let soonest = request.soonest.map_or(retry_after, |wait| wait.min(retry_after));
            request.soonest = Some(soonest);
        }
        let may_have_run = request.may_have_run;
        request.arrivals += u32::from(attempt.may_have_arrived());
        request.may_have_run |= attempt == Attempt::Unknown;
        if !request.open.is_empty() {
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
        let left = request.deadline.saturating_sub(self.now());
        let (service, random) = (self.service_of_kind(request.kind), self.rng.u64(..));
        let budget = &mut self.hosts[request.entry.0].budgets[service];
        match call.decide(attempt, left, budget, random) {
            RetryDecision::Retry => self.pursue(id),
            RetryDecision::Refuse { retry_after } => {
                let wait = request.soonest.unwrap_or(retry_after).max(MIN_RETRY_AFTER);
                self.end(id, End::Refused(retry_after.min(wait)));
            }
            RetryDecision::Answer | RetryDecision::Unknown => self.end(id, End::Failed),
        }
    }

    fn give_up(&mut self, id: RequestId, wait: Duration) {
        let request = &self.requests[id.0];
        let wait = request.soonest.unwrap_or(wait);
        match request.may_have_run {
            true => self.end(id, End::Failed),
            false => self.end(id, End::Refused(wait)),
        }
    }

    pub(super) fn deadline(&mut self, id: RequestId) {
        if self.is_open(id) {
            self.end(id, End::Failed);
        }
    }

    /// Ends a request and gives up what is still under way for it.
    pub fn end(&mut self, id: RequestId, end: End) {
        self.requests[id.0].ended = true;
        for attempt in std::mem::take(&mut self.requests[id.0].open) {
            let Try { host, key, demand, .. } = self.tries[attempt.0];
            self.record(id, key, demand, Outcome::Cancelled);
            let way = self.way(self.requests[id.0].entry, host);
            self.after(way, Event::GivenUp(attempt));
        }
        let Request { kind, entry, parent, first_came, until, .. } = self.requests[id.0];
        if matches!(end, End::Refused(_) | End::Failed) {
            let (since, until) = (self.instant(first_came), self.instant(until));
            let now = self.instant(self.now());
            let returning = &mut self.hosts[entry.0].returning;
            returning.record_unanswered(KindKey(kind.0 as u64), since, until, now);
        }
        match parent {
            Parent::Caller(caller) => self.caller_ends(caller, end),
            Parent::Run(run) => self.nested_ends(run, end == End::Served),
        }
    }
}
