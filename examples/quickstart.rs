//! The whole system on one machine in half a minute.
//!
//! Starts the stand-in platform, three failure domains of daemons and upstreams
//! on loopback, accepts a configuration through the client's own code, serves
//! real calls from each domain, changes the configuration under load, and says
//! what happened. `--stay` keeps it up for trying things by hand.
//!
//! The daemons are this same program started again, so that one command builds
//! all that is needed.

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
/// Between two calls of one caller; three callers make about 300 calls a second.
const CALL_EVERY: Duration = Duration::from_millis(10);

const CONFIG: &str = r#"{
  "id": "notices",
  "labels": {"app": "notices"},
  "routes": [
    {"prefix": "/notices", "methods": ["GET"], "service": "notice"},
    {"prefix": "/notices", "methods": ["POST"], "service": "notice", "priority": "high"}
  ]
}"#;
const CHANGED: &str = r#"{
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
    let done = exec::run(2, quickstart(stay));
    std::process::exit(if done { 0 } else { 1 });
}

async fn quickstart(stay: bool) -> bool {
    let program = std::env::current_exe().expect("this program has a path");
    let mut spec = Spec::small(program, &DOMAINS, PER_DOMAIN);
    spec.delay = Duration::from_micros(1500);
    let mesh = Mesh::start(spec, |node| {
        Some(Behaviour::plain("notice", &format!("notice-{}", node.name)))
    })
    .await;
    let fleet = &mesh.fleet;
    println!("started {} daemons in {} failure domains", fleet.daemons.len(), DOMAINS.len());
    println!("{} upstreams of service notice are announced", mesh.upstreams.len());
    mesh.set_selector(SELECT_ALL).await;
    let (version, took) = mesh.roll_out(CONFIG).await;
    println!("version {version} is in force everywhere {} ms after acceptance", took.as_millis());

    let tally = Arc::new(Tally::default());
    let callers: Vec<_> = DOMAINS
        .iter()
        .map(|domain| {
            let node = &fleet.daemons[fleet.in_domain(domain)[0]];
            let (tally, caller) = (tally.clone(), Caller::new(node.callers));
            let domain = domain.to_string();
            exec::spawn(async move { load(&domain, caller, tally).await })
        })
        .collect();
    smol::Timer::after(LOAD_TIME / 2).await;
    let (version, took) = mesh.roll_out(CHANGED).await;
    println!("version {version} came into force under load after {} ms", took.as_millis());
    smol::Timer::after(LOAD_TIME / 2).await;
    tally.stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await;
    }
    let (sent, lost) = (tally.sent.load(Ordering::Relaxed), tally.lost.load(Ordering::Relaxed));
    let refused = tally.refused.load(Ordering::Relaxed);
    let doubled = mesh.ledger.duplicates();
    println!("{sent} calls from all domains: {refused} refused, {lost} lost, {doubled} doubled");
    println!("the platform was called {} times in all", mesh.platform.counts().calls());
    by_hand(fleet, &mesh.platform);
    if stay {
        println!("staying up; end it with Ctrl-C");
        std::future::pending::<()>().await;
    }
    lost == 0 && doubled == 0 && sent > 0
}

#[derive(Default)]
struct Tally {
    stop: AtomicBool,
    sent: AtomicU64,
    refused: AtomicU64,
    lost: AtomicU64,
}

async fn load(domain: &str, caller: Caller, tally: Arc<Tally>) {
    let mut n = 0;
    while !tally.stop.load(Ordering::Relaxed) {
        n += 1;
        let id = format!("{domain}-{n}");
        let method = if n % 4 == 0 { "POST" } else { "GET" };
        let call = caller.call(method, "/notices/today", &id, b"").await;
        tally.sent.fetch_add(1, Ordering::Relaxed);
        match call.outcome {
            CallOutcome::Answer { request, .. } if request == id => {}
            CallOutcome::NotRun { .. } => {
                tally.refused.fetch_add(1, Ordering::Relaxed);
            }
            other => {
                println!("call {id}: {other:?}");
                tally.lost.fetch_add(1, Ordering::Relaxed);
            }
        }
        smol::Timer::after(CALL_EVERY).await;
    }
}

fn by_hand(fleet: &Fleet, platform: &Platform) {
    let node = &fleet.daemons[0];
    println!("\nby hand, while it runs with --stay:");
    println!("  curl -i http://{}/notices/today", node.callers);
    println!("  cargo run --release -- status --daemon {}", node.upstreams);
    println!("  cargo run --release -- config list --platform {}", platform.addr);
}
