//! cicadashift distributes configuration to the proxies of a service mesh, and
//! implements those proxies.
//!
//! This crate holds the I/O of the daemon, the operator's client, settings and logging.
//! The decisions are in `cicadashift-core`, which does no I/O; start reading there, and
//! at `docs/DESIGN.md`.

pub mod cli;
pub mod clock;
pub mod daemon;
pub mod logging;
pub mod memory;
pub mod metrics;
pub mod operator;
pub mod settings;
pub mod store;
