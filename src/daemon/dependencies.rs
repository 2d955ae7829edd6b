//! Admission of calls together with the nested calls that their runs will make.
//!
//! `cicadashift_core::request::dependency` decides; here are the tables of this daemon and
//! the headers between daemons. docs/design/DEPENDENCIES.md has the reasons. A daemon is exit
//! of the called service ([`Dependencies::record_arrival`]), host of the calling upstream
//! ([`Dependencies::record_entered`], [`Dependencies::record_run`],
//! [`Dependencies::admit_at_exit`]) and entry of callers
//! ([`Dependencies::admit_at_entry`], [`Dependencies::record_answer`]).

use super::gates::local::LocalUpstream;
use super::request::work::RoutedCall;
use super::request::{entry, headers};
use super::{Daemon, lock, throttles};
use cicadashift_core::config::Priority;
use cicadashift_core::config::compile::RouteKey;
use cicadashift_core::request::dependency::{
    Change, EntryDecision, Level, Levels, NestedEnd, NestedKinds, Origins, ReportedLevels,
    ServiceKey,
};
use cicadashift_core::request::gate::{KindKey, Refusal};
use cicadashift_http::body::Body;
use cicadashift_http::hyper::header::HeaderMap;
use cicadashift_http::hyper::{Response, StatusCode};
use cicadashift_wire::call::{self, Context};
use serde_json::{Value, json};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Mutex;

/// Reason of the refusals by a kind's level.
pub const DEPENDENCY: &str = "dependency";

/// What this daemon knows of nested calls. One lock is held at a time.
#[derive(Default)]
pub struct Dependencies {
    /// Where the calls to the upstreams of this host enter.
    origins: Mutex<Origins>,
    /// Which kinds are nested calls of this host's upstreams.
    nested: Mutex<NestedKinds>,
    /// Which fraction of each kind of call this host admits.
    levels: Mutex<Levels>,
    /// Which fraction other hosts admit.
    reported: Mutex<ReportedLevels>,
}

impl Dependencies {
    /// Records a call for an upstream of this host; returns whether its kind is taken for
    /// nested calls of the service at whose host it entered.
    pub fn record_arrival(&self, d: &Daemon, cx: &Context) -> bool {
        if !d.settings.load.dependencies {
            return false;
        }
        let (kind, now) = (KindKey(cx.call_kind), d.clock.now());
        let origin = service_key(&cx.caller_service);
        let mut origins = lock(&self.origins);
        origins.record(kind, origin, now);
        let is_named = !cx.caller_service.is_empty();
        is_named && origins.nested_of(kind, own_service(d), now) == Some(origin)
    }

    /// Records how a call ended that entered at this daemon.
    pub fn record_entered(&self, d: &Daemon, kind: KindKey, res: &Response<Body>) {
        if !d.settings.load.dependencies {
            return;
        }
        let now = d.clock.now();
        if !lock(&self.nested).contains(kind, now) {
            lock(&self.origins).record_entry(own_service(d), now);
            return;
        }
        let end = match headers::is_not_run(res.headers()) {
            true if headers::text(res.headers(), call::REASON) == Some(DEPENDENCY) => {
                NestedEnd::PassedOn
            }
            true if throttles::is_for_want_of_room(res.headers()) => NestedEnd::Refused,
            // Upstreams that refuse calls although they have free slots refuse the same share
            // of fewer calls.
            true | false => NestedEnd::Ran,
        };
        lock(&self.levels).record_nested(end, now);
    }

    /// Decides about a call before it takes a slot of an upstream on this host. A call that
    /// its entry daemon admitted by the levels of all hosts is not decided on again.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a call that is not admitted.
    pub fn admit_at_exit(
        &self,
        d: &Daemon,
        local: &LocalUpstream,
        kind: KindKey,
        head: &HeaderMap,
    ) -> Result<(), Refusal> {
        if !is_active(d, local) || head.contains_key(call::ADMITTED) {
            return Ok(());
        }
        let admitted = lock(&self.levels).admit(kind, d.clock.now(), fastrand::u64(..));
        admitted.map_err(|retry_after| {
            d.metrics.incr("exit.dependency_refused");
            Refusal::Dependency { retry_after }
        })
    }

    /// Records how a call ended at an upstream of this host, and adds to the response what
    /// the entry daemon is to know of its kind.
    pub fn record_run(
        &self,
        d: &Daemon,
        local: &LocalUpstream,
        run: ExitCall,
        res: &mut Response<Body>,
    ) {
        if run.is_nested {
            headers::set(res.headers_mut(), call::NESTED, "1");
        }
        if !is_active(d, local) {
            return;
        }
        let has_run = !headers::is_not_run(res.headers());
        let has_failed = is_failed_parent(res.status());
        let mut levels = lock(&self.levels);
        if has_run {
            levels.record_run(run.kind, run.priority, has_failed, d.clock.now());
        }
        if let Some(level) = levels.level(run.kind) {
            headers::set(res.headers_mut(), call::LEVEL, &level.thousandths().to_string());
        }
    }

    /// Decides about a call before it is sent to any host.
    pub fn admit_at_entry(&self, d: &Daemon, call: &RoutedCall) -> EntryDecision {
        if !d.settings.load.dependencies {
            return EntryDecision::Unknown;
        }
        let (service, now) = (service_key(&call.service), d.clock.now());
        lock(&self.reported).admit(service, KindKey(call.kind), now, fastrand::u64(..))
    }

    /// Records what an exit daemon says of the kind of a call with its answer or refusal.
    pub fn record_answer(&self, d: &Daemon, call: &RoutedCall, head: &HeaderMap) {
        if !d.settings.load.dependencies {
            return;
        }
        let (kind, now) = (KindKey(call.kind), d.clock.now());
        if head.contains_key(call::NESTED) {
            lock(&self.nested).record(kind, now);
        }
        let level = headers::number(head, call::LEVEL).map(Level::from_thousandths);
        lock(&self.reported).record(service_key(&call.service), kind, level, now);
    }

    /// Moves the levels, and logs which kinds began or ceased to be refused.
    pub fn tick(&self, d: &Daemon) {
        let (changes, lowest) = {
            let mut levels = lock(&self.levels);
            let changes = levels.tick(d.clock.now());
            let lowest = levels.throttled().into_iter().map(|(_, level)| level).min();
            (changes, lowest.unwrap_or(Level::ALL))
        };
        if lowest < Level::ALL || !changes.is_empty() {
            d.metrics.gauge("dependency.lowest_level", u64::from(lowest.thousandths()));
        }
        for change in changes {
            match change {
                Change::Began(kind) => log::info!(
                    "calls to {} are admitted in part: nested calls of their runs are refused",
                    route_name(d, kind)
                ),
                Change::Ended(kind) => {
                    log::info!("calls to {} are all admitted", route_name(d, kind))
                }
            }
        }
    }

    /// Returns the levels of this host's kinds of calls, for `status`.
    pub fn status(&self, d: &Daemon) -> Value {
        let throttled = lock(&self.levels).throttled();
        let rows = throttled.into_iter().map(|(kind, level)| {
            json!({"route": route_name(d, kind), "thousandths": level.thousandths()})
        });
        rows.collect::<Vec<_>>().into()
    }
}

/// What is kept of a call while it runs at an upstream of this host.
#[derive(Clone, Copy, Debug)]
pub struct ExitCall {
    /// Its kind.
    pub kind: KindKey,
    /// Its priority.
    pub priority: Priority,
    /// Whether its kind is taken for nested calls.
    pub is_nested: bool,
}

fn is_active(d: &Daemon, local: &LocalUpstream) -> bool {
    d.settings.load.dependencies && (local.reports_pace() || d.has_organisations())
}

/// Returns whether a refused nested call may have led to this status of its parent.
fn is_failed_parent(status: StatusCode) -> bool {
    matches!(status, StatusCode::INTERNAL_SERVER_ERROR | StatusCode::GATEWAY_TIMEOUT)
}

fn own_service(d: &Daemon) -> ServiceKey {
    service_key(d.settings.services.first().map_or("", String::as_str))
}

fn service_key(name: &str) -> ServiceKey {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    ServiceKey(hasher.finish())
}

/// Returns the route of a kind of call for operators, or its number if the configuration in
/// force has no such route.
fn route_name(d: &Daemon, kind: KindKey) -> String {
    let running = d.versions.running();
    let table = &running.table;
    let mut routes = (0..table.len()).filter_map(|i| table.route(RouteKey(i as u32)));
    match routes.find(|route| entry::kind_of(route) == kind) {
        Some(route) => format!("{}{}", route.host.as_deref().unwrap_or_default(), route.prefix),
        None => format!("kind {:016x}", kind.0),
    }
}
