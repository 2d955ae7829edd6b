//! Sockets whose operations wait for readiness.
//!
//! A socket is registered once, edge-triggered: the kernel reports when it becomes ready,
//! not that it is. Each direction therefore remembers that it is ready until an operation
//! finds that it is not, and counts the reports. An operation that found the socket not
//! ready forgets the readiness only if no report came while it ran, so none is lost.

use super::{REACTOR, Registered, Timer, lock};
use rustix::event::epoll::EventFlags;
use rustix::io::Errno;
use rustix::net::{AddressFamily, SocketFlags, SocketType};
use smol::io::{AsyncRead, AsyncWrite};
use std::future::poll_fn;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::pin::Pin;
use std::sync::Mutex;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

/// Flags of a connection.
const STREAM_FLAGS: EventFlags = EventFlags::IN.union(EventFlags::OUT).union(EventFlags::RDHUP);
/// Reports after which reading returns at once, also if there are no bytes.
const READ_FLAGS: EventFlags = EventFlags::IN.union(END_FLAGS);
/// Reports after which writing returns at once.
const WRITE_FLAGS: EventFlags = EventFlags::OUT.union(EventFlags::HUP).union(EventFlags::ERR);
/// Reports of the end of a connection's read side.
const END_FLAGS: EventFlags = EventFlags::RDHUP.union(EventFlags::HUP).union(EventFlags::ERR);
/// Wait before a datagram is sent again that found the send buffer full.
const SEND_RETRY_DELAY: Duration = Duration::from_millis(1);

/// Readiness of a socket.
pub(super) struct Source {
    read: Mutex<Direction>,
    write: Mutex<Direction>,
}

/// Readiness of one direction, and the tasks that wait for it.
struct Direction {
    is_ready: bool,
    /// Whether the direction has ended, and therefore stays ready.
    has_ended: bool,
    /// Number of reports.
    reports: u64,
    wakers: Vec<Waker>,
}

impl Direction {
    fn new(is_ready: bool) -> Mutex<Direction> {
        Mutex::new(Direction { is_ready, has_ended: false, reports: 0, wakers: Vec::new() })
    }

    fn set_ready(&mut self, has_ended: bool, woken: &mut Vec<Waker>) {
        self.is_ready = true;
        self.has_ended |= has_ended;
        self.reports += 1;
        woken.append(&mut self.wakers);
    }

    /// Forgets the readiness, unless it was reported after `reports` reports.
    fn clear(&mut self, reports: u64) {
        if self.reports == reports {
            self.is_ready = false;
        }
    }

    /// Returns the number of reports if an operation is worth a try, or else registers the
    /// task.
    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<u64> {
        if self.is_ready {
            return Poll::Ready(self.reports);
        }
        if !self.wakers.iter().any(|waker| waker.will_wake(cx.waker())) {
            self.wakers.push(cx.waker().clone());
        }
        Poll::Pending
    }
}

impl Source {
    fn new(is_ready: bool) -> Source {
        Source { read: Direction::new(is_ready), write: Direction::new(is_ready) }
    }

    /// Takes in a report of the kernel, and the wakers of the tasks that waited for it.
    pub(super) fn set_ready(&self, flags: EventFlags, woken: &mut Vec<Waker>) {
        if flags.intersects(READ_FLAGS) {
            lock(&self.read).set_ready(flags.intersects(END_FLAGS), woken);
        }
        if flags.intersects(WRITE_FLAGS) {
            lock(&self.write).set_ready(false, woken);
        }
    }
}

/// Tries an operation until it succeeds or fails, or the socket is not ready for it.
fn poll_io<T>(
    direction: &Mutex<Direction>,
    cx: &mut Context<'_>,
    mut operation: impl FnMut() -> io::Result<T>,
) -> Poll<io::Result<T>> {
    loop {
        let reports = ready!(lock(direction).poll_ready(cx));
        match operation() {
            Err(err) if err.kind() == ErrorKind::WouldBlock => lock(direction).clear(reports),
            Err(err) if err.kind() == ErrorKind::Interrupted => {}
            result => return Poll::Ready(result),
        }
    }
}

/// A socket whose operations wait for readiness in the reactor of the process.
pub struct Async<T> {
    // Dropped before the socket, so that no event is assigned to a closed one.
    registered: Registered,
    socket: T,
}

impl<T> Async<T> {
    /// Returns the socket, which doesn't block.
    pub fn get_ref(&self) -> &T {
        &self.socket
    }

    /// Does a read, accept or similar operation, again each time after the socket was
    /// reported as ready, until it doesn't return
    /// [`WouldBlock`](ErrorKind::WouldBlock).
    ///
    /// # Errors
    ///
    /// Returns the error of the operation.
    pub async fn read_with<R>(
        &self,
        mut operation: impl FnMut(&T) -> io::Result<R>,
    ) -> io::Result<R> {
        poll_fn(|cx| poll_io(&self.source().read, cx, || operation(&self.socket))).await
    }

    fn source(&self) -> &Source {
        &self.registered.source
    }
}

impl Async<TcpListener> {
    /// Listens on an address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is in use or the socket cannot be registered.
    pub fn bind(addr: impl Into<SocketAddr>) -> io::Result<Async<TcpListener>> {
        let socket = TcpListener::bind(addr.into())?;
        socket.set_nonblocking(true)?;
        let registered = REACTOR.add(&socket, Source::new(true), EventFlags::IN)?;
        Ok(Async { registered, socket })
    }

    /// Accepts a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection failed meanwhile or the process has no free file
    /// descriptor.
    pub async fn accept(&self) -> io::Result<(Async<TcpStream>, SocketAddr)> {
        // The new socket gets its flags from the same call, without further ones.
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let accept = |socket: &TcpListener| Ok(rustix::net::acceptfrom_with(socket, flags)?);
        let (fd, peer) = self.read_with(accept).await?;
        let peer = peer.ok_or_else(|| io::Error::other("a connection without peer address"))?;
        let stream = Async::<TcpStream>::new(TcpStream::from(fd), Source::new(true))?;
        Ok((stream, SocketAddr::try_from(peer)?))
    }
}

impl Async<TcpStream> {
    fn new(socket: TcpStream, source: Source) -> io::Result<Async<TcpStream>> {
        let registered = REACTOR.add(&socket, source, STREAM_FLAGS)?;
        Ok(Async { registered, socket })
    }

    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection cannot be established.
    pub async fn connect(addr: impl Into<SocketAddr>) -> io::Result<Async<TcpStream>> {
        let addr = addr.into();
        let family = match addr {
            SocketAddr::V4(_) => AddressFamily::INET,
            SocketAddr::V6(_) => AddressFamily::INET6,
        };
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let fd = rustix::net::socket_with(family, SocketType::STREAM, flags, None)?;
        let is_connected = match rustix::net::connect(&fd, &addr) {
            Ok(()) => true,
            Err(Errno::INPROGRESS | Errno::INTR) => false,
            Err(err) => return Err(err.into()),
        };
        // Registered only now: an unconnected socket would be reported as ended.
        let stream = Async::<TcpStream>::new(TcpStream::from(fd), Source::new(is_connected))?;
        if !is_connected {
            let _reports = poll_fn(|cx| lock(&stream.source().write).poll_ready(cx)).await;
            if let Some(err) = stream.socket.take_error()? {
                return Err(err);
            }
        }
        Ok(stream)
    }

    fn poll_recv(&self, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        let direction = &self.source().read;
        loop {
            let reports = ready!(lock(direction).poll_ready(cx));
            match (&self.socket).read(buf) {
                Err(err) if err.kind() == ErrorKind::WouldBlock => lock(direction).clear(reports),
                Err(err) if err.kind() == ErrorKind::Interrupted => {}
                result => {
                    if result.as_ref().is_ok_and(|len| (1..buf.len()).contains(len)) {
                        note_short_read(direction, reports);
                    }
                    return Poll::Ready(result);
                }
            }
        }
    }
}

/// Forgets the readiness after a read that left room in the buffer: nothing more has
/// arrived, and the next read would only find that out. The end of a connection arrives
/// as a report of its own or has been reported.
fn note_short_read(direction: &Mutex<Direction>, reports: u64) {
    let mut direction = lock(direction);
    if !direction.has_ended {
        direction.clear(reports);
    }
}

impl AsyncRead for &Async<TcpStream> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_recv(cx, buf)
    }
}

impl AsyncWrite for &Async<TcpStream> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        poll_io(&self.source().write, cx, || (&self.socket).write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        poll_io(&self.source().write, cx, || (&self.socket).write_vectored(bufs))
    }

    /// Returns at once, since nothing is buffered here.
    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    /// Returns at once: dropping the socket closes both directions.
    fn poll_close(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for Async<TcpStream> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self).poll_read(cx, buf)
    }
}

impl AsyncWrite for Async<TcpStream> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self).poll_write_vectored(cx, bufs)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self).poll_close(cx)
    }
}

impl Async<UdpSocket> {
    /// Opens a socket for datagrams on an address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is in use or the socket cannot be registered.
    pub fn bind(addr: impl Into<SocketAddr>) -> io::Result<Async<UdpSocket>> {
        let socket = UdpSocket::bind(addr.into())?;
        socket.set_nonblocking(true)?;
        // Not registered for writing: each datagram that has left would be reported.
        let registered = REACTOR.add(&socket, Source::new(true), EventFlags::IN)?;
        Ok(Async { registered, socket })
    }

    /// Receives a datagram, and returns its length and its sender.
    ///
    /// # Errors
    ///
    /// Returns the error of the system call.
    pub async fn recv_from(&self, buf: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        self.read_with(|socket| socket.recv_from(buf)).await
    }

    /// Sends a datagram, and returns how many bytes were sent.
    ///
    /// # Errors
    ///
    /// Returns the error of the system call.
    pub async fn send_to(&self, buf: &[u8], to: SocketAddr) -> io::Result<usize> {
        loop {
            match self.socket.send_to(buf, to) {
                Err(err) if err.kind() == ErrorKind::WouldBlock => {
                    Timer::after(SEND_RETRY_DELAY).await;
                }
                Err(err) if err.kind() == ErrorKind::Interrupted => {}
                result => return result,
            }
        }
    }
}
