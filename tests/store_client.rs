//! The client of the users' store against its stand-in, whose pages hold two items.

mod common;

use cicadashift_edge::store::{Change, KeyValueStore, Watch};
use cicadashift_platform::store::Store as Client;
use cicadashift_testkit::hosted::store::Store;
use common::run;
use std::collections::BTreeMap;

const KEYS: usize = 7;

/// Returns the values that changes leave behind, by key.
fn left_by(changes: Vec<Change>) -> BTreeMap<String, String> {
    let mut left = BTreeMap::new();
    for change in changes {
        match change {
            Change::Put(pair) => {
                left.insert(pair.key, String::from_utf8(pair.value).expect("it is text"));
            }
            Change::Deleted(key) => drop(left.remove(&key)),
        }
    }
    left
}

#[test]
fn a_watch_whose_history_is_gone_reads_all_pages() {
    // Guards against changes that are lost when the store drops its history while what is
    // watched fills more than a page: an order behind a large configuration.
    run(async {
        let store = Store::start();
        let key = |n: usize| format!("op/key-{n}");
        (0..KEYS).for_each(|n| store.put(&key(n), b"old"));
        let client = Client::new(Some(store.addr));
        let (pairs, mut watch) = client.list_and_watch("op/").await.expect("it answers");
        assert_eq!(pairs.len(), KEYS);
        (1..KEYS).for_each(|n| store.put(&key(n), b"new"));
        store.drop_history();
        let left = left_by(watch.next().await.expect("it answers"));
        let expected = (0..KEYS).map(|n| (key(n), if n == 0 { "old" } else { "new" }.to_string()));
        assert_eq!(left, expected.collect());
        store.put(&key(0), b"newer");
        let left = left_by(watch.next().await.expect("it answers"));
        assert_eq!(left, BTreeMap::from([(key(0), "newer".to_string())]));
    });
}
