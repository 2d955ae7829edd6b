//! Stand-ins for what cicadashift meets: the platform, upstreams, callers, and
//! the way between failure domains.
//!
//! They are small, live in memory, speak the published protocols over loopback
//! and can be told to fail in every way the brief names. They count what
//! happened to them, so that no test has to believe the daemon's own word.

pub mod caller;
pub mod fleet;
pub mod hosted;
pub mod link;
pub mod mesh;
pub mod platform;
pub mod ports;
pub mod upstream;
