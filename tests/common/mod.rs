//! Helpers shared by the tests with real processes.
#![allow(dead_code)]

pub mod rollout;
pub mod served;

use cicadashift_http::exec;
use cicadashift_testkit::caller::{CallOutcome, Caller};
use cicadashift_testkit::fleet::Spec;
use cicadashift_testkit::mesh::Mesh;
use std::future::Future;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Runs an asynchronous test on two threads.
pub fn run(test: impl Future<Output = ()>) {
    exec::run(2, test);
}

/// Returns the parameters of a small fleet of the built binary.
pub fn spec(domains: &[&str], per_domain: usize) -> Spec {
    Spec::small(PathBuf::from(env!("CARGO_BIN_EXE_cicadashift")), domains, per_domain)
}

/// Returns a caller of the daemon at index `i`.
pub fn caller(mesh: &Mesh, i: usize) -> Caller {
    Caller::new(mesh.fleet.daemons[i].callers)
}

/// Repeats a call until a condition holds for its outcome, and returns this outcome.
pub async fn call_until(
    caller: &Caller,
    id: &str,
    holds: impl Fn(&CallOutcome) -> bool,
) -> CallOutcome {
    let until = Instant::now() + cicadashift_testkit::mesh::WAIT_TIMEOUT;
    let mut n = 0;
    loop {
        n += 1;
        let outcome = caller.call("GET", "/notices", &format!("{id}-{n}"), b"").await.outcome;
        if holds(&outcome) {
            return outcome;
        }
        assert!(
            Instant::now() < until,
            "the expected outcome does not occur; the last one was {outcome:?}"
        );
        smol::Timer::after(Duration::from_millis(50)).await;
    }
}

/// Returns whether an upstream answered the call.
pub fn is_answer(outcome: &CallOutcome) -> bool {
    matches!(outcome, CallOutcome::Answer { .. })
}
