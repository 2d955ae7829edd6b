//! `cicadashift explain`: traces one request through the logs of the daemons that handled
//! it.
//!
//! The output lists the log lines of the request in order of time, together with context
//! lines that the same daemons logged from shortly before its first line until its last:
//! versions that came into force, hosts that fell silent, instances that left. The cause
//! is taken from the last refusal or, without one, from the last failed attempt.
//!
//! A file holds the lines of one daemon or of several. The last word before the JSON of a
//! line is the name of its daemon; a line without such a word belongs to the daemon that
//! the file is named after.

use serde::Deserialize;
use std::fmt;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

/// How long before the first line of the request context lines are shown, in
/// milliseconds. Events older than a few heartbeats no longer explain a choice.
const CONTEXT_MS: i64 = 3000;
/// Log target of the lines about requests.
const DECISION: &str = "decision";
/// Parts of the messages that record a change in what a daemon knows of its surroundings:
/// configuration, hosts, upstreams and the store.
const CONTEXT: [&str; 18] = [
    "names a limit",
    "names no limit",
    "calls at it",
    "is quarantined",
    "is cleared",
    "is in force",
    "does not come into force",
    "cannot fetch version",
    "sign of life",
    "signs of life",
    "is suspected",
    "is taken for",
    "the store is",
    "leaves",
    "is leaving",
    "announced",
    "was frozen",
    "stopping",
];

/// Why a request cannot be explained.
#[derive(Debug)]
pub enum ExplainError {
    /// A file cannot be read.
    Unreadable { path: PathBuf, why: std::io::Error },
    /// No line names the request.
    NotFound { request: String, lines: usize },
}

impl fmt::Display for ExplainError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ExplainError::Unreadable { path, why } => write!(f, "{}: {why}", path.display()),
            ExplainError::NotFound { request, lines } => write!(
                f,
                "none of {lines} lines names request {request}; lines beyond \
                 `log.ordinary_per_s` and `log.failed_per_s` are left out"
            ),
        }
    }
}

impl std::error::Error for ExplainError {}

/// One line of a log.
#[derive(Clone, Debug, Deserialize)]
struct Line {
    time: String,
    target: String,
    #[serde(default)]
    message: Option<String>,
    #[serde(default)]
    event: Option<Event>,
    /// Name of the daemon that wrote the line; not part of the JSON.
    #[serde(skip)]
    daemon: String,
}

/// Event of a request; each kind of event has some of the fields.
#[derive(Clone, Debug, Deserialize)]
struct Event {
    kind: String,
    request: String,
    #[serde(default)]
    upstream: Option<String>,
    #[serde(default)]
    why: Option<String>,
    #[serde(default)]
    result: Option<String>,
    #[serde(default)]
    status: Option<u16>,
    #[serde(flatten)]
    rest: serde_json::Map<String, serde_json::Value>,
}

/// Reads logs and returns the lines of a request, its context and the cause of its
/// failure.
///
/// # Errors
///
/// Returns [`ExplainError`] where a file cannot be read or no line names the request.
pub fn explain(request: &str, files: &[PathBuf]) -> Result<String, ExplainError> {
    let mut lines = Vec::new();
    for file in files {
        lines.extend(read(file)?);
    }
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    let request_lines: Vec<&Line> =
        lines.iter().filter(|line| line.names_request(request)).collect();
    let (Some(first), Some(last)) = (request_lines.first(), request_lines.last()) else {
        return Err(ExplainError::NotFound { request: request.to_string(), lines: lines.len() });
    };
    let (from, until) = (millis(&first.time) - CONTEXT_MS, millis(&last.time));
    let daemons: Vec<&str> = request_lines.iter().map(|line| line.daemon.as_str()).collect();
    let is_shown = |line: &&Line| {
        let at = millis(&line.time);
        let is_recent = (from..=until).contains(&at) && daemons.contains(&line.daemon.as_str());
        line.names_request(request) || (is_recent && line.is_context())
    };
    let mut out: String = lines.iter().filter(is_shown).map(|line| format!("{line}\n")).collect();
    out.push_str(&format!("\ncause: {}\n", cause(&request_lines)));
    Ok(out)
}

fn read(path: &Path) -> Result<Vec<Line>, ExplainError> {
    let unreadable = |why| ExplainError::Unreadable { path: path.to_path_buf(), why };
    let file = std::fs::File::open(path).map_err(unreadable)?;
    let stem = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
    let mut out = Vec::new();
    for text in BufReader::new(file).split(b'\n') {
        let text = text.map_err(unreadable)?;
        out.extend(parse(&String::from_utf8_lossy(&text), &stem));
    }
    Ok(out)
}

/// Parses a line of the log; returns `None` for any other line.
fn parse(text: &str, file: &str) -> Option<Line> {
    let (before, json) = text.split_at(text.find('{')?);
    let mut line: Line = serde_json::from_str(json).ok()?;
    let name = before.split_whitespace().next_back();
    line.daemon = name.unwrap_or(file).to_string();
    Some(line)
}

impl Line {
    fn names_request(&self, request: &str) -> bool {
        self.event.as_ref().is_some_and(|event| event.request == request)
    }

    fn is_context(&self) -> bool {
        let message = self.message.as_deref().unwrap_or_default();
        self.target != DECISION && CONTEXT.iter().any(|part| message.contains(part))
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let clock = self.time.split('T').nth(1).unwrap_or(&self.time).trim_end_matches('Z');
        write!(f, "{clock} {:<20}", self.daemon)?;
        let Some(event) = &self.event else {
            return write!(f, " ({})", self.message.as_deref().unwrap_or_default());
        };
        write!(f, " {}", event.kind)?;
        let texts = [("upstream", &event.upstream), ("why", &event.why), ("result", &event.result)];
        for (name, value) in texts {
            if let Some(value) = value {
                write!(f, " {name} {value}")?;
            }
        }
        if let Some(status) = event.status {
            write!(f, " status {status}")?;
        }
        for (name, value) in &event.rest {
            match value {
                serde_json::Value::String(text) => write!(f, " {name} {text}")?,
                other => write!(f, " {name} {other}")?,
            }
        }
        Ok(())
    }
}

/// Names the cause of the failure as `docs/OPERATIONS.md` does: the reason of the last
/// refusal or, without one, of the last failed attempt.
fn cause(request_lines: &[&Line]) -> String {
    let events = || request_lines.iter().filter_map(|line| line.event.as_ref());
    let refusal = events().rfind(|event| event.kind == "refuse");
    let failed_attempt = events().rfind(|event| event.kind == "missed");
    let Some(event) = refusal.or(failed_attempt) else {
        return "these logs have no refusal and no failed attempt of the request".to_string();
    };
    let why = event.why.as_deref().unwrap_or("unspecified");
    let at = failed_attempt.and_then(|event| event.upstream.as_deref());
    let at = at.map_or_else(String::new, |upstream| format!(" (last asked: {upstream})"));
    format!("{why}{at}: {}", explanation(why))
}

/// Explains a reason and where to look next.
fn explanation(why: &str) -> &'static str {
    match why {
        "busy" | "queue-full" => "the upstreams asked had no slot free in time; look at load",
        "over-limit" => {
            "the upstream's own limit admits no further call in time; look for `names a limit`"
        }
        "slow-host" => "the upstream's machine was slow at the moment, and another had a free slot",
        "link-busy" => {
            "the upstreams' hosts had no room on their links for a large answer in time; look at \
             links"
        }
        "no-upstream" => {
            "every upstream is leaving, lost, silent or at the limit that it names, or has just \
             refused a call"
        }
        "deadline" | "too-late" => "its time was up; the admit lines say where the time went",
        "late" => "the first answer was late, so a second upstream was asked",
        "upstream-broke" | "truncated" => {
            "the upstream closed its connection before its answer was complete"
        }
        "upstream-ended" => {
            "the upstream ended while it ran the request; look at the upstream's own logs"
        }
        "quarantined" => {
            "upstreams ended while they ran this call, so it is sent to none; see \
             `cicadashift quarantine list`"
        }
        "disputed" => {
            "the call is suspected of ending upstreams; only its trial may be sent to one"
        }
        "held-back" => {
            "upstreams of another version are to serve the call; see `cicadashift rollouts`"
        }
        "upstream-failed" => "the upstream answered with a failure of its own",
        "wrong-answer" => "the upstream sent the answer to another request, or a success unstamped",
        "stopping" => "the daemon was about to end, and the call may not be sent twice",
        "shed" => "the upstream reported that it was full",
        "misdirected" | "gone" => "another instance or none has the address; look at reports",
        "draining" => "the upstream was leaving",
        "unreached" => "no connection to the upstream or to its host could be made",
        "exit-broke" => {
            "the connection to the daemon on the upstream's host broke before its answer"
        }
        "host-silent" => {
            "no sign of life from the upstream's host; look for partitions and frozen processes"
        }
        "no-configuration" => "the daemon had just started and had no configuration yet",
        "over-quota" => "its organisation has sent more than its quota allows over all daemons",
        "no-key" => "no organisation of the version in force has the API key of the request",
        "no-key-unconfirmed" => {
            "no organisation has the API key of the request, but the version may be out of date; \
             look at the store"
        }
        "no-route" => "no route of the version in force matches the request",
        "no-route-unconfirmed" => {
            "no route matches, but the version may be out of date; look at the store"
        }
        _ => "see docs/LOGS.md",
    }
}

/// Returns the time of a line in milliseconds since midnight. The time range of a request
/// that passes midnight is empty, so it is shown without context lines.
fn millis(time: &str) -> i64 {
    let clock = time.split('T').nth(1).unwrap_or_default();
    let mut parts = clock.trim_end_matches('Z').split(':').map(|part| part.parse::<f64>());
    let mut next = || parts.next().and_then(Result::ok).unwrap_or(0.0);
    let (hours, minutes, seconds) = (next(), next(), next());
    ((hours * 3600.0 + minutes * 60.0 + seconds) * 1e3) as i64
}
