//! What converge is compared with: each daemon watches the platform itself and
//! gets every object that changed, whether or not it is selected.

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

/// Bytes of HTTP heads and JSON around one exchange with the platform.
const EXCHANGE: u64 = 250;

/// A fleet of plain daemons, as tasks of this program.
pub struct Plain {
    shared: Arc<Shared>,
    tasks: Vec<smol::Task<()>>,
}

#[derive(Default)]
struct Shared {
    bytes: AtomicU64,
    times: Mutex<Vec<(u64, u64)>>,
}

impl Plain {
    /// Starts `count` of them.
    pub fn start(count: usize, platform: SocketAddr) -> Plain {
        let shared = Arc::new(Shared::default());
        let tasks = (0..count)
            .map(|_| exec::spawn(follow(Etcd::new(vec![platform]), shared.clone())))
            .collect();
        Plain { shared, tasks }
    }

    /// Returns the bytes that all of them received.
    pub fn bytes(&self) -> u64 {
        self.shared.bytes.load(Ordering::Relaxed)
    }

    /// Waits until all of them hold a version; returns the times since it was
    /// accepted.
    pub async fn wait(&self, version: u64, accepted_ms: u64, times: &mut Times) -> bool {
        for _ in 0..1000 {
            let held: Vec<u64> = {
                let all = self.shared.times.lock().unwrap_or_else(|err| err.into_inner());
                all.iter().filter(|(held, _)| *held == version).map(|(_, at)| *at).collect()
            };
            if held.len() == self.tasks.len() {
                held.iter().for_each(|at| times.add_ms(at.saturating_sub(accepted_ms) as f64));
                return true;
            }
            smol::Timer::after(Duration::from_millis(20)).await;
        }
        false
    }
}

async fn follow(platform: Etcd, shared: Arc<Shared>) {
    let mut store = Store::default();
    loop {
        let Ok(mut watch) = platform.watch(keys::HEAD).await else {
            smol::Timer::after(Duration::from_millis(200)).await;
            continue;
        };
        while let Ok(changes) = watch.next().await {
            for change in changes {
                let Change::Put(pair) = change else { continue };
                shared
                    .bytes
                    .fetch_add(pair.value.len() as u64 * 4 / 3 + EXCHANGE, Ordering::Relaxed);
                let Ok(head) = serde_json::from_slice::<Head>(&pair.value) else { continue };
                if get_all(&platform, &head, &mut store, &shared).await.is_some() {
                    let mut times = shared.times.lock().unwrap_or_else(|err| err.into_inner());
                    times.push((head.version, SystemClock::new().wall_ms()));
                }
            }
        }
    }
}

async fn get_all(platform: &Etcd, head: &Head, store: &mut Store, shared: &Shared) -> Option<()> {
    let root_hash = head.root_hash()?;
    get(platform, &[root_hash], store, shared).await?;
    let root: Root = manifest::decode(&store.get(root_hash)?)?;
    get(platform, &root.all_pages(), store, shared).await?;
    let mut texts = Vec::new();
    for page in root.configs {
        let page: ConfigPage = manifest::decode(&store.get(page)?)?;
        texts.extend(page.values().map(|entry| entry.hash));
    }
    get(platform, &texts, store, shared).await
}

async fn get(
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
    let mut bytes = EXCHANGE;
    for pair in pairs {
        // Values travel in base64, as they do for a reader.
        bytes += pair.value.len() as u64 * 4 / 3;
        let hash = pair.key.strip_prefix(keys::OBJECTS).and_then(ObjectHash::from_hex)?;
        store.put(hash, pair.value).ok()?;
    }
    shared.bytes.fetch_add(bytes, Ordering::Relaxed);
    Some(())
}
