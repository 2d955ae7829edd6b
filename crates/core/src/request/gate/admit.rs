//! Decides whether an arriving call runs, waits or is refused.

use super::pace::{LimitChange, NamedLimit, Pace};
use super::times::ServiceTimes;
use super::{Admission, Arrival, CallerKey, End, KindKey, Refusal, Ticket, Wake};
use crate::config::Priority;
use crate::request::machine::MachinePace;
use crate::request::{MIN_RETRY_AFTER, jitter};
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Factor by which the limit is lowered after the upstream sheds a call.
const SHED_FACTOR: f64 = 0.8;
/// Time in which several shed calls lower the limit only once.
const SHED_WINDOW: Duration = Duration::from_millis(100);
/// Service times that must fit between a call's expected start and the end of its objective
/// for the call to be queued. Above one, since half of the calls take longer than the mean.
const MIN_ROOM_TO_QUEUE: f64 = 1.25;
/// Factor by which the recent work of each priority decays at each started call. The shares
/// reflect some thirty calls.
const SHARE_DECAY: f64 = 0.97;
/// Weight of one call in the acceptance rate.
const ACCEPT_SMOOTHING: f64 = 0.05;
/// Half-life of the share of refused calls while no calls are sent, so that an upstream that
/// refused calls is tried again.
const REFUSAL_HALF_LIFE: Duration = Duration::from_millis(2500);
/// Time that a call loses by being sent to another upstream: a round trip and the processing
/// in two daemons.
const REDIRECT_COST: Duration = Duration::from_millis(20);
/// Most queued calls, whatever their deadlines; bounds memory.
pub const MAX_QUEUE: usize = 1024;

/// Position in the queue: priority, deadline that orders calls of one priority, and ticket.
pub(super) type QueueKey = (Priority, Instant, Ticket);

/// Admission control of one upstream.
#[derive(Clone, Debug)]
pub struct Gate {
    pub(super) slots: u32,
    pub(super) limit: f64,
    pub(super) running: BTreeMap<Ticket, Running>,
    pub(super) queue: BTreeMap<QueueKey, Arrival>,
    pub(super) queue_keys: HashMap<Ticket, QueueKey>,
    /// Queued calls by caller.
    pub(super) by_caller: HashMap<CallerKey, u32>,
    pub(super) times: ServiceTimes,
    /// Recently started work by priority, in seconds of service time, with decay.
    pub(super) recent_work: BTreeMap<Priority, f64>,
    /// Work of more urgent calls started since the least urgent queued priority last had its turn.
    pub(super) urgent_work: Duration,
    last_shed: Option<Instant>,
    /// Share of recent calls that the upstream refused, and when the share was last updated.
    refused_share: (f64, Option<Instant>),
    draining: bool,
    /// Paces calls if the upstream names a limit.
    pub(super) pace: Pace,
    /// Last reported pace of the upstream's machine, if it reports any.
    pub(super) machine: Option<MachinePace>,
    pub(super) next_ticket: u64,
}

/// A call at the upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Running {
    kind: KindKey,
    /// Pace of the machine when the call was sent, where it was known then.
    machine: Option<f64>,
}

impl Gate {
    /// Creates the gate of an upstream that runs `slots` calls at once.
    ///
    /// An upstream that has just started gets its full number of calls too: it is slower for a
    /// while, but fewer calls do not make it warm up sooner.
    pub fn new(slots: u32) -> Gate {
        let slots = slots.max(1);
        Gate {
            slots,
            limit: f64::from(slots),
            running: BTreeMap::new(),
            queue: BTreeMap::new(),
            queue_keys: HashMap::new(),
            by_caller: HashMap::new(),
            times: ServiceTimes::new(),
            recent_work: BTreeMap::new(),
            urgent_work: Duration::ZERO,
            last_shed: None,
            refused_share: (0.0, None),
            draining: false,
            pace: Pace::default(),
            machine: None,
            next_ticket: 0,
        }
    }

    /// Returns the number of calls running at the upstream.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of queued calls.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns how many calls may run at once now, at most the number of slots.
    pub fn limit(&self) -> usize {
        (self.limit as usize).clamp(1, self.slots as usize)
    }

    /// Returns the number of slots that the upstream announced.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the mean service time of all calls.
    pub fn mean_service_time(&self) -> Duration {
        self.times.mean
    }

    /// Returns the mean service time of a kind of call.
    pub fn service_time(&self, kind: KindKey) -> Duration {
        self.times.of(kind)
    }

    /// Returns the share of calls sent to the upstream that it accepts.
    pub fn acceptance_rate(&self, now: Instant) -> f64 {
        let (share, at) = self.refused_share;
        let idle = at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        1.0 - share * 0.5_f64.powf(idle.as_secs_f64() / REFUSAL_HALF_LIFE.as_secs_f64())
    }

    fn observe_refusal(&mut self, refused: bool, now: Instant) {
        let share = 1.0 - self.acceptance_rate(now);
        let new = if refused { 1.0 } else { 0.0 };
        self.refused_share = (share + ACCEPT_SMOOTHING * (new - share), Some(now));
    }

    /// Returns whether the upstream is draining.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Sets the number of slots.
    ///
    /// The limit stays at or above half of the smaller of the old and the new number.
    pub fn set_slots(&mut self, slots: u32) {
        let slots = slots.max(1);
        if slots != self.slots {
            self.limit =
                self.limit.min(f64::from(slots)).max(f64::from(slots.min(self.slots)) / 2.0);
            self.slots = slots;
        }
    }

    /// Decides whether an arriving call runs, waits or is refused.
    ///
    /// `random` adds jitter to the time until the retry.
    pub fn admit(&mut self, arrival: Arrival, now: Instant, random: u64) -> Admission {
        if self.draining {
            return Admission::Refuse(Refusal::Draining);
        }
        if now >= arrival.deadline {
            return Admission::Refuse(Refusal::TooLate);
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        if self.can_start(now) && self.queue.is_empty() {
            self.start(ticket, &arrival, now);
            return Admission::Run(ticket);
        }
        let (for_slot, for_token) =
            (self.wait_for_slot(&arrival, now), self.wait_for_token(&arrival, now));
        let wait = for_slot.max(for_token);
        let time = self.expected_time(arrival.kind, now + wait);
        let time_needed = wait + time.mul_f64(MIN_ROOM_TO_QUEUE);
        if now + time_needed > arrival.objective {
            if for_token > for_slot {
                return self.refuse_over_limit(for_token, now);
            }
            return Admission::Refuse(Refusal::Busy { retry_after: jitter(wait, random) });
        }
        if arrival.max_wait.is_zero() || wait > arrival.max_wait {
            return Admission::Refuse(Refusal::Full { retry_after: jitter(wait, random) });
        }
        if self.queue.len() >= MAX_QUEUE {
            return Admission::Refuse(Refusal::QueueFull { retry_after: jitter(wait, random) });
        }
        self.enqueue(ticket, arrival);
        Admission::Wait(ticket)
    }

    /// Returns the refusal of a call that should be sent elsewhere since the upstream's machine
    /// is slow at the moment; `None` if the call is as well off here.
    ///
    /// Only for a call whose entry daemon knows another upstream with a free slot. A slow
    /// machine would hold the call's slot, and with it those of the calls that wait for it,
    /// for the whole excess, while asking another upstream costs [`REDIRECT_COST`].
    pub fn redirect(&self, arrival: &Arrival, now: Instant) -> Option<Refusal> {
        let machine = self.machine.filter(|_| !self.draining)?;
        let usual = self.times.of(arrival.kind);
        let expected = self.expected_time(arrival.kind, now);
        let is_worth_it = expected >= usual + REDIRECT_COST;
        let would_be_late = now + expected > arrival.objective;
        let could_be_in_time = now + usual + REDIRECT_COST <= arrival.objective;
        let should_move = machine.is_slow(now) || (would_be_late && could_be_in_time);
        (is_worth_it && should_move).then_some(Refusal::SlowHost { retry_after: MIN_RETRY_AFTER })
    }

    /// Records the pace of the upstream's machine; an older one than the last is ignored.
    pub fn observe_machine(&mut self, pace: MachinePace) {
        self.machine = Some(pace.newer(self.machine));
    }

    /// Returns the last reported pace of the upstream's machine.
    pub fn machine(&self) -> Option<MachinePace> {
        self.machine
    }

    /// Returns the expected time of a call that begins at `at`.
    pub(super) fn expected_time(&self, kind: KindKey, at: Instant) -> Duration {
        let usual = self.times.of(kind);
        self.machine.map_or(usual, |machine| usual.mul_f64(machine.factor(at)))
    }

    fn refuse_over_limit(&mut self, wait: Duration, now: Instant) -> Admission {
        let retry_after = self.schedule_retry(now).map_or(wait, |token| token.max(wait));
        Admission::Refuse(Refusal::OverLimit { retry_after })
    }

    /// Updates the limit from an answer of the upstream.
    ///
    /// `limit` is `None` if the answer names no limit; `sent` is when the call was sent.
    pub fn observe_limit(
        &mut self,
        limit: Option<NamedLimit>,
        sent: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        self.pace.observe_limit(limit, sent, now)
    }

    /// Adopts a limit that another daemon observed; returns whether the limit changed.
    pub fn adopt_limit(&mut self, limit: NamedLimit, now: Instant) -> bool {
        self.pace.adopt_limit(limit, now)
    }

    /// Returns the limit that the upstream named, if any.
    pub fn named_limit(&self) -> Option<NamedLimit> {
        self.pace.limit()
    }

    /// Returns the time after which the entry daemon may retry; `None` if no limit is named.
    pub fn schedule_retry(&mut self, now: Instant) -> Option<Duration> {
        self.pace.schedule_retry(self.queue.len(), now)
    }

    /// Returns the time until a token is available, if the upstream named a limit.
    ///
    /// Callers schedule [`tick`](Gate::tick) by it, since no call ends when a token is due.
    pub fn next_token(&self, now: Instant) -> Option<Duration> {
        self.pace.limit().map(|_| self.pace.wait(0, now))
    }

    /// Returns whether a slot is free and the limit allows a call now.
    pub(super) fn can_start(&self, now: Instant) -> bool {
        self.running.len() < self.limit() && self.pace.is_open(now)
    }

    /// Records the end of a running call and starts queued calls.
    pub fn ended(&mut self, ticket: Ticket, end: End, now: Instant) -> Vec<Wake> {
        let Some(Running { kind, machine }) = self.running.remove(&ticket) else {
            return Vec::new();
        };
        self.observe_refusal(end == End::Shed, now);
        match end {
            End::Answered(took) => {
                // A slow moment of the machine must not be learned as a slow kind of calls.
                let factor = machine.or_else(|| Some(self.machine?.factor(now)));
                self.times.observe(kind, factor.map_or(took, |factor| took.div_f64(factor)));
                self.limit = (self.limit + 1.0).min(f64::from(self.slots));
            }
            End::Shed => self.lower_limit(now),
            End::Failed => {}
        }
        self.dispatch(now)
    }

    /// Removes a queued call whose caller has gone.
    pub fn cancel(&mut self, ticket: Ticket) {
        if let Some(key) = self.queue_keys.get(&ticket).copied() {
            let _removed = self.remove(key);
        }
    }

    /// Refuses queued calls that would be late and starts calls that may run.
    ///
    /// Also called when the process may have been frozen: no call is started after its
    /// deadline.
    pub fn tick(&mut self, now: Instant) -> Vec<Wake> {
        self.dispatch(now)
    }

    /// Stops admitting calls and refuses all queued ones.
    pub fn drain(&mut self) -> Vec<Wake> {
        self.draining = true;
        let tickets: Vec<_> = self.queue.keys().map(|key| key.2).collect();
        self.queue.clear();
        self.queue_keys.clear();
        self.by_caller.clear();
        tickets.into_iter().map(|ticket| Wake::Refuse(ticket, Refusal::Draining)).collect()
    }

    pub(super) fn start(&mut self, ticket: Ticket, arrival: &Arrival, now: Instant) {
        self.pace.take_token(now);
        let fresh = self.machine.filter(|machine| machine.report(now).is_some());
        let machine = fresh.map(|machine| machine.factor(now));
        self.running.insert(ticket, Running { kind: arrival.kind, machine });
        self.recent_work.values_mut().for_each(|work| *work *= SHARE_DECAY);
        let time = self.times.of(arrival.kind).as_secs_f64();
        *self.recent_work.entry(arrival.priority).or_default() += time;
    }

    fn lower_limit(&mut self, now: Instant) {
        if self.last_shed.is_some_and(|at| now < at + SHED_WINDOW) {
            return;
        }
        self.last_shed = Some(now);
        self.limit = (self.limit * SHED_FACTOR).max(1.0);
    }
}
