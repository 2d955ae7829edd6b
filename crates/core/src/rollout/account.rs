//! How many calls an unproven version may get.
//!
//! The bound is one for the whole fleet: a share of all calls that reach the service while
//! the order stands, and a few more. It is kept by what is *granted*. The decider raises
//! the grant as calls to the service are reported, writes it to the store, and only then
//! deals it out among the canaries, whose own daemons count and stop. A decider that takes
//! over counts all that was granted as used.

/// What the operator allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Share of the service's calls.
    pub share: f64,
    /// Calls beside that share.
    pub slack: f64,
}

/// Part of the share that is granted. The rest is for calls that new upstreams got before
/// all daemons knew of the order: at a tenth of the fleet, those of two seconds in twelve.
const SHARE_GRANTED: f64 = 0.65;
/// Part of the calls beside the share that is granted, for the same reason.
const SLACK_GRANTED: f64 = 0.3;

/// What is granted and used of one order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Account {
    /// Calls that reached the service, as far as they were reported to deciders before.
    pub calls_before: u64,
    /// Calls granted to canaries by all deciders, as the store knows.
    pub granted: u64,
    /// Of these, granted by deciders before.
    pub granted_before: u64,
}

impl Account {
    /// Takes over what deciders before granted.
    pub fn taken_over(seen: u64, granted: u64) -> Account {
        Account { calls_before: seen, granted, granted_before: granted }
    }

    /// Takes over where nobody knows what deciders before granted: as if it were all that
    /// there ever will be to grant.
    pub fn with_unknown_grants() -> Account {
        Account { calls_before: 0, granted: u64::MAX, granted_before: u64::MAX }
    }

    /// Returns how many calls may be granted in all, where `seen` were reported to this
    /// decider.
    pub fn allowed(&self, bounds: Bounds, seen: u64) -> u64 {
        let all = (self.calls_before + seen) as f64;
        (bounds.share * SHARE_GRANTED * all + bounds.slack * SLACK_GRANTED) as u64
    }

    /// Returns how many calls canaries may still be sent, where `sent` were reported to
    /// this decider.
    pub fn left(&self, sent: u64) -> u64 {
        (self.granted - self.granted_before).saturating_sub(sent)
    }
}
