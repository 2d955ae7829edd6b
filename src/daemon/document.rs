//! The configuration document in force, where the store holds it complete under one key,
//! and how current it is known to be.

use super::lock;
use bytes::Bytes;
use cicadashift_core::config::delta::{Delta, Signature};
use cicadashift_core::ids::{HostKey, Version};
use cicadashift_edge::store::Revision;
use cicadashift_wire::rpc::{Update, UpdateBody};
use serde_bytes::ByteBuf;
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Time after a follower's heartbeat in which this daemon leaves the store to the
/// followers. Heartbeats come twice a second, so that one may be lost. A change must be
/// in force within two seconds; this timeout leaves a narrow link time to carry the
/// change.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1200);

/// Time after a follower's heartbeat in which its next one is due. One that is overdue may
/// be lost; the follower may also have ended, and another one is asked for a newer version.
const HEARTBEAT_DUE: Duration = Duration::from_millis(700);

/// The document in force, and how current it is known to be.
///
/// A follower is a member that watches the key in the store.
#[derive(Default)]
pub struct DocumentState {
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    version: Version,
    /// Revision at which the store last changed the text.
    revision: Revision,
    text: Bytes,
    /// When the store last confirmed, to this daemon or to a follower, that no newer
    /// version exists.
    confirmed: Option<Instant>,
    /// When this daemon first read the key.
    first_read: Option<Instant>,
    /// Since when a member is known to run a newer version.
    behind_since: Option<Instant>,
    /// When this daemon reads the key next, while it reads changes of a burst as one.
    next_read: Option<Instant>,
    /// When the last heartbeat of each follower arrived.
    heartbeats: HashMap<HostKey, Instant>,
}

impl DocumentState {
    /// Installs a newer text and calls `activate` before its version can be seen here;
    /// returns whether the text was newer.
    pub fn install(
        &self,
        version: Version,
        revision: Revision,
        text: Bytes,
        activate: impl FnOnce(),
    ) -> bool {
        let mut inner = lock(&self.inner);
        if version <= inner.version {
            return false;
        }
        activate();
        inner.text = text;
        inner.version = version;
        inner.revision = revision;
        inner.behind_since = None;
        true
    }

    /// Returns the version in force, zero before the first.
    pub fn version(&self) -> Version {
        lock(&self.inner).version
    }

    /// Returns the revision of the text in force, zero before the first.
    pub fn revision(&self) -> Revision {
        lock(&self.inner).revision
    }

    /// Returns the version in force and its text.
    pub fn version_and_text(&self) -> (Version, Bytes) {
        let inner = lock(&self.inner);
        (inner.version, inner.text.clone())
    }

    /// Returns whether the store confirmed within `max_age` that no newer version exists.
    pub fn was_confirmed_within(&self, now: Instant, max_age: Duration) -> bool {
        let confirmed = lock(&self.inner).confirmed;
        confirmed.is_some_and(|at| now.saturating_duration_since(at) <= max_age)
    }

    /// Returns the complete text for a member that holds version `held`; `None` if there is
    /// no newer version.
    pub fn complete_update(&self, held: Version) -> Option<Update> {
        self.update(held, |text| UpdateBody::Complete(ByteBuf::from(text.to_vec())))
    }

    /// Returns the delta for a member that holds version `held` with a text of this
    /// signature; `None` if there is no newer version.
    pub fn delta_update(&self, held: Version, signature: &Signature) -> Option<Update> {
        self.update(held, |text| UpdateBody::Changed(Delta::against(signature, text)))
    }

    fn update(&self, held: Version, encode: impl FnOnce(&[u8]) -> UpdateBody) -> Option<Update> {
        let (version, revision, text) = {
            let inner = lock(&self.inner);
            (inner.version, inner.revision, inner.text.clone())
        };
        (version > held).then(|| Update { version, revision, body: encode(&text) })
    }

    /// Records that this daemon has read the key for the first time, which also confirms
    /// the version in force.
    pub fn note_first_read(&self, now: Instant) {
        let mut inner = lock(&self.inner);
        inner.first_read = Some(now);
        inner.confirmed = Some(now);
    }

    /// Returns whether this daemon first read the key within `max_age`.
    pub fn was_first_read_within(&self, now: Instant, max_age: Duration) -> bool {
        let at = lock(&self.inner).first_read;
        at.is_some_and(|at| now.saturating_duration_since(at) <= max_age)
    }

    /// Records that the store has no newer version than the one in force.
    pub fn confirm(&self, now: Instant) {
        lock(&self.inner).confirmed = Some(now);
    }

    /// Records that the store is unavailable, so that a newer version may exist.
    pub fn unconfirm(&self) {
        lock(&self.inner).confirmed = None;
    }

    /// Records the heartbeat of a follower that runs `version`. It confirms the version
    /// in force, unless the follower runs a newer one.
    pub fn record_heartbeat(&self, member: HostKey, version: Version, now: Instant) {
        let mut inner = lock(&self.inner);
        inner.heartbeats.retain(|_, at| now.saturating_duration_since(*at) <= HEARTBEAT_TIMEOUT);
        inner.heartbeats.insert(member, now);
        if version <= inner.version {
            inner.confirmed = Some(now);
        }
    }

    /// Returns whether any follower sent a heartbeat within the heartbeat timeout.
    pub fn has_live_follower(&self, now: Instant) -> bool {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) <= HEARTBEAT_TIMEOUT;
        lock(&self.inner).heartbeats.values().any(is_recent)
    }

    /// Returns whether the next heartbeat of this follower is not overdue.
    pub fn is_follower_on_time(&self, member: HostKey, now: Instant) -> bool {
        let at = lock(&self.inner).heartbeats.get(&member).copied();
        at.is_some_and(|at| now.saturating_duration_since(at) <= HEARTBEAT_DUE)
    }

    /// Records when this daemon reads the key next, `None` where only a watch reports changes.
    pub fn expect_read(&self, at: Option<Instant>) {
        lock(&self.inner).next_read = at;
    }

    /// Returns the time until this daemon reads the key next, `None` if no read is ahead.
    pub fn time_to_read(&self, now: Instant) -> Option<Duration> {
        let at = lock(&self.inner).next_read?;
        at.checked_duration_since(now)
    }

    /// Records that a member runs `version`. Returns for how long a version newer than
    /// the one in force has been known, or `None` if `version` is not newer.
    ///
    /// The versions are compared under the lock, since a heartbeat may be handled after
    /// the version that it names came into force by another way. Otherwise the daemon
    /// would consider itself behind until the next version, and refuse calls that it
    /// could answer.
    pub fn note_member_version(&self, version: Version, now: Instant) -> Option<Duration> {
        let mut inner = lock(&self.inner);
        if version <= inner.version {
            return None;
        }
        let since = *inner.behind_since.get_or_insert(now);
        Some(now.saturating_duration_since(since))
    }

    /// Returns for how long a newer version than the one in force has been known, zero if
    /// none is.
    pub fn behind_for(&self, now: Instant) -> Duration {
        let since = lock(&self.inner).behind_since;
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Returns whether the store confirmed within `max_age` that no newer version exists,
    /// and no member is known to run one.
    pub fn is_current(&self, now: Instant, max_age: Duration) -> bool {
        let is_behind = lock(&self.inner).behind_since.is_some();
        !is_behind && self.was_confirmed_within(now, max_age)
    }

    /// Returns how long ago the store last confirmed the version in force, in
    /// milliseconds.
    pub fn confirmed_age_ms(&self, now: Instant) -> Option<u64> {
        let confirmed = lock(&self.inner).confirmed;
        confirmed.map(|at| now.saturating_duration_since(at).as_millis() as u64)
    }
}
