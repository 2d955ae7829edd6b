//! Simulations of the environment of cicadashift: the platform, upstreams, callers, and
//! the links between failure domains.
//!
//! They keep their state in memory, speak the published protocols over loopback, and can
//! inject every fault that the requirements list. They record the requests that they
//! receive, so that tests do not depend on the reports of the daemons.

pub mod caller;
pub mod fleet;
pub mod hosted;
pub mod link;
pub mod mesh;
pub mod mesh_link;
pub mod platform;
pub mod ports;
pub mod upstream;
