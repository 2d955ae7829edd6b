//! The order of versions: racing operators, and answers that are lost.
//!
//! Clients use the real [`resolve_outcome`] and [`Head::successor`]; the platform is its
//! published contract: a compare-and-swap takes effect or not, and its answer may
//! be lost either way.

use cicadashift_core::delivery::head::{Head, OperationOutcome, resolve_outcome};
use cicadashift_core::ids::{ObjectHash, Version};

/// Safeguards that the exploration can take out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HeadGuards {
    /// The platform compares before it writes.
    pub compare: bool,
    /// A client looks for its operation's id before it tries again.
    pub settle_by_id: bool,
}

impl HeadGuards {
    /// Every safeguard in place.
    pub const ALL: HeadGuards = HeadGuards { compare: true, settle_by_id: true };
}

/// An invariant that does not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HeadBroken {
    /// An operation made two versions.
    AppliedTwice { client: usize },
    /// A version that was accepted is gone from the order.
    Overwritten { version: Version },
    /// A client was told that its operation is done, and it is not.
    FalselyDone { client: usize },
}

/// Where a client is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Client {
    /// Has read the head at this revision.
    Ready { base: Version, revision: u64, head: Seen },
    /// Its answer was lost, or it lost the race.
    Unsure { base: Version },
    /// Was told that it took effect.
    Done,
    /// Has not begun, or looks again from here.
    Fresh,
    /// Was told that it cannot be known.
    GaveUp,
}

/// A head as a client saw it; versions and ids are all that matters.
type Seen = Vec<(usize, Version)>;

/// One state: the platform's head and the clients.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct HeadWorld {
    guards: HeadGuards,
    revision: u64,
    head: Seen,
    applied: Vec<u32>,
    clients: Vec<Client>,
    attempts: u32,
    broken: Option<HeadBroken>,
}

impl HeadWorld {
    /// Returns the state before anybody has read, with `attempts` writes left.
    pub fn start(clients: usize, attempts: u32, guards: HeadGuards) -> HeadWorld {
        HeadWorld {
            guards,
            revision: 0,
            head: Vec::new(),
            applied: vec![0; clients],
            clients: vec![Client::Fresh; clients],
            attempts,
            broken: None,
        }
    }

    /// Returns the invariant that this state breaks, if any.
    pub fn broken(&self) -> Option<HeadBroken> {
        self.broken
    }

    /// Returns every state that can follow.
    pub fn successors(&self) -> Vec<HeadWorld> {
        if self.broken.is_some() {
            return Vec::new();
        }
        (0..self.clients.len()).flat_map(|i| self.steps_of(i)).collect()
    }

    fn steps_of(&self, i: usize) -> Vec<HeadWorld> {
        match &self.clients[i] {
            Client::Fresh => vec![self.read(i, None)],
            Client::Unsure { base } => vec![self.read(i, Some(*base))],
            Client::Ready { .. } if self.attempts > 0 => {
                vec![self.write(i, false), self.write(i, true), self.never_arrives(i)]
            }
            Client::Ready { .. } | Client::Done | Client::GaveUp => Vec::new(),
        }
    }

    fn read(&self, i: usize, base: Option<Version>) -> HeadWorld {
        let mut next = self.clone();
        let head = real(&self.head);
        let base_version = base.unwrap_or(head.version);
        let settled = match (base, self.guards.settle_by_id) {
            (Some(base), true) => resolve_outcome(&head, &id(i), base),
            _ => Ok(OperationOutcome::Retry),
        };
        next.clients[i] = match settled {
            Ok(OperationOutcome::Done(_)) => Client::Done,
            Ok(OperationOutcome::Retry) => Client::Ready {
                base: base_version,
                revision: self.revision,
                head: self.head.clone(),
            },
            Err(_) => Client::GaveUp,
        };
        if next.clients[i] == Client::Done && self.applied[i] == 0 {
            next.broken = Some(HeadBroken::FalselyDone { client: i });
        }
        next
    }

    fn write(&self, i: usize, answer_lost: bool) -> HeadWorld {
        let mut next = self.clone();
        let Client::Ready { base, revision, head } = &self.clients[i] else { return next };
        next.attempts -= 1;
        let base = *base;
        if self.guards.compare && *revision != self.revision {
            next.clients[i] = Client::Unsure { base };
            return next;
        }
        let version = real(head).successor(&id(i), ObjectHash::of(b""), 0).version;
        let mut written = head.clone();
        written.push((i, version));
        if let Some((_, gone)) = self.head.iter().find(|op| !written.contains(op)) {
            next.broken = Some(HeadBroken::Overwritten { version: *gone });
        }
        next.head = written;
        next.revision += 1;
        next.applied[i] += 1;
        if next.applied[i] > 1 {
            next.broken = Some(HeadBroken::AppliedTwice { client: i });
        }
        next.clients[i] = if answer_lost { Client::Unsure { base } } else { Client::Done };
        next
    }

    fn never_arrives(&self, i: usize) -> HeadWorld {
        let mut next = self.clone();
        if let Client::Ready { base, .. } = self.clients[i] {
            next.attempts -= 1;
            next.clients[i] = Client::Unsure { base };
        }
        next
    }
}

/// Visits every state; returns their number and the first invariant broken.
pub fn explore(start: HeadWorld) -> (usize, Option<HeadBroken>) {
    let mut states = 0;
    for world in pathfinding::directed::bfs::bfs_reach(start, |world| world.successors()) {
        states += 1;
        if let Some(broken) = world.broken() {
            return (states, Some(broken));
        }
    }
    (states, None)
}

fn real(seen: &Seen) -> Head {
    let first = Head::default();
    seen.iter().fold(first, |head, (i, _)| head.successor(&id(*i), ObjectHash::of(b""), 0))
}

fn id(i: usize) -> String {
    format!("op-{i}")
}
