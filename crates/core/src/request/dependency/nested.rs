//! Which kinds of calls are nested calls of this host's upstream, as exit daemons say.

use super::MAX_KINDS;
use crate::request::gate::KindKey;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How long a kind is taken for nested after an exit daemon last said so.
const MAX_AGE: Duration = Duration::from_secs(10);

/// Kinds of calls that the upstream on this host makes for other calls.
#[derive(Clone, Debug, Default)]
pub struct NestedKinds {
    told_at: HashMap<KindKey, Instant>,
}

impl NestedKinds {
    /// Records that an exit daemon takes a kind for nested.
    pub fn record(&mut self, kind: KindKey, now: Instant) {
        if self.told_at.len() >= MAX_KINDS && !self.told_at.contains_key(&kind) {
            self.told_at.retain(|_, at| now.saturating_duration_since(*at) < MAX_AGE);
        }
        if self.told_at.len() < MAX_KINDS || self.told_at.contains_key(&kind) {
            self.told_at.insert(kind, now);
        }
    }

    /// Returns whether a kind is taken for nested.
    pub fn contains(&self, kind: KindKey, now: Instant) -> bool {
        let told_at = self.told_at.get(&kind);
        told_at.is_some_and(|at| now.saturating_duration_since(*at) < MAX_AGE)
    }
}
