//! Membership of the mesh: the daemons and the upstreams on their hosts.
//!
//! Each daemon describes itself in one [`record::Record`], which also lists
//! the upstreams on its host. Records spread inside a failure domain by gossip
//! ([`gossip`]), and between domains through one gateway per domain, which
//! transfers the changes in a journal ([`table`]). [`detector`] probes a constant
//! number of members per period, however many there are.
//!
//! [`departures`] are the upstreams that are leaving, which all daemons remember,
//! [`restoration`] is how a daemon that starts learns of them, and [`reports`] and [`silence`]
//! judge what a daemon knows of the upstream on its host.
//!
//! No decision about correctness relies on membership: a wrong view costs latency
//! or a refused call. It never activates a wrong version, which [`crate::delivery`]
//! prevents, and never runs a call twice, which [`crate::request`] prevents.
//!
//! # Limits
//!
//! Every record of a failure domain reaches each of its members, whether or not
//! the member's routes name the service: gossip scoped by service would need as
//! many groups as there are services. `docs/CAPACITY.md` lists the cost in bytes.

pub mod departures;
pub mod detector;
pub mod gossip;
pub mod liveness;
pub mod record;
pub mod reports;
pub mod restoration;
pub mod silence;
pub mod table;
