//! Tracking of calls in flight and of the ends of their bodies.

use crate::daemon::Daemon;
use bytes::Bytes;
use cicadashift_http::body::BodyError;
use cicadashift_http::hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll};

/// Counts a call as in flight until it is dropped.
pub struct InFlightGuard {
    d: Arc<Daemon>,
}

impl InFlightGuard {
    /// Counts one more call.
    pub fn new(d: &Arc<Daemon>) -> InFlightGuard {
        d.calls_in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard { d: d.clone() }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.d.calls_in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A body that reports, once, whether it arrived whole.
pub struct TrackedBody<F: FnOnce(bool)> {
    incoming: Incoming,
    on_end: Option<F>,
}

impl<F: FnOnce(bool)> TrackedBody<F> {
    /// Wraps a body. `on_end` gets `true` once the body has arrived whole, and `false` if it
    /// breaks or is dropped before.
    pub fn new(incoming: Incoming, on_end: F) -> TrackedBody<F> {
        let mut tracked = TrackedBody { incoming, on_end: Some(on_end) };
        if tracked.incoming.is_end_stream() {
            tracked.end(true);
        }
        tracked
    }

    fn end(&mut self, is_complete: bool) {
        if let Some(on_end) = self.on_end.take() {
            on_end(is_complete);
        }
    }
}

impl<F: FnOnce(bool) + Unpin> HttpBody for TrackedBody<F> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(cx);
        match polled {
            Poll::Pending => Poll::Pending,
            Poll::Ready(None) => {
                self.end(true);
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(err))) => {
                self.end(false);
                Poll::Ready(Some(Err(BodyError::Broken(err.to_string()))))
            }
            Poll::Ready(Some(Ok(frame))) => {
                if self.incoming.is_end_stream() {
                    self.end(true);
                }
                Poll::Ready(Some(Ok(frame)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

impl<F: FnOnce(bool)> Drop for TrackedBody<F> {
    fn drop(&mut self) {
        self.end(false);
    }
}
