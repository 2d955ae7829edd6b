//! Experiments that measure cicadashift and, in the same run, the baselines that it is
//! compared with.
//!
//! Each experiment but `load` starts the built binary as processes on loopback, with the
//! platform, upstreams and callers simulated in this program. Progress goes to standard
//! error, JSON to standard output: one object a line, the last with `"summary": true`.
//! The exit status is 1 if a promise of the brief was broken during the run and 2 if the
//! experiment could not run.
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

/// Threads of this program, which simulates the platform, upstreams and callers.
const THREADS: usize = 4;
/// Number of seeds that `load` runs without `--seeds`.
const SEEDS: u64 = 20;

xflags::xflags! {
    /// Measures cicadashift: path, converge, footprint, policy, storm, or load FILE.
    cmd cicadashift-measure {
        /// The experiment to run.
        required experiment: String
        /// load: the deployment file.
        optional file: PathBuf
        /// load: number of seeds to run.
        optional --seeds n: u64
        /// load: SVG file to write, with the share earned in each second.
        optional --svg path: PathBuf
        /// Daemons to start.
        optional --daemons n: usize
        /// Seed of this program's random choices.
        optional --seed s: u64
        /// How long a phase lasts.
        optional --seconds t: u64
        /// converge: none, platform-outage, partition, herd or freeze.
        optional --fault fault: String
        /// path: calls a second.
        optional --rate n: u64
        /// path: threads of each daemon.
        optional --threads n: usize
        /// path: the daemons do not log their decisions.
        optional --quiet
        /// policy: offered load as a share of capacity, in percent.
        optional --load percent: u64
        /// policy, load: the decision to switch off; load takes several, separated by commas;
        /// policy runs no baselines then.
        optional --without decision: String
        /// converge: changes to accept.
        optional --changes n: usize
    }
}

/// Options of an experiment.
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
    /// Threads of each daemon, if not the default.
    pub threads: Option<usize>,
    /// Whether the daemons do not log their decisions.
    pub quiet: bool,
    /// The decision of the daemons' choice of upstreams to switch off.
    pub without: Option<String>,
}

/// Result of an experiment.
pub struct Outcome {
    /// The fields of the summary.
    pub summary: Value,
    /// Promises of the brief that were broken.
    pub broken_promises: Vec<&'static str>,
}

/// Runs the `load` model, which starts no processes.
fn run_load_model(flags: CicadashiftMeasure) {
    let Some(file) = flags.file else {
        eprintln!("load needs a deployment file; see testdata/load");
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
        return run_load_model(flags);
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
        threads: flags.threads,
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
        eprintln!("unknown experiment {:?}; see --help", flags.experiment);
        std::process::exit(2);
    };
    outcome.summary["experiment"] = flags.experiment.into();
    outcome.summary["summary"] = true.into();
    println!("{}", outcome.summary);
    if !outcome.broken_promises.is_empty() {
        eprintln!("promises broken: {}", outcome.broken_promises.join(", "));
        std::process::exit(1);
    }
}
