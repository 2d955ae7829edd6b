//! Counts that fade with time.

use std::time::{Duration, Instant};

/// A count in which an event weighs less the longer ago it was.
#[derive(Clone, Copy, Debug, Default)]
pub struct FadingCount {
    count: f64,
    at: Option<Instant>,
}

impl FadingCount {
    /// Returns the count; events `time` ago weigh 1/e.
    pub fn get(&self, time: Duration, now: Instant) -> f64 {
        let age = self.at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.count * (-age.as_secs_f64() / time.as_secs_f64()).exp()
    }

    /// Adds an event of this weight.
    pub fn add(&mut self, weight: f64, time: Duration, now: Instant) {
        self.count = self.get(time, now) + weight;
        self.at = Some(self.at.map_or(now, |at| at.max(now)));
    }
}
