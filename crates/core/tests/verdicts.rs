//! What verdicts on calls that end upstreams cost the innocent, over seeds.
//!
//! A fresh service of eight upstreams runs some calls that end whichever upstream runs
//! them, brought again and again by their callers, beside one innocent call that comes at
//! a steady rate. News take up to 40 ms, and trials are made one at a time.

use cicadashift_core::ids::{CallDigest, IncarnationKey};
use cicadashift_core::request::suspects::{QuarantineState, Review, Suspects, Suspicion};
use std::fmt::Write;
use std::time::{Duration, Instant};

const UPSTREAMS: usize = 8;
const SEEDS: u64 = 100;
const STEP: Duration = Duration::from_millis(10);
/// Steps that a run takes, and a guilty one until its upstream ends.
const RUN: u64 = 10;
/// Steps that an upstream is away after its end.
const AWAY: u64 = 40;
/// Steps between two tries of a guilty call by its caller.
const GUILTY_EVERY: u64 = 50;
/// Steps played: 30 seconds, so that no trial comes by age alone.
const STEPS: u64 = 2_900;
const DAEMONS: usize = 2;
const INNOCENT: CallDigest = CallDigest(1_000);

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
    /// When it is back.
    back: u64,
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
    came: u64,
    refused_late: u64,
    ends: Vec<u64>,
}

struct Play {
    now: Instant,
    step: u64,
    random: Random,
    daemons: [Suspects; DAEMONS],
    /// News under way, and when they come.
    news: Vec<(u64, Suspicion)>,
    upstreams: Vec<Upstream>,
    starts: u64,
    is_trying: bool,
    tally: Tally,
}

impl Play {
    fn new(seed: u64, guilty: u64) -> Play {
        let upstreams =
            (0..UPSTREAMS as u64).map(|start| Upstream { start, ..Upstream::default() });
        Play {
            now: Instant::now(),
            step: 0,
            random: Random(seed),
            daemons: Default::default(),
            news: Vec::new(),
            upstreams: upstreams.collect(),
            starts: UPSTREAMS as u64,
            is_trying: false,
            tally: Tally { ends: vec![0; guilty as usize], ..Tally::default() },
        }
    }

    fn tell(&mut self, news: Vec<Suspicion>) {
        for suspicion in news {
            let due = self.step + 1 + self.random.below(4);
            self.news.push((due, suspicion));
        }
    }

    /// A call comes to a daemon; returns whether it was sent to an upstream.
    fn come(&mut self, call: CallDigest) -> bool {
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
            (0..UPSTREAMS).filter(|i| self.upstreams[*i].back <= self.step).collect();
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
            let (over, on): (Vec<Run>, Vec<Run>) =
                self.upstreams[i].runs.iter().partition(|run| run.until <= step);
            let fatal: Vec<Run> = over.iter().copied().filter(|run| run.call.0 < 1_000).collect();
            if fatal.is_empty() {
                self.upstreams[i].runs = on;
                for run in over {
                    self.is_trying &= !run.is_trial;
                    let news = self.daemons[i % DAEMONS].ran_well(run.call, self.now);
                    self.tell(news.into_iter().collect());
                }
                continue;
            }
            fatal.iter().for_each(|run| self.tally.ends[run.call.0 as usize] += 1);
            let all: Vec<Run> = over.into_iter().chain(on).collect();
            self.is_trying &= !all.iter().any(|run| run.is_trial);
            let calls: Vec<CallDigest> = all.iter().map(|run| run.call).collect();
            let start = IncarnationKey(self.upstreams[i].start);
            let news = self.daemons[i % DAEMONS].ended(start, &calls, self.now);
            self.tell(news);
            self.starts += 1;
            self.upstreams[i] =
                Upstream { start: self.starts, back: self.step + AWAY, runs: Vec::new() };
        }
    }

    fn hear(&mut self) {
        let step = self.step;
        let (due, later) =
            std::mem::take(&mut self.news).into_iter().partition(|(at, _)| *at <= step);
        self.news = later;
        let due: Vec<(u64, Suspicion)> = due;
        let told: Vec<Suspicion> = due.into_iter().map(|(_, suspicion)| suspicion).collect();
        for at in 0..DAEMONS {
            let more = self.daemons[at].merge(&told, self.now);
            self.tell(more);
        }
    }

    fn run(mut self, guilty: u64, innocent_every: u64) -> Tally {
        while self.step < STEPS {
            self.hear();
            self.end_runs();
            for n in 0..guilty {
                if self.step % GUILTY_EVERY == n % GUILTY_EVERY {
                    self.come(CallDigest(n));
                }
            }
            if self.step % innocent_every == 0 {
                let is_refused = !self.come(INNOCENT);
                self.tally.came += 1;
                self.tally.refused += u64::from(is_refused);
                self.tally.refused_late += u64::from(is_refused && self.step > STEPS / 2);
            }
            self.step += 1;
            self.now += STEP;
        }
        self.tally
    }
}

// Callers of the innocent call are refused only for as long as it takes to find out, and
// whatever happens at the start, they are served in the second half of the time. No
// guilty call ends more upstreams than the three that are free and three after them.
#[test]
fn the_innocent_are_found_and_the_guilty_stay_within_their_limit() {
    let mut table = String::from("a second, guilty: refused of came, most ends of one guilty\n");
    for innocent_every in [100, 10, 1] {
        for guilty in [1, 5, 30] {
            let (mut refused, mut came, mut most) = (0, 0, 0);
            for seed in 0..SEEDS {
                let tally = Play::new(seed, guilty).run(guilty, innocent_every);
                refused += tally.refused;
                came += tally.came;
                assert_eq!(tally.refused_late, 0, "seed {seed}: {innocent_every} {guilty}");
                most = most.max(tally.ends.into_iter().max().unwrap_or_default());
            }
            assert!(most <= 6, "{most} ends by one of {guilty}");
            let rate = 100 / innocent_every;
            writeln!(table, "{rate:>3}, {guilty:>2}: {refused} of {came}, {most}").expect("text");
        }
    }
    insta::assert_snapshot!(table);
}
