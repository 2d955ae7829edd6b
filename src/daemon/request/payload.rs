//! Bodies, held to be sent again or streamed once.

use bytes::{Bytes, BytesMut};
use cicadashift_http::body::{self, Body, BodyError};
use cicadashift_http::hyper::body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::{BodyExt, BodyStream, Limited, StreamBody};
use smol::stream::StreamExt;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Largest body that the entry side holds, in bytes.
pub const MAX_BUFFERED: usize = 64 << 10;

/// A request body as it can be sent.
pub enum Payload {
    /// Held whole: can be sent again.
    Buffered(Bytes),
    /// Streamed: can be sent once. What was read of it already is there until taken.
    Streamed(Option<Body>, Bytes),
}

/// Reads a body of at most `most` bytes as far as it is held, and readies the
/// rest for streaming.
///
/// # Errors
///
/// Returns [`BodyError::TooLong`] beyond `most` bytes, and [`BodyError::Broken`]
/// where the body did not arrive whole.
pub async fn buffer<B>(mut incoming: B, held_most: usize, most: u64) -> Result<Payload, BodyError>
where
    B: HttpBody<Data = Bytes> + Unpin + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let size = incoming.size_hint().exact();
    let mut held = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|err| BodyError::Broken(err.into().to_string()))?;
        if let Ok(data) = frame.into_data() {
            held.extend_from_slice(&data);
        }
        if held.len() as u64 > most {
            return Err(BodyError::TooLong);
        }
        if held.len() > held_most {
            let left = usize::try_from(most - held.len() as u64).unwrap_or(usize::MAX);
            let begun = held.freeze();
            let body = streamed(begun.clone(), incoming, size, left);
            return Ok(Payload::Streamed(Some(body), begun));
        }
    }
    Ok(Payload::Buffered(held.freeze()))
}

/// Makes a body of what was read already and what is to come.
fn streamed<B>(begun: Bytes, rest: B, size: Option<u64>, most: usize) -> Body
where
    B: HttpBody<Data = Bytes> + Unpin + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let rest = Limited::new(rest, most).map_err(|err| BodyError::Broken(err.to_string()));
    let begun = smol::stream::once(Ok(Frame::data(begun)));
    let frames = begun.chain(BodyStream::new(rest));
    Sized { body: StreamBody::new(frames).boxed_unsync(), size }.boxed_unsync()
}

/// A body whose length is known although its parts do not tell.
///
/// Without it a sized body would go on in chunks, which some upstreams refuse.
struct Sized {
    body: Body,
    size: Option<u64>,
}

impl HttpBody for Sized {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if let (Poll::Ready(Some(Ok(frame))), Some(left)) = (&polled, self.size) {
            let sent = frame.data_ref().map_or(0, |data| data.len() as u64);
            self.size = Some(left.saturating_sub(sent));
        }
        polled
    }

    fn size_hint(&self) -> SizeHint {
        self.size.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

impl Payload {
    /// Returns whether the body can still be sent.
    pub fn is_available(&self) -> bool {
        !matches!(self, Payload::Streamed(None, _))
    }

    /// Returns what is known of the body before it is sent: all of it, or the beginning
    /// of one that is streamed, which is then let go.
    pub fn take_prefix(&mut self) -> Bytes {
        match self {
            Payload::Buffered(buf) => buf.clone(),
            Payload::Streamed(_, begun) => std::mem::take(begun),
        }
    }

    /// Returns the body to send, or `None` where it was streamed before.
    pub fn take(&mut self) -> Option<Body> {
        match self {
            Payload::Buffered(buf) if buf.is_empty() => Some(body::empty()),
            Payload::Buffered(buf) => Some(body::full(buf.clone())),
            Payload::Streamed(body, _) => body.take(),
        }
    }
}
