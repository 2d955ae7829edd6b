//! The client of the platform's metadata store against the test store, whose pages hold two
//! items.

mod common;

use cicadashift_edge::store::{Change, KeyValueStore, Pair, PlatformError, Revision, Watch};
use cicadashift_platform::store::{Store as Client, StoreWatch};
use cicadashift_testkit::hosted::store::Store;
use common::run;
use std::collections::BTreeMap;

const KEYS: usize = 7;
/// Size of a value of which the store's answer to a watch may hold a few.
const LARGE_VALUE: usize = 600 << 10;

/// Returns the values after applying changes, by key.
fn values_after(changes: Vec<Change>) -> BTreeMap<String, String> {
    let mut values = BTreeMap::new();
    for change in changes {
        match change {
            Change::Put(pair) => {
                values.insert(pair.key, String::from_utf8(pair.value).expect("value is UTF-8"));
            }
            Change::Deleted(key) => drop(values.remove(&key)),
            Change::All(pairs) => {
                let values_of = |pair: Pair| Some((pair.key, String::from_utf8(pair.value).ok()?));
                values = pairs.into_iter().filter_map(values_of).collect();
            }
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

/// Starts a watch and writes more changes than its next answer may hold. Returns the revision from
/// which it begins, and the watch.
async fn watch_large_changes(store: &Store, client: &Client) -> (Revision, StoreWatch) {
    store.put("op/first", b"first");
    let (pairs, watch) = client.list_and_watch("op/").await.expect("the store answers");
    let large = vec![b'x'; LARGE_VALUE];
    (0..KEYS).for_each(|n| store.put(&format!("op/large-{n}"), &large));
    (pairs[0].revision, watch)
}

#[test]
fn a_watch_whose_answer_is_too_large_goes_on_from_the_present_state() {
    // Guards against a reader that asks for the same changes again and again, since they are
    // more than it accepts in one answer, and sees no change any more.
    run(async {
        let store = Store::start();
        let client = Client::new(Some(store.addr));
        let (_, mut watch) = watch_large_changes(&store, &client).await;
        let values = values_after(watch.next().await.expect("the watch goes on"));
        assert_eq!(values.len(), KEYS + 1);
        assert!(values.values().filter(|value| value.len() == LARGE_VALUE).count() == KEYS);
        store.put("op/later", b"later");
        let values = values_after(watch.next().await.expect("the watch goes on"));
        assert_eq!(values, BTreeMap::from([("op/later".to_string(), "later".to_string())]));
    });
}

#[test]
fn an_answer_that_is_too_large_is_requested_once() {
    // Guards against a reader that requests an answer which it cannot use again and again, while
    // the store fails to show it the present state.
    run(async {
        let store = Store::start();
        let client = Client::new(Some(store.addr));
        let (from, mut watch) = watch_large_changes(&store, &client).await;
        store.change_faults(|faults| faults.refused_reads = Some("op/"));
        watch.next().await.expect_err("the present state cannot be read");
        store.change_faults(|faults| faults.refused_reads = None);
        let calls = store.calls();
        let mut again = client.watch_from("op/", from).await.expect("a watch needs no call");
        let values = values_after(again.next().await.expect("the watch goes on"));
        assert_eq!(values.len(), KEYS + 1);
        let pages = (KEYS as u64 + 1).div_ceil(2);
        assert_eq!(store.calls() - calls, pages, "other calls than for the present state");
    });
}

#[test]
fn an_answer_that_is_late_is_requested_once() {
    // Guards against a reader that requests the changes after a revision again and again, although
    // the store takes longer for them than the reader waits, and sees no change any more.
    run(async {
        let store = Store::start();
        store.put("op/first", b"first");
        let client = Client::new(Some(store.addr));
        let (pairs, _) = client.list_and_watch("op/").await.expect("the store answers");
        store.put("op/second", b"second");
        let from = pairs[0].revision;
        let mut watch = client.watch_from("op/", from).await.expect("a watch needs no call");
        store.change_faults(|faults| faults.late_watches = true);
        let err = watch.next().await.expect_err("the answer is late");
        assert!(matches!(err, PlatformError::Unknown(_)), "{err}");
        let mut again = client.watch_from("op/", from).await.expect("a watch needs no call");
        let values = values_after(again.next().await.expect("the watch goes on"));
        assert_eq!(values.keys().collect::<Vec<_>>(), ["op/first", "op/second"]);
    });
}

#[test]
fn keys_deleted_while_the_history_is_dropped_are_reported() {
    // Guards against a reader that keeps an item for ever, since it was deleted just before the
    // store dropped its history.
    run(async {
        let store = Store::start();
        store.put("op/kept", b"kept");
        store.put("op/deleted", b"deleted");
        let client = Client::new(Some(store.addr));
        let (_, mut watch) = client.list_and_watch("op/").await.expect("the store answers");
        store.delete_prefix("op/deleted");
        store.drop_history();
        let changes = watch.next().await.expect("the watch goes on");
        let [Change::All(pairs)] = &changes[..] else { panic!("{changes:?}") };
        let keys: Vec<&str> = pairs.iter().map(|pair| pair.key.as_str()).collect();
        assert_eq!(keys, ["op/kept"]);
    });
}

#[test]
fn an_item_that_cannot_be_decoded_hides_no_other() {
    // Guards against a list or a watch that fails as a whole, each time, because of one item of
    // another writer.
    run(async {
        let store = Store::start();
        store.put("op/a", b"a");
        store.put_text("op/b", "not base64 at all");
        store.put("op/c", b"c");
        let client = Client::new(Some(store.addr));
        let (pairs, mut watch) = client.list_and_watch("op/").await.expect("the store answers");
        let keys: Vec<&str> = pairs.iter().map(|pair| pair.key.as_str()).collect();
        assert_eq!(keys, ["op/a", "op/c"]);
        store.put_text("op/d", "===");
        store.put("op/e", b"e");
        let mut seen = BTreeMap::new();
        while !seen.contains_key("op/e") {
            seen.extend(values_after(watch.next().await.expect("the watch goes on")));
        }
        assert_eq!(seen, BTreeMap::from([("op/e".to_string(), "e".to_string())]));
    });
}
