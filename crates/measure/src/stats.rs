//! Percentiles of measured times.

use std::time::Duration;

/// Measured times, kept in full so that percentiles are exact.
#[derive(Clone, Debug, Default)]
pub struct Times {
    ms: Vec<f64>,
}

impl Times {
    /// Adds a time.
    pub fn add(&mut self, time: Duration) {
        self.ms.push(time.as_secs_f64() * 1e3);
    }

    /// Adds a time in milliseconds.
    pub fn add_ms(&mut self, ms: f64) {
        self.ms.push(ms);
    }

    /// Adds all times of `other`.
    pub fn append(&mut self, other: Times) {
        self.ms.extend(other.ms);
    }

    /// Returns the percentile `share` (0 to 1) in milliseconds, or zero if there are no
    /// times.
    pub fn percentile(&self, share: f64) -> f64 {
        let mut sorted = self.ms.clone();
        sorted.sort_by(f64::total_cmp);
        let Some(last) = sorted.len().checked_sub(1) else { return 0.0 };
        round(sorted[(last as f64 * share).round() as usize])
    }

    /// Returns the median in milliseconds.
    pub fn p50(&self) -> f64 {
        self.percentile(0.5)
    }

    /// Returns the 99th percentile in milliseconds.
    pub fn p99(&self) -> f64 {
        self.percentile(0.99)
    }

    /// Returns the longest time in milliseconds.
    pub fn max(&self) -> f64 {
        self.percentile(1.0)
    }

    /// Returns the number of times.
    pub fn len(&self) -> usize {
        self.ms.len()
    }
}

/// Rounds to three decimal places, which keeps the reports readable.
pub fn round(x: f64) -> f64 {
    (x * 1e3).round() / 1e3
}
