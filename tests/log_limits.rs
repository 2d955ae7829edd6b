//! Rate limits of decision lines.

use cicadashift::logging::{self, DecisionClass};
use cicadashift::settings::Log;

#[test]
fn lines_about_refused_requests_are_bounded() {
    // Guards against a daemon that spends its processor time on lines about refused requests.
    let _spec = logging::specification(&Log { failed_per_s: 5, ..Log::default() });
    for class in [DecisionClass::FailedAttempt, DecisionClass::Refusal] {
        let before = logging::omitted_lines();
        for _ in 0..100 {
            logging::rate_limited_decision(class, &"a line");
        }
        // The lines may fall into two seconds of the wall clock.
        assert!(logging::omitted_lines() - before >= 90, "{class:?}");
    }
}
