//! Settings that can change while the daemon runs.

use super::{Daemon, lock};
use crate::settings::{Retries, Settings};
use smol::channel::Receiver;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Values of the settings that can change while the daemon runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Values {
    /// Retry budget of all daemons together.
    pub retries: Retries,
    /// Time that a planned stop leaves peers to stop sending calls.
    pub leave: Duration,
    /// Time that a planned stop leaves calls in flight to end.
    pub finish: Duration,
}

impl Values {
    fn of(settings: &Settings) -> Values {
        Values {
            retries: settings.retries,
            leave: settings.limits.leave_timeout(),
            finish: settings.limits.finish_timeout(),
        }
    }
}

/// The values in force, shared by all tasks of the daemon.
pub struct Tunable {
    values: Mutex<Values>,
}

impl Tunable {
    /// Starts with the values of the settings.
    pub fn new(settings: &Settings) -> Tunable {
        Tunable { values: Mutex::new(Values::of(settings)) }
    }

    /// Returns the values in force.
    pub fn get(&self) -> Values {
        *lock(&self.values)
    }
}

/// Applies changed settings until cancelled. Calls in flight are not affected.
pub async fn run(d: Arc<Daemon>, changes: Receiver<Settings>) {
    while let Ok(settings) = changes.recv().await {
        *lock(&d.tunable.values) = Values::of(&settings);
        d.metrics.incr("settings.changed");
        for field in fields_needing_restart(&d.settings, &settings) {
            log::warn!("settings: `{field}` changed; it takes effect at the next start");
        }
    }
    std::future::pending::<()>().await;
}

/// Returns the names of the fields that differ but are only read at the start.
fn fields_needing_restart(old: &Settings, new: &Settings) -> Vec<&'static str> {
    let fields = [
        ("host", old.host != new.host),
        ("failure_domain", old.failure_domain != new.failure_domain),
        ("services", old.services != new.services),
        ("labels", old.labels != new.labels),
        ("callers", old.callers != new.callers),
        ("upstreams", old.upstreams != new.upstreams),
        ("mesh", old.mesh != new.mesh),
        ("ready", old.ready != new.ready),
        ("platform", old.platform != new.platform),
        ("mesh_key", old.mesh_key != new.mesh_key),
        ("threads", old.threads != new.threads),
    ];
    fields.iter().filter(|(_, differs)| *differs).map(|(field, _)| *field).collect()
}
