//! EXPOSURE: a version that was rolled back gets no requests, although all daemons are killed at
//! the same moment after the roll-back.

use crate::fleet::{Fleet, SERVICE, Sent, ZONES, config, pause};
use crate::has_trouble;
use cicadashift_http::hyper::Method;
use cicadashift_testkit::hosted::instance::AnswerMode;
use serde_json::json;
use std::fs::File;
use std::io::Write;
use std::time::{Duration, Instant};

/// `RollbackMs`, `StableWindowMs` and the bad answers after which a roll-back is due.
const ROLLBACK: Duration = Duration::from_millis(5000);
const STABLE_WINDOW: Duration = Duration::from_millis(3000);
const BAD_ANSWERS: usize = 50;
const DURATION: Duration = Duration::from_secs(16);
const PER_S: f64 = 200.0;
/// Time after the roll-back at which the instances of the new version drain.
const DRAIN_AFTER: Duration = Duration::from_secs(12);

pub async fn rolled_back() -> i32 {
    let machines = [(0, SERVICE), (0, SERVICE), (1, SERVICE), (1, SERVICE)];
    let mut fleet =
        Fleet::start(&machines, &config(1, &[("/notices/", "idempotent", SERVICE)], None));
    if !fleet.wait_until_serving().await {
        return 2;
    }
    pause(3500).await;
    let mut events: Vec<(Duration, String)> = Vec::new();
    let mut tasks: Vec<smol::Task<Sent>> = Vec::new();
    let order = json!({"Service": SERVICE, "TargetVersion": "v2", "DurationS": DURATION.as_secs()});
    fleet.store.put(&format!("op/rollout/{SERVICE}"), order.to_string().as_bytes());
    let (ordered, ordered_at) = (Instant::now(), fleet.now());
    events.push((ordered_at, "a roll-out to v2, which is bad, is ordered".to_string()));
    let (mut new, mut new_since) = (Vec::new(), Vec::new());
    let (mut n, mut next) = (0, Instant::now());
    let (mut rolled_back, mut killed, mut started, mut drained): (Option<Instant>, _, _, _) =
        (None, false, false, false);
    let mut in_touch_from = Duration::ZERO;
    // Since when v2 answers with failures, or answers well.
    let mut modes: Vec<(Duration, bool)> = Vec::new();
    let status_key = format!("status/rollout/{SERVICE}");
    while ordered.elapsed() < Duration::from_secs(24) {
        smol::Timer::at(next).await;
        next += Duration::from_secs_f64(1.0 / PER_S);
        // The instances of the new version are started with their machines.
        if new.len() < 4 && ordered.elapsed() > Duration::from_millis(300 + 400 * new.len() as u64)
        {
            let zone = new.len() % 2;
            let i = fleet.add(zone, SERVICE, false, Some("v2"));
            events.push((
                fleet.now(),
                format!("machine {i} with an instance of v2 starts in zone {}", ZONES[zone]),
            ));
            new.push(i);
            new_since.push(Instant::now());
        }
        // From four seconds after the order on, three of ten answers of v2 are failures.
        let is_failing = ordered.elapsed() > Duration::from_secs(4) && n % 20 < 6;
        for i in &new {
            let mode = if is_failing { AnswerMode::Failing } else { AnswerMode::Normal };
            fleet.machines[*i].instance.set_answer_mode(mode);
        }
        if modes.last().is_none_or(|(_, last)| *last != is_failing) {
            modes.push((fleet.now(), is_failing));
        }
        if rolled_back.is_none() {
            let status = fleet.store.value(&status_key).unwrap_or_default();
            if String::from_utf8_lossy(&status).contains("rolled_back") {
                rolled_back = Some(Instant::now());
                events.push((fleet.now(), "the system writes: rolled_back".to_string()));
            }
        }
        let since = rolled_back.map_or(Duration::ZERO, |at| at.elapsed());
        if has_trouble() && !killed && since > Duration::from_millis(500) {
            (0..8).for_each(|i| fleet.kill(i));
            killed = true;
            events.push((fleet.now(), "all daemons are killed".to_string()));
        }
        if killed && !started && since > Duration::from_millis(1000) {
            (0..8).for_each(|i| fleet.spawn(i));
            started = true;
            in_touch_from = fleet.now() + STABLE_WINDOW;
            events.push((fleet.now(), "all daemons start again".to_string()));
        }
        if !drained && since > DRAIN_AFTER {
            drained = true;
            for i in new.clone() {
                let acknowledged = fleet.machines[i].instance.drain().await;
                events.push((
                    fleet.now(),
                    format!("instance i-{i} of v2 drains, acknowledged: {acknowledged}"),
                ));
            }
        }
        // Clients are on the new machines, too, from a second after their start on.
        let serving = 4 + new_since
            .iter()
            .filter(|at: &&Instant| at.elapsed() > Duration::from_secs(1))
            .count();
        let i = n % serving;
        tasks.push(fleet.send(i, Method::GET, &format!("/notices/{n}"), format!("r-{n}"), &[]));
        n += 1;
    }
    let mut sent = Vec::new();
    for task in tasks {
        sent.push(task.await);
    }
    // Of what reached v2: when, and by which request.
    let mut reached: Vec<(Duration, usize, String)> = Vec::new();
    for i in &new {
        for arrival in fleet.machines[*i].instance.arrivals() {
            reached.push((arrival.at.saturating_duration_since(fleet.began), *i, arrival.id));
        }
    }
    reached.sort();
    // An answer of v2 is bad if it was made while it failed.
    let bad: Vec<Duration> =
        reached.iter().map(|(at, ..)| *at).filter(|at| was_failing(&modes, *at)).collect();
    let fiftieth = bad.get(BAD_ANSWERS - 1).copied();
    let mut broken = 0;
    for (at, i, id) in &reached {
        let Some(one) = sent.iter().find(|one| one.id == *id) else { continue };
        let is_broken =
            fiftieth.is_some_and(|fiftieth| one.at > fiftieth + ROLLBACK) && one.at > in_touch_from;
        broken += usize::from(is_broken);
        events.push((
            *at,
            format!(
                "request {id} reaches instance i-{i} of v2{}",
                if is_broken { ": BROKEN" } else { "" }
            ),
        ));
    }
    for one in &sent {
        events.push((
            one.at,
            format!("request {} at machine {}: {:?}", one.id, one.machine, one.status),
        ));
    }
    if let Some(at) = fiftieth {
        events.push((at, "the 50th bad answer of v2".to_string()));
    }
    events.sort();
    let mut out = File::create("record.txt").expect("record.txt can be written");
    for (at, line) in &events {
        let _written = writeln!(out, "{:8.3} s  {line}", at.as_secs_f64());
    }
    let end = ordered_at + DURATION;
    let in_time = |at: Duration| at >= ordered_at && at <= end;
    let to_new = reached.iter().filter(|(at, _, _)| in_time(*at)).count();
    let all = sent.iter().filter(|one| in_time(one.at)).count();
    let summary = format!(
        "v2 got {broken} requests of machines in touch, sent later than 5 s after its 50th bad answer (at {:?}); \
         {to_new} of {all} requests reached it until the order's end; rolled back: {}; {} of {} served\n",
        fiftieth,
        rolled_back.is_some(),
        sent.iter().filter(|one| one.status == Some(200)).count(),
        sent.len()
    );
    let _written = out.write_all(summary.as_bytes());
    print!("{summary}");
    if rolled_back.is_none() {
        return 2;
    }
    i32::from(broken > 0)
}

/// Returns whether v2 answered with failures at a time.
fn was_failing(modes: &[(Duration, bool)], at: Duration) -> bool {
    modes.iter().take_while(|(since, _)| *since <= at).last().is_some_and(|(_, failing)| *failing)
}
