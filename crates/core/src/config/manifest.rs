//! The manifest of a version, split into pages so that a change transfers little.
//!
//! A [`Root`] refers by hash to three kinds of pages: configurations (id, labels,
//! hash of the text), label sets of proxies, and the selectors. Configurations
//! and label sets are distributed over [`BUCKETS`] pages each. A change affects one
//! page: a proxy that holds the previous version fetches the root and that page, and
//! fetches the configuration only if a selector pairs it with the proxy.
//!
//! A change of selectors costs more: they share a single page, so every proxy
//! fetches all selectors, 100 bytes each. `docs/CAPACITY.md` has the figure.

use super::select::Proxy;
use super::{Labels, Selector};
use crate::ids::{ObjectHash, Version};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// Number of pages for configurations, and of pages for label sets.
pub const BUCKETS: usize = 16;

/// Refers to every page of a version by its hash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Root {
    /// Position in the total order of versions.
    pub version: Version,
    /// Hash of each [`ConfigPage`], by bucket of the configuration's id.
    pub configs: [ObjectHash; BUCKETS],
    /// Hash of each [`LabelPage`], by bucket of the host's name.
    pub labels: [ObjectHash; BUCKETS],
    /// Hash of the [`SelectorPage`].
    pub selectors: ObjectHash,
}

/// One configuration in a [`ConfigPage`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigEntry {
    /// The configuration's id.
    pub id: String,
    /// Its labels, included so that selection needs no further fetch.
    pub labels: Labels,
    /// Hash of its text.
    pub hash: ObjectHash,
    /// Length of its text in bytes.
    pub bytes: u64,
}

/// A page of configurations, by id.
pub type ConfigPage = BTreeMap<String, ConfigEntry>;
/// A page of label sets, by host name.
pub type LabelPage = BTreeMap<String, Labels>;
/// The page of selectors, by name.
pub type SelectorPage = BTreeMap<String, Selector>;

/// The whole contents of a version in memory.
///
/// Only the operator's client and readers build a whole manifest; a proxy reads the
/// pages that it needs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Manifest {
    /// Configurations by id.
    pub configs: BTreeMap<String, ConfigEntry>,
    /// Label sets by host name.
    pub labels: BTreeMap<String, Labels>,
    /// Selectors by name.
    pub selectors: BTreeMap<String, Selector>,
}

/// Bytes of an object, with their hash.
pub type Object = (ObjectHash, Vec<u8>);

impl Manifest {
    /// Splits the manifest into its root and pages.
    ///
    /// Equal contents give equal hashes, since all maps are ordered.
    pub fn paginate(&self, version: Version) -> (Root, Vec<Object>) {
        let mut objects = Vec::new();
        let configs = build_pages(&self.configs, &mut objects);
        let labels = build_pages(&self.labels, &mut objects);
        let selectors = add_object(&self.selectors, &mut objects);
        (Root { version, configs, labels, selectors }, objects)
    }

    /// Returns the configurations that selectors pair with a proxy.
    pub fn selected(&self, proxy: &Proxy) -> Vec<&ConfigEntry> {
        let proxy = proxy.with_labels(self.labels.get(&proxy.host));
        self.configs
            .values()
            .filter(|entry| self.selectors.values().any(|s| s.selects(&entry.labels, &proxy)))
            .collect()
    }
}

impl Root {
    /// Returns the hash of the page that holds a host's labels.
    pub fn label_page(&self, host: &str) -> ObjectHash {
        self.labels[bucket(host)]
    }

    /// Returns the hashes of the pages from which a proxy on `host` determines its
    /// selection, sorted and without duplicates.
    pub fn pages_for(&self, host: &str) -> Vec<ObjectHash> {
        let mut hashes = self.configs.to_vec();
        hashes.push(self.label_page(host));
        hashes.push(self.selectors);
        hashes.sort_unstable();
        hashes.dedup();
        hashes
    }

    /// Returns the hash of every page by position: configurations, label sets, selectors.
    pub fn page_hashes(&self) -> Vec<ObjectHash> {
        let mut hashes: Vec<_> = self.configs.iter().chain(&self.labels).copied().collect();
        hashes.push(self.selectors);
        hashes
    }

    /// Returns the positions at which this root differs from an older one, each with the
    /// page's hash in this root.
    pub fn changes_since(&self, base: &Root) -> Vec<(u16, ObjectHash)> {
        let pairs = self.page_hashes().into_iter().zip(base.page_hashes()).enumerate();
        pairs.filter(|(_, (new, old))| new != old).map(|(i, (new, _))| (i as u16, new)).collect()
    }

    /// Returns this root with the hashes at some positions replaced, as a later version.
    ///
    /// Positions out of range are ignored; the caller detects them by comparing the hash of
    /// the result with the expected one.
    pub fn with_changes(&self, version: Version, changes: &[(u16, ObjectHash)]) -> Root {
        let mut root = Root { version, ..self.clone() };
        for (i, hash) in changes {
            let i = usize::from(*i);
            let mut hashes = root.configs.iter_mut().chain(&mut root.labels);
            match hashes.nth(i) {
                Some(current) => *current = *hash,
                None if i == 2 * BUCKETS => root.selectors = *hash,
                None => {}
            }
        }
        root
    }

    /// Returns the hash of every page, sorted and without duplicates.
    pub fn all_pages(&self) -> Vec<ObjectHash> {
        let mut hashes = self.page_hashes();
        hashes.sort_unstable();
        hashes.dedup();
        hashes
    }
}

/// Encodes a value as an object's bytes.
///
/// # Panics
///
/// Never for plain data, which is all that this is called with.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec(value).expect("encoding plain data cannot fail")
}

/// Decodes an object's bytes, or returns `None` if they are no valid `T`.
pub fn decode<T: for<'de> Deserialize<'de>>(buf: &[u8]) -> Option<T> {
    rmp_serde::from_slice(buf).ok()
}

/// Distributes the entries of a map over pages by the bucket of their key, appends the
/// pages to `objects` and returns their hashes.
fn build_pages<T: Serialize>(
    map: &BTreeMap<String, T>,
    objects: &mut Vec<Object>,
) -> [ObjectHash; BUCKETS] {
    std::array::from_fn(|i| {
        let page: BTreeMap<&String, &T> = map.iter().filter(|(key, _)| bucket(key) == i).collect();
        add_object(&page, objects)
    })
}

fn add_object<T: Serialize>(value: &T, objects: &mut Vec<Object>) -> ObjectHash {
    let buf = encode(value);
    let hash = ObjectHash::of(&buf);
    objects.push((hash, buf));
    hash
}

fn bucket(key: &str) -> usize {
    Sha256::digest(key.as_bytes())[0] as usize % BUCKETS
}
