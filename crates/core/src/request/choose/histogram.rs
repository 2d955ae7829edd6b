//! A bounded histogram of recent times.

/// Lower bound of the first bucket, and the factor from one bound to the next. The last of
/// the buckets begins above the longest deadlines.
const FIRST_BOUND: f64 = 2.0;
const BOUND_FACTOR: f64 = 1.25;
const BUCKETS: usize = 40;
/// Weight that each value loses with each new one: the histogram reflects some five hundred.
const DECAY: f32 = 0.998;
/// Sum of weights below which a quantile says nothing.
const MIN_WEIGHT: f32 = 30.0;

/// Recent values, such as times in milliseconds, in log-spaced buckets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Histogram {
    weights: [f32; BUCKETS],
}

impl Default for Histogram {
    fn default() -> Histogram {
        Histogram { weights: [0.0; BUCKETS] }
    }
}

impl Histogram {
    /// Adds a value.
    pub fn add(&mut self, value: f64) {
        self.weights.iter_mut().for_each(|weight| *weight *= DECAY);
        self.weights[bucket(value)] += 1.0;
    }

    /// Returns the value below which a share of the values lies, rounded up to the next bound;
    /// `None` if there are too few values.
    pub fn quantile(&self, share: f64) -> Option<f64> {
        let sum = self.sum()?;
        let mut before = 0.0;
        let is_reached = |weight: &f32| {
            before += weight;
            f64::from(before) >= share * f64::from(sum)
        };
        let index = self.weights.iter().position(is_reached).unwrap_or(BUCKETS - 1);
        Some(bound(index + 1))
    }

    fn sum(&self) -> Option<f32> {
        let sum: f32 = self.weights.iter().sum();
        (sum >= MIN_WEIGHT).then_some(sum)
    }
}

fn bucket(value: f64) -> usize {
    let steps = (value / FIRST_BOUND).max(1.0).ln() / BOUND_FACTOR.ln();
    (steps as usize).min(BUCKETS - 1)
}

fn bound(index: usize) -> f64 {
    FIRST_BOUND * BOUND_FACTOR.powi(index as i32)
}
