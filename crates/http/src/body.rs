//! Bodies of requests and answers.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full, Limited};
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

/// A body of a request or an answer, whatever its source.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Why a body could not be read completely.
#[derive(Debug)]
pub enum BodyError {
    /// The connection broke or its framing was wrong.
    Broken(String),
    /// The body is longer than allowed.
    TooLong,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BodyError::Broken(why) => write!(f, "body is incomplete: {why}"),
            BodyError::TooLong => write!(f, "body is too long"),
        }
    }
}

impl std::error::Error for BodyError {}

/// Returns a body that consists of `buf`.
pub fn full(buf: impl Into<Bytes>) -> Body {
    Full::new(buf.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body that holds `guard` until the body is dropped.
pub fn with_guard(body: Body, guard: impl Send + 'static) -> Body {
    GuardedBody { body, _guard: guard }.boxed_unsync()
}

struct GuardedBody<T> {
    body: Body,
    _guard: T,
}

// No field is pinned structurally: the inner body is boxed.
impl<T> Unpin for GuardedBody<T> {}

impl<T> HttpBody for GuardedBody<T> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Returns an empty body.
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Reads a complete body of at most `max_bytes`.
///
/// # Errors
///
/// Returns [`BodyError::TooLong`] at the first byte over the limit, and
/// [`BodyError::Broken`] if the body ends early.
pub async fn read<B>(body: B, max_bytes: usize) -> Result<Bytes, BodyError>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(BodyError::TooLong);
    }
    match Limited::new(body, max_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(err) if err.is::<http_body_util::LengthLimitError>() => Err(BodyError::TooLong),
        Err(err) => Err(BodyError::Broken(err.to_string())),
    }
}
