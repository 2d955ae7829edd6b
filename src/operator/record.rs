//! The delivery record of a quarter and its summary.

use super::OperatorError;
use crate::daemon::record::quarter_of;
use crate::store::{KeyValueStore, keys};
use cicadashift_wire::rpc::RecordRow;
use serde::Serialize;
use std::collections::BTreeSet;

/// Promised delivery time: a version is in force everywhere within this time, in
/// milliseconds.
pub const PROMISED_MS: u64 = 7000;

/// Figures of one quarter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct QuarterSummary {
    /// The quarter, such as `2026Q4`.
    pub quarter: String,
    /// Versions accepted.
    pub versions: usize,
    /// Rows: one for each version and failure domain.
    pub rows: usize,
    /// Rows in force on every live member within [`PROMISED_MS`].
    pub kept: usize,
    /// Median time from acceptance to in force, in milliseconds.
    pub p50_ms: u64,
    /// 99th percentile of this time, in milliseconds.
    pub p99_ms: u64,
    /// The longest such time, in milliseconds.
    pub max_ms: u64,
    /// Control bytes of the daemons that rolled versions out, during the rollouts.
    pub control_bytes: u64,
    /// Version, host and reason for each host that was late or refused.
    pub late: Vec<(u64, String, String)>,
}

/// Reads the rows of a quarter.
///
/// # Errors
///
/// Returns the platform's error.
pub async fn rows(
    platform: &impl KeyValueStore,
    quarter: &str,
) -> Result<Vec<RecordRow>, OperatorError> {
    let pairs = platform.list(&format!("{}{quarter}/", keys::RECORDS), false).await?;
    Ok(pairs.iter().filter_map(|pair| serde_json::from_slice(&pair.value).ok()).collect())
}

/// Returns the current quarter.
pub fn current_quarter(wall_ms: u64) -> String {
    quarter_of(wall_ms)
}

/// Summarises the rows of a quarter.
pub fn summarise(quarter: &str, rows: &[RecordRow]) -> QuarterSummary {
    let mut times: Vec<u64> = rows.iter().filter_map(delivery_ms).collect();
    times.sort_unstable();
    let versions: BTreeSet<u64> = rows.iter().map(|row| row.version).collect();
    let late = rows
        .iter()
        .flat_map(|row| row.late.iter().map(|(host, why)| (row.version, host.clone(), why.clone())))
        .collect();
    QuarterSummary {
        quarter: quarter.to_string(),
        versions: versions.len(),
        rows: rows.len(),
        kept: times.iter().filter(|ms| **ms <= PROMISED_MS).count(),
        p50_ms: percentile(&times, 0.5),
        p99_ms: percentile(&times, 0.99),
        max_ms: times.last().copied().unwrap_or(0),
        control_bytes: rows.iter().map(|row| row.control_bytes).sum(),
        late,
    }
}

/// Renders a summary as text.
pub fn render(summary: &QuarterSummary) -> String {
    let mut out = format!(
        "{}: {} versions, {} of {} deliveries kept the promise of {} s\n\
         in force after: median {} ms, 99 in 100 within {} ms, longest {} ms\n\
         control bytes of roll-outs: {}\n",
        summary.quarter,
        summary.versions,
        summary.kept,
        summary.rows,
        PROMISED_MS / 1000,
        summary.p50_ms,
        summary.p99_ms,
        summary.max_ms,
        summary.control_bytes
    );
    for (version, host, why) in &summary.late {
        out.push_str(&format!("late: version {version}, {host}: {why}\n"));
    }
    out
}

/// Returns the time, in milliseconds, from the acceptance of a version until it was in force
/// on every live member of the failure domain, or `None` where it was not.
pub fn delivery_ms(row: &RecordRow) -> Option<u64> {
    row.run_ms.map(|run| run.saturating_sub(row.accepted_ms))
}

/// Returns a percentile of sorted values; zero if there are none.
fn percentile(sorted: &[u64], fraction: f64) -> u64 {
    let Some(last) = sorted.len().checked_sub(1) else { return 0 };
    sorted[(last as f64 * fraction).round() as usize]
}
