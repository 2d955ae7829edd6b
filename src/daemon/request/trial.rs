//! The way back of a call that may be quarantined wrongly.
//!
//! [`cicadashift_core::request::suspects::Review`] says which calls are in doubt. Their
//! callers wait here for a moment. One of them holds the key of the store that stands for
//! a trial, sends the call once, and what became of that clears or convicts it for all.
//!
//! # Limits
//!
//! While the store is away nothing is tried, and calls in doubt are refused. A daemon that
//! freezes during its trial loses the key after [`HELD_FOR`], and another one may try
//! beside it.

use super::work::RoutedCall;
use crate::daemon::{Daemon, quarantine};
use crate::store::{Lease, Platform, PlatformError, Revision, Swap, keys};
use cicadashift_core::request::jitter;
use cicadashift_core::request::suspects::{QuarantineState, Review};
use cicadashift_http::exec;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest wait of a call in doubt, within its objective: a few trials of others.
const MOST_WAIT: Duration = Duration::from_secs(1);
/// Time between two looks at what is known of the call.
const LOOK: Duration = Duration::from_millis(20);
/// How long a trial holds its key at most, if its daemon does not give it back.
const HELD_FOR: Duration = Duration::from_secs(2);
/// Time between two tries of one daemon to get the key, so that 80 daemons with calls in
/// doubt write some 250 times a second.
const TRY_EVERY: Duration = Duration::from_millis(300);

/// Whether a call may be sent now.
pub enum Permit {
    /// Nothing stands against it.
    Sent,
    /// It is sent to one upstream, once, while this is held.
    Tried(Trial),
    /// It is sent to nobody.
    Refused {
        /// When its caller may come back.
        retry_after: Duration,
    },
}

/// The key that stands for the one trial of the fleet; given back when dropped.
pub struct Trial {
    d: Arc<Daemon>,
    lease: Lease,
}

impl Drop for Trial {
    fn drop(&mut self) {
        give_back(&self.d, self.lease);
    }
}

/// Waits until a call is cleared, refused or on trial.
///
/// `doubted` is when it was first found to be in doubt; it is set here.
pub async fn permit(d: &Arc<Daemon>, work: &RoutedCall, doubted: &mut Option<Instant>) -> Permit {
    loop {
        let now = d.clock.now();
        let is_overdue = doubted.is_some_and(|since| now >= last_look(work, since));
        let left = match quarantine::standing(d, work.digest) {
            QuarantineState::Quarantined { left } => left,
            QuarantineState::Suspected | QuarantineState::Clear if is_overdue => {
                return refused_for_now(d);
            }
            QuarantineState::Suspected | QuarantineState::Clear => return Permit::Sent,
        };
        let review = quarantine::review(d, work.digest);
        if review == Review::Certain {
            d.metrics.incr("call.quarantined");
            return Permit::Refused { retry_after: left };
        }
        doubted.get_or_insert(now);
        if is_overdue {
            return refused_for_now(d);
        }
        if review == Review::Doubtful
            && let Some(trial) = begin(d, work).await
        {
            return Permit::Tried(trial);
        }
        smol::Timer::after(LOOK).await;
    }
}

/// Waits a moment for the news that another daemon has already.
pub async fn wait_for_news(d: &Daemon, doubted: &mut Option<Instant>) {
    doubted.get_or_insert(d.clock.now());
    smol::Timer::after(LOOK).await;
}

fn last_look(work: &RoutedCall, since: Instant) -> Instant {
    work.objective.min(since + MOST_WAIT)
}

fn refused_for_now(d: &Daemon) -> Permit {
    d.metrics.incr("call.disputed");
    Permit::Refused { retry_after: jitter(MOST_WAIT, fastrand::u64(..)) }
}

/// Gets the key for a trial, if nobody has it and the call is still in doubt.
async fn begin(d: &Arc<Daemon>, work: &RoutedCall) -> Option<Trial> {
    let mut next = d.quarantine.trials.next.try_lock()?;
    let now = d.clock.now();
    if next.is_some_and(|next| now < next) {
        return None;
    }
    let trial = match take_key(d).await {
        Ok(trial) => trial,
        Err(err) => {
            log::info!("call {}: no trial: {err}", work.digest);
            None
        }
    };
    let now = d.clock.now();
    let Some(trial) = trial else {
        *next = Some(now + jitter(TRY_EVERY, fastrand::u64(..)));
        return None;
    };
    // The one before may have decided it.
    let is_doubtful = matches!(
        quarantine::standing(d, work.digest),
        QuarantineState::Quarantined { .. } if quarantine::review(d, work.digest) == Review::Doubtful
    );
    if !is_doubtful {
        return None;
    }
    log::warn!("call {} is tried: others were at the same ends, or it is long ago", work.digest);
    d.metrics.incr("quarantine.tried");
    Some(trial)
}

async fn take_key(d: &Arc<Daemon>) -> Result<Option<Trial>, PlatformError> {
    let lease = d.platform.grant(HELD_FOR).await?;
    let holder = d.settings.host.as_bytes();
    match d.platform.swap(keys::TRIAL, Revision::ABSENT, holder, Some(lease)).await {
        Ok(Swap::Done) => Ok(Some(Trial { d: d.clone(), lease })),
        Ok(Swap::Lost) => {
            give_back(d, lease);
            Ok(None)
        }
        // The answer may be lost and the key written: it ends with its lease.
        Err(err) => {
            give_back(d, lease);
            Err(err)
        }
    }
}

fn give_back(d: &Arc<Daemon>, lease: Lease) {
    let d = d.clone();
    let giving = async move {
        if let Err(err) = d.platform.revoke(lease).await {
            log::info!("the key of a trial ends with its lease: {err}");
        }
    };
    exec::spawn(giving).detach();
}
