//! The quota of an organisation that calls at several times its rate: on and off, while failure
//! domains are cut off from each other and from the store for random times; and all the time,
//! while datagrams between them are lost in one direction or the other.

use crate::common::served::{by_quarter_second, least_in_window, most_in_window};
use crate::{Random, daemons};
use cicadashift_http::exec;
use cicadashift_http::hyper::Method;
use cicadashift_testkit::hosted::fleet::{Domain, HostedCaller, HostedFleet, config};
use cicadashift_testkit::hosted::store::CONFIG_KEY;
use serde_json::json;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const RATE_PER_S: u64 = 60;
const BURST: u64 = 30;
/// Demand relative to the rate.
const OVER: u64 = 4;
/// Any span of this length must keep the quota, with the tolerance that the users allow.
const WINDOW: Duration = Duration::from_secs(5);
const ALLOWED: u64 = (RATE_PER_S * WINDOW.as_secs() + BURST) * 11 / 10 + 20;
/// Time before the first cut in which the configuration comes into force.
const START_TIME: Duration = Duration::from_secs(3);
/// Shortest and longest time of a cut, in milliseconds.
const CUT_MS: (u64, u64) = (1500, 6000);
/// Longest time between the cut and the moment at which calls begin, either way, in milliseconds.
const MAX_OFFSET_MS: u64 = 2000;

/// Fewest calls of any such span: half of the rate.
const OWED: u64 = RATE_PER_S * WINDOW.as_secs() / 2;
/// Shortest and longest time of a loss of datagrams, and of the time between two, in milliseconds.
const LOSS_MS: (u64, u64) = (1500, 9000);
const PAUSE_MS: (u64, u64) = (500, 5000);

/// Fewest daemons of such a run: two in a failure domain and more in the other one.
const MIN_ONE_WAY_DAEMONS: usize = 8;

/// When calls were served.
type Served = Arc<Mutex<Vec<Instant>>>;

/// Cuts failure domains off in `time` while an organisation calls on and off, and checks that
/// its quota is kept.
pub async fn soak(seed: u64, time: Duration) {
    let callers = Callers::start(daemons()).await;
    let mut random = Random(seed);
    let mut fault_log = Vec::new();
    let until = Instant::now() + time;
    while Instant::now() < until {
        fault_log.push(cut(&callers.fleet, &callers.is_calling, &mut random).await);
    }
    let served = callers.stop().await;
    let most = most_in_window(&served, WINDOW);
    eprintln!("seed {seed}: {} calls served, {most} of {ALLOWED} in a window", served.len());
    let served_by_time = by_quarter_second(&served);
    assert!(
        most as u64 <= ALLOWED,
        "seed {seed}: {most} of {ALLOWED}: {fault_log:?}, served in quarter seconds {served_by_time:?}"
    );
    assert!(!served.is_empty(), "seed {seed}: {fault_log:?}");
}

/// Loses datagrams to one failure domain or the other in `time` while an organisation calls all
/// the time, and checks that it gets its quota, and not more.
pub async fn soak_one_way(seed: u64, time: Duration) {
    let callers = Callers::start(daemons().max(MIN_ONE_WAY_DAEMONS)).await;
    callers.is_calling.store(true, Ordering::Relaxed);
    let mut random = Random(seed);
    let mut fault_log = Vec::new();
    let until = Instant::now() + time;
    while Instant::now() < until {
        let domain = if random.below(2) == 0 { Domain::A } else { Domain::B };
        let loss = LOSS_MS.0 + random.below(LOSS_MS.1 - LOSS_MS.0);
        callers.fleet.lose_datagrams_to(domain, true);
        smol::Timer::after(Duration::from_millis(loss)).await;
        callers.fleet.lose_datagrams_to(domain, false);
        let pause = PAUSE_MS.0 + random.below(PAUSE_MS.1 - PAUSE_MS.0);
        smol::Timer::after(Duration::from_millis(pause)).await;
        fault_log.push(format!("datagrams to {domain:?} lost for {loss} ms, pause of {pause} ms"));
    }
    let served = callers.stop().await;
    let (least, most) = (least_in_window(&served, WINDOW), most_in_window(&served, WINDOW));
    eprintln!("seed {seed}: {least} to {most} of {ALLOWED} in a window, {OWED} are owed");
    let served_by_time = by_quarter_second(&served);
    assert!(
        most as u64 <= ALLOWED && least as u64 >= OWED,
        "seed {seed}: {least} to {most}: {fault_log:?}, served in quarter seconds {served_by_time:?}"
    );
}

/// A fleet, and callers of each of its daemons.
struct Callers {
    fleet: HostedFleet,
    is_calling: Arc<AtomicBool>,
    must_stop: Arc<AtomicBool>,
    served: Served,
    tasks: Vec<smol::Task<()>>,
}

impl Callers {
    async fn start(count: usize) -> Callers {
        let program = Path::new(env!("CARGO_BIN_EXE_cicadashift"));
        let fleet = HostedFleet::serving_over_domain_links(program, count).await;
        put_quota(&fleet);
        smol::Timer::after(START_TIME).await;
        let (served, is_calling) = (Served::default(), Arc::new(AtomicBool::new(false)));
        let must_stop = Arc::new(AtomicBool::new(false));
        let interval = Duration::from_secs(count as u64).div_f64((RATE_PER_S * OVER) as f64);
        let tasks = (0..count)
            .map(|i| {
                let caller = fleet.caller(i);
                let first = Instant::now() + interval.mul_f64(i as f64 / count as f64);
                exec::spawn(call(
                    (caller, i),
                    (first, interval),
                    served.clone(),
                    is_calling.clone(),
                    must_stop.clone(),
                ))
            })
            .collect();
        Callers { fleet, is_calling, must_stop, served, tasks }
    }

    /// Ends the calls; returns when those that were served were sent.
    async fn stop(self) -> Vec<Instant> {
        self.must_stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await;
        }
        std::mem::take(&mut *self.served.lock().expect("no caller panics"))
    }
}

fn put_quota(fleet: &HostedFleet) {
    let mut cfg = config(2, &["/notices/"]);
    cfg["Tenants"] = json!([
        {"Name": "town", "ApiKeys": ["key"], "RatePerS": RATE_PER_S, "Burst": BURST},
    ]);
    fleet.store.put(CONFIG_KEY, cfg.to_string().as_bytes());
}

/// Cuts the domains off from each other once, with calls that begin before or after that.
async fn cut(fleet: &HostedFleet, is_calling: &AtomicBool, random: &mut Random) -> String {
    let pause = async |ms: u64| smol::Timer::after(Duration::from_millis(ms)).await;
    let offset = random.below(2 * MAX_OFFSET_MS);
    let length = CUT_MS.0 + random.below(CUT_MS.1 - CUT_MS.0);
    if offset < MAX_OFFSET_MS {
        is_calling.store(true, Ordering::Relaxed);
        pause(MAX_OFFSET_MS - offset).await;
        fleet.cut_domains(true);
    } else {
        fleet.cut_domains(true);
        pause(offset - MAX_OFFSET_MS).await;
        is_calling.store(true, Ordering::Relaxed);
    }
    pause(length).await;
    fleet.cut_domains(false);
    pause(random.below(2 * MAX_OFFSET_MS)).await;
    is_calling.store(false, Ordering::Relaxed);
    pause(random.below(MAX_OFFSET_MS)).await;
    format!("cut for {length} ms, calls at {} ms", offset as i64 - MAX_OFFSET_MS as i64)
}

/// Calls one daemon at an interval, from the first call on, while `is_calling`, and notes when calls were served.
async fn call(
    (caller, i): (HostedCaller, usize),
    (mut next, interval): (Instant, Duration),
    served: Served,
    is_calling: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
) {
    let mut n = 0;
    while !stop.load(Ordering::Relaxed) {
        smol::Timer::at(next).await;
        next = (next + interval).max(Instant::now());
        if !is_calling.load(Ordering::Relaxed) {
            continue;
        }
        n += 1;
        let sent = Instant::now();
        let headers = [("authorization", "Bearer key")];
        let id = format!("quota-{i}-{n}");
        let answer = caller.call_with(Method::GET, "/notices/1", &id, &headers).await;
        if answer.is_some_and(|res| res.status().is_success()) {
            served.lock().expect("no caller panics").push(sent);
        }
    }
}
