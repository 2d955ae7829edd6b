//! Bodies that keep account of their call while they are sent.

use crate::daemon::Daemon;
use bytes::Bytes;
use cicadashift_http::body::BodyError;
use cicadashift_http::hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll};

/// Counts a call as in progress while it lives.
pub struct InFlightGuard {
    d: Arc<Daemon>,
}

impl InFlightGuard {
    /// Counts one more.
    pub fn new(d: &Arc<Daemon>) -> InFlightGuard {
        d.calls.fetch_add(1, Ordering::Relaxed);
        InFlightGuard { d: d.clone() }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.d.calls.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A body that reports once whether it arrived whole.
pub struct Tracked<F: FnOnce(bool)> {
    incoming: Incoming,
    on_end: Option<F>,
}

impl<F: FnOnce(bool)> Tracked<F> {
    /// Follows a body; `on_end` gets `false` if it is dropped half-way.
    pub fn new(incoming: Incoming, on_end: F) -> Tracked<F> {
        let mut tracked = Tracked { incoming, on_end: Some(on_end) };
        if tracked.incoming.is_end_stream() {
            tracked.end(true);
        }
        tracked
    }

    fn end(&mut self, whole: bool) {
        if let Some(on_end) = self.on_end.take() {
            on_end(whole);
        }
    }
}

impl<F: FnOnce(bool) + Unpin> HttpBody for Tracked<F> {
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

impl<F: FnOnce(bool)> Drop for Tracked<F> {
    fn drop(&mut self) {
        self.end(false);
    }
}
