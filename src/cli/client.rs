//! The operators' commands and their output.

use super::{FAILURE, SUCCESS, USAGE_ERROR};
use crate::clock::{Clock, SystemClock};
use crate::operator::change::{self, Snapshot};
use crate::operator::{
    OperatorError, fleet, organisations, plan, quarantine, record, report, rollouts,
};
use crate::store::PlatformError;
use crate::store::etcd::Etcd;
use cicadashift_core::config::manifest::Object;
use cicadashift_core::config::{Invalid, Labels, Selector, check_labels, check_name};
use cicadashift_core::delivery::head::Operation;
use cicadashift_http::reactor::Timer;
use serde_json::{Value, json};
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Default time limit of `--wait`, in seconds.
pub const DEFAULT_WAIT_SECONDS: u64 = 30;
/// Interval between two outputs of `status --watch`.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);
/// Environment variable that replaces `--platform` where the option is not given.
const PLATFORM_ENV: &str = "CICADASHIFT_PLATFORM";
/// Environment variable that replaces `--daemon` where the option is not given.
const DAEMON_ENV: &str = "CICADASHIFT_DAEMON";

/// Output of a command that ran.
pub struct Output {
    /// Text for people.
    human: String,
    /// JSON, for `--json`.
    machine: Value,
    /// Exit code.
    code: i32,
}

/// Result of a command.
pub type Result = std::result::Result<Output, OperatorError>;

/// Reason why a client cannot be created.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UsageError {
    /// A part of an environment variable is not an address.
    Env { name: &'static str, part: String },
}

impl fmt::Display for UsageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            UsageError::Env { name, part } => {
                write!(f, "${name}: {part:?} is not an address of the form IP:PORT")
            }
        }
    }
}

impl std::error::Error for UsageError {}

/// Client of the platform and of daemons, with the options that all commands share.
pub struct Client {
    platform: Etcd,
    daemons: Vec<SocketAddr>,
    json: bool,
    clock: SystemClock,
}

impl Client {
    /// Creates a client from options and the environment.
    ///
    /// # Errors
    ///
    /// Returns [`UsageError`] where an address is invalid.
    pub fn new(
        platform: &[SocketAddr],
        daemons: &[SocketAddr],
        json: bool,
    ) -> std::result::Result<Client, UsageError> {
        let platform = Etcd::new(addresses(platform, PLATFORM_ENV)?);
        let daemons = addresses(daemons, DAEMON_ENV)?;
        Ok(Client { platform, daemons, json, clock: SystemClock::new() })
    }

    /// Prints the result of a command; returns the exit code.
    pub fn print(&self, result: Result) -> i32 {
        match result {
            Ok(output) => {
                let text = if self.json { output.machine.to_string() } else { output.human };
                println!("{}", text.trim_end());
                output.code
            }
            Err(err) => {
                if self.json {
                    println!("{}", json!({"error": err.to_string()}));
                }
                eprintln!("error: {err}");
                match err {
                    OperatorError::Platform(PlatformError::NoAddress) => USAGE_ERROR,
                    _ => FAILURE,
                }
            }
        }
    }

    /// `config accept`.
    pub async fn accept(&self, file: &Path, dry_run: bool, wait: Option<Duration>) -> Result {
        let buf = read(file)?;
        let invalid = |why| OperatorError::Invalid { file: file.display().to_string(), why };
        let (op, cfg, object) = change::prepare_accept(&buf).map_err(invalid)?;
        let services = change::services(&self.platform).await?;
        change::check_services(&cfg, &services).map_err(invalid)?;
        self.change(op, Some(object), dry_run, wait).await
    }

    /// `config withdraw`.
    pub async fn withdraw(&self, id: &str, dry_run: bool, wait: Option<Duration>) -> Result {
        self.change(Operation::Withdraw(id.to_string()), None, dry_run, wait).await
    }

    /// `config list`.
    pub async fn list_configs(&self) -> Result {
        let snapshot = self.snapshot().await?;
        let rows: Vec<Value> = snapshot
            .manifest
            .configs
            .values()
            .map(|entry| {
                let hash = entry.hash.to_string();
                json!({"id": entry.id, "labels": entry.labels, "hash": hash, "bytes": entry.bytes})
            })
            .collect();
        let human = snapshot.manifest.configs.values().map(|entry| {
            format!("{}  {}  {} bytes", entry.id, labels_text(&entry.labels), entry.bytes)
        });
        Ok(list(&snapshot, human, rows))
    }

    /// `config show`.
    pub async fn show_config(&self, id: &str) -> Result {
        let buf = change::config_text(&self.platform, id).await?;
        let machine: Value = serde_json::from_slice(&buf).unwrap_or_default();
        let human = serde_json::to_string_pretty(&machine).unwrap_or_default();
        Ok(Output { human, machine, code: SUCCESS })
    }

    /// `selector set`.
    pub async fn set_selector(&self, file: &Path, dry_run: bool) -> Result {
        let buf = read(file)?;
        let selector = Selector::parse(&buf)
            .map_err(|why| OperatorError::Invalid { file: file.display().to_string(), why })?;
        self.change(Operation::SetSelector(selector), None, dry_run, None).await
    }

    /// `selector remove`.
    pub async fn remove_selector(&self, name: &str) -> Result {
        self.change(Operation::RemoveSelector(name.to_string()), None, false, None).await
    }

    /// `selector list`.
    pub async fn list_selectors(&self) -> Result {
        let snapshot = self.snapshot().await?;
        let selectors = &snapshot.manifest.selectors;
        let rows = selectors.values().map(|selector| json!(selector)).collect();
        let human = selectors.values().map(|selector| {
            format!(
                "{}  configurations {}  proxies {}  domains [{}]  services [{}]",
                selector.name,
                labels_text(&selector.configs),
                labels_text(&selector.proxies),
                selector.domains.join(" "),
                selector.services.join(" ")
            )
        });
        Ok(list(&snapshot, human, rows))
    }

    /// `label set`.
    pub async fn set_labels(&self, host: &str, pairs: &[String]) -> Result {
        let invalid = |why| OperatorError::Invalid { file: "label set".to_string(), why };
        check_name("host", host).map_err(invalid)?;
        let labels = parse_labels(pairs).map_err(invalid)?;
        let op = Operation::SetLabels { host: host.to_string(), labels };
        self.change(op, None, false, None).await
    }

    /// `label remove`.
    pub async fn remove_labels(&self, host: &str, keys: &[String]) -> Result {
        let op = Operation::RemoveLabels { host: host.to_string(), keys: keys.to_vec() };
        self.change(op, None, false, None).await
    }

    /// `label list`.
    pub async fn list_labels(&self) -> Result {
        let snapshot = self.snapshot().await?;
        let labels = &snapshot.manifest.labels;
        let rows =
            labels.iter().map(|(host, labels)| json!({"host": host, "labels": labels})).collect();
        let human = labels.iter().map(|(host, labels)| format!("{host}  {}", labels_text(labels)));
        Ok(list(&snapshot, human, rows))
    }

    /// `status`.
    pub async fn status(&self, watch: bool) -> Result {
        loop {
            let status = fleet::status(&self.daemons).await?;
            let human = fleet::render(&status);
            let newest = fleet::newest(&status);
            let progress = fleet::Progress::of(&status, newest);
            if !watch || progress.late.is_empty() {
                return Ok(Output { human, machine: status, code: SUCCESS });
            }
            println!("{human}{}\n", progress_text(&progress));
            Timer::after(WATCH_INTERVAL).await;
        }
    }

    /// `rollouts`.
    pub async fn rollouts(&self) -> Result {
        let machine = rollouts::list(&self.daemons).await?;
        Ok(Output { human: rollouts::render(&machine), machine, code: SUCCESS })
    }

    /// `organisation list`.
    pub async fn list_organisations(&self) -> Result {
        let machine = organisations::list(&self.daemons).await?;
        Ok(Output { human: organisations::render(&machine), machine, code: SUCCESS })
    }

    /// `organisation show`.
    pub async fn show_organisation(&self, name: &str) -> Result {
        let machine = organisations::show(&self.daemons, name).await?;
        Ok(Output { human: organisations::render_one(&machine), machine, code: SUCCESS })
    }

    /// `quarantine list`.
    pub async fn list_quarantine(&self) -> Result {
        let machine = quarantine::list(&self.daemons).await?;
        Ok(Output { human: quarantine::render(&machine), machine, code: SUCCESS })
    }

    /// `quarantine lift`.
    pub async fn lift_quarantine(&self, call: &str) -> Result {
        let human = quarantine::lift(&self.daemons, call).await?;
        let machine = json!({"call": call, "said": human.trim_end()});
        Ok(Output { human, machine, code: SUCCESS })
    }

    /// `record`.
    pub async fn record(&self, quarter: Option<&str>, html: Option<&Path>) -> Result {
        let quarter =
            quarter.map_or_else(|| record::current_quarter(self.clock.wall_ms()), str::to_string);
        let rows = record::rows(&self.platform, &quarter).await?;
        let summary = record::summarise(&quarter, &rows);
        let mut human = record::render(&summary);
        if let Some(file) = html {
            let page = report::page(&summary, &rows);
            std::fs::write(file, page).map_err(|err| file_error(file, &err))?;
            human.push_str(&format!("written to {}\n", file.display()));
        }
        Ok(Output { human, machine: json!({"summary": summary, "rows": rows}), code: SUCCESS })
    }

    async fn change(
        &self,
        op: Operation,
        object: Option<Object>,
        dry_run: bool,
        wait: Option<Duration>,
    ) -> Result {
        if dry_run {
            return self.dry_run(&op).await;
        }
        let version = change::commit(&self.platform, &op, object, self.clock.wall_ms()).await?;
        let output = Output {
            human: format!("version {version}: {} is accepted", op.subject()),
            machine: json!({"version": version}),
            code: SUCCESS,
        };
        match wait {
            None => Ok(output),
            Some(timeout) => Ok(self.wait(version, timeout).await),
        }
    }

    async fn wait(&self, version: u64, timeout: Duration) -> Output {
        let mut last_running = usize::MAX;
        let on_progress = |progress: &fleet::Progress| {
            if progress.running != last_running {
                last_running = progress.running;
                eprintln!("version {version}: {}", progress_text(progress));
            }
        };
        match fleet::wait(&self.daemons, version, timeout, on_progress).await {
            Ok(progress) => Output {
                human: format!("version {version} is in force on {} proxies", progress.total),
                machine: json!({"version": version, "running": progress.running, "late": []}),
                code: SUCCESS,
            },
            Err(progress) => Output {
                human: format!(
                    "version {version} is accepted and will not be undone, but {}",
                    progress_text(&progress)
                ),
                machine: json!({
                    "version": version, "running": progress.running, "late": progress.late,
                }),
                code: FAILURE,
            },
        }
    }

    async fn dry_run(&self, op: &Operation) -> Result {
        let snapshot = self.snapshot().await?;
        let status = fleet::status(&self.daemons).await?;
        let proxies = fleet::proxies(&status);
        let effects = plan::effects(&snapshot, op, &proxies)?;
        let mut human = format!(
            "{} would reach {} of {} proxies; nothing was changed\n",
            op.subject(),
            effects.len(),
            proxies.len()
        );
        for effect in &effects {
            human.push_str(&format!(
                "  {} ({}): gains [{}] loses [{}] changes [{}]\n",
                effect.host,
                effect.domain,
                effect.gains.join(" "),
                effect.loses.join(" "),
                effect.changes.join(" ")
            ));
        }
        Ok(Output { human, machine: json!({"effects": effects}), code: SUCCESS })
    }

    async fn snapshot(&self) -> std::result::Result<Snapshot, OperatorError> {
        change::snapshot(&self.platform).await
    }
}

fn list(snapshot: &Snapshot, human: impl Iterator<Item = String>, rows: Vec<Value>) -> Output {
    let version = snapshot.head.version;
    let lines: Vec<String> = human.collect();
    let human = format!("version {version}, {} found\n{}", lines.len(), lines.join("\n"));
    Output { human, machine: json!({"version": version, "items": rows}), code: SUCCESS }
}

fn progress_text(progress: &fleet::Progress) -> String {
    let mut text = format!("{} of {} proxies run it", progress.running, progress.total);
    for (host, why) in &progress.late {
        text.push_str(&format!("\n  {host}: {why}"));
    }
    text
}

fn parse_labels(pairs: &[String]) -> std::result::Result<Labels, Invalid> {
    let mut labels = Labels::new();
    for pair in pairs {
        let bad = || Invalid::Name { field: "KEY=VALUE", value: pair.clone() };
        let (key, value) = pair.split_once('=').ok_or_else(bad)?;
        labels.insert(key.to_string(), value.to_string());
    }
    check_labels(&labels)?;
    Ok(labels)
}

fn labels_text(labels: &Labels) -> String {
    let pairs: Vec<String> = labels.iter().map(|(key, value)| format!("{key}={value}")).collect();
    format!("[{}]", pairs.join(" "))
}

fn addresses(
    given: &[SocketAddr],
    env: &'static str,
) -> std::result::Result<Vec<SocketAddr>, UsageError> {
    if !given.is_empty() {
        return Ok(given.to_vec());
    }
    let text = std::env::var(env).unwrap_or_default();
    text.split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty())
        .map(|part| part.parse().map_err(|_| UsageError::Env { name: env, part: part.to_string() }))
        .collect()
}

fn read(file: &Path) -> std::result::Result<Vec<u8>, OperatorError> {
    std::fs::read(file).map_err(|err| file_error(file, &err))
}

fn file_error(file: &Path, err: &std::io::Error) -> OperatorError {
    OperatorError::File { path: file.display().to_string(), why: err.to_string() }
}
