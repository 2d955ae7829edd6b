//! Configuration versions of one daemon: those held, promised and in force.

use super::document::DocumentState;
use super::lock;
use crate::clock::Clock;
use crate::settings::Settings;
use bytes::Bytes;
use cicadashift_core::config::compile::RoutingTable;
use cicadashift_core::config::manifest::{self, Root};
use cicadashift_core::delivery::node::{Action, Event, Guards, Node};
use cicadashift_core::delivery::stage::{self, InvalidVersion, Scope, Staged, StagingStep};
use cicadashift_core::delivery::store::{ObjectError, Store};
use cicadashift_core::delivery::witness::WitnessSet;
use cicadashift_core::ids::{HostKey, Incarnation, ObjectHash, Version};
use cicadashift_edge::store::Revision;
use cicadashift_wire::rpc::{ManifestDelta, VersionRef};
use serde_bytes::ByteBuf;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, RwLock};

/// Number of versions, the newest ones, whose objects are kept.
const KEPT_VERSIONS: usize = 3;
/// Largest page, in bytes, that is sent along with an offer.
const MAX_DELTA_PAGE: usize = 2048;
/// Rejected versions remembered for `status`.
const MAX_REJECTED: usize = 16;

/// The configuration that a proxy runs.
#[derive(Debug, Default)]
pub struct RunningConfig {
    /// Routing table; empty at version zero.
    pub table: RoutingTable,
    /// Ids of the configurations in the table.
    pub selected: Vec<String>,
    /// Paths at which upstreams report their health, by service.
    pub health_paths: BTreeMap<String, String>,
    /// When it came into force, in milliseconds since 1970.
    pub since_ms: u64,
}

struct Inner {
    node: Node,
    store: Store,
    refs: BTreeMap<Version, VersionRef>,
    staged: BTreeMap<Version, Staged>,
    objects: BTreeMap<Version, BTreeSet<ObjectHash>>,
    rejected: BTreeMap<Version, String>,
    waiting: BTreeMap<Version, String>,
    newest_complete: Version,
}

/// State of versions as `status` reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary {
    /// Version in force here.
    pub running: Version,
    /// Highest version safe to run.
    pub active: Version,
    /// Highest version held.
    pub held: Version,
    /// Version that this daemon must not fall below, once known.
    pub floor: Option<Version>,
    /// Newest version known.
    pub newest: Version,
    /// Rejected versions with the reason.
    pub rejected: BTreeMap<Version, String>,
    /// Versions that are not in force yet, with what they wait for.
    pub waiting: BTreeMap<Version, String>,
    /// Ids of the configurations in force here.
    pub selected: Vec<String>,
    /// When the running version came into force, in milliseconds since 1970.
    pub since_ms: u64,
    /// Number of objects held, and their size in bytes.
    pub objects: (usize, usize),
}

/// State of configuration versions on one daemon.
pub struct Versions {
    clock: Arc<dyn Clock>,
    inner: Mutex<Inner>,
    running: RwLock<Arc<RunningConfig>>,
    /// The configuration document, where the store holds it complete under one key.
    pub document: DocumentState,
}

impl Versions {
    /// Creates the state of a daemon that has no version yet.
    pub fn new(
        settings: &Settings,
        me: HostKey,
        life: Incarnation,
        clock: Arc<dyn Clock>,
    ) -> Versions {
        let panel = WitnessSet::new(settings.witnesses.iter().map(|name| HostKey::of(name)));
        let inner = Inner {
            node: Node::new(me, life, panel, Guards::ALL),
            store: Store::default(),
            refs: BTreeMap::new(),
            staged: BTreeMap::new(),
            objects: BTreeMap::new(),
            rejected: BTreeMap::new(),
            waiting: BTreeMap::new(),
            newest_complete: 0,
        };
        let document = DocumentState::default();
        Versions { clock, inner: Mutex::new(inner), running: RwLock::default(), document }
    }

    /// Puts a complete document in force if it is newer; returns whether it was.
    ///
    /// `text` is kept for members that do not read it from the store.
    pub fn install(&self, running: RunningConfig, revision: Revision, text: Bytes) -> bool {
        let version = running.table.version;
        self.document.install(version, revision, text, || {
            let mut slot = self.running.write().unwrap_or_else(std::sync::PoisonError::into_inner);
            *slot = Arc::new(running);
        })
    }

    /// Returns the path at which a service's upstreams report their health.
    pub fn health_path(&self, service: &str) -> Option<String> {
        self.running().health_paths.get(service).cloned()
    }

    /// Returns the configuration in force.
    pub fn running(&self) -> Arc<RunningConfig> {
        self.running.read().unwrap_or_else(std::sync::PoisonError::into_inner).clone()
    }

    /// Passes an event to the state machine, and installs the version that it decides to
    /// run, if any.
    ///
    /// Returns the actions; the caller performs those that remain.
    pub fn on(&self, event: Event) -> Vec<Action> {
        let mut inner = lock(&self.inner);
        let actions = inner.node.on(event);
        for action in &actions {
            if let Action::Run(version) = action {
                self.install_staged(&mut inner, *version);
            }
        }
        actions
    }

    /// Remembers the reference of a version.
    pub fn add_version_ref(&self, version_ref: VersionRef) {
        lock(&self.inner).refs.insert(version_ref.version, version_ref);
    }

    /// Returns the reference of a version, if known.
    pub fn version_ref(&self, version: Version) -> Option<VersionRef> {
        lock(&self.inner).refs.get(&version).copied()
    }

    /// Returns the newest version known.
    pub fn newest(&self) -> Option<VersionRef> {
        lock(&self.inner).refs.last_key_value().map(|(_, version_ref)| *version_ref)
    }

    /// Returns the newest version of which every object is held, as readers do.
    pub fn newest_complete(&self) -> Option<VersionRef> {
        let inner = lock(&self.inner);
        inner.refs.get(&inner.newest_complete).copied()
    }

    /// Returns the highest version that is safe to run, if its reference is known.
    pub fn active(&self) -> Option<VersionRef> {
        let inner = lock(&self.inner);
        inner.refs.get(&inner.node.active()).copied()
    }

    /// Returns the highest version that is safe to run.
    pub fn active_version(&self) -> Version {
        let document = self.document.version();
        document.max(lock(&self.inner).node.active())
    }

    /// Returns the version that this daemon must not fall below, once known.
    pub fn floor(&self) -> Option<Version> {
        lock(&self.inner).node.floor()
    }

    /// Returns the incarnation that this daemon's questions to witnesses carry.
    pub fn incarnation(&self) -> Incarnation {
        lock(&self.inner).node.incarnation()
    }

    /// Returns the version in force, zero before the first.
    pub fn running_version(&self) -> Version {
        let document = self.document.version();
        document.max(lock(&self.inner).node.running())
    }

    /// Returns whether a version is staged, or not newer than the one that runs.
    pub fn is_staged_or_running(&self, version: Version) -> bool {
        let inner = lock(&self.inner);
        version <= inner.node.running() || inner.staged.contains_key(&version)
    }

    /// Returns the next step of staging a version: the objects to fetch, or its table.
    ///
    /// # Errors
    ///
    /// Returns [`InvalidVersion`] where the version must not be run here.
    pub fn next_staging_step(
        &self,
        version_ref: VersionRef,
        proxy: &cicadashift_core::config::select::Proxy,
        scope: Scope,
    ) -> Result<StagingStep, InvalidVersion> {
        let inner = lock(&self.inner);
        stage::next_step(&inner.store, version_ref.version, version_ref.root, proxy, scope)
    }

    /// Returns every object of a version, if it is the newest one held completely.
    pub fn objects_of(&self, version: Version) -> Option<BTreeSet<ObjectHash>> {
        let inner = lock(&self.inner);
        if inner.newest_complete != version {
            return None;
        }
        inner.objects.get(&version).cloned()
    }

    /// Stores an object.
    ///
    /// # Errors
    ///
    /// Returns [`ObjectError`] if the bytes are not the object that the hash names.
    pub fn put_object(&self, hash: ObjectHash, buf: Vec<u8>) -> Result<(), ObjectError> {
        lock(&self.inner).store.put(hash, buf)
    }

    /// Returns an object, if held.
    pub fn object(&self, hash: ObjectHash) -> Option<Arc<Vec<u8>>> {
        lock(&self.inner).store.get(hash)
    }

    /// Returns what changed in a version since the one before it that is known here;
    /// empty if the root of either is not held.
    pub fn manifest_delta(&self, version_ref: VersionRef) -> ManifestDelta {
        let inner = lock(&self.inner);
        let previous = inner
            .refs
            .range(..version_ref.version)
            .next_back()
            .map(|(_, version_ref)| version_ref.root);
        let base = previous.and_then(|base| Some((base, inner.root(base)?)));
        let (Some((base, old)), Some(new)) = (base, inner.root(version_ref.root)) else {
            return ManifestDelta::default();
        };
        let slots = new.changes_since(&old);
        let pages = slots.iter().filter_map(|(_, hash)| inner.store.get(*hash));
        let small = pages.filter(|buf| buf.len() <= MAX_DELTA_PAGE);
        let pages = small.map(|buf| ByteBuf::from(buf.as_ref().clone())).collect();
        ManifestDelta { base: Some(base), slots, pages }
    }

    /// Stores the root and pages that a delta sent with an offer contains. Where the
    /// delta does not apply it is ignored, and the objects are fetched instead.
    pub fn apply_manifest_delta(&self, version_ref: VersionRef, delta: &ManifestDelta) {
        let mut inner = lock(&self.inner);
        let Some(old) = delta.base.and_then(|base| inner.root(base)) else { return };
        let root = manifest::encode(&old.with_changes(version_ref.version, &delta.slots));
        if inner.store.put(version_ref.root, root).is_err() {
            return;
        }
        for page in &delta.pages {
            let _hash_matches = inner.store.put(ObjectHash::of(page), page.to_vec());
        }
    }

    /// Adds a staged version and tells the state machine that it is held.
    pub fn add_staged(&self, version_ref: VersionRef, staged: Staged, scope: Scope) -> Vec<Action> {
        {
            let mut inner = lock(&self.inner);
            inner.refs.insert(version_ref.version, version_ref);
            inner.objects.insert(version_ref.version, staged.objects.clone());
            inner.waiting.remove(&version_ref.version);
            if scope == Scope::Complete {
                inner.newest_complete = inner.newest_complete.max(version_ref.version);
            }
            if version_ref.version > inner.node.running() {
                inner.staged.insert(version_ref.version, staged);
            }
            inner.drop_unreferenced();
        }
        self.on(Event::Staged(version_ref.version))
    }

    /// Remembers why a version is rejected.
    pub fn mark_rejected(&self, version: Version, reason: String) {
        let mut inner = lock(&self.inner);
        inner.waiting.remove(&version);
        inner.rejected.insert(version, reason);
        while inner.rejected.len() > MAX_REJECTED {
            inner.rejected.pop_first();
        }
    }

    /// Remembers what a version waits for.
    pub fn mark_waiting(&self, version: Version, reason: String) {
        lock(&self.inner).waiting.insert(version, reason);
    }

    /// Returns the state of versions for `status`.
    pub fn summary(&self) -> Summary {
        let running = self.running();
        let document = self.document.version();
        let inner = lock(&self.inner);
        Summary {
            running: document.max(inner.node.running()),
            active: document.max(inner.node.active()),
            held: document.max(inner.node.newest_staged()),
            floor: inner.node.floor(),
            newest: inner.refs.last_key_value().map_or(0, |(version, _)| *version),
            rejected: inner.rejected.clone(),
            waiting: inner.waiting.clone(),
            selected: running.selected.clone(),
            since_ms: running.since_ms,
            objects: inner.store.size(),
        }
    }

    /// Puts a staged version in force with one assignment.
    ///
    /// Calls take the table once, at their start, so that each call sees one version.
    /// Were a version applied route by route, a call or a crash in between would leave it
    /// half in force.
    fn install_staged(&self, inner: &mut Inner, version: Version) {
        let Some(staged) = inner.staged.remove(&version) else { return };
        inner.staged = inner.staged.split_off(&version);
        inner.waiting = inner.waiting.split_off(&(version + 1));
        let since_ms = self.clock.wall_ms();
        let health_paths = BTreeMap::new();
        let running = RunningConfig {
            table: staged.table,
            selected: staged.selected,
            health_paths,
            since_ms,
        };
        let mut slot = self.running.write().unwrap_or_else(std::sync::PoisonError::into_inner);
        *slot = Arc::new(running);
    }
}

impl Inner {
    fn root(&self, hash: ObjectHash) -> Option<Root> {
        manifest::decode(&self.store.get(hash)?)
    }

    /// Drops the objects and references of versions that are no longer kept.
    fn drop_unreferenced(&mut self) {
        while self.objects.len() > KEPT_VERSIONS {
            self.objects.pop_first();
        }
        if let Some(first) = self.objects.first_key_value().map(|(version, _)| *version) {
            self.refs = self.refs.split_off(&first);
        }
        let keep: BTreeSet<_> = self.objects.values().flatten().copied().collect();
        // Staging fetches objects before the version that references them is held. Those
        // objects must survive the collection that another version triggers.
        let unreferenced = self.store.size().0.saturating_sub(keep.len());
        if unreferenced > MAX_UNREFERENCED {
            self.store.retain(&keep);
        }
    }
}

/// Objects that no kept version references are dropped once there are more than this.
const MAX_UNREFERENCED: usize = 256;
