//! Timers, kept in one ordered map of the process.
//!
//! The kernel knows of no timer: the thread that waits for sockets waits at most until the
//! nearest deadline.

use super::{REACTOR, lock};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

/// A deadline, and an id that tells timers of the same deadline apart.
type Key = (Instant, u64);

/// The timers that tasks wait for.
#[derive(Default)]
pub(super) struct Timers {
    next_id: u64,
    waiting: BTreeMap<Key, Waker>,
    wait: Wait,
}

/// How long the polling thread waits in the kernel.
#[derive(Clone, Copy, Default)]
enum Wait {
    /// It does not wait, and looks at the timers before it does.
    #[default]
    No,
    /// Until this timer is due.
    Until(Instant),
    /// Until a socket is ready.
    Forever,
}

impl Timers {
    /// Notes that a thread is about to wait, and returns for how long.
    pub(super) fn begin_wait(&mut self, now: Instant) -> Option<Duration> {
        let nearest = self.waiting.first_key_value().map(|((deadline, _), _)| *deadline);
        self.wait = nearest.map_or(Wait::Forever, Wait::Until);
        nearest.map(|deadline| deadline.saturating_duration_since(now))
    }

    /// Notes that no thread waits, and takes the wakers of all timers that are due.
    pub(super) fn end_wait(&mut self, now: Instant, woken: &mut Vec<Waker>) {
        self.wait = Wait::No;
        while let Some(first) = self.waiting.first_entry() {
            if first.key().0 > now {
                return;
            }
            woken.push(first.remove());
        }
    }

    /// Adds a timer, and returns its id and whether the waiting thread must be interrupted
    /// for it.
    fn add(&mut self, deadline: Instant, waker: &Waker) -> (u64, bool) {
        let id = self.next_id;
        self.next_id += 1;
        self.waiting.insert((deadline, id), waker.clone());
        let must_interrupt = match self.wait {
            Wait::No => false,
            Wait::Until(nearest) => deadline < nearest,
            Wait::Forever => true,
        };
        if must_interrupt {
            // The thread looks at all timers again, so one interrupt is enough.
            self.wait = Wait::No;
        }
        (id, must_interrupt)
    }

    /// Replaces the waker of a timer; returns whether the timer is still waiting.
    fn renew(&mut self, key: Key, waker: &Waker) -> bool {
        let Some(current) = self.waiting.get_mut(&key) else { return false };
        current.clone_from(waker);
        true
    }
}

/// Completes at a deadline, never earlier.
#[derive(Debug)]
pub struct Timer {
    /// `None` if the deadline is further away than the clock can express.
    deadline: Option<Instant>,
    /// Id under which the timer waits; `None` before the first poll.
    id: Option<u64>,
}

impl Timer {
    /// Returns a timer that completes after a time.
    pub fn after(time: Duration) -> Timer {
        Timer { deadline: Instant::now().checked_add(time), id: None }
    }

    /// Returns a timer that completes at an instant.
    pub fn at(deadline: Instant) -> Timer {
        Timer { deadline: Some(deadline), id: None }
    }

    /// Changes the deadline, also after the timer has completed.
    pub fn set_at(&mut self, deadline: Instant) {
        self.stop();
        self.deadline = Some(deadline);
    }

    fn stop(&mut self) {
        if let (Some(deadline), Some(id)) = (self.deadline, self.id.take()) {
            // The lock is released before the waker is dropped.
            let _waker = lock(&REACTOR.timers).waiting.remove(&(deadline, id));
        }
    }
}

impl Future for Timer {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let Some(deadline) = self.deadline else { return Poll::Pending };
        if let Some(id) = self.id {
            if lock(&REACTOR.timers).renew((deadline, id), cx.waker()) {
                return Poll::Pending;
            }
            self.id = None;
            return Poll::Ready(());
        }
        if deadline <= Instant::now() {
            return Poll::Ready(());
        }
        let (id, must_interrupt) = lock(&REACTOR.timers).add(deadline, cx.waker());
        self.id = Some(id);
        if must_interrupt {
            REACTOR.interrupt();
        }
        Poll::Pending
    }
}

impl Drop for Timer {
    fn drop(&mut self) {
        self.stop();
    }
}

impl hyper::rt::Sleep for Timer {}

/// Gives hyper the timers of the process.
#[derive(Clone, Copy, Debug, Default)]
pub struct HyperTimer;

impl hyper::rt::Timer for HyperTimer {
    fn sleep(&self, time: Duration) -> Pin<Box<dyn hyper::rt::Sleep>> {
        Box::pin(Timer::after(time))
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn hyper::rt::Sleep>> {
        Box::pin(Timer::at(deadline))
    }

    fn reset(&self, sleep: &mut Pin<Box<dyn hyper::rt::Sleep>>, deadline: Instant) {
        match sleep.as_mut().downcast_mut_pin::<Timer>() {
            Some(timer) => timer.get_mut().set_at(deadline),
            None => *sleep = self.sleep_until(deadline),
        }
    }
}
