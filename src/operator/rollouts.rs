//! The status of rollouts of new versions.

use super::{OperatorError, fleet};
use serde_json::Value;
use std::fmt::Write;
use std::net::SocketAddr;

/// Returns the rollouts that the first of these daemons that answers knows of.
///
/// # Errors
///
/// Returns [`OperatorError::NoDaemon`] where none answers.
pub async fn list(daemons: &[SocketAddr]) -> Result<Value, OperatorError> {
    fleet::fetch_json(daemons, "/v1/rollouts").await
}

/// Renders the result of [`list()`] as text, one service per line.
pub fn render(list: &Value) -> String {
    let rows = list.as_array().map(Vec::as_slice).unwrap_or_default();
    let mut out = format!("{} rollouts are known\n", rows.len());
    for row in rows {
        let text = |field: &str| row[field].as_str().unwrap_or("?").to_string();
        let (service, target, phase) = (text("service"), text("target"), text("phase"));
        // Writing to a string cannot fail.
        let _written = writeln!(
            out,
            "{service} to {target}: {phase}, step {}, decided at {}",
            row["step"],
            text("decider")
        );
    }
    out
}
