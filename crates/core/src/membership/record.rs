//! One daemon's description of itself and its upstreams.

use crate::ids::{HostKey, Incarnation};
use crate::rollout::Stage;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What others believe of a daemon.
///
/// The order matters: at equal life and sequence the later state wins, so that
/// a suspicion is answered only by the owner raising its sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Health {
    /// Answers probes.
    Alive,
    /// Missed a probe and its indirect probes.
    Suspect,
    /// Stops soon by its own will; gets no new work.
    Leaving,
    /// Stopped, or suspected for too long.
    Dead,
}

/// What an upstream says of its readiness.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Readiness {
    /// Takes work.
    Ready,
    /// Takes little work at first.
    Cold,
    /// Finishes its work and takes no more.
    Draining,
}

/// An upstream instance on the daemon's host.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Endpoint {
    /// The instance's name, unique in its service.
    pub instance: String,
    /// The service it serves.
    pub service: String,
    /// Version of its software; empty where it is not told.
    pub version: String,
    /// Calls it runs at once.
    pub slots: u16,
    /// Whether it takes work.
    pub readiness: Readiness,
}

/// What one daemon says of itself; a newer one replaces it whole.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Key of `name`.
    pub host: HostKey,
    /// The host's name, for people.
    pub name: String,
    /// The failure domain's name.
    pub domain: String,
    /// Which life of the daemon speaks.
    pub life: Incarnation,
    /// Raised by the owner with each change.
    pub seq: u64,
    /// Belief about the owner.
    pub health: Health,
    /// Mesh address inside the failure domain.
    pub near: SocketAddr,
    /// Mesh address for other failure domains.
    pub far: SocketAddr,
    /// Kilobits a second that the host's link carries; zero where it is not told.
    pub link_kbps: u32,
    /// Whether the owner holds its domain's reader lease, as it last knew.
    pub reader: bool,
    /// Upstreams on the host.
    pub endpoints: Vec<Endpoint>,
    /// Rollouts under way or ended, as far as the owner tells others of them.
    pub rollouts: Vec<Stage>,
}

impl Record {
    /// Returns the rank by which records of one host replace each other.
    ///
    /// Failure: records cross on their way, or a dead life's record arrives
    /// last. Symptom: calls go to an upstream that left. The order is total and
    /// the same everywhere, so every daemon ends at the same record whatever
    /// the order of arrival.
    pub fn rank(&self) -> (Incarnation, u64, Health) {
        (self.life, self.seq, self.health)
    }

    /// Returns whether the daemon is believed to run.
    pub fn is_live(&self) -> bool {
        matches!(self.health, Health::Alive | Health::Suspect | Health::Leaving)
    }
}
