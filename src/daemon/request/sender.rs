//! Identification of a request's sender by its API key.

use cicadashift_core::config::Route;
use cicadashift_core::config::compile::RoutingTable;
use cicadashift_core::config::organisation::Account;
use cicadashift_http::hyper::header::{self, HeaderMap, HeaderName};
use std::sync::Arc;

/// Authentication scheme of the `Authorization` header that carries a key, RFC 6750.
const SCHEME: &str = "bearer";

/// The sender of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Sender {
    /// No organisation, and none is required: the configuration lists none, or the route
    /// is anonymous.
    Anonymous,
    /// An organisation of the configuration.
    Organisation(Arc<Account>),
    /// An organisation is required, but the key is missing, malformed or unknown.
    Unauthenticated,
}

/// Returns the sender of a request, and removes the headers that upstreams may not see.
///
/// If the configuration lists no organisations, `Authorization` is a matter between
/// callers and upstreams and is passed on.
pub fn identify(
    table: &RoutingTable,
    route: &Route,
    head: &mut HeaderMap,
    organisation_header: &HeaderName,
) -> Sender {
    head.remove(organisation_header);
    let Some(organisations) = &table.organisations else { return Sender::Anonymous };
    let found = key_of(head).and_then(|key| organisations.find(key)).cloned();
    // `remove` deletes all values of the header.
    head.remove(header::AUTHORIZATION);
    match found {
        Some(account) => Sender::Organisation(account),
        None if route.anonymous => Sender::Anonymous,
        None => Sender::Unauthenticated,
    }
}

/// Returns the key if the head has exactly one `Authorization` header and it is well-formed.
fn key_of(head: &HeaderMap) -> Option<&[u8]> {
    let mut values = head.get_all(header::AUTHORIZATION).iter();
    let (Some(value), None) = (values.next(), values.next()) else { return None };
    let (scheme, key) = value.to_str().ok()?.split_once(' ')?;
    let key = key.trim_matches(' ');
    let is_single_token = !key.is_empty() && !key.contains([' ', ',', '\t']);
    (scheme.eq_ignore_ascii_case(SCHEME) && is_single_token).then_some(key.as_bytes())
}
