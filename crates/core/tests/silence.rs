//! When an upstream that sends no reports is taken for gone, on a virtual clock.

use cicadashift_core::membership::silence::{Action, Health, REPORT_TIMEOUT, Silence, Usage};
use std::time::{Duration, Instant};

const TICK: Duration = Duration::from_millis(250);

/// Returns when an upstream that falls silent is removed, with `health` as its answer to each
/// health request, and how many requests it got; `None` if it is kept for a minute.
fn removal(usage: Usage, health: Health) -> (Option<Duration>, u32) {
    let start = Instant::now();
    let mut silence = Silence::new(start);
    let mut requests = 0;
    for n in 0..240 {
        let passed = TICK * n;
        match silence.tick(usage, start + passed) {
            Action::Keep => {}
            Action::Remove => return (Some(passed), requests),
            Action::CheckHealth => {
                requests += 1;
                silence.health_checked(health);
            }
        }
    }
    (None, requests)
}

// Guards against an upstream that left without this daemon's knowledge and is kept while it is
// in use, and against one that is taken away for missing reports alone.
#[test]
fn a_silent_upstream_is_taken_for_gone_by_its_health() {
    let usages = [Usage::Running, Usage::Idle, Usage::Drained];
    let healths = [Health::Good, Health::Denied, Health::Unknown];
    let row = |usage, health| {
        let (removed, requests) = removal(usage, health);
        format!("{usage:?} {health:?}: removed after {removed:?}, {requests} requests\n")
    };
    let rows = usages.map(|usage| healths.map(|health| row(usage, health)).concat());
    insta::assert_snapshot!(rows.concat(), @r"
    Running Good: removed after None, 55 requests
    Running Denied: removed after Some(6.25s), 2 requests
    Running Unknown: removed after None, 55 requests
    Idle Good: removed after None, 55 requests
    Idle Denied: removed after Some(6.25s), 2 requests
    Idle Unknown: removed after Some(5.25s), 1 requests
    Drained Good: removed after Some(5s), 0 requests
    Drained Denied: removed after Some(5s), 0 requests
    Drained Unknown: removed after Some(5s), 0 requests
    ");
}

// Guards against wrong health for a moment that takes a silent upstream out of use.
#[test]
fn one_denial_between_good_answers_removes_nothing() {
    let start = Instant::now();
    let mut silence = Silence::new(start);
    for (n, health) in [Health::Denied, Health::Good, Health::Denied].into_iter().enumerate() {
        let now = start + REPORT_TIMEOUT + Duration::from_secs(2 * n as u64);
        assert_eq!(silence.tick(Usage::Running, now), Action::CheckHealth);
        silence.health_checked(health);
    }
}
