//! What all daemons together know of calls that end the upstreams which run them.
//!
//! [`cicadashift_core::request::suspects`] decides. Here its news go to the others at
//! once, in datagrams; probes carry a summary, and where two daemons' differ they compare
//! all that they know. A quarantine also lies in the store until it is over, so that it
//! outlives a restart of everything; each daemon reads them once after its start.
//!
//! Bytes told grow with the ends of upstreams, not with calls: some 30 for each call that
//! was at one, twice to seven daemons from each that hears it first.

use super::{Daemon, datagrams, lock, peers};
use crate::store::{Platform, PlatformError, Swap, keys};
use cicadashift_core::ids::{CallDigest, IncarnationKey};
use cicadashift_core::membership::gossip::Queue;
use cicadashift_core::request::suspects::{QuarantineState, Review, Suspects, Suspicion};
use cicadashift_http::exec;
use cicadashift_wire::rpc::{self, Request as Ask, Response};
use smol::channel::{Receiver, Sender};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time between two rounds of news; the first one is told at once, since such a call may
/// come to every host at the same time.
const TELL_EVERY: Duration = Duration::from_millis(40);
/// Suspicions in one datagram; at about 30 bytes each they stay under a usual MTU.
const PER_DATAGRAM: usize = 32;
/// Datagrams that one daemon gets in a round. Where 59 of 295 upstreams end at once, some
/// 400 calls are suspected, and telling all of it at once would stand in the way of the
/// calls that are left; in this way it takes a quarter of a second.
const DATAGRAMS_PER_ROUND: usize = 4;
/// How long a summary is used: one for each datagram would be most of the work.
const SUMMARY_FOR: Duration = Duration::from_millis(500);
/// Time between two comparisons that differing summaries lead to, at least.
const COMPARE_EVERY: Duration = Duration::from_millis(400);
/// The same for each call known, so that comparisons of full tables, which may never
/// agree, take 8 KB/s and not 80: some 30 bytes a call, both ways.
const COMPARE_EVERY_CALL: Duration = Duration::from_millis(8);
/// Time for one comparison.
const COMPARE_TIME: Duration = Duration::from_millis(500);
/// Time between two looks at what has to be kept or forgotten.
const LOOK: Duration = Duration::from_millis(500);
/// How long the store keeps a quarantine without a daemon: as long as it lasts. Daemons
/// that read it after a restart count its time anew, so that it may last twice as long.
const KEPT_FOR: Duration = cicadashift_core::request::suspects::QUARANTINE_TIME;

/// What this daemon knows.
pub struct Quarantine {
    suspects: Mutex<Suspects>,
    untold: Mutex<Queue<CallDigest, Suspicion>>,
    /// Says that there is something to tell.
    news: (Sender<()>, Receiver<()>),
    summary: Mutex<Option<(Instant, u64)>>,
    /// When it last compared all that it knows with another daemon.
    compared: Mutex<Option<Instant>>,
    /// Trials that this daemon begins.
    pub trials: Trials,
}

/// Trials that this daemon begins.
#[derive(Default)]
pub struct Trials {
    /// When it may ask for the key next.
    pub next: smol::lock::Mutex<Option<Instant>>,
}

impl Default for Quarantine {
    fn default() -> Quarantine {
        Quarantine {
            suspects: Mutex::default(),
            untold: Mutex::default(),
            news: smol::channel::bounded(1),
            summary: Mutex::default(),
            compared: Mutex::default(),
            trials: Trials::default(),
        }
    }
}

impl Quarantine {
    /// Returns a number that is the same at daemons that know the same.
    pub fn summary(&self, now: Instant) -> u64 {
        let mut summary = lock(&self.summary);
        match *summary {
            Some((at, summary)) if now < at + SUMMARY_FOR => summary,
            _ => {
                let fresh = lock(&self.suspects).summary(now);
                *summary = Some((now, fresh));
                fresh
            }
        }
    }
}

/// Returns what is known against a call.
pub fn state(d: &Daemon, call: CallDigest) -> QuarantineState {
    lock(&d.quarantine.suspects).state(call, d.clock.now())
}

/// Returns how sure the verdict on a quarantined call is.
pub fn review(d: &Daemon, call: CallDigest) -> Review {
    lock(&d.quarantine.suspects).review(call, d.clock.now())
}

/// Takes in that an upstream ended with these calls at it.
pub fn record_end(d: &Arc<Daemon>, upstream: &str, calls: &[CallDigest]) {
    let now = d.clock.now();
    let news = lock(&d.quarantine.suspects).ended(IncarnationKey::of(upstream), calls, now);
    take_in(d, news);
}

/// Takes in that an upstream ran a call and answered.
pub fn record_answer(d: &Arc<Daemon>, call: CallDigest) {
    let news = lock(&d.quarantine.suspects).ran_well(call, d.clock.now());
    take_in(d, news.into_iter().collect());
}

/// Takes in what another daemon told.
pub fn merge(d: &Arc<Daemon>, told: &[Suspicion]) {
    if told.is_empty() {
        return;
    }
    let news = lock(&d.quarantine.suspects).merge(told, d.clock.now());
    take_in(d, news);
}

/// Takes the suspicion from a call at all daemons; returns whether there was one.
///
/// # Errors
///
/// Returns why the store may still hold it, so that a restart of all daemons would bring
/// it back.
pub async fn lift(d: &Arc<Daemon>, call: CallDigest) -> Result<bool, PlatformError> {
    let news = lock(&d.quarantine.suspects).clear(call, d.clock.now());
    let Some(news) = news else { return Ok(false) };
    take_in(d, vec![news.clone()]);
    save(d, &news).await.map(|()| true)
}

/// Returns all that is known, for other daemons and for operators.
pub fn suspicions(d: &Daemon) -> Vec<Suspicion> {
    lock(&d.quarantine.suspects).all(d.clock.now())
}

/// Returns whether anything is known against a call.
pub fn has_suspicions(d: &Daemon) -> bool {
    !lock(&d.quarantine.suspects).is_empty()
}

/// Compares with a daemon whose summary differs, unless that was done a moment ago, or
/// the difference is news under way.
pub fn compare_if_due(d: &Arc<Daemon>, to: SocketAddr) {
    if !lock(&d.quarantine.untold).is_empty() {
        return;
    }
    let now = d.clock.now();
    let known = lock(&d.quarantine.suspects).len() as u32;
    let pause = COMPARE_EVERY.max(COMPARE_EVERY_CALL * known);
    let mut compared = lock(&d.quarantine.compared);
    if compared.is_some_and(|at| now < at + pause) {
        return;
    }
    *compared = Some(now);
    let d = d.clone();
    exec::spawn(async move { compare_with(&d, to).await }).detach();
}

/// Tells a daemon all that is known and hears what it knows.
pub async fn compare_with(d: &Arc<Daemon>, to: SocketAddr) {
    let ask = Ask::Suspicions(suspicions(d));
    match peers::ask(d, to, &ask, COMPARE_TIME).await {
        Ok(Response::Suspicions(told)) => merge(d, &told),
        Ok(_) => log::debug!("{to} does not say which calls it suspects"),
        Err(err) => log::debug!("{to} was not asked which calls it suspects: {err}"),
    }
}

/// Reads the quarantines that the store keeps, then keeps this daemon's there and
/// forgets old ones, until cancelled.
pub async fn run(d: Arc<Daemon>) {
    let mut last = None;
    let mut is_lost = false;
    loop {
        let result = round(&d, &mut last).await;
        if let (Err(err), false) = (&result, is_lost) {
            log::warn!("quarantine: the store is lost: {err}");
        }
        is_lost = result.is_err();
        smol::Timer::after(LOOK).await;
    }
}

/// The last reading of the quarantines that the store keeps.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Reading {
    /// The store's era.
    era: u64,
    /// Whether it was certainly not old.
    is_current: bool,
}

/// Does what is due.
async fn round(d: &Arc<Daemon>, last: &mut Option<Reading>) -> Result<(), PlatformError> {
    lock(&d.quarantine.suspects).sweep(d.clock.now());
    let era = d.platform.era().unwrap_or_default();
    let is_restored = last.is_some_and(|last| last.era != era);
    if is_restored {
        restored(d, era);
    }
    let is_current = last.is_some_and(|last| last.is_current);
    if last.is_none() || is_restored || (!is_current && d.follows.load(Ordering::Relaxed)) {
        *last = Some(read(d).await?);
    }
    let unsaved = lock(&d.quarantine.suspects).unsaved(d.clock.now());
    for suspicion in unsaved {
        save(d, &suspicion).await?;
        lock(&d.quarantine.suspects).mark_saved(&suspicion);
    }
    Ok(())
}

/// Keeps quarantines again where the store came back from a copy. Those that keep them
/// may have ended since, so that whoever follows the store keeps all that it knows.
fn restored(d: &Daemon, era: u64) {
    let all = d.follows.load(Ordering::Relaxed);
    let kept = lock(&d.quarantine.suspects).mark_lost(all, d.clock.now());
    log::warn!("the store came back from a copy, era {era}: {kept} quarantines are kept again");
    d.metrics.incr("platform.restored");
}

/// Reads the quarantines that the store keeps.
///
/// Failure: hundreds of daemons that start read what is there now, most of them nothing.
/// Symptom: half of all calls to the store are these. A reading that may be seconds old
/// costs it a tenth; those that follow the store read again what is there now, and the
/// others hear from them.
async fn read(d: &Arc<Daemon>) -> Result<Reading, PlatformError> {
    let is_current = d.follows.load(Ordering::Relaxed);
    let pairs = match is_current {
        true => d.platform.list(keys::QUARANTINE, false).await?,
        false => d.platform.list_maybe_old(keys::QUARANTINE).await?,
    };
    let decoded = pairs.iter().filter_map(|pair| {
        let suspicion = rpc::decode::<Suspicion>(&pair.value);
        suspicion.inspect_err(|err| log::warn!("{} is damaged: {err}", pair.key)).ok()
    });
    let told: Vec<_> = decoded.collect();
    merge(d, &told);
    Ok(Reading { era: d.platform.era().unwrap_or_default(), is_current })
}

async fn save(d: &Daemon, suspicion: &Suspicion) -> Result<(), PlatformError> {
    let lease = d.platform.grant(KEPT_FOR).await?;
    let key = keys::quarantine(suspicion.call);
    match d.platform.put_leased(&key, &rpc::encode(suspicion), lease).await? {
        Swap::Done => Ok(()),
        Swap::Lost => Err(PlatformError::NotDone("the lease has ended".to_string())),
    }
}

/// Logs news and tells them to others.
fn take_in(d: &Arc<Daemon>, news: Vec<Suspicion>) {
    if news.is_empty() {
        return;
    }
    for suspicion in &news {
        let Suspicion { call, ended, .. } = suspicion;
        match state(d, *call) {
            QuarantineState::Quarantined { left } => {
                d.metrics.incr("quarantine.judged");
                let (ends, left) = (ended.len(), left.as_secs());
                log::warn!("call {call} is quarantined for {left} s: {ends} upstreams ended");
            }
            QuarantineState::Clear => log::info!("call {call} is cleared"),
            QuarantineState::Suspected => log::debug!("call {call} is suspected"),
        }
    }
    *lock(&d.quarantine.summary) = None;
    let mut untold = lock(&d.quarantine.untold);
    news.into_iter().for_each(|suspicion| untold.push(suspicion.call, suspicion));
    let _already_said = d.quarantine.news.0.try_send(());
}

/// Tells the others what is news, until cancelled.
pub async fn send_updates(d: Arc<Daemon>) {
    while d.quarantine.news.1.recv().await.is_ok() {
        while tell_round(&d).await {
            smol::Timer::after(TELL_EVERY).await;
        }
    }
}

/// Tells one round of news; returns whether there was any.
async fn tell_round(d: &Daemon) -> bool {
    let news = lock(&d.quarantine.untold).take_round(PER_DATAGRAM * DATAGRAMS_PER_ROUND);
    let audience = d.members.audience_at_once();
    for part in news.chunks(PER_DATAGRAM) {
        for host in &audience {
            datagrams::tell_suspicions(d, *host, part.to_vec()).await;
        }
    }
    !news.is_empty()
}
