//! A small deployment on loopback: daemons of the deploy file's build, each beside a stand-in
//! instance, in two zones that can be cut off from each other.

use cicadashift_http::client::Pool;
use cicadashift_http::hyper::{Method, Request, Response};
use cicadashift_http::{body, exec};
use cicadashift_testkit::hosted::instance::Instance;
use cicadashift_testkit::hosted::store::{CONFIG_KEY, Store};
use cicadashift_testkit::link::Link;
use cicadashift_testkit::mesh_link::MeshLink;
use cicadashift_testkit::ports;
use cicadashift_testkit::upstream::Ledger;
use serde_json::{Value, json};
use std::fs::File;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub const HOST: &str = "notices.example";
pub const SERVICE: &str = "notice";
pub const ZONES: [&str; 2] = ["a", "b"];
const MAX_ANSWER: usize = 16 << 20;

/// One machine: a daemon, its instance, and their links.
pub struct Machine {
    pub zone: usize,
    pub callers: SocketAddr,
    pub control: SocketAddr,
    pub ready: SocketAddr,
    pub store_link: Link,
    /// Link on which the daemons of the other zone reach this one.
    pub far_link: MeshLink,
    pub instance: Arc<Instance>,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    was_started: bool,
    pool: Arc<Pool>,
}

pub struct Fleet {
    pub machines: Vec<Machine>,
    pub store: Store,
    pub ledger: Ledger,
    pub began: Instant,
    program: PathBuf,
    dir: PathBuf,
}

/// One request of a client, and what it was answered.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub machine: usize,
    pub at: Duration,
    pub took: Duration,
    pub status: Option<u16>,
}

impl Fleet {
    /// Starts machines in these zones, with the settings that the deploy file's template makes.
    pub fn start(machines: &[(usize, &str)], first_config: &Value) -> Fleet {
        let name = format!("cicadashift-review-{}-{:08x}", std::process::id(), fastrand::u32(..));
        let dir = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&dir).expect("a temporary folder");
        let program = std::env::var("PROGRAM").expect("PROGRAM names the daemon's program");
        let mut fleet = Fleet {
            machines: Vec::new(),
            store: Store::start(),
            ledger: Ledger::default(),
            began: Instant::now(),
            program: PathBuf::from(program),
            dir,
        };
        for (zone, service) in machines {
            fleet.add(*zone, service, true, None);
        }
        fleet.put_config(first_config);
        fleet
    }

    /// Adds a machine whose instance is of a version.
    pub fn add(
        &mut self,
        zone: usize,
        service: &str,
        first_start: bool,
        version: Option<&str>,
    ) -> usize {
        let i = self.machines.len();
        let ip = ports::unique_ip();
        let [callers, control, ready, mesh, metrics] = ports::free_addrs(ip);
        let store_link = Link::start(self.store.addr, Duration::ZERO);
        let instance = Instance::start(&format!("i-{i}"), service, control, self.ledger.clone());
        if let Some(version) = version {
            instance.set_version(version);
        }
        let far_link = MeshLink::start(mesh);
        let settings = json!({
            "interface": "platform",
            "host": format!("sidecar-{}-{i}", ZONES[zone]),
            "failure_domain": ZONES[zone],
            "services": [service],
            "callers": callers,
            "upstreams": control,
            "upstream": instance.addr,
            "ready": ready,
            "mesh": mesh,
            "far_address": far_link.tcp.addr,
            "metrics_text": metrics,
            "platform": [store_link.addr],
            "mesh_key": "one mesh on a closed network",
            "link_mbps": 1000.0,
            "first_start": first_start,
            "threads": 1,
            "retries": {"ratio": 0.2, "slack": 56, "window_s": 10},
            "rollouts": {"share": 0.1, "slack": 50},
            "limits": {"leave_ms": 2500, "grace_s": 6, "head_ms": 15000},
        });
        let file = self.dir.join(format!("boot-{i}.json"));
        std::fs::write(&file, settings.to_string()).expect("settings can be written");
        let log = self.dir.join(format!("{i}.log"));
        let pool = Arc::new(Pool::new(16));
        self.machines.push(Machine {
            zone,
            callers,
            control,
            ready,
            store_link,
            far_link,
            instance,
            settings: file,
            log,
            child: None,
            was_started: false,
            pool,
        });
        self.spawn(i);
        i
    }

    /// Starts a daemon that isn't running, with the command of the deploy file.
    pub fn spawn(&mut self, i: usize) {
        let machine = &mut self.machines[i];
        if machine.was_started {
            // `Bootstrap` is true only when the whole system starts for the first time.
            let text = std::fs::read_to_string(&machine.settings).expect("the settings");
            let text = text.replace("\"first_start\":true", "\"first_start\":false");
            std::fs::write(&machine.settings, text).expect("settings can be written");
        }
        machine.was_started = true;
        let log = File::options().create(true).append(true).open(&machine.log).expect("a log");
        let errors = log.try_clone().expect("a log");
        let _lock = ports::lock_process_starts();
        let child = Command::new(&self.program)
            .args(["daemon", "--settings"])
            .arg(&machine.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        machine.child = Some(child.expect("the daemon can be started"));
    }

    pub fn kill(&mut self, i: usize) {
        if let Some(mut child) = self.machines[i].child.take() {
            let _ended = (child.kill(), child.wait());
        }
    }

    pub fn signal(&self, i: usize, signal: &str) {
        if let Some(child) = &self.machines[i].child {
            let _lock = ports::lock_process_starts();
            let _sent = Command::new("kill").arg(signal).arg(child.id().to_string()).status();
        }
    }

    pub fn put_config(&self, config: &Value) {
        self.store.put(CONFIG_KEY, config.to_string().as_bytes());
    }

    /// Cuts zone a off from zone b and from the platform's store without a reset, or ends the
    /// cut. Its clients and instances still reach it.
    pub fn cut_zone(&self, cut: bool) {
        let all: Vec<IpAddr> = self.machines.iter().map(|machine| machine.callers.ip()).collect();
        for machine in &self.machines {
            if machine.zone == 0 {
                machine.store_link.silence(cut);
            }
            machine.far_link.tcp.silence(cut);
            machine.far_link.block(if cut { all.clone() } else { Vec::new() });
        }
    }

    pub async fn status_of(&self, i: usize) -> Value {
        let req = Request::get("/v1/status/self").header("host", "x").body(body::empty()).unwrap();
        let pool = Pool::new(1);
        let time = Duration::from_secs(2);
        match pool.exchange(self.machines[i].control, req, MAX_ANSWER, time).await {
            Ok(res) => serde_json::from_slice(res.body()).unwrap_or(Value::Null),
            Err(_) => Value::Null,
        }
    }

    pub async fn is_ready(&self, i: usize) -> bool {
        let req =
            Request::get("/cicadashift/ready").header("host", "x").body(body::empty()).unwrap();
        let pool = Pool::new(1);
        let time = Duration::from_secs(2);
        let got = pool.exchange(self.machines[i].ready, req, MAX_ANSWER, time).await;
        got.is_ok_and(|res| res.status().is_success())
    }

    /// Waits until all daemons are ready and list all instances; false after 20 s.
    pub async fn wait_until_serving(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        let all = self.machines.len();
        loop {
            let mut serving = 0;
            for i in 0..all {
                let status = self.status_of(i).await;
                let listed: u64 = status["services"]
                    .as_object()
                    .into_iter()
                    .flat_map(|all| all.values())
                    .filter_map(Value::as_u64)
                    .sum();
                if self.is_ready(i).await && listed == all as u64 {
                    serving += 1;
                }
            }
            if serving == all {
                return true;
            }
            if Instant::now() > until {
                return false;
            }
            pause(100).await;
        }
    }

    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Sends one request of a client on a machine.
    pub fn send(
        &self,
        i: usize,
        method: Method,
        path: &str,
        id: String,
        headers: &[(&str, &str)],
    ) -> smol::Task<Sent> {
        let (to, pool, began) =
            (self.machines[i].callers, self.machines[i].pool.clone(), self.began);
        let mut req = Request::builder()
            .method(method)
            .uri(path)
            .header("host", HOST)
            .header("x-request-id", &id)
            .header("x-deadline-ms", "1500");
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(body::empty()).expect("a request");
        exec::spawn(async move {
            let at = began.elapsed();
            let got: Option<Response<_>> =
                pool.exchange(to, req, MAX_ANSWER, Duration::from_millis(1500)).await.ok();
            let took = began.elapsed() - at;
            Sent { id, machine: i, at, took, status: got.map(|res| res.status().as_u16()) }
        })
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for i in 0..self.machines.len() {
            self.signal(i, "-CONT");
            self.kill(i);
        }
        if std::env::var("KEEP").is_ok() {
            eprintln!("logs are in {}", self.dir.display());
        } else {
            let _removed = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// A configuration of routes, written as the operator does.
pub fn config(version: u64, routes: &[(&str, &str, &str)], tenants: Option<Value>) -> Value {
    let paths: Vec<Value> = routes
        .iter()
        .map(|(prefix, kind, service)| {
            json!({
                "Name": "r", "Prefix": prefix, "Kind": kind, "TimeoutMs": 1500,
                "TargetLatencyMs": 400, "Priority": 1, "Service": service, "MaxAttempts": 2,
            })
        })
        .collect();
    let mut names: Vec<&str> = routes.iter().map(|(_, _, service)| *service).collect();
    names.dedup();
    let services: Vec<Value> = names
        .iter()
        .map(|name| {
            json!({"Name": name, "HealthPath": "/health", "MaxConnections": 110, "Protocol": "h1",
               "Tls": false})
        })
        .collect();
    let mut config = json!({
        "Version": format!("r{version}"),
        "Services": services,
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1048576, "HeaderTimeoutMs": 3000,
                   "IdleTimeoutMs": 15000},
        "VirtualHosts": [{"Host": HOST, "Paths": paths}],
    });
    if let Some(tenants) = tenants {
        config["Tenants"] = tenants;
    }
    config
}

pub async fn pause(ms: u64) {
    smol::Timer::after(Duration::from_millis(ms)).await;
}
