//! In-band signals: what upstreams say of themselves in their answers.
//!
//! The exit daemon decodes them ([`Signals`]) and applies them ([`apply`]): a limit paces its
//! gate, and an upstream that leaves is drained as by a report. Entry daemons are told in
//! each answer and remember it ([`RememberedSignals`]), since the exit daemon may start again and
//! forget. docs/DESIGN.md, "What an upstream says in its answers", has the reasons.

use super::gates::local::LocalUpstream;
use super::request::headers;
use super::{Daemon, lock};
use cicadashift_core::ids::HostKey;
use cicadashift_core::request::gate::pace::{LimitChange, NamedLimit};
use cicadashift_http::hyper::header::HeaderMap;
use cicadashift_wire::call;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time after which what an upstream said is forgotten by an entry daemon that heard
/// nothing of it since. Upstreams that leave end within seconds.
const FORGET_AFTER: Duration = Duration::from_secs(120);
/// Separates an instance's id from its start in its name in the mesh.
const START_SEPARATOR: char = '@';

/// Signals of one answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Signals {
    limit: LimitSignal,
    leaves: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum LimitSignal {
    None,
    Named(NamedLimit),
    Unreadable,
}

impl Signals {
    /// Decodes an upstream's answer.
    pub fn of(d: &Daemon, head: &HeaderMap) -> Signals {
        let named: Vec<_> = head.get_all(&d.dialect.limit).iter().collect();
        let readable = named.iter().filter_map(|value| NamedLimit::parse(value.to_str().ok()?));
        let limit = match readable.min_by(|a, b| a.per_s().total_cmp(&b.per_s())) {
            Some(lowest) => LimitSignal::Named(lowest),
            None if named.is_empty() => LimitSignal::None,
            None => LimitSignal::Unreadable,
        };
        let leaves = head.get(&d.dialect.leaving).is_some_and(|value| value == "1");
        Signals { limit, leaves }
    }
}

/// Takes in what an answer of an upstream on this host says; `sent` is when its call was.
pub fn apply(d: &Daemon, local: &Arc<LocalUpstream>, signals: Signals, sent: Instant) {
    if signals.leaves && !local.signalled_leaving() {
        d.metrics.incr("upstream.leaving_signalled");
        log::info!("upstream {} leaves, as its answers say", local.instance);
        d.gates.drain(d, local);
    }
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

/// What upstreams said in answers that passed here, by host and instance.
#[derive(Default)]
pub struct RememberedSignals {
    rows: Mutex<HashMap<(HostKey, String), Row>>,
}

#[derive(Clone, Debug)]
struct Row {
    /// The start that said it; `None` where its daemon did not know.
    start: Option<u64>,
    limit: Option<NamedLimit>,
    leaves: bool,
    at: Instant,
}

impl RememberedSignals {
    /// Takes in what the exit daemon tells of an upstream beside an answer; returns
    /// whether it is news that the upstream leaves.
    pub fn record(&self, host: HostKey, name: &str, head: &HeaderMap, now: Instant) -> bool {
        let limit = headers::number(head, call::LIMIT_THOUSANDTHS);
        let limit = limit.map(|number| NamedLimit::from_thousandths(number as u32));
        let leaving = headers::number(head, call::LEAVING_START);
        let leaves = leaving.is_some();
        let (instance, start) = split(name);
        let start = start.or(leaving.filter(|start| *start != 0));
        let mut rows = lock(&self.rows);
        let key = (host, instance.to_string());
        if limit.is_none() && !leaves && !rows.contains_key(&key) {
            return false;
        }
        rows.retain(|_, row| now.saturating_duration_since(row.at) < FORGET_AFTER);
        let left = rows.get(&key).is_some_and(|row| row.leaves && row.is_start(start));
        let leaves = leaves || left;
        if limit.is_none() && !leaves {
            rows.remove(&key);
            return false;
        }
        rows.insert(key, Row { start, limit, leaves, at: now });
        leaves && !left
    }

    /// Returns whether an upstream said that it leaves.
    ///
    /// Failure: the daemon beside an upstream starts again and the upstream reports itself
    /// as ready. Symptom: it gets new calls from daemons that have passed on its signal.
    pub fn has_left(&self, host: HostKey, name: &str) -> bool {
        self.row(host, name).is_some_and(|row| row.leaves)
    }

    /// Returns the limit that an upstream last named.
    pub fn limit(&self, host: HostKey, name: &str) -> Option<NamedLimit> {
        self.row(host, name)?.limit
    }

    fn row(&self, host: HostKey, name: &str) -> Option<Row> {
        let (instance, start) = split(name);
        let rows = lock(&self.rows);
        if rows.is_empty() {
            return None;
        }
        let row = rows.get(&(host, instance.to_string()))?;
        row.is_start(start).then(|| row.clone())
    }
}

impl Row {
    /// Returns whether it may be of a start.
    fn is_start(&self, start: Option<u64>) -> bool {
        match (self.start, start) {
            (Some(own), Some(start)) => own == start,
            _ => true,
        }
    }
}

/// Returns an instance's id and its start, if its daemon knows it.
fn split(name: &str) -> (&str, Option<u64>) {
    match name.split_once(START_SEPARATOR) {
        Some((instance, start)) => (instance, start.parse().ok()),
        None => (name, None),
    }
}
