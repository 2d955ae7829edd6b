//! DRAIN: an instance that left gets no requests, although all daemons are killed after the
//! acknowledgement and two of its heartbeats arrive seconds late.

use crate::fleet::{Fleet, SERVICE, config, pause};
use crate::has_trouble;
use cicadashift_http::hyper::Method;
use std::fs::File;
use std::io::Write;
use std::time::{Duration, Instant};

const DRAIN: Duration = Duration::from_millis(2000);
const STABLE_WINDOW: Duration = Duration::from_millis(3000);

pub async fn late_heartbeats() -> i32 {
    let machines = [(0, SERVICE), (0, SERVICE), (1, SERVICE), (1, SERVICE)];
    let mut fleet =
        Fleet::start(&machines, &config(1, &[("/notices/", "idempotent", SERVICE)], None));
    if !fleet.wait_until_serving().await {
        return 2;
    }
    pause(4000).await;
    let mut events: Vec<(Duration, String)> = Vec::new();
    let mut tasks = Vec::new();
    let instance = fleet.machines[0].instance.clone();
    // The instance stops its own heartbeats; the last two of them are on their way.
    instance.set_heartbeats(false);
    pause(300).await;
    let sequence = 100_000;
    instance.deny_health(true);
    let acknowledged = instance.leave().await;
    let left = (Instant::now(), fleet.now());
    events.push((left.1, format!("instance i-0 sends DELETE, acknowledged: {acknowledged}")));
    if !acknowledged {
        return 2;
    }
    let mut in_touch_from = left.1;
    let began = Instant::now();
    let mut n = 0;
    let (mut killed, mut started, mut late) = (false, false, 0);
    while began.elapsed() < Duration::from_secs(12) {
        let t = began.elapsed();
        if has_trouble() && !killed && t >= Duration::from_millis(100) {
            (0..4).for_each(|i| fleet.kill(i));
            events.push((fleet.now(), "all daemons are killed".to_string()));
            killed = true;
        }
        if has_trouble() && !started && t >= Duration::from_millis(600) {
            (0..4).for_each(|i| fleet.spawn(i));
            events.push((fleet.now(), "all daemons start again".to_string()));
            in_touch_from = fleet.now() + STABLE_WINDOW;
            started = true;
        }
        let due = [1800, 2800];
        if late < 2 && t >= Duration::from_millis(due[late]) {
            let got = instance.send_heartbeat_as("i-0", sequence + late as u64, false).await;
            events.push((
                fleet.now(),
                format!(
                    "heartbeat {} of i-0 arrives, sent before the DELETE; acknowledged: {got}",
                    sequence + late as u64
                ),
            ));
            late += 1;
        }
        let i = n % 4;
        tasks.push(fleet.send(i, Method::GET, &format!("/notices/{n}"), format!("r-{n}"), &[]));
        n += 1;
        pause(10).await;
    }
    let mut sent = Vec::new();
    for task in tasks {
        sent.push(task.await);
    }
    let arrivals = instance.arrivals();
    let mut broken = 0;
    for arrival in &arrivals {
        let Some(one) = sent.iter().find(|one| one.id == arrival.id) else { continue };
        let after = arrival.at.saturating_duration_since(left.0);
        let is_broken = after > DRAIN && one.at > in_touch_from;
        broken += usize::from(is_broken);
        events.push((
            one.at,
            format!(
                "request {} reaches i-0 {} ms after the acknowledgement{}",
                one.id,
                after.as_millis(),
                if is_broken { ", sent at a machine in touch: BROKEN" } else { "" }
            ),
        ));
    }
    for one in &sent {
        events.push((
            one.at,
            format!("request {} at machine {}: {:?}", one.id, one.machine, one.status),
        ));
    }
    events.sort();
    let mut out = File::create("record.txt").expect("record.txt can be written");
    for (at, line) in &events {
        let _written = writeln!(out, "{:8.3} s  {line}", at.as_secs_f64());
    }
    let served = sent.iter().filter(|one| one.status == Some(200)).count();
    let summary = format!(
        "{broken} requests of machines in touch reached i-0 later than 2 s after it was told that it may leave; \
         {served} of {} served\n",
        sent.len()
    );
    let _written = out.write_all(summary.as_bytes());
    print!("{summary}");
    if served < sent.len() / 2 {
        return 2;
    }
    i32::from(broken > 0)
}
