//! Log lines about requests.
//!
//! Each decision about a request is one line with the request's id, so that the lines of
//! all daemons that handled a request can be joined to show what happened to it.
//! `docs/LOGS.md` lists the fields.

use super::work::RoutedCall;
use crate::daemon::Daemon;
use crate::daemon::services::Target;
use crate::logging::{DecisionClass, rate_limited_decision};
use cicadashift_core::request::choose::Reason;
use cicadashift_core::request::retry::{Attempt, RetryDecision};
use serde::Serialize;
use std::time::Instant;

/// Line of an entry daemon that chose an upstream.
#[derive(Serialize)]
pub struct ChooseLine<'a> {
    /// Kind of the line.
    pub kind: &'static str,
    /// The request's id.
    pub request: &'a str,
    /// Digest of the call, the same each time its caller sends it.
    pub digest: String,
    /// Version of the configuration that routed it.
    pub version: u64,
    /// The service chosen from.
    pub service: &'a str,
    /// The upstream instance.
    pub upstream: &'a str,
    /// Why this upstream was chosen.
    pub why: &'a str,
    /// Number of the attempt, counted from one.
    pub attempt: u32,
    /// Upstreams of the service that this daemon knows to take calls.
    pub known: usize,
    /// Milliseconds left until the request's deadline.
    pub left_ms: u64,
    /// Milliseconds left until its objective.
    pub objective_ms: u64,
    /// Milliseconds since it first arrived, including earlier tries of its caller that
    /// were refused.
    pub age_ms: u64,
    /// Its priority, from its organisation's and its route's.
    pub rank: u8,
}

/// Line of an entry daemon about an attempt that ended without an answer for the caller.
#[derive(Serialize)]
pub struct MissedLine<'a> {
    /// Kind of the line.
    pub kind: &'static str,
    /// The request's id.
    pub request: &'a str,
    /// The upstream instance.
    pub upstream: &'a str,
    /// Why the attempt failed.
    pub why: &'a str,
    /// `not-run` or `unknown`.
    pub outcome: &'a str,
    /// Milliseconds since the attempt began.
    pub took_ms: u64,
    /// What the daemon does next: `again`, `refuse` or `give-up`.
    pub next: &'a str,
}

/// An attempt that brought no answer, in a [`RefuseLine`].
#[derive(Clone, Debug, Serialize)]
pub struct TriedUpstream {
    /// The upstream instance.
    pub upstream: String,
    /// Why the attempt failed.
    pub why: &'static str,
}

/// Line of an entry daemon that sent the caller a response of its own in place of an
/// upstream's answer.
#[derive(Serialize)]
pub struct RefuseLine<'a> {
    /// Kind of the line.
    pub kind: &'static str,
    /// The request's id.
    pub request: &'a str,
    /// The organisation that sent it; omitted if none did.
    #[serde(skip_serializing_if = "str::is_empty")]
    pub organisation: &'a str,
    /// Version of the configuration; zero if there is none.
    pub version: u64,
    /// The service; empty if the call was refused before one was chosen.
    pub service: &'a str,
    /// The reason, also given to the caller.
    pub why: &'a str,
    /// Status code of the response.
    pub status: u16,
    /// The upstreams that did not answer, in the order of the attempts, each with the reason.
    #[serde(skip_serializing_if = "<[_]>::is_empty")]
    pub tried: &'a [TriedUpstream],
    /// Milliseconds since the request was read.
    pub took_ms: u64,
    /// Milliseconds after which the caller is asked to try again.
    pub retry_after_ms: u64,
    /// Milliseconds since the store last confirmed the configuration.
    pub config_age_ms: Option<u64>,
}

/// Line of an exit daemon about admission or the end of a call.
#[derive(Serialize)]
pub struct AdmitLine<'a> {
    /// Kind of the line.
    pub kind: &'static str,
    /// The request's id.
    pub request: &'a str,
    /// Digest of the call, the same each time its caller sends it.
    pub digest: String,
    /// Version of the configuration that routed it.
    pub version: u64,
    /// The upstream instance.
    pub upstream: &'a str,
    /// The decision, or how the call ended.
    pub result: &'a str,
    /// Milliseconds since it arrived at this daemon.
    pub waited_ms: f64,
    /// Requests in flight at the upstream.
    pub running: usize,
    /// Requests queued for the upstream at this daemon.
    pub queued: usize,
    /// Mean service time of the upstream, in milliseconds.
    pub mean_ms: f64,
    /// Whether the upstream is leaving; omitted if it is not. A call that was admitted before
    /// may still be sent to it.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
}

/// Logs the choice of an upstream.
pub fn log_choice(d: &Daemon, call: &RoutedCall, target: &Target, attempt: u32) {
    let why = match target.choice.reason {
        Reason::Near => "near",
        Reason::Spill => "spill",
        Reason::NoneNear => "none-near",
        Reason::LastResort => "last-resort",
        Reason::NextToken => "next-token",
    };
    let now = d.clock.now();
    let left = call.deadline.saturating_duration_since(now);
    let line = ChooseLine {
        kind: "choose",
        request: &call.request_id,
        digest: call.digest.to_string(),
        version: call.version,
        service: &call.service,
        upstream: &target.instance,
        why,
        attempt,
        known: target.available,
        left_ms: left.as_millis() as u64,
        objective_ms: call.objective.saturating_duration_since(now).as_millis() as u64,
        age_ms: now.saturating_duration_since(call.first_arrival).as_millis() as u64,
        rank: call.priority.0,
    };
    let class = match attempt {
        1 => DecisionClass::Ordinary,
        _ => DecisionClass::FailedAttempt,
    };
    rate_limited_decision(class, &line);
}

/// Logs how an attempt ended that brought no answer to pass on, and what follows.
pub fn log_failed_attempt(
    d: &Daemon,
    call: &RoutedCall,
    target: &Target,
    attempt: Attempt,
    why: &str,
    decision: RetryDecision,
    began: Instant,
) {
    let outcome = match attempt {
        Attempt::Answered => "answered",
        Attempt::NotRun { .. } => "not-run",
        Attempt::Unknown => "unknown",
    };
    let next = match decision {
        RetryDecision::Retry => "again",
        RetryDecision::Refuse { .. } => "refuse",
        RetryDecision::Answer | RetryDecision::Unknown => "give-up",
    };
    let line = MissedLine {
        kind: "missed",
        request: &call.request_id,
        upstream: &target.instance,
        why,
        outcome,
        took_ms: d.clock.now().saturating_duration_since(began).as_millis() as u64,
        next,
    };
    rate_limited_decision(DecisionClass::FailedAttempt, &line);
}
