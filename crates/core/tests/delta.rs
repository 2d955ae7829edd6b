//! Sizes of deltas between configurations of many routes.

use cicadashift_core::config::delta::{Delta, Part, Signature};
use std::fmt::Write;

const ROUTES: usize = 1600;

fn text(version: u64, routes: &[String]) -> String {
    format!("{{\"Version\":\"r{version}\",\"Paths\":[{}]}}", routes.join(","))
}

fn route(n: usize, service: &str) -> String {
    format!(
        "{{\"Prefix\":\"/unused/{n}/\",\"Kind\":\"idempotent\",\"TimeoutMs\":1500,\
         \"TargetLatencyMs\":400,\"Priority\":1,\"Service\":\"{service}\",\"MaxAttempts\":2}}"
    )
}

fn sent_bytes(delta: &Delta) -> usize {
    let size = |part: &Part| match part {
        Part::Same { .. } => 8,
        Part::New(bytes) => bytes.len(),
    };
    delta.parts.iter().map(size).sum()
}

#[test]
fn a_delta_is_small_whatever_version_the_receiver_holds() {
    // Guards against complete texts for receivers that missed versions: the sender knows only
    // the signature, so the number of versions between does not count, only what differs.
    let base: Vec<String> = (0..ROUTES).map(|n| route(n, "a")).collect();
    let mut one_changed = base.clone();
    one_changed[700] = route(700, "b");
    let mut one_added = base.clone();
    one_added.insert(3, route(9000, "a"));
    let mut one_removed = base.clone();
    one_removed.remove(1200);
    let mut forty_versions = base.clone();
    for i in 0..40 {
        forty_versions[i * 37] = route(i * 37, "b");
    }
    let mut grown = base.clone();
    grown.extend((0..400).map(|n| route(10_000 + n, "a")));
    let old = text(4, &base);
    let signature = Signature::of(old.as_bytes());
    let signature_bytes = serde_json::to_vec(&signature).expect("a signature is JSON").len();
    assert!(signature_bytes < old.len() / 10, "{signature_bytes}");
    let mut out = format!("old text: {} bytes\n", old.len());
    let cases = [
        ("the version alone", &base),
        ("one route changed", &one_changed),
        ("one route added", &one_added),
        ("one route removed", &one_removed),
        ("forty routes changed", &forty_versions),
        ("four hundred routes added", &grown),
    ];
    for (name, routes) in cases {
        let new = text(44, routes);
        let delta = Delta::against(&signature, new.as_bytes());
        assert_eq!(delta.apply(old.as_bytes()).as_deref(), Some(new.as_bytes()));
        writeln!(out, "{name}: {} of {} bytes", sent_bytes(&delta), new.len()).expect("a string");
    }
    insta::assert_snapshot!(out);
}
