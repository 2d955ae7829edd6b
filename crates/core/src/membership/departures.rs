//! Departures: upstreams that are leaving, as every daemon remembers them.
//!
//! An upstream reports to the daemon on its host that it is leaving, and the daemon's
//! acknowledgement promises that it gets no new work. A host has no disk, so a daemon that
//! is restarted has lost the promises that it made. They are therefore held by the other
//! daemons, which choose a departed upstream no more, whatever its host reports, and return
//! them to a daemon that starts. `docs/DESIGN.md`, "What a restart must not forget", has the
//! reasons.
//!
//! # Limits
//!
//! A departure is dropped [`DEPARTURE_TTL`] after it was first recorded, and each host has
//! at most [`MAX_PER_HOST`], so that the memory taken is bounded by the number of hosts. If
//! all daemons that hold a departure end within seconds, it is lost; [`super::reports`]
//! then requires other evidence before it announces an upstream.

use crate::ids::{HostKey, IncarnationKey, incarnation_name};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time for which a departure is remembered. Upstreams end, and their delayed reports
/// arrive, within seconds of it.
pub const DEPARTURE_TTL: Duration = Duration::from_secs(120);
/// Departures remembered for one host, the oldest of which are dropped first. A host has one
/// upstream at a time.
pub const MAX_PER_HOST: usize = 16;

/// How long before it left an incarnation must have started to be recognized by that alone.
/// Clocks are set back and forth by seconds.
const CLOCK_MARGIN_MS: u64 = 5000;

/// One incarnation of an upstream that is leaving, as daemons tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Departure {
    /// The host of the upstream.
    pub host: HostKey,
    /// Id of the instance, the same for all its incarnations.
    pub instance: String,
    /// Start time of the incarnation in Unix milliseconds, or zero if it is unknown.
    pub start: u64,
    /// When it left, in Unix milliseconds by the clock of its host, or zero if that is unknown.
    /// Tells it from later incarnations if its start time is unknown.
    pub at_ms: u64,
    /// Milliseconds for which it is still to be remembered. It only decreases from daemon to
    /// daemon, so that daemons do not renew each other's memory for ever.
    pub left_ms: u32,
}

impl Departure {
    /// Creates a departure at `at_ms`, in Unix milliseconds, which is recorded now.
    pub fn new(host: HostKey, instance: &str, start: u64, at_ms: u64) -> Departure {
        let left_ms = DEPARTURE_TTL.as_millis() as u32;
        Departure { host, instance: instance.to_string(), start, at_ms, left_ms }
    }

    /// Returns the key of the departure.
    pub fn key(&self) -> (HostKey, IncarnationKey) {
        (self.host, IncarnationKey::of(&incarnation_name(&self.instance, self.start)))
    }
}

#[derive(Clone, Debug)]
struct Row {
    instance: String,
    start: u64,
    at_ms: u64,
    expires: Instant,
}

/// The departures that one daemon remembers.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    by_host: HashMap<HostKey, Vec<Row>>,
}

impl Departures {
    /// Records a departure; returns whether it adds to what is known here.
    pub fn record(&mut self, departure: &Departure, now: Instant) -> bool {
        let left = Duration::from_millis(u64::from(departure.left_ms)).min(DEPARTURE_TTL);
        if left.is_zero() {
            return false;
        }
        let rows = self.by_host.entry(departure.host).or_default();
        rows.retain(|row| row.expires > now);
        let is_unknown_start = departure.start == 0;
        let same = |row: &&mut Row| {
            row.instance == departure.instance && (row.start == departure.start || is_unknown_start)
        };
        if let Some(row) = rows.iter_mut().find(same) {
            let adds_time = row.at_ms == 0 && departure.at_ms != 0;
            if adds_time {
                row.at_ms = departure.at_ms;
            }
            return adds_time;
        }
        // The start time of the same departure has become known.
        rows.retain(|row| row.instance != departure.instance || row.start != 0);
        if rows.len() >= MAX_PER_HOST {
            rows.remove(0);
        }
        rows.push(Row {
            instance: departure.instance.clone(),
            start: departure.start,
            at_ms: departure.at_ms,
            expires: now + left,
        });
        true
    }

    /// Returns whether an incarnation of an instance is leaving or has left. An incarnation
    /// with an unknown start time, zero, may be any of those that did.
    pub fn contains(&self, host: HostKey, instance: &str, start: u64, now: Instant) -> bool {
        self.by_host.get(&host).is_some_and(|rows| {
            rows.iter()
                .filter(|row| row.instance == instance && row.expires > now)
                .any(|row| row.may_be_of(start))
        })
    }

    /// Returns the departures of a host.
    pub fn of_host(&self, host: HostKey, now: Instant) -> Vec<Departure> {
        let rows = self.by_host.get(&host).map(Vec::as_slice).unwrap_or_default();
        rows.iter().filter_map(|row| row.to_departure(host, now)).collect()
    }

    /// Returns the number of departures remembered.
    pub fn len(&self) -> usize {
        self.by_host.values().map(Vec::len).sum()
    }

    /// Returns whether no departure is remembered.
    pub fn is_empty(&self) -> bool {
        self.by_host.is_empty()
    }

    /// Drops what has expired.
    pub fn sweep(&mut self, now: Instant) {
        self.by_host.retain(|_, rows| {
            rows.retain(|row| row.expires > now);
            !rows.is_empty()
        });
    }
}

impl Row {
    /// Returns whether the departed incarnation may have this start time, zero if unknown.
    fn may_be_of(&self, start: u64) -> bool {
        match (self.start, start) {
            (_, 0) => true,
            (0, start) => start.saturating_add(CLOCK_MARGIN_MS) <= self.at_ms,
            (own, start) => own == start,
        }
    }

    fn to_departure(&self, host: HostKey, now: Instant) -> Option<Departure> {
        let left = self.expires.checked_duration_since(now)?;
        let left_ms = left.as_millis() as u32;
        (left_ms > 0).then(|| Departure {
            host,
            instance: self.instance.clone(),
            start: self.start,
            at_ms: self.at_ms,
            left_ms,
        })
    }
}
