//! Liveness of hosts that have calls in flight.
//!
//! Membership detects a dead daemon within seconds. A call in flight to a host that was
//! cut off or frozen cannot wait that long. Anything received from a host counts as a sign
//! of life. A host from which nothing was received for a while is pinged; if it does not
//! answer either, it is *silent*: it gets no calls until something is received from it.
//!
//! # A failure domain that is cut off
//!
//! Failure: a failure domain is cut off. Symptom: each of its hosts is found silent only
//! by calls sent to it, some of which cannot be retried, so that their callers get `504`
//! for calls that never arrived. If [`MIN_SILENT_TO_PRESUME`] hosts of another domain are
//! silent and nothing was received from any of its hosts lately, all of them are presumed
//! silent until something is received from one of them. After a wrong presumption, calls
//! cannot use the domain for as long as a ping takes.

use crate::ids::HostKey;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time without anything received from a host after which it is pinged. Most calls are
/// answered in less.
pub const PING_AFTER: Duration = Duration::from_millis(150);
/// Interval between two pings of a host that has not answered.
pub const PING_EVERY: Duration = Duration::from_millis(75);
/// Time without an answer after which a host counts as cut off or frozen. At least three
/// pings were sent in this time, one of which may have been lost.
pub const SILENT_AFTER: Duration = Duration::from_millis(450);
/// Silent hosts of a failure domain from which on all of its hosts are presumed silent, if
/// nothing was received from any of them. A single host may have stopped by itself.
pub const MIN_SILENT_TO_PRESUME: usize = 2;

/// Reason why a host counts as silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Silence {
    /// The host itself did not answer.
    Observed,
    /// Other hosts of its failure domain did not answer.
    Presumed,
}

#[derive(Clone, Copy, Debug)]
struct HostState {
    /// When something was last received from the host.
    last_received: Instant,
    /// When the first call or ping was sent after which nothing was received.
    unanswered_since: Option<Instant>,
    last_ping: Instant,
    silence: Option<Silence>,
}

impl HostState {
    fn new(now: Instant) -> HostState {
        HostState { last_received: now, unanswered_since: None, last_ping: now, silence: None }
    }
}

/// Result of [`Liveness::check`]: what to do about a host that has a call in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Check {
    /// Nothing.
    Wait,
    /// Ping it.
    Ping,
    /// Mark it as silent.
    Silent,
}

/// Liveness by host.
#[derive(Clone, Debug, Default)]
pub struct Liveness {
    by_host: HashMap<HostKey, HostState>,
}

impl Liveness {
    /// Records that a call was sent to a host.
    pub fn call_sent(&mut self, host: HostKey, now: Instant) {
        self.state(host, now).unanswered_since.get_or_insert(now);
    }

    /// Discards missing answers after this daemon was frozen: the other hosts were not
    /// silent, this daemon could not receive.
    pub fn reset(&mut self, now: Instant) {
        for state in self.by_host.values_mut() {
            state.last_received = now;
            state.unanswered_since = None;
        }
    }

    /// Returns what to do about a host that has a call in flight.
    pub fn check(&mut self, host: HostKey, now: Instant) -> Check {
        let state = self.state(host, now);
        let quiet = now.saturating_duration_since(state.last_received) >= PING_AFTER;
        let unanswered = state.unanswered_since.map(|at| now.saturating_duration_since(at));
        if unanswered.is_some_and(|time| time >= SILENT_AFTER) {
            return Check::Silent;
        }
        if quiet && now.saturating_duration_since(state.last_ping) >= PING_EVERY {
            state.last_ping = now;
            state.unanswered_since.get_or_insert(now);
            return Check::Ping;
        }
        Check::Wait
    }

    /// Records that something was received from a host; returns whether it was silent.
    pub fn received(&mut self, host: HostKey, now: Instant) -> bool {
        let state = self.state(host, now);
        state.last_received = now;
        state.unanswered_since = None;
        state.silence.take().is_some()
    }

    /// Marks a host as silent because it did not answer; returns whether it was not marked
    /// so before.
    pub fn mark_silent(&mut self, host: HostKey, now: Instant) -> bool {
        let silence = &mut self.state(host, now).silence;
        silence.replace(Silence::Observed) != Some(Silence::Observed)
    }

    /// Presumes all hosts of a failure domain silent, if at least
    /// [`MIN_SILENT_TO_PRESUME`] of them did not answer and nothing was received from any
    /// of them within [`SILENT_AFTER`]; returns those that were not silent before.
    pub fn presume_silent(&mut self, domain: &[HostKey], now: Instant) -> Vec<HostKey> {
        let known = domain.iter().filter_map(|host| self.by_host.get(host));
        let observed = known.clone().filter(|state| state.silence == Some(Silence::Observed));
        let recently_received =
            |state: &HostState| now.saturating_duration_since(state.last_received) < SILENT_AFTER;
        if observed.count() < MIN_SILENT_TO_PRESUME || known.clone().any(recently_received) {
            return Vec::new();
        }
        let mut presumed = Vec::new();
        for host in domain {
            // A host from which nothing was ever received may be cut off as well.
            let state = self.by_host.entry(*host).or_insert_with(|| HostState::new(now));
            if state.silence.is_none() {
                state.silence = Some(Silence::Presumed);
                presumed.push(*host);
            }
        }
        presumed
    }

    /// Ends the presumption for the hosts of a failure domain after something was received
    /// from one of them; returns the hosts that are no longer silent.
    pub fn clear_presumed(&mut self, domain: &[HostKey]) -> Vec<HostKey> {
        let mut cleared = Vec::new();
        for host in domain {
            let Some(state) = self.by_host.get_mut(host) else { continue };
            if state.silence == Some(Silence::Presumed) {
                state.silence = None;
                cleared.push(*host);
            }
        }
        cleared
    }

    /// Returns the hosts that count as silent, observed or presumed.
    pub fn silent_hosts(&self) -> Vec<HostKey> {
        let silent = self.by_host.iter().filter(|(_, state)| state.silence.is_some());
        silent.map(|(host, _)| *host).collect()
    }

    /// Returns whether any host is presumed silent.
    pub fn has_presumed(&self) -> bool {
        self.by_host.values().any(|state| state.silence == Some(Silence::Presumed))
    }

    fn state(&mut self, host: HostKey, now: Instant) -> &mut HostState {
        self.by_host.entry(host).or_insert_with(|| HostState::new(now))
    }
}
