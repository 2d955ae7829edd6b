//! What a question for a free slot costs.

use super::cost::HOP_MS;
use std::time::{Duration, Instant};

/// Weight of a new question in the mean.
const SMOOTHING: f64 = 0.1;
/// Ways to another host and back from which a question is slow: what is beyond the way
/// itself is time for which messages wait for the processor of a daemon.
const SLOW_HOPS: f64 = 2.0;
/// Time in which half of the mean is forgotten where nothing is asked, so that it is found
/// out when daemons have time again.
const FORGET: Duration = Duration::from_secs(1);

/// How long questions in vain take, lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct Questions {
    mean_ms: f64,
    at: Option<Instant>,
}

impl Questions {
    /// Takes in a question that found no free slot.
    pub fn observe(&mut self, took: Duration, now: Instant) {
        let mean = self.mean_ms(now);
        self.mean_ms = mean + SMOOTHING * (took.as_secs_f64() * 1e3 - mean);
        self.at = Some(now);
    }

    /// Returns whether they take much longer than the way.
    pub fn are_slow(&self, now: Instant) -> bool {
        self.mean_ms(now) >= HOP_MS * SLOW_HOPS
    }

    fn mean_ms(&self, now: Instant) -> f64 {
        let idle = self.at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.mean_ms * 0.5_f64.powf(idle.as_secs_f64() / FORGET.as_secs_f64())
    }
}
