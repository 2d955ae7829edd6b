//! Stages versions: fetches their objects from the platform or from peers, and carries out the
//! actions of the state machine.

use super::costs::Purpose;
use super::sources::{self, ObjectSource};
use super::{Daemon, peers, versions::Versions};
use crate::store::{KeyValueStore, PlatformError, keys};
use cicadashift_core::delivery::node::{Action, Event};
use cicadashift_core::delivery::stage::{InvalidVersion, Scope, Staged, StagingStep};
use cicadashift_core::delivery::store::ObjectError;
use cicadashift_core::ids::{HostKey, ObjectHash, Version};
use cicadashift_http::exec;
use cicadashift_http::reactor::Timer;
use cicadashift_wire::rpc::{Request, Response, VersionRef};
use serde_bytes::ByteBuf;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time limit of one request to a peer.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of staging steps: three that fetch the root, the pages and the configurations,
/// the one that finds all of them present, and two spare.
const MAX_STAGING_STEPS: usize = 6;
/// Maximum number of objects read from the platform in one call.
const MAX_OBJECTS_PER_CALL: usize = 64;
/// Maximum size of the objects in one response to a peer; a single larger object is still sent.
const MAX_RESPONSE_BYTES: usize = 900 << 10;
/// Time between two checks whether a service that a version routes to is known.
const SERVICE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum wait for a service before the offer is answered as late.
const SERVICE_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a version is not staged.
#[derive(Debug)]
pub enum StageError {
    /// The version must not be run by this proxy.
    Invalid(InvalidVersion),
    /// The bytes that the platform returned are not the requested object.
    Object(ObjectError),
    /// No source returned these objects.
    Missing(Vec<ObjectHash>),
    /// The platform returned an error or did not answer.
    Platform(PlatformError),
    /// A route refers to a service that no daemon has announced yet.
    AwaitsService(String),
}

impl fmt::Display for StageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StageError::Invalid(invalid) => write!(f, "{invalid}"),
            StageError::Object(err) => write!(f, "{err}"),
            StageError::Missing(hashes) => {
                write!(f, "{} objects could not be fetched from any source", hashes.len())
            }
            StageError::Platform(err) => write!(f, "{err}"),
            StageError::AwaitsService(service) => write!(f, "waits for service {service:?}"),
        }
    }
}

impl std::error::Error for StageError {}

impl StageError {
    /// Returns whether the version itself is invalid, rather than not available yet.
    pub fn is_invalid(&self) -> bool {
        matches!(self, StageError::Invalid(_) | StageError::Object(_))
    }
}

/// Stages a version: fetches its objects, checks and compiles them, and informs the state machine.
///
/// # Errors
///
/// Returns [`StageError`]. Objects fetched before the error stay in the store, and no part of the
/// version is in force.
pub async fn stage_version(
    d: &Arc<Daemon>,
    version_ref: VersionRef,
    source: &ObjectSource,
    scope: Scope,
) -> Result<(), StageError> {
    if scope == Scope::Selected && d.versions.is_staged_or_running(version_ref.version) {
        return Ok(());
    }
    let result = match fetch_and_compile(d, version_ref, source, scope).await {
        Ok(staged) => report_staged(d, version_ref, staged, source, scope).await,
        Err(err) => Err(err),
    };
    if let Err(err) = &result {
        match err {
            StageError::AwaitsService(_) => {
                d.versions.mark_waiting(version_ref.version, err.to_string());
            }
            err if err.is_invalid() => {
                log::error!("version {} is invalid and is not run: {err}", version_ref.version);
                d.versions.mark_rejected(version_ref.version, err.to_string());
            }
            err => log::warn!("version {} is not staged yet: {err}", version_ref.version),
        }
    }
    result
}

/// Carries out those actions of the state machine that need more than the state of versions.
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
                exec::spawn(async move { request_promises(&d, version).await }).detach();
            }
            Action::SendTestimony(_) | Action::Decline => {}
        }
    }
}

/// Requests a promise of a version from every witness and applies their testimonies.
pub async fn request_promises(d: &Arc<Daemon>, version: Version) {
    request_testimonies(d, Request::Promise { version }).await;
}

/// Requests the floor of this fresh daemon from every witness.
pub async fn request_floor(d: &Arc<Daemon>) {
    request_testimonies(d, Request::Floor { host: d.me, life: d.versions.incarnation() }).await;
}

/// Answers a fetch with those of the requested objects that are in the store, up to
/// `MAX_RESPONSE_BYTES`.
pub fn on_fetch(d: &Daemon, hashes: &[ObjectHash]) -> Response {
    let mut out = Vec::new();
    let mut bytes = 0;
    for hash in hashes {
        if let Some(buf) = d.versions.object(*hash) {
            bytes += buf.len();
            if bytes > MAX_RESPONSE_BYTES && !out.is_empty() {
                break;
            }
            out.push((*hash, ByteBuf::from(buf.as_ref().clone())));
        }
    }
    Response::Objects(out)
}

async fn request_testimonies(d: &Arc<Daemon>, request: Request) {
    if let Request::Promise { version } = request {
        // If this daemon is a witness itself, it promises without a message.
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
            let (d, request) = (d.clone(), request.clone());
            exec::spawn(async move {
                if let Ok(Response::Testimony(Some(testimony))) =
                    peers::ask(&d, to, &request, REQUEST_TIMEOUT).await
                {
                    let actions = d.versions.on(Event::TestimonyReceived(testimony));
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
        let version_ref = match d.versions.version_ref(version) {
            Some(version_ref) => version_ref,
            None => match sources::find_version(&d, version).await {
                Some(version_ref) => version_ref,
                None => return,
            },
        };
        let source = source.unwrap_or_else(|| sources::object_peers(&d));
        let _logged = stage_version(&d, version_ref, &source, Scope::Selected).await;
    })
    .detach();
}

async fn fetch_and_compile(
    d: &Arc<Daemon>,
    version_ref: VersionRef,
    source: &ObjectSource,
    scope: Scope,
) -> Result<Staged, StageError> {
    let proxy = d.settings.proxy();
    let mut missing = Vec::new();
    for _ in 0..MAX_STAGING_STEPS {
        match d
            .versions
            .next_staging_step(version_ref, &proxy, scope)
            .map_err(StageError::Invalid)?
        {
            StagingStep::Ready(staged) => return Ok(*staged),
            StagingStep::Fetch(hashes) => {
                match source {
                    ObjectSource::Platform => fetch_from_platform(d, &hashes).await?,
                    ObjectSource::Peers(peers) => fetch_from_peers(d, peers, &hashes).await?,
                }
                missing = hashes;
            }
        }
    }
    Err(StageError::Missing(missing))
}

async fn fetch_from_platform(d: &Arc<Daemon>, hashes: &[ObjectHash]) -> Result<(), StageError> {
    for batch in hashes.chunks(MAX_OBJECTS_PER_CALL) {
        let object_keys: Vec<String> = batch.iter().map(|hash| keys::object(*hash)).collect();
        let pairs = d.store.get_many(&object_keys).await.map_err(StageError::Platform)?;
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

async fn fetch_from_peers(
    d: &Arc<Daemon>,
    peers: &[SocketAddr],
    hashes: &[ObjectHash],
) -> Result<(), StageError> {
    let mut missing = hashes.to_vec();
    for peer in peers {
        while !missing.is_empty() {
            let before = missing.len();
            fetch_from_peer(d, *peer, &missing).await;
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

async fn fetch_from_peer(d: &Arc<Daemon>, peer: SocketAddr, hashes: &[ObjectHash]) {
    let request = Request::Fetch { hashes: hashes.to_vec() };
    let objects = match peers::ask(d, peer, &request, REQUEST_TIMEOUT).await {
        Ok(Response::Objects(objects)) => objects,
        Ok(_) => return,
        Err(err) => return log::debug!("no objects from {peer}: {err}"),
    };
    for (hash, buf) in objects {
        // Bytes from a peer that do not match their hash are the fault of the peer, not of the
        // version, so the object is requested from the next peer.
        if let Err(err) = d.versions.put_object(hash, buf.into_vec()) {
            log::warn!("rejected an object from peer {peer}: {err}");
            d.metrics.incr("stage.rejected");
        }
    }
}

fn still_missing(versions: &Versions, hashes: &[ObjectHash]) -> Vec<ObjectHash> {
    hashes.iter().copied().filter(|hash| versions.object(*hash).is_none()).collect()
}

/// Reports the version as staged to the state machine once every service that it routes to is
/// known.
///
/// Failure: a route arrives before the first membership record of its service. Symptom: its calls
/// are refused although the service runs. The complete version waits until the service is known; a
/// service whose upstreams are all gone stays known.
async fn report_staged(
    d: &Arc<Daemon>,
    version_ref: VersionRef,
    staged: Staged,
    source: &ObjectSource,
    scope: Scope,
) -> Result<(), StageError> {
    let deadline = d.clock.now() + SERVICE_TIMEOUT;
    let services: Vec<&str> = staged.table.services();
    while let Some(service) = d.members.first_unknown(&services) {
        if d.clock.now() >= deadline {
            return Err(StageError::AwaitsService(service.to_string()));
        }
        Timer::after(SERVICE_POLL_INTERVAL).await;
    }
    drop(services);
    let actions = d.versions.add_staged(version_ref, staged, scope);
    perform(d, actions, Some(source));
    Ok(())
}
