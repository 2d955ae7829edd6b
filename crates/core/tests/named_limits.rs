//! Upstreams that name a limit, on a virtual clock: entry daemons that choose, gates that
//! admit, and the way between them.

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
/// One way between daemons.
const WAY: Duration = Duration::from_millis(1);
const WORK: Duration = Duration::from_millis(50);
const OBJECTIVE: Duration = Duration::from_millis(400);
const SLOTS: u16 = 9;
const KIND: KindKey = KindKey(1);
/// Daemons that a call asks at most.
const ASKED_MOST: usize = 3;

fn limit(per_s: f64) -> NamedLimit {
    NamedLimit::parse(&per_s.to_string()).expect("a number of calls")
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Call(usize),
    Arrive(usize),
    Look(usize),
    End(usize, Ticket),
    Back(usize),
}

#[derive(Clone)]
struct Try {
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
    number: u64,
    pickers: Vec<Picker>,
    upstreams: Vec<Upstream>,
    tries: Vec<Try>,
    served: usize,
    refused: usize,
    /// Times that a daemon was asked for nothing.
    asked_in_vain: usize,
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
            number: 0,
            pickers: (0..daemons).map(picker).collect(),
            upstreams: limits.iter().map(upstream).collect(),
            tries: Vec::new(),
            served: 0,
            refused: 0,
            asked_in_vain: 0,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    fn at(&mut self, time: Instant, event: Event) {
        self.number += 1;
        self.events.push(Reverse((time, self.number, event)));
    }

    /// Lets `rate` calls a second come to all daemons for a time.
    fn run(&mut self, time: Duration, rate: f64) {
        let until = self.now + time;
        let mut next = self.now;
        while next < until {
            let daemon = self.rng.usize(0..self.pickers.len());
            self.at(next, Event::Call(daemon));
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
                Event::Look(upstream) => self.look(upstream),
                Event::End(upstream, ticket) => self.end(upstream, ticket),
                Event::Back(attempt) => self.back(attempt),
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
        let chosen = match tried.len() < ASKED_MOST {
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
        let attempt = Try { daemon, upstream, tried, due, ticket: None, outcome: None };
        self.tries.push(attempt);
        let attempt = self.tries.len() - 1;
        self.at(self.now + WAY, Event::Arrive(attempt));
    }

    fn arrive(&mut self, attempt: usize) {
        let Try { upstream, due, .. } = self.tries[attempt];
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
                self.look_later(upstream);
            }
            Admission::Refuse(refusal) => self.refuse(attempt, refusal),
        }
    }

    fn begin(&mut self, upstream: usize, ticket: Ticket, attempt: usize) {
        self.tries[attempt].ticket = Some(ticket);
        self.upstreams[upstream].running.insert(ticket, attempt);
        self.upstreams[upstream].sent.push(self.now);
        let work = WORK.mul_f64(0.5 + self.rng.f64());
        self.at(self.now + work, Event::End(upstream, ticket));
    }

    fn refuse(&mut self, attempt: usize, refusal: Refusal) {
        let report = self.report(self.tries[attempt].upstream);
        let retry_after = refusal.retry_after();
        self.tries[attempt].outcome = Some(Outcome::Refused { retry_after, report });
        self.at(self.now + WAY, Event::Back(attempt));
    }

    fn report(&mut self, upstream: usize) -> LoadReport {
        let gate = &mut self.upstreams[upstream].gate;
        LoadReport {
            load: Some((gate.running() + gate.queued()) as u16),
            accept_ratio: Some(gate.acceptance_rate(self.now)),
            next_token: gate.schedule_retry(self.now),
        }
    }

    fn look_later(&mut self, upstream: usize) {
        let gate = &self.upstreams[upstream].gate;
        if let Some(wait) = gate.next_token(self.now).filter(|wait| !wait.is_zero()) {
            self.at(self.now + wait + Duration::from_micros(200), Event::Look(upstream));
        }
    }

    fn look(&mut self, upstream: usize) {
        let wakes = self.upstreams[upstream].gate.tick(self.now);
        self.wake(upstream, wakes);
        if !self.upstreams[upstream].waiting.is_empty() {
            self.look_later(upstream);
        }
    }

    fn wake(&mut self, upstream: usize, wakes: Vec<Wake>) {
        for wake in wakes {
            match wake {
                Wake::Run(ticket) => {
                    let attempt = self.upstreams[upstream].waiting.remove(&ticket);
                    self.begin(upstream, ticket, attempt.expect("it waits"));
                }
                Wake::Refuse(ticket, refusal) => {
                    let attempt = self.upstreams[upstream].waiting.remove(&ticket);
                    self.refuse(attempt.expect("it waits"), refusal);
                }
            }
        }
    }

    fn end(&mut self, upstream: usize, ticket: Ticket) {
        let attempt = self.upstreams[upstream].running.remove(&ticket).expect("it runs");
        let (now, named) = (self.now, self.upstreams[upstream].limit);
        let gate = &mut self.upstreams[upstream].gate;
        let _change = gate.observe_limit(named, now - WORK, now);
        let wakes = gate.ended(ticket, End::Answered(WORK), now);
        self.wake(upstream, wakes);
        let report = self.report(upstream);
        let outcome = Outcome::Answered { service: WORK, total: WORK + WAY * 2, report };
        self.tries[attempt].outcome = Some(outcome);
        self.at(now + WAY, Event::Back(attempt));
    }

    fn back(&mut self, attempt: usize) {
        let Try { daemon, tried, due, outcome, .. } = self.tries[attempt].clone();
        let outcome = outcome.expect("it is answered");
        let key = *tried.last().expect("one was asked");
        let demand = self.demand(due);
        self.pickers[daemon].ended(key, demand, outcome, self.now);
        if matches!(outcome, Outcome::Answered { .. }) {
            self.served += 1;
            return;
        }
        self.asked_in_vain += 1;
        self.choose(daemon, tried, due);
    }

    /// Returns most calls sent in one window, of those sent later than a second after the
    /// start.
    fn most(&self, upstream: usize) -> usize {
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
    // Guards against limits that are divided by the daemons, or kept by each of them.
    let mut out = String::new();
    for (daemons, seeds) in [(3, 30), (9, 30), (100, 3), (986, 1)] {
        for named in [1.0, 4.2, 50.0] {
            let (mut over, mut unused, mut refused, mut in_vain) = (0.0_f64, 0.0_f64, 0, 0.0_f64);
            for seed in 0..seeds {
                let limits = [Some(named), Some(named), None, None];
                let mut mesh = Mesh::new(daemons, &limits, seed);
                // Two without a limit run 360 a second together.
                let rate = 150.0;
                mesh.run(Duration::from_secs(13), rate);
                for limited in [0, 1] {
                    let allowed = named * WINDOW.as_secs_f64();
                    over = over.max(mesh.most(limited) as f64 - allowed);
                }
                refused += mesh.refused;
                in_vain = in_vain.max(mesh.asked_in_vain as f64 / 13.0);

                let mut mesh = Mesh::new(daemons, &[Some(named); 3], seed);
                mesh.run(Duration::from_secs(13), named * 30.0);
                let sent: usize = mesh.upstreams.iter().map(|upstream| upstream.sent.len()).sum();
                let full = 3.0 * named * 12.0;
                unused += (1.0 - sent as f64 / full) / seeds as f64;
                over = over.max(mesh.most(0) as f64 - named * WINDOW.as_secs_f64());
            }
            out += &format!(
                "{daemons} daemons, {named} a second: {over:.1} calls over in 4 s, \
                 {:.0} in 100 unused, {refused} refused beside room, \
                 {in_vain:.0} questions a second in vain\n",
                unused.max(0.0) * 100.0
            );
            assert!(over <= named * WINDOW.as_secs_f64() * 0.5 + 5.0, "{out}");
            assert_eq!(refused, 0, "{out}");
        }
    }
    insta::assert_snapshot!(out);
}

#[test]
fn signals_that_cross_or_cannot_be_read_change_nothing() {
    // Guards against a limit that an older answer takes back, and numbers that are none.
    let now = Instant::now();
    let later = now + Duration::from_millis(100);
    let mut pace = Pace::default();
    let four = limit(4.0);
    assert_eq!(pace.observe_limit(Some(four), now, now), Some(LimitChange::Named(four)));
    assert_eq!(pace.observe_limit(None, now - WORK, later), None);
    assert_eq!(pace.limit(), Some(four));
    assert_eq!(pace.observe_limit(None, later, later), Some(LimitChange::Lifted));
    for text in ["", "-1", "NaN", "inf", "4,2", "four", "1 2"] {
        assert_eq!(NamedLimit::parse(text), None, "{text}");
    }
    for (text, per_s) in [("0", 0.0), ("0.25", 0.25), (" 4.2", 4.2), ("1e9", 1e9)] {
        assert_eq!(NamedLimit::parse(text).map(|limit| limit.per_s()), Some(per_s), "{text}");
    }
}

#[test]
fn a_daemon_that_starts_again_adopts_the_limit_of_others_until_it_is_answered() {
    // Guards against a limit that others told of and that outlasts the upstream's own signal.
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
fn a_lowered_limit_takes_nothing_along() {
    // Guards against tokens saved up under the higher limit.
    let now = Instant::now();
    let mut pace = Pace::default();
    pace.observe_limit(Some(limit(200.0)), now, now);
    let later = now + Duration::from_secs(10);
    assert!(pace.is_open(later));
    pace.observe_limit(Some(limit(1.0)), later, later);
    assert!(!pace.is_open(later));
    assert_eq!(pace.wait(0, later), Duration::from_secs(1));
}
