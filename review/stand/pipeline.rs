//! Clients send further requests before the first is answered, and the first answer is
//! broken off by its instance.

use crate::client::{Client, Outcome, new_id, request};
use crate::fleet::{self, Host};
use crate::instance::{Instance, Work};
use crate::record::Record;
use crate::store::Store;
use crate::{Setting, config};
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Zone and service of each machine. The clients are on the first one.
const PLACES: [(&str, &str); 4] = [
    ("kemah", "fleet-calendar"),
    ("galveston", "fleet-calendar"),
    ("kemah", "crew-desk"),
    ("corpus", "crew-desk"),
];
/// The faulty instance, one of the two that serve downloads.
const FAULTY: usize = 2;

const DEADLINE: Duration = Duration::from_millis(3000);
const CLIENTS: usize = 6;
/// Requests behind the first one of a batch.
const BEHIND: usize = 4;
const RUNS_FOR: Duration = Duration::from_secs(40);
/// One answer in this number is broken off by a faulty instance.
const BREAK_EACH: usize = 50;
/// Requests that a machine may lose.
const ALLOWED: usize = 3;

const LOOKUP: Work = Work {
    prefix: "/lohu930/",
    takes: Duration::from_millis(120),
    bytes: 1500,
    sending: Duration::ZERO,
    break_each: 0,
    break_after: 0,
};
const DOWNLOAD: Work = Work {
    prefix: "/pule252/",
    takes: Duration::from_millis(96),
    bytes: 900_000,
    sending: Duration::ZERO,
    break_each: 0,
    break_after: 600_000,
};

/// One request of a batch and what became of it.
struct Sent {
    id: String,
    path: String,
    outcome: Outcome,
    is_first: bool,
    is_kept: bool,
}

pub fn run(setting: &Setting, record: &Arc<Record>) -> Result<bool, String> {
    let hosts = fleet::draw(&PLACES, &setting.folder);
    let store = Store::start(hosts[0].ip);
    let routes = [
        (LOOKUP.prefix, "idempotent", "fleet-calendar", 1200),
        (DOWNLOAD.prefix, "download", "crew-desk", 2500),
    ];
    store.put("op/config", config(1, &routes).as_bytes());
    let faulty = Work { break_each: if setting.trouble { BREAK_EACH } else { 0 }, ..DOWNLOAD };
    let work = |i| vec![LOOKUP, if i == FAULTY { faulty } else { DOWNLOAD }];
    let instances = Instance::start_all(&PLACES, &hosts, work, record, store.addr);
    hosts.iter().try_for_each(Host::wait_ready)?;
    record.say("all daemons are ready");
    std::thread::sleep(Duration::from_secs(3));
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (to, record, stop) = (hosts[0].outbound, record.clone(), stop.clone());
            std::thread::spawn(move || run_client(to, &record, &stop))
        })
        .collect();
    std::thread::sleep(RUNS_FOR);
    stop.store(true, Ordering::SeqCst);
    let sent: Vec<Sent> =
        clients.into_iter().flat_map(|client| client.join().unwrap_or_default()).collect();
    if let Some(how) = hosts.iter().find_map(Host::ended) {
        return Err(format!("a daemon ended: {how}"));
    }
    let sound: HashSet<String> =
        instances[..2].iter().flat_map(|instance| instance.runs()).map(|run| run.id).collect();
    let cut = sent.iter().filter(|request| request.outcome == Outcome::CutInAnswer).count();
    let lost: Vec<&Sent> = sent
        .iter()
        .filter(|request| {
            let is_passed_on = sound.contains(&request.id);
            request.outcome == Outcome::NoAnswer
                && request.is_kept
                && !request.is_first
                && is_passed_on
        })
        .collect();
    for request in &lost {
        record.line(&format!("lost {} {}", request.id, request.path));
    }
    let answered = sent.iter().filter(|request| request.outcome.is_success()).count();
    record
        .say(&format!("{} requests were sent, {answered} were answered with success", sent.len()));
    record.say(&format!("{cut} answers were cut, as their instance broke them off"));
    record.say(&format!(
        "{} requests on kept connections were passed on to a sound instance and their connection \
         was closed without an answer; {ALLOWED} are allowed",
        lost.len()
    ));
    Ok(lost.len() <= ALLOWED)
}

fn run_client(to: std::net::SocketAddr, record: &Arc<Record>, stop: &Arc<AtomicBool>) -> Vec<Sent> {
    let mut client = Client::new(to);
    let mut all = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let is_kept = client.is_open();
        let mut batch: Vec<(String, String)> = Vec::new();
        let mut bytes = Vec::new();
        for i in 0..=BEHIND {
            let id = new_id();
            let prefix = if i == 0 { DOWNLOAD.prefix } else { LOOKUP.prefix };
            let path = format!("{prefix}{id}");
            bytes.extend(request("GET", &path, &id, DEADLINE));
            record.line(&format!("send {id} GET {path}"));
            batch.push((id, path));
        }
        let until = Instant::now() + DEADLINE;
        let mut is_open = client.send(&bytes).is_ok();
        for (i, (id, path)) in batch.into_iter().enumerate() {
            let outcome = match is_open {
                true => client.read(until.saturating_duration_since(Instant::now())),
                false => Outcome::NoAnswer,
            };
            record.line(&format!("answer {id}: {outcome:?}"));
            is_open = client.is_open();
            all.push(Sent { id, path, outcome, is_first: i == 0, is_kept });
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    all
}
