//! Numbers from the wire at their extremes, stated by instances, in their reports and by
//! callers. The daemons are real processes.

mod common;

use cicadashift_testkit::hosted::fleet::HostedFleet;
use common::run;
use std::path::Path;

/// Values that stand where a number is expected.
const EXTREMES: [&str; 12] = [
    "18446744073709551615",
    "18446744073709551616",
    "9223372036854775807",
    "13200000000000000000",
    "4294967295",
    "65535",
    "1e308",
    "inf",
    "NaN",
    "-1",
    "0",
    "",
];

/// Sends requests to both daemons, and checks that these still run and answer.
async fn serves(fleet: &mut HostedFleet, value: &str, headers: &[(&str, &str)]) {
    for n in 0..8 {
        let id = format!("stated-{value}-{n}");
        let _any_answer = fleet.call_with(n % 2, "/notices/1", &id, headers).await;
    }
    for i in 0..2 {
        assert_eq!(fleet.exit_code(i), None, "{value:?} ended daemon {i}: {}", fleet.log(i));
        let served = fleet.wait(async |fleet: &HostedFleet| {
            fleet.status(i, "/notices/1", &format!("plain-{value}-{i}")).await == Some(200)
        });
        assert!(served.await, "{value:?}: {}", fleet.log(i));
    }
}

async fn serving() -> HostedFleet {
    HostedFleet::serving(Path::new(env!("CARGO_BIN_EXE_cicadashift")), 2).await
}

#[test]
fn no_number_in_an_answer_ends_a_daemon() {
    // Guards against arithmetic on a number that an instance states, such as a keep-alive time
    // that overflows when it is added to the time of day.
    run(async {
        let mut fleet = serving().await;
        for value in EXTREMES {
            fleet.daemons[0].instance.state_headers(vec![
                ("keep-alive", format!("timeout={value}")),
                ("retry-after", value.to_string()),
                ("server-limit", value.to_string()),
                ("x-server-load", format!("{value},{value},{value},{value}")),
            ]);
            serves(&mut fleet, value, &[]).await;
        }
    });
}

#[test]
fn no_number_in_a_report_ends_a_daemon() {
    // Guards against arithmetic on a number in a heartbeat. One that cannot be read names no
    // instance, and the others hold.
    run(async {
        let mut fleet = serving().await;
        for value in EXTREMES {
            let number = if value.is_empty() { "null" } else { value };
            for id in ["i-0", "i-7"] {
                fleet.daemons[0].instance.send_heartbeat_with_number(id, number).await;
            }
            serves(&mut fleet, value, &[]).await;
        }
    });
}

#[test]
fn no_number_of_a_caller_ends_a_daemon() {
    // Guards against arithmetic on a deadline that a caller states.
    run(async {
        let mut fleet = serving().await;
        for value in EXTREMES {
            let headers = [
                ("x-deadline-ms", value),
                ("cicadashift-deadline-ms", value),
                ("cicadashift-attempts", value),
                ("keep-alive", value),
            ];
            serves(&mut fleet, value, &headers).await;
        }
    });
}
