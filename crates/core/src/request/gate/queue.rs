//! The order of calls that wait, and how long each is expected to.

use super::admit::{Gate, Place};
use super::{Arrival, Refusal, Ticket, Wake};
use crate::config::Priority;
use crate::request::MIN_RETRY_AFTER;
use std::time::{Duration, Instant};

/// Service times that must fit for a waiting call to go on waiting; less than
/// [`ROOM`], since what was queued is not given up for a small error.
const LEAST_ROOM: f64 = 0.8;
/// Share of the mean service time that must be left of a deadline for a call to
/// be begun.
const LIKELY_SHARE: f64 = 0.9;
/// Work that more urgent calls get for each of the least urgent one that waits, by the
/// times of their kinds.
const URGENT_WORK: u32 = 4;
/// Most of the upstream's work that more urgent calls are taken to fill: the turn
/// that others get is never less than this leaves.
const URGENT_MOST: f64 = 0.8;

impl Gate {
    /// Returns how long a call that arrives now is expected to wait.
    ///
    /// The work before it and the time until a slot is free are spread over the
    /// slots. More urgent calls will go on arriving and take turns from it, so
    /// that only what they leave counts.
    pub(super) fn wait_of(&self, arrival: &Arrival) -> Duration {
        let before: Duration = self.before(arrival).map(|before| self.times.of(before.kind)).sum();
        let left = 1.0 - self.urgent_share(arrival.priority);
        (before + self.times.mean).div_f64(self.limit() as f64 * left)
    }

    /// Returns how long a call that arrives now is expected to wait until the upstream's
    /// limit lets it through.
    pub(super) fn wait_for_token(&self, arrival: &Arrival, now: Instant) -> Duration {
        let wait = self.pace.wait(self.before(arrival).count(), now);
        wait.div_f64(1.0 - self.urgent_share(arrival.priority))
    }

    /// Returns the waiting calls that go before one that arrives now.
    fn before(&self, arrival: &Arrival) -> impl Iterator<Item = &Arrival> {
        let place = (arrival.priority, self.due(arrival), Ticket(self.next));
        self.queue.range(..place).map(|(_, before)| before)
    }

    /// Returns the share of the work begun lately that was more urgent.
    fn urgent_share(&self, priority: Priority) -> f64 {
        let total: f64 = self.work.values().sum();
        let urgent: f64 = self.work.range(..priority).map(|(_, work)| work).sum();
        if total > 0.0 { (urgent / total).min(URGENT_MOST) } else { 0.0 }
    }

    /// Returns by when a call counts as due: the end of its objective, put off by each
    /// call that its caller has waiting.
    fn due(&self, arrival: &Arrival) -> Instant {
        let waiting = self.by_caller.get(&arrival.caller).copied().unwrap_or(0);
        arrival.objective + self.times.mean * waiting
    }

    /// Takes a call out of the queue.
    pub(super) fn leave(&mut self, place: Place) -> Option<Arrival> {
        let arrival = self.queue.remove(&place)?;
        self.waiting.remove(&place.2);
        if let Some(waiting) = self.by_caller.get_mut(&arrival.caller) {
            *waiting -= 1;
            if *waiting == 0 {
                self.by_caller.remove(&arrival.caller);
            }
        }
        Some(arrival)
    }

    pub(super) fn enqueue(&mut self, ticket: Ticket, arrival: Arrival) {
        let place = (arrival.priority, self.due(&arrival), ticket);
        *self.by_caller.entry(arrival.caller).or_default() += 1;
        self.queue.insert(place, arrival);
        self.waiting.insert(ticket, place);
    }

    pub(super) fn wake(&mut self, now: Instant) -> Vec<Wake> {
        let mut wakes = self.expire(now);
        while self.can_start(now) {
            let Some((place, arrival)) = self.take_next() else { break };
            let ticket = place.2;
            // Work that will most likely miss its deadline would take a slot from
            // a call that can make it, and leave its caller without an answer.
            let left = arrival.deadline.saturating_duration_since(now);
            if left < self.times.of(arrival.kind).mul_f64(LIKELY_SHARE) {
                wakes.push(Wake::Refuse(ticket, Refusal::TooLate));
                continue;
            }
            self.begin(ticket, &arrival, now);
            wakes.push(Wake::Run(ticket));
        }
        wakes
    }

    /// Takes the call whose turn it is out of the queue.
    fn take_next(&mut self) -> Option<(Place, Arrival)> {
        let most = *self.queue.first_key_value()?.0;
        let least = self.queue.last_key_value()?.0.0;
        let mut of_least = self.queue.iter().filter(|(place, _)| place.0 == least);
        let (first_of_least, waits) = of_least.next()?;
        let owed = self.times.of(waits.kind) * URGENT_WORK;
        let place = if self.urgent_work >= owed { *first_of_least } else { most };
        let arrival = self.leave(place)?;
        self.urgent_work = match place.0 == least {
            true => Duration::ZERO,
            false => self.urgent_work + self.times.of(arrival.kind),
        };
        Some((place, arrival))
    }

    /// Refuses what can no longer be answered in time.
    ///
    /// While slots are free nothing waits, so that whoever is refused here gives
    /// its turn to a call that can still make it.
    fn expire(&mut self, now: Instant) -> Vec<Wake> {
        let late: Vec<(Place, Refusal)> = self
            .queue
            .iter()
            .enumerate()
            .filter_map(|(i, (place, arrival))| Some((*place, self.lateness(arrival, i, now)?)))
            .collect();
        for (place, _) in &late {
            self.cancel(place.2);
        }
        late.into_iter().map(|(place, refusal)| Wake::Refuse(place.2, refusal)).collect()
    }

    /// Returns why a call that waits behind `before` others is refused, if it is.
    fn lateness(&self, arrival: &Arrival, before: usize, now: Instant) -> Option<Refusal> {
        if now >= arrival.deadline {
            return Some(Refusal::TooLate);
        }
        let needed = self.times.of(arrival.kind).mul_f64(LEAST_ROOM);
        // A limit that is first named or lowered also binds what was queued before.
        let for_token = self.pace.wait(before, now);
        if now + for_token + needed > arrival.objective && !for_token.is_zero() {
            return Some(Refusal::OverLimit { retry_after: for_token });
        }
        let late = now + needed > arrival.objective;
        late.then_some(Refusal::Busy { retry_after: self.times.mean.max(MIN_RETRY_AFTER) })
    }
}
