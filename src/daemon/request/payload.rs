//! Bodies, buffered to be sent again or streamed once.

use bytes::{Bytes, BytesMut};
use cicadashift_http::body::{self, Body, BodyError};
use cicadashift_http::hyper::body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::{BodyExt, BodyStream, Limited, StreamBody};
use smol::stream::StreamExt;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Largest request body that the entry side buffers whole, in bytes.
pub const MAX_BUFFERED: usize = 64 << 10;

/// A body that was read as far as it is buffered.
pub enum Payload {
    /// Buffered whole: can be sent again.
    Buffered(Bytes),
    /// Streamed: can be sent once, and is `None` afterwards. The bytes are a copy of the
    /// part that was read already, and are empty once taken.
    Streamed(Option<Body>, Bytes),
}

/// Buffers a body of at most `max_bytes`. A body of more than `max_buffered` bytes is
/// prepared for streaming instead.
///
/// # Errors
///
/// Returns [`BodyError::TooLong`] beyond `max_bytes`, and [`BodyError::Broken`] if the
/// body did not arrive whole.
pub async fn buffer<B>(
    mut incoming: B,
    max_buffered: usize,
    max_bytes: u64,
) -> Result<Payload, BodyError>
where
    B: HttpBody<Data = Bytes> + Unpin + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let size = incoming.size_hint().exact();
    let mut buffered = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|err| BodyError::Broken(err.into().to_string()))?;
        if let Ok(data) = frame.into_data() {
            buffered.extend_from_slice(&data);
        }
        if buffered.len() as u64 > max_bytes {
            return Err(BodyError::TooLong);
        }
        if buffered.len() > max_buffered {
            let max_rest = usize::try_from(max_bytes - buffered.len() as u64).unwrap_or(usize::MAX);
            let prefix = buffered.freeze();
            let body = streamed(prefix.clone(), incoming, size, max_rest);
            return Ok(Payload::Streamed(Some(body), prefix));
        }
    }
    Ok(Payload::Buffered(buffered.freeze()))
}

/// Creates a body from the prefix that was read already and the rest, which is at most
/// `max_rest` bytes long.
fn streamed<B>(prefix: Bytes, rest: B, size: Option<u64>, max_rest: usize) -> Body
where
    B: HttpBody<Data = Bytes> + Unpin + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let rest = Limited::new(rest, max_rest).map_err(|err| BodyError::Broken(err.to_string()));
    let prefix = smol::stream::once(Ok(Frame::data(prefix)));
    let frames = prefix.chain(BodyStream::new(rest));
    SizedBody { body: StreamBody::new(frames).boxed_unsync(), size }.boxed_unsync()
}

/// A body whose length is known although its inner body does not state it.
///
/// Without the length, hyper would send it with chunked encoding, which some upstreams
/// refuse.
struct SizedBody {
    body: Body,
    size: Option<u64>,
}

impl HttpBody for SizedBody {
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

    /// Returns the part of the body that was read before it is sent: all of a buffered
    /// body, or the prefix of a streamed one, whose copy is removed from the payload.
    pub fn take_prefix(&mut self) -> Bytes {
        match self {
            Payload::Buffered(buf) => buf.clone(),
            Payload::Streamed(_, prefix) => std::mem::take(prefix),
        }
    }

    /// Returns the body to send, or `None` if it was streamed before.
    pub fn take(&mut self) -> Option<Body> {
        match self {
            Payload::Buffered(buf) if buf.is_empty() => Some(body::empty()),
            Payload::Buffered(buf) => Some(body::full(buf.clone())),
            Payload::Streamed(body, _) => body.take(),
        }
    }
}
