//! Configurations as operators write them, and their processing on a proxy.
//!
//! [`Config`] is one labelled configuration. A [`Selector`] pairs
//! configurations with proxies. A [`manifest`] contains all configurations and
//! selectors of one version, [`select`] decides which configurations a proxy runs, and
//! [`compile`] turns these into the routing table that requests are matched against.
//! [`delta`] encodes the difference between two texts of a configuration.
//!
//! The same code validates a configuration twice: when an operator accepts it, and
//! on each proxy before the proxy holds a version, because a proxy must not trust its
//! peers or the platform to have kept the bytes intact.

pub mod compile;
pub mod delta;
pub mod manifest;
pub mod organisation;
pub mod route;
pub mod select;

pub use organisation::Organisation;
pub use route::{CallerLimits, Part, Priority, Route, RouteKind};

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Labels on a configuration or a proxy.
pub type Labels = BTreeMap<String, String>;

/// Largest configuration in bytes. A value on the platform holds at most a megabyte.
pub const MAX_CONFIG_BYTES: usize = 1_000_000;

/// Most routes of one configuration. At 64 bytes a route, a megabyte holds fewer routes
/// than this.
pub const MAX_ROUTES: usize = 16384;

/// Longest deadline a configuration may set, in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 600_000;

/// One labelled configuration, as an operator writes it in JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Name under which it is replaced and withdrawn.
    pub id: String,
    /// Labels that selectors match.
    #[serde(default)]
    pub labels: Labels,
    /// Routes, in any order: requests are matched against the most specific first.
    pub routes: Vec<Route>,
    /// Limits on callers. If several configurations set them, those of the last one by id
    /// apply.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limits: Option<CallerLimits>,
    /// Organisations that may send requests. If none of the selected configurations has
    /// this field, any caller may send requests without a key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisations: Option<Vec<Organisation>>,
}

/// Pairs configurations with the proxies that are to run them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Selector {
    /// Name under which it is replaced and removed.
    pub name: String,
    /// Labels that a configuration must have.
    #[serde(default)]
    pub configs: Labels,
    /// Labels that a proxy must have.
    #[serde(default)]
    pub proxies: Labels,
    /// Failure domains that a proxy may be in; empty matches any.
    #[serde(default)]
    pub domains: Vec<String>,
    /// Services of which a proxy's host must run at least one; empty matches any host.
    #[serde(default)]
    pub services: Vec<String>,
}

/// Reason for which a configuration or selector is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Invalid {
    /// The bytes are not the expected JSON; contains the parser's message.
    Json(String),
    /// The text is larger than [`MAX_CONFIG_BYTES`].
    TooLarge(usize),
    /// A name is empty, longer than 128 bytes or has characters outside `[A-Za-z0-9._-]`.
    Name { field: &'static str, value: String },
    /// There are no routes, or more than [`MAX_ROUTES`].
    RouteCount(usize),
    /// A prefix does not start with a slash or has `?`, `#`, `//` or `..`.
    Prefix(String),
    /// A method is not an upper-case token.
    Method(String),
    /// A deadline is zero or above [`MAX_DEADLINE_MS`].
    Deadline(u64),
    /// `objective_ms` is zero.
    Objective,
    /// `max_attempts` is zero.
    Attempts,
    /// There are too many weighted parts, or their total weight is zero.
    Parts(String),
    /// Two organisations have this name.
    DuplicateOrganisation(String),
    /// A key of this organisation is empty, too long, or has a space or another character
    /// that is not printable ASCII.
    ApiKey(String),
    /// Two organisations have the same key.
    SharedKey { first: String, second: String },
    /// Two routes of one proxy match exactly the same requests.
    DuplicateRoute { prefix: String, first: String, second: String },
    /// No upstream has announced the service.
    UnknownService { config: String, service: String },
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Invalid::Json(err) => write!(f, "not a valid document: {err}"),
            Invalid::TooLarge(len) => {
                write!(f, "{len} bytes is over the limit of {MAX_CONFIG_BYTES}")
            }
            Invalid::Name { field, value } => write!(
                f,
                "field `{field}`: {value:?} must be 1 to 128 letters, digits, '.', '_' or '-'"
            ),
            Invalid::RouteCount(n) => write!(f, "{n} routes; give 1 to {MAX_ROUTES}"),
            Invalid::Prefix(prefix) => {
                write!(f, "prefix {prefix:?} must start with '/' and hold no '?', '#', '//', '..'")
            }
            Invalid::Method(method) => write!(f, "method {method:?} must be upper-case letters"),
            Invalid::Deadline(ms) => {
                write!(f, "deadline_ms {ms} must be 1 to {MAX_DEADLINE_MS}")
            }
            Invalid::Objective => write!(f, "objective_ms must be at least 1"),
            Invalid::Attempts => write!(f, "max_attempts must be at least 1"),
            Invalid::Parts(prefix) => {
                write!(f, "prefix {prefix:?} must have 1 to 32 parts with a total weight above 0")
            }
            Invalid::DuplicateOrganisation(name) => {
                write!(f, "two organisations are called {name:?}")
            }
            Invalid::ApiKey(name) => write!(
                f,
                "a key of organisation {name:?} must be 1 to {} printable characters",
                organisation::MAX_KEY_BYTES
            ),
            Invalid::SharedKey { first, second } => {
                write!(f, "organisations {first:?} and {second:?} hold the same key")
            }
            Invalid::DuplicateRoute { prefix, first, second } => write!(
                f,
                "configurations {first:?} and {second:?} both route {prefix:?} on the same proxy"
            ),
            Invalid::UnknownService { config, service } => write!(
                f,
                "configuration {config:?} routes to service {service:?}, which no upstream has announced"
            ),
        }
    }
}

impl std::error::Error for Invalid {}

impl Config {
    /// Parses and checks the text of one configuration.
    ///
    /// # Errors
    ///
    /// Returns the first [`Invalid`] found. Invalid fields are never corrected.
    pub fn parse(buf: &[u8]) -> Result<Config, Invalid> {
        if buf.len() > MAX_CONFIG_BYTES {
            return Err(Invalid::TooLarge(buf.len()));
        }
        let cfg: Config =
            serde_json::from_slice(buf).map_err(|err| Invalid::Json(err.to_string()))?;
        cfg.check()?;
        Ok(cfg)
    }

    /// Checks the constraints that deserialization does not enforce.
    ///
    /// # Errors
    ///
    /// Returns the first [`Invalid`] found.
    pub fn check(&self) -> Result<(), Invalid> {
        check_name("id", &self.id)?;
        check_labels(&self.labels)?;
        if self.routes.is_empty() || self.routes.len() > MAX_ROUTES {
            return Err(Invalid::RouteCount(self.routes.len()));
        }
        self.organisations.iter().flatten().try_for_each(Organisation::check)?;
        self.routes.iter().try_for_each(Route::check)
    }
}

impl Selector {
    /// Parses and checks the text of one selector.
    ///
    /// # Errors
    ///
    /// Returns the first [`Invalid`] found.
    pub fn parse(buf: &[u8]) -> Result<Selector, Invalid> {
        let selector: Selector =
            serde_json::from_slice(buf).map_err(|err| Invalid::Json(err.to_string()))?;
        selector.check()?;
        Ok(selector)
    }

    /// Checks every name in the selector: its own, labels, failure domains and services.
    ///
    /// # Errors
    ///
    /// Returns the first [`Invalid`] found.
    pub fn check(&self) -> Result<(), Invalid> {
        check_name("name", &self.name)?;
        check_labels(&self.configs)?;
        check_labels(&self.proxies)?;
        for domain in &self.domains {
            check_name("domains", domain)?;
        }
        for service in &self.services {
            check_name("services", service)?;
        }
        Ok(())
    }
}

/// Checks the keys and values of a label set.
///
/// # Errors
///
/// Returns [`Invalid::Name`] for the first key or value that [`check_name`] rejects.
pub fn check_labels(labels: &Labels) -> Result<(), Invalid> {
    for (key, value) in labels {
        check_name("labels", key)?;
        check_name("labels", value)?;
    }
    Ok(())
}

/// Checks the length and the characters of a name; the same rule applies to all names.
///
/// # Errors
///
/// Returns [`Invalid::Name`] with `field` and the name.
pub fn check_name(field: &'static str, value: &str) -> Result<(), Invalid> {
    let length_ok = (1..=128).contains(&value.len());
    let chars_ok = value.bytes().all(|b| b.is_ascii_alphanumeric() || b"._-".contains(&b));
    if length_ok && chars_ok {
        Ok(())
    } else {
        Err(Invalid::Name { field, value: value.to_string() })
    }
}
