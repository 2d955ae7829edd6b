//! The store in which everything lasts, by the protocol that the settings name.

pub mod etcd;
pub mod keys;

pub use cicadashift_edge::store::{
    Change, Lease, Pair, Platform, PlatformError, Revision, Swap, Watch,
};
use cicadashift_platform::store::{Store as Hosted, StoreWatch as HostedWatch};
use etcd::{Etcd, EtcdWatch};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Kinds of calls to the store, as far as they differ in what they cost it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// A reading of what is there now.
    Read,
    /// A reading that may be old.
    OldRead,
    /// A watch, each time that it is asked again.
    Watch,
    /// A write.
    Write,
    /// A lease that is asked for or ended.
    Lease,
    /// A lease that is prolonged.
    Renewal,
}

impl StoreCall {
    /// All of them.
    pub const ALL: [StoreCall; 6] = [
        StoreCall::Read,
        StoreCall::OldRead,
        StoreCall::Watch,
        StoreCall::Write,
        StoreCall::Lease,
        StoreCall::Renewal,
    ];

    /// Returns its name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            StoreCall::Read => "read",
            StoreCall::OldRead => "old_read",
            StoreCall::Watch => "watch",
            StoreCall::Write => "write",
            StoreCall::Lease => "lease",
            StoreCall::Renewal => "renewal",
        }
    }
}

/// Counts of calls by kind; a listing in several pages counts as one.
type Counts = [AtomicU64; StoreCall::ALL.len()];

/// A client of the store that counts its calls.
pub struct Client {
    by: By,
    calls: Arc<Counts>,
}

/// The client by protocol.
enum By {
    /// The gateway of etcd.
    Etcd(Etcd),
    /// The metadata store of the users' platform.
    Hosted(Hosted),
}

/// A watch that counts its calls.
pub struct ClientWatch {
    by: WatchBy,
    calls: Arc<Counts>,
}

/// The watch by protocol.
enum WatchBy {
    Etcd(EtcdWatch),
    Hosted(HostedWatch),
}

impl Client {
    fn new(by: By) -> Client {
        Client { by, calls: Arc::default() }
    }

    /// Returns how many calls of a kind were made.
    pub fn calls(&self, call: StoreCall) -> u64 {
        self.calls[call as usize].load(Ordering::Relaxed)
    }

    /// Returns the store's era, once it has answered: it rises each time that the store
    /// comes back from a copy.
    pub fn era(&self) -> Option<u64> {
        match &self.by {
            By::Etcd(_) => None,
            By::Hosted(store) => store.era(),
        }
    }

    fn count(&self, call: StoreCall) {
        self.calls[call as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Makes a client of etcd.
    pub fn etcd(addrs: Vec<SocketAddr>) -> Client {
        Client::new(By::Etcd(Etcd::new(addrs)))
    }

    /// Makes a client of the metadata store.
    pub fn metadata_store(addrs: &[SocketAddr]) -> Client {
        Client::new(By::Hosted(Hosted::new(addrs.first().copied())))
    }
}

macro_rules! forward {
    ($self:ident, $kind:ident, $store:ident => $call:expr) => {{
        $self.count(StoreCall::$kind);
        match &$self.by {
            By::Etcd($store) => $call,
            By::Hosted($store) => $call,
        }
    }};
}

impl Platform for Client {
    type Watch = ClientWatch;

    async fn get(&self, key: &str) -> Result<Option<Pair>, PlatformError> {
        forward!(self, Read, store => store.get(key).await)
    }

    async fn get_many(&self, keys: &[String]) -> Result<Vec<Pair>, PlatformError> {
        forward!(self, Read, store => store.get_many(keys).await)
    }

    async fn list(&self, prefix: &str, keys_only: bool) -> Result<Vec<Pair>, PlatformError> {
        forward!(self, Read, store => store.list(prefix, keys_only).await)
    }

    async fn list_maybe_old(&self, prefix: &str) -> Result<Vec<Pair>, PlatformError> {
        forward!(self, OldRead, store => store.list_maybe_old(prefix).await)
    }

    async fn put_many(&self, pairs: &[(String, Vec<u8>)]) -> Result<(), PlatformError> {
        forward!(self, Write, store => store.put_many(pairs).await)
    }

    async fn delete_unchanged(&self, pairs: &[(String, Revision)]) -> Result<Swap, PlatformError> {
        forward!(self, Write, store => store.delete_unchanged(pairs).await)
    }

    async fn swap(
        &self,
        key: &str,
        expected: Revision,
        value: &[u8],
        lease: Option<Lease>,
    ) -> Result<Swap, PlatformError> {
        forward!(self, Write, store => store.swap(key, expected, value, lease).await)
    }

    async fn put_leased(
        &self,
        key: &str,
        value: &[u8],
        lease: Lease,
    ) -> Result<Swap, PlatformError> {
        forward!(self, Write, store => store.put_leased(key, value, lease).await)
    }

    async fn grant(&self, time: Duration) -> Result<Lease, PlatformError> {
        forward!(self, Lease, store => store.grant(time).await)
    }

    async fn keep_alive(&self, lease: Lease) -> Result<bool, PlatformError> {
        forward!(self, Renewal, store => store.keep_alive(lease).await)
    }

    async fn revoke(&self, lease: Lease) -> Result<(), PlatformError> {
        forward!(self, Lease, store => store.revoke(lease).await)
    }

    async fn watch_from(
        &self,
        prefix: &str,
        after: Revision,
    ) -> Result<ClientWatch, PlatformError> {
        let by = match &self.by {
            By::Etcd(store) => store.watch_from(prefix, after).await.map(WatchBy::Etcd)?,
            By::Hosted(store) => store.watch_from(prefix, after).await.map(WatchBy::Hosted)?,
        };
        Ok(ClientWatch { by, calls: self.calls.clone() })
    }

    async fn list_and_watch(
        &self,
        prefix: &str,
    ) -> Result<(Vec<Pair>, ClientWatch), PlatformError> {
        self.count(StoreCall::Read);
        let (pairs, by) = match &self.by {
            By::Etcd(store) => {
                store.list_and_watch(prefix).await.map(|(p, w)| (p, WatchBy::Etcd(w)))?
            }
            By::Hosted(store) => {
                store.list_and_watch(prefix).await.map(|(p, w)| (p, WatchBy::Hosted(w)))?
            }
        };
        Ok((pairs, ClientWatch { by, calls: self.calls.clone() }))
    }

    async fn watch(&self, prefix: &str) -> Result<ClientWatch, PlatformError> {
        self.count(StoreCall::Read);
        let by = match &self.by {
            By::Etcd(store) => store.watch(prefix).await.map(WatchBy::Etcd)?,
            By::Hosted(store) => store.watch(prefix).await.map(WatchBy::Hosted)?,
        };
        Ok(ClientWatch { by, calls: self.calls.clone() })
    }
}

impl Watch for ClientWatch {
    async fn next(&mut self) -> Result<Vec<Change>, PlatformError> {
        self.calls[StoreCall::Watch as usize].fetch_add(1, Ordering::Relaxed);
        match &mut self.by {
            WatchBy::Etcd(watch) => watch.next().await,
            WatchBy::Hosted(watch) => watch.next().await,
        }
    }
}
