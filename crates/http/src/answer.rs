//! Checks of the heads of answers that hyper's client does not make.
//!
//! hyper reads some heads in a lenient way, which suits a client that shows the answer itself.
//! The daemon passes answers on under a head that it writes anew, so that a head that was read in
//! a lenient way becomes a sound one, with a body that the upstream did not write. Only the
//! reader of the head can tell. All answers that the product reads, whether from upstreams,
//! daemons or the store, come from [`Pool::send`](crate::client::Pool::send), which makes these
//! checks; see [`docs/incidents/broken-answers.md`].
//!
//! [`docs/incidents/broken-answers.md`]: ../../../docs/incidents/broken-answers.md

use hyper::Response;
use hyper::header::{self, HeaderMap, HeaderValue};
use std::fmt;

/// The only transfer coding that the client decodes.
const CHUNKED: &[u8] = b"chunked";

/// Why an answer with this head cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MalformedHead {
    /// `Transfer-Encoding` is not `chunked` alone: the body's coding or its end is not known.
    TransferCoding,
    /// Both `Transfer-Encoding` and `Content-Length` state where the body ends.
    TwoLengths,
}

impl fmt::Display for MalformedHead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MalformedHead::TransferCoding => {
                write!(f, "its transfer coding is not `chunked` alone")
            }
            MalformedHead::TwoLengths => {
                write!(f, "it has both a transfer coding and a content length")
            }
        }
    }
}

impl std::error::Error for MalformedHead {}

/// Checks the head of an answer, and replaces a content length that is stated several times by
/// one.
///
/// # Errors
///
/// Returns what is wrong with the head.
pub fn accept<B>(mut res: Response<B>) -> Result<Response<B>, MalformedHead> {
    let headers = res.headers_mut();
    check_transfer_coding(headers)?;
    merge_content_lengths(headers);
    Ok(res)
}

fn check_transfer_coding(headers: &HeaderMap) -> Result<(), MalformedHead> {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else { return Ok(()) };
    let is_chunked = coding.as_bytes().eq_ignore_ascii_case(CHUNKED);
    if !is_chunked || codings.next().is_some() {
        return Err(MalformedHead::TransferCoding);
    }
    // Which of them is wrong cannot be told. The body would be read by the one, and passed on
    // under the other.
    match headers.contains_key(header::CONTENT_LENGTH) {
        true => Err(MalformedHead::TwoLengths),
        false => Ok(()),
    }
}

/// Replaces repeated content lengths by the first one; hyper has found that all are equal.
fn merge_content_lengths(headers: &mut HeaderMap) {
    let Some(first) = headers.get(header::CONTENT_LENGTH).map(HeaderValue::as_bytes) else {
        return;
    };
    let digits = first.iter().take_while(|byte| byte.is_ascii_digit()).count();
    let is_alone = headers.get_all(header::CONTENT_LENGTH).iter().count() == 1;
    if is_alone && digits == first.len() {
        return;
    }
    if let Ok(length) = HeaderValue::from_bytes(&first[..digits]) {
        headers.insert(header::CONTENT_LENGTH, length);
    }
}
