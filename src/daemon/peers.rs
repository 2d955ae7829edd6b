//! Sends control requests to other daemons; [`super::mesh`] answers them.

use super::Daemon;
use super::costs::Purpose;
use cicadashift_http::body;
use cicadashift_http::client::SendError;
use cicadashift_http::hyper::{Request, StatusCode};
use cicadashift_wire::WireError;
use cicadashift_wire::rpc::{self, Request as Ask, Response};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Approximate bytes of the HTTP head of a control request, for the traffic counters.
const REQUEST_HEAD_BYTES: usize = 120;
/// Approximate bytes of the HTTP head of a control response, for the traffic counters.
const RESPONSE_HEAD_BYTES: usize = 80;

/// Error of a control request.
#[derive(Debug)]
pub enum MeshError {
    /// The request could not be sent, or no response came in time.
    Send(SendError),
    /// The response cannot be decoded.
    Wire(WireError),
    /// The peer responded with an HTTP status other than 200, because of the mesh token or
    /// because it could not read the request.
    Status(StatusCode),
    /// The response is of another kind than the request calls for.
    Unexpected,
    /// The membership tables could not be compared.
    NotCompared,
}

impl fmt::Display for MeshError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MeshError::Send(err) => write!(f, "{err}"),
            MeshError::Wire(err) => write!(f, "{err}"),
            MeshError::Status(status) => write!(f, "peer responded with status {status}"),
            MeshError::Unexpected => write!(f, "peer sent a response of the wrong kind"),
            MeshError::NotCompared => write!(f, "membership tables could not be compared"),
        }
    }
}

impl std::error::Error for MeshError {}

/// Sends a control request to another daemon and returns the response.
///
/// # Errors
///
/// Returns [`MeshError`] if no valid response begins within `timeout`, or if it stalls for as
/// long.
pub async fn ask(
    d: &Daemon,
    to: SocketAddr,
    ask: &Ask,
    timeout: Duration,
) -> Result<Response, MeshError> {
    let buf = rpc::encode(ask);
    let (purpose, far) = (
        purpose(ask),
        d.members.host_at(to).is_some_and(|host| d.members.is_in_other_domain(host)),
    );
    d.costs.add(purpose, far, buf.len() + REQUEST_HEAD_BYTES);
    let req = Request::builder()
        .method("POST")
        .uri(rpc::PATH)
        .header("host", "mesh")
        .header(rpc::TOKEN_HEADER, d.key.token())
        .body(body::full(buf))
        .map_err(|err| MeshError::Send(SendError::Unreached(err.to_string())))?;
    let res =
        d.mesh_pool.exchange(to, req, rpc::MAX_MESSAGE, timeout).await.map_err(MeshError::Send)?;
    if res.status() != StatusCode::OK {
        return Err(MeshError::Status(res.status()));
    }
    d.costs.add(purpose, far, res.body().len() + RESPONSE_HEAD_BYTES);
    rpc::decode(res.body()).map_err(MeshError::Wire)
}

fn purpose(ask: &Ask) -> Purpose {
    match ask {
        Ask::Sync { .. } | Ask::PushRecords { .. } => Purpose::Table,
        Ask::Departures { .. } => Purpose::Membership,
        Ask::Document { .. } | Ask::DocumentDelta { .. } => Purpose::Version,
        Ask::Current => Purpose::Probe,
        _ => Purpose::Control,
    }
}
