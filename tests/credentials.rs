//! Identification of a request's sender from malformed headers: repeated, folded, overlong
//! and mutated ones.

use cicadashift::daemon::request::sender::{Sender, identify};
use cicadashift_core::config::Config;
use cicadashift_core::config::compile::RoutingTable;
use cicadashift_http::hyper::header::{AUTHORIZATION, HeaderMap, HeaderName, HeaderValue};

const MUTATIONS: usize = 20_000;
const SEED: u64 = 20_261_203;
const KEY: &str = "key-of-town";
const ORGANISATION_HEADER: HeaderName = HeaderName::from_static("x-organisation");

fn table() -> RoutingTable {
    let text = format!(
        r#"{{"id": "c", "routes": [{{"service": "s", "prefix": "/"}}],
            "organisations": [{{"name": "town", "keys": ["{KEY}"]}}]}}"#
    );
    let cfg = Config::parse(text.as_bytes()).expect("configuration is valid");
    RoutingTable::compile(1, vec![cfg]).expect("configuration is valid")
}

/// Returns whether the sender is identified; asserts that no credentials are left in the
/// head.
fn is_identified(table: &RoutingTable, values: &[HeaderValue]) -> bool {
    let route =
        table.find(None, "/", "GET").and_then(|key| table.route(key)).expect("route exists");
    let mut head = HeaderMap::new();
    head.insert(ORGANISATION_HEADER, HeaderValue::from_static("town"));
    for value in values {
        head.append(AUTHORIZATION, value.clone());
    }
    let sender = identify(table, route, &mut head, &ORGANISATION_HEADER);
    assert!(head.is_empty(), "{head:?} would be passed on");
    match sender {
        Sender::Organisation(account) => account.name == "town",
        Sender::Unauthenticated => false,
        Sender::Anonymous => panic!("the route is not anonymous"),
    }
}

#[test]
fn only_one_well_formed_key_names_its_organisation() {
    // Guards against accepting a key that is not the whole content of a single header.
    let table = table();
    let long = format!("Bearer {KEY}{}", "x".repeat(100_000));
    let cases: [(&[&str], bool); 13] = [
        (&["Bearer key-of-town"], true),
        (&["bEARER key-of-town"], true),
        (&["Bearer  key-of-town "], true),
        (&["Bearer key-of-town", "Bearer key-of-town"], false),
        (&["Bearer key-of-town", "Basic eA=="], false),
        (&["Bearer key-of-town, Bearer x"], false),
        (&["Bearer key-of-town\tx"], false),
        (&["Bearer key-of-tow"], false),
        (&["Bearer key-of-town2"], false),
        (&["Bearerkey-of-town"], false),
        (&["key-of-town"], false),
        (&[""], false),
        (&[&long], false),
    ];
    for (values, expected) in cases {
        let values: Vec<_> = values
            .iter()
            .map(|text| HeaderValue::from_str(text).expect("header value is valid"))
            .collect();
        assert_eq!(is_identified(&table, &values), expected, "{values:?}");
    }
}

#[test]
fn a_mutated_key_identifies_no_organisation() {
    // Guards against a panic on bytes that are not text, and against accepting a wrong key.
    let table = table();
    let mut rng = fastrand::Rng::with_seed(SEED);
    let header = format!("Bearer {KEY}");
    let mut valid = 0;
    for _ in 0..MUTATIONS {
        let mut buf = header.clone().into_bytes();
        for _ in 0..rng.usize(1..4) {
            let at = rng.usize(..buf.len());
            match rng.u8(..3) {
                0 => buf[at] = rng.u8(..),
                1 => buf.insert(at, rng.u8(..)),
                _ if buf.len() > 1 => drop(buf.remove(at)),
                _ => {}
            }
        }
        let Ok(value) = HeaderValue::from_bytes(&buf) else { continue };
        valid += 1;
        // The scheme is case-insensitive, and spaces around the key are ignored.
        let text = String::from_utf8_lossy(&buf);
        let (scheme, key) = text.split_once(' ').unwrap_or(("", ""));
        let is_same = scheme.eq_ignore_ascii_case("bearer") && key.trim_matches(' ') == KEY;
        assert_eq!(is_identified(&table, &[value]), is_same, "{text:?}");
    }
    assert!(valid > MUTATIONS / 2, "only {valid} mutated values were valid in a header");
}
