//! The key-value store that holds all persistent data, as a trait.

use std::fmt;
use std::future::Future;
use std::time::Duration;

pub use cicadashift_core::ids::Revision;

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pair {
    /// The key.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
    /// Revision at which it last changed.
    pub revision: Revision,
}

/// A lease that the store granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Its id at the store.
    pub id: i64,
    /// Time after which it ends if no keep-alive is sent.
    pub ttl: Duration,
    /// The store's era in which it was granted. The lease ends with the era.
    pub era: u64,
}

/// The result of a write that depends on a condition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConditionalWrite {
    /// The condition held and the write was done.
    Applied,
    /// A key had changed or the lease had ended; nothing was written.
    Rejected,
}

/// Why a call to the store has no result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformError {
    /// The call certainly did not take effect.
    NotApplied(String),
    /// No answer was received; a write may have taken effect.
    Unknown(String),
    /// The platform limits the rate of calls; retry later.
    RateLimited,
    /// The answer does not conform to the platform's protocol.
    Protocol(String),
    /// The store was restored from a copy: data that was read before may be gone.
    Restored { era: u64 },
    /// No address of the platform is set.
    NoAddress,
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlatformError::NotApplied(why) => {
                write!(f, "platform call failed without effect: {why}")
            }
            PlatformError::Unknown(why) => {
                write!(f, "platform did not answer, and the call may have been applied: {why}")
            }
            PlatformError::RateLimited => {
                write!(f, "platform refused the call: over its rate limit")
            }
            PlatformError::Protocol(why) => write!(f, "platform sent an invalid answer: {why}"),
            PlatformError::Restored { era } => {
                write!(f, "the platform's store was restored from a copy, in era {era}")
            }
            PlatformError::NoAddress => write!(
                f,
                "no address of the platform is set; set it with --platform or $CICADASHIFT_PLATFORM"
            ),
        }
    }
}

impl std::error::Error for PlatformError {}

/// Calls to the store. Each counts as one call at the platform, unless the adapter has to
/// split it.
pub trait KeyValueStore: Send + Sync {
    /// A watch of this store.
    type Watch: Watch;

    /// Reads one key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Pair>, PlatformError>> + Send;

    /// Reads several keys in one call; absent keys are left out.
    fn get_many(
        &self,
        keys: &[String],
    ) -> impl Future<Output = Result<Vec<Pair>, PlatformError>> + Send;

    /// Reads all keys with a prefix; values are empty if `keys_only`.
    fn list(
        &self,
        prefix: &str,
        keys_only: bool,
    ) -> impl Future<Output = Result<Vec<Pair>, PlatformError>> + Send;

    /// Reads all keys with a prefix. The result may be some seconds old where that costs the
    /// platform less.
    fn list_allow_stale(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<Vec<Pair>, PlatformError>> + Send {
        self.list(prefix, false)
    }

    /// Writes several keys in one call, without a condition.
    fn put_many(
        &self,
        pairs: &[(String, Vec<u8>)],
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Deletes several keys in one call if each last changed at the given revision.
    fn delete_unchanged(
        &self,
        pairs: &[(String, Revision)],
    ) -> impl Future<Output = Result<ConditionalWrite, PlatformError>> + Send;

    /// Writes a key if it last changed at `expected`, under a lease if one is given.
    fn compare_and_swap(
        &self,
        key: &str,
        expected: Revision,
        value: &[u8],
        lease: Option<Lease>,
    ) -> impl Future<Output = Result<ConditionalWrite, PlatformError>> + Send;

    /// Writes a key under a lease, whatever its value; returns
    /// [`ConditionalWrite::Rejected`] where the lease has ended.
    fn put_leased(
        &self,
        key: &str,
        value: &[u8],
        lease: Lease,
    ) -> impl Future<Output = Result<ConditionalWrite, PlatformError>> + Send;

    /// Requests a lease.
    fn grant(&self, time: Duration) -> impl Future<Output = Result<Lease, PlatformError>> + Send;

    /// Renews a lease; returns `false` where it has already ended.
    fn keep_alive(&self, lease: Lease) -> impl Future<Output = Result<bool, PlatformError>> + Send;

    /// Ends a lease.
    fn revoke(&self, lease: Lease) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Watches the keys with a prefix from now on.
    fn watch(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<Self::Watch, PlatformError>> + Send;

    /// Reads all keys with a prefix and watches them from then on.
    fn list_and_watch(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<(Vec<Pair>, Self::Watch), PlatformError>> + Send {
        async {
            // The watch starts before the read, so that no change in between is missed.
            let watch = self.watch(prefix).await?;
            Ok((self.list(prefix, false).await?, watch))
        }
    }

    /// Watches the keys with a prefix for changes after a revision. The first result of the
    /// watch may be empty: no key had changed.
    fn watch_from(
        &self,
        prefix: &str,
        after: Revision,
    ) -> impl Future<Output = Result<Self::Watch, PlatformError>> + Send;
}

/// A change that a watch reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A key was written.
    Put(Pair),
    /// A key was deleted or its lease ended.
    Deleted(String),
    /// The changes are not known. These are all present items; other keys are gone.
    All(Vec<Pair>),
}

impl Change {
    /// Returns the item with a key, if the change reports it as present.
    pub fn pair(&self, key: &str) -> Option<&Pair> {
        let pairs = match self {
            Change::Put(pair) => std::slice::from_ref(pair),
            Change::All(pairs) => pairs,
            Change::Deleted(_) => &[],
        };
        pairs.iter().find(|pair| pair.key == key)
    }
}

/// A running watch.
pub trait Watch: Send {
    /// Returns the next changes.
    fn next(&mut self) -> impl Future<Output = Result<Vec<Change>, PlatformError>> + Send;
}
