//! The operators' commands: what they do and what they say.

use super::{DONE, MISUSE, NOT_DONE};
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
use serde_json::{Value, json};
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Default time that `--wait` waits, in seconds.
pub const WAIT_SECONDS: u64 = 30;
/// Time between two pictures of `status --watch`.
const WATCH_STEP: Duration = Duration::from_secs(1);
/// Environment variable that stands in for `--platform`.
const PLATFORM_ENV: &str = "CICADASHIFT_PLATFORM";
/// Environment variable that stands in for `--daemon`.
const DAEMON_ENV: &str = "CICADASHIFT_DAEMON";

/// What a command says in the end.
pub struct Said {
    human: String,
    machine: Value,
    code: i32,
}

/// A command's end.
pub type Result = std::result::Result<Said, OperatorError>;

/// Why a client cannot be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Misuse {
    /// An environment variable does not hold addresses.
    Env { name: &'static str, part: String },
}

impl fmt::Display for Misuse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Misuse::Env { name, part } => write!(f, "${name}: {part:?} is not IP:PORT"),
        }
    }
}

impl std::error::Error for Misuse {}

/// What every command needs.
pub struct Client {
    platform: Etcd,
    daemons: Vec<SocketAddr>,
    json: bool,
    clock: SystemClock,
}

impl Client {
    /// Makes a client from options and the environment.
    ///
    /// # Errors
    ///
    /// Returns [`Misuse`] where an address cannot be read.
    pub fn new(
        platform: &[SocketAddr],
        daemons: &[SocketAddr],
        json: bool,
    ) -> std::result::Result<Client, Misuse> {
        let platform = Etcd::new(addresses(platform, PLATFORM_ENV)?);
        let daemons = addresses(daemons, DAEMON_ENV)?;
        Ok(Client { platform, daemons, json, clock: SystemClock::new() })
    }

    /// Prints what a command says; returns the exit code.
    pub fn say(&self, said: Result) -> i32 {
        match said {
            Ok(said) => {
                let text = if self.json { said.machine.to_string() } else { said.human };
                println!("{}", text.trim_end());
                said.code
            }
            Err(err) => {
                if self.json {
                    println!("{}", json!({"error": err.to_string()}));
                }
                eprintln!("error: {err}");
                match err {
                    OperatorError::Platform(PlatformError::Unset) => MISUSE,
                    _ => NOT_DONE,
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
        let buf = change::text(&self.platform, id).await?;
        let machine: Value = serde_json::from_slice(&buf).unwrap_or_default();
        let human = serde_json::to_string_pretty(&machine).unwrap_or_default();
        Ok(Said { human, machine, code: DONE })
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
        let named = |why| OperatorError::Invalid { file: "label set".to_string(), why };
        check_name("host", host).map_err(named)?;
        let labels = parse_labels(pairs).map_err(named)?;
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
                return Ok(Said { human, machine: status, code: DONE });
            }
            println!("{human}{}\n", progress_text(&progress));
            smol::Timer::after(WATCH_STEP).await;
        }
    }

    /// `rollouts`.
    pub async fn rollouts(&self) -> Result {
        let machine = rollouts::list(&self.daemons).await?;
        Ok(Said { human: rollouts::render(&machine), machine, code: DONE })
    }

    /// `organisation list`.
    pub async fn list_organisations(&self) -> Result {
        let machine = organisations::list(&self.daemons).await?;
        Ok(Said { human: organisations::render(&machine), machine, code: DONE })
    }

    /// `organisation show`.
    pub async fn show_organisation(&self, name: &str) -> Result {
        let machine = organisations::show(&self.daemons, name).await?;
        Ok(Said { human: organisations::render_one(&machine), machine, code: DONE })
    }

    /// `quarantine list`.
    pub async fn list_quarantine(&self) -> Result {
        let machine = quarantine::list(&self.daemons).await?;
        Ok(Said { human: quarantine::render(&machine), machine, code: DONE })
    }

    /// `quarantine lift`.
    pub async fn lift_quarantine(&self, call: &str) -> Result {
        let human = quarantine::lift(&self.daemons, call).await?;
        let machine = json!({"call": call, "said": human.trim_end()});
        Ok(Said { human, machine, code: DONE })
    }

    /// `record`.
    pub async fn record(&self, quarter: Option<&str>, html: Option<&Path>) -> Result {
        let quarter = quarter.map_or_else(|| record::present(self.clock.wall_ms()), str::to_string);
        let rows = record::rows(&self.platform, &quarter).await?;
        let sum = record::sum_up(&quarter, &rows);
        let mut human = record::render(&sum);
        if let Some(file) = html {
            let page = report::page(&sum, &rows);
            std::fs::write(file, page).map_err(|err| file_error(file, &err))?;
            human.push_str(&format!("written to {}\n", file.display()));
        }
        Ok(Said { human, machine: json!({"summary": sum, "rows": rows}), code: DONE })
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
        let said = Said {
            human: format!("version {version}: {} is accepted", op.subject()),
            machine: json!({"version": version}),
            code: DONE,
        };
        match wait {
            None => Ok(said),
            Some(time) => Ok(self.wait(version, time).await),
        }
    }

    async fn wait(&self, version: u64, time: Duration) -> Said {
        let mut shown = usize::MAX;
        let tell = |progress: &fleet::Progress| {
            if progress.running != shown {
                shown = progress.running;
                eprintln!("version {version}: {}", progress_text(progress));
            }
        };
        match fleet::wait(&self.daemons, version, time, tell).await {
            Ok(progress) => Said {
                human: format!("version {version} is in force on {} proxies", progress.all),
                machine: json!({"version": version, "running": progress.running, "late": []}),
                code: DONE,
            },
            Err(progress) => Said {
                human: format!(
                    "version {version} is accepted and will not revert, but {}",
                    progress_text(&progress)
                ),
                machine: json!({
                    "version": version, "running": progress.running, "late": progress.late,
                }),
                code: NOT_DONE,
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
        Ok(Said { human, machine: json!({"effects": effects}), code: DONE })
    }

    async fn snapshot(&self) -> std::result::Result<Snapshot, OperatorError> {
        change::snapshot(&self.platform).await
    }
}

fn list(snapshot: &Snapshot, human: impl Iterator<Item = String>, rows: Vec<Value>) -> Said {
    let version = snapshot.head.version;
    let lines: Vec<String> = human.collect();
    let human = format!("version {version}, {} found\n{}", lines.len(), lines.join("\n"));
    Said { human, machine: json!({"version": version, "items": rows}), code: DONE }
}

fn progress_text(progress: &fleet::Progress) -> String {
    let mut text = format!("{} of {} proxies run it", progress.running, progress.all);
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
) -> std::result::Result<Vec<SocketAddr>, Misuse> {
    if !given.is_empty() {
        return Ok(given.to_vec());
    }
    let text = std::env::var(env).unwrap_or_default();
    text.split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty())
        .map(|part| part.parse().map_err(|_| Misuse::Env { name: env, part: part.to_string() }))
        .collect()
}

fn read(file: &Path) -> std::result::Result<Vec<u8>, OperatorError> {
    std::fs::read(file).map_err(|err| file_error(file, &err))
}

fn file_error(file: &Path, err: &std::io::Error) -> OperatorError {
    OperatorError::File { path: file.display().to_string(), why: err.to_string() }
}
