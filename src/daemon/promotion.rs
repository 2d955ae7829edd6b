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
use cicadashift_wire::rpc::{DeliveryResult, ManifestDelta, Request as Ask, Response, VersionRef};
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
    version_ref: VersionRef,
    source: &ObjectSource,
) -> Result<(), StageError> {
    let mut draft = RowDraft::new(d, version_ref);
    stage::hold(d, version_ref, source, Scope::Whole).await?;
    let mut others = d.members.others();
    tree::order(&mut others, version_ref.version);
    log::info!("version {}: offered to {} members", version_ref.version, others.len());
    let mut promotion = Promotion::new(version_ref.version, others.iter().copied(), d.clock.now());
    let delta = d.versions.manifest_delta(version_ref);
    let offer = |rest| Ask::Offer { version_ref, origin: d.me, delta: delta.clone(), rest };
    let fates = spread(d, &others, offer, 2 * RELAY_TIME).await;
    for (host, fate) in fates {
        match fate {
            DeliveryResult::Done => promotion.held(host),
            DeliveryResult::Refused(why) => promotion.refused(host, why),
            DeliveryResult::Late => promotion.lost(host),
        }
    }
    draft.staged(d, &others, &promotion);
    match promotion.step(d.clock.now()) {
        Step::Withhold => withhold(d, version_ref.version, &promotion),
        Step::AskPromises | Step::WaitUntil(_) => {
            if promised(d, version_ref.version).await {
                activate(d, version_ref, &others, &mut draft).await;
            }
        }
    }
    d.delivery_record.finish(d, draft);
    Ok(())
}

/// Answers an offer: holds the version, passes it on, tells how all fared.
pub async fn on_offer(
    d: &Arc<Daemon>,
    version_ref: VersionRef,
    origin: HostKey,
    delta: ManifestDelta,
    rest: Vec<HostKey>,
) -> Response {
    d.versions.apply_manifest_delta(version_ref, &delta);
    let own = hold_offered(d, version_ref, origin).await;
    let offer = |rest| Ask::Offer { version_ref, origin, delta: delta.clone(), rest };
    let mut fates = spread(d, &rest, offer, RELAY_TIME).await;
    fates.push((d.me, own));
    Response::DeliveryResults(fates)
}

/// Answers an activation: runs the version, passes it on, tells how all fared.
pub async fn on_activate(d: &Arc<Daemon>, version_ref: VersionRef, rest: Vec<HostKey>) -> Response {
    d.versions.add_version_ref(version_ref);
    let actions = d.versions.on(Event::Activated(version_ref.version));
    stage::perform(d, actions, None);
    let mut fates = spread(d, &rest, |rest| Ask::Activate { version_ref, rest }, RELAY_TIME).await;
    fates.push((d.me, ran(d, version_ref.version)));
    Response::DeliveryResults(fates)
}

async fn hold_offered(d: &Arc<Daemon>, version_ref: VersionRef, origin: HostKey) -> DeliveryResult {
    d.versions.add_version_ref(version_ref);
    // The origin holds the version whole; the relay in between may lack what
    // only this proxy selects.
    let source = ObjectSource::Peers(d.members.address(origin).into_iter().collect());
    match stage::hold(d, version_ref, &source, Scope::Selected).await {
        Ok(()) => DeliveryResult::Done,
        Err(err) if err.is_bad() => DeliveryResult::Refused(err.to_string()),
        Err(_) => DeliveryResult::Late,
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

async fn activate(
    d: &Arc<Daemon>,
    version_ref: VersionRef,
    others: &[HostKey],
    draft: &mut RowDraft,
) {
    let fates = spread(d, others, |rest| Ask::Activate { version_ref, rest }, 2 * RELAY_TIME).await;
    draft.activated(d, &fates);
}

fn ran(d: &Daemon, version: Version) -> DeliveryResult {
    match d.versions.running_version() >= version {
        true => DeliveryResult::Done,
        false => DeliveryResult::Late,
    }
}

/// Sends a message down the tree and gathers how every host fared.
async fn spread(
    d: &Arc<Daemon>,
    hosts: &[HostKey],
    message: impl Fn(Vec<HostKey>) -> Ask,
    time: Duration,
) -> Vec<(HostKey, DeliveryResult)> {
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
async fn send(
    d: &Arc<Daemon>,
    branch: Branch,
    ask: Ask,
    time: Duration,
) -> Vec<(HostKey, DeliveryResult)> {
    let mut fates = Vec::new();
    let mut branch = branch;
    loop {
        let answer = match d.members.address(branch.child) {
            Some(to) => peers::ask(d, to, &with_rest(&ask, &branch.rest), time).await.ok(),
            None => None,
        };
        if let Some(Response::DeliveryResults(below)) = answer {
            fates.extend(below);
            return fates;
        }
        fates.push((branch.child, DeliveryResult::Late));
        let Some((next, rest)) = branch.rest.split_first() else { return fates };
        branch = Branch { child: *next, rest: rest.to_vec() };
    }
}

fn with_rest(ask: &Ask, rest: &[HostKey]) -> Ask {
    let rest = rest.to_vec();
    match ask {
        Ask::Offer { version_ref, origin, delta, .. } => {
            Ask::Offer { version_ref: *version_ref, origin: *origin, delta: delta.clone(), rest }
        }
        Ask::Activate { version_ref, .. } => Ask::Activate { version_ref: *version_ref, rest },
        other => other.clone(),
    }
}
