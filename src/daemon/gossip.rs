//! Runs probes and gossip over UDP, and handles received datagrams.

use super::datagrams::{Piggyback, ping, send, send_datagram, send_to};
use super::{Daemon, catch_up, departures, limits, liveness, quarantine, source};
use crate::settings::InterfaceKind;
use cicadashift_core::ids::HostKey;
use cicadashift_core::limit::Report;
use cicadashift_core::membership::detector::Action;
use cicadashift_core::membership::gossip::RECORDS_PER_DATAGRAM;
use cicadashift_core::membership::record::Health;
use cicadashift_http::exec;
use cicadashift_http::reactor::Timer;
use cicadashift_wire::datagram::{Datagram, Kind, MAX_DATAGRAM};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Interval of rounds while records are queued for gossip.
const TICK: Duration = Duration::from_millis(100);
/// Interval of rounds while the queue is empty. It is longer because wake-ups are most of the
/// work of an idle daemon.
const IDLE_TICK: Duration = Duration::from_millis(200);
/// Interval of probes to members marked as dead: they may have come back without a way to
/// find the others.
const DEAD_PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Rounds sent without a pause when a daemon leaves.
const FLUSH_ROUNDS: usize = 4;
/// Consecutive differing digests before whole tables are compared. One or two usually mean
/// that updates are still in flight.
const DIFFERENCES_BEFORE_SYNC: u32 = 3;
/// Shortest time between two comparisons of whole tables.
const SYNC_INTERVAL: Duration = Duration::from_millis(1500);
/// Shortest time between two table comparisons with senders that have no record here.
const JOIN_INTERVAL: Duration = Duration::from_millis(250);

/// When to compare tables with other daemons.
#[derive(Default)]
struct SyncState {
    /// Consecutive differing digests.
    differing_digests: u32,
    last_sync: Option<Instant>,
    /// When tables were last compared with a sender that had no record here.
    last_join: Option<Instant>,
}

/// Sends probes and gossip until cancelled.
pub async fn run(d: Arc<Daemon>) {
    let mut next_dead_probe = d.clock.now();
    let mut last_round = next_dead_probe;
    loop {
        let is_idle = !has_pending(&d);
        Timer::after(if is_idle { IDLE_TICK } else { TICK }).await;
        let now = d.clock.now();
        for action in d.members.tick(now, fastrand::u64(..)) {
            perform(&d, action).await;
        }
        liveness::ping_silent_hosts(&d, now.saturating_duration_since(last_round)).await;
        last_round = now;
        if now >= next_dead_probe && d.settings.interface == InterfaceKind::Platform {
            next_dead_probe = now + DEAD_PROBE_INTERVAL;
            if let Some(host) = fastrand::choice(&d.members.dead_hosts()) {
                ping(&d, *host).await;
            }
        }
        if has_pending(&d) {
            send_round(&d).await;
        }
    }
}

/// Returns whether records or departures remain to be gossiped.
fn has_pending(d: &Daemon) -> bool {
    !d.members.is_queue_empty() || d.departures.has_pending()
}

/// Sends queued records without waiting for the next rounds.
pub async fn flush(d: &Daemon) {
    for _ in 0..FLUSH_ROUNDS {
        send_round(d).await;
    }
}

/// Receives datagrams until cancelled.
pub async fn receive(d: Arc<Daemon>) {
    let mut buf = vec![0; MAX_DATAGRAM + 1];
    let mut sync = SyncState::default();
    loop {
        let Ok((len, from)) = d.udp.recv_from(&mut buf).await else {
            Timer::after(TICK).await;
            continue;
        };
        match Datagram::decode(&buf[..len], &d.key) {
            Ok(datagram) => handle(&d, datagram, from, &mut sync).await,
            Err(_) => d.metrics.incr("gossip.malformed"),
        }
    }
}

async fn perform(d: &Arc<Daemon>, action: Action) {
    match action {
        Action::DirectProbe(target) => send(d, target, Kind::Ping, Vec::new()).await,
        Action::IndirectProbe { helper, target } => {
            send(d, helper, Kind::PingFor { target }, Vec::new()).await;
        }
        Action::Suspect(host) => {
            log::info!("member {} is suspected", d.members.name_of(host));
            d.members.set_member_health(d, host, Health::Suspect);
        }
        Action::Dead(host) => {
            log::warn!("member {} is taken for dead", d.members.name_of(host));
            d.members.set_member_health(d, host, Health::Dead);
        }
        Action::Frozen(gap) => {
            log::warn!("this daemon was frozen for {gap:?}");
            d.metrics.incr("paused");
            resync_after_freeze(d).await;
        }
    }
}

/// Announces this daemon again after it was frozen, and compares tables with a random member.
async fn resync_after_freeze(d: &Arc<Daemon>) {
    d.members.update_own(d, |_| {});
    let others = d.members.others();
    if let Some(host) = fastrand::choice(&others) {
        if let Some(to) = d.members.address(*host) {
            let d = d.clone();
            exec::spawn(async move {
                catch_up::sync_with(&d, to).await;
            })
            .detach();
        }
    }
}

/// Sends one round of gossip.
async fn send_round(d: &Daemon) {
    let targets = d.members.gossip_targets();
    let records = d.members.take_round();
    for records in records.chunks(RECORDS_PER_DATAGRAM) {
        for host in &targets {
            send(d, *host, Kind::News, records.to_vec()).await;
        }
    }
    departures::send_round(d, &targets).await;
}

async fn handle(d: &Arc<Daemon>, datagram: Datagram, from: SocketAddr, sync: &mut SyncState) {
    let Datagram {
        from: host,
        kind,
        active,
        follows_store,
        digest,
        records,
        suspicions_summary,
        suspicions,
        usages,
        grants,
        notice,
    } = datagram;
    liveness::note_received(d, host);
    quarantine::merge(d, &suspicions);
    if let Some(notice) = notice {
        limits::notices::handle(d, notice).await;
    }
    if usages.is_empty() {
        limits::apply_answers(d, &grants);
    } else {
        let reports = Report::join(&usages, &grants);
        let grants = limits::kept::handle_reports(d, host, &reports);
        send_datagram(d, (host, from), Kind::News, Piggyback { grants, ..Piggyback::default() })
            .await;
    }
    if follows_store {
        d.versions.document.record_heartbeat(host, active, d.clock.now());
    }
    if !records.is_empty() {
        d.members.apply(d, records);
    }
    match &kind {
        Kind::Ping => send_to(d, (host, from), Kind::Ack, Vec::new()).await,
        Kind::Ack => d.members.answered(host),
        Kind::PingFor { target } => probe_for(d, host, *target),
        Kind::AckFor { target } => d.members.answered(*target),
        Kind::Departures(departures) => {
            departures::merge(d, departures);
        }
        Kind::News => {}
        Kind::CheckKeeper => limits::confirm_keeper(d, host).await,
        Kind::ConfirmKeeper => limits::kept::note_confirmed(d, host),
    }
    if active > d.versions.active_version() {
        let d = d.clone();
        exec::spawn(async move {
            match d.settings.interface {
                InterfaceKind::Own => catch_up::fetch_active_version(&d, host).await,
                InterfaceKind::Platform => {
                    source::update_from_member(&d, host, active, follows_store).await
                }
            }
        })
        .detach();
    }
    if d.members.get(host).is_none() {
        // Failure: a daemon starts while the store is out and finds no other daemon.
        // Symptom: it stays alone although the others run. They go on probing its address,
        // so it compares tables with a daemon that probes it. JOIN_INTERVAL limits the rate:
        // when the whole mesh starts, hundreds of senders have no record here yet.
        let now = d.clock.now();
        if sync.last_join.is_some_and(|at| now < at + JOIN_INTERVAL) {
            return;
        }
        sync.last_join = Some(now);
        let d = d.clone();
        exec::spawn(async move {
            catch_up::sync_with(&d, from).await;
        })
        .detach();
        return;
    }
    if matches!(kind, Kind::Ping | Kind::Ack) {
        check_digest(d, digest, from, sync);
        if suspicions_summary != d.quarantine.summary(d.clock.now()) {
            quarantine::compare_if_due(d, from);
        }
    }
}

/// Probes a member on behalf of `requester`, by asking `target` for its active version over
/// the mesh port, and reports to `requester` if it answers.
fn probe_for(d: &Arc<Daemon>, requester: HostKey, target: HostKey) {
    let Some(to) = d.members.address(target) else { return };
    let d = d.clone();
    exec::spawn(async move {
        let request = cicadashift_wire::rpc::Request::Current;
        let timeout = Duration::from_millis(400);
        if super::peers::ask(&d, to, &request, timeout).await.is_ok() {
            send(&d, requester, Kind::AckFor { target }, Vec::new()).await;
        }
    })
    .detach();
}

/// Compares the digest of a sender's table with the own one, and starts a comparison of whole
/// tables after [`DIFFERENCES_BEFORE_SYNC`] differing digests in a row.
fn check_digest(d: &Arc<Daemon>, digest: u64, from: SocketAddr, sync: &mut SyncState) {
    // While records are queued, tables differ because updates are in flight. Comparing whole
    // tables as well would cost many times the bytes of these updates.
    if digest == d.members.digest() || !d.members.is_queue_empty() {
        sync.differing_digests = 0;
        return;
    }
    sync.differing_digests += 1;
    let now = d.clock.now();
    let is_too_early = sync.last_sync.is_some_and(|at| now < at + SYNC_INTERVAL);
    if sync.differing_digests < DIFFERENCES_BEFORE_SYNC || is_too_early {
        return;
    }
    sync.differing_digests = 0;
    sync.last_sync = Some(now);
    let d = d.clone();
    exec::spawn(async move {
        catch_up::sync_with(&d, from).await;
    })
    .detach();
}
