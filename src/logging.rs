//! Logging: one line per event, without ever blocking a call.
//!
//! Lines go through a bounded queue to a writer thread. If the output is slower than the
//! daemon, lines are dropped and counted, and the writer logs the count as soon as it
//! catches up. `docs/LOGS.md` lists the fields.

use crate::settings;
use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FlexiLoggerError, LogSpecification, Logger, LoggerHandle};
use serde::Serialize;
use serde_json::json;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Log target of decision lines.
pub const DECISION: &str = "decision";
/// Time for which the writer collects lines before it writes them. A daemon with little
/// processor time would otherwise wake the writer for each line.
const WRITE_DELAY: Duration = Duration::from_millis(20);

static LOST_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines dropped since the start because the queue was full.
pub fn lost_lines() -> u64 {
    LOST_LINES.load(Ordering::Relaxed)
}

/// Starts logging to standard output.
///
/// # Errors
///
/// Returns the error of `flexi_logger` if a logger is already installed.
pub fn start(log: &settings::Log) -> Result<LoggerHandle, FlexiLoggerError> {
    let writer = LossyWriter::start(log.json, log.buffer_lines.max(1));
    Logger::with(specification(log)).log_to_writer(Box::new(writer)).start()
}

/// Returns the log filter for the settings, and sets the rate limits of decision lines.
pub fn specification(log: &settings::Log) -> LogSpecification {
    ORDINARY_LIMIT.max_per_s.store(log.ordinary_per_s, Ordering::Relaxed);
    ATTEMPT_LIMIT.max_per_s.store(log.failed_per_s, Ordering::Relaxed);
    REFUSAL_LIMIT.max_per_s.store(log.failed_per_s, Ordering::Relaxed);
    let level = log.level.parse().unwrap_or(log::LevelFilter::Info);
    let mut spec = LogSpecification::builder();
    spec.default(level);
    if !log.decisions {
        spec.module(DECISION, log::LevelFilter::Off);
    }
    spec.build()
}

/// Logs a decision as a JSON object.
pub fn decision<T: Serialize>(event: &T) {
    if log::log_enabled!(target: DECISION, log::Level::Info) {
        let fields = serde_json::to_string(event).unwrap_or_default();
        log::info!(target: DECISION, "{fields}");
    }
}

/// Decisions whose lines share a rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecisionClass {
    /// Requests that run as usual.
    Ordinary,
    /// Attempts that failed, and what followed.
    FailedAttempt,
    /// Requests that the daemon answers itself. Separate from [`DecisionClass::FailedAttempt`],
    /// since this line alone names the cause, and one request may have several failed attempts.
    Refusal,
}

impl DecisionClass {
    fn limit(self) -> &'static LineLimit {
        match self {
            DecisionClass::Ordinary => &ORDINARY_LIMIT,
            DecisionClass::FailedAttempt => &ATTEMPT_LIMIT,
            DecisionClass::Refusal => &REFUSAL_LIMIT,
        }
    }
}

/// Logs a decision within the rate limit of its class.
///
/// The first lines of each second are logged and the others are counted. Under overload a
/// daemon refuses hundreds of requests a second, and their lines would take processor time
/// from the requests that it can serve.
pub fn rate_limited_decision<T: Serialize>(class: DecisionClass, event: &T) {
    if class.limit().try_acquire() {
        decision(event);
    }
}

/// Rate limits of the lines of this process.
static ORDINARY_LIMIT: LineLimit = LineLimit::new();
static ATTEMPT_LIMIT: LineLimit = LineLimit::new();
static REFUSAL_LIMIT: LineLimit = LineLimit::new();

static OMITTED_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns the number of decision lines omitted by the rate limits since the start.
pub fn omitted_lines() -> u64 {
    OMITTED_LINES.load(Ordering::Relaxed)
}

/// A limit on the lines in each second of the wall clock.
struct LineLimit {
    /// Maximum lines per second.
    max_per_s: AtomicU64,
    /// The second that `used` counts for, since 1970.
    second: AtomicU64,
    used: AtomicU64,
}

impl LineLimit {
    const fn new() -> LineLimit {
        LineLimit {
            max_per_s: AtomicU64::new(0),
            second: AtomicU64::new(0),
            used: AtomicU64::new(0),
        }
    }

    fn try_acquire(&self) -> bool {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let now = since_epoch.as_secs();
        if self.second.swap(now, Ordering::Relaxed) != now {
            self.used.store(0, Ordering::Relaxed);
        }
        let is_allowed =
            self.used.fetch_add(1, Ordering::Relaxed) < self.max_per_s.load(Ordering::Relaxed);
        if !is_allowed {
            OMITTED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        is_allowed
    }
}

/// Sends lines to a writer thread, and drops them while its queue is full.
struct LossyWriter {
    json: bool,
    tx: SyncSender<QueueItem>,
}

enum QueueItem {
    Line(String),
    Flush(SyncSender<()>),
}

impl LossyWriter {
    fn start(json: bool, max_lines: usize) -> LossyWriter {
        let (tx, rx) = sync_channel(max_lines);
        let started = std::thread::Builder::new().name("log".to_string()).spawn(|| write_all(rx));
        if started.is_err() {
            eprintln!("logging is off: cannot start its thread");
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
            // The message of a decision is a JSON object already and is inserted unchanged.
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
        if let Err(TrySendError::Full(_)) = self.tx.try_send(QueueItem::Line(line)) {
            LOST_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        let (tx, rx) = sync_channel(1);
        if self.tx.send(QueueItem::Flush(tx)).is_ok() {
            let _best_effort = rx.recv_timeout(Duration::from_secs(1));
        }
        Ok(())
    }

    fn max_log_level(&self) -> log::LevelFilter {
        log::LevelFilter::Trace
    }
}

fn write_all(rx: Receiver<QueueItem>) {
    let mut out = std::io::BufWriter::new(std::io::stdout());
    let mut reported = 0;
    while let Ok(item) = rx.recv() {
        if matches!(item, QueueItem::Line(_)) {
            std::thread::sleep(WRITE_DELAY);
        }
        write_one(&mut out, item);
        while let Ok(item) = rx.try_recv() {
            write_one(&mut out, item);
        }
        let lost = lost_lines();
        if lost > reported {
            let _best_effort =
                writeln!(out, "{}", json!({"level": "WARN", "lines_lost": lost - reported}));
            reported = lost;
        }
        let _best_effort = out.flush();
    }
}

fn write_one(out: &mut impl Write, item: QueueItem) {
    match item {
        QueueItem::Line(line) => {
            let _best_effort = out.write_all(line.as_bytes());
        }
        QueueItem::Flush(tx) => {
            let _best_effort = out.flush();
            let _flush_timed_out = tx.send(());
        }
    }
}
