//! An instance leaves, its daemon acknowledges that, and the daemon is started again.

use crate::client::{Client, Outcome, new_id, request};
use crate::fleet::{self, Host};
use crate::instance::{Instance, Work};
use crate::record::Record;
use crate::store::Store;
use crate::{Setting, config};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Zone and service of each machine. The clients are on the first one.
const PLACES: [(&str, &str); 3] =
    [("oviedo", "zonas"), ("santander", "avisos"), ("oviedo", "avisos")];
/// `DrainMs` and `StableWindowMs` of the deployment.
const DRAIN: Duration = Duration::from_millis(2000);
const STABLE_WINDOW: Duration = Duration::from_millis(3000);
/// How late the last heartbeat of the instance arrives.
const LATE_BY: Duration = Duration::from_millis(4000);
/// From the acknowledgement to the kill of the daemon, and from there to its start.
const KILL_AFTER: Duration = Duration::from_millis(300);
const DOWN: Duration = Duration::from_millis(1000);
/// How long the instance serves after it has left.
const SERVES_ON: Duration = Duration::from_secs(12);
const DEADLINE: Duration = Duration::from_millis(2000);
const CLIENTS: usize = 12;

const LOOKUP: Work = Work {
    prefix: "/lohu930/",
    takes: Duration::from_millis(120),
    bytes: 1500,
    sending: Duration::ZERO,
    break_each: 0,
    break_after: 0,
};
const ISSUE: Work = Work { prefix: "/pufi791/", takes: Duration::from_millis(160), ..LOOKUP };

pub fn run(setting: &Setting, record: &Arc<Record>) -> Result<bool, String> {
    let hosts = fleet::draw(&PLACES, &setting.folder);
    let store = Store::start(hosts[0].ip);
    let routes = [
        ("/lohu930/", "idempotent", "avisos", 1500),
        ("/pufi791/", "non_idempotent", "avisos", 2000),
        ("/pule252/", "idempotent", "zonas", 1500),
    ];
    store.put("op/config", config(1, &routes).as_bytes());
    let work = |_| vec![LOOKUP, ISSUE];
    let instances = Instance::start_all(&PLACES, &hosts, work, record, store.addr);
    hosts.iter().try_for_each(Host::wait_ready)?;
    record.say("all daemons are ready");
    std::thread::sleep(Duration::from_secs(3));

    let stop = Arc::new(AtomicBool::new(false));
    let clients = start_clients(&hosts[0], record, &stop);
    std::thread::sleep(Duration::from_secs(3));

    let (host, leaving) = (&hosts[2], &instances[2]);
    leaving.stop_beating();
    let late = leaving.next_heartbeat();
    let late_at = Instant::now() + LATE_BY;
    std::thread::sleep(Duration::from_millis(200));
    let status = leaving.leave();
    let left = Instant::now();
    record.say(&format!("{} leaves; its daemon answers {status:?}", leaving.id));
    if status != Some(200) {
        return Err("the leaving was not acknowledged".to_string());
    }
    let mut back = left;
    if setting.trouble {
        std::thread::sleep(KILL_AFTER);
        host.kill();
        record.say(&format!("{} is killed", host.node));
        std::thread::sleep(DOWN);
        host.restart();
        back = Instant::now();
        host.wait_ready()?;
        record.say(&format!("{} is back", host.node));
    }
    std::thread::sleep(late_at.saturating_duration_since(Instant::now()));
    let status = leaving.send_heartbeat(&late);
    record.say(&format!("a heartbeat of {} from before arrives; answered {status:?}", leaving.id));
    std::thread::sleep((left + SERVES_ON).saturating_duration_since(Instant::now()));
    leaving.end();
    let ended = Instant::now();
    record.say(&format!("{} ends", leaving.id));
    std::thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    let outcomes: Vec<(String, Outcome)> =
        clients.into_iter().flat_map(|client| client.join().unwrap_or_default()).collect();

    let from = (left + DRAIN).max(back + STABLE_WINDOW);
    let runs = leaving.runs();
    let late_runs: Vec<_> = runs.iter().filter(|run| run.at >= from).collect();
    let before = runs.iter().filter(|run| run.at < left).count();
    let after = runs.iter().filter(|run| run.at >= left + DRAIN).count();
    record.say(&format!("{} requests were answered or ended", outcomes.len()));
    let bad = outcomes.iter().filter(|(_, outcome)| !outcome.is_success()).count();
    record.say(&format!("{bad} of them had no success"));
    record.say(&format!("{} ran {before} requests before it left", leaving.id));
    record.say(&format!("it ran {after} more than 2 s after the acknowledgement"));
    record.say(&format!(
        "{} of these when every machine on the way had been calm for 3 s, the last {:.1} s after \
         the acknowledgement, {} within 0.2 s of its end",
        late_runs.len(),
        late_runs.last().map_or(0.0, |run| run.at.duration_since(left).as_secs_f64()),
        late_runs.iter().filter(|run| run.at + Duration::from_millis(200) > ended).count()
    ));
    Ok(late_runs.is_empty())
}

type Outcomes = Vec<(String, Outcome)>;

fn start_clients(
    host: &Host,
    record: &Arc<Record>,
    stop: &Arc<AtomicBool>,
) -> Vec<std::thread::JoinHandle<Outcomes>> {
    let clients = (0..CLIENTS).map(|i| {
        let (method, prefix) =
            if i % 3 == 0 { ("POST", ISSUE.prefix) } else { ("GET", LOOKUP.prefix) };
        let (to, node) = (host.outbound, host.node.clone());
        let (record, stop) = (record.clone(), stop.clone());
        std::thread::spawn(move || {
            let mut client = Client::new(to);
            let mut outcomes = Vec::new();
            while !stop.load(Ordering::SeqCst) {
                let id = new_id();
                let path = format!("{prefix}{id}");
                record.line(&format!("send {id} {method} {path} to {node}"));
                let sent = client.send(&request(method, &path, &id, DEADLINE));
                let outcome = match sent {
                    Ok(()) => client.read(DEADLINE),
                    Err(_) => Outcome::NoAnswer,
                };
                record.line(&format!("answer {id}: {outcome:?}"));
                if !outcome.is_success() {
                    client.close();
                }
                outcomes.push((id, outcome));
                std::thread::sleep(Duration::from_millis(100));
            }
            outcomes
        })
    });
    clients.collect()
}
