//! Logs: one line an event, never at the cost of a call.
//!
//! Lines go through a bounded queue to a thread of their own. When the output is
//! slower than the daemon, lines are dropped and counted, and the count is
//! logged as soon as there is room. The fields are listed in `docs/LOGS.md`.

use crate::settings;
use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FlexiLoggerError, LogSpecification, Logger, LoggerHandle};
use serde::Serialize;
use serde_json::json;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Target of decision lines.
pub const DECISION: &str = "decision";

static LOST: AtomicU64 = AtomicU64::new(0);

/// Returns how many lines were lost since the start.
pub fn lost_lines() -> u64 {
    LOST.load(Ordering::Relaxed)
}

/// Starts logging to standard output.
///
/// # Errors
///
/// Returns the library's error where a logger is already in place.
pub fn start(log: &settings::Log) -> Result<LoggerHandle, FlexiLoggerError> {
    let writer = LossyWriter::start(log.json, log.buffer_lines.max(1));
    Logger::with(specification(log)).log_to_writer(Box::new(writer)).start()
}

/// Returns which lines the settings ask for, and bounds the ordinary ones.
pub fn specification(log: &settings::Log) -> LogSpecification {
    ORDINARY.per_s.store(log.ordinary_per_s, Ordering::Relaxed);
    let level = log.level.parse().unwrap_or(log::LevelFilter::Info);
    let mut spec = LogSpecification::builder();
    spec.default(level);
    if !log.decisions {
        spec.module(DECISION, log::LevelFilter::Off);
    }
    spec.build()
}

/// Logs a decision with its fields.
pub fn decision<T: Serialize>(event: &T) {
    if log::log_enabled!(target: DECISION, log::Level::Info) {
        let fields = serde_json::to_string(event).unwrap_or_default();
        log::info!(target: DECISION, "{fields}");
    }
}

/// Logs a decision that is one of many alike, if `ordinary`, within a bound.
///
/// The first of a second are logged, as many as the settings say, the others
/// counted.
pub fn rate_limited_decision<T: Serialize>(ordinary: bool, event: &T) {
    if !ordinary || ORDINARY.take() {
        decision(event);
    }
}

/// Bounds the ordinary lines of one process.
static ORDINARY: Quota =
    Quota { per_s: AtomicU64::new(0), second: AtomicU64::new(0), used: AtomicU64::new(0) };

static LEFT_OUT: AtomicU64 = AtomicU64::new(0);

/// Returns how many ordinary lines were left out since the start.
pub fn omitted_lines() -> u64 {
    LEFT_OUT.load(Ordering::Relaxed)
}

struct Quota {
    /// Lines in a second.
    per_s: AtomicU64,
    /// The second that `used` belongs to, since 1970.
    second: AtomicU64,
    used: AtomicU64,
}

impl Quota {
    fn take(&self) -> bool {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let now = since.as_secs();
        if self.second.swap(now, Ordering::Relaxed) != now {
            self.used.store(0, Ordering::Relaxed);
        }
        let within = self.used.fetch_add(1, Ordering::Relaxed) < self.per_s.load(Ordering::Relaxed);
        if !within {
            LEFT_OUT.fetch_add(1, Ordering::Relaxed);
        }
        within
    }
}

/// Hands lines to a thread and drops them when it falls behind.
struct LossyWriter {
    json: bool,
    tx: SyncSender<Item>,
}

enum Item {
    Line(String),
    Flush(SyncSender<()>),
}

impl LossyWriter {
    fn start(json: bool, lines: usize) -> LossyWriter {
        let (tx, rx) = sync_channel(lines);
        let started = std::thread::Builder::new().name("log".to_string()).spawn(|| write_all(rx));
        if started.is_err() {
            eprintln!("logging is off: no thread for it");
        }
        LossyWriter { json, tx }
    }
}

impl LogWriter for LossyWriter {
    fn write(&self, now: &mut DeferredNow, record: &log::Record<'_>) -> std::io::Result<()> {
        let time = now.now_utc_owned().format("%Y-%m-%dT%H:%M:%S%.3fZ");
        let (level, target, message) = (record.level(), record.target(), record.args().to_string());
        let line = match (self.json, target == DECISION) {
            (false, _) => format!("{time} {level} {target} {message}\n"),
            // A decision is an object already; it is put in as it is.
            (true, true) => format!(
                "{{\"time\":\"{time}\",\"level\":\"{level}\",\"target\":\"{target}\",\"event\":{message}}}\n"
            ),
            (true, false) => {
                let (time, level) = (time.to_string(), level.as_str());
                let line =
                    json!({"time": time, "level": level, "target": target, "message": message});
                format!("{line}\n")
            }
        };
        if let Err(TrySendError::Full(_)) = self.tx.try_send(Item::Line(line)) {
            LOST.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        let (tx, rx) = sync_channel(1);
        if self.tx.send(Item::Flush(tx)).is_ok() {
            let _best_effort = rx.recv_timeout(Duration::from_secs(1));
        }
        Ok(())
    }

    fn max_log_level(&self) -> log::LevelFilter {
        log::LevelFilter::Trace
    }
}

fn write_all(rx: Receiver<Item>) {
    let mut out = std::io::BufWriter::new(std::io::stdout());
    let mut told = 0;
    while let Ok(item) = rx.recv() {
        write_one(&mut out, item);
        while let Ok(item) = rx.try_recv() {
            write_one(&mut out, item);
        }
        let lost = lost_lines();
        if lost > told {
            let _best_effort =
                writeln!(out, "{}", json!({"level": "WARN", "lines_lost": lost - told}));
            told = lost;
        }
        let _best_effort = out.flush();
    }
}

fn write_one(out: &mut impl Write, item: Item) {
    match item {
        Item::Line(line) => {
            let _best_effort = out.write_all(line.as_bytes());
        }
        Item::Flush(tx) => {
            let _best_effort = out.flush();
            let _waiter_gone = tx.send(());
        }
    }
}
