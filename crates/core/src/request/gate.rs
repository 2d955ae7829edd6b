//! Admission to one upstream, decided on its own host.
//!
//! A [`Gate`] lets at most as many calls through as the upstream has slots and
//! queues the rest for as long as each can still be answered in good time. The
//! length of the queue is not fixed: a call is queued if the calls before it, at
//! the observed service time, leave enough of its deadline.
//!
//! The queue is ordered by priority, then by start-time fair queueing over
//! callers: a caller's next turn comes one step after its last, so a busy caller
//! cannot push back a quiet one.
//!
//! # Limits
//!
//! The estimate is a mean. Under a service time with a heavy tail some queued
//! calls miss their deadline in the queue; they are refused as not run the
//! moment this is certain, which is when their remaining time is used up.

use super::{MIN_RETRY_AFTER, spread};
use crate::config::Priority;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::time::{Duration, Instant};

/// Weight of a new observation in the mean service time.
const SMOOTHING: f64 = 0.1;
/// Service time assumed before the first observation.
const FIRST_GUESS: Duration = Duration::from_millis(25);
/// Share of the slots a cold upstream gets at first.
const COLD_SHARE: u32 = 4;
/// What is left of the limit after the upstream shed a call.
const SHED_FACTOR: f64 = 0.8;
/// Time during which one shed answer lowers the limit only once.
const SHED_WINDOW: Duration = Duration::from_millis(100);
/// Share of a call's remaining time that it may spend here. Under overload the
/// queue is always as long as it may be: a larger share makes every answer late
/// without making one more of them, and leaves no time for another attempt.
const WAIT_SHARE: f64 = 0.4;
/// Share of the mean service time that must be left of a deadline for a call to
/// be begun.
const LIKELY_SHARE: f64 = 0.9;
/// Most calls queued, whatever their deadlines, so that memory is bounded.
pub const MAX_QUEUE: usize = 1024;

/// Names one call at one gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Names a caller for fairness.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CallerKey(pub u64);

/// What a call brings to the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// When its answer is worthless.
    pub deadline: Instant,
    /// Until when its answer is worth most; at most the deadline.
    pub objective: Instant,
    /// From its route.
    pub priority: Priority,
    /// Who asked.
    pub caller: CallerKey,
}

/// Why a call is refused as not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The calls before it leave too little of its deadline.
    Busy { retry_after: Duration },
    /// Its deadline has passed.
    TooLate,
    /// The upstream is leaving; other instances may serve.
    Draining,
    /// The upstream is not registered here.
    Gone,
    /// The queue is at [`MAX_QUEUE`].
    QueueFull { retry_after: Duration },
}

impl Refusal {
    /// Returns when to come back, as far as the gate can tell.
    pub fn retry_after(&self) -> Duration {
        match self {
            Refusal::Busy { retry_after } | Refusal::QueueFull { retry_after } => *retry_after,
            Refusal::TooLate | Refusal::Draining | Refusal::Gone => MIN_RETRY_AFTER,
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Refusal::Busy { .. } => "busy",
            Refusal::TooLate => "too-late",
            Refusal::Draining => "draining",
            Refusal::Gone => "gone",
            Refusal::QueueFull { .. } => "queue-full",
        })
    }
}

/// The gate's answer to an arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Send it now.
    Run(Ticket),
    /// Hold it until a [`Wake`] names it.
    Wait(Ticket),
    /// It did not run.
    Refuse(Refusal),
}

/// News for a call that was told to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wake {
    /// Send it now.
    Run(Ticket),
    /// It did not run.
    Refuse(Ticket, Refusal),
}

/// How a call that ran ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A whole answer after this time.
    Answered(Duration),
    /// The upstream refused it before running it.
    Shed,
    /// No whole answer.
    Failed,
}

type Place = (Priority, u64, Ticket);

#[derive(Clone, Copy, Debug)]
struct Waiting {
    arrival: Arrival,
    place: Place,
}

/// Admission to one upstream.
#[derive(Clone, Debug)]
pub struct Gate {
    slots: u32,
    limit: f64,
    running: BTreeMap<Ticket, Instant>,
    queue: BTreeMap<Place, Arrival>,
    waiting: HashMap<Ticket, Waiting>,
    turns: HashMap<CallerKey, u64>,
    turn: u64,
    mean: Duration,
    observed: bool,
    last_shed: Option<Instant>,
    draining: bool,
    next: u64,
}

impl Gate {
    /// Makes the gate of an upstream that runs `slots` calls at once.
    ///
    /// A cold upstream starts with a quarter of them and gains one with each
    /// answer.
    pub fn new(slots: u32, cold: bool) -> Gate {
        let slots = slots.max(1);
        let limit = match cold {
            true => (slots / COLD_SHARE).max(1),
            false => slots,
        };
        Gate {
            slots,
            limit: f64::from(limit),
            running: BTreeMap::new(),
            queue: BTreeMap::new(),
            waiting: HashMap::new(),
            turns: HashMap::new(),
            turn: 0,
            mean: FIRST_GUESS,
            observed: false,
            last_shed: None,
            draining: false,
            next: 0,
        }
    }

    /// Returns the calls now at the upstream.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the calls queued.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns how many calls may run at once now; never more than the slots.
    pub fn limit(&self) -> usize {
        (self.limit as usize).clamp(1, self.slots as usize)
    }

    /// Returns the slots that the upstream announced.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the mean time that a call takes at the upstream.
    pub fn mean(&self) -> Duration {
        self.mean
    }

    /// Returns whether the upstream is leaving.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Takes in a changed number of slots.
    pub fn set_slots(&mut self, slots: u32) {
        let slots = slots.max(1);
        if slots != self.slots {
            self.limit =
                self.limit.min(f64::from(slots)).max(f64::from(slots.min(self.slots)) / 2.0);
            self.slots = slots;
        }
    }

    /// Decides about a call that arrives.
    ///
    /// `random` spreads the time to come back.
    pub fn admit(&mut self, arrival: Arrival, now: Instant, random: u64) -> Admission {
        if self.draining {
            return Admission::Refuse(Refusal::Draining);
        }
        if now >= arrival.deadline {
            return Admission::Refuse(Refusal::TooLate);
        }
        let ticket = Ticket(self.next);
        self.next += 1;
        if self.running.len() < self.limit() && self.queue.is_empty() {
            self.running.insert(ticket, now);
            return Admission::Run(ticket);
        }
        let ahead = self.ahead_of(&arrival);
        let wait = self.time_for(ahead + 1);
        let left = arrival.deadline.saturating_duration_since(now);
        if wait + self.mean > left.mul_f64(WAIT_SHARE) {
            return Admission::Refuse(Refusal::Busy { retry_after: spread(wait, random) });
        }
        if self.queue.len() >= MAX_QUEUE {
            return Admission::Refuse(Refusal::QueueFull { retry_after: spread(wait, random) });
        }
        self.enqueue(ticket, arrival);
        Admission::Wait(ticket)
    }

    /// Takes in the end of a call that ran, and lets waiting ones in.
    pub fn ended(&mut self, ticket: Ticket, end: End, now: Instant) -> Vec<Wake> {
        if self.running.remove(&ticket).is_none() {
            return Vec::new();
        }
        match end {
            End::Answered(took) => self.observe(took),
            End::Shed => self.shed(now),
            End::Failed => {}
        }
        self.wake(now)
    }

    /// Forgets a waiting call whose caller is gone.
    pub fn cancel(&mut self, ticket: Ticket) {
        if let Some(waiting) = self.waiting.remove(&ticket) {
            self.queue.remove(&waiting.place);
        }
    }

    /// Refuses waiting calls whose time is used up.
    ///
    /// Also called when the process may have been frozen: no call is started
    /// after its deadline.
    pub fn tick(&mut self, now: Instant) -> Vec<Wake> {
        self.wake(now)
    }

    /// Stops admitting, and refuses all that wait.
    pub fn drain(&mut self) -> Vec<Wake> {
        self.draining = true;
        let tickets: Vec<_> = self.queue.keys().map(|place| place.2).collect();
        self.queue.clear();
        self.waiting.clear();
        tickets.into_iter().map(|ticket| Wake::Refuse(ticket, Refusal::Draining)).collect()
    }

    fn ahead_of(&self, arrival: &Arrival) -> usize {
        let place = (arrival.priority, self.next_turn(arrival.caller), Ticket(self.next));
        self.queue.range(..place).count()
    }

    fn time_for(&self, calls: usize) -> Duration {
        let rounds = calls as f64 / self.limit() as f64;
        self.mean.mul_f64(rounds)
    }

    fn next_turn(&self, caller: CallerKey) -> u64 {
        self.turns.get(&caller).map_or(self.turn, |last| self.turn.max(last + 1))
    }

    fn enqueue(&mut self, ticket: Ticket, arrival: Arrival) {
        let turn = self.next_turn(arrival.caller);
        self.turns.insert(arrival.caller, turn);
        let place = (arrival.priority, turn, ticket);
        self.queue.insert(place, arrival);
        self.waiting.insert(ticket, Waiting { arrival, place });
    }

    fn observe(&mut self, took: Duration) {
        let old = self.mean.as_secs_f64();
        let weight = if self.observed { SMOOTHING } else { 1.0 };
        let new = old + weight * (took.as_secs_f64() - old);
        self.mean = Duration::from_secs_f64(new.max(0.0));
        self.observed = true;
        self.limit = (self.limit + 1.0).min(f64::from(self.slots));
    }

    fn shed(&mut self, now: Instant) {
        if self.last_shed.is_some_and(|at| now < at + SHED_WINDOW) {
            return;
        }
        self.last_shed = Some(now);
        self.limit = (self.limit * SHED_FACTOR).max(1.0);
    }

    fn wake(&mut self, now: Instant) -> Vec<Wake> {
        let mut wakes = self.expire(now);
        while self.running.len() < self.limit() {
            let Some((place, arrival)) = self.queue.pop_first() else { break };
            let ticket = place.2;
            self.waiting.remove(&ticket);
            self.turn = self.turn.max(place.1);
            // Work that will most likely miss its deadline would take a slot from
            // a call that can make it, and leave its caller without an answer.
            let left = arrival.deadline.saturating_duration_since(now);
            if left < self.mean.mul_f64(LIKELY_SHARE) {
                wakes.push(Wake::Refuse(ticket, Refusal::TooLate));
                continue;
            }
            self.running.insert(ticket, now);
            wakes.push(Wake::Run(ticket));
        }
        if self.queue.is_empty() {
            self.turns.clear();
        }
        wakes
    }

    fn expire(&mut self, now: Instant) -> Vec<Wake> {
        let late: Vec<_> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| now >= waiting.arrival.deadline)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in &late {
            self.cancel(*ticket);
        }
        late.into_iter().map(|ticket| Wake::Refuse(ticket, Refusal::TooLate)).collect()
    }
}
