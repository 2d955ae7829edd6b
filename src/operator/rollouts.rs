//! Rollouts of new versions, as operators see them.

use super::{OperatorError, fleet};
use serde_json::Value;
use std::fmt::Write;
use std::net::SocketAddr;

/// Asks the first of these daemons that answers which rollouts it knows.
///
/// # Errors
///
/// Returns [`OperatorError::NoDaemon`] where none answers.
pub async fn list(daemons: &[SocketAddr]) -> Result<Value, OperatorError> {
    fleet::json_of(daemons, "/v1/rollouts").await
}

/// Renders what [`list()`] returned, a service a line.
pub fn render(list: &Value) -> String {
    let rows = list.as_array().map(Vec::as_slice).unwrap_or_default();
    let mut out = format!("{} rollouts are known\n", rows.len());
    for row in rows {
        let text = |field: &str| row[field].as_str().unwrap_or("?").to_string();
        let (service, target, phase) = (text("service"), text("target"), text("phase"));
        // Writing to a string does not fail.
        let _written = writeln!(
            out,
            "{service} to {target}: {phase}, step {}, decided at {}",
            row["step"],
            text("decider")
        );
    }
    out
}
