//! What daemons tell of the fleet.

use super::OperatorError;
use bytes::Bytes;
use cicadashift_core::config::select::Proxy;
use cicadashift_core::ids::Version;
use cicadashift_http::body;
use cicadashift_http::client::Pool;
use cicadashift_http::hyper::{Method, Request, Response};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Proxies as selectors see them.
pub type Proxies = Vec<Proxy>;

/// Time for a daemon to ask all others.
const STATUS_TIME: Duration = Duration::from_secs(5);
/// Largest status taken in.
const MAX_STATUS: usize = 16 << 20;
/// Time between two looks at a roll-out.
const WATCH_STEP: Duration = Duration::from_millis(200);

/// Asks the first of these daemons that answers for the fleet's status.
///
/// # Errors
///
/// Returns [`OperatorError::NoDaemon`] where none answers.
pub async fn status(daemons: &[SocketAddr]) -> Result<Value, OperatorError> {
    json_of(daemons, "/v1/status").await
}

/// Asks these daemons in turn for something in JSON until one answers with it.
///
/// # Errors
///
/// Returns [`OperatorError::NoDaemon`] where none does.
pub async fn json_of(daemons: &[SocketAddr], path: &str) -> Result<Value, OperatorError> {
    let mut last = OperatorError::NoDaemon("none named".to_string());
    for daemon in daemons {
        match ask(*daemon, Method::GET, path).await {
            Ok(res) => match serde_json::from_slice(res.body()) {
                Ok(value) => return Ok(value),
                Err(err) => last = OperatorError::NoDaemon(err.to_string()),
            },
            Err(err) => last = err,
        }
    }
    Err(last)
}

/// Asks a daemon.
///
/// # Errors
///
/// Returns [`OperatorError::NoDaemon`] where it does not answer.
pub async fn ask(
    daemon: SocketAddr,
    method: Method,
    path: &str,
) -> Result<Response<Bytes>, OperatorError> {
    let none = |why: String| OperatorError::NoDaemon(format!("{daemon}: {why}"));
    let req = Request::builder().method(method).uri(path).header("host", "daemon");
    let req = req.body(body::empty()).map_err(|err| none(err.to_string()))?;
    let answer = Pool::new(1).exchange(daemon, req, MAX_STATUS, STATUS_TIME).await;
    answer.map_err(|err| none(err.to_string()))
}

/// Returns the proxies that answered, with what selectors see of each.
pub fn proxies(status: &Value) -> Proxies {
    hosts(status)
        .filter_map(|host| serde_json::from_value::<ProxyStatus>(host["proxy"].clone()).ok())
        .map(|proxy| Proxy {
            host: proxy.host,
            domain: proxy.domain,
            services: proxy.services,
            labels: proxy.labels,
        })
        .collect()
}

/// How far a version has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Proxies that run it or a newer one.
    pub running: usize,
    /// Proxies known.
    pub all: usize,
    /// Those that do not, with the reason as far as it is known.
    pub late: Vec<(String, String)>,
}

impl Progress {
    /// Reads the progress of a version out of a status.
    pub fn of(status: &Value, version: Version) -> Progress {
        let mut progress = Progress { running: 0, all: 0, late: Vec::new() };
        for host in hosts(status).filter(|host| host["health"] != "Dead") {
            progress.all += 1;
            if host["running"].as_u64().unwrap_or(0) >= version {
                progress.running += 1;
                continue;
            }
            let name = host["host"].as_str().unwrap_or("?").to_string();
            progress.late.push((name, reason(host, version)));
        }
        progress
    }
}

/// Waits until every proxy runs a version, telling the progress.
///
/// # Errors
///
/// Returns the last progress where the time is up first.
pub async fn wait(
    daemons: &[SocketAddr],
    version: Version,
    time: Duration,
    mut tell: impl FnMut(&Progress),
) -> Result<Progress, Progress> {
    let until = Instant::now() + time;
    loop {
        let progress = match status(daemons).await {
            Ok(status) => Progress::of(&status, version),
            Err(err) => {
                Progress { running: 0, all: 0, late: vec![("fleet".into(), err.to_string())] }
            }
        };
        tell(&progress);
        if progress.all > 0 && progress.late.is_empty() {
            return Ok(progress);
        }
        if Instant::now() >= until {
            return Err(progress);
        }
        smol::Timer::after(WATCH_STEP).await;
    }
}

/// Returns the newest version that any daemon knows.
pub fn newest(status: &Value) -> Version {
    hosts(status).filter_map(|host| host["newest"].as_u64()).max().unwrap_or(0)
}

/// Writes a status for people.
pub fn render(status: &Value) -> String {
    let mut out = String::new();
    let mut domains: BTreeMap<&str, Vec<&Value>> = BTreeMap::new();
    for host in hosts(status) {
        domains.entry(host["domain"].as_str().unwrap_or("?")).or_default().push(host);
    }
    let newest = newest(status);
    let asked = status["asked"].as_str().unwrap_or("?");
    out.push_str(&format!("newest version {newest}, as {asked} sees it now\n"));
    for (domain, hosts) in domains {
        out.push_str(&render_domain(domain, &hosts, newest));
    }
    out
}

fn render_domain(domain: &str, hosts: &[&Value], newest: Version) -> String {
    let answered = hosts.iter().filter(|host| host["answered"] == true).count();
    let current = hosts.iter().filter(|host| host["running"].as_u64() == Some(newest)).count();
    let readers: Vec<_> = hosts
        .iter()
        .filter(|host| host["reader"] == true && host["answered"] == true)
        .filter_map(|host| host["host"].as_str())
        .collect();
    let reader = if readers.is_empty() { "no reader".to_string() } else { readers.join(", ") };
    let cut = if answered == 0 { "  CUT OFF" } else { "" };
    let mut out = format!(
        "\n{domain}: {current} of {} run it, {answered} answered, reader: {reader}{cut}\n",
        hosts.len()
    );
    for host in hosts {
        let name = host["host"].as_str().unwrap_or("?");
        if host["answered"] != true {
            let health = host["health"].as_str().unwrap_or("?");
            out.push_str(&format!("  {name}: no answer, last known {health}\n"));
            continue;
        }
        let running = host["running"].as_u64().unwrap_or(0);
        if running != newest {
            out.push_str(&format!("  {name}: runs {running}: {}\n", reason(host, newest)));
        }
        for upstream in host["upstreams"].as_array().into_iter().flatten() {
            if upstream["readiness"] != "ready" {
                let instance = upstream["instance"].as_str().unwrap_or("?");
                let readiness = upstream["readiness"].as_str().unwrap_or("?");
                out.push_str(&format!("  {name}: upstream {instance} is {readiness}\n"));
            }
        }
    }
    out
}

fn reason(host: &Value, version: Version) -> String {
    let key = version.to_string();
    if host["answered"] != true {
        return "does not answer".to_string();
    }
    if let Some(why) = host["bad"][&key].as_str() {
        return format!("refuses version {version}: {why}");
    }
    if let Some(why) = host["waiting"][&key].as_str() {
        return why.to_string();
    }
    if host["floor"].is_null() && host["running"] == 0 {
        return "nobody can vouch for a version it may run; it refuses calls".to_string();
    }
    if host["held"].as_u64().unwrap_or(0) >= version {
        return "holds it, no majority of witnesses has promised it".to_string();
    }
    "does not hold it yet".to_string()
}

fn hosts(status: &Value) -> impl Iterator<Item = &Value> {
    status["hosts"].as_array().into_iter().flatten()
}

#[derive(serde::Deserialize)]
struct ProxyStatus {
    host: String,
    domain: String,
    services: Vec<String>,
    labels: cicadashift_core::config::Labels,
}
