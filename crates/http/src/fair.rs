//! A stream whose reader yields to other tasks from time to time.
//!
//! Failure: a peer sends faster than its bytes are parsed, such as interim answers without
//! end. Symptom: the parser finds more bytes each time that it reads, its task never waits,
//! and no other task of its thread runs, the one with the deadline among them.

use smol::io::{AsyncRead, AsyncWrite};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};

/// Bytes that are read before the task yields; most answers are smaller.
const BYTES_PER_TURN: usize = 32 << 10;

/// A stream that is read in turns of [`BYTES_PER_TURN`].
pub struct Fair<T> {
    stream: T,
    /// Bytes that may still be read in this turn.
    left: usize,
}

impl<T> Fair<T> {
    /// Wraps a stream.
    pub fn new(stream: T) -> Fair<T> {
        Fair { stream, left: BYTES_PER_TURN }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Fair<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.left == 0 {
            self.left = BYTES_PER_TURN;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let len = buf.len().min(self.left);
        let read = Pin::new(&mut self.stream).poll_read(cx, &mut buf[..len]);
        self.left = match &read {
            Poll::Ready(Ok(count)) => self.left.saturating_sub(*count),
            Poll::Ready(Err(_)) | Poll::Pending => BYTES_PER_TURN,
        };
        read
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Fair<T> {
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
