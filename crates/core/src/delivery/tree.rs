//! The tree along which hosts relay offers and activations.
//!
//! The sender splits the list of hosts to reach into at most [`FANOUT`] parts.
//! The first host of each part receives the message with the rest of its part,
//! and relays to that rest in the same way. The list travels with the message,
//! so that each host is reached once even if daemons differ in their views of
//! the membership.
//!
//! The fan-out bounds how much the reader sends; `docs/DESIGN.md`, "Relays",
//! gives the measurements behind the choice.

use crate::ids::{HostKey, Version};

/// Maximum number of hosts to which one daemon sends a message.
pub const FANOUT: usize = 8;

/// One host to send to, with the hosts to which it relays.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Branch {
    /// The host that receives the message.
    pub child: HostKey,
    /// The hosts to which the child relays.
    pub rest: Vec<HostKey>,
}

/// Splits a list of hosts into branches of nearly equal size.
pub fn branches(hosts: &[HostKey], fanout: usize) -> Vec<Branch> {
    let count = fanout.max(1).min(hosts.len());
    let mut out = Vec::with_capacity(count);
    let mut rest = hosts;
    for parts_left in (1..=count).rev() {
        let (part, after) = rest.split_at(rest.len().div_ceil(parts_left));
        rest = after;
        if let Some((child, below)) = part.split_first() {
            out.push(Branch { child: *child, rest: below.to_vec() });
        }
    }
    out
}

/// Orders hosts by rendezvous hash for one version.
///
/// The order differs between versions, which spreads the work of relaying over
/// the hosts, and needs no agreement between them.
pub fn order(hosts: &mut [HostKey], version: Version) {
    hosts.sort_by_key(|host| (mix(host.0 ^ mix(version)), *host));
}

/// Hashes a key with the finalizer of SplitMix64.
pub fn mix(mut x: u64) -> u64 {
    x ^= x >> 30;
    x = x.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x ^= x >> 27;
    x = x.wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
