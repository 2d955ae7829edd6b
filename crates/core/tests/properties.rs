//! Property tests: invariants that hold for every sequence of events.

use cicadashift_core::config::compile::RoutingTable;
use cicadashift_core::config::delta::{Delta, Signature};
use cicadashift_core::config::{Config, Priority, Selector};
use cicadashift_core::delivery::tree;
use cicadashift_core::ids::HostKey;
use cicadashift_core::membership::record::Readiness;
use cicadashift_core::membership::record::{Health, Record};
use cicadashift_core::membership::table::Table;
use cicadashift_core::request::choose::{Demand, Locality, Picker, Policy, UpstreamInfo};
use cicadashift_core::request::gate::{
    Admission, Arrival, CallerKey, End, Gate, KindKey, Ticket, Wake,
};
use cicadashift_core::request::retry::{Allowance, Attempt, CallState, RetryBudget, RetryDecision};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// An event at a gate.
#[derive(Clone, Copy, Debug)]
enum GateEvent {
    Arrive { deadline_ms: u64, caller: u64, high: bool, may_wait: bool },
    End { shed: bool, took_ms: u64 },
    Cancel,
    Wait { ms: u64 },
    Drain,
}

fn gate_event() -> impl Strategy<Value = GateEvent> {
    prop_oneof![
        5 => (0_u64..200, 0_u64..3, any::<bool>(), any::<bool>()).prop_map(
            |(deadline_ms, caller, high, may_wait)| {
                GateEvent::Arrive { deadline_ms, caller, high, may_wait }
            }
        ),
        4 => (any::<bool>(), 0_u64..50).prop_map(|(shed, took_ms)| GateEvent::End { shed, took_ms }),
        1 => Just(GateEvent::Cancel),
        2 => (0_u64..60).prop_map(|ms| GateEvent::Wait { ms }),
        1 => Just(GateEvent::Drain),
    ]
}

/// Model of the calls that the gate admitted or queued.
#[derive(Default)]
struct GateModel {
    deadlines: BTreeMap<Ticket, Instant>,
    waiting: BTreeSet<Ticket>,
    running: BTreeSet<Ticket>,
}

impl GateModel {
    fn apply(&mut self, wakes: Vec<Wake>, now: Instant) {
        for wake in wakes {
            match wake {
                Wake::Run(ticket) => {
                    assert!(self.waiting.remove(&ticket), "only a waiting call may start");
                    assert!(now < self.deadlines[&ticket], "no call starts after its deadline");
                    self.running.insert(ticket);
                }
                Wake::Refuse(ticket, _) => {
                    assert!(
                        self.waiting.remove(&ticket),
                        "each waiting call is refused at most once"
                    );
                }
            }
        }
    }
}

const ALLOWANCE: Allowance =
    Allowance { earned_per_attempt: 0.2, max_saved: 20.0, saved_for: Duration::from_secs(5) };

proptest! {
    #[test]
    fn a_gate_never_runs_more_than_its_slots(
        slots in 1_u32..5,
        events in proptest::collection::vec(gate_event(), 1..120),
    ) {
        let mut gate = Gate::new(slots);
        let mut now = Instant::now();
        let mut model = GateModel::default();
        for event in events {
            match event {
                GateEvent::Arrive { deadline_ms, caller, high, may_wait } => {
                    let deadline = now + Duration::from_millis(deadline_ms);
                    let priority = if high { Priority::HIGH } else { Priority::LOW };
                    let caller = CallerKey(caller);
                    let arrival = Arrival {
                        deadline,
                        objective: deadline,
                        priority,
                        caller,
                        kind: KindKey::default(),
                        max_wait: if may_wait { Duration::MAX } else { Duration::ZERO },
                    };
                    match gate.admit(arrival, now, 7) {
                        Admission::Run(ticket) => {
                            model.deadlines.insert(ticket, deadline);
                            model.running.insert(ticket);
                        }
                        Admission::Wait(ticket) => {
                            prop_assert!(may_wait, "a call that may not wait is not queued");
                            model.deadlines.insert(ticket, deadline);
                            model.waiting.insert(ticket);
                        }
                        Admission::Refuse(_) => {}
                    }
                }
                GateEvent::End { shed, took_ms } => {
                    let Some(ticket) = model.running.pop_first() else { continue };
                    let took = Duration::from_millis(took_ms);
                    let end = if shed { End::Shed } else { End::Answered(took) };
                    let wakes = gate.ended(ticket, end, now);
                    model.apply(wakes, now);
                }
                GateEvent::Cancel => {
                    if let Some(ticket) = model.waiting.pop_first() {
                        gate.cancel(ticket);
                    }
                }
                GateEvent::Wait { ms } => {
                    now += Duration::from_millis(ms);
                    let wakes = gate.tick(now);
                    model.apply(wakes, now);
                }
                GateEvent::Drain => {
                    let wakes = gate.drain();
                    model.apply(wakes, now);
                    prop_assert!(model.waiting.is_empty());
                }
            }
            prop_assert!(gate.running() <= slots as usize);
            prop_assert_eq!(gate.running(), model.running.len());
            prop_assert_eq!(gate.queued(), model.waiting.len());
        }
    }

    #[test]
    fn only_repeatable_calls_are_retried_after_an_unknown_outcome(
        attempts in proptest::collection::vec(0_u8..3, 1..8),
        repeatable in any::<bool>(),
    ) {
        let mut budget = RetryBudget::new(ALLOWANCE);
        let mut may_have_run = false;
        for (i, attempt) in attempts.into_iter().enumerate() {
            let attempt = match attempt {
                0 => Attempt::Unknown,
                1 => Attempt::NotRun { retry_after: Duration::from_millis(10), arrived: true },
                _ => Attempt::Answered,
            };
            let attempts = i as u32 + 1;
            let call = CallState {
                repeatable,
                replayable: true,
                attempts,
                arrivals: attempts,
                max_attempts: 3,
                may_have_run,
            };
            let verdict = call.decide(attempt, Duration::from_secs(1), &mut budget, 3);
            may_have_run |= attempt == Attempt::Unknown;
            let retried = verdict == RetryDecision::Retry;
            prop_assert!(!(retried && may_have_run && !repeatable), "retried after an unknown outcome");
            let refused = matches!(verdict, RetryDecision::Refuse { .. });
            prop_assert!(!(refused && may_have_run), "refused as not run, but may have run");
            if !retried {
                break;
            }
        }
    }

    #[test]
    fn a_budget_bounds_retries(calls in 1_u32..500) {
        let now = Instant::now();
        let mut budget = RetryBudget::new(ALLOWANCE);
        let mut spent = 0;
        for _ in 0..calls {
            budget.earn(ALLOWANCE, now);
            spent += u32::from(budget.spend(1023));
        }
        prop_assert!(f64::from(spent) <= 10.0 + 0.2 * f64::from(calls));
    }

    #[test]
    fn a_picker_keeps_only_the_upstreams_present(
        sets in proptest::collection::vec(proptest::collection::btree_set(0_u64..40, 0..10), 1..40),
    ) {
        let now = Instant::now();
        let mut picker = Picker::new(Policy::ALL, HostKey::of("me"));
        let demand = Demand {
            kind: KindKey::default(),
            priority: Priority::NORMAL,
            objective: Duration::ZERO,
        };
        for set in sets {
            let known = set.iter().map(|n| UpstreamInfo {
                host: HostKey(*n),
                instance: format!("u{n}"),
                locality: Locality::SameDomain,
                slots: 10,
                readiness: Readiness::Ready,
                host_suspected: false,
            });
            picker.sync(known, now);
            prop_assert_eq!(picker.len(), set.len());
            if let Ok(choice) = picker.choose(demand, now, 11, &[]) {
                prop_assert!(set.contains(&picker.info(choice.key).host.0));
                prop_assert!(choice.key.0 < 20, "entries of removed upstreams are reused");
            }
        }
    }

    #[test]
    fn a_tree_reaches_each_host_once(keys in proptest::collection::btree_set(any::<u64>(), 0..300)) {
        let mut hosts: Vec<HostKey> = keys.iter().copied().map(HostKey).collect();
        tree::order(&mut hosts, 5);
        let mut reached = Vec::new();
        let mut pending = vec![hosts.clone()];
        let mut hops = 0;
        while !pending.is_empty() {
            hops += 1;
            let mut next = Vec::new();
            for list in pending {
                let branches = tree::branches(&list, tree::FANOUT);
                prop_assert!(branches.len() <= tree::FANOUT);
                for branch in branches {
                    reached.push(branch.child);
                    next.push(branch.rest);
                }
            }
            next.retain(|rest| !rest.is_empty());
            pending = next;
        }
        reached.sort_unstable();
        hosts.sort_unstable();
        prop_assert_eq!(reached, hosts);
        prop_assert!(hops <= 4);
    }

    #[test]
    fn records_merge_to_the_same_table_in_any_order(
        records in proptest::collection::vec((0_u64..3, 0_u64..4, 0_u64..4, 0_u8..4), 1..20),
        rotation in any::<prop::sample::Index>(),
    ) {
        let now = Instant::now();
        let records: Vec<Record> = records.into_iter().map(record).collect();
        let mut rotated = records.clone();
        rotated.rotate_left(rotation.index(records.len()));
        let apply = |records: Vec<Record>| {
            let mut table = Table::new(record((99, 1, 1, 0)), now);
            for record in records {
                table.apply(record, now);
            }
            let mut rows: Vec<_> = table.iter().map(|r| (r.host, r.rank())).collect();
            rows.sort();
            (rows, table.digest())
        };
        prop_assert_eq!(apply(records), apply(rotated));
    }

    // Compares the look-up with a scan of all routes. The expected route has the longest
    // prefix that matches the path; a route for the given host precedes one for any host.
    #[test]
    fn the_most_specific_route_is_found(
        routes in proptest::collection::btree_set(("(h)?", "/([ab]/?){0,3}"), 1..12),
        host in "[hx]",
        path in "/([abc]/?){0,4}",
    ) {
        let routes: Vec<_> = routes.into_iter().collect();
        let rows: Vec<_> = routes
            .iter()
            .map(|(host, prefix)| {
                let host = (!host.is_empty()).then_some(host);
                serde_json::json!({"host": host, "prefix": prefix, "service": "s"})
            })
            .collect();
        let text = serde_json::json!({"id": "c", "routes": rows}).to_string();
        let Ok(cfg) = Config::parse(text.as_bytes()) else { return Ok(()) };
        let table = RoutingTable::compile(1, vec![cfg]).expect("the routes are distinct");
        let is_under = |prefix: &str| {
            path.strip_prefix(prefix).is_some_and(|rest| {
                prefix.ends_with('/') || rest.is_empty() || rest.starts_with('/')
            })
        };
        let expected = routes
            .iter()
            .filter(|(route_host, prefix)| (route_host.is_empty() || *route_host == host) && is_under(prefix))
            .max_by_key(|(route_host, prefix)| (!route_host.is_empty(), prefix.len()));
        let found = table.find(Some(&host), &path, "GET").and_then(|key| table.route(key).cloned());
        prop_assert_eq!(
            found.map(|route| (route.host.clone().unwrap_or_default(), route.prefix.clone())),
            expected.cloned()
        );
    }

    // The texts share some pieces, in any order. Applied to the older text, the delta gives
    // the newer text; applied to another text, it gives the newer text or nothing.
    #[test]
    fn applying_a_delta_gives_the_newer_text_or_nothing(
        old in proptest::collection::vec("[ab]{0,3}\\}?", 0..20),
        new in proptest::collection::vec("[ab]{0,3}\\}?", 0..20),
        other in "[ab}]{0,30}",
    ) {
        let (old, new) = (old.concat(), new.concat());
        let delta = Delta::against(&Signature::of(old.as_bytes()), new.as_bytes());
        prop_assert_eq!(delta.apply(old.as_bytes()), Some(new.clone().into_bytes()));
        if let Some(result) = delta.apply(other.as_bytes()) {
            prop_assert_eq!(result, new.into_bytes());
        }
    }

    #[test]
    fn parsing_arbitrary_bytes_does_not_panic(buf in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _config = Config::parse(&buf);
        let _selector = Selector::parse(&buf);
    }
}

fn record((host, life, seq, health): (u64, u64, u64, u8)) -> Record {
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    Record {
        host: HostKey(host),
        name: format!("h{host}"),
        domain: "d".to_string(),
        life,
        seq,
        health: [Health::Alive, Health::Suspect, Health::Leaving, Health::Dead]
            [usize::from(health)],
        near: addr,
        far: addr,
        link_kbps: 0,
        reader: false,
        endpoints: Vec::new(),
        rollouts: Vec::new(),
    }
}
