//! The status of the fleet, as daemons report it.

use super::OperatorError;
use bytes::Bytes;
use cicadashift_core::config::select::Proxy;
use cicadashift_core::ids::Version;
use cicadashift_http::body;
use cicadashift_http::client::Pool;
use cicadashift_http::hyper::{Method, Request, Response};
use cicadashift_http::reactor::Timer;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Proxies, with the fields that selectors match.
pub type Proxies = Vec<Proxy>;

/// Time limit for a daemon to query all others.
const STATUS_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest answer of a daemon that is accepted.
const MAX_STATUS_BYTES: usize = 16 << 20;
/// Interval between two status queries while waiting for a version.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Returns the fleet's status from the first of these daemons that answers.
///
/// # Errors
///
/// Returns [`OperatorError::NoDaemon`] where none answers.
pub async fn status(daemons: &[SocketAddr]) -> Result<Value, OperatorError> {
    fetch_json(daemons, "/v1/status").await
}

/// Requests a path from these daemons in turn; returns the first answer in JSON.
///
/// # Errors
///
/// Returns [`OperatorError::NoDaemon`] where none answers in JSON.
pub async fn fetch_json(daemons: &[SocketAddr], path: &str) -> Result<Value, OperatorError> {
    let mut last = OperatorError::NoDaemon("no address given".to_string());
    for daemon in daemons {
        match send_request(*daemon, Method::GET, path).await {
            Ok(res) => match serde_json::from_slice(res.body()) {
                Ok(value) => return Ok(value),
                Err(err) => last = OperatorError::NoDaemon(err.to_string()),
            },
            Err(err) => last = err,
        }
    }
    Err(last)
}

/// Sends a request without a body to a daemon.
///
/// # Errors
///
/// Returns [`OperatorError::NoDaemon`] where it does not answer.
pub async fn send_request(
    daemon: SocketAddr,
    method: Method,
    path: &str,
) -> Result<Response<Bytes>, OperatorError> {
    let no_answer = |why: String| OperatorError::NoDaemon(format!("{daemon}: {why}"));
    let req = Request::builder().method(method).uri(path).header("host", "daemon");
    let req = req.body(body::empty()).map_err(|err| no_answer(err.to_string()))?;
    let answer = Pool::new(1).exchange(daemon, req, MAX_STATUS_BYTES, STATUS_TIMEOUT).await;
    answer.map_err(|err| no_answer(err.to_string()))
}

/// Returns the proxies that answered, with the fields that selectors match.
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

/// Progress of a version through the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Proxies that run the version or a newer one.
    pub running: usize,
    /// Known proxies that are not dead.
    pub total: usize,
    /// Proxies that run an older version, with the reason as far as it is known.
    pub late: Vec<(String, String)>,
}

impl Progress {
    /// Returns the progress of a version according to a fleet's status.
    pub fn of(status: &Value, version: Version) -> Progress {
        let mut progress = Progress { running: 0, total: 0, late: Vec::new() };
        for host in hosts(status).filter(|host| host["health"] != "Dead") {
            progress.total += 1;
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

/// Waits until every proxy runs a version; calls `on_progress` after each query.
///
/// # Errors
///
/// Returns the last progress where the timeout expires first.
pub async fn wait(
    daemons: &[SocketAddr],
    version: Version,
    timeout: Duration,
    mut on_progress: impl FnMut(&Progress),
) -> Result<Progress, Progress> {
    let deadline = Instant::now() + timeout;
    loop {
        let progress = match status(daemons).await {
            Ok(status) => Progress::of(&status, version),
            Err(err) => {
                Progress { running: 0, total: 0, late: vec![("fleet".into(), err.to_string())] }
            }
        };
        on_progress(&progress);
        if progress.total > 0 && progress.late.is_empty() {
            return Ok(progress);
        }
        if Instant::now() >= deadline {
            return Err(progress);
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Returns the newest version that any daemon knows of.
pub fn newest(status: &Value) -> Version {
    hosts(status).filter_map(|host| host["newest"].as_u64()).max().unwrap_or(0)
}

/// Renders a status as text.
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
    let cut_off = if answered == 0 { "  CUT OFF" } else { "" };
    let mut out = format!(
        "\n{domain}: {current} of {} run it, {answered} answered, reader: {reader}{cut_off}\n",
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

/// Returns why a host does not run a version.
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
        return "neither the store nor a majority of witnesses has confirmed which version it may \
                run; it refuses calls"
            .to_string();
    }
    if host["held"].as_u64().unwrap_or(0) >= version {
        return "holds it, but no majority of witnesses has promised it".to_string();
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
