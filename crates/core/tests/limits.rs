//! Limits that all daemons keep together, on a virtual clock: daemons, their keepers and
//! the way between them, under the demand that each test names.

use cicadashift_core::limit::keeper::{Account, QuotaPart};
use cicadashift_core::limit::share::Limiter;
use cicadashift_core::limit::{Grant, LimitKey, NOTICE_EVERY, Quota, REPORT_EVERY, Usage};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(10);
/// Way of a report or a grant.
const WAY: Duration = Duration::from_millis(10);
/// Time in which a notice has reached all daemons.
const NOTICE_WAY: Duration = Duration::from_millis(150);
const WINDOW: Duration = Duration::from_secs(5);
const KEY: LimitKey = LimitKey(1);

/// The rule that the platform's users set: calls in any window.
fn allowed(quota: Quota) -> f64 {
    let calls = quota.rate_per_s as f64 * WINDOW.as_secs_f64() + quota.burst as f64;
    calls * 1.1 + 20.0
}

struct Daemon {
    share: Limiter,
    next_report: Instant,
    /// Which keeper it reports to, if it reaches one.
    keeper: Option<usize>,
}

struct Keeper {
    account: Account,
    live: usize,
    lost: usize,
    /// When it last told all daemons that the limit is held back.
    told: Option<Instant>,
    was_held: bool,
}

struct Mesh {
    now: Instant,
    quota: Quota,
    daemons: Vec<Daemon>,
    keepers: Vec<Keeper>,
    notices: VecDeque<(Instant, usize, Grant)>,
    next_look: Instant,
    reports: VecDeque<(Instant, usize, usize, Usage)>,
    grants: VecDeque<(Instant, usize, Grant)>,
    admitted: VecDeque<Instant>,
    offered: u64,
    refused: u64,
    most: usize,
    rng: fastrand::Rng,
}

impl Keeper {
    fn new(live: usize, lost: usize, now: Instant) -> Keeper {
        Keeper { account: Account::new(now), live, lost, told: None, was_held: false }
    }
}

impl Mesh {
    fn new(daemons: usize, quota: Quota, seed: u64) -> Mesh {
        let now = Instant::now();
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut daemon = || Daemon {
            share: Limiter::new(now),
            next_report: now + REPORT_EVERY.mul_f64(rng.f64()),
            keeper: Some(0),
        };
        let all: Vec<_> = (0..daemons).map(|_| daemon()).collect();
        Mesh {
            now,
            quota,
            daemons: all,
            keepers: vec![Keeper::new(daemons, 0, now)],
            notices: VecDeque::new(),
            next_look: now,
            reports: VecDeque::new(),
            grants: VecDeque::new(),
            admitted: VecDeque::new(),
            offered: 0,
            refused: 0,
            most: 0,
            rng,
        }
    }

    /// Lets `rate` calls a second come to the daemons of a range for a time.
    fn run(&mut self, time: Duration, rate: f64, at: std::ops::Range<usize>) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            let mean = rate * STEP.as_secs_f64();
            let calls = mean as usize + usize::from(self.rng.f64() < mean.fract());
            for _ in 0..calls {
                let i = self.rng.usize(at.clone());
                self.call(i);
            }
            self.deliver();
            self.report();
            if self.now >= self.next_look {
                self.next_look = self.now + REPORT_EVERY;
                self.notice();
            }
        }
    }

    fn call(&mut self, i: usize) {
        self.offered += 1;
        if !self.daemons[i].share.admit(false, self.now, self.rng.u64(..)) {
            self.refused += 1;
            return;
        }
        self.admitted.push_back(self.now);
        while self.admitted.front().is_some_and(|at| *at + WINDOW <= self.now) {
            self.admitted.pop_front();
        }
        self.most = self.most.max(self.admitted.len());
    }

    fn report(&mut self) {
        for (i, daemon) in self.daemons.iter_mut().enumerate() {
            if self.now < daemon.next_report {
                continue;
            }
            daemon.next_report = self.now + REPORT_EVERY;
            let Some(usage) = daemon.share.take_usage(KEY) else { continue };
            let Some(keeper) = daemon.keeper else { continue };
            self.reports.push_back((self.now + WAY, i, keeper, usage));
        }
    }

    fn notice(&mut self) {
        for (k, keeper) in self.keepers.iter_mut().enumerate() {
            let part = QuotaPart::of(self.quota, keeper.live, keeper.lost);
            let grant = keeper.account.reduced_grant(KEY, part, self.now);
            let is_due = keeper.told.is_none_or(|told| self.now >= told + NOTICE_EVERY);
            let is_new =
                std::mem::replace(&mut keeper.was_held, grant.is_some()) != grant.is_some();
            let released = is_new.then_some(Grant { key: KEY, share: Grant::ALL });
            if let Some(grant) = grant.or(released).filter(|_| is_due || is_new) {
                keeper.told = Some(self.now);
                self.notices.push_back((self.now + NOTICE_WAY, k, grant));
            }
        }
    }

    fn deliver(&mut self) {
        while self.notices.front().is_some_and(|(at, ..)| *at <= self.now) {
            let (_, keeper, grant) = self.notices.pop_front().expect("it is there");
            let reached = self.daemons.iter_mut().filter(|daemon| daemon.keeper == Some(keeper));
            reached.for_each(|daemon| daemon.share.apply_grant(grant, self.now));
        }
        while self.reports.front().is_some_and(|(at, ..)| *at <= self.now) {
            let (_, i, keeper, usage) = self.reports.pop_front().expect("it is there");
            let keeper = &mut self.keepers[keeper];
            let part = QuotaPart::of(self.quota, keeper.live, keeper.lost);
            keeper.account.add_usage(&usage, part, self.now);
            self.grants.push_back((self.now + WAY, i, keeper.account.grant(KEY, part)));
        }
        while self.grants.front().is_some_and(|(at, ..)| *at <= self.now) {
            let (_, i, grant) = self.grants.pop_front().expect("it is there");
            self.daemons[i].share.apply_grant(grant, self.now);
        }
    }

    /// Checks that few calls were refused: a share of those offered, and two.
    fn assert_refused(&self, most: f64) {
        let most = self.offered as f64 * most + 2.0;
        let n = self.daemons.len();
        assert!(self.refused as f64 <= most, "{} of {}, {n} daemons", self.refused, self.offered);
    }

    fn forget_counts(&mut self) {
        (self.offered, self.refused) = (0, 0);
    }

    fn assert_kept(&self, what: &str) {
        let allowed = allowed(self.quota);
        assert!(self.most as f64 <= allowed, "{what}: {} of {allowed} in a window", self.most);
    }
}

const SIZES: [usize; 4] = [3, 68, 986, 2000];
const SEEDS: u64 = 3;

fn quota(rate_per_s: u64) -> Quota {
    Quota { rate_per_s, burst: rate_per_s }
}

/// Runs a scenario over sizes of the mesh, rates and seeds.
fn over_all(scenario: impl Fn(&mut Mesh, f64)) {
    for daemons in SIZES {
        for rate in [5, 60, 700] {
            for seed in 0..SEEDS {
                let mut mesh = Mesh::new(daemons, quota(rate), seed);
                scenario(&mut mesh, rate as f64);
                mesh.assert_kept(&format!("{daemons} daemons, {rate}/s, seed {seed}"));
            }
        }
    }
}

#[test]
fn nothing_is_refused_below_the_limit() {
    // Guards against shares that are less than a call each: an organisation that asks two
    // thirds of its limit at thousands of daemons is served.
    over_all(|mesh, rate| {
        let all = 0..mesh.daemons.len();
        mesh.run(Duration::from_secs(10), rate * 0.62, all);
        mesh.assert_refused(0.01);
    });
}

#[test]
fn an_organisation_that_asks_many_times_its_limit_gets_the_limit() {
    // Guards against a limit that each daemon keeps by itself, and against one that is
    // not used up where demand is.
    over_all(|mesh, rate| {
        let all = 0..mesh.daemons.len();
        mesh.run(Duration::from_secs(5), rate * 0.62, all.clone());
        mesh.forget_counts();
        mesh.run(Duration::from_secs(10), rate * 4.7, all.clone());
        let served = (mesh.offered - mesh.refused) as f64;
        assert!(served >= rate * 10.0 * 0.9 - 20.0, "{served} of {}", rate * 10.0);
        mesh.run(Duration::from_secs(3), rate * 0.3, all.clone());
        mesh.forget_counts();
        mesh.run(Duration::from_secs(5), rate * 0.62, all);
        mesh.assert_refused(0.03);
    });
}

#[test]
fn demand_that_moves_between_daemons_is_served() {
    // Guards against shares that stay where demand was.
    over_all(|mesh, rate| {
        let half = mesh.daemons.len() / 2;
        let all = mesh.daemons.len();
        mesh.run(Duration::from_secs(4), rate * 0.62, 0..half);
        mesh.run(Duration::from_secs(4), rate * 0.62, half..all);
        mesh.assert_refused(0.02);
    });
}

#[test]
fn a_split_mesh_keeps_the_limit() {
    // Guards against a limit that each part of a split mesh keeps whole. A third of the
    // daemons loses its keeper and then gets one of its own; the organisation asks many
    // times its limit before, during and after.
    over_all(|mesh, rate| {
        let (third, all) = (mesh.daemons.len() / 3, mesh.daemons.len());
        mesh.run(Duration::from_secs(6), rate * 4.7, 0..all);
        mesh.daemons[..third].iter_mut().for_each(|daemon| daemon.keeper = None);
        mesh.run(Duration::from_secs(3), rate * 4.7, 0..all);
        mesh.keepers.push(Keeper::new(third, all - third, mesh.now));
        (mesh.keepers[0].live, mesh.keepers[0].lost) = (all - third, third);
        mesh.daemons[..third].iter_mut().for_each(|daemon| daemon.keeper = Some(1));
        mesh.run(Duration::from_secs(8), rate * 4.7, 0..all);
        mesh.daemons.iter_mut().for_each(|daemon| daemon.keeper = Some(0));
        (mesh.keepers[0].live, mesh.keepers[0].lost) = (all, 0);
        mesh.run(Duration::from_secs(6), rate * 4.7, 0..all);
    });
}

#[test]
fn who_loses_its_keeper_goes_on_as_before() {
    // Guards against refusals below the limit while keepers change.
    over_all(|mesh, rate| {
        let all = 0..mesh.daemons.len();
        mesh.run(Duration::from_secs(8), rate * 0.62, all.clone());
        mesh.forget_counts();
        mesh.daemons.iter_mut().for_each(|daemon| daemon.keeper = None);
        mesh.run(Duration::from_secs(4), rate * 0.62, all);
        mesh.assert_refused(0.05);
    });
}

#[test]
fn a_keeper_that_starts_again_keeps_the_limit() {
    // Guards against a burst that is given out once more with each start of a keeper.
    over_all(|mesh, rate| {
        let all = 0..mesh.daemons.len();
        mesh.run(Duration::from_secs(7), rate * 4.7, all.clone());
        mesh.keepers[0] = Keeper::new(mesh.daemons.len(), 0, mesh.now);
        mesh.run(Duration::from_secs(7), rate * 4.7, all);
    });
}

#[test]
fn a_call_that_did_not_run_is_not_counted() {
    // Guards against calls that are refused later and still use the limit up.
    let now = Instant::now();
    let mut share = Limiter::new(now);
    for n in 0..10 {
        assert!(share.admit(false, now, n));
    }
    (0..4).for_each(|_| share.give_back());
    assert_eq!(share.take_usage(KEY), Some(Usage { key: KEY, offered: 10, admitted: 6 }));
    assert_eq!(share.take_usage(KEY), None);
}

#[test]
fn a_late_call_gives_way_while_a_limit_is_held_back() {
    // Guards against an organisation over its limit whose calls are answered late, since
    // those that come back take the places of those that could be in time.
    let now = Instant::now();
    let mut share = Limiter::new(now);
    assert!(share.admit(true, now, 0), "nothing is held back");
    share.apply_grant(Grant { key: KEY, share: Grant::ALL / 2 }, now);
    assert!(!share.admit(true, now, 0));
    assert!(share.admit(false, now, 0));
    assert_eq!(share.take_usage(KEY), Some(Usage { key: KEY, offered: 2, admitted: 2 }));
}
