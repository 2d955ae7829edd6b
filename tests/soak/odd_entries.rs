//! Entries of another writer in the store: very deeply nested, with numbers that are too large or
//! ports out of range, or no entries at all.

use crate::Random;
use cicadashift_testkit::hosted::fleet::HostedFleet;

/// Prefixes of keys that daemons read.
const PREFIXES: [&str; 4] =
    ["cicadashift/daemon/", "cicadashift/rollout/", "cicadashift/quarantine/", "op/rollout/"];
/// Keys under each prefix; further entries replace earlier ones.
const KEYS: u64 = 8;
const DEPTH: usize = 20_000;

/// Writes one entry after the other. Has a generator of its own, so that the faults of a seed do
/// not depend on it.
pub struct OddEntries {
    random: Random,
}

impl OddEntries {
    pub fn new(seed: u64) -> OddEntries {
        OddEntries { random: Random(!seed) }
    }

    /// Writes an odd entry.
    pub fn write(&mut self, fleet: &HostedFleet) {
        let prefix = PREFIXES[self.random.below(PREFIXES.len() as u64) as usize];
        let key = format!("{prefix}odd-{}", self.random.below(KEYS));
        match self.random.below(6) {
            0 => fleet.store.put_text(&key, "no base64"),
            1 => fleet
                .store
                .put(&key, format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH)).as_bytes()),
            2 => fleet.store.put(&key, &vec![0x91; DEPTH]),
            3 => fleet.store.put(&key, br#"{"mesh":"127.0.0.1:70000","domain":"a"}"#),
            4 => fleet.store.put(&key, br#"{"mesh":1e999,"DurationS":18446744073709551616}"#),
            _ => fleet.store.put(&key, &[]),
        }
    }
}
