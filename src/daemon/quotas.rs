//! Status of organisations and their quotas, for operators.
//!
//! Each daemon reports the calls that it admits, and the keeper of a limit also the calls
//! that are offered to all daemons. The fleet's status lists the daemons that answered in
//! time, so that a partition shows as a smaller number of them. API keys are never included.

use super::{Daemon, limits, status};
use cicadashift_core::config::organisation::Account;
use cicadashift_core::limit::Grant;
use cicadashift_wire::rpc::Request as Ask;
use serde_json::{Value, json};
use std::sync::Arc;

/// Returns the status of all organisations at this daemon.
pub fn own(d: &Daemon) -> Value {
    let running = d.versions.running();
    let accounts = running.table.organisations.iter().flat_map(|directory| directory.accounts());
    json!({
        "host": d.settings.host,
        "domain": d.settings.failure_domain,
        "version": running.table.version,
        "organisations": accounts.map(|account| row(d, account)).collect::<Vec<_>>(),
    })
}

fn row(d: &Daemon, account: &Account) -> Value {
    let (share, admitted) = d.limits.share_and_rate(account.limit, d.clock.now());
    let kept = limits::kept::balance(d, account.limit)
        .map(|(left, offered)| json!({"left": left.round() as i64, "offered_per_s": offered.round() as u64}));
    json!({
        "name": account.name,
        "priority": account.priority,
        "rate_per_s": account.quota.map(|quota| quota.rate_per_s),
        "burst": account.quota.map(|quota| quota.burst),
        "share": f64::from(share) / f64::from(Grant::ALL),
        "admitted_per_s": admitted,
        "kept": kept,
    })
}

/// Returns the status at this daemon and at all other daemons that answer in time.
pub async fn fleet(d: &Arc<Daemon>) -> Value {
    let mut hosts = vec![own(d)];
    hosts.extend(status::ask_others(d, Ask::Quotas).await);
    json!({"asked": d.settings.host, "hosts": hosts})
}
