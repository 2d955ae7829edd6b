//! Datagrams to other daemons; [`super::gossip`] takes them in.

use super::Daemon;
use super::costs::Purpose;
use cicadashift_core::ids::HostKey;
use cicadashift_core::limit::{Grant, Notice, Usage};
use cicadashift_core::membership::record::Record;
use cicadashift_core::request::suspects::Suspicion;
use cicadashift_wire::datagram::{Datagram, Kind};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;

/// Bytes of IP and UDP heads, for the count.
const UDP_HEAD: usize = 28;

/// Asks a member for a sign of life.
pub async fn ping(d: &Daemon, host: HostKey) {
    send(d, host, Kind::Ping, Vec::new()).await;
}

/// Tells a member which version is in force here.
pub async fn tell(d: &Daemon, host: HostKey) {
    send(d, host, Kind::News, Vec::new()).await;
}

/// Tells a member of calls that are suspected of ending upstreams.
pub async fn tell_suspicions(d: &Daemon, host: HostKey, suspicions: Vec<Suspicion>) {
    if let Some(to) = d.members.address(host) {
        send_news(d, (host, to), Kind::News, News { suspicions, ..News::default() }).await;
    }
}

/// Tells the keeper of some limits what this daemon saw of them.
pub async fn tell_usages(d: &Daemon, keeper: HostKey, usages: Vec<Usage>) {
    if let Some(to) = d.members.address(keeper) {
        send_news(d, (keeper, to), Kind::News, News { usages, ..News::default() }).await;
    }
}

/// Tells a member of limits that are held back.
pub async fn tell_notice(d: &Daemon, host: HostKey, notice: Notice) {
    if let Some(to) = d.members.address(host) {
        let news = News { notice: Some(notice), ..News::default() };
        send_news(d, (host, to), Kind::News, news).await;
    }
}

/// Sends a datagram to a member, if its address is known.
pub async fn send(d: &Daemon, host: HostKey, kind: Kind, records: Vec<Record>) {
    if let Some(to) = d.members.address(host) {
        send_to(d, (host, to), kind, records).await;
    }
}

/// Sends a datagram to an address of a member.
pub async fn send_to(d: &Daemon, to: (HostKey, SocketAddr), kind: Kind, records: Vec<Record>) {
    send_news(d, to, kind, News { records, ..News::default() }).await;
}

/// What rides along with a datagram.
#[derive(Default)]
pub struct News {
    /// What is new of members.
    pub records: Vec<Record>,
    /// Calls that are suspected of ending upstreams.
    pub suspicions: Vec<Suspicion>,
    /// What this daemon saw of limits.
    pub usages: Vec<Usage>,
    /// What others may admit of limits.
    pub grants: Vec<Grant>,
    /// Limits that are held back.
    pub notice: Option<Notice>,
}

impl News {
    fn is_empty(&self) -> bool {
        self.records.is_empty() && self.suspicions.is_empty()
    }

    fn is_of_limits(&self) -> bool {
        !self.usages.is_empty() || !self.grants.is_empty() || self.notice.is_some()
    }
}

/// Sends a datagram with all that rides along.
pub async fn send_news(d: &Daemon, (host, to): (HostKey, SocketAddr), kind: Kind, news: News) {
    let purpose = match (kind, news.is_empty()) {
        _ if news.is_of_limits() => Purpose::Limit,
        (Kind::News, true) => Purpose::Heartbeat,
        (Kind::News, false) => Purpose::Membership,
        _ => Purpose::Probe,
    };
    let datagram = Datagram {
        from: d.me,
        kind,
        active: d.versions.active_version(),
        follows: d.follows.load(Ordering::Relaxed),
        digest: d.members.digest(),
        records: news.records,
        suspects: d.quarantine.summary(d.clock.now()),
        suspicions: news.suspicions,
        usages: news.usages,
        grants: news.grants,
        notice: news.notice,
    };
    let buf = datagram.encode(&d.key);
    d.costs.add(purpose, d.members.is_far(host), buf.len() + UDP_HEAD);
    // A datagram that cannot be sent is one that was lost; probes tell.
    let _lost = d.udp.send_to(&buf, to).await;
}
