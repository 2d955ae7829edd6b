//! The digest of a call, by which repeated calls are recognized.
//!
//! A caller that sends a call again gives it a new id, and may send it to another host.
//! The digest stays the same: it covers the method, the requested host, path and query,
//! the name that the caller gives itself, its organisation, and the body. Other headers
//! are left out, since some differ each time, such as signatures and dates.
//!
//! # Limits
//!
//! Of a body that is too long to be buffered, only the beginning counts, since the rest is
//! not known before it is sent on. The length does not count: the same body may be sent in
//! chunks.

use super::headers;
use super::payload::{MAX_BUFFERED, Payload};
use cicadashift_core::ids::CallDigest;
use cicadashift_http::hyper::header;
use cicadashift_http::hyper::http::request::Parts;
use cicadashift_wire::call;
use cicadashift_wire::seal::MeshKey;

/// The parts of a call's head that go into its digest and must be copied before headers
/// are removed.
pub struct DigestInput {
    host: String,
    caller: String,
}

impl DigestInput {
    /// Copies the parts from a head as the caller sent it.
    pub fn of(head: &Parts) -> DigestInput {
        let text = |name: &str| headers::text(&head.headers, name).unwrap_or_default().to_string();
        let host = head.uri.authority().map(|host| host.to_string());
        DigestInput {
            host: host.unwrap_or_else(|| text(header::HOST.as_str())),
            caller: text(call::CALLER),
        }
    }

    /// Returns the digest of the call.
    pub fn digest(
        &self,
        key: &MeshKey,
        head: &Parts,
        organisation: &str,
        payload: &mut Payload,
    ) -> CallDigest {
        let path = head.uri.path_and_query().map_or("", |path| path.as_str());
        let body = payload.take_prefix();
        // More than this may have been read of a long body, and how much differs each time.
        let body = &body[..body.len().min(MAX_BUFFERED)];
        key.digest(&[
            head.method.as_str().as_bytes(),
            self.host.as_bytes(),
            path.as_bytes(),
            self.caller.as_bytes(),
            organisation.as_bytes(),
            body,
        ])
    }
}
