//! One upstream on this host: its reports, its gate, and the calls in flight and queued.

use super::end_check::EndCheck;
use crate::clock::Clock;
use crate::daemon::{Daemon, lock};
use cicadashift_core::ids::{CallDigest, incarnation_name};
use cicadashift_core::membership::record::{Endpoint, Readiness};
use cicadashift_core::membership::reports::{LATE_REPORT_WINDOW, ReportId};
use cicadashift_core::membership::silence::{Action, Health, REPORT_TIMEOUT, Silence, Usage};
use cicadashift_core::request::gate::pace::{LimitChange, NamedLimit};
use cicadashift_core::request::gate::{
    Admission, Arrival, End, Gate, KindKey, Refusal, Ticket, Wake,
};
use cicadashift_core::request::machine::{MachinePace, PaceReport};
use cicadashift_edge::interface::Announcement;
use cicadashift_http::client::Pool;
use cicadashift_http::exec;
use cicadashift_http::reactor::Timer;
use smol::channel::{Receiver, Sender};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Consecutive connection failures after which an upstream is considered gone.
const MAX_CONNECT_FAILURES: u32 = 3;

/// Time for which an abandoned call may still be running at the upstream: as long as most
/// deadlines.
const ABANDONED_TTL: Duration = Duration::from_secs(3);
/// Maximum number of abandoned calls remembered; more than an upstream has slots.
const MAX_ABANDONED: usize = 64;

/// One upstream on this host.
pub struct LocalUpstream {
    /// Name in the mesh, unique to this incarnation of the instance.
    pub name: String,
    /// Name of the instance, the same for all its incarnations.
    pub instance: String,
    /// Idle connections to the upstream, at most as many as it has slots.
    pub pool: Pool,
    /// Address on which the upstream serves calls.
    pub address: SocketAddr,
    /// Check whether the upstream ended, done when calls to it break.
    pub end_check: EndCheck,
    /// Whether the last load report of the upstream had its pace.
    reports_pace: AtomicBool,
    state: Mutex<LocalState>,
}

struct LocalState {
    gate: Gate,
    announcement: Announcement,
    silence: Silence,
    connect_failures: u32,
    /// Whether the upstream is leaving or was replaced.
    is_leaving: bool,
    /// Whether the log has a line that no report arrives.
    is_silence_logged: bool,
    /// Whether the upstream signalled in an answer that it is leaving.
    signalled_leaving: bool,
    /// Calls in flight to the upstream.
    in_flight: HashMap<Ticket, CallDigest>,
    /// Calls abandoned lately, which the upstream may still be running.
    abandoned: VecDeque<(Instant, CallDigest)>,
    waiters: HashMap<Ticket, Sender<Result<(), Refusal>>>,
}

/// Load of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Calls running at the upstream.
    pub running: usize,
    /// Calls in the queue of its gate.
    pub queued: usize,
    /// Calls that may run at the same time.
    pub limit: usize,
    /// Mean service time at the upstream.
    pub mean: Duration,
    /// Last reported pace of the upstream's machine.
    pub machine: Option<MachinePace>,
}

impl LocalUpstream {
    pub(super) fn new(announcement: Announcement, now: Instant) -> LocalUpstream {
        let mut gate = Gate::new(u32::from(announcement.slots));
        if announcement.readiness == Readiness::Draining {
            let _no_waiters = gate.drain();
        }
        let connections = usize::from(announcement.slots);
        let address = announcement.address;
        let instance = announcement.instance.clone();
        let name = incarnation_name(&instance, announcement.start);
        let state = LocalState {
            gate,
            is_leaving: announcement.readiness == Readiness::Draining,
            is_silence_logged: false,
            signalled_leaving: false,
            announcement,
            silence: Silence::new(now),
            connect_failures: 0,
            in_flight: HashMap::new(),
            abandoned: VecDeque::new(),
            waiters: HashMap::new(),
        };
        let pool = Pool::new(connections);
        let state = Mutex::new(state);
        LocalUpstream {
            name,
            instance,
            pool,
            address,
            end_check: EndCheck::default(),
            reports_pace: AtomicBool::new(false),
            state,
        }
    }

    /// Records whether the upstream's load report has the pace of its machine.
    pub fn set_reports_pace(&self, reports_pace: bool) {
        self.reports_pace.store(reports_pace, Ordering::Relaxed);
    }

    /// Returns whether the last load report of the upstream had the pace of its machine.
    pub fn reports_pace(&self) -> bool {
        self.reports_pace.load(Ordering::Relaxed)
    }

    /// Returns the start time of this incarnation, or zero if it is unknown.
    pub fn start(&self) -> u64 {
        lock(&self.state).announcement.start
    }

    /// Returns whether a report with this start time may come from this incarnation; zero
    /// matches any.
    pub(super) fn matches_start(&self, start: u64) -> bool {
        let own = self.start();
        own == start || own == 0 || start == 0
    }

    /// Returns whether a report with this start time comes late from an earlier incarnation:
    /// this incarnation has sent a report lately.
    pub(super) fn is_newer_than(&self, start: u64, now: Instant) -> bool {
        let has_reported_lately = lock(&self.state).silence.since_report(now) < LATE_REPORT_WINDOW;
        start != 0 && start < self.start() && has_reported_lately
    }

    /// Admits a call, which waits in the queue if necessary.
    ///
    /// `may_redirect` says that the call is refused where the upstream's machine is slow at
    /// the moment, since another upstream can take it.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the call did not run.
    pub async fn admit(
        self: &Arc<Self>,
        arrival: Arrival,
        may_redirect: bool,
        clock: &Arc<dyn Clock>,
    ) -> Result<SlotPermit, Refusal> {
        let now = clock.now();
        let (ticket, rx) = {
            let mut state = lock(&self.state);
            if may_redirect && let Some(refusal) = state.gate.redirect(&arrival, now) {
                return Err(refusal);
            }
            match state.gate.admit(arrival, now, fastrand::u64(..)) {
                Admission::Run(ticket) => return Ok(SlotPermit::new(self, ticket)),
                Admission::Refuse(refusal) => return Err(refusal),
                Admission::Wait(ticket) => {
                    let (tx, rx) = smol::channel::bounded(1);
                    state.waiters.insert(ticket, tx);
                    (ticket, rx)
                }
            }
        };
        let clock = clock.clone();
        let waiter = Waiter { local: self.clone(), ticket, rx, clock, is_decided: false };
        let remaining = arrival.deadline.saturating_duration_since(now);
        exec::timeout(remaining, waiter.wait()).await.unwrap_or(Err(Refusal::TooLate))
    }

    /// Applies the limit that an answer names, or `None` if it names none; `sent` is when the
    /// call was sent. Returns how the limit changed, if it did.
    pub fn observe_limit(
        &self,
        limit: Option<NamedLimit>,
        sent: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        let mut state = lock(&self.state);
        let change = state.gate.observe_limit(limit, sent, now)?;
        let wakes = state.gate.tick(now);
        state.notify(wakes);
        Some(change)
    }

    /// Records the pace of the upstream's machine.
    pub fn observe_machine(&self, pace: MachinePace) {
        lock(&self.state).gate.observe_machine(pace);
    }

    /// Returns the pace of the upstream's machine, if its last report still says something.
    pub fn machine_report(&self, now: Instant) -> Option<PaceReport> {
        lock(&self.state).gate.machine()?.report(now)
    }

    /// Applies a limit that another daemon observed, unless the upstream has already answered
    /// a call through this daemon.
    pub fn adopt_limit(&self, limit: NamedLimit, now: Instant) {
        if lock(&self.state).gate.adopt_limit(limit, now) {
            let per_s = limit.per_s();
            log::info!(
                "upstream {} named a limit of {per_s} calls/s to another daemon",
                self.instance
            );
        }
    }

    /// Returns the limit that the upstream names and the time after which the entry daemon
    /// is to try again; `None` if the upstream names no limit.
    pub fn schedule_retry(&self, now: Instant) -> Option<(NamedLimit, Duration)> {
        let mut state = lock(&self.state);
        let limit = state.gate.named_limit()?;
        Some((limit, state.gate.schedule_retry(now)?))
    }

    /// Admits queued calls that may run now; returns the time until the limit's next token,
    /// or `None` if a token is free or there is no limit. The next call then waits for a slot
    /// and is admitted when another call ends.
    fn admit_and_time_to_token(&self, now: Instant) -> Option<Duration> {
        let mut state = lock(&self.state);
        let wakes = state.gate.tick(now);
        state.notify(wakes);
        state.gate.next_token(now).filter(|wait| !wait.is_zero())
    }

    /// Records that no connection to the upstream could be made.
    pub fn record_connect_failure(&self) {
        lock(&self.state).connect_failures += 1;
    }

    /// Returns whether the upstream is leaving or was replaced.
    pub fn is_leaving(&self) -> bool {
        lock(&self.state).is_leaving
    }

    /// Returns the calls in flight to the upstream.
    pub fn in_flight(&self) -> Vec<CallDigest> {
        lock(&self.state).in_flight.values().copied().collect()
    }

    /// Returns the calls that the upstream may still be running although no caller waits for
    /// them.
    ///
    /// Failure: a caller disconnects, and the upstream, which still runs its call, is ended by
    /// the call a moment later. Symptom: the call is never suspected, and ends another
    /// upstream each time that it is sent.
    pub fn abandoned(&self, now: Instant) -> Vec<CallDigest> {
        let state = lock(&self.state);
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < ABANDONED_TTL;
        state.abandoned.iter().filter(|(at, _)| is_recent(at)).map(|(_, call)| *call).collect()
    }

    /// Records that a call got no answer before its deadline, and closes the idle connections
    /// to the upstream, which may be just as unresponsive.
    pub fn record_timeout(&self, d: &Daemon) {
        d.metrics.incr("upstream.silent");
        self.pool.close_idle(self.address);
    }

    /// Returns the entry of the upstream in this host's membership record.
    pub fn endpoint(&self) -> Endpoint {
        let state = lock(&self.state);
        Endpoint {
            instance: self.name.clone(),
            service: state.announcement.service.clone(),
            version: state.announcement.version.clone(),
            slots: state.announcement.slots,
            readiness: state.announcement.readiness,
        }
    }

    /// Returns the mean service time of a kind of call.
    pub fn service_time(&self, kind: KindKey) -> Duration {
        lock(&self.state).gate.service_time(kind)
    }

    /// Returns the fraction of the calls sent to the upstream that it accepts.
    pub fn acceptance_rate(&self, now: Instant) -> f64 {
        lock(&self.state).gate.acceptance_rate(now)
    }

    /// Returns the current load.
    pub fn load(&self) -> Load {
        let state = lock(&self.state);
        Load {
            running: state.gate.running(),
            queued: state.gate.queued(),
            limit: state.gate.limit(),
            mean: state.gate.mean_service_time(),
            machine: state.gate.machine(),
        }
    }

    /// Applies a further announcement; returns whether the membership record changed.
    pub(super) fn update(&self, announcement: Announcement, now: Instant) -> bool {
        let mut state = lock(&self.state);
        // Failure: a report is held up on its way and arrives after a newer one.
        // Symptom: an upstream that is leaving is considered ready again.
        if announcement.sequence < state.announcement.sequence {
            return false;
        }
        state.silence.reported(now);
        state.gate.set_slots(u32::from(announcement.slots));
        let readiness = announcement.readiness;
        let slots_changed = state.announcement.slots != announcement.slots;
        let version_changed = state.announcement.version != announcement.version;
        let previous = state.announcement.readiness;
        let start =
            if announcement.start == 0 { state.announcement.start } else { announcement.start };
        state.announcement = Announcement { readiness: previous, start, ..announcement };
        state.set_readiness(readiness) || slots_changed || version_changed
    }

    /// Applies a report of the readiness; returns whether the membership record changed.
    pub(super) fn report(&self, readiness: Readiness, now: Instant) -> bool {
        let mut state = lock(&self.state);
        state.silence.reported(now);
        state.set_readiness(readiness)
    }

    /// Records that the upstream signalled in an answer that it is leaving; returns whether
    /// the membership record changed.
    pub(super) fn record_leaving_signal(&self) -> bool {
        let mut state = lock(&self.state);
        state.signalled_leaving = true;
        state.set_readiness(Readiness::Draining)
    }

    /// Returns whether the upstream signalled in an answer that it is leaving.
    pub fn signalled_leaving(&self) -> bool {
        lock(&self.state).signalled_leaving
    }

    /// Stops admission and refuses all queued calls.
    pub(super) fn drain(&self) {
        let mut state = lock(&self.state);
        state.is_leaving = true;
        let wakes = state.gate.drain();
        state.notify(wakes);
    }

    /// Returns the id of the last report.
    pub(super) fn last_report(&self) -> ReportId {
        let state = lock(&self.state);
        ReportId {
            instance: self.instance.clone(),
            start: state.announcement.start,
            sequence: state.announcement.sequence,
        }
    }

    /// Records what the upstream's health says, while no reports arrive.
    pub(super) fn record_health(&self, health: Health) {
        log::info!("upstream {}: no report lately, health {health:?}", self.instance);
        lock(&self.state).silence.health_checked(health);
    }

    /// Updates the queue; returns what to do about the upstream if no reports arrive.
    pub(super) fn tick(&self, now: Instant) -> Action {
        let mut state = lock(&self.state);
        let wakes = state.gate.tick(now);
        state.notify(wakes);
        let running = state.gate.running();
        let is_silent = state.silence.since_report(now) >= REPORT_TIMEOUT;
        if is_silent && !state.is_silence_logged {
            log::info!("upstream {}: no report lately, {running} calls running", self.instance);
        }
        state.is_silence_logged = is_silent;
        if state.connect_failures >= MAX_CONNECT_FAILURES {
            return Action::Remove;
        }
        let usage = match (running, state.is_leaving) {
            (0, true) => Usage::Drained,
            (0, false) => Usage::Idle,
            _ => Usage::Running,
        };
        state.silence.tick(usage, now)
    }

    fn ended(&self, ticket: Ticket, end: End, now: Instant) {
        let mut state = lock(&self.state);
        if matches!(end, End::Answered(_)) {
            state.connect_failures = 0;
        }
        let call = state.in_flight.remove(&ticket);
        if let (Some(call), End::Failed) = (call, end) {
            state.abandoned.push_back((now, call));
            let excess = state.abandoned.len().saturating_sub(MAX_ABANDONED);
            state.abandoned.drain(..excess);
        }
        let wakes = state.gate.ended(ticket, end, now);
        state.notify(wakes);
    }

    fn cancel(&self, ticket: Ticket) {
        let mut state = lock(&self.state);
        state.gate.cancel(ticket);
        state.waiters.remove(&ticket);
    }
}

impl LocalState {
    fn set_readiness(&mut self, readiness: Readiness) -> bool {
        let previous = self.announcement.readiness;
        // Draining is final for an incarnation: a report that claims otherwise afterwards is
        // late or wrong. The instance has to be announced again.
        if previous == readiness || previous == Readiness::Draining {
            return false;
        }
        self.announcement.readiness = readiness;
        if readiness == Readiness::Draining {
            self.is_leaving = true;
            log::info!("upstream {} leaves", self.announcement.instance);
            let wakes = self.gate.drain();
            self.notify(wakes);
        }
        true
    }

    /// Sends the gate's decisions to the queued calls.
    fn notify(&mut self, wakes: Vec<Wake>) {
        for wake in wakes {
            let (ticket, decision) = match wake {
                Wake::Run(ticket) => (ticket, Ok(())),
                Wake::Refuse(ticket, refusal) => (ticket, Err(refusal)),
            };
            if let Some(tx) = self.waiters.remove(&ticket) {
                let _room_for_one = tx.try_send(decision);
            }
        }
    }
}

/// A call in the queue. Dropping it, such as when the caller disconnects, removes the call
/// from the queue.
struct Waiter {
    local: Arc<LocalUpstream>,
    ticket: Ticket,
    rx: Receiver<Result<(), Refusal>>,
    clock: Arc<dyn Clock>,
    is_decided: bool,
}

impl Waiter {
    async fn wait(mut self) -> Result<SlotPermit, Refusal> {
        let decision = loop {
            if let Some(decision) = self.decision_or_next_token().await {
                break decision;
            }
        };
        self.is_decided = true;
        decision.map(|()| SlotPermit::new(&self.local, self.ticket))
    }
}

impl Waiter {
    /// Returns the gate's decision, or `None` when the limit's next token is due.
    async fn decision_or_next_token(&self) -> Option<Result<(), Refusal>> {
        let decision = async { Some(self.rx.recv().await.unwrap_or(Err(Refusal::Gone))) };
        let Some(wait) = self.local.admit_and_time_to_token(self.clock.now()) else {
            return decision.await;
        };
        let token = async {
            Timer::after(wait).await;
            None
        };
        smol::future::or(decision, token).await
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        if self.is_decided {
            return;
        }
        self.local.cancel(self.ticket);
        // The gate may have admitted the call a moment ago; the slot is then given back.
        if matches!(self.rx.try_recv(), Ok(Ok(()))) {
            drop(SlotPermit::new(&self.local, self.ticket));
        }
    }
}

/// Permit to send one call to an upstream. Dropping it gives the slot back and records the
/// call as failed.
pub struct SlotPermit {
    local: Arc<LocalUpstream>,
    ticket: Ticket,
    ended: bool,
}

impl SlotPermit {
    fn new(local: &Arc<LocalUpstream>, ticket: Ticket) -> SlotPermit {
        SlotPermit { local: local.clone(), ticket, ended: false }
    }

    /// Records the call as in flight, just before it is sent.
    pub fn begin(&self, call: CallDigest) {
        lock(&self.local.state).in_flight.insert(self.ticket, call);
    }

    /// Records that the call, which was to be sent, was not.
    pub fn take_back(&self) {
        lock(&self.local.state).in_flight.remove(&self.ticket);
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
