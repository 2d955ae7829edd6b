//! Lists quarantined and suspected calls and lifts quarantines. Daemons send a quarantined
//! call to no upstream.

use super::{OperatorError, fleet};
use cicadashift_http::hyper::{Method, StatusCode};
use serde_json::Value;
use std::fmt::Write;
use std::net::SocketAddr;

/// Returns the suspected calls from the first of these daemons that answers.
///
/// # Errors
///
/// Returns [`OperatorError::NoDaemon`] where none answers.
pub async fn list(daemons: &[SocketAddr]) -> Result<Value, OperatorError> {
    fleet::fetch_json(daemons, "/v1/quarantine").await
}

/// Renders the result of [`list()`] as text, one call per line.
pub fn render(list: &Value) -> String {
    let rows = list.as_array().map(Vec::as_slice).unwrap_or_default();
    let mut out = format!("{} calls are suspected of ending upstreams\n", rows.len());
    for row in rows {
        let call = row["call"].as_str().unwrap_or("?");
        let state = match row["quarantined_s"].as_u64() {
            Some(left) => format!("quarantined for {left} s"),
            None => "not quarantined".to_string(),
        };
        // Writing to a string cannot fail.
        let _written = writeln!(out, "{call}  {} ended  {state}", row["ended"]);
    }
    out
}

/// Lifts the quarantine of a call at the first of these daemons that answers; returns its
/// message.
///
/// # Errors
///
/// Returns [`OperatorError::NotFound`] where the daemon does not suspect the call or rejects
/// its digest, and [`OperatorError::NoDaemon`] where no daemon answers.
pub async fn lift(daemons: &[SocketAddr], call: &str) -> Result<String, OperatorError> {
    let path = format!("/v1/quarantine/{call}");
    let mut last = OperatorError::NoDaemon("no address given".to_string());
    for daemon in daemons {
        match fleet::send_request(*daemon, Method::DELETE, &path).await {
            Ok(res) if res.status() == StatusCode::OK => {
                return Ok(String::from_utf8_lossy(res.body()).into_owned());
            }
            Ok(_) => return Err(OperatorError::NotFound(format!("a suspicion of call {call}"))),
            Err(err) => last = err,
        }
    }
    Err(last)
}
