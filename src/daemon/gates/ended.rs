//! Telling an upstream that ended from an answer that was lost.
//!
//! When an upstream ends, every call at it breaks in one moment, and nobody listens at
//! its address until it is started again. When it loses one answer, it still takes
//! connections. One connection after a call broke tells the two apart within
//! milliseconds; reports would take seconds to be missed.
//!
//! # Limits
//!
//! An upstream whose host ends with it is not seen here, since this daemon ends too. One
//! that ends after its answers have left leaves no call behind that could be named, and
//! one that nothing is sent to is found to have ended by its missing reports.

use super::end_check::{Breaking, Found};
use super::local::Local;
use crate::daemon::{Daemon, quarantine};
use cicadashift_core::ids::CallDigest;
use cicadashift_http::exec;
use smol::Async;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time after which an address that still takes connections is asked once more, if no
/// other call runs on there: the system may close the listening socket of a process that
/// ends after its connections.
const ASK_AGAIN: Duration = Duration::from_millis(15);
/// Time for one connection on the own host.
const CONNECT_TIME: Duration = Duration::from_millis(200);

/// Finds out whether an upstream ended when a call at it broke; to be called before the
/// call is taken off those at work there. The first call that finds it ended takes it
/// away and lets all of them be suspected.
pub async fn after_break(d: &Arc<Daemon>, local: &Arc<Local>, call: CallDigest) -> bool {
    let _counted = Breaking::new(&local.end_check.breaking);
    let has_ended = find(d, local).await;
    if has_ended {
        // One whose answer broke off half-way is at work no more.
        quarantine::record_end(d, &local.name, &[call]);
    }
    has_ended
}

/// Finds out whether an upstream ended when it could not be connected to: whoever waited
/// for it may have left before.
pub async fn after_refusal(d: &Arc<Daemon>, local: &Arc<Local>) -> bool {
    find(d, local).await
}

async fn find(d: &Arc<Daemon>, local: &Arc<Local>) -> bool {
    let broke = d.clock.now();
    // The first call asks, the others wait here for what it finds.
    let mut found = local.end_check.found.lock().await;
    match *found {
        Found::Ended => return true,
        // What was asked before this call broke tells nothing about it: one that lost an
        // answer may end a moment later.
        Found::Alive(asked) if asked >= broke => return false,
        Found::Alive(_) | Found::Nothing => {}
    }
    let asked = d.clock.now();
    // One that leaves ends by its own will, whatever is at it.
    if local.leaves() || !serves_no_more(local).await {
        *found = Found::Alive(asked);
        return false;
    }
    *found = Found::Ended;
    let mut calls = local.at_work();
    calls.extend(local.given_up(d.clock.now()));
    let names: Vec<String> = calls.iter().map(|call| call.to_string()).collect();
    d.metrics.incr("upstream.ended");
    log::warn!("upstream {} ended, {} calls at it: {}", local.name, names.len(), names.join(" "));
    quarantine::record_end(d, &local.name, &calls);
    d.gates.lose(d, &local.name);
    true
}

/// Returns whether an upstream ended, a moment after a call at it broke.
async fn serves_no_more(local: &Local) -> bool {
    if is_refused(local.address).await {
        return true;
    }
    smol::Timer::after(ASK_AGAIN).await;
    let runs_on = local.at_work().len() > local.end_check.breaking.load(Ordering::Relaxed);
    !runs_on && is_refused(local.address).await
}

/// Returns whether nobody listens at an address of this host.
async fn is_refused(address: SocketAddr) -> bool {
    let connected = exec::timeout(CONNECT_TIME, Async::<TcpStream>::connect(address)).await;
    matches!(connected, Some(Err(err)) if err.kind() == ErrorKind::ConnectionRefused)
}
