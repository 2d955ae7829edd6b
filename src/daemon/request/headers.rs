//! Reads, sets and removes headers, and makes the daemon's own responses.

use cicadashift_http::body::{self, Body};
use cicadashift_http::hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use cicadashift_http::hyper::{Response, StatusCode};
use cicadashift_wire::call;
use std::time::Duration;

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes headers that concern one connection only: the fixed list, the headers that
/// `Connection` names, and `Expect`, which hyper has answered already.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
    headers.remove(header::EXPECT);
}

/// Removes every header whose name begins with [`call::PREFIX`].
pub fn strip_cicadashift(headers: &mut HeaderMap) {
    let prefixed: Vec<HeaderName> =
        headers.keys().filter(|name| name.as_str().starts_with(call::PREFIX)).cloned().collect();
    for name in prefixed {
        headers.remove(&name);
    }
}

/// Returns a header as text.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Returns a header as a number.
pub fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name).and_then(|value| value.parse().ok())
}

/// Sets a header; does nothing if the text cannot be a header value.
pub fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Sets a header whose name depends on the settings; like [`set`] otherwise.
pub fn insert(headers: &mut HeaderMap, name: &HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Makes the response that says that a call did not run, and when to try again.
///
/// `fractional` says whether callers accept a `Retry-After` with a fraction.
pub fn not_run(reason: &str, retry_after: Duration, fractional: bool) -> Response<Body> {
    let mut res = plain(StatusCode::SERVICE_UNAVAILABLE, &format!("not run: {reason}\n"));
    let headers = res.headers_mut();
    set(headers, call::OUTCOME, call::NOT_RUN);
    set(headers, call::REASON, reason);
    set(headers, call::RETRY_AFTER_MS, &retry_after.as_millis().to_string());
    let seconds = match fractional {
        true => format!("{:.3}", retry_after.as_secs_f64()),
        false => format!("{}", retry_after.as_secs_f64().ceil().max(1.0) as u64),
    };
    set(headers, "retry-after", &seconds);
    res
}

/// Returns whether a response says that the call did not run.
pub fn is_not_run(headers: &HeaderMap) -> bool {
    text(headers, call::OUTCOME) == Some(call::NOT_RUN)
}

/// Makes the response that says that a call may have run.
pub fn unknown(status: StatusCode, reason: &str) -> Response<Body> {
    let mut res = plain(status, &format!("outcome unknown: {reason}\n"));
    set(res.headers_mut(), call::OUTCOME, call::UNKNOWN);
    set(res.headers_mut(), call::REASON, reason);
    res
}

/// Makes a plain-text response of one line.
pub fn plain(status: StatusCode, line: &str) -> Response<Body> {
    let mut res = Response::new(body::full(line.to_string()));
    *res.status_mut() = status;
    set(res.headers_mut(), "content-type", "text/plain; charset=utf-8");
    res
}
