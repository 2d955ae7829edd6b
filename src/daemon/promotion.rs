//! Promotes a version in a failure domain, and relays offers and activations.

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
use cicadashift_http::reactor::Timer;
use cicadashift_wire::rpc::{DeliveryResult, ManifestDelta, Request, Response, VersionRef};
use std::sync::Arc;
use std::time::Duration;

/// Time limit of one message that a relay sends.
const RELAY_TIMEOUT: Duration = GRACE;
/// Pause before the witnesses are asked again.
const PROMISE_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of attempts to collect a majority of promises; after that, the
/// version is left to the daemons that catch up.
const MAX_PROMISE_ATTEMPTS: u32 = 40;

/// Brings a version into force in this failure domain.
///
/// Any daemon may do this: each step is safe no matter which daemon takes it, and
/// a second daemon that promotes the same version costs only messages.
///
/// # Errors
///
/// Returns why the version cannot be staged here, in which case it was not offered.
pub async fn run(
    d: &Arc<Daemon>,
    version_ref: VersionRef,
    source: &ObjectSource,
) -> Result<(), StageError> {
    let mut draft = RowDraft::new(d, version_ref);
    stage::stage_version(d, version_ref, source, Scope::Complete).await?;
    let mut others = d.members.others();
    tree::order(&mut others, version_ref.version);
    log::info!("version {}: offered to {} members", version_ref.version, others.len());
    let mut promotion = Promotion::new(version_ref.version, others.iter().copied(), d.clock.now());
    let delta = d.versions.manifest_delta(version_ref);
    let offer = |rest| Request::Offer { version_ref, origin: d.me, delta: delta.clone(), rest };
    let fates = send_to_all(d, &others, offer, 2 * RELAY_TIMEOUT).await;
    for (host, fate) in fates {
        match fate {
            DeliveryResult::Done => promotion.mark_staged(host),
            DeliveryResult::Refused(reason) => promotion.mark_refused(host, reason),
            DeliveryResult::Late => promotion.mark_unreachable(host),
        }
    }
    draft.record_offer(d, &others, &promotion);
    match promotion.step(d.clock.now()) {
        Step::Withhold => record_refusals(d, version_ref.version, &promotion),
        Step::RequestPromises | Step::WaitUntil(_) => {
            if collect_promises(d, version_ref.version).await {
                activate(d, version_ref, &others, &mut draft).await;
            }
        }
    }
    d.delivery_record.finish(d, draft);
    Ok(())
}

/// Answers an offer: stages the version, relays the offer, and reports the result of every host.
pub async fn on_offer(
    d: &Arc<Daemon>,
    version_ref: VersionRef,
    origin: HostKey,
    delta: ManifestDelta,
    rest: Vec<HostKey>,
) -> Response {
    d.versions.apply_manifest_delta(version_ref, &delta);
    let own_fate = stage_offered(d, version_ref, origin).await;
    let offer = |rest| Request::Offer { version_ref, origin, delta: delta.clone(), rest };
    let mut fates = send_to_all(d, &rest, offer, RELAY_TIMEOUT).await;
    fates.push((d.me, own_fate));
    Response::DeliveryResults(fates)
}

/// Answers an activation: runs the version, relays the activation, and reports the result of every
/// host.
pub async fn on_activate(d: &Arc<Daemon>, version_ref: VersionRef, rest: Vec<HostKey>) -> Response {
    d.versions.add_version_ref(version_ref);
    let actions = d.versions.on(Event::Activated(version_ref.version));
    stage::perform(d, actions, None);
    let mut fates =
        send_to_all(d, &rest, |rest| Request::Activate { version_ref, rest }, RELAY_TIMEOUT).await;
    fates.push((d.me, activation_fate(d, version_ref.version)));
    Response::DeliveryResults(fates)
}

async fn stage_offered(
    d: &Arc<Daemon>,
    version_ref: VersionRef,
    origin: HostKey,
) -> DeliveryResult {
    d.versions.add_version_ref(version_ref);
    // The origin has staged the complete version; the relay in between may lack
    // objects that only this proxy needs.
    let source = ObjectSource::Peers(d.members.address(origin).into_iter().collect());
    match stage::stage_version(d, version_ref, &source, Scope::Selected).await {
        Ok(()) => DeliveryResult::Done,
        Err(err) if err.is_invalid() => DeliveryResult::Refused(err.to_string()),
        Err(_) => DeliveryResult::Late,
    }
}

fn record_refusals(d: &Arc<Daemon>, version: Version, promotion: &Promotion) {
    for (host, reason) in promotion.refusals() {
        let name = d.members.get(*host).map_or_else(String::new, |record| record.name);
        log::error!("version {version} is withheld: {name} refused it: {reason}");
        d.versions.mark_rejected(version, format!("refused by {name}: {reason}"));
    }
}

async fn collect_promises(d: &Arc<Daemon>, version: Version) -> bool {
    for attempt in 0..MAX_PROMISE_ATTEMPTS {
        if attempt > 0 {
            Timer::after(PROMISE_RETRY_INTERVAL).await;
        }
        stage::request_promises(d, version).await;
        if d.versions.active_version() >= version {
            return true;
        }
        let is_superseded = d.versions.newest().is_some_and(|newest| newest.version > version);
        if is_superseded {
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
    let fates =
        send_to_all(d, others, |rest| Request::Activate { version_ref, rest }, 2 * RELAY_TIMEOUT)
            .await;
    draft.record_activation(d, &fates);
}

fn activation_fate(d: &Daemon, version: Version) -> DeliveryResult {
    match d.versions.running_version() >= version {
        true => DeliveryResult::Done,
        false => DeliveryResult::Late,
    }
}

/// Sends a message along the tree and collects the result of every host.
async fn send_to_all(
    d: &Arc<Daemon>,
    hosts: &[HostKey],
    message: impl Fn(Vec<HostKey>) -> Request,
    timeout: Duration,
) -> Vec<(HostKey, DeliveryResult)> {
    let tasks: Vec<_> = tree::branches(hosts, FANOUT)
        .into_iter()
        .map(|branch| {
            let request = message(branch.rest.clone());
            let d = d.clone();
            exec::spawn(async move { send_to_branch(&d, branch, request, timeout).await })
        })
        .collect();
    let mut fates = Vec::new();
    for task in tasks {
        fates.extend(task.await);
    }
    fates
}

/// Sends a message to one branch; if its first host fails, to the next host instead.
///
/// Failure: a relay has died and is not yet known to be dead. Symptom: all hosts
/// of its branch miss the message until they catch up by themselves. The hosts of
/// the branch are tried in turn as its relay, so one dead relay delays its branch
/// by one timeout.
async fn send_to_branch(
    d: &Arc<Daemon>,
    branch: Branch,
    request: Request,
    timeout: Duration,
) -> Vec<(HostKey, DeliveryResult)> {
    let mut fates = Vec::new();
    let mut branch = branch;
    loop {
        let answer = match d.members.address(branch.child) {
            Some(to) => peers::ask(d, to, &with_rest(&request, &branch.rest), timeout).await.ok(),
            None => None,
        };
        if let Some(Response::DeliveryResults(relayed)) = answer {
            fates.extend(relayed);
            return fates;
        }
        fates.push((branch.child, DeliveryResult::Late));
        let Some((next, rest)) = branch.rest.split_first() else { return fates };
        branch = Branch { child: *next, rest: rest.to_vec() };
    }
}

fn with_rest(request: &Request, rest: &[HostKey]) -> Request {
    let rest = rest.to_vec();
    match request {
        Request::Offer { version_ref, origin, delta, .. } => Request::Offer {
            version_ref: *version_ref,
            origin: *origin,
            delta: delta.clone(),
            rest,
        },
        Request::Activate { version_ref, .. } => {
            Request::Activate { version_ref: *version_ref, rest }
        }
        other => other.clone(),
    }
}
