//! One daemon's description of itself and its upstreams.

use crate::ids::{HostKey, Incarnation};
use crate::rollout::Stage;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Health of a daemon, as other members see it.
///
/// The order matters: at equal incarnation and sequence the later state wins, so
/// that only the owner refutes a suspicion, by raising its sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Health {
    /// Answers probes.
    Alive,
    /// Answered neither a probe nor its indirect probes.
    Suspect,
    /// Is about to stop as intended; gets no new work.
    Leaving,
    /// Stopped, or suspected for too long.
    Dead,
}

/// Readiness that an upstream reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Readiness {
    /// Accepts work.
    Ready,
    /// Accepts little work at first.
    Cold,
    /// Finishes its work and accepts no more.
    Draining,
}

/// An upstream instance on the daemon's host.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Endpoint {
    /// The instance's name, unique within its service.
    pub instance: String,
    /// The service it serves.
    pub service: String,
    /// Version of its software; empty if unknown.
    pub version: String,
    /// Calls that it runs concurrently.
    pub slots: u16,
    /// Whether it accepts work.
    pub readiness: Readiness,
}

/// Description that a daemon publishes of itself; a newer record replaces an older one as a
/// whole.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Key of `name`.
    pub host: HostKey,
    /// The host's name, for display.
    pub name: String,
    /// The failure domain's name.
    pub domain: String,
    /// Incarnation of the daemon.
    pub life: Incarnation,
    /// Sequence number, raised by the owner with each change.
    pub seq: u64,
    /// Health of the owner, which other members may have changed.
    pub health: Health,
    /// Mesh address inside the failure domain.
    pub near: SocketAddr,
    /// Mesh address for other failure domains.
    pub far: SocketAddr,
    /// Bandwidth of the host's link in kilobits a second; zero if unknown.
    pub link_kbps: u32,
    /// Whether the owner holds its domain's reader lease, as far as it last knew.
    pub reader: bool,
    /// Upstreams on the host.
    pub endpoints: Vec<Endpoint>,
    /// Stages of active and ended rollouts that the owner publishes.
    pub rollouts: Vec<Stage>,
}

impl Record {
    /// Returns the rank by which records of one host replace each other.
    ///
    /// Failure: records arrive out of order, such as the record of an ended
    /// incarnation last. Symptom: calls go to an upstream that left. The order is
    /// total and the same everywhere, so every daemon ends up with the same record
    /// whatever the order of arrival.
    pub fn rank(&self) -> (Incarnation, u64, Health) {
        (self.life, self.seq, self.health)
    }

    /// Returns whether the daemon counts as running, which includes suspected and leaving
    /// daemons.
    pub fn is_live(&self) -> bool {
        matches!(self.health, Health::Alive | Health::Suspect | Health::Leaving)
    }
}
