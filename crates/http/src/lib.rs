//! HTTP/1.1 over smol, for the daemon, its tools and its test servers.
//!
//! [hyper] implements the protocol; this crate owns the sockets around it.
//! [`server`] accepts connections within limits and stops without cutting off
//! requests. [`ahead`] serves several pipelined requests of one connection at the
//! same time. [`client`] pools connections and reports for every failure whether a
//! byte of the request may have been sent, since only an unsent request is certain
//! not to have run; [`answer`] has the checks of answers that hyper does not make. [`exec`] is the executor of the process, and [`reactor`] its sockets
//! and timers.

mod activity;
pub mod ahead;
pub mod answer;
pub mod body;
pub mod client;
pub mod exec;
mod fair;
mod head_lines;
pub mod keep_alive;
pub mod reactor;
pub mod server;
mod socket;

pub use {hyper, log};
