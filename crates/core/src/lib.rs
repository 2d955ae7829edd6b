//! The decision logic of cicadashift, free of I/O.
//!
//! Every module of this crate takes events and the current time as arguments and
//! returns the actions to perform. No code reads a clock, opens a socket, starts a
//! thread or draws a random number. As a result, `tests/` can run the same code
//! through scripted failures and `spec/` can explore it exhaustively; see `docs/DESIGN.md`, "Decisions apart from I/O".
//!
//! The crate contains two pipelines. The configuration path is [`config`] and
//! [`delivery`]: select, compile, stage, promise, activate. The request path is
//! [`request`]: match, admit, choose, retry. Both use [`membership`], and
//! [`limit`] enforces the quotas that all daemons share.

pub mod config;
pub mod delivery;
pub mod ids;
pub mod limit;
pub mod membership;
pub mod request;
pub mod rollout;
