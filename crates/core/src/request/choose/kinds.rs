//! How long the calls of one kind take.

/// Weight of a new observation in a kind's mean and deviation.
const MEAN_SMOOTHING: f64 = 0.03;

/// How long calls of one kind take, over all upstreams, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Spread {
    /// Mean time at the upstream.
    pub service: f64,
    /// Mean time from here to there and back, with what was waited.
    pub total: f64,
    /// Mean deviation of that.
    pub deviation: f64,
    /// Whether the answers are so large that the link of the upstream's host
    /// counts.
    pub large: bool,
}

impl Spread {
    /// Takes in one call.
    pub fn observe(&mut self, service: f64, total: f64) {
        self.service += MEAN_SMOOTHING * (service - self.service);
        let error = total - self.total;
        self.total += MEAN_SMOOTHING * error;
        self.deviation += MEAN_SMOOTHING * (error.abs() - self.deviation);
    }
}
