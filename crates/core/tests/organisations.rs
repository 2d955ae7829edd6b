//! Organisations in a configuration: validation, and identification by key.

use cicadashift_core::config::compile::RoutingTable;
use cicadashift_core::config::{Config, Priority};

fn compile(organisations: &str) -> Result<RoutingTable, String> {
    let text = format!(
        r#"{{"id": "c", "routes": [{{"service": "s"}}], "organisations": {organisations}}}"#
    );
    let cfg = Config::parse(text.as_bytes()).map_err(|err| err.to_string())?;
    RoutingTable::compile(1, vec![cfg]).map_err(|err| err.to_string())
}

#[test]
fn a_key_names_its_organisation() {
    let table = compile(
        r#"[{"name": "town", "keys": ["a", "b"], "rate_per_s": 5, "burst": 7},
            {"name": "clinic", "keys": ["c"], "priority": 0}]"#,
    );
    let organisations = table.expect("is valid").organisations.expect("lists organisations");
    let name_of = |key: &str| organisations.find(key.as_bytes()).map(|found| found.name.clone());
    let found: Vec<_> = ["a", "b", "c", "d", ""].iter().map(|key| name_of(key)).collect();
    insta::assert_debug_snapshot!((found, organisations));
}

#[test]
fn ambiguous_and_malformed_organisations_are_rejected() {
    let cases = [
        r#"[{"name": "town", "keys": ["a"]}, {"name": "clinic", "keys": ["a"]}]"#,
        r#"[{"name": "town", "keys": ["a"]}, {"name": "town", "keys": ["b"]}]"#,
        r#"[{"name": "", "keys": ["a"]}]"#,
        r#"[{"name": "town", "keys": [""]}]"#,
        r#"[{"name": "town", "keys": ["two words"]}]"#,
        r#"[{"name": "town", "keys": ["a"], "rate_per_s": -1}]"#,
        r#"[{"name": "town", "keys": ["a", "a"]}]"#,
        "[]",
    ];
    let errors: Vec<_> = cases.iter().map(|case| compile(case).err()).collect();
    insta::assert_debug_snapshot!(errors);
}

#[test]
fn debug_and_error_output_contains_no_key() {
    // Guards against keys in logs and panic messages.
    let text = r#"{"id": "c", "routes": [{"service": "s"}],
                   "organisations": [{"name": "town", "keys": ["secret-word"]}]}"#;
    let cfg = Config::parse(text.as_bytes()).expect("is valid");
    let shared = compile(
        r#"[{"name": "town", "keys": ["secret-word"]}, {"name": "b", "keys": ["secret-word"]}]"#,
    );
    let table = RoutingTable::compile(1, vec![cfg.clone()]);
    let printed = format!("{cfg:?} {table:?} {shared:?}");
    assert!(!printed.contains("secret-word"), "{printed}");
}

#[test]
fn the_organisation_takes_precedence_over_the_route() {
    let ranks: Vec<_> = [(0, 0), (0, 2), (1, 0), (1, 2), (2, 200), (200, 1)]
        .iter()
        .map(|(organisation, route)| Priority(*route).within(Priority(*organisation)))
        .collect();
    assert!(ranks.is_sorted(), "{ranks:?}");
}
