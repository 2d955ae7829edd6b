//! Which daemons a keeper does not reach at the moment.
//!
//! A daemon without calls sends no usage reports, so that its keeper cannot tell by them whether
//! it was cut off. Where the demand for a limit is high, the keeper therefore asks the daemons
//! of which it has heard nothing lately whether it is their keeper. What those that do not
//! answer may spend without a keeper ([`super::share`]) is not granted to others
//! ([`super::keeper`]).
//!
//! In large meshes a few daemons of each failure domain are asked. A domain in which none of
//! them answers is cut off as a whole.

use super::ANSWER_TIME;
use crate::ids::HostKey;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Time after a report or an answer in which a daemon is not asked: a report interval with its
/// jitter.
const CONFIRMED_FOR: Duration = Duration::from_millis(300);
/// Daemons of a failure domain that are asked at once.
const ASKED_PER_DOMAIN: usize = 8;

/// What a keeper knows of the daemons that it may reach.
#[derive(Clone, Debug, Default)]
pub struct Contacts {
    by_host: BTreeMap<HostKey, Contact>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    /// When the daemon last reported to this keeper, or answered it.
    confirmed: Option<Instant>,
    /// When it was first asked without an answer since.
    asked: Option<Instant>,
}

impl Contact {
    fn is_confirmed(&self, now: Instant) -> bool {
        self.confirmed.is_some_and(|at| now.saturating_duration_since(at) < CONFIRMED_FOR)
    }

    fn is_lost(&self, now: Instant) -> bool {
        self.asked.is_some_and(|at| now.saturating_duration_since(at) >= ANSWER_TIME)
    }
}

impl Contacts {
    /// Records that a daemon has this one as its keeper: it reported usage, or said so.
    pub fn confirm(&mut self, host: HostKey, now: Instant) {
        self.by_host.insert(host, Contact { confirmed: Some(now), asked: None });
    }

    /// Returns the daemons to ask now. `domains` has the live members of each failure domain,
    /// without this daemon.
    pub fn ask(&mut self, domains: &[Vec<HostKey>], now: Instant) -> Vec<HostKey> {
        self.ask_since(domains, now, now)
    }

    /// Takes the daemons of which nothing was heard lately for lost until they answer.
    ///
    /// Failure: a keeper takes a limit over since the one before is suspected. Symptom: it grants
    /// the whole limit until it has asked the others.
    pub fn doubt(&mut self, domains: &[Vec<HostKey>], now: Instant) {
        let long_ago = now.checked_sub(ANSWER_TIME).unwrap_or(now);
        self.ask_since(domains, now, long_ago);
    }

    fn ask_since(
        &mut self,
        domains: &[Vec<HostKey>],
        now: Instant,
        since: Instant,
    ) -> Vec<HostKey> {
        let members: BTreeSet<HostKey> = domains.iter().flatten().copied().collect();
        self.by_host.retain(|host, _| members.contains(host));
        let mut asked = Vec::new();
        for domain in domains {
            asked.extend(self.unconfirmed(domain, now).take(ASKED_PER_DOMAIN));
        }
        for host in &asked {
            self.by_host.entry(*host).or_default().asked.get_or_insert(since);
        }
        asked
    }

    /// Returns the members of a domain that were not heard of lately, in an order that stays.
    fn unconfirmed<'a>(
        &'a self,
        domain: &'a [HostKey],
        now: Instant,
    ) -> impl Iterator<Item = HostKey> + 'a {
        let is_confirmed =
            move |host: &HostKey| self.by_host.get(host).is_some_and(|c| c.is_confirmed(now));
        domain.iter().copied().filter(move |host| !is_confirmed(host))
    }

    /// Returns the daemons that do not answer, and all others of a failure domain in which
    /// nobody does.
    pub fn unreached(&self, domains: &[Vec<HostKey>], now: Instant) -> Vec<HostKey> {
        let is_lost = |host: &HostKey| self.by_host.get(host).is_some_and(|c| c.is_lost(now));
        let mut unreached = Vec::new();
        for domain in domains {
            let lost: Vec<HostKey> = domain.iter().copied().filter(is_lost).collect();
            let is_whole = !lost.is_empty() && lost.len() >= domain.len().min(ASKED_PER_DOMAIN);
            match is_whole {
                true => unreached.extend(self.unconfirmed(domain, now)),
                false => unreached.extend(lost),
            }
        }
        unreached
    }

    /// Forgets who was asked, where all answer and no further answer is needed.
    pub fn pause(&mut self) {
        self.by_host.values_mut().for_each(|contact| contact.asked = None);
    }
}
