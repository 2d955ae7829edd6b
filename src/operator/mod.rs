//! The operators' client: what changes the configuration, and what shows it.
//!
//! Changes go to the platform by compare-and-swap ([`change`]); what is in force
//! is asked of a daemon ([`fleet`], [`organisations`], [`quarantine`], [`rollouts`]); the
//! delivery record is read from the platform ([`record`]). [`crate::cli`] turns the command line into calls here.

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

/// Why a command is refused or not done.
#[derive(Debug)]
pub enum OperatorError {
    /// The input is not valid.
    Invalid { file: String, why: Invalid },
    /// A file cannot be read or written.
    File { path: String, why: String },
    /// The change cannot take effect.
    Refused(Refused),
    /// The platform did not do it.
    Platform(PlatformError),
    /// The platform holds something that is not ours, or is damaged.
    Damaged(String),
    /// Other operators were faster each time.
    Busy(u32),
    /// No daemon answered.
    NoDaemon(String),
    /// A value is larger than the platform takes.
    TooLarge(usize),
    /// There is no such thing.
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
            OperatorError::Platform(err) => {
                write!(f, "{err}; nothing more was tried, run the command again when it is back")
            }
            OperatorError::Damaged(what) => {
                write!(f, "the platform's {what} is damaged; see docs/OPERATIONS.md")
            }
            OperatorError::Busy(times) => {
                write!(f, "other operators were faster {times} times; run the command again")
            }
            OperatorError::NoDaemon(why) => {
                write!(f, "no daemon answered ({why}); name another with --daemon")
            }
            OperatorError::TooLarge(len) => {
                write!(f, "{len} bytes are over the platform's limit of a megabyte; split it")
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
