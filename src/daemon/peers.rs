//! Control requests to other daemons; [`super::mesh`] answers them.

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

/// Bytes of an HTTP head around a control request, for the count.
const ASK_HEAD: usize = 120;
/// Bytes of an HTTP head around a control answer, for the count.
const ANSWER_HEAD: usize = 80;

/// Why a control request has no answer.
#[derive(Debug)]
pub enum MeshError {
    /// It was not sent or not answered.
    Send(SendError),
    /// The answer is not a message.
    Wire(WireError),
    /// The peer refused the request as not from this mesh, or could not take it.
    Status(StatusCode),
    /// The peer answered a different question.
    Unexpected,
}

impl fmt::Display for MeshError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MeshError::Send(err) => write!(f, "{err}"),
            MeshError::Wire(err) => write!(f, "{err}"),
            MeshError::Status(status) => write!(f, "peer answered {status}"),
            MeshError::Unexpected => write!(f, "peer answered a different question"),
        }
    }
}

impl std::error::Error for MeshError {}

/// Asks another daemon.
///
/// # Errors
///
/// Returns [`MeshError`] where no answer came in time.
pub async fn ask(
    d: &Daemon,
    to: SocketAddr,
    ask: &Ask,
    time: Duration,
) -> Result<Response, MeshError> {
    let buf = rpc::encode(ask);
    let (purpose, far) =
        (purpose(ask), d.members.at_address(to).is_some_and(|host| d.members.is_far(host)));
    d.costs.add(purpose, far, buf.len() + ASK_HEAD);
    let req = Request::builder()
        .method("POST")
        .uri(rpc::PATH)
        .header("host", "mesh")
        .header(rpc::TOKEN_HEADER, d.key.token())
        .body(body::full(buf))
        .map_err(|err| MeshError::Send(SendError::Unreached(err.to_string())))?;
    let res =
        d.mesh_pool.exchange(to, req, rpc::MAX_MESSAGE, time).await.map_err(MeshError::Send)?;
    if res.status() != StatusCode::OK {
        return Err(MeshError::Status(res.status()));
    }
    d.costs.add(purpose, far, res.body().len() + ANSWER_HEAD);
    rpc::decode(res.body()).map_err(MeshError::Wire)
}

fn purpose(ask: &Ask) -> Purpose {
    match ask {
        Ask::Sync { .. } | Ask::Tell { .. } => Purpose::Table,
        Ask::Document { .. } => Purpose::Version,
        Ask::Current => Purpose::Probe,
        _ => Purpose::Control,
    }
}
