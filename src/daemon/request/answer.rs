//! From the exit daemon's answer to the caller's.

use super::headers;
use super::payload::{Payload, hold};
use bytes::Bytes;
use cicadashift_core::request::link::SMALL_BYTES;
use cicadashift_core::request::retry::Attempt;
use cicadashift_http::body::{self, Body};
use cicadashift_http::hyper::http::response;
use cicadashift_http::hyper::{Response, StatusCode};
use cicadashift_wire::call;
use std::time::Duration;

/// Time to come back that is assumed where an exit daemon names none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Largest answer that is held until it is whole, in bytes. What is larger goes on as
/// it comes: its upstream's host has it whole, and waiting for 64 KB of it would cost
/// a tenth of a second on a link of 5 Mbit/s.
const HELD_BYTES: usize = SMALL_BYTES as usize;

/// What one attempt brought.
pub enum AttemptResult {
    /// An answer of the upstream.
    Answer(Answer),
    /// No answer; how far the attempt got, and why.
    NoAnswer(Attempt, &'static str),
}

/// An answer of an upstream.
pub struct Answer {
    /// Its head.
    pub head: response::Parts,
    /// Its body, or as much as there is so far.
    pub body: AnswerBody,
}

/// The body of an answer.
pub enum AnswerBody {
    /// All of it.
    Whole(Bytes),
    /// Too large to be held; if it breaks off, so does the caller's connection.
    Streaming(Body),
}

impl Answer {
    /// Returns whether the upstream failed, in a way that another may not.
    pub fn is_failure(&self) -> bool {
        matches!(self.head.status, StatusCode::INTERNAL_SERVER_ERROR | StatusCode::BAD_GATEWAY)
    }

    /// Returns whether it is so large that the link of the upstream's host counts.
    pub fn is_large(&self) -> bool {
        match &self.body {
            AnswerBody::Whole(buf) => buf.len() as u64 > SMALL_BYTES,
            AnswerBody::Streaming(_) => true,
        }
    }

    /// Makes the response to the caller.
    pub fn into_response(self) -> Response<Body> {
        let body = match self.body {
            AnswerBody::Whole(buf) => body::full(buf),
            AnswerBody::Streaming(body) => body,
        };
        Response::from_parts(self.head, body)
    }
}

/// Returns what an exit daemon said in place of an answer, if it did.
pub fn refusal(head: &response::Parts) -> Option<(Attempt, &'static str)> {
    let outcome = headers::text(&head.headers, call::OUTCOME)?;
    let reason = known_reason(headers::text(&head.headers, call::REASON));
    if outcome != call::NOT_RUN {
        return Some((Attempt::Unknown, reason));
    }
    let ms = headers::number(&head.headers, call::RETRY_AFTER_MS);
    let retry_after = ms.map_or(DEFAULT_RETRY_AFTER, Duration::from_millis);
    let arrived = matches!(reason, "shed" | "misdirected");
    Some((Attempt::NotRun { retry_after, arrived }, reason))
}

/// Reads an answer as far as it is held.
///
/// Small answers are passed on only when they are whole, so that one that breaks
/// off can be asked for again.
pub async fn read(mut head: response::Parts, body: Body) -> Result<Answer, &'static str> {
    headers::strip_cicadashift(&mut head.headers);
    headers::strip_hop_by_hop(&mut head.headers);
    match hold(body, HELD_BYTES, u64::MAX).await {
        Ok(Payload::Held(buf)) => Ok(Answer { head, body: AnswerBody::Whole(buf) }),
        Ok(Payload::Streamed(body, _)) => {
            let body = body.unwrap_or_else(body::empty);
            Ok(Answer { head, body: AnswerBody::Streaming(body) })
        }
        Err(_) => Err("truncated"),
    }
}

/// Returns one of our reasons; text from the network goes no further.
fn known_reason(text: Option<&str>) -> &'static str {
    const REASONS: [&str; 21] = [
        call::UPSTREAM_ENDED,
        call::QUARANTINED,
        call::DISPUTED,
        "held-back",
        "truncated",
        "over-limit",
        "busy",
        "full",
        "link-busy",
        "too-late",
        "draining",
        "gone",
        "queue-full",
        "unreached",
        "shed",
        "misdirected",
        "upstream-broke",
        "wrong-answer",
        "upstream-silent",
        "deadline",
        "leaving",
    ];
    REASONS.into_iter().find(|reason| Some(*reason) == text).unwrap_or("unspecified")
}
