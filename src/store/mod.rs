//! Clients of the durable store, etcd or the platform's metadata store, as the settings
//! choose. Calls are counted by kind.

pub mod etcd;
pub mod keys;

pub use cicadashift_edge::store::{
    Change, ConditionalWrite, KeyValueStore, Lease, Pair, PlatformError, Revision, Watch,
};
use cicadashift_platform::store::{Store as MetadataStore, StoreWatch as MetadataStoreWatch};
use etcd::{Etcd, EtcdWatch};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Kinds of calls to the store, by what a call costs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// A read of the current state.
    Read,
    /// A read that may return stale data.
    StaleRead,
    /// A wait for the next changes of a watch; each wait counts.
    Watch,
    /// A write.
    Write,
    /// A lease that is granted or revoked.
    Lease,
    /// A lease that is renewed.
    Renewal,
}

impl StoreCall {
    /// All kinds of calls.
    pub const ALL: [StoreCall; 6] = [
        StoreCall::Read,
        StoreCall::StaleRead,
        StoreCall::Watch,
        StoreCall::Write,
        StoreCall::Lease,
        StoreCall::Renewal,
    ];

    /// Returns the name of the kind in metrics.
    pub fn name(self) -> &'static str {
        match self {
            StoreCall::Read => "read",
            StoreCall::StaleRead => "old_read",
            StoreCall::Watch => "watch",
            StoreCall::Write => "write",
            StoreCall::Lease => "lease",
            StoreCall::Renewal => "renewal",
        }
    }
}

/// Numbers of calls by kind; a listing that takes several pages counts once.
type Counts = [AtomicU64; StoreCall::ALL.len()];

/// A client of the store that counts the calls it makes.
pub struct Client {
    inner: ProtocolClient,
    calls: Arc<Counts>,
}

/// A client of one of the two protocols.
enum ProtocolClient {
    /// The JSON gateway of etcd.
    Etcd(Etcd),
    /// The metadata store of the users' platform.
    MetadataStore(MetadataStore),
}

/// A watch that counts the times it waits for changes.
pub struct ClientWatch {
    inner: ProtocolWatch,
    calls: Arc<Counts>,
}

/// A watch of one of the two protocols.
enum ProtocolWatch {
    Etcd(EtcdWatch),
    MetadataStore(MetadataStoreWatch),
}

impl Client {
    fn new(inner: ProtocolClient) -> Client {
        Client { inner, calls: Arc::default() }
    }

    /// Returns the number of calls of a kind.
    pub fn calls(&self, call: StoreCall) -> u64 {
        self.calls[call as usize].load(Ordering::Relaxed)
    }

    /// Returns the store's era, which rises each time that the store is restored from a
    /// copy. `None` until the store has answered, and always for etcd.
    pub fn era(&self) -> Option<u64> {
        match &self.inner {
            ProtocolClient::Etcd(_) => None,
            ProtocolClient::MetadataStore(store) => store.era(),
        }
    }

    fn count(&self, call: StoreCall) {
        self.calls[call as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Makes a client of etcd.
    pub fn etcd(addrs: Vec<SocketAddr>) -> Client {
        Client::new(ProtocolClient::Etcd(Etcd::new(addrs)))
    }

    /// Makes a client of the metadata store.
    pub fn metadata_store(addrs: &[SocketAddr]) -> Client {
        Client::new(ProtocolClient::MetadataStore(MetadataStore::new(addrs.first().copied())))
    }
}

macro_rules! forward {
    ($self:ident, $kind:ident, $store:ident => $call:expr) => {{
        $self.count(StoreCall::$kind);
        match &$self.inner {
            ProtocolClient::Etcd($store) => $call,
            ProtocolClient::MetadataStore($store) => $call,
        }
    }};
}

impl KeyValueStore for Client {
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

    async fn list_allow_stale(&self, prefix: &str) -> Result<Vec<Pair>, PlatformError> {
        forward!(self, StaleRead, store => store.list_allow_stale(prefix).await)
    }

    async fn put_many(&self, pairs: &[(String, Vec<u8>)]) -> Result<(), PlatformError> {
        forward!(self, Write, store => store.put_many(pairs).await)
    }

    async fn delete_unchanged(
        &self,
        pairs: &[(String, Revision)],
    ) -> Result<ConditionalWrite, PlatformError> {
        forward!(self, Write, store => store.delete_unchanged(pairs).await)
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expected: Revision,
        value: &[u8],
        lease: Option<Lease>,
    ) -> Result<ConditionalWrite, PlatformError> {
        forward!(self, Write, store => store.compare_and_swap(key, expected, value, lease).await)
    }

    async fn put_leased(
        &self,
        key: &str,
        value: &[u8],
        lease: Lease,
    ) -> Result<ConditionalWrite, PlatformError> {
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
        let inner = match &self.inner {
            ProtocolClient::Etcd(store) => {
                store.watch_from(prefix, after).await.map(ProtocolWatch::Etcd)?
            }
            ProtocolClient::MetadataStore(store) => {
                store.watch_from(prefix, after).await.map(ProtocolWatch::MetadataStore)?
            }
        };
        Ok(ClientWatch { inner, calls: self.calls.clone() })
    }

    async fn list_and_watch(
        &self,
        prefix: &str,
    ) -> Result<(Vec<Pair>, ClientWatch), PlatformError> {
        self.count(StoreCall::Read);
        let (pairs, inner) = match &self.inner {
            ProtocolClient::Etcd(store) => {
                store.list_and_watch(prefix).await.map(|(p, w)| (p, ProtocolWatch::Etcd(w)))?
            }
            ProtocolClient::MetadataStore(store) => store
                .list_and_watch(prefix)
                .await
                .map(|(p, w)| (p, ProtocolWatch::MetadataStore(w)))?,
        };
        Ok((pairs, ClientWatch { inner, calls: self.calls.clone() }))
    }

    async fn watch(&self, prefix: &str) -> Result<ClientWatch, PlatformError> {
        self.count(StoreCall::Read);
        let inner = match &self.inner {
            ProtocolClient::Etcd(store) => store.watch(prefix).await.map(ProtocolWatch::Etcd)?,
            ProtocolClient::MetadataStore(store) => {
                store.watch(prefix).await.map(ProtocolWatch::MetadataStore)?
            }
        };
        Ok(ClientWatch { inner, calls: self.calls.clone() })
    }
}

impl Watch for ClientWatch {
    async fn next(&mut self) -> Result<Vec<Change>, PlatformError> {
        self.calls[StoreCall::Watch as usize].fetch_add(1, Ordering::Relaxed);
        match &mut self.inner {
            ProtocolWatch::Etcd(watch) => watch.next().await,
            ProtocolWatch::MetadataStore(watch) => watch.next().await,
        }
    }
}
