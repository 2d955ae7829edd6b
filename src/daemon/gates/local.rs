//! One upstream on this host: what it says of itself, who is at work there and who waits.

use super::end_check::EndCheck;
use crate::clock::Clock;
use crate::daemon::{Daemon, lock};
use cicadashift_core::ids::CallDigest;
use cicadashift_core::membership::record::{Endpoint, Readiness};
use cicadashift_core::request::gate::pace::{LimitChange, NamedLimit};
use cicadashift_core::request::gate::{
    Admission, Arrival, End, Gate, KindKey, Refusal, Ticket, Wake,
};
use cicadashift_edge::interface::Announcement;
use cicadashift_http::client::Pool;
use cicadashift_http::exec;
use smol::channel::{Receiver, Sender};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time without a report after which an upstream is taken for gone.
const REPORT_LIFE: Duration = Duration::from_secs(5);
/// Time in which reports of an earlier start of an instance may still arrive: a cut that
/// heals delivers what it held up some seconds late. One that claims an older start after
/// that is believed, since its host's clock may have been set back between two starts.
pub(super) const LATE_REPORT: Duration = Duration::from_secs(5);
/// Failures to connect in a row after which an upstream is taken for gone.
const UNREACHED_MOST: u32 = 3;

/// How long a call that was given up may still be at an upstream: as long as most
/// deadlines.
const GIVEN_UP_FOR: Duration = Duration::from_secs(3);
/// Most such calls remembered; more than an upstream has slots for.
const GIVEN_UP_KEPT: usize = 64;

/// One upstream on this host.
pub struct LocalUpstream {
    /// Its name in the mesh, which no other start of the instance has.
    pub name: String,
    /// The instance's own name.
    pub instance: String,
    /// Kept connections to it, never more than it takes.
    pub pool: Pool,
    /// Where it serves.
    pub address: SocketAddr,
    /// Whether it ended, once calls at it broke.
    pub end_check: EndCheck,
    state: Mutex<LocalState>,
}

struct LocalState {
    gate: Gate,
    announced: Announcement,
    reported: Instant,
    unreached: u32,
    /// Whether it said that it leaves, or was replaced.
    leaves: bool,
    /// Whether its answers say that it leaves.
    signalled_leaving: bool,
    /// What is at the upstream now.
    at_work: HashMap<Ticket, CallDigest>,
    /// What was sent and given up lately, and may be at the upstream still.
    given_up: VecDeque<(Instant, CallDigest)>,
    waiting: HashMap<Ticket, Sender<Result<(), Refusal>>>,
}

/// Load of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Calls at the upstream.
    pub running: usize,
    /// Calls waiting here.
    pub queued: usize,
    /// Calls that may run at once now.
    pub limit: usize,
    /// Mean time at the upstream.
    pub mean: Duration,
}

impl LocalUpstream {
    pub(super) fn new(announced: Announcement, now: Instant) -> LocalUpstream {
        let mut gate = Gate::new(u32::from(announced.slots));
        if announced.readiness == Readiness::Draining {
            let _nobody_waits = gate.drain();
        }
        let connections = usize::from(announced.slots);
        let address = announced.address;
        let instance = announced.instance.clone();
        let name = match announced.start {
            0 => instance.clone(),
            start => format!("{instance}@{start}"),
        };
        let state = LocalState {
            gate,
            leaves: announced.readiness == Readiness::Draining,
            signalled_leaving: false,
            announced,
            reported: now,
            unreached: 0,
            at_work: HashMap::new(),
            given_up: VecDeque::new(),
            waiting: HashMap::new(),
        };
        let pool = Pool::new(connections);
        let state = Mutex::new(state);
        LocalUpstream { name, instance, pool, address, end_check: EndCheck::default(), state }
    }

    /// Returns when it started, zero where that is not told.
    pub fn start(&self) -> u64 {
        lock(&self.state).announced.start
    }

    /// Returns whether a report may be of this start.
    pub(super) fn is_start(&self, start: u64) -> bool {
        let own = self.start();
        own == start || own == 0 || start == 0
    }

    /// Returns whether a report is of an earlier start and comes late: this one has
    /// reported itself since.
    pub(super) fn is_later_start_than(&self, start: u64, now: Instant) -> bool {
        let reported = lock(&self.state).reported;
        let is_live = now.saturating_duration_since(reported) < LATE_REPORT;
        start != 0 && start < self.start() && is_live
    }

    /// Decides about a call, waiting in the queue if need be.
    ///
    /// # Errors
    ///
    /// Returns why the call did not run.
    pub async fn admit(
        self: &Arc<Self>,
        arrival: Arrival,
        clock: &Arc<dyn Clock>,
    ) -> Result<SlotPermit, Refusal> {
        let now = clock.now();
        let (ticket, rx) = {
            let mut state = lock(&self.state);
            match state.gate.admit(arrival, now, fastrand::u64(..)) {
                Admission::Run(ticket) => return Ok(SlotPermit::new(self, ticket)),
                Admission::Refuse(refusal) => return Err(refusal),
                Admission::Wait(ticket) => {
                    let (tx, rx) = smol::channel::bounded(1);
                    state.waiting.insert(ticket, tx);
                    (ticket, rx)
                }
            }
        };
        let clock = clock.clone();
        let waiter = Waiter { local: self.clone(), ticket, rx, clock, done: false };
        let left = arrival.deadline.saturating_duration_since(now);
        exec::timeout(left, waiter.wait()).await.unwrap_or(Err(Refusal::TooLate))
    }

    /// Takes in what an answer says of the upstream's limit; `sent` is when its call was.
    pub fn observe_limit(
        &self,
        limit: Option<NamedLimit>,
        sent: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        let mut state = lock(&self.state);
        let change = state.gate.observe_limit(limit, sent, now)?;
        let wakes = state.gate.tick(now);
        state.tell(wakes);
        Some(change)
    }

    /// Takes over a limit that another daemon observed.
    pub fn adopt_limit(&self, limit: NamedLimit, now: Instant) {
        if lock(&self.state).gate.adopt_limit(limit, now) {
            let per_s = limit.per_s();
            log::info!("upstream {} named a limit of {per_s} calls/s elsewhere", self.instance);
        }
    }

    /// Returns the limit that the upstream names, and after what time a daemon that asked
    /// is to ask again.
    pub fn schedule_retry(&self, now: Instant) -> Option<(NamedLimit, Duration)> {
        let mut state = lock(&self.state);
        let limit = state.gate.named_limit()?;
        Some((limit, state.gate.schedule_retry(now)?))
    }

    /// Lets in what may run now; returns how long the upstream's limit holds the next
    /// call back. Where a slot holds it back, the end of a call lets it in.
    fn wait_for_token(&self, now: Instant) -> Option<Duration> {
        let mut state = lock(&self.state);
        let wakes = state.gate.tick(now);
        state.tell(wakes);
        state.gate.next_token(now).filter(|wait| !wait.is_zero())
    }

    /// Notes that the upstream could not be connected to.
    pub fn record_connect_failure(&self) {
        lock(&self.state).unreached += 1;
    }

    /// Returns whether it said that it leaves, or another one has its address.
    pub fn leaves(&self) -> bool {
        lock(&self.state).leaves
    }

    /// Returns what is at the upstream now.
    pub fn at_work(&self) -> Vec<CallDigest> {
        lock(&self.state).at_work.values().copied().collect()
    }

    /// Returns what may be at the upstream although nobody waits for it any more.
    ///
    /// Failure: a caller leaves, and the upstream ends a moment later under what it runs
    /// on for nobody. Symptom: the call is never named, and ends one upstream each time.
    pub fn given_up(&self, now: Instant) -> Vec<CallDigest> {
        let state = lock(&self.state);
        let lately = |at: &Instant| now.saturating_duration_since(*at) < GIVEN_UP_FOR;
        state.given_up.iter().filter(|(at, _)| lately(at)).map(|(_, call)| *call).collect()
    }

    /// Notes that a call was given up without a word from the upstream: its
    /// other connections may be as silent.
    pub fn record_timeout(&self, d: &Daemon) {
        d.metrics.incr("upstream.silent");
        self.pool.forget(self.address);
    }

    /// Returns its record for others.
    pub fn endpoint(&self) -> Endpoint {
        let state = lock(&self.state);
        Endpoint {
            instance: self.name.clone(),
            service: state.announced.service.clone(),
            version: state.announced.version.clone(),
            slots: state.announced.slots,
            readiness: state.announced.readiness,
        }
    }

    /// Returns the mean time that a call of a kind takes there.
    pub fn service_time(&self, kind: KindKey) -> Duration {
        lock(&self.state).gate.service_time(kind)
    }

    /// Returns the share of the calls sent to it that it takes.
    pub fn acceptance_rate(&self, now: Instant) -> f64 {
        lock(&self.state).gate.acceptance_rate(now)
    }

    /// Returns its load.
    pub fn load(&self) -> Load {
        let state = lock(&self.state);
        Load {
            running: state.gate.running(),
            queued: state.gate.queued(),
            limit: state.gate.limit(),
            mean: state.gate.mean_service_time(),
        }
    }

    /// Takes in a further announcement; returns whether others must hear of it.
    pub(super) fn renew(&self, announced: Announcement, now: Instant) -> bool {
        let mut state = lock(&self.state);
        // Failure: a report is held up on its way and arrives after a newer one.
        // Symptom: an upstream that leaves is taken for ready again.
        if announced.sequence < state.announced.sequence {
            return false;
        }
        state.reported = now;
        state.gate.set_slots(u32::from(announced.slots));
        let readiness = announced.readiness;
        let slots_changed = state.announced.slots != announced.slots;
        let version_changed = state.announced.version != announced.version;
        let was = state.announced.readiness;
        let start = if announced.start == 0 { state.announced.start } else { announced.start };
        state.announced = Announcement { readiness: was, start, ..announced };
        state.take_readiness(readiness) || slots_changed || version_changed
    }

    pub(super) fn report(&self, readiness: Readiness, now: Instant) -> bool {
        let mut state = lock(&self.state);
        state.reported = now;
        state.take_readiness(readiness)
    }

    /// Takes in that it said in an answer that it leaves; returns whether others must hear
    /// of it.
    pub(super) fn leave(&self) -> bool {
        let mut state = lock(&self.state);
        state.signalled_leaving = true;
        state.take_readiness(Readiness::Draining)
    }

    /// Returns whether its answers say that it leaves.
    pub fn signalled_leaving(&self) -> bool {
        lock(&self.state).signalled_leaving
    }

    pub(super) fn drain(&self) {
        let mut state = lock(&self.state);
        state.leaves = true;
        let wakes = state.gate.drain();
        state.tell(wakes);
    }

    /// Does what is due; returns whether the upstream is to be taken for gone.
    pub(super) fn tick(&self, now: Instant) -> bool {
        let mut state = lock(&self.state);
        let wakes = state.gate.tick(now);
        state.tell(wakes);
        let silent = now.saturating_duration_since(state.reported) >= REPORT_LIFE;
        state.unreached >= UNREACHED_MOST || (silent && state.gate.running() == 0)
    }

    fn ended(&self, ticket: Ticket, end: End, now: Instant) {
        let mut state = lock(&self.state);
        if matches!(end, End::Answered(_)) {
            state.unreached = 0;
        }
        let call = state.at_work.remove(&ticket);
        if let (Some(call), End::Failed) = (call, end) {
            state.given_up.push_back((now, call));
            let more = state.given_up.len().saturating_sub(GIVEN_UP_KEPT);
            state.given_up.drain(..more);
        }
        let wakes = state.gate.ended(ticket, end, now);
        state.tell(wakes);
    }

    fn cancel(&self, ticket: Ticket) {
        let mut state = lock(&self.state);
        state.gate.cancel(ticket);
        state.waiting.remove(&ticket);
    }
}

impl LocalState {
    fn take_readiness(&mut self, readiness: Readiness) -> bool {
        let was = self.announced.readiness;
        // A drain is final for an instance: one that is claimed over afterwards
        // is a late or lying report. It must announce itself anew.
        if was == readiness || was == Readiness::Draining {
            return false;
        }
        self.announced.readiness = readiness;
        if readiness == Readiness::Draining {
            self.leaves = true;
            log::info!("upstream {} leaves", self.announced.instance);
            let wakes = self.gate.drain();
            self.tell(wakes);
        }
        true
    }

    fn tell(&mut self, wakes: Vec<Wake>) {
        for wake in wakes {
            let (ticket, news) = match wake {
                Wake::Run(ticket) => (ticket, Ok(())),
                Wake::Refuse(ticket, refusal) => (ticket, Err(refusal)),
            };
            if let Some(tx) = self.waiting.remove(&ticket) {
                let _room_for_one = tx.try_send(news);
            }
        }
    }
}

/// A call in the queue; leaves it when its caller does.
struct Waiter {
    local: Arc<LocalUpstream>,
    ticket: Ticket,
    rx: Receiver<Result<(), Refusal>>,
    clock: Arc<dyn Clock>,
    done: bool,
}

impl Waiter {
    async fn wait(mut self) -> Result<SlotPermit, Refusal> {
        let news = loop {
            if let Some(news) = self.news_or_next_token().await {
                break news;
            }
        };
        self.done = true;
        news.map(|()| SlotPermit::new(&self.local, self.ticket))
    }
}

impl Waiter {
    /// Returns what was decided, or `None` when the upstream's limit may let a call through.
    async fn news_or_next_token(&self) -> Option<Result<(), Refusal>> {
        let news = async { Some(self.rx.recv().await.unwrap_or(Err(Refusal::Gone))) };
        let Some(wait) = self.local.wait_for_token(self.clock.now()) else { return news.await };
        let token = async {
            smol::Timer::after(wait).await;
            None
        };
        smol::future::or(news, token).await
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        if self.done {
            return;
        }
        self.local.cancel(self.ticket);
        // The gate may have let it in a moment ago: the slot is given back.
        if matches!(self.rx.try_recv(), Ok(Ok(()))) {
            drop(SlotPermit::new(&self.local, self.ticket));
        }
    }
}

/// The right to send one call to an upstream; gives its slot back when dropped.
pub struct SlotPermit {
    local: Arc<LocalUpstream>,
    ticket: Ticket,
    ended: bool,
}

impl SlotPermit {
    fn new(local: &Arc<LocalUpstream>, ticket: Ticket) -> SlotPermit {
        SlotPermit { local: local.clone(), ticket, ended: false }
    }

    /// Records what is about to be sent.
    pub fn begin(&self, call: CallDigest) {
        lock(&self.local.state).at_work.insert(self.ticket, call);
    }

    /// Records how the call ended.
    pub fn end(mut self, end: End, now: Instant) {
        self.ended = true;
        self.local.ended(self.ticket, end, now);
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        if !self.ended {
            self.local.ended(self.ticket, End::Failed, Instant::now());
        }
    }
}
