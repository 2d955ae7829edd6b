//! Who sends a request, from headers of any shape: doubled, folded, overlong, mutated.

use cicadashift::daemon::request::sender::{Sender, identify};
use cicadashift_core::config::Config;
use cicadashift_core::config::compile::RoutingTable;
use cicadashift_http::hyper::header::{AUTHORIZATION, HeaderMap, HeaderName, HeaderValue};

const MUTATIONS: usize = 20_000;
const SEED: u64 = 20_261_203;
const KEY: &str = "key-of-town";
const TOLD: HeaderName = HeaderName::from_static("x-organisation");

fn table() -> RoutingTable {
    let text = format!(
        r#"{{"id": "c", "routes": [{{"service": "s", "prefix": "/"}}],
            "organisations": [{{"name": "town", "keys": ["{KEY}"]}}]}}"#
    );
    let cfg = Config::parse(text.as_bytes()).expect("it is good");
    RoutingTable::compile(1, vec![cfg]).expect("it is good")
}

/// Returns whether the sender is known; asserts that nothing of the credentials is left.
fn is_known(table: &RoutingTable, values: &[HeaderValue]) -> bool {
    let route = table.find(None, "/", "GET").and_then(|key| table.route(key)).expect("a route");
    let mut head = HeaderMap::new();
    head.insert(TOLD, HeaderValue::from_static("town"));
    for value in values {
        head.append(AUTHORIZATION, value.clone());
    }
    let sender = identify(table, route, &mut head, &TOLD);
    assert!(head.is_empty(), "{head:?} is passed on");
    match sender {
        Sender::Organisation(account) => account.name == "town",
        Sender::Unauthenticated => false,
        Sender::Anonymous => panic!("the route is not anonymous"),
    }
}

#[test]
fn only_one_well_formed_key_names_its_organisation() {
    // Guards against a key that is taken from where it does not stand alone.
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
        let values: Vec<_> =
            values.iter().map(|text| HeaderValue::from_str(text).expect("it is legal")).collect();
        assert_eq!(is_known(&table, &values), expected, "{values:?}");
    }
}

#[test]
fn a_mutated_key_is_nobodys() {
    // Guards against a panic on bytes that are no text, and against a wrong key that is
    // taken for one that is held.
    let table = table();
    let mut rng = fastrand::Rng::with_seed(SEED);
    let good = format!("Bearer {KEY}");
    let mut legal = 0;
    for _ in 0..MUTATIONS {
        let mut buf = good.clone().into_bytes();
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
        legal += 1;
        // The scheme's letters and spaces around the key are free.
        let text = String::from_utf8_lossy(&buf);
        let (scheme, key) = text.split_once(' ').unwrap_or(("", ""));
        let is_same = scheme.eq_ignore_ascii_case("bearer") && key.trim_matches(' ') == KEY;
        assert_eq!(is_known(&table, &[value]), is_same, "{text:?}");
    }
    assert!(legal > MUTATIONS / 2, "{legal} were headers at all");
}
