//! Rollouts after the store was restored from a copy: which orders count as the same, and how
//! much a decider may grant that takes over without knowing the earlier grants.

use cicadashift_core::ids::{HostKey, Revision};
use cicadashift_core::request::gate::KindKey;
use cicadashift_core::rollout::account::{Account, Bounds};
use cicadashift_core::rollout::decide::{Decider, Proposal};
use cicadashift_core::rollout::tally::{Kinds, Report, UpstreamReport};
use cicadashift_core::rollout::{Order, Phase, Stage};
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(200);
const CALLS_PER_STEP: u32 = 100;

fn order(revision: Revision, target: &str) -> Order {
    let (service, duration) = ("notice".to_string(), Duration::from_secs(12));
    Order { service, target: target.to_string(), revision, read_in_era: revision.era, duration }
}

fn stage(revision: Revision, target: &str, phase: Phase) -> Stage {
    Stage {
        service: "notice".to_string(),
        target: target.to_string(),
        order: revision,
        step: 3,
        decider: HostKey(1),
        phase,
    }
}

#[test]
fn an_order_that_is_written_again_in_a_later_era_is_the_same_order() {
    // Guards against a rollout that begins anew because its order was written again at another
    // position, and against a new order that is taken for one that has ended.
    let at = |era, number| Revision { era, number };
    let known = stage(at(1, 40), "v2", Phase::RolledBack);
    let cases = [
        ("written again, lower", order(at(2, 7), "v2"), at(1, 40)),
        ("written again, same number", order(at(2, 40), "v2"), at(1, 40)),
        ("another version", order(at(2, 7), "v3"), at(2, 7)),
        ("a new order in the same era", order(at(1, 41), "v2"), at(1, 41)),
    ];
    for (case, order, expected) in cases {
        assert_eq!(order.clone().with_known_revision(Some(&known)).revision, expected, "{case}");
        assert_eq!(order.clone().with_known_revision(None), order, "{case}, nothing known");
    }
}

fn report(order: &Order, epoch: u32, host: u64, is_new: bool, sent: u32) -> Report {
    let mut kinds = Kinds::default();
    (0..sent).for_each(|_| kinds.tally_mut(KindKey(1)).record_answer(Duration::from_millis(20)));
    let upstream = UpstreamReport {
        upstream: format!("i-{host}"),
        is_new,
        slots: 9,
        is_warm: true,
        sent,
        in_flight: 0,
        is_closed: false,
        kinds,
    };
    Report {
        host: HostKey(host),
        service: order.service.clone(),
        order: order.revision,
        epoch,
        upstreams: vec![upstream],
    }
}

/// Lets a decider take over with an account; returns its last grant and its last phase.
fn take_over(account: Account) -> (u64, Option<Phase>) {
    let order = order(Revision { era: 1, number: 40 }, "v2");
    let bounds = Bounds { share: 0.1, slack: 50.0 };
    let canary = Phase::Canary { permille: 20, upstreams: vec!["i-2".to_string()] };
    let start = Instant::now();
    let mut decider = Decider::new(order.clone(), bounds, start, 3, Some(canary), account);
    let old = vec!["i-1".to_string()];
    let mut granted = 0;
    for n in 0..75 {
        let now = start + STEP * n;
        let epoch = decider.epoch();
        decider.handle_report(report(&order, epoch, 1, false, CALLS_PER_STEP * n), now);
        decider.handle_report(report(&order, epoch, 2, true, 0), now);
        let Some(proposal) = decider.propose(&old, now) else { continue };
        if let Proposal::Grant(calls) = proposal {
            granted = calls;
        }
        decider.apply(&proposal);
    }
    (granted, decider.phase().cloned())
}

#[test]
fn a_decider_that_takes_over_without_the_earlier_grants_grants_nothing() {
    // Guards against canaries that get the calls granted since the copy a second time: one
    // bound on the calls of an unproven version holds for the whole rollout.
    assert_eq!(take_over(Account::with_unknown_grants()), (0, Some(Phase::RolledBack)));
    let (granted, _) = take_over(Account::taken_over(500, 20));
    assert!(granted > 20, "a decider that knows the earlier grants goes on: {granted}");
}
