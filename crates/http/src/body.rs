//! Bodies of requests and answers.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full, Limited};
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Any body that is sent.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Why a body did not arrive whole.
#[derive(Debug)]
pub enum BodyError {
    /// The connection broke or its framing was wrong.
    Broken(String),
    /// It is longer than allowed.
    TooLong,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BodyError::Broken(why) => write!(f, "body did not arrive whole: {why}"),
            BodyError::TooLong => write!(f, "body is too long"),
        }
    }
}

impl std::error::Error for BodyError {}

/// Returns a body of these bytes.
pub fn full(buf: impl Into<Bytes>) -> Body {
    Full::new(buf.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body that keeps a value until it has ended or is dropped.
pub fn with_guard(body: Body, value: impl Send + 'static) -> Body {
    Tied { body, _value: value }.boxed_unsync()
}

struct Tied<T> {
    body: Body,
    _value: T,
}

// Nothing in it is pinned: the inner body is boxed.
impl<T> Unpin for Tied<T> {}

impl<T> HttpBody for Tied<T> {
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

/// Returns a body without bytes.
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Reads a body whole, up to a limit.
///
/// # Errors
///
/// Returns [`BodyError::TooLong`] at the first byte over the limit, and
/// [`BodyError::Broken`] where the end never came.
pub async fn read<B>(body: B, most: usize) -> Result<Bytes, BodyError>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    if body.size_hint().lower() > most as u64 {
        return Err(BodyError::TooLong);
    }
    match Limited::new(body, most).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(err) if err.is::<http_body_util::LengthLimitError>() => Err(BodyError::TooLong),
        Err(err) => Err(BodyError::Broken(err.to_string())),
    }
}
