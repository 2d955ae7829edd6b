//! Counters of this daemon's traffic in the mesh: bytes exchanged with other daemons, by
//! purpose and by whether they leave the failure domain, and calls to the store.
//!
//! `docs/CAPACITY.md` has the figures at several sizes. The counters are exported as metrics
//! and logged at intervals, so that they are also available after a run has ended.

use super::Daemon;
use crate::store::StoreCall;
use cicadashift_http::reactor::Timer;
use serde_json::{Map, Value, json};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Interval between two log lines: a handful in a run of a minute, and negligible beside
/// the lines about calls.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(10);

/// Purpose of bytes that are exchanged between daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Probes and their answers.
    Probe,
    /// Membership updates, and suspicions of calls.
    Membership,
    /// Heartbeats of daemons that follow the store.
    Heartbeat,
    /// Comparison and exchange of membership tables.
    Table,
    /// Usage reports, grants and notices of the mesh's limits.
    Limit,
    /// Versions of the configuration.
    Version,
    /// All other control requests, most of which exist only with the project's own
    /// interface, and objects read from the store.
    Control,
    /// Forwarded calls.
    Call,
    /// Answers to forwarded calls.
    Answer,
}

const PURPOSES: [(Purpose, &str); 9] = [
    (Purpose::Probe, "probe"),
    (Purpose::Membership, "news"),
    (Purpose::Heartbeat, "heartbeat"),
    (Purpose::Table, "table"),
    (Purpose::Limit, "limit"),
    (Purpose::Version, "version"),
    (Purpose::Control, "control"),
    (Purpose::Call, "call"),
    (Purpose::Answer, "answer"),
];

/// Byte counters since the daemon's start, for the own failure domain and for others.
#[derive(Default)]
pub struct Costs {
    near: [AtomicU64; PURPOSES.len()],
    far: [AtomicU64; PURPOSES.len()],
}

impl Costs {
    /// Adds bytes that this daemon sent, or received as an answer.
    pub fn add(&self, purpose: Purpose, is_far: bool, bytes: usize) {
        let counts = if is_far { &self.far } else { &self.near };
        counts[purpose as usize].fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the bytes of everything but calls and their answers.
    pub fn control_bytes(&self) -> u64 {
        let is_control = |purpose: &Purpose| !matches!(purpose, Purpose::Call | Purpose::Answer);
        let purposes = PURPOSES.iter().map(|(purpose, _)| *purpose).filter(is_control);
        purposes.map(|purpose| read(&self.near, purpose) + read(&self.far, purpose)).sum()
    }

    fn to_json(&self) -> Value {
        let near_and_far =
            |purpose: Purpose| json!([read(&self.near, purpose), read(&self.far, purpose)]);
        PURPOSES
            .iter()
            .map(|(p, name)| (name.to_string(), near_and_far(*p)))
            .collect::<Map<_, _>>()
            .into()
    }
}

fn read(counts: &[AtomicU64], purpose: Purpose) -> u64 {
    counts[purpose as usize].load(Ordering::Relaxed)
}

/// Publishes the counters until cancelled.
pub async fn run(d: Arc<Daemon>) {
    loop {
        Timer::after(PUBLISH_INTERVAL).await;
        publish(&d);
    }
}

/// Exports the counters as metrics and logs them.
pub fn publish(d: &Daemon) {
    for (purpose, name) in PURPOSES {
        d.metrics.gauge(&format!("mesh.bytes.{name}.near"), read(&d.costs.near, purpose));
        d.metrics.gauge(&format!("mesh.bytes.{name}.far"), read(&d.costs.far, purpose));
    }
    let mut calls = Map::new();
    for call in StoreCall::ALL {
        let count = d.store.calls(call);
        d.metrics.gauge(&format!("store.calls.{}", call.name()), count);
        calls.insert(call.name().to_string(), count.into());
    }
    let bytes = d.costs.to_json();
    crate::logging::decision(&json!({"kind": "costs", "bytes": bytes, "store_calls": calls}));
}
