//! The delivery record: what became of each version in this failure domain.
//!
//! The daemon that rolled a version out makes a row, hands copies to a few other
//! members, and writes all new rows to the platform in one call. Rows are named
//! by version and domain, so that whoever writes them, however often, they are
//! there once.

use super::{Daemon, lock, peers};
use crate::store::{Platform, keys};
use cicadashift_core::delivery::promotion::Promotion;
use cicadashift_core::ids::{HostKey, Version};
use cicadashift_wire::rpc::{Fate, RecordRow, Request as Ask, VersionRef};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

/// Time between two writes to the platform.
const FLUSH_EVERY: Duration = Duration::from_secs(5);
/// Members that hold copies of rows not written yet.
const COPIES: usize = 3;
/// Rows kept in memory.
const KEPT: usize = 1024;
/// Time for handing rows to a member.
const COPY_TIME: Duration = Duration::from_millis(500);

type RowKey = (Version, String);

#[derive(Default)]
struct Inner {
    rows: BTreeMap<RowKey, RecordRow>,
    unwritten: BTreeSet<RowKey>,
}

/// Rows that this daemon holds.
#[derive(Default)]
pub struct DeliveryRecord {
    inner: Mutex<Inner>,
}

/// A row in the making.
pub struct RowDraft {
    row: RecordRow,
}

impl RowDraft {
    /// Begins a row when a version is seen.
    pub fn new(d: &Daemon, what: VersionRef) -> RowDraft {
        let row = RecordRow {
            version: what.version,
            domain: d.settings.failure_domain.clone(),
            accepted_ms: what.accepted_ms,
            seen_ms: d.clock.wall_ms(),
            staged_ms: None,
            run_ms: None,
            offered: 0,
            control_bytes: d.costs.control_bytes(),
            late: Vec::new(),
        };
        RowDraft { row }
    }

    /// Notes how the offer went.
    pub fn staged(&mut self, d: &Daemon, offered: &[HostKey], promotion: &Promotion) {
        self.row.offered = offered.len() as u32 + 1;
        for host in offered.iter().filter(|host| !promotion.holding().contains(host)) {
            let why = promotion.refusals().get(host).map_or("late", |why| why.as_str());
            self.row.late.push((name(d, *host), why.to_string()));
        }
        if self.row.late.is_empty() {
            self.row.staged_ms = Some(d.clock.wall_ms());
        }
    }

    /// Notes how the activation went.
    pub fn activated(&mut self, d: &Daemon, fates: &[(HostKey, Fate)]) {
        for (host, _) in fates.iter().filter(|(_, fate)| *fate != Fate::Done) {
            let name = name(d, *host);
            if !self.row.late.iter().any(|(late, _)| *late == name) {
                self.row.late.push((name, "did not run it in time".to_string()));
            }
        }
        if self.row.late.is_empty() {
            self.row.run_ms = Some(d.clock.wall_ms());
        }
    }
}

impl DeliveryRecord {
    /// Makes an empty record.
    pub fn new() -> DeliveryRecord {
        DeliveryRecord::default()
    }

    /// Keeps a finished row and hands copies out.
    pub fn finish(&self, d: &Arc<Daemon>, draft: RowDraft) {
        let mut row = draft.row;
        let before = row.control_bytes;
        row.control_bytes = d.costs.control_bytes().saturating_sub(before);
        self.add(vec![row.clone()]);
        let mut others = d.members.others();
        fastrand::shuffle(&mut others);
        others.truncate(COPIES);
        for host in others {
            let Some(to) = d.members.address(host) else { continue };
            let (d, rows) = (d.clone(), vec![row.clone()]);
            cicadashift_http::exec::spawn(async move {
                let _other_copies_exist =
                    peers::ask(&d, to, &Ask::Record { rows }, COPY_TIME).await;
            })
            .detach();
        }
    }

    /// Takes rows in.
    pub fn add(&self, rows: Vec<RecordRow>) {
        let mut inner = lock(&self.inner);
        for row in rows {
            let key = (row.version, row.domain.clone());
            inner.unwritten.insert(key.clone());
            inner.rows.insert(key, row);
        }
        while inner.rows.len() > KEPT {
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

    fn written(&self, rows: &[RecordRow]) {
        let mut inner = lock(&self.inner);
        for row in rows {
            inner.unwritten.remove(&(row.version, row.domain.clone()));
        }
    }
}

/// Writes new rows now and then.
pub async fn run(d: Arc<Daemon>) {
    loop {
        smol::Timer::after(FLUSH_EVERY.mul_f64(0.8 + 0.4 * fastrand::f64())).await;
        // The reader writes; others keep their copies until it has.
        if d.members.own().reader {
            flush(&d).await;
        } else {
            drop_written(&d).await;
        }
    }
}

/// Writes the rows that are not written yet, in one call.
///
/// A row whose write is lost is written again under the same key, so it is
/// there once.
pub async fn flush(d: &Daemon) {
    let rows = d.delivery_record.unwritten();
    if rows.is_empty() {
        return;
    }
    let pairs: Vec<_> = rows.iter().map(|row| (row_key(row), encode(row))).collect();
    match d.store.put_many(&pairs).await {
        Ok(()) => d.delivery_record.written(&rows),
        Err(err) => log::warn!("delivery record: {} rows wait: {err}", rows.len()),
    }
}

/// Returns the platform key of a row.
pub fn row_key(row: &RecordRow) -> String {
    let quarter = quarter_of(row.accepted_ms);
    format!("{}{quarter}/{:012}/{}", keys::RECORDS, row.version, row.domain)
}

/// Returns the quarter of a time, such as `2026Q4`.
pub fn quarter_of(ms: u64) -> String {
    const DAY_MS: u64 = 86_400_000;
    let (year, month) = year_and_month((ms / DAY_MS) as i64);
    format!("{year}Q{}", (month - 1) / 3 + 1)
}

/// Hands unwritten copies to the reader, if there is one.
///
/// Failure: the daemon that made a row dies before it is written. Symptom: the
/// quarter lacks a row. Those who hold a copy pass it to the next reader, and
/// the row's key makes the repetition harmless.
async fn drop_written(d: &Arc<Daemon>) {
    let rows = d.delivery_record.unwritten();
    if rows.is_empty() {
        return;
    }
    let readers = d.members.others().into_iter().filter_map(|host| d.members.get(host));
    let Some(reader) = readers.into_iter().find(|record| record.reader) else { return };
    let ask = Ask::Record { rows: rows.clone() };
    if peers::ask(d, reader.near, &ask, COPY_TIME).await.is_ok() {
        d.delivery_record.written(&rows);
    }
}

fn encode(row: &RecordRow) -> Vec<u8> {
    serde_json::to_vec(row).unwrap_or_default()
}

fn name(d: &Daemon, host: HostKey) -> String {
    d.members.get(host).map_or_else(|| format!("{:016x}", host.0), |record| record.name)
}

/// Returns the year and month of a day counted from 1970-01-01.
///
/// The usual conversion over eras of 400 years, with years that begin in March.
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
