//! How an accepted version comes into force, without ever going back to an older one.
//!
//! A version passes through four states on a proxy: *offered* (the hash of its
//! root is known), *staged* (every object that the proxy needs is present, checked and
//! compiled), *promised* (the witnesses of the failure domain will report it to a
//! daemon that has restarted) and *active* (a majority of witnesses promised it,
//! so it may be run). [`node`] is the state machine of one daemon, [`witness`]
//! counts the promises, [`promotion`] decides for a reader when a version moves
//! to the next state, [`tree`] determines which hosts relay to which, [`head`]
//! defines the total order of versions that the platform stores, [`store`] keeps
//! objects, [`stage`] finds missing objects, and [`garbage`] finds objects that
//! can be deleted from the platform.
//!
//! # Why promises
//!
//! Hosts keep no state across restarts. A daemon that restarts must still not run an
//! older version than its earlier incarnations did; the version below which it
//! must not go is its *floor*. While the platform answers, its head can serve as
//! the floor, because no daemon runs a version above the head. While the
//! platform does not answer, the floor comes from the witnesses, a few ordinary
//! daemons listed in the settings. A version is run only after a majority of the
//! witnesses promised it, and a fresh daemon asks a majority, so at least one of
//! the witnesses it asks knows every version that was ever run in the failure
//! domain. The argument relies on neither clocks nor leases; `spec/` explores it
//! exhaustively and `docs/DESIGN.md`, "The floor", compares it with leases.
//!
//! # Limits
//!
//! If no reachable daemon can reach the platform and a majority of the witnesses
//! have lost their state as well, a fresh daemon refuses calls. This is
//! intended: calls must never be served from an older version.

pub mod garbage;
pub mod head;
pub mod node;
pub mod promotion;
pub mod stage;
pub mod store;
pub mod tree;
pub mod witness;
