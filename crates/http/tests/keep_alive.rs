//! The `Keep-Alive` header at the extremes of its number.

use cicadashift_http::keep_alive::{MAX_KEEP_ALIVE, timeout};
use proptest::prelude::*;
use std::time::{Duration, Instant};

// Guards against a stated time that overflows when it is added to a time.
#[test]
fn any_stated_time_is_bounded() {
    let stated = |text: &str| timeout(&format!("timeout={text}"));
    let values = ["5", "0", "3601", "18446744073709551615", "18446744073709551616", "-1", "1e9"];
    insta::assert_compact_debug_snapshot!(
        values.map(stated),
        @"[Some(5s), Some(0ns), Some(3600s), Some(3600s), None, None, None]"
    );
    insta::assert_compact_debug_snapshot!(
        [timeout("max=9, timeout=5"), timeout("max=9"), timeout("")],
        @"[Some(5s), None, None]"
    );
}

proptest! {
    #[test]
    fn a_stated_time_can_be_added_to_any_time(seconds in any::<u64>(), rest in ".*") {
        let time = timeout(&format!("timeout={seconds}"));
        prop_assert_eq!(time, Some(Duration::from_secs(seconds).min(MAX_KEEP_ALIVE)));
        let any_text = timeout(&rest).unwrap_or_default();
        prop_assert!(Instant::now().checked_add(any_text).is_some());
    }
}
