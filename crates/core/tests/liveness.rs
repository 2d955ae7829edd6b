//! Which hosts are taken for silent, on the virtual clock.

use cicadashift_core::ids::HostKey;
use cicadashift_core::membership::liveness::{Check, Liveness, SILENT_AFTER};
use std::time::{Duration, Instant};

const DOMAIN: [HostKey; 5] = [HostKey(1), HostKey(2), HostKey(3), HostKey(4), HostKey(5)];

fn heard_all(liveness: &mut Liveness, now: Instant) {
    DOMAIN.iter().for_each(|host| {
        liveness.received(*host, now);
    });
}

/// Finds a host silent by a call that nothing follows; returns when.
fn find_silent(liveness: &mut Liveness, host: HostKey, now: Instant) -> Instant {
    liveness.call_sent(host, now);
    let later = now + SILENT_AFTER;
    assert_eq!(liveness.check(host, later), Check::Silent);
    assert!(liveness.mark_silent(host, later));
    later
}

// A failure domain of five hosts is cut off while calls are under way to two of them.
// These two wait in vain; the next calls are not sent to the other three, since none of
// the five was heard. When one answers a ping all that was presumed is taken back, and
// what was found silent stays so until it answers itself.
#[test]
fn a_domain_of_which_nothing_is_heard_is_presumed_silent() {
    let start = Instant::now();
    let mut liveness = Liveness::default();
    heard_all(&mut liveness, start);
    let now = find_silent(&mut liveness, DOMAIN[0], start);
    let after_one = liveness.presume_silent(&DOMAIN, now);
    let now = find_silent(&mut liveness, DOMAIN[1], now);
    let after_two = liveness.presume_silent(&DOMAIN, now);
    assert!(liveness.received(DOMAIN[3], now + Duration::from_millis(900)));
    let back = liveness.clear_presumed(&DOMAIN);
    let mut silent = liveness.silent_hosts();
    silent.sort();
    let keys = |hosts: Vec<HostKey>| hosts.iter().map(|host| host.0).collect::<Vec<_>>();
    let shown = [after_one, after_two, back, silent].map(keys);
    insta::assert_compact_debug_snapshot!(shown, @"[[], [3, 4, 5], [3, 5], [1, 2]]");
}

// Two hosts of a domain lose their power and the others serve on: what they answer speaks
// for the domain, and they go on getting calls.
#[test]
fn a_domain_that_is_heard_is_not_presumed_silent() {
    let start = Instant::now();
    let mut liveness = Liveness::default();
    heard_all(&mut liveness, start);
    let now = find_silent(&mut liveness, DOMAIN[0], start);
    let now = find_silent(&mut liveness, DOMAIN[1], now);
    liveness.received(DOMAIN[2], now - Duration::from_millis(200));
    assert_eq!(liveness.presume_silent(&DOMAIN, now), []);
}
