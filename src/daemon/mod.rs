//! The daemon: edges around the decisions of `cicadashift-core`.
//!
//! State is kept in shards, each under its own lock: [`versions`] for the
//! configuration path, [`members`] for membership, [`services`] for the choice
//! of upstreams (itself sharded by service) and [`gates`] for admission. No lock
//! is held across an await, and no two at once unless the order here is kept.
//!
//! What goes to other daemons is in [`peers`] and [`datagrams`], what comes from them in
//! [`mesh`] and [`gossip`].
//!
//! The request path is in [`request`]. The configuration path is [`source`]
//! where the configuration lies whole under one key of the store, and
//! [`reader`], [`rollout`] and [`stage`] where it is made of objects.

pub mod callers;
pub mod catch_up;
pub mod costs;
pub mod datagrams;
pub mod discovery;
pub mod document;
pub mod garbage;
pub mod gates;
pub mod gateway;
pub mod gossip;
pub mod greet;
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
use cicadashift_http::server::{self, Idle, Stop, Stopped};
use cicadashift_http::{exec, server::Limits};
use cicadashift_platform::Platform as Hosted;
use cicadashift_wire::call;
use cicadashift_wire::seal::MeshKey;
use eyre::WrapErr;
use smol::Async;
use smol::channel::Receiver;
use std::future::Future;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

/// Connections kept to one other daemon, for calls and control together.
const MESH_CONNECTIONS: usize = 256;
/// How long a connection between daemons may stay idle; longer than the other
/// side keeps one, so that the side which sends closes it.
const MESH_IDLE: Duration = Duration::from_secs(10);
/// Connections held at once by a port for a few askers.
const SMALL_CONNECTIONS: usize = 32;
/// Time for taking this daemon's entry out of the store at a planned stop.
const ENTRY_TIME: Duration = Duration::from_millis(500);
/// Time for the other daemons to hear that this one stops: some rounds of gossip, in
/// its own failure domain and over the bridges to others.
const TELL_TIME: Duration = Duration::from_millis(600);
/// Time before the end of a stop in which answers still leave, so that what is given up
/// then is heard.
const STOP_MARGIN: Duration = Duration::from_millis(200);
/// Time that connections of other daemons and of upstreams have to end after a stop, and
/// the part of it by which that may outlast the time of the stop.
const LAST_WORDS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_millis(300));
/// Step in which a stopping daemon looks whether calls are left.
const STOP_STEP: Duration = Duration::from_millis(20);

/// Everything one daemon shares between its tasks.
pub struct Daemon {
    /// Its settings, as they were at its start.
    pub settings: Settings,
    /// The part of its settings that may change while it runs.
    pub tunable: tunable::Tunable,
    /// Its key.
    pub me: HostKey,
    /// This life's number.
    pub life: Incarnation,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Proof of belonging to the mesh.
    pub key: MeshKey,
    /// The store.
    pub platform: Client,
    /// Names of the headers that callers and upstreams use.
    pub dialect: Dialect,
    /// The platform's way of speaking, where it is not the product's own.
    pub hosted: Option<Hosted>,
    /// How long callers' connections may stay idle.
    pub caller_idle: Idle,
    /// Whether the entries of other daemons were read at least once.
    pub joined: AtomicBool,
    /// The lease of this daemon's entry in the store, while it keeps one.
    pub entry_lease: Mutex<Option<Lease>>,
    /// Whether a configuration is being fetched from a member.
    pub learning: AtomicBool,
    /// Whether this daemon follows the store and reaches it.
    pub follows: AtomicBool,
    /// Connections to other daemons.
    pub mesh_pool: Pool,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// The configuration path's state.
    pub versions: versions::Versions,
    /// Membership.
    pub members: members::Members,
    /// Signs of life of other hosts.
    pub liveness: Mutex<Liveness>,
    /// Callers that were sent away.
    pub callers: callers::Callers,
    /// Calls that end the upstreams which run them.
    pub quarantine: quarantine::Quarantine,
    /// Limits that all daemons keep together.
    pub limits: limits::Limits,
    /// What upstreams said of themselves in answers that passed here.
    pub signals: in_band::Remembered,
    /// Rollouts of new versions.
    pub rollouts: rollouts::Rollouts,
    /// Upstreams as chosen from here.
    pub services: services::Services,
    /// Upstreams on this host.
    pub gates: gates::Gates,
    /// The host's link, where the settings say what it carries.
    pub link: Option<Mutex<Link>>,
    /// The delivery record.
    pub record: record::Record,
    /// The reader's part.
    pub reader: reader::State,
    /// Exchange with other failure domains.
    pub gateway: gateway::State,
    /// Whether a planned stop has begun.
    pub leaving: AtomicBool,
    /// When a planned stop ends, once it has begun.
    stops_at: OnceLock<Instant>,
    /// What it spends on being one of many.
    pub costs: costs::Costs,
    /// Calls in progress, as entry or exit.
    pub calls: AtomicU64,
    /// Datagrams go out through this.
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

/// Runs a daemon until `stop`, then stops it without cutting a call.
///
/// `changes` brings settings that were changed meanwhile and checked.
///
/// # Errors
///
/// Returns what kept it from starting, such as a port in use.
pub async fn run(
    settings: Settings,
    clock: Arc<dyn Clock>,
    stop: Stopped,
    changes: Receiver<Settings>,
) -> eyre::Result<()> {
    let callers = listen("callers", settings.callers)?;
    let upstreams = listen("upstreams", settings.upstreams)?;
    let mesh = listen("mesh", settings.mesh)?;
    let mesh_addr = mesh.get_ref().local_addr().wrap_err("mesh has no address")?;
    let udp = Async::<UdpSocket>::bind(mesh_addr)
        .wrap_err_with(|| format!("cannot listen on UDP {mesh_addr}"))?;
    let ports = Ports {
        callers: callers.get_ref().local_addr().wrap_err("callers has no address")?,
        upstreams: upstreams.get_ref().local_addr().wrap_err("upstreams has no address")?,
        mesh: mesh_addr,
    };
    let d = Arc::new(Daemon::new(settings, clock, ports, udp)?);
    log::info!(
        "started: callers {}, upstreams {}, mesh {}",
        ports.callers,
        ports.upstreams,
        ports.mesh
    );
    let serving = serve(&d, callers, upstreams, mesh)?;
    let background = start_background(&d, changes);
    stop.wait().await;
    log::info!("stopping: announcing");
    let times = d.tunable.get();
    let until = d.clock.now() + times.leave + times.finish;
    // Set once, by the one stop that there is.
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
    let last = until.saturating_duration_since(d.clock.now()) + LAST_WORDS.1;
    let last = last.min(LAST_WORDS.0);
    let _all_done = exec::timeout(last, async { (serving.mesh.await, serving.local.await) }).await;
    drop(serving.told);
    log::info!("stopped");
    Ok(())
}

/// The ports being served, and what stops that.
struct Serving {
    calls_stop: Stop,
    calls: smol::Task<()>,
    mesh_stop: Stop,
    mesh: smol::Task<()>,
    local: smol::Task<()>,
    told: [Option<smol::Task<()>>; 2],
}

fn serve(
    d: &Arc<Daemon>,
    callers: Async<TcpListener>,
    upstreams: Async<TcpListener>,
    mesh: Async<TcpListener>,
) -> eyre::Result<Serving> {
    let limits = &d.settings.limits;
    let head_time = Duration::from_millis(limits.head_ms);
    let base = Limits {
        connections: 0,
        head_bytes: limits.head_bytes,
        head_time,
        idle: d.caller_idle.clone(),
        may_overlap: None,
    };
    let of_overlap = d.clone();
    let may_overlap = move |target: &Target| request::entry::may_overlap(&of_overlap, target);
    let caller_limits = Limits {
        connections: limits.caller_connections,
        may_overlap: Some(Arc::new(may_overlap)),
        ..base.clone()
    };
    let mesh_limits =
        Limits { connections: limits.mesh_connections, idle: Idle::new(MESH_IDLE), ..base.clone() };
    let (calls_stop, calls_stopped) = server::stop_pair();
    let (mesh_stop, mesh_stopped) = server::stop_pair();
    let (x, y, z) = (d.clone(), d.clone(), d.clone());
    let calls =
        exec::spawn(server::serve(callers, caller_limits, calls_stopped, move |peer, req| {
            request::entry::handle(x.clone(), peer, req)
        }));
    let local_limits = Limits { connections: limits.caller_connections, ..base.clone() };
    let local =
        exec::spawn(server::serve(upstreams, local_limits, mesh_stopped.clone(), move |_, req| {
            upstreams::handle(y.clone(), req)
        }));
    let mesh =
        exec::spawn(server::serve(mesh, mesh_limits, mesh_stopped.clone(), move |_, req| {
            mesh::handle(z.clone(), req)
        }));
    let told = [
        serve_small(d, "ready", d.settings.ready, &mesh_stopped, readiness::handle)?,
        serve_small(d, "metrics_text", d.settings.metrics_text, &mesh_stopped, readiness::metrics)?,
    ];
    Ok(Serving { calls_stop, calls, mesh_stop, mesh, local, told })
}

/// Starts what runs beside the ports, by the interface of the settings.
fn start_background(d: &Arc<Daemon>, changes: Receiver<Settings>) -> Vec<smol::Task<()>> {
    let mut background = vec![
        exec::spawn(gossip::run(d.clone())),
        exec::spawn(gossip::receive(d.clone())),
        exec::spawn(gates::run(d.clone())),
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
            exec::spawn(source::heartbeats(d.clone())),
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
        let life = clock.wall_ms();
        let hosted = (settings.interface == InterfaceKind::Platform).then(Hosted::new);
        Ok(Daemon {
            me,
            life,
            key: MeshKey::new(&settings.mesh_key),
            platform: match settings.interface {
                InterfaceKind::Own => Client::etcd(settings.platform.clone()),
                InterfaceKind::Platform => Client::hosted(&settings.platform),
            },
            dialect: hosted.as_ref().map_or_else(own_dialect, |hosted| hosted.dialect().clone()),
            hosted,
            caller_idle: Idle::new(Duration::from_millis(settings.limits.head_ms)),
            joined: AtomicBool::new(false),
            entry_lease: Mutex::new(None),
            learning: AtomicBool::new(false),
            follows: AtomicBool::new(false),
            mesh_pool: Pool::new(MESH_CONNECTIONS),
            metrics: Metrics::new(settings.metrics)?,
            versions: versions::Versions::new(&settings, me, life, clock.clone()),
            members: members::Members::new(&settings, me, life, ports.mesh, clock.now()),
            liveness: Mutex::default(),
            callers: callers::Callers::default(),
            quarantine: quarantine::Quarantine::default(),
            limits: limits::Limits::default(),
            signals: in_band::Remembered::default(),
            rollouts: rollouts::Rollouts::default(),
            services: services::Services::new(settings.choice),
            gates: gates::Gates::new(),
            link: settings.link_mbps.map(|mbps| Mutex::new(Link::new(mbps))),
            record: record::Record::new(),
            reader: reader::State::default(),
            gateway: gateway::State::default(),
            leaving: AtomicBool::new(false),
            stops_at: OnceLock::new(),
            costs: costs::Costs::default(),
            calls: AtomicU64::new(0),
            udp,
            tunable: tunable::Tunable::new(&settings),
            settings,
            clock,
        })
    }

    /// Returns the key under which the newest configuration lies.
    pub fn config_key(&self) -> &'static str {
        self.hosted.as_ref().map_or(keys::HEAD, |hosted| hosted.config_key())
    }

    /// Returns the prefix of the keys that operators write.
    pub fn operator_prefix(&self) -> &'static str {
        self.hosted.as_ref().map_or(keys::HEAD, |hosted| hosted.operator_prefix())
    }

    /// Returns whether a key is that of an order to roll a version out.
    pub fn is_order(&self, key: &str) -> bool {
        self.hosted.as_ref().is_some_and(|hosted| key.starts_with(hosted.order_prefix()))
    }

    /// Decodes a configuration in the platform's form.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    pub fn decode_document(&self, buf: &[u8]) -> Result<Document, Malformed> {
        match &self.hosted {
            Some(hosted) => hosted.document(buf),
            None => Err(Malformed::Syntax("configurations are not whole here".to_string())),
        }
    }

    /// Returns until when a call that comes now may take.
    ///
    /// Failure: a call comes while the daemon stops, and its answer comes, or leaves by a
    /// busy link, later than the daemon may live. Symptom: the connection ends without an
    /// answer. The caller of a call that is given up in time is told so.
    pub fn latest_end(&self, deadline: Instant) -> Instant {
        let stops_at = self.stops_at.get().and_then(|at| at.checked_sub(STOP_MARGIN));
        stops_at.map_or(deadline, |at| at.min(deadline))
    }

    /// Returns whether a planned stop has begun.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Lets callers move away, then tells the others that this daemon stops, and gives
    /// them time to hear it.
    ///
    /// Failure: a stop is told at once, while callers still have seconds to move. Symptom:
    /// the upstream beside the daemon, which lives on, is out of use for all that time;
    /// where daemons are stopped one a second, a quarter of the upstreams was. What other
    /// daemons send goes on to be served until they are told.
    async fn leave(self: &Arc<Self>) {
        self.leaving.store(true, Ordering::Relaxed);
        let time = self.tunable.get().leave;
        let until = self.clock.now() + time;
        smol::Timer::after(time.saturating_sub(TELL_TIME)).await;
        self.members.announce_leaving(self);
        gossip::flush(self).await;
        match self.settings.interface {
            InterfaceKind::Own => gateway::exchange_with_all(self).await,
            InterfaceKind::Platform => {
                // The store may be away; the entry then ends with its lease.
                let _ended = exec::timeout(ENTRY_TIME, discovery::leave(self)).await;
            }
        }
        smol::Timer::after(until.saturating_duration_since(self.clock.now())).await;
    }

    async fn wait_for_calls(&self, until: Instant) {
        while self.calls.load(Ordering::Relaxed) > 0 && self.clock.now() < until {
            smol::Timer::after(STOP_STEP).await;
        }
    }
}

/// Serves a port with few and short requests, if it is set.
fn serve_small<F, Fut>(
    d: &Arc<Daemon>,
    name: &str,
    addr: Option<SocketAddr>,
    stopped: &Stopped,
    handler: F,
) -> eyre::Result<Option<smol::Task<()>>>
where
    F: Fn(Arc<Daemon>, Request<Body>) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let Some(addr) = addr else { return Ok(None) };
    let listener = listen(name, addr)?;
    let d = d.clone();
    let limits = Limits { connections: SMALL_CONNECTIONS, ..Limits::default() };
    let serving =
        server::serve(listener, limits, stopped.clone(), move |_, req| handler(d.clone(), req));
    Ok(Some(exec::spawn(serving)))
}

/// Names of headers in the product's own form.
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
        fractional_retry_after: false,
    }
}

fn listen(name: &str, addr: SocketAddr) -> eyre::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(addr).wrap_err_with(|| format!("cannot listen on {name} {addr}"))
}

/// Locks a mutex whose holder may have panicked: the state behind each lock is
/// valid between any two statements, so going on is safe.
pub fn lock<T>(mutex: &std::sync::Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
