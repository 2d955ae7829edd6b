//! Whether a call that arrives runs, waits or is refused.

use super::pace::{LimitChange, NamedLimit, Pace};
use super::times::Times;
use super::{Admission, Arrival, CallerKey, End, KindKey, Refusal, Ticket, Wake};
use crate::config::Priority;
use crate::request::jitter;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// What is left of the limit after the upstream shed a call.
const SHED_FACTOR: f64 = 0.8;
/// Time during which one shed answer lowers the limit only once.
const SHED_WINDOW: Duration = Duration::from_millis(100);
/// Service times that must fit between a call's turn and its objective for it to
/// be queued. Above one, since half of the calls take longer than their mean.
const ROOM: f64 = 1.25;
/// What is left, at each turn, of the weight of earlier turns in the shares of
/// ranks: some thirty turns are remembered.
const SHARE_DECAY: f64 = 0.97;
/// Weight of a call in the share that the upstream takes of those sent to it.
const ACCEPT_SMOOTHING: f64 = 0.05;
/// Time in which half of what lowered that share is forgotten: an upstream that gets no
/// more calls is to be tried again.
const FORGIVE: Duration = Duration::from_millis(2500);
/// Most calls queued, whatever their deadlines, so that memory is bounded.
pub const MAX_QUEUE: usize = 1024;

/// Rank, end of the objective as it counts for the order, and ticket.
pub(super) type Place = (Priority, Instant, Ticket);

/// Admission to one upstream.
#[derive(Clone, Debug)]
pub struct Gate {
    pub(super) slots: u32,
    pub(super) limit: f64,
    pub(super) running: BTreeMap<Ticket, KindKey>,
    pub(super) queue: BTreeMap<Place, Arrival>,
    pub(super) waiting: HashMap<Ticket, Place>,
    /// Calls in the queue by caller.
    pub(super) by_caller: HashMap<CallerKey, u32>,
    pub(super) times: Times,
    /// Work begun lately, by rank, in seconds of service time.
    pub(super) work: BTreeMap<Priority, f64>,
    /// Work begun of more urgent calls while less urgent ones waited.
    pub(super) urgent_work: Duration,
    last_shed: Option<Instant>,
    /// Share of the calls that the upstream refused, lately, and when it was taken.
    refused: (f64, Option<Instant>),
    draining: bool,
    /// The rate at which calls are sent, where the upstream names a limit.
    pub(super) pace: Pace,
    pub(super) next: u64,
}

impl Gate {
    /// Makes the gate of an upstream that runs `slots` calls at once.
    ///
    /// One that has just started gets all of them too: it is slower for a while, but
    /// holding calls back does not make it quicker.
    pub fn new(slots: u32) -> Gate {
        let slots = slots.max(1);
        Gate {
            slots,
            limit: f64::from(slots),
            running: BTreeMap::new(),
            queue: BTreeMap::new(),
            waiting: HashMap::new(),
            by_caller: HashMap::new(),
            times: Times::new(),
            work: BTreeMap::new(),
            urgent_work: Duration::ZERO,
            last_shed: None,
            refused: (0.0, None),
            draining: false,
            pace: Pace::default(),
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
    pub fn mean_service_time(&self) -> Duration {
        self.times.mean
    }

    /// Returns the mean time that a call of a kind takes at the upstream.
    pub fn service_time(&self, kind: KindKey) -> Duration {
        self.times.of(kind)
    }

    /// Returns the share of the calls sent to it that the upstream takes.
    pub fn acceptance_rate(&self, now: Instant) -> f64 {
        let (share, at) = self.refused;
        let idle = at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        1.0 - share * 0.5_f64.powf(idle.as_secs_f64() / FORGIVE.as_secs_f64())
    }

    fn observe_refusal(&mut self, refused: bool, now: Instant) {
        let share = 1.0 - self.acceptance_rate(now);
        let new = if refused { 1.0 } else { 0.0 };
        self.refused = (share + ACCEPT_SMOOTHING * (new - share), Some(now));
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
        if self.can_start(now) && self.queue.is_empty() {
            self.begin(ticket, &arrival, now);
            return Admission::Run(ticket);
        }
        let (for_slot, for_token) = (self.wait_of(&arrival), self.wait_for_token(&arrival, now));
        let wait = for_slot.max(for_token);
        let needed = wait + self.times.of(arrival.kind).mul_f64(ROOM);
        if now + needed > arrival.objective {
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

    fn refuse_over_limit(&mut self, wait: Duration, now: Instant) -> Admission {
        let retry_after = self.schedule_retry(now).map_or(wait, |token| token.max(wait));
        Admission::Refuse(Refusal::OverLimit { retry_after })
    }

    /// Takes in what an answer says of the upstream's limit; `sent` is when its call was.
    pub fn observe_limit(
        &mut self,
        limit: Option<NamedLimit>,
        sent: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        self.pace.observe_limit(limit, sent, now)
    }

    /// Takes over a limit that another daemon observed; returns whether it was news.
    pub fn adopt_limit(&mut self, limit: NamedLimit, now: Instant) -> bool {
        self.pace.adopt_limit(limit, now)
    }

    /// Returns the limit that the upstream names.
    pub fn named_limit(&self) -> Option<NamedLimit> {
        self.pace.limit()
    }

    /// Returns after what time the daemon that asked is to ask again; `None` where it
    /// may ask at any time.
    pub fn schedule_retry(&mut self, now: Instant) -> Option<Duration> {
        self.pace.schedule_retry(self.queue.len(), now)
    }

    /// Returns after what time waiting calls must be looked at, where a slot alone does
    /// not let them in.
    pub fn next_token(&self, now: Instant) -> Option<Duration> {
        self.pace.limit().map(|_| self.pace.wait(0, now))
    }

    /// Returns whether the upstream has a free slot and takes a call now.
    pub(super) fn can_start(&self, now: Instant) -> bool {
        self.running.len() < self.limit() && self.pace.is_open(now)
    }

    /// Takes in the end of a call that ran, and lets waiting ones in.
    pub fn ended(&mut self, ticket: Ticket, end: End, now: Instant) -> Vec<Wake> {
        let Some(kind) = self.running.remove(&ticket) else { return Vec::new() };
        self.observe_refusal(end == End::Shed, now);
        match end {
            End::Answered(took) => {
                self.times.observe(kind, took);
                self.limit = (self.limit + 1.0).min(f64::from(self.slots));
            }
            End::Shed => self.shed(now),
            End::Failed => {}
        }
        self.wake(now)
    }

    /// Forgets a waiting call whose caller is gone.
    pub fn cancel(&mut self, ticket: Ticket) {
        if let Some(place) = self.waiting.get(&ticket).copied() {
            let _left = self.leave(place);
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
        self.by_caller.clear();
        tickets.into_iter().map(|ticket| Wake::Refuse(ticket, Refusal::Draining)).collect()
    }

    pub(super) fn begin(&mut self, ticket: Ticket, arrival: &Arrival, now: Instant) {
        self.pace.take(now);
        self.running.insert(ticket, arrival.kind);
        self.work.values_mut().for_each(|work| *work *= SHARE_DECAY);
        let time = self.times.of(arrival.kind).as_secs_f64();
        *self.work.entry(arrival.priority).or_default() += time;
    }

    fn shed(&mut self, now: Instant) {
        if self.last_shed.is_some_and(|at| now < at + SHED_WINDOW) {
            return;
        }
        self.last_shed = Some(now);
        self.limit = (self.limit * SHED_FACTOR).max(1.0);
    }
}
