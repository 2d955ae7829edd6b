//! What makes two calls the same.
//!
//! A caller that sends a call again gives it a new id, and may send it to another
//! host. Its digest stays: the method, the host and path asked for, the name that the
//! caller gives itself, its organisation, and the body. Other headers are left out, since some differ with
//! each try, such as signatures and dates.
//!
//! # Limits
//!
//! Of a body that is too long to be held, its beginning counts, since the rest is not
//! known before it is sent on. Its length does not: the same body may come in chunks.

use super::headers;
use super::payload::{MAX_BUFFERED, Payload};
use cicadashift_core::ids::CallDigest;
use cicadashift_http::hyper::header;
use cicadashift_http::hyper::http::request::Parts;
use cicadashift_wire::call;
use cicadashift_wire::seal::MeshKey;

/// What of a call's head goes into its digest, taken before headers are removed.
pub struct Asked {
    host: String,
    caller: String,
}

impl Asked {
    /// Takes it from a head as the caller sent it.
    pub fn of(head: &Parts) -> Asked {
        let text = |name: &str| headers::text(&head.headers, name).unwrap_or_default().to_string();
        let host = head.uri.authority().map(|host| host.to_string());
        Asked {
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
        // How much of a long body was read by then differs with each try.
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
