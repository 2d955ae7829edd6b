//! A small HTTP/1.1 reader and writer over blocking sockets.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// The first line of a message and its headers.
#[derive(Clone, Debug)]
pub struct Head {
    pub first: String,
    headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line.
    pub fn word(&self, at: usize) -> &str {
        self.first.split(' ').nth(at).unwrap_or("")
    }

    /// Returns the status of a response, or zero.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some_and(|value| value.contains("chunked"))
    }
}

/// One connection with its unread bytes.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _option_is_optional = stream.set_nodelay(true);
        Conn { stream, buf: Vec::new() }
    }

    pub fn connect(to: SocketAddr, timeout: Duration) -> io::Result<Conn> {
        Ok(Conn::new(TcpStream::connect_timeout(&to, timeout)?))
    }

    /// Reads a head; `None` if the connection ended before its first byte.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        let end = loop {
            if let Some(at) = self.buf.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break at;
            }
            if !self.fill()? {
                return match self.buf.is_empty() {
                    true => Ok(None),
                    false => Err(ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let text = String::from_utf8_lossy(&self.buf[..end]).to_string();
        self.buf.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or("").to_string();
        let split = |line: &str| {
            let (key, value) = line.split_once(':')?;
            Some((key.trim().to_string(), value.trim().to_string()))
        };
        Ok(Some(Head { first, headers: lines.filter_map(split).collect() }))
    }

    /// Reads the body that belongs to a head, framed by a length or in chunks.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.is_chunked() {
            return self.read_chunks();
        }
        let len = head.header("content-length").and_then(|len| len.parse().ok()).unwrap_or(0);
        self.take(len)
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.read_line()?;
            let len = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
            body.extend(self.take(len)?);
            self.read_line()?;
            if len == 0 {
                return Ok(body);
            }
        }
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buf.windows(2).position(|bytes| bytes == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..at]).to_string();
                self.buf.drain(..at + 2);
                return Ok(line);
            }
            if !self.fill()? {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn take(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < len {
            if !self.fill()? {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buf.drain(..len).collect())
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16 << 10];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => return Ok(false),
                Ok(len) => {
                    self.buf.extend_from_slice(&chunk[..len]);
                    return Ok(true);
                }
                Err(err) if err.kind() == ErrorKind::Interrupted => {}
                Err(err) => return Err(err),
            }
        }
    }
}

/// Writes a response with a length.
pub fn respond(stream: &mut TcpStream, status: &str, more: &str, body: &[u8]) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status}\r\n{more}Content-Length: {}\r\n\r\n", body.len());
    let mut message = head.into_bytes();
    message.extend_from_slice(body);
    stream.write_all(&message)
}

/// Sends one request on a connection of its own and returns the response.
pub fn exchange(to: SocketAddr, request: &[u8], timeout: Duration) -> io::Result<(u16, Vec<u8>)> {
    let mut conn = Conn::connect(to, timeout)?;
    conn.stream.set_read_timeout(Some(timeout))?;
    conn.stream.write_all(request)?;
    let head = conn.read_head()?.ok_or(ErrorKind::UnexpectedEof)?;
    let body = conn.read_body(&head)?;
    Ok((head.status(), body))
}

/// Accepts connections on a thread of its own, and handles each on another.
pub fn serve(listener: TcpListener, handle: impl Fn(Conn) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || handle(Conn::new(stream)));
        }
    });
}
