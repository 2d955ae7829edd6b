//! The baseline of `converge`: each daemon watches the platform itself and fetches
//! every object that changed, whether or not a selector gives it to the daemon.

use crate::stats::Times;
use cicadashift::clock::{Clock, SystemClock};
use cicadashift::store::etcd::Etcd;
use cicadashift::store::{Change, KeyValueStore, Watch, keys};
use cicadashift_core::config::manifest::{self, ConfigPage, Root};
use cicadashift_core::delivery::head::Head;
use cicadashift_core::delivery::store::Store;
use cicadashift_core::ids::ObjectHash;
use cicadashift_http::exec;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Bytes of HTTP heads and JSON in one exchange with the platform, beside the values.
const EXCHANGE_OVERHEAD: u64 = 250;

/// A fleet of baseline daemons, which run as tasks of this program.
pub struct BaselineFleet {
    shared: Arc<Shared>,
    tasks: Vec<smol::Task<()>>,
}

/// Counters that all baseline daemons share.
#[derive(Default)]
struct Shared {
    /// Bytes received from the platform.
    bytes: AtomicU64,
    /// Version and wall-clock milliseconds of each completed fetch.
    fetched: Mutex<Vec<(u64, u64)>>,
}

impl BaselineFleet {
    /// Starts `count` daemons that watch `platform`.
    pub fn start(count: usize, platform: SocketAddr) -> BaselineFleet {
        let shared = Arc::new(Shared::default());
        let tasks = (0..count)
            .map(|_| exec::spawn(run_daemon(Etcd::new(vec![platform]), shared.clone())))
            .collect();
        BaselineFleet { shared, tasks }
    }

    /// Returns the bytes that all daemons received together.
    pub fn bytes(&self) -> u64 {
        self.shared.bytes.load(Ordering::Relaxed)
    }

    /// Waits until all daemons have fetched a version and adds the time that each took
    /// since `accepted_ms` to `times`. Returns false if they need more than about 20 s.
    pub async fn wait(&self, version: u64, accepted_ms: u64, times: &mut Times) -> bool {
        for _ in 0..1000 {
            let fetched_at: Vec<u64> = {
                let fetched = self.shared.fetched.lock().unwrap_or_else(|err| err.into_inner());
                fetched
                    .iter()
                    .filter(|(fetched_version, _)| *fetched_version == version)
                    .map(|(_, at)| *at)
                    .collect()
            };
            if fetched_at.len() == self.tasks.len() {
                fetched_at
                    .iter()
                    .for_each(|at| times.add_ms(at.saturating_sub(accepted_ms) as f64));
                return true;
            }
            smol::Timer::after(Duration::from_millis(20)).await;
        }
        false
    }
}

/// Watches the head on the platform and fetches the objects of each new version.
async fn run_daemon(platform: Etcd, shared: Arc<Shared>) {
    let mut store = Store::default();
    loop {
        let Ok(mut watch) = platform.watch(keys::HEAD).await else {
            smol::Timer::after(Duration::from_millis(200)).await;
            continue;
        };
        while let Ok(changes) = watch.next().await {
            for change in changes {
                let Change::Put(pair) = change else { continue };
                shared.bytes.fetch_add(
                    pair.value.len() as u64 * 4 / 3 + EXCHANGE_OVERHEAD,
                    Ordering::Relaxed,
                );
                let Ok(head) = serde_json::from_slice::<Head>(&pair.value) else { continue };
                if fetch_all(&platform, &head, &mut store, &shared).await.is_some() {
                    let mut fetched = shared.fetched.lock().unwrap_or_else(|err| err.into_inner());
                    fetched.push((head.version, SystemClock::new().wall_ms()));
                }
            }
        }
    }
}

/// Fetches the missing objects of a version: root, pages and configurations.
async fn fetch_all(platform: &Etcd, head: &Head, store: &mut Store, shared: &Shared) -> Option<()> {
    let root_hash = head.root_hash()?;
    fetch_missing(platform, &[root_hash], store, shared).await?;
    let root: Root = manifest::decode(&store.get(root_hash)?)?;
    fetch_missing(platform, &root.all_pages(), store, shared).await?;
    let mut documents = Vec::new();
    for page in root.configs {
        let page: ConfigPage = manifest::decode(&store.get(page)?)?;
        documents.extend(page.values().map(|entry| entry.hash));
    }
    fetch_missing(platform, &documents, store, shared).await
}

/// Fetches the objects of `hashes` that the store lacks.
async fn fetch_missing(
    platform: &Etcd,
    hashes: &[ObjectHash],
    store: &mut Store,
    shared: &Shared,
) -> Option<()> {
    let missing = store.missing(hashes);
    if missing.is_empty() {
        return Some(());
    }
    let names: Vec<String> = missing.iter().map(|hash| keys::object(*hash)).collect();
    let pairs = platform.get_many(&names).await.ok()?;
    let mut bytes = EXCHANGE_OVERHEAD;
    for pair in pairs {
        // The platform sends values in base64, to readers as well.
        bytes += pair.value.len() as u64 * 4 / 3;
        let hash = pair.key.strip_prefix(keys::OBJECTS).and_then(ObjectHash::from_hex)?;
        store.put(hash, pair.value).ok()?;
    }
    shared.bytes.fetch_add(bytes, Ordering::Relaxed);
    Some(())
}
