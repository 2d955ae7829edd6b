//! Upstreams of uneven and changing speed: what the reported pace of their machines changes.

mod uneven_world;

use cicadashift_core::config::Priority;
use cicadashift_core::ids::HostKey;
use cicadashift_core::membership::record::Readiness;
use cicadashift_core::request::choose::{
    Demand, LoadReport, Locality, Outcome, Picker, Policy, UpstreamInfo, UpstreamKey,
};
use cicadashift_core::request::gate::{Admission, Arrival, CallerKey, End, Gate, KindKey, Refusal};
use cicadashift_core::request::machine::{MachinePace, PACE_TTL, PaceReport, UpstreamLoad};
use std::time::{Duration, Instant};
use uneven_world::{Machine, Plan, Ran, Tally, run};

/// Two in three slots are taken at the mean.
const PLAN: Plan = Plan {
    seed: 1,
    hosts: 16,
    entries: 8,
    calls_per_s: 400.0,
    length: Duration::from_secs(20),
    unrepeatable: 0.3,
    at_gates: true,
    redirects: true,
    at_entries: true,
    policy: Policy::ALL,
};
const UNPACED: Plan = Plan { at_gates: false, at_entries: false, ..PLAN };
const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];
const KIND: KindKey = KindKey(0);

/// Returns the sum of the runs of a plan with each seed.
fn sum(plan: Plan, part: impl Fn(&Ran) -> Tally) -> Tally {
    let runs = SEEDS.map(|seed| run(Plan { seed, ..plan }));
    runs.iter().map(part).reduce(Tally::plus).expect("there are seeds")
}

/// Checks that a plan answers more calls in time than another, by a share of all calls.
fn assert_gain(without: Plan, with: Plan, share: f64) {
    let (without, with) = (sum(without, Ran::all), sum(with, Ran::all));
    assert!(with.share() >= without.share() + share, "{without:?}, {with:?}");
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn arrival(now: Instant, objective: Duration, max_wait: Duration) -> Arrival {
    Arrival {
        deadline: now + objective * 4,
        objective: now + objective,
        priority: Priority::NORMAL,
        caller: CallerKey(1),
        kind: KIND,
        max_wait,
    }
}

/// Returns a gate that has learned that calls take 100 ms.
fn gate_of_100_ms(slots: u32, now: Instant) -> Gate {
    let mut gate = Gate::new(slots);
    for _ in 0..50 {
        run_one(&mut gate, ms(100), now);
    }
    gate
}

/// Runs a call from `now` on.
fn run_one(gate: &mut Gate, took: Duration, now: Instant) {
    let Admission::Run(ticket) = gate.admit(arrival(now, ms(400), ms(0)), now, 0) else {
        panic!("a slot is free");
    };
    let _no_waiters = gate.ended(ticket, End::Answered(took), now + took);
}

#[test]
fn load_reports_have_three_or_four_figures() {
    let load = |pace| UpstreamLoad { running: 3, waiting: 0, slots: 8, pace };
    assert_eq!(UpstreamLoad::parse("3,0,8"), Some(load(None)));
    assert_eq!(UpstreamLoad::parse("3, 0, 8, 250"), Some(load(Some(250))));
    assert_eq!(UpstreamLoad::parse("3, 0, 8, 97.5"), Some(load(Some(98))));
    for bad in [
        "",
        "3,0",
        "3,0,8,",
        "3,0,8,NaN",
        "3,0,8,250,1",
        "3,0,0",
        "3,0,8,0",
        "3,0,8,x",
        "3,0,-8",
        "3,0,8,70000",
    ] {
        assert_eq!(UpstreamLoad::parse(bad), None, "{bad}");
    }
}

#[test]
fn a_pace_predicts_until_its_age_is_that_of_a_period() {
    // Guards against a decision on a pace that the machine has left: of machines that reported
    // to be slow the share that still is falls evenly with the age of the report. From
    // `PACE_TTL` on it is that of all machines, and the report is not used any more.
    let machine = Machine { seed: 7, host: 3, phase: ms(123) };
    let moments: Vec<Duration> = (0..40_000).map(|n| ms(17 * n)).collect();
    let share_slow_after = |age: Duration| {
        let slow: Vec<_> = moments.iter().filter(|at| machine.slowness(**at) > 2.0).collect();
        let still = slow.iter().filter(|at| machine.slowness(***at + age) > 2.0).count();
        still as f64 / slow.len() as f64
    };
    let all = moments.iter().filter(|at| machine.slowness(**at) > 2.0).count();
    let all = all as f64 / moments.len() as f64;
    let now = Instant::now();
    let pace = MachinePace::new(250, now);
    for age in [0, 100, 200, 300, 400, 500] {
        let share = share_slow_after(ms(age));
        assert!(share > all + 0.1, "{age} ms: {share}, of all {all}");
        // The excess that is expected is the share that is left of it.
        let left = (pace.factor(now + ms(age)) - 1.0) / 1.5;
        assert!((share - all - left * (1.0 - all)).abs() < 0.05, "{age} ms: {share}, {left}");
    }
    for age in [PACE_TTL, PACE_TTL * 2] {
        assert!((share_slow_after(age) - all).abs() < 0.05, "{age:?}");
        assert_eq!((pace.factor(now + age), pace.report(now + age)), (1.0, None));
    }
}

#[test]
fn a_slow_moment_is_not_learned_as_a_slow_kind() {
    // Guards against calls that are refused or redirected long after a machine was slow.
    let now = Instant::now();
    let mut gate = gate_of_100_ms(4, now);
    for _ in 0..50 {
        gate.observe_machine(MachinePace::new(250, now));
        run_one(&mut gate, ms(250), now);
    }
    let learned = gate.service_time(KIND);
    assert!(learned.abs_diff(ms(100)) < ms(1), "{learned:?}");
}

#[test]
fn a_call_is_not_queued_at_a_machine_that_is_too_slow_for_it() {
    // Guards against a call that waits at a slow machine and ends late, although it could be
    // answered in time elsewhere.
    let now = Instant::now();
    let mut gate = gate_of_100_ms(1, now);
    let call = arrival(now, ms(300), Duration::MAX);
    let Admission::Run(_) = gate.admit(call, now, 0) else { panic!("a slot is free") };
    gate.observe_machine(MachinePace::new(250, now));
    let refused = gate.admit(call, now, 0);
    assert!(matches!(refused, Admission::Refuse(Refusal::Busy { .. })), "{refused:?}");
    gate.observe_machine(MachinePace::new(100, now + ms(1)));
    assert!(matches!(gate.admit(call, now + ms(1), 0), Admission::Wait(_)));
}

#[test]
fn a_call_is_redirected_while_the_machine_is_slow() {
    // Guards against redirects by an old report, by one that says nothing unusual, and where
    // asking another upstream costs as much as the slow machine.
    let now = Instant::now();
    let mut gate = gate_of_100_ms(4, now);
    let call = arrival(now, ms(400), ms(0));
    assert_eq!(gate.redirect(&call, now), None);
    gate.observe_machine(MachinePace::new(250, now));
    assert!(matches!(gate.redirect(&call, now + ms(50)), Some(Refusal::SlowHost { .. })));
    assert_eq!(gate.redirect(&call, now + PACE_TTL), None);
    // Slower by little, but too slow for the objective of this call.
    gate.observe_machine(MachinePace::new(140, now + ms(1)));
    assert_eq!(gate.redirect(&call, now + ms(1)), None);
    let hasty = arrival(now, ms(130), ms(0));
    assert!(matches!(gate.redirect(&hasty, now + ms(1)), Some(Refusal::SlowHost { .. })));
    // An older report that comes late changes nothing.
    gate.observe_machine(MachinePace::new(250, now));
    assert_eq!(gate.redirect(&call, now + ms(1)), None);
    // A kind so short that the excess is less than a round trip.
    let mut quick = Gate::new(4);
    (0..50).for_each(|_| run_one(&mut quick, ms(5), now));
    quick.observe_machine(MachinePace::new(250, now));
    assert_eq!(quick.redirect(&call, now), None);
}

#[test]
fn upstreams_without_a_pace_are_served_as_before() {
    // Guards against a change of any choice, hedge or admission for services whose upstreams
    // do not report how slow their machines are. The hashes are those of the code that does not
    // know of a pace.
    let decisions = [1, 2, 3].map(|seed| run(Plan { seed, ..UNPACED }).decisions);
    assert_eq!(decisions, [10596763325649348282, 15118463914786341129, 17555533567917149938]);
}

#[test]
fn gates_that_know_the_pace_answer_more_calls_in_time() {
    // Guards against queues that are estimated by what a slow moment left in the means.
    assert_gain(UNPACED, Plan { at_entries: false, ..PLAN }, 0.004);
}

#[test]
fn entries_that_know_the_pace_answer_more_calls_in_time() {
    // Guards against calls that are sent to machines which just reported to be slow.
    let without = Plan { at_entries: false, redirects: false, policy: MEANS, ..PLAN };
    assert_gain(without, Plan { at_entries: true, ..without }, 0.002);
}

#[test]
fn redirected_calls_are_answered_in_time_more_often() {
    // Guards against calls that run on a machine which became slow after the entry daemon had
    // its last report.
    let without = Plan { redirects: false, policy: MEANS, ..PLAN };
    assert_gain(without, Plan { redirects: true, ..without }, 0.005);
}

/// Hedged attempts timed by means and deviations.
const MEANS: Policy = Policy { quantiles: false, ..Policy::ALL };

#[test]
fn hedging_by_the_distribution_keeps_the_budget_and_answers_more_in_time() {
    // Guards against hedged attempts that come too late to help although the budget would pay
    // for earlier ones.
    let busy = Plan { calls_per_s: 500.0, ..PLAN };
    let without = sum(Plan { policy: MEANS, ..busy }, |ran| ran.kinds[0]);
    let with = sum(busy, |ran| ran.kinds[0]);
    assert!(with.share() >= without.share() + 0.004, "{without:?}, {with:?}");
    assert!(f64::from(with.hedges) <= 0.08 * f64::from(with.calls), "{with:?}");
}

#[test]
fn an_upstream_that_was_slow_for_a_moment_gets_calls_again() {
    // Guards against the loss of the report of a slow moment: the attempt that would have
    // brought it is cancelled when its hedged attempt answers first, and the upstream was
    // avoided for many seconds. One that goes on giving no answer is still avoided.
    let start = Instant::now();
    let demand = Demand { kind: KIND, priority: Priority::NORMAL, objective: ms(400) };
    let mut picker = Picker::new(Policy::ALL, HostKey(9));
    let known = (0..2).map(|n| UpstreamInfo {
        host: HostKey(n),
        instance: format!("u{n}"),
        // Without a difference the two would be chosen in turn.
        locality: if n == 0 { Locality::SameHost } else { Locality::SameDomain },
        slots: 8,
        readiness: Readiness::Ready,
        host_suspected: false,
    });
    picker.sync(known, start);
    let pace = Some(PaceReport { per_cent: 100, age: ms(0) });
    let report = LoadReport { pace, ..LoadReport::default() };
    let answered = Outcome::Answered { service: ms(100), total: ms(105), report };
    let mut now = start;
    let choose = |picker: &Picker, now| picker.choose(demand, now, 0, &[]).expect("one").key;
    let (own, other) = (UpstreamKey(0), UpstreamKey(1));
    for n in 0..100 {
        let key = if n % 2 == 0 { own } else { other };
        picker.started(key);
        picker.ended(key, demand, answered, now);
    }
    assert_eq!(choose(&picker, now), own);
    let be_late = |picker: &mut Picker, now| {
        picker.started(own);
        picker.record_late(own, demand, ms(250), now);
        picker.ended(own, demand, Outcome::Cancelled, now);
    };
    be_late(&mut picker, now);
    assert_eq!(choose(&picker, now), other);
    now += PACE_TTL;
    assert_eq!(choose(&picker, now), own);
    be_late(&mut picker, now);
    now += PACE_TTL;
    assert_eq!(choose(&picker, now), other);
}
