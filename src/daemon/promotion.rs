//! Rolling a version out to a failure domain, and the relays' part in it.

use super::record::RowDraft;
use super::sources::ObjectSource;
use super::stage::{self, StageError};
use super::{Daemon, peers};
use cicadashift_core::delivery::node::Event;
use cicadashift_core::delivery::promotion::{GRACE, Promotion, Step};
use cicadashift_core::delivery::stage::Scope;
use cicadashift_core::delivery::tree::{self, Branch, FANOUT};
use cicadashift_core::ids::{HostKey, Version};
use cicadashift_http::exec;
use cicadashift_wire::rpc::{Fate, News, Request as Ask, Response, VersionRef};
use std::sync::Arc;
use std::time::Duration;

/// Time that a relay gives the hosts below it.
const RELAY_TIME: Duration = GRACE;
/// Wait before the witnesses are asked again.
const PROMISE_PAUSE: Duration = Duration::from_millis(250);
/// Attempts at a majority of promises before the version is left to the next
/// round of catching up.
const PROMISE_ATTEMPTS: u32 = 40;

/// Brings a version into force in this failure domain.
///
/// The daemon that does this needs no right to it: each step is safe whoever
/// takes it, and a second daemon doing the same costs only messages.
///
/// # Errors
///
/// Returns why the version cannot be held here; nothing was offered then.
pub async fn run(
    d: &Arc<Daemon>,
    what: VersionRef,
    source: &ObjectSource,
) -> Result<(), StageError> {
    let mut draft = RowDraft::new(d, what);
    stage::hold(d, what, source, Scope::Complete).await?;
    let mut others = d.members.others();
    tree::order(&mut others, what.version);
    log::info!("version {}: offered to {} members", what.version, others.len());
    let mut promotion = Promotion::new(what.version, others.iter().copied(), d.clock.now());
    let news = d.versions.manifest_delta(what);
    let offer = |rest| Ask::Offer { what, origin: d.me, news: news.clone(), rest };
    let fates = spread(d, &others, offer, 2 * RELAY_TIME).await;
    for (host, fate) in fates {
        match fate {
            Fate::Done => promotion.held(host),
            Fate::Refused(why) => promotion.refused(host, why),
            Fate::Late => promotion.lost(host),
        }
    }
    draft.staged(d, &others, &promotion);
    match promotion.step(d.clock.now()) {
        Step::Withhold => withhold(d, what.version, &promotion),
        Step::RequestPromises | Step::WaitUntil(_) => {
            if promised(d, what.version).await {
                activate(d, what, &others, &mut draft).await;
            }
        }
    }
    d.delivery_record.finish(d, draft);
    Ok(())
}

/// Answers an offer: holds the version, passes it on, tells how all fared.
pub async fn on_offer(
    d: &Arc<Daemon>,
    what: VersionRef,
    origin: HostKey,
    news: News,
    rest: Vec<HostKey>,
) -> Response {
    d.versions.apply_manifest_delta(what, &news);
    let own = hold_offered(d, what, origin).await;
    let offer = |rest| Ask::Offer { what, origin, news: news.clone(), rest };
    let mut fates = spread(d, &rest, offer, RELAY_TIME).await;
    fates.push((d.me, own));
    Response::Fates(fates)
}

/// Answers an activation: runs the version, passes it on, tells how all fared.
pub async fn on_activate(d: &Arc<Daemon>, what: VersionRef, rest: Vec<HostKey>) -> Response {
    d.versions.add_version_ref(what);
    let actions = d.versions.on(Event::Activated(what.version));
    stage::perform(d, actions, None);
    let mut fates = spread(d, &rest, |rest| Ask::Activate { what, rest }, RELAY_TIME).await;
    fates.push((d.me, ran(d, what.version)));
    Response::Fates(fates)
}

async fn hold_offered(d: &Arc<Daemon>, what: VersionRef, origin: HostKey) -> Fate {
    d.versions.add_version_ref(what);
    // The origin holds the version whole; the relay in between may lack what
    // only this proxy selects.
    let source = ObjectSource::Peers(d.members.address(origin).into_iter().collect());
    match stage::hold(d, what, &source, Scope::Selected).await {
        Ok(()) => Fate::Done,
        Err(err) if err.is_invalid() => Fate::Refused(err.to_string()),
        Err(_) => Fate::Late,
    }
}

fn withhold(d: &Arc<Daemon>, version: Version, promotion: &Promotion) {
    for (host, why) in promotion.refusals() {
        let name = d.members.get(*host).map_or_else(String::new, |record| record.name);
        log::error!("version {version} is withheld: {name} refused it: {why}");
        d.versions.mark_rejected(version, format!("refused by {name}: {why}"));
    }
}

async fn promised(d: &Arc<Daemon>, version: Version) -> bool {
    for attempt in 0..PROMISE_ATTEMPTS {
        if attempt > 0 {
            smol::Timer::after(PROMISE_PAUSE).await;
        }
        stage::ask_promises(d, version).await;
        if d.versions.active_version() >= version {
            return true;
        }
        let superseded = d.versions.newest().is_some_and(|newest| newest.version > version);
        if superseded {
            return false;
        }
        log::warn!("version {version}: no majority of witnesses has promised it yet");
    }
    false
}

async fn activate(d: &Arc<Daemon>, what: VersionRef, others: &[HostKey], draft: &mut RowDraft) {
    let fates = spread(d, others, |rest| Ask::Activate { what, rest }, 2 * RELAY_TIME).await;
    draft.activated(d, &fates);
}

fn ran(d: &Daemon, version: Version) -> Fate {
    match d.versions.running_version() >= version {
        true => Fate::Done,
        false => Fate::Late,
    }
}

/// Sends a message down the tree and gathers how every host fared.
async fn spread(
    d: &Arc<Daemon>,
    hosts: &[HostKey],
    message: impl Fn(Vec<HostKey>) -> Ask,
    time: Duration,
) -> Vec<(HostKey, Fate)> {
    let tasks: Vec<_> = tree::branches(hosts, FANOUT)
        .into_iter()
        .map(|branch| {
            let ask = message(branch.rest.clone());
            let d = d.clone();
            exec::spawn(async move { send(&d, branch, ask, time).await })
        })
        .collect();
    let mut fates = Vec::new();
    for task in tasks {
        fates.extend(task.await);
    }
    fates
}

/// Sends to one branch; if its first host fails, to the next in its place.
///
/// Failure: a relay has died and nobody knows yet. Symptom: all below it miss
/// the message until they notice by themselves. Each host of the branch is tried
/// in turn as its head, so one dead relay delays its branch by one time-out.
async fn send(d: &Arc<Daemon>, branch: Branch, ask: Ask, time: Duration) -> Vec<(HostKey, Fate)> {
    let mut fates = Vec::new();
    let mut branch = branch;
    loop {
        let answer = match d.members.address(branch.child) {
            Some(to) => peers::ask(d, to, &with_rest(&ask, &branch.rest), time).await.ok(),
            None => None,
        };
        if let Some(Response::Fates(below)) = answer {
            fates.extend(below);
            return fates;
        }
        fates.push((branch.child, Fate::Late));
        let Some((next, rest)) = branch.rest.split_first() else { return fates };
        branch = Branch { child: *next, rest: rest.to_vec() };
    }
}

fn with_rest(ask: &Ask, rest: &[HostKey]) -> Ask {
    let rest = rest.to_vec();
    match ask {
        Ask::Offer { what, origin, news, .. } => {
            Ask::Offer { what: *what, origin: *origin, news: news.clone(), rest }
        }
        Ask::Activate { what, .. } => Ask::Activate { what: *what, rest },
        other => other.clone(),
    }
}
