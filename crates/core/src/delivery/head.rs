//! The one total order of versions, and operations on it.
//!
//! The platform holds one small value, the [`Head`]. Every accept, withdrawal,
//! selector and label is an [`Operation`] that replaces it by compare-and-swap.
//! An operation carries an id that stays in the head for a while: a client
//! whose answer was lost reads the head again and finds there whether it took
//! effect.

use crate::config::manifest::{ConfigEntry, Manifest};
use crate::config::{Labels, Selector};
use crate::ids::{ObjectHash, Version};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Operation ids that the head keeps.
///
/// A client settles a lost answer within seconds; at 260 changes a day the
/// list covers two hours. Every reader receives it with each change, so it is
/// not longer.
pub const OPS_KEPT: usize = 24;

/// The value of the platform's key `head`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// The newest version; zero before the first.
    pub version: Version,
    /// Its root, in hexadecimal.
    pub root: String,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// Ids of the latest operations; the last one made `version`, the one before
    /// it the version before, and so on.
    pub ops: Vec<String>,
}

impl Head {
    /// Returns the root's hash, or `None` before the first version.
    pub fn root_hash(&self) -> Option<ObjectHash> {
        ObjectHash::from_hex(&self.root)
    }

    /// Returns the version that an operation made, if it took effect.
    pub fn find(&self, op_id: &str) -> Option<Version> {
        let back = self.ops.iter().rev().position(|id| id == op_id)?;
        Some(self.version - back as Version)
    }

    /// Returns the head that follows this one.
    pub fn successor(&self, op_id: &str, root: ObjectHash, accepted_ms: u64) -> Head {
        let version = self.version + 1;
        let mut ops = self.ops.clone();
        ops.push(op_id.to_string());
        let extra = ops.len().saturating_sub(OPS_KEPT);
        ops.drain(..extra);
        Head { version, root: root.to_string(), accepted_ms, ops }
    }
}

/// A change that an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Puts a configuration in place of any with its id.
    Accept(ConfigEntry),
    /// Takes a configuration away.
    Withdraw(String),
    /// Puts a selector in place of any with its name.
    SetSelector(Selector),
    /// Takes a selector away.
    RemoveSelector(String),
    /// Lays labels over those of a host.
    SetLabels { host: String, labels: Labels },
    /// Takes labels of a host away, by key.
    RemoveLabels { host: String, keys: Vec<String> },
}

/// Why an operation does not take effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// What it would take away is not there.
    NotFound(String),
    /// Another operator changed the same thing since this one looked.
    Conflict { what: String, since: Version, now: Version },
    /// The lost answer can no longer be settled: too many versions followed.
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
                "the answer was lost and versions went from {since} to {now} meanwhile; \
                 use `list` to see whether the change took effect"
            ),
        }
    }
}

impl std::error::Error for Refused {}

impl Operation {
    /// Names what the operation changes, for messages.
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

    /// Applies the operation.
    ///
    /// # Errors
    ///
    /// Returns [`Refused::NotFound`] where there is nothing to take away.
    pub fn apply(&self, manifest: &mut Manifest) -> Result<(), Refused> {
        let absent = || Refused::NotFound(self.subject());
        match self {
            Operation::Accept(entry) => {
                manifest.configs.insert(entry.id.clone(), entry.clone());
            }
            Operation::Withdraw(id) => {
                manifest.configs.remove(id).ok_or_else(absent)?;
            }
            Operation::SetSelector(selector) => {
                manifest.selectors.insert(selector.name.clone(), selector.clone());
            }
            Operation::RemoveSelector(name) => {
                manifest.selectors.remove(name).ok_or_else(absent)?;
            }
            Operation::SetLabels { host, labels } => {
                let held = manifest.labels.entry(host.clone()).or_default();
                held.extend(labels.iter().map(|(k, v)| (k.clone(), v.clone())));
            }
            Operation::RemoveLabels { host, keys } => {
                let held = manifest.labels.get_mut(host).ok_or_else(absent)?;
                let before = held.len();
                held.retain(|key, _| !keys.contains(key));
                if held.len() == before {
                    return Err(absent());
                }
                if held.is_empty() {
                    manifest.labels.remove(host);
                }
            }
        }
        Ok(())
    }

    /// Returns whether two manifests differ in what the operation changes.
    ///
    /// The loser of a race is applied again to the new manifest only where its
    /// own subject stayed as its operator last saw it.
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

/// What a client does after reading the head once more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperationOutcome {
    /// The operation took effect as this version.
    Done(Version),
    /// It did not, and may be tried again.
    Retry,
}

/// Decides what became of an operation whose compare-and-swap failed or whose
/// answer was lost.
///
/// `base` is the version that the operation was first evaluated against.
///
/// # Errors
///
/// Returns [`Refused::OutcomeUnknown`] where the head no longer reaches back to
/// `base`, so that the operation may have been there.
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
