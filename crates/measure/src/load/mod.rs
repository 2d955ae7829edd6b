//! `load`: policies of the request path under modelled load, on a virtual clock.
//!
//! The choice of upstreams, the gate, the retries and the memory for returning callers
//! are the product's own code (`crates/core`). Callers, upstreams and the ways between
//! are modelled; nothing has a socket. A deployment is a file of `testdata/load/`; the
//! same file and seed give the same figures on every machine.
//!
//! # Limits
//!
//! Where a deployment names no processor time for a message, the daemons' own time is a
//! constant part of the ways. Bytes cost nothing. All
//! daemons hear of a change in membership at the same moment. Failure domains are never
//! cut. Hosts that fall silent are not modelled: an upstream that is down refuses
//! connections. `docs/MEASUREMENTS.md` says how far the model ranks policies as played
//! days do.

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

/// What is asked of the model.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// The deployment.
    pub file: PathBuf,
    /// Seeds to play, from one on.
    pub seeds: u64,
    /// Decisions to switch off, separated by commas.
    pub without: Option<String>,
    /// Where to draw the share earned by second.
    pub svg: Option<PathBuf>,
}

/// Decisions that can be switched off.
#[derive(Clone, Copy, Debug)]
pub struct Switches {
    /// Those of the choice of upstreams.
    pub choice: Policy,
    /// Second attempts beside late ones.
    pub second: bool,
    /// Callers that come back are known.
    pub returning: bool,
    /// Hosts are asked for a free slot before a call waits.
    pub ask_free: bool,
}

/// Why the model cannot be run.
#[derive(Debug)]
pub enum LoadError {
    /// The deployment.
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

/// Plays the seeds and returns the summary.
///
/// # Errors
///
/// Returns why it cannot be played.
pub fn run(options: &LoadOptions) -> Result<Value, LoadError> {
    let deployment = Deployment::read(&options.file).map_err(LoadError::Deployment)?;
    let switches = Switches::without(options.without.as_deref())?;
    let runs = play_all(&deployment, switches, options.seeds);
    let shares: Vec<f64> = runs.iter().map(|run| run.all.share()).collect();
    let mean = shares.iter().sum::<f64>() / shares.len().max(1) as f64;
    let off = shares.iter().map(|share| (share - mean).powi(2)).sum::<f64>();
    let spread = (off / (shares.len().max(2) - 1) as f64).sqrt();
    let mut runs = runs.into_iter();
    let Some(mut total) = runs.next() else { return Ok(json!({})) };
    runs.for_each(|run| total.merge(&run));
    if let Some(path) = &options.svg {
        plot::draw(path, &total).map_err(LoadError::Plot)?;
    }
    let mut summary = total.to_json();
    summary["file"] = name_of(&options.file).into();
    summary["seeds"] = options.seeds.into();
    summary["without"] = options.without.clone().into();
    summary["share_mean"] = round(mean).into();
    summary["share_deviation"] = round(spread).into();
    Ok(summary)
}

/// Plays each seed, as many at once as the machine has processors to spare.
fn play_all(deployment: &Deployment, switches: Switches, seeds: u64) -> Vec<Tally> {
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get().div_ceil(2));
    let next = std::sync::atomic::AtomicU64::new(1);
    let worker = || {
        let mut played = Vec::new();
        loop {
            let seed = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            if seed > seeds {
                return played;
            }
            played.push((seed, World::new(deployment.clone(), switches, seed).play()));
        }
    };
    let mut runs: Vec<(u64, Tally)> = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..threads).map(|_| scope.spawn(worker)).collect();
        workers.into_iter().flat_map(|worker| worker.join().unwrap_or_default()).collect()
    });
    runs.sort_by_key(|(seed, _)| *seed);
    runs.into_iter().map(|(_, run)| run).collect()
}

fn name_of(path: &Path) -> String {
    path.file_stem().map_or_else(String::new, |name| name.to_string_lossy().into_owned())
}

impl Switches {
    fn without(decisions: Option<&str>) -> Result<Switches, LoadError> {
        let mut on =
            Switches { choice: Policy::ALL, second: true, returning: true, ask_free: true };
        for decision in decisions.into_iter().flat_map(|names| names.split(',')) {
            *on.of(decision)? = false;
        }
        Ok(on)
    }

    fn of(&mut self, decision: &str) -> Result<&mut bool, LoadError> {
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
            "second" => &mut self.second,
            "returning" => &mut self.returning,
            other => return Err(LoadError::Decision(other.to_string())),
        })
    }
}
