//! No host runs an older version than before, whatever messages are lost, delayed,
//! duplicated or partitioned off and whichever hosts restart.
//!
//! Each safeguard is then switched off in turn, and the shortest counterexample is kept
//! as a snapshot.

use cicadashift_core::delivery::node::Guards;
use cicadashift_spec::{Bounds, Exploration, counterexample, explore};

const SMALL: Bounds = Bounds { hosts: 3, versions: 2, crashes: 1, hold_as_step: false };
const TWO_CRASHES: Bounds = Bounds { crashes: 2, ..SMALL };
const THREE_VERSIONS: Bounds = Bounds { versions: 3, ..SMALL };
const HOLD_AS_STEP: Bounds = Bounds { hold_as_step: true, ..SMALL };
const MAX_STATES: usize = 2_000_000;

fn holds(bounds: Bounds) -> usize {
    let exploration = explore(bounds, Guards::ALL, MAX_STATES);
    println!("{bounds:?}: {} states", exploration.states);
    let Exploration { complete, violation, .. } = exploration;
    assert_eq!((complete, violation), (true, None));
    exploration.states
}

/// Renders the shortest counterexample, one step per line.
fn render_counterexample(bounds: Bounds, guards: Guards) -> String {
    let steps = counterexample(bounds, guards).expect("a violation without the safeguard");
    steps.iter().map(|step| format!("{step:?}\n")).collect()
}

#[test]
fn holds_with_one_crash() {
    insta::assert_debug_snapshot!(holds(SMALL), @"4961");
}

#[test]
fn holds_with_three_versions() {
    insta::assert_debug_snapshot!(holds(THREE_VERSIONS), @"131751");
}

#[test]
fn holds_with_two_crashes() {
    insta::assert_debug_snapshot!(holds(TWO_CRASHES), @"1056107");
}

#[test]
fn holds_when_holding_is_a_separate_step() {
    insta::assert_debug_snapshot!(holds(HOLD_AS_STEP));
}

#[test]
fn without_a_floor_a_restarted_host_runs_an_older_version() {
    let guards = Guards { floor_before_run: false, ..Guards::ALL };
    insta::assert_snapshot!(render_counterexample(SMALL, guards));
}

#[test]
fn without_a_majority_a_restarted_host_runs_an_older_version() {
    let guards = Guards { majority_before_run: false, ..Guards::ALL };
    insta::assert_snapshot!(render_counterexample(HOLD_AS_STEP, guards));
}

#[test]
fn without_silence_while_fresh_a_witness_gives_too_low_a_floor() {
    let guards = Guards { silent_while_fresh: false, ..Guards::ALL };
    insta::assert_snapshot!(render_counterexample(TWO_CRASHES, guards));
}

#[test]
fn without_the_incarnation_check_a_lost_promise_counts() {
    let guards = Guards { check_incarnations: false, ..Guards::ALL };
    insta::assert_snapshot!(render_counterexample(TWO_CRASHES, guards));
}

#[test]
fn without_matching_answers_an_old_answer_sets_the_floor() {
    let guards = Guards { match_answers: false, ..Guards::ALL };
    insta::assert_snapshot!(render_counterexample(TWO_CRASHES, guards));
}

#[test]
fn without_holding_first_a_witness_promises_missing_objects() {
    let guards = Guards { stage_before_promise: false, ..Guards::ALL };
    insta::assert_snapshot!(render_counterexample(HOLD_AS_STEP, guards));
}
