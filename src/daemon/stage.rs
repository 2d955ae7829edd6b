//! Fetching what a version needs, from whoever has it, and what follows.

use super::costs::Purpose;
use super::sources::{self, ObjectSource};
use super::{Daemon, peers, versions::Versions};
use crate::store::{Platform, PlatformError, keys};
use cicadashift_core::delivery::node::{Action, Event};
use cicadashift_core::delivery::stage::{InvalidVersion, Scope, Staged, StagingStep};
use cicadashift_core::delivery::store::ObjectError;
use cicadashift_core::ids::{HostKey, ObjectHash, Version};
use cicadashift_http::exec;
use cicadashift_wire::rpc::{Request as Ask, Response, VersionRef};
use serde_bytes::ByteBuf;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time for one fetch from a peer.
const FETCH_TIME: Duration = Duration::from_millis(800);
/// Rounds of fetching; root, pages, configurations, and one to spare.
const MAX_ROUNDS: usize = 6;
/// Bytes of objects read from the platform in one call.
const PLATFORM_BATCH: usize = 64;
/// Most bytes of objects in one answer to a peer.
const ANSWER_BYTES: usize = 900 << 10;
/// Time between two looks for a service that a version waits for.
const SERVICE_STEP: Duration = Duration::from_millis(50);
/// Longest wait for a service before an offer is answered as late.
const SERVICE_WAIT: Duration = Duration::from_millis(500);

/// Why a version is not held.
#[derive(Debug)]
pub enum StageError {
    /// It must not be run here.
    Invalid(InvalidVersion),
    /// The bytes that came are not the object.
    Object(ObjectError),
    /// No source had these objects.
    Missing(Vec<ObjectHash>),
    /// The platform did not answer.
    Platform(PlatformError),
    /// A route names a service that nobody has announced yet.
    AwaitsService(String),
}

impl fmt::Display for StageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StageError::Invalid(bad) => write!(f, "{bad}"),
            StageError::Object(rejected) => write!(f, "{rejected}"),
            StageError::Missing(hashes) => write!(f, "{} objects are not to be had", hashes.len()),
            StageError::Platform(err) => write!(f, "{err}"),
            StageError::AwaitsService(service) => write!(f, "waits for service {service:?}"),
        }
    }
}

impl std::error::Error for StageError {}

impl StageError {
    /// Returns whether the version itself is at fault, whoever asks.
    pub fn is_invalid(&self) -> bool {
        matches!(self, StageError::Invalid(_) | StageError::Object(_))
    }
}

/// Holds a version: fetches, checks, compiles, and tells the node.
///
/// # Errors
///
/// Returns [`StageError`]; whatever came is kept in the store, and nothing of it
/// is in force.
pub async fn hold(
    d: &Arc<Daemon>,
    what: VersionRef,
    source: &ObjectSource,
    scope: Scope,
) -> Result<(), StageError> {
    if scope == Scope::Selected && d.versions.is_staged_or_running(what.version) {
        return Ok(());
    }
    let result = match fetch(d, what, source, scope).await {
        Ok(staged) => finish(d, what, staged, source, scope).await,
        Err(err) => Err(err),
    };
    if let Err(err) = &result {
        match err {
            StageError::AwaitsService(_) => {
                d.versions.mark_waiting(what.version, err.to_string());
            }
            err if err.is_invalid() => {
                log::error!("version {} is bad and is not run: {err}", what.version);
                d.versions.mark_rejected(what.version, err.to_string());
            }
            err => log::warn!("version {} is not held yet: {err}", what.version),
        }
    }
    result
}

/// Does what the node decided and the versions' state could not do itself.
pub fn perform(d: &Arc<Daemon>, actions: Vec<Action>, source: Option<&ObjectSource>) {
    for action in actions {
        match action {
            Action::Run(version) => {
                log::info!("version {version} is in force");
                d.metrics.gauge("version.running", version);
            }
            Action::Stage(version) => stage_later(d, version, source.cloned()),
            Action::RequestPromises(version) => {
                let d = d.clone();
                exec::spawn(async move { ask_promises(&d, version).await }).detach();
            }
            Action::SendTestimony(_) | Action::Decline => {}
        }
    }
}

/// Asks every witness to promise a version and takes in what they say.
pub async fn ask_promises(d: &Arc<Daemon>, version: Version) {
    ask_witnesses(d, Ask::Promise { version }).await;
}

/// Asks every witness what this fresh daemon must not go below.
pub async fn ask_floor(d: &Arc<Daemon>) {
    ask_witnesses(d, Ask::Floor { host: d.me, life: d.versions.incarnation() }).await;
}

/// Answers a fetch with those of the objects that are held.
pub fn on_fetch(d: &Daemon, hashes: &[ObjectHash]) -> Response {
    let mut out = Vec::new();
    let mut bytes = 0;
    for hash in hashes {
        if let Some(buf) = d.versions.object(*hash) {
            bytes += buf.len();
            if bytes > ANSWER_BYTES && !out.is_empty() {
                break;
            }
            out.push((*hash, ByteBuf::from(buf.as_ref().clone())));
        }
    }
    Response::Objects(out)
}

async fn ask_witnesses(d: &Arc<Daemon>, ask: Ask) {
    if let Ask::Promise { version } = ask {
        // The daemon's own promise, where it is a witness, needs no message.
        let actions = d.versions.on(Event::PromiseRequested(version));
        perform(d, actions, None);
    }
    let tasks: Vec<_> = d
        .settings
        .witnesses
        .iter()
        .map(|name| HostKey::of(name))
        .filter(|host| *host != d.me)
        .filter_map(|host| d.members.address(host))
        .map(|to| {
            let (d, ask) = (d.clone(), ask.clone());
            exec::spawn(async move {
                if let Ok(Response::Testimony(Some(said))) =
                    peers::ask(&d, to, &ask, FETCH_TIME).await
                {
                    let actions = d.versions.on(Event::TestimonyReceived(said));
                    perform(&d, actions, Some(&ObjectSource::Peers(vec![to])));
                }
            })
        })
        .collect();
    for task in tasks {
        task.await;
    }
}

fn stage_later(d: &Arc<Daemon>, version: Version, source: Option<ObjectSource>) {
    let d = d.clone();
    exec::spawn(async move {
        let what = match d.versions.version_ref(version) {
            Some(what) => what,
            None => match sources::find_version(&d, version).await {
                Some(what) => what,
                None => return,
            },
        };
        let source = source.unwrap_or_else(|| sources::object_peers(&d));
        let _logged = hold(&d, what, &source, Scope::Selected).await;
    })
    .detach();
}

async fn fetch(
    d: &Arc<Daemon>,
    what: VersionRef,
    source: &ObjectSource,
    scope: Scope,
) -> Result<Staged, StageError> {
    let proxy = d.settings.proxy();
    let mut missing = Vec::new();
    for _ in 0..MAX_ROUNDS {
        match d.versions.next_staging_step(what, &proxy, scope).map_err(StageError::Invalid)? {
            StagingStep::Ready(staged) => return Ok(*staged),
            StagingStep::Fetch(hashes) => {
                match source {
                    ObjectSource::Platform => from_platform(d, &hashes).await?,
                    ObjectSource::Peers(peers) => from_peers(d, peers, &hashes).await?,
                }
                missing = hashes;
            }
        }
    }
    Err(StageError::Missing(missing))
}

async fn from_platform(d: &Arc<Daemon>, hashes: &[ObjectHash]) -> Result<(), StageError> {
    for batch in hashes.chunks(PLATFORM_BATCH) {
        let names: Vec<String> = batch.iter().map(|hash| keys::object(*hash)).collect();
        let pairs = d.store.get_many(&names).await.map_err(StageError::Platform)?;
        for pair in pairs {
            let hash = pair.key.strip_prefix(keys::OBJECTS).and_then(ObjectHash::from_hex);
            d.costs.add(Purpose::Control, false, pair.value.len());
            if let Some(hash) = hash {
                d.versions.put_object(hash, pair.value).map_err(StageError::Object)?;
            }
        }
    }
    Ok(())
}

async fn from_peers(
    d: &Arc<Daemon>,
    peers: &[SocketAddr],
    hashes: &[ObjectHash],
) -> Result<(), StageError> {
    let mut missing = hashes.to_vec();
    for peer in peers {
        while !missing.is_empty() {
            let before = missing.len();
            fetch_from(d, *peer, &missing).await;
            missing = still_missing(&d.versions, &missing);
            if missing.len() == before {
                break;
            }
        }
        if missing.is_empty() {
            return Ok(());
        }
    }
    Err(StageError::Missing(missing))
}

async fn fetch_from(d: &Arc<Daemon>, peer: SocketAddr, hashes: &[ObjectHash]) {
    let ask = Ask::Fetch { hashes: hashes.to_vec() };
    let objects = match peers::ask(d, peer, &ask, FETCH_TIME).await {
        Ok(Response::Objects(objects)) => objects,
        Ok(_) => return,
        Err(err) => return log::debug!("no objects from {peer}: {err}"),
    };
    for (hash, buf) in objects {
        // Bytes from a peer that do not fit their name are the peer's fault,
        // not the version's: the next peer is asked for them.
        if let Err(err) = d.versions.put_object(hash, buf.into_vec()) {
            log::warn!("peer {peer}: {err}");
            d.metrics.incr("stage.rejected");
        }
    }
}

fn still_missing(versions: &Versions, hashes: &[ObjectHash]) -> Vec<ObjectHash> {
    hashes.iter().copied().filter(|hash| versions.object(*hash).is_none()).collect()
}

/// Tells the node once every service that the version routes to is known.
///
/// Failure: a route arrives before the first news of its service. Symptom: its
/// calls are refused although the service runs. The version waits whole until
/// the service is known; a service whose upstreams are all gone stays known.
async fn finish(
    d: &Arc<Daemon>,
    what: VersionRef,
    staged: Staged,
    source: &ObjectSource,
    scope: Scope,
) -> Result<(), StageError> {
    let until = d.clock.now() + SERVICE_WAIT;
    let services: Vec<&str> = staged.table.services();
    while let Some(service) = d.members.first_unknown(&services) {
        if d.clock.now() >= until {
            return Err(StageError::AwaitsService(service.to_string()));
        }
        smol::Timer::after(SERVICE_STEP).await;
    }
    drop(services);
    let actions = d.versions.add_staged(what, staged, scope);
    perform(d, actions, Some(source));
    Ok(())
}
