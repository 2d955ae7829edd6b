//! Whom to ask for versions and the objects that they are made of.

use super::{Daemon, peers};
use cicadashift_core::ids::Version;
use cicadashift_wire::rpc::{Request as Ask, Response, VersionRef};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time for one question.
const ASK_TIME: Duration = Duration::from_millis(500);
/// Peers asked for objects besides the reader.
const PEERS: usize = 3;

/// Where objects come from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The platform; only readers use it.
    Platform,
    /// These peers, in this order.
    Peers(Vec<SocketAddr>),
}

/// Returns whom to ask for objects: the reader, then some members.
pub fn peers(d: &Daemon) -> Source {
    let mut others = d.members.others();
    fastrand::shuffle(&mut others);
    others.sort_by_key(|host| !d.members.get(*host).is_some_and(|record| record.reader));
    others.truncate(PEERS + 1);
    let mut out: Vec<_> = others.iter().filter_map(|host| d.members.address(*host)).collect();
    out.extend(far_readers(d));
    Source::Peers(out)
}

/// Returns a version's root by asking members for theirs.
pub async fn find(d: &Arc<Daemon>, version: Version) -> Option<VersionRef> {
    let Source::Peers(peers) = peers(d) else { return None };
    for peer in peers {
        let what = current_of(d, peer).await;
        if what.is_some_and(|what| what.version == version) {
            return what;
        }
    }
    d.versions.known(version)
}

/// Returns the version that a peer runs.
pub async fn current_of(d: &Arc<Daemon>, to: SocketAddr) -> Option<VersionRef> {
    match peers::ask(d, to, &Ask::Current, ASK_TIME).await {
        Ok(Response::Version(what)) => what,
        _ => None,
    }
}

/// Returns the readers of other failure domains.
pub fn far_readers(d: &Daemon) -> Vec<SocketAddr> {
    let far = d.members.live_in_other_domains();
    far.iter().filter(|record| record.reader).map(|record| record.far).collect()
}
