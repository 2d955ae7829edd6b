//! Model of the total order of versions, with concurrent operators and lost answers.
//!
//! Clients run the production code of [`resolve_outcome`] and [`Head::successor`]. The store is
//! modelled by its documented contract: a compare-and-swap takes effect or not, and its
//! answer may be lost in both cases.

use cicadashift_core::delivery::head::{Head, OperationOutcome, resolve_outcome};
use cicadashift_core::ids::{ObjectHash, Version};

/// Safeguards that an exploration can switch off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HeadGuards {
    /// The store compares the revision before it writes.
    pub compare: bool,
    /// A client looks up the id of its operation in the head before it retries.
    pub settle_by_id: bool,
}

impl HeadGuards {
    /// Every safeguard in place.
    pub const ALL: HeadGuards = HeadGuards { compare: true, settle_by_id: true };
}

/// A violated invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HeadViolation {
    /// An operation created two versions.
    AppliedTwice { client: usize },
    /// An accepted version is missing from the order.
    Overwritten { version: Version },
    /// A client concluded that its operation took effect, but it did not.
    FalselyDone { client: usize },
}

/// The progress of a client's operation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Client {
    /// The client has read the head at this revision.
    Ready { base: Version, revision: u64, head: History },
    /// Another write came first, or the request or its answer was lost.
    Unconfirmed { base: Version },
    /// The operation is known to have taken effect.
    Done,
    /// The client has not read the head yet.
    NotStarted,
    /// It cannot be determined whether the operation took effect.
    OutcomeUnknown,
}

/// The operations in a head, as pairs of a client and a version; the model needs no more.
type History = Vec<(usize, Version)>;

/// One state of the model: the head in the store and the clients.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct HeadState {
    guards: HeadGuards,
    revision: u64,
    head: History,
    applied: Vec<u32>,
    clients: Vec<Client>,
    attempts: u32,
    violation: Option<HeadViolation>,
}

impl HeadState {
    /// Returns the state before any client has read, with `attempts` writes left.
    pub fn start(clients: usize, attempts: u32, guards: HeadGuards) -> HeadState {
        HeadState {
            guards,
            revision: 0,
            head: Vec::new(),
            applied: vec![0; clients],
            clients: vec![Client::NotStarted; clients],
            attempts,
            violation: None,
        }
    }

    /// Returns the invariant that this state violates, if any.
    pub fn violation(&self) -> Option<HeadViolation> {
        self.violation
    }

    /// Returns all successor states.
    pub fn successors(&self) -> Vec<HeadState> {
        if self.violation.is_some() {
            return Vec::new();
        }
        (0..self.clients.len()).flat_map(|i| self.steps_of(i)).collect()
    }

    fn steps_of(&self, i: usize) -> Vec<HeadState> {
        match &self.clients[i] {
            Client::NotStarted => vec![self.read(i, None)],
            Client::Unconfirmed { base } => vec![self.read(i, Some(*base))],
            Client::Ready { .. } if self.attempts > 0 => {
                vec![self.write(i, false), self.write(i, true), self.lose_request(i)]
            }
            Client::Ready { .. } | Client::Done | Client::OutcomeUnknown => Vec::new(),
        }
    }

    fn read(&self, i: usize, base: Option<Version>) -> HeadState {
        let mut next = self.clone();
        let head = to_head(&self.head);
        let base_version = base.unwrap_or(head.version);
        let settled = match (base, self.guards.settle_by_id) {
            (Some(base), true) => resolve_outcome(&head, &op_id(i), base),
            _ => Ok(OperationOutcome::Retry),
        };
        next.clients[i] = match settled {
            Ok(OperationOutcome::Done(_)) => Client::Done,
            Ok(OperationOutcome::Retry) => Client::Ready {
                base: base_version,
                revision: self.revision,
                head: self.head.clone(),
            },
            Err(_) => Client::OutcomeUnknown,
        };
        if next.clients[i] == Client::Done && self.applied[i] == 0 {
            next.violation = Some(HeadViolation::FalselyDone { client: i });
        }
        next
    }

    fn write(&self, i: usize, answer_lost: bool) -> HeadState {
        let mut next = self.clone();
        let Client::Ready { base, revision, head } = &self.clients[i] else { return next };
        next.attempts -= 1;
        let base = *base;
        if self.guards.compare && *revision != self.revision {
            next.clients[i] = Client::Unconfirmed { base };
            return next;
        }
        let version = to_head(head).successor(&op_id(i), ObjectHash::of(b""), 0).version;
        let mut written = head.clone();
        written.push((i, version));
        if let Some((_, missing)) = self.head.iter().find(|op| !written.contains(op)) {
            next.violation = Some(HeadViolation::Overwritten { version: *missing });
        }
        next.head = written;
        next.revision += 1;
        next.applied[i] += 1;
        if next.applied[i] > 1 {
            next.violation = Some(HeadViolation::AppliedTwice { client: i });
        }
        next.clients[i] = if answer_lost { Client::Unconfirmed { base } } else { Client::Done };
        next
    }

    fn lose_request(&self, i: usize) -> HeadState {
        let mut next = self.clone();
        if let Client::Ready { base, .. } = self.clients[i] {
            next.attempts -= 1;
            next.clients[i] = Client::Unconfirmed { base };
        }
        next
    }
}

/// Visits all reachable states until an invariant is violated; returns the number of
/// visited states and the first violation.
pub fn explore(start: HeadState) -> (usize, Option<HeadViolation>) {
    let mut states = 0;
    for state in pathfinding::directed::bfs::bfs_reach(start, |state| state.successors()) {
        states += 1;
        if let Some(violation) = state.violation() {
            return (states, Some(violation));
        }
    }
    (states, None)
}

fn to_head(history: &History) -> Head {
    let empty = Head::default();
    history.iter().fold(empty, |head, (i, _)| head.successor(&op_id(*i), ObjectHash::of(b""), 0))
}

fn op_id(i: usize) -> String {
    format!("op-{i}")
}
