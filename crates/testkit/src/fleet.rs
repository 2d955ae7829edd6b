//! Daemons as separate processes, and the links between failure domains.

use crate::link::Link;
use crate::ports;
use cicadashift_http::body;
use cicadashift_http::client::Pool;
use cicadashift_http::hyper::Request;
use serde_json::{Value, json};
use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Mesh key of every mesh that tests start.
pub const MESH_KEY: &str = "a key for tests, not for use";
/// Number of witnesses of a failure domain, or all its daemons if it has fewer.
const WITNESSES: usize = 5;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Parameters of a fleet.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Path of the program.
    pub program: PathBuf,
    /// Arguments before `daemon --settings FILE` on the command line.
    pub command_prefix: Vec<String>,
    /// Names of the failure domains.
    pub domains: Vec<String>,
    /// Number of daemons in each failure domain.
    pub per_domain: usize,
    /// One-way delay between failure domains.
    pub delay: Duration,
    /// Daemon `i` of a domain hosts the service at index `i` modulo the length of this list.
    pub services: Vec<String>,
    /// Whether daemons log their decisions.
    pub decisions: bool,
    /// Number of threads of each daemon.
    pub threads: usize,
    /// Daemon `i` of the fleet has the label `group=gN`, where N is `i` modulo this number.
    pub groups: usize,
    /// A rule of upstream selection to switch off, by its name in the setting `choice`.
    pub disabled_decision: Option<String>,
    /// Maximum time in milliseconds for the head of a request to arrive.
    pub head_ms: u64,
}

impl Spec {
    /// Returns the parameters of a small fleet without delay.
    pub fn small(program: PathBuf, domains: &[&str], per_domain: usize) -> Spec {
        Spec {
            program,
            command_prefix: Vec::new(),
            domains: domains.iter().map(|name| name.to_string()).collect(),
            per_domain,
            delay: Duration::ZERO,
            services: vec!["notice".to_string()],
            decisions: true,
            threads: 2,
            groups: 10,
            disabled_decision: None,
            head_ms: 30_000,
        }
    }
}

/// One daemon of a fleet.
pub struct Daemon {
    /// Name of the host.
    pub name: String,
    /// Failure domain of the host.
    pub domain: String,
    /// The service in the settings of the daemon.
    pub service: String,
    /// Value of the label `group`.
    pub group: String,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for upstreams and operators.
    pub upstreams: SocketAddr,
    /// Listen address for other daemons.
    pub mesh: SocketAddr,
    /// The link from other failure domains to this daemon.
    pub link: Link,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// A running fleet. Dropping it kills every process.
pub struct Fleet {
    /// The daemons, ordered by failure domain.
    pub daemons: Vec<Daemon>,
    /// The link from each failure domain to the platform.
    pub platform_links: Vec<(String, Link)>,
    spec: Spec,
    dir: PathBuf,
    pool: Pool,
}

impl Fleet {
    /// Writes the settings and starts every daemon.
    ///
    /// # Panics
    ///
    /// Panics if a file cannot be written or the program cannot be started.
    pub fn start(spec: Spec, platform: SocketAddr) -> Fleet {
        let dir_name = format!("cicadashift-{}-{:08x}", std::process::id(), fastrand::u32(..));
        let dir = std::env::temp_dir().join(dir_name);
        std::fs::create_dir_all(&dir).expect("the temporary directory can be created");
        let mut daemons = Vec::new();
        for domain in &spec.domains {
            for i in 0..spec.per_domain {
                let group = daemons.len() % spec.groups;
                daemons.push(Daemon::prepare(&spec, domain, i, group, &dir));
            }
        }
        let platform_links: Vec<_> = spec
            .domains
            .iter()
            .map(|domain| (domain.clone(), Link::start(platform, Duration::ZERO)))
            .collect();
        for daemon in &daemons {
            let link = platform_links.iter().find(|(domain, _)| *domain == daemon.domain);
            let platform = link.map_or(platform, |(_, link)| link.addr);
            let settings = daemon.settings_json(&daemons, &spec, platform);
            std::fs::write(&daemon.settings, settings.to_string())
                .expect("the settings can be written");
        }
        let mut fleet = Fleet { daemons, platform_links, spec, dir, pool: Pool::new(2) };
        for i in 0..fleet.daemons.len() {
            fleet.restart(i);
        }
        fleet
    }

    /// Returns the indices of the daemons of a failure domain.
    pub fn in_domain(&self, domain: &str) -> Vec<usize> {
        (0..self.daemons.len()).filter(|i| self.daemons[*i].domain == domain).collect()
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
        let child = Command::new(&self.spec.program)
            .args(&self.spec.command_prefix)
            .arg("daemon")
            .arg("--settings")
            .arg(&daemon.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the program can be started");
        daemon.child = Some(child);
    }

    /// Kills a daemon with SIGKILL.
    pub fn kill(&mut self, i: usize) {
        if let Some(mut child) = self.daemons[i].child.take() {
            let _best_effort = child.kill();
            let _best_effort = child.wait();
        }
    }

    /// Sends SIGTERM to a daemon and waits until it has exited. Returns the exit code.
    pub async fn stop(&mut self, i: usize) -> Option<i32> {
        self.signal(i, "-TERM");
        let mut child = self.daemons[i].child.take()?;
        loop {
            if let Some(status) = child.try_wait().ok()? {
                return status.code();
            }
            smol::Timer::after(POLL_INTERVAL).await;
        }
    }

    /// Sends SIGTERM to a daemon without waiting for its exit.
    pub fn begin_stop(&self, i: usize) {
        self.signal(i, "-TERM");
    }

    /// Freezes a daemon with SIGSTOP or resumes it with SIGCONT.
    pub fn freeze(&self, i: usize, frozen: bool) {
        self.signal(i, if frozen { "-STOP" } else { "-CONT" });
    }

    /// Cuts or restores the links between all failure domains.
    ///
    /// A link carries the traffic from all other domains to one daemon. To stop the outgoing
    /// traffic of a domain, the links to the daemons of the other domains have to be cut too,
    /// so the other domains also lose the connections between each other, as in a failure of
    /// the site that connects them.
    pub fn cut(&self, cut: bool) {
        self.daemons.iter().for_each(|daemon| daemon.link.cut(cut));
    }

    /// Cuts or restores the link from a failure domain to the platform.
    pub fn cut_platform(&self, domain: &str, cut: bool) {
        let links = self.platform_links.iter().filter(|(name, _)| name == domain);
        links.for_each(|(_, link)| link.cut(cut));
    }

    /// Returns the last log line of each daemon, to explain a failed start.
    pub fn last_log_lines(&self) -> String {
        let lines = (0..self.daemons.len()).map(|i| {
            let log = self.log(i);
            let last = log.lines().last().unwrap_or("nothing logged");
            format!("{}: {last}\n", self.daemons[i].name)
        });
        lines.collect()
    }

    /// Returns the versions that a daemon has run, in the order of its log, over all its restarts.
    pub fn versions_run(&self, i: usize) -> Vec<u64> {
        let log = self.log(i);
        let versions = log.split("\"version ").skip(1);
        versions
            .filter(|rest| rest.contains(" is in force"))
            .filter_map(|rest| rest.split_once(" is in force")?.0.parse().ok())
            .collect()
    }

    /// Returns how often any daemon changed to an older version.
    pub fn version_regressions(&self) -> usize {
        (0..self.daemons.len())
            .map(|i| self.versions_run(i).windows(2).filter(|pair| pair[1] < pair[0]).count())
            .sum()
    }

    /// Returns the process id of a running daemon.
    pub fn pid(&self, i: usize) -> Option<u32> {
        self.daemons[i].child.as_ref().map(Child::id)
    }

    /// Returns the log of a daemon.
    pub fn log(&self, i: usize) -> String {
        std::fs::read_to_string(&self.daemons[i].log).unwrap_or_default()
    }

    /// Returns the status document of a daemon, or `None` if the daemon does not answer.
    pub async fn status(&self, i: usize) -> Option<Value> {
        let req =
            Request::get("/v1/status/self").header("host", "daemon").body(body::empty()).ok()?;
        let to = self.daemons[i].upstreams;
        let res = self.pool.exchange(to, req, 1 << 20, REQUEST_TIMEOUT).await.ok()?;
        serde_json::from_slice(res.body()).ok()
    }

    /// Waits until a condition has held for the status of each of the given daemons.
    ///
    /// Returns the time until then, or `None` on a timeout.
    pub async fn wait_all(
        &self,
        which: &[usize],
        timeout: Duration,
        holds: impl Fn(&Value) -> bool,
    ) -> Option<Duration> {
        let started = Instant::now();
        let mut pending: Vec<usize> = which.to_vec();
        while !pending.is_empty() {
            if started.elapsed() > timeout {
                return None;
            }
            let mut remaining = Vec::new();
            for i in pending {
                if !self.status(i).await.is_some_and(|status| holds(&status)) {
                    remaining.push(i);
                }
            }
            pending = remaining;
            if !pending.is_empty() {
                smol::Timer::after(POLL_INTERVAL).await;
            }
        }
        Some(started.elapsed())
    }

    /// Waits until every daemon lists all members of its failure domain.
    pub async fn wait_joined(&self, timeout: Duration) -> bool {
        let members = self.spec.per_domain as u64;
        let all: Vec<usize> = (0..self.daemons.len()).collect();
        let lists_all = |status: &Value| status["members"].as_u64() >= Some(members);
        let joined = self.wait_all(&all, timeout, lists_all).await.is_some();
        if !joined {
            eprintln!("{}", self.last_log_lines());
        }
        joined
    }

    /// Waits until the given daemons run a version or a newer one.
    pub async fn wait_running(
        &self,
        which: &[usize],
        version: u64,
        timeout: Duration,
    ) -> Option<Duration> {
        self.wait_all(which, timeout, |status| status["running"].as_u64() >= Some(version)).await
    }

    /// Waits until every daemon lists a service.
    pub async fn wait_service(&self, service: &str, timeout: Duration) -> bool {
        let all: Vec<usize> = (0..self.daemons.len()).collect();
        self.wait_all(&all, timeout, |status| !status["services"][service].is_null())
            .await
            .is_some()
    }

    fn signal(&self, i: usize, signal: &str) {
        if let Some(pid) = self.pid(i) {
            let _process_start_lock = ports::lock_process_starts();
            let _best_effort = Command::new("kill").arg(signal).arg(pid.to_string()).status();
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for i in 0..self.daemons.len() {
            self.signal(i, "-CONT");
            self.kill(i);
        }
        let _best_effort = std::fs::remove_dir_all(&self.dir);
    }
}

impl Daemon {
    fn prepare(spec: &Spec, domain: &str, i: usize, group: usize, dir: &std::path::Path) -> Daemon {
        let name = format!("{domain}-{i}");
        let ip = ports::unique_ip();
        let [mesh, callers, upstreams] = ports::free_addrs(ip);
        Daemon {
            settings: dir.join(format!("{name}.json")),
            log: dir.join(format!("{name}.log")),
            service: spec.services[i % spec.services.len()].clone(),
            callers,
            upstreams,
            group: format!("g{group}"),
            link: Link::start(mesh, spec.delay),
            mesh,
            domain: domain.to_string(),
            name,
            child: None,
        }
    }

    fn settings_json(&self, daemons: &[Daemon], spec: &Spec, platform: SocketAddr) -> Value {
        let same_domain: Vec<&Daemon> =
            daemons.iter().filter(|daemon| daemon.domain == self.domain).collect();
        let witnesses: Vec<&str> =
            same_domain.iter().take(WITNESSES).map(|daemon| daemon.name.as_str()).collect();
        let peers: Vec<SocketAddr> =
            same_domain.iter().take(WITNESSES).map(|daemon| daemon.mesh).collect();
        let far_peers: serde_json::Map<String, Value> = spec
            .domains
            .iter()
            .filter(|domain| **domain != self.domain)
            .map(|domain| {
                let links = daemons.iter().filter(|daemon| daemon.domain == *domain).take(2);
                (domain.clone(), links.map(|daemon| daemon.link.addr.to_string()).collect())
            })
            .collect();
        let mut choice = json!({});
        if let Some(name) = &spec.disabled_decision {
            choice[name] = json!(false);
        }
        json!({
            "choice": choice,
            "host": self.name,
            "failure_domain": self.domain,
            "services": [self.service],
            "labels": {"site": self.domain, "group": self.group},
            "callers": self.callers,
            "upstreams": self.upstreams,
            "mesh": self.mesh,
            "far_address": self.link.addr,
            "platform": [platform],
            "witnesses": witnesses,
            "peers": peers,
            "far_peers": far_peers,
            "mesh_key": MESH_KEY,
            "threads": spec.threads,
            "limits": {"leave_ms": 500, "head_ms": spec.head_ms},
            "log": {"level": "info", "json": true, "decisions": spec.decisions},
        })
    }
}
