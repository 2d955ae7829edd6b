//! Switches for the decisions of a picker.

use serde::{Deserialize, Serialize};

/// The decisions of a picker, each of which can be switched off.
///
/// The experiment `policy` switches off one at a time to measure its effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Compare candidates by expected time; where off, a random one is chosen.
    pub compare: bool,
    /// Prefer the own failure domain.
    pub prefer_near: bool,
    /// Include observed latency in the cost, not only outstanding calls.
    pub latency: bool,
    /// Use the load reports in answers.
    pub hints: bool,
    /// Eject upstreams that fail.
    pub eject: bool,
    /// Assume few slots at an upstream without a recent answer.
    pub unproven: bool,
    /// Send no calls to an upstream for the time that its refusal asked for, up to a limit.
    pub back_off: bool,
    /// Choose from a subset of the upstreams of a large failure domain.
    pub subset: bool,
    /// Include the share of calls that an upstream refuses, by its load reports, in the cost.
    pub refusals: bool,
    /// Time hedged attempts by the distribution of a kind's times, where upstreams report the
    /// pace of their machines.
    pub quantiles: bool,
}

impl Policy {
    /// All decisions in force.
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
        quantiles: true,
    };
}

impl Default for Policy {
    fn default() -> Policy {
        Policy::ALL
    }
}
