//! A simulated mesh on a virtual clock: daemons that admit calls under one limit, their keepers
//! and the delay of their messages.

use cicadashift_core::ids::{HostKey, Incarnation};
use cicadashift_core::limit::contacts::Contacts;
use cicadashift_core::limit::keeper::Account;
use cicadashift_core::limit::part::{QuotaPart, SETTLE_TIME, SettledFraction};
use cicadashift_core::limit::presence::Presence;
use cicadashift_core::limit::reporters::Membership;
use cicadashift_core::limit::share::{DaemonPart, Limiter};
use cicadashift_core::limit::{
    ANSWER_TIME, EARLY_REPORT_GAP, Grant, LimitKey, NOTICE_EVERY, Quota, REPORT_EVERY, Report,
};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(10);
/// Delay of a usage report or a grant.
const DELAY: Duration = Duration::from_millis(10);
/// Time in which a notice reaches all daemons.
const NOTICE_DELAY: Duration = Duration::from_millis(150);
/// Length of the windows in which a limit is checked.
pub const WINDOW: Duration = Duration::from_secs(5);
pub const KEY: LimitKey = LimitKey(1);

/// Returns how many calls may be admitted in any window, as users of the platform require.
pub fn allowed(quota: Quota) -> f64 {
    let calls = quota.rate_per_s as f64 * WINDOW.as_secs_f64() + quota.burst as f64;
    calls * 1.1 + 20.0
}

pub struct Daemon {
    pub limiter: Limiter,
    pub next_report: Instant,
    /// When it may report again if its demand jumps.
    pub early_report: Instant,
    /// Index of the keeper that it reports to, if it reaches one.
    pub keeper: Option<usize>,
    /// Whether its reports, or what its keeper sends, are lost.
    pub is_mute: bool,
    pub is_deaf: bool,
    /// Whether it came back after a split.
    pub has_returned: bool,
}

/// How a grant comes to a daemon.
#[derive(Clone, Copy)]
pub enum Source {
    Answer,
    Notice,
}

pub struct Keeper {
    pub account: Account,
    pub live: usize,
    pub lost: usize,
    /// The daemons that it takes for dead, as far as the test names them.
    pub dead: Vec<HostKey>,
    pub presence: Presence,
    pub settled: SettledFraction,
    pub contacts: Contacts,
    /// Whether members are suspected when the first report arrives.
    pub has_suspects: bool,
    /// Whether any report has arrived.
    pub has_reports: bool,
    /// When it next asks the daemons of which it hears nothing.
    pub next_ask: Instant,
    /// When it last sent a notice to all daemons.
    pub last_notice: Option<Instant>,
    /// Share in the last notice.
    pub announced: u16,
}

pub struct Mesh {
    pub now: Instant,
    pub quota: Quota,
    pub daemons: Vec<Daemon>,
    pub keepers: Vec<Keeper>,
    /// Notices in transit: time of arrival, keeper and grant.
    pub notices: VecDeque<(Instant, usize, Grant)>,
    pub next_notice_check: Instant,
    /// Usage reports in transit: time of arrival, daemon, keeper and report.
    pub reports: VecDeque<(Instant, usize, usize, Report)>,
    /// Grants in transit: time of arrival, daemon and grant.
    pub grants: VecDeque<(Instant, usize, Grant)>,
    /// Times of the calls admitted within the last [`WINDOW`].
    pub admitted: VecDeque<Instant>,
    pub offered: u64,
    pub refused: u64,
    /// Most calls admitted in any window.
    pub max_in_window: usize,
    /// Grants of all calls that arrived at daemons which had a smaller share.
    pub opened: usize,
    pub rng: fastrand::Rng,
}

impl Keeper {
    pub fn new(live: usize, lost: usize, now: Instant) -> Keeper {
        Keeper {
            account: Account::new(now),
            live,
            lost,
            dead: Vec::new(),
            presence: Presence::default(),
            settled: SettledFraction::new(),
            contacts: Contacts::default(),
            has_suspects: false,
            has_reports: false,
            next_ask: now,
            last_notice: None,
            announced: Grant::ALL,
        }
    }

    pub fn part(&mut self, quota: Quota, now: Instant) -> QuotaPart {
        let heard = self.presence.count_heard(&self.dead, now).min(self.lost);
        let (live, lost) = (self.live + heard, self.lost - heard);
        let settled = self.settled.update(live, lost, now);
        QuotaPart::of(quota, live, lost).settled(quota, settled)
    }

    /// Takes daemons for dead which it had for live, and no others.
    fn lose(&mut self, all: usize, is_dead: impl Fn(HostKey) -> bool, now: Instant) {
        let hosts = || (0..all as u64).map(HostKey);
        let long_ago = now.checked_sub(SETTLE_TIME).unwrap_or(now);
        for (at, dead_too) in [(long_ago, true), (now, true), (now, false)] {
            let live = |host: HostKey| dead_too || !is_dead(host);
            let table = hosts().map(|host| (host, (Incarnation::default(), live(host))));
            self.presence.update(table.collect(), at);
        }
        self.dead = hosts().filter(|host| is_dead(*host)).collect();
        (self.live, self.lost) = (all - self.dead.len(), self.dead.len());
        let presence = &self.presence;
        self.account.reporters().update_members(|host| presence.membership(host));
    }
}

impl Mesh {
    pub fn new(daemons: usize, quota: Quota, seed: u64) -> Mesh {
        let now = Instant::now();
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut daemon = || Daemon {
            limiter: Limiter::new(now),
            next_report: now + REPORT_EVERY.mul_f64(rng.f64()),
            early_report: now,
            keeper: Some(0),
            is_mute: false,
            is_deaf: false,
            has_returned: false,
        };
        let mut all: Vec<_> = (0..daemons).map(|_| daemon()).collect();
        let part = DaemonPart::of(quota, daemons);
        all.iter_mut().for_each(|daemon| daemon.limiter.set_part(part));
        Mesh {
            now,
            quota,
            daemons: all,
            keepers: vec![Keeper::new(daemons, 0, now)],
            notices: VecDeque::new(),
            next_notice_check: now,
            reports: VecDeque::new(),
            grants: VecDeque::new(),
            admitted: VecDeque::new(),
            offered: 0,
            refused: 0,
            max_in_window: 0,
            opened: 0,
            rng,
        }
    }

    /// Starts daemons again, which forget their grants and what they counted.
    pub fn restart(&mut self, daemons: std::ops::Range<usize>) {
        let part = DaemonPart::of(self.quota, self.daemons.len());
        for daemon in &mut self.daemons[daemons] {
            daemon.limiter = Limiter::new(self.now);
            daemon.limiter.set_part(part);
        }
    }

    /// Cuts daemons off from all keepers, or ends the cut.
    pub fn set_cut(&mut self, daemons: std::ops::Range<usize>, is_cut: bool) {
        for daemon in &mut self.daemons[daemons] {
            (daemon.is_mute, daemon.is_deaf) = (is_cut, is_cut);
        }
    }

    /// Lets a keeper take daemons that do not report to it for dead.
    pub fn lose(&mut self, keeper: usize) {
        let daemons = &self.daemons;
        let is_dead = |host: HostKey| daemons[host.0 as usize].keeper != Some(keeper);
        self.keepers[keeper].lose(daemons.len(), is_dead, self.now);
    }

    /// Lets the first keeper take the first daemons for dead.
    pub fn lose_first(&mut self, count: usize) {
        let is_dead = |host: HostKey| (host.0 as usize) < count;
        self.keepers[0].lose(self.daemons.len(), is_dead, self.now);
    }

    /// Lets the first keeper find all daemons alive.
    pub fn find_all(&mut self) {
        let keeper = &mut self.keepers[0];
        (keeper.live, keeper.lost) = (keeper.live + keeper.lost, 0);
        keeper.dead.clear();
        keeper.account.reporters().update_members(|_| Membership::Live);
    }

    /// Offers `rate` calls a second to the daemons of a range for a time.
    pub fn run(&mut self, time: Duration, rate: f64, at: std::ops::Range<usize>) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            let mean = rate * STEP.as_secs_f64();
            let calls = mean as usize + usize::from(self.rng.f64() < mean.fract());
            for _ in 0..calls {
                let i = self.rng.usize(at.clone());
                self.call(i);
            }
            self.deliver();
            self.report();
            (0..self.keepers.len()).for_each(|k| self.ask(k));
            if self.now >= self.next_notice_check {
                self.next_notice_check = self.now + REPORT_EVERY;
                self.notice();
            }
        }
    }

    pub fn call(&mut self, i: usize) {
        self.offered += 1;
        if !self.daemons[i].limiter.admit(false, self.now, self.rng.u64(..)) {
            self.refused += 1;
            return;
        }
        self.admitted.push_back(self.now);
        while self.admitted.front().is_some_and(|at| *at + WINDOW <= self.now) {
            self.admitted.pop_front();
        }
        self.max_in_window = self.max_in_window.max(self.admitted.len());
    }

    /// Lets a keeper ask the daemons of which it hears nothing. Those that it reaches, and that
    /// have it as their keeper, answer at once.
    pub fn ask(&mut self, k: usize) {
        let keeper = &mut self.keepers[k];
        if self.now < keeper.next_ask {
            return;
        }
        keeper.next_ask = self.now + REPORT_EVERY;
        let part = keeper.part(self.quota, self.now);
        let domains = domains(self.daemons.len(), keeper.live);
        let is_lost = !keeper.contacts.unreached(&domains, self.now).is_empty();
        if !keeper.account.needs_contacts(part, self.now) && !is_lost {
            keeper.contacts.pause();
            keeper.account.reserve_for(&[], part, self.now);
            return;
        }
        for host in keeper.contacts.ask(&domains, self.now) {
            let daemon = &self.daemons[host.0 as usize];
            if daemon.keeper == Some(k) && !daemon.is_mute && !daemon.is_deaf {
                keeper.contacts.confirm(host, self.now);
            }
        }
        let unreached = keeper.contacts.unreached(&domains, self.now);
        keeper.account.reserve_for(&unreached, part, self.now);
        keeper.next_ask = self.now + ANSWER_TIME;
    }

    pub fn report(&mut self) {
        for (i, daemon) in self.daemons.iter_mut().enumerate() {
            let is_early = daemon.limiter.has_jumped() && self.now >= daemon.early_report;
            if self.now < daemon.next_report && !is_early {
                continue;
            }
            daemon.next_report = self.now + REPORT_EVERY;
            daemon.early_report = self.now + EARLY_REPORT_GAP;
            let keeper = daemon.keeper.unwrap_or_default();
            let report = daemon.limiter.take_report(KEY, HostKey(keeper as u64), self.now);
            let is_lost = daemon.is_mute || daemon.keeper.is_none();
            let Some(report) = report.filter(|_| !is_lost) else { continue };
            self.reports.push_back((self.now + DELAY, i, keeper, report));
        }
    }

    pub fn notice(&mut self) {
        for (k, keeper) in self.keepers.iter_mut().enumerate() {
            let part = keeper.part(self.quota, self.now);
            let grant = keeper.account.reduced_grant(KEY, part, self.now);
            let is_due = keeper.last_notice.is_none_or(|last| self.now >= last + NOTICE_EVERY);
            let is_urgent = grant.is_some_and(|grant| grant.is_urgent_after(keeper.announced));
            let is_released = grant.is_none() && keeper.announced < Grant::ALL;
            let grant = grant.unwrap_or(Grant { key: KEY, share: Grant::ALL });
            let is_throttled = grant.share < Grant::ALL;
            if is_released || is_urgent || (is_throttled && is_due) {
                keeper.announced = grant.share;
                keeper.last_notice = Some(self.now);
                self.notices.push_back((self.now + NOTICE_DELAY, k, grant));
            }
        }
    }

    pub fn apply_grant(&mut self, i: usize, grant: Grant, source: Source) {
        if self.daemons[i].is_deaf {
            return;
        }
        let limiter = &mut self.daemons[i].limiter;
        let (had, _) = limiter.share_and_rate(self.now);
        self.opened += usize::from(had < Grant::ALL && grant.share == Grant::ALL);
        match source {
            Source::Answer => limiter.apply_grant(grant, self.now),
            Source::Notice => limiter.apply_notice(grant, self.now),
        }
    }

    pub fn deliver(&mut self) {
        while self.notices.front().is_some_and(|(at, ..)| *at <= self.now) {
            let (_, keeper, grant) = self.notices.pop_front().expect("the front was checked");
            let reached = |i: &usize| self.daemons[*i].keeper == Some(keeper);
            let reached: Vec<usize> = (0..self.daemons.len()).filter(reached).collect();
            reached.into_iter().for_each(|i| self.apply_grant(i, grant, Source::Notice));
        }
        while self.reports.front().is_some_and(|(at, ..)| *at <= self.now) {
            let (_, i, keeper, report) = self.reports.pop_front().expect("the front was checked");
            let domains = domains(self.daemons.len(), self.keepers[keeper].live);
            let keeper = &mut self.keepers[keeper];
            let part = keeper.part(self.quota, self.now);
            let from = HostKey(i as u64);
            keeper.presence.note_report(from, self.now);
            if self.daemons[i].has_returned || keeper.presence.has_returned(from) {
                keeper.account.add_returned(from, &report, self.now);
            }
            keeper.contacts.confirm(from, self.now);
            let needed_contacts =
                keeper.has_reports && keeper.account.needs_contacts(part, self.now);
            if !std::mem::replace(&mut keeper.has_reports, true) {
                // The daemon opens an account with the first report.
                keeper.account = Account::new(self.now);
            }
            keeper.account.add_report(from, &report, part, self.now);
            if std::mem::take(&mut keeper.has_suspects) {
                keeper.contacts.doubt(&domains, self.now);
                let unreached = keeper.contacts.unreached(&domains, self.now);
                keeper.account.reserve_for(&unreached, part, self.now);
            }
            if keeper.account.is_withholding(part, self.now) {
                continue;
            }
            if !needed_contacts && keeper.account.needs_contacts(part, self.now) {
                keeper.next_ask = keeper.next_ask.min(self.now + EARLY_REPORT_GAP);
            }
            let grant = keeper.account.answer(from, &report, part);
            let gap_ends = keeper.last_notice.map_or(self.now, |at| at + EARLY_REPORT_GAP);
            if grant.is_urgent_after(keeper.announced) {
                self.next_notice_check = self.next_notice_check.min(gap_ends);
            }
            self.grants.push_back((self.now + DELAY, i, grant));
        }
        while self.grants.front().is_some_and(|(at, ..)| *at <= self.now) {
            let (_, i, grant) = self.grants.pop_front().expect("the front was checked");
            self.apply_grant(i, grant, Source::Answer);
        }
    }

    /// Checks that at most a share of the offered calls, plus two, were refused.
    pub fn assert_refused(&self, max_share: f64) {
        let max_refused = self.offered as f64 * max_share + 2.0;
        let n = self.daemons.len();
        assert!(
            self.refused as f64 <= max_refused,
            "{} of {}, {n} daemons",
            self.refused,
            self.offered
        );
    }

    pub fn reset_counts(&mut self) {
        (self.offered, self.refused) = (0, 0);
    }

    pub fn assert_limit_kept(&self, what: &str) {
        let allowed = allowed(self.quota);
        assert!(
            self.max_in_window as f64 <= allowed,
            "{what}: {} of {allowed} in a window",
            self.max_in_window
        );
    }
}

/// Returns the daemons of three failure domains. A keeper that has daemons for dead has lost whole
/// domains: where `live` is less than all, those daemons that it still has for live.
fn domains(all: usize, live: usize) -> Vec<Vec<HostKey>> {
    let third = all.div_ceil(3);
    let hosts: Vec<HostKey> = (0..all as u64).map(HostKey).collect();
    let mut domains: Vec<Vec<HostKey>> = hosts.chunks(third).map(<[_]>::to_vec).collect();
    if live < all {
        domains.clear();
    }
    domains
}
