//! The store in which everything lasts, by the protocol that the settings name.

pub mod etcd;
pub mod keys;

pub use cicadashift_edge::store::{
    Change, Lease, Pair, Platform, PlatformError, Revision, Swap, Watch,
};
use cicadashift_platform::store::{Store as Hosted, StoreWatch as HostedWatch};
use etcd::{Etcd, EtcdWatch};
use std::net::SocketAddr;
use std::time::Duration;

/// A client of the store, by protocol.
pub enum Client {
    /// The gateway of etcd.
    Etcd(Etcd),
    /// The metadata store of the users' platform.
    Hosted(Hosted),
}

/// A watch, by protocol.
pub enum ClientWatch {
    /// On etcd.
    Etcd(EtcdWatch),
    /// On the metadata store.
    Hosted(HostedWatch),
}

impl Client {
    /// Makes a client of etcd.
    pub fn etcd(addrs: Vec<SocketAddr>) -> Client {
        Client::Etcd(Etcd::new(addrs))
    }

    /// Makes a client of the metadata store.
    pub fn hosted(addrs: &[SocketAddr]) -> Client {
        Client::Hosted(Hosted::new(addrs.first().copied()))
    }
}

macro_rules! forward {
    ($self:ident, $store:ident => $call:expr) => {
        match $self {
            Client::Etcd($store) => $call,
            Client::Hosted($store) => $call,
        }
    };
}

impl Platform for Client {
    type Watch = ClientWatch;

    async fn get(&self, key: &str) -> Result<Option<Pair>, PlatformError> {
        forward!(self, store => store.get(key).await)
    }

    async fn get_many(&self, keys: &[String]) -> Result<Vec<Pair>, PlatformError> {
        forward!(self, store => store.get_many(keys).await)
    }

    async fn list(&self, prefix: &str, keys_only: bool) -> Result<Vec<Pair>, PlatformError> {
        forward!(self, store => store.list(prefix, keys_only).await)
    }

    async fn list_maybe_old(&self, prefix: &str) -> Result<Vec<Pair>, PlatformError> {
        forward!(self, store => store.list_maybe_old(prefix).await)
    }

    async fn put_many(&self, pairs: &[(String, Vec<u8>)]) -> Result<(), PlatformError> {
        forward!(self, store => store.put_many(pairs).await)
    }

    async fn delete_unchanged(&self, pairs: &[(String, Revision)]) -> Result<Swap, PlatformError> {
        forward!(self, store => store.delete_unchanged(pairs).await)
    }

    async fn swap(
        &self,
        key: &str,
        expected: Revision,
        value: &[u8],
        lease: Option<Lease>,
    ) -> Result<Swap, PlatformError> {
        forward!(self, store => store.swap(key, expected, value, lease).await)
    }

    async fn put_leased(
        &self,
        key: &str,
        value: &[u8],
        lease: Lease,
    ) -> Result<Swap, PlatformError> {
        forward!(self, store => store.put_leased(key, value, lease).await)
    }

    async fn grant(&self, time: Duration) -> Result<Lease, PlatformError> {
        forward!(self, store => store.grant(time).await)
    }

    async fn keep_alive(&self, lease: Lease) -> Result<bool, PlatformError> {
        forward!(self, store => store.keep_alive(lease).await)
    }

    async fn revoke(&self, lease: Lease) -> Result<(), PlatformError> {
        forward!(self, store => store.revoke(lease).await)
    }

    async fn watch_from(
        &self,
        prefix: &str,
        after: Revision,
    ) -> Result<ClientWatch, PlatformError> {
        match self {
            Client::Etcd(store) => store.watch_from(prefix, after).await.map(ClientWatch::Etcd),
            Client::Hosted(store) => store.watch_from(prefix, after).await.map(ClientWatch::Hosted),
        }
    }

    async fn watch(&self, prefix: &str) -> Result<ClientWatch, PlatformError> {
        match self {
            Client::Etcd(store) => store.watch(prefix).await.map(ClientWatch::Etcd),
            Client::Hosted(store) => store.watch(prefix).await.map(ClientWatch::Hosted),
        }
    }
}

impl Watch for ClientWatch {
    async fn next(&mut self) -> Result<Vec<Change>, PlatformError> {
        match self {
            ClientWatch::Etcd(watch) => watch.next().await,
            ClientWatch::Hosted(watch) => watch.next().await,
        }
    }
}
