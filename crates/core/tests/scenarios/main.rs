//! Scripted scenarios on a virtual clock, run directly against the core.
//!
//! Scripts are in `testdata/` at the root; `testdata/README.md` explains their
//! commands. After an intended change of behaviour, `REWRITE=1 cargo test -p
//! cicadashift-core --test scenarios` writes the new results into them.

mod delivery;
mod membership;
mod requests;

use datadriven::TestCase;

/// Returns the first value of an argument, or a default.
fn arg<'a>(case: &'a TestCase, name: &str, default: &'a str) -> &'a str {
    case.args.get(name).and_then(|values| values.first()).map_or(default, |value| value.as_str())
}

/// Returns an argument as a number, or a default.
fn number(case: &TestCase, name: &str, default: u64) -> u64 {
    arg(case, name, "").parse().unwrap_or(default)
}

/// Returns all values of an argument.
fn list(case: &TestCase, name: &str) -> Vec<String> {
    case.args.get(name).cloned().unwrap_or_default()
}

/// Runs all scripts of a folder of `testdata/`, each with a new world.
fn run<W: Default>(folder: &str, step: fn(&mut W, &TestCase) -> String) {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../testdata/");
    datadriven::walk(&format!("{root}{folder}"), |file| {
        let mut world = W::default();
        file.run(|case| step(&mut world, case));
    });
}

#[test]
fn delivery_scenarios() {
    run("delivery", delivery::step);
}

#[test]
fn request_scenarios() {
    run("requests", requests::step);
}

#[test]
fn membership_scenarios() {
    run("membership", membership::step);
}
