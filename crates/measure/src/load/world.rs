//! State, virtual clock and event queue of one run.

use super::Switches;
use super::deployment::{Deployment, Fault, FaultKind, Kind, Organisations, Service};
use super::tally::Tally;
use cicadashift_core::ids::HostKey;
use cicadashift_core::membership::record::Readiness;
use cicadashift_core::request::choose::{Locality, Picker, UpstreamInfo};
use cicadashift_core::request::gate::{Gate, Ticket};
use cicadashift_core::request::retry::{Allowance, RetryBudget};
use cicadashift_core::request::returning::ReturningCallers;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

/// Interval at which a daemon checks its queue, as in `src/daemon/gates/mod.rs`.
const GATE_TICK: Duration = Duration::from_millis(250);
/// Longest time until a started upstream is announced: about the interval of reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(1500);
/// Fraction of the allowed retry ratio that daemons use, as in `src/daemon/services.rs`.
const SAFE_SHARE: f64 = 0.5;
/// Fraction of the slack that daemons use, as in `src/daemon/services.rs`.
const SLACK_SHARE: f64 = 0.25;
/// Time for which earned retries are saved, as in `src/daemon/services.rs` for a window of 10 s.
const SAVED_FOR: Duration = Duration::from_secs(1);
/// How long a run continues after the last new caller, so that all are answered.
const DRAIN_TIME: Duration = Duration::from_secs(8);

/// Index of a host, with its daemon and its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostId(pub usize);
/// Index of a kind of call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KindId(pub usize);
/// Index of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerId(pub usize);
/// Index of a request at its entry daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestId(pub usize);
/// Index of one attempt of a request at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId(pub usize);

/// An event of the simulation.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// A new caller arrives.
    CallerArrives { kind: KindId, domain: usize },
    /// A caller's request reaches its entry daemon.
    AtEntry(CallerId),
    /// An attempt reaches the exit daemon.
    AtExit(AttemptId),
    /// The cancellation of an attempt reaches its exit daemon.
    AttemptCancelled(AttemptId),
    /// An upstream has finished its own work on an attempt; nested calls follow.
    WorkDone(AttemptId),
    /// The result of an attempt reaches its entry daemon.
    ResultAtEntry(AttemptId, super::entry::AttemptResult),
    /// An attempt is late; a hedged attempt may be sent.
    HedgeDue(AttemptId),
    /// The deadline of a request has passed.
    Deadline(RequestId),
    /// A caller disconnects before its answer.
    CallerLeaves(RequestId),
    /// A daemon checks its queue.
    Tick(HostId),
    /// Other upstreams of the service with this index become slow for a moment.
    Noise(usize),
    /// A fault begins or ends.
    Fault { index: usize, begins: bool },
    /// A started upstream is announced.
    UpstreamAnnounced(HostId),
    /// All daemons receive a change in membership.
    MembershipUpdate,
}

struct ScheduledEvent {
    at: Duration,
    /// Order of events at the same time.
    sequence: u64,
    event: Event,
    /// Whether the daemon's processor time for the event has passed.
    is_processed: bool,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        self.key() == other.key()
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> std::cmp::Ordering {
        self.key().cmp(&other.key())
    }
}
impl ScheduledEvent {
    fn key(&self) -> (Duration, u64) {
        (self.at, self.sequence)
    }
}

/// One host: its daemon, which is entry and exit daemon, and its upstream.
pub struct Host {
    pub domain: usize,
    pub service: usize,
    pub speed: f64,
    /// Whether the upstream can be reached.
    pub upstream_up: bool,
    /// Whether callers can reach the daemon.
    pub daemon_up: bool,
    /// Whether membership lists the upstream.
    pub announced: bool,
    pub cold_until: Duration,
    /// Incremented with each start, so that a restarted upstream counts as another one.
    pub incarnation: u32,
    /// Share of a processor that the daemon has.
    pub processor_share: f64,
    /// When the daemon will have processed the messages received so far.
    pub processor_free_at: Duration,
    pub gate: Gate,
    /// Attempts that run or are queued, by their ticket at the gate. The order is that in which
    /// they end if the upstream does, so that a run repeats.
    pub tickets: BTreeMap<Ticket, AttemptId>,
    /// Shares of the calls that the upstream refuses, answers with a failure, or runs without
    /// delivering the answer; set by faults.
    pub refuse_share: f64,
    pub fail_share: f64,
    pub lose_share: f64,
    /// Factor on the service times, set by faults.
    pub slowdown: f64,
    /// Whether the upstream is slow for a moment, as its service's noise says.
    pub noisy: bool,
    /// Load balancers and retry budgets of the entry daemon, by service.
    pub pickers: Vec<Picker>,
    pub budgets: Vec<RetryBudget>,
    pub returning: ReturningCallers,
}

/// One run.
pub struct World {
    pub deployment: Deployment,
    pub switches: Switches,
    pub kinds: Vec<(String, Kind)>,
    pub services: Vec<(String, Service)>,
    pub hosts: Vec<Host>,
    pub callers: Vec<super::caller::Caller>,
    pub requests: Vec<super::entry::Request>,
    pub attempts: Vec<super::exit::UpstreamAttempt>,
    pub tally: Tally,
    pub rng: fastrand::Rng,
    /// Share of the callers that belongs to each organisation without faults.
    pub organisations: Vec<f64>,
    /// Whether each fault of the deployment lasts at this time.
    pub active_faults: Vec<bool>,
    /// Share of the callers that disconnect after half of their objective.
    pub leave_share: f64,
    /// Share of impatient callers, and the factor on the retries that they make.
    pub impatient: (f64, f64),
    /// The `Instant` at which virtual time is zero.
    base: Instant,
    now: Duration,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    last_sequence: u64,
}

impl World {
    /// Creates a run with warm upstreams that all daemons know.
    pub fn new(deployment: Deployment, switches: Switches, seed: u64) -> World {
        let kinds: Vec<_> = deployment.kind.clone().into_iter().collect();
        let services: Vec<_> = deployment.service.clone().into_iter().collect();
        let organisations =
            deployment.organisations.as_ref().map_or_else(Vec::new, Organisations::shares);
        let tally = Tally::new(&kinds, &services, &deployment);
        let mut world = World {
            switches,
            kinds,
            services,
            hosts: Vec::new(),
            callers: Vec::new(),
            requests: Vec::new(),
            attempts: Vec::new(),
            tally,
            rng: fastrand::Rng::with_seed(seed),
            organisations,
            active_faults: vec![false; deployment.trouble.len()],
            leave_share: 0.0,
            impatient: (0.0, 1.0),
            base: Instant::now(),
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            last_sequence: 0,
            deployment,
        };
        world.add_hosts();
        world.update_membership();
        world.schedule_initial_events();
        world
    }

    /// Simulates the run to its end.
    pub fn simulate(mut self) -> Tally {
        let end = Duration::from_secs_f64(self.deployment.seconds) + DRAIN_TIME;
        while let Some(Reverse(due)) = self.queue.pop() {
            if due.at > end {
                break;
            }
            self.now = due.at;
            match self.processor_time(&due) {
                Some(wait) => self.push(wait, due.event, true),
                None => self.step(due.event),
            }
        }
        self.tally
    }

    /// Returns the virtual time since the beginning of the run.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Converts a virtual time to the `Instant` that the functions of `cicadashift_core` take.
    pub fn instant(&self, at: Duration) -> Instant {
        self.base + at
    }

    /// Schedules an event after a time.
    pub fn schedule(&mut self, wait: Duration, event: Event) {
        self.push(wait, event, false);
    }

    fn push(&mut self, wait: Duration, event: Event, is_processed: bool) {
        self.last_sequence += 1;
        let due = ScheduledEvent {
            at: self.now + wait,
            sequence: self.last_sequence,
            event,
            is_processed,
        };
        self.queue.push(Reverse(due));
    }

    /// Returns the time until a daemon has processed the messages of an event, in order of
    /// arrival; `None` for an event that takes no processor time.
    fn processor_time(&mut self, due: &ScheduledEvent) -> Option<Duration> {
        let message = Duration::from_secs_f64(self.deployment.message_us / 1e6);
        if due.is_processed || message.is_zero() {
            return None;
        }
        let daemon = match due.event {
            Event::AtEntry(caller) => self.callers[caller.0].entry,
            Event::AtExit(attempt) | Event::WorkDone(attempt) => self.attempts[attempt.0].host,
            Event::ResultAtEntry(attempt, _) => {
                self.requests[self.attempts[attempt.0].request.0].entry
            }
            _ => return None,
        };
        // The nested calls of a run are messages of its daemon, beside that with its answer.
        let messages = match due.event {
            Event::WorkDone(attempt) => 1 + self.attempts[attempt.0].stage.calls_left(),
            _ => 1,
        };
        let now = self.now;
        let host = &mut self.hosts[daemon.0];
        let done =
            host.processor_free_at.max(now) + (message * messages).div_f64(host.processor_share);
        host.processor_free_at = done;
        Some(done - now)
    }

    /// Draws a network delay from one host to another.
    pub fn one_way_delay(&mut self, from: HostId, to: HostId) -> Duration {
        if from == to {
            return Duration::ZERO;
        }
        let delays = &self.deployment.ways;
        let far = self.hosts[from.0].domain != self.hosts[to.0].domain;
        let ms = delays.near_ms * (0.5 + 0.5 * -self.rng.f64().max(1e-9).ln());
        Duration::from_secs_f64((ms + if far { delays.far_ms } else { 0.0 }) / 1e3)
    }

    /// Returns the index of a service by its name, which exists in a validated deployment.
    pub fn service_index(&self, name: &str) -> usize {
        self.services.iter().position(|(service, _)| service == name).unwrap_or(0)
    }

    /// Returns the retries that one daemon may make for a service.
    pub fn allowance(&self) -> Allowance {
        let daemons = self.hosts.len().max(1) as f64;
        Allowance {
            earned_per_attempt: self.deployment.retry_ratio * SAFE_SHARE,
            max_saved: self.deployment.retry_slack * SLACK_SHARE / daemons,
            saved_for: SAVED_FOR,
        }
    }

    fn add_hosts(&mut self) {
        for index in 0..self.services.len() {
            let service = self.services[index].1.clone();
            let domains = service.upstreams.iter().enumerate();
            let host_domains: Vec<usize> =
                domains.flat_map(|(domain, count)| vec![domain; *count]).collect();
            for (position, domain) in host_domains.into_iter().enumerate() {
                let speed = service.speeds[position % service.speeds.len()];
                self.hosts.push(Host {
                    domain,
                    service: index,
                    speed,
                    upstream_up: true,
                    daemon_up: true,
                    announced: true,
                    cold_until: Duration::ZERO,
                    incarnation: 0,
                    processor_share: service.shares[position % service.shares.len()],
                    processor_free_at: Duration::ZERO,
                    gate: Gate::new(u32::from(service.slots)),
                    tickets: BTreeMap::new(),
                    refuse_share: 0.0,
                    fail_share: 0.0,
                    lose_share: 0.0,
                    slowdown: 1.0,
                    noisy: false,
                    pickers: Vec::new(),
                    budgets: Vec::new(),
                    returning: ReturningCallers::default(),
                });
            }
        }
        let allowance = self.allowance();
        let (policy, services) = (self.switches.choice, self.services.len());
        for (index, host) in self.hosts.iter_mut().enumerate() {
            host.pickers = vec![Picker::new(policy, HostKey(index as u64)); services];
            host.budgets = vec![RetryBudget::new(allowance); services];
        }
    }

    fn schedule_initial_events(&mut self) {
        for kind in 0..self.kinds.len() {
            for domain in 0..self.deployment.domains {
                self.schedule_next_caller(KindId(kind), domain);
            }
        }
        for host in 0..self.hosts.len() {
            self.schedule(GATE_TICK, Event::Tick(HostId(host)));
        }
        for service in 0..self.services.len() {
            self.schedule(Duration::ZERO, Event::Noise(service));
        }
        for index in 0..self.deployment.trouble.len() {
            let Fault { at_s, for_s, .. } = self.deployment.trouble[index];
            let (begin, end) =
                (Duration::from_secs_f64(at_s), Duration::from_secs_f64(at_s + for_s));
            self.schedule(begin, Event::Fault { index, begins: true });
            self.schedule(end, Event::Fault { index, begins: false });
        }
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::CallerArrives { kind, domain } => self.caller_arrives(kind, domain),
            Event::AtEntry(caller) => self.request_arrives(caller),
            Event::AtExit(attempt) => self.attempt_arrives(attempt),
            Event::AttemptCancelled(attempt) => self.attempt_cancelled(attempt),
            Event::WorkDone(attempt) => self.work_done(attempt),
            Event::ResultAtEntry(attempt, result) => self.attempt_ended(attempt, result),
            Event::HedgeDue(attempt) => self.hedge(attempt),
            Event::Deadline(request) => self.deadline_passed(request),
            Event::CallerLeaves(request) => self.caller_leaves(request),
            Event::Tick(host) => self.tick(host),
            Event::Noise(service) => self.change_noise(service),
            Event::Fault { index, begins } => self.apply_fault(index, begins),
            Event::UpstreamAnnounced(host) => self.announce(host),
            Event::MembershipUpdate => self.update_membership(),
        }
    }

    fn tick(&mut self, host: HostId) {
        let now = self.instant(self.now);
        let wakes = self.hosts[host.0].gate.tick(now);
        self.apply_wakes(host, wakes);
        self.schedule(GATE_TICK, Event::Tick(host));
    }

    /// Draws the upstreams of a service that are slow until the next change.
    fn change_noise(&mut self, service: usize) {
        let Some(noise) = self.services[service].1.noise.clone() else { return };
        let of_service = |host: &usize| self.hosts[*host].service == service;
        let hosts: Vec<usize> = (0..self.hosts.len()).filter(of_service).collect();
        let slow = (hosts.len() as f64 * noise.share).round() as usize;
        let chosen = self.rng.choose_multiple(hosts.iter().copied(), slow);
        hosts.into_iter().for_each(|host| self.hosts[host].noisy = chosen.contains(&host));
        let wait = Duration::from_secs_f64(noise.every_ms / 1e3);
        self.schedule(wait, Event::Noise(service));
    }

    fn apply_fault(&mut self, index: usize, begins: bool) {
        let fault = self.deployment.trouble[index].clone();
        let x = fault.x;
        self.active_faults[index] = begins;
        match fault.what {
            FaultKind::Burst | FaultKind::Hot => {}
            FaultKind::Leave => self.leave_share = if begins { fault.share } else { 0.0 },
            FaultKind::Impatient => {
                self.impatient = if begins { (fault.share, x) } else { (0.0, 1.0) }
            }
            FaultKind::Down => self.for_each_affected(&fault, index, |world, host| match begins {
                true => world.stop_upstream(host),
                false => world.start_upstream(host),
            }),
            FaultKind::Restart => {
                self.for_each_affected(&fault, index, |world, host| match begins {
                    true => {
                        world.hosts[host.0].daemon_up = false;
                        world.stop_upstream(host);
                    }
                    false => {
                        world.restart_daemon(host);
                        world.start_upstream(host);
                    }
                })
            }
            FaultKind::Refuse => self.for_each_affected(&fault, index, |world, host| {
                world.hosts[host.0].refuse_share = if begins { x } else { 0.0 };
            }),
            FaultKind::Fail => self.for_each_affected(&fault, index, |world, host| {
                world.hosts[host.0].fail_share = if begins { x } else { 0.0 };
            }),
            FaultKind::Lose => self.for_each_affected(&fault, index, |world, host| {
                world.hosts[host.0].lose_share = if begins { x } else { 0.0 };
            }),
            FaultKind::Slow => self.for_each_affected(&fault, index, |world, host| {
                world.hosts[host.0].slowdown = if begins { x } else { 1.0 };
            }),
        }
    }

    /// Calls `act` for the hosts that a fault affects: the same ones at its beginning and its
    /// end.
    fn for_each_affected(&mut self, fault: &Fault, index: usize, act: impl Fn(&mut World, HostId)) {
        let service = fault.service.as_deref().map(|name| self.service_index(name));
        let mut affected: Vec<usize> = (0..self.hosts.len())
            .filter(|host| service.is_none_or(|service| self.hosts[*host].service == service))
            .collect();
        fastrand::Rng::with_seed(index as u64 + 1).shuffle(&mut affected);
        affected.truncate((affected.len() as f64 * fault.share).round() as usize);
        affected.into_iter().for_each(|host| act(self, HostId(host)));
    }

    fn stop_upstream(&mut self, host: HostId) {
        self.hosts[host.0].upstream_up = false;
        self.abort_all(host);
        self.hosts[host.0].announced = false;
        let delay = Duration::from_secs_f64(self.deployment.ways.news_ms / 1e3);
        self.schedule(delay, Event::MembershipUpdate);
    }

    /// Restarts a daemon, which loses its state as entry daemon.
    fn restart_daemon(&mut self, host: HostId) {
        let (allowance, services) = (self.allowance(), self.services.len());
        let policy = self.switches.choice;
        let state = &mut self.hosts[host.0];
        state.daemon_up = true;
        state.pickers = vec![Picker::new(policy, HostKey(host.0 as u64)); services];
        state.budgets = vec![RetryBudget::new(allowance); services];
        state.returning = ReturningCallers::default();
    }

    /// Starts an upstream cold, with a new incarnation and an empty gate.
    fn start_upstream(&mut self, host: HostId) {
        let cold_s = self.services[self.hosts[host.0].service].1.cold_s;
        let slots = self.services[self.hosts[host.0].service].1.slots;
        let cold_until = self.now + Duration::from_secs_f64(cold_s);
        let state = &mut self.hosts[host.0];
        state.upstream_up = true;
        state.incarnation += 1;
        state.cold_until = cold_until;
        state.gate = Gate::new(u32::from(slots));
        let wait = REPORT_INTERVAL.mul_f64(self.rng.f64());
        self.schedule(wait, Event::UpstreamAnnounced(host));
        self.schedule(Duration::from_secs_f64(cold_s) + wait, Event::MembershipUpdate);
    }

    fn announce(&mut self, host: HostId) {
        self.hosts[host.0].announced = self.hosts[host.0].upstream_up;
        let delay = Duration::from_secs_f64(self.deployment.ways.news_ms / 1e3);
        self.schedule(delay, Event::MembershipUpdate);
    }

    /// Updates every daemon's list of upstreams from their announcements.
    fn update_membership(&mut self) {
        let now = self.instant(self.now);
        let announcements: Vec<(usize, usize, UpstreamInfo)> =
            (0..self.hosts.len()).filter_map(|host| self.announcement(host)).collect();
        for me in 0..self.hosts.len() {
            let own = self.hosts[me].domain;
            for service in 0..self.services.len() {
                let of_service = announcements.iter().filter(|(_, of, _)| *of == service);
                let infos = of_service.map(|(domain, _, info)| {
                    let locality = match (info.host.0 as usize == me, *domain == own) {
                        (true, _) => Locality::SameHost,
                        (_, true) => Locality::SameDomain,
                        _ => Locality::OtherDomain,
                    };
                    UpstreamInfo { locality, ..info.clone() }
                });
                self.hosts[me].pickers[service].sync(infos, now);
            }
        }
    }

    fn announcement(&self, host: usize) -> Option<(usize, usize, UpstreamInfo)> {
        let state = &self.hosts[host];
        if !state.announced {
            return None;
        }
        let cold = self.now < state.cold_until;
        let info = UpstreamInfo {
            host: HostKey(host as u64),
            instance: format!("{host}@{}", state.incarnation),
            locality: Locality::OtherDomain,
            slots: self.services[state.service].1.slots,
            readiness: if cold { Readiness::Cold } else { Readiness::Ready },
            host_suspected: false,
        };
        Some((state.domain, state.service, info))
    }
}
