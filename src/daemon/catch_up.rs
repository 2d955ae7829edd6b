//! Joins the mesh, finds the floor after a start, and catches up with missed versions.

use super::sources::{self, ObjectSource, active_version_of, readers_of_other_domains};
use super::{Daemon, peers, reader, stage};
use crate::store::{KeyValueStore, keys};
use cicadashift_core::delivery::node::Event;
use cicadashift_core::delivery::stage::Scope;
use cicadashift_core::ids::HostKey;
use cicadashift_core::membership::table::Comparison;
use cicadashift_http::reactor::Timer;
use cicadashift_wire::rpc::{Request, Response, VersionRef};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time limit of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// First and longest backoff between two attempts to bring a first version into force.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(40), Duration::from_millis(1000));
/// Rounds without a response of a peer before the roster on the platform is read.
const ROUNDS_BEFORE_ROSTER: u32 = 3;
/// Mean time between two checks whether a version was missed.
const KEEP_UP_INTERVAL: Duration = Duration::from_millis(1000);

/// Joins the mesh, brings the first version into force, and then keeps up with new versions.
pub async fn run(d: Arc<Daemon>) {
    join(&d).await;
    let mut pause = BACKOFF.0;
    loop {
        if d.versions.running_version() == 0 {
            find_first_version(&d).await;
            Timer::after(jitter(pause)).await;
            pause = (pause * 2).min(BACKOFF.1);
        } else {
            Timer::after(jitter(KEEP_UP_INTERVAL)).await;
        }
        stage_active_version(&d).await;
        sync_with_unknown_peer(&d).await;
    }
}

/// Compares tables with a random peer from the settings that is not known to be live.
///
/// Failure: daemons start at the same moment and some find no peer, or a partition inside the
/// failure domain makes each side mark the other as dead. Symptom: two groups that stay separate,
/// because dead members are not probed. The peers in the settings are the same for all daemons, so
/// one comparison that succeeds joins the groups; a dead peer costs a refused connection.
async fn sync_with_unknown_peer(d: &Arc<Daemon>) {
    let own = d.members.own().near;
    let live: Vec<_> = d.members.others().iter().filter_map(|h| d.members.address(*h)).collect();
    let peers = d.settings.peers.iter().copied();
    let unknown: Vec<_> = peers.filter(|addr| *addr != own && !live.contains(addr)).collect();
    if let Some(peer) = fastrand::choice(&unknown) {
        sync_with(d, *peer).await;
    }
}

/// Fetches and activates the active version of a member, which is higher than the one here.
pub async fn fetch_active_version(d: &Arc<Daemon>, from: HostKey) {
    let Some(to) = d.members.address(from) else { return };
    if let Some(version_ref) = active_version_of(d, to).await {
        activate_from_peer(d, version_ref, to).await;
    }
}

/// Compares membership tables with a peer, so that both have the records of either; returns whether
/// the comparison succeeded.
///
/// Only outlines and differing records are sent.
pub async fn sync_with(d: &Arc<Daemon>, to: SocketAddr) -> bool {
    let (outline, own) = (d.members.outline(), d.members.own());
    let request = Request::Sync { outline, records: vec![own] };
    let answer = peers::ask(d, to, &request, REQUEST_TIMEOUT).await;
    let Ok(Response::Compared { records, wanted, active: _, catalog }) = answer else {
        return false;
    };
    d.members.add_catalog(catalog);
    d.members.apply_sync_answer(d, records);
    let records = d.members.records_of(&wanted);
    if records.is_empty() {
        return true;
    }
    match peers::ask(d, to, &Request::PushRecords { records }, REQUEST_TIMEOUT).await {
        Ok(_) => true,
        Err(err) => {
            log::debug!("{to} did not receive the records that it lacks: {err}");
            false
        }
    }
}

/// Answers a comparison of membership tables.
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
        if rounds >= ROUNDS_BEFORE_ROSTER {
            peers.extend(read_roster(d).await);
        }
        for peer in peers {
            if sync_with(d, peer).await {
                return;
            }
        }
        // The first daemon of a failure domain has no peer to join, so it continues
        // alone.
        if rounds > ROUNDS_BEFORE_ROSTER {
            return;
        }
        rounds += 1;
        Timer::after(jitter(BACKOFF.0 * rounds)).await;
    }
}

/// Returns the addresses of other members from the roster on the platform.
async fn read_roster(d: &Daemon) -> Vec<SocketAddr> {
    let key = keys::roster(&d.settings.failure_domain);
    let Ok(Some(pair)) = d.store.get(&key).await else { return Vec::new() };
    let roster: reader::Roster = serde_json::from_slice(&pair.value).unwrap_or_default();
    d.members.add_catalog(roster.services.into_iter().collect());
    let own = d.members.own().near;
    roster.near.into_iter().filter(|addr| *addr != own).collect()
}

/// Tries each source of a floor and of an active version once.
async fn find_first_version(d: &Arc<Daemon>) {
    if d.versions.floor().is_none() {
        smol::future::zip(stage::request_floor(d), request_head(d)).await;
    }
    let ObjectSource::Peers(peers) = sources::object_peers(d) else { return };
    for peer in peers {
        if d.versions.running_version() > 0 {
            return;
        }
        if let Some(version_ref) = active_version_of(d, peer).await {
            activate_from_peer(d, version_ref, peer).await;
        }
    }
}

/// Requests a head that is read now from the readers of this and other failure domains.
async fn request_head(d: &Arc<Daemon>) {
    let near = d.members.others().into_iter().filter_map(|host| d.members.get(host));
    let readers = near.filter(|record| record.reader).map(|record| record.near);
    let readers: Vec<_> = readers.chain(readers_of_other_domains(d)).collect();
    for to in readers {
        let answer = peers::ask(d, to, &Request::Head, REQUEST_TIMEOUT).await;
        if let Ok(Response::Version(Some(version_ref))) = answer {
            if version_ref.version > 0 {
                d.versions.add_version_ref(version_ref);
            }
            let actions = d.versions.on(Event::HeadRead(version_ref.version));
            stage::perform(d, actions, None);
            return;
        }
    }
}

/// Stages the active version if an older one is running.
async fn stage_active_version(d: &Arc<Daemon>) {
    let active = d.versions.active_version();
    if active > d.versions.running_version() {
        let version_ref = match d.versions.version_ref(active) {
            Some(version_ref) => Some(version_ref),
            None => sources::find_version(d, active).await,
        };
        if let Some(version_ref) = version_ref {
            let _logged =
                stage::stage_version(d, version_ref, &sources::object_peers(d), Scope::Selected)
                    .await;
        }
    }
}

/// Stages and activates a version that is active on a peer.
async fn activate_from_peer(d: &Arc<Daemon>, version_ref: VersionRef, from: SocketAddr) {
    if version_ref.version <= d.versions.running_version() {
        return;
    }
    d.versions.add_version_ref(version_ref);
    let ObjectSource::Peers(mut sources) = sources::object_peers(d) else { return };
    sources.insert(0, from);
    let source = ObjectSource::Peers(sources);
    let staged = stage::stage_version(d, version_ref, &source, Scope::Selected).await;
    let actions = d.versions.on(Event::Activated(version_ref.version));
    if staged.is_ok() {
        stage::perform(d, actions, Some(&source));
    }
}

fn jitter(pause: Duration) -> Duration {
    pause.mul_f64(0.5 + fastrand::f64())
}
