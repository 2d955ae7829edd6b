//! Hosts of a small deployment: the project's daemon, run with the command and the settings
//! of its deploy folder.

use crate::http;
use crate::json::quote;
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

const SIGKILL: i32 = 9;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Bounds of the deployment, as the settings name them.
const BOUNDS: [(&str, &str); 4] =
    [("BudgetRatio", "0.2"), ("BudgetSlack", "56"), ("BudgetWindowS", "10"), ("GraceS", "6")];
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// One host with its daemon.
pub struct Host {
    pub node: String,
    pub ip: IpAddr,
    pub zone: String,
    pub outbound: SocketAddr,
    pub control: SocketAddr,
    ready: SocketAddr,
    mesh_port: u16,
    folder: PathBuf,
    child: Mutex<Option<Child>>,
}

impl Host {
    /// Draws addresses for a host; each host has a loopback address of its own.
    pub fn new(number: u8, zone: &str, folder: &Path) -> Host {
        let pid = std::process::id();
        let ip = Ipv4Addr::new(127, 64 + (pid >> 8) as u8 % 64, pid as u8, 10 + number);
        let ip = IpAddr::V4(ip);
        let free = || {
            let listener = TcpListener::bind((ip, 0)).expect("a free port");
            listener.local_addr().expect("a bound socket has an address")
        };
        Host {
            node: format!("sidecar-{zone}-{number}"),
            ip,
            zone: zone.to_string(),
            outbound: free(),
            control: free(),
            ready: free(),
            mesh_port: free().port(),
            folder: folder.to_path_buf(),
            child: Mutex::new(None),
        }
    }

    /// Writes the settings and starts the daemon.
    pub fn start(&self, service: &str, app: SocketAddr, store: SocketAddr) {
        let values = BTreeMap::from([
            ("Node", self.node.clone()),
            ("Zone", self.zone.clone()),
            ("Service", service.to_string()),
            ("AppAddr", app.to_string()),
            ("Ip", self.ip.to_string()),
            ("Listen.Outbound", self.outbound.to_string()),
            ("Listen.Control", self.control.to_string()),
            ("Listen.Ready", self.ready.to_string()),
            ("PortRange.0", self.mesh_port.to_string()),
            ("Platform.Address", store.to_string()),
            ("Limits.LinkMbps", "1000.0".to_string()),
        ]);
        let file = self.folder.join(format!("{}.yaml", self.node));
        fs::write(&file, render(&values)).expect("the settings can be written");
        self.spawn(&file);
    }

    /// Starts the daemon again with the settings that it had.
    pub fn restart(&self) {
        self.spawn(&self.folder.join(format!("{}.yaml", self.node)));
    }

    fn spawn(&self, settings: &Path) {
        let command = deploy_command();
        let mut words = command.split(' ');
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.node)))
            .expect("the log can be written");
        let child = Command::new(words.next().expect("the deploy file names a program"))
            .args(words.map(|word| match word.starts_with("/etc/") {
                true => settings.as_os_str().to_owned(),
                false => word.into(),
            }))
            .env("CICADASHIFT_BOOT", settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log can be written"))
            .stderr(log)
            .spawn()
            .expect("the daemon can be started; run the build of the deploy file first");
        *self.child.lock().unwrap() = Some(child);
    }

    /// Waits until the daemon says that it is ready.
    pub fn wait_ready(&self) -> Result<(), String> {
        let until = Instant::now() + START_TIMEOUT;
        while Instant::now() < until {
            if self.is_ready() {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(format!("{} is not ready", self.node))
    }

    pub fn is_ready(&self) -> bool {
        let request = format!(
            "GET /cicadashift/ready HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n",
            self.ready
        );
        let answer = http::exchange(self.ready, request.as_bytes(), Duration::from_secs(1));
        answer.is_ok_and(|(status, _)| status == 200)
    }

    /// Kills the daemon.
    pub fn kill(&self) {
        self.signal(SIGKILL);
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _reaped = child.wait();
        }
    }

    /// Stops the daemon until [`Host::wake`].
    pub fn freeze(&self) {
        self.signal(SIGSTOP);
    }

    /// Lets a stopped daemon run on.
    pub fn wake(&self) {
        self.signal(SIGCONT);
    }

    /// Returns how the daemon ended by itself, if it did.
    pub fn ended(&self) -> Option<String> {
        let mut child = self.child.lock().unwrap();
        let status = child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    fn signal(&self, signal: i32) {
        if let Some(child) = self.child.lock().unwrap().as_ref() {
            // SAFETY: `kill` takes two integers; the process is a child that was not waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Draws addresses for machines, each in a zone.
pub fn draw(places: &[(&str, &str)], folder: &Path) -> Vec<Host> {
    let numbered = places.iter().zip(1..);
    numbered.map(|((zone, _), number)| Host::new(number, zone, folder)).collect()
}

/// Returns the command of the deploy file.
fn deploy_command() -> String {
    let text = fs::read_to_string("deploy/system.toml").expect("the deploy file can be read");
    let line = text.lines().find(|line| line.starts_with("run")).expect("a role has a command");
    line.split('"').nth(1).expect("a command is a text").to_string()
}

/// Fills in the template of the deploy folder as `DEPLOY.md` says.
fn render(values: &BTreeMap<&str, String>) -> String {
    let template = fs::read_to_string("deploy/settings.json").expect("the template can be read");
    let mut text = without_section(&template, "Bounds.ExposeShare");
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}|json}}}}"), &quote(value));
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    for (name, value) in BOUNDS {
        text = text.replace(&format!("{{{{Bounds.{name}}}}}"), value);
    }
    text.replace("{{Bootstrap|json}}", "true")
}

fn without_section(text: &str, name: &str) -> String {
    let (open, close) = (format!("{{{{#{name}}}}}"), format!("{{{{/{name}}}}}"));
    match (text.find(&open), text.find(&close)) {
        (Some(from), Some(to)) => format!("{}{}", &text[..from], &text[to + close.len()..]),
        _ => text.to_string(),
    }
}
