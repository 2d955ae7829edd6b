//! The deployments that the model plays, as TOML in `testdata/load/`.

use cicadashift_core::config::Priority;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;

/// Upstreams, callers and troubles of one run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Time during which new callers come, in seconds.
    pub seconds: f64,
    /// Time at the beginning whose callers are not counted, in seconds.
    pub warm_s: f64,
    /// Failure domains.
    pub domains: usize,
    /// Times of the ways.
    pub ways: Ways,
    /// Repeated arrivals that all daemons may add, for each first one.
    pub retry_ratio: f64,
    /// The same beyond the ratio.
    pub retry_slack: f64,
    /// Processor time that a daemon takes for one message on a processor of its own, in
    /// microseconds; a call is four messages, two at each end.
    #[serde(default)]
    pub message_us: f64,
    /// Services by name.
    pub service: BTreeMap<String, Service>,
    /// Kinds of calls by name.
    pub kind: BTreeMap<String, Kind>,
    /// What goes wrong.
    #[serde(default)]
    pub trouble: Vec<Trouble>,
}

/// One way, in milliseconds, with the work of the daemons at its ends.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ways {
    /// Between a caller and its entry daemon.
    pub caller_ms: f64,
    /// Between two hosts of a failure domain, in the mean.
    pub near_ms: f64,
    /// Added between failure domains.
    pub far_ms: f64,
    /// From a change of an upstream until the others know of it.
    pub news_ms: f64,
}

/// The upstreams of one service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Upstreams in each failure domain.
    pub upstreams: Vec<usize>,
    /// Calls that each runs at once.
    pub slots: u16,
    /// Times of a call in means of its kind; the upstreams take them in turn.
    pub speeds: Vec<f64>,
    /// Shares of a processor that the daemons beside them have; they take them in turn.
    #[serde(default = "whole")]
    pub shares: Vec<f64>,
    /// How long an upstream is cold after its start, in seconds.
    #[serde(default)]
    pub cold_s: f64,
    /// How much longer calls take meanwhile.
    #[serde(default = "one")]
    pub cold_x: f64,
}

/// Calls of one kind.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// The service that serves them.
    pub service: String,
    /// New callers a second; zero for kinds that only upstreams call.
    #[serde(default)]
    pub per_s: f64,
    /// Mean time at an upstream of speed one, in milliseconds.
    pub work_ms: f64,
    /// Standard deviation of the logarithm of that time.
    pub spread: f64,
    /// Share of the calls that take `tail_x` times as long.
    #[serde(default)]
    pub tail: f64,
    /// See `tail`.
    #[serde(default = "one")]
    pub tail_x: f64,
    /// Time within which an answer is worth most, in milliseconds.
    pub objective_ms: f64,
    /// How long callers wait at the most, in milliseconds.
    pub deadline_ms: f64,
    /// The rank, zero the most urgent.
    pub rank: u8,
    /// Whether it may run twice.
    #[serde(default)]
    pub repeatable: bool,
    /// What an answer in time is worth.
    #[serde(default)]
    pub worth: f64,
    /// What a late one is worth.
    #[serde(default)]
    pub late_worth: f64,
    /// How often a caller comes back.
    #[serde(default)]
    pub retries: u32,
    /// Calls that an upstream makes while it runs one.
    pub calls: Option<Nested>,
}

/// Calls that an upstream makes, all at once and at the end of its work: what it did is
/// lost if one of them is.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Nested {
    /// Their kind.
    pub kind: String,
    /// How many.
    pub times: u32,
    /// Share of the calls whose upstream makes them.
    pub share: f64,
}

/// What goes wrong for a time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// When it begins, in seconds.
    pub at_s: f64,
    /// How long it lasts, in seconds.
    pub for_s: f64,
    /// What it is.
    pub what: What,
    /// The service whose upstreams it meets; all if left out.
    pub service: Option<String>,
    /// Share of the upstreams that it meets.
    #[serde(default = "one")]
    pub share: f64,
    /// How strong it is; see [`What`].
    #[serde(default = "one")]
    pub x: f64,
}

/// Kinds of trouble.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// `x` times as many new callers.
    Burst,
    /// Upstreams refuse a share `x` of the calls, full or not.
    Refuse,
    /// Upstreams answer a share `x` of the calls with a failure.
    Fail,
    /// Upstreams run a share `x` of the calls and lose the answer.
    Lose,
    /// Calls take `x` times as long.
    Slow,
    /// Upstreams cannot be reached, then start again cold.
    Down,
    /// The same for whole hosts: their daemons start again and know nothing.
    Restart,
    /// A share of the callers leaves after half of its objective.
    Leave,
    /// A share of the callers comes back at once, `x` times as often.
    Impatient,
}

/// Why a deployment cannot be played.
#[derive(Debug)]
pub enum DeploymentError {
    /// The file cannot be read.
    Unreadable(std::io::Error),
    /// It is no TOML of this form.
    Malformed(toml::de::Error),
    /// It names something that is not there.
    Unknown { what: &'static str, name: String },
    /// A list has not one entry for each failure domain.
    Domains { service: String },
}

impl fmt::Display for DeploymentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DeploymentError::Unreadable(err) => write!(f, "cannot be read: {err}"),
            DeploymentError::Malformed(err) => write!(f, "{err}"),
            DeploymentError::Unknown { what, name } => write!(f, "no {what} named {name:?}"),
            DeploymentError::Domains { service } => {
                write!(f, "service {service:?}: one number of upstreams for each domain is needed")
            }
        }
    }
}

impl std::error::Error for DeploymentError {}

impl Deployment {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
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
            self.must_have_service(&kind.service)?;
            if let Some(nested) = &kind.calls {
                let known = self.kind.contains_key(&nested.kind);
                let unknown =
                    || DeploymentError::Unknown { what: "kind", name: nested.kind.clone() };
                known.then_some(()).ok_or_else(unknown)?;
            }
        }
        let named = self.trouble.iter().filter_map(|trouble| trouble.service.as_ref());
        named.into_iter().try_for_each(|service| self.must_have_service(service))
    }

    fn must_have_service(&self, name: &str) -> Result<(), DeploymentError> {
        match self.service.contains_key(name) {
            true => Ok(()),
            false => Err(DeploymentError::Unknown { what: "service", name: name.to_string() }),
        }
    }
}

impl Kind {
    /// Returns its rank as the product's.
    pub fn priority(&self) -> Priority {
        Priority(self.rank)
    }
}

fn whole() -> Vec<f64> {
    vec![1.0]
}

fn one() -> f64 {
    1.0
}
