//! Changing the configuration: one operation is one new version.

use super::OperatorError;
use crate::daemon::reader::Roster;
use crate::store::{Platform, PlatformError, Revision, Swap, keys};
use cicadashift_core::config::manifest::{
    self, ConfigEntry, ConfigPage, LabelPage, Manifest, Object, Root, SelectorPage,
};
use cicadashift_core::config::{Config, Invalid};
use cicadashift_core::delivery::head::{Head, Operation, OperationOutcome, resolve_outcome};
use cicadashift_core::ids::{ObjectHash, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Times an operation is tried against racing operators and lost answers.
const ATTEMPTS: u32 = 8;
/// Longest first pause between two attempts; doubles with each.
const PAUSE: Duration = Duration::from_millis(60);
/// Largest value, as the platform's owners give it.
const MAX_VALUE: usize = 1 << 20;

/// All of one version, as the platform holds it.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The head.
    pub head: Head,
    /// When the head last changed.
    pub revision: Revision,
    /// Its contents.
    pub manifest: Manifest,
    /// Hashes of the pages that it is made of.
    pages: BTreeSet<ObjectHash>,
}

/// Reads the newest version.
///
/// # Errors
///
/// Returns [`OperatorError`] where the platform does not answer or a page is
/// missing.
pub async fn snapshot(platform: &impl Platform) -> Result<Snapshot, OperatorError> {
    let Some(pair) = platform.get(keys::HEAD).await? else { return Ok(Snapshot::default()) };
    let head: Head = serde_json::from_slice(&pair.value)
        .map_err(|_| OperatorError::Damaged("head".to_string()))?;
    let Some(root_hash) = head.root_hash() else {
        return Ok(Snapshot { head, revision: pair.revision, ..Snapshot::default() });
    };
    let root: Root = decode(&fetch(platform, &[root_hash]).await?, root_hash)?;
    let names = root.all_pages();
    let objects = fetch(platform, &names).await?;
    let mut manifest = Manifest::default();
    for hash in root.configs {
        manifest.configs.extend(decode::<ConfigPage>(&objects, hash)?);
    }
    for hash in root.labels {
        manifest.labels.extend(decode::<LabelPage>(&objects, hash)?);
    }
    manifest.selectors = decode::<SelectorPage>(&objects, root.selectors)?;
    let pages = names.into_iter().collect();
    Ok(Snapshot { head, revision: pair.revision, manifest, pages })
}

/// Returns the text of a configuration.
///
/// # Errors
///
/// Returns [`OperatorError::NotFound`] where there is none with this id.
pub async fn text(platform: &impl Platform, id: &str) -> Result<Vec<u8>, OperatorError> {
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
pub async fn services(platform: &impl Platform) -> Result<BTreeSet<String>, OperatorError> {
    let pairs = platform.list(keys::ROSTERS, false).await?;
    let rosters =
        pairs.iter().filter_map(|pair| serde_json::from_slice::<Roster>(&pair.value).ok());
    Ok(rosters.flat_map(|roster| roster.services).collect())
}

/// Parses a configuration and makes the operation that accepts it.
///
/// # Errors
///
/// Returns [`Invalid`] for what no proxy could run.
pub fn accepting(buf: &[u8]) -> Result<(Operation, Config, Object), Invalid> {
    let cfg = Config::parse(buf)?;
    // Hashes are of the text as it was checked, without an operator's spacing,
    // so that the same configuration is the same object.
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

/// Checks that every service a configuration routes to has been announced.
///
/// # Errors
///
/// Returns [`Invalid::UnknownService`] for the first that has not.
pub fn check_services(cfg: &Config, known: &BTreeSet<String>) -> Result<(), Invalid> {
    for route in &cfg.routes {
        if let Some(service) = route.services().find(|service| !known.contains(*service)) {
            let (config, service) = (cfg.id.clone(), service.to_string());
            return Err(Invalid::UnknownService { config, service });
        }
    }
    Ok(())
}

/// Carries an operation out and returns the version that it made.
///
/// # Errors
///
/// Returns [`OperatorError`]. After `Refused` and `Invalid` nothing has changed.
/// Only [`cicadashift_core::delivery::head::Refused::OutcomeUnknown`] and a platform
/// whose answers stay lost leave that open, and say so.
pub async fn commit(
    platform: &impl Platform,
    op: &Operation,
    extra: Option<Object>,
    wall_ms: u64,
) -> Result<Version, OperatorError> {
    let op_id = format!("{:016x}", fastrand::u64(..));
    let first = snapshot_patiently(platform).await?;
    let (base, mut now) = (first.clone(), first);
    for attempt in 0..ATTEMPTS {
        if attempt > 0 {
            let pause = PAUSE * 2_u32.pow(attempt.min(5));
            smol::Timer::after(pause.mul_f64(fastrand::f64())).await;
            now = snapshot_patiently(platform).await?;
            match resolve_outcome(&now.head, &op_id, base.head.version)? {
                OperationOutcome::Done(version) => return Ok(version),
                OperationOutcome::Retry => refuse_if_raced(op, &base, &now)?,
            }
        }
        match attempt_once(platform, op, &extra, &now, &op_id, wall_ms).await {
            Ok(Some(version)) => return Ok(version),
            Ok(None) => {}
            Err(OperatorError::Platform(err)) if may_pass(&err) => {}
            Err(err) => return Err(err),
        }
    }
    Err(OperatorError::Busy(ATTEMPTS))
}

/// Writes objects, then swaps the head; `None` if the head had changed.
///
/// Objects go first: a crash in between leaves objects that nobody names, which
/// readers collect by age, and never a head that names what is not there.
async fn attempt_once(
    platform: &impl Platform,
    op: &Operation,
    extra: &Option<Object>,
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
    objects.extend(extra.clone());
    let mut pairs: Vec<(String, Vec<u8>)> =
        objects.into_iter().map(|(hash, buf)| (keys::object(hash), buf)).collect();
    pairs.sort();
    pairs.dedup();
    if let Some((_, buf)) = pairs.iter().find(|(_, buf)| buf.len() > MAX_VALUE) {
        return Err(OperatorError::TooLarge(buf.len()));
    }
    platform.put_many(&pairs).await?;
    let head = now.head.successor(op_id, root_hash, wall_ms);
    let buf = serde_json::to_vec(&head).map_err(|err| OperatorError::Damaged(err.to_string()))?;
    match platform.swap(keys::HEAD, now.revision, &buf, None).await? {
        Swap::Done => Ok(Some(version)),
        Swap::Lost => Ok(None),
    }
}

/// Reads the newest version, also through a short outage: an operation whose
/// answer was lost must be settled if that is possible at all.
async fn snapshot_patiently(platform: &impl Platform) -> Result<Snapshot, OperatorError> {
    let mut last = Err(OperatorError::Busy(0));
    for attempt in 0..ATTEMPTS {
        last = snapshot(platform).await;
        match &last {
            Err(OperatorError::Platform(err)) if may_pass(err) => {
                smol::Timer::after(PAUSE * 2_u32.pow(attempt.min(4))).await;
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

fn may_pass(err: &PlatformError) -> bool {
    !matches!(err, PlatformError::Unset | PlatformError::Protocol(_))
}

async fn fetch(
    platform: &impl Platform,
    hashes: &[ObjectHash],
) -> Result<BTreeMap<ObjectHash, Vec<u8>>, OperatorError> {
    let names: Vec<String> = hashes.iter().map(|hash| keys::object(*hash)).collect();
    let pairs = platform.get_many(&names).await?;
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
