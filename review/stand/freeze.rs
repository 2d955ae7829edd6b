//! A machine stands still while it passes on large answers to other machines.

use crate::client::{Client, Outcome, new_id, request};
use crate::fleet::{self, Host};
use crate::instance::{Instance, Work};
use crate::record::Record;
use crate::store::Store;
use crate::{Setting, config};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Zone and service of each machine.
const PLACES: [(&str, &str); 9] = [
    ("depot-kantrida", "rosters"),
    ("gradska-vijecnica", "rosters"),
    ("depot-susak", "rosters"),
    ("depot-kantrida", "rosters"),
    ("gradska-vijecnica", "rosters"),
    ("depot-susak", "rosters"),
    ("depot-kantrida", "contracts"),
    ("gradska-vijecnica", "contracts"),
    ("depot-susak", "contracts"),
];
/// The machine that the clients are on, and the one that stands still: one of nine.
const ENTRY: usize = 0;
const FROZEN: usize = 6;
const FREEZES: usize = 8;
/// `for_s` of `node_freeze` in the site file.
const FROZEN_FOR: Duration = Duration::from_millis(3500);
const CALM: Duration = Duration::from_millis(6000);

/// `TimeoutMs` of the route, and the deadline of its clients.
const TIMEOUT_MS: u32 = 1750;
const DEADLINE: Duration = Duration::from_millis(2500);
/// Time after `TimeoutMs` at which a request counts as having no answer.
const SLACK: Duration = Duration::from_millis(500);
/// Requests without an answer that break the rule, where they are also more than a quarter.
const TOO_MANY: usize = 8;
const CLIENTS: usize = 20;
const PAUSE: Duration = Duration::from_millis(150);

const DOWNLOAD: Work = Work {
    prefix: "/pule252/",
    takes: Duration::from_millis(130),
    bytes: 900_000,
    sending: Duration::from_millis(700),
    break_each: 0,
    break_after: 0,
};

/// What became of a request, and after which time.
type Ended = (Duration, Outcome);

pub fn run(setting: &Setting, record: &Arc<Record>) -> Result<bool, String> {
    let hosts = fleet::draw(&PLACES, &setting.folder);
    let store = Store::start(hosts[0].ip);
    let routes = [
        ("/lohu930/", "idempotent", "rosters", 1500),
        (DOWNLOAD.prefix, "download", "contracts", TIMEOUT_MS),
    ];
    store.put("op/config", config(1, &routes).as_bytes());
    let _instances = Instance::start_all(&PLACES, &hosts, |_| vec![DOWNLOAD], record, store.addr);
    hosts.iter().try_for_each(Host::wait_ready)?;
    record.say("all daemons are ready");
    std::thread::sleep(Duration::from_secs(4));
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (to, record, stop) = (hosts[ENTRY].outbound, record.clone(), stop.clone());
            std::thread::spawn(move || run_client(to, &record, &stop))
        })
        .collect();
    for _ in 0..FREEZES {
        std::thread::sleep(CALM);
        if setting.trouble {
            hosts[FROZEN].freeze();
            record.say(&format!("{} stands still", hosts[FROZEN].node));
        }
        std::thread::sleep(FROZEN_FOR);
        if setting.trouble {
            hosts[FROZEN].wake();
            record.say(&format!("{} runs on", hosts[FROZEN].node));
        }
    }
    std::thread::sleep(CALM);
    stop.store(true, Ordering::SeqCst);
    let ended: Vec<Ended> =
        clients.into_iter().flat_map(|client| client.join().unwrap_or_default()).collect();
    if let Some(how) = hosts.iter().find_map(Host::ended) {
        return Err(format!("a daemon ended: {how}"));
    }
    let timeout = Duration::from_millis(u64::from(TIMEOUT_MS));
    let longer = ended.iter().filter(|(took, _)| *took > timeout).count();
    let late = ended.iter().filter(|(took, _)| *took > timeout + SLACK).count();
    let left = ended.iter().filter(|(_, outcome)| *outcome == Outcome::LeftAtDeadline).count();
    record.say(&format!("{} requests were sent", ended.len()));
    record.say(&format!("{longer} lasted longer than TimeoutMs"));
    record.say(&format!("{late} of these had no final answer 0.5 s after it"));
    record.say(&format!("{left} of these had none when their client's deadline came"));
    Ok(late < TOO_MANY || late * 4 <= longer)
}

fn run_client(to: SocketAddr, record: &Record, stop: &AtomicBool) -> Vec<Ended> {
    let mut client = Client::new(to);
    let mut all = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let id = new_id();
        let path = format!("{}{id}", DOWNLOAD.prefix);
        record.line(&format!("send {id} GET {path}"));
        let began = Instant::now();
        let outcome = match client.send(&request("GET", &path, &id, DEADLINE)) {
            Ok(()) => client.read(DEADLINE),
            Err(_) => Outcome::NoAnswer,
        };
        let took = began.elapsed();
        record.line(&format!("answer {id} after {} ms: {outcome:?}", took.as_millis()));
        if !outcome.is_success() {
            client.close();
        }
        all.push((took, outcome));
        std::thread::sleep(PAUSE);
    }
    all
}
