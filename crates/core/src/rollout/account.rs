//! How many calls an unproven version may get.
//!
//! One bound holds for the whole fleet: a share of all calls that reach the service while
//! the order stands, and a fixed number of calls on top. The bound is enforced by what is
//! *granted*. The decider raises the grant as calls to the service are reported, writes it to
//! the store, and only then divides it among the canaries. The daemon beside each canary
//! counts the calls that it sends and stops at its quota. A decider that takes over treats
//! all earlier grants as used.

/// The operator's limits on the calls of an unproven version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Share of the service's calls.
    pub share: f64,
    /// Calls on top of that share.
    pub slack: f64,
}

/// Part of the share that is granted. The rest covers the calls that new upstreams get before
/// all daemons have received the order: with new upstreams on a tenth of the fleet, their
/// calls in two seconds of a rollout of twelve.
const SHARE_GRANTED: f64 = 0.65;
/// Part of the calls on top of the share that is granted, for the same reason.
const SLACK_GRANTED: f64 = 0.3;

/// Calls granted to the canaries of one order, and the reported calls that the grant is
/// computed from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Account {
    /// Calls that reached the service and were reported to earlier deciders.
    pub calls_before: u64,
    /// Calls granted to canaries by all deciders, as written to the store.
    pub granted: u64,
    /// The part of `granted` that earlier deciders granted.
    pub granted_before: u64,
}

impl Account {
    /// Returns the account of a decider that takes over, with all earlier grants used.
    pub fn taken_over(reported: u64, granted: u64) -> Account {
        Account { calls_before: reported, granted, granted_before: granted }
    }

    /// Returns the account of a decider that takes over without knowing the earlier grants.
    /// Nothing more can be granted from it.
    pub fn with_unknown_grants() -> Account {
        Account { calls_before: 0, granted: u64::MAX, granted_before: u64::MAX }
    }

    /// Returns how many calls may be granted in total, where `reported` calls were reported
    /// to this decider.
    pub fn grant_limit(&self, bounds: Bounds, reported: u64) -> u64 {
        let all_calls = (self.calls_before + reported) as f64;
        (bounds.share * SHARE_GRANTED * all_calls + bounds.slack * SLACK_GRANTED) as u64
    }

    /// Returns how many granted calls are left, where this decider has assigned `assigned` of
    /// them to canaries as quotas.
    pub fn remaining(&self, assigned: u64) -> u64 {
        (self.granted - self.granted_before).saturating_sub(assigned)
    }
}
