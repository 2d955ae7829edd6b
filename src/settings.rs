//! A daemon's settings.
//!
//! `docs/SETTINGS.md` lists every field; a test checks that the page is complete. All
//! settings are validated before anything is started.

use cicadashift_core::config::select::Proxy;
use cicadashift_core::config::{self, Invalid, Labels};
use cicadashift_core::request::choose::Policy;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Smallest grace period of a stop (`limits.grace_s`), in seconds.
const MIN_GRACE_S: f64 = 1.0;
/// Part of the grace period that is reserved for the exit of the process.
const EXIT_MARGIN: Duration = Duration::from_millis(700);
/// Minimum length of the mesh key, in bytes.
pub const MIN_MESH_KEY_BYTES: usize = 16;

/// Settings of a daemon, read from a JSON file at its start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the host, unique in the mesh.
    pub host: String,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Services that the upstreams on this host may serve; selectors match on them.
    #[serde(default)]
    pub services: Vec<String>,
    /// Labels of the proxy; labels that an operator sets take precedence over them.
    #[serde(default)]
    pub labels: Labels,
    /// Address on which callers connect.
    pub callers: SocketAddr,
    /// Address on which upstreams and operators of this host connect.
    pub upstreams: SocketAddr,
    /// Address of the upstream on this host, which the daemon asks for its identity once
    /// after a start.
    #[serde(default)]
    pub upstream: Option<SocketAddr>,
    /// Address on which other daemons connect, over TCP and UDP.
    pub mesh: SocketAddr,
    /// Address at which daemons of the same failure domain reach `mesh`.
    #[serde(default)]
    pub near_address: Option<SocketAddr>,
    /// Address at which daemons of other failure domains reach `mesh`.
    #[serde(default)]
    pub far_address: Option<SocketAddr>,
    /// Protocols spoken with callers, upstreams, operators and the store.
    #[serde(default)]
    pub interface: InterfaceKind,
    /// Address of the readiness endpoint, which reports whether the daemon accepts calls.
    #[serde(default)]
    pub ready: Option<SocketAddr>,
    /// Addresses of the platform's store.
    pub platform: Vec<SocketAddr>,
    /// Hosts of this failure domain that are witnesses: they keep the promised versions
    /// for the other hosts. Used only with the interface `own`.
    #[serde(default)]
    pub witnesses: Vec<String>,
    /// Mesh addresses of some daemons of this failure domain.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Mesh addresses of some daemons of other failure domains.
    #[serde(default)]
    pub far_peers: BTreeMap<String, Vec<SocketAddr>>,
    /// Secret shared by all daemons of the mesh.
    pub mesh_key: String,
    /// Whether the whole mesh starts for the first time, so that no version exists yet.
    #[serde(default)]
    pub first_start: bool,
    /// Number of threads that serve calls.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Parts of the load balancing policy; switched off only for measurements.
    #[serde(default)]
    pub choice: Policy,
    /// Parts of the handling of calls under load; switched off only for measurements.
    #[serde(default)]
    pub load: LoadPolicy,
    /// Capacity of the host's link in megabits per second; if unset, transfers never wait
    /// for the link.
    #[serde(default)]
    pub link_mbps: Option<f64>,
    /// Resource limits and stop timeouts of the daemon.
    #[serde(default)]
    pub limits: Limits,
    /// Retry budget of all daemons together.
    #[serde(default)]
    pub retries: Retries,
    /// Limit on calls to a version under rollout before it is proven.
    #[serde(default)]
    pub rollouts: Exposure,
    /// Log level, format and rate limits.
    #[serde(default)]
    pub log: Log,
    /// Address of a statsd collector.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Address on which metrics are served in the text exposition format.
    #[serde(default)]
    pub metrics_text: Option<SocketAddr>,
}

/// Protocols spoken with callers, upstreams, operators and the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InterfaceKind {
    /// The protocols of `docs/UPSTREAMS.md` and `docs/CONFIGURATION.md`; the store is etcd.
    #[default]
    Own,
    /// The protocols of the users' platform; see `docs/PLATFORM.md`.
    Platform,
}

/// Parts of the handling of calls under load; each can be switched off to measure its
/// effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoadPolicy {
    /// Process several pipelined requests of a caller's connection at once.
    pub overlap: bool,
    /// Measure the waiting time of a returning caller from its first, refused call.
    pub returning: bool,
    /// Refuse calls at the entry while hosts refuse most calls of their kind.
    pub throttle: bool,
    /// Take into account how slow the machines of upstreams are at the moment.
    pub pace: bool,
    /// Begin only as many calls as their nested calls find capacity for.
    pub dependencies: bool,
}

impl Default for LoadPolicy {
    fn default() -> LoadPolicy {
        LoadPolicy {
            overlap: true,
            returning: true,
            throttle: true,
            pace: true,
            dependencies: true,
        }
    }
}

/// Retry budget: retries that all daemons together may add to the load of a service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Retries {
    /// Retries per first attempt.
    pub ratio: f64,
    /// Retries of all daemons in one window beyond the ratio.
    pub slack: f64,
    /// Length of a window, in seconds.
    pub window_s: f64,
}

impl Default for Retries {
    fn default() -> Retries {
        Retries { ratio: 0.2, slack: 100.0, window_s: 10.0 }
    }
}

/// Limit on the calls that all daemons together send to an unproven version during its
/// rollout.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Exposure {
    /// Share of the service's calls.
    pub share: f64,
    /// Calls beyond that share.
    pub slack: f64,
}

impl Default for Exposure {
    fn default() -> Exposure {
        Exposure { share: 0.1, slack: 50.0 }
    }
}

/// Resource limits and stop timeouts of the daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum number of open connections of callers.
    pub caller_connections: usize,
    /// Maximum number of open connections of other daemons.
    pub mesh_connections: usize,
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Timeout for a request head to arrive, in milliseconds.
    pub head_ms: u64,
    /// Time that a planned stop waits for peers to stop sending, in milliseconds.
    pub leave_ms: u64,
    /// Time that a planned stop waits for calls in flight, in milliseconds.
    pub finish_ms: u64,
    /// Grace period of a stop, in seconds, after which the supervisor kills the daemon. If
    /// set, it takes precedence over `finish_ms`: calls in flight then have the rest of the
    /// period.
    pub grace_s: Option<f64>,
}

impl Limits {
    /// Returns the time that a planned stop waits for peers to stop sending.
    pub fn leave_timeout(&self) -> Duration {
        Duration::from_millis(self.leave_ms)
    }

    /// Returns the time that a planned stop then waits for calls in flight.
    pub fn finish_timeout(&self) -> Duration {
        let from_grace = self.grace_s.map(|grace_s| {
            let grace = Duration::from_secs_f64(grace_s);
            grace.saturating_sub(self.leave_timeout() + EXIT_MARGIN)
        });
        from_grace.unwrap_or(Duration::from_millis(self.finish_ms))
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

/// Log level, format and rate limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// Whether each line is a JSON object instead of text.
    pub json: bool,
    /// Whether each routing decision is logged.
    pub decisions: bool,
    /// Maximum ordinary decision lines per second; further ones are omitted and counted.
    /// Lines about requests that were refused, retried or failed are not ordinary.
    pub ordinary_per_s: u64,
    /// Maximum decision lines per second about failed attempts, and as many about requests
    /// that the daemon answers itself; further ones are omitted and counted.
    pub failed_per_s: u64,
    /// Lines buffered while the output is slow; further ones are dropped and counted.
    pub buffer_lines: usize,
}

impl Default for Log {
    fn default() -> Log {
        Log {
            level: "info".to_string(),
            json: true,
            decisions: true,
            ordinary_per_s: 20,
            failed_per_s: 50,
            buffer_lines: 1024,
        }
    }
}

/// Why settings are rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The file cannot be read.
    Unreadable { path: PathBuf, why: String },
    /// The file is not JSON, or a field is unknown, missing or of the wrong type.
    Json { path: PathBuf, why: String },
    /// The value of a field is not allowed.
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
    /// Reads and validates a settings file.
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
            SettingsError::Json { path: path.to_path_buf(), why: describe_json_error(&buf, &err) }
        })?;
        settings.check()?;
        Ok(settings)
    }

    /// Validates single values and combinations of fields.
    ///
    /// # Errors
    ///
    /// Returns the first [`SettingsError::Field`] found.
    pub fn check(&self) -> Result<(), SettingsError> {
        check_name("host", &self.host)?;
        check_name("failure_domain", &self.failure_domain)?;
        self.services.iter().try_for_each(|service| check_name("services", service))?;
        config::check_labels(&self.labels).map_err(|err| invalid_name("labels", err))?;
        self.witnesses.iter().try_for_each(|host| check_name("witnesses", host))?;
        self.check_ports()?;
        self.check_values()?;
        if self.mesh_key.len() < MIN_MESH_KEY_BYTES {
            let len = format!("{} bytes", self.mesh_key.len());
            return Err(field_error("mesh_key", len, "is too short; use at least 16"));
        }
        if self.far_peers.contains_key(&self.failure_domain) {
            let own = self.failure_domain.clone();
            return Err(field_error("far_peers", own, "is the daemon's own failure domain"));
        }
        if self.log.level.parse::<log::LevelFilter>().is_err() {
            let level = self.log.level.clone();
            return Err(field_error(
                "log.level",
                level,
                "is not error, warn, info, debug or trace",
            ));
        }
        Ok(())
    }

    /// Returns the attributes of this daemon that selectors match on.
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
                    return Err(field_error(
                        name,
                        b.to_string(),
                        "is used for another port as well",
                    ));
                }
            }
        }
        let any_unset = self.near_address.is_none() || self.far_address.is_none();
        if self.mesh.ip().is_unspecified() && any_unset {
            let mesh = self.mesh.to_string();
            return Err(field_error("mesh", mesh, "needs near_address and far_address beside it"));
        }
        Ok(())
    }

    fn check_values(&self) -> Result<(), SettingsError> {
        if self.witnesses.is_empty() && self.interface == InterfaceKind::Own {
            return Err(field_error(
                "witnesses",
                "[]".to_string(),
                "is empty; name three or five hosts",
            ));
        }
        let grace_s = self.limits.grace_s.unwrap_or(MIN_GRACE_S);
        if !(MIN_GRACE_S..=3600.0).contains(&grace_s) {
            return Err(field_error("limits.grace_s", grace_s.to_string(), "is not 1 to 3600"));
        }
        if !(0.0..=1.0).contains(&self.retries.ratio) {
            let ratio = self.retries.ratio.to_string();
            return Err(field_error("retries.ratio", ratio, "is not 0 to 1"));
        }
        if !(0.0..=1.0).contains(&self.rollouts.share) {
            let share = self.rollouts.share.to_string();
            return Err(field_error("rollouts.share", share, "is not 0 to 1"));
        }
        if !(0.0..=1e6).contains(&self.rollouts.slack) {
            let slack = self.rollouts.slack.to_string();
            return Err(field_error("rollouts.slack", slack, "is not 0 to 1000000"));
        }
        if !(0.1..=3600.0).contains(&self.retries.window_s) {
            let window_s = self.retries.window_s.to_string();
            return Err(field_error("retries.window_s", window_s, "is not 0.1 to 3600"));
        }
        if !(0.0..=1e6).contains(&self.retries.slack) {
            let slack = self.retries.slack.to_string();
            return Err(field_error("retries.slack", slack, "is not 0 to 1000000"));
        }
        if let Some(mbps) = self.link_mbps.filter(|mbps| !(0.1..=1e6).contains(mbps)) {
            return Err(field_error("link_mbps", mbps.to_string(), "is not 0.1 to 1000000"));
        }
        if !(1..=64).contains(&self.threads) {
            return Err(field_error("threads", self.threads.to_string(), "is not 1 to 64"));
        }
        let limits = &self.limits;
        if !(8192..=1 << 20).contains(&limits.head_bytes) {
            let bytes = limits.head_bytes.to_string();
            return Err(field_error("limits.head_bytes", bytes, "is not 8192 to 1048576"));
        }
        if limits.caller_connections == 0 || limits.mesh_connections == 0 {
            return Err(field_error("limits", "0 connections".to_string(), "would serve nobody"));
        }
        if limits.leave_ms > 5000 {
            let ms = limits.leave_ms.to_string();
            return Err(field_error("limits.leave_ms", ms, "is over 5000"));
        }
        Ok(())
    }
}

/// Describes a parse error with the path and the value of the field, if the field exists.
fn describe_json_error(buf: &[u8], err: &serde_path_to_error::Error<serde_json::Error>) -> String {
    let path = err.path().to_string();
    let root: serde_json::Value = serde_json::from_slice(buf).unwrap_or_default();
    let field_value = path.split('.').try_fold(&root, |value, part| value.get(part));
    match field_value {
        Some(value) => format!("field `{path}`: {value}: {}", err.inner()),
        None => err.inner().to_string(),
    }
}

fn check_name(field_name: &'static str, value: &str) -> Result<(), SettingsError> {
    config::check_name(field_name, value).map_err(|err| invalid_name(field_name, err))
}

fn invalid_name(field_name: &'static str, err: Invalid) -> SettingsError {
    let value = match err {
        Invalid::Name { value, .. } => format!("{value:?}"),
        other => other.to_string(),
    };
    field_error(field_name, value, "must be 1 to 128 letters, digits, '.', '_' or '-'")
}

fn field_error(field: &'static str, value: String, why: &'static str) -> SettingsError {
    SettingsError::Field { field, value, why }
}

fn default_threads() -> usize {
    2
}
