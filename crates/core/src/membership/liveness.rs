//! Whether hosts that calls are under way to still give signs of life.
//!
//! Membership finds a dead daemon within seconds. A call that is under way to a host
//! which was cut off or frozen cannot wait for that. Whatever comes from a host counts as
//! a sign; where none came for a while, it is pinged, and where that brings nothing either
//! it is silent: it gets no calls until something comes from it.
//!
//! # A failure domain that is cut off
//!
//! Failure: a failure domain is cut off. Symptom: each of its hosts is found silent by
//! calls of its own, some of which cannot be sent again, so that their callers get `504`
//! for what never arrived. Where [`SILENT_TO_PRESUME`] hosts of another domain are silent
//! and none of it was heard since, all of them are presumed silent, until any is heard.
//! A wrong presumption costs calls the choice of that domain for as long as a ping takes.

use crate::ids::HostKey;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Silence after which a host is pinged. Most calls are answered in less.
pub const PING_AFTER: Duration = Duration::from_millis(150);
/// Time between two pings of a host that has not answered.
pub const PING_EVERY: Duration = Duration::from_millis(75);
/// Time without an answer after which a host is taken for cut off or frozen. At
/// least three pings were sent in it, one of which may have been lost.
pub const SILENT_AFTER: Duration = Duration::from_millis(450);
/// Silent hosts of a failure domain of which nothing is heard, from which on all of it is
/// presumed silent: one may have stopped by itself.
pub const SILENT_TO_PRESUME: usize = 2;

/// Why a host is taken for silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Silence {
    /// It did not answer.
    Found,
    /// Others of its failure domain did not.
    Presumed,
}

#[derive(Clone, Copy, Debug)]
struct Signs {
    /// When something last came from it.
    heard: Instant,
    /// When the first call or ping was sent that nothing followed.
    asked: Option<Instant>,
    pinged: Instant,
    silence: Option<Silence>,
}

impl Signs {
    fn new(now: Instant) -> Signs {
        Signs { heard: now, asked: None, pinged: now, silence: None }
    }
}

/// What is to be done about a host that a call is under way to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Check {
    /// Nothing.
    Wait,
    /// Ping it.
    Ping,
    /// Take it for silent.
    Silent,
}

/// Signs of life by host.
#[derive(Clone, Debug, Default)]
pub struct Liveness {
    by_host: HashMap<HostKey, Signs>,
}

impl Liveness {
    /// Notes that a call was sent to a host.
    pub fn call_sent(&mut self, host: HostKey, now: Instant) {
        self.signs(host, now).asked.get_or_insert(now);
    }

    /// Forgets what was not answered, after this daemon stood still: the others
    /// were not silent, it was deaf.
    pub fn reset(&mut self, now: Instant) {
        for signs in self.by_host.values_mut() {
            signs.heard = now;
            signs.asked = None;
        }
    }

    /// Says what is to be done about a host that a call is under way to.
    pub fn check(&mut self, host: HostKey, now: Instant) -> Check {
        let signs = self.signs(host, now);
        let quiet = now.saturating_duration_since(signs.heard) >= PING_AFTER;
        let unanswered = signs.asked.map(|at| now.saturating_duration_since(at));
        if unanswered.is_some_and(|time| time >= SILENT_AFTER) {
            return Check::Silent;
        }
        if quiet && now.saturating_duration_since(signs.pinged) >= PING_EVERY {
            signs.pinged = now;
            signs.asked.get_or_insert(now);
            return Check::Ping;
        }
        Check::Wait
    }

    /// Notes that something came from a host; returns whether it was silent.
    pub fn received(&mut self, host: HostKey, now: Instant) -> bool {
        let signs = self.signs(host, now);
        signs.heard = now;
        signs.asked = None;
        signs.silence.take().is_some()
    }

    /// Notes that a host is silent; returns whether that is news.
    pub fn mark_silent(&mut self, host: HostKey, now: Instant) -> bool {
        let silence = &mut self.signs(host, now).silence;
        silence.replace(Silence::Found) != Some(Silence::Found)
    }

    /// Presumes the other hosts of a failure domain silent, where too many of them are
    /// and nothing is heard of the rest; returns those that were not silent before.
    pub fn presume_silent(&mut self, domain: &[HostKey], now: Instant) -> Vec<HostKey> {
        let known = domain.iter().filter_map(|host| self.by_host.get(host));
        let found = known.clone().filter(|signs| signs.silence == Some(Silence::Found));
        let is_heard = |signs: &Signs| now.saturating_duration_since(signs.heard) < SILENT_AFTER;
        if found.count() < SILENT_TO_PRESUME || known.clone().any(is_heard) {
            return Vec::new();
        }
        let mut presumed = Vec::new();
        for host in domain {
            // One that nothing was ever heard of may be reached as little as the others.
            let signs = self.by_host.entry(*host).or_insert_with(|| Signs::new(now));
            if signs.silence.is_none() {
                signs.silence = Some(Silence::Presumed);
                presumed.push(*host);
            }
        }
        presumed
    }

    /// Takes back what was presumed of hosts of a failure domain of which one was heard;
    /// returns them.
    pub fn clear_presumed(&mut self, domain: &[HostKey]) -> Vec<HostKey> {
        let mut back = Vec::new();
        for host in domain {
            let Some(signs) = self.by_host.get_mut(host) else { continue };
            if signs.silence == Some(Silence::Presumed) {
                signs.silence = None;
                back.push(*host);
            }
        }
        back
    }

    /// Returns the hosts that are taken for silent.
    pub fn silent_hosts(&self) -> Vec<HostKey> {
        let silent = self.by_host.iter().filter(|(_, signs)| signs.silence.is_some());
        silent.map(|(host, _)| *host).collect()
    }

    /// Returns whether anything is presumed.
    pub fn has_presumed(&self) -> bool {
        self.by_host.values().any(|signs| signs.silence == Some(Silence::Presumed))
    }

    fn signs(&mut self, host: HostKey, now: Instant) -> &mut Signs {
        self.by_host.entry(host).or_insert_with(|| Signs::new(now))
    }
}
