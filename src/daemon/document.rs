//! The configuration in force where it comes whole from one key of the store, and
//! how current it is known to be.

use super::lock;
use bytes::Bytes;
use cicadashift_core::config::delta::Delta;
use cicadashift_core::ids::{HostKey, Version};
use cicadashift_edge::store::Revision;
use cicadashift_wire::rpc::{Update, UpdateBody};
use serde_bytes::ByteBuf;
use std::collections::{HashMap, VecDeque};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Older texts kept to tell members only what is new. A member is rarely more than
/// two versions behind; at 150 KB a text these are less than half a megabyte.
const OLDER_KEPT: usize = 3;
/// Time after a heartbeat of a member that follows the store in which this daemon may
/// leave the store to it. They come twice a second, so that one may be lost; a change must be in force within two seconds, of which this leaves a
/// narrow link time to carry it.
const COVERED_FOR: Duration = Duration::from_millis(1200);

/// The text in force and what is known of its age.
#[derive(Default)]
pub struct DocumentState {
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    version: Version,
    /// Where the store has the text, as its position of the last change.
    revision: Revision,
    text: Bytes,
    /// Texts before this one, newest last.
    older: VecDeque<(Version, Bytes)>,
    /// When the store last said that this is the newest version, here or to a
    /// member that passed it on.
    confirmed: Option<Instant>,
    /// When this daemon itself read the key first.
    first_read: Option<Instant>,
    /// Since when a member is known to run a newer version.
    behind: Option<Instant>,
    /// When the last heartbeats of members that follow the store came.
    heartbeats: HashMap<HostKey, Instant>,
}

impl DocumentState {
    /// Takes a newer text in and runs `then` before anybody sees its version;
    /// returns whether it is newer. The one before it is kept for members if
    /// `keep_older`.
    pub fn install(
        &self,
        version: Version,
        revision: Revision,
        text: Bytes,
        keep_older: bool,
        then: impl FnOnce(),
    ) -> bool {
        let mut inner = lock(&self.inner);
        if version <= inner.version {
            return false;
        }
        then();
        let old = (inner.version, std::mem::replace(&mut inner.text, text));
        if old.0 > 0 && keep_older {
            inner.older.push_back(old);
        }
        while inner.older.len() > OLDER_KEPT {
            inner.older.pop_front();
        }
        inner.version = version;
        inner.revision = revision;
        inner.behind = None;
        true
    }

    /// Returns its version, zero before the first.
    pub fn version(&self) -> Version {
        lock(&self.inner).version
    }

    /// Returns where the store has it, zero before the first.
    pub fn revision(&self) -> Revision {
        lock(&self.inner).revision
    }

    /// Returns its version and text.
    pub fn held(&self) -> (Version, Bytes) {
        let inner = lock(&self.inner);
        (inner.version, inner.text.clone())
    }

    /// Returns whether the store said within a time that this is the newest
    /// version.
    pub fn is_fresh(&self, now: Instant, time: Duration) -> bool {
        let confirmed = lock(&self.inner).confirmed;
        confirmed.is_some_and(|at| now.saturating_duration_since(at) <= time)
    }

    /// Returns what a member that holds `held` needs: what differs, or the whole
    /// where that version is not kept here.
    pub fn update_for(&self, held: Version) -> Option<Update> {
        let (version, revision, text, old) = {
            let inner = lock(&self.inner);
            let old = inner.older.iter().find(|(version, _)| *version == held);
            (inner.version, inner.revision, inner.text.clone(), old.map(|(_, text)| text.clone()))
        };
        if version <= held {
            return None;
        }
        let body = match old {
            Some(old) => UpdateBody::Changed(Delta::between(&old, &text)),
            None => UpdateBody::Whole(ByteBuf::from(text.to_vec())),
        };
        Some(Update { version, revision, body })
    }

    /// Notes that this daemon has read the key for the first time.
    pub fn note_first_reading(&self, now: Instant) {
        let mut inner = lock(&self.inner);
        inner.first_read = Some(now);
        inner.confirmed = Some(now);
    }

    /// Returns whether that was within a time.
    pub fn was_just_read(&self, now: Instant, time: Duration) -> bool {
        let at = lock(&self.inner).first_read;
        at.is_some_and(|at| now.saturating_duration_since(at) <= time)
    }

    /// Notes that the store has no newer version than the one in force.
    pub fn confirm(&self, now: Instant) {
        lock(&self.inner).confirmed = Some(now);
    }

    /// Notes that the store cannot be asked, so that there may be a newer version.
    pub fn doubt(&self) {
        lock(&self.inner).confirmed = None;
    }

    /// Takes in that a member which follows the store runs a version.
    pub fn record_heartbeat(&self, member: HostKey, version: Version, now: Instant) {
        let mut inner = lock(&self.inner);
        inner.heartbeats.retain(|_, at| now.saturating_duration_since(*at) <= COVERED_FOR);
        inner.heartbeats.insert(member, now);
        if version <= inner.version {
            inner.confirmed = Some(now);
        }
    }

    /// Returns whether a member that follows the store sent a heartbeat lately.
    pub fn is_covered(&self, now: Instant) -> bool {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) <= COVERED_FOR;
        lock(&self.inner).heartbeats.values().any(is_recent)
    }

    /// Returns whether this member, which follows the store, sent a heartbeat lately.
    pub fn is_covered_by(&self, member: HostKey, now: Instant) -> bool {
        let at = lock(&self.inner).heartbeats.get(&member).copied();
        at.is_some_and(|at| now.saturating_duration_since(at) <= COVERED_FOR)
    }

    /// Notes that a member runs a version; returns for how long a newer one than that
    /// in force is known, or `None` if it is none.
    ///
    /// Failure: a heartbeat is taken in after the version that it told of came into
    /// force by another way. Symptom: the daemon believes itself behind until the next
    /// version, and refuses what it could answer. So the versions are compared here.
    pub fn behind_for(&self, version: Version, now: Instant) -> Option<Duration> {
        let mut inner = lock(&self.inner);
        if version <= inner.version {
            return None;
        }
        let since = *inner.behind.get_or_insert(now);
        Some(now.saturating_duration_since(since))
    }

    /// Returns whether the store said within a time that this is the newest
    /// version, and no member runs a newer one.
    pub fn is_current(&self, now: Instant, time: Duration) -> bool {
        let is_behind = lock(&self.inner).behind.is_some();
        !is_behind && self.is_fresh(now, time)
    }

    /// Returns how long ago the store said so, in milliseconds.
    pub fn confirmed_age_ms(&self, now: Instant) -> Option<u64> {
        let confirmed = lock(&self.inner).confirmed;
        confirmed.map(|at| now.saturating_duration_since(at).as_millis() as u64)
    }
}
