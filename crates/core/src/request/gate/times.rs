//! Mean service times by kind of call.

use super::KindKey;
use std::collections::HashMap;
use std::time::Duration;

/// Weight of a new observation in a mean service time.
const SMOOTHING: f64 = 0.1;
/// Mean service time assumed before the first observation.
const INITIAL_MEAN: Duration = Duration::from_millis(25);
/// Most kinds of calls with a mean of their own; further kinds use the mean of all calls.
const MAX_KINDS: usize = 64;

/// Mean service times, of all calls and by kind.
#[derive(Clone, Debug)]
pub struct ServiceTimes {
    pub mean: Duration,
    observed: bool,
    by_kind: HashMap<KindKey, Duration>,
}

impl ServiceTimes {
    /// Creates the state before the first observation.
    pub fn new() -> ServiceTimes {
        ServiceTimes { mean: INITIAL_MEAN, observed: false, by_kind: HashMap::new() }
    }

    /// Returns the mean service time of a kind, or of all calls if the kind has none.
    pub fn of(&self, kind: KindKey) -> Duration {
        self.by_kind.get(&kind).copied().unwrap_or(self.mean)
    }

    /// Updates the means with the service time of a call.
    pub fn observe(&mut self, kind: KindKey, took: Duration) {
        let weight = if self.observed { SMOOTHING } else { 1.0 };
        self.observed = true;
        self.mean = smoothed(self.mean, took, weight);
        let has_room = self.by_kind.len() < MAX_KINDS;
        match self.by_kind.get_mut(&kind) {
            Some(mean) => *mean = smoothed(*mean, took, SMOOTHING),
            None if has_room => {
                self.by_kind.insert(kind, took);
            }
            None => {}
        }
    }
}

fn smoothed(old: Duration, new: Duration, weight: f64) -> Duration {
    let (old, new) = (old.as_secs_f64(), new.as_secs_f64());
    Duration::from_secs_f64((old + weight * (new - old)).max(0.0))
}
