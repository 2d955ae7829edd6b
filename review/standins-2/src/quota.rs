//! QUOTA: the limit of a tenant, across all daemons combined.

use crate::fleet::{Fleet, SERVICE, Sent, config, pause};
use crate::has_trouble;
use cicadashift_http::hyper::Method;
use serde_json::json;
use std::fs::File;
use std::io::Write;
use std::time::{Duration, Instant};

/// Three machines in each of two zones.
const MACHINES: [(usize, &str); 6] =
    [(0, SERVICE), (0, SERVICE), (0, SERVICE), (1, SERVICE), (1, SERVICE), (1, SERVICE)];
const RATE: u64 = 40;
const BURST: u64 = 10;
/// `QuotaWindowS`, `QuotaOverage` and `QuotaSlack` of the site.
const WINDOW: Duration = Duration::from_secs(5);
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;
const TOWN: &[(&str, &str)] = &[("authorization", "Bearer key-of-town")];
const CLINIC: &[(&str, &str)] = &[("authorization", "Bearer key-of-clinic")];

fn tenants() -> serde_json::Value {
    json!([
        {"Name": "town", "ApiKeys": ["key-of-town"], "RatePerS": RATE, "Burst": BURST},
        {"Name": "clinic", "ApiKeys": ["key-of-clinic"], "RatePerS": 1000, "Burst": 1000},
    ])
}

async fn serving() -> Option<Fleet> {
    let fleet = Fleet::start(
        &MACHINES,
        &config(1, &[("/notices/", "idempotent", SERVICE)], Some(tenants())),
    );
    fleet.wait_until_serving().await.then_some(fleet)
}

/// Sends the town's requests from all machines in turn at a rate, until a time; returns the tasks.
struct Load {
    sent: Vec<smol::Task<Sent>>,
    next: Instant,
    n: usize,
}

impl Load {
    fn new() -> Load {
        Load { sent: Vec::new(), next: Instant::now(), n: 0 }
    }

    async fn run(&mut self, fleet: &Fleet, per_s: f64, time: Duration) {
        let until = Instant::now() + time;
        self.next = Instant::now();
        while self.next < until {
            smol::Timer::at(self.next).await;
            let i = self.n % fleet.machines.len();
            let id = format!("town-{}", self.n);
            self.sent.push(fleet.send(i, Method::GET, &format!("/notices/{}", self.n), id, TOWN));
            // Another tenant, far below its limit, is served all the time.
            if self.n.is_multiple_of(10) {
                let id = format!("clinic-{}", self.n);
                self.sent.push(fleet.send(i, Method::GET, "/notices/c", id, CLINIC));
            }
            self.n += 1;
            self.next += Duration::from_secs_f64(1.0 / per_s);
        }
    }
}

async fn judge(fleet: &Fleet, load: Load, events: Vec<(Duration, String)>) -> i32 {
    let mut sent = Vec::new();
    for task in load.sent {
        sent.push(task.await);
    }
    pause(500).await;
    let mut out = File::create("record.txt").expect("record.txt can be written");
    let mut lines: Vec<(Duration, String)> = events;
    let mut ran: Vec<(Duration, usize)> = Vec::new();
    for one in &sent {
        let runs = fleet.ledger.count(&one.id);
        let status = one.status.map_or("none".to_string(), |status| status.to_string());
        lines.push((
            one.at,
            format!(
                "request {} at machine {} in zone {}: answered {} after {} ms, runs {}",
                one.id,
                one.machine,
                crate::fleet::ZONES[fleet.machines[one.machine].zone],
                status,
                one.took.as_millis(),
                runs
            ),
        ));
        if runs > 0 && one.id.starts_with("town-") {
            ran.push((one.at, fleet.machines[one.machine].zone));
        }
    }
    lines.sort();
    for (at, line) in &lines {
        let _written = writeln!(out, "{:8.3} s  {line}", at.as_secs_f64());
    }
    ran.sort();
    let count =
        |from: Duration| ran.iter().filter(|(at, _)| (from..from + WINDOW).contains(at)).count();
    let (most, from) = ran.iter().map(|(at, _)| (count(*at), *at)).max().unwrap_or_default();
    let allowed = (RATE as f64 * WINDOW.as_secs_f64() + BURST as f64) * (1.0 + OVERAGE) + SLACK;
    let mut by_second: Vec<[usize; 2]> = Vec::new();
    for (at, zone) in &ran {
        let s = at.as_secs() as usize;
        by_second.resize(by_second.len().max(s + 1), [0, 0]);
        by_second[s][*zone] += 1;
    }
    let clinic = sent.iter().filter(|one| one.id.starts_with("clinic-"));
    let clinic_served = clinic.clone().filter(|one| one.status == Some(200)).count();
    let summary = format!(
        "town: {most} requests sent from {:.3} s on in 5 s ran; allowed are {allowed:.0}\n\
         clinic: {clinic_served} of {} served\nran by second in zones a, b: {by_second:?}\n",
        from.as_secs_f64(),
        clinic.count()
    );
    let _written = out.write_all(summary.as_bytes());
    print!("{summary}");
    if ran.len() < 50 {
        return 2;
    }
    i32::from(most as f64 > allowed)
}

/// A zone is cut off, and a tenant that was idle begins to send over its limit in both parts.
pub async fn begins_in_cut() -> i32 {
    let Some(fleet) = serving().await else { return 2 };
    let mut load = Load::new();
    let mut events = Vec::new();
    pause(4000).await;
    if has_trouble() {
        fleet.cut_zone(true);
        events.push((fleet.now(), "zone a is cut off from zone b and from the store".to_string()));
    }
    pause(300).await;
    load.run(&fleet, RATE as f64 * 4.0, Duration::from_millis(5200)).await;
    if has_trouble() {
        fleet.cut_zone(false);
        events.push((fleet.now(), "the cut ends".to_string()));
    }
    load.run(&fleet, RATE as f64 * 4.0, Duration::from_millis(4000)).await;
    judge(&fleet, load, events).await
}
