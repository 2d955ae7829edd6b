//! Upstreams of uneven and changing speed: what the reported pace of their machines changes.

mod uneven_world;

use std::time::Duration;
use uneven_world::{Plan, Ran, run};

const PLAN: Plan = Plan {
    seed: 1,
    hosts: 16,
    entries: 8,
    calls_per_s: 400.0,
    length: Duration::from_secs(20),
    unrepeatable: 0.3,
};

fn with_seed(seed: u64) -> Ran {
    run(Plan { seed, ..PLAN })
}

#[test]
fn upstreams_without_a_pace_are_served_as_before() {
    // Guards against a change of any choice, hedge or admission for services whose upstreams
    // do not report how slow their machines are.
    let decisions = [1, 2, 3].map(|seed| with_seed(seed).decisions);
    assert_eq!(decisions, [10596763325649348282, 15118463914786341129, 17555533567917149938]);
}
