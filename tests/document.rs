//! How current a daemon knows its configuration to be, without a daemon.

use bytes::Bytes;
use cicadashift::daemon::document::DocumentState;
use cicadashift_core::ids::Revision;
use std::time::{Duration, Instant};

const SURE: Duration = Duration::from_secs(15);

#[test]
fn a_word_that_comes_late_leaves_nobody_behind() {
    // A member says that it runs version 2. Before that is taken in, version 2 comes
    // into force from the store. The daemon is current and says so; if it believed
    // itself behind, it would refuse requests without a route until the next version.
    let documents = DocumentState::default();
    let now = Instant::now();
    assert!(documents.install(1, at(10), Bytes::from_static(b"one"), true, || {}));
    documents.confirm(now);
    assert!(documents.is_current(now, SURE));
    assert_eq!(documents.behind_for(2, now), Some(Duration::ZERO));
    assert!(!documents.is_current(now, SURE));
    assert!(documents.install(2, at(11), Bytes::from_static(b"two"), true, || {}));
    assert_eq!(documents.behind_for(2, now), None);
    assert!(documents.is_current(now, SURE));
}

fn at(number: i64) -> Revision {
    Revision { era: 0, number }
}
