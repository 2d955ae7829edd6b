//! What holds for every order of events.

use cicadashift_core::config::compile::Table as Routes;
use cicadashift_core::config::delta::Delta;
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
use cicadashift_core::request::retry::{Allowance, Attempt, Budget, Call, Verdict};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Something that happens to a gate.
#[derive(Clone, Copy, Debug)]
enum Happens {
    Arrive { deadline_ms: u64, caller: u64, high: bool, patient: bool },
    End { shed: bool, took_ms: u64 },
    Cancel,
    Wait { ms: u64 },
    Drain,
}

fn happens() -> impl Strategy<Value = Happens> {
    prop_oneof![
        5 => (0_u64..200, 0_u64..3, any::<bool>(), any::<bool>()).prop_map(
            |(deadline_ms, caller, high, patient)| {
                Happens::Arrive { deadline_ms, caller, high, patient }
            }
        ),
        4 => (any::<bool>(), 0_u64..50).prop_map(|(shed, took_ms)| Happens::End { shed, took_ms }),
        1 => Just(Happens::Cancel),
        2 => (0_u64..60).prop_map(|ms| Happens::Wait { ms }),
        1 => Just(Happens::Drain),
    ]
}

/// What is known of each call that the gate took in.
#[derive(Default)]
struct Seen {
    deadlines: BTreeMap<Ticket, Instant>,
    waiting: BTreeSet<Ticket>,
    running: BTreeSet<Ticket>,
}

impl Seen {
    fn tell(&mut self, wakes: Vec<Wake>, now: Instant) {
        for wake in wakes {
            match wake {
                Wake::Run(ticket) => {
                    assert!(self.waiting.remove(&ticket), "only a waiting call is let in");
                    assert!(now < self.deadlines[&ticket], "nothing begins after its deadline");
                    self.running.insert(ticket);
                }
                Wake::Refuse(ticket, _) => {
                    assert!(self.waiting.remove(&ticket), "each call is told once");
                }
            }
        }
    }
}

const ALLOWANCE: Allowance =
    Allowance { earned: 0.2, saved: 20.0, saved_for: Duration::from_secs(5) };

proptest! {
    #[test]
    fn a_gate_never_runs_more_than_its_slots(
        slots in 1_u32..5,
        events in proptest::collection::vec(happens(), 1..120),
    ) {
        let mut gate = Gate::new(slots);
        let mut now = Instant::now();
        let mut seen = Seen::default();
        for event in events {
            match event {
                Happens::Arrive { deadline_ms, caller, high, patient } => {
                    let deadline = now + Duration::from_millis(deadline_ms);
                    let priority = if high { Priority::HIGH } else { Priority::LOW };
                    let caller = CallerKey(caller);
                    let arrival = Arrival {
                        deadline,
                        objective: deadline,
                        priority,
                        caller,
                        kind: KindKey::default(),
                        most_wait: if patient { Duration::MAX } else { Duration::ZERO },
                    };
                    match gate.admit(arrival, now, 7) {
                        Admission::Run(ticket) => {
                            seen.deadlines.insert(ticket, deadline);
                            seen.running.insert(ticket);
                        }
                        Admission::Wait(ticket) => {
                            prop_assert!(patient, "who may not wait is told so");
                            seen.deadlines.insert(ticket, deadline);
                            seen.waiting.insert(ticket);
                        }
                        Admission::Refuse(_) => {}
                    }
                }
                Happens::End { shed, took_ms } => {
                    let Some(ticket) = seen.running.pop_first() else { continue };
                    let took = Duration::from_millis(took_ms);
                    let end = if shed { End::Shed } else { End::Answered(took) };
                    let wakes = gate.ended(ticket, end, now);
                    seen.tell(wakes, now);
                }
                Happens::Cancel => {
                    if let Some(ticket) = seen.waiting.pop_first() {
                        gate.cancel(ticket);
                    }
                }
                Happens::Wait { ms } => {
                    now += Duration::from_millis(ms);
                    let wakes = gate.tick(now);
                    seen.tell(wakes, now);
                }
                Happens::Drain => {
                    let wakes = gate.drain();
                    seen.tell(wakes, now);
                    prop_assert!(seen.waiting.is_empty());
                }
            }
            prop_assert!(gate.running() <= slots as usize);
            prop_assert_eq!(gate.running(), seen.running.len());
            prop_assert_eq!(gate.queued(), seen.waiting.len());
        }
    }

    #[test]
    fn what_may_not_be_repeated_is_not(
        attempts in proptest::collection::vec(0_u8..3, 1..8),
        repeatable in any::<bool>(),
    ) {
        let mut budget = Budget::new(ALLOWANCE);
        let mut may_have_run = false;
        for (i, attempt) in attempts.into_iter().enumerate() {
            let attempt = match attempt {
                0 => Attempt::Unknown,
                1 => Attempt::NotRun { retry_after: Duration::from_millis(10), arrived: true },
                _ => Attempt::Answered,
            };
            let attempts = i as u32 + 1;
            let call = Call {
                repeatable,
                replayable: true,
                attempts,
                arrivals: attempts,
                allowed: 3,
                may_have_run,
            };
            let verdict = call.after(attempt, Duration::from_secs(1), &mut budget, 3);
            may_have_run |= attempt == Attempt::Unknown;
            let again = verdict == Verdict::Again;
            prop_assert!(!(again && may_have_run && !repeatable), "sent again after unknown");
            let refused = matches!(verdict, Verdict::Refuse { .. });
            prop_assert!(!(refused && may_have_run), "told not run of what may have run");
            if !again {
                break;
            }
        }
    }

    #[test]
    fn a_budget_bounds_retries(calls in 1_u32..500) {
        let now = Instant::now();
        let mut budget = Budget::new(ALLOWANCE);
        let mut spent = 0;
        for _ in 0..calls {
            budget.earn(ALLOWANCE, now);
            spent += u32::from(budget.spend(1023));
        }
        prop_assert!(f64::from(spent) <= 10.0 + 0.2 * f64::from(calls));
    }

    #[test]
    fn a_picker_never_grows_past_those_present(
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
                prop_assert!(choice.key.0 < 20, "places are used again");
            }
        }
    }

    #[test]
    fn a_tree_reaches_each_host_once(keys in proptest::collection::btree_set(any::<u64>(), 0..300)) {
        let mut hosts: Vec<HostKey> = keys.iter().copied().map(HostKey).collect();
        tree::order(&mut hosts, 5);
        let mut reached = Vec::new();
        let mut left = vec![hosts.clone()];
        let mut hops = 0;
        while !left.is_empty() {
            hops += 1;
            let mut next = Vec::new();
            for list in left {
                let branches = tree::branches(&list, tree::FANOUT);
                prop_assert!(branches.len() <= tree::FANOUT);
                for branch in branches {
                    reached.push(branch.child);
                    next.push(branch.rest);
                }
            }
            next.retain(|rest| !rest.is_empty());
            left = next;
        }
        reached.sort_unstable();
        hosts.sort_unstable();
        prop_assert_eq!(reached, hosts);
        prop_assert!(hops <= 4);
    }

    #[test]
    fn records_end_the_same_in_any_order(
        records in proptest::collection::vec((0_u64..3, 0_u64..4, 0_u64..4, 0_u8..4), 1..20),
        turn in any::<prop::sample::Index>(),
    ) {
        let now = Instant::now();
        let records: Vec<Record> = records.into_iter().map(record).collect();
        let mut turned = records.clone();
        turned.rotate_left(turn.index(records.len()));
        let apply = |records: Vec<Record>| {
            let mut table = Table::new(record((99, 1, 1, 0)), now);
            for record in records {
                table.apply(record, now);
            }
            let mut rows: Vec<_> = table.iter().map(|r| (r.host, r.rank())).collect();
            rows.sort();
            (rows, table.digest())
        };
        prop_assert_eq!(apply(records), apply(turned));
    }

    // The route that is found is the longest prefix that the path is under, with the
    // host named before any host, as a look at every route finds it.
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
        let table = Routes::compile(1, vec![cfg]).expect("all differ");
        let is_under = |prefix: &str| {
            path.strip_prefix(prefix).is_some_and(|rest| {
                prefix.ends_with('/') || rest.is_empty() || rest.starts_with('/')
            })
        };
        let expected = routes
            .iter()
            .filter(|(named, prefix)| (named.is_empty() || *named == host) && is_under(prefix))
            .max_by_key(|(named, prefix)| (!named.is_empty(), prefix.len()));
        let found = table.find(Some(&host), &path, "GET").and_then(|key| table.route(key).cloned());
        prop_assert_eq!(
            found.map(|route| (route.host.clone().unwrap_or_default(), route.prefix.clone())),
            expected.cloned()
        );
    }

    // Texts of a few pieces in common, in any order: what is made of the changes is
    // the newer text, and on any other text nothing is made.
    #[test]
    fn changes_make_the_newer_text_of_the_older(
        old in proptest::collection::vec("[ab]{0,3}\\}?", 0..20),
        new in proptest::collection::vec("[ab]{0,3}\\}?", 0..20),
        other in "[ab}]{0,30}",
    ) {
        let (old, new) = (old.concat(), new.concat());
        let delta = Delta::between(old.as_bytes(), new.as_bytes());
        prop_assert_eq!(delta.apply(old.as_bytes()), Some(new.clone().into_bytes()));
        if let Some(made) = delta.apply(other.as_bytes()) {
            prop_assert_eq!(made, new.into_bytes());
        }
    }

    #[test]
    fn arbitrary_text_is_no_panic(buf in proptest::collection::vec(any::<u8>(), 0..400)) {
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
