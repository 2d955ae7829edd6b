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

use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::{Method, Response, StatusCode, Version};
use std::fmt;

/// The only transfer coding that the client decodes.
const CHUNKED: &[u8] = b"chunked";

/// The largest status that RFC 9110 allows.
const MAX_STATUS: u16 = 599;

/// Why an answer with this head cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MalformedHead {
    /// The status is none, or tells of a change of protocol that no request asks for.
    Status,
    /// The status has no body, and the head states one.
    UnexpectedBody,
    /// `Transfer-Encoding` is not `chunked` alone: the body's coding or its end is not known.
    TransferCoding,
    /// Both `Transfer-Encoding` and `Content-Length` state where the body ends.
    TwoLengths,
    /// Nothing states where the body ends.
    NoLength,
    /// A line does not end with a carriage return and a line feed.
    LoneLineFeed,
}

impl fmt::Display for MalformedHead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MalformedHead::Status => write!(f, "its status is not that of a final answer"),
            MalformedHead::UnexpectedBody => {
                write!(f, "it states a body, and its status has none")
            }
            MalformedHead::TransferCoding => {
                write!(f, "its transfer coding is not `chunked` alone")
            }
            MalformedHead::TwoLengths => {
                write!(f, "it has both a transfer coding and a content length")
            }
            MalformedHead::NoLength => write!(f, "nothing states where its body ends"),
            MalformedHead::LoneLineFeed => {
                write!(f, "a line of its head ends with a lone line feed")
            }
        }
    }
}

impl std::error::Error for MalformedHead {}

/// Checks the head of an answer to a request with this method, and replaces a content length that
/// is stated several times by one.
///
/// # Errors
///
/// Returns what is wrong with the head.
pub fn accept<B>(mut res: Response<B>, method: &Method) -> Result<Response<B>, MalformedHead> {
    check_status(res.status(), res.headers())?;
    check_transfer_coding(res.headers())?;
    if has_body(res.status(), method) {
        check_body_end(res.version(), res.headers())?;
    }
    merge_content_lengths(res.headers_mut());
    Ok(res)
}

/// Checks a status. hyper takes each of three digits from 100 on, and handles the interim ones
/// itself, but for 101.
fn check_status(status: StatusCode, headers: &HeaderMap) -> Result<(), MalformedHead> {
    if !(200..=MAX_STATUS).contains(&status.as_u16()) {
        return Err(MalformedHead::Status);
    }
    let length = headers.get(header::CONTENT_LENGTH).map_or(b"0".as_slice(), HeaderValue::as_bytes);
    let states_body = headers.contains_key(header::TRANSFER_ENCODING) || length != b"0";
    match status == StatusCode::NO_CONTENT && states_body {
        true => Err(MalformedHead::UnexpectedBody),
        false => Ok(()),
    }
}

/// Returns whether an answer may have a body.
fn has_body(status: StatusCode, method: &Method) -> bool {
    method != Method::HEAD && !matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
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

/// Checks that a body has an end.
///
/// Without a length it ends with its connection. An answer of HTTP/1.1 that does not say that its
/// connection closes says that it stays open, so that its length was lost. A field of another name
/// whose value ends with `chunked` is a transfer coding that lost its name or a part of it.
fn check_body_end(version: Version, headers: &HeaderMap) -> Result<(), MalformedHead> {
    if headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
    {
        return Ok(());
    }
    let closes = version != Version::HTTP_11 || says_close(headers);
    let is_chunked = headers.values().any(|value| {
        let value = value.as_bytes();
        let start = value.len().saturating_sub(CHUNKED.len());
        value[start..].eq_ignore_ascii_case(CHUNKED)
    });
    match closes && !is_chunked {
        true => Ok(()),
        false => Err(MalformedHead::NoLength),
    }
}

fn says_close(headers: &HeaderMap) -> bool {
    let options =
        headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    options
        .flat_map(|value| value.split(','))
        .any(|option| option.trim().eq_ignore_ascii_case("close"))
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
