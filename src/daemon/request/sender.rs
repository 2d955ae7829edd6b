//! Which organisation sends a request, by its key.

use cicadashift_core::config::Route;
use cicadashift_core::config::compile::RoutingTable;
use cicadashift_core::config::organisation::Account;
use cicadashift_http::hyper::header::{self, HeaderMap, HeaderName};
use std::sync::Arc;

/// Scheme of the header that carries keys, RFC 6750.
const SCHEME: &str = "bearer";

/// Who sends a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Sender {
    /// Nobody that the configuration names, and nobody has to be.
    Anonymous,
    /// One of its organisations.
    Organisation(Arc<Account>),
    /// A key is missing, is malformed or belongs to nobody.
    Unauthenticated,
}

/// Tells who sends a request, and removes from its head what upstreams may not see.
///
/// Where the configuration names no organisations, `Authorization` is the business of
/// callers and upstreams and is passed on.
pub fn identify(
    table: &RoutingTable,
    route: &Route,
    head: &mut HeaderMap,
    organisation: &HeaderName,
) -> Sender {
    head.remove(organisation);
    let Some(organisations) = &table.organisations else { return Sender::Anonymous };
    let found = key_of(head).and_then(|key| organisations.find(key)).cloned();
    // Removes every value of that name.
    head.remove(header::AUTHORIZATION);
    match found {
        Some(account) => Sender::Organisation(account),
        None if route.anonymous => Sender::Anonymous,
        None => Sender::Unauthenticated,
    }
}

/// Returns the key in a head that has exactly one, well-formed header for it.
fn key_of(head: &HeaderMap) -> Option<&[u8]> {
    let mut values = head.get_all(header::AUTHORIZATION).iter();
    let (Some(value), None) = (values.next(), values.next()) else { return None };
    let (scheme, key) = value.to_str().ok()?.split_once(' ')?;
    let key = key.trim_matches(' ');
    let is_one_word = !key.is_empty() && !key.contains([' ', ',', '\t']);
    (scheme.eq_ignore_ascii_case(SCHEME) && is_one_word).then_some(key.as_bytes())
}
