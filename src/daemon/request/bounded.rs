//! Answers that have begun and are given up at their deadline.

use crate::clock::Clock;
use bytes::Bytes;
use cicadashift_http::body::{Body, BodyError};
use cicadashift_http::hyper::body::{Body as HttpBody, Frame, SizeHint};
use cicadashift_http::reactor::Timer;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Instant;

/// Body of an answer that breaks if the rest of it has not arrived by a deadline.
///
/// The time in which the receiver takes no part of the answer does not count: a slow caller
/// gets an answer that is there, also when it is late.
///
/// Failure: a daemon or an upstream stands still in the middle of an answer. Symptom: the
/// caller waits far beyond its route's timeout for an answer that has begun.
pub struct BoundedBody {
    body: Body,
    clock: Arc<dyn Clock>,
    deadline: Instant,
    /// When the last part was passed on.
    passed_on: Option<Instant>,
    /// Set while a part is awaited.
    timer: Option<Timer>,
}

impl BoundedBody {
    /// Bounds a body by a deadline.
    pub fn new(body: Body, deadline: Instant, clock: Arc<dyn Clock>) -> BoundedBody {
        BoundedBody { body, clock, deadline, passed_on: None, timer: None }
    }

    /// Extends the deadline by the time since the last part was passed on.
    fn resume(&mut self) {
        if let Some(passed_on) = self.passed_on.take() {
            self.deadline += self.clock.now().saturating_duration_since(passed_on);
        }
    }
}

impl HttpBody for BoundedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.resume();
        if let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(cx) {
            self.timer = None;
            self.passed_on = Some(self.clock.now());
            return Poll::Ready(frame);
        }
        let left = self.deadline.saturating_duration_since(self.clock.now());
        let timer = self.timer.get_or_insert_with(|| Timer::after(left));
        ready!(Pin::new(timer).poll(cx));
        Poll::Ready(Some(Err(BodyError::Broken("deadline".to_string()))))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
