//! Whether a daemon considers its configuration current, tested without a daemon.

use bytes::Bytes;
use cicadashift::daemon::document::DocumentState;
use cicadashift_core::ids::Revision;
use std::time::{Duration, Instant};

const MAX_AGE: Duration = Duration::from_secs(15);

#[test]
fn a_late_heartbeat_does_not_mark_the_daemon_as_behind() {
    // Guards against a heartbeat that names version 2 and is handled only after version 2
    // came into force from the store. If the daemon considered itself behind then, it
    // would refuse requests without a route until the next version.
    let document = DocumentState::default();
    let now = Instant::now();
    assert!(document.install(1, at(10), Bytes::from_static(b"one"), || {}));
    document.confirm(now);
    assert!(document.is_current(now, MAX_AGE));
    assert_eq!(document.note_member_version(2, now), Some(Duration::ZERO));
    assert!(!document.is_current(now, MAX_AGE));
    assert!(document.install(2, at(11), Bytes::from_static(b"two"), || {}));
    assert_eq!(document.note_member_version(2, now), None);
    assert!(document.is_current(now, MAX_AGE));
}

fn at(number: i64) -> Revision {
    Revision { era: 0, number }
}
