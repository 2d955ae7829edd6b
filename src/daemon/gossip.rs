//! Probes and gossip over UDP.

use super::datagrams::{News, ping, send, send_news, send_to};
use super::{Daemon, catch_up, limits, liveness, quarantine, source};
use crate::settings::InterfaceKind;
use cicadashift_core::ids::HostKey;
use cicadashift_core::membership::detector::Action;
use cicadashift_core::membership::gossip::RECORDS_PER_DATAGRAM;
use cicadashift_core::membership::record::Health;
use cicadashift_http::exec;
use cicadashift_wire::datagram::{Datagram, Kind, MAX_DATAGRAM};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time between two looks at what is due while there is news to tell.
const TICK: Duration = Duration::from_millis(100);
/// The same while all is quiet; waking up is most of an idle daemon's work.
const QUIET_TICK: Duration = Duration::from_millis(200);
/// Time between two probes of members that are believed dead: they may have come
/// back without a way to find the others.
const LOST_EVERY: Duration = Duration::from_millis(500);
/// Rounds sent at once when a daemon leaves.
const FLUSH_ROUNDS: usize = 4;
/// Differing digests in a row before tables are compared whole; one or two are
/// only news under way.
const DIFFERENCES: u32 = 3;
/// Time between two comparisons of whole tables.
const SYNC_EVERY: Duration = Duration::from_millis(1500);

/// Time between two questions to members that are not known yet.
const JOIN_EVERY: Duration = Duration::from_millis(250);

/// Differences between this daemon's table and those of others.
#[derive(Default)]
struct Differences {
    in_a_row: u32,
    last_sync: Option<Instant>,
    /// When a member that was not known was last asked for its table.
    last_join: Option<Instant>,
}

/// Probes and tells until cancelled.
pub async fn run(d: Arc<Daemon>) {
    let mut next_lost = d.clock.now();
    let mut last_round = next_lost;
    loop {
        let quiet = d.members.is_quiet();
        smol::Timer::after(if quiet { QUIET_TICK } else { TICK }).await;
        let now = d.clock.now();
        for probe in d.members.tick(now, fastrand::u64(..)) {
            act(&d, probe).await;
        }
        liveness::round(&d, now.saturating_duration_since(last_round)).await;
        last_round = now;
        if now >= next_lost && d.settings.interface == InterfaceKind::Platform {
            next_lost = now + LOST_EVERY;
            if let Some(host) = fastrand::choice(&d.members.lost()) {
                ping(&d, *host).await;
            }
        }
        if !d.members.is_quiet() {
            round(&d).await;
        }
    }
}

/// Tells what there is to tell at once.
pub async fn flush(d: &Daemon) {
    for _ in 0..FLUSH_ROUNDS {
        round(d).await;
    }
}

/// Takes datagrams in until cancelled.
pub async fn receive(d: Arc<Daemon>) {
    let mut buf = vec![0; MAX_DATAGRAM + 1];
    let mut differences = Differences::default();
    loop {
        let Ok((len, from)) = d.udp.recv_from(&mut buf).await else {
            smol::Timer::after(TICK).await;
            continue;
        };
        match Datagram::decode(&buf[..len], &d.key) {
            Ok(datagram) => take(&d, datagram, from, &mut differences).await,
            Err(_) => d.metrics.incr("gossip.malformed"),
        }
    }
}

async fn act(d: &Arc<Daemon>, probe: Action) {
    match probe {
        Action::DirectProbe(target) => send(d, target, Kind::Ping, Vec::new()).await,
        Action::IndirectProbe { helper, target } => {
            send(d, helper, Kind::PingFor { target }, Vec::new()).await;
        }
        Action::Suspect(host) => {
            log::info!("member {} is suspected", d.members.name_of(host));
            d.members.believe(d, host, Health::Suspect);
        }
        Action::Dead(host) => {
            log::warn!("member {} is taken for dead", d.members.name_of(host));
            d.members.believe(d, host, Health::Dead);
        }
        Action::Frozen(gap) => {
            log::warn!("this daemon was frozen for {gap:?}");
            d.metrics.incr("paused");
            rejoin(d).await;
        }
    }
}

/// After a pause: speaks up, and compares tables with somebody.
async fn rejoin(d: &Arc<Daemon>) {
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

async fn round(d: &Daemon) {
    let audience = d.members.audience();
    let records = d.members.take_round();
    for records in records.chunks(RECORDS_PER_DATAGRAM) {
        for host in &audience {
            send(d, *host, Kind::News, records.to_vec()).await;
        }
    }
}

async fn take(
    d: &Arc<Daemon>,
    datagram: Datagram,
    from: SocketAddr,
    differences: &mut Differences,
) {
    let Datagram {
        from: host,
        kind,
        active,
        follows,
        digest,
        records,
        suspects,
        suspicions,
        usages,
        grants,
        notice,
    } = datagram;
    liveness::heard(d, host);
    quarantine::merge(d, &suspicions);
    limits::granted(d, &grants);
    if let Some(notice) = notice {
        limits::heard(d, notice).await;
    }
    if !usages.is_empty() {
        let grants = limits::reported(d, &usages);
        send_news(d, (host, from), Kind::News, News { grants, ..News::default() }).await;
    }
    if follows {
        d.versions.document.cover(host, active, d.clock.now());
    }
    if !records.is_empty() {
        d.members.apply(d, records);
    }
    match kind {
        Kind::Ping => send_to(d, (host, from), Kind::Ack, Vec::new()).await,
        Kind::Ack => d.members.answered(host),
        Kind::PingFor { target } => help(d, host, target),
        Kind::AckFor { target } => d.members.answered(target),
        Kind::News => {}
    }
    if active > d.versions.active_version() {
        let d = d.clone();
        exec::spawn(async move {
            match d.settings.interface {
                InterfaceKind::Own => catch_up::behind(&d, host).await,
                InterfaceKind::Platform => source::learn_from(&d, host, active, follows).await,
            }
        })
        .detach();
    }
    if d.members.get(host).is_none() {
        // Failure: a daemon starts while the store is out and finds nobody.
        // Symptom: it stays alone although the others live. They go on probing
        // its address, and whoever probes is somebody to join. Not all of them at
        // once: where everything starts, hundreds speak before they are known.
        let now = d.clock.now();
        if differences.last_join.is_some_and(|at| now < at + JOIN_EVERY) {
            return;
        }
        differences.last_join = Some(now);
        let d = d.clone();
        exec::spawn(async move {
            catch_up::sync_with(&d, from).await;
        })
        .detach();
        return;
    }
    if matches!(kind, Kind::Ping | Kind::Ack) {
        compare(d, digest, from, differences);
        if suspects != d.quarantine.summary(d.clock.now()) {
            quarantine::compare_if_due(d, from);
        }
    }
}

/// Pings a member for another and reports whether it answered, by asking it for
/// its version over the mesh port.
fn help(d: &Arc<Daemon>, asker: HostKey, target: HostKey) {
    let Some(to) = d.members.address(target) else { return };
    let d = d.clone();
    exec::spawn(async move {
        let ask = cicadashift_wire::rpc::Request::Current;
        let time = Duration::from_millis(400);
        if super::peers::ask(&d, to, &ask, time).await.is_ok() {
            send(&d, asker, Kind::AckFor { target }, Vec::new()).await;
        }
    })
    .detach();
}

fn compare(d: &Arc<Daemon>, digest: u64, from: SocketAddr, differences: &mut Differences) {
    // While there is news to tell, tables differ because it is under way; whole
    // tables on top of it would cost many times the news.
    if digest == d.members.digest() || !d.members.is_quiet() {
        differences.in_a_row = 0;
        return;
    }
    differences.in_a_row += 1;
    let now = d.clock.now();
    let early = differences.last_sync.is_some_and(|at| now < at + SYNC_EVERY);
    if differences.in_a_row < DIFFERENCES || early {
        return;
    }
    differences.in_a_row = 0;
    differences.last_sync = Some(now);
    let d = d.clone();
    exec::spawn(async move {
        catch_up::sync_with(&d, from).await;
    })
    .detach();
}
