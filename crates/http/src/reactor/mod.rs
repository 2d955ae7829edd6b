//! Sockets and timers of the process, polled by the threads that run its tasks.
//!
//! A thread that has nothing to run waits in the kernel for sockets until the nearest
//! timer is due ([`drive`]). No thread exists only to wait, so an event reaches its task
//! without a switch between threads.
//!
//! Sockets are registered once, edge-triggered ([`Async`]). Timers are kept in an ordered
//! map of the process ([`Timer`]); setting or dropping one takes no system call.
//! `docs/design/REACTOR.md` says who polls when, and names the limits.

mod drive;
mod io;
mod timer;

pub use io::Async;
pub use timer::{HyperTimer, Timer};

pub(crate) use drive::drive;

use drive::Driver;
use io::Source;
use rustix::event::epoll::{self, CreateFlags, Event, EventData, EventFlags};
use rustix::event::{EventfdFlags, Timespec, eventfd};
use rustix::fd::{AsFd, OwnedFd};
use rustix::io::Errno;
use std::collections::HashMap;
use std::io as std_io;
use std::mem::MaybeUninit;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, LazyLock, Mutex, MutexGuard, PoisonError, TryLockError};
use std::task::Waker;
use std::time::{Duration, Instant};
use timer::Timers;

/// Maximum number of events taken in one call of the kernel; further ones are taken in the
/// next call.
const MAX_EVENTS: usize = 256;
/// Id of the event by which a waiting thread is interrupted.
const INTERRUPT_ID: u64 = 0;

static REACTOR: LazyLock<Reactor> =
    LazyLock::new(|| Reactor::new().expect("the system offers epoll and eventfd"));

/// The registered sockets, the timers, and the right to wait for them.
struct Reactor {
    epoll: OwnedFd,
    /// Interrupts a thread that waits. It is registered edge-triggered, so that it need not
    /// be read.
    interrupt: OwnedFd,
    next_id: AtomicU64,
    sources: Mutex<HashMap<u64, Arc<Source>>>,
    timers: Mutex<Timers>,
    /// Locked by the thread that polls; holds the wakers that it collects.
    poller: Mutex<Vec<Waker>>,
    /// Threads that have nothing to run and found another one polling.
    parked: Mutex<Vec<Arc<Driver>>>,
}

/// The right to poll, which one thread has at a time.
struct Turn<'a> {
    reactor: &'a Reactor,
    woken: MutexGuard<'a, Vec<Waker>>,
}

impl Reactor {
    fn new() -> std_io::Result<Reactor> {
        let epoll = epoll::create(CreateFlags::CLOEXEC)?;
        let interrupt = eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?;
        let flags = EventFlags::IN | EventFlags::ET;
        epoll::add(&epoll, &interrupt, EventData::new_u64(INTERRUPT_ID), flags)?;
        Ok(Reactor {
            epoll,
            interrupt,
            next_id: AtomicU64::new(INTERRUPT_ID + 1),
            sources: Mutex::new(HashMap::new()),
            timers: Mutex::new(Timers::default()),
            poller: Mutex::new(Vec::new()),
            parked: Mutex::new(Vec::new()),
        })
    }

    /// Registers a socket for as long as it is open.
    fn add(&self, fd: impl AsFd, source: Source, flags: EventFlags) -> std_io::Result<Registered> {
        // Ids are never used again, so that an event of a closed socket finds none.
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let source = Arc::new(source);
        // Inserted first, since another thread may take an event at once.
        lock(&self.sources).insert(id, source.clone());
        let registered = Registered { id, source };
        epoll::add(&self.epoll, fd, EventData::new_u64(id), flags | EventFlags::ET)?;
        Ok(registered)
    }

    /// Takes the right to poll, unless another thread has it.
    fn try_turn(&self) -> Option<Turn<'_>> {
        match self.poller.try_lock() {
            Ok(woken) => Some(Turn { reactor: self, woken }),
            Err(TryLockError::Poisoned(err)) => {
                Some(Turn { reactor: self, woken: err.into_inner() })
            }
            Err(TryLockError::WouldBlock) => None,
        }
    }

    /// Makes the thread that waits in the kernel return, or else the next one.
    fn interrupt(&self) {
        match rustix::io::write(&self.interrupt, &1_u64.to_ne_bytes()) {
            // A full counter means that an interrupt is pending.
            Ok(_) | Err(Errno::AGAIN) => {}
            Err(err) => log::error!("cannot interrupt the wait for sockets: {err}"),
        }
    }

    /// Wakes a parked thread, which then polls unless another one does.
    fn hand_over(&self) {
        let next = lock(&self.parked).pop();
        if let Some(driver) = next {
            driver.wake();
        }
    }
}

/// A socket's entry in the reactor, removed when dropped. The kernel removes its own entry
/// when the socket is closed.
struct Registered {
    id: u64,
    source: Arc<Source>,
}

impl Drop for Registered {
    fn drop(&mut self) {
        // The lock is released before the source is dropped with its wakers.
        let _source = lock(&REACTOR.sources).remove(&self.id);
    }
}

impl Turn<'_> {
    /// Wakes the tasks of all sockets and timers that are ready, without waiting.
    fn poll(self) {
        self.wake_ready(Some(Duration::ZERO));
    }

    /// Waits until a socket is ready, a timer is due or the wait is interrupted, and wakes
    /// the tasks.
    fn wait(self) {
        let timeout = lock(&self.reactor.timers).begin_wait(Instant::now());
        self.wake_ready(timeout);
    }

    fn wake_ready(mut self, timeout: Option<Duration>) {
        let mut buf = [const { MaybeUninit::<Event>::uninit() }; MAX_EVENTS];
        let timeout = timeout.map(whole_milliseconds);
        let events = match epoll::wait(&self.reactor.epoll, &mut buf[..], timeout.as_ref()) {
            Ok((events, _)) => events,
            Err(Errno::INTR) => &mut [],
            Err(err) => panic!("cannot wait for sockets: {err}"),
        };
        lock(&self.reactor.timers).end_wait(Instant::now(), &mut self.woken);
        self.set_ready(events);
        // No lock but the right to poll is held here: a waker may run any code.
        for waker in self.woken.drain(..) {
            waker.wake();
        }
    }

    fn set_ready(&mut self, events: &[Event]) {
        if events.is_empty() {
            return;
        }
        let sources = lock(&self.reactor.sources);
        for event in events {
            // Copied, since the event is packed.
            let (data, flags) = (event.data, event.flags);
            if let Some(source) = sources.get(&data.u64()) {
                source.set_ready(flags, &mut self.woken);
            }
        }
    }
}

/// Rounds up to the resolution of a wait in the kernel, so that no timer fires early.
fn whole_milliseconds(time: Duration) -> Timespec {
    let ms = i64::try_from(time.as_nanos().div_ceil(1_000_000)).unwrap_or(i64::MAX);
    Timespec { tv_sec: ms / 1000, tv_nsec: (ms % 1000) * 1_000_000 }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
