//! Names of the platform's keys.

use cicadashift_core::ids::{CallDigest, ObjectHash};

/// The one key that compare-and-swap orders versions by.
pub const HEAD: &str = "cicadashift/head";
/// Prefix of immutable objects.
pub const OBJECTS: &str = "cicadashift/object/";
/// Prefix of reader leases, by failure domain.
pub const READERS: &str = "cicadashift/reader/";
/// Prefix of rosters, by failure domain.
pub const ROSTERS: &str = "cicadashift/roster/";
/// Prefix of the delivery record, by quarter.
pub const RECORDS: &str = "cicadashift/record/";

/// Returns the key of an object.
pub fn object(hash: ObjectHash) -> String {
    format!("{OBJECTS}{hash}")
}

/// Returns the key of a failure domain's reader lease.
pub fn reader(domain: &str) -> String {
    format!("{READERS}{domain}")
}

/// Returns the key of a failure domain's roster.
pub fn roster(domain: &str) -> String {
    format!("{ROSTERS}{domain}")
}

/// Prefix of the entries by which daemons find each other.
pub const DAEMONS: &str = "cicadashift/daemon/";

/// Returns the key of a daemon's entry.
pub fn daemon(host: &str) -> String {
    format!("{DAEMONS}{host}")
}

/// Prefix of the calls that are sent to no upstream, under leases.
pub const QUARANTINE: &str = "cicadashift/quarantine/";

/// Returns the key of a quarantined call.
pub fn quarantine(call: CallDigest) -> String {
    format!("{QUARANTINE}{call}")
}

/// Prefix of what was decided on rollouts, by service.
pub const ROLLOUTS: &str = "cicadashift/rollout/";

/// Returns the key of what was decided on a service's rollout.
pub fn rollout(service: &str) -> String {
    format!("{ROLLOUTS}{service}")
}

/// Returns the key that the one daemon holds, under a lease, that decides on a service's
/// rollout.
pub fn decider(service: &str) -> String {
    format!("cicadashift/decider/{service}")
}

/// The key that the one daemon holds, under a lease, that tries a quarantined call.
pub const TRIAL: &str = "cicadashift/trial";
