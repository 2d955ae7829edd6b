//! What a daemon promised about the upstream on its host, and what it believes after a
//! restart. The daemons are real processes, the upstreams stand-in instances.

mod common;

use cicadashift_core::membership::reports::STARTUP_WINDOW;
use cicadashift_http::exec;
use cicadashift_http::hyper::Method;
use cicadashift_testkit::hosted::fleet::HostedFleet;
use cicadashift_testkit::hosted::instance::Instance;
use cicadashift_testkit::hosted::store::Outage;
use common::run;
use serde_json::json;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

/// Time after an acknowledged leaving from which the instance gets no new request.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time for which callers go on sending after that.
const CHECKED_TIME: Duration = Duration::from_secs(3);
/// Time in which heartbeats arrive late, also beyond ten seconds after a start.
const LONG_CHECKED_TIME: Duration = Duration::from_secs(17);
/// Time within which a report must be acknowledged.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);
/// Time within which an instance that neither reports nor is healthy must be out of use: the
/// report timeout, two health requests, and the time to spread it.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(9);
/// Sequence number of a heartbeat that is older than all others.
const OLD_SEQUENCE: u64 = 0;
/// Sequence number of the first heartbeat that was on its way when its instance left.
const LATE_SEQUENCE: u64 = 100_000;
/// Delay of all answers of a slow store.
const SLOW_STORE_DELAY: Duration = Duration::from_millis(900);
/// Time for which a daemon waits until another one remembers a leaving.
const REPLICATION_TIMEOUT: Duration = Duration::from_millis(500);
/// Time within which instances must be in use again after their daemons started: one second to
/// ask other daemons, and the time to spread it.
const RETURN_TIMEOUT: Duration = Duration::from_secs(3);

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_cicadashift"))
}

async fn serving(count: usize) -> HostedFleet {
    HostedFleet::serving(program(), count).await
}

/// Requests that a caller of each daemon sent, with the time of each.
type Sent = Vec<(String, Instant)>;

/// Starts two callers at each of these daemons, which send one request after the other until
/// `until`.
fn start_callers(fleet: &HostedFleet, daemons: &[usize], until: Instant) -> Vec<smol::Task<Sent>> {
    let start = |i: &usize| {
        let caller = fleet.caller(*i);
        let name = format!("{i}-{:08x}", fastrand::u32(..));
        exec::spawn(async move {
            let mut sent = Vec::new();
            while Instant::now() < until {
                let id = format!("{name}-{}", sent.len());
                sent.push((id.clone(), Instant::now()));
                caller.call(Method::GET, "/notices/1", &id).await;
                smol::Timer::after(Duration::from_millis(20)).await;
            }
            sent
        })
    };
    daemons.iter().chain(daemons).map(start).collect()
}

/// Returns how many of the callers' requests that were sent after `from` reached an instance.
async fn arrived_late(
    callers: Vec<smol::Task<Sent>>,
    instance: &Instance,
    from: Instant,
) -> (usize, usize) {
    let mut late = Vec::new();
    for caller in callers {
        let sent = caller.await;
        late.extend(sent.into_iter().filter(|(_, at)| *at > from).map(|(id, _)| id));
    }
    let arrivals = instance.arrivals();
    let count = arrivals.iter().filter(|arrival| late.contains(&arrival.id)).count();
    (count, late.len())
}

/// How an instance tells its daemon that it leaves.
#[derive(Clone, Copy, Debug)]
enum Leaving {
    Draining,
    Withdrawn,
}

/// Has an instance leave, and checks that this is acknowledged in time.
async fn leave(instance: &Instance, how: Leaving) -> Instant {
    let began = Instant::now();
    let is_acknowledged = match how {
        Leaving::Draining => instance.drain().await,
        Leaving::Withdrawn => instance.leave().await,
    };
    assert!(is_acknowledged, "{how:?}");
    assert!(began.elapsed() < ACK_TIMEOUT, "{how:?}: {:?}", began.elapsed());
    Instant::now()
}

/// Restarts a daemon at once, and delivers a late heartbeat of its instance as soon as it
/// accepts one, and again until `until`.
async fn restart_and_deliver_late(fleet: &mut HostedFleet, i: usize, until: Instant) {
    fleet.kill(i);
    fleet.restart(i);
    while Instant::now() < until {
        let instance = &fleet.daemons[i].instance;
        let _daemon_may_be_starting =
            instance.send_heartbeat_as(&format!("i-{i}"), OLD_SEQUENCE, false).await;
        smol::Timer::after(Duration::from_millis(100)).await;
    }
}

#[test]
fn an_acknowledged_leaving_outlives_kills_of_its_daemon() {
    // Guards against a daemon that forgets in a restart that it acknowledged a leaving, and
    // announces the instance again: its health still answers, and its last heartbeat is late.
    run(async {
        for how in [Leaving::Withdrawn, Leaving::Draining] {
            let mut fleet = serving(3).await;
            let instance: Arc<Instance> = fleet.daemons[2].instance.clone();
            instance.set_heartbeats(false);
            let left = leave(&instance, how).await;
            let from = left + DRAIN_TIME;
            let callers = start_callers(&fleet, &[0, 1, 2], from + CHECKED_TIME);
            for kill in 0..2 {
                let pause = Duration::from_millis(1200) * (kill + 1);
                restart_and_deliver_late(&mut fleet, 2, left + pause).await;
            }
            let (late, sent) = arrived_late(callers, &instance, from).await;
            assert_eq!(late, 0, "{how:?}: of {sent}; {}", events(&fleet, 2));
        }
    });
}

#[test]
fn a_leaving_that_all_daemons_forget_is_not_undone_by_a_late_heartbeat() {
    // Guards against a daemon that takes the first heartbeat after its start for the present
    // state: all daemons were killed after they acknowledged the leaving, and only the
    // instance's health tells that it leaves.
    run(async {
        let mut fleet = serving(3).await;
        let instance: Arc<Instance> = fleet.daemons[2].instance.clone();
        let left = leave(&instance, Leaving::Withdrawn).await;
        instance.deny_health(true);
        (0..3).for_each(|i| fleet.kill(i));
        (0..2).for_each(|i| fleet.restart(i));
        restart_and_deliver_late(&mut fleet, 2, left + Duration::from_millis(300)).await;
        let from = left + DRAIN_TIME;
        let callers = start_callers(&fleet, &[0, 1, 2], from + CHECKED_TIME);
        smol::Timer::after(DRAIN_TIME).await;
        assert!(instance.send_heartbeat_as("i-2", OLD_SEQUENCE, false).await);
        let (late, sent) = arrived_late(callers, &instance, from).await;
        assert_eq!(late, 0, "of {sent}; {}", events(&fleet, 2));
    });
}

/// Delivers heartbeats that an instance sent before it left, one second apart. Their sequence
/// numbers are higher than those that its daemon has seen.
async fn deliver_late_heartbeats(instance: &Instance, count: u64) {
    for n in 0..count {
        instance.send_heartbeat_as(&instance.id(), LATE_SEQUENCE + n, false).await;
        smol::Timer::after(Duration::from_secs(1)).await;
    }
}

#[test]
fn late_heartbeats_do_not_outweigh_a_health_that_says_no() {
    // Guards against a daemon that believes the second of two late heartbeats, although the
    // health of the instance denied the first: all daemons were killed after they acknowledged
    // the leaving.
    run(async {
        let mut fleet = serving(4).await;
        let instance: Arc<Instance> = fleet.daemons[0].instance.clone();
        let left = leave(&instance, Leaving::Withdrawn).await;
        instance.deny_health(true);
        (0..4).for_each(|i| fleet.kill(i));
        (0..4).for_each(|i| fleet.restart(i));
        let from = left + DRAIN_TIME;
        let callers = start_callers(&fleet, &[0, 1, 2, 3], from + CHECKED_TIME);
        smol::Timer::after(Duration::from_millis(1500)).await;
        deliver_late_heartbeats(&instance, 3).await;
        let (late, sent) = arrived_late(callers, &instance, from).await;
        assert_eq!(late, 0, "of {sent}; {}", events(&fleet, 0));
    });
}

/// Kills all daemons after an acknowledged leaving, starts them one after the other, and delivers
/// a late heartbeat each half second, each with a higher sequence number. Checks that the instance,
/// whose health says no, gets no late request. The store answers after a delay.
async fn check_staggered_starts(order: [usize; 4], store_delay: Duration) {
    let mut fleet = serving(4).await;
    let instance: Arc<Instance> = fleet.daemons[0].instance.clone();
    let left = leave(&instance, Leaving::Withdrawn).await;
    instance.deny_health(true);
    (0..4).for_each(|i| fleet.kill(i));
    fleet.store.change_faults(|faults| faults.delay = store_delay);
    let callers = start_callers(&fleet, &order, Instant::now() + LONG_CHECKED_TIME);
    let mut sequence = LATE_SEQUENCE;
    let mut starts = order.iter();
    while left.elapsed() < LONG_CHECKED_TIME {
        if let Some(i) = starts.next() {
            fleet.restart(*i);
        }
        for _ in 0..2 {
            let _daemon_may_be_starting =
                instance.send_heartbeat_as(&instance.id(), sequence, false).await;
            sequence += 1;
            smol::Timer::after(Duration::from_millis(500)).await;
        }
    }
    let (late, sent) = arrived_late(callers, &instance, left + DRAIN_TIME).await;
    assert_eq!(late, 0, "{order:?} of {sent}; {}", events(&fleet, 0));
}

#[test]
fn late_heartbeats_bring_no_instance_back_whenever_they_arrive() {
    // Guards against a daemon that believes heartbeats which arrive before the first health answer,
    // or long after the health denied one.
    run(check_staggered_starts([0, 1, 2, 3], Duration::ZERO));
}

#[test]
fn late_heartbeats_bring_no_instance_back_whichever_daemon_starts_first() {
    // Guards against the same where the daemon beside the instance starts last, and may take the
    // word of those that started just before it.
    run(check_staggered_starts([3, 2, 1, 0], Duration::ZERO));
}

#[test]
fn late_heartbeats_bring_no_instance_back_while_the_store_is_slow() {
    // Guards against the same where the daemon beside the instance has no configuration for a
    // while, so that it does not know the health path.
    run(check_staggered_starts([3, 2, 1, 0], SLOW_STORE_DELAY));
}

#[test]
fn heartbeats_that_are_very_late_do_not_outweigh_a_health_that_says_no() {
    // Guards against a daemon that no longer asks the health of an instance ten seconds after its
    // start: the first late heartbeat arrives only then, and all daemons were killed after they
    // acknowledged the leaving.
    run(async {
        let mut fleet = serving(4).await;
        let instance: Arc<Instance> = fleet.daemons[0].instance.clone();
        leave(&instance, Leaving::Withdrawn).await;
        instance.deny_health(true);
        (0..4).for_each(|i| fleet.kill(i));
        (0..4).for_each(|i| fleet.restart(i));
        smol::Timer::after(STARTUP_WINDOW + Duration::from_secs(1)).await;
        let from = Instant::now();
        let callers = start_callers(&fleet, &[0, 1, 2, 3], from + 2 * CHECKED_TIME);
        deliver_late_heartbeats(&instance, 3).await;
        let (late, sent) = arrived_late(callers, &instance, from).await;
        assert_eq!(late, 0, "of {sent}; {}", events(&fleet, 0));
    });
}

#[test]
fn daemons_that_forgot_a_leaving_do_not_vouch_for_a_late_heartbeat() {
    // Guards against a daemon that believes a late heartbeat on the word of others before it has a
    // configuration, which names the health path: all daemons were killed after they acknowledged
    // the leaving, and the one beside the instance is killed again while the store is away.
    run(async {
        let mut fleet = serving(4).await;
        let instance: Arc<Instance> = fleet.daemons[0].instance.clone();
        leave(&instance, Leaving::Withdrawn).await;
        instance.deny_health(true);
        (0..4).for_each(|i| fleet.kill(i));
        (0..4).for_each(|i| fleet.restart(i));
        smol::Timer::after(Duration::from_secs(4)).await;
        fleet.store.change_faults(|faults| faults.down = Some(Outage::Busy));
        let from = Instant::now();
        let callers = start_callers(&fleet, &[0, 1, 2, 3], from + 2 * CHECKED_TIME);
        restart_and_deliver_late(&mut fleet, 0, from + CHECKED_TIME).await;
        let (late, sent) = arrived_late(callers, &instance, from).await;
        assert_eq!(late, 0, "of {sent}; {}", events(&fleet, 0));
    });
}

#[test]
fn a_leaving_outlives_the_failure_domain_that_acknowledged_it() {
    // Guards against a daemon that starts beside another one that has just started, takes its
    // word that nothing left, and does not ask those that remember.
    run(async {
        let mut fleet = serving(4).await;
        let instance: Arc<Instance> = fleet.daemons[0].instance.clone();
        smol::Timer::after(Duration::from_secs(4)).await;
        let left = leave(&instance, Leaving::Withdrawn).await;
        smol::Timer::after(Duration::from_millis(100)).await;
        (0..2).for_each(|i| fleet.kill(i));
        smol::Timer::after(Duration::from_millis(500)).await;
        (0..2).for_each(|i| fleet.restart(i));
        let from = left + DRAIN_TIME;
        let callers = start_callers(&fleet, &[0, 1, 2, 3], from + CHECKED_TIME);
        smol::Timer::after(Duration::from_millis(1200)).await;
        deliver_late_heartbeats(&instance, 2).await;
        let (late, sent) = arrived_late(callers, &instance, from).await;
        assert_eq!(late, 0, "of {sent}; {} {}", events(&fleet, 0), events(&fleet, 1));
    });
}

#[test]
fn a_leaving_is_acknowledged_once_another_failure_domain_remembers_it() {
    // Guards against a leaving that only the acknowledging daemon and its neighbour know, and
    // that is lost with their failure domain.
    run(async {
        let fleet = serving(4).await;
        let instance: Arc<Instance> = fleet.daemons[0].instance.clone();
        fleet.signal(2, "-STOP");
        fleet.signal(3, "-STOP");
        let began = Instant::now();
        assert!(instance.leave().await);
        let waited = began.elapsed();
        fleet.signal(2, "-CONT");
        fleet.signal(3, "-CONT");
        assert!(waited >= REPLICATION_TIMEOUT && waited < ACK_TIMEOUT, "{waited:?}");
    });
}

#[test]
fn a_repeated_leaving_is_not_acknowledged_before_the_first_is_remembered() {
    // Guards against a second message that is answered at once, while no other daemon has
    // confirmed the first one.
    run(async {
        let fleet = serving(2).await;
        let instance: Arc<Instance> = fleet.daemons[0].instance.clone();
        fleet.signal(1, "-STOP");
        let first = {
            let instance = instance.clone();
            exec::spawn(async move { instance.drain().await })
        };
        smol::Timer::after(Duration::from_millis(100)).await;
        let began = Instant::now();
        assert!(instance.leave().await);
        let waited = began.elapsed();
        assert!(first.await);
        fleet.signal(1, "-CONT");
        let first_left = REPLICATION_TIMEOUT - Duration::from_millis(150);
        assert!(waited >= first_left && waited < ACK_TIMEOUT, "{waited:?}");
    });
}

#[test]
fn an_instance_that_is_well_serves_soon_after_a_kill_of_all_daemons() {
    // Guards against an instance that is kept out because no daemon is left that could say
    // whether it left: its health is enough. `DAEMONS=80` runs more of them than CI does.
    run(async {
        let named = std::env::var("DAEMONS").ok().and_then(|text| text.parse().ok());
        let count = named.unwrap_or(4);
        let mut fleet = serving(count).await;
        (0..count).for_each(|i| fleet.kill(i));
        let started = Instant::now();
        (0..count).for_each(|i| fleet.restart(i));
        for i in 0..count {
            let known = async |fleet: &HostedFleet| fleet.sees_instances(i, count).await;
            assert!(fleet.wait(known).await, "{}", events(&fleet, i));
        }
        eprintln!("{count} daemons list all instances after {:?}", started.elapsed());
        assert!(started.elapsed() < RETURN_TIMEOUT, "{:?}", started.elapsed());
    });
}

#[test]
fn a_leaving_acknowledged_in_a_partition_is_known_after_it() {
    // Guards against a daemon that cannot tell anybody of a leaving, fails to acknowledge it in
    // time, or tells nobody after the partition either and forgets it in a restart.
    run(async {
        let mut fleet = HostedFleet::serving_over_domain_links(program(), 3).await;
        let instance: Arc<Instance> = fleet.daemons[2].instance.clone();
        fleet.cut_domains(true);
        let left = leave(&instance, Leaving::Withdrawn).await;
        smol::Timer::after(Duration::from_millis(500)).await;
        fleet.cut_domains(false);
        let is_told =
            async |fleet: &HostedFleet| fleet.own_status(0).await["departures"] == json!(1);
        assert!(fleet.wait(is_told).await, "{}", events(&fleet, 0));
        let until = Instant::now() + Duration::from_millis(600);
        restart_and_deliver_late(&mut fleet, 2, until).await;
        let from = (left + DRAIN_TIME).max(Instant::now());
        let callers = start_callers(&fleet, &[0, 1, 2], from + CHECKED_TIME);
        let (late, sent) = arrived_late(callers, &instance, from).await;
        assert_eq!(late, 0, "of {sent}; {}", events(&fleet, 2));
    });
}

#[test]
fn an_instance_that_starts_again_under_its_id_is_not_kept_out() {
    // Guards against a remembered leaving that is applied to the next incarnation of the
    // instance, after its daemon has forgotten both in a restart.
    run(async {
        let mut fleet = serving(3).await;
        let instance: Arc<Instance> = fleet.daemons[2].instance.clone();
        leave(&instance, Leaving::Withdrawn).await;
        fleet.kill(2);
        fleet.restart(2);
        let ready = fleet.wait(async |fleet: &HostedFleet| fleet.is_ready(2).await).await;
        assert!(ready, "{}", events(&fleet, 2));
        assert!(instance.restart_at(unix_ms()).await);
        let before = instance.arrivals().len();
        let callers = start_callers(&fleet, &[2], Instant::now() + DRAIN_TIME);
        for caller in callers {
            caller.await;
        }
        assert!(instance.arrivals().len() > before, "{}", events(&fleet, 2));
    });
}

#[test]
fn a_late_heartbeat_of_a_replaced_instance_displaces_no_other_after_a_restart() {
    // Guards against a daemon that has forgotten in a restart which instance was replaced at
    // its address, and announces the old one in place of the new one.
    run(async {
        let mut fleet = serving(2).await;
        let instance: Arc<Instance> = fleet.daemons[1].instance.clone();
        instance.replace_id("i-9");
        assert!(instance.send_heartbeat().await);
        fleet.kill(1);
        fleet.restart(1);
        let known = async |fleet: &HostedFleet| fleet.sees_instances(1, 2).await;
        assert!(fleet.wait(known).await, "{}", events(&fleet, 1));
        assert!(instance.send_heartbeat_as("i-1", 500, false).await);
        for n in 0..10 {
            let id = format!("after-{n}");
            assert_eq!(fleet.status(1, "/notices/1", &id).await, Some(200));
        }
        let log = fleet.log(1);
        assert!(!log.contains("upstream i-1 of notice announced, started at 1, by report 500"));
    });
}

#[test]
fn a_late_heartbeat_of_an_instance_that_left_displaces_no_other() {
    // Guards against a daemon that learns from others that an instance left, takes its late
    // heartbeat for a report of draining, and removes the instance that has its address now.
    run(async {
        let mut fleet = serving(2).await;
        let instance: Arc<Instance> = fleet.daemons[1].instance.clone();
        leave(&instance, Leaving::Withdrawn).await;
        instance.replace_id("i-9");
        instance.set_heartbeats(true);
        for draining in [false, true] {
            fleet.kill(1);
            fleet.restart(1);
            let known = async |fleet: &HostedFleet| fleet.sees_instances(1, 2).await;
            assert!(fleet.wait(known).await, "{}", events(&fleet, 1));
            assert!(instance.send_heartbeat_as("i-1", 500, draining).await);
            for _ in 0..10 {
                assert!(fleet.sees_instances(1, 2).await, "{}", events(&fleet, 1));
                smol::Timer::after(Duration::from_millis(50)).await;
            }
        }
    });
}

#[test]
fn an_instance_in_use_that_neither_reports_nor_is_healthy_gets_no_new_requests() {
    // Guards against an upstream that has left without this daemon's knowledge, and is kept as
    // long as it runs calls, which under steady load is until it ends. Its next heartbeat
    // brings it back.
    run(async {
        let fleet = serving(2).await;
        let instance: Arc<Instance> = fleet.daemons[1].instance.clone();
        fleet.daemons.iter().for_each(|daemon| {
            daemon.instance.set_service_time(Duration::from_millis(300));
        });
        instance.set_heartbeats(false);
        instance.deny_health(true);
        let silent = Instant::now();
        let from = silent + SILENCE_TIMEOUT;
        let callers = start_callers(&fleet, &[0, 0, 0, 1, 1, 1], from + CHECKED_TIME);
        let (late, sent) = arrived_late(callers, &instance, from).await;
        assert_eq!(late, 0, "of {sent}; {}", events(&fleet, 1));
        instance.set_heartbeats(true);
        let back = async |fleet: &HostedFleet| fleet.sees_instances(0, 2).await;
        assert!(fleet.wait(back).await, "{}", events(&fleet, 1));
    });
}

#[test]
fn a_late_heartbeat_does_not_bring_back_an_instance_that_was_found_gone() {
    // Guards against a daemon that forgets an instance with its last report when it finds it
    // gone, and takes a late heartbeat for a new instance. A later heartbeat brings it back.
    run(async {
        let fleet = serving(2).await;
        let instance: Arc<Instance> = fleet.daemons[1].instance.clone();
        instance.set_heartbeats(false);
        instance.deny_health(true);
        let gone = async |fleet: &HostedFleet| fleet.sees_instances(1, 1).await;
        assert!(fleet.wait(gone).await, "{}", events(&fleet, 1));
        assert!(instance.send_heartbeat_as("i-1", OLD_SEQUENCE, false).await);
        smol::Timer::after(Duration::from_millis(500)).await;
        assert!(fleet.sees_instances(1, 1).await, "{}", events(&fleet, 1));
        instance.set_heartbeats(true);
        let back = async |fleet: &HostedFleet| fleet.sees_instances(0, 2).await;
        assert!(fleet.wait(back).await, "{}", events(&fleet, 1));
    });
}

#[test]
fn an_instance_in_use_whose_reports_are_cut_off_is_kept() {
    // Guards against an upstream that is taken out of use because of missing reports alone.
    run(async {
        let fleet = serving(1).await;
        let instance: Arc<Instance> = fleet.daemons[0].instance.clone();
        instance.set_service_time(Duration::from_millis(300));
        instance.set_heartbeats(false);
        let silent = Instant::now();
        let until = silent + SILENCE_TIMEOUT + CHECKED_TIME;
        let callers = start_callers(&fleet, &[0, 0, 0], until);
        let from = silent + SILENCE_TIMEOUT;
        let (arrived, sent) = arrived_late(callers, &instance, from).await;
        assert_eq!(arrived, sent, "{}", events(&fleet, 0));
    });
}

/// Returns the time of day in Unix milliseconds.
fn unix_ms() -> u64 {
    let since_1970 = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since_1970.expect("the clock is past 1970").as_millis() as u64
}

/// Returns the log of a daemon without its decisions.
fn events(fleet: &HostedFleet, i: usize) -> String {
    let log = fleet.log(i);
    let lines = log.lines().filter(|line| !line.contains("\"event\""));
    lines.map(|line| format!("\n{line}")).collect()
}
