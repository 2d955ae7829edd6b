//! Who is there, and which upstreams they serve.
//!
//! Each daemon describes itself in one [`record::Record`], which also carries
//! the upstreams on its host. Records spread inside a failure domain by gossip
//! ([`gossip`]), and between domains through one gateway each, a journal of
//! changes at a time ([`table`]). [`detector`] probes a constant number of
//! members per period, whatever their number.
//!
//! Membership is information, not authority: a wrong view costs latency or a
//! refused call, never a wrong version (that is [`crate::delivery`]) and never a
//! second execution (that is [`crate::request`]).
//!
//! # Limits
//!
//! Records of a whole failure domain reach each of its members, whether or not
//! its routes name the service: gossip that is scoped would need as many
//! groups as there are services. `docs/CAPACITY.md` has the bytes this costs.

pub mod detector;
pub mod gossip;
pub mod liveness;
pub mod record;
pub mod table;
