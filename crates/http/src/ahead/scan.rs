//! Finding the heads of requests in the bytes of a connection.
//!
//! A [`Scanner`] parses the bytes that a caller sends, and hyper then parses the same
//! bytes. The scanner must never find a request where hyper finds none: bytes of a body
//! would then be taken for a request (request smuggling). It is therefore disabled for
//! the rest of the connection at the first head that it does not fully support, and
//! hyper goes on alone, one request at a time.

use hyper::header::{self, HeaderName, HeaderValue};
use hyper::{Method, Request, Uri, Version};

/// Maximum number of headers in one head; hyper rejects heads with more.
const MAX_HEADERS: usize = 100;

/// Position in the framing of one connection's bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scanner {
    /// The next byte starts a head.
    Head,
    /// This many bytes of a body are still to come.
    Body(u64),
    /// The remaining bytes of the connection are not scanned.
    Disabled,
}

/// Result of [`Scanner::step`].
#[derive(Debug)]
pub enum Step {
    /// The head is incomplete.
    Partial,
    /// A request without a body, and the length of its head.
    NoBody(Box<Request<()>>, usize),
    /// The head of a request with a body of known length, and the length of the head. The
    /// next steps skip the body.
    WithBody(usize),
    /// This many bytes of a body.
    Skipped(usize),
    /// Framing that the scanner does not support; it is now disabled.
    Unsupported,
}

impl Scanner {
    /// Scans the bytes that follow those of earlier steps.
    pub fn step(&mut self, buf: &[u8], max_head_bytes: usize) -> Step {
        match *self {
            Scanner::Disabled => Step::Unsupported,
            Scanner::Body(remaining) => {
                let available = remaining.min(buf.len() as u64);
                *self = match remaining - available {
                    0 => Scanner::Head,
                    remaining => Scanner::Body(remaining),
                };
                Step::Skipped(available as usize)
            }
            Scanner::Head => self.scan_head(buf, max_head_bytes),
        }
    }

    fn scan_head(&mut self, buf: &[u8], max_head_bytes: usize) -> Step {
        if buf.is_empty() {
            return Step::Partial;
        }
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Request::new(&mut headers);
        let framed = match head.parse(buf) {
            Ok(httparse::Status::Partial) if buf.len() < max_head_bytes => return Step::Partial,
            Ok(httparse::Status::Complete(len)) => framing(&head).map(|framing| (framing, len)),
            Ok(httparse::Status::Partial) | Err(_) => None,
        };
        match framed {
            Some((Framing::NoBody(req), len)) => Step::NoBody(req, len),
            Some((Framing::Length(bytes), len)) => {
                *self = Scanner::Body(bytes);
                Step::WithBody(len)
            }
            None => {
                *self = Scanner::Disabled;
                Step::Unsupported
            }
        }
    }
}

/// Length of the body of a supported request.
enum Framing {
    NoBody(Box<Request<()>>),
    Length(u64),
}

/// Returns the framing of a request, or `None` if it is left to hyper.
///
/// Left to hyper are chunked bodies, protocol upgrades and tunnels, heads that wait for
/// an interim answer, connections that close after this request, and every ambiguous
/// length.
fn framing(head: &httparse::Request<'_, '_>) -> Option<Framing> {
    if head.version != Some(1) {
        return None;
    }
    let method = Method::from_bytes(head.method?.as_bytes()).ok()?;
    if method == Method::CONNECT {
        return None;
    }
    let mut req = Request::new(());
    let mut length = None;
    for line in head.headers.iter() {
        let name = HeaderName::from_bytes(line.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(line.value).ok()?;
        match name {
            header::TRANSFER_ENCODING | header::UPGRADE | header::EXPECT => return None,
            header::CONNECTION if !line.value.eq_ignore_ascii_case(b"keep-alive") => return None,
            header::CONTENT_LENGTH if length.is_some() => return None,
            header::CONTENT_LENGTH => length = Some(parse_length(line.value)?),
            _ => {}
        }
        req.headers_mut().append(name, value);
    }
    match length {
        Some(bytes) if bytes > 0 => return Some(Framing::Length(bytes)),
        Some(_) | None => {}
    }
    *req.method_mut() = method;
    *req.uri_mut() = head.path?.parse::<Uri>().ok()?;
    *req.version_mut() = Version::HTTP_11;
    Some(Framing::NoBody(Box::new(req)))
}

/// Parses a length that consists of digits only; parsers differ in how they treat signs
/// and blanks.
fn parse_length(value: &[u8]) -> Option<u64> {
    let only_digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(value).ok().filter(|_| only_digits)?.parse().ok()
}
