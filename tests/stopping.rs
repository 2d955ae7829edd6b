//! Requests that come while a daemon stops.

mod common;

use cicadashift_http::exec;
use cicadashift_http::hyper::Method;
use cicadashift_testkit::hosted::fleet::{HostedFleet, config};
use cicadashift_testkit::hosted::instance::LARGE_BYTES;
use cicadashift_testkit::hosted::store::CONFIG_KEY;
use common::run;
use serde_json::json;
use std::path::Path;
use std::time::Duration;

#[test]
fn a_request_that_outlasts_the_stop_of_its_daemon_is_answered() {
    // A caller's request comes half a second after its daemon was told to stop, and its
    // upstream answers later than the daemon may live. The daemon must not end under it
    // without a word: the caller gets a whole answer that says that it may have run, and
    // can ask elsewhere.
    run(async {
        let program = Path::new(env!("CARGO_BIN_EXE_cicadashift"));
        let fleet = HostedFleet::serving(program, 2).await;
        let mut slow = config(2, &["/notices/"]);
        slow["VirtualHosts"][0]["Paths"][0]["TimeoutMs"] = json!(6000);
        fleet.store.put(CONFIG_KEY, slow.to_string().as_bytes());
        fleet.change_settings(0, "limits", json!({"leave_ms": 800, "finish_ms": 1200}));
        fleet.signal(0, "-HUP");
        let is_taken = async |fleet: &HostedFleet| {
            fleet.log(0).contains("version 2 is in force") && fleet.log(0).contains("reload (")
        };
        assert!(fleet.wait(is_taken).await, "{}", fleet.log(0));
        fleet.nodes.iter().for_each(|node| node.instance.set_work(Duration::from_millis(2600)));
        fleet.signal(0, "-TERM");
        smol::Timer::after(Duration::from_millis(400)).await;
        let caller = fleet.caller(0);
        let asking = exec::spawn(async move {
            caller.call(Method::GET, "/notices/slow", "late-1").await.map(|res| res.status())
        });
        let status = asking.await.map(|status| status.as_u16());
        assert_eq!(status, Some(504), "{}", fleet.log(0));
    });
}

#[test]
fn a_large_answer_leaves_whole_although_the_daemon_beside_its_upstream_stops() {
    // A caller fetches a document through another host. The daemon beside its upstream is
    // told to stop while the document leaves by a narrow link, which takes two and a half
    // seconds, and nothing else is under way there. It may not end before the document
    // has left, or the caller's connection breaks in the middle of the answer.
    run(async {
        let program = Path::new(env!("CARGO_BIN_EXE_cicadashift"));
        let mut fleet = HostedFleet::serving(program, 2).await;
        fleet.kill(0);
        fleet.change_settings(0, "link_mbps", json!(0.8));
        fleet.restart(0);
        let is_back = async |fleet: &HostedFleet| {
            fleet.is_ready(0).await && fleet.knows(1, 2).await && fleet.knows(0, 2).await
        };
        assert!(fleet.wait(is_back).await, "{}", fleet.log(0));
        let mut slow = config(2, &["/notices/"]);
        slow["VirtualHosts"][0]["Paths"][0]["TimeoutMs"] = json!(6000);
        slow["VirtualHosts"][0]["Paths"][0]["TargetLatencyMs"] = json!(5000);
        fleet.store.put(CONFIG_KEY, slow.to_string().as_bytes());
        let is_taken = async |fleet: &HostedFleet| {
            (0..2).all(|i| fleet.log(i).contains("version 2 is in force"))
        };
        assert!(fleet.wait(is_taken).await, "{}", fleet.log(1));
        assert!(fleet.nodes[1].instance.drain().await);
        let caller = fleet.caller(1);
        let asking =
            exec::spawn(async move { caller.call(Method::GET, "/notices/large", "large-1").await });
        smol::Timer::after(Duration::from_millis(300)).await;
        fleet.signal(0, "-TERM");
        let res = asking.await;
        let got = res.map(|res| (res.status().as_u16(), res.body().len()));
        let whole = "large-1".repeat(LARGE_BYTES / "large-1".len()).len();
        assert_eq!(got, Some((200, whole)), "{}{}", fleet.log(0), fleet.log(1));
    });
}
