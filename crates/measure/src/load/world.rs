//! The state of one run and its clock: what happens next, and to whom.

use super::Switches;
use super::deployment::{Deployment, Kind, Service, Trouble, What};
use super::tally::Tally;
use cicadashift_core::ids::HostKey;
use cicadashift_core::membership::record::Readiness;
use cicadashift_core::request::choose::{Locality, Picker, UpstreamInfo};
use cicadashift_core::request::gate::{Gate, Ticket};
use cicadashift_core::request::retry::{Allowance, RetryBudget};
use cicadashift_core::request::returning::ReturningCallers;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::{Duration, Instant};

/// Time between two looks of a daemon at its queue, as `src/daemon/gates.rs` has it.
const GATE_TICK: Duration = Duration::from_millis(250);
/// Time in which an upstream that started reports itself: reports come about as often.
const REPORT_EVERY: Duration = Duration::from_millis(1500);
/// Share of the retries allowed that a daemon makes, as `src/daemon/services.rs` has it.
const SAFE_SHARE: f64 = 0.5;
/// Share of the slack, as there.
const SLACK_SHARE: f64 = 0.25;
/// Time for which retries that were earned may be saved, as there for a window of 10 s.
const SAVED_FOR: Duration = Duration::from_secs(1);
/// How long a run goes on after the last new caller, so that all are answered.
const DRAIN: Duration = Duration::from_secs(8);

/// Index of a host, with its daemon and its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostId(pub usize);
/// Index of a kind of call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KindId(pub usize);
/// Index of a caller with one thing to ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerId(pub usize);
/// Index of a request as an entry daemon got it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestId(pub usize);
/// Index of one attempt of a request at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TryId(pub usize);

/// What happens at a moment.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// A caller comes for the first time.
    Comes { kind: KindId, domain: usize },
    /// A caller's request reaches its entry daemon.
    AtEntry(CallerId),
    /// An attempt reaches the exit daemon.
    AtExit(TryId),
    /// The exit daemon sees that an attempt was given up.
    GivenUp(TryId),
    /// An upstream has done its work.
    Worked(TryId),
    /// The entry daemon hears what became of an attempt.
    Back(TryId, super::entry::Got),
    /// A second attempt may be due.
    Late(TryId),
    /// A request's time is over.
    Deadline(RequestId),
    /// A caller leaves without waiting.
    Leaves(RequestId),
    /// A daemon looks at its queue.
    Tick(HostId),
    /// A trouble begins or ends.
    Trouble { index: usize, begins: bool },
    /// An upstream that started reports itself.
    Reports(HostId),
    /// Membership has told what changed.
    News,
}

struct Due {
    at: Duration,
    number: u64,
    event: Event,
    /// Whether a daemon's processor time for it has passed.
    is_paid: bool,
}

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        self.key() == other.key()
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        self.key().cmp(&other.key())
    }
}
impl Due {
    fn key(&self) -> (Duration, u64) {
        (self.at, self.number)
    }
}

/// One host: the daemon's state of both sides, and its upstream.
pub struct Host {
    pub domain: usize,
    pub service: usize,
    pub speed: f64,
    /// Whether the upstream can be reached.
    pub up: bool,
    /// Whether callers can reach the daemon.
    pub open: bool,
    /// Whether others know of it.
    pub announced: bool,
    pub cold_until: Duration,
    /// Raised with each start, so that a new start is another upstream.
    pub life: u32,
    /// Share of a processor that the daemon has, and until when that is taken.
    pub processor_share: f64,
    pub processor_free: Duration,
    pub gate: Gate,
    pub tickets: HashMap<Ticket, TryId>,
    pub refuses: f64,
    pub fails: f64,
    pub loses: f64,
    pub slow: f64,
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
    pub tries: Vec<super::exit::Try>,
    pub tally: Tally,
    pub rng: fastrand::Rng,
    pub burst: f64,
    pub leave: f64,
    pub impatient: (f64, f64),
    base: Instant,
    now: Duration,
    queue: BinaryHeap<Reverse<Due>>,
    numbers: u64,
}

impl World {
    /// Makes a run with warm upstreams that everybody knows.
    pub fn new(deployment: Deployment, switches: Switches, seed: u64) -> World {
        let kinds: Vec<_> = deployment.kind.clone().into_iter().collect();
        let services: Vec<_> = deployment.service.clone().into_iter().collect();
        let tally = Tally::new(&kinds, deployment.domains, deployment.seconds);
        let mut world = World {
            switches,
            kinds,
            services,
            hosts: Vec::new(),
            callers: Vec::new(),
            requests: Vec::new(),
            tries: Vec::new(),
            tally,
            rng: fastrand::Rng::with_seed(seed),
            burst: 1.0,
            leave: 0.0,
            impatient: (0.0, 1.0),
            base: Instant::now(),
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            numbers: 0,
            deployment,
        };
        world.add_hosts();
        world.spread_news();
        world.plan();
        world
    }

    /// Plays it to its end.
    pub fn play(mut self) -> Tally {
        let end = Duration::from_secs_f64(self.deployment.seconds) + DRAIN;
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

    /// Returns the time since the beginning.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Returns a moment in the form that the product's decisions take.
    pub fn instant(&self, at: Duration) -> Instant {
        self.base + at
    }

    /// Lets something happen after a time.
    pub fn after(&mut self, wait: Duration, event: Event) {
        self.push(wait, event, false);
    }

    fn push(&mut self, wait: Duration, event: Event, is_paid: bool) {
        self.numbers += 1;
        let due = Due { at: self.now + wait, number: self.numbers, event, is_paid };
        self.queue.push(Reverse(due));
    }

    /// Returns after what time a daemon has dealt with a message, in the order of their
    /// arrival; `None` where that takes no time.
    fn processor_time(&mut self, due: &Due) -> Option<Duration> {
        let message = Duration::from_secs_f64(self.deployment.message_us / 1e6);
        if due.is_paid || message.is_zero() {
            return None;
        }
        let daemon = match due.event {
            Event::AtEntry(caller) => self.callers[caller.0].entry,
            Event::AtExit(attempt) | Event::Worked(attempt) => self.tries[attempt.0].host,
            Event::Back(attempt, _) => self.requests[self.tries[attempt.0].request.0].entry,
            _ => return None,
        };
        let now = self.now;
        let host = &mut self.hosts[daemon.0];
        let done = host.processor_free.max(now) + message.div_f64(host.processor_share);
        host.processor_free = done;
        Some(done - now)
    }

    /// Returns a time for one way between two hosts.
    pub fn way(&mut self, from: HostId, to: HostId) -> Duration {
        if from == to {
            return Duration::ZERO;
        }
        let ways = &self.deployment.ways;
        let far = self.hosts[from.0].domain != self.hosts[to.0].domain;
        let ms = ways.near_ms * (0.5 + 0.5 * -self.rng.f64().max(1e-9).ln());
        Duration::from_secs_f64((ms + if far { ways.far_ms } else { 0.0 }) / 1e3)
    }

    /// Returns the index of a service by its name; the deployment was checked.
    pub fn service_of(&self, name: &str) -> usize {
        self.services.iter().position(|(service, _)| service == name).unwrap_or(0)
    }

    /// Returns the retries that one daemon may add for a service.
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
            let places: Vec<usize> =
                domains.flat_map(|(domain, count)| vec![domain; *count]).collect();
            for (number, domain) in places.into_iter().enumerate() {
                let speed = service.speeds[number % service.speeds.len()];
                self.hosts.push(Host {
                    domain,
                    service: index,
                    speed,
                    up: true,
                    open: true,
                    announced: true,
                    cold_until: Duration::ZERO,
                    life: 0,
                    processor_share: service.shares[number % service.shares.len()],
                    processor_free: Duration::ZERO,
                    gate: Gate::new(u32::from(service.slots)),
                    tickets: HashMap::new(),
                    refuses: 0.0,
                    fails: 0.0,
                    loses: 0.0,
                    slow: 1.0,
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

    fn plan(&mut self) {
        for kind in 0..self.kinds.len() {
            for domain in 0..self.deployment.domains {
                self.next_caller(KindId(kind), domain);
            }
        }
        for host in 0..self.hosts.len() {
            self.after(GATE_TICK, Event::Tick(HostId(host)));
        }
        for index in 0..self.deployment.trouble.len() {
            let Trouble { at_s, for_s, .. } = self.deployment.trouble[index];
            let (begin, end) =
                (Duration::from_secs_f64(at_s), Duration::from_secs_f64(at_s + for_s));
            self.after(begin, Event::Trouble { index, begins: true });
            self.after(end, Event::Trouble { index, begins: false });
        }
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Comes { kind, domain } => self.caller_comes(kind, domain),
            Event::AtEntry(caller) => self.caller_asks(caller),
            Event::AtExit(attempt) => self.at_exit(attempt),
            Event::GivenUp(attempt) => self.given_up(attempt),
            Event::Worked(attempt) => self.worked(attempt),
            Event::Back(attempt, got) => self.back(attempt, got),
            Event::Late(attempt) => self.late(attempt),
            Event::Deadline(request) => self.deadline(request),
            Event::Leaves(request) => self.caller_leaves(request),
            Event::Tick(host) => self.tick(host),
            Event::Trouble { index, begins } => self.trouble(index, begins),
            Event::Reports(host) => self.reports(host),
            Event::News => self.spread_news(),
        }
    }

    fn tick(&mut self, host: HostId) {
        let now = self.instant(self.now);
        let wakes = self.hosts[host.0].gate.tick(now);
        self.wake(host, wakes);
        self.after(GATE_TICK, Event::Tick(host));
    }

    fn trouble(&mut self, index: usize, begins: bool) {
        let trouble = self.deployment.trouble[index].clone();
        let x = trouble.x;
        match trouble.what {
            What::Burst => self.burst = if begins { x } else { 1.0 },
            What::Leave => self.leave = if begins { trouble.share } else { 0.0 },
            What::Impatient => {
                self.impatient = if begins { (trouble.share, x) } else { (0.0, 1.0) }
            }
            What::Down => self.on_each(&trouble, index, |world, host| match begins {
                true => world.goes_down(host),
                false => world.starts(host),
            }),
            What::Restart => self.on_each(&trouble, index, |world, host| match begins {
                true => {
                    world.hosts[host.0].open = false;
                    world.goes_down(host);
                }
                false => {
                    world.forgets(host);
                    world.starts(host);
                }
            }),
            What::Refuse => self.on_each(&trouble, index, |world, host| {
                world.hosts[host.0].refuses = if begins { x } else { 0.0 };
            }),
            What::Fail => self.on_each(&trouble, index, |world, host| {
                world.hosts[host.0].fails = if begins { x } else { 0.0 };
            }),
            What::Lose => self.on_each(&trouble, index, |world, host| {
                world.hosts[host.0].loses = if begins { x } else { 0.0 };
            }),
            What::Slow => self.on_each(&trouble, index, |world, host| {
                world.hosts[host.0].slow = if begins { x } else { 1.0 };
            }),
        }
    }

    /// Does something to the upstreams that a trouble meets, the same at its beginning
    /// and its end.
    fn on_each(&mut self, trouble: &Trouble, index: usize, act: impl Fn(&mut World, HostId)) {
        let service = trouble.service.as_deref().map(|name| self.service_of(name));
        let mut met: Vec<usize> = (0..self.hosts.len())
            .filter(|host| service.is_none_or(|service| self.hosts[*host].service == service))
            .collect();
        fastrand::Rng::with_seed(index as u64 + 1).shuffle(&mut met);
        met.truncate((met.len() as f64 * trouble.share).round() as usize);
        met.into_iter().for_each(|host| act(self, HostId(host)));
    }

    fn goes_down(&mut self, host: HostId) {
        self.hosts[host.0].up = false;
        self.break_all(host);
        self.hosts[host.0].announced = false;
        let news = Duration::from_secs_f64(self.deployment.ways.news_ms / 1e3);
        self.after(news, Event::News);
    }

    /// Starts a daemon that knows nothing of before.
    fn forgets(&mut self, host: HostId) {
        let (allowance, services) = (self.allowance(), self.services.len());
        let policy = self.switches.choice;
        let state = &mut self.hosts[host.0];
        state.open = true;
        state.pickers = vec![Picker::new(policy, HostKey(host.0 as u64)); services];
        state.budgets = vec![RetryBudget::new(allowance); services];
        state.returning = ReturningCallers::default();
    }

    /// Starts an upstream, which knows nothing of before.
    fn starts(&mut self, host: HostId) {
        let cold_s = self.services[self.hosts[host.0].service].1.cold_s;
        let slots = self.services[self.hosts[host.0].service].1.slots;
        let cold_until = self.now + Duration::from_secs_f64(cold_s);
        let state = &mut self.hosts[host.0];
        state.up = true;
        state.life += 1;
        state.cold_until = cold_until;
        state.gate = Gate::new(u32::from(slots));
        let wait = REPORT_EVERY.mul_f64(self.rng.f64());
        self.after(wait, Event::Reports(host));
        self.after(Duration::from_secs_f64(cold_s) + wait, Event::News);
    }

    fn reports(&mut self, host: HostId) {
        self.hosts[host.0].announced = self.hosts[host.0].up;
        let news = Duration::from_secs_f64(self.deployment.ways.news_ms / 1e3);
        self.after(news, Event::News);
    }

    /// Tells every daemon which upstreams there are.
    fn spread_news(&mut self) {
        let now = self.instant(self.now);
        let told: Vec<(usize, usize, UpstreamInfo)> =
            (0..self.hosts.len()).filter_map(|host| self.announcement(host)).collect();
        for me in 0..self.hosts.len() {
            let own = self.hosts[me].domain;
            for service in 0..self.services.len() {
                let of_service = told.iter().filter(|(_, of, _)| *of == service);
                let known = of_service.map(|(domain, _, known)| {
                    let locality = match (known.host.0 as usize == me, *domain == own) {
                        (true, _) => Locality::SameHost,
                        (_, true) => Locality::SameDomain,
                        _ => Locality::OtherDomain,
                    };
                    UpstreamInfo { locality, ..known.clone() }
                });
                self.hosts[me].pickers[service].sync(known, now);
            }
        }
    }

    fn announcement(&self, host: usize) -> Option<(usize, usize, UpstreamInfo)> {
        let state = &self.hosts[host];
        if !state.announced {
            return None;
        }
        let cold = self.now < state.cold_until;
        let known = UpstreamInfo {
            host: HostKey(host as u64),
            instance: format!("{host}@{}", state.life),
            locality: Locality::OtherDomain,
            slots: self.services[state.service].1.slots,
            readiness: if cold { Readiness::Cold } else { Readiness::Ready },
            host_suspected: false,
        };
        Some((state.domain, state.service, known))
    }
}
