//! Distinguishes an upstream that ended from one that lost a single answer.
//!
//! When an upstream ends, all calls in flight to it break at the same moment, and its address
//! refuses connections until it is started again. When it loses a single answer, it still
//! accepts connections. A connection attempt after a call broke distinguishes the two cases
//! within milliseconds, whereas missing reports are noticed only after seconds.
//!
//! # Limits
//!
//! The end of an upstream is not detected here if its host ends with it, since this daemon
//! then ends too. If an upstream ends after it has sent all answers, no call can be suspected
//! of having ended it. If no calls are sent to it, its end is detected by its missing reports.

use super::end_check::{BrokenCallGuard, LastCheck};
use super::local::LocalUpstream;
use crate::daemon::{Daemon, quarantine};
use cicadashift_core::ids::CallDigest;
use cicadashift_http::exec;
use cicadashift_http::reactor::Async;
use cicadashift_http::reactor::Timer;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Delay before an address that still accepts connections is checked a second time, if no
/// other call is in flight there: when a process ends, the system may close its listening
/// socket after its connections.
const RECHECK_DELAY: Duration = Duration::from_millis(15);
/// Timeout of a connection attempt to an address of this host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest wait until the calls to an upstream that ended have broken or turned out unsent.
/// Their connections are closed already, so that only a busy host takes more than some
/// milliseconds.
const MAX_BREAK_WAIT: Duration = Duration::from_millis(100);
/// Time between two checks whether they have.
const BREAK_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Returns whether an upstream ended, after a call to it broke.
///
/// Must be called while the call is still counted as in flight. The first call that finds
/// the upstream ended removes the upstream and marks all calls that reached it, and those
/// abandoned lately, as suspect.
pub async fn check_after_broken_call(
    d: &Arc<Daemon>,
    local: &Arc<LocalUpstream>,
    call: CallDigest,
) -> bool {
    let _counted = BrokenCallGuard::new(&local.end_check.broken_calls);
    let has_ended = check(d, local).await;
    if has_ended {
        // A call whose answer broke off half-way is no longer counted as in flight.
        quarantine::record_end(d, &local.name, &[call]);
    }
    has_ended
}

/// Returns whether an upstream ended, after a connection to it could not be made.
///
/// This also detects an end at which no call broke, because the callers of all calls in
/// flight had disconnected before. The call that was not sent must no longer be counted as
/// in flight.
pub async fn check_after_refused_connection(d: &Arc<Daemon>, local: &Arc<LocalUpstream>) -> bool {
    check(d, local).await
}

async fn check(d: &Arc<Daemon>, local: &Arc<LocalUpstream>) -> bool {
    let broken_at = d.clock.now();
    // The first call does the check; the others wait here for its result.
    let mut last = local.end_check.last.lock().await;
    match *last {
        LastCheck::Ended => return true,
        // A check that began before this call broke is not conclusive: an upstream that lost
        // an answer may end a moment later.
        LastCheck::Alive(checked_at) if checked_at >= broken_at => return false,
        LastCheck::Alive(_) | LastCheck::NotChecked => {}
    }
    let checked_at = d.clock.now();
    // An upstream that is leaving ends by itself, not because of its calls.
    if local.is_leaving() || !has_stopped_listening(local).await {
        *last = LastCheck::Alive(checked_at);
        return false;
    }
    *last = LastCheck::Ended;
    d.gates.remove_lost(d, &local.name);
    wait_for_broken_calls(local).await;
    let mut calls = local.in_flight();
    calls.extend(local.abandoned(d.clock.now()));
    let names: Vec<String> = calls.iter().map(|call| call.to_string()).collect();
    d.metrics.incr("upstream.ended");
    log::warn!("upstream {} ended, {} calls at it: {}", local.name, names.len(), names.join(" "));
    quarantine::record_end(d, &local.name, &calls);
    true
}

/// Waits until every call in flight to an upstream that ended has broken, so that those which
/// were still to be sent are known.
///
/// Failure: upstreams end while calls are about to be sent to them. Symptom: a call that
/// reached none of them is taken for a call that ended two, and is quarantined.
async fn wait_for_broken_calls(local: &LocalUpstream) {
    let all_broke = async {
        while local.in_flight().len() > local.end_check.broken_calls.load(Ordering::Relaxed) {
            smol::Timer::after(BREAK_POLL_INTERVAL).await;
        }
    };
    if exec::timeout(MAX_BREAK_WAIT, all_broke).await.is_none() {
        log::info!("upstream {}: calls in flight have not broken", local.name);
    }
}

/// Returns whether an upstream stopped listening, after a call to it broke.
async fn has_stopped_listening(local: &LocalUpstream) -> bool {
    if refuses_connections(local.address).await {
        return true;
    }
    Timer::after(RECHECK_DELAY).await;
    let has_other_calls =
        local.in_flight().len() > local.end_check.broken_calls.load(Ordering::Relaxed);
    !has_other_calls && refuses_connections(local.address).await
}

/// Returns whether no process listens on an address of this host.
async fn refuses_connections(address: SocketAddr) -> bool {
    let connected = exec::timeout(CONNECT_TIMEOUT, Async::<TcpStream>::connect(address)).await;
    matches!(connected, Some(Err(err)) if err.kind() == ErrorKind::ConnectionRefused)
}
