//! Order of queued calls and their expected waits.

use super::admit::{Gate, QueueKey};
use super::{Arrival, Refusal, Ticket, Wake};
use crate::config::Priority;
use crate::request::MIN_RETRY_AFTER;
use std::time::{Duration, Instant};

/// Service times that must fit before the end of the objective for a queued call to stay
/// queued. Less than `MIN_ROOM_TO_QUEUE`, so that a small error of the estimate does not
/// refuse a call that was queued.
const MIN_ROOM_TO_STAY: f64 = 0.8;
/// Share of the mean service time that must be left before the deadline for a queued call to
/// be started.
const MIN_TIME_SHARE: f64 = 0.9;
/// Work of more urgent calls for each unit of work of the least urgent queued call, by the
/// mean service times of their kinds.
const URGENT_WORK_RATIO: u32 = 4;
/// Upper bound of the share of work that more urgent calls are assumed to take; the rest is
/// always left to less urgent calls.
const MAX_URGENT_SHARE: f64 = 0.8;

impl Gate {
    /// Returns the expected wait for a slot of a call that arrives now.
    ///
    /// The work before the call and the time until a slot is free are divided by the number of
    /// calls that may run. More urgent calls will keep arriving, so only the share that they
    /// leave is counted.
    pub(super) fn wait_for_slot(&self, arrival: &Arrival, now: Instant) -> Duration {
        let before: Duration =
            self.queued_before(arrival).map(|before| self.times.of(before.kind)).sum();
        let left = 1.0 - self.urgent_share(arrival.priority);
        let usual = (before + self.times.mean).div_f64(self.limit() as f64 * left);
        self.machine.map_or(usual, |machine| machine.stretch(usual, now))
    }

    /// Returns the expected wait for a token of the upstream's limit of a call that arrives now.
    pub(super) fn wait_for_token(&self, arrival: &Arrival, now: Instant) -> Duration {
        let wait = self.pace.wait(self.queued_before(arrival).count(), now);
        wait.div_f64(1.0 - self.urgent_share(arrival.priority))
    }

    /// Returns the queued calls that go before a call that arrives now.
    fn queued_before(&self, arrival: &Arrival) -> impl Iterator<Item = &Arrival> {
        let key = (arrival.priority, self.order_deadline(arrival), Ticket(self.next_ticket));
        self.queue.range(..key).map(|(_, before)| before)
    }

    /// Returns the share of recently started work that was more urgent than `priority`.
    fn urgent_share(&self, priority: Priority) -> f64 {
        let total: f64 = self.recent_work.values().sum();
        let urgent: f64 = self.recent_work.range(..priority).map(|(_, work)| work).sum();
        if total > 0.0 { (urgent / total).min(MAX_URGENT_SHARE) } else { 0.0 }
    }

    /// Returns the deadline that orders a call within its priority: the end of its objective,
    /// plus one mean service time for each queued call of its caller.
    fn order_deadline(&self, arrival: &Arrival) -> Instant {
        let waiting = self.by_caller.get(&arrival.caller).copied().unwrap_or(0);
        arrival.objective + self.times.mean * waiting
    }

    /// Removes a call from the queue.
    pub(super) fn remove(&mut self, key: QueueKey) -> Option<Arrival> {
        let arrival = self.queue.remove(&key)?;
        self.queue_keys.remove(&key.2);
        if let Some(waiting) = self.by_caller.get_mut(&arrival.caller) {
            *waiting -= 1;
            if *waiting == 0 {
                self.by_caller.remove(&arrival.caller);
            }
        }
        Some(arrival)
    }

    pub(super) fn enqueue(&mut self, ticket: Ticket, arrival: Arrival) {
        let key = (arrival.priority, self.order_deadline(&arrival), ticket);
        *self.by_caller.entry(arrival.caller).or_default() += 1;
        self.queue.insert(key, arrival);
        self.queue_keys.insert(ticket, key);
    }

    pub(super) fn dispatch(&mut self, now: Instant) -> Vec<Wake> {
        let mut wakes = self.refuse_late(now);
        while self.can_start(now) {
            let Some((key, arrival)) = self.take_next() else { break };
            let ticket = key.2;
            // A call that will most likely miss its deadline would take the slot of a call
            // that can meet its own, and its caller would get no answer anyway.
            let left = arrival.deadline.saturating_duration_since(now);
            if left < self.expected_time(arrival.kind, now).mul_f64(MIN_TIME_SHARE) {
                wakes.push(Wake::Refuse(ticket, Refusal::TooLate));
                continue;
            }
            self.start(ticket, &arrival, now);
            wakes.push(Wake::Run(ticket));
        }
        wakes
    }

    /// Removes the next call to start from the queue.
    fn take_next(&mut self) -> Option<(QueueKey, Arrival)> {
        let most_urgent = *self.queue.first_key_value()?.0;
        let least_urgent = self.queue.last_key_value()?.0.0;
        let mut of_least_urgent = self.queue.iter().filter(|(key, _)| key.0 == least_urgent);
        let (first_of_least_urgent, next_least_urgent) = of_least_urgent.next()?;
        let work_before_turn = self.times.of(next_least_urgent.kind) * URGENT_WORK_RATIO;
        let key =
            if self.urgent_work >= work_before_turn { *first_of_least_urgent } else { most_urgent };
        let arrival = self.remove(key)?;
        self.urgent_work = match key.0 == least_urgent {
            true => Duration::ZERO,
            false => self.urgent_work + self.times.of(arrival.kind),
        };
        Some((key, arrival))
    }

    /// Refuses queued calls that can no longer be answered in time.
    ///
    /// No call is queued while slots are free, so each refusal here makes room for a call
    /// that can still be answered in time.
    fn refuse_late(&mut self, now: Instant) -> Vec<Wake> {
        let late: Vec<(QueueKey, Refusal)> = self
            .queue
            .iter()
            .enumerate()
            .filter_map(|(i, (key, arrival))| Some((*key, self.late_refusal(arrival, i, now)?)))
            .collect();
        for (key, _) in &late {
            self.cancel(key.2);
        }
        late.into_iter().map(|(key, refusal)| Wake::Refuse(key.2, refusal)).collect()
    }

    /// Returns why a call queued behind `before` other calls is refused, if it would be late.
    fn late_refusal(&self, arrival: &Arrival, before: usize, now: Instant) -> Option<Refusal> {
        if now >= arrival.deadline {
            return Some(Refusal::TooLate);
        }
        let time_needed = self.times.of(arrival.kind).mul_f64(MIN_ROOM_TO_STAY);
        // A limit that is first named or lowered also applies to calls queued before.
        let for_token = self.pace.wait(before, now);
        if now + for_token + time_needed > arrival.objective && !for_token.is_zero() {
            return Some(Refusal::OverLimit { retry_after: for_token });
        }
        let late = now + time_needed > arrival.objective;
        late.then_some(Refusal::Busy { retry_after: self.times.mean.max(MIN_RETRY_AFTER) })
    }
}
