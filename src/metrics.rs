//! Counters and histograms.
//!
//! They are served in the text exposition format on the address in the settings, and sent
//! to a statsd collector through cadence if one is set. `docs/METRICS.md` lists each name,
//! unit and meaning.

use cadence::{
    Counted, CountedExt, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, Timed,
    UdpMetricSink,
};
use eyre::WrapErr;
use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::{Family, MetricConstructor};
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

/// Lines queued for the statsd collector; further ones are dropped.
const STATSD_QUEUE_LINES: usize = 4096;
/// Upper bounds of the histogram buckets, in seconds: from the latency of one hop to the
/// longest deadlines in use.
const BUCKETS: [f64; 12] = [0.001, 0.003, 0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0];

/// Label that distinguishes the metrics of a family.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct NameLabel {
    name: String,
}

/// Constructor of histograms with [`BUCKETS`].
#[derive(Clone)]
struct Buckets;

impl MetricConstructor<Histogram> for Buckets {
    fn new_metric(&self) -> Histogram {
        Histogram::new(BUCKETS)
    }
}

/// Counters and histograms of one daemon.
pub struct Metrics {
    client: StatsdClient,
    registry: Registry,
    events: Family<NameLabel, Counter>,
    values: Family<NameLabel, Gauge>,
    times: Family<NameLabel, Histogram, Buckets>,
}

impl Metrics {
    /// Makes the metrics; without a collector nothing is sent.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket to the collector cannot be set up.
    pub fn new(collector: Option<SocketAddr>) -> eyre::Result<Metrics> {
        let client = statsd(collector)?;
        let mut registry = Registry::with_prefix("cicadashift");
        let events = Family::default();
        let values = Family::default();
        let times = Family::new_with_constructor(Buckets);
        registry.register("events", "Events since the start, by name", events.clone());
        registry.register("value", "Present values, by name", values.clone());
        registry.register("seconds", "Times in seconds, by name", times.clone());
        Ok(Metrics { client, registry, events, values, times })
    }

    /// Adds one to a counter.
    pub fn incr(&self, name: &str) {
        self.count(name, 1);
    }

    /// Adds to a counter.
    pub fn count(&self, name: &str, by: i64) {
        self.events.get_or_create(&label(name)).inc_by(by.unsigned_abs());
        let _best_effort = match by {
            1 => self.client.incr(name),
            by => self.client.count(name, by),
        };
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        self.values.get_or_create(&label(name)).set(i64::try_from(value).unwrap_or(i64::MAX));
        let _best_effort = self.client.gauge(name, value);
    }

    /// Records a duration in a histogram.
    pub fn time(&self, name: &str, time: Duration) {
        self.times.get_or_create(&label(name)).observe(time.as_secs_f64());
        let _best_effort = self.client.time(name, time);
    }

    /// Returns all metrics in the text exposition format.
    pub fn text(&self) -> String {
        let mut out = String::new();
        match text::encode(&mut out, &self.registry) {
            Ok(()) => out,
            Err(err) => {
                log::error!("metrics cannot be encoded: {err}");
                String::new()
            }
        }
    }
}

fn label(name: &str) -> NameLabel {
    NameLabel { name: name.to_string() }
}

fn statsd(collector: Option<SocketAddr>) -> eyre::Result<StatsdClient> {
    let prefix = "cicadashift";
    let Some(addr) = collector else {
        return Ok(StatsdClient::from_sink(prefix, NopMetricSink));
    };
    let socket = UdpSocket::bind("0.0.0.0:0").wrap_err("no socket for metrics")?;
    socket.set_nonblocking(true).wrap_err("no socket for metrics")?;
    let sink = UdpMetricSink::from(addr, socket).wrap_err("no sink for metrics")?;
    let sink = QueuingMetricSink::with_capacity(sink, STATSD_QUEUE_LINES);
    Ok(StatsdClient::from_sink(prefix, sink))
}
