//! A randomized soak: real daemons, faults from outside, and promises checked
//! from what callers and instances see.
//!
//! A seed decides what goes wrong and when. `SOAK_SEEDS=1..50 SOAK_SECONDS=8`
//! runs more than the short series of CI; each seed that ever failed stands in
//! [`REGRESSIONS`] with its cause.

mod common;

use cicadashift_http::exec;
use cicadashift_http::hyper::Method;
use cicadashift_testkit::hosted::fleet::HostedFleet;
use cicadashift_testkit::hosted::instance::AnswerMode;
use cicadashift_testkit::hosted::store::{Outage, StoreCopy};
use common::run;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Daemons of one run.
const DAEMONS: usize = 4;
/// Callers of one run; half of them send what may not be repeated.
const CALLERS: usize = 8;
/// Seeds that CI runs, and for how long each.
const CI_SEEDS: std::ops::Range<u64> = 1..4;
const CI_SECONDS: u64 = 8;
/// Seeds that failed once, with the cause.
const REGRESSIONS: [(u64, &str); 0] = [];
/// First start that an instance tells, in Unix milliseconds.
const FIRST_START_MS: u64 = 1_771_000_000_000;
/// How long the store is away before it comes back from a copy.
const AWAY: Duration = Duration::from_millis(300);
/// Time in which everything is well again after the last fault.
const RECOVERY: Duration = Duration::from_secs(15);
/// What is asked for, at each daemon in turn, and ends the instance that runs it.
const GUILTY_PATH: &str = "/notices/guilty";
/// Pause between two such requests.
const GUILTY_EVERY: Duration = Duration::from_millis(120);
/// Instances that it may end before it must be known, and most runs of it after that.
const GUILTY_FREE: usize = 3;
/// Limits that instances name.
const LIMITS: [&str; 4] = ["0.25", "1", "4.2", "20"];
/// Span in which the requests to an instance that names a limit are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Time after which a limit must be kept, and after which a daemon that passed on an
/// answer with it is bound by it.
const LIMIT_KEPT_AFTER: Duration = Duration::from_secs(3);
const LIMIT_TOLD_AFTER: Duration = Duration::from_millis(500);
/// Time after which every daemon that nothing was done to must know it.
const IN_TOUCH: Duration = Duration::from_secs(3);

/// A small generator, so that one seed gives one series of faults.
struct Random(u64);

impl Random {
    fn below(&mut self, n: u64) -> u64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % n
    }
}

/// A limit that an instance named, and until when.
struct Named {
    i: usize,
    per_s: f64,
    from: Instant,
    until: Option<Instant>,
}

/// Limits that instances named in a run.
#[derive(Default)]
struct Limits {
    spans: Vec<Named>,
}

impl Limits {
    fn name(&mut self, fleet: &HostedFleet, i: usize, text: Option<&str>) {
        fleet.daemons[i].instance.name_limit(text);
        let now = Instant::now();
        let open = self.spans.iter_mut().filter(|span| span.i == i && span.until.is_none());
        open.for_each(|span| span.until = Some(now));
        let per_s = text.and_then(|text| text.parse().ok());
        self.spans.extend(per_s.map(|per_s| Named { i, per_s, from: now, until: None }));
    }
}

/// Whoever changes the configuration and keeps the store.
struct Operator {
    version: u64,
    copy: Option<StoreCopy>,
}

impl Operator {
    fn write(&self, fleet: &HostedFleet) {
        fleet.put_config(self.version, &["/notices/", "/lift/"]);
    }

    /// Lets the store go away and come back from its last copy, if there is one.
    async fn go_back(&mut self, fleet: &HostedFleet) -> String {
        let Some(copy) = self.copy.take() else { return "no copy to go back to".to_string() };
        fleet.store.change_faults(|faults| faults.down = Some(Outage::Busy));
        smol::Timer::after(AWAY).await;
        fleet.store.restore(copy);
        fleet.store.change_faults(|faults| faults.down = None);
        "store came back from a copy".to_string()
    }
}

/// When something was done to each daemon, and until when it lasted.
#[derive(Default)]
struct Disturbed {
    spans: Vec<(usize, Instant, Option<Instant>)>,
    stopped: BTreeSet<usize>,
}

impl Disturbed {
    /// Takes in that something begins which lasts.
    fn begin(&mut self, i: usize) {
        self.spans.push((i, Instant::now(), None));
    }

    /// Takes in that something was done in this moment.
    fn once(&mut self, i: usize) {
        self.spans.push((i, Instant::now(), Some(Instant::now())));
    }

    /// Takes in that a daemon is told to stop: it is started again when all is mended.
    fn end(&mut self, i: usize) {
        self.stopped.insert(i);
        self.begin(i);
    }

    /// Takes in that a frozen daemon goes on.
    fn wake(&mut self, i: usize) {
        for (daemon, _, until) in &mut self.spans {
            if *daemon == i && until.is_none() && !self.stopped.contains(&i) {
                *until = Some(Instant::now());
            }
        }
    }

    /// Returns whether nothing was done to a daemon for a while before a moment.
    fn in_touch(&self, i: usize, at: Instant) -> bool {
        self.spans
            .iter()
            .filter(|(daemon, _, _)| *daemon == i)
            .all(|(_, from, until)| at < *from || until.is_some_and(|until| at > until + IN_TOUCH))
    }
}

/// What callers were told, by request id.
type Told = Arc<Mutex<BTreeMap<String, Outcome>>>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Answered,
    NotRun,
    Open,
    Foreign,
}

#[test]
fn the_promises_hold_whatever_goes_wrong() {
    // Callers send lookups and notices all the while; daemons are killed, frozen,
    // stopped and reloaded, instances drain, fall silent and answer for others,
    // the store is away and comes back from a copy. No notice runs twice, none runs that was refused, no
    // answer is another's, and after the last fault all is served again. One caller asks
    // all the while for what ends instances; daemons that nothing is done to stop sending
    // it on.
    let seeds = std::env::var("SOAK_SEEDS").ok().and_then(|text| parse(&text));
    let seconds = std::env::var("SOAK_SECONDS").ok().and_then(|text| text.parse().ok());
    let regressions = REGRESSIONS.iter().map(|(seed, _)| *seed);
    let seeds: Vec<u64> = seeds.unwrap_or(CI_SEEDS).chain(regressions).collect();
    for seed in seeds {
        run(soak(seed, Duration::from_secs(seconds.unwrap_or(CI_SECONDS))));
    }
}

fn parse(text: &str) -> Option<std::ops::Range<u64>> {
    let (first, end) = text.split_once("..")?;
    Some(first.parse().ok()?..end.parse().ok()?)
}

async fn soak(seed: u64, time: Duration) {
    let program = Path::new(env!("CARGO_BIN_EXE_cicadashift"));
    let mut fleet = HostedFleet::serving(program, DAEMONS).await;
    fleet.put_config(2, &["/notices/", "/lift/"]);
    for i in 0..DAEMONS {
        let known = async |fleet: &HostedFleet| fleet.status(i, "/lift/0", "k").await == Some(200);
        assert!(fleet.wait(known).await, "seed {seed}: daemon {i} serves the first version");
    }
    let told = Told::default();
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| exec::spawn(call(seed, n, fleet.caller(n % DAEMONS), told.clone(), stop.clone())))
        .collect();
    let guilty = exec::spawn(call_guilty((0..DAEMONS).map(|i| fleet.caller(i)).collect()));
    let mut random = Random(seed);
    let mut story = Vec::new();
    let mut operator = Operator { version: 2, copy: None };
    let mut disturbed = Disturbed::default();
    let mut limits = Limits::default();
    let until = Instant::now() + time;
    while Instant::now() < until {
        story
            .push(fault(&mut fleet, &mut random, &mut operator, &mut disturbed, &mut limits).await);
        smol::Timer::after(Duration::from_millis(100 + random.below(500))).await;
    }
    guilty.cancel().await;
    check_guilty(seed, &fleet, &disturbed, &story);
    check_limits(seed, &fleet, &limits, &disturbed, &story);
    mend(&mut fleet).await;
    let mended = Instant::now();
    for i in 0..DAEMONS {
        let mut n = 0;
        let served = async |fleet: &HostedFleet| {
            fleet.status(i, "/notices/1", &format!("end-{seed}-{i}")).await == Some(200)
        };
        while !served(&fleet).await && mended.elapsed() < RECOVERY {
            n += 1;
            smol::Timer::after(Duration::from_millis(50)).await;
        }
        let log = fleet.log(i);
        let tail: Vec<&str> = log.lines().rev().take(8).collect();
        let late = mended.elapsed() < RECOVERY;
        assert!(late, "seed {seed}: daemon {i} is not well after {n} tries: {story:?} {tail:#?}");
    }
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await;
    }
    check(seed, &fleet, &told, &story);
}

/// Sends requests one after the other until told to stop.
async fn call(
    seed: u64,
    n: usize,
    caller: cicadashift_testkit::hosted::fleet::HostedCaller,
    told: Told,
    stop: Arc<AtomicBool>,
) {
    let (method, path) = match n % 2 {
        0 => (Method::GET, "/notices/1"),
        _ => (Method::POST, "/lift/1"),
    };
    let mut i = 0;
    while !stop.load(Ordering::Relaxed) {
        i += 1;
        let id = format!("{path}-{seed}-{n}-{i}");
        let outcome = match caller.call(method.clone(), path, &id).await {
            None => Outcome::Open,
            Some(res) => match res.status().as_u16() {
                200 if res.body().contains(&format!(" {id} ")) => Outcome::Answered,
                200 => Outcome::Foreign,
                429 | 503 => Outcome::NotRun,
                _ => Outcome::Open,
            },
        };
        told.lock().expect("no caller panics").insert(id, outcome);
        smol::Timer::after(Duration::from_millis(5)).await;
    }
}

/// Asks for what ends instances at each daemon in turn, for ever.
async fn call_guilty(callers: Vec<cicadashift_testkit::hosted::fleet::HostedCaller>) {
    let mut n = 0;
    loop {
        let i = n % callers.len();
        let id = format!("{i} guilty {n}");
        // A daemon that is frozen or gone must not hold the others up.
        let call = callers[i].call(Method::GET, GUILTY_PATH, &id);
        let _whatever = exec::timeout(Duration::from_millis(800), call).await;
        n += 1;
        smol::Timer::after(GUILTY_EVERY).await;
    }
}

/// Checks that daemons to which nothing was done stopped sending on what ends instances.
fn check_guilty(seed: u64, fleet: &HostedFleet, disturbed: &Disturbed, story: &[String]) {
    let mut runs = Vec::new();
    for (exit, node) in fleet.daemons.iter().enumerate() {
        runs.extend(node.instance.fatal_runs().into_iter().map(|run| (exit, run)));
    }
    runs.sort_by_key(|(_, run)| run.at);
    eprintln!("seed {seed}: {} runs of what ends instances", runs.len());
    let Some(third) = runs.get(GUILTY_FREE - 1).map(|(_, run)| run.at) else { return };
    let late: Vec<_> = runs
        .iter()
        .filter(|(_, run)| run.at > third + IN_TOUCH)
        .filter(|(exit, run)| {
            let entry = run.id.split(' ').next().and_then(|i| i.parse().ok()).unwrap_or(*exit);
            disturbed.in_touch(entry, run.at) && disturbed.in_touch(*exit, run.at)
        })
        .collect();
    assert!(late.len() <= GUILTY_FREE, "seed {seed}: {late:#?} after {story:?}");
}

/// Checks that instances got no more than the limits that they named, of what began at
/// daemons to which nothing was done.
fn check_limits(
    seed: u64,
    fleet: &HostedFleet,
    limits: &Limits,
    disturbed: &Disturbed,
    story: &[String],
) {
    let mut checked = 0;
    for span in &limits.spans {
        let until = span.until.unwrap_or_else(Instant::now);
        let arrivals = fleet.daemons[span.i].instance.arrivals();
        let in_span = |at: Instant| at > span.from && at < until;
        let own: Vec<_> = arrivals.iter().filter(|arrival| in_span(arrival.at)).collect();
        let names: BTreeSet<_> = own.iter().map(|arrival| &arrival.instance).collect();
        for name in names {
            let mut own = own.iter().filter(|arrival| arrival.instance == *name).peekable();
            let Some(first) = own.peek().map(|arrival| arrival.at) else { continue };
            let counted: Vec<Instant> = own
                .filter(|arrival| arrival.at > first + LIMIT_TOLD_AFTER)
                .filter(|arrival| disturbed.in_touch(entry_of(&arrival.id), arrival.at))
                .map(|arrival| arrival.at)
                .collect();
            let allowed = 1.5 * span.per_s * LIMIT_WINDOW.as_secs_f64() + 5.0;
            for end in counted.iter().filter(|at| **at >= first + LIMIT_KEPT_AFTER) {
                let in_window = |at: &&Instant| **at <= *end && **at + LIMIT_WINDOW > *end;
                let got = counted.iter().filter(in_window).count();
                checked += 1;
                assert!(
                    got as f64 <= allowed,
                    "seed {seed}: {name} got {got} at {} a second: {story:?}",
                    span.per_s
                );
            }
        }
    }
    eprintln!("seed {seed}: {} limits named, {checked} windows", limits.spans.len());
}

/// Returns the daemon at which a request began, by its id.
fn entry_of(id: &str) -> usize {
    let caller = id.rsplit('-').nth(1).and_then(|n| n.parse::<usize>().ok());
    let guilty = id.split(' ').next().and_then(|n| n.parse().ok());
    caller.or(guilty).map_or(0, |n| n % DAEMONS)
}

/// Makes one thing go wrong, or well again; says what.
async fn fault(
    fleet: &mut HostedFleet,
    random: &mut Random,
    operator: &mut Operator,
    disturbed: &mut Disturbed,
    limits: &mut Limits,
) -> String {
    let i = random.below(DAEMONS as u64) as usize;
    match random.below(20) {
        0 => {
            disturbed.once(i);
            fleet.kill(i);
            fleet.restart(i);
            format!("{i} killed")
        }
        1 => {
            fleet.signal(i, "-STOP");
            disturbed.begin(i);
            format!("{i} frozen")
        }
        2 | 3 => {
            (0..DAEMONS).for_each(|i| {
                fleet.signal(i, "-CONT");
                disturbed.wake(i);
            });
            "all wake".to_string()
        }
        4 => {
            fleet.signal(i, "-CONT");
            fleet.signal(i, "-TERM");
            disturbed.end(i);
            format!("{i} told to stop")
        }
        5 => {
            fleet.signal(i, "-HUP");
            format!("{i} told to reload")
        }
        6 => {
            let down = [Outage::Silent, Outage::Busy, Outage::TooMany][random.below(3) as usize];
            fleet.store.change_faults(|faults| faults.down = Some(down));
            format!("store {down:?}")
        }
        7 => {
            fleet.store.change_faults(|faults| faults.down = None);
            "store back".to_string()
        }
        8 => {
            fleet.store.expire_all_leases();
            fleet.store.drop_history();
            "leases and history gone".to_string()
        }
        9 => {
            let cut = random.below(2) == 0;
            fleet.daemons[i].store_link.cut(cut);
            format!("{i} cut from the store: {cut}")
        }
        10 => {
            let manners = [
                AnswerMode::Silent,
                AnswerMode::WrongId,
                AnswerMode::Failing,
                AnswerMode::Shedding,
            ];
            let manner = manners[random.below(4) as usize];
            fleet.daemons[i].instance.set_answer_mode(manner);
            format!("instance {i} {manner:?}")
        }
        11 => {
            fleet.daemons[i].instance.set_answer_mode(AnswerMode::Normal);
            fleet.daemons[i].instance.set_service_time(Duration::from_millis(random.below(80)));
            format!("instance {i} good")
        }
        12 => {
            fleet.daemons[i].instance.crash();
            format!("instance {i} ends")
        }
        13 => {
            operator.copy = Some(fleet.store.copy());
            "store copied".to_string()
        }
        14 => operator.go_back(fleet).await,
        15 | 16 => {
            let text = LIMITS[random.below(LIMITS.len() as u64) as usize];
            limits.name(fleet, i, Some(text));
            format!("instance {i} takes {text} a second")
        }
        17 => {
            limits.name(fleet, i, None);
            format!("instance {i} takes all again")
        }
        18 => {
            fleet.daemons[i].instance.signal_leaving();
            limits.name(fleet, i, None);
            smol::Timer::after(AWAY).await;
            let born = FIRST_START_MS + operator.version * 1000 + random.below(1000);
            fleet.daemons[i].instance.restart_at(born).await;
            format!("instance {i} leaves and starts again")
        }
        _ => {
            operator.version += 1;
            operator.write(fleet);
            format!("version {}", operator.version)
        }
    }
}

/// Ends every fault.
async fn mend(fleet: &mut HostedFleet) {
    fleet.store.change_faults(|faults| faults.down = None);
    for i in 0..DAEMONS {
        fleet.signal(i, "-CONT");
        fleet.daemons[i].store_link.cut(false);
        fleet.daemons[i].instance.set_answer_mode(AnswerMode::Normal);
        fleet.daemons[i].instance.name_limit(None);
        if fleet.exit_code(i).is_some() {
            fleet.restart(i);
        }
    }
    // Those told to stop a moment ago end within their time and are started again.
    let until = Instant::now() + Duration::from_secs(5);
    while Instant::now() < until {
        for i in 0..DAEMONS {
            if fleet.exit_code(i).is_some() {
                fleet.restart(i);
            }
        }
        smol::Timer::after(Duration::from_millis(100)).await;
    }
}

fn check(seed: u64, fleet: &HostedFleet, told: &Told, story: &[String]) {
    let told = told.lock().expect("no caller panics");
    let mut broken = Vec::new();
    for (id, outcome) in told.iter() {
        let runs = fleet.ledger.count(id);
        let fits = match outcome {
            Outcome::Answered => runs >= 1,
            Outcome::NotRun if id.starts_with("/lift") => runs == 0,
            Outcome::NotRun | Outcome::Open => true,
            Outcome::Foreign => false,
        };
        if !fits || (id.starts_with("/lift") && runs > 1) {
            broken.push(format!("{id}: {outcome:?}, ran {runs} times"));
        }
    }
    let answered = told.values().filter(|outcome| **outcome == Outcome::Answered).count();
    eprintln!("seed {seed}: {answered} of {} answered, {} faults", told.len(), story.len());
    assert!(broken.is_empty(), "seed {seed}: {broken:#?} after {story:?}");
    assert!(answered * 4 > told.len(), "seed {seed}: too few answered after {story:?}");
}
