//! Asks the upstream on this host for its health.
//!
//! Failure: a daemon is restarted while the upstream on its host goes on running. Symptom: the
//! upstream gets no calls until its next report, about 0.75 s on average, and its service lacks
//! capacity for that time. The answer to a health request registers the upstream at once;
//! from then on its own reports take precedence.
//!
//! Failure: the first report to arrive after a start was sent before it, by an upstream that
//! has left since. Symptom: the upstream gets calls until it ends. Such a report counts only
//! if the upstream's health confirms it ([`confirm`]), however many of them arrive.

use super::gates::Evidence;
use super::in_band::{self, Signals};
use super::{Daemon, departures, health};
use cicadashift_core::membership::record::Readiness;
use cicadashift_core::membership::reports::STARTUP_WINDOW;
use cicadashift_core::membership::silence::Health;
use cicadashift_edge::interface::Announcement;
use cicadashift_http::exec;
use cicadashift_http::hyper::StatusCode;
use cicadashift_http::reactor::Timer;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest wait for a report to be confirmed; the upstream waits a second for its answer.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(700);
/// Most requests that are sent; after them the upstream's own report is due soon.
const ATTEMPTS: u32 = 3;
/// Pause between two requests.
const PAUSE: Duration = Duration::from_millis(200);
/// Interval of checks for the first configuration, which names the health path.
const CONFIG_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Sends health requests until the upstream on this host is registered, at most `ATTEMPTS`.
pub async fn run(d: Arc<Daemon>) {
    let Some(address) = d.settings.upstream else { return };
    while !has_health_path(&d) {
        Timer::after(CONFIG_POLL_INTERVAL).await;
    }
    departures::wait_until_settled(&d).await;
    for _ in 0..ATTEMPTS {
        if !d.gates.all().is_empty() {
            return;
        }
        let sent = d.clock.now();
        if let Some((announced, signals)) = request_identity(&d, address).await
            && d.gates.all().is_empty()
        {
            register(&d, announced, signals, sent);
            return;
        }
        Timer::after(PAUSE).await;
    }
}

/// Registers the upstream that answered a health request, unless it may be one that left.
fn register(d: &Daemon, announced: Announcement, signals: Signals, sent: Instant) {
    let name = announced.instance.clone();
    if d.departures.contains(d.me, &name, announced.start, sent) {
        log::info!("upstream {name} was found by asking it, but may be one that left");
        return;
    }
    log::info!("upstream {name} was found by asking it");
    d.gates.announce(d, announced, Evidence::Confirmed);
    if let Some(local) = d.gates.get(&name) {
        in_band::apply(d, &local, signals, sent);
    }
}

/// Returns what the health of an upstream says about a report that may be late. Other daemons
/// are heard first, if there are any: they know whether the upstream left.
///
/// An upstream that has no slot for the request is asked again. Where its health stays unknown,
/// the word of a daemon that remembers is enough, and after [`STARTUP_WINDOW`] the report itself.
///
/// Before the first configuration, which names the health path, no word of others is enough:
/// daemons that were running before this one may have started after the leaving.
pub async fn confirm(d: &Daemon, report: &Announcement) -> Health {
    let answer = async {
        departures::wait_until_settled(d).await;
        loop {
            let health = health::request(d, report.address, &report.instance).await;
            if health != Health::Unknown {
                return health;
            }
            Timer::after(PAUSE).await;
        }
    };
    match exec::timeout(CONFIRM_TIMEOUT, answer).await.unwrap_or(Health::Unknown) {
        Health::Unknown if is_past_start(d) => Health::Good,
        Health::Unknown if has_health_path(d) && d.departures.is_restored() => Health::Good,
        health => health,
    }
}

fn has_health_path(d: &Daemon) -> bool {
    d.versions.running_version() != 0
}

/// Returns whether late reports from before the start have become rare.
fn is_past_start(d: &Daemon) -> bool {
    d.clock.now() >= d.gates.started() + STARTUP_WINDOW
}

/// Sends a health request, and returns the announcement and in-band signals in its answer.
async fn request_identity(d: &Daemon, address: SocketAddr) -> Option<(Announcement, Signals)> {
    let service = d.settings.services.first()?;
    let res = health::send_request(d, address).await?;
    if res.status() != StatusCode::OK {
        return None;
    }
    let signals = Signals::of(d, res.headers());
    let announced = Announcement {
        instance: health::instance_of(d, res.headers())?.to_string(),
        start: 0,
        service: service.clone(),
        // Only the upstream's own reports name it.
        version: String::new(),
        address,
        slots: signals.load()?.slots,
        readiness: Readiness::Ready,
        // The lowest number, so that every report of the upstream itself is newer.
        sequence: 0,
        cold_for: Duration::ZERO,
    };
    Some((announced, signals))
}
