//! `load`: simulates the policies of the request path under load, on a virtual clock.
//!
//! The load balancer, the gate, the retry decisions and the detection of returning callers are
//! the code of the daemon itself (`crates/core`). Callers, upstreams and network delays are
//! modelled; there are no sockets. A deployment is a file of `testdata/load/`; the same file
//! and seed give the same figures on every machine.
//!
//! # Limits
//!
//! Where a deployment sets no processor time per message, the time that daemons need is a
//! constant part of the network delays. The size of messages has no effect, and connections
//! have no cost. All daemons receive a change in membership at the same moment. There are no
//! partitions between failure domains, and no quotas of organisations. Silent hosts are not
//! modelled: an upstream that is down refuses connections. Upstreams report their load, but
//! not that they are slow for a moment.
//! `docs/MEASUREMENTS.md` says how far the model ranks policies as played days do.

mod arrivals;
mod caller;
mod deployment;
mod entry;
mod exit;
mod plot;
mod tally;
mod world;

use crate::stats::round;
use cicadashift_core::request::choose::Policy;
use deployment::{Deployment, DeploymentError};
use serde_json::{Value, json};
use std::fmt;
use std::path::{Path, PathBuf};
use tally::Tally;
use world::World;

/// Options of a simulation.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// The deployment file.
    pub file: PathBuf,
    /// Number of seeds to simulate, starting at seed one.
    pub seeds: u64,
    /// Decisions to switch off, separated by commas.
    pub without: Option<String>,
    /// Path of a plot of the share of worth earned, by second of arrival.
    pub svg: Option<PathBuf>,
}

/// Switches for the decisions of the request path.
#[derive(Clone, Copy, Debug)]
pub struct Switches {
    /// Decisions of the load balancer.
    pub choice: Policy,
    /// Whether hedged attempts are sent beside late ones.
    pub hedge: bool,
    /// Whether returning callers are recognized.
    pub returning: bool,
    /// Whether hosts are asked for a free slot before a call is queued.
    pub ask_free: bool,
}

/// Why a simulation cannot be run.
#[derive(Debug)]
pub enum LoadError {
    /// The deployment is invalid.
    Deployment(DeploymentError),
    /// No decision has this name.
    Decision(String),
    /// The plot cannot be written.
    Plot(String),
}

impl fmt::Display for LoadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LoadError::Deployment(err) => write!(f, "deployment: {err}"),
            LoadError::Decision(name) => write!(f, "no decision {name:?} to switch off"),
            LoadError::Plot(err) => write!(f, "plot: {err}"),
        }
    }
}

impl std::error::Error for LoadError {}

/// Simulates a deployment with each seed and returns the summary.
///
/// # Errors
///
/// Returns an error if the deployment is invalid, a decision to switch off does not exist or
/// the plot cannot be written.
pub fn run(options: &LoadOptions) -> Result<Value, LoadError> {
    let deployment = Deployment::read(&options.file).map_err(LoadError::Deployment)?;
    let switches = Switches::all_but(options.without.as_deref())?;
    let runs = simulate_all(&deployment, switches, options.seeds);
    let shares: Vec<f64> = runs.iter().map(|run| run.all.share()).collect();
    let mean = shares.iter().sum::<f64>() / shares.len().max(1) as f64;
    let squared_deviations = shares.iter().map(|share| (share - mean).powi(2)).sum::<f64>();
    let deviation = (squared_deviations / (shares.len().max(2) - 1) as f64).sqrt();
    let worst: Vec<f64> = runs.iter().filter_map(Tally::worst_organisations).collect();
    let worst_organisations =
        (!worst.is_empty()).then(|| round(worst.iter().sum::<f64>() / worst.len() as f64));
    let mut runs = runs.into_iter();
    let Some(mut total) = runs.next() else { return Ok(json!({})) };
    runs.for_each(|run| total.merge(&run));
    if let Some(path) = &options.svg {
        plot::draw(path, &total).map_err(LoadError::Plot)?;
    }
    let mut summary = total.to_json();
    summary["file"] = deployment_name(&options.file).into();
    summary["seeds"] = options.seeds.into();
    summary["without"] = options.without.clone().into();
    summary["worst_organisations_mean"] = worst_organisations.into();
    summary["share_mean"] = round(mean).into();
    summary["share_deviation"] = round(deviation).into();
    Ok(summary)
}

/// Simulates each seed, on half of the processors of the machine.
fn simulate_all(deployment: &Deployment, switches: Switches, seeds: u64) -> Vec<Tally> {
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get().div_ceil(2));
    let next = std::sync::atomic::AtomicU64::new(1);
    let worker = || {
        let mut results = Vec::new();
        loop {
            let seed = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            if seed > seeds {
                return results;
            }
            results.push((seed, World::new(deployment.clone(), switches, seed).simulate()));
        }
    };
    let mut runs: Vec<(u64, Tally)> = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..threads).map(|_| scope.spawn(worker)).collect();
        workers.into_iter().flat_map(|worker| worker.join().unwrap_or_default()).collect()
    });
    runs.sort_by_key(|(seed, _)| *seed);
    runs.into_iter().map(|(_, run)| run).collect()
}

fn deployment_name(path: &Path) -> String {
    path.file_stem().map_or_else(String::new, |name| name.to_string_lossy().into_owned())
}

impl Switches {
    fn all_but(decisions: Option<&str>) -> Result<Switches, LoadError> {
        let mut switches =
            Switches { choice: Policy::ALL, hedge: true, returning: true, ask_free: true };
        for decision in decisions.into_iter().flat_map(|names| names.split(',')) {
            *switches.switch(decision)? = false;
        }
        Ok(switches)
    }

    fn switch(&mut self, decision: &str) -> Result<&mut bool, LoadError> {
        Ok(match decision {
            "compare" => &mut self.choice.compare,
            "prefer_near" => &mut self.choice.prefer_near,
            "latency" => &mut self.choice.latency,
            "hints" => &mut self.choice.hints,
            "eject" => &mut self.choice.eject,
            "unproven" => &mut self.choice.unproven,
            "back_off" => &mut self.choice.back_off,
            "subset" => &mut self.choice.subset,
            "refusals" => &mut self.choice.refusals,
            "ask_free" => &mut self.ask_free,
            "second" => &mut self.hedge,
            "returning" => &mut self.returning,
            other => return Err(LoadError::Decision(other.to_string())),
        })
    }
}
