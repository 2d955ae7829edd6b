//! Garbage collection of objects on the platform.
//!
//! An accept writes its objects before it swaps the head. An accept that is
//! interrupted, and a version that newer ones have replaced, leave objects that
//! no manifest references. Only objects that have been unreferenced for
//! [`MIN_AGE`] are deleted, because the objects of an accept in progress are
//! unreferenced too, for a few seconds at most.

use crate::ids::{ObjectHash, Revision};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// How long an object must have been unreferenced and unchanged before it is deleted.
pub const MIN_AGE: Duration = Duration::from_secs(600);

/// Maximum number of objects deleted in one round, which limits the load on the platform.
pub const MAX_DELETIONS_PER_ROUND: usize = 64;

/// Unreferenced objects found in earlier rounds, with the time when each was first seen.
#[derive(Clone, Debug, Default)]
pub struct Sweep {
    unreferenced: BTreeMap<ObjectHash, (Revision, Instant)>,
}

impl Sweep {
    /// Takes the objects now on the platform with their revisions, and returns
    /// the objects to delete, each only if it is still at the returned revision.
    ///
    /// An object that was written again has a new revision, which resets its
    /// age: an accept in progress may be about to reference it.
    pub fn round(
        &mut self,
        listed: &[(ObjectHash, Revision)],
        referenced: &BTreeSet<ObjectHash>,
        now: Instant,
    ) -> Vec<(ObjectHash, Revision)> {
        let mut unreferenced = BTreeMap::new();
        for (hash, revision) in listed.iter().filter(|(hash, _)| !referenced.contains(hash)) {
            let known = self.unreferenced.get(hash).filter(|(at, _)| at == revision);
            let since = known.map_or(now, |(_, since)| *since);
            unreferenced.insert(*hash, (*revision, since));
        }
        self.unreferenced = unreferenced;
        let old = self.unreferenced.iter().filter(|(_, (_, since))| now >= *since + MIN_AGE);
        old.map(|(hash, (revision, _))| (*hash, *revision)).take(MAX_DELETIONS_PER_ROUND).collect()
    }
}
