//! Seeded rollouts on the virtual clock: how many calls an unproven version gets, how soon a
//! bad version is rolled back, and how often a good version is completed.
//!
//! Thirty hosts, half with an upstream of the old version and half with one of the new
//! version, take 500 calls a second. Daemons receive a stage with a delay of up to a second,
//! one in ten reports is lost, and the order stands for twelve seconds.

use cicadashift_core::ids::{HostKey, Revision};
use cicadashift_core::request::gate::KindKey;
use cicadashift_core::rollout::account::{Account, Bounds};
use cicadashift_core::rollout::decide::{Decider, Proposal};
use cicadashift_core::rollout::tally::{Kinds, Report, UpstreamReport};
use cicadashift_core::rollout::{Lane, Order, Phase, Stage};
use std::collections::VecDeque;
use std::fmt::Write;
use std::time::{Duration, Instant};

const SEEDS: u64 = 100;
const STEP: Duration = Duration::from_millis(20);
const STEPS: u64 = 600;
const HOSTS: usize = 30;
const CALLS_PER_STEP: u64 = 10;
const BOUNDS: Bounds = Bounds { share: 0.1, slack: 50.0 };
/// Steps between two reports of a daemon.
const REPORT_EVERY: u64 = 25;
/// Upper bound, in steps, on the delay with which a daemon receives a stage.
const MAX_DELAY: u64 = 50;

struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        self.0 >> 33
    }

    fn below(&mut self, n: u64) -> u64 {
        self.next() % n
    }

    fn unit(&mut self) -> f64 {
        self.next() as f64 / (1_u64 << 31) as f64
    }
}

/// Fault of the new version.
#[derive(Clone, Copy, Default)]
struct Fault {
    /// Share of its calls that it fails.
    fails: f64,
    /// Share of its calls that are slow, and how many times as long they take.
    slow: (f64, f64),
    /// Step at which the fault begins.
    from: u64,
    /// Whether the fault affects only one of the two routes.
    one_route: bool,
}

/// Whether some hosts are faulty: one host of the new version and two of the old fail four
/// calls in ten, whatever the version.
#[derive(Clone, Copy, PartialEq)]
enum Hosts {
    Healthy,
    Faulty,
}

struct Host {
    known: Option<Stage>,
    speed: f64,
    faulty: bool,
    sent: u32,
    quota: u32,
    epoch: u32,
    kinds: Kinds,
    /// Steps at which the calls in flight end.
    in_flight: VecDeque<u64>,
    closes_at: Option<u64>,
}

#[derive(Default)]
struct Outcome {
    exposed: u64,
    all: u64,
    /// Calls sent to the new version more than five seconds after its fiftieth bad answer.
    late: u64,
    bad: u64,
    /// Step of the fiftieth bad answer.
    fiftieth: Option<u64>,
    end: Option<(Phase, u64)>,
    /// Calls in flight at old upstreams when these are stopped.
    cut: u64,
}

struct World {
    random: Random,
    /// Seed of the delays with which daemons receive stages.
    delay_seed: u64,
    fault: Fault,
    hosts: Vec<Host>,
    published: Vec<(u64, Stage)>,
    decider: Decider,
    pending_write: Option<(u64, Proposal)>,
    out: Outcome,
    start: Instant,
}

fn name(host: usize) -> String {
    format!("i-{host:02}")
}

fn is_new(host: usize) -> bool {
    host >= HOSTS / 2
}

impl World {
    fn new(seed: u64, fault: Fault, hosts: Hosts) -> World {
        let mut random = Random(seed.wrapping_mul(7919) + 1);
        let start = Instant::now();
        let order = Order {
            service: "notice".to_string(),
            target: "v2".to_string(),
            revision: Revision { era: 0, number: 5 },
            read_in_era: 0,
            duration: Duration::from_secs(12),
        };
        let host = |i: usize| Host {
            known: None,
            speed: [0.5, 1.0, 1.0, 1.5][random.below(4) as usize],
            faulty: hosts == Hosts::Faulty && matches!(i, 1 | 7 | 16),
            sent: 0,
            quota: 0,
            epoch: 0,
            kinds: Kinds::default(),
            in_flight: VecDeque::new(),
            closes_at: None,
        };
        let hosts = (0..HOSTS).map(host).collect();
        let decider = Decider::new(order, BOUNDS, start, 0, None, Account::default());
        let (published, out) = (Vec::new(), Outcome::default());
        let delay_seed = random.next();
        World {
            random,
            delay_seed,
            fault,
            hosts,
            published,
            decider,
            pending_write: None,
            out,
            start,
        }
    }

    fn stage(&self) -> Option<Stage> {
        let phase = self.decider.phase()?.clone();
        let order = self.decider.order();
        Some(Stage {
            service: order.service.clone(),
            target: order.target.clone(),
            order: order.revision,
            step: self.decider.step(),
            decider: HostKey(0),
            phase,
        })
    }

    fn decide(&mut self, step: u64) {
        let now = self.start + STEP * step as u32;
        if let Some((at, proposal)) = self.pending_write.take() {
            if step < at {
                self.pending_write = Some((at, proposal));
                return;
            }
            self.decider.apply(&proposal);
            if let Proposal::Phase(phase, _) = &proposal {
                self.published.extend(self.stage().map(|stage| (step, stage)));
                if phase.is_final() {
                    self.out.end = Some((phase.clone(), step));
                }
                if *phase == Phase::Completed {
                    // Old upstreams stop at once.
                    let old = self.hosts.iter().take(HOSTS / 2);
                    self.out.cut = old.map(|host| host.in_flight.len() as u64).sum();
                }
            }
        }
        let old: Vec<String> = (0..HOSTS).filter(|host| !is_new(*host)).map(name).collect();
        if let Some(proposal) = self.decider.propose(&old, now) {
            self.pending_write = Some((step + 1 + self.random.below(10), proposal));
        }
    }

    fn deliver_stages(&mut self, step: u64) {
        for (at, stage) in &self.published {
            for (i, host) in self.hosts.iter_mut().enumerate() {
                let delay = Random(self.delay_seed ^ (*at << 8) ^ i as u64).below(MAX_DELAY);
                if step >= at + delay
                    && host.known.as_ref().is_none_or(|known| stage.outranks(known))
                {
                    if stage.phase == Phase::Cutover {
                        host.closes_at = Some(step + MAX_DELAY);
                    }
                    host.known = Some(stage.clone());
                }
            }
        }
    }

    fn report(&mut self, step: u64) {
        let now = self.start + STEP * step as u32;
        for i in 0..HOSTS {
            if (step + i as u64) % REPORT_EVERY != 0 || self.random.below(10) == 0 {
                continue;
            }
            let host = &self.hosts[i];
            if host.known.is_none() {
                continue;
            }
            let upstream = UpstreamReport {
                upstream: name(i),
                is_new: is_new(i),
                slots: 9,
                is_warm: true,
                sent: host.sent,
                in_flight: host.in_flight.len() as u32,
                is_closed: !is_new(i) && host.closes_at.is_some_and(|at| step >= at),
                kinds: host.kinds.clone(),
            };
            let report = Report {
                host: HostKey(i as u64),
                service: "notice".to_string(),
                order: Revision { era: 0, number: 5 },
                epoch: host.epoch,
                upstreams: vec![upstream],
            };
            let quotas = self.decider.handle_report(report, now);
            let epoch = self.decider.epoch();
            let host = &mut self.hosts[i];
            if host.epoch != epoch {
                (host.epoch, host.sent, host.quota) = (epoch, 0, 0);
            }
            for (_, quota) in quotas.0 {
                host.quota = host.quota.max(quota);
            }
        }
    }

    /// Returns whether the daemon beside an upstream admits a call.
    fn admits(&self, host: usize, step: u64) -> bool {
        let upstream = &self.hosts[host];
        let Some(stage) = &upstream.known else { return true };
        match stage.lane(if is_new(host) { "v2" } else { "v1" }, &name(host)) {
            Lane::Main => true,
            Lane::Canary => upstream.sent < upstream.quota,
            Lane::Held => !is_new(host) && upstream.closes_at.is_some_and(|at| step < at),
        }
    }

    fn call(&mut self, step: u64) {
        self.out.all += 1;
        let entry = self.random.below(HOSTS as u64) as usize;
        let known = self.hosts[entry].known.clone();
        let random = self.random.next();
        let lanes = match &known {
            None => vec![Lane::Main],
            Some(stage) => vec![stage.lane_of_call(random), Lane::Main],
        };
        for lane in lanes {
            let of = |host: &usize| match &known {
                // Until the order is received, all upstreams are treated alike.
                None => Lane::Main,
                Some(stage) => stage.lane(if is_new(*host) { "v2" } else { "v1" }, &name(*host)),
            };
            let all: Vec<usize> = (0..HOSTS).filter(|host| of(host) == lane).collect();
            if all.is_empty() {
                continue;
            }
            let host = all[self.random.below(all.len() as u64) as usize];
            if self.admits(host, step) {
                return self.run(host, step);
            }
        }
    }

    fn run(&mut self, host: usize, step: u64) {
        let kind = self.random.below(2);
        let is_affected =
            is_new(host) && step >= self.fault.from && (!self.fault.one_route || kind == 0);
        let fails_by_host = self.hosts[host].faulty && self.random.unit() < 0.4;
        let fails = fails_by_host || (is_affected && self.random.unit() < self.fault.fails);
        let is_slow = is_affected && self.random.unit() < self.fault.slow.0;
        // The sum of twelve uniform numbers is approximately normal.
        let normal: f64 = (0..12).map(|_| self.random.unit()).sum::<f64>() - 6.0;
        let times = if is_slow { self.fault.slow.1 } else { 1.0 };
        let ms = 200.0 * (0.6 * normal).exp() * self.hosts[host].speed * times;
        let took = Duration::from_millis(ms.min(2_000.0) as u64);
        let upstream = &mut self.hosts[host];
        upstream.sent += 1;
        let tally = upstream.kinds.tally_mut(KindKey(kind));
        if fails {
            tally.failures += 1;
        } else {
            tally.record_answer(took);
        }
        upstream.in_flight.push_back(step + took.as_millis() as u64 / 20);
        if is_new(host) {
            self.out.exposed += 1;
            self.out.bad += u64::from(is_affected && (fails || is_slow));
            if self.out.bad >= 50 {
                let fiftieth = *self.out.fiftieth.get_or_insert(step);
                self.out.late += u64::from(step > fiftieth + 250);
            }
        }
    }

    fn simulate(mut self) -> Outcome {
        for step in 0..STEPS {
            for host in &mut self.hosts {
                host.in_flight.retain(|until| *until > step);
            }
            self.deliver_stages(step);
            self.report(step);
            self.decide(step);
            (0..CALLS_PER_STEP).for_each(|_| self.call(step));
        }
        self.out
    }
}

// Guards against a bad version that gets more calls than its bound, or any call more than
// five seconds after its fiftieth bad answer; against a good version that is not completed
// within its time, also beside faulty hosts; and against calls in flight at old upstreams
// when these may be stopped. Calls are counted outside the decider.
#[test]
fn bad_versions_stay_within_their_bound_and_good_ones_go_in() {
    let fails = |fails| Fault { fails, ..Fault::default() };
    let slow = |times| Fault { slow: (1.0, times), ..Fault::default() };
    let rows = [
        ("good", Fault::default(), Hosts::Healthy),
        ("good, faulty hosts", Fault::default(), Hosts::Faulty),
        ("fails all", fails(1.0), Hosts::Healthy),
        ("fails 3 in 10", fails(0.3), Hosts::Healthy),
        ("fails 1 in 10, faulty hosts", fails(0.1), Hosts::Faulty),
        ("fails 3 in 100", fails(0.03), Hosts::Healthy),
        ("8 times slower", slow(8.0), Hosts::Healthy),
        ("4 times slower", slow(4.0), Hosts::Healthy),
        ("4 in 10 take 8 times", Fault { slow: (0.4, 8.0), ..Fault::default() }, Hosts::Healthy),
        ("3 in 10 from 4 s on", Fault { from: 200, ..fails(0.3) }, Hosts::Healthy),
        ("3 in 10 of one route", Fault { one_route: true, ..fails(0.3) }, Hosts::Healthy),
    ];
    let mut table = String::new();
    for (what, fault, hosts) in rows {
        let (mut completed, mut back, mut late, mut cut) = (0, 0, 0, 0);
        let (mut worst, mut last) = (0.0_f64, 0);
        for seed in 0..SEEDS {
            let out = World::new(seed, fault, hosts).simulate();
            let is_bad = fault.fails > 0.0 || fault.slow.0 > 0.0;
            let most = BOUNDS.share * out.all as f64 + BOUNDS.slack;
            if is_bad {
                worst = worst.max(out.exposed as f64 / most);
            }
            late += out.late;
            cut += out.cut;
            match out.end {
                Some((Phase::Completed, at)) => {
                    completed += 1;
                    last = last.max(at);
                }
                Some((_, at)) => {
                    back += 1;
                    last = last.max(at);
                }
                None => {}
            }
        }
        let at = last as f64 * 0.02;
        match what {
            "good" => assert!(completed >= 99, "{what}: {completed}"),
            "good, faulty hosts" => assert!(completed >= 95, "{what}: {completed}"),
            // The calls that the bound allows are too few to detect these faults reliably; the
            // table has the figures.
            "fails 3 in 100" | "4 in 10 take 8 times" => {}
            _ => {
                assert!(worst <= 1.0 && late == 0, "{what}: {worst} of the bound, {late} late");
                assert_eq!(completed, 0, "{what}");
            }
        }
        assert_eq!(cut, 0, "{what}");
        writeln!(
            table,
            "{what}: {completed} completed, {back} rolled back, last at {at:.1} s; most {worst:.2} of the bound, {late} late, {cut} cut"
        )
        .expect("text");
    }
    insta::assert_snapshot!(table);
}
