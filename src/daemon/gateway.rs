//! Gateway between failure domains.
//!
//! One daemon of each failure domain, the reader or else the first by key, exchanges state with one
//! daemon of each other failure domain: the membership records that changed, the newest version
//! that is completely staged, and calls that are suspected of ending upstreams. A failure domain
//! that cannot reach the platform but can reach other failure domains stays up to date in this way.

use super::sources::ObjectSource;
use super::{Daemon, lock, peers, promotion, quarantine};
use crate::store::{KeyValueStore, keys};
use cicadashift_core::ids::{HostKey, Incarnation};
use cicadashift_core::membership::record::Record;
use cicadashift_core::membership::table::JournalPos;
use cicadashift_http::exec;
use cicadashift_http::reactor::Timer;
use cicadashift_wire::rpc::{Request, Response, VersionRef};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time between two checks whether an exchange is due.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Polls between two exchanges when no record changed.
const IDLE_POLLS: u32 = 4;
/// Polls between two exchanges when a record changed.
const BUSY_POLLS: u32 = 2;
/// Time limit of one exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Rounds of exchanges between two reads of the rosters, which list failure domains that are not
/// known yet.
const ROUNDS_PER_ROSTER_READ: u32 = 20;

/// Journal positions up to which records were exchanged with one daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Progress {
    /// Incarnation of the peer, to which `received` belongs.
    incarnation: Incarnation,
    /// Position in the own journal up to which records were sent.
    sent: JournalPos,
    /// Position in the journal of the peer up to which records were received.
    received: JournalPos,
}

/// State of one daemon as a gateway.
#[derive(Default)]
pub struct State {
    progress: Mutex<HashMap<SocketAddr, Progress>>,
    roster_addresses: Mutex<BTreeMap<String, Vec<SocketAddr>>>,
    is_promoting: AtomicBool,
}

/// Exchanges with the other failure domains while this daemon is the gateway.
pub async fn run(d: Arc<Daemon>) {
    let mut polls = 0;
    let mut rounds = 0;
    let mut last_pos: JournalPos = 0;
    loop {
        Timer::after(POLL_INTERVAL).await;
        polls += 1;
        if !is_gateway(&d) {
            continue;
        }
        let (_, pos) = d.members.since(JournalPos::MAX);
        let due = if pos == last_pos { IDLE_POLLS } else { BUSY_POLLS };
        if polls < due {
            continue;
        }
        polls = 0;
        if rounds % ROUNDS_PER_ROSTER_READ == 0 {
            load_rosters(&d).await;
        }
        rounds += 1;
        exchange_with_all(&d).await;
        last_pos = d.members.since(JournalPos::MAX).1;
    }
}

/// Exchanges once with every other failure domain, trying its known addresses in order.
pub async fn exchange_with_all(d: &Arc<Daemon>) {
    let tasks: Vec<_> = peers_by_domain(d)
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

/// Answers an exchange of a gateway of another failure domain.
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
    let sender = d.members.get(from);
    let domain = sender.as_ref().map(|record| record.domain.clone()).or(domain);
    let (mut own, pos) = d.members.since(since);
    own.retain(|record| Some(&record.domain) != domain.as_ref());
    if let (Some(newest), Some(sender)) = (newest, sender) {
        promote_if_newer(d, newest, sender.far);
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
    let (mut records, sent) = d.members.since(progress.sent);
    let own = d.members.own();
    records.retain(|record| record.domain == own.domain);
    if progress.sent == 0 && !records.iter().any(|record| record.host == d.me) {
        records.push(own);
    }
    let request = Request::Exchange {
        from: d.me,
        life: d.incarnation,
        since: progress.received,
        records,
        newest: d.versions.newest_complete(),
    };
    let answer = peers::ask(d, to, &request, EXCHANGE_TIMEOUT).await;
    let Ok(Response::Exchanged { life, records, pos, newest }) = answer else {
        lock(&d.gateway.progress).remove(&to);
        return false;
    };
    // The journal of a restarted peer starts again, and the peer has lost the records that it
    // received, so both directions start from the beginning.
    let progress = match life == progress.incarnation {
        true => Progress { incarnation: life, sent, received: pos },
        false => Progress { incarnation: life, sent: 0, received: 0 },
    };
    lock(&d.gateway.progress).insert(to, progress);
    d.members.apply(d, records);
    if let Some(newest) = newest {
        promote_if_newer(d, newest, to);
    }
    if quarantine::has_suspicions(d) {
        quarantine::compare_if_due(d, to);
    }
    true
}

/// Promotes a version that another failure domain has and this one lacks.
fn promote_if_newer(d: &Arc<Daemon>, newest: VersionRef, from: SocketAddr) {
    let newest_known = d
        .versions
        .active_version()
        .max(d.versions.newest_complete().map_or(0, |version_ref| version_ref.version));
    if newest.version <= newest_known
        || !is_gateway(d)
        || d.gateway.is_promoting.swap(true, Ordering::Relaxed)
    {
        return;
    }
    let d = d.clone();
    exec::spawn(async move {
        // A reader that can reach the platform promotes the version itself within this time.
        Timer::after(POLL_INTERVAL).await;
        d.versions.add_version_ref(newest);
        if d.versions.active_version() < newest.version {
            let source = ObjectSource::Peers(vec![from]);
            if let Err(err) = promotion::run(&d, newest, &source).await {
                log::warn!(
                    "version {} from another failure domain is not offered: {err}",
                    newest.version
                );
            }
        }
        d.gateway.is_promoting.store(false, Ordering::Relaxed);
    })
    .detach();
}

/// Returns whether this daemon is the gateway: the reader, or the first by key if there is no
/// reader.
fn is_gateway(d: &Daemon) -> bool {
    let others = d.members.others();
    let own = d.members.own();
    if own.reader {
        return true;
    }
    let has_live_reader =
        others.iter().filter_map(|host| d.members.get(*host)).any(|record| record.reader);
    !has_live_reader && others.iter().all(|host| d.me < *host)
}

/// Returns the addresses of up to three daemons of every other failure domain, by domain.
fn peers_by_domain(d: &Daemon) -> BTreeMap<String, Vec<SocketAddr>> {
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
    let roster_addresses = lock(&d.gateway.roster_addresses).clone();
    for (domain, addrs) in settings.into_iter().chain(roster_addresses) {
        let entry = out.entry(domain).or_default();
        let free = 3_usize.saturating_sub(entry.len());
        entry.extend(addrs.into_iter().take(free));
    }
    out
}

/// Reads the rosters of the other failure domains from the platform.
async fn load_rosters(d: &Daemon) {
    let Ok(pairs) = d.store.list(keys::ROSTERS, false).await else { return };
    for pair in pairs {
        let domain = pair.key.trim_start_matches(keys::ROSTERS).to_string();
        let roster = serde_json::from_slice::<super::reader::Roster>(&pair.value);
        if let (true, Ok(roster)) = (domain != d.settings.failure_domain, roster) {
            d.members.add_catalog(roster.services.into_iter().collect());
            lock(&d.gateway.roster_addresses).insert(domain, roster.far);
        }
    }
}
