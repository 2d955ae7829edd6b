//! No host goes back, whatever is lost, late, doubled, cut off or restarted.
//!
//! Each safeguard is then taken out in turn, and the shortest way to a broken
//! promise is kept as a snapshot that reads as a story.

use cicadashift_core::delivery::node::Guards;
use cicadashift_spec::{Explored, Size, counterexample, explore};

const SMALL: Size = Size { hosts: 3, versions: 2, crashes: 1, lazy: false };
const TWO_CRASHES: Size = Size { crashes: 2, ..SMALL };
const THREE_VERSIONS: Size = Size { versions: 3, ..SMALL };
const LAZY: Size = Size { lazy: true, ..SMALL };
const MOST: usize = 2_000_000;

fn holds(size: Size) -> usize {
    let explored = explore(size, Guards::ALL, MOST);
    println!("{size:?}: {} states", explored.states);
    let Explored { whole, broken, .. } = explored;
    assert_eq!((whole, broken), (true, None));
    explored.states
}

/// Writes the shortest counterexample, one step a line.
fn story(size: Size, guards: Guards) -> String {
    let steps = counterexample(size, guards).expect("the safeguard is needed");
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
fn holds_when_holding_takes_time() {
    insta::assert_debug_snapshot!(holds(LAZY));
}

#[test]
fn without_a_floor_a_restart_goes_back() {
    let guards = Guards { floor_before_run: false, ..Guards::ALL };
    insta::assert_snapshot!(story(SMALL, guards));
}

#[test]
fn without_a_majority_nobody_remembers() {
    let guards = Guards { majority_before_run: false, ..Guards::ALL };
    insta::assert_snapshot!(story(LAZY, guards));
}

#[test]
fn a_forgetful_witness_that_speaks_misleads() {
    let guards = Guards { silent_while_fresh: false, ..Guards::ALL };
    insta::assert_snapshot!(story(TWO_CRASHES, guards));
}

#[test]
fn a_promise_of_an_earlier_life_misleads() {
    let guards = Guards { check_incarnations: false, ..Guards::ALL };
    insta::assert_snapshot!(story(TWO_CRASHES, guards));
}

#[test]
fn an_answer_to_an_earlier_life_misleads() {
    let guards = Guards { match_answers: false, ..Guards::ALL };
    insta::assert_snapshot!(story(TWO_CRASHES, guards));
}

#[test]
fn a_promise_without_the_objects_helps_nobody() {
    let guards = Guards { stage_before_promise: false, ..Guards::ALL };
    insta::assert_snapshot!(story(LAZY, guards));
}
