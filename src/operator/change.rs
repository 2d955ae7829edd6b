//! Changing the configuration: one operation is one new version.

use super::OperatorError;
use crate::daemon::reader::Roster;
use crate::store::{ConditionalWrite, KeyValueStore, PlatformError, Revision, keys};
use cicadashift_core::config::manifest::{
    self, ConfigEntry, ConfigPage, LabelPage, Manifest, Object, Root, SelectorPage,
};
use cicadashift_core::config::{Config, Invalid};
use cicadashift_core::delivery::head::{Head, Operation, OperationOutcome, resolve_outcome};
use cicadashift_core::ids::{ObjectHash, Version};
use cicadashift_http::reactor::Timer;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Attempts at one operation, against concurrent operators and lost answers.
const MAX_ATTEMPTS: u32 = 8;
/// Base of the backoff between two attempts, which doubles with each attempt.
const BASE_BACKOFF: Duration = Duration::from_millis(60);
/// Largest value that the platform stores, as its owners state.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// The complete contents of one version on the platform.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The head.
    pub head: Head,
    /// Revision of the last change of the head.
    pub revision: Revision,
    /// The contents of the version.
    pub manifest: Manifest,
    /// Hashes of the pages that the manifest consists of.
    pages: BTreeSet<ObjectHash>,
}

/// Reads the newest version.
///
/// # Errors
///
/// Returns [`OperatorError`] where the platform does not answer, or where the head or a
/// page is missing or damaged.
pub async fn snapshot(platform: &impl KeyValueStore) -> Result<Snapshot, OperatorError> {
    let Some(pair) = platform.get(keys::HEAD).await? else { return Ok(Snapshot::default()) };
    let head: Head = serde_json::from_slice(&pair.value)
        .map_err(|_| OperatorError::Damaged("head".to_string()))?;
    let Some(root_hash) = head.root_hash() else {
        return Ok(Snapshot { head, revision: pair.revision, ..Snapshot::default() });
    };
    let root: Root = decode(&fetch(platform, &[root_hash]).await?, root_hash)?;
    let page_hashes = root.all_pages();
    let objects = fetch(platform, &page_hashes).await?;
    let mut manifest = Manifest::default();
    for hash in root.configs {
        manifest.configs.extend(decode::<ConfigPage>(&objects, hash)?);
    }
    for hash in root.labels {
        manifest.labels.extend(decode::<LabelPage>(&objects, hash)?);
    }
    manifest.selectors = decode::<SelectorPage>(&objects, root.selectors)?;
    let pages = page_hashes.into_iter().collect();
    Ok(Snapshot { head, revision: pair.revision, manifest, pages })
}

/// Returns the text of a configuration.
///
/// # Errors
///
/// Returns [`OperatorError::NotFound`] where no configuration has this id.
pub async fn config_text(
    platform: &impl KeyValueStore,
    id: &str,
) -> Result<Vec<u8>, OperatorError> {
    let snapshot = snapshot(platform).await?;
    let missing = || OperatorError::NotFound(format!("configuration {id:?}"));
    let entry = snapshot.manifest.configs.get(id).ok_or_else(missing)?;
    let objects = fetch(platform, &[entry.hash]).await?;
    objects
        .get(&entry.hash)
        .cloned()
        .ok_or_else(|| OperatorError::Damaged(format!("object {}", entry.hash)))
}

/// Returns every service that an upstream has ever announced.
///
/// # Errors
///
/// Returns the platform's error.
pub async fn services(platform: &impl KeyValueStore) -> Result<BTreeSet<String>, OperatorError> {
    let pairs = platform.list(keys::ROSTERS, false).await?;
    let rosters =
        pairs.iter().filter_map(|pair| serde_json::from_slice::<Roster>(&pair.value).ok());
    Ok(rosters.flat_map(|roster| roster.services).collect())
}

/// Parses a configuration and returns the operation that accepts it, the parsed
/// configuration and the object to store.
///
/// # Errors
///
/// Returns [`Invalid`] for a configuration that no proxy could run.
pub fn prepare_accept(buf: &[u8]) -> Result<(Operation, Config, Object), Invalid> {
    let cfg = Config::parse(buf)?;
    // The hash covers the configuration as serialised here, not the operator's file with
    // its spacing, so that equal configurations are the same object.
    let buf = serde_json::to_vec(&cfg).map_err(|err| Invalid::Json(err.to_string()))?;
    let hash = ObjectHash::of(&buf);
    let entry = ConfigEntry {
        id: cfg.id.clone(),
        labels: cfg.labels.clone(),
        hash,
        bytes: buf.len() as u64,
    };
    Ok((Operation::Accept(entry), cfg, (hash, buf)))
}

/// Checks that all services that a configuration routes to have been announced.
///
/// # Errors
///
/// Returns [`Invalid::UnknownService`] for the first service that has not.
pub fn check_services(cfg: &Config, announced: &BTreeSet<String>) -> Result<(), Invalid> {
    for route in &cfg.routes {
        if let Some(service) = route.services().find(|service| !announced.contains(*service)) {
            let (config, service) = (cfg.id.clone(), service.to_string());
            return Err(Invalid::UnknownService { config, service });
        }
    }
    Ok(())
}

/// Commits an operation and returns the version that it created.
///
/// # Errors
///
/// Returns [`OperatorError`]. After `Refused` and `Invalid` nothing has changed, except
/// that [`cicadashift_core::delivery::head::Refused::OutcomeUnknown`] and the errors of a
/// platform whose answers stay lost leave open whether the operation took effect.
pub async fn commit(
    platform: &impl KeyValueStore,
    op: &Operation,
    config_object: Option<Object>,
    wall_ms: u64,
) -> Result<Version, OperatorError> {
    let op_id = format!("{:016x}", fastrand::u64(..));
    let first = snapshot_with_retry(platform).await?;
    let (base, mut now) = (first.clone(), first);
    for attempt in 0..MAX_ATTEMPTS {
        if attempt > 0 {
            let pause = BASE_BACKOFF * 2_u32.pow(attempt.min(5));
            Timer::after(pause.mul_f64(fastrand::f64())).await;
            now = snapshot_with_retry(platform).await?;
            match resolve_outcome(&now.head, &op_id, base.head.version)? {
                OperationOutcome::Done(version) => return Ok(version),
                OperationOutcome::Retry => refuse_if_raced(op, &base, &now)?,
            }
        }
        match try_commit(platform, op, &config_object, &now, &op_id, wall_ms).await {
            Ok(Some(version)) => return Ok(version),
            Ok(None) => {}
            Err(OperatorError::Platform(err)) if is_transient(&err) => {}
            Err(err) => return Err(err),
        }
    }
    Err(OperatorError::AttemptsExhausted(MAX_ATTEMPTS))
}

/// Writes the objects, then swaps the head; returns `None` if the head had changed.
///
/// The objects are written first: a crash in between leaves unreferenced objects, which
/// readers delete by age, and never a head that refers to missing objects.
async fn try_commit(
    platform: &impl KeyValueStore,
    op: &Operation,
    config_object: &Option<Object>,
    now: &Snapshot,
    op_id: &str,
    wall_ms: u64,
) -> Result<Option<Version>, OperatorError> {
    let mut manifest = now.manifest.clone();
    op.apply(&mut manifest)?;
    let version = now.head.version + 1;
    let (root, mut objects) = manifest.paginate(version);
    objects.retain(|(hash, _)| !now.pages.contains(hash));
    let root_buf = manifest::encode(&root);
    let root_hash = ObjectHash::of(&root_buf);
    objects.push((root_hash, root_buf));
    objects.extend(config_object.clone());
    let mut pairs: Vec<(String, Vec<u8>)> =
        objects.into_iter().map(|(hash, buf)| (keys::object(hash), buf)).collect();
    pairs.sort();
    pairs.dedup();
    if let Some((_, buf)) = pairs.iter().find(|(_, buf)| buf.len() > MAX_VALUE_BYTES) {
        return Err(OperatorError::TooLarge(buf.len()));
    }
    platform.put_many(&pairs).await?;
    let head = now.head.successor(op_id, root_hash, wall_ms);
    let buf = serde_json::to_vec(&head).map_err(|err| OperatorError::Damaged(err.to_string()))?;
    match platform.compare_and_swap(keys::HEAD, now.revision, &buf, None).await? {
        ConditionalWrite::Applied => Ok(Some(version)),
        ConditionalWrite::Rejected => Ok(None),
    }
}

/// Reads the newest version, retrying through a short outage: whether an operation whose
/// answer was lost took effect can only be determined from the head.
async fn snapshot_with_retry(platform: &impl KeyValueStore) -> Result<Snapshot, OperatorError> {
    let mut last = Err(OperatorError::AttemptsExhausted(0));
    for attempt in 0..MAX_ATTEMPTS {
        last = snapshot(platform).await;
        match &last {
            Err(OperatorError::Platform(err)) if is_transient(err) => {
                Timer::after(BASE_BACKOFF * 2_u32.pow(attempt.min(4))).await;
            }
            _ => return last,
        }
    }
    last
}

fn refuse_if_raced(op: &Operation, base: &Snapshot, now: &Snapshot) -> Result<(), OperatorError> {
    if op.subject_differs(&base.manifest, &now.manifest) {
        return Err(OperatorError::Refused(cicadashift_core::delivery::head::Refused::Conflict {
            what: op.subject(),
            since: base.head.version,
            now: now.head.version,
        }));
    }
    Ok(())
}

fn is_transient(err: &PlatformError) -> bool {
    !matches!(err, PlatformError::NoAddress | PlatformError::Protocol(_))
}

async fn fetch(
    platform: &impl KeyValueStore,
    hashes: &[ObjectHash],
) -> Result<BTreeMap<ObjectHash, Vec<u8>>, OperatorError> {
    let object_keys: Vec<String> = hashes.iter().map(|hash| keys::object(*hash)).collect();
    let pairs = platform.get_many(&object_keys).await?;
    let mut out = BTreeMap::new();
    for pair in pairs {
        let hash = pair.key.strip_prefix(keys::OBJECTS).and_then(ObjectHash::from_hex);
        let intact = hash.filter(|hash| ObjectHash::of(&pair.value) == *hash);
        let hash = intact.ok_or_else(|| OperatorError::Damaged(pair.key.clone()))?;
        out.insert(hash, pair.value);
    }
    Ok(out)
}

fn decode<T: for<'de> serde::Deserialize<'de>>(
    objects: &BTreeMap<ObjectHash, Vec<u8>>,
    hash: ObjectHash,
) -> Result<T, OperatorError> {
    objects
        .get(&hash)
        .and_then(|buf| manifest::decode(buf))
        .ok_or_else(|| OperatorError::Damaged(format!("object {hash}")))
}
