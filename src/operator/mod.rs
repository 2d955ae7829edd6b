//! The operators' client: changes the configuration and shows its state.
//!
//! Changes go to the platform by compare-and-swap ([`change`]). The state in force is
//! queried from a daemon ([`fleet`], [`organisations`], [`quarantine`], [`rollouts`]). The
//! delivery record is read from the platform ([`record`]). [`crate::cli`] turns the command
//! line into calls of this module.

pub mod change;
pub mod fleet;
pub mod organisations;
pub mod plan;
pub mod quarantine;
pub mod record;
pub mod report;
pub mod rollouts;

use crate::store::PlatformError;
use cicadashift_core::config::Invalid;
use cicadashift_core::delivery::head::Refused;
use std::fmt;

/// Reason why a command is refused or fails.
#[derive(Debug)]
pub enum OperatorError {
    /// The input is not valid.
    Invalid { file: String, why: Invalid },
    /// A file cannot be read or written.
    File { path: String, why: String },
    /// The operation does not take effect.
    Refused(Refused),
    /// A call to the platform has no result.
    Platform(PlatformError),
    /// A value on the platform is missing, damaged or not written by this program.
    Damaged(String),
    /// The change was not confirmed within this number of attempts.
    AttemptsExhausted(u32),
    /// No daemon answered.
    NoDaemon(String),
    /// A value of this many bytes is larger than the platform allows.
    TooLarge(usize),
    /// The named item does not exist.
    NotFound(String),
}

impl fmt::Display for OperatorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OperatorError::Invalid { file, why } => {
                write!(f, "{file}: {why}; nothing was changed, mend it and run again")
            }
            OperatorError::File { path, why } => write!(f, "{path}: {why}"),
            OperatorError::Refused(refused) => write!(f, "{refused}"),
            OperatorError::Platform(PlatformError::NoAddress) => {
                write!(f, "{}", PlatformError::NoAddress)
            }
            OperatorError::Platform(err) => write!(
                f,
                "{err}; no further attempt was made, run the command again when the platform is \
                 available"
            ),
            OperatorError::Damaged(what) => {
                write!(f, "the platform's {what} is damaged; see docs/OPERATIONS.md")
            }
            OperatorError::AttemptsExhausted(attempts) => write!(
                f,
                "the change was not confirmed in {attempts} attempts, since other operators made \
                 changes at the same time or the platform was unavailable; run the command again"
            ),
            OperatorError::NoDaemon(why) => {
                write!(f, "no daemon answered ({why}); name another with --daemon")
            }
            OperatorError::TooLarge(len) => {
                write!(f, "a value of {len} bytes is over the platform's limit of 1 MiB; split it")
            }
            OperatorError::NotFound(what) => {
                write!(f, "{what} does not exist; `list` shows what does")
            }
        }
    }
}

impl std::error::Error for OperatorError {}

impl From<PlatformError> for OperatorError {
    fn from(err: PlatformError) -> OperatorError {
        OperatorError::Platform(err)
    }
}

impl From<Refused> for OperatorError {
    fn from(refused: Refused) -> OperatorError {
        OperatorError::Refused(refused)
    }
}
