//! `cicadashift explain`: the story of one request, from the logs of the daemons
//! that it passed.
//!
//! Lines of the request are gathered and sorted by time, with what those daemons
//! came to believe shortly before: versions that came into force, hosts that fell
//! silent, instances that left. The last refusal, or the last attempt that brought
//! nothing, names the cause. A file holds the lines of one daemon or of several; what
//! stands before a line's JSON is taken for the daemon's name.

use serde::Deserialize;
use std::fmt;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

/// How long before the request's first line beliefs are shown, in milliseconds:
/// what is older than a few heartbeats no longer explains a choice.
const BELIEFS_MS: i64 = 3000;
/// Target of the lines about requests.
const DECISION: &str = "decision";
/// Beginnings and parts of lines that say what a daemon came to believe.
const BELIEFS: [&str; 16] = [
    "names a limit",
    "names no limit",
    "calls at it",
    "is quarantined",
    "is cleared",
    "is in force",
    "does not come into force",
    "sign of life",
    "signs of life",
    "is suspected",
    "is taken for",
    "the store is",
    "leaves",
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
    Unknown { request: String, lines: usize },
}

impl fmt::Display for ExplainError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ExplainError::Unreadable { path, why } => write!(f, "{}: {why}", path.display()),
            ExplainError::Unknown { request, lines } => write!(
                f,
                "none of {lines} lines names request {request}; ordinary lines beyond \
                 `log.ordinary_per_s` are left out, those of failed requests are not"
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
    /// Who wrote it: not in the line itself.
    #[serde(skip)]
    daemon: String,
}

/// What a line says of a request; each kind of line has some of the fields.
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

/// Reads logs and tells the story of a request.
///
/// # Errors
///
/// Returns [`ExplainError`] where a file cannot be read or no line names it.
pub fn explain(request: &str, files: &[PathBuf]) -> Result<String, ExplainError> {
    let mut lines = Vec::new();
    for file in files {
        lines.extend(read(file)?);
    }
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    let own: Vec<&Line> = lines.iter().filter(|line| line.is_of(request)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Err(ExplainError::Unknown { request: request.to_string(), lines: lines.len() });
    };
    let (from, until) = (millis(&first.time) - BELIEFS_MS, millis(&last.time));
    let daemons: Vec<&str> = own.iter().map(|line| line.daemon.as_str()).collect();
    let is_told = |line: &&Line| {
        let at = millis(&line.time);
        let is_near = (from..=until).contains(&at) && daemons.contains(&line.daemon.as_str());
        line.is_of(request) || (is_near && line.is_belief())
    };
    let mut out: String = lines.iter().filter(is_told).map(|line| format!("{line}\n")).collect();
    out.push_str(&format!("\ncause: {}\n", cause(&own)));
    Ok(out)
}

fn read(path: &Path) -> Result<Vec<Line>, ExplainError> {
    let unreadable = |why| ExplainError::Unreadable { path: path.to_path_buf(), why };
    let file = std::fs::File::open(path).map_err(unreadable)?;
    let named = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
    let mut out = Vec::new();
    for text in BufReader::new(file).split(b'\n') {
        let text = text.map_err(unreadable)?;
        out.extend(parse(&String::from_utf8_lossy(&text), &named));
    }
    Ok(out)
}

/// Parses a line; `None` for one that is not ours.
fn parse(text: &str, file: &str) -> Option<Line> {
    let (before, json) = text.split_at(text.find('{')?);
    let mut line: Line = serde_json::from_str(json).ok()?;
    let name = before.split_whitespace().next_back();
    line.daemon = name.unwrap_or(file).to_string();
    Some(line)
}

impl Line {
    fn is_of(&self, request: &str) -> bool {
        self.event.as_ref().is_some_and(|event| event.request == request)
    }

    fn is_belief(&self) -> bool {
        let message = self.message.as_deref().unwrap_or_default();
        self.target != DECISION && BELIEFS.iter().any(|part| message.contains(part))
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

/// Names the cause: what the caller was told, or else why the last attempt brought
/// nothing, in the words of `docs/OPERATIONS.md`.
fn cause(own: &[&Line]) -> String {
    let events = || own.iter().filter_map(|line| line.event.as_ref());
    let told = events().rfind(|event| event.kind == "refuse");
    let missed = events().rfind(|event| event.kind == "missed");
    let Some(event) = told.or(missed) else {
        return "nothing went wrong with it on these daemons".to_string();
    };
    let why = event.why.as_deref().unwrap_or("unspecified");
    let at = missed.and_then(|event| event.upstream.as_deref());
    let at = at.map_or_else(String::new, |upstream| format!(" (last asked: {upstream})"));
    format!("{why}{at}: {}", meaning(why))
}

/// Says what a reason means and where to look next.
fn meaning(why: &str) -> &'static str {
    match why {
        "busy" | "queue-full" => "the upstreams asked had no slot free in time; look at load",
        "over-limit" => {
            "the upstream names a limit and takes no further call in time; look for `names a limit`"
        }
        "link-busy" => "the upstreams' hosts could not send a large answer in time; look at links",
        "no-upstream" => {
            "every upstream is leaving, lost, silent or at the limit that it names, or refused a \
             call a moment ago"
        }
        "deadline" | "too-late" => "its time was up; the admit lines say where the time went",
        "late" => "the first answer was late, a second upstream was asked",
        "upstream-broke" | "truncated" => "the upstream closed its connection half-way",
        "upstream-ended" => "the upstream ended while it ran it; look at the upstream's own logs",
        "quarantined" => {
            "upstreams ended under it, and it is sent to none; see `cicadashift quarantine list`"
        }
        "disputed" => "it may be what ended upstreams, and another daemon was trying it",
        "held-back" => "another version is to serve it; see `cicadashift rollouts`",
        "upstream-failed" => "the upstream answered with a failure of its own",
        "wrong-answer" => "the upstream sent an answer to another request",
        "shed" => "the upstream said that it was full",
        "misdirected" | "gone" => "another instance has the address, or none; look at reports",
        "draining" => "the upstream was leaving",
        "unreached" => "no connection to the upstream or its host",
        "exit-broke" => "the daemon beside the upstream went away half-way",
        "host-silent" => "the upstream's host gave no sign of life; look for cuts and freezes",
        "no-configuration" => "the daemon had just started and had no configuration yet",
        "over-quota" => "its organisation has sent more than it may to all daemons together",
        "no-key" => "no organisation of the version in force has its key",
        "no-key-unconfirmed" => {
            "no organisation has its key, and the version may be old; look at the store"
        }
        "no-route" => "no route of the version in force matches the request",
        "no-route-unconfirmed" => "no route matches, and the version may be old; look at the store",
        _ => "see docs/LOGS.md",
    }
}

/// Returns a line's time in milliseconds of its day: stories that pass midnight lose
/// their beliefs, not their own lines.
fn millis(time: &str) -> i64 {
    let clock = time.split('T').nth(1).unwrap_or_default();
    let mut parts = clock.trim_end_matches('Z').split(':').map(|part| part.parse::<f64>());
    let mut next = || parts.next().and_then(Result::ok).unwrap_or(0.0);
    let (hours, minutes, seconds) = (next(), next(), next());
    ((hours * 3600.0 + minutes * 60.0 + seconds) * 1e3) as i64
}
