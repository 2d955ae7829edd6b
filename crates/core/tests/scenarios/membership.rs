//! Scenarios of one member's table and failure detector, on a virtual clock.

use super::{arg, list, number};
use cicadashift_core::ids::HostKey;
use cicadashift_core::membership::detector::{Action, Detector};
use cicadashift_core::membership::record::{Endpoint, Health, Readiness, Record};
use cicadashift_core::membership::table::Table;
use datadriven::TestCase;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const ME: &str = "me";
const STEP_MS: u64 = 100;

pub struct World {
    base: Instant,
    now_ms: u64,
    table: Table,
    detector: Detector,
    silent: Vec<String>,
}

impl Default for World {
    fn default() -> World {
        let base = Instant::now();
        let table = Table::new(record(ME, 5, 0, Health::Alive, &[]), base);
        World { base, now_ms: 0, table, detector: Detector::new(base), silent: Vec::new() }
    }
}

pub fn step(world: &mut World, case: &TestCase) -> String {
    match case.directive.as_str() {
        "hear" => world.receive(case),
        "silent" => {
            world.silent = list(case, "host");
            String::new()
        }
        "run" => world.run(number(case, "ms", 1000)),
        "frozen" => {
            world.now_ms += number(case, "ms", 0);
            world.run(STEP_MS)
        }
        "show" => world.show(),
        other => format!("no such step: {other}\n"),
    }
}

impl World {
    fn now(&self) -> Instant {
        self.base + Duration::from_millis(self.now_ms)
    }

    fn receive(&mut self, case: &TestCase) -> String {
        let health = match arg(case, "health", "alive") {
            "suspect" => Health::Suspect,
            "leaving" => Health::Leaving,
            "dead" => Health::Dead,
            _ => Health::Alive,
        };
        let mut out = String::new();
        for host in list(case, "host") {
            let (life, seq) = (number(case, "life", 1), number(case, "seq", 0));
            let received = record(&host, life, seq, health, &list(case, "serves"));
            out.push_str(&format!("{host}: {:?}\n", self.table.apply(received, self.now())));
        }
        out
    }

    fn run(&mut self, ms: u64) -> String {
        let mut out = String::new();
        let until = self.now_ms + ms;
        while self.now_ms < until {
            self.now_ms += STEP_MS;
            let mut others = self.table.live(Some("d"));
            others.retain(|host| *host != HostKey::of(ME));
            for action in self.detector.tick(self.now(), &others, 7) {
                let line = self.act(action);
                out.push_str(&line);
            }
        }
        out
    }

    fn act(&mut self, action: Action) -> String {
        match action {
            Action::DirectProbe(host) => {
                if !self.silent.contains(&self.name(host)) {
                    self.detector.answered(host);
                }
                String::new()
            }
            Action::IndirectProbe { .. } => String::new(),
            Action::Suspect(host) => {
                self.table.set_health(host, Health::Suspect, self.now());
                format!("{} ms: {} is suspected\n", self.now_ms, self.name(host))
            }
            Action::Dead(host) => {
                self.table.set_health(host, Health::Dead, self.now());
                format!("{} ms: {} is taken for dead\n", self.now_ms, self.name(host))
            }
            Action::Frozen(gap) => format!("frozen for {} ms, believes nothing\n", gap.as_millis()),
        }
    }

    fn name(&self, host: HostKey) -> String {
        self.table.get(host).map_or_else(String::new, |record| record.name.clone())
    }

    fn show(&self) -> String {
        let mut lines: Vec<String> = self
            .table
            .iter()
            .map(|r| {
                let serves: Vec<_> = r.endpoints.iter().map(|e| e.instance.as_str()).collect();
                let (life, seq) = (r.life, r.seq);
                format!("{}: {:?} life {life} seq {seq} [{}]\n", r.name, r.health, serves.join(" "))
            })
            .collect();
        lines.sort();
        lines.concat()
    }
}

fn record(name: &str, life: u64, seq: u64, health: Health, serves: &[String]) -> Record {
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    Record {
        host: HostKey::of(name),
        name: name.to_string(),
        domain: "d".to_string(),
        life,
        seq,
        health,
        near: addr,
        far: addr,
        link_kbps: 0,
        reader: false,
        endpoints: serves
            .iter()
            .map(|instance| Endpoint {
                instance: instance.clone(),
                service: "s".to_string(),
                version: String::new(),
                slots: 10,
                readiness: Readiness::Ready,
            })
            .collect(),
        rollouts: Vec::new(),
    }
}
