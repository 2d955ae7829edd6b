//! The limits of which this daemon is the keeper.

use crate::daemon::versions::RunningConfig;
use crate::daemon::{Daemon, lock};
use cicadashift_core::ids::HostKey;
use cicadashift_core::limit::contacts::Contacts;
use cicadashift_core::limit::keeper::Account;
use cicadashift_core::limit::part::{QuotaPart, SettledFraction};
use cicadashift_core::limit::presence::Presence;
use cicadashift_core::limit::{EARLY_REPORT_GAP, Grant, LimitKey, Report};
use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Accounts of the limits of which this daemon is the keeper.
#[derive(Default)]
pub struct KeptLimits {
    accounts: Mutex<HashMap<LimitKey, Kept>>,
    /// The fraction of all daemons that have been live for a while.
    settled: Mutex<SettledFraction>,
    presence: Mutex<Presence>,
    reach: Mutex<Reach>,
}

/// Which daemons have this one as their keeper, as far as it can hear.
#[derive(Default)]
struct Reach {
    contacts: Contacts,
    /// The other live members of each failure domain, at the last round.
    domains: Vec<Vec<HostKey>>,
    /// Whether daemons are being asked.
    is_asking: bool,
    /// When the reserved parts were last brought up to date.
    reserved_at: Option<Instant>,
    /// Number of daemons that did not answer then.
    unreached: usize,
}

struct Kept {
    account: Account,
    /// Whether daemons were silent at the last update.
    has_silent: bool,
}

/// Adds a daemon's usage reports to the accounts kept here; returns the grants in answer.
pub fn handle_reports(d: &Daemon, from: HostKey, reports: &[Report]) -> Vec<Grant> {
    let now = d.clock.now();
    let has_returned = {
        let mut presence = lock(&d.limits.kept.presence);
        presence.note_report(from, now);
        presence.has_returned(from)
    };
    let parts = QuotaParts::current(d, now);
    let mut accounts = lock(&d.limits.kept.accounts);
    let mut reach = lock(&d.limits.kept.reach);
    reach.contacts.confirm(from, now);
    if reach.is_asking && reach.is_due(now) {
        reach.reserve(&mut accounts, &parts, now);
    }
    let mut must_ask = false;
    let mut grant = |report: &Report| {
        let key = report.usage.key;
        let Some(part) = parts.of(key) else {
            // The reporting daemon may run a newer version of the configuration, with a
            // limit that the version here does not have.
            return Some(Grant { key, share: Grant::ALL });
        };
        if report.is_closing() && !accounts.contains_key(&key) {
            // No account is opened for it: its daemon goes on with the share that it has.
            return Some(Grant { key, share: report.share.unwrap_or(Grant::ALL) });
        }
        let is_opened = open_account(d, key, &parts, &mut accounts, &mut reach, now);
        let kept = accounts.get_mut(&key)?;
        let was_known = kept.account.inherited_per_s().is_some();
        let needed_contacts = !is_opened && kept.account.needs_contacts(part, now);
        if has_returned {
            kept.account.add_returned(from, report, now);
        }
        kept.account.add_report(from, report, part, now);
        must_ask |= !needed_contacts && kept.account.needs_contacts(part, now);
        if let Some(rate) = kept.account.inherited_per_s().filter(|_| !was_known) {
            log::info!("limit {key}: inherited from another keeper, {rate:.0} calls/s");
        }
        let is_withheld = kept.account.is_withholding(part, now);
        (!is_withheld).then(|| kept.account.answer(from, report, part))
    };
    let grants: Vec<Grant> = reports.iter().filter_map(&mut grant).collect();
    drop((accounts, reach));
    if must_ask || lock(&d.limits.notices).has_urgent(&grants) {
        d.limits.wake();
    }
    grants
}

/// Opens the account of a limit, unless it is open already; returns whether it was opened.
///
/// Another keeper may have spent the limit while an account was not in use. Where a member is
/// suspected, such an account is opened anew, and daemons count as lost until they answer.
fn open_account(
    d: &Daemon,
    key: LimitKey,
    parts: &QuotaParts,
    accounts: &mut HashMap<LimitKey, Kept>,
    reach: &mut Reach,
    now: Instant,
) -> bool {
    let kept = accounts.get(&key);
    if kept.is_some_and(|kept| kept.account.is_in_use(now)) {
        return false;
    }
    let has_suspects = d.members.has_suspects();
    if kept.is_some() && !has_suspects {
        return false;
    }
    log::info!("limit {key}: an account is opened here, {parts}");
    let mut account = Account::new(now);
    if let Some(part) = parts.of(key).filter(|_| has_suspects) {
        reach.doubt(d, now);
        account.reserve_for(&reach.unreached(now), part, now);
    }
    accounts.insert(key, Kept { account, has_silent: false });
    true
}

/// Records that a daemon has this one as a keeper.
pub fn note_confirmed(d: &Daemon, host: HostKey) {
    let now = d.clock.now();
    lock(&d.limits.kept.reach).contacts.confirm(host, now);
}

/// Returns the daemons to ask whether they have this one as a keeper: those of which nothing
/// was heard lately, while the demand for a limit kept here is high. Reserves the parts of those
/// that do not answer.
pub fn daemons_to_ask(d: &Daemon) -> Vec<HostKey> {
    let mut accounts = lock(&d.limits.kept.accounts);
    let mut reach = lock(&d.limits.kept.reach);
    if accounts.is_empty() {
        reach.contacts.pause();
        reach.is_asking = false;
        return Vec::new();
    }
    let now = d.clock.now();
    let parts = QuotaParts::current(d, now);
    let matters = |(key, kept): (&LimitKey, &Kept)| {
        parts.of(*key).is_some_and(|part| kept.account.needs_contacts(part, now))
    };
    // Daemons that do not answer are asked until they do, also while there are no calls: those
    // that come next may not be granted their parts.
    let is_needed = accounts.iter().any(matters) || !reach.unreached(now).is_empty();
    let was_asking = std::mem::replace(&mut reach.is_asking, is_needed);
    if !reach.is_asking {
        reach.contacts.pause();
        if was_asking {
            reach.reserve(&mut accounts, &parts, now);
        }
        return Vec::new();
    }
    reach.domains = d.members.others_by_domain();
    let asked = {
        let Reach { contacts, domains, .. } = &mut *reach;
        contacts.ask(domains, now)
    };
    reach.reserve(&mut accounts, &parts, now);
    asked
}

impl Reach {
    fn is_due(&self, now: Instant) -> bool {
        self.reserved_at.is_none_or(|at| now >= at + EARLY_REPORT_GAP)
    }

    fn doubt(&mut self, d: &Daemon, now: Instant) {
        self.domains = d.members.others_by_domain();
        self.contacts.doubt(&self.domains, now);
        self.is_asking = true;
    }

    fn unreached(&self, now: Instant) -> Vec<HostKey> {
        self.contacts.unreached(&self.domains, now)
    }

    /// Reserves in all accounts what the daemons that are not reached may admit.
    fn reserve(
        &mut self,
        accounts: &mut HashMap<LimitKey, Kept>,
        parts: &QuotaParts,
        now: Instant,
    ) {
        let unreached = self.unreached(now);
        for (key, kept) in accounts.iter_mut() {
            if let Some(part) = parts.of(*key) {
                kept.account.reserve_for(&unreached, part, now);
            }
        }
        match (self.unreached, unreached.len()) {
            (0, 0) => {}
            (0, count) => log::info!("limits: {count} daemons do not answer, parts are reserved"),
            (_, 0) => log::info!("limits: all daemons answer again"),
            (_, _) => {}
        }
        self.unreached = unreached.len();
        self.reserved_at = Some(now);
    }
}

/// Returns the calls that may be admitted at once under a limit (negative for a debt) and
/// the calls offered a second; `None` if this daemon has no account of the limit.
pub fn balance(d: &Daemon, key: LimitKey) -> Option<(f64, f64)> {
    let now = d.clock.now();
    let part = QuotaParts::current(d, now).of(key)?;
    let mut accounts = lock(&d.limits.kept.accounts);
    accounts.get_mut(&key).map(|kept| kept.account.balance(part, now))
}

/// Returns the reduced grants of the throttled limits of which this daemon is the keeper.
pub fn throttled_grants(d: &Daemon, now: Instant) -> Vec<Grant> {
    if lock(&d.limits.kept.accounts).is_empty() {
        return Vec::new();
    }
    let parts = QuotaParts::current(d, now);
    let mut accounts = lock(&d.limits.kept.accounts);
    accounts.retain(|_, kept| !kept.account.is_idle(now));
    let reduced = |(key, kept): (&LimitKey, &mut Kept)| {
        parts.of(*key).and_then(|part| kept.account.reduced_grant(*key, part, now))
    };
    accounts.iter_mut().filter_map(reduced).collect()
}

/// Takes over what the membership table says. Daemons that have ended are dropped from the
/// accounts: they admit nothing.
pub fn update_members(d: &Daemon) {
    if d.versions.running().table.organisations.is_none() {
        return;
    }
    // Lets the settled fraction follow the membership also while no account is in use.
    QuotaParts::current(d, d.clock.now());
    let table = d.members.incarnations().into_iter().collect();
    lock(&d.limits.kept.presence).update(table, d.clock.now());
    let mut accounts = lock(&d.limits.kept.accounts);
    let presence = lock(&d.limits.kept.presence);
    for (key, kept) in accounts.iter_mut() {
        kept.account.reporters().update_members(|host| presence.membership(host));
        kept.log_silent(*key);
    }
}

impl Kept {
    /// Logs when daemons fall silent, and when all of them report again.
    fn log_silent(&mut self, key: LimitKey) {
        let reporters = self.account.reporters();
        let (silent, all) = (reporters.silent_count(), reporters.count());
        if self.has_silent == (silent > 0) {
            return;
        }
        self.has_silent = silent > 0;
        match self.has_silent {
            true => log::info!(
                "limit {key}: {silent} of {all} daemons are silent, their last rates are counted"
            ),
            false => log::info!("limit {key}: no daemon is silent any more"),
        }
    }
}

/// Determines the part of each quota that this daemon enforces as keeper.
struct QuotaParts {
    running: Arc<RunningConfig>,
    live: usize,
    dead: usize,
    /// Fraction of all daemons that have been live for a while.
    settled: f64,
}

impl fmt::Display for QuotaParts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "for {} of {} daemons", self.live, self.live + self.dead)
    }
}

impl QuotaParts {
    /// Returns the parts by the daemons that count as live, of which the settled fraction takes
    /// note.
    fn current(d: &Daemon, now: Instant) -> QuotaParts {
        let dead = d.members.dead_hosts();
        let heard = lock(&d.limits.kept.presence).count_heard(&dead, now);
        let (live, dead) = (d.members.live_count() + heard, dead.len() - heard);
        let settled = lock(&d.limits.kept.settled).update(live, dead, now);
        QuotaParts { running: d.versions.running(), live, dead, settled }
    }

    fn of(&self, key: LimitKey) -> Option<QuotaPart> {
        let quota = self.running.table.organisations.as_ref()?.quota(key)?;
        Some(QuotaPart::of(quota, self.live, self.dead).settled(quota, self.settled))
    }
}
