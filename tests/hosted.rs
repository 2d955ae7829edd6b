//! Tests of the interface to the users' platform, with real processes: requests from caller to
//! instance, configuration changes, drains, stops and failures. The store and the instances
//! are test doubles that implement the published protocol.

mod common;

use cicadashift_http::hyper::Method;
use cicadashift_testkit::hosted::fleet::{HostedFleet, config};
use cicadashift_testkit::hosted::instance::{AnswerMode, LARGE_BYTES};
use cicadashift_testkit::hosted::store::{CONFIG_KEY, Outage};
use common::run;
use serde_json::json;
use smol::io::AsyncWriteExt;
use std::path::Path;
use std::time::{Duration, Instant};

/// Longest time from the acceptance of a change until it is in force.
const IN_FORCE: Duration = Duration::from_secs(2);

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_cicadashift"))
}

async fn serving(count: usize) -> HostedFleet {
    HostedFleet::serving(program(), count).await
}

#[test]
fn a_request_gets_its_own_complete_answer_from_any_host() {
    // Callers at three daemons each get the answer to their own request, from instances on any
    // host. The instance sees the caller's service as the daemon set it, not as the caller
    // claimed, and a deadline no longer than that of the caller.
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
        for node in &fleet.daemons {
            for (service, deadline) in node.instance.caller_headers() {
                assert_eq!(service, "notice");
                assert!(deadline.parse::<u64>().expect("a number") <= 1500, "{deadline}");
            }
        }
    });
}

#[test]
fn a_change_is_in_force_everywhere_in_time_and_never_goes_back() {
    // One route is removed and another added. Within two seconds each daemon serves the new
    // route and answers 404 for the old one. An older version that is written afterwards
    // changes nothing.
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
fn a_change_reaches_hosts_that_do_not_follow_the_store() {
    // Eight hosts, six of them in one failure domain, where only two follow the store. Each of
    // several successive versions is in force in time on all hosts; those that do not follow
    // the store fetch the delta from a follower. When one follower is killed, its members turn
    // to the other. Then all followers of both domains are killed at the moment in which a
    // change is accepted: the other daemons notice within about a second, read the store
    // themselves, and have the change in force in time as well.
    run(async {
        let mut fleet = serving(8).await;
        let two_per_domain = async |fleet: &HostedFleet| fleet.followers().await.len() == 4;
        assert!(fleet.wait(two_per_domain).await, "{:?}", fleet.followers().await);
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
        assert!(fleet.wait(two_per_domain).await, "{:?}", fleet.followers().await);
        let followers = fleet.followers().await;
        for i in &followers {
            fleet.kill(*i);
        }
        fleet.put_config(8, &["/notices/", "/after/"]);
        others.retain(|i| !followers.contains(i));
        in_force(&fleet, &others, "/after/").await;
    });
}

/// Waits until `daemons` serve a route that was just accepted, and checks that each does so in
/// time.
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
fn an_invalid_configuration_changes_nothing_and_is_logged() {
    // The store delivers configurations that are truncated, route to a service that is not
    // listed, have no timeout, or have a prefix without its slash. Each is rejected with a log
    // line, the last valid configuration stays in force, and the next valid one is accepted.
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
            let is_rejected = async |fleet: &HostedFleet| {
                fleet.log(0).matches("does not come into force").count() > before
            };
            assert!(fleet.wait(is_rejected).await, "{text}: {}", fleet.log(0));
            assert_eq!(fleet.status(0, "/notices/1", "kept").await, Some(200));
        }
        fleet.put_config(10, &["/good/"]);
        let good = async |fleet: &HostedFleet| fleet.status(0, "/good/1", "g").await == Some(200);
        assert!(fleet.wait(good).await);
    });
}

#[test]
fn an_instance_that_leaves_gets_no_requests_after_the_acknowledgement() {
    // One instance reports that it drains, another deregisters but goes on serving. Callers at
    // all daemons are served by the third, and no request that is sent after the
    // acknowledgements reaches the other two.
    run(async {
        let fleet = serving(3).await;
        assert!(fleet.daemons[0].instance.drain().await);
        assert!(fleet.daemons[1].instance.leave().await);
        let seen = [0, 1].map(|i| fleet.daemons[i].instance.caller_headers().len());
        for n in 0..60 {
            let status = fleet.status(n % 3, "/notices/1", &format!("after-{n}")).await;
            assert_eq!(status, Some(200));
        }
        assert_eq!([0, 1].map(|i| fleet.daemons[i].instance.caller_headers().len()), seen);
        // A delayed report from before the drain does not bring an instance back.
        assert!(fleet.daemons[0].instance.send_heartbeat_as("i-0", 0, false).await);
        assert!(fleet.daemons[1].instance.send_heartbeat_as("i-1", 99, false).await);
        for n in 0..20 {
            fleet.status(n % 3, "/notices/1", &format!("late-{n}")).await;
        }
        assert_eq!([0, 1].map(|i| fleet.daemons[i].instance.caller_headers().len()), seen);
    });
}

#[test]
fn a_planned_stop_interrupts_no_request() {
    // One daemon is stopped by SIGTERM while requests of 300 ms arrive at it and at another.
    // It reports at once that it is not ready, exits with code 0, and answers every request
    // that it has read.
    run(async {
        let mut fleet = serving(3).await;
        for node in &fleet.daemons {
            node.instance.set_service_time(Duration::from_millis(300));
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
        // The stopping daemon serves until its peers and callers have moved.
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
fn settings_are_reloaded_and_invalid_ones_rejected() {
    // SIGHUP reloads the settings file. An invalid file leaves the old settings in force, and
    // the log names the reason. A change of the file is also detected without a signal.
    // Requests are still served afterwards.
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
fn a_restart_without_the_store_takes_the_configuration_from_a_member() {
    // The store stops answering, and a daemon is killed and restarted. It answers 503, never
    // 404, until a member contacts it; then it serves the configuration of that member.
    run(async {
        let mut fleet = serving(3).await;
        fleet.put_config(5, &["/newer/"]);
        for i in 0..3 {
            let newer = async |fleet: &HostedFleet| fleet.status(i, "/newer/1", "n").await;
            assert!(fleet.wait(async |fleet| newer(fleet).await == Some(200)).await);
        }
        fleet.store.change_faults(|faults| faults.down = Some(Outage::Silent));
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
fn a_daemon_without_a_configuration_refuses_requests_as_not_run() {
    // All daemons start while the store does not answer. Callers get 503 with a short
    // Retry-After, never 404, and the daemons are not ready. When the store answers again,
    // they serve requests: the target is two seconds, and the test allows four.
    run(async {
        let fleet = HostedFleet::start(program(), 2);
        fleet.store.change_faults(|faults| faults.down = Some(Outage::Silent));
        fleet.put_config(1, &["/notices/"]);
        let up = async |fleet: &HostedFleet| fleet.status(0, "/notices/1", "early").await.is_some();
        assert!(fleet.wait(up).await);
        let res = fleet.call(0, Method::GET, "/notices/1", "early-2").await.expect("an answer");
        assert_eq!(res.status().as_u16(), 503);
        let wait: f64 = res.headers()["retry-after"].to_str().expect("text").parse().expect("s");
        assert!((0.1..=1.0).contains(&wait), "{wait}");
        assert!(!fleet.is_ready(0).await);
        fleet.store.change_faults(|faults| faults.down = None);
        let back = Instant::now();
        let served = async |fleet: &HostedFleet| fleet.status(0, "/notices/1", "s").await;
        assert!(fleet.wait(async |fleet| served(fleet).await == Some(200)).await);
        assert!(back.elapsed() < Duration::from_secs(4), "{:?}", back.elapsed());
    });
}

#[test]
fn no_outage_of_the_store_affects_callers() {
    // The store answers that it is busy, that calls are over its rate, or not at all; then its
    // history is dropped, leases expire and an answer is lost. Requests are served during each
    // outage, and a change right after it is in force within four seconds. Entries of daemons
    // that the store revokes are written again.
    run(async {
        let fleet = serving(2).await;
        for (version, down) in [(20, Outage::Busy), (21, Outage::TooMany), (22, Outage::Silent)] {
            fleet.store.change_faults(|faults| faults.down = Some(down));
            for n in 0..20 {
                let id = format!("out-{version}-{n}");
                assert_eq!(fleet.status(n % 2, "/notices/1", &id).await, Some(200));
            }
            fleet.store.drop_history();
            fleet.store.expire_all_leases();
            fleet.store.change_faults(|faults| {
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
        fleet.store.delete_prefix("cicadashift/daemon/");
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
fn a_host_cut_off_from_the_store_gets_changes_from_members() {
    // The link from one daemon to the store is cut while a version is accepted. Its callers
    // get the new route as well, since the daemon fetches the version from a member.
    run(async {
        let fleet = serving(3).await;
        fleet.daemons[2].store_link.cut(true);
        fleet.put_config(30, &["/newer/"]);
        let served = async |fleet: &HostedFleet| fleet.status(2, "/newer/1", "n").await;
        assert!(fleet.wait(async |fleet| served(fleet).await == Some(200)).await);
        fleet.daemons[2].store_link.cut(false);
    });
}

#[test]
fn an_answer_to_another_request_reaches_no_caller() {
    // Every instance answers with the id of another request. A request that must not be
    // repeated runs once, and its caller gets 502 for the unknown outcome, never the answer to
    // the other request.
    run(async {
        let fleet = serving(2).await;
        fleet.put_config(40, &["/lift/"]);
        let known = async |fleet: &HostedFleet| fleet.status(0, "/lift/1", "k").await;
        assert!(fleet.wait(async |fleet| known(fleet).await == Some(200)).await);
        for node in &fleet.daemons {
            node.instance.set_answer_mode(AnswerMode::WrongId);
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
fn a_shed_request_is_retried_elsewhere_and_a_failure_is_passed_on() {
    // One of two instances sheds all requests: idempotent and other requests are served by the
    // other instance, and each runs once. Then both instances fail: the caller gets the 500
    // response of an instance, with the instance's stamp.
    run(async {
        let fleet = serving(2).await;
        fleet.put_config(50, &["/notices/", "/lift/"]);
        let known = async |fleet: &HostedFleet| fleet.status(0, "/lift/1", "k").await;
        assert!(fleet.wait(async |fleet| known(fleet).await == Some(200)).await);
        fleet.daemons[0].instance.set_answer_mode(AnswerMode::Shedding);
        for n in 0..6 {
            let id = format!("shed-{n}");
            let path = if n % 2 == 0 { "/lift/1" } else { "/notices/1" };
            let res = fleet.call(0, Method::POST, path, &id).await.expect("an answer");
            assert_eq!(res.status().as_u16(), 200, "{}", fleet.log(0));
            assert_eq!(fleet.ledger.count(&id), 1);
        }
        for node in &fleet.daemons {
            node.instance.set_answer_mode(AnswerMode::Failing);
        }
        let res = fleet.call(0, Method::GET, "/notices/1", "fails").await.expect("an answer");
        assert_eq!(res.status().as_u16(), 500);
        assert!(res.headers().contains_key("x-server-stamp"));
    });
}

#[test]
fn an_unanswered_lookup_is_hedged_before_its_deadline() {
    // One instance runs requests and never answers. Once its answer to a lookup is late for
    // this kind of request, a second attempt gets the answer from the other instance, well
    // before the deadline.
    run(async {
        let fleet = serving(2).await;
        for n in 0..60 {
            fleet.status(0, "/notices/1", &format!("learn-{n}")).await;
        }
        fleet.daemons[0].instance.set_answer_mode(AnswerMode::Silent);
        let began = Instant::now();
        for n in 0..4 {
            let status = fleet.status(0, "/notices/1", &format!("lost-{n}")).await;
            assert_eq!(status, Some(200), "{}", fleet.log(0));
        }
        assert!(began.elapsed() < Duration::from_millis(4 * 700), "{:?}", began.elapsed());
    });
}

#[test]
fn pipelined_requests_run_concurrently_if_they_are_idempotent() {
    // A caller pipelines two lookups and a POST that must not be repeated on one connection,
    // and none is answered yet. The second lookup reaches an instance while the first still
    // runs there. The POST does not: an earlier answer might still close the connection, and
    // its caller would then send it again.
    run(async {
        let fleet = serving(1).await;
        fleet.put_config(2, &["/notices/", "/lift/"]);
        let served = async |fleet: &HostedFleet| fleet.status(0, "/lift/0", "k").await;
        assert!(fleet.wait(async |fleet| served(fleet).await == Some(200)).await);
        fleet.daemons[0].instance.set_service_time(Duration::from_secs(60));
        let head = |line: &str, id: &str| {
            format!("{line} HTTP/1.1\r\nhost: notices.example\r\nx-request-id: {id}\r\n\r\n")
        };
        let sent = head("GET /notices/1", "first")
            + &head("GET /notices/2", "second")
            + &head("POST /lift/1", "third");
        let callers = fleet.daemons[0].callers;
        let mut caller = smol::Async::<std::net::TcpStream>::connect(callers).await.expect("up");
        caller.write_all(sent.as_bytes()).await.expect("the daemon takes it");
        let ran = |fleet: &HostedFleet, id: &str| fleet.ledger.count(id) == 1;
        let both = async |fleet: &HostedFleet| ran(fleet, "first") && ran(fleet, "second");
        assert!(fleet.wait(both).await, "{}", fleet.log(0));
        assert_eq!(fleet.daemons[0].instance.abandoned(), Vec::<String>::new());
        assert_eq!(fleet.ledger.count("third"), 0);
    });
}

#[test]
fn a_request_is_abandoned_when_its_caller_disconnects() {
    // A caller at one host sends a request that takes two seconds on another host, and closes
    // its connection after 300 ms. Both daemons pass the close on, and the instance ends its
    // work within half a second instead of holding a slot.
    run(async {
        let fleet = serving(2).await;
        assert!(fleet.daemons[0].instance.drain().await);
        fleet.daemons[1].instance.set_service_time(Duration::from_secs(2));
        let caller = fleet.caller(0);
        let asking = caller.call(Method::GET, "/notices/1", "left");
        let disconnect = async {
            smol::Timer::after(Duration::from_millis(300)).await;
            None
        };
        assert!(smol::future::or(asking, disconnect).await.is_none());
        drop(caller);
        let left = Instant::now();
        let ended = async |fleet: &HostedFleet| fleet.daemons[1].instance.abandoned() == ["left"];
        assert!(fleet.wait(ended).await, "{}", fleet.log(1));
        assert!(left.elapsed() < Duration::from_millis(500), "{:?}", left.elapsed());
    });
}

#[test]
fn large_answers_on_a_narrow_link_block_neither_slots_nor_small_answers() {
    // A host's link carries 2 Mbit/s, so that a document of 240 KB takes a second. Two callers
    // fetch one each at the same time from an instance with one slot. A lookup sent 100 ms
    // later is answered while both are still being sent, since the slot is free again, and
    // both documents arrive complete.
    run(async {
        let mut fleet = serving(1).await;
        fleet.kill(0);
        fleet.daemons[0].instance.set_slots(1);
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
fn a_new_instance_at_an_address_runs_no_request_meant_for_the_old_one() {
    // An instance ends and another takes its address without a report. The new instance
    // refuses requests meant for the old one as not run, and they are served elsewhere. After
    // its first report the new instance gets requests, also if a delayed report of the old
    // instance arrives.
    run(async {
        let fleet = serving(2).await;
        fleet.daemons[0].instance.set_heartbeats(false);
        fleet.daemons[0].instance.replace_id("i-9");
        for n in 0..20 {
            let id = format!("moved-{n}");
            assert_eq!(fleet.status(0, "/notices/1", &id).await, Some(200), "{}", fleet.log(0));
            assert_eq!(fleet.ledger.count(&id), 1);
        }
        assert!(fleet.daemons[0].instance.send_heartbeat_as("i-9", 1, false).await);
        assert!(fleet.daemons[0].instance.send_heartbeat_as("i-0", 500, false).await);
        slow_instances(&fleet);
        let again = async |fleet: &HostedFleet| {
            let before = fleet.daemons[0].instance.caller_headers().len();
            let ids: Vec<String> = (0..24).map(|n| format!("again-{n}")).collect();
            fleet.statuses(0, "/notices/1", &ids).await;
            fleet.daemons[0].instance.caller_headers().len() > before
        };
        assert!(fleet.wait(again).await, "{}", fleet.log(0));
    });
}

#[test]
fn an_instance_restarted_under_its_id_replaces_the_old_start() {
    // An instance has counted its heartbeats to 900 and drains, which is acknowledged. It
    // restarts under its id and counts from zero. Callers are served by the new start, and
    // delayed heartbeats of the old start that report draining do not change this.
    run(async {
        let fleet = serving(1).await;
        let instance = &fleet.daemons[0].instance;
        assert!(instance.restart_at(1_000).await);
        assert!(instance.send_heartbeat_of_incarnation("i-0", 1_000, 900, true).await);
        assert_eq!(fleet.status(0, "/notices/1", "drained").await, Some(503));
        assert!(instance.restart_at(2_000).await);
        assert_eq!(fleet.status(0, "/notices/1", "new").await, Some(200), "{}", fleet.log(0));
        assert!(instance.send_heartbeat_of_incarnation("i-0", 1_000, 901, true).await);
        assert!(instance.send_heartbeat_of_incarnation("i-0", 0, 902, true).await);
        for n in 0..10 {
            let status = fleet.status(0, "/notices/1", &format!("still-{n}")).await;
            assert_eq!(status, Some(200), "{}", fleet.log(0));
        }
    });
}

#[test]
fn an_instance_that_left_may_restart_under_its_id() {
    // An instance deregisters, and a late heartbeat of it does not bring it back. It restarts
    // under its id and gets requests again.
    run(async {
        let fleet = serving(1).await;
        let instance = &fleet.daemons[0].instance;
        assert!(instance.restart_at(1_000).await);
        assert!(instance.leave().await);
        assert!(instance.send_heartbeat_of_incarnation("i-0", 1_000, 50, false).await);
        assert_eq!(fleet.status(0, "/notices/1", "gone").await, Some(503));
        assert!(instance.restart_at(2_000).await);
        assert_eq!(fleet.status(0, "/notices/1", "back").await, Some(200), "{}", fleet.log(0));
    });
}

#[test]
fn a_frozen_host_gets_no_requests_until_it_resumes() {
    // One of three daemons is frozen. Lookups at another daemon succeed from the first moment
    // on, and at most one of 40 takes more than 900 ms. After the frozen daemon resumes, its
    // instance gets requests again.
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
        slow_instances(&fleet);
        let used = async |fleet: &HostedFleet| {
            let before = fleet.daemons[1].instance.caller_headers().len();
            let ids: Vec<String> = (0..24).map(|n| format!("awake-{n}")).collect();
            fleet.statuses(0, "/notices/1", &ids).await;
            fleet.daemons[1].instance.caller_headers().len() > before
        };
        let events = |log: &str| {
            let lines = log.lines().filter(|line| !line.contains("\"event\""));
            lines.map(|line| format!("{line}\n")).collect::<String>()
        };
        let logs = || format!("{}{}", events(&fleet.log(0)), events(&fleet.log(1)));
        assert!(fleet.wait(used).await, "{}", logs());
    });
}

#[test]
fn a_restarted_daemon_finds_its_instance_before_the_next_report() {
    // A daemon is restarted while the instance on its host goes on running and has just
    // reported. Until its next report no daemon could send it requests, although all its slots
    // are free, and its service would lack one upstream for that time. The daemon therefore
    // identifies the instance by a request to it.
    run(async {
        let mut fleet = serving(2).await;
        fleet.daemons[1].instance.set_heartbeats(false);
        fleet.kill(1);
        fleet.restart(1);
        let known = fleet.wait(async |fleet: &HostedFleet| fleet.sees_instances(1, 2).await).await;
        assert!(known, "{}", last_lines(&fleet.log(1)));
        assert_eq!(fleet.status(1, "/notices/1", "after").await, Some(200));
    });
}

#[test]
fn a_stopping_daemon_serves_forwarded_requests_until_it_announces_the_stop() {
    // A daemon makes a planned stop. Its callers have two seconds to move; meanwhile the
    // instance on its host can serve requests that other daemons forward. If the stop were
    // announced at once, the instance would get no more requests from the first moment on, and
    // its slots would stay empty.
    run(async {
        let fleet = serving(2).await;
        fleet.change_settings(1, "limits", json!({"leave_ms": 2400, "finish_ms": 3000}));
        fleet.signal(1, "-HUP");
        let taken = async |fleet: &HostedFleet| fleet.log(1).contains("): done");
        assert!(fleet.wait(taken).await, "{}", last_lines(&fleet.log(1)));
        fleet.signal(1, "-TERM");
        let gone = fleet.wait(async |fleet: &HostedFleet| !fleet.is_ready(1).await).await;
        assert!(gone, "the stopping daemon still reports that it is ready");
        slow_instances(&fleet);
        let ids: Vec<String> = (0..16).map(|i| format!("r{i}")).collect();
        let answers = fleet.answers(0, "/notices/1", &ids).await;
        let answers: Vec<_> = answers.into_iter().flatten().collect();
        assert!(answers.iter().all(|res| res.status().as_u16() == 200), "{answers:?}");
        let by_stopping = answers.iter().filter(|res| res.body().starts_with("i-1 ")).count();
        assert!(by_stopping > 0, "the instance on the host of the stopping daemon got no request");
    });
}

#[test]
fn a_stopping_daemon_waits_for_an_answer_although_its_host_is_silent() {
    // A lookup runs at the only instance, on the host of another daemon, when the daemon of its
    // caller is stopped. The other daemon is then frozen for longer than it takes to be marked
    // as silent, and resumes. The caller gets the instance's answer: a planned stop gives up no
    // call in flight.
    run(async {
        let fleet = serving(2).await;
        assert!(fleet.daemons[0].instance.drain().await);
        fleet.daemons[1].instance.set_service_time(Duration::from_millis(900));
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

/// Makes requests slow, so that one instance cannot run a few of them at once.
fn slow_instances(fleet: &HostedFleet) {
    for node in &fleet.daemons {
        node.instance.set_service_time(Duration::from_millis(100));
    }
}

/// Returns the last lines of a log, which show the cause of a failure.
fn last_lines(log: &str) -> String {
    let lines: Vec<&str> = log.lines().collect();
    lines[lines.len().saturating_sub(12)..].join("\n")
}
