//! cicadashift distributes configuration to the proxies of a service mesh, and
//! is those proxies.
//!
//! This crate is the façade: the daemon's edges, the operator's client, settings
//! and logs. The decisions are in `cicadashift-core`, free of I/O; start reading
//! there, and at `docs/DESIGN.md`.

pub mod cli;
pub mod clock;
pub mod daemon;
pub mod logging;
pub mod memory;
pub mod metrics;
pub mod operator;
pub mod settings;
pub mod store;
