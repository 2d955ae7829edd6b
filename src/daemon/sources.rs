//! Peers to ask for versions and for the objects that versions consist of.

use super::{Daemon, peers};
use cicadashift_core::ids::Version;
use cicadashift_wire::rpc::{Request, Response, VersionRef};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time limit of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Peers of the own failure domain asked for objects besides the reader.
const PEERS_BESIDES_READER: usize = 3;

/// Where a daemon fetches objects from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ObjectSource {
    /// The platform; only readers use it.
    Platform,
    /// These peers, in this order.
    Peers(Vec<SocketAddr>),
}

/// Returns the peers to ask for objects: the reader of the own failure domain, some other
/// members, then the readers of other failure domains.
pub fn object_peers(d: &Daemon) -> ObjectSource {
    let mut others = d.members.others();
    fastrand::shuffle(&mut others);
    others.sort_by_key(|host| !d.members.get(*host).is_some_and(|record| record.reader));
    others.truncate(PEERS_BESIDES_READER + 1);
    let mut out: Vec<_> = others.iter().filter_map(|host| d.members.address(*host)).collect();
    out.extend(readers_of_other_domains(d));
    ObjectSource::Peers(out)
}

/// Returns the reference of a version from the first peer where the version is active, or
/// else the reference known here.
pub async fn find_version(d: &Arc<Daemon>, version: Version) -> Option<VersionRef> {
    let ObjectSource::Peers(peers) = object_peers(d) else { return None };
    for peer in peers {
        let version_ref = active_version_of(d, peer).await;
        if version_ref.is_some_and(|version_ref| version_ref.version == version) {
            return version_ref;
        }
    }
    d.versions.version_ref(version)
}

/// Returns the version that is active on a peer.
pub async fn active_version_of(d: &Arc<Daemon>, to: SocketAddr) -> Option<VersionRef> {
    match peers::ask(d, to, &Request::Current, REQUEST_TIMEOUT).await {
        Ok(Response::Version(version_ref)) => version_ref,
        _ => None,
    }
}

/// Returns the readers of other failure domains.
pub fn readers_of_other_domains(d: &Daemon) -> Vec<SocketAddr> {
    let far = d.members.live_in_other_domains();
    far.iter().filter(|record| record.reader).map(|record| record.far).collect()
}
