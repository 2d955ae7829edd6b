//! What operators write, and what a proxy makes of it.
//!
//! [`Config`] is one labelled configuration. A [`Selector`] pairs
//! configurations with proxies. A [`manifest`] holds all of them for one
//! version, [`select`] answers which of them reach a proxy, and [`compile`]
//! turns those into the table that requests are matched against. A [`delta`] is what
//! differs between two texts of a configuration.
//!
//! Validation happens twice with the same code: when an operator accepts, and
//! on each proxy before it holds a version, because a proxy must not trust that
//! its peers or the platform kept the bytes whole.

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

/// Largest configuration in bytes; the platform's values end at a megabyte.
pub const MAX_CONFIG_BYTES: usize = 1_000_000;

/// Most routes of one configuration: a megabyte holds fewer than this at 64 bytes a
/// route.
pub const MAX_ROUTES: usize = 16384;

/// Longest deadline a configuration may set, in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 600_000;

/// One labelled configuration, as an operator writes it in JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Name under which it is replaced and withdrawn.
    pub id: String,
    /// What selectors match.
    #[serde(default)]
    pub labels: Labels,
    /// Tried most specific first, whatever their order here.
    pub routes: Vec<Route>,
    /// Bounds on callers; where several configurations set them, the last by id.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limits: Option<CallerLimits>,
    /// Who may ask; where none of the selected configurations has this field, anybody
    /// may, without a key.
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
    /// Failure domains reached; empty reaches all.
    #[serde(default)]
    pub domains: Vec<String>,
    /// Services a proxy's host must run one of; empty asks for none.
    #[serde(default)]
    pub services: Vec<String>,
}

/// Why a configuration or selector is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Invalid {
    /// The bytes are not the expected JSON; carries the parser's words.
    Json(String),
    /// The text is larger than [`MAX_CONFIG_BYTES`].
    TooLarge(usize),
    /// A name is empty, too long or has characters outside `[A-Za-z0-9._-]`.
    Name { field: &'static str, value: String },
    /// There are no routes, or more than [`MAX_ROUTES`].
    RouteCount(usize),
    /// A prefix does not start with a slash or has `?`, `#`, `//` or `..`.
    Prefix(String),
    /// A method is not an upper-case token.
    Method(String),
    /// A deadline is zero or above [`MAX_DEADLINE_MS`].
    Deadline(u64),
    /// The time of best worth is zero.
    Objective,
    /// No upstream may be tried.
    Attempts,
    /// Weighted parts are too many or weigh nothing.
    Parts(String),
    /// Two organisations have this name.
    Organisation(String),
    /// A key of this organisation is empty, too long or has characters that no header
    /// value of one word has.
    Key(String),
    /// Two organisations hold one key.
    SharedKey { first: String, second: String },
    /// Two routes of one proxy match exactly the same requests.
    Duplicate { prefix: String, first: String, second: String },
    /// No upstream has announced the service.
    UnknownService { config: String, service: String },
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Invalid::Json(why) => write!(f, "not a valid document: {why}"),
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
                write!(f, "the parts of prefix {prefix:?} must be 1 to 32 with a weight over 0")
            }
            Invalid::Organisation(name) => write!(f, "two organisations are called {name:?}"),
            Invalid::Key(name) => write!(
                f,
                "a key of organisation {name:?} must be 1 to {} printable characters",
                organisation::MAX_KEY_BYTES
            ),
            Invalid::SharedKey { first, second } => {
                write!(f, "organisations {first:?} and {second:?} hold the same key")
            }
            Invalid::Duplicate { prefix, first, second } => write!(
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
    /// Returns the first [`Invalid`] found; nothing is repaired silently.
    pub fn parse(buf: &[u8]) -> Result<Config, Invalid> {
        if buf.len() > MAX_CONFIG_BYTES {
            return Err(Invalid::TooLarge(buf.len()));
        }
        let cfg: Config =
            serde_json::from_slice(buf).map_err(|err| Invalid::Json(err.to_string()))?;
        cfg.check()?;
        Ok(cfg)
    }

    /// Checks what the JSON grammar cannot say.
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

    /// Checks the names that the selector holds.
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

/// Checks keys and values of a label set.
///
/// # Errors
///
/// Returns [`Invalid::Name`] for the first key or value outside the alphabet.
pub fn check_labels(labels: &Labels) -> Result<(), Invalid> {
    for (key, value) in labels {
        check_name("labels", key)?;
        check_name("labels", value)?;
    }
    Ok(())
}

/// Checks one name against the alphabet that all names share.
///
/// # Errors
///
/// Returns [`Invalid::Name`] with the field given.
pub fn check_name(field: &'static str, value: &str) -> Result<(), Invalid> {
    let fits = (1..=128).contains(&value.len());
    let clean = value.bytes().all(|b| b.is_ascii_alphanumeric() || b"._-".contains(&b));
    if fits && clean { Ok(()) } else { Err(Invalid::Name { field, value: value.to_string() }) }
}
