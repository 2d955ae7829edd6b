//! The delivery record: how each version was delivered in this failure domain.
//!
//! The daemon that promotes a version creates a row and sends copies to a few
//! other members. The reader writes all new rows to the platform in one call. The
//! key of a row consists of its version and domain, so a row is stored once, no
//! matter which daemons write it and how often.

use super::{Daemon, lock, peers};
use crate::store::{KeyValueStore, keys};
use cicadashift_core::delivery::promotion::Promotion;
use cicadashift_core::ids::{HostKey, Version};
use cicadashift_http::reactor::Timer;
use cicadashift_wire::rpc::{DeliveryResult, RecordRow, Request, VersionRef};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

/// Mean time between two writes to the platform.
const FLUSH_INTERVAL: Duration = Duration::from_secs(5);
/// Number of other members that receive a copy of a row when it is created.
const COPIES: usize = 3;
/// Maximum number of rows kept in memory.
const MAX_ROWS: usize = 1024;
/// Time limit for sending rows to a member.
const COPY_TIMEOUT: Duration = Duration::from_millis(500);

type RowKey = (Version, String);

#[derive(Default)]
struct Inner {
    rows: BTreeMap<RowKey, RecordRow>,
    unwritten: BTreeSet<RowKey>,
}

/// Rows of the delivery record that this daemon keeps in memory.
#[derive(Default)]
pub struct DeliveryRecord {
    inner: Mutex<Inner>,
}

/// A row of a version that is still being delivered.
pub struct RowDraft {
    row: RecordRow,
}

impl RowDraft {
    /// Creates the row when this daemon starts to promote a version.
    pub fn new(d: &Daemon, version_ref: VersionRef) -> RowDraft {
        let row = RecordRow {
            version: version_ref.version,
            domain: d.settings.failure_domain.clone(),
            accepted_ms: version_ref.accepted_ms,
            seen_ms: d.clock.wall_ms(),
            staged_ms: None,
            run_ms: None,
            offered: 0,
            control_bytes: d.costs.control_bytes(),
            late: Vec::new(),
        };
        RowDraft { row }
    }

    /// Records the result of the offer.
    pub fn record_offer(&mut self, d: &Daemon, offered: &[HostKey], promotion: &Promotion) {
        self.row.offered = offered.len() as u32 + 1;
        for host in offered.iter().filter(|host| !promotion.staged().contains(host)) {
            let reason = promotion.refusals().get(host).map_or("late", |reason| reason.as_str());
            self.row.late.push((host_name(d, *host), reason.to_string()));
        }
        if self.row.late.is_empty() {
            self.row.staged_ms = Some(d.clock.wall_ms());
        }
    }

    /// Records the result of the activation.
    pub fn record_activation(&mut self, d: &Daemon, fates: &[(HostKey, DeliveryResult)]) {
        for (host, _) in fates.iter().filter(|(_, fate)| *fate != DeliveryResult::Done) {
            let host_name = host_name(d, *host);
            if !self.row.late.iter().any(|(late, _)| *late == host_name) {
                self.row.late.push((host_name, "did not run it in time".to_string()));
            }
        }
        if self.row.late.is_empty() {
            self.row.run_ms = Some(d.clock.wall_ms());
        }
    }
}

impl DeliveryRecord {
    /// Creates an empty record.
    pub fn new() -> DeliveryRecord {
        DeliveryRecord::default()
    }

    /// Stores a finished row and sends copies to other members.
    pub fn finish(&self, d: &Arc<Daemon>, draft: RowDraft) {
        let mut row = draft.row;
        let bytes_before = row.control_bytes;
        row.control_bytes = d.costs.control_bytes().saturating_sub(bytes_before);
        self.add(vec![row.clone()]);
        let mut others = d.members.others();
        fastrand::shuffle(&mut others);
        others.truncate(COPIES);
        for host in others {
            let Some(to) = d.members.address(host) else { continue };
            let (d, rows) = (d.clone(), vec![row.clone()]);
            cicadashift_http::exec::spawn(async move {
                let _other_copies_exist =
                    peers::ask(&d, to, &Request::Record { rows }, COPY_TIMEOUT).await;
            })
            .detach();
        }
    }

    /// Adds rows as not yet written, and drops the oldest versions beyond `MAX_ROWS`.
    pub fn add(&self, rows: Vec<RecordRow>) {
        let mut inner = lock(&self.inner);
        for row in rows {
            let key = (row.version, row.domain.clone());
            inner.unwritten.insert(key.clone());
            inner.rows.insert(key, row);
        }
        while inner.rows.len() > MAX_ROWS {
            if let Some((key, _)) = inner.rows.pop_first() {
                inner.unwritten.remove(&key);
            }
        }
    }

    /// Returns the rows as JSON, for operators.
    pub fn to_json(&self) -> serde_json::Value {
        let inner = lock(&self.inner);
        serde_json::to_value(inner.rows.values().collect::<Vec<_>>()).unwrap_or_default()
    }

    /// Returns the rows not written yet.
    fn unwritten(&self) -> Vec<RecordRow> {
        let inner = lock(&self.inner);
        inner.unwritten.iter().filter_map(|key| inner.rows.get(key)).cloned().collect()
    }

    fn mark_written(&self, rows: &[RecordRow]) {
        let mut inner = lock(&self.inner);
        for row in rows {
            inner.unwritten.remove(&(row.version, row.domain.clone()));
        }
    }
}

/// Writes new rows, or sends them to the reader, at each interval.
pub async fn run(d: Arc<Daemon>) {
    loop {
        Timer::after(FLUSH_INTERVAL.mul_f64(0.8 + 0.4 * fastrand::f64())).await;
        // Only the reader writes; other daemons keep their rows until the reader has them.
        if d.members.own().reader {
            flush(&d).await;
        } else {
            send_unwritten_to_reader(&d).await;
        }
    }
}

/// Writes the rows that are not written yet, in one call.
///
/// A row whose write fails is written again under the same key, so it is stored
/// once.
pub async fn flush(d: &Daemon) {
    let rows = d.delivery_record.unwritten();
    if rows.is_empty() {
        return;
    }
    let pairs: Vec<_> = rows.iter().map(|row| (row_key(row), encode(row))).collect();
    match d.store.put_many(&pairs).await {
        Ok(()) => d.delivery_record.mark_written(&rows),
        Err(err) => log::warn!("delivery record: {} rows not written yet: {err}", rows.len()),
    }
}

/// Returns the platform key of a row.
pub fn row_key(row: &RecordRow) -> String {
    let quarter = quarter_of(row.accepted_ms);
    format!("{}{quarter}/{:012}/{}", keys::RECORDS, row.version, row.domain)
}

/// Returns the quarter of a time in milliseconds since 1970, such as `2026Q4`.
pub fn quarter_of(ms: u64) -> String {
    const DAY_MS: u64 = 86_400_000;
    let (year, month) = year_and_month((ms / DAY_MS) as i64);
    format!("{year}Q{}", (month - 1) / 3 + 1)
}

/// Sends the unwritten rows to the reader, if there is one.
///
/// Failure: the daemon that created a row dies before the row is written.
/// Symptom: the record of the quarter lacks a row. The daemons with a copy send
/// it to the next reader, and duplicates are harmless because the key of the row
/// is the same.
async fn send_unwritten_to_reader(d: &Arc<Daemon>) {
    let rows = d.delivery_record.unwritten();
    if rows.is_empty() {
        return;
    }
    let readers = d.members.others().into_iter().filter_map(|host| d.members.get(host));
    let Some(reader) = readers.into_iter().find(|record| record.reader) else { return };
    let request = Request::Record { rows: rows.clone() };
    if peers::ask(d, reader.near, &request, COPY_TIMEOUT).await.is_ok() {
        d.delivery_record.mark_written(&rows);
    }
}

fn encode(row: &RecordRow) -> Vec<u8> {
    serde_json::to_vec(row).unwrap_or_default()
}

fn host_name(d: &Daemon, host: HostKey) -> String {
    d.members.get(host).map_or_else(|| format!("{:016x}", host.0), |record| record.name)
}

/// Returns the year and month of a day counted from 1970-01-01.
///
/// Counts in eras of 400 years, with years that begin in March, so that a leap day
/// is the last day of its year.
fn year_and_month(days: i64) -> (i64, i64) {
    let shifted = days + 719_468;
    let era = shifted.div_euclid(146_097);
    let day_of_era = shifted.rem_euclid(146_097);
    let year_of_era =
        (day_of_era - day_of_era / 1460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted_month = (5 * day_of_year + 2) / 153;
    let month = if shifted_month < 10 { shifted_month + 3 } else { shifted_month - 9 };
    let year = year_of_era + era * 400 + i64::from(month <= 2);
    (year, month)
}
