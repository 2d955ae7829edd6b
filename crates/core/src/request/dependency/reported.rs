//! The levels of the hosts of other services, as an entry daemon learns them.

use super::window::FadingCount;
use super::{Level, MAX_KINDS, ServiceKey, falls_into, retry_after};
use crate::request::gate::KindKey;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time over which the reported levels are averaged.
const WINDOW: Duration = Duration::from_millis(500);
/// Age of the last report from which on no level is known.
const MAX_AGE: Duration = Duration::from_secs(1);

/// Decision of the entry daemon about a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryDecision {
    /// No level is known; the exit daemon decides.
    Unknown,
    /// Admitted by the level; the exit daemon does not decide again.
    Admit,
    /// Refuse the call as not run.
    Refuse {
        /// When the caller may come back.
        retry_after: Duration,
    },
}

/// The mean level of each kind of call by service, over the hosts that answered lately.
#[derive(Clone, Debug, Default)]
pub struct ReportedLevels {
    rows: HashMap<(ServiceKey, KindKey), Row>,
}

#[derive(Clone, Copy, Debug)]
struct Row {
    /// Sum of the reported levels and number of reports.
    sum: FadingCount,
    reports: FadingCount,
    last: Instant,
}

impl Row {
    fn mean(&self, now: Instant) -> Option<f64> {
        let is_fresh = now.saturating_duration_since(self.last) < MAX_AGE;
        let reports = self.reports.get(WINDOW, now);
        (is_fresh && reports > 0.0).then(|| self.sum.get(WINDOW, now) / reports)
    }
}

impl ReportedLevels {
    /// Records the level that a host reports with an answer or refusal. A host that reports
    /// none admits all.
    pub fn record(
        &mut self,
        service: ServiceKey,
        kind: KindKey,
        level: Option<Level>,
        now: Instant,
    ) {
        let key = (service, kind);
        let is_new = !self.rows.contains_key(&key);
        if is_new && level.is_none() {
            return;
        }
        if is_new && self.rows.len() >= MAX_KINDS {
            self.rows.retain(|_, row| row.mean(now).is_some());
        }
        if is_new && self.rows.len() >= MAX_KINDS {
            return;
        }
        let count = FadingCount::default();
        let row = self.rows.entry(key).or_insert(Row { sum: count, reports: count, last: now });
        let share = f64::from(level.unwrap_or(Level::ALL).thousandths()) / 1e3;
        row.sum.add(share, WINDOW, now);
        row.reports.add(1.0, WINDOW, now);
        row.last = now;
    }

    /// Decides about a call that is not sent yet.
    pub fn admit(
        &self,
        service: ServiceKey,
        kind: KindKey,
        now: Instant,
        random: u64,
    ) -> EntryDecision {
        let Some(row) = self.rows.get(&(service, kind)) else { return EntryDecision::Unknown };
        match row.mean(now).map(Level::of_share) {
            None | Some(Level::ALL) => EntryDecision::Unknown,
            Some(level) if falls_into(f64::from(level.thousandths()) / 1e3, random) => {
                EntryDecision::Admit
            }
            Some(_) => EntryDecision::Refuse { retry_after: retry_after(random) },
        }
    }
}
