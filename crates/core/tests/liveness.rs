//! Which hosts count as silent, on a virtual clock.

use cicadashift_core::ids::HostKey;
use cicadashift_core::membership::liveness::{Check, Liveness, SILENT_AFTER};
use std::time::{Duration, Instant};

const DOMAIN: [HostKey; 5] = [HostKey(1), HostKey(2), HostKey(3), HostKey(4), HostKey(5)];

fn receive_from_all(liveness: &mut Liveness, now: Instant) {
    DOMAIN.iter().for_each(|host| {
        liveness.received(*host, now);
    });
}

/// Marks a host as silent after a call without an answer; returns when.
fn find_silent(liveness: &mut Liveness, host: HostKey, now: Instant) -> Instant {
    liveness.call_sent(host, now);
    let later = now + SILENT_AFTER;
    assert_eq!(liveness.check(host, later), Check::Silent);
    assert!(liveness.mark_silent(host, later));
    later
}

// A failure domain of five hosts is cut off while calls to two of them are in flight.
// These two calls get no answer; no further calls are sent to the other three hosts, since
// nothing was received from any of the five. When one of the three answers a ping, they
// are no longer presumed silent; the two hosts that did not answer stay silent until they
// answer themselves.
#[test]
fn a_domain_that_sends_nothing_is_presumed_silent() {
    let start = Instant::now();
    let mut liveness = Liveness::default();
    receive_from_all(&mut liveness, start);
    let now = find_silent(&mut liveness, DOMAIN[0], start);
    let after_one = liveness.presume_silent(&DOMAIN, now);
    let now = find_silent(&mut liveness, DOMAIN[1], now);
    let after_two = liveness.presume_silent(&DOMAIN, now);
    assert!(liveness.received(DOMAIN[3], now + Duration::from_millis(900)));
    let cleared = liveness.clear_presumed(&DOMAIN);
    let mut silent = liveness.silent_hosts();
    silent.sort();
    let keys = |hosts: Vec<HostKey>| hosts.iter().map(|host| host.0).collect::<Vec<_>>();
    let shown = [after_one, after_two, cleared, silent].map(keys);
    insta::assert_compact_debug_snapshot!(shown, @"[[], [3, 4, 5], [3, 5], [1, 2]]");
}

// Two hosts of a domain lose power and the others continue to serve: their answers show
// that the domain is not cut off, and they continue to get calls.
#[test]
fn a_domain_that_answers_is_not_presumed_silent() {
    let start = Instant::now();
    let mut liveness = Liveness::default();
    receive_from_all(&mut liveness, start);
    let now = find_silent(&mut liveness, DOMAIN[0], start);
    let now = find_silent(&mut liveness, DOMAIN[1], now);
    liveness.received(DOMAIN[2], now - Duration::from_millis(200));
    assert_eq!(liveness.presume_silent(&DOMAIN, now), []);
}
