//! Sends datagrams to other daemons; [`super::gossip`] receives them.

use super::Daemon;
use super::costs::Purpose;
use cicadashift_core::ids::HostKey;
use cicadashift_core::limit::{Grant, Notice, Report, Usage};
use cicadashift_core::membership::departures::Departure;
use cicadashift_core::membership::record::Record;
use cicadashift_core::request::suspects::Suspicion;
use cicadashift_wire::datagram::{Datagram, Kind};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;

/// Bytes of the IP and UDP headers, for the traffic counters.
const UDP_IP_HEADER_BYTES: usize = 28;

/// Sends a probe to a member.
pub async fn ping(d: &Daemon, host: HostKey) {
    send(d, host, Kind::Ping, Vec::new()).await;
}

/// Sends a heartbeat to a member, which names the active version and whether this daemon
/// follows the store.
pub async fn send_heartbeat(d: &Daemon, host: HostKey) {
    send(d, host, Kind::News, Vec::new()).await;
}

/// Sends a member the calls that are suspected of ending upstreams.
pub async fn send_suspicions(d: &Daemon, host: HostKey, suspicions: Vec<Suspicion>) {
    if let Some(to) = d.members.address(host) {
        send_datagram(d, (host, to), Kind::News, Piggyback { suspicions, ..Piggyback::default() })
            .await;
    }
}

/// Sends a member upstreams that are leaving.
pub async fn send_departures(d: &Daemon, host: HostKey, departures: Vec<Departure>) {
    send(d, host, Kind::Departures(departures), Vec::new()).await;
}

/// Sends usage reports to the keeper of their limits.
pub async fn send_reports(d: &Daemon, keeper: HostKey, reports: &[Report]) {
    if let Some(to) = d.members.address(keeper) {
        let (usages, grants) = Report::split(reports);
        let piggyback = Piggyback { usages, grants, ..Piggyback::default() };
        send_datagram(d, (keeper, to), Kind::News, piggyback).await;
    }
}

/// Sends a member a notice of throttled limits.
pub async fn send_notice(d: &Daemon, host: HostKey, notice: Notice) {
    if let Some(to) = d.members.address(host) {
        let piggyback = Piggyback { notice: Some(notice), ..Piggyback::default() };
        send_datagram(d, (host, to), Kind::News, piggyback).await;
    }
}

/// Sends a datagram with membership records to a member, if its address is known.
pub async fn send(d: &Daemon, host: HostKey, kind: Kind, records: Vec<Record>) {
    if let Some(to) = d.members.address(host) {
        send_to(d, (host, to), kind, records).await;
    }
}

/// Sends a datagram with membership records to a given address of a member.
pub async fn send_to(d: &Daemon, to: (HostKey, SocketAddr), kind: Kind, records: Vec<Record>) {
    send_datagram(d, to, kind, Piggyback { records, ..Piggyback::default() }).await;
}

/// Data piggybacked on a datagram.
#[derive(Default)]
pub struct Piggyback {
    /// Changed membership records.
    pub records: Vec<Record>,
    /// Calls that are suspected of ending upstreams.
    pub suspicions: Vec<Suspicion>,
    /// Usage reports for limits that the receiver keeps.
    pub usages: Vec<Usage>,
    /// Grants to the receiver for limits that this daemon keeps; beside usage reports, the
    /// reduced shares that this daemon has.
    pub grants: Vec<Grant>,
    /// Notice of throttled limits.
    pub notice: Option<Notice>,
}

impl Piggyback {
    /// Returns whether there are neither records nor suspicions.
    fn has_no_gossip(&self) -> bool {
        self.records.is_empty() && self.suspicions.is_empty()
    }

    fn has_limit_data(&self) -> bool {
        !self.usages.is_empty() || !self.grants.is_empty() || self.notice.is_some()
    }
}

/// Encodes, seals and sends a datagram with piggybacked data.
pub async fn send_datagram(
    d: &Daemon,
    (host, to): (HostKey, SocketAddr),
    kind: Kind,
    piggyback: Piggyback,
) {
    let purpose = match (&kind, piggyback.has_no_gossip()) {
        _ if piggyback.has_limit_data() => Purpose::Limit,
        (Kind::CheckKeeper | Kind::ConfirmKeeper, _) => Purpose::Limit,
        (Kind::News, true) => Purpose::Heartbeat,
        (Kind::News, false) | (Kind::Departures(_), _) => Purpose::Membership,
        _ => Purpose::Probe,
    };
    let datagram = Datagram {
        from: d.me,
        kind,
        active: d.versions.active_version(),
        follows_store: d.follows_store.load(Ordering::Relaxed),
        digest: d.members.digest(),
        records: piggyback.records,
        suspicions_summary: d.quarantine.summary(d.clock.now()),
        suspicions: piggyback.suspicions,
        usages: piggyback.usages,
        grants: piggyback.grants,
        notice: piggyback.notice,
    };
    let buf = datagram.encode(&d.key);
    d.costs.add(purpose, d.members.is_in_other_domain(host), buf.len() + UDP_IP_HEADER_BYTES);
    // A datagram that cannot be sent counts as lost: probes detect unreachable members.
    let _lost = d.udp.send_to(&buf, to).await;
}
