//! What the tests with real processes share.
#![allow(dead_code)]

use cicadashift_http::exec;
use cicadashift_testkit::caller::{CallOutcome, Caller};
use cicadashift_testkit::fleet::Spec;
use cicadashift_testkit::mesh::Mesh;
use std::future::Future;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Runs an asynchronous test.
pub fn run(test: impl Future<Output = ()>) {
    exec::run(2, test);
}

/// A small fleet of the built binary.
pub fn spec(domains: &[&str], per_domain: usize) -> Spec {
    Spec::small(PathBuf::from(env!("CARGO_BIN_EXE_cicadashift")), domains, per_domain)
}

/// A caller connected to a daemon.
pub fn caller(mesh: &Mesh, i: usize) -> Caller {
    Caller::new(mesh.fleet.daemons[i].callers)
}

/// Calls until a condition holds on what comes back.
pub async fn call_until(
    caller: &Caller,
    id: &str,
    holds: impl Fn(&CallOutcome) -> bool,
) -> CallOutcome {
    let until = Instant::now() + cicadashift_testkit::mesh::WAIT_TIMEOUT;
    let mut n = 0;
    loop {
        n += 1;
        let got = caller.call("GET", "/notices", &format!("{id}-{n}"), b"").await.outcome;
        if holds(&got) {
            return got;
        }
        assert!(Instant::now() < until, "it comes to hold; last was {got:?}");
        smol::Timer::after(Duration::from_millis(50)).await;
    }
}

/// Whether a call was answered by an upstream.
pub fn is_answer(got: &CallOutcome) -> bool {
    matches!(got, CallOutcome::Answer { .. })
}
