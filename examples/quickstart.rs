//! Runs the complete system on one machine in half a minute.
//!
//! Starts a simulated platform and three failure domains of daemons and upstreams on
//! loopback, accepts a configuration with the code of the command-line client, sends calls
//! in each domain, changes the configuration under load, and prints the results. With
//! `--stay`, the system keeps running for manual tests.
//!
//! The daemons are started from the same executable, so that a single command builds
//! everything.

use cicadashift_http::exec;
use cicadashift_testkit::caller::{CallOutcome, Caller};
use cicadashift_testkit::fleet::{Fleet, Spec};
use cicadashift_testkit::mesh::{Mesh, SELECT_ALL};
use cicadashift_testkit::platform::Platform;
use cicadashift_testkit::upstream::Behaviour;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

const DOMAINS: [&str; 3] = ["santander", "bilbao", "oviedo"];
const PER_DOMAIN: usize = 3;
const LOAD_TIME: Duration = Duration::from_secs(4);
/// Pause between two calls of a caller; three callers send about 300 calls a second.
const CALL_INTERVAL: Duration = Duration::from_millis(10);

const CONFIG: &str = r#"{
  "id": "notices",
  "labels": {"app": "notices"},
  "routes": [
    {"prefix": "/notices", "methods": ["GET"], "service": "notice"},
    {"prefix": "/notices", "methods": ["POST"], "service": "notice", "priority": "high"}
  ]
}"#;
const CHANGED_CONFIG: &str = r#"{
  "id": "notices",
  "labels": {"app": "notices"},
  "routes": [
    {"prefix": "/notices", "methods": ["GET"], "service": "notice"},
    {"prefix": "/notices", "methods": ["POST"], "service": "notice", "priority": "high"},
    {"prefix": "/status", "service": "notice", "deadline_ms": 500}
  ]
}"#;

fn main() {
    let args: Vec<_> = std::env::args_os().skip(1).collect();
    if args.first().is_some_and(|arg| arg == "daemon") {
        std::process::exit(cicadashift::cli::run(args));
    }
    let stay = args.iter().any(|arg| arg == "--stay");
    let passed = exec::run(2, quickstart(stay));
    std::process::exit(if passed { 0 } else { 1 });
}

async fn quickstart(stay: bool) -> bool {
    let program = std::env::current_exe().expect("the path of the executable is available");
    let mut spec = Spec::small(program, &DOMAINS, PER_DOMAIN);
    spec.delay = Duration::from_micros(1500);
    let mesh = Mesh::start(spec, |daemon| {
        Some(Behaviour::plain("notice", &format!("notice-{}", daemon.name)))
    })
    .await;
    let fleet = &mesh.fleet;
    println!("started {} daemons in {} failure domains", fleet.daemons.len(), DOMAINS.len());
    println!("{} upstreams of service notice are announced", mesh.upstreams.len());
    mesh.set_selector(SELECT_ALL).await;
    let (version, took) = mesh.roll_out(CONFIG).await;
    println!("version {version} is in force everywhere {} ms after acceptance", took.as_millis());

    let counters = Arc::new(Counters::default());
    let callers: Vec<_> = DOMAINS
        .iter()
        .map(|domain| {
            let daemon = &fleet.daemons[fleet.in_domain(domain)[0]];
            let (counters, caller) = (counters.clone(), Caller::new(daemon.callers));
            let domain = domain.to_string();
            exec::spawn(async move { send_calls(&domain, caller, counters).await })
        })
        .collect();
    smol::Timer::after(LOAD_TIME / 2).await;
    let (version, took) = mesh.roll_out(CHANGED_CONFIG).await;
    println!("version {version} came into force under load after {} ms", took.as_millis());
    smol::Timer::after(LOAD_TIME / 2).await;
    counters.stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await;
    }
    let (sent, lost) =
        (counters.sent.load(Ordering::Relaxed), counters.lost.load(Ordering::Relaxed));
    let refused = counters.refused.load(Ordering::Relaxed);
    let duplicates = mesh.ledger.duplicates();
    println!("{sent} calls from all domains: {refused} refused, {lost} lost, {duplicates} doubled");
    println!("the platform was called {} times in all", mesh.platform.counts().calls());
    print_commands(fleet, &mesh.platform);
    if stay {
        println!("staying up; end it with Ctrl-C");
        std::future::pending::<()>().await;
    }
    lost == 0 && duplicates == 0 && sent > 0
}

#[derive(Default)]
struct Counters {
    stop: AtomicBool,
    sent: AtomicU64,
    refused: AtomicU64,
    lost: AtomicU64,
}

async fn send_calls(domain: &str, caller: Caller, counters: Arc<Counters>) {
    let mut n = 0;
    while !counters.stop.load(Ordering::Relaxed) {
        n += 1;
        let id = format!("{domain}-{n}");
        let method = if n % 4 == 0 { "POST" } else { "GET" };
        let call = caller.call(method, "/notices/today", &id, b"").await;
        counters.sent.fetch_add(1, Ordering::Relaxed);
        match call.outcome {
            CallOutcome::Answer { request, .. } if request == id => {}
            CallOutcome::NotRun { .. } => {
                counters.refused.fetch_add(1, Ordering::Relaxed);
            }
            other => {
                println!("call {id}: {other:?}");
                counters.lost.fetch_add(1, Ordering::Relaxed);
            }
        }
        smol::Timer::after(CALL_INTERVAL).await;
    }
}

fn print_commands(fleet: &Fleet, platform: &Platform) {
    let daemon = &fleet.daemons[0];
    println!("\nby hand, while it runs with --stay:");
    println!("  curl -i http://{}/notices/today", daemon.callers);
    println!("  cargo run --release -- status --daemon {}", daemon.upstreams);
    println!("  cargo run --release -- config list --platform {}", platform.addr);
}
