//! Joining, finding a floor after a start, and noticing what was missed.

use super::sources::{self, ObjectSource, active_version_of, readers_of_other_domains};
use super::{Daemon, peers, reader, stage};
use crate::store::{Platform, keys};
use cicadashift_core::delivery::node::Event;
use cicadashift_core::delivery::stage::Scope;
use cicadashift_core::ids::HostKey;
use cicadashift_core::membership::table::Comparison;
use cicadashift_wire::rpc::{Request as Ask, Response, VersionRef};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time for one question.
const ASK_TIME: Duration = Duration::from_millis(500);
/// First and longest pause between two rounds before anything runs.
const PAUSE: (Duration, Duration) = (Duration::from_millis(40), Duration::from_millis(1000));
/// Rounds without an answer of a peer before the platform's roster is read.
const ROUNDS_ALONE: u32 = 3;
/// Time between two looks whether something was missed.
const WATCH_EVERY: Duration = Duration::from_millis(1000);

/// Joins the mesh, then brings the first version into force, then keeps up.
pub async fn run(d: Arc<Daemon>) {
    join(&d).await;
    let mut pause = PAUSE.0;
    loop {
        if d.versions.running_version() == 0 {
            start(&d).await;
            smol::Timer::after(jitter(pause)).await;
            pause = (pause * 2).min(PAUSE.1);
        } else {
            smol::Timer::after(jitter(WATCH_EVERY)).await;
        }
        keep_up(&d).await;
        reach_out(&d).await;
    }
}

/// Asks a peer of the settings that is not known to live.
///
/// Failure: daemons start at the same moment and some find nobody, or a cut
/// inside the failure domain makes each side believe the other dead. Symptom:
/// two groups that never hear of each other again, since nobody probes the dead.
/// The peers in the settings are the same for all, so one question that gets
/// through joins the groups; a dead one costs a refused connection.
async fn reach_out(d: &Arc<Daemon>) {
    let own = d.members.own().near;
    let live: Vec<_> = d.members.others().iter().filter_map(|h| d.members.address(*h)).collect();
    let peers = d.settings.peers.iter().copied();
    let unseen: Vec<_> = peers.filter(|addr| *addr != own && !live.contains(addr)).collect();
    if let Some(peer) = fastrand::choice(&unseen) {
        sync_with(d, *peer).await;
    }
}

/// Notes that a member knows a higher active version, and fetches it.
pub async fn fetch_active_version(d: &Arc<Daemon>, from: HostKey) {
    let Some(to) = d.members.address(from) else { return };
    if let Some(what) = active_version_of(d, to).await {
        take(d, what, to).await;
    }
}

/// Compares tables with a peer, so that both hold what either knew; returns whether
/// it answered.
///
/// Only outlines and what differs are sent.
pub async fn sync_with(d: &Arc<Daemon>, to: SocketAddr) -> bool {
    let (outline, own) = (d.members.outline(), d.members.own());
    let ask = Ask::Sync { outline, records: vec![own] };
    let answer = peers::ask(d, to, &ask, ASK_TIME).await;
    let Ok(Response::Compared { records, wanted, active: _, catalog }) = answer else {
        return false;
    };
    d.members.add_catalog(catalog);
    d.members.apply_sync_answer(d, records);
    let records = d.members.records_of(&wanted);
    if records.is_empty() {
        return true;
    }
    match peers::ask(d, to, &Ask::Tell { records }, ASK_TIME).await {
        Ok(_) => true,
        Err(err) => {
            log::debug!("{to} was not told what it lacks: {err}");
            false
        }
    }
}

/// Answers a comparison of tables.
pub fn on_sync(d: &Daemon, outline: &[(HostKey, u64)]) -> Response {
    let Comparison { records, wanted } = d.members.compare(outline);
    let (active, catalog) = (d.versions.active_version(), d.members.catalog());
    Response::Compared { records, wanted, active, catalog }
}

async fn join(d: &Arc<Daemon>) {
    let mut rounds = 0;
    loop {
        let mut peers: Vec<_> = d.settings.peers.clone();
        peers.retain(|addr| *addr != d.members.own().near);
        fastrand::shuffle(&mut peers);
        if rounds >= ROUNDS_ALONE {
            peers.extend(roster(d).await);
        }
        for peer in peers {
            if sync_with(d, peer).await {
                return;
            }
        }
        // Alone is a valid state: the first daemon of a failure domain has
        // nobody to join and goes on by itself.
        if rounds > ROUNDS_ALONE {
            return;
        }
        rounds += 1;
        smol::Timer::after(jitter(PAUSE.0 * rounds)).await;
    }
}

/// Reads from the platform who is there.
async fn roster(d: &Daemon) -> Vec<SocketAddr> {
    let key = keys::roster(&d.settings.failure_domain);
    let Ok(Some(pair)) = d.store.get(&key).await else { return Vec::new() };
    let roster: reader::Roster = serde_json::from_slice(&pair.value).unwrap_or_default();
    d.members.add_catalog(roster.services.into_iter().collect());
    let own = d.members.own().near;
    roster.near.into_iter().filter(|addr| *addr != own).collect()
}

/// Tries every way to a floor and to an active version once.
async fn start(d: &Arc<Daemon>) {
    if d.versions.floor().is_none() {
        smol::future::zip(stage::ask_floor(d), ask_head(d)).await;
    }
    let ObjectSource::Peers(peers) = sources::object_peers(d) else { return };
    for peer in peers {
        if d.versions.running_version() > 0 {
            return;
        }
        if let Some(what) = active_version_of(d, peer).await {
            take(d, what, peer).await;
        }
    }
}

/// Asks readers, of this and other failure domains, for a head read now.
async fn ask_head(d: &Arc<Daemon>) {
    let near = d.members.others().into_iter().filter_map(|host| d.members.get(host));
    let readers = near.filter(|record| record.reader).map(|record| record.near);
    let readers: Vec<_> = readers.chain(readers_of_other_domains(d)).collect();
    for to in readers {
        let answer = peers::ask(d, to, &Ask::Head, ASK_TIME).await;
        if let Ok(Response::Version(Some(what))) = answer {
            if what.version > 0 {
                d.versions.add_version_ref(what);
            }
            let actions = d.versions.on(Event::HeadRead(what.version));
            stage::perform(d, actions, None);
            return;
        }
    }
}

/// Catches up where somebody knows more, as records of readers tell.
async fn keep_up(d: &Arc<Daemon>) {
    let active = d.versions.active_version();
    if active > d.versions.running_version() {
        let what = match d.versions.version_ref(active) {
            Some(what) => Some(what),
            None => sources::find_version(d, active).await,
        };
        if let Some(what) = what {
            let _logged = stage::hold(d, what, &sources::object_peers(d), Scope::Selected).await;
        }
    }
}

/// Takes a version for active on a peer's word, and holds it.
async fn take(d: &Arc<Daemon>, what: VersionRef, from: SocketAddr) {
    if what.version <= d.versions.running_version() {
        return;
    }
    d.versions.add_version_ref(what);
    let ObjectSource::Peers(mut sources) = sources::object_peers(d) else { return };
    sources.insert(0, from);
    let source = ObjectSource::Peers(sources);
    let held = stage::hold(d, what, &source, Scope::Selected).await;
    let actions = d.versions.on(Event::Activated(what.version));
    if held.is_ok() {
        stage::perform(d, actions, Some(&source));
    }
}

fn jitter(pause: Duration) -> Duration {
    pause.mul_f64(0.5 + fastrand::f64())
}
