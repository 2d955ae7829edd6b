//! Keys in the store.

use cicadashift_core::ids::{CallDigest, ObjectHash};

/// The key of the newest version; versions are ordered by compare-and-swap on it.
pub const HEAD: &str = "cicadashift/head";
/// Prefix of immutable objects, by hash.
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

/// Prefix of the entries through which daemons discover each other, by host.
pub const DAEMONS: &str = "cicadashift/daemon/";

/// Returns the key of a daemon's entry.
pub fn daemon(host: &str) -> String {
    format!("{DAEMONS}{host}")
}

/// Prefix of quarantined calls, which are sent to no upstream; each entry is under a lease.
pub const QUARANTINE: &str = "cicadashift/quarantine/";

/// Returns the key of a quarantined call.
pub fn quarantine(call: CallDigest) -> String {
    format!("{QUARANTINE}{call}")
}

/// Prefix of rollout decisions, by service.
pub const ROLLOUTS: &str = "cicadashift/rollout/";

/// Returns the key of the decision on a service's rollout.
pub fn rollout(service: &str) -> String {
    format!("{ROLLOUTS}{service}")
}

/// Returns the key of the lock on a service's rollout: the daemon that decides on the
/// rollout holds it under a lease.
pub fn decider(service: &str) -> String {
    format!("cicadashift/decider/{service}")
}

/// The key of the lock on trials: the daemon that tries a quarantined call holds it under a
/// lease.
pub const TRIAL: &str = "cicadashift/trial";
