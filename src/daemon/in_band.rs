//! In-band signals: limits, leaving and load that upstreams name in their answers.
//!
//! The exit daemon decodes the signals ([`Signals`]) and applies them ([`apply`]): a limit
//! paces the upstream's gate, an upstream that is leaving is drained as if it had reported
//! so, and the gate takes the pace of the upstream's machine into account. The exit daemon
//! also adds the signals to each answer that it returns, and entry daemons remember them,
//! since the exit daemon loses them when it restarts: limits in [`RememberedLimits`], and
//! that an upstream is leaving in [`departures`], beside the leavings that it reports.
//! docs/DESIGN.md, "What an upstream says in its answers", has the reasons.

use super::gates::local::LocalUpstream;
use super::request::headers;
use super::{Daemon, departures, lock};
use cicadashift_core::ids::{HostKey, split_incarnation_name};
use cicadashift_core::membership::departures::Departure;
use cicadashift_core::request::gate::pace::{LimitChange, NamedLimit};
use cicadashift_core::request::machine::{MachinePace, UpstreamLoad};
use cicadashift_http::hyper::header::HeaderMap;
use cicadashift_wire::call;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time without an answer from an upstream after which an entry daemon forgets its limit.
const FORGET_AFTER: Duration = Duration::from_secs(120);

/// Signals of one answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Signals {
    limit: LimitSignal,
    is_leaving: bool,
    load: LoadSignal,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum LoadSignal {
    None,
    Reported(UpstreamLoad),
    Unreadable,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum LimitSignal {
    None,
    Named(NamedLimit),
    Unreadable,
}

impl Signals {
    /// Decodes the signals in the headers of an upstream's answer. Of several readable
    /// limits the lowest one counts.
    pub fn of(d: &Daemon, head: &HeaderMap) -> Signals {
        let values: Vec<_> = head.get_all(&d.dialect.limit).iter().collect();
        let readable = values.iter().filter_map(|value| NamedLimit::parse(value.to_str().ok()?));
        let limit = match readable.min_by(|a, b| a.per_s().total_cmp(&b.per_s())) {
            Some(lowest) => LimitSignal::Named(lowest),
            None if values.is_empty() => LimitSignal::None,
            None => LimitSignal::Unreadable,
        };
        let is_leaving = head.get(&d.dialect.leaving).is_some_and(|value| value == "1");
        let load = match d.dialect.load.as_ref().and_then(|name| head.get(name)) {
            None => LoadSignal::None,
            Some(value) => value
                .to_str()
                .ok()
                .and_then(UpstreamLoad::parse)
                .map_or(LoadSignal::Unreadable, LoadSignal::Reported),
        };
        Signals { limit, is_leaving, load }
    }

    /// Returns the load report, if there is one that can be read.
    pub fn load(&self) -> Option<UpstreamLoad> {
        match self.load {
            LoadSignal::Reported(load) => Some(load),
            LoadSignal::None | LoadSignal::Unreadable => None,
        }
    }
}

/// Applies the signals in an answer of an upstream on this host; `sent` is when the call
/// was sent.
pub fn apply(d: &Daemon, local: &Arc<LocalUpstream>, signals: Signals, sent: Instant) {
    if signals.is_leaving && !local.signalled_leaving() {
        d.metrics.incr("upstream.leaving_signalled");
        log::info!("upstream {} leaves, as its answers say", local.instance);
        d.gates.drain(d, local);
        let (start, at_ms) = (local.start(), d.clock.wall_ms());
        departures::merge(d, &[Departure::new(d.me, &local.instance, start, at_ms)]);
    }
    apply_load(d, local, signals.load);
    let limit = match signals.limit {
        LimitSignal::None => None,
        LimitSignal::Named(limit) => Some(limit),
        LimitSignal::Unreadable => {
            d.metrics.incr("upstream.limit_unreadable");
            log::debug!("upstream {} names a limit that is no number", local.instance);
            return;
        }
    };
    match local.observe_limit(limit, sent, d.clock.now()) {
        Some(LimitChange::Named(limit)) => {
            d.metrics.incr("upstream.limit_named");
            log::info!("upstream {} names a limit of {} calls/s", local.instance, limit.per_s());
        }
        Some(LimitChange::Lifted) => {
            log::info!("upstream {} names no limit any more", local.instance);
        }
        None => {}
    }
}

fn apply_load(d: &Daemon, local: &LocalUpstream, load: LoadSignal) {
    match load {
        LoadSignal::Reported(load) => {
            local.set_reports_pace(load.pace.is_some());
            let pace = load.pace.filter(|_| d.settings.load.pace);
            if let Some(per_cent) = pace {
                local.observe_machine(MachinePace::new(per_cent, d.clock.now()));
            }
        }
        LoadSignal::Unreadable => {
            d.metrics.incr("upstream.load_unreadable");
            log::debug!("upstream {} sends a load report that cannot be read", local.instance);
        }
        LoadSignal::None => {}
    }
}

/// Returns the departure that the exit daemon on `host` adds to an answer of the upstream
/// `name`, if the upstream signalled that it is leaving.
pub fn departure(host: HostKey, name: &str, head: &HeaderMap) -> Option<Departure> {
    let reported = headers::number(head, call::LEAVING_START)?;
    let (instance, start) = split_incarnation_name(name);
    // Only the clock of the upstream's host could tell when it left.
    let at_ms = 0;
    Some(Departure::new(host, instance, start.unwrap_or(reported), at_ms))
}

/// Limits that upstreams named in the answers that this entry daemon received, by host and
/// instance.
#[derive(Default)]
pub struct RememberedLimits {
    rows: Mutex<HashMap<(HostKey, String), Row>>,
}

#[derive(Clone, Debug)]
struct Row {
    /// Start time of the incarnation that named the limit; `None` if its daemon did not
    /// know it.
    start: Option<u64>,
    limit: NamedLimit,
    received: Instant,
}

impl RememberedLimits {
    /// Records the limit that the exit daemon added to an answer, or that it added none.
    pub fn record(&self, host: HostKey, name: &str, head: &HeaderMap, now: Instant) {
        let limit = headers::number(head, call::LIMIT_THOUSANDTHS);
        let limit = limit.map(|number| NamedLimit::from_thousandths(number as u32));
        let (instance, start) = split_incarnation_name(name);
        let mut rows = lock(&self.rows);
        let key = (host, instance.to_string());
        if limit.is_none() && !rows.contains_key(&key) {
            return;
        }
        rows.retain(|_, row| now.saturating_duration_since(row.received) < FORGET_AFTER);
        match limit {
            Some(limit) => {
                rows.insert(key, Row { start, limit, received: now });
            }
            None => {
                rows.remove(&key);
            }
        }
    }

    /// Returns the limit that an upstream named last, if any.
    pub fn limit(&self, host: HostKey, name: &str) -> Option<NamedLimit> {
        let (instance, start) = split_incarnation_name(name);
        let rows = lock(&self.rows);
        if rows.is_empty() {
            return None;
        }
        let row = rows.get(&(host, instance.to_string()))?;
        row.matches_start(start).then_some(row.limit)
    }
}

impl Row {
    /// Returns whether the row may belong to the incarnation with this start time; an
    /// unknown start time matches any.
    fn matches_start(&self, start: Option<u64>) -> bool {
        match (self.start, start) {
            (Some(own), Some(start)) => own == start,
            _ => true,
        }
    }
}
