//! The deployments that the model simulates, as TOML in `testdata/load/`.

use cicadashift_core::config::Priority;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt;
use std::num::NonZeroUsize;
use std::path::Path;
use std::time::Duration;

/// Upstreams, callers and faults of one run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Time during which new callers arrive, in seconds.
    pub seconds: f64,
    /// Warm-up at the beginning, whose callers are not counted, in seconds.
    pub warm_s: f64,
    /// Number of failure domains.
    pub domains: usize,
    /// Network delays.
    pub ways: Delays,
    /// Retry budget of all daemons together: retries for each first attempt.
    pub retry_ratio: f64,
    /// Retries that all daemons together may make beyond the ratio.
    pub retry_slack: f64,
    /// Processor time that a daemon needs for one message on a full processor, in
    /// microseconds. A call takes four messages, two at each end.
    #[serde(default)]
    pub message_us: f64,
    /// How the number of callers changes by itself.
    pub swing: Option<Swing>,
    /// The organisations that callers belong to.
    pub organisations: Option<Organisations>,
    /// Services by name.
    pub service: BTreeMap<String, Service>,
    /// Kinds of calls by name.
    pub kind: BTreeMap<String, Kind>,
    /// Faults that are injected.
    #[serde(default)]
    pub trouble: Vec<Fault>,
}

/// A periodic change of the number of callers, in each failure domain at another time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Swing {
    /// Largest change, as a share of the usual number.
    pub by: f64,
    /// Time from one peak to the next, in seconds.
    pub period_s: f64,
    /// Position of each failure domain in the period when a run begins, as a share of it.
    pub phases: Vec<f64>,
}

/// The organisations of the callers. The largest one has a given share of the callers; the
/// others share the rest in inverse proportion to their rank by size.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisations {
    /// Number of organisations.
    pub number: NonZeroUsize,
    /// Share of the callers that belong to the largest one.
    pub largest_share: f64,
}

/// One-way delays in milliseconds, including the work of the daemons at both ends.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delays {
    /// Between a caller and its entry daemon.
    pub caller_ms: f64,
    /// Between two hosts of a failure domain, as a mean.
    pub near_ms: f64,
    /// Added between hosts of different failure domains.
    pub far_ms: f64,
    /// From a change of an upstream until the other daemons have received it.
    pub news_ms: f64,
}

/// The upstreams of one service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Upstreams in each failure domain.
    pub upstreams: Vec<usize>,
    /// Calls that each upstream runs at once.
    pub slots: u16,
    /// Service times in multiples of the mean of a call's kind, assigned to the upstreams in
    /// turn.
    pub speeds: Vec<f64>,
    /// Shares of a processor that the daemons on the upstreams' hosts have, assigned in turn.
    #[serde(default = "full_share")]
    pub shares: Vec<f64>,
    /// How long an upstream is cold after its start, in seconds.
    #[serde(default)]
    pub cold_s: f64,
    /// Factor on the service times of a cold upstream.
    #[serde(default = "one")]
    pub cold_x: f64,
    /// Slowness of upstreams that lasts for moments.
    pub noise: Option<Noise>,
}

/// Some upstreams of a service are slow, and others after a moment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Noise {
    /// Share of the upstreams that are slow at any time.
    pub share: f64,
    /// Factor on the service times of the calls that they begin meanwhile.
    pub x: f64,
    /// Time after which other upstreams are slow, in milliseconds.
    pub every_ms: f64,
}

/// Calls of one kind.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// The service that serves the calls.
    pub service: String,
    /// New callers per second; zero for kinds that only upstreams call.
    #[serde(default)]
    pub per_s: f64,
    /// Mean service time at an upstream of speed one, in milliseconds.
    pub work_ms: f64,
    /// Standard deviation of the logarithm of the service time.
    pub spread: f64,
    /// Share of the calls that take `tail_x` times as long.
    #[serde(default)]
    pub tail: f64,
    /// Factor on the service time of the calls in the tail; see `tail`.
    #[serde(default = "one")]
    pub tail_x: f64,
    /// Longest service time at an upstream of speed one, in milliseconds; no bound if left out.
    pub max_ms: Option<f64>,
    /// Time within which an answer has its full worth, in milliseconds.
    pub objective_ms: f64,
    /// Longest time that callers wait, in milliseconds.
    pub deadline_ms: f64,
    /// Time after which an entry daemon gives up a call, in milliseconds; if left out, shortly
    /// before its caller does.
    pub timeout_ms: Option<f64>,
    /// Rank of the priority; zero is the most urgent.
    pub rank: u8,
    /// Whether a call may run twice.
    #[serde(default)]
    pub repeatable: bool,
    /// Worth of an answer within the objective.
    #[serde(default)]
    pub worth: f64,
    /// Worth of an answer after the objective.
    #[serde(default)]
    pub late_worth: f64,
    /// Retries that a caller makes.
    #[serde(default)]
    pub retries: u32,
    /// Nested calls that an upstream makes while it runs a call.
    pub calls: Option<Nested>,
}

/// Nested calls of an upstream, made at the end of its work. The run holds its slot until all
/// are answered. If one of them fails, the run fails and its work is wasted.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Nested {
    /// Kind of the nested calls.
    pub kind: String,
    /// Number of nested calls.
    pub times: u32,
    /// Share of the runs that make nested calls.
    pub share: f64,
    /// Whether each nested call is made after the answer to the one before; all are made at
    /// once if not.
    #[serde(default)]
    pub in_turn: bool,
}

/// A fault that lasts for some time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When the fault begins, in seconds.
    pub at_s: f64,
    /// How long the fault lasts, in seconds.
    pub for_s: f64,
    /// Kind of the fault.
    pub what: FaultKind,
    /// The service whose upstreams are affected; those of all services if left out.
    pub service: Option<String>,
    /// The kind whose callers a `burst` affects; those of all kinds if left out.
    pub kind: Option<String>,
    /// The organisation that a `hot` fault affects, by its rank from zero; the largest if left
    /// out.
    #[serde(default)]
    pub organisation: usize,
    /// Share of the upstreams that are affected; for `leave` and `impatient`, of the callers.
    #[serde(default = "one")]
    pub share: f64,
    /// Strength of the fault; see [`FaultKind`].
    #[serde(default = "one")]
    pub x: f64,
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// `x` times as many new callers arrive.
    Burst,
    /// `x` times as many new callers of one organisation arrive.
    Hot,
    /// Upstreams refuse a share `x` of the calls, even with free slots.
    Refuse,
    /// Upstreams answer a share `x` of the calls with a failure.
    Fail,
    /// Upstreams run a share `x` of the calls, but the answer is lost.
    Lose,
    /// Calls take `x` times as long.
    Slow,
    /// Upstreams cannot be reached, then restart cold.
    Down,
    /// Daemons and upstreams of whole hosts cannot be reached, then restart without state.
    Restart,
    /// A share of the callers disconnects after half of its objective.
    Leave,
    /// A share of the callers ignores the waits that refusals name, and has `x` times as many
    /// retries.
    Impatient,
}

/// Why a deployment cannot be simulated.
#[derive(Debug)]
pub enum DeploymentError {
    /// The file cannot be read.
    Unreadable(std::io::Error),
    /// The file is not valid TOML for a [`Deployment`].
    Malformed(toml::de::Error),
    /// The file names a service, a kind or an organisation that it does not define.
    Unknown { what: &'static str, name: String },
    /// A swing has no phase for some failure domain.
    Phases,
    /// A service has no number of upstreams for some failure domain, or no speed.
    Domains { service: String },
}

impl fmt::Display for DeploymentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DeploymentError::Unreadable(err) => write!(f, "cannot be read: {err}"),
            DeploymentError::Malformed(err) => write!(f, "{err}"),
            DeploymentError::Unknown { what, name } => write!(f, "no {what} named {name:?}"),
            DeploymentError::Phases => write!(f, "swing: needs a phase for each domain"),
            DeploymentError::Domains { service } => {
                write!(
                    f,
                    "service {service:?}: needs an upstream count for each domain, and a speed"
                )
            }
        }
    }
}

impl std::error::Error for DeploymentError {}

impl Deployment {
    /// Reads and validates a deployment file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or is not a valid deployment.
    pub fn read(path: &Path) -> Result<Deployment, DeploymentError> {
        let text = std::fs::read_to_string(path).map_err(DeploymentError::Unreadable)?;
        let deployment: Deployment = toml::from_str(&text).map_err(DeploymentError::Malformed)?;
        deployment.check()?;
        Ok(deployment)
    }

    fn check(&self) -> Result<(), DeploymentError> {
        for (name, service) in &self.service {
            if service.upstreams.len() != self.domains || service.speeds.is_empty() {
                return Err(DeploymentError::Domains { service: name.clone() });
            }
        }
        for kind in self.kind.values() {
            self.check_service(&kind.service)?;
            if let Some(nested) = &kind.calls {
                self.check_kind(&nested.kind)?;
            }
        }
        if self.swing.as_ref().is_some_and(|swing| swing.phases.len() != self.domains) {
            return Err(DeploymentError::Phases);
        }
        self.trouble.iter().try_for_each(|fault| self.check_fault(fault))
    }

    fn check_fault(&self, fault: &Fault) -> Result<(), DeploymentError> {
        if let Some(service) = &fault.service {
            self.check_service(service)?;
        }
        if let Some(kind) = &fault.kind {
            self.check_kind(kind)?;
        }
        let organisations = self.organisations.as_ref().map_or(0, |all| all.number.get());
        match fault.what == FaultKind::Hot && fault.organisation >= organisations {
            true => Err(unknown("organisation", &fault.organisation.to_string())),
            false => Ok(()),
        }
    }

    fn check_kind(&self, name: &str) -> Result<(), DeploymentError> {
        match self.kind.contains_key(name) {
            true => Ok(()),
            false => Err(unknown("kind", name)),
        }
    }

    fn check_service(&self, name: &str) -> Result<(), DeploymentError> {
        match self.service.contains_key(name) {
            true => Ok(()),
            false => Err(unknown("service", name)),
        }
    }
}

impl Kind {
    /// Returns the rank as a priority of `cicadashift_core`.
    pub fn priority(&self) -> Priority {
        Priority(self.rank)
    }

    /// Returns the time after which an entry daemon gives up a call, whatever its caller does.
    pub fn timeout(&self) -> Duration {
        let ms = self.timeout_ms.unwrap_or(self.deadline_ms);
        Duration::from_secs_f64(ms / 1e3)
    }
}

fn unknown(what: &'static str, name: &str) -> DeploymentError {
    DeploymentError::Unknown { what, name: name.to_string() }
}

fn full_share() -> Vec<f64> {
    vec![1.0]
}

fn one() -> f64 {
    1.0
}
