//! The configuration path's state: what is held, promised and run.

use super::document::DocumentState;
use super::lock;
use crate::clock::Clock;
use crate::settings::Settings;
use bytes::Bytes;
use cicadashift_core::config::compile::RoutingTable;
use cicadashift_core::config::manifest::{self, Root};
use cicadashift_core::delivery::node::{Action, Event, Guards, Node};
use cicadashift_core::delivery::stage::{self, Bad, Next, Scope, Staged};
use cicadashift_core::delivery::store::{Rejected, Store};
use cicadashift_core::delivery::witness::Panel;
use cicadashift_core::ids::{HostKey, Incarnation, ObjectHash, Version};
use cicadashift_edge::store::Revision;
use cicadashift_wire::rpc::{News, VersionRef};
use serde_bytes::ByteBuf;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, RwLock};

/// Versions whose objects are kept beside the one that runs.
const KEPT: usize = 3;
/// Largest page, in bytes, that travels with an offer.
const NEWS_PAGE: usize = 2048;
/// Bad versions that are remembered for `status`.
const BAD_KEPT: usize = 16;

/// What a proxy runs.
#[derive(Debug, Default)]
pub struct RunningConfig {
    /// Its routes; empty at version zero.
    pub table: RoutingTable,
    /// Ids of the configurations in it.
    pub selected: Vec<String>,
    /// Paths by which upstreams tell how they are, by service.
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
    bad: BTreeMap<Version, String>,
    waiting: BTreeMap<Version, String>,
    whole: Version,
}

/// What `status` tells of versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary {
    /// Version in force here.
    pub running: Version,
    /// Highest version safe to run.
    pub active: Version,
    /// Highest version held.
    pub held: Version,
    /// Version not to fall below, once known.
    pub floor: Option<Version>,
    /// Newest version heard of.
    pub newest: Version,
    /// Bad versions with the reason.
    pub bad: BTreeMap<Version, String>,
    /// Versions that wait, with what for.
    pub waiting: BTreeMap<Version, String>,
    /// Ids of the configurations in force here.
    pub selected: Vec<String>,
    /// When the version in force came into force, in milliseconds since 1970.
    pub since_ms: u64,
    /// Objects held, and their bytes.
    pub objects: (usize, usize),
}

/// The configuration path's state of one daemon.
pub struct Versions {
    clock: Arc<dyn Clock>,
    inner: Mutex<Inner>,
    running: RwLock<Arc<RunningConfig>>,
    /// The configuration where it comes whole from one key of the store.
    pub document: DocumentState,
}

impl Versions {
    /// Makes the state of a daemon that knows nothing.
    pub fn new(
        settings: &Settings,
        me: HostKey,
        life: Incarnation,
        clock: Arc<dyn Clock>,
    ) -> Versions {
        let panel = Panel::new(settings.witnesses.iter().map(|name| HostKey::of(name)));
        let inner = Inner {
            node: Node::new(me, life, panel, Guards::ALL),
            store: Store::default(),
            refs: BTreeMap::new(),
            staged: BTreeMap::new(),
            objects: BTreeMap::new(),
            bad: BTreeMap::new(),
            waiting: BTreeMap::new(),
            whole: 0,
        };
        let document = DocumentState::default();
        Versions { clock, inner: Mutex::new(inner), running: RwLock::default(), document }
    }

    /// Puts a whole document in force if it is newer; returns whether it was.
    ///
    /// `text` is kept for members that do not read it from the store, and the one
    /// before it if `keep_older`.
    pub fn install(
        &self,
        running: RunningConfig,
        revision: Revision,
        text: Bytes,
        keep_older: bool,
    ) -> bool {
        let version = running.table.version;
        self.document.install(version, revision, text, keep_older, || {
            let mut slot = self.running.write().unwrap_or_else(std::sync::PoisonError::into_inner);
            *slot = Arc::new(running);
        })
    }

    /// Returns the path by which a service's upstreams tell how they are.
    pub fn health_path(&self, service: &str) -> Option<String> {
        self.running().health_paths.get(service).cloned()
    }

    /// Returns what runs now.
    pub fn running(&self) -> Arc<RunningConfig> {
        self.running.read().unwrap_or_else(std::sync::PoisonError::into_inner).clone()
    }

    /// Takes an event in; swaps the running table if that is decided.
    ///
    /// Returns the actions that remain for the caller to do.
    pub fn on(&self, event: Event) -> Vec<Action> {
        let mut inner = lock(&self.inner);
        let actions = inner.node.on(event);
        for action in &actions {
            if let Action::Run(version) = action {
                self.swap(&mut inner, *version);
            }
        }
        actions
    }

    /// Remembers a version's root.
    pub fn add_version_ref(&self, what: VersionRef) {
        lock(&self.inner).refs.insert(what.version, what);
    }

    /// Returns a version's root if it is known.
    pub fn version_ref(&self, version: Version) -> Option<VersionRef> {
        lock(&self.inner).refs.get(&version).copied()
    }

    /// Returns the newest version heard of.
    pub fn newest(&self) -> Option<VersionRef> {
        lock(&self.inner).refs.last_key_value().map(|(_, what)| *what)
    }

    /// Returns the newest version held with every object, as readers do.
    pub fn newest_complete(&self) -> Option<VersionRef> {
        let inner = lock(&self.inner);
        inner.refs.get(&inner.whole).copied()
    }

    /// Returns the version that is safe to run, if its root is known.
    pub fn active(&self) -> Option<VersionRef> {
        let inner = lock(&self.inner);
        inner.refs.get(&inner.node.active()).copied()
    }

    /// Returns the highest version that is safe to run.
    pub fn active_version(&self) -> Version {
        let document = self.document.version();
        document.max(lock(&self.inner).node.active())
    }

    /// Returns the version not to fall below, once known.
    pub fn floor(&self) -> Option<Version> {
        lock(&self.inner).node.floor()
    }

    /// Returns the number of this life, by which witnesses are asked.
    pub fn incarnation(&self) -> Incarnation {
        lock(&self.inner).node.life()
    }

    /// Returns the version that runs, zero before the first.
    pub fn running_version(&self) -> Version {
        let document = self.document.version();
        document.max(lock(&self.inner).node.running())
    }

    /// Returns whether a version is held whole or run already.
    pub fn is_staged_or_running(&self, version: Version) -> bool {
        let inner = lock(&self.inner);
        version <= inner.node.running() || inner.staged.contains_key(&version)
    }

    /// Returns what staging a version needs next.
    ///
    /// # Errors
    ///
    /// Returns [`Bad`] where the version must not be run here.
    pub fn next_staging_step(
        &self,
        what: VersionRef,
        proxy: &cicadashift_core::config::select::Proxy,
        scope: Scope,
    ) -> Result<Next, Bad> {
        let inner = lock(&self.inner);
        stage::next(&inner.store, what.version, what.root, proxy, scope)
    }

    /// Returns every object of a version, if it is held whole.
    pub fn objects_of(&self, version: Version) -> Option<BTreeSet<ObjectHash>> {
        let inner = lock(&self.inner);
        if inner.whole != version {
            return None;
        }
        inner.objects.get(&version).cloned()
    }

    /// Takes an object in.
    ///
    /// # Errors
    ///
    /// Returns [`Rejected`] where the bytes are not the object.
    pub fn put_object(&self, hash: ObjectHash, buf: Vec<u8>) -> Result<(), Rejected> {
        lock(&self.inner).store.put(hash, buf)
    }

    /// Returns an object.
    pub fn object(&self, hash: ObjectHash) -> Option<Arc<Vec<u8>>> {
        lock(&self.inner).store.get(hash)
    }

    /// Returns what is new in a version against the one held whole before it.
    pub fn manifest_delta(&self, what: VersionRef) -> News {
        let inner = lock(&self.inner);
        let before = inner.refs.range(..what.version).next_back().map(|(_, what)| what.root);
        let base = before.and_then(|base| Some((base, inner.root(base)?)));
        let (Some((base, old)), Some(new)) = (base, inner.root(what.root)) else {
            return News::default();
        };
        let slots = new.changes_since(&old);
        let pages = slots.iter().filter_map(|(_, hash)| inner.store.get(*hash));
        let small = pages.filter(|buf| buf.len() <= NEWS_PAGE);
        let pages = small.map(|buf| ByteBuf::from(buf.as_ref().clone())).collect();
        News { base: Some(base), slots, pages }
    }

    /// Takes in what came with an offer; what does not fit is left out and
    /// fetched instead.
    pub fn apply_manifest_delta(&self, what: VersionRef, news: &News) {
        let mut inner = lock(&self.inner);
        let Some(old) = news.base.and_then(|base| inner.root(base)) else { return };
        let root = manifest::encode(&old.with_changes(what.version, &news.slots));
        if inner.store.put(what.root, root).is_err() {
            return;
        }
        for page in &news.pages {
            let _named_by_its_contents = inner.store.put(ObjectHash::of(page), page.to_vec());
        }
    }

    /// Keeps a version that is staged, and tells the node.
    pub fn add_staged(&self, what: VersionRef, staged: Staged, scope: Scope) -> Vec<Action> {
        {
            let mut inner = lock(&self.inner);
            inner.refs.insert(what.version, what);
            inner.objects.insert(what.version, staged.objects.clone());
            inner.waiting.remove(&what.version);
            if scope == Scope::Whole {
                inner.whole = inner.whole.max(what.version);
            }
            if what.version > inner.node.running() {
                inner.staged.insert(what.version, staged);
            }
            inner.collect();
        }
        self.on(Event::Held(what.version))
    }

    /// Remembers why a version is bad.
    pub fn mark_rejected(&self, version: Version, why: String) {
        let mut inner = lock(&self.inner);
        inner.waiting.remove(&version);
        inner.bad.insert(version, why);
        while inner.bad.len() > BAD_KEPT {
            inner.bad.pop_first();
        }
    }

    /// Remembers what a version waits for.
    pub fn mark_waiting(&self, version: Version, what_for: String) {
        lock(&self.inner).waiting.insert(version, what_for);
    }

    /// Returns what `status` tells.
    pub fn summary(&self) -> Summary {
        let running = self.running();
        let document = self.document.version();
        let inner = lock(&self.inner);
        Summary {
            running: document.max(inner.node.running()),
            active: document.max(inner.node.active()),
            held: document.max(inner.node.held()),
            floor: inner.node.floor(),
            newest: inner.refs.last_key_value().map_or(0, |(version, _)| *version),
            bad: inner.bad.clone(),
            waiting: inner.waiting.clone(),
            selected: running.selected.clone(),
            since_ms: running.since_ms,
            objects: inner.store.size(),
        }
    }

    /// Puts a staged version in force with one assignment.
    ///
    /// Failure: a version is applied route by route and a call or a crash falls
    /// in between. Symptom: half of a version answers. Calls take the whole
    /// table once, at their start, so each sees one version.
    fn swap(&self, inner: &mut Inner, version: Version) {
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

    /// Drops objects that no version kept here names.
    fn collect(&mut self) {
        while self.objects.len() > KEPT {
            self.objects.pop_first();
        }
        if let Some(first) = self.objects.first_key_value().map(|(version, _)| *version) {
            self.refs = self.refs.split_off(&first);
        }
        let keep: BTreeSet<_> = self.objects.values().flatten().copied().collect();
        // Staging fetches objects before the version that names them is held;
        // those must survive the collection that another version starts.
        let unnamed = self.store.size().0.saturating_sub(keep.len());
        if unnamed > MAX_UNNAMED {
            self.store.retain(&keep);
        }
    }
}

/// Objects in the store that no held version names before they are dropped.
const MAX_UNNAMED: usize = 256;
