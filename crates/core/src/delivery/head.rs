//! The total order of versions, and the operations that extend it.
//!
//! The platform stores one small value, the [`Head`]. Every accept, withdrawal,
//! and change of a selector or of labels is an [`Operation`] that replaces the
//! head by compare-and-swap. The head lists the ids of the latest operations, so
//! that a client whose response was lost can read the head again and find out
//! whether its operation took effect.

use crate::config::manifest::{ConfigEntry, Manifest};
use crate::config::{Labels, Selector};
use crate::ids::{ObjectHash, Version};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Maximum number of operation ids in the head.
///
/// A client whose response was lost reads the head again within seconds; at 260
/// changes a day the list covers two hours. It is no longer than that because
/// every reader receives it with each change.
pub const MAX_OPERATION_IDS: usize = 24;

/// The value of the platform's key `head`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// The newest version; zero before the first accept.
    pub version: Version,
    /// Hash of its root object, in hexadecimal.
    pub root: String,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// Ids of the latest operations, oldest first. The last operation created
    /// `version`, the one before it `version - 1`, and so on.
    pub ops: Vec<String>,
}

impl Head {
    /// Returns the hash of the root object, or `None` before the first version.
    pub fn root_hash(&self) -> Option<ObjectHash> {
        ObjectHash::from_hex(&self.root)
    }

    /// Returns the version that an operation created, or `None` if the head does
    /// not list the operation.
    pub fn find(&self, op_id: &str) -> Option<Version> {
        let versions_back = self.ops.iter().rev().position(|id| id == op_id)?;
        Some(self.version - versions_back as Version)
    }

    /// Returns the head after an operation that creates the next version.
    pub fn successor(&self, op_id: &str, root: ObjectHash, accepted_ms: u64) -> Head {
        let version = self.version + 1;
        let mut ops = self.ops.clone();
        ops.push(op_id.to_string());
        let excess = ops.len().saturating_sub(MAX_OPERATION_IDS);
        ops.drain(..excess);
        Head { version, root: root.to_string(), accepted_ms, ops }
    }
}

/// A change requested by an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Adds a configuration, replacing any with the same id.
    Accept(ConfigEntry),
    /// Removes the configuration with this id.
    Withdraw(String),
    /// Adds a selector, replacing any with the same name.
    SetSelector(Selector),
    /// Removes the selector with this name.
    RemoveSelector(String),
    /// Adds labels to a host, replacing those with the same key.
    SetLabels { host: String, labels: Labels },
    /// Removes the labels of a host with these keys.
    RemoveLabels { host: String, keys: Vec<String> },
}

/// Why an operation does not take effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// The configuration, selector or label to remove does not exist.
    NotFound(String),
    /// Another operator changed the same subject after this operation was
    /// evaluated.
    Conflict { what: String, since: Version, now: Version },
    /// The response was lost and the head no longer shows whether the operation
    /// took effect, because too many versions followed.
    OutcomeUnknown { since: Version, now: Version },
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::NotFound(what) => write!(f, "{what} does not exist; `list` shows what does"),
            Refused::Conflict { what, since, now } => write!(
                f,
                "{what} was changed by another operator between versions {since} and {now}; \
                 look at it and run the command again"
            ),
            Refused::OutcomeUnknown { since, now } => write!(
                f,
                "the response was lost and versions went from {since} to {now} meanwhile; \
                 use `list` to see whether the change took effect"
            ),
        }
    }
}

impl std::error::Error for Refused {}

impl Operation {
    /// Describes what the operation changes, for messages.
    pub fn subject(&self) -> String {
        match self {
            Operation::Accept(entry) => format!("configuration {:?}", entry.id),
            Operation::Withdraw(id) => format!("configuration {id:?}"),
            Operation::SetSelector(selector) => format!("selector {:?}", selector.name),
            Operation::RemoveSelector(name) => format!("selector {name:?}"),
            Operation::SetLabels { host, .. } | Operation::RemoveLabels { host, .. } => {
                format!("the label set of {host:?}")
            }
        }
    }

    /// Applies the operation to a manifest.
    ///
    /// # Errors
    ///
    /// Returns [`Refused::NotFound`] if there is nothing to remove.
    pub fn apply(&self, manifest: &mut Manifest) -> Result<(), Refused> {
        let not_found = || Refused::NotFound(self.subject());
        match self {
            Operation::Accept(entry) => {
                manifest.configs.insert(entry.id.clone(), entry.clone());
            }
            Operation::Withdraw(id) => {
                manifest.configs.remove(id).ok_or_else(not_found)?;
            }
            Operation::SetSelector(selector) => {
                manifest.selectors.insert(selector.name.clone(), selector.clone());
            }
            Operation::RemoveSelector(name) => {
                manifest.selectors.remove(name).ok_or_else(not_found)?;
            }
            Operation::SetLabels { host, labels } => {
                let existing = manifest.labels.entry(host.clone()).or_default();
                existing.extend(labels.iter().map(|(k, v)| (k.clone(), v.clone())));
            }
            Operation::RemoveLabels { host, keys } => {
                let existing = manifest.labels.get_mut(host).ok_or_else(not_found)?;
                let before = existing.len();
                existing.retain(|key, _| !keys.contains(key));
                if existing.len() == before {
                    return Err(not_found());
                }
                if existing.is_empty() {
                    manifest.labels.remove(host);
                }
            }
        }
        Ok(())
    }

    /// Returns whether two manifests differ in the subject of the operation.
    ///
    /// An operation whose compare-and-swap failed is applied to the new manifest
    /// only if its subject is unchanged since its operator last read it.
    pub fn subject_differs(&self, before: &Manifest, after: &Manifest) -> bool {
        match self {
            Operation::Accept(entry) => {
                before.configs.get(&entry.id) != after.configs.get(&entry.id)
            }
            Operation::Withdraw(id) => before.configs.get(id) != after.configs.get(id),
            Operation::SetSelector(s) => {
                before.selectors.get(&s.name) != after.selectors.get(&s.name)
            }
            Operation::RemoveSelector(name) => {
                before.selectors.get(name) != after.selectors.get(name)
            }
            Operation::SetLabels { host, .. } | Operation::RemoveLabels { host, .. } => {
                before.labels.get(host) != after.labels.get(host)
            }
        }
    }
}

/// What became of an operation, according to a head read after it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperationOutcome {
    /// The operation took effect as this version.
    Done(Version),
    /// The operation did not take effect and may be retried.
    Retry,
}

/// Determines the outcome of an operation whose compare-and-swap failed or whose
/// response was lost.
///
/// `base` is the version that the operation was first evaluated against.
///
/// # Errors
///
/// Returns [`Refused::OutcomeUnknown`] if the operation ids in the head no longer
/// reach back to `base`: the operation may have taken effect and been dropped
/// from the list.
pub fn resolve_outcome(
    head: &Head,
    op_id: &str,
    base: Version,
) -> Result<OperationOutcome, Refused> {
    if let Some(version) = head.find(op_id) {
        return Ok(OperationOutcome::Done(version));
    }
    let reaches_back = head.version - base.min(head.version) <= head.ops.len() as u64;
    if reaches_back {
        return Ok(OperationOutcome::Retry);
    }
    Err(Refused::OutcomeUnknown { since: base, now: head.version })
}
