//! The experiments: what cicadashift does, in figures, beside what it is
//! compared with, in the same run.
//!
//! Each experiment starts the stand-ins and the built binary as real processes
//! on loopback, prints progress on standard error and JSON on standard output,
//! one object a line, the last with `"summary": true`. The program exits 1 when
//! a promise of the brief was broken during the run and 2 when it could not run.
//! `docs/MEASUREMENTS.md` has the recorded runs.

mod baseline;
mod converge;
mod footprint;
mod load;
mod path;
mod policy;
mod process;
mod stats;
mod storm;

use cicadashift_http::exec;
use serde_json::Value;
use std::path::PathBuf;

/// Threads of this program; it plays the platform, upstreams and callers.
const THREADS: usize = 4;
/// Seeds of the model that are played if none are asked for.
const SEEDS: u64 = 20;

xflags::xflags! {
    /// Measures cicadashift: path, converge, footprint, policy, storm, or load FILE.
    cmd cicadashift-measure {
        /// Which experiment.
        required experiment: String
        /// load: the deployment.
        optional file: PathBuf
        /// load: seeds to play.
        optional --seeds n: u64
        /// load: where to draw the share earned by second.
        optional --svg path: PathBuf
        /// Daemons to start.
        optional --daemons n: usize
        /// Seed of what is random here.
        optional --seed s: u64
        /// How long a phase lasts.
        optional --seconds t: u64
        /// converge: none, platform-outage, partition, herd or freeze.
        optional --fault fault: String
        /// path: calls a second.
        optional --rate n: u64
        /// path: without a log line for each decision.
        optional --quiet
        /// policy: offered load as a share of capacity, in percent.
        optional --load percent: u64
        /// policy, load: a decision to switch off, load several with commas; policy runs no
        /// baselines then.
        optional --without decision: String
        /// converge: changes to accept.
        optional --changes n: usize
    }
}

/// What an experiment needs to know.
pub struct Options {
    /// The release binary.
    pub program: PathBuf,
    /// Daemons to start.
    pub daemons: Option<usize>,
    /// How long a phase lasts, in seconds.
    pub seconds: u64,
    /// The fault to inject.
    pub fault: String,
    /// Calls a second.
    pub rate: u64,
    /// Offered load in percent of capacity.
    pub load: u64,
    /// Changes to accept.
    pub changes: usize,
    /// No log line for each decision.
    pub quiet: bool,
    /// A decision of the choice of upstreams to switch off.
    pub without: Option<String>,
}

/// An experiment's end.
pub struct Outcome {
    /// The fields of the summary.
    pub summary: Value,
    /// Promises of the brief that were broken.
    pub broken: Vec<&'static str>,
}

/// Plays the model, which needs no processes.
fn model(flags: CicadashiftMeasure) {
    let Some(file) = flags.file else {
        eprintln!("load needs a deployment; see testdata/load");
        std::process::exit(2);
    };
    let seeds = flags.seeds.unwrap_or(SEEDS);
    match load::run(&load::LoadOptions { file, seeds, without: flags.without, svg: flags.svg }) {
        Ok(mut summary) => {
            summary["experiment"] = "load".into();
            summary["summary"] = true.into();
            println!("{summary}");
        }
        Err(err) => {
            eprintln!("{err}");
            std::process::exit(2);
        }
    }
}

fn main() {
    let flags = CicadashiftMeasure::from_env_or_exit();
    if flags.experiment == "load" {
        return model(flags);
    }
    fastrand::seed(flags.seed.unwrap_or(1));
    let program =
        std::env::current_exe().ok().and_then(|exe| Some(exe.parent()?.join("cicadashift")));
    let Some(program) = program.filter(|path| path.exists()) else {
        eprintln!("no release binary beside this program: cargo build --release --workspace");
        std::process::exit(2);
    };
    let options = Options {
        program,
        daemons: flags.daemons,
        seconds: flags.seconds.unwrap_or(10),
        fault: flags.fault.unwrap_or_else(|| "none".to_string()),
        rate: flags.rate.unwrap_or(500),
        load: flags.load.unwrap_or(70),
        changes: flags.changes.unwrap_or(10),
        quiet: flags.quiet,
        without: flags.without,
    };
    let outcome = exec::run(THREADS, async {
        match flags.experiment.as_str() {
            "path" => Some(path::run(&options).await),
            "converge" => Some(converge::run(&options).await),
            "footprint" => Some(footprint::run(&options).await),
            "policy" => Some(policy::run(&options).await),
            "storm" => Some(storm::run(&options).await),
            _ => None,
        }
    });
    let Some(mut outcome) = outcome else {
        eprintln!("no experiment {:?}; see --help", flags.experiment);
        std::process::exit(2);
    };
    outcome.summary["experiment"] = flags.experiment.into();
    outcome.summary["summary"] = true.into();
    println!("{}", outcome.summary);
    if !outcome.broken.is_empty() {
        eprintln!("promises broken: {}", outcome.broken.join(", "));
        std::process::exit(1);
    }
}
