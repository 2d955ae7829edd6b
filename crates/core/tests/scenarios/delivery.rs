//! Simulates the hosts of one failure domain, the platform's head and the
//! messages between them, one step of the script at a time.

use super::{arg, list, number};
use cicadashift_core::delivery::node::{Action, Event, Guards, Node};
use cicadashift_core::delivery::witness::{Testimony, WitnessSet};
use cicadashift_core::ids::{HostKey, Version};
use datadriven::TestCase;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Default)]
pub struct World {
    names: Vec<String>,
    nodes: BTreeMap<String, Node>,
    incarnations: BTreeMap<String, u64>,
    ran: BTreeMap<String, Version>,
    partitioned: BTreeSet<String>,
    outage: bool,
    head: Version,
    guards: Option<Guards>,
    log: Vec<String>,
}

pub fn step(world: &mut World, case: &TestCase) -> String {
    let hosts = list(case, "host");
    let version = number(case, "version", world.head);
    match case.directive.as_str() {
        "mesh" => world.start(list(case, "hosts"), arg(case, "without", "")),
        "accept" if world.outage => world.log.push("refused: the platform is out".to_string()),
        "accept" => world.head += 1,
        "outage" => world.outage = true,
        "back" => world.outage = false,
        "cut" => world.partitioned.extend(hosts),
        "mend" => hosts.iter().for_each(|host| {
            world.partitioned.remove(host);
        }),
        "crash" => hosts.iter().for_each(|host| world.crash(host)),
        "crash-with-clock-back" => hosts.iter().for_each(|host| world.crash_with_clock_back(host)),
        "read" => hosts.iter().for_each(|host| world.read(host)),
        "hold" => hosts.iter().for_each(|host| world.event(host, Event::Staged(version))),
        "promise" => {
            hosts.iter().for_each(|host| world.event(host, Event::PromiseRequested(version)))
        }
        "activate" => hosts.iter().for_each(|host| world.event(host, Event::Activated(version))),
        "ask" => hosts.iter().for_each(|host| world.ask_all(host)),
        "roll-out" => world.roll_out(version),
        "show" => {}
        other => return format!("no such step: {other}\n"),
    }
    world.render()
}

impl World {
    fn start(&mut self, hosts: Vec<String>, without: &str) {
        let mut guards = Guards::ALL;
        match without {
            "floor" => guards.floor_before_run = false,
            "majority" => guards.majority_before_run = false,
            "silence" => guards.silent_while_fresh = false,
            "lives" => guards.check_incarnations = false,
            "matching" => guards.match_answers = false,
            _ => {}
        }
        self.guards = Some(guards);
        self.names = hosts;
        for name in self.names.clone() {
            self.start_host(&name, 1);
        }
    }

    fn start_host(&mut self, name: &str, life: u64) {
        let witnesses = WitnessSet::new(self.names.iter().map(|name| HostKey::of(name)));
        let guards = self.guards.unwrap_or(Guards::ALL);
        self.nodes.insert(name.to_string(), Node::new(HostKey::of(name), life, witnesses, guards));
        self.incarnations.insert(name.to_string(), life);
    }

    fn crash(&mut self, name: &str) {
        let life = self.incarnations[name] + 1;
        self.start_host(name, life);
    }

    /// Restarts a host whose clock went back, which gives it a lower incarnation.
    fn crash_with_clock_back(&mut self, name: &str) {
        let life = self.incarnations[name].saturating_sub(1);
        self.start_host(name, life);
    }

    fn read(&mut self, name: &str) {
        match self.outage || self.partitioned.contains(name) {
            true => self.log.push(format!("{name} cannot read the platform")),
            false => self.event(name, Event::HeadRead(self.head)),
        }
    }

    /// Rolls a version out as a reader does, to every host that can be reached.
    fn roll_out(&mut self, version: Version) {
        let reachable: Vec<String> = self.reachable();
        for name in &reachable {
            self.event(name, Event::Staged(version));
        }
        for name in &reachable {
            self.event(name, Event::PromiseRequested(version));
        }
    }

    fn ask_all(&mut self, from: &str) {
        let ask =
            Event::FloorRequested { from: HostKey::of(from), life: self.nodes[from].incarnation() };
        for to in self.reachable().into_iter().filter(|to| to != from) {
            let Some(node) = self.nodes.get_mut(&to) else { continue };
            for action in node.on(ask.clone()) {
                match action {
                    Action::SendTestimony(testimony) => {
                        self.event(from, Event::TestimonyReceived(testimony))
                    }
                    Action::Decline => self.log.push(format!("{to} cannot speak")),
                    other => self.act(&to, other),
                }
            }
        }
    }

    fn event(&mut self, name: &str, event: Event) {
        let Some(node) = self.nodes.get_mut(name) else { return };
        for action in node.on(event) {
            self.act(name, action);
        }
    }

    fn act(&mut self, name: &str, action: Action) {
        match action {
            Action::Run(version) => self.ran(name, version),
            Action::SendTestimony(testimony) => self.broadcast(name, &testimony),
            Action::RequestPromises(version) => {
                self.log.push(format!("{name} asks for promises of {version}"));
                for to in self.reachable() {
                    self.event(&to, Event::Staged(version));
                    self.event(&to, Event::PromiseRequested(version));
                }
            }
            Action::Stage(version) => self.log.push(format!("{name} fetches {version}")),
            Action::Decline => self.log.push(format!("{name} cannot promise")),
        }
    }

    fn broadcast(&mut self, from: &str, testimony: &Testimony) {
        if self.partitioned.contains(from) {
            return;
        }
        for to in self.reachable() {
            self.event(&to, Event::TestimonyReceived(testimony.clone()));
        }
    }

    fn ran(&mut self, name: &str, version: Version) {
        let before = self.ran.insert(name.to_string(), version).unwrap_or(0);
        match version < before {
            true => self.log.push(format!("WENT BACK: {name} ran {before} and now runs {version}")),
            false => self.log.push(format!("{name} runs {version}")),
        }
    }

    fn reachable(&self) -> Vec<String> {
        self.names.iter().filter(|name| !self.partitioned.contains(*name)).cloned().collect()
    }

    fn render(&mut self) -> String {
        let mut out: String = self.log.drain(..).map(|line| line + "\n").collect();
        for name in &self.names {
            let node = &self.nodes[name];
            let floor = node.floor().map_or("unknown".to_string(), |floor| floor.to_string());
            let serving = if node.is_serving() { "serves" } else { "refuses" };
            out.push_str(&format!("{name}: {serving} {} floor {floor}\n", node.running()));
        }
        out
    }
}
