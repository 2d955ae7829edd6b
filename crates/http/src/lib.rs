//! HTTP/1.1 over smol, as the daemon and its stand-ins use it.
//!
//! [hyper] does the protocol; this crate owns the sockets around it. [`server`]
//! accepts with limits and stops without cutting a request; [`ahead`] lets several
//! requests of one connection be worked on at once. [`client`] keeps
//! connections for reuse and says of every failure whether a byte of the request
//! may have left, because "not run" hangs on it. [`exec`] is the one executor.

mod activity;
pub mod ahead;
pub mod body;
pub mod client;
pub mod exec;
pub mod server;
mod socket;

pub use hyper;
