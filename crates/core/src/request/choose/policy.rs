//! Which decisions of a picker are in force.

use serde::{Deserialize, Serialize};

/// The decisions of a picker, each of which can be switched off.
///
/// The experiment `policy` takes one out at a time to show what it is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Compare candidates by expected time; off: a random one.
    pub compare: bool,
    /// Prefer the own failure domain.
    pub prefer_near: bool,
    /// Weigh observed latency, not only outstanding calls.
    pub latency: bool,
    /// Use load hints from answers.
    pub hints: bool,
    /// Set failing upstreams aside.
    pub eject: bool,
    /// Give an upstream without a recent answer little.
    pub unproven: bool,
    /// Stay away from an upstream for the time it asked for.
    pub back_off: bool,
    /// Choose among a part of a large failure domain.
    pub subset: bool,
    /// Count the share of calls that an upstream refuses, as its host tells.
    pub refusals: bool,
}

impl Policy {
    /// All of it.
    pub const ALL: Policy = Policy {
        compare: true,
        prefer_near: true,
        latency: true,
        hints: true,
        eject: true,
        unproven: true,
        back_off: true,
        subset: true,
        refusals: true,
    };
}

impl Default for Policy {
    fn default() -> Policy {
        Policy::ALL
    }
}
