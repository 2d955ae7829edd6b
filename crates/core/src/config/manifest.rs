//! All of one version, cut into pages so that a change sends little.
//!
//! A [`Root`] names three kinds of pages by hash: configurations (id, labels,
//! hash of the text), label sets of proxies, and the selectors. Configurations
//! and label sets are spread over [`BUCKETS`] pages each. A change touches one
//! page; a proxy that holds the previous version fetches the root, that page,
//! and the configuration only where a selector pairs it with the proxy.
//!
//! The limit of this form is a change of selectors: their page is one, so
//! everybody fetches all selectors, 100 bytes each. `docs/CAPACITY.md` has the
//! figure.

use super::select::Proxy;
use super::{Labels, Selector};
use crate::ids::{ObjectHash, Version};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// Pages for configurations, and again for label sets.
pub const BUCKETS: usize = 16;

/// Names every page of a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Root {
    /// Place in the total order.
    pub version: Version,
    /// Pages of [`ConfigEntry`], by bucket of the configuration's id.
    pub configs: [ObjectHash; BUCKETS],
    /// Pages of label sets, by bucket of the host's name.
    pub labels: [ObjectHash; BUCKETS],
    /// The page of selectors.
    pub selectors: ObjectHash,
}

/// One configuration in a page.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigEntry {
    /// The configuration's id.
    pub id: String,
    /// Its labels, so that selection needs no further fetch.
    pub labels: Labels,
    /// Names its text.
    pub hash: ObjectHash,
    /// Length of its text in bytes.
    pub bytes: u64,
}

/// A page of configurations.
pub type ConfigPage = BTreeMap<String, ConfigEntry>;
/// A page of label sets, by host name.
pub type LabelPage = BTreeMap<String, Labels>;
/// The page of selectors, by name.
pub type SelectorPage = BTreeMap<String, Selector>;

/// All of one version in memory.
///
/// Only the operator's client and readers build one whole; a proxy looks at the
/// pages that concern it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Manifest {
    /// Configurations by id.
    pub configs: BTreeMap<String, ConfigEntry>,
    /// Label sets by host name.
    pub labels: BTreeMap<String, Labels>,
    /// Selectors by name.
    pub selectors: BTreeMap<String, Selector>,
}

/// Bytes of an object with its name.
pub type Object = (ObjectHash, Vec<u8>);

impl Manifest {
    /// Cuts the manifest into its root and pages.
    ///
    /// Equal contents give equal hashes, since all maps are ordered.
    pub fn paginate(&self, version: Version) -> (Root, Vec<Object>) {
        let mut objects = Vec::new();
        let configs = pages(&self.configs, &mut objects);
        let labels = pages(&self.labels, &mut objects);
        let selectors = put(&self.selectors, &mut objects);
        (Root { version, configs, labels, selectors }, objects)
    }

    /// Returns the ids of the configurations that reach a proxy.
    pub fn selected(&self, proxy: &Proxy) -> Vec<&ConfigEntry> {
        let proxy = proxy.with_labels(self.labels.get(&proxy.host));
        self.configs
            .values()
            .filter(|entry| self.selectors.values().any(|s| s.selects(&entry.labels, &proxy)))
            .collect()
    }
}

impl Root {
    /// Returns the page that holds a host's labels.
    pub fn label_page(&self, host: &str) -> ObjectHash {
        self.labels[bucket(host)]
    }

    /// Returns the pages that a proxy on `host` needs to know its selection.
    pub fn pages_for(&self, host: &str) -> Vec<ObjectHash> {
        let mut wanted = self.configs.to_vec();
        wanted.push(self.label_page(host));
        wanted.push(self.selectors);
        wanted.sort_unstable();
        wanted.dedup();
        wanted
    }

    /// Returns every page by position: configurations, label sets, selectors.
    pub fn slots(&self) -> Vec<ObjectHash> {
        let mut slots: Vec<_> = self.configs.iter().chain(&self.labels).copied().collect();
        slots.push(self.selectors);
        slots
    }

    /// Returns the positions at which this root differs from an older one.
    pub fn changes_since(&self, base: &Root) -> Vec<(u16, ObjectHash)> {
        let pairs = self.slots().into_iter().zip(base.slots()).enumerate();
        pairs.filter(|(_, (new, old))| new != old).map(|(i, (new, _))| (i as u16, new)).collect()
    }

    /// Returns this root with some positions changed, as a later version.
    ///
    /// Positions that do not exist are passed over; the result's hash tells.
    pub fn with_changes(&self, version: Version, slots: &[(u16, ObjectHash)]) -> Root {
        let mut root = Root { version, ..self.clone() };
        for (i, hash) in slots {
            let i = usize::from(*i);
            let mut places = root.configs.iter_mut().chain(&mut root.labels);
            match places.nth(i) {
                Some(place) => *place = *hash,
                None if i == 2 * BUCKETS => root.selectors = *hash,
                None => {}
            }
        }
        root
    }

    /// Returns every page.
    pub fn all_pages(&self) -> Vec<ObjectHash> {
        let mut wanted = self.slots();
        wanted.sort_unstable();
        wanted.dedup();
        wanted
    }
}

/// Encodes a value as an object's bytes.
///
/// # Panics
///
/// Does not: every type given to it here is plain data.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec(value).expect("plain data always encodes")
}

/// Decodes an object's bytes, or returns `None` where they are not a `T`.
pub fn decode<T: for<'de> Deserialize<'de>>(buf: &[u8]) -> Option<T> {
    rmp_serde::from_slice(buf).ok()
}

fn pages<T: Serialize>(
    map: &BTreeMap<String, T>,
    objects: &mut Vec<Object>,
) -> [ObjectHash; BUCKETS] {
    std::array::from_fn(|i| {
        let page: BTreeMap<&String, &T> = map.iter().filter(|(key, _)| bucket(key) == i).collect();
        put(&page, objects)
    })
}

fn put<T: Serialize>(value: &T, objects: &mut Vec<Object>) -> ObjectHash {
    let buf = encode(value);
    let hash = ObjectHash::of(&buf);
    objects.push((hash, buf));
    hash
}

fn bucket(key: &str) -> usize {
    Sha256::digest(key.as_bytes())[0] as usize % BUCKETS
}
