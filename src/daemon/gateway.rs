//! Exchange between failure domains.
//!
//! One daemon of each failure domain, the reader or else the first by key,
//! exchanges with one daemon of each other domain: the records that changed, the
//! newest version held whole, and calls that are suspected of ending upstreams. A failure domain that has lost the platform
//! but not its neighbours stays current in this way.

use super::sources::ObjectSource;
use super::{Daemon, lock, peers, promotion, quarantine};
use crate::store::{KeyValueStore, keys};
use cicadashift_core::ids::{HostKey, Incarnation};
use cicadashift_core::membership::record::Record;
use cicadashift_core::membership::table::JournalPos;
use cicadashift_http::exec;
use cicadashift_wire::rpc::{Request as Ask, Response, VersionRef};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time between two looks whether an exchange is due.
const STEP: Duration = Duration::from_millis(250);
/// Steps between two exchanges when nothing changed.
const IDLE_STEPS: u32 = 4;
/// Steps between two exchanges when something changed.
const BUSY_STEPS: u32 = 2;
/// Time for one exchange.
const EXCHANGE_TIME: Duration = Duration::from_millis(1000);
/// Idle rounds between two reads of rosters for unknown failure domains.
const ROSTER_ROUNDS: u32 = 20;

/// How far an exchange with one daemon has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Progress {
    /// The peer's life to which `theirs` belongs.
    life: Incarnation,
    /// What it was told of us.
    ours: JournalPos,
    /// What it told of itself.
    theirs: JournalPos,
}

/// The gateway's state of one daemon.
#[derive(Default)]
pub struct State {
    progress: Mutex<HashMap<SocketAddr, Progress>>,
    known: Mutex<BTreeMap<String, Vec<SocketAddr>>>,
    busy: AtomicBool,
}

/// Exchanges while it is this daemon's turn.
pub async fn run(d: Arc<Daemon>) {
    let mut steps = 0;
    let mut rounds = 0;
    let mut told: JournalPos = 0;
    loop {
        smol::Timer::after(STEP).await;
        steps += 1;
        if !is_gateway(&d) {
            continue;
        }
        let (_, pos) = d.members.since(JournalPos::MAX);
        let due = if pos == told { IDLE_STEPS } else { BUSY_STEPS };
        if steps < due {
            continue;
        }
        steps = 0;
        if rounds % ROSTER_ROUNDS == 0 {
            learn_rosters(&d).await;
        }
        rounds += 1;
        exchange_with_all(&d).await;
        told = d.members.since(JournalPos::MAX).1;
    }
}

/// Exchanges once with every other failure domain.
pub async fn exchange_with_all(d: &Arc<Daemon>) {
    let tasks: Vec<_> = contacts(d)
        .into_values()
        .map(|addrs| {
            let d = d.clone();
            exec::spawn(async move {
                for addr in addrs {
                    if exchange(&d, addr).await {
                        return;
                    }
                }
            })
        })
        .collect();
    for task in tasks {
        task.await;
    }
}

/// Answers an exchange.
pub fn on_exchange(
    d: &Arc<Daemon>,
    from: HostKey,
    _life: Incarnation,
    since: JournalPos,
    records: Vec<Record>,
    newest: Option<VersionRef>,
) -> Response {
    let domain = records.first().map(|record| record.domain.clone());
    d.members.apply(d, records);
    let asker = d.members.get(from);
    let domain = asker.as_ref().map(|record| record.domain.clone()).or(domain);
    let (mut own, pos) = d.members.since(since);
    own.retain(|record| Some(&record.domain) != domain.as_ref());
    if let (Some(newest), Some(asker)) = (newest, asker) {
        consider(d, newest, asker.far);
    }
    Response::Exchanged {
        life: d.incarnation,
        records: own,
        pos,
        newest: d.versions.newest_complete(),
    }
}

async fn exchange(d: &Arc<Daemon>, to: SocketAddr) -> bool {
    let progress = lock(&d.gateway.progress).get(&to).copied().unwrap_or_default();
    let (mut records, ours) = d.members.since(progress.ours);
    let own = d.members.own();
    records.retain(|record| record.domain == own.domain);
    if progress.ours == 0 && !records.iter().any(|record| record.host == d.me) {
        records.push(own);
    }
    let ask = Ask::Exchange {
        from: d.me,
        life: d.incarnation,
        since: progress.theirs,
        records,
        newest: d.versions.newest_complete(),
    };
    let answer = peers::ask(d, to, &ask, EXCHANGE_TIME).await;
    let Ok(Response::Exchanged { life, records, pos, newest }) = answer else {
        lock(&d.gateway.progress).remove(&to);
        return false;
    };
    // A restarted peer counts its journal anew and has forgotten what it was
    // told: both sides start over.
    let progress = match life == progress.life {
        true => Progress { life, ours, theirs: pos },
        false => Progress { life, ours: 0, theirs: 0 },
    };
    lock(&d.gateway.progress).insert(to, progress);
    d.members.apply(d, records);
    if let Some(newest) = newest {
        consider(d, newest, to);
    }
    if quarantine::has_suspicions(d) {
        quarantine::compare_if_due(d, to);
    }
    true
}

/// Rolls out a version that another failure domain has and this one lacks.
fn consider(d: &Arc<Daemon>, newest: VersionRef, from: SocketAddr) {
    let known =
        d.versions.active_version().max(d.versions.newest_complete().map_or(0, |w| w.version));
    if newest.version <= known || !is_gateway(d) || d.gateway.busy.swap(true, Ordering::Relaxed) {
        return;
    }
    let d = d.clone();
    exec::spawn(async move {
        // A reader that sees the platform gets there by itself in this time.
        smol::Timer::after(STEP).await;
        d.versions.add_version_ref(newest);
        if d.versions.active_version() < newest.version {
            let source = ObjectSource::Peers(vec![from]);
            if let Err(err) = promotion::run(&d, newest, &source).await {
                log::warn!("version {} from another failure domain: {err}", newest.version);
            }
        }
        d.gateway.busy.store(false, Ordering::Relaxed);
    })
    .detach();
}

/// Returns whether it is this daemon's turn.
fn is_gateway(d: &Daemon) -> bool {
    let others = d.members.others();
    let own = d.members.own();
    if own.reader {
        return true;
    }
    let reader_lives =
        others.iter().filter_map(|host| d.members.get(*host)).any(|record| record.reader);
    !reader_lives && others.iter().all(|host| d.me < *host)
}

/// Returns some daemons of every other failure domain.
fn contacts(d: &Daemon) -> BTreeMap<String, Vec<SocketAddr>> {
    let mut out: BTreeMap<String, Vec<SocketAddr>> = BTreeMap::new();
    let mut far = d.members.live_in_other_domains();
    far.sort_by_key(|record| (!record.reader, record.host));
    for record in far {
        let addrs = out.entry(record.domain).or_default();
        if addrs.len() < 2 {
            addrs.push(record.far);
        }
    }
    let settings = d.settings.far_peers.clone();
    let known = lock(&d.gateway.known).clone();
    for (domain, addrs) in settings.into_iter().chain(known) {
        let entry = out.entry(domain).or_default();
        let room = 3_usize.saturating_sub(entry.len());
        entry.extend(addrs.into_iter().take(room));
    }
    out
}

/// Learns from the platform which failure domains there are.
async fn learn_rosters(d: &Daemon) {
    let Ok(pairs) = d.store.list(keys::ROSTERS, false).await else { return };
    for pair in pairs {
        let domain = pair.key.trim_start_matches(keys::ROSTERS).to_string();
        let roster = serde_json::from_slice::<super::reader::Roster>(&pair.value);
        if let (true, Ok(roster)) = (domain != d.settings.failure_domain, roster) {
            d.members.add_catalog(roster.services.into_iter().collect());
            lock(&d.gateway.known).insert(domain, roster.far);
        }
    }
}
