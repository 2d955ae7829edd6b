//! Which upstream an entry daemon sends a call to.
//!
//! Each service has a [`Picker`]. It compares a few candidates of the own failure
//! domain by the time in which the call would be answered there, and looks at
//! other domains when the best of them cannot answer within the call's objective
//! or has no free slot. A few, from a random place on, keep load even and, unlike
//! the best of all, do not send every entry daemon to the same upstream on the
//! same stale hint. Two are too few where several of four are cold: both are then
//! bad too often. `docs/DESIGN.md`, "Choice", has the table.
//!
//! Upstreams of one service differ in speed, and kinds of calls in length. The
//! expected time is the kind's mean over the service times the upstream's speed,
//! so that what one kind of call taught about an upstream holds for the others.
//!
//! What was observed outranks what was claimed: an upstream's reported load is
//! used only while it is fresh, and its reported health never at all.
//!
//! # Limits
//!
//! Entry daemons do not know of each other's calls until an answer brings the
//! upstream's load. The exit daemon's gate makes up for that.

mod cost;
mod kinds;
mod observe;
mod picker;
mod policy;
mod upstream;

pub use picker::Picker;
pub use policy::Policy;

use super::gate::KindKey;
use crate::config::Priority;
use crate::ids::HostKey;
use crate::membership::record::Readiness;
use std::time::Duration;

/// One way to another failure domain and back.
pub const CROSS_DOMAIN_RTT: Duration = Duration::from_millis(3);

/// Position of an upstream in its [`Picker`]'s arena; used again only after the
/// upstream has left and its last call has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamKey(pub u32);

/// Where an upstream is, as seen from an entry daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Locality {
    /// On the same host: no hop, and its answers leave by the same link as any.
    SameHost,
    /// On another host of the failure domain.
    SameDomain,
    /// In another failure domain.
    OtherDomain,
}

/// What membership says of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamInfo {
    /// The host whose daemon admits to it.
    pub host: HostKey,
    /// The instance's name.
    pub instance: String,
    /// Where it is, as seen from the entry daemon.
    pub locality: Locality,
    /// Calls it runs at once.
    pub slots: u16,
    /// Whether it takes work.
    pub readiness: Readiness,
    /// Whether its host is suspected; it is then tried only as a last resort.
    pub host_suspected: bool,
}

/// Why an upstream was chosen; goes into the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The best candidate in the own failure domain.
    Near,
    /// The own failure domain has no free slot or is much slower.
    Spill,
    /// The own failure domain has no upstream that takes work.
    NoneNear,
    /// All are set aside, so the one whose time ends first is tried.
    LastResort,
    /// All that are not set aside named limits; this one has a token in time.
    NextToken,
}

/// A chosen upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Where to send.
    pub key: UpstreamKey,
    /// Why.
    pub reason: Reason,
}

/// What the daemon beside an upstream tells of it, in each answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Calls at the upstream and waiting for it.
    pub load: Option<u16>,
    /// Share of the calls sent to it that it takes.
    pub accept_ratio: Option<f64>,
    /// After what time to ask it again, where it names a limit.
    pub next_token: Option<Duration>,
}

/// How an attempt at an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// A whole answer: the time that the upstream took for it, the time that it
    /// took from here, and what was told beside it.
    Answered { service: Duration, total: Duration, report: LoadReport },
    /// A whole answer that says that the upstream failed.
    ErrorAnswer,
    /// Refused as not run.
    Refused { retry_after: Duration, report: LoadReport },
    /// Not taken since it would have had to wait; there may be room elsewhere.
    Full { report: LoadReport },
    /// Refused as not run, since its large answer could not leave the host in
    /// time; the upstream itself may have room.
    LinkBusy,
    /// Not taken since another version is to serve; what one daemon has heard of the
    /// rollout says nothing of its upstream.
    HeldBack,
    /// Certainly not run, since the host could not be reached.
    Unreached,
    /// No whole answer.
    Failed,
    /// The caller left.
    Cancelled,
}

/// What a call asks of a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Its kind.
    pub kind: KindKey,
    /// Its rank.
    pub priority: Priority,
    /// What is left of the time in which an answer is worth most.
    pub objective: Duration,
}
