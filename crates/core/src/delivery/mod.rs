//! How an accepted version comes into force, and never goes back.
//!
//! A version passes through four states on a proxy: *offered* (its root's hash
//! is known), *held* (every object it selects is here, checked and compiled),
//! *promised* (the witnesses of the failure domain will name it to anyone who
//! lost memory) and *active* (a majority of witnesses promised it, so it may be
//! run). [`node`] decides those states for one daemon, [`witness`] counts the
//! promises, [`promotion`] decides for a reader when to go on to the next one,
//! [`tree`] says who relays to whom, [`head`] keeps the total order in the
//! platform, [`store`] keeps objects, and [`stage`] finds what is missing.
//!
//! # Why promises
//!
//! Hosts keep nothing. A daemon that restarts must still not run an older
//! version than its earlier lives did. While the platform answers, its head is
//! such a bound: nobody runs more than the head. While it does not, the bound
//! comes from the witnesses: a few ordinary daemons that the settings name. A
//! version is run only after a majority of them promised it, and a fresh daemon
//! asks a majority, so at least one asked witness knows every version that was
//! ever run in the domain. No clock and no lease is part of the argument;
//! `spec/` explores it exhaustively and `docs/DESIGN.md`, "The floor", weighs
//! it against leases.
//!
//! # Limits
//!
//! When the platform cannot be reached through anybody and a majority of the
//! witnesses lost their memory as well, a fresh daemon refuses calls. That is
//! the intended answer: serving from an older version must not happen.

pub mod garbage;
pub mod head;
pub mod node;
pub mod promotion;
pub mod stage;
pub mod store;
pub mod tree;
pub mod witness;
