//! Harmless calls refused because of fatal ones, simulated over many seeds.
//!
//! A fresh service of eight upstreams runs some fatal calls, which end any upstream that
//! runs them and are retried by their callers, and one harmless call that arrives at a
//! steady rate. Suspicions take up to 40 ms to other daemons, and trials are made one at a
//! time.

use cicadashift_core::ids::{CallDigest, IncarnationKey};
use cicadashift_core::request::suspects::{QuarantineState, Review, Suspects, Suspicion};
use std::fmt::Write;
use std::time::{Duration, Instant};

const UPSTREAMS: usize = 8;
const SEEDS: u64 = 100;
const STEP: Duration = Duration::from_millis(10);
/// Steps that a run takes; the run of a fatal call then ends its upstream.
const RUN: u64 = 10;
/// Steps for which an upstream is down after its end.
const DOWNTIME: u64 = 40;
/// Steps between two tries of a fatal call by its caller.
const FATAL_EVERY: u64 = 50;
/// Steps simulated: just under 30 seconds, so that no trial is due by age alone.
const STEPS: u64 = 2_900;
const DAEMONS: usize = 2;
const HARMLESS: CallDigest = CallDigest(1_000);

struct Random(u64);

impl Random {
    fn below(&mut self, n: u64) -> u64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % n
    }
}

#[derive(Default)]
struct Upstream {
    start: u64,
    /// Step at which it is up again.
    up_at: u64,
    runs: Vec<Run>,
}

#[derive(Clone, Copy)]
struct Run {
    call: CallDigest,
    until: u64,
    is_trial: bool,
}

#[derive(Default)]
struct Tally {
    refused: u64,
    arrived: u64,
    refused_late: u64,
    ends: Vec<u64>,
}

struct Simulation {
    now: Instant,
    step: u64,
    random: Random,
    daemons: [Suspects; DAEMONS],
    /// Suspicions in flight, with the step at which they arrive.
    pending: Vec<(u64, Suspicion)>,
    upstreams: Vec<Upstream>,
    starts: u64,
    is_trying: bool,
    tally: Tally,
}

impl Simulation {
    fn new(seed: u64, fatal_calls: u64) -> Simulation {
        let upstreams =
            (0..UPSTREAMS as u64).map(|start| Upstream { start, ..Upstream::default() });
        Simulation {
            now: Instant::now(),
            step: 0,
            random: Random(seed),
            daemons: Default::default(),
            pending: Vec::new(),
            upstreams: upstreams.collect(),
            starts: UPSTREAMS as u64,
            is_trying: false,
            tally: Tally { ends: vec![0; fatal_calls as usize], ..Tally::default() },
        }
    }

    fn send(&mut self, changes: Vec<Suspicion>) {
        for suspicion in changes {
            let due = self.step + 1 + self.random.below(4);
            self.pending.push((due, suspicion));
        }
    }

    /// Brings a call to a random daemon; returns whether it was sent to an upstream.
    fn arrive(&mut self, call: CallDigest) -> bool {
        let at = self.random.below(DAEMONS as u64) as usize;
        let suspects = &self.daemons[at];
        let mut is_trial = false;
        if let QuarantineState::Quarantined { .. } = suspects.state(call, self.now) {
            is_trial = suspects.review(call, self.now) == Review::Doubtful && !self.is_trying;
            if !is_trial {
                return false;
            }
        }
        let up: Vec<usize> =
            (0..UPSTREAMS).filter(|i| self.upstreams[*i].up_at <= self.step).collect();
        if up.is_empty() {
            return false;
        }
        self.is_trying |= is_trial;
        let i = up[self.random.below(up.len() as u64) as usize];
        let until = self.step + RUN;
        self.upstreams[i].runs.push(Run { call, until, is_trial });
        true
    }

    fn end_runs(&mut self) {
        for i in 0..UPSTREAMS {
            let step = self.step;
            let (finished, running): (Vec<Run>, Vec<Run>) =
                self.upstreams[i].runs.iter().partition(|run| run.until <= step);
            let fatal: Vec<Run> =
                finished.iter().copied().filter(|run| run.call.0 < 1_000).collect();
            if fatal.is_empty() {
                self.upstreams[i].runs = running;
                for run in finished {
                    self.is_trying &= !run.is_trial;
                    let changes = self.daemons[i % DAEMONS].ran_well(run.call, self.now);
                    self.send(changes.into_iter().collect());
                }
                continue;
            }
            fatal.iter().for_each(|run| self.tally.ends[run.call.0 as usize] += 1);
            let all: Vec<Run> = finished.into_iter().chain(running).collect();
            self.is_trying &= !all.iter().any(|run| run.is_trial);
            let calls: Vec<CallDigest> = all.iter().map(|run| run.call).collect();
            let start = IncarnationKey(self.upstreams[i].start);
            let changes = self.daemons[i % DAEMONS].ended(start, &calls, self.now);
            self.send(changes);
            self.starts += 1;
            self.upstreams[i] =
                Upstream { start: self.starts, up_at: self.step + DOWNTIME, runs: Vec::new() };
        }
    }

    fn deliver(&mut self) {
        let step = self.step;
        let (due, later) =
            std::mem::take(&mut self.pending).into_iter().partition(|(at, _)| *at <= step);
        self.pending = later;
        let due: Vec<(u64, Suspicion)> = due;
        let received: Vec<Suspicion> = due.into_iter().map(|(_, suspicion)| suspicion).collect();
        for at in 0..DAEMONS {
            let changed = self.daemons[at].merge(&received, self.now);
            self.send(changed);
        }
    }

    fn run(mut self, fatal_calls: u64, harmless_every: u64) -> Tally {
        while self.step < STEPS {
            self.deliver();
            self.end_runs();
            for n in 0..fatal_calls {
                if self.step % FATAL_EVERY == n % FATAL_EVERY {
                    self.arrive(CallDigest(n));
                }
            }
            if self.step % harmless_every == 0 {
                let is_refused = !self.arrive(HARMLESS);
                self.tally.arrived += 1;
                self.tally.refused += u64::from(is_refused);
                self.tally.refused_late += u64::from(is_refused && self.step > STEPS / 2);
            }
            self.step += 1;
            self.now += STEP;
        }
        self.tally
    }
}

// Callers of the harmless call are refused only until it is cleared: in the second half of
// the simulated time they are always served. No fatal call ends more than six upstreams:
// the three that are accepted in any case, and three after them.
#[test]
fn harmless_calls_are_cleared_and_fatal_calls_stay_within_their_limit() {
    let mut table = String::from("a second, guilty: refused of came, most ends of one guilty\n");
    for harmless_every in [100, 10, 1] {
        for fatal_calls in [1, 5, 30] {
            let (mut refused, mut arrived, mut max_ends) = (0, 0, 0);
            for seed in 0..SEEDS {
                let tally = Simulation::new(seed, fatal_calls).run(fatal_calls, harmless_every);
                refused += tally.refused;
                arrived += tally.arrived;
                assert_eq!(tally.refused_late, 0, "seed {seed}: {harmless_every} {fatal_calls}");
                max_ends = max_ends.max(tally.ends.into_iter().max().unwrap_or_default());
            }
            assert!(max_ends <= 6, "{max_ends} ends by one of {fatal_calls}");
            let rate = 100 / harmless_every;
            writeln!(table, "{rate:>3}, {fatal_calls:>2}: {refused} of {arrived}, {max_ends}")
                .expect("writing to a string does not fail");
        }
    }
    insta::assert_snapshot!(table);
}
