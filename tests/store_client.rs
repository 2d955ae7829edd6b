//! The client of the platform's metadata store against the test store, whose pages hold two
//! items.

mod common;

use cicadashift_edge::store::{Change, KeyValueStore, Watch};
use cicadashift_platform::store::Store as Client;
use cicadashift_testkit::hosted::store::Store;
use common::run;
use std::collections::BTreeMap;

const KEYS: usize = 7;

/// Returns the values after applying changes, by key.
fn values_after(changes: Vec<Change>) -> BTreeMap<String, String> {
    let mut values = BTreeMap::new();
    for change in changes {
        match change {
            Change::Put(pair) => {
                values.insert(pair.key, String::from_utf8(pair.value).expect("value is UTF-8"));
            }
            Change::Deleted(key) => drop(values.remove(&key)),
        }
    }
    values
}

#[test]
fn a_watch_whose_history_is_gone_reads_all_pages() {
    // Failure: the store drops its history while the watched keys fill more than one page,
    // such as an order that is listed after a large configuration. The watch must read all
    // pages again, or changes are lost.
    run(async {
        let store = Store::start();
        let key = |n: usize| format!("op/key-{n}");
        (0..KEYS).for_each(|n| store.put(&key(n), b"old"));
        let client = Client::new(Some(store.addr));
        let (pairs, mut watch) = client.list_and_watch("op/").await.expect("the store answers");
        assert_eq!(pairs.len(), KEYS);
        (1..KEYS).for_each(|n| store.put(&key(n), b"new"));
        store.drop_history();
        let values = values_after(watch.next().await.expect("the store answers"));
        let expected = (0..KEYS).map(|n| (key(n), if n == 0 { "old" } else { "new" }.to_string()));
        assert_eq!(values, expected.collect());
        store.put(&key(0), b"newer");
        let values = values_after(watch.next().await.expect("the store answers"));
        assert_eq!(values, BTreeMap::from([(key(0), "newer".to_string())]));
    });
}
