//! The daemon: network, timers and storage around the decisions of `cicadashift-core`.
//!
//! State is kept in shards, each under its own lock: [`versions`] for the
//! configuration path, [`members`] for membership, [`services`] for load balancing
//! over upstreams (itself sharded by service) and [`gates`] for admission control. No
//! lock is held across an await. Two locks are held at once only in the order in which
//! the modules are listed here.
//!
//! Messages to other daemons are sent by [`peers`] (control requests) and [`datagrams`]
//! (UDP), and received by [`mesh`] and [`gossip`].
//!
//! The request path is in [`request`]. The configuration path is [`source`] where the
//! store holds the whole configuration under one key, and [`reader`], [`promotion`] and
//! [`stage`] where the configuration is made of objects.

pub mod callers;
pub mod catch_up;
pub mod costs;
pub mod datagrams;
pub mod departures;
pub mod dependencies;
pub mod discovery;
pub mod document;
pub mod garbage;
pub mod gates;
pub mod gateway;
pub mod gossip;
pub mod greet;
pub mod health;
pub mod in_band;
pub mod limits;
pub mod liveness;
pub mod members;
pub mod mesh;
pub mod peers;
pub mod promotion;
pub mod quarantine;
pub mod quotas;
pub mod reader;
pub mod readiness;
pub mod record;
pub mod request;
pub mod rollouts;
pub mod services;
pub mod source;
pub mod sources;
pub mod stage;
pub mod status;
pub mod throttles;
pub mod tunable;
pub mod upstreams;
pub mod versions;

use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::settings::{InterfaceKind, Settings};
use crate::store::{Client, Lease, keys};
use cicadashift_core::ids::{HostKey, Incarnation};
use cicadashift_core::membership::liveness::Liveness;
use cicadashift_core::request::link::Link;
use cicadashift_edge::interface::{Dialect, Document, Interface, Malformed};
use cicadashift_http::ahead::Target;
use cicadashift_http::body::Body;
use cicadashift_http::client::Pool;
use cicadashift_http::hyper::header::HeaderName;
use cicadashift_http::hyper::{Request, Response};
use cicadashift_http::reactor::{Async, Timer};
use cicadashift_http::server::{self, IdleTimeout, StopHandle, StopSignal};
use cicadashift_http::{exec, server::Limits};
use cicadashift_platform::PlatformAdapter;
use cicadashift_wire::call;
use cicadashift_wire::seal::MeshKey;
use eyre::WrapErr;
use smol::channel::Receiver;
use std::future::Future;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

/// Connections kept to one other daemon, for calls and control requests together.
const MESH_CONNECTIONS: usize = 256;
/// Idle timeout of accepted connections from other daemons. It is longer than the timeout
/// of the sending side, so that the sending side closes an idle connection.
const MESH_IDLE: Duration = Duration::from_secs(10);
/// Concurrent connections on each of the readiness and metrics ports.
const AUXILIARY_CONNECTIONS: usize = 32;
/// Timeout for removing this daemon's entry from the store at a planned stop.
const ENTRY_REMOVAL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for the announcement of a stop to reach the other daemons: some rounds of gossip,
/// in the own failure domain and over the bridges to others.
const ANNOUNCE_TIME: Duration = Duration::from_millis(600);
/// Time before the end of a stop that is reserved for sending answers, so that the callers
/// of calls that are given up get an error response.
const STOP_MARGIN: Duration = Duration::from_millis(200);
/// Longest wait at the end of a stop for connections of other daemons and of upstreams to
/// close, and the time by which that wait may exceed the end of the stop.
const CLOSE_WAIT: (Duration, Duration) = (Duration::from_secs(1), Duration::from_millis(300));
/// Interval at which a stopping daemon checks for calls in flight.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// State that the tasks of one daemon share.
pub struct Daemon {
    /// The settings as they were at the start.
    pub settings: Settings,
    /// The settings that may change while the daemon runs.
    pub tunable: tunable::Tunable,
    /// Key of this daemon's host.
    pub me: HostKey,
    /// Number of this run of the daemon: its start in milliseconds since 1970.
    pub incarnation: Incarnation,
    /// Source of monotonic and wall-clock time.
    pub clock: Arc<dyn Clock>,
    /// Key that authenticates the daemons of the mesh to each other.
    pub key: MeshKey,
    /// Client of the store.
    pub store: Client,
    /// Names of the headers that callers and upstreams send and receive.
    pub dialect: Dialect,
    /// Adapter to the protocol of the users' platform; `None` with the product's own
    /// interface.
    pub platform_adapter: Option<PlatformAdapter>,
    /// Idle timeout of callers' connections.
    pub caller_idle: IdleTimeout,
    /// Whether the other daemons' entries in the store were read at least once.
    pub has_read_entries: AtomicBool,
    /// Lease of this daemon's entry in the store, while it has one.
    pub entry_lease: Mutex<Option<Lease>>,
    /// Whether a configuration is being fetched from another daemon.
    pub is_fetching_config: AtomicBool,
    /// Whether this daemon watches the store and reaches it.
    pub follows_store: AtomicBool,
    /// Pool of connections to other daemons.
    pub mesh_pool: Pool,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// State of the configuration path.
    pub versions: versions::Versions,
    /// State of membership.
    pub members: members::Members,
    /// When other hosts last gave signs of life.
    pub liveness: Mutex<Liveness>,
    /// Callers that were refused and are expected to return.
    pub returning_callers: callers::ShardedReturningCallers,
    /// Memory for answers that are held until they are whole.
    pub held_answers: request::held::HeldAnswers,
    /// Kinds of calls whose answers were large of late.
    pub large_answers: request::held::LargeAnswers,
    /// Calls that are refused at the entry, since hosts refuse most calls of their kind.
    pub throttles: throttles::ShardedThrottle,
    /// Quarantine of calls that end the upstreams which run them.
    pub quarantine: quarantine::Quarantine,
    /// Rate limits that all daemons enforce together.
    pub limits: limits::MeshLimits,
    /// Limits that upstreams named in the answers that this daemon received.
    pub named_limits: in_band::RememberedLimits,
    /// Upstreams of all hosts that are leaving.
    pub departures: departures::KnownDepartures,
    /// Rollouts of new versions.
    pub rollouts: rollouts::Rollouts,
    /// Load balancing over the upstreams of each service.
    pub services: services::Services,
    /// Admission control of the upstreams on this host.
    pub gates: gates::Gates,
    /// Admission of calls together with the nested calls that their runs will make.
    pub dependencies: dependencies::Dependencies,
    /// Shaping of the host's link, where the settings name its capacity.
    pub link: Option<Mutex<Link>>,
    /// The delivery record.
    pub delivery_record: record::DeliveryRecord,
    /// State of the reader of this failure domain.
    pub reader: reader::State,
    /// State of the exchange with other failure domains.
    pub gateway: gateway::State,
    /// Whether a planned stop has begun.
    pub leaving: AtomicBool,
    /// End of a planned stop, once it has begun.
    stops_at: OnceLock<Instant>,
    /// Whether callers have had their time to move to other hosts in a planned stop.
    has_left: AtomicBool,
    /// Bytes exchanged with other daemons, by purpose.
    pub costs: costs::Costs,
    /// Calls in flight for which this daemon is entry or exit.
    pub calls_in_flight: AtomicU64,
    /// Socket for datagrams from and to other daemons.
    pub udp: Async<UdpSocket>,
}

/// Addresses that a daemon listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ports {
    /// For callers.
    pub callers: SocketAddr,
    /// For upstreams and operators of the host.
    pub upstreams: SocketAddr,
    /// For other daemons.
    pub mesh: SocketAddr,
}

/// Runs a daemon until `stop`, then stops it and lets the calls in flight finish.
///
/// `changes` delivers validated settings that were changed while the daemon runs.
///
/// # Errors
///
/// Returns why the daemon cannot start, such as a port in use.
pub async fn run(
    settings: Settings,
    clock: Arc<dyn Clock>,
    stop: StopSignal,
    changes: Receiver<Settings>,
) -> eyre::Result<()> {
    let callers = listen("callers", settings.callers)?;
    let upstreams = listen("upstreams", settings.upstreams)?;
    let mesh = listen("mesh", settings.mesh)?;
    let mesh_addr =
        mesh.get_ref().local_addr().wrap_err("cannot read the address of the mesh port")?;
    let udp = Async::<UdpSocket>::bind(mesh_addr)
        .wrap_err_with(|| format!("cannot listen on UDP {mesh_addr}"))?;
    let ports = Ports {
        callers: callers
            .get_ref()
            .local_addr()
            .wrap_err("cannot read the address of the callers port")?,
        upstreams: upstreams
            .get_ref()
            .local_addr()
            .wrap_err("cannot read the address of the upstreams port")?,
        mesh: mesh_addr,
    };
    let d = Arc::new(Daemon::new(settings, clock, ports, udp)?);
    log::info!(
        "started: callers {}, upstreams {}, mesh {}; built from commit {}",
        ports.callers,
        ports.upstreams,
        ports.mesh,
        env!("CICADASHIFT_COMMIT")
    );
    let serving = serve(&d, callers, upstreams, mesh)?;
    let background = start_background(&d, changes);
    stop.wait().await;
    log::info!("stopping: announcing");
    let times = d.tunable.get();
    let until = d.clock.now() + times.leave + times.finish;
    // Fails only if already set, and a daemon stops once.
    let _first = d.stops_at.set(until);
    d.leave().await;
    drop(serving.calls_stop);
    let left = until.saturating_duration_since(d.clock.now());
    if exec::timeout(left, serving.calls).await.is_none() {
        log::warn!("stopping: calls of callers are still in progress after {left:?}");
    }
    d.wait_for_calls(until).await;
    if d.settings.interface == InterfaceKind::Own {
        record::flush(&d).await;
        reader::release(&d).await;
    }
    for task in background {
        task.cancel().await;
    }
    drop(serving.mesh_stop);
    let close_wait = until.saturating_duration_since(d.clock.now()) + CLOSE_WAIT.1;
    let close_wait = close_wait.min(CLOSE_WAIT.0);
    let _all_done =
        exec::timeout(close_wait, async { (serving.mesh.await, serving.local.await) }).await;
    drop(serving.auxiliary);
    log::info!("stopped");
    Ok(())
}

/// Tasks that serve the ports, and the handles that stop them.
struct Serving {
    calls_stop: StopHandle,
    calls: smol::Task<()>,
    mesh_stop: StopHandle,
    mesh: smol::Task<()>,
    local: smol::Task<()>,
    auxiliary: [Option<smol::Task<()>>; 2],
}

fn serve(
    d: &Arc<Daemon>,
    callers: Async<TcpListener>,
    upstreams: Async<TcpListener>,
    mesh: Async<TcpListener>,
) -> eyre::Result<Serving> {
    let limits = &d.settings.limits;
    let head_timeout = Duration::from_millis(limits.head_ms);
    let base = Limits {
        connections: 0,
        head_bytes: limits.head_bytes,
        head_timeout,
        idle_timeout: d.caller_idle.clone(),
        may_overlap: None,
    };
    let overlap_daemon = d.clone();
    let may_overlap = move |target: &Target| request::entry::may_overlap(&overlap_daemon, target);
    let caller_limits = Limits {
        connections: limits.caller_connections,
        may_overlap: Some(Arc::new(may_overlap)),
        ..base.clone()
    };
    let mesh_limits = Limits {
        connections: limits.mesh_connections,
        idle_timeout: IdleTimeout::new(MESH_IDLE),
        ..base.clone()
    };
    let (calls_stop, calls_stopped) = server::stop_channel();
    let (mesh_stop, mesh_stopped) = server::stop_channel();
    let (for_calls, for_local, for_mesh) = (d.clone(), d.clone(), d.clone());
    let calls =
        exec::spawn(server::serve(callers, caller_limits, calls_stopped, move |peer, req| {
            request::entry::handle(for_calls.clone(), peer, req)
        }));
    let local_limits = Limits { connections: limits.caller_connections, ..base.clone() };
    let local =
        exec::spawn(server::serve(upstreams, local_limits, mesh_stopped.clone(), move |_, req| {
            upstreams::handle(for_local.clone(), req)
        }));
    let mesh =
        exec::spawn(server::serve(mesh, mesh_limits, mesh_stopped.clone(), move |_, req| {
            mesh::handle(for_mesh.clone(), req)
        }));
    let auxiliary = [
        serve_auxiliary(d, "ready", d.settings.ready, &mesh_stopped, readiness::handle)?,
        serve_auxiliary(
            d,
            "metrics_text",
            d.settings.metrics_text,
            &mesh_stopped,
            readiness::metrics,
        )?,
    ];
    Ok(Serving { calls_stop, calls, mesh_stop, mesh, local, auxiliary })
}

/// Starts the background tasks for the interface that the settings name.
fn start_background(d: &Arc<Daemon>, changes: Receiver<Settings>) -> Vec<smol::Task<()>> {
    let mut background = vec![
        exec::spawn(gossip::run(d.clone())),
        exec::spawn(gossip::receive(d.clone())),
        exec::spawn(gates::run(d.clone())),
        exec::spawn(departures::run(d.clone())),
        exec::spawn(tunable::run(d.clone(), changes)),
        exec::spawn(costs::run(d.clone())),
        exec::spawn(quarantine::run(d.clone())),
        exec::spawn(quarantine::send_updates(d.clone())),
        exec::spawn(limits::run(d.clone())),
    ];
    match d.settings.interface {
        InterfaceKind::Own => background.extend([
            exec::spawn(catch_up::run(d.clone())),
            exec::spawn(reader::run(d.clone())),
            exec::spawn(gateway::run(d.clone())),
            exec::spawn(record::run(d.clone())),
            exec::spawn(garbage::run(d.clone())),
        ]),
        InterfaceKind::Platform => background.extend([
            exec::spawn(source::run(d.clone())),
            exec::spawn(source::run_heartbeats(d.clone())),
            exec::spawn(discovery::run(d.clone())),
            exec::spawn(greet::run(d.clone())),
            exec::spawn(rollouts::report::run(d.clone())),
            exec::spawn(rollouts::decider::run(d.clone())),
        ]),
    }
    background
}

impl Daemon {
    fn new(
        settings: Settings,
        clock: Arc<dyn Clock>,
        ports: Ports,
        udp: Async<UdpSocket>,
    ) -> eyre::Result<Daemon> {
        let me = HostKey::of(&settings.host);
        let incarnation = clock.wall_ms();
        let platform_adapter =
            (settings.interface == InterfaceKind::Platform).then(PlatformAdapter::new);
        Ok(Daemon {
            me,
            incarnation,
            key: MeshKey::new(&settings.mesh_key),
            store: match settings.interface {
                InterfaceKind::Own => Client::etcd(settings.platform.clone()),
                InterfaceKind::Platform => Client::metadata_store(&settings.platform),
            },
            dialect: platform_adapter
                .as_ref()
                .map_or_else(own_dialect, |adapter| adapter.dialect().clone()),
            platform_adapter,
            caller_idle: IdleTimeout::new(Duration::from_millis(settings.limits.head_ms)),
            has_read_entries: AtomicBool::new(false),
            entry_lease: Mutex::new(None),
            is_fetching_config: AtomicBool::new(false),
            follows_store: AtomicBool::new(false),
            mesh_pool: Pool::new(MESH_CONNECTIONS),
            metrics: Metrics::new(settings.metrics)?,
            versions: versions::Versions::new(&settings, me, incarnation, clock.clone()),
            members: members::Members::new(&settings, me, incarnation, ports.mesh, clock.now()),
            liveness: Mutex::default(),
            returning_callers: callers::ShardedReturningCallers::default(),
            held_answers: request::held::HeldAnswers::default(),
            large_answers: request::held::LargeAnswers::default(),
            throttles: throttles::ShardedThrottle::default(),
            quarantine: quarantine::Quarantine::default(),
            limits: limits::MeshLimits::default(),
            named_limits: in_band::RememberedLimits::default(),
            departures: departures::KnownDepartures::new(incarnation, clock.now()),
            rollouts: rollouts::Rollouts::default(),
            services: services::Services::new(settings.choice),
            gates: gates::Gates::new(clock.now(), clock.wall_ms()),
            dependencies: dependencies::Dependencies::default(),
            link: settings.link_mbps.map(|mbps| Mutex::new(Link::new(mbps))),
            delivery_record: record::DeliveryRecord::new(),
            reader: reader::State::default(),
            gateway: gateway::State::default(),
            leaving: AtomicBool::new(false),
            stops_at: OnceLock::new(),
            has_left: AtomicBool::new(false),
            costs: costs::Costs::default(),
            calls_in_flight: AtomicU64::new(0),
            udp,
            tunable: tunable::Tunable::new(&settings),
            settings,
            clock,
        })
    }

    /// Returns the key in the store that holds the newest configuration.
    pub fn config_key(&self) -> &'static str {
        self.platform_adapter.as_ref().map_or(keys::HEAD, |adapter| adapter.config_key())
    }

    /// Returns the prefix of the keys in the store that operators write.
    pub fn operator_prefix(&self) -> &'static str {
        self.platform_adapter.as_ref().map_or(keys::HEAD, |adapter| adapter.operator_prefix())
    }

    /// Returns whether a key in the store holds an operator's order to roll a version out.
    pub fn is_rollout_order(&self, key: &str) -> bool {
        self.platform_adapter
            .as_ref()
            .is_some_and(|adapter| key.starts_with(adapter.order_prefix()))
    }

    /// Returns the key in the store of an order to roll a service's version out, or `None` where
    /// operators have no orders.
    pub fn rollout_order_key(&self, service: &str) -> Option<String> {
        let adapter = self.platform_adapter.as_ref()?;
        Some(format!("{}{service}", adapter.order_prefix()))
    }

    /// Decodes a configuration in the format of the users' platform.
    ///
    /// # Errors
    ///
    /// Returns [`Malformed`] if the document is invalid, or if the daemon uses the product's
    /// own interface, whose configurations are made of objects.
    pub fn decode_document(&self, buf: &[u8]) -> Result<Document, Malformed> {
        match &self.platform_adapter {
            Some(adapter) => adapter.decode_document(buf),
            None => {
                Err(Malformed::Syntax("this interface has no configuration documents".to_string()))
            }
        }
    }

    /// Returns the deadline of a call that arrives now: its own, or `STOP_MARGIN` before
    /// the end of a planned stop if that is earlier.
    ///
    /// Failure: a call arrives while the daemon stops, and its answer arrives, or leaves over
    /// a busy link, after the daemon has to end. Symptom: the connection closes without an
    /// answer. A call that is given up before the end still gets an error response.
    pub fn latest_end(&self, deadline: Instant) -> Instant {
        let stops_at = self.stops_at.get().and_then(|at| at.checked_sub(STOP_MARGIN));
        stops_at.map_or(deadline, |at| at.min(deadline))
    }

    /// Returns whether a planned stop leaves a call that arrives now less than all of its time, after
    /// callers had theirs to move to other hosts.
    pub fn would_cut(&self, deadline: Instant) -> bool {
        self.has_left.load(Ordering::Relaxed) && self.latest_end(deadline) < deadline
    }

    /// Returns whether the configuration in force has organisations, whose calls compete for the
    /// same upstreams.
    pub fn has_organisations(&self) -> bool {
        self.versions.running().table.organisations.is_some()
    }

    /// Returns whether a planned stop has begun.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Gives callers time to move to other daemons, announces the stop to the other daemons,
    /// and waits until the announcement has reached them.
    ///
    /// Failure: a stop is announced at once, while callers still have seconds to move.
    /// Symptom: the upstream on this host, which goes on running, is unused for all that
    /// time; where daemons were stopped one a second, a quarter of the upstreams was unused.
    /// Calls that other daemons forward are therefore served until the announcement.
    async fn leave(self: &Arc<Self>) {
        self.leaving.store(true, Ordering::Relaxed);
        let time = self.tunable.get().leave;
        let until = self.clock.now() + time;
        Timer::after(time.saturating_sub(ANNOUNCE_TIME)).await;
        self.members.announce_leaving(self);
        gossip::flush(self).await;
        match self.settings.interface {
            InterfaceKind::Own => gateway::exchange_with_all(self).await,
            InterfaceKind::Platform => {
                // If the store cannot be reached, the entry expires with its lease.
                let _ended =
                    exec::timeout(ENTRY_REMOVAL_TIMEOUT, discovery::remove_entry(self)).await;
            }
        }
        Timer::after(until.saturating_duration_since(self.clock.now())).await;
        self.has_left.store(true, Ordering::Relaxed);
    }

    async fn wait_for_calls(&self, until: Instant) {
        while self.calls_in_flight.load(Ordering::Relaxed) > 0 && self.clock.now() < until {
            Timer::after(STOP_POLL_INTERVAL).await;
        }
    }
}

/// Serves the readiness or the metrics port, if the settings name its address.
fn serve_auxiliary<F, Fut>(
    d: &Arc<Daemon>,
    name: &str,
    addr: Option<SocketAddr>,
    stopped: &StopSignal,
    handler: F,
) -> eyre::Result<Option<smol::Task<()>>>
where
    F: Fn(Arc<Daemon>, Request<Body>) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let Some(addr) = addr else { return Ok(None) };
    let listener = listen(name, addr)?;
    let d = d.clone();
    let limits = Limits { connections: AUXILIARY_CONNECTIONS, ..Limits::default() };
    let serving =
        server::serve(listener, limits, stopped.clone(), move |_, req| handler(d.clone(), req));
    Ok(Some(exec::spawn(serving)))
}

/// Returns the header names of the product's own interface.
fn own_dialect() -> Dialect {
    Dialect {
        request_id: HeaderName::from_static(call::REQUEST_ID),
        deadline_ms: HeaderName::from_static(call::DEADLINE),
        caller_service: None,
        organisation: HeaderName::from_static(call::ORGANISATION),
        expected_instance: None,
        not_run: HeaderName::from_static(call::OUTCOME),
        load: None,
        limit: HeaderName::from_static(call::LIMIT),
        leaving: HeaderName::from_static(call::LEAVING),
        instance: None,
        echoes_request_id: false,
        stamp: None,
        fractional_retry_after: false,
    }
}

fn listen(name: &str, addr: SocketAddr) -> eyre::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(addr).wrap_err_with(|| format!("cannot listen on {name} {addr}"))
}

/// Locks a mutex, also if it is poisoned: the state behind each lock is valid between any
/// two statements, so that it may be used after a holder has panicked.
pub fn lock<T>(mutex: &std::sync::Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
