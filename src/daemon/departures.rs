//! Replication of departures, so that a restart of this daemon forgets none that it
//! acknowledged.
//!
//! Before an upstream's leaving is acknowledged, a few other daemons are told, and one of
//! them, in another failure domain where there is one, has confirmed that it remembers. They
//! spread it by gossip. A daemon that starts asks for the departures of its own host, and goes
//! on asking until one that was running before has answered
//! ([`cicadashift_core::membership::restoration`]). [`cicadashift_core::membership::departures`]
//! holds them, and `docs/DESIGN.md`, "What a restart must not forget", has the reasons.
//!
//! # Limits
//!
//! A daemon that reaches no other, or none in another failure domain, acknowledges all the
//! same after half a second, since the promise binds it in any case. It goes on telling others
//! until it reaches one.

use super::{Daemon, datagrams, lock, peers};
use cicadashift_core::ids::{HostKey, Incarnation, IncarnationKey, split_incarnation_name};
use cicadashift_core::membership::departures::{DEPARTURE_TTL, Departure, Departures};
use cicadashift_core::membership::gossip::Queue;
use cicadashift_core::membership::record::Readiness;
use cicadashift_core::membership::restoration::Restoration;
use cicadashift_core::request::choose::Locality;
use cicadashift_http::exec;
use cicadashift_http::reactor::Timer;
use cicadashift_wire::rpc::{Request as Ask, Response};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Daemons that are told of a departure before it is acknowledged, or asked after a start.
/// Of three, one is in another failure domain.
const REPLICAS: usize = 3;
/// Longest wait for a daemon to confirm a departure. An upstream waits a second for its
/// acknowledgement.
const REPLICATION_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two attempts to tell others of a departure that none has confirmed.
const RETRY_INTERVAL: Duration = Duration::from_millis(1000);
/// Interval of checks whether the departures of this host have been returned.
const RESTORE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Interval of checks whether a daemon that was running before this one has been found.
const DISCOVERY_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// First and longest time between two attempts to ask other daemons after a start.
const RESTORE_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(1000));
/// Time after which other daemons are asked again, since a departure may still have been on
/// its way to those that were asked first.
const SECOND_RESTORE_DELAY: Duration = Duration::from_millis(1500);
/// Departures in one datagram; at about 60 bytes each they fit a usual MTU.
const PER_DATAGRAM: usize = 16;

/// The departures that this daemon knows.
pub struct KnownDepartures {
    known: Mutex<Departures>,
    /// Departures that remain to be gossiped.
    pending: Mutex<Queue<(HostKey, IncarnationKey), Departure>>,
    /// Departures of this host that no other daemon has confirmed yet, and when they were last
    /// sent.
    unconfirmed: Mutex<Vec<(Departure, Instant)>>,
    /// What other daemons have returned since the start.
    restoration: Mutex<Restoration>,
}

impl KnownDepartures {
    /// Creates the state of a daemon that starts now, in this incarnation.
    pub fn new(incarnation: Incarnation, now: Instant) -> KnownDepartures {
        KnownDepartures {
            known: Mutex::default(),
            pending: Mutex::default(),
            unconfirmed: Mutex::default(),
            restoration: Mutex::new(Restoration::new(incarnation, now)),
        }
    }

    /// Returns whether an incarnation of an instance is leaving or has left.
    pub fn contains(&self, host: HostKey, instance: &str, start: u64, now: Instant) -> bool {
        lock(&self.known).contains(host, instance, start, now)
    }

    /// Returns the departures of a host.
    pub fn of_host(&self, host: HostKey, now: Instant) -> Vec<Departure> {
        lock(&self.known).of_host(host, now)
    }

    /// Returns whether a daemon that was running before this one has returned the departures of
    /// this host since the start.
    pub fn is_restored(&self) -> bool {
        lock(&self.restoration).is_complete()
    }

    /// Returns the departure of an instance of this host that no other daemon has confirmed.
    fn unconfirmed_of(&self, instance: &str) -> Option<Departure> {
        let unconfirmed = lock(&self.unconfirmed);
        let of_instance = |(departure, _): &&(Departure, Instant)| departure.instance == instance;
        unconfirmed.iter().find(of_instance).map(|(departure, _)| departure.clone())
    }

    /// Returns the unconfirmed departures that are to be sent again now.
    fn take_due(&self, now: Instant) -> Vec<Departure> {
        let mut unconfirmed = lock(&self.unconfirmed);
        unconfirmed.retain(|(departure, _)| {
            self.contains(departure.host, &departure.instance, departure.start, now)
        });
        let due = unconfirmed.iter_mut().filter(|(_, sent)| now >= *sent + RETRY_INTERVAL);
        due.map(|(departure, sent)| {
            *sent = now;
            departure.clone()
        })
        .collect()
    }

    /// Returns the number of departures known.
    pub fn count(&self) -> usize {
        lock(&self.known).len()
    }

    /// Returns whether departures remain to be gossiped.
    pub fn has_pending(&self) -> bool {
        !lock(&self.pending).is_empty()
    }
}

/// Records that an upstream on this host is leaving, and returns once enough other daemons
/// remember it or [`REPLICATION_TIMEOUT`] has passed, also where an earlier message of the
/// same leaving still waits for that. Logs what the acknowledgement, which follows, rests on.
pub async fn record_own(d: &Arc<Daemon>, instance: &str, start: u64) {
    let began = d.clock.now();
    let departure = Departure::new(d.me, instance, start, d.clock.wall_ms());
    if merge(d, std::slice::from_ref(&departure)) {
        lock(&d.departures.unconfirmed).push((departure, began));
    }
    let Some(departure) = d.departures.unconfirmed_of(instance) else {
        log::debug!("upstream {instance}, started at {start}, is known to be leaving");
        return;
    };
    match confirm(d, &departure).await {
        true => {
            let took = d.clock.now().saturating_duration_since(began).as_millis();
            log::info!(
                "another daemon remembers after {took} ms that upstream {instance}, started at \
                 {start}, is leaving"
            );
        }
        false => {
            d.metrics.incr("upstream.leaving_unconfirmed");
            log::warn!("no other daemon confirms that upstream {instance} is leaving");
        }
    }
}

/// Has other daemons remember a departure of this host; returns whether they confirm it.
async fn confirm(d: &Arc<Daemon>, departure: &Departure) -> bool {
    let is_confirmed = replicate(d, departure).await;
    if is_confirmed {
        let key = departure.key();
        lock(&d.departures.unconfirmed).retain(|(other, _)| other.key() != key);
    }
    is_confirmed
}

/// Merges departures that were observed here or received from other daemons; returns whether
/// any of them is new here.
pub fn merge(d: &Daemon, departures: &[Departure]) -> bool {
    let now = d.clock.now();
    let is_new = |departure: &&Departure| lock(&d.departures.known).record(departure, now);
    let new: Vec<&Departure> = departures.iter().filter(is_new).collect();
    for departure in &new {
        lock(&d.departures.pending).push(departure.key(), (*departure).clone());
        if departure.host == d.me {
            d.gates.apply_departure(d, departure);
        }
    }
    if new.iter().any(|departure| is_selectable(d, departure)) {
        d.services.sync(d);
    }
    !new.is_empty()
}

/// Returns whether membership lists a departed upstream as one that takes calls.
fn is_selectable(d: &Daemon, departure: &Departure) -> bool {
    d.members.get(departure.host).is_some_and(|record| {
        record.endpoints.iter().any(|endpoint| {
            let (instance, _) = split_incarnation_name(&endpoint.instance);
            instance == departure.instance && endpoint.readiness != Readiness::Draining
        })
    })
}

/// Tells other daemons of a departure; returns whether they confirm in time that they remember
/// it: one in another failure domain, since the own one may be lost as a whole, or any where
/// none in another domain was asked or answers.
async fn replicate(d: &Arc<Daemon>, departure: &Departure) -> bool {
    let departures = vec![departure.clone()];
    let asked = ask_replicas(d, &Ask::Departures { host: d.me, departures });
    let mut is_confirmed = false;
    while let Ok(locality) = asked.answers.recv().await {
        is_confirmed = true;
        if locality == Locality::OtherDomain || !asked.includes_other_domain {
            break;
        }
    }
    is_confirmed
}

/// Daemons that were asked at the same time.
struct Asked {
    /// One message for each that answers; closed when no answer is awaited any more.
    answers: smol::channel::Receiver<Locality>,
    includes_other_domain: bool,
}

/// Sends a request to some other daemons at the same time and merges what they answer.
fn ask_replicas(d: &Arc<Daemon>, request: &Ask) -> Asked {
    let silent = lock(&d.liveness).silent_hosts();
    ask_all(d, &d.members.replicas(&silent, REPLICAS, |_| true), request)
}

fn ask_all(d: &Arc<Daemon>, hosts: &[HostKey], request: &Ask) -> Asked {
    let (tx, answers) = smol::channel::bounded(REPLICAS);
    let mut includes_other_domain = false;
    for host in hosts {
        let Some(record) = d.members.get(*host) else { continue };
        let Some(to) = d.members.address(*host) else { continue };
        let locality = locality(d, *host);
        includes_other_domain |= locality == Locality::OtherDomain;
        let (d, request, tx) = (d.clone(), request.clone(), tx.clone());
        exec::spawn(async move {
            match peers::ask(&d, to, &request, REPLICATION_TIMEOUT).await {
                Ok(Response::Departures(departures)) => {
                    merge(&d, &departures);
                    let is_far = locality == Locality::OtherDomain;
                    lock(&d.departures.restoration).answered(record.life, is_far);
                    let _nobody_waits_any_more = tx.try_send(locality);
                }
                Ok(_) => log::debug!("{to}: unexpected answer about departures"),
                Err(err) => log::debug!("{to}: no answer about departures: {err}"),
            }
        })
        .detach();
    }
    Asked { answers, includes_other_domain }
}

fn locality(d: &Daemon, host: HostKey) -> Locality {
    match d.members.is_in_other_domain(host) {
        true => Locality::OtherDomain,
        false => Locality::SameDomain,
    }
}

/// Answers a request of the daemon of `host`, which may also bring departures.
pub fn on_request(d: &Daemon, host: HostKey, departures: &[Departure]) -> Response {
    merge(d, departures);
    Response::Departures(d.departures.of_host(host, d.clock.now()))
}

/// Asks other daemons for the departures of this host after a start, until one that was running
/// before has answered or all such memory has expired.
pub async fn run(d: Arc<Daemon>) {
    let expired = d.gates.started() + DEPARTURE_TTL;
    let mut pause = RESTORE_BACKOFF.0;
    while !d.departures.is_restored() && d.clock.now() < expired {
        if !knows_established(&d) && is_settled(&d) {
            // Others may be found later, such as after a partition.
            Timer::after(DISCOVERY_POLL_INTERVAL).await;
            continue;
        }
        let answered = exec::timeout(pause, restore(&d)).await;
        // While an answer is awaited, others are asked as well: those asked first may be down.
        if answered.is_some() && !d.departures.is_restored() {
            Timer::after(pause).await;
        }
        pause = pause.mul_f64(1.5).min(RESTORE_BACKOFF.1);
    }
    log::info!("departures of this host are restored: {}", d.departures.is_restored());
    Timer::after(SECOND_RESTORE_DELAY).await;
    restore(&d).await;
}

/// Asks daemons that were running before this one, or others where none is known; returns once
/// one has answered or none will.
async fn restore(d: &Arc<Daemon>) {
    let silent = lock(&d.liveness).silent_hosts();
    let established = d.members.replicas(&silent, REPLICAS, |other| is_established(d, other));
    let hosts = match established.is_empty() {
        true => d.members.replicas(&silent, REPLICAS, |_| true),
        false => established,
    };
    let asked = ask_all(d, &hosts, &Ask::Departures { host: d.me, departures: Vec::new() });
    if asked.answers.recv().await.is_err() {
        log::debug!("no daemon answers about the departures of this host");
    }
}

fn is_established(d: &Daemon, other: Incarnation) -> bool {
    lock(&d.departures.restoration).is_established(other)
}

/// Returns whether a live daemon is known that was running before this one.
pub fn knows_established(d: &Daemon) -> bool {
    d.members.has_live(|other| is_established(d, other))
}

fn is_settled(d: &Daemon) -> bool {
    let knows_established = knows_established(d);
    lock(&d.departures.restoration).is_settled(knows_established, d.clock.now())
}

/// Returns once other daemons have told what they remember of this host, as far as that is to
/// be expected.
pub async fn wait_until_settled(d: &Daemon) {
    while !is_settled(d) {
        Timer::after(RESTORE_POLL_INTERVAL).await;
    }
}

/// Drops old departures, and tells others again of those that none has confirmed.
pub fn tick(d: &Arc<Daemon>) {
    let now = d.clock.now();
    lock(&d.departures.known).sweep(now);
    for departure in d.departures.take_due(now) {
        let d = d.clone();
        exec::spawn(async move { confirm(&d, &departure).await }).detach();
    }
}

/// Sends one round of gossip to these hosts.
pub async fn send_round(d: &Daemon, targets: &[HostKey]) {
    let departures = lock(&d.departures.pending).take_round(PER_DATAGRAM);
    if departures.is_empty() {
        return;
    }
    for host in targets {
        datagrams::send_departures(d, *host, departures.clone()).await;
    }
}
