//! Load balancing: which upstream an entry daemon sends a call to.
//!
//! Each service has a [`Picker`]. It compares a few candidates of its own failure domain
//! by the expected time of the call, and considers other domains when the best candidate
//! cannot answer within the call's objective or has no free slot. Sampling a few
//! candidates from a random index on spreads load evenly; comparing all of them would
//! send every entry daemon to the same upstream on the same stale load hint. Two
//! candidates are too few where several of four upstreams are cold: too often both are.
//! `docs/DESIGN.md`, "Choice", has the table.
//!
//! Upstreams of one service differ in speed, and kinds of calls in length. The expected
//! time is the mean of the kind over the service, multiplied by the relative time of the
//! upstream, so that observations from one kind of call apply to the others.
//!
//! Observations take precedence over reports: an upstream's reported load is used only
//! while it is fresh, and its reported health is never used.
//!
//! # Limits
//!
//! An entry daemon learns of the calls of other entry daemons only from the load report in
//! an answer. The admission control of the exit daemon compensates for that.

mod cost;
mod histogram;
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
use crate::request::machine::PaceReport;
use std::time::Duration;

/// Round-trip time to another failure domain.
pub const CROSS_DOMAIN_RTT: Duration = Duration::from_millis(3);

/// Index of an upstream in the arena of its [`Picker`]. It is reused only after the
/// upstream has left and its last call has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamKey(pub u32);

/// Distance of an upstream from the entry daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Locality {
    /// On the same host: no network hop, and answers use this host's link as those of any
    /// upstream do.
    SameHost,
    /// On another host of the same failure domain.
    SameDomain,
    /// In another failure domain.
    OtherDomain,
}

/// An upstream as membership describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamInfo {
    /// The host of the upstream, whose daemon admits calls to it.
    pub host: HostKey,
    /// The instance's name.
    pub instance: String,
    /// Distance from the entry daemon.
    pub locality: Locality,
    /// Number of calls that it runs at once.
    pub slots: u16,
    /// Whether it accepts calls.
    pub readiness: Readiness,
    /// Whether the failure detector suspects its host; the upstream is then tried only as a
    /// last resort.
    pub host_suspected: bool,
}

/// Why an upstream was chosen, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Best candidate of the own failure domain.
    Near,
    /// The own failure domain has no free slot or is much slower than another.
    Spill,
    /// The own failure domain has no available upstream.
    NoneNear,
    /// All upstreams are ejected or on suspected hosts; the one whose ejection ends first
    /// is tried.
    LastResort,
    /// No upstream can take the call now; this one named a rate limit and has a token in
    /// time.
    NextToken,
}

/// A chosen upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The upstream.
    pub key: UpstreamKey,
    /// Why it was chosen.
    pub reason: Reason,
}

/// Load report of an upstream, sent by the daemon on its host with each answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Calls that run at the upstream or wait for a slot.
    pub load: Option<u16>,
    /// Share of the calls sent to the upstream that it accepts.
    pub accept_ratio: Option<f64>,
    /// Time until the next token, where the upstream names a rate limit.
    pub next_token: Option<Duration>,
    /// Pace of its machine, where the upstream reports one and its last report is fresh.
    pub pace: Option<PaceReport>,
}

/// How an attempt at an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// A complete answer, with the time that the upstream took, the time that this daemon
    /// waited for it, and the load report.
    Answered { service: Duration, total: Duration, report: LoadReport },
    /// A complete answer that reports a failure of the upstream.
    ErrorAnswer,
    /// Refused; the call was not run.
    Refused { retry_after: Duration, report: LoadReport },
    /// Not admitted since the call would have had to wait; another upstream may have a free
    /// slot.
    Full { report: LoadReport },
    /// Not admitted since the upstream's machine is slow at the moment.
    SlowHost { report: LoadReport },
    /// Refused and not run, since the host's link could not carry the large answer in time;
    /// the upstream itself may have a free slot.
    LinkBusy,
    /// Not admitted since a rollout assigns the call to another version. This depends on
    /// what the exit daemon knows of the rollout and says nothing about the upstream.
    HeldBack,
    /// Not run, since the host could not be reached.
    Unreached,
    /// No complete answer.
    Failed,
    /// The caller disconnected.
    Cancelled,
}

impl Outcome {
    /// Returns the load report, if the outcome has one.
    fn report(&self) -> Option<&LoadReport> {
        match self {
            Outcome::Answered { report, .. }
            | Outcome::Refused { report, .. }
            | Outcome::Full { report }
            | Outcome::SlowHost { report } => Some(report),
            Outcome::ErrorAnswer
            | Outcome::LinkBusy
            | Outcome::HeldBack
            | Outcome::Unreached
            | Outcome::Failed
            | Outcome::Cancelled => None,
        }
    }
}

/// The properties of a call that the choice depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Kind of the call.
    pub kind: KindKey,
    /// Priority of the call.
    pub priority: Priority,
    /// Time left until the objective of the call, after which an answer is worth less.
    pub objective: Duration,
}
