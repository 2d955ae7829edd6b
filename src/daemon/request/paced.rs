//! Answers on their way over the host's link.

use crate::daemon::{Daemon, lock};
use bytes::Bytes;
use cicadashift_core::request::gate::KindKey;
use cicadashift_core::request::link::{SMALL_BYTES, TransferId};
use cicadashift_http::body::{Body, BodyError};
use cicadashift_http::hyper::Response;
use cicadashift_http::hyper::body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

/// Bytes of an answer's head and of the packets around it.
const HEAD_BYTES: u64 = 400;
/// Size that is assumed of an answer which does not tell its own.
const UNTOLD_BYTES: u64 = 64 << 10;

/// Lets an answer leave by the host's link: small ones at once, large ones piece
/// by piece in their turn.
pub fn pace_answer(d: &Arc<Daemon>, res: Response<Body>) -> Response<Body> {
    let Some(link) = &d.link else { return res };
    let now = d.clock.now();
    let size = res.body().size_hint().exact();
    if let Some(bytes) = size.filter(|bytes| *bytes <= SMALL_BYTES) {
        lock(link).record_sent(bytes + HEAD_BYTES, now);
        return res;
    }
    let turn = lock(link).start_transfer(size.unwrap_or(UNTOLD_BYTES), now);
    res.map(|body| {
        Paced { d: d.clone(), turn, body, held: Bytes::new(), pause: None }.boxed_unsync()
    })
}

/// A large answer that leaves in its turn.
struct Paced {
    d: Arc<Daemon>,
    turn: TransferId,
    body: Body,
    /// What was read of the body and has not left.
    held: Bytes,
    pause: Option<smol::Timer>,
}

impl Paced {
    /// Returns how many bytes may leave now, or sets the pause until they may.
    fn ask(&mut self) -> Option<usize> {
        let Some(link) = &self.d.link else { return Some(self.held.len()) };
        let mut link = lock(link);
        let bytes = self.held.len().min(link.piece());
        match link.request_piece(self.turn, bytes as u64, self.d.clock.now()) {
            Ok(()) => Some(bytes),
            Err(wait) => {
                self.pause = Some(smol::Timer::after(wait));
                None
            }
        }
    }
}

impl HttpBody for Paced {
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
            if self.held.is_empty() {
                match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
                    Some(Ok(frame)) => match frame.into_data() {
                        Ok(data) => self.held = data,
                        Err(trailers) => return Poll::Ready(Some(Ok(trailers))),
                    },
                    end => return Poll::Ready(end),
                }
                continue;
            }
            if let Some(bytes) = self.ask() {
                return Poll::Ready(Some(Ok(Frame::data(self.held.split_to(bytes)))));
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.held.is_empty() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let held = self.held.len() as u64;
        let rest = self.body.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + held);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + held);
        }
        hint
    }
}

impl Drop for Paced {
    fn drop(&mut self) {
        if let Some(link) = &self.d.link {
            lock(link).end_transfer(self.turn);
        }
    }
}

/// Bytes that an upstream is at work on and that will leave by the link.
pub struct Expected {
    d: Arc<Daemon>,
    bytes: u64,
}

impl Expected {
    /// Counts the answer of a call that is begun, if its kind has large ones.
    pub fn new(d: &Arc<Daemon>, kind: KindKey) -> Expected {
        let bytes = d.link.as_ref().map_or(0, |link| {
            let mut link = lock(link);
            let bytes = link.large_size(kind).unwrap_or(0);
            link.expect(bytes, true);
            bytes
        });
        Expected { d: d.clone(), bytes }
    }
}

impl Drop for Expected {
    fn drop(&mut self) {
        if let Some(link) = &self.d.link {
            lock(link).expect(self.bytes, false);
        }
    }
}
