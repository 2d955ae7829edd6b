//! At which service's hosts the calls of each kind enter, as an exit daemon sees it.

use super::window::FadingCount;
use super::{MAX_KINDS, ServiceKey};
use crate::request::gate::KindKey;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time in which all calls of a kind must have entered at hosts of one service.
const WINDOW: Duration = Duration::from_secs(10);
/// Calls of a kind, with those of [`WINDOW`] ago at a weight of 1/e, from which on something
/// is concluded. If a third of the hosts with callers are of one service, thirty calls of
/// ordinary callers enter at these alone once in 10^14 times.
const MIN_CALLS: f64 = 30.0;
/// Services whose hosts are remembered to have callers; two are enough to conclude.
const MAX_SERVICES: usize = 8;

/// At which service's hosts the calls of each kind enter.
#[derive(Clone, Debug, Default)]
pub struct Origins {
    by_kind: HashMap<KindKey, Origin>,
    /// When a call last entered at a host of each service.
    services: HashMap<ServiceKey, Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Origin {
    service: ServiceKey,
    calls: FadingCount,
    last: Instant,
    /// When a call last entered elsewhere than the one before it.
    mixed_at: Option<Instant>,
}

impl Origins {
    /// Records that a call entered at a host of a service.
    pub fn record_entry(&mut self, service: ServiceKey, now: Instant) {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < WINDOW;
        if self.services.len() >= MAX_SERVICES && !self.services.contains_key(&service) {
            self.services.retain(|_, at| is_recent(at));
        }
        if self.services.len() < MAX_SERVICES || self.services.contains_key(&service) {
            self.services.insert(service, now);
        }
    }

    /// Records a call of a kind that entered at a host of a service.
    pub fn record(&mut self, kind: KindKey, service: ServiceKey, now: Instant) {
        self.record_entry(service, now);
        if self.by_kind.len() >= MAX_KINDS && !self.by_kind.contains_key(&kind) {
            self.by_kind.retain(|_, row| now.saturating_duration_since(row.last) < WINDOW);
        }
        if self.by_kind.len() >= MAX_KINDS && !self.by_kind.contains_key(&kind) {
            return;
        }
        let fresh = Origin { service, calls: FadingCount::default(), last: now, mixed_at: None };
        let row = self.by_kind.entry(kind).or_insert(fresh);
        if row.service != service {
            *row = Origin { mixed_at: Some(now), ..fresh };
        }
        row.calls.add(1.0, WINDOW, now);
        row.last = now;
    }

    /// Returns the service whose nested calls a kind is taken for, if any; `own` is the
    /// service of this host.
    pub fn nested_of(&self, kind: KindKey, own: ServiceKey, now: Instant) -> Option<ServiceKey> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < WINDOW;
        let row = self.by_kind.get(&kind)?;
        let is_of_one = row.mixed_at.is_none_or(|at| !is_recent(at));
        let has_enough = row.calls.get(WINDOW, now) >= MIN_CALLS;
        // Where callers enter at hosts of one service only, so do all kinds of calls.
        let others_have_callers =
            self.services.iter().any(|(service, at)| *service != row.service && is_recent(*at));
        let is_nested = is_of_one && has_enough && others_have_callers && row.service != own;
        is_nested.then_some(row.service)
    }
}
