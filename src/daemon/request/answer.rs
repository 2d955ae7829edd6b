//! Turns an exit daemon's response into the answer for the caller.

use super::bounded::BoundedBody;
use super::headers;
use super::held::{HeldAnswers, HeldMemory};
use super::payload::{Payload, buffer};
use crate::clock::Clock;
use crate::daemon::dependencies;
use bytes::Bytes;
use cicadashift_core::request::link::SMALL_BYTES;
use cicadashift_core::request::retry::Attempt;
use cicadashift_http::ahead::Place;
use cicadashift_http::body::{self, Body};
use cicadashift_http::hyper::body::Body as HttpBody;
use cicadashift_http::hyper::http::response;
use cicadashift_http::hyper::{Response, StatusCode};
use cicadashift_wire::call;
use http_body_util::BodyExt;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// `Retry-After` that is assumed if an exit daemon names none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Largest answer that is buffered whole before it is passed on, in bytes. Larger answers
/// are streamed: their upstream's host holds them whole, and waiting here for 64 KB would
/// cost a tenth of a second on a link of 5 Mbit/s.
const MAX_HELD_BYTES: usize = SMALL_BYTES as usize;

/// Result of one attempt.
pub enum AttemptResult {
    /// An answer of the upstream.
    Answer(Answer),
    /// No answer: how far the attempt got, and the reason.
    NoAnswer(Attempt, &'static str),
}

/// An answer of an upstream.
pub struct Answer {
    /// Its head.
    pub head: response::Parts,
    /// Its body.
    pub body: AnswerBody,
}

/// The body of an answer.
pub enum AnswerBody {
    /// Buffered whole.
    Whole(Bytes),
    /// Held until it was whole, since requests behind it have been started.
    Held(Bytes, HeldMemory),
    /// Too large to be buffered; if it breaks off, the caller's connection is cut too.
    Streaming(Body),
}

impl Answer {
    /// Returns whether the status is a failure that another upstream may not have.
    pub fn is_failure(&self) -> bool {
        matches!(self.head.status, StatusCode::INTERNAL_SERVER_ERROR | StatusCode::BAD_GATEWAY)
    }

    /// Returns whether it is large enough to be scheduled on the link of the upstream's host.
    pub fn is_large(&self) -> bool {
        match &self.body {
            AnswerBody::Whole(buf) | AnswerBody::Held(buf, _) => buf.len() as u64 > SMALL_BYTES,
            AnswerBody::Streaming(_) => true,
        }
    }

    /// Bounds the rest of an answer that is passed on as it arrives by a deadline.
    pub fn bounded_by(mut self, deadline: Instant, clock: &Arc<dyn Clock>) -> Answer {
        if let AnswerBody::Streaming(body) = self.body {
            let body = BoundedBody::new(body, deadline, clock.clone());
            self.body = AnswerBody::Streaming(body.boxed_unsync());
        }
        self
    }

    /// Makes the response to the caller.
    pub fn into_response(self) -> Response<Body> {
        let body = match self.body {
            AnswerBody::Whole(buf) => body::full(buf),
            AnswerBody::Held(buf, memory) => body::with_guard(body::full(buf), memory),
            AnswerBody::Streaming(body) => body,
        };
        Response::from_parts(self.head, body)
    }
}

/// Returns the outcome and reason that an exit daemon reports in place of an answer, if the
/// response is such a report.
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

/// Reads an answer, up to `MAX_HELD_BYTES` of its body.
///
/// Small answers are passed on only once they are complete, so that a call whose answer
/// breaks off can be sent again. The same goes for a larger one if requests behind it were
/// started; see [`super::held`].
pub async fn read(
    mut head: response::Parts,
    body: Body,
    place: Option<&Place>,
    held: &HeldAnswers,
) -> Result<Answer, &'static str> {
    headers::strip_cicadashift(&mut head.headers);
    headers::strip_hop_by_hop(&mut head.headers);
    let stated = body.size_hint().exact();
    let body = match buffer(body, MAX_HELD_BYTES, u64::MAX).await {
        Ok(Payload::Buffered(buf)) => AnswerBody::Whole(buf),
        Ok(Payload::Streamed(body, _)) => {
            let body = body.unwrap_or_else(body::empty);
            match place.is_none_or(Place::reserve_end) {
                true => AnswerBody::Streaming(body),
                false => hold(body, stated, held).await?,
            }
        }
        Err(_) => return Err("truncated"),
    };
    Ok(Answer { head, body })
}

/// Reads the rest of an answer before it is passed on, if there is memory for it.
async fn hold(
    body: Body,
    stated: Option<u64>,
    held: &HeldAnswers,
) -> Result<AnswerBody, &'static str> {
    let Some(mut memory) = held.reserve(stated) else {
        log::warn!("an answer with requests started behind it is too large to be held");
        return Ok(AnswerBody::Streaming(body));
    };
    match buffer(body, memory.bytes(), u64::MAX).await {
        Ok(Payload::Buffered(buf)) => {
            memory.shrink_to(buf.len());
            Ok(AnswerBody::Held(buf, memory))
        }
        Ok(Payload::Streamed(body, _)) => {
            log::warn!("an answer with requests started behind it is too large to be held");
            Ok(AnswerBody::Streaming(body.unwrap_or_else(body::empty)))
        }
        Err(_) => Err("truncated"),
    }
}

/// Maps a reason header to one of the known reasons, so that no text from the network gets
/// into logs or responses.
fn known_reason(text: Option<&str>) -> &'static str {
    const REASONS: [&str; 23] = [
        call::UPSTREAM_ENDED,
        call::QUARANTINED,
        call::DISPUTED,
        call::SLOW_HOST,
        "held-back",
        dependencies::DEPENDENCY,
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
