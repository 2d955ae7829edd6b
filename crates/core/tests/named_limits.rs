//! Upstreams that name a limit, on a virtual clock: entry daemons that choose upstreams, gates
//! that admit calls, and the network delay between them.

use cicadashift_core::config::Priority;
use cicadashift_core::ids::HostKey;
use cicadashift_core::membership::record::Readiness;
use cicadashift_core::request::choose::{
    Demand, LoadReport, Locality, Outcome, Picker, Policy, UpstreamInfo, UpstreamKey,
};
use cicadashift_core::request::gate::pace::{LimitChange, NamedLimit, Pace};
use cicadashift_core::request::gate::{
    Admission, Arrival, CallerKey, End, Gate, KindKey, Refusal, Ticket, Wake,
};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::{Duration, Instant};

const WINDOW: Duration = Duration::from_secs(4);
/// One-way network delay between daemons.
const ONE_WAY_DELAY: Duration = Duration::from_millis(1);
const SERVICE_TIME: Duration = Duration::from_millis(50);
const OBJECTIVE: Duration = Duration::from_millis(400);
const SLOTS: u16 = 9;
const KIND: KindKey = KindKey(1);
/// Most daemons asked to run one call.
const MAX_ASKED: usize = 3;

fn limit(per_s: f64) -> NamedLimit {
    NamedLimit::parse(&per_s.to_string()).expect("a number of calls")
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Call(usize),
    Arrive(usize),
    Tick(usize),
    End(usize, Ticket),
    Reply(usize),
}

#[derive(Clone)]
struct Attempt {
    daemon: usize,
    upstream: usize,
    tried: Vec<UpstreamKey>,
    due: Instant,
    ticket: Option<Ticket>,
    outcome: Option<Outcome>,
}

struct Upstream {
    gate: Gate,
    limit: Option<NamedLimit>,
    waiting: HashMap<Ticket, usize>,
    running: HashMap<Ticket, usize>,
    sent: Vec<Instant>,
}

struct Mesh {
    start: Instant,
    now: Instant,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    event_number: u64,
    pickers: Vec<Picker>,
    upstreams: Vec<Upstream>,
    attempts: Vec<Attempt>,
    served: usize,
    refused: usize,
    /// Attempts that an exit daemon refused.
    refused_attempts: usize,
    rng: fastrand::Rng,
}

impl Mesh {
    fn new(daemons: usize, limits: &[Option<f64>], seed: u64) -> Mesh {
        let start = Instant::now();
        let known = |i: usize| UpstreamInfo {
            host: HostKey(1000 + i as u64),
            instance: format!("i-{i}"),
            locality: Locality::SameDomain,
            slots: SLOTS,
            readiness: Readiness::Ready,
            host_suspected: false,
        };
        let picker = |me: usize| {
            let mut picker = Picker::new(Policy::ALL, HostKey(me as u64));
            picker.sync((0..limits.len()).map(known), start);
            picker
        };
        let upstream = |per_s: &Option<f64>| Upstream {
            gate: Gate::new(u32::from(SLOTS)),
            limit: per_s.map(limit),
            waiting: HashMap::new(),
            running: HashMap::new(),
            sent: Vec::new(),
        };
        Mesh {
            start,
            now: start,
            events: BinaryHeap::new(),
            event_number: 0,
            pickers: (0..daemons).map(picker).collect(),
            upstreams: limits.iter().map(upstream).collect(),
            attempts: Vec::new(),
            served: 0,
            refused: 0,
            refused_attempts: 0,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    fn schedule(&mut self, time: Instant, event: Event) {
        self.event_number += 1;
        self.events.push(Reverse((time, self.event_number, event)));
    }

    /// Sends `rate` calls a second to all daemons together for `time`.
    fn run(&mut self, time: Duration, rate: f64) {
        let until = self.now + time;
        let mut next = self.now;
        while next < until {
            let daemon = self.rng.usize(0..self.pickers.len());
            self.schedule(next, Event::Call(daemon));
            next += Duration::from_secs_f64(-(1.0 - self.rng.f64()).ln() / rate);
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > until {
                self.events.push(Reverse((at, 0, event)));
                break;
            }
            self.now = at;
            match event {
                Event::Call(daemon) => {
                    let due = self.now + OBJECTIVE;
                    self.choose(daemon, Vec::new(), due);
                }
                Event::Arrive(attempt) => self.arrive(attempt),
                Event::Tick(upstream) => self.tick(upstream),
                Event::End(upstream, ticket) => self.end(upstream, ticket),
                Event::Reply(attempt) => self.receive_result(attempt),
            }
        }
        self.now = until;
    }

    fn demand(&self, due: Instant) -> Demand {
        let objective = due.saturating_duration_since(self.now);
        Demand { kind: KIND, priority: Priority(1), objective }
    }

    fn choose(&mut self, daemon: usize, mut tried: Vec<UpstreamKey>, due: Instant) {
        let demand = self.demand(due);
        let random = self.rng.u64(..);
        let chosen = match tried.len() < MAX_ASKED {
            true => self.pickers[daemon].choose(demand, self.now, random, &tried),
            false => Err(Duration::ZERO),
        };
        let Ok(choice) = chosen else {
            self.refused += 1;
            return;
        };
        self.pickers[daemon].started(choice.key);
        tried.push(choice.key);
        let upstream = choice.key.0 as usize;
        let attempt = Attempt { daemon, upstream, tried, due, ticket: None, outcome: None };
        self.attempts.push(attempt);
        let attempt = self.attempts.len() - 1;
        self.schedule(self.now + ONE_WAY_DELAY, Event::Arrive(attempt));
    }

    fn arrive(&mut self, attempt: usize) {
        let Attempt { upstream, due, .. } = self.attempts[attempt];
        let arrival = Arrival {
            deadline: due + OBJECTIVE,
            objective: due,
            priority: Priority(1),
            caller: CallerKey(attempt as u64),
            kind: KIND,
            max_wait: Duration::MAX,
        };
        let random = self.rng.u64(..);
        match self.upstreams[upstream].gate.admit(arrival, self.now, random) {
            Admission::Run(ticket) => self.begin(upstream, ticket, attempt),
            Admission::Wait(ticket) => {
                self.upstreams[upstream].waiting.insert(ticket, attempt);
                self.schedule_tick(upstream);
            }
            Admission::Refuse(refusal) => self.refuse(attempt, refusal),
        }
    }

    fn begin(&mut self, upstream: usize, ticket: Ticket, attempt: usize) {
        self.attempts[attempt].ticket = Some(ticket);
        self.upstreams[upstream].running.insert(ticket, attempt);
        self.upstreams[upstream].sent.push(self.now);
        let service_time = SERVICE_TIME.mul_f64(0.5 + self.rng.f64());
        self.schedule(self.now + service_time, Event::End(upstream, ticket));
    }

    fn refuse(&mut self, attempt: usize, refusal: Refusal) {
        let report = self.report(self.attempts[attempt].upstream);
        let retry_after = refusal.retry_after();
        self.attempts[attempt].outcome = Some(Outcome::Refused { retry_after, report });
        self.schedule(self.now + ONE_WAY_DELAY, Event::Reply(attempt));
    }

    fn report(&mut self, upstream: usize) -> LoadReport {
        let gate = &mut self.upstreams[upstream].gate;
        LoadReport {
            load: Some((gate.running() + gate.queued()) as u16),
            accept_ratio: Some(gate.acceptance_rate(self.now)),
            next_token: gate.schedule_retry(self.now),
            pace: None,
        }
    }

    fn schedule_tick(&mut self, upstream: usize) {
        let gate = &self.upstreams[upstream].gate;
        if let Some(wait) = gate.next_token(self.now).filter(|wait| !wait.is_zero()) {
            self.schedule(self.now + wait + Duration::from_micros(200), Event::Tick(upstream));
        }
    }

    fn tick(&mut self, upstream: usize) {
        let wakes = self.upstreams[upstream].gate.tick(self.now);
        self.wake(upstream, wakes);
        if !self.upstreams[upstream].waiting.is_empty() {
            self.schedule_tick(upstream);
        }
    }

    fn wake(&mut self, upstream: usize, wakes: Vec<Wake>) {
        for wake in wakes {
            match wake {
                Wake::Run(ticket) => {
                    let attempt = self.upstreams[upstream].waiting.remove(&ticket);
                    self.begin(upstream, ticket, attempt.expect("the call waits"));
                }
                Wake::Refuse(ticket, refusal) => {
                    let attempt = self.upstreams[upstream].waiting.remove(&ticket);
                    self.refuse(attempt.expect("the call waits"), refusal);
                }
            }
        }
    }

    fn end(&mut self, upstream: usize, ticket: Ticket) {
        let attempt = self.upstreams[upstream].running.remove(&ticket).expect("the call runs");
        let (now, named) = (self.now, self.upstreams[upstream].limit);
        let gate = &mut self.upstreams[upstream].gate;
        let _change = gate.observe_limit(named, now - SERVICE_TIME, now);
        let wakes = gate.ended(ticket, End::Answered(SERVICE_TIME), now);
        self.wake(upstream, wakes);
        let report = self.report(upstream);
        let outcome = Outcome::Answered {
            service: SERVICE_TIME,
            total: SERVICE_TIME + ONE_WAY_DELAY * 2,
            report,
        };
        self.attempts[attempt].outcome = Some(outcome);
        self.schedule(now + ONE_WAY_DELAY, Event::Reply(attempt));
    }

    fn receive_result(&mut self, attempt: usize) {
        let Attempt { daemon, tried, due, outcome, .. } = self.attempts[attempt].clone();
        let outcome = outcome.expect("the attempt has an outcome");
        let key = *tried.last().expect("an upstream was asked");
        let demand = self.demand(due);
        self.pickers[daemon].ended(key, demand, outcome, self.now);
        if matches!(outcome, Outcome::Answered { .. }) {
            self.served += 1;
            return;
        }
        self.refused_attempts += 1;
        self.choose(daemon, tried, due);
    }

    /// Returns the most calls sent in any one window, without those of the first second.
    fn max_sent_in_window(&self, upstream: usize) -> usize {
        let from = self.start + Duration::from_secs(1);
        let sent: Vec<_> = self.upstreams[upstream].sent.iter().filter(|at| **at > from).collect();
        let counted = |(i, end): (usize, &&Instant)| {
            sent[..=i].iter().rev().take_while(|at| ***at + WINDOW > **end).count()
        };
        sent.iter().enumerate().map(counted).max().unwrap_or(0)
    }
}

#[test]
fn the_named_rate_is_kept_and_used_by_any_number_of_daemons() {
    // Guards against a limit that is divided by the number of daemons, or that each daemon
    // enforces on its own.
    let mut out = String::new();
    for (daemons, seeds) in [(3, 30), (9, 30), (100, 3), (986, 1)] {
        for named in [1.0, 4.2, 50.0] {
            let (mut over, mut unused, mut refused, mut refused_per_s) =
                (0.0_f64, 0.0_f64, 0, 0.0_f64);
            for seed in 0..seeds {
                let limits = [Some(named), Some(named), None, None];
                let mut mesh = Mesh::new(daemons, &limits, seed);
                // The two upstreams without a limit run 360 calls a second together.
                let rate = 150.0;
                mesh.run(Duration::from_secs(13), rate);
                for limited in [0, 1] {
                    let allowed = named * WINDOW.as_secs_f64();
                    over = over.max(mesh.max_sent_in_window(limited) as f64 - allowed);
                }
                refused += mesh.refused;
                refused_per_s = refused_per_s.max(mesh.refused_attempts as f64 / 13.0);

                let mut mesh = Mesh::new(daemons, &[Some(named); 3], seed);
                mesh.run(Duration::from_secs(13), named * 30.0);
                let sent: usize = mesh.upstreams.iter().map(|upstream| upstream.sent.len()).sum();
                let full = 3.0 * named * 12.0;
                unused += (1.0 - sent as f64 / full) / seeds as f64;
                over = over.max(mesh.max_sent_in_window(0) as f64 - named * WINDOW.as_secs_f64());
            }
            out += &format!(
                "{daemons} daemons, {named} a second: {over:.1} calls over in 4 s, \
                 {:.0} in 100 unused, {refused} refused beside room, \
                 {refused_per_s:.0} questions a second in vain\n",
                unused.max(0.0) * 100.0
            );
            assert!(over <= named * WINDOW.as_secs_f64() * 0.5 + 5.0, "{out}");
            assert_eq!(refused, 0, "{out}");
        }
    }
    insta::assert_snapshot!(out);
}

#[test]
fn overtaken_answers_and_malformed_limits_are_ignored() {
    // Guards against an older answer that lifts a newer limit, and against limits that are not
    // numbers of calls.
    let now = Instant::now();
    let later = now + Duration::from_millis(100);
    let mut pace = Pace::default();
    let limit_of_four = limit(4.0);
    assert_eq!(
        pace.observe_limit(Some(limit_of_four), now, now),
        Some(LimitChange::Named(limit_of_four))
    );
    assert_eq!(pace.observe_limit(None, now - SERVICE_TIME, later), None);
    assert_eq!(pace.limit(), Some(limit_of_four));
    assert_eq!(pace.observe_limit(None, later, later), Some(LimitChange::Lifted));
    for text in ["", "-1", "NaN", "inf", "4,2", "four", "1 2"] {
        assert_eq!(NamedLimit::parse(text), None, "{text}");
    }
    for (text, per_s) in [("0", 0.0), ("0.25", 0.25), (" 4.2", 4.2), ("1e9", 1e9)] {
        assert_eq!(NamedLimit::parse(text).map(|limit| limit.per_s()), Some(per_s), "{text}");
    }
}

#[test]
fn a_restarted_daemon_adopts_the_limit_of_others_until_the_upstream_answers_it() {
    // Guards against a limit adopted from other daemons that outlasts the upstream's own
    // answers.
    let now = Instant::now();
    let mut pace = Pace::default();
    assert!(pace.adopt_limit(limit(1.0), now));
    assert!(!pace.is_open(now));
    assert!(pace.is_open(now + Duration::from_secs(1)));
    assert_eq!(pace.observe_limit(None, now, now), Some(LimitChange::Lifted));
    assert!(!pace.adopt_limit(limit(1.0), now));
    assert!(pace.is_open(now));
}

#[test]
fn a_lowered_limit_drops_saved_tokens() {
    // Guards against tokens that were saved up under the higher limit.
    let now = Instant::now();
    let mut pace = Pace::default();
    pace.observe_limit(Some(limit(200.0)), now, now);
    let later = now + Duration::from_secs(10);
    assert!(pace.is_open(later));
    pace.observe_limit(Some(limit(1.0)), later, later);
    assert!(!pace.is_open(later));
    assert_eq!(pace.wait(0, later), Duration::from_secs(1));
}
