//! Daemons with the settings that the users' platform would generate.

use crate::hosted::instance::Instance;
use crate::hosted::store::{CONFIG_KEY, Store};
use crate::link::Link;
use crate::mesh_link::MeshLink;
use crate::ports;
use crate::upstream::Ledger;
use cicadashift_http::body;
use cicadashift_http::client::Pool;
use cicadashift_http::hyper::{Method, Request, Response};
use serde_json::{Value, json};
use std::fs::File;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::task::Poll;
use std::time::{Duration, Instant};

/// Maximum time to wait for a condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// The only virtual host in the configurations of this module.
pub const HOST: &str = "notices.example";

/// One daemon process and its instance.
pub struct Daemon {
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for the instance and for operators on the host.
    pub control: SocketAddr,
    /// Listen address of the readiness endpoint.
    pub ready: SocketAddr,
    /// The link from the daemon to the store.
    pub store_link: Link,
    /// The link from the other daemons, where the fleet has such links.
    pub mesh_link: Option<MeshLink>,
    /// The link from the daemons of the other failure domain, where the fleet has such links.
    pub far_link: Option<MeshLink>,
    /// The instance on the same host.
    pub instance: Arc<Instance>,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// How daemons reach each other's mesh ports.
#[derive(Clone, Copy)]
enum MeshPath {
    Direct,
    Links,
    /// A link for each failure domain that a daemon is reached from.
    DomainLinks,
}

/// The failure domains of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Domain {
    A,
    B,
}

impl Domain {
    fn of(daemon: usize) -> Domain {
        if daemon < 2 { Domain::A } else { Domain::B }
    }

    fn name(self) -> &'static str {
        match self {
            Domain::A => "a",
            Domain::B => "b",
        }
    }
}

/// The daemons of one mesh. Dropping it kills every process, and removes the logs unless
/// the test failed.
pub struct HostedFleet {
    /// The daemons: the first two are in failure domain `a`, the others in `b`.
    pub daemons: Vec<Daemon>,
    /// The metadata store.
    pub store: Store,
    /// Executions on all instances.
    pub ledger: Ledger,
    program: PathBuf,
    dir: PathBuf,
    pool: Pool,
}

impl HostedFleet {
    /// Starts daemons, each with an instance of the service `notice`, writes a first
    /// configuration, and waits until each daemon is ready and lists all instances.
    ///
    /// # Panics
    ///
    /// Panics if a daemon cannot be started, does not become ready or does not list all
    /// instances in time.
    pub async fn serving(program: &Path, count: usize) -> HostedFleet {
        let fleet = HostedFleet::start(program, count);
        fleet.begin_serving().await;
        fleet
    }

    /// Starts daemons as [`HostedFleet::serving`] does, which reach each other over links.
    ///
    /// # Panics
    ///
    /// Panics as [`HostedFleet::serving`] does.
    pub async fn serving_over_mesh_links(program: &Path, count: usize) -> HostedFleet {
        let fleet = HostedFleet::start_with(program, count, MeshPath::Links);
        fleet.begin_serving().await;
        fleet
    }

    /// Starts daemons as [`HostedFleet::serving`] does, whose failure domains can be cut off
    /// from each other by [`HostedFleet::cut_domains`].
    ///
    /// # Panics
    ///
    /// Panics as [`HostedFleet::serving`] does.
    pub async fn serving_over_domain_links(program: &Path, count: usize) -> HostedFleet {
        let fleet = HostedFleet::start_with(program, count, MeshPath::DomainLinks);
        fleet.begin_serving().await;
        fleet
    }

    /// Cuts all connections and datagrams between the failure domains, and the connections to
    /// the store, or restores them.
    ///
    /// # Panics
    ///
    /// Panics if the fleet has no links between its failure domains.
    pub fn cut_domains(&self, cut: bool) {
        let all: Vec<IpAddr> = self.daemons.iter().map(|daemon| daemon.callers.ip()).collect();
        for daemon in &self.daemons {
            let far_link = daemon.far_link.as_ref().expect("links between the domains");
            far_link.tcp.cut(cut);
            far_link.block(if cut { all.clone() } else { Vec::new() });
            daemon.store_link.cut(cut);
        }
    }

    /// Drops all datagrams to the daemons of a failure domain from the other one, or lets them pass
    /// again. Connections are not affected.
    ///
    /// # Panics
    ///
    /// Panics if the fleet has no links between its failure domains.
    pub fn lose_datagrams_to(&self, domain: Domain, lose: bool) {
        let senders: Vec<IpAddr> = match lose {
            true => self.daemons.iter().map(|daemon| daemon.callers.ip()).collect(),
            false => Vec::new(),
        };
        let receivers = self.daemons.iter().enumerate().filter(|(i, _)| Domain::of(*i) == domain);
        for (_, daemon) in receivers {
            daemon.far_link.as_ref().expect("links between the domains").block(senders.clone());
        }
    }

    async fn begin_serving(&self) {
        let count = self.daemons.len();
        self.put_config(1, &["/notices/"]);
        for i in 0..count {
            let ready = self.wait(async |fleet: &HostedFleet| fleet.is_ready(i).await).await;
            assert!(ready, "daemon {i} becomes ready: {}", self.log(i));
            let is_listed =
                self.wait(async |fleet: &HostedFleet| fleet.sees_instances(i, count).await).await;
            assert!(is_listed, "daemon {i} lists all instances: {}", self.log(i));
        }
    }

    /// Starts daemons without a configuration.
    ///
    /// # Panics
    ///
    /// Panics if a daemon cannot be started.
    pub fn start(program: &Path, count: usize) -> HostedFleet {
        HostedFleet::start_with(program, count, MeshPath::Direct)
    }

    /// Starts daemons without a configuration, each with an instance of one of these services.
    ///
    /// # Panics
    ///
    /// Panics if a daemon cannot be started.
    pub fn start_services(program: &Path, services: &[&str]) -> HostedFleet {
        HostedFleet::start_each(program, services, MeshPath::Direct)
    }

    fn start_with(program: &Path, count: usize, mesh_path: MeshPath) -> HostedFleet {
        HostedFleet::start_each(program, &vec!["notice"; count], mesh_path)
    }

    fn start_each(program: &Path, services: &[&str], mesh_path: MeshPath) -> HostedFleet {
        let count = services.len();
        let dir_name =
            format!("cicadashift-hosted-{}-{:08x}", std::process::id(), fastrand::u32(..));
        let dir = std::env::temp_dir().join(dir_name);
        std::fs::create_dir_all(&dir).expect("the temporary directory can be created");
        let store = Store::start();
        let ledger = Ledger::default();
        let prepare = |(i, service): (usize, &&str)| {
            Daemon::prepare(i, service, &dir, &store, &ledger, mesh_path)
        };
        let daemons = services.iter().enumerate().map(prepare).collect();
        let mut fleet = HostedFleet {
            daemons,
            store,
            ledger,
            program: program.to_path_buf(),
            dir,
            pool: Pool::new(8),
        };
        for i in 0..count {
            fleet.restart(i);
        }
        fleet
    }

    /// Writes a configuration that routes these path prefixes, as an operator does.
    pub fn put_config(&self, version: u64, prefixes: &[&str]) {
        self.store.put(CONFIG_KEY, config(version, prefixes).to_string().as_bytes());
    }

    /// Replaces the instance beside a daemon by an upstream at another address, and waits until
    /// the daemon has it in use alone.
    ///
    /// # Panics
    ///
    /// Panics if the daemon does not accept that.
    pub async fn replace_upstream(&self, i: usize, id: &str, addr: SocketAddr, slots: usize) {
        assert!(self.daemons[i].instance.drain().await);
        let others = self.daemons.len() - 1;
        let is_drained = async |fleet: &HostedFleet| fleet.sees_instances(i, others).await;
        assert!(self.wait(is_drained).await, "{}", self.log(i));
        let report = json!({
            "Address": addr,
            "Info": {"Service": "notice", "Version": "v1", "Zone": "a", "Slots": slots},
            "Status": {"State": "ready", "Seq": 1, "ColdMs": 0},
            "born": 1,
        });
        let req = Request::put(format!("/cicadashift/instances/{id}"))
            .header("host", "control")
            .body(body::full(report.to_string()))
            .expect("a valid request");
        let control = self.daemons[i].control;
        let res = self.pool.exchange(control, req, MAX_ANSWER_BYTES, REQUEST_TIMEOUT).await;
        assert!(res.is_ok_and(|res| res.status().is_success()), "{}", self.log(i));
        let is_announced = async |fleet: &HostedFleet| fleet.sees_instances(i, others + 1).await;
        assert!(self.wait(is_announced).await, "{}", self.log(i));
    }

    /// Starts a daemon that is not running.
    ///
    /// # Panics
    ///
    /// Panics if the program cannot be started.
    pub fn restart(&mut self, i: usize) {
        let daemon = &mut self.daemons[i];
        let log = File::options()
            .create(true)
            .append(true)
            .open(&daemon.log)
            .expect("the log file can be opened");
        let errors = log.try_clone().expect("the file handle can be duplicated");
        let _process_start_lock = ports::lock_process_starts();
        let child = Command::new(&self.program)
            .args(["daemon", "--settings"])
            .arg(&daemon.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        daemon.child = Some(child.expect("the program can be started"));
    }

    /// Kills a daemon with SIGKILL.
    pub fn kill(&mut self, i: usize) {
        if let Some(mut child) = self.daemons[i].child.take() {
            let _best_effort = child.kill();
            let _best_effort = child.wait();
        }
    }

    /// Sends a signal, such as `-TERM`, to a daemon.
    pub fn signal(&self, i: usize, signal: &str) {
        if let Some(child) = &self.daemons[i].child {
            let _process_start_lock = ports::lock_process_starts();
            let _best_effort =
                Command::new("kill").arg(signal).arg(child.id().to_string()).status();
        }
    }

    /// Returns the exit code of a daemon that has ended.
    pub fn exit_code(&mut self, i: usize) -> Option<i32> {
        self.daemons[i].child.as_mut()?.try_wait().ok()?.and_then(|status| status.code())
    }

    /// Returns the most memory that a running daemon has taken, in bytes.
    pub fn peak_memory(&self, i: usize) -> Option<u64> {
        let id = self.daemons[i].child.as_ref()?.id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        let kilobytes: u64 = peak.trim().strip_suffix(" kB")?.parse().ok()?;
        Some(kilobytes << 10)
    }

    /// Changes a field of a daemon's settings file.
    ///
    /// # Panics
    ///
    /// Panics if the file cannot be read or written.
    pub fn change_settings(&self, i: usize, field: &str, value: Value) {
        let file = &self.daemons[i].settings;
        let buf = std::fs::read(file).expect("the settings file can be read");
        let mut settings: Value = serde_json::from_slice(&buf).expect("the settings are JSON");
        settings[field] = value;
        std::fs::write(file, settings.to_string()).expect("the settings can be written");
    }

    /// Returns the log of a daemon.
    pub fn log(&self, i: usize) -> String {
        std::fs::read_to_string(&self.daemons[i].log).unwrap_or_default()
    }

    /// Returns the lines of all daemons about a request, in order of time: what was decided
    /// for it and why.
    pub fn trace(&self, id: &str) -> String {
        let field = format!("\"request\":\"{id}\"");
        let logs: Vec<_> = (0..self.daemons.len()).map(|i| (i, self.log(i))).collect();
        let mut lines: Vec<_> = logs
            .iter()
            .flat_map(|(i, log)| log.lines().map(move |line| (line, i)))
            .filter(|(line, _)| line.contains(&field))
            .collect();
        // Every line begins with its time.
        lines.sort();
        lines.iter().map(|(line, i)| format!("\nhost-{i} {line}")).collect()
    }

    /// Returns whether a daemon reports that it is ready.
    pub async fn is_ready(&self, i: usize) -> bool {
        let req = Request::get("/cicadashift/ready").header("host", "ready").body(body::empty());
        let Ok(req) = req else { return false };
        let answer =
            self.pool.exchange(self.daemons[i].ready, req, MAX_ANSWER_BYTES, REQUEST_TIMEOUT).await;
        answer.is_ok_and(|res| res.status().is_success())
    }

    /// Returns a caller that has its own connections to a daemon.
    pub fn caller(&self, i: usize) -> HostedCaller {
        HostedCaller { to: self.daemons[i].callers, pool: Pool::new(2) }
    }

    /// Sends a request to a daemon. Returns `None` if no complete answer arrives.
    pub async fn call(
        &self,
        i: usize,
        method: Method,
        path: &str,
        id: &str,
    ) -> Option<Response<String>> {
        call(&self.pool, self.daemons[i].callers, method, path, id, &[]).await
    }

    /// Sends a GET with additional headers to a daemon. Returns `None` if no complete answer
    /// arrives.
    pub async fn call_with(
        &self,
        i: usize,
        path: &str,
        id: &str,
        headers: &[(&str, &str)],
    ) -> Option<Response<String>> {
        call(&self.pool, self.daemons[i].callers, Method::GET, path, id, headers).await
    }

    /// Sends a GET to a daemon and returns the status code of the answer.
    pub async fn status(&self, i: usize, path: &str, id: &str) -> Option<u16> {
        self.call(i, Method::GET, path, id).await.map(|res| res.status().as_u16())
    }

    /// Sends several GETs to a daemon concurrently and returns the status codes in the order
    /// of `ids`.
    pub async fn statuses(&self, i: usize, path: &str, ids: &[String]) -> Vec<Option<u16>> {
        let answers = self.answers(i, path, ids).await;
        answers.into_iter().map(|res| res.map(|res| res.status().as_u16())).collect()
    }

    /// Sends several GETs to a daemon concurrently and returns the answers in the order of
    /// `ids`.
    pub async fn answers(
        &self,
        i: usize,
        path: &str,
        ids: &[String],
    ) -> Vec<Option<Response<String>>> {
        let mut calls: Vec<_> =
            ids.iter().map(|id| Box::pin(self.call(i, Method::GET, path, id))).map(Some).collect();
        let mut answers: Vec<_> = ids.iter().map(|_| None).collect();
        std::future::poll_fn(|cx| {
            for (call, answer) in calls.iter_mut().zip(&mut answers) {
                if let Some(pending) = call
                    && let Poll::Ready(res) = pending.as_mut().poll(cx)
                {
                    *answer = res;
                    *call = None;
                }
            }
            if calls.iter().all(Option::is_none) { Poll::Ready(()) } else { Poll::Pending }
        })
        .await;
        answers
    }

    /// Waits until a condition holds. Returns `false` after [`WAIT_TIMEOUT`].
    pub async fn wait(&self, holds: impl AsyncFn(&HostedFleet) -> bool) -> bool {
        let until = Instant::now() + WAIT_TIMEOUT;
        while !holds(self).await {
            if Instant::now() >= until {
                return false;
            }
            smol::Timer::after(POLL_INTERVAL).await;
        }
        true
    }

    /// Returns the indices of the daemons that follow the store.
    pub async fn followers(&self) -> Vec<usize> {
        let mut out = Vec::new();
        for i in 0..self.daemons.len() {
            if self.own_status(i).await["follows_store"] == json!(true) {
                out.push(i);
            }
        }
        out
    }

    /// Returns whether a daemon lists exactly this many instances of the service `notice`.
    pub async fn sees_instances(&self, i: usize, count: usize) -> bool {
        self.own_status(i).await["services"]["notice"] == json!(count)
    }

    /// Returns the status document of a daemon, or `Value::Null` if the daemon does not answer.
    pub async fn own_status(&self, i: usize) -> Value {
        let req = Request::get("/v1/status/self").header("host", "daemon").body(body::empty());
        let Ok(req) = req else { return Value::Null };
        // A daemon may close a pooled connection, which was idle, as the request is written.
        let pool = Pool::new(1);
        let control = self.daemons[i].control;
        let answer = pool.exchange(control, req, MAX_ANSWER_BYTES, REQUEST_TIMEOUT).await;
        let Ok(res) = answer else { return Value::Null };
        serde_json::from_slice(res.body()).unwrap_or(Value::Null)
    }
}

/// A caller with its own connections to one daemon.
pub struct HostedCaller {
    to: SocketAddr,
    pool: Pool,
}

impl HostedCaller {
    /// Sends a request. Returns `None` if no complete answer arrives.
    pub async fn call(&self, method: Method, path: &str, id: &str) -> Option<Response<String>> {
        self.call_with(method, path, id, &[]).await
    }

    /// Sends a request with additional headers. Returns `None` if no complete answer arrives.
    pub async fn call_with(
        &self,
        method: Method,
        path: &str,
        id: &str,
        headers: &[(&str, &str)],
    ) -> Option<Response<String>> {
        call(&self.pool, self.to, method, path, id, headers).await
    }
}

async fn call(
    pool: &Pool,
    to: SocketAddr,
    method: Method,
    path: &str,
    id: &str,
    headers: &[(&str, &str)],
) -> Option<Response<String>> {
    let mut req = Request::builder()
        .method(method)
        .uri(path)
        .header("host", HOST)
        .header("x-request-id", id)
        .header("x-deadline-ms", "3000")
        .header("x-caller-service", "forged");
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let req = req.body(body::full("body")).ok()?;
    let res = pool.exchange(to, req, MAX_ANSWER_BYTES, REQUEST_TIMEOUT).await.ok()?;
    Some(res.map(|buf| String::from_utf8_lossy(&buf).into_owned()))
}

impl Drop for HostedFleet {
    fn drop(&mut self) {
        for i in 0..self.daemons.len() {
            self.signal(i, "-CONT");
            self.kill(i);
        }
        if std::thread::panicking() {
            eprintln!("the logs of the failed test are in {}", self.dir.display());
        } else {
            let _best_effort = std::fs::remove_dir_all(&self.dir);
        }
    }
}

impl Daemon {
    fn prepare(
        i: usize,
        service: &str,
        dir: &Path,
        store: &Store,
        ledger: &Ledger,
        mesh_path: MeshPath,
    ) -> Daemon {
        let ip = ports::unique_ip();
        let [callers, control, ready, mesh] = ports::free_addrs(ip);
        let store_link = Link::start(store.addr, Duration::ZERO);
        let instance = Instance::start(&format!("i-{i}"), service, control, ledger.clone());
        let mesh_link = match mesh_path {
            MeshPath::Direct => None,
            MeshPath::Links | MeshPath::DomainLinks => Some(MeshLink::start(mesh)),
        };
        let far_link = match mesh_path {
            MeshPath::Direct | MeshPath::Links => None,
            MeshPath::DomainLinks => Some(MeshLink::start(mesh)),
        };
        let reached_at = mesh_link.as_ref().map_or(mesh, |link| link.tcp.addr);
        let reached_from_far = far_link.as_ref().map_or(reached_at, |link| link.tcp.addr);
        let settings = json!({
            "interface": "platform",
            "host": format!("host-{i}"),
            "failure_domain": Domain::of(i).name(),
            "services": [service],
            "callers": callers,
            "upstreams": control,
            "upstream": instance.addr,
            "ready": ready,
            "mesh": mesh,
            "near_address": reached_at,
            "far_address": reached_from_far,
            "platform": [store_link.addr],
            "mesh_key": crate::fleet::MESH_KEY,
            "threads": 1,
            "limits": {"leave_ms": 800, "finish_ms": 3000},
        });
        let file = dir.join(format!("host-{i}.json"));
        std::fs::write(&file, settings.to_string()).expect("the settings can be written");
        Daemon {
            callers,
            control,
            ready,
            store_link,
            mesh_link,
            far_link,
            instance,
            settings: file,
            log: dir.join(format!("host-{i}.log")),
            child: None,
        }
    }
}

/// Returns a configuration in the format that operators write.
pub fn config(version: u64, prefixes: &[&str]) -> Value {
    let paths: Vec<Value> = prefixes
        .iter()
        .map(|prefix| {
            let kind = if *prefix == "/lift/" { "non_idempotent" } else { "idempotent" };
            json!({
                "Name": "r", "Prefix": prefix, "Kind": kind, "TimeoutMs": 1500,
                "TargetLatencyMs": 400, "Priority": 1, "Service": "notice", "MaxAttempts": 2,
            })
        })
        .collect();
    json!({
        "Version": format!("r{version}"),
        "Services": [{"Name": "notice", "HealthPath": "/health", "MaxConnections": 110,
                      "Protocol": "h1", "Tls": false}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1048576, "HeaderTimeoutMs": 3000,
                   "IdleTimeoutMs": 15000},
        "VirtualHosts": [{"Host": HOST, "Paths": paths}],
    })
}
