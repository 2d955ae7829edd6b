//! Statistics of the calls of one kind.

use super::histogram::Histogram;

/// Weight of a new observation in a kind's mean and deviation.
const MEAN_SMOOTHING: f64 = 0.03;

/// Times of the calls of one kind over all upstreams, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct KindStats {
    /// Mean time at the upstream; where upstreams report the pace of their machines, the mean
    /// time at the usual pace.
    pub service: f64,
    /// Mean time of an attempt as this daemon sees it, with the round trip and the wait for
    /// a slot.
    pub total: f64,
    /// Mean absolute deviation of the total time.
    pub deviation: f64,
    /// Whether answers are so large that the load of the link of the upstream's host is
    /// part of the cost.
    pub large: bool,
    /// Total times, in milliseconds. An attempt that is answered after it was found late counts
    /// with both times, which makes hedged attempts a little later and not more frequent.
    pub totals: Histogram,
}

impl KindStats {
    /// Creates the statistics from the times of the first call.
    pub fn new(service: f64, total: f64) -> KindStats {
        let mut totals = Histogram::default();
        totals.add(total);
        KindStats { service, total, deviation: total / 2.0, large: false, totals }
    }

    /// Adds the times of one call.
    pub fn observe(&mut self, service: f64, total: f64) {
        self.service += MEAN_SMOOTHING * (service - self.service);
        let error = total - self.total;
        self.total += MEAN_SMOOTHING * error;
        self.deviation += MEAN_SMOOTHING * (error.abs() - self.deviation);
        self.totals.add(total);
    }
}
