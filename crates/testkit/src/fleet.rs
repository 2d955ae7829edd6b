//! Daemons as separate processes, with the links between failure domains.

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

/// Secret of every mesh that tests start.
pub const MESH_KEY: &str = "a key for tests, not for use";
/// Witnesses of each failure domain, where it has that many daemons.
const WITNESSES: usize = 5;
const ASK_TIME: Duration = Duration::from_secs(2);
const POLL: Duration = Duration::from_millis(20);

/// What fleet to start.
#[derive(Clone, Debug)]
pub struct Spec {
    /// The program.
    pub program: PathBuf,
    /// What comes before `daemon --settings FILE` on its command line.
    pub command_prefix: Vec<String>,
    /// Names of the failure domains.
    pub domains: Vec<String>,
    /// Daemons in each.
    pub per_domain: usize,
    /// One way between failure domains.
    pub delay: Duration,
    /// Service that daemon `i` of a domain hosts, by `i` modulo its length.
    pub services: Vec<String>,
    /// Whether decisions are logged.
    pub decisions: bool,
    /// Threads of each daemon.
    pub threads: usize,
    /// Daemon `i` of the fleet has the label `group=gN`, N being `i` modulo this.
    pub groups: usize,
    /// A decision of the choice of upstreams that is switched off.
    pub disabled_decision: Option<String>,
    /// Milliseconds for a request's head to arrive.
    pub head_ms: u64,
}

impl Spec {
    /// A small fleet without delay.
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
    /// The host's name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// The service its settings name.
    pub service: String,
    /// Its label `group`.
    pub group: String,
    /// Port for callers.
    pub callers: SocketAddr,
    /// Port for upstreams and operators.
    pub upstreams: SocketAddr,
    /// Port for other daemons.
    pub mesh: SocketAddr,
    /// The way to it from other failure domains.
    pub link: Link,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// A running fleet; every process ends with it.
pub struct Fleet {
    /// Its daemons, by domain and then by number.
    pub daemons: Vec<Daemon>,
    /// The way from each failure domain to the platform.
    pub platform_links: Vec<(String, Link)>,
    spec: Spec,
    dir: PathBuf,
    pool: Pool,
}

impl Fleet {
    /// Writes settings and starts every daemon.
    ///
    /// # Panics
    ///
    /// Panics where files cannot be written or the program not be started: no
    /// test can go on from there.
    pub fn start(spec: Spec, platform: SocketAddr) -> Fleet {
        let unique = format!("cicadashift-{}-{:08x}", std::process::id(), fastrand::u32(..));
        let dir = std::env::temp_dir().join(unique);
        std::fs::create_dir_all(&dir).expect("the temporary folder can be written");
        let mut nodes = Vec::new();
        for domain in &spec.domains {
            for i in 0..spec.per_domain {
                let group = nodes.len() % spec.groups;
                nodes.push(Daemon::plan(&spec, domain, i, group, &dir));
            }
        }
        let platform_links: Vec<_> = spec
            .domains
            .iter()
            .map(|domain| (domain.clone(), Link::start(platform, Duration::ZERO)))
            .collect();
        for node in &nodes {
            let link = platform_links.iter().find(|(domain, _)| *domain == node.domain);
            let platform = link.map_or(platform, |(_, link)| link.addr);
            let settings = node.settings_json(&nodes, &spec, platform);
            std::fs::write(&node.settings, settings.to_string()).expect("settings can be written");
        }
        let mut fleet = Fleet { daemons: nodes, platform_links, spec, dir, pool: Pool::new(2) };
        for i in 0..fleet.daemons.len() {
            fleet.restart(i);
        }
        fleet
    }

    /// Returns the daemons of a failure domain, by position.
    pub fn in_domain(&self, domain: &str) -> Vec<usize> {
        (0..self.daemons.len()).filter(|i| self.daemons[*i].domain == domain).collect()
    }

    /// Starts a daemon that does not run.
    ///
    /// # Panics
    ///
    /// Panics where the program cannot be started.
    pub fn restart(&mut self, i: usize) {
        let node = &mut self.daemons[i];
        let log = File::options().create(true).append(true).open(&node.log).expect("a log file");
        let errors = log.try_clone().expect("a second handle");
        let _no_port_is_tried = ports::lock_process_starts();
        let child = Command::new(&self.spec.program)
            .args(&self.spec.command_prefix)
            .arg("daemon")
            .arg("--settings")
            .arg(&node.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the program can be started");
        node.child = Some(child);
    }

    /// Ends a daemon without a word.
    pub fn kill(&mut self, i: usize) {
        if let Some(mut child) = self.daemons[i].child.take() {
            let _gone = child.kill();
            let _gone = child.wait();
        }
    }

    /// Asks a daemon to stop and waits until it has; returns its exit code.
    pub async fn stop(&mut self, i: usize) -> Option<i32> {
        self.signal(i, "-TERM");
        let mut child = self.daemons[i].child.take()?;
        loop {
            if let Some(status) = child.try_wait().ok()? {
                return status.code();
            }
            smol::Timer::after(POLL).await;
        }
    }

    /// Asks a daemon to stop, and goes on.
    pub fn begin_stop(&self, i: usize) {
        self.signal(i, "-TERM");
    }

    /// Freezes a daemon, or lets it go on.
    pub fn freeze(&self, i: usize, frozen: bool) {
        self.signal(i, if frozen { "-STOP" } else { "-CONT" });
    }

    /// Cuts a failure domain off from the others, or mends that.
    ///
    /// A link leads into one daemon from all other domains, so those into the
    /// others have to be cut as well to stop what goes out. Others lose each
    /// other with it, as when the site in the middle goes.
    pub fn cut(&self, cut: bool) {
        self.daemons.iter().for_each(|node| node.link.cut(cut));
    }

    /// Cuts a failure domain's way to the platform, or mends it.
    pub fn cut_platform(&self, domain: &str, cut: bool) {
        let links = self.platform_links.iter().filter(|(name, _)| name == domain);
        links.for_each(|(_, link)| link.cut(cut));
    }

    /// Returns the last line that each daemon has logged, for failed starts.
    pub fn last_log_lines(&self) -> String {
        let lines = (0..self.daemons.len()).map(|i| {
            let log = self.log(i);
            let last = log.lines().last().unwrap_or("nothing logged");
            format!("{}: {last}\n", self.daemons[i].name)
        });
        lines.collect()
    }

    /// Returns the versions that a daemon has run, in the order in which it ran
    /// them, through all its lives.
    pub fn versions_run(&self, i: usize) -> Vec<u64> {
        let log = self.log(i);
        let after = log.split("\"version ").skip(1);
        after
            .filter(|rest| rest.contains(" is in force"))
            .filter_map(|rest| rest.split_once(" is in force")?.0.parse().ok())
            .collect()
    }

    /// Returns how often a daemon ran an older version than before.
    pub fn version_regressions(&self) -> usize {
        (0..self.daemons.len())
            .map(|i| self.versions_run(i).windows(2).filter(|pair| pair[1] < pair[0]).count())
            .sum()
    }

    /// Returns the process id of a daemon that runs.
    pub fn pid(&self, i: usize) -> Option<u32> {
        self.daemons[i].child.as_ref().map(Child::id)
    }

    /// Returns what a daemon has logged.
    pub fn log(&self, i: usize) -> String {
        std::fs::read_to_string(&self.daemons[i].log).unwrap_or_default()
    }

    /// Returns what a daemon tells of itself.
    pub async fn status(&self, i: usize) -> Option<Value> {
        let req =
            Request::get("/v1/status/self").header("host", "daemon").body(body::empty()).ok()?;
        let to = self.daemons[i].upstreams;
        let res = self.pool.exchange(to, req, 1 << 20, ASK_TIME).await.ok()?;
        serde_json::from_slice(res.body()).ok()
    }

    /// Waits until a condition holds on the status of every daemon named.
    ///
    /// Returns how long it took, or `None` if the time was up first.
    pub async fn wait_all(
        &self,
        which: &[usize],
        time: Duration,
        holds: impl Fn(&Value) -> bool,
    ) -> Option<Duration> {
        let started = Instant::now();
        let mut left: Vec<usize> = which.to_vec();
        while !left.is_empty() {
            if started.elapsed() > time {
                return None;
            }
            let mut still = Vec::new();
            for i in left {
                if !self.status(i).await.is_some_and(|status| holds(&status)) {
                    still.push(i);
                }
            }
            left = still;
            if !left.is_empty() {
                smol::Timer::after(POLL).await;
            }
        }
        Some(started.elapsed())
    }

    /// Waits until every daemon knows all others of its failure domain.
    pub async fn wait_joined(&self, time: Duration) -> bool {
        let members = self.spec.per_domain as u64;
        let all: Vec<usize> = (0..self.daemons.len()).collect();
        let knows_all = |status: &Value| status["members"].as_u64() >= Some(members);
        let joined = self.wait_all(&all, time, knows_all).await.is_some();
        if !joined {
            eprintln!("{}", self.last_log_lines());
        }
        joined
    }

    /// Waits until these daemons run a version or a newer one.
    pub async fn wait_running(
        &self,
        which: &[usize],
        version: u64,
        time: Duration,
    ) -> Option<Duration> {
        self.wait_all(which, time, |status| status["running"].as_u64() >= Some(version)).await
    }

    /// Waits until every daemon has heard of a service.
    pub async fn wait_service(&self, service: &str, time: Duration) -> bool {
        let all: Vec<usize> = (0..self.daemons.len()).collect();
        self.wait_all(&all, time, |status| !status["services"][service].is_null()).await.is_some()
    }

    fn signal(&self, i: usize, signal: &str) {
        if let Some(pid) = self.pid(i) {
            let _no_port_is_tried = ports::lock_process_starts();
            let _sent = Command::new("kill").arg(signal).arg(pid.to_string()).status();
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
    fn plan(spec: &Spec, domain: &str, i: usize, group: usize, dir: &std::path::Path) -> Daemon {
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

    fn settings_json(&self, nodes: &[Daemon], spec: &Spec, platform: SocketAddr) -> Value {
        let near: Vec<&Daemon> = nodes.iter().filter(|node| node.domain == self.domain).collect();
        let witnesses: Vec<&str> =
            near.iter().take(WITNESSES).map(|node| node.name.as_str()).collect();
        let peers: Vec<SocketAddr> = near.iter().take(WITNESSES).map(|node| node.mesh).collect();
        let far: serde_json::Map<String, Value> = spec
            .domains
            .iter()
            .filter(|domain| **domain != self.domain)
            .map(|domain| {
                let links = nodes.iter().filter(|node| node.domain == *domain).take(2);
                (domain.clone(), links.map(|node| node.link.addr.to_string()).collect())
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
            "far_peers": far,
            "mesh_key": MESH_KEY,
            "threads": spec.threads,
            "limits": {"leave_ms": 500, "head_ms": spec.head_ms},
            "log": {"level": "info", "json": true, "decisions": spec.decisions},
        })
    }
}
