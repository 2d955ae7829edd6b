//! Calls that daemons send to no upstream, as operators see and lift them.

use super::{OperatorError, fleet};
use cicadashift_http::hyper::{Method, StatusCode};
use serde_json::Value;
use std::fmt::Write;
use std::net::SocketAddr;

/// Asks the first of these daemons that answers which calls are suspected.
///
/// # Errors
///
/// Returns [`OperatorError::NoDaemon`] where none answers.
pub async fn list(daemons: &[SocketAddr]) -> Result<Value, OperatorError> {
    fleet::json_of(daemons, "/v1/quarantine").await
}

/// Renders what [`list()`] returned, a call a line.
pub fn render(list: &Value) -> String {
    let rows = list.as_array().map(Vec::as_slice).unwrap_or_default();
    let mut out = format!("{} calls are suspected of ending upstreams\n", rows.len());
    for row in rows {
        let call = row["call"].as_str().unwrap_or("?");
        let state = match row["quarantined_s"].as_u64() {
            Some(left) => format!("quarantined for {left} s"),
            None => "sent on".to_string(),
        };
        // Writing to a string does not fail.
        let _written = writeln!(out, "{call}  {} ended  {state}", row["ended"]);
    }
    out
}

/// Lets a call be sent again, by the first of these daemons that answers; returns what
/// it said.
///
/// # Errors
///
/// Returns [`OperatorError::NotFound`] where nothing is known against the call, and
/// [`OperatorError::NoDaemon`] where no daemon answers.
pub async fn lift(daemons: &[SocketAddr], call: &str) -> Result<String, OperatorError> {
    let path = format!("/v1/quarantine/{call}");
    let mut last = OperatorError::NoDaemon("none named".to_string());
    for daemon in daemons {
        match fleet::ask(*daemon, Method::DELETE, &path).await {
            Ok(res) if res.status() == StatusCode::OK => {
                return Ok(String::from_utf8_lossy(res.body()).into_owned());
            }
            Ok(_) => return Err(OperatorError::NotFound(format!("a suspicion of call {call}"))),
            Err(err) => last = err,
        }
    }
    Err(last)
}
