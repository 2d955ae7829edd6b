//! The lines that the log gets about requests.
//!
//! Each decision about a request is one line with its id, so that the lines of
//! one request, gathered from the daemons it passed, tell its story.
//! `docs/LOGS.md` lists the fields.

use super::work::Work;
use crate::daemon::Daemon;
use crate::daemon::services::Target;
use cicadashift_core::request::choose::Reason;
use cicadashift_core::request::retry::{Attempt, RetryDecision};
use serde::Serialize;
use std::time::Instant;

/// An entry daemon's choice of an upstream.
#[derive(Serialize)]
pub struct Choose<'a> {
    /// Names the kind of line.
    pub kind: &'static str,
    /// The request's id.
    pub request: &'a str,
    /// Names what it asks for, the same for each try of its caller.
    pub digest: String,
    /// Version of the configuration that routed it.
    pub version: u64,
    /// The service chosen from.
    pub service: &'a str,
    /// The instance.
    pub upstream: &'a str,
    /// Why this one.
    pub why: &'a str,
    /// Which attempt this is, from one.
    pub attempt: u32,
    /// Upstreams of the service that take work, as known here.
    pub known: usize,
    /// Milliseconds left of the request's time.
    pub left_ms: u64,
    /// Milliseconds left of its objective.
    pub objective_ms: u64,
    /// Milliseconds since its caller first came, with earlier attempts that were refused.
    pub age_ms: u64,
    /// Its rank: its organisation's and its route's.
    pub rank: u8,
}

/// How one attempt ended without an answer for the caller.
#[derive(Serialize)]
pub struct Missed<'a> {
    /// Names the kind of line.
    pub kind: &'static str,
    /// The request's id.
    pub request: &'a str,
    /// The instance.
    pub upstream: &'a str,
    /// What went wrong.
    pub why: &'a str,
    /// `not-run` or `unknown`.
    pub outcome: &'a str,
    /// Milliseconds since the attempt began.
    pub took_ms: u64,
    /// What follows.
    pub next: &'a str,
}

/// What a caller was told in place of an answer.
#[derive(Serialize)]
pub struct Refuse<'a> {
    /// Names the kind of line.
    pub kind: &'static str,
    /// The request's id.
    pub request: &'a str,
    /// The organisation that sent it; left out where none did.
    #[serde(skip_serializing_if = "str::is_empty")]
    pub organisation: &'a str,
    /// Version of the configuration, zero where there is none.
    pub version: u64,
    /// The service, empty where no route was found.
    pub service: &'a str,
    /// The reason, also given to the caller.
    pub why: &'a str,
    /// Status of the answer.
    pub status: u16,
    /// Milliseconds since the request was read.
    pub took_ms: u64,
    /// Milliseconds after which the caller is asked to come back.
    pub retry_after_ms: u64,
    /// Milliseconds since the store last confirmed the configuration.
    pub config_age_ms: Option<u64>,
}

/// An exit daemon's decision.
#[derive(Serialize)]
pub struct Admit<'a> {
    /// Names the kind of line.
    pub kind: &'static str,
    /// The request's id.
    pub request: &'a str,
    /// Names what it asks for, the same for each try of its caller.
    pub digest: String,
    /// Version of the configuration that routed it.
    pub version: u64,
    /// The instance.
    pub upstream: &'a str,
    /// What was decided or happened.
    pub result: &'a str,
    /// Milliseconds since it arrived here.
    pub waited_ms: f64,
    /// Requests at the upstream.
    pub running: usize,
    /// Requests waiting for it here.
    pub queued: usize,
    /// Mean time of a request at the upstream, in milliseconds.
    pub mean_ms: f64,
}

/// Logs the choice of an upstream.
pub fn log_choice(d: &Daemon, work: &Work, target: &Target, attempt: u32) {
    let why = match target.choice.reason {
        Reason::Near => "near",
        Reason::Spill => "spill",
        Reason::NoneNear => "none-near",
        Reason::LastResort => "last-resort",
        Reason::NextToken => "next-token",
    };
    let now = d.clock.now();
    let left = work.deadline.saturating_duration_since(now);
    let line = Choose {
        kind: "choose",
        request: &work.request_id,
        digest: work.digest.to_string(),
        version: work.version,
        service: &work.service,
        upstream: &target.instance,
        why,
        attempt,
        known: target.available,
        left_ms: left.as_millis() as u64,
        objective_ms: work.objective.saturating_duration_since(now).as_millis() as u64,
        age_ms: now.saturating_duration_since(work.first_came).as_millis() as u64,
        rank: work.priority.0,
    };
    crate::logging::rate_limited_decision(attempt == 1, &line);
}

/// Logs how an attempt ended that brought no answer to pass on.
pub fn log_missed(
    d: &Daemon,
    work: &Work,
    target: &Target,
    attempt: Attempt,
    why: &str,
    verdict: RetryDecision,
    began: Instant,
) {
    let outcome = match attempt {
        Attempt::Answered => "answered",
        Attempt::NotRun { .. } => "not-run",
        Attempt::Unknown => "unknown",
    };
    let next = match verdict {
        RetryDecision::Retry => "again",
        RetryDecision::Refuse { .. } => "refuse",
        RetryDecision::Answer | RetryDecision::Unknown => "give-up",
    };
    crate::logging::decision(&Missed {
        kind: "missed",
        request: &work.request_id,
        upstream: &target.instance,
        why,
        outcome,
        took_ms: d.clock.now().saturating_duration_since(began).as_millis() as u64,
        next,
    });
}
