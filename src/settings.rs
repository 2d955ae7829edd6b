//! A daemon's settings.
//!
//! `docs/SETTINGS.md` lists every field; a test keeps the page and this file in
//! step. Settings are checked as a whole before anything is started.

use cicadashift_core::config::select::Proxy;
use cicadashift_core::config::{self, Invalid, Labels};
use cicadashift_core::request::choose::Policy;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Shortest time to stop in, in seconds.
const MIN_GRACE_S: f64 = 1.0;
/// Part of the time to stop in that is left for the end of the process.
const GRACE_MARGIN: Duration = Duration::from_millis(700);
/// Shortest mesh key accepted, in bytes.
pub const MIN_KEY_BYTES: usize = 16;

/// What a daemon learns before it starts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The host's name, unique in the mesh.
    pub host: String,
    /// The failure domain it is in.
    pub failure_domain: String,
    /// Services that its upstreams may serve; what selectors see.
    #[serde(default)]
    pub services: Vec<String>,
    /// Labels of the proxy; an operator's go before them.
    #[serde(default)]
    pub labels: Labels,
    /// Port for callers.
    pub callers: SocketAddr,
    /// Port for upstreams and operators of this host.
    pub upstreams: SocketAddr,
    /// Address of the upstream on this host, asked once after a start who it is.
    #[serde(default)]
    pub upstream: Option<SocketAddr>,
    /// Port for other daemons, TCP and UDP.
    pub mesh: SocketAddr,
    /// Address under which its own failure domain reaches `mesh`.
    #[serde(default)]
    pub near_address: Option<SocketAddr>,
    /// Address under which other failure domains reach `mesh`.
    #[serde(default)]
    pub far_address: Option<SocketAddr>,
    /// How callers, upstreams, operators and the store speak.
    #[serde(default)]
    pub interface: InterfaceKind,
    /// Port that tells whether this daemon takes work.
    #[serde(default)]
    pub ready: Option<SocketAddr>,
    /// Addresses of the platform's service.
    pub platform: Vec<SocketAddr>,
    /// Hosts of this failure domain that remember versions for the others; only
    /// for the interface `own`.
    #[serde(default)]
    pub witnesses: Vec<String>,
    /// Mesh addresses of some daemons of this failure domain.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Mesh addresses of some daemons of other failure domains.
    #[serde(default)]
    pub far_peers: BTreeMap<String, Vec<SocketAddr>>,
    /// Secret that all daemons of the mesh share.
    pub mesh_key: String,
    /// Whether the whole mesh starts for the first time, so that no version is there yet.
    #[serde(default)]
    pub first_start: bool,
    /// Threads that serve.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Decisions of the choice of upstreams; all on unless something is measured.
    #[serde(default)]
    pub choice: Policy,
    /// Decisions about calls under load; all on unless something is measured.
    #[serde(default)]
    pub load: LoadPolicy,
    /// Megabits a second that the host's link carries; unset, nothing waits for
    /// the link.
    #[serde(default)]
    pub link_mbps: Option<f64>,
    /// Bounds that protect the daemon.
    #[serde(default)]
    pub limits: Limits,
    /// Repeated attempts that all daemons together may add.
    #[serde(default)]
    pub retries: Retries,
    /// Calls that a version under rollout may get before it is proven.
    #[serde(default)]
    pub rollouts: Exposure,
    /// What is logged, and how.
    #[serde(default)]
    pub log: Log,
    /// Address of a statsd collector.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Address on which counters and histograms are served as text.
    #[serde(default)]
    pub metrics_text: Option<SocketAddr>,
}

/// How callers, upstreams, operators and the store speak.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InterfaceKind {
    /// As `docs/UPSTREAMS.md` and `docs/CONFIGURATION.md` say; the store is etcd.
    #[default]
    Own,
    /// As the users' platform does; see `docs/PLATFORM.md`.
    Platform,
}

/// Decisions about calls under load, each of which can be switched off to measure what
/// it is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoadPolicy {
    /// Work on several requests of a caller's connection at once.
    pub overlap: bool,
    /// Count the time that a caller has waited before it was refused and came back.
    pub returning: bool,
}

impl Default for LoadPolicy {
    fn default() -> LoadPolicy {
        LoadPolicy { overlap: true, returning: true }
    }
}

/// Repeated attempts that all daemons together may add to a service's load.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Retries {
    /// Repeated attempts for each first one.
    pub ratio: f64,
    /// Repeated attempts beyond the ratio, of all daemons in one window.
    pub slack: f64,
    /// Seconds of a window.
    pub window_s: f64,
}

impl Default for Retries {
    fn default() -> Retries {
        Retries { ratio: 0.2, slack: 100.0, window_s: 10.0 }
    }
}

/// Calls that an unproven version may get of all daemons together, while its rollout is
/// under way.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Exposure {
    /// Share of the service's calls.
    pub share: f64,
    /// Calls beside that share.
    pub slack: f64,
}

impl Default for Exposure {
    fn default() -> Exposure {
        Exposure { share: 0.1, slack: 50.0 }
    }
}

/// Bounds that protect the daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Connections of callers held at once.
    pub caller_connections: usize,
    /// Connections of other daemons held at once.
    pub mesh_connections: usize,
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Milliseconds for a request's head to arrive.
    pub head_ms: u64,
    /// Milliseconds a planned stop waits for peers to stop sending.
    pub leave_ms: u64,
    /// Milliseconds a planned stop waits for calls in progress.
    pub finish_ms: u64,
    /// Seconds after which whoever stops the daemon ends it; goes before `finish_ms`, which
    /// is then what is left of them.
    pub grace_s: Option<f64>,
}

impl Limits {
    /// Returns the time that a planned stop gives peers to stop sending.
    pub fn leave_timeout(&self) -> Duration {
        Duration::from_millis(self.leave_ms)
    }

    /// Returns the time that it gives calls in progress after that.
    pub fn finish_timeout(&self) -> Duration {
        let left = self.grace_s.map(|grace_s| {
            let grace = Duration::from_secs_f64(grace_s);
            grace.saturating_sub(self.leave_timeout() + GRACE_MARGIN)
        });
        left.unwrap_or(Duration::from_millis(self.finish_ms))
    }
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            caller_connections: 2048,
            mesh_connections: 2048,
            head_bytes: 32 << 10,
            head_ms: 30_000,
            leave_ms: 1000,
            finish_ms: 60_000,
            grace_s: None,
        }
    }
}

/// What is logged, and how.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// One JSON object a line instead of text.
    pub json: bool,
    /// Whether each routing decision is logged.
    pub decisions: bool,
    /// Ordinary decision lines in a second; further ones are left out and counted.
    /// Lines about requests that were refused, retried or failed are not ordinary.
    pub ordinary_per_s: u64,
    /// Lines held when the output is slow; further ones are counted and lost.
    pub buffer_lines: usize,
}

impl Default for Log {
    fn default() -> Log {
        Log {
            level: "info".to_string(),
            json: true,
            decisions: true,
            ordinary_per_s: 20,
            buffer_lines: 1024,
        }
    }
}

/// Why settings are refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The file cannot be read.
    Unreadable { path: PathBuf, why: String },
    /// Not JSON, or a field is unknown, missing or of the wrong kind.
    Json { path: PathBuf, why: String },
    /// A field's value is not allowed.
    Field { field: &'static str, value: String, why: &'static str },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::Unreadable { path, why } => {
                write!(f, "settings {}: {why}", path.display())
            }
            SettingsError::Json { path, why } => write!(f, "settings {}: {why}", path.display()),
            SettingsError::Field { field, value, why } => {
                write!(f, "settings field `{field}`: {value} {why}")
            }
        }
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Returns the first [`SettingsError`] found.
    pub fn read(path: &Path) -> Result<Settings, SettingsError> {
        let buf = std::fs::read(path).map_err(|err| SettingsError::Unreadable {
            path: path.to_path_buf(),
            why: err.to_string(),
        })?;
        let mut json = serde_json::Deserializer::from_slice(&buf);
        let settings: Settings = serde_path_to_error::deserialize(&mut json).map_err(|err| {
            SettingsError::Json { path: path.to_path_buf(), why: locate(&buf, &err) }
        })?;
        settings.check()?;
        Ok(settings)
    }

    /// Checks values and how they go together.
    ///
    /// # Errors
    ///
    /// Returns the first [`SettingsError::Field`] found.
    pub fn check(&self) -> Result<(), SettingsError> {
        name("host", &self.host)?;
        name("failure_domain", &self.failure_domain)?;
        self.services.iter().try_for_each(|service| name("services", service))?;
        config::check_labels(&self.labels).map_err(|err| invalid("labels", err))?;
        self.witnesses.iter().try_for_each(|host| name("witnesses", host))?;
        self.check_ports()?;
        self.check_counts()?;
        if self.mesh_key.len() < MIN_KEY_BYTES {
            let len = format!("{} bytes", self.mesh_key.len());
            return Err(field("mesh_key", len, "is too short; use at least 16"));
        }
        if self.far_peers.contains_key(&self.failure_domain) {
            let own = self.failure_domain.clone();
            return Err(field("far_peers", own, "is the daemon's own failure domain"));
        }
        if self.log.level.parse::<log::LevelFilter>().is_err() {
            let level = self.log.level.clone();
            return Err(field("log.level", level, "is not error, warn, info, debug or trace"));
        }
        Ok(())
    }

    /// Returns what selectors see of this daemon.
    pub fn proxy(&self) -> Proxy {
        Proxy {
            host: self.host.clone(),
            domain: self.failure_domain.clone(),
            services: self.services.clone(),
            labels: self.labels.clone(),
        }
    }

    fn check_ports(&self) -> Result<(), SettingsError> {
        let mut ports =
            vec![("callers", self.callers), ("upstreams", self.upstreams), ("mesh", self.mesh)];
        ports.extend(self.ready.map(|addr| ("ready", addr)));
        ports.extend(self.metrics_text.map(|addr| ("metrics_text", addr)));
        for (i, (_, a)) in ports.iter().enumerate() {
            for (name, b) in &ports[i + 1..] {
                if a == b && a.port() != 0 {
                    return Err(field(name, b.to_string(), "is used for another port as well"));
                }
            }
        }
        let unset = self.near_address.is_none() || self.far_address.is_none();
        if self.mesh.ip().is_unspecified() && unset {
            let mesh = self.mesh.to_string();
            return Err(field("mesh", mesh, "needs near_address and far_address beside it"));
        }
        Ok(())
    }

    fn check_counts(&self) -> Result<(), SettingsError> {
        if self.witnesses.is_empty() && self.interface == InterfaceKind::Own {
            return Err(field("witnesses", "[]".to_string(), "is empty; name three or five hosts"));
        }
        let grace_s = self.limits.grace_s.unwrap_or(MIN_GRACE_S);
        if !(MIN_GRACE_S..=3600.0).contains(&grace_s) {
            return Err(field("limits.grace_s", grace_s.to_string(), "is not 1 to 3600"));
        }
        if !(0.0..=1.0).contains(&self.retries.ratio) {
            let ratio = self.retries.ratio.to_string();
            return Err(field("retries.ratio", ratio, "is not 0 to 1"));
        }
        if !(0.0..=1.0).contains(&self.rollouts.share) {
            let share = self.rollouts.share.to_string();
            return Err(field("rollouts.share", share, "is not 0 to 1"));
        }
        if !(0.0..=1e6).contains(&self.rollouts.slack) {
            let slack = self.rollouts.slack.to_string();
            return Err(field("rollouts.slack", slack, "is not 0 to 1000000"));
        }
        if !(0.1..=3600.0).contains(&self.retries.window_s) {
            let window_s = self.retries.window_s.to_string();
            return Err(field("retries.window_s", window_s, "is not 0.1 to 3600"));
        }
        if !(0.0..=1e6).contains(&self.retries.slack) {
            let slack = self.retries.slack.to_string();
            return Err(field("retries.slack", slack, "is not 0 to 1000000"));
        }
        if let Some(mbps) = self.link_mbps.filter(|mbps| !(0.1..=1e6).contains(mbps)) {
            return Err(field("link_mbps", mbps.to_string(), "is not 0.1 to 1000000"));
        }
        if !(1..=64).contains(&self.threads) {
            return Err(field("threads", self.threads.to_string(), "is not 1 to 64"));
        }
        let limits = &self.limits;
        if !(8192..=1 << 20).contains(&limits.head_bytes) {
            let bytes = limits.head_bytes.to_string();
            return Err(field("limits.head_bytes", bytes, "is not 8192 to 1048576"));
        }
        if limits.caller_connections == 0 || limits.mesh_connections == 0 {
            return Err(field("limits", "0 connections".to_string(), "would serve nobody"));
        }
        if limits.leave_ms > 5000 {
            let ms = limits.leave_ms.to_string();
            return Err(field("limits.leave_ms", ms, "is over 5000"));
        }
        Ok(())
    }
}

/// Says which field is wrong, and what it holds.
fn locate(buf: &[u8], err: &serde_path_to_error::Error<serde_json::Error>) -> String {
    let path = err.path().to_string();
    let root: serde_json::Value = serde_json::from_slice(buf).unwrap_or_default();
    let held = path.split('.').try_fold(&root, |value, part| value.get(part));
    match held {
        Some(value) => format!("field `{path}`: {value}: {}", err.inner()),
        None => err.inner().to_string(),
    }
}

fn name(field_name: &'static str, value: &str) -> Result<(), SettingsError> {
    config::check_name(field_name, value).map_err(|err| invalid(field_name, err))
}

fn invalid(field_name: &'static str, err: Invalid) -> SettingsError {
    let value = match err {
        Invalid::Name { value, .. } => format!("{value:?}"),
        other => other.to_string(),
    };
    field(field_name, value, "must be 1 to 128 letters, digits, '.', '_' or '-'")
}

fn field(field: &'static str, value: String, why: &'static str) -> SettingsError {
    SettingsError::Field { field, value, why }
}

fn default_threads() -> usize {
    2
}
