//! Staging of a version: which objects are missing, and the routing table once none is.
//!
//! Staging is a loop: [`next_step`] lists the objects to fetch, the caller puts
//! them into the [`Store`] and calls again, until it gets the compiled table or
//! the reason why the version is invalid. No state is kept between rounds, so a
//! fetch that fails half-way leaves no partly staged version behind.

use super::store::Store;
use crate::config::compile::RoutingTable;
use crate::config::manifest::{self, ConfigEntry, ConfigPage, LabelPage, Root, SelectorPage};
use crate::config::select::Proxy;
use crate::config::{Config, Invalid, MAX_CONFIG_BYTES};
use crate::ids::{ObjectHash, Version};
use std::collections::BTreeSet;
use std::fmt;

/// How much of a version a daemon stages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Only the configurations that the selectors choose for the proxy.
    Selected,
    /// Every configuration; a reader checks all of them before it offers the version.
    Complete,
}

/// The next step of staging a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StagingStep {
    /// Fetch these objects and call [`next_step`] again.
    Fetch(Vec<ObjectHash>),
    /// Every object is present and valid.
    Ready(Box<Staged>),
}

/// A version whose objects are all present, compiled for one proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Staged {
    /// The compiled routing table.
    pub table: RoutingTable,
    /// Ids of the selected configurations.
    pub selected: Vec<String>,
    /// Objects of the version in the store, which must be kept while the version is
    /// staged or running.
    pub objects: BTreeSet<ObjectHash>,
}

/// Why a version cannot be run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InvalidVersion {
    /// An object is not in the store, or its bytes have the right hash but cannot
    /// be decoded.
    Unreadable(ObjectHash),
    /// The root object states another version than the offered one.
    WrongVersion { offered: Version, found: Version },
    /// A configuration fails validation.
    Invalid(Invalid),
    /// A configuration is larger than the limit, according to its manifest entry.
    TooLarge { id: String, bytes: u64 },
}

impl fmt::Display for InvalidVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InvalidVersion::Unreadable(hash) => write!(f, "object {hash} cannot be decoded"),
            InvalidVersion::WrongVersion { offered, found } => {
                write!(f, "offered as version {offered}, but its root states version {found}")
            }
            InvalidVersion::Invalid(invalid) => write!(f, "{invalid}"),
            InvalidVersion::TooLarge { id, bytes } => {
                write!(f, "configuration {id:?} has {bytes} bytes")
            }
        }
    }
}

impl std::error::Error for InvalidVersion {}

/// Returns the objects of a version that are missing, or the staged version.
///
/// # Errors
///
/// Returns [`InvalidVersion`] if this proxy must not run the version.
pub fn next_step(
    store: &Store,
    version: Version,
    root_hash: ObjectHash,
    proxy: &Proxy,
    scope: Scope,
) -> Result<StagingStep, InvalidVersion> {
    let Some(buf) = store.get(root_hash) else { return Ok(StagingStep::Fetch(vec![root_hash])) };
    let root: Root = manifest::decode(&buf).ok_or(InvalidVersion::Unreadable(root_hash))?;
    if root.version != version {
        return Err(InvalidVersion::WrongVersion { offered: version, found: root.version });
    }
    let pages = match scope {
        Scope::Selected => root.pages_for(&proxy.host),
        Scope::Complete => root.all_pages(),
    };
    let missing = store.missing(&pages);
    if !missing.is_empty() {
        return Ok(StagingStep::Fetch(missing));
    }
    let entries = read_entries(store, &root)?;
    let chosen = read_selection(store, &root, proxy, &entries)?;
    let config_hashes: Vec<ObjectHash> = match scope {
        Scope::Selected => chosen.iter().map(|entry| entry.hash).collect(),
        Scope::Complete => entries.iter().map(|entry| entry.hash).collect(),
    };
    if let Some(entry) = entries.iter().find(|entry| entry.bytes as usize > MAX_CONFIG_BYTES) {
        return Err(InvalidVersion::TooLarge { id: entry.id.clone(), bytes: entry.bytes });
    }
    let missing = store.missing(&config_hashes);
    if !missing.is_empty() {
        return Ok(StagingStep::Fetch(missing));
    }
    if scope == Scope::Complete {
        check_all(store, &entries)?;
    }
    let configs =
        chosen.iter().map(|entry| read_config(store, entry)).collect::<Result<Vec<_>, _>>()?;
    let table = RoutingTable::compile(version, configs).map_err(InvalidVersion::Invalid)?;
    let objects = pages.into_iter().chain(config_hashes).chain([root_hash]).collect();
    let selected = chosen.iter().map(|entry| entry.id.clone()).collect();
    Ok(StagingStep::Ready(Box::new(Staged { table, selected, objects })))
}

fn read_entries(store: &Store, root: &Root) -> Result<Vec<ConfigEntry>, InvalidVersion> {
    let mut entries = Vec::new();
    for hash in root.configs {
        let page: ConfigPage = read(store, hash)?;
        entries.extend(page.into_values());
    }
    Ok(entries)
}

fn read_selection<'a>(
    store: &Store,
    root: &Root,
    proxy: &Proxy,
    entries: &'a [ConfigEntry],
) -> Result<Vec<&'a ConfigEntry>, InvalidVersion> {
    let labels: LabelPage = read(store, root.label_page(&proxy.host))?;
    let selectors: SelectorPage = read(store, root.selectors)?;
    let proxy = proxy.with_labels(labels.get(&proxy.host));
    let matching: Vec<_> = selectors.values().filter(|s| s.matches_proxy(&proxy)).collect();
    let chosen = entries
        .iter()
        .filter(|entry| matching.iter().any(|s| s.selects(&entry.labels, &proxy)))
        .collect();
    Ok(chosen)
}

fn check_all(store: &Store, entries: &[ConfigEntry]) -> Result<(), InvalidVersion> {
    entries.iter().try_for_each(|entry| read_config(store, entry).map(drop))
}

fn read_config(store: &Store, entry: &ConfigEntry) -> Result<Config, InvalidVersion> {
    let buf = store.get(entry.hash).ok_or(InvalidVersion::Unreadable(entry.hash))?;
    Config::parse(&buf).map_err(InvalidVersion::Invalid)
}

fn read<T: for<'de> serde::Deserialize<'de>>(
    store: &Store,
    hash: ObjectHash,
) -> Result<T, InvalidVersion> {
    store.get(hash).and_then(|buf| manifest::decode(&buf)).ok_or(InvalidVersion::Unreadable(hash))
}
