//! What this daemon spends on being one of many: bytes that go to other daemons and
//! come back, by purpose and by whether they leave the failure domain, and calls to
//! the store.
//!
//! `docs/CAPACITY.md` has the figures at several sizes. The counts go to the metrics
//! address and, now and then, into the log, so that they can be had of a run that is
//! over.

use super::Daemon;
use crate::store::StoreCall;
use serde_json::{Map, Value, json};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Time between two lines in the log: a handful for a run of a minute, and nothing
/// beside the lines about calls.
const TELL_EVERY: Duration = Duration::from_secs(10);

/// What bytes between daemons are for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Probes and their answers.
    Probe,
    /// Changes of membership.
    Membership,
    /// Words of those that follow the store.
    Heartbeat,
    /// Comparisons of tables.
    Table,
    /// Reports and grants of limits that the mesh keeps together.
    Limit,
    /// Versions of the configuration.
    Version,
    /// Everything that only the product's own interface sends.
    Control,
    /// Calls of callers and upstreams.
    Call,
    /// Answers to them.
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

/// Counts since the start.
#[derive(Default)]
pub struct Costs {
    near: [AtomicU64; PURPOSES.len()],
    far: [AtomicU64; PURPOSES.len()],
}

impl Costs {
    /// Adds bytes that this daemon sent, or was sent as an answer.
    pub fn add(&self, purpose: Purpose, far: bool, bytes: usize) {
        let counts = if far { &self.far } else { &self.near };
        counts[purpose as usize].fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns all bytes that were not calls and their answers.
    pub fn control_bytes(&self) -> u64 {
        let is_control = |purpose: &Purpose| !matches!(purpose, Purpose::Call | Purpose::Answer);
        let purposes = PURPOSES.iter().map(|(purpose, _)| *purpose).filter(is_control);
        purposes.map(|purpose| read(&self.near, purpose) + read(&self.far, purpose)).sum()
    }

    fn to_json(&self) -> Value {
        let sides = |purpose: Purpose| json!([read(&self.near, purpose), read(&self.far, purpose)]);
        PURPOSES.iter().map(|(p, name)| (name.to_string(), sides(*p))).collect::<Map<_, _>>().into()
    }
}

fn read(counts: &[AtomicU64], purpose: Purpose) -> u64 {
    counts[purpose as usize].load(Ordering::Relaxed)
}

/// Tells the counts until cancelled.
pub async fn run(d: Arc<Daemon>) {
    loop {
        smol::Timer::after(TELL_EVERY).await;
        tell(&d);
    }
}

/// Puts the counts into the metrics and the log.
pub fn tell(d: &Daemon) {
    for (purpose, name) in PURPOSES {
        d.metrics.gauge(&format!("mesh.bytes.{name}.near"), read(&d.costs.near, purpose));
        d.metrics.gauge(&format!("mesh.bytes.{name}.far"), read(&d.costs.far, purpose));
    }
    let mut calls = Map::new();
    for call in StoreCall::ALL {
        let count = d.platform.calls(call);
        d.metrics.gauge(&format!("store.calls.{}", call.name()), count);
        calls.insert(call.name().to_string(), count.into());
    }
    let bytes = d.costs.to_json();
    crate::logging::decision(&json!({"kind": "costs", "bytes": bytes, "store_calls": calls}));
}
