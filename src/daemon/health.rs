//! Health requests to the upstream on this host.

use super::Daemon;
use super::request::headers;
use bytes::Bytes;
use cicadashift_core::membership::silence::Health;
use cicadashift_http::body;
use cicadashift_http::client::Pool;
use cicadashift_http::hyper::header::HeaderMap;
use cicadashift_http::hyper::{Request, Response, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a request; an upstream whose slots are all busy answers late.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);
/// Largest response body, in bytes.
const MAX_BODY: usize = 4096;

/// Asks for the health of an instance at an address.
pub async fn request(d: &Daemon, address: SocketAddr, instance: &str) -> Health {
    let Some(res) = send_request(d, address).await else { return Health::Unknown };
    let is_other = instance_of(d, res.headers()).is_some_and(|other| other != instance);
    match res.status() {
        StatusCode::OK if !is_other => Health::Good,
        // An upstream without a free slot rejects health requests like any other.
        _ if !is_other && res.headers().contains_key(&d.dialect.not_run) => Health::Unknown,
        _ => Health::Denied,
    }
}

/// Sends a health request; returns `None` if it is not answered, or the path is not known yet.
pub async fn send_request(d: &Daemon, address: SocketAddr) -> Option<Response<Bytes>> {
    let path = d.versions.health_path(d.settings.services.first()?)?;
    let req = Request::get(path).header("host", address.to_string()).body(body::empty()).ok()?;
    let result = Pool::new(1).exchange(address, req, MAX_BODY, REQUEST_TIMEOUT).await;
    result.inspect_err(|err| log::info!("upstream {address}: {err}")).ok()
}

/// Returns the id of the instance that answered.
pub fn instance_of<'a>(d: &Daemon, head: &'a HeaderMap) -> Option<&'a str> {
    headers::text(head, d.dialect.instance.as_ref()?.as_str())
}
