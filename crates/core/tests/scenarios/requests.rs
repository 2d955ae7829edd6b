//! Scenario steps for one gate, one picker, one link and one call's retries, on a virtual
//! clock.

use super::{arg, list, number};
use cicadashift_core::config::Priority;
use cicadashift_core::ids::HostKey;
use cicadashift_core::membership::record::Readiness;
use cicadashift_core::request::choose::{
    Demand, LoadReport, Locality, Outcome, Picker, Policy, UpstreamInfo, UpstreamKey,
};
use cicadashift_core::request::gate::{
    Admission, Arrival, CallerKey, End, Gate, KindKey, Ticket, Wake,
};
use cicadashift_core::request::link::{self, Link, TransferId};
use cicadashift_core::request::retry::{Allowance, Attempt, CallState, RetryBudget, RetryDecision};
use datadriven::TestCase;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

pub struct World {
    base: Instant,
    now_ms: u64,
    gate: Gate,
    names: HashMap<Ticket, String>,
    picker: Picker,
    known: Vec<UpstreamInfo>,
    budget: RetryBudget,
    random: u64,
    link: Link,
    large: Vec<Large>,
}

/// A large answer that is being sent over the link.
struct Large {
    name: String,
    transfer_id: TransferId,
    left: u64,
    next_request_ms: u64,
}

impl Default for World {
    fn default() -> World {
        World {
            base: Instant::now(),
            now_ms: 0,
            gate: Gate::new(1),
            names: HashMap::new(),
            picker: Picker::new(Policy::ALL, HostKey::of("me")),
            known: Vec::new(),
            budget: RetryBudget::new(ALLOWANCE),
            random: 1,
            link: Link::new(5.0),
            large: Vec::new(),
        }
    }
}

pub fn step(world: &mut World, case: &TestCase) -> String {
    match case.directive.as_str() {
        "gate" => world.make_gate(case),
        "arrive" => world.arrive(case),
        "end" => world.end(case),
        "leave" => world.leave(case),
        "drain" => {
            let wakes = world.gate.drain();
            world.report(wakes)
        }
        "wait" => {
            world.now_ms += number(case, "ms", 0);
            let wakes = world.gate.tick(world.now());
            world.report(wakes)
        }
        "upstreams" => world.upstreams(case),
        "choose" => world.choose(case),
        "silent" => {
            let silent = arg(case, "silent", "yes") == "yes";
            for name in list(case, "hosts") {
                world.picker.set_silent(HostKey::of(&name), silent);
            }
            String::new()
        }
        "outcome" => world.outcome(case),
        "link_hint" => world.link_hint(case),
        "link" => {
            world.link = Link::new(number(case, "mbps", 5) as f64);
            world.large.clear();
            String::new()
        }
        "large" => world.join_link(case),
        "small" => world.send_small(case),
        "play" => world.play(case),
        "room" => world.room(case),
        "retry" => world.retry(case),
        other => format!("no such step: {other}\n"),
    }
}

fn demand(case: &TestCase) -> Demand {
    Demand {
        kind: KindKey(HostKey::of(arg(case, "kind", "any")).0),
        priority: priority(case),
        objective: Duration::from_millis(number(case, "objective", 0)),
    }
}

fn priority(case: &TestCase) -> Priority {
    match arg(case, "priority", "normal") {
        "low" => Priority::LOW,
        "high" => Priority::HIGH,
        _ => Priority::NORMAL,
    }
}

const ALLOWANCE: Allowance =
    Allowance { earned_per_attempt: 0.2, max_saved: 20.0, saved_for: Duration::from_secs(5) };

impl World {
    fn join_link(&mut self, case: &TestCase) -> String {
        for name in list(case, "answer") {
            let left = number(case, "bytes", 90_000);
            let transfer_id = self.link.start_transfer(left, self.now());
            self.large.push(Large { name, transfer_id, left, next_request_ms: self.now_ms });
        }
        self.describe_backlog()
    }

    /// Sends a small answer and returns when its last byte has left.
    fn send_small(&mut self, case: &TestCase) -> String {
        let before = self.link.busy_for(self.now());
        let bytes = number(case, "bytes", 1000);
        self.link.record_sent(bytes, self.now());
        let sent_after = (before + self.link.transmission_time(bytes)).as_millis();
        format!("has left after {sent_after} ms\n")
    }

    /// Advances the clock and lets the large answers request their pieces when due.
    fn play(&mut self, case: &TestCase) -> String {
        let mut out = String::new();
        for _ in 0..number(case, "ms", 0) {
            let now = self.now();
            for large in &mut self.large {
                if large.next_request_ms > self.now_ms {
                    continue;
                }
                let piece = large.left.min(self.link.piece() as u64);
                match self.link.request_piece(large.transfer_id, piece, now) {
                    Ok(()) => large.left -= piece,
                    Err(wait) => large.next_request_ms = self.now_ms + wait.as_millis() as u64,
                }
                if large.left == 0 {
                    self.link.end_transfer(large.transfer_id);
                    out.push_str(&format!("{} is sent at {} ms\n", large.name, self.now_ms));
                }
            }
            self.large.retain(|large| large.left > 0);
            self.now_ms += 1;
        }
        out + &self.describe_backlog()
    }

    fn room(&mut self, case: &TestCase) -> String {
        let ms = |name, default| Duration::from_millis(number(case, name, default));
        let large = link::LargeAnswer {
            bytes: number(case, "bytes", 90_000),
            service_time: ms("needed", 130),
            time_left: ms("left", 800),
            max_backlog: ms("most", 10_000),
        };
        match self.link.admit_answer(large, self.now()) {
            Ok(time) => format!("taken: {} ms on the link\n", time.as_millis()),
            Err(busy) => format!("refused: busy for {} ms\n", busy.as_millis()),
        }
    }

    fn describe_backlog(&self) -> String {
        let backlog = self.link.backlog(self.now()).as_millis();
        format!("at {} ms: backlog {backlog} ms\n", self.now_ms)
    }

    fn now(&self) -> Instant {
        self.base + Duration::from_millis(self.now_ms)
    }

    fn make_gate(&mut self, case: &TestCase) -> String {
        self.gate = Gate::new(number(case, "slots", 1) as u32);
        format!("limit {}\n", self.gate.limit())
    }

    fn arrive(&mut self, case: &TestCase) -> String {
        let deadline = self.now() + Duration::from_millis(number(case, "deadline", 1000));
        let priority = priority(case);
        let caller = CallerKey(HostKey::of(arg(case, "caller", "someone")).0);
        let mut out = String::new();
        for name in list(case, "call") {
            let objective = match number(case, "objective", 0) {
                0 => deadline,
                ms => self.now() + Duration::from_millis(ms),
            };
            let kind = KindKey(HostKey::of(arg(case, "kind", "any")).0);
            let max_wait = match case.args.contains_key("most_wait") {
                true => Duration::from_millis(number(case, "most_wait", 0)),
                false => Duration::MAX,
            };
            let arrival = Arrival { deadline, objective, priority, caller, kind, max_wait };
            let admitted = self.gate.admit(arrival, self.now(), 512);
            out.push_str(&match admitted {
                Admission::Run(ticket) => {
                    self.names.insert(ticket, name.clone());
                    format!("{name} runs\n")
                }
                Admission::Wait(ticket) => {
                    self.names.insert(ticket, name.clone());
                    format!("{name} waits\n")
                }
                Admission::Refuse(refusal) => {
                    let ms = refusal.retry_after().as_millis();
                    format!("{name} did not run: {refusal}, come back in {ms} ms\n")
                }
            });
        }
        out + &self.describe_load()
    }

    fn end(&mut self, case: &TestCase) -> String {
        let took = Duration::from_millis(number(case, "took", 5));
        let end = match arg(case, "as", "answered") {
            "shed" => End::Shed,
            "failed" => End::Failed,
            _ => End::Answered(took),
        };
        let mut out = String::new();
        for name in list(case, "call") {
            let Some(ticket) = self.ticket(&name) else { return format!("no call {name}\n") };
            let wakes = self.gate.ended(ticket, end, self.now());
            out.push_str(&self.describe_wakes(wakes));
        }
        out + &self.describe_load()
    }

    fn leave(&mut self, case: &TestCase) -> String {
        let Some(ticket) = self.ticket(arg(case, "call", "")) else { return String::new() };
        self.gate.cancel(ticket);
        self.describe_load()
    }

    fn ticket(&self, name: &str) -> Option<Ticket> {
        self.names.iter().find(|(_, known_name)| *known_name == name).map(|(ticket, _)| *ticket)
    }

    fn report(&mut self, wakes: Vec<Wake>) -> String {
        self.describe_wakes(wakes) + &self.describe_load()
    }

    fn describe_wakes(&self, wakes: Vec<Wake>) -> String {
        let mut lines: Vec<String> = wakes
            .into_iter()
            .map(|wake| match wake {
                Wake::Run(ticket) => format!("{} runs\n", self.names[&ticket]),
                Wake::Refuse(ticket, why) => {
                    format!("{} did not run: {why}\n", self.names[&ticket])
                }
            })
            .collect();
        if lines.iter().all(|line| line.contains("did not run")) {
            lines.sort();
        }
        lines.concat()
    }

    fn describe_load(&self) -> String {
        let (running, queued) = (self.gate.running(), self.gate.queued());
        format!("at {} ms: {running} of {} run, {queued} wait\n", self.now_ms, self.gate.limit())
    }

    fn upstreams(&mut self, case: &TestCase) -> String {
        let draining = list(case, "draining");
        let cold = list(case, "cold");
        let doubted = list(case, "doubted");
        let near = list(case, "near");
        let far = list(case, "far");
        let here = list(case, "here");
        let known = |name: &String, locality| UpstreamInfo {
            host: HostKey::of(name),
            instance: name.clone(),
            locality,
            slots: number(case, "slots", 10) as u16,
            readiness: match (draining.contains(name), cold.contains(name)) {
                (true, _) => Readiness::Draining,
                (_, true) => Readiness::Cold,
                _ => Readiness::Ready,
            },
            host_suspected: doubted.contains(name),
        };
        self.known = here.iter().map(|name| known(name, Locality::SameHost)).collect();
        self.known.extend(near.iter().map(|name| known(name, Locality::SameDomain)));
        self.known.extend(far.iter().map(|name| known(name, Locality::OtherDomain)));
        self.picker.sync(self.known.clone(), self.now());
        format!("{} take work\n", self.picker.len())
    }

    /// Chooses several times and counts the choices; each starts a call unless `dry` is set.
    fn choose(&mut self, case: &TestCase) -> String {
        let tried: Vec<UpstreamKey> =
            list(case, "tried").iter().filter_map(|name| self.key(name)).collect();
        let mut counts: BTreeMap<String, u32> = BTreeMap::new();
        for _ in 0..number(case, "times", 1) {
            self.random = self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let random = self.random ^ (self.random >> 29);
            let line = match self.picker.choose(demand(case), self.now(), random, &tried) {
                Ok(choice) => {
                    if arg(case, "dry", "no") == "no" {
                        self.picker.started(choice.key);
                    }
                    format!("{} ({:?})", self.picker.info(choice.key).instance, choice.reason)
                }
                Err(wait) => format!("nobody, come back in {} ms", wait.as_millis()),
            };
            *counts.entry(line).or_default() += 1;
        }
        counts.into_iter().map(|(line, count)| format!("{count} x {line}\n")).collect()
    }

    fn outcome(&mut self, case: &TestCase) -> String {
        let time = Duration::from_millis(number(case, "ms", 5));
        let report = LoadReport {
            load: case.args.get("load").map(|_| number(case, "load", 0) as u16),
            accept_ratio: case
                .args
                .get("accepts")
                .map(|_| number(case, "accepts", 100) as f64 / 100.0),
            next_token: case
                .args
                .get("next")
                .map(|_| Duration::from_millis(number(case, "next", 0))),
            pace: None,
        };
        let outcome = match arg(case, "as", "answered") {
            "refused" => Outcome::Refused { retry_after: time, report },
            "full" => Outcome::Full { report },
            "unreached" => Outcome::Unreached,
            "failed" => Outcome::Failed,
            "erred" => Outcome::ErrorAnswer,
            "cancelled" => Outcome::Cancelled,
            _ => Outcome::Answered { service: time, total: time, report },
        };
        for _ in 0..number(case, "times", 1) {
            for name in list(case, "of") {
                if let Some(key) = self.key(&name) {
                    match arg(case, "as", "answered") {
                        "late" => self.picker.record_late(key, demand(case), time, self.now()),
                        _ => self.picker.ended(key, demand(case), outcome, self.now()),
                    }
                }
            }
        }
        String::new()
    }

    /// Reports to the picker how long a large answer would take to leave the upstreams' hosts.
    fn link_hint(&mut self, case: &TestCase) -> String {
        self.picker.set_large(demand(case).kind, true);
        let wait = Duration::from_millis(number(case, "ms", 0));
        for name in list(case, "of") {
            if let Some(key) = self.key(&name) {
                self.picker.record_link_wait(key, wait, self.now());
            }
        }
        String::new()
    }

    fn key(&self, name: &str) -> Option<UpstreamKey> {
        (0..self.known.len() as u32 + 8)
            .map(UpstreamKey)
            .take(self.known.len())
            .find(|key| self.picker.info(*key).instance == name)
    }

    fn retry(&mut self, case: &TestCase) -> String {
        let attempts = number(case, "attempts", 1) as u32;
        let arrived = arg(case, "arrived", "yes") == "yes";
        let call = CallState {
            repeatable: arg(case, "repeatable", "no") == "yes",
            replayable: arg(case, "replayable", "yes") == "yes",
            attempts,
            arrivals: if arrived { attempts } else { 0 },
            max_attempts: number(case, "allowed", 3) as u32,
            may_have_run: arg(case, "earlier", "none") == "unknown",
        };
        let wait = Duration::from_millis(100);
        let attempt = match arg(case, "after", "unknown") {
            "answered" => Attempt::Answered,
            "not-run" => Attempt::NotRun { retry_after: wait, arrived },
            _ => Attempt::Unknown,
        };
        let left = Duration::from_millis(number(case, "left", 500));
        let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
        for _ in 0..number(case, "times", 1) {
            let line = match call.decide(attempt, left, &mut self.budget, 512) {
                RetryDecision::Answer => "answer",
                RetryDecision::Retry => "again",
                RetryDecision::Refuse { .. } => "refuse as not run",
                RetryDecision::Unknown => "say that it is unknown",
            };
            *counts.entry(line).or_default() += 1;
        }
        counts.into_iter().map(|(line, count)| format!("{count} x {line}\n")).collect()
    }
}
