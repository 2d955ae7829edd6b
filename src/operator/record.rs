//! The quarterly record, for people, machines and customers.

use super::OperatorError;
use crate::daemon::record::quarter_of;
use crate::store::{KeyValueStore, keys};
use cicadashift_wire::rpc::RecordRow;
use serde::Serialize;
use std::collections::BTreeSet;

/// What was promised: in force everywhere within this time, in milliseconds.
pub const PROMISED_MS: u64 = 7000;

/// One quarter in figures.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Quarter {
    /// Such as `2026Q4`.
    pub quarter: String,
    /// Versions accepted.
    pub versions: usize,
    /// Rows: versions times failure domains.
    pub rows: usize,
    /// Rows in force on every live member within [`PROMISED_MS`].
    pub kept: usize,
    /// Median time from acceptance to in force, in milliseconds.
    pub p50_ms: u64,
    /// The time that 99 of 100 rows kept to, in milliseconds.
    pub p99_ms: u64,
    /// The longest time, in milliseconds.
    pub max_ms: u64,
    /// Control bytes of the daemons that rolled out, during roll-outs.
    pub control_bytes: u64,
    /// Hosts that were late or refused, with version and reason.
    pub late: Vec<(u64, String, String)>,
}

/// Reads a quarter's rows.
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

/// Returns the present quarter.
pub fn present(wall_ms: u64) -> String {
    quarter_of(wall_ms)
}

/// Sums rows up.
pub fn sum_up(quarter: &str, rows: &[RecordRow]) -> Quarter {
    let mut times: Vec<u64> = rows.iter().filter_map(time_of).collect();
    times.sort_unstable();
    let versions: BTreeSet<u64> = rows.iter().map(|row| row.version).collect();
    let late = rows
        .iter()
        .flat_map(|row| row.late.iter().map(|(host, why)| (row.version, host.clone(), why.clone())))
        .collect();
    Quarter {
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

/// Writes a quarter for people.
pub fn render(quarter: &Quarter) -> String {
    let mut out = format!(
        "{}: {} versions, {} of {} deliveries kept the promise of {} s\n\
         in force after: median {} ms, 99 in 100 within {} ms, longest {} ms\n\
         control bytes of roll-outs: {}\n",
        quarter.quarter,
        quarter.versions,
        quarter.kept,
        quarter.rows,
        PROMISED_MS / 1000,
        quarter.p50_ms,
        quarter.p99_ms,
        quarter.max_ms,
        quarter.control_bytes
    );
    for (version, host, why) in &quarter.late {
        out.push_str(&format!("late: version {version}, {host}: {why}\n"));
    }
    out
}

/// Returns the time from acceptance to in force everywhere in the domain.
pub fn time_of(row: &RecordRow) -> Option<u64> {
    row.run_ms.map(|run| run.saturating_sub(row.accepted_ms))
}

fn percentile(sorted: &[u64], share: f64) -> u64 {
    let Some(last) = sorted.len().checked_sub(1) else { return 0 };
    sorted[(last as f64 * share).round() as usize]
}
