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
use hyper::header::{self, HeaderMap};
use std::fmt;

/// The only transfer coding that the client decodes.
const CHUNKED: &[u8] = b"chunked";

/// Why an answer with this head cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MalformedHead {
    /// `Transfer-Encoding` is not `chunked` alone: the body's coding or its end is not known.
    TransferCoding,
}

impl fmt::Display for MalformedHead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MalformedHead::TransferCoding => {
                write!(f, "its transfer coding is not `chunked` alone")
            }
        }
    }
}

impl std::error::Error for MalformedHead {}

/// Checks the head of an answer.
///
/// # Errors
///
/// Returns what is wrong with it.
pub fn check<B>(res: &Response<B>) -> Result<(), MalformedHead> {
    check_transfer_coding(res.headers())
}

fn check_transfer_coding(headers: &HeaderMap) -> Result<(), MalformedHead> {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else { return Ok(()) };
    let is_chunked = coding.as_bytes().eq_ignore_ascii_case(CHUNKED);
    match is_chunked && codings.next().is_none() {
        true => Ok(()),
        false => Err(MalformedHead::TransferCoding),
    }
}
