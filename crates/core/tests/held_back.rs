//! Choice among upstreams that hold a call back for another version.

use cicadashift_core::config::Priority;
use cicadashift_core::ids::HostKey;
use cicadashift_core::membership::record::Readiness;
use cicadashift_core::request::MIN_RETRY_AFTER;
use cicadashift_core::request::choose::{
    Demand, LoadReport, Locality, Outcome, Picker, Policy, UpstreamInfo,
};
use cicadashift_core::request::gate::KindKey;
use std::time::{Duration, Instant};

fn two_upstreams(now: Instant) -> Picker {
    let mut picker = Picker::new(Policy::ALL, HostKey::of("me"));
    let known = (0..2).map(|n| UpstreamInfo {
        host: HostKey(n),
        instance: format!("u{n}"),
        locality: Locality::SameDomain,
        slots: 4,
        readiness: Readiness::Ready,
        host_suspected: false,
    });
    picker.sync(known, now);
    picker
}

#[test]
fn all_upstreams_that_hold_a_call_back_can_be_asked_again_at_once() {
    // Guards against a refusal at the moment of a cutover: one daemon has learned of it,
    // the daemons of the new upstreams have not yet, and after each upstream was asked once no
    // upstream was left to choose.
    let now = Instant::now();
    let demand = Demand {
        kind: KindKey::default(),
        priority: Priority::NORMAL,
        objective: Duration::from_millis(400),
    };
    let report = LoadReport { load: None, accept_ratio: None, next_token: None, pace: None };
    let refused = Outcome::Refused { retry_after: MIN_RETRY_AFTER, report };
    for (outcome, can_be_chosen) in [(Outcome::HeldBack, true), (refused, false)] {
        let mut picker = two_upstreams(now);
        for random in 0..2 {
            let asked = picker.choose(demand, now, random, &[]).expect("an upstream takes calls");
            picker.started(asked.key);
            picker.ended(asked.key, demand, outcome, now);
        }
        let next = picker.choose(demand, now, 0, &[]);
        assert_eq!(next.is_ok(), can_be_chosen, "{outcome:?}: {next:?}");
    }
}
