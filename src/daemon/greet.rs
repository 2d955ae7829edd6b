//! Asking the upstream on this host who it is, once after a start.
//!
//! Failure: a daemon is restarted beside an upstream that lives on. Symptom: the
//! upstream gets no work until its next report, some 0.75 s on average, and its
//! service is short of it for that time. One question after the start makes good
//! for it. Reports remain what is believed from then on.

use super::Daemon;
use super::in_band::{self, Signals};
use super::request::headers;
use cicadashift_core::membership::record::Readiness;
use cicadashift_edge::interface::Announcement;
use cicadashift_http::body;
use cicadashift_http::client::Pool;
use cicadashift_http::hyper::{Request, StatusCode};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time for an answer; an upstream that is busy with its slots takes a while.
const ASK_TIME: Duration = Duration::from_millis(800);
/// Questions at most; after them the upstream's own report is near.
const ATTEMPTS: u32 = 3;
/// Pause between two questions.
const PAUSE: Duration = Duration::from_millis(200);
/// Step in which the first configuration is waited for: it tells where to ask.
const STEP: Duration = Duration::from_millis(20);
/// Longest answer.
const MAX_BODY: usize = 4096;

/// Asks until the upstream is known.
pub async fn run(d: Arc<Daemon>) {
    let Some(address) = d.settings.upstream else { return };
    while d.versions.running_version() == 0 {
        smol::Timer::after(STEP).await;
    }
    for _ in 0..ATTEMPTS {
        if !d.gates.all().is_empty() {
            return;
        }
        let asked = d.clock.now();
        if let Some((announced, signals)) = ask(&d, address).await
            && d.gates.all().is_empty()
        {
            log::info!("upstream {} was found by asking it", announced.instance);
            let name = announced.instance.clone();
            d.gates.announce(&d, announced);
            if let Some(local) = d.gates.get(&name) {
                in_band::apply(&d, &local, signals, asked);
            }
            return;
        }
        smol::Timer::after(PAUSE).await;
    }
}

async fn ask(d: &Daemon, address: SocketAddr) -> Option<(Announcement, Signals)> {
    let service = d.settings.services.first()?;
    let path = d.versions.health_path(service)?;
    let req = Request::get(path).header("host", address.to_string()).body(body::empty()).ok()?;
    let answer = Pool::new(1).exchange(address, req, MAX_BODY, ASK_TIME).await;
    let res = answer.inspect_err(|err| log::info!("upstream {address}: {err}")).ok()?;
    if res.status() != StatusCode::OK {
        return None;
    }
    let instance = headers::text(res.headers(), d.dialect.instance.as_ref()?.as_str())?;
    let load = headers::text(res.headers(), d.dialect.load.as_ref()?.as_str())?;
    let signals = Signals::of(d, res.headers());
    let announced = Announcement {
        instance: instance.to_string(),
        start: 0,
        service: service.clone(),
        // Only its own reports tell.
        version: String::new(),
        address,
        slots: slots(load)?,
        readiness: Readiness::Ready,
        // Every report of the instance itself is newer.
        sequence: 0,
        cold_for: Duration::ZERO,
    };
    Some((announced, signals))
}

/// Returns the slots that a load names: running, waiting, slots, and for some upstreams
/// how long work takes now.
fn slots(load: &str) -> Option<u16> {
    load.split(',').nth(2)?.trim().parse().ok().filter(|slots| *slots > 0)
}
