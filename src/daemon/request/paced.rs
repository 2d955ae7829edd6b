//! Pacing of answers on the host's link.

use crate::daemon::{Daemon, lock};
use bytes::Bytes;
use cicadashift_core::request::gate::KindKey;
use cicadashift_core::request::link::{SMALL_BYTES, TransferId};
use cicadashift_http::body::{Body, BodyError};
use cicadashift_http::hyper::Response;
use cicadashift_http::hyper::body::{Body as HttpBody, Frame, SizeHint};
use cicadashift_http::reactor::Timer;
use http_body_util::BodyExt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

/// Bytes assumed for an answer's head and for the packet headers around it.
const HEAD_BYTES: u64 = 400;
/// Size assumed for an answer that does not state its length, in bytes.
const DEFAULT_BYTES: u64 = 64 << 10;

/// Paces an answer on the host's link: a small one is sent at once, a large one piece by
/// piece, in turn with other large answers.
pub fn pace_answer(d: &Arc<Daemon>, res: Response<Body>) -> Response<Body> {
    let Some(link) = &d.link else { return res };
    let now = d.clock.now();
    let size = res.body().size_hint().exact();
    if let Some(bytes) = size.filter(|bytes| *bytes <= SMALL_BYTES) {
        lock(link).record_sent(bytes + HEAD_BYTES, now);
        return res;
    }
    let transfer = lock(link).start_transfer(size.unwrap_or(DEFAULT_BYTES), now);
    res.map(|body| {
        PacedBody { d: d.clone(), transfer, body, buffered: Bytes::new(), pause: None }
            .boxed_unsync()
    })
}

/// Body of a large answer, whose pieces wait for their turn on the link.
struct PacedBody {
    d: Arc<Daemon>,
    transfer: TransferId,
    body: Body,
    /// Bytes that were read from the body and not sent yet.
    buffered: Bytes,
    pause: Option<Timer>,
}

impl PacedBody {
    /// Returns how many bytes may be sent now, or sets the pause after which to ask again.
    fn next_piece(&mut self) -> Option<usize> {
        let Some(link) = &self.d.link else { return Some(self.buffered.len()) };
        let mut link = lock(link);
        let bytes = self.buffered.len().min(link.piece());
        match link.request_piece(self.transfer, bytes as u64, self.d.clock.now()) {
            Ok(()) => Some(bytes),
            Err(wait) => {
                self.pause = Some(Timer::after(wait));
                None
            }
        }
    }
}

impl HttpBody for PacedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        loop {
            if let Some(pause) = &mut self.pause {
                ready!(Pin::new(pause).poll(cx));
                self.pause = None;
            }
            if self.buffered.is_empty() {
                match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
                    Some(Ok(frame)) => match frame.into_data() {
                        Ok(data) => self.buffered = data,
                        Err(trailers) => return Poll::Ready(Some(Ok(trailers))),
                    },
                    end => return Poll::Ready(end),
                }
                continue;
            }
            if let Some(bytes) = self.next_piece() {
                return Poll::Ready(Some(Ok(Frame::data(self.buffered.split_to(bytes)))));
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.buffered.is_empty() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let buffered = self.buffered.len() as u64;
        let rest = self.body.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + buffered);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + buffered);
        }
        hint
    }
}

impl Drop for PacedBody {
    fn drop(&mut self) {
        if let Some(link) = &self.d.link {
            lock(link).end_transfer(self.transfer);
        }
    }
}

/// Counts the large answer that an upstream is working on towards the link's backlog.
pub struct ExpectedAnswer {
    d: Arc<Daemon>,
    bytes: u64,
}

impl ExpectedAnswer {
    /// Counts the answer of a call that starts now, if answers of its kind are large.
    pub fn new(d: &Arc<Daemon>, kind: KindKey) -> ExpectedAnswer {
        let bytes = d.link.as_ref().map_or(0, |link| {
            let mut link = lock(link);
            let bytes = link.large_size(kind).unwrap_or(0);
            link.expect(bytes, true);
            bytes
        });
        ExpectedAnswer { d: d.clone(), bytes }
    }
}

impl Drop for ExpectedAnswer {
    fn drop(&mut self) {
        if let Some(link) = &self.d.link {
            lock(link).expect(self.bytes, false);
        }
    }
}
