//! Trials of calls that may be quarantined by mistake.
//!
//! [`cicadashift_core::request::suspects::Review`] says which quarantined calls are in
//! doubt. Such a call waits here for a moment. One daemon of the fleet at a time holds
//! the trial key in the store and sends its call to one upstream, once. The outcome of
//! this trial clears the call or confirms its quarantine, for all daemons.
//!
//! # Limits
//!
//! While the store cannot be reached there are no trials, and calls in doubt are refused.
//! A daemon that is frozen during its trial loses the key after [`KEY_TTL`], and another
//! daemon may then start a trial at the same time.

use super::work::RoutedCall;
use crate::daemon::{Daemon, quarantine};
use crate::store::{ConditionalWrite, KeyValueStore, Lease, PlatformError, Revision, keys};
use cicadashift_core::request::jitter;
use cicadashift_core::request::suspects::{QuarantineState, Review};
use cicadashift_http::exec;
use cicadashift_http::reactor::Timer;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest wait of a call in doubt, unless its objective ends earlier: a few trials of
/// other calls fit into it.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Time between two checks of a call's quarantine state.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Lifetime of the trial key's lease: the longest time that a trial holds the key if its
/// daemon does not release it.
const KEY_TTL: Duration = Duration::from_secs(2);
/// Time between two attempts of one daemon to acquire the key, so that 80 daemons with
/// calls in doubt write to the store only about 250 times a second.
const ACQUIRE_INTERVAL: Duration = Duration::from_millis(300);

/// Whether a call may be sent now, by its quarantine state.
pub enum QuarantineDecision {
    /// Send it: it is not quarantined.
    Send,
    /// Send it to one upstream, once, and keep the [`Trial`] until that attempt has ended.
    SendAsTrial(Trial),
    /// Send it to no upstream.
    Refuse {
        /// Time after which its caller may retry.
        retry_after: Duration,
    },
}

/// Possession of the trial key, which one daemon of the fleet holds at a time; released
/// when dropped.
pub struct Trial {
    d: Arc<Daemon>,
    lease: Lease,
}

impl Drop for Trial {
    fn drop(&mut self) {
        release_lease(&self.d, self.lease);
    }
}

/// Waits until a call is cleared, is refused or gets the trial key.
///
/// `in_doubt_since` is when the call was first found to be in doubt, and is set here.
pub async fn wait_for_decision(
    d: &Arc<Daemon>,
    call: &RoutedCall,
    in_doubt_since: &mut Option<Instant>,
) -> QuarantineDecision {
    loop {
        let now = d.clock.now();
        let is_overdue = in_doubt_since.is_some_and(|since| now >= wait_deadline(call, since));
        let left = match quarantine::state(d, call.digest) {
            QuarantineState::Quarantined { left } => left,
            QuarantineState::Suspected | QuarantineState::Clear if is_overdue => {
                return refuse_disputed(d);
            }
            QuarantineState::Suspected | QuarantineState::Clear => return QuarantineDecision::Send,
        };
        let review = quarantine::review(d, call.digest);
        if review == Review::Certain {
            d.metrics.incr("call.quarantined");
            return QuarantineDecision::Refuse { retry_after: left };
        }
        in_doubt_since.get_or_insert(now);
        if is_overdue {
            return refuse_disputed(d);
        }
        if review == Review::Doubtful
            && let Some(trial) = start_trial(d, call).await
        {
            return QuarantineDecision::SendAsTrial(trial);
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Waits a moment for an update of the call's quarantine state that another daemon has
/// received already.
pub async fn wait_for_update(d: &Daemon, in_doubt_since: &mut Option<Instant>) {
    in_doubt_since.get_or_insert(d.clock.now());
    Timer::after(POLL_INTERVAL).await;
}

fn wait_deadline(call: &RoutedCall, since: Instant) -> Instant {
    call.objective.min(since + MAX_WAIT)
}

fn refuse_disputed(d: &Daemon) -> QuarantineDecision {
    d.metrics.incr("call.disputed");
    QuarantineDecision::Refuse { retry_after: jitter(MAX_WAIT, fastrand::u64(..)) }
}

/// Starts a trial if no daemon holds the trial key and the call is still in doubt.
async fn start_trial(d: &Arc<Daemon>, call: &RoutedCall) -> Option<Trial> {
    let mut next_attempt = d.quarantine.trials.next.try_lock()?;
    let now = d.clock.now();
    if next_attempt.is_some_and(|at| now < at) {
        return None;
    }
    let trial = match acquire_key(d).await {
        Ok(trial) => trial,
        Err(err) => {
            log::info!("call {}: cannot acquire the trial key: {err}", call.digest);
            None
        }
    };
    let now = d.clock.now();
    let Some(trial) = trial else {
        *next_attempt = Some(now + jitter(ACQUIRE_INTERVAL, fastrand::u64(..)));
        return None;
    };
    // The previous trial may have decided whether the call is quarantined.
    let is_doubtful = matches!(
        quarantine::state(d, call.digest),
        QuarantineState::Quarantined { .. } if quarantine::review(d, call.digest) == Review::Doubtful
    );
    if !is_doubtful {
        return None;
    }
    log::warn!(
        "call {} is tried: other calls share its ended upstreams, or the last one ended long ago",
        call.digest
    );
    d.metrics.incr("quarantine.tried");
    Some(trial)
}

async fn acquire_key(d: &Arc<Daemon>) -> Result<Option<Trial>, PlatformError> {
    let lease = d.store.grant(KEY_TTL).await?;
    let holder = d.settings.host.as_bytes();
    match d.store.compare_and_swap(keys::TRIAL, Revision::ABSENT, holder, Some(lease)).await {
        Ok(ConditionalWrite::Applied) => Ok(Some(Trial { d: d.clone(), lease })),
        Ok(ConditionalWrite::Rejected) => {
            release_lease(d, lease);
            Ok(None)
        }
        // The key may have been written although the answer was lost: it is removed with its
        // lease.
        Err(err) => {
            release_lease(d, lease);
            Err(err)
        }
    }
}

fn release_lease(d: &Arc<Daemon>, lease: Lease) {
    let d = d.clone();
    let revoke = async move {
        if let Err(err) = d.store.revoke(lease).await {
            log::info!("the lease of the trial key was not revoked and will expire: {err}");
        }
    };
    exec::spawn(revoke).detach();
}
