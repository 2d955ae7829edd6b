//! Finding the heads of requests in the bytes of a connection.
//!
//! A [`Scan`] follows the bytes that a caller sends, beside hyper, which reads the
//! same ones. It must never see a request where hyper sees none: bytes of a body
//! would then be taken for a request that nobody sent. So it gives up at the first
//! head that it does not fully understand, for the rest of the connection; hyper
//! goes on alone, one request at a time.

use hyper::header::{self, HeaderName, HeaderValue};
use hyper::{Method, Request, Uri, Version};

/// Headers of one head; hyper refuses heads with more.
const MOST_HEADERS: usize = 100;

/// Follows the bytes of one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scan {
    /// The next byte begins a head.
    Head,
    /// So many bytes of a body are still to come.
    Body(u64),
    /// What follows is not followed.
    GivenUp,
}

/// What [`Scan::step`] found.
#[derive(Debug)]
pub enum Step {
    /// Nothing whole yet.
    Partial,
    /// A request without a body, and the length of its head.
    Bare(Box<Request<()>>, usize),
    /// The head of a request with a body of known length, which the scan now
    /// skips, and the length of the head.
    Sized(usize),
    /// This many bytes of a body.
    Skipped(usize),
    /// Something that is not followed; the scan has ended.
    GaveUp,
}

impl Scan {
    /// Looks at the bytes that follow what earlier steps found.
    pub fn step(&mut self, buf: &[u8], most_head_bytes: usize) -> Step {
        match *self {
            Scan::GivenUp => Step::GaveUp,
            Scan::Body(left) => {
                let here = left.min(buf.len() as u64);
                *self = match left - here {
                    0 => Scan::Head,
                    left => Scan::Body(left),
                };
                Step::Skipped(here as usize)
            }
            Scan::Head => self.head(buf, most_head_bytes),
        }
    }

    fn head(&mut self, buf: &[u8], most_head_bytes: usize) -> Step {
        if buf.is_empty() {
            return Step::Partial;
        }
        let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
        let mut head = httparse::Request::new(&mut headers);
        let found = match head.parse(buf) {
            Ok(httparse::Status::Partial) if buf.len() < most_head_bytes => return Step::Partial,
            Ok(httparse::Status::Complete(len)) => framing(&head).map(|framing| (framing, len)),
            Ok(httparse::Status::Partial) | Err(_) => None,
        };
        match found {
            Some((Framing::Bare(req), len)) => Step::Bare(req, len),
            Some((Framing::Sized(bytes), len)) => {
                *self = Scan::Body(bytes);
                Step::Sized(len)
            }
            None => {
                *self = Scan::GivenUp;
                Step::GaveUp
            }
        }
    }
}

/// How a request that is understood ends.
enum Framing {
    Bare(Box<Request<()>>),
    Sized(u64),
}

/// Returns how a request ends, or `None` where only hyper is to decide that.
///
/// Left to hyper are chunks, protocol changes, heads that wait for an interim
/// answer, connections that end with this request, and every doubtful length.
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
            header::CONTENT_LENGTH => length = Some(digits(line.value)?),
            _ => {}
        }
        req.headers_mut().append(name, value);
    }
    match length {
        Some(bytes) if bytes > 0 => return Some(Framing::Sized(bytes)),
        Some(_) | None => {}
    }
    *req.method_mut() = method;
    *req.uri_mut() = head.path?.parse::<Uri>().ok()?;
    *req.version_mut() = Version::HTTP_11;
    Some(Framing::Bare(Box::new(req)))
}

/// Reads a length of digits alone; signs and blanks are read differently by
/// different parsers.
fn digits(value: &[u8]) -> Option<u64> {
    let all = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(value).ok().filter(|_| all)?.parse().ok()
}
