//! The key-value service in which everything lasts, seen through one narrow trait.

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
    /// When it last changed.
    pub revision: Revision,
}

/// A lease that was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Its id at the platform.
    pub id: i64,
    /// How long it lasts without a keep-alive.
    pub ttl: Duration,
    /// The store's era in which it was granted; it ends with it.
    pub era: u64,
}

/// What a compare-and-swap did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConditionalWrite {
    /// The value was written.
    Applied,
    /// The key had changed; nothing was written.
    Rejected,
}

/// Why a call to the platform has no result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformError {
    /// It certainly did not take effect.
    NotApplied(String),
    /// The answer was lost; a write may have taken effect.
    Unknown(String),
    /// The platform is over its rate; come back later.
    RateLimited,
    /// It answered with something that is not its protocol.
    Protocol(String),
    /// The platform came back from a copy: what was read before may be gone.
    Restored { era: u64 },
    /// No address of the platform is set.
    NoAddress,
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlatformError::NotApplied(why) => write!(f, "the platform cannot be reached: {why}"),
            PlatformError::Unknown(why) => write!(f, "the platform's answer was lost: {why}"),
            PlatformError::RateLimited => write!(f, "the platform refuses calls over its rate"),
            PlatformError::Protocol(why) => write!(f, "the platform's answer is wrong: {why}"),
            PlatformError::Restored { era } => {
                write!(f, "the platform came back from a copy, in era {era}")
            }
            PlatformError::NoAddress => write!(
                f,
                "no address of the platform is set; name it with --platform or $CICADASHIFT_PLATFORM"
            ),
        }
    }
}

impl std::error::Error for PlatformError {}

/// Calls to the platform; each is one call in its count.
pub trait KeyValueStore: Send + Sync {
    /// A running watch.
    type Watch: Watch;

    /// Reads one key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Pair>, PlatformError>> + Send;

    /// Reads several keys in one call; absent ones are left out.
    fn get_many(
        &self,
        keys: &[String],
    ) -> impl Future<Output = Result<Vec<Pair>, PlatformError>> + Send;

    /// Reads all keys with a prefix; without values if `keys_only`.
    fn list(
        &self,
        prefix: &str,
        keys_only: bool,
    ) -> impl Future<Output = Result<Vec<Pair>, PlatformError>> + Send;

    /// Reads all keys with a prefix as they were some seconds ago at most, where that
    /// costs the platform less.
    fn list_allow_stale(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<Vec<Pair>, PlatformError>> + Send {
        self.list(prefix, false)
    }

    /// Writes several keys in one call, whatever they held.
    fn put_many(
        &self,
        pairs: &[(String, Vec<u8>)],
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Deletes several keys in one call if none has changed since it was read.
    fn delete_unchanged(
        &self,
        pairs: &[(String, Revision)],
    ) -> impl Future<Output = Result<ConditionalWrite, PlatformError>> + Send;

    /// Writes a key if it last changed at `expected`, under a lease if given.
    fn compare_and_swap(
        &self,
        key: &str,
        expected: Revision,
        value: &[u8],
        lease: Option<Lease>,
    ) -> impl Future<Output = Result<ConditionalWrite, PlatformError>> + Send;

    /// Writes a key under a lease, whatever it held; [`ConditionalWrite::Rejected`] where the
    /// lease has ended.
    fn put_leased(
        &self,
        key: &str,
        value: &[u8],
        lease: Lease,
    ) -> impl Future<Output = Result<ConditionalWrite, PlatformError>> + Send;

    /// Asks for a lease.
    fn grant(&self, time: Duration) -> impl Future<Output = Result<Lease, PlatformError>> + Send;

    /// Prolongs a lease; `false` where it has already ended.
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
            // The watch is in place before the reading, so that nothing falls between.
            let watch = self.watch(prefix).await?;
            Ok((self.list(prefix, false).await?, watch))
        }
    }

    /// Watches the keys with a prefix for what changed after a position. Its first
    /// report may be empty: nothing had changed then.
    fn watch_from(
        &self,
        prefix: &str,
        after: Revision,
    ) -> impl Future<Output = Result<Self::Watch, PlatformError>> + Send;
}

/// What a watch reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A key was written.
    Put(Pair),
    /// A key was deleted or its lease ended.
    Deleted(String),
}

/// A running watch.
pub trait Watch: Send {
    /// Returns the next changes.
    fn next(&mut self) -> impl Future<Output = Result<Vec<Change>, PlatformError>> + Send;
}
