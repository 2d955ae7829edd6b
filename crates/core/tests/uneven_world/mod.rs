//! A service whose upstreams differ in speed and share their machines with others, on a
//! virtual clock.
//!
//! Each machine's momentary slowness changes every [`PERIOD`], for each machine at another
//! moment. Entry daemons choose and hedge as the daemon does; exits admit by their gate.

use cicadashift_core::config::Priority;
use cicadashift_core::ids::HostKey;
use cicadashift_core::membership::record::Readiness;
use cicadashift_core::request::choose::{
    Demand, LoadReport, Locality, Outcome, Picker, Policy, UpstreamInfo, UpstreamKey,
};
use cicadashift_core::request::gate::{
    Admission, Arrival, CallerKey, End, Gate, KindKey, Refusal, Ticket, Wake,
};
use cicadashift_core::request::machine::MachinePace;
use cicadashift_core::request::retry::{Allowance, RetryBudget};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::{Duration, Instant};

/// Time for which a machine is equally slow.
pub const PERIOD: Duration = Duration::from_millis(600);
/// Share of the periods in which a machine is slow, and how slow it is then.
const SLOW_SHARE: f64 = 0.15;
const SLOW_FACTOR: f64 = 2.5;
/// Share of the calls that take much longer than the others, and how much longer.
const TAIL_SHARE: f64 = 0.03;
const TAIL_FACTOR: f64 = 7.0;
const SLOTS: u16 = 8;
/// Time from an entry daemon to an exit daemon.
const HOP: Duration = Duration::from_millis(3);
const ALLOWANCE: Allowance =
    Allowance { earned_per_attempt: 0.1, max_saved: 3.0, saved_for: Duration::from_secs(1) };
/// Refusals for lack of a slot after which a call waits.
const MAX_FULL_REFUSALS: u32 = 2;

/// The load and the decisions in force.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub seed: u64,
    pub hosts: usize,
    pub entries: usize,
    pub calls_per_s: f64,
    pub length: Duration,
    /// Share of the calls that may run only once.
    pub unrepeatable: f64,
    /// Whether the gates take the pace of their machines into account.
    pub at_gates: bool,
    /// Whether calls may be redirected, once each.
    pub redirects: bool,
    /// Whether entry daemons receive the pace.
    pub at_entries: bool,
    pub policy: Policy,
}

/// One kind of calls.
struct Kind {
    work_ms: f64,
    objective: Duration,
    deadline: Duration,
}

const KINDS: [Kind; 2] = [
    Kind {
        work_ms: 110.0,
        objective: Duration::from_millis(400),
        deadline: Duration::from_millis(1500),
    },
    Kind {
        work_ms: 140.0,
        objective: Duration::from_millis(500),
        deadline: Duration::from_millis(2000),
    },
];
/// The kind whose calls may run only once.
pub const UNREPEATABLE: usize = 1;

/// What became of the calls of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    pub calls: u32,
    pub in_time: u32,
    pub hedges: u32,
    pub redirected: u32,
}

impl Tally {
    pub fn plus(self, other: Tally) -> Tally {
        Tally {
            calls: self.calls + other.calls,
            in_time: self.in_time + other.in_time,
            hedges: self.hedges + other.hedges,
            redirected: self.redirected + other.redirected,
        }
    }

    pub fn share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.calls.max(1))
    }
}

/// What became of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ran {
    pub kinds: [Tally; 2],
    /// Hash of all choices, hedge times and admissions in their order.
    pub decisions: u64,
}

impl Ran {
    pub fn all(&self) -> Tally {
        self.kinds[0].plus(self.kinds[1])
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    AtExit(usize),
    Done(usize),
    Result(usize),
    HedgeDue(usize),
    Cancel(usize),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Sent,
    Queued(Ticket),
    Running(Ticket, Instant),
    Ended,
}

struct Attempt {
    call: usize,
    key: UpstreamKey,
    stage: Stage,
    may_wait: bool,
    may_redirect: bool,
    /// What the entry daemon hears.
    outcome: Option<Outcome>,
    /// Whether the entry daemon has recorded the end.
    closed: bool,
    sent: Instant,
}

struct Call {
    entry: usize,
    kind: usize,
    started: Instant,
    ended: bool,
    tried: Vec<UpstreamKey>,
    full: Vec<UpstreamKey>,
    full_refusals: u32,
    was_redirected: bool,
    attempts: Vec<usize>,
}

struct Host {
    gate: Gate,
    speed: f64,
    machine: Machine,
    tickets: HashMap<Ticket, usize>,
}

struct Entry {
    picker: Picker,
    budget: RetryBudget,
}

struct World {
    plan: Plan,
    rng: fastrand::Rng,
    start: Instant,
    now: Instant,
    queue: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    sequence: u64,
    hosts: Vec<Host>,
    entries: Vec<Entry>,
    calls: Vec<Call>,
    attempts: Vec<Attempt>,
    ran: Ran,
}

/// Runs a plan to its end.
pub fn run(plan: Plan) -> Ran {
    let mut world = World::new(plan);
    world.schedule(Duration::ZERO, Event::Arrive);
    while let Some(Reverse((at, _, event))) = world.queue.pop() {
        world.now = at;
        world.handle(event);
    }
    world.ran
}

impl World {
    fn new(plan: Plan) -> World {
        let mut rng = fastrand::Rng::with_seed(plan.seed);
        let start = Instant::now();
        let hosts = (0..plan.hosts).map(|host| Host {
            gate: Gate::new(u32::from(SLOTS)),
            speed: 0.7 + rng.f64(),
            machine: Machine {
                seed: plan.seed,
                host: host as u64,
                phase: PERIOD.mul_f64(rng.f64()),
            },
            tickets: HashMap::new(),
        });
        let hosts = hosts.collect();
        let entry = |n: usize| {
            let mut picker = Picker::new(plan.policy, HostKey(1000 + n as u64));
            let known = (0..plan.hosts).map(|n| UpstreamInfo {
                host: HostKey(n as u64),
                instance: format!("u{n}"),
                locality: Locality::SameDomain,
                slots: SLOTS,
                readiness: Readiness::Ready,
                host_suspected: false,
            });
            picker.sync(known, start);
            Entry { picker, budget: RetryBudget::new(ALLOWANCE) }
        };
        let entries = (0..plan.entries).map(entry).collect();
        World {
            plan,
            rng,
            start,
            now: start,
            queue: BinaryHeap::new(),
            sequence: 0,
            hosts,
            entries,
            calls: Vec::new(),
            attempts: Vec::new(),
            ran: Ran { decisions: 0xcbf2_9ce4_8422_2325, ..Ran::default() },
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now + after, self.sequence, event)));
    }

    fn decided(&mut self, value: u64) {
        self.ran.decisions = (self.ran.decisions ^ value).wrapping_mul(0x0000_0100_0000_01b3);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::AtExit(attempt) => self.at_exit(attempt),
            Event::Done(attempt) => self.done(attempt),
            Event::Result(attempt) => self.result(attempt),
            Event::HedgeDue(attempt) => self.hedge(attempt),
            Event::Cancel(attempt) => self.cancel(attempt),
        }
    }

    fn arrive(&mut self) {
        let kind = usize::from(self.rng.f64() < self.plan.unrepeatable);
        let entry = self.rng.usize(..self.entries.len());
        self.ran.kinds[kind].calls += 1;
        let now = self.now;
        self.entries[entry].budget.earn(ALLOWANCE, now);
        self.calls.push(Call {
            entry,
            kind,
            started: now,
            ended: false,
            tried: Vec::new(),
            full: Vec::new(),
            full_refusals: 0,
            was_redirected: false,
            attempts: Vec::new(),
        });
        self.send_next(self.calls.len() - 1);
        if now < self.start + self.plan.length {
            let gap = -self.rng.f64().max(1e-9).ln() / self.plan.calls_per_s;
            self.schedule(Duration::from_secs_f64(gap), Event::Arrive);
        }
    }

    fn demand(&self, call: usize) -> Demand {
        let Call { kind, started, .. } = self.calls[call];
        Demand {
            kind: KindKey(kind as u64),
            priority: Priority::NORMAL,
            objective: (started + KINDS[kind].objective).saturating_duration_since(self.now),
        }
    }

    fn send_next(&mut self, call: usize) {
        let (demand, now, random) = (self.demand(call), self.now, self.rng.u64(..));
        let state = &mut self.calls[call];
        let entry = state.entry;
        let picker = &self.entries[entry].picker;
        let chosen = match picker.choose(demand, now, random, &state.tried) {
            Ok(choice) => choice,
            Err(_) if !state.full.is_empty() => {
                retry_full(state);
                return self.send_next(call);
            }
            Err(_) => {
                state.ended = true;
                return self.decided(u64::MAX);
            }
        };
        let has_room = picker.has_room(chosen.key, now);
        let no_wait = has_room && state.full_refusals < MAX_FULL_REFUSALS;
        let hedge_after = picker.hedge_after(demand);
        let may_hedge = !picker.reports_pace() || no_wait;
        let has_faster = picker.has_faster(chosen.key, demand, now, &state.tried);
        state.tried.push(chosen.key);
        let may_redirect = self.plan.redirects && has_faster && !state.was_redirected;
        let attempt = self.send(call, chosen.key, !no_wait, may_redirect);
        self.decided(u64::from(chosen.key.0));
        self.decided(hedge_after.map_or(0, |after| after.as_micros() as u64));
        let may_hedge = may_hedge && self.calls[call].kind != UNREPEATABLE;
        if let Some(after) = hedge_after.filter(|_| may_hedge) {
            self.schedule(after, Event::HedgeDue(attempt));
        }
    }

    fn send(&mut self, call: usize, key: UpstreamKey, may_wait: bool, may_redirect: bool) -> usize {
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            call,
            key,
            stage: Stage::Sent,
            may_wait,
            may_redirect,
            outcome: None,
            closed: false,
            sent: self.now,
        });
        self.calls[call].attempts.push(attempt);
        self.entries[self.calls[call].entry].picker.started(key);
        self.schedule(HOP, Event::AtExit(attempt));
        attempt
    }

    fn at_exit(&mut self, attempt: usize) {
        let Attempt { call, key, may_wait, may_redirect, stage, .. } = self.attempts[attempt];
        if stage == Stage::Ended {
            return;
        }
        let (kind, started) = (self.calls[call].kind, self.calls[call].started);
        let arrival = Arrival {
            deadline: started + KINDS[kind].deadline,
            objective: started + KINDS[kind].objective,
            priority: Priority::NORMAL,
            caller: CallerKey(self.calls[call].entry as u64),
            kind: KindKey(kind as u64),
            max_wait: if may_wait { Duration::MAX } else { Duration::ZERO },
        };
        let (now, random) = (self.now, self.rng.u64(..));
        let host = &mut self.hosts[key.0 as usize];
        let redirect = host.gate.redirect(&arrival, now).filter(|_| may_redirect);
        let admission =
            redirect.map_or_else(|| host.gate.admit(arrival, now, random), Admission::Refuse);
        match admission {
            Admission::Run(ticket) => {
                host.tickets.insert(ticket, attempt);
                self.start_run(attempt, ticket);
            }
            Admission::Wait(ticket) => {
                host.tickets.insert(ticket, attempt);
                self.attempts[attempt].stage = Stage::Queued(ticket);
            }
            Admission::Refuse(refusal) => self.refuse(attempt, refusal),
        }
    }

    fn refuse(&mut self, attempt: usize, refusal: Refusal) {
        self.decided(refusal.to_string().len() as u64);
        let report = self.report(self.attempts[attempt].key);
        let retry_after = refusal.retry_after();
        self.answer(
            attempt,
            match refusal {
                Refusal::Full { .. } => Outcome::Full { report },
                Refusal::SlowHost { .. } => Outcome::SlowHost { report },
                _ => Outcome::Refused { retry_after, report },
            },
        );
    }

    fn report(&self, key: UpstreamKey) -> LoadReport {
        let gate = &self.hosts[key.0 as usize].gate;
        LoadReport {
            load: Some((gate.running() + gate.queued()) as u16),
            accept_ratio: Some(gate.acceptance_rate(self.now)),
            next_token: None,
            pace: gate
                .machine()
                .and_then(|machine| machine.report(self.now))
                .filter(|_| self.plan.at_entries),
        }
    }

    fn answer(&mut self, attempt: usize, outcome: Outcome) {
        self.attempts[attempt].stage = Stage::Ended;
        self.attempts[attempt].outcome = Some(outcome);
        self.schedule(HOP, Event::Result(attempt));
    }

    /// Returns how slow a machine is now.
    fn slowness(&self, host: usize) -> f64 {
        self.hosts[host].machine.slowness(self.now - self.start)
    }

    fn start_run(&mut self, attempt: usize, ticket: Ticket) {
        let Attempt { call, key, .. } = self.attempts[attempt];
        let host = key.0 as usize;
        let tail = if self.rng.f64() < TAIL_SHARE { TAIL_FACTOR } else { 1.0 };
        let spread = 0.8 + 0.4 * self.rng.f64();
        let work = KINDS[self.calls[call].kind].work_ms * spread * tail;
        let ms = work * self.hosts[host].speed * self.slowness(host);
        self.attempts[attempt].stage = Stage::Running(ticket, self.now);
        self.schedule(Duration::from_secs_f64(ms / 1e3), Event::Done(attempt));
    }

    fn done(&mut self, attempt: usize) {
        let Stage::Running(ticket, since) = self.attempts[attempt].stage else { return };
        let key = self.attempts[attempt].key;
        let service = self.now - since;
        if self.plan.at_gates {
            let per_cent = (self.slowness(key.0 as usize) * 100.0) as u16;
            let pace = MachinePace::new(per_cent, self.now);
            self.hosts[key.0 as usize].gate.observe_machine(pace);
        }
        self.leave_gate(key, ticket, End::Answered(service));
        let report = self.report(key);
        self.answer(attempt, Outcome::Answered { service, total: Duration::ZERO, report });
    }

    fn leave_gate(&mut self, key: UpstreamKey, ticket: Ticket, end: End) {
        let host = &mut self.hosts[key.0 as usize];
        host.tickets.remove(&ticket);
        let wakes = host.gate.ended(ticket, end, self.now);
        for wake in wakes {
            let (ticket, refusal) = match wake {
                Wake::Run(ticket) => (ticket, None),
                Wake::Refuse(ticket, refusal) => (ticket, Some(refusal)),
            };
            let host = &mut self.hosts[key.0 as usize];
            let Some(attempt) = host.tickets.get(&ticket).copied() else { continue };
            match refusal {
                None => self.start_run(attempt, ticket),
                Some(refusal) => {
                    host.tickets.remove(&ticket);
                    self.refuse(attempt, refusal);
                }
            }
        }
    }

    /// Hears the end of an attempt at the entry daemon.
    fn result(&mut self, attempt: usize) {
        let Attempt { call, key, outcome, closed, sent, .. } = self.attempts[attempt];
        let Some(outcome) = outcome.filter(|_| !closed) else { return };
        let total = self.now - sent;
        let outcome = match outcome {
            Outcome::Answered { service, report, .. } => {
                Outcome::Answered { service, total, report }
            }
            other => other,
        };
        self.close(attempt, outcome);
        match outcome {
            Outcome::Answered { .. } => self.answered(call),
            Outcome::Full { .. } => {
                let state = &mut self.calls[call];
                state.full.push(key);
                state.full_refusals += 1;
                if state.full_refusals >= MAX_FULL_REFUSALS {
                    retry_full(state);
                }
                self.send_again(call);
            }
            Outcome::SlowHost { .. } => {
                let state = &mut self.calls[call];
                state.full.push(key);
                state.was_redirected = true;
                self.ran.kinds[state.kind].redirected += 1;
                self.send_again(call);
            }
            _ => self.send_again(call),
        }
    }

    /// Sends a call again unless another attempt is under way or three daemons were asked.
    fn send_again(&mut self, call: usize) {
        let state = &self.calls[call];
        let is_open = state.attempts.iter().any(|attempt| !self.attempts[*attempt].closed);
        if !state.ended && !is_open && state.tried.len() < 3 {
            self.send_next(call);
        }
    }

    fn close(&mut self, attempt: usize, outcome: Outcome) {
        let Attempt { call, key, .. } = self.attempts[attempt];
        self.attempts[attempt].closed = true;
        let (demand, now) = (self.demand(call), self.now);
        self.entries[self.calls[call].entry].picker.ended(key, demand, outcome, now);
    }

    fn answered(&mut self, call: usize) {
        let Call { kind, started, ended, .. } = self.calls[call];
        if ended {
            return;
        }
        self.calls[call].ended = true;
        let in_time = self.now <= started + KINDS[kind].objective;
        self.ran.kinds[kind].in_time += u32::from(in_time);
        for attempt in self.calls[call].attempts.clone() {
            if !self.attempts[attempt].closed {
                self.close(attempt, Outcome::Cancelled);
                self.schedule(HOP, Event::Cancel(attempt));
            }
        }
    }

    fn cancel(&mut self, attempt: usize) {
        let Attempt { key, stage, .. } = self.attempts[attempt];
        self.attempts[attempt].stage = Stage::Ended;
        match stage {
            Stage::Running(ticket, _) => self.leave_gate(key, ticket, End::Failed),
            Stage::Queued(ticket) => {
                let host = &mut self.hosts[key.0 as usize];
                host.tickets.remove(&ticket);
                host.gate.cancel(ticket);
            }
            Stage::Sent | Stage::Ended => {}
        }
    }

    fn hedge(&mut self, attempt: usize) {
        let Attempt { call, key, closed, sent, .. } = self.attempts[attempt];
        if closed || self.calls[call].ended {
            return;
        }
        let (demand, now, random) = (self.demand(call), self.now, self.rng.u64(..));
        let state = &mut self.calls[call];
        let entry = &mut self.entries[state.entry];
        entry.picker.record_late(key, demand, now - sent, now);
        let Ok(choice) = entry.picker.choose(demand, now, random, &state.tried) else { return };
        if !entry.picker.may_hedge(choice.key, now) || !entry.budget.spend(random) {
            return;
        }
        state.tried.push(choice.key);
        self.ran.kinds[state.kind].hedges += 1;
        self.send(call, choice.key, true, false);
    }
}

fn retry_full(call: &mut Call) {
    let full = std::mem::take(&mut call.full);
    call.full_refusals = MAX_FULL_REFUSALS;
    call.tried.retain(|tried| !full.contains(tried));
}

/// A machine whose slowness depends only on the seed and the time.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    pub seed: u64,
    pub host: u64,
    /// Time from the begin of its first period to the begin of the run.
    pub phase: Duration,
}

impl Machine {
    /// Returns how slow it is at a time after the begin of the run.
    pub fn slowness(&self, at: Duration) -> f64 {
        let period = ((at + self.phase).as_micros() / PERIOD.as_micros()) as u64;
        let mut rng =
            fastrand::Rng::with_seed(self.seed ^ (self.host << 32) ^ period.wrapping_mul(0x9e37));
        if rng.f64() < SLOW_SHARE { SLOW_FACTOR } else { 1.0 }
    }
}
