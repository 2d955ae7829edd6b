//! A stream on which heads of answers with a lone line feed are errors.
//!
//! hyper's parser takes a line feed without a carriage return for the end of a line, and two of
//! them for the end of the head. Where one byte of a head is broken, the rest of the head becomes
//! the beginning of the body.
//!
//! A [`HeadLines`] looks at the bytes before hyper does, from the first one after a request was
//! announced ([`NextHead::expect`]) until the end of its final head. Interim answers have heads of
//! their own.

use crate::answer::MalformedHead;
use smol::io::{AsyncRead, AsyncWrite};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

/// Position of the first digit of the status in a status line.
const STATUS_COLUMN: usize = "HTTP/1.1 ".len();

/// Tells a [`HeadLines`] that the next bytes belong to a head.
#[derive(Clone, Debug, Default)]
pub struct NextHead(Arc<AtomicBool>);

impl NextHead {
    /// To be called before a request is sent.
    pub fn expect(&self) {
        self.0.store(true, Ordering::Release);
    }

    fn take(&self) -> bool {
        self.0.swap(false, Ordering::AcqRel)
    }
}

/// A stream that checks the lines of heads as they are read.
pub struct HeadLines<T> {
    stream: T,
    next_head: NextHead,
    /// The current head; `None` within a body.
    head: Option<Head>,
}

impl<T> HeadLines<T> {
    /// Wraps a stream.
    pub fn new(stream: T, next_head: NextHead) -> HeadLines<T> {
        HeadLines { stream, next_head, head: None }
    }

    fn check(&mut self, buf: &[u8]) -> io::Result<()> {
        if self.next_head.take() {
            self.head = Some(Head::default());
        }
        for byte in buf {
            let Some(head) = &mut self.head else { break };
            match head.step(*byte) {
                Ok(Step::Within) => {}
                Ok(Step::InterimEnd) => *head = Head::default(),
                Ok(Step::End) => self.head = None,
                Err(why) => return Err(io::Error::new(io::ErrorKind::InvalidData, why)),
            }
        }
        Ok(())
    }
}

/// Position in a head.
#[derive(Debug, Default)]
struct Head {
    has_status: bool,
    is_interim: bool,
    /// Bytes of the current line, without its end.
    column: usize,
    is_after_cr: bool,
}

/// What a byte of a head leads to.
enum Step {
    Within,
    /// The end of the head of an interim answer, behind which another head follows.
    InterimEnd,
    /// The end of the head of a final answer.
    End,
}

impl Head {
    fn step(&mut self, byte: u8) -> Result<Step, MalformedHead> {
        let is_after_cr = std::mem::replace(&mut self.is_after_cr, byte == b'\r');
        match byte {
            b'\n' if !is_after_cr => Err(MalformedHead::LoneLineFeed),
            b'\n' => Ok(self.end_line()),
            b'\r' => Ok(Step::Within),
            _ => {
                if !self.has_status && self.column == STATUS_COLUMN {
                    self.is_interim = byte == b'1';
                }
                self.column += 1;
                Ok(Step::Within)
            }
        }
    }

    fn end_line(&mut self) -> Step {
        let is_empty = std::mem::take(&mut self.column) == 0;
        match (is_empty, self.has_status) {
            // Empty lines before the status line are skipped.
            (true, false) => Step::Within,
            (true, true) if self.is_interim => Step::InterimEnd,
            (true, true) => Step::End,
            (false, _) => {
                self.has_status = true;
                Step::Within
            }
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for HeadLines<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let len = ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.check(&buf[..len])?;
        Poll::Ready(Ok(len))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for HeadLines<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
