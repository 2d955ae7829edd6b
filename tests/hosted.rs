//! The users' platform, with real processes: the whole path, changes, drains,
//! stops, and what fails. The store and the instances are stand-ins that speak
//! the published protocol.

mod common;

use cicadashift_http::hyper::Method;
use cicadashift_testkit::hosted::fleet::{HostedFleet, config};
use cicadashift_testkit::hosted::instance::{LARGE_BYTES, Manner};
use cicadashift_testkit::hosted::store::{CONFIG_KEY, Down};
use common::run;
use serde_json::json;
use smol::io::AsyncWriteExt;
use std::path::Path;
use std::time::{Duration, Instant};

/// Time in which an accepted change must be in force.
const IN_FORCE: Duration = Duration::from_secs(2);

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_cicadashift"))
}

async fn serving(count: usize) -> HostedFleet {
    HostedFleet::serving(program(), count).await
}

#[test]
fn a_request_gets_its_own_whole_answer_from_any_host() {
    // Callers at three daemons each get the answer to their own request, from
    // instances on all hosts. The instance sees the caller's service as the
    // daemon set it, not as the caller claimed, and less time than the caller has.
    run(async {
        let fleet = serving(3).await;
        fleet.put_config(2, &["/lift/"]);
        for i in 0..3 {
            let known = async |fleet: &HostedFleet| fleet.status(i, "/lift/0", "k").await;
            assert!(fleet.wait(async |fleet| known(fleet).await == Some(200)).await);
        }
        for n in 0..30 {
            let id = format!("own-{n}");
            let res = fleet.call(n % 3, Method::POST, "/lift/5", &id).await.expect("an answer");
            assert_eq!(res.status().as_u16(), 200);
            assert!(res.body().ends_with(&format!("{id} 4")), "{}", res.body());
            assert_eq!(res.headers()["x-request-id"], id.as_str());
            assert!(res.headers().contains_key("x-server-stamp"));
            assert_eq!(fleet.ledger.count(&id), 1);
        }
        for node in &fleet.nodes {
            for (service, deadline) in node.instance.seen() {
                assert_eq!(service, "notice");
                assert!(deadline.parse::<u64>().expect("a number") <= 1500, "{deadline}");
            }
        }
    });
}

#[test]
fn a_change_is_in_force_everywhere_in_time_and_never_goes_back() {
    // A route is dropped and another added. Within two seconds each daemon
    // serves the new one and says 404 for the old. An older version that is
    // written afterwards changes nothing.
    run(async {
        let fleet = serving(3).await;
        assert_eq!(fleet.status(0, "/new/1", "early").await, Some(404));
        fleet.put_config(7, &["/new/"]);
        let accepted = Instant::now();
        for i in 0..3 {
            let served = async |fleet: &HostedFleet| fleet.status(i, "/new/1", "n").await;
            assert!(fleet.wait(async |fleet| served(fleet).await == Some(200)).await);
            assert!(accepted.elapsed() < IN_FORCE, "{:?}", accepted.elapsed());
            assert_eq!(fleet.status(i, "/notices/1", "old").await, Some(404));
        }
        fleet.put_config(6, &["/notices/"]);
        smol::Timer::after(Duration::from_millis(400)).await;
        assert_eq!(fleet.status(1, "/new/1", "still").await, Some(200));
    });
}

#[test]
fn a_change_reaches_hosts_that_leave_the_store_to_others() {
    // Eight hosts, six of them in one failure domain, where only two follow the
    // store. Versions follow each other; each is in force in time on all, and
    // those that do not follow take the difference from one that does. One follower
    // dies, and who asked it turns to the other. Then all followers of both domains
    // die, and a change is accepted in the same moment: the others notice within about
    // a second, ask the store themselves, and have it in time as well.
    run(async {
        let mut fleet = serving(8).await;
        let two = async |fleet: &HostedFleet| fleet.followers().await.len() == 4;
        assert!(fleet.wait(two).await, "{:?}", fleet.followers().await);
        for version in 2..5 {
            let path = format!("/new-{version}/");
            fleet.put_config(version, &["/notices/", &path]);
            in_force(&fleet, &[0, 1, 2, 3, 4, 5, 6, 7], &path).await;
        }
        let from_members = (0..8).filter(|i| fleet.log(*i).contains("from member")).count();
        assert!(from_members >= 3, "{from_members}");
        let dead = fleet.followers().await.into_iter().find(|i| *i >= 2).expect("two of six");
        fleet.kill(dead);
        let mut others: Vec<usize> = (0..8).filter(|i| *i != dead).collect();
        for version in 5..8 {
            let path = format!("/new-{version}/");
            fleet.put_config(version, &["/notices/", &path]);
            in_force(&fleet, &others, &path).await;
        }
        assert!(fleet.wait(two).await, "{:?}", fleet.followers().await);
        let followers = fleet.followers().await;
        for i in &followers {
            fleet.kill(*i);
        }
        fleet.put_config(8, &["/notices/", "/after/"]);
        others.retain(|i| !followers.contains(i));
        in_force(&fleet, &others, "/after/").await;
    });
}

/// Waits until a route that was just accepted is served by daemons, and checks that
/// it was in time.
async fn in_force(fleet: &HostedFleet, daemons: &[usize], path: &str) {
    let accepted = Instant::now();
    for i in daemons {
        let served = async |fleet: &HostedFleet| fleet.status(*i, path, "probe").await;
        assert!(fleet.wait(async |fleet| served(fleet).await == Some(200)).await, "{path} at {i}");
        let took = accepted.elapsed();
        assert!(took < IN_FORCE, "{path} at daemon {i} after {took:?}: {}", fleet.log(*i));
    }
}

#[test]
fn a_bad_configuration_changes_nothing_and_the_log_says_why() {
    // The store hands out configurations that are cut short, route to a service
    // that is not listed, have a prefix without its slash, or no timeout. The
    // last good one stays in force whole, and the next good one is taken.
    run(async {
        let fleet = serving(2).await;
        let mut unknown = config(9, &["/notices/"]);
        unknown["VirtualHosts"][0]["Paths"][0]["Service"] = json!("nobody");
        let mut untimed = config(9, &["/notices/"]);
        untimed["VirtualHosts"][0]["Paths"][0]["TimeoutMs"] = json!(0);
        let mut cut = config(9, &["/notices/"]).to_string();
        cut.truncate(cut.len() - 40);
        let bare = config(9, &["notices"]).to_string();
        for text in [cut, unknown.to_string(), untimed.to_string(), bare] {
            let before = fleet.log(0).matches("does not come into force").count();
            fleet.store.put(CONFIG_KEY, text.as_bytes());
            let told = async |fleet: &HostedFleet| {
                fleet.log(0).matches("does not come into force").count() > before
            };
            assert!(fleet.wait(told).await, "{text}: {}", fleet.log(0));
            assert_eq!(fleet.status(0, "/notices/1", "kept").await, Some(200));
        }
        fleet.put_config(10, &["/good/"]);
        let good = async |fleet: &HostedFleet| fleet.status(0, "/good/1", "g").await == Some(200);
        assert!(fleet.wait(good).await);
    });
}

#[test]
fn an_instance_that_leaves_gets_nothing_after_its_acknowledgement() {
    // One instance reports that it drains, another says that it is gone and goes
    // on serving. Callers at all daemons are served by the third, and nothing
    // that is sent after an acknowledgement reaches the two.
    run(async {
        let fleet = serving(3).await;
        assert!(fleet.nodes[0].instance.drain().await);
        assert!(fleet.nodes[1].instance.leave().await);
        let seen = [0, 1].map(|i| fleet.nodes[i].instance.seen().len());
        for n in 0..60 {
            let status = fleet.status(n % 3, "/notices/1", &format!("after-{n}")).await;
            assert_eq!(status, Some(200));
        }
        assert_eq!([0, 1].map(|i| fleet.nodes[i].instance.seen().len()), seen);
        // A report from before the drain that arrives late brings nothing back.
        assert!(fleet.nodes[0].instance.beat_as("i-0", 0, false).await);
        assert!(fleet.nodes[1].instance.beat_as("i-1", 99, false).await);
        for n in 0..20 {
            fleet.status(n % 3, "/notices/1", &format!("late-{n}")).await;
        }
        assert_eq!([0, 1].map(|i| fleet.nodes[i].instance.seen().len()), seen);
    });
}

#[test]
fn a_planned_stop_cuts_no_request() {
    // Requests of 300 ms run at all daemons when one is told to stop. It says at
    // once that it takes no work, ends with code 0, and every request that it had
    // read is answered whole.
    run(async {
        let mut fleet = serving(3).await;
        for node in &fleet.nodes {
            node.instance.set_work(Duration::from_millis(300));
        }
        fleet.signal(0, "-TERM");
        let ids: Vec<String> = (0..12).map(|n| format!("stop-{n}")).collect();
        let mut statuses = Vec::new();
        for (n, id) in ids.iter().enumerate() {
            statuses.push(fleet.status(n % 2, "/notices/1", id).await);
            if n == 1 {
                assert!(!fleet.is_ready(0).await);
            }
        }
        // The stopping one serves until its peers and callers have moved.
        let cut = statuses.iter().step_by(2).filter(|status| status.is_none()).count();
        let first_refused = statuses.iter().step_by(2).position(|status| status.is_none());
        assert!(statuses.iter().skip(1).step_by(2).all(|status| *status == Some(200)));
        assert!(cut == 0 || first_refused >= Some(2), "{statuses:?}");
        let ended = Instant::now();
        while fleet.exit_code(0).is_none() && ended.elapsed() < Duration::from_secs(8) {
            smol::Timer::after(Duration::from_millis(50)).await;
        }
        assert_eq!(fleet.exit_code(0), Some(0), "{}", fleet.log(0));
    });
}

#[test]
fn settings_are_read_again_and_bad_ones_are_not_taken() {
    // SIGHUP after a change takes it in; a file that is not good leaves the old
    // settings in force and the log says why; a change without a signal is
    // noticed. Requests go on meanwhile.
    run(async {
        let fleet = serving(2).await;
        let logged = async |text: &str| {
            let found = async |fleet: &HostedFleet| fleet.log(0).contains(text);
            assert!(fleet.wait(found).await, "{text}: {}", fleet.log(0));
        };
        fleet.signal(0, "-HUP");
        logged("reload (signal): nothing changed").await;
        fleet.change_settings(0, "threads", json!(0));
        fleet.signal(0, "-HUP");
        logged("the old settings stay").await;
        fleet.change_settings(0, "threads", json!(1));
        fleet.change_settings(0, "retries", json!({"ratio": 0.1}));
        logged("reload (file): done").await;
        assert_eq!(fleet.status(0, "/notices/1", "after").await, Some(200));
    });
}

#[test]
fn a_restart_without_the_store_takes_the_configuration_of_a_member() {
    // The store falls silent and a daemon is killed and restarted. It answers 503
    // with a time to come back, never 404, until a member finds it; then it
    // serves what that member runs.
    run(async {
        let mut fleet = serving(3).await;
        fleet.put_config(5, &["/newer/"]);
        for i in 0..3 {
            let newer = async |fleet: &HostedFleet| fleet.status(i, "/newer/1", "n").await;
            assert!(fleet.wait(async |fleet| newer(fleet).await == Some(200)).await);
        }
        fleet.store.fault(|faults| faults.down = Some(Down::Silent));
        fleet.kill(2);
        fleet.restart(2);
        let mut statuses = Vec::new();
        let served = async |fleet: &HostedFleet| fleet.status(2, "/newer/1", "back").await;
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until && statuses.last() != Some(&200) {
            statuses.extend(served(&fleet).await);
            smol::Timer::after(Duration::from_millis(20)).await;
        }
        assert_eq!(statuses.last(), Some(&200), "{}", fleet.log(2));
        assert!(statuses.iter().all(|status| [200, 503].contains(status)), "{statuses:?}");
        assert!(fleet.is_ready(2).await);
    });
}

#[test]
fn a_daemon_that_knows_nothing_refuses_as_not_run() {
    // All daemons start while the store is silent. Callers get 503 with a short
    // time to come back, never 404, and the daemons are not ready. When the store
    // is back they serve within two seconds.
    run(async {
        let fleet = HostedFleet::start(program(), 2);
        fleet.store.fault(|faults| faults.down = Some(Down::Silent));
        fleet.put_config(1, &["/notices/"]);
        let up = async |fleet: &HostedFleet| fleet.status(0, "/notices/1", "early").await.is_some();
        assert!(fleet.wait(up).await);
        let res = fleet.call(0, Method::GET, "/notices/1", "early-2").await.expect("an answer");
        assert_eq!(res.status().as_u16(), 503);
        let wait: f64 = res.headers()["retry-after"].to_str().expect("text").parse().expect("s");
        assert!((0.1..=1.0).contains(&wait), "{wait}");
        assert!(!fleet.is_ready(0).await);
        fleet.store.fault(|faults| faults.down = None);
        let back = Instant::now();
        let served = async |fleet: &HostedFleet| fleet.status(0, "/notices/1", "s").await;
        assert!(fleet.wait(async |fleet| served(fleet).await == Some(200)).await);
        assert!(back.elapsed() < Duration::from_secs(4), "{:?}", back.elapsed());
    });
}

#[test]
fn an_outage_of_any_kind_changes_nothing_for_callers() {
    // The store is busy, over its rate, then loses answers; leases lapse, keys are
    // taken away and history is dropped. Requests are served throughout, a change
    // made right after is in force in time, and entries come back.
    run(async {
        let fleet = serving(2).await;
        for (version, down) in [(20, Down::Busy), (21, Down::TooMany), (22, Down::Silent)] {
            fleet.store.fault(|faults| faults.down = Some(down));
            for n in 0..20 {
                let id = format!("out-{version}-{n}");
                assert_eq!(fleet.status(n % 2, "/notices/1", &id).await, Some(200));
            }
            fleet.store.drop_history();
            fleet.store.lapse_leases();
            fleet.store.fault(|faults| {
                faults.down = None;
                faults.lose_answers = 1;
            });
            let prefix = format!("/v{version}/");
            fleet.put_config(version, &["/notices/", &prefix]);
            let back = Instant::now();
            let path = format!("{prefix}1");
            let served = async |fleet: &HostedFleet| fleet.status(0, &path, "v").await;
            assert!(fleet.wait(async |fleet| served(fleet).await == Some(200)).await);
            assert!(back.elapsed() < IN_FORCE + IN_FORCE, "{down:?} {:?}", back.elapsed());
        }
        fleet.store.revoke("cicadashift/daemon/");
        let entries =
            async |fleet: &HostedFleet| fleet.store.keys("cicadashift/daemon/").len() == 2;
        let until = Instant::now() + Duration::from_secs(20);
        while !entries(&fleet).await && Instant::now() < until {
            smol::Timer::after(Duration::from_millis(100)).await;
        }
        assert!(entries(&fleet).await);
    });
}

#[test]
fn one_machine_that_the_store_turns_away_follows_through_its_peers() {
    // The way from one daemon to the store is cut while a version is accepted.
    // Its callers get the new route as well, since members tell it.
    run(async {
        let fleet = serving(3).await;
        fleet.nodes[2].store_link.cut(true);
        fleet.put_config(30, &["/newer/"]);
        let served = async |fleet: &HostedFleet| fleet.status(2, "/newer/1", "n").await;
        assert!(fleet.wait(async |fleet| served(fleet).await == Some(200)).await);
        fleet.nodes[2].store_link.cut(false);
    });
}

#[test]
fn an_answer_to_another_request_reaches_nobody() {
    // Every instance answers with another request's id. A request that may not be
    // repeated is answered as unknown and ran once; its caller never sees the
    // foreign answer.
    run(async {
        let fleet = serving(2).await;
        fleet.put_config(40, &["/lift/"]);
        let known = async |fleet: &HostedFleet| fleet.status(0, "/lift/1", "k").await;
        assert!(fleet.wait(async |fleet| known(fleet).await == Some(200)).await);
        for node in &fleet.nodes {
            node.instance.set_manner(Manner::WrongId);
        }
        for n in 0..10 {
            let id = format!("wrong-{n}");
            let res = fleet.call(0, Method::POST, "/lift/1", &id).await.expect("an answer");
            assert_eq!(res.status().as_u16(), 502);
            assert!(!res.headers().contains_key("x-server-stamp"));
            assert_eq!(fleet.ledger.count(&id), 1);
        }
    });
}

#[test]
fn what_an_instance_refuses_is_tried_elsewhere_and_what_it_fails_is_told() {
    // One of two instances sheds everything: requests of both kinds are served by
    // the other and ran once. Then both fail: the caller gets an instance's own
    // 500 with its stamp.
    run(async {
        let fleet = serving(2).await;
        fleet.put_config(50, &["/notices/", "/lift/"]);
        let known = async |fleet: &HostedFleet| fleet.status(0, "/lift/1", "k").await;
        assert!(fleet.wait(async |fleet| known(fleet).await == Some(200)).await);
        fleet.nodes[0].instance.set_manner(Manner::Shedding);
        for n in 0..6 {
            let id = format!("shed-{n}");
            let path = if n % 2 == 0 { "/lift/1" } else { "/notices/1" };
            let res = fleet.call(0, Method::POST, path, &id).await.expect("an answer");
            assert_eq!(res.status().as_u16(), 200, "{}", fleet.log(0));
            assert_eq!(fleet.ledger.count(&id), 1);
        }
        for node in &fleet.nodes {
            node.instance.set_manner(Manner::Failing);
        }
        let res = fleet.call(0, Method::GET, "/notices/1", "fails").await.expect("an answer");
        assert_eq!(res.status().as_u16(), 500);
        assert!(res.headers().contains_key("x-server-stamp"));
    });
}

#[test]
fn a_lost_answer_is_asked_for_elsewhere_before_the_deadline() {
    // One instance runs requests and never answers. A lookup is answered by the
    // other well before its deadline, once the first is late for its kind.
    run(async {
        let fleet = serving(2).await;
        for n in 0..60 {
            fleet.status(0, "/notices/1", &format!("learn-{n}")).await;
        }
        fleet.nodes[0].instance.set_manner(Manner::Silent);
        let began = Instant::now();
        for n in 0..4 {
            let status = fleet.status(0, "/notices/1", &format!("lost-{n}")).await;
            assert_eq!(status, Some(200), "{}", fleet.log(0));
        }
        assert!(began.elapsed() < Duration::from_millis(4 * 700), "{:?}", began.elapsed());
    });
}

#[test]
fn requests_of_one_connection_run_beside_each_other_if_they_may_run_twice() {
    // A caller sends two lookups and a notice to be lifted on one connection, and
    // nothing is answered. The second lookup reaches an instance while the first is at
    // work there; the lift does not, since the answers before it might still close the
    // connection, and its caller would then send it again.
    run(async {
        let fleet = serving(1).await;
        fleet.put_config(2, &["/notices/", "/lift/"]);
        let served = async |fleet: &HostedFleet| fleet.status(0, "/lift/0", "k").await;
        assert!(fleet.wait(async |fleet| served(fleet).await == Some(200)).await);
        fleet.nodes[0].instance.set_work(Duration::from_secs(60));
        let head = |line: &str, id: &str| {
            format!("{line} HTTP/1.1\r\nhost: notices.example\r\nx-request-id: {id}\r\n\r\n")
        };
        let sent = head("GET /notices/1", "first")
            + &head("GET /notices/2", "second")
            + &head("POST /lift/1", "third");
        let callers = fleet.nodes[0].callers;
        let mut caller = smol::Async::<std::net::TcpStream>::connect(callers).await.expect("up");
        caller.write_all(sent.as_bytes()).await.expect("the daemon takes it");
        let ran = |fleet: &HostedFleet, id: &str| fleet.ledger.count(id) == 1;
        let both = async |fleet: &HostedFleet| ran(fleet, "first") && ran(fleet, "second");
        assert!(fleet.wait(both).await, "{}", fleet.log(0));
        assert_eq!(fleet.nodes[0].instance.abandoned(), Vec::<String>::new());
        assert_eq!(fleet.ledger.count("third"), 0);
    });
}

#[test]
fn an_instance_stops_working_for_a_caller_that_left() {
    // A caller at one host asks for something that takes two seconds on another host,
    // and closes its connection after 300 ms. The close passes both daemons, and the
    // instance ends its work within half a second instead of holding a slot.
    run(async {
        let fleet = serving(2).await;
        assert!(fleet.nodes[0].instance.drain().await);
        fleet.nodes[1].instance.set_work(Duration::from_secs(2));
        let caller = fleet.caller(0);
        let asking = caller.call(Method::GET, "/notices/1", "left");
        let gone = async {
            smol::Timer::after(Duration::from_millis(300)).await;
            None
        };
        assert!(smol::future::or(asking, gone).await.is_none());
        drop(caller);
        let left = Instant::now();
        let ended = async |fleet: &HostedFleet| fleet.nodes[1].instance.abandoned() == ["left"];
        assert!(fleet.wait(ended).await, "{}", fleet.log(1));
        assert!(left.elapsed() < Duration::from_millis(500), "{:?}", left.elapsed());
    });
}

#[test]
fn large_answers_on_a_narrow_link_hold_no_slot_and_no_small_answer() {
    // A host's link carries 2 Mbit/s, so a document of 240 KB takes a second. Two
    // callers fetch one at once from an instance with one slot. A lookup right
    // behind them is answered while they are still being sent, since the slot is
    // free again, and both documents arrive whole.
    run(async {
        let mut fleet = serving(1).await;
        fleet.kill(0);
        fleet.nodes[0].instance.set_slots(1);
        fleet.change_settings(0, "link_mbps", json!(2.0));
        fleet.put_config(2, &["/notices/", "/lookups/"]);
        fleet.restart(0);
        assert!(fleet.wait(async |fleet: &HostedFleet| fleet.is_ready(0).await).await);
        let first = async |fleet: &HostedFleet| fleet.status(0, "/lookups/1", "first").await;
        assert!(fleet.wait(async |fleet| first(fleet).await == Some(200)).await);
        let began = Instant::now();
        let ids: Vec<String> = (0..2).map(|n| format!("document-{n}")).collect();
        let documents = async {
            let answers = fleet.answers(0, "/notices/large", &ids).await;
            (answers, began.elapsed())
        };
        let lookup = async {
            smol::Timer::after(Duration::from_millis(100)).await;
            let asked = Instant::now();
            (fleet.status(0, "/lookups/1", "lookup").await, asked.elapsed())
        };
        let ((answers, last), (status, took)) = smol::future::zip(documents, lookup).await;
        assert_eq!(status, Some(200), "{}", fleet.log(0));
        assert!(took < Duration::from_millis(400), "{took:?}");
        for (id, res) in ids.iter().zip(&answers) {
            let res = res.as_ref().expect("an answer");
            assert_eq!(res.status().as_u16(), 200);
            assert_eq!(*res.body(), id.repeat(LARGE_BYTES / id.len()));
        }
        assert!(last > Duration::from_millis(1800), "both take two seconds: {last:?}");
    });
}

#[test]
fn another_instance_at_the_address_runs_nothing_meant_for_the_old() {
    // An instance ends and another takes its address without a word. Requests
    // meant for the old one are refused by it as not run and served elsewhere.
    // A report of the old one that was held up does not bring it back.
    run(async {
        let fleet = serving(2).await;
        fleet.nodes[0].instance.set_beats(false);
        fleet.nodes[0].instance.become_another("i-9");
        for n in 0..20 {
            let id = format!("moved-{n}");
            assert_eq!(fleet.status(0, "/notices/1", &id).await, Some(200), "{}", fleet.log(0));
            assert_eq!(fleet.ledger.count(&id), 1);
        }
        assert!(fleet.nodes[0].instance.beat_as("i-9", 1, false).await);
        assert!(fleet.nodes[0].instance.beat_as("i-0", 500, false).await);
        busy(&fleet);
        let again = async |fleet: &HostedFleet| {
            let before = fleet.nodes[0].instance.seen().len();
            let ids: Vec<String> = (0..24).map(|n| format!("again-{n}")).collect();
            fleet.statuses(0, "/notices/1", &ids).await;
            fleet.nodes[0].instance.seen().len() > before
        };
        assert!(fleet.wait(again).await, "{}", fleet.log(0));
    });
}

#[test]
fn an_instance_that_starts_again_under_its_id_is_another_one() {
    // An instance has counted its heartbeats to 900 and drains, which is acknowledged.
    // It starts again under its id and counts from zero. Callers are served by the new
    // start; a held-up heartbeat of the old one, that it drains, takes nothing away.
    run(async {
        let fleet = serving(1).await;
        let instance = &fleet.nodes[0].instance;
        assert!(instance.start_again(1_000).await);
        assert!(instance.beat_of_start("i-0", 1_000, 900, true).await);
        assert_eq!(fleet.status(0, "/notices/1", "drained").await, Some(503));
        assert!(instance.start_again(2_000).await);
        assert_eq!(fleet.status(0, "/notices/1", "new").await, Some(200), "{}", fleet.log(0));
        assert!(instance.beat_of_start("i-0", 1_000, 901, true).await);
        assert!(instance.beat_of_start("i-0", 0, 902, true).await);
        for n in 0..10 {
            let status = fleet.status(0, "/notices/1", &format!("still-{n}")).await;
            assert_eq!(status, Some(200), "{}", fleet.log(0));
        }
    });
}

#[test]
fn an_instance_that_left_may_start_again_under_its_id() {
    // An instance says that it is gone, and a late heartbeat of it brings nothing back.
    // It starts again under its id and is served to callers.
    run(async {
        let fleet = serving(1).await;
        let instance = &fleet.nodes[0].instance;
        assert!(instance.start_again(1_000).await);
        assert!(instance.leave().await);
        assert!(instance.beat_of_start("i-0", 1_000, 50, false).await);
        assert_eq!(fleet.status(0, "/notices/1", "gone").await, Some(503));
        assert!(instance.start_again(2_000).await);
        assert_eq!(fleet.status(0, "/notices/1", "back").await, Some(200), "{}", fleet.log(0));
    });
}

#[test]
fn a_frozen_host_gets_nothing_until_it_wakes() {
    // One of three daemons is frozen. Lookups of the others are answered within
    // their time from the first moment on; after it wakes it is used again, and
    // what waited at it while it slept is not run for callers who are gone.
    run(async {
        let fleet = serving(3).await;
        for n in 0..60 {
            fleet.status(0, "/notices/1", &format!("learn-{n}")).await;
        }
        fleet.signal(1, "-STOP");
        let mut slow = 0;
        for n in 0..40 {
            let began = Instant::now();
            let status = fleet.status(0, "/notices/1", &format!("frozen-{n}")).await;
            assert_eq!(status, Some(200), "frozen-{n}: {}", last_lines(&fleet.log(0)));
            slow += u32::from(began.elapsed() > Duration::from_millis(900));
        }
        assert!(slow <= 1, "{slow} were slow: {}", fleet.log(0));
        fleet.signal(1, "-CONT");
        busy(&fleet);
        let used = async |fleet: &HostedFleet| {
            let before = fleet.nodes[1].instance.seen().len();
            let ids: Vec<String> = (0..24).map(|n| format!("awake-{n}")).collect();
            fleet.statuses(0, "/notices/1", &ids).await;
            fleet.nodes[1].instance.seen().len() > before
        };
        let events = |log: &str| {
            let lines = log.lines().filter(|line| !line.contains("\"event\""));
            lines.map(|line| format!("{line}\n")).collect::<String>()
        };
        let story = || format!("{}{}", events(&fleet.log(0)), events(&fleet.log(1)));
        assert!(fleet.wait(used).await, "{}", story());
    });
}

#[test]
fn a_daemon_that_starts_again_finds_its_instance_before_the_next_report() {
    // A daemon is started again beside an instance that lives on and has just
    // reported. Until its next report nobody could send to it, although it has all
    // slots free: its service is short of one upstream for as long. So the daemon
    // asks it who it is.
    run(async {
        let mut fleet = serving(2).await;
        fleet.nodes[1].instance.set_beats(false);
        fleet.kill(1);
        fleet.restart(1);
        let known = fleet.wait(async |fleet: &HostedFleet| fleet.knows(1, 2).await).await;
        assert!(known, "{}", last_lines(&fleet.log(1)));
        assert_eq!(fleet.status(1, "/notices/1", "after").await, Some(200));
    });
}

#[test]
fn a_stopping_daemon_serves_what_others_send_until_it_tells_them() {
    // A daemon is stopped as planned. Its callers have two seconds to move; meanwhile
    // the instance beside it can go on serving what others send. If the stop is told
    // at once it gets nothing more from the first moment on, and its slots stand
    // empty.
    run(async {
        let fleet = serving(2).await;
        fleet.change_settings(1, "limits", json!({"leave_ms": 2400, "finish_ms": 3000}));
        fleet.signal(1, "-HUP");
        let taken = async |fleet: &HostedFleet| fleet.log(1).contains("): done");
        assert!(fleet.wait(taken).await, "{}", last_lines(&fleet.log(1)));
        fleet.signal(1, "-TERM");
        let gone = fleet.wait(async |fleet: &HostedFleet| !fleet.is_ready(1).await).await;
        assert!(gone, "it still says that it takes work");
        busy(&fleet);
        let ids: Vec<String> = (0..16).map(|i| format!("r{i}")).collect();
        let answers = fleet.answers(0, "/notices/1", &ids).await;
        let answers: Vec<_> = answers.into_iter().flatten().collect();
        assert!(answers.iter().all(|res| res.status().as_u16() == 200), "{answers:?}");
        let by_stopping = answers.iter().filter(|res| res.body().starts_with("i-1 ")).count();
        assert!(by_stopping > 0, "the instance beside the stopping daemon got nothing");
    });
}

#[test]
fn a_stopping_daemon_waits_for_an_answer_although_its_host_is_silent() {
    // A lookup runs at the only instance, behind another daemon, when the daemon
    // of its caller is told to stop. Then the other one stands still for longer
    // than it takes to be called silent, and goes on. The caller gets the
    // instance's answer: a planned stop gives nothing up that is being worked on.
    run(async {
        let fleet = serving(2).await;
        assert!(fleet.nodes[0].instance.drain().await);
        fleet.nodes[1].instance.set_work(Duration::from_millis(900));
        let call = fleet.status(0, "/notices/1", "waits");
        let faults = async {
            smol::Timer::after(Duration::from_millis(100)).await;
            fleet.signal(0, "-TERM");
            fleet.signal(1, "-STOP");
            smol::Timer::after(Duration::from_millis(700)).await;
            fleet.signal(1, "-CONT");
        };
        let (status, ()) = smol::future::zip(call, faults).await;
        assert_eq!(status, Some(200), "{}", last_lines(&fleet.log(0)));
    });
}

/// Makes requests take so long that a few at once are too many for one instance.
fn busy(fleet: &HostedFleet) {
    for node in &fleet.nodes {
        node.instance.set_work(Duration::from_millis(100));
    }
}

/// Returns the end of a log, where the cause of a failure stands.
fn last_lines(log: &str) -> String {
    let lines: Vec<&str> = log.lines().collect();
    lines[lines.len().saturating_sub(12)..].join("\n")
}
