//! With concurrent operators and lost answers, versions have one order and each operation is
//! applied once.

use cicadashift_spec::head::{HeadGuards, HeadState, HeadViolation, explore};

#[test]
fn three_racing_operators_apply_each_operation_once() {
    let (states, violation) = explore(HeadState::start(3, 7, HeadGuards::ALL));
    println!("{states} states");
    assert_eq!(violation, None);
    insta::assert_debug_snapshot!(states);
}

#[test]
fn without_settling_by_id_a_lost_answer_applies_twice() {
    let guards = HeadGuards { settle_by_id: false, ..HeadGuards::ALL };
    let (_, violation) = explore(HeadState::start(2, 4, guards));
    assert_eq!(violation, Some(HeadViolation::AppliedTwice { client: 0 }));
}

#[test]
fn without_comparison_a_race_loses_a_version() {
    let guards = HeadGuards { compare: false, ..HeadGuards::ALL };
    let (_, violation) = explore(HeadState::start(2, 4, guards));
    assert_eq!(violation, Some(HeadViolation::Overwritten { version: 1 }));
}
