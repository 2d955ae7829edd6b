//! A stand-in of an application instance, by the published protocol.

use crate::fleet::Host;
use crate::http::{self, Conn, Head};
use crate::record::Record;
use std::io::Write;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Interval of heartbeats, `HeartbeatMs` of the settings.
pub const HEARTBEAT: Duration = Duration::from_millis(1500);
/// Idle timeout that answers state, in seconds.
const IDLE_S: u64 = 10;
const SLOTS: usize = 9;
const QUEUE: usize = 36;
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// How an instance works on the requests under one prefix.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    pub prefix: &'static str,
    pub takes: Duration,
    pub bytes: usize,
    /// Time over which the answer is sent; zero sends it at once.
    pub sending: Duration,
    /// Each answer of this number is broken off; zero breaks off none.
    pub break_each: usize,
    /// Bytes of the body that are sent before an answer is broken off.
    pub break_after: usize,
}

/// One run of a request at an instance.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub at: Instant,
}

pub struct Instance {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    control: SocketAddr,
    zone: String,
    work: Vec<Work>,
    record: Arc<Record>,
    running: Mutex<(usize, usize)>,
    freed: Condvar,
    runs: Mutex<Vec<Run>>,
    answered: AtomicUsize,
    seq: AtomicU64,
    is_beating: AtomicBool,
    is_leaving: AtomicBool,
    has_ended: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

impl Instance {
    pub fn start(
        (id, service, zone): (&str, &str, &str),
        (ip, control): (IpAddr, SocketAddr),
        work: &[Work],
        record: &Arc<Record>,
    ) -> Arc<Instance> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        listener.set_nonblocking(true).expect("a listener can be polled");
        let instance = Arc::new(Instance {
            id: id.to_string(),
            service: service.to_string(),
            addr: listener.local_addr().expect("a bound socket has an address"),
            control,
            zone: zone.to_string(),
            work: work.to_vec(),
            record: record.clone(),
            running: Mutex::default(),
            freed: Condvar::new(),
            runs: Mutex::default(),
            answered: AtomicUsize::new(0),
            seq: AtomicU64::new(0),
            is_beating: AtomicBool::new(true),
            is_leaving: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            streams: Mutex::default(),
        });
        let accepting = instance.clone();
        std::thread::spawn(move || accepting.accept(&listener));
        let beating = instance.clone();
        std::thread::spawn(move || beating.beat());
        instance
    }

    /// Starts an instance beside each host, and the daemons of the hosts.
    pub fn start_all(
        places: &[(&str, &str)],
        hosts: &[Host],
        work: impl Fn(usize) -> Vec<Work>,
        record: &Arc<Record>,
        store: SocketAddr,
    ) -> Vec<Arc<Instance>> {
        let start = |i: usize| {
            let (host, (zone, service)) = (&hosts[i], places[i]);
            let id = format!("i-{:08x}", 0x7f3a_91c0 + i);
            let addresses = (host.ip, host.control);
            let instance = Instance::start((&id, service, zone), addresses, &work(i), record);
            host.start(service, instance.addr, store);
            instance
        };
        (0..hosts.len()).map(start).collect()
    }

    /// Returns the runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Makes the next heartbeat, which says that the instance is ready, without sending it.
    pub fn next_heartbeat(&self) -> Vec<u8> {
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let state = if self.is_leaving.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let body = format!(
            "{{\"Address\":\"{}\",\"Info\":{{\"Service\":\"{}\",\"Version\":\"v1\",\"Zone\":\"{}\",\
             \"Slots\":{SLOTS}}},\"Status\":{{\"State\":\"{state}\",\"Seq\":{seq},\"ColdMs\":0}}}}",
            self.addr, self.service, self.zone
        );
        format!(
            "PUT /cicadashift/instances/{} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
            self.id,
            self.control,
            body.len()
        )
        .into_bytes()
    }

    /// Sends a heartbeat that was made before; returns the status of the answer.
    pub fn send_heartbeat(&self, heartbeat: &[u8]) -> Option<u16> {
        http::exchange(self.control, heartbeat, CALL_TIMEOUT).ok().map(|(status, _)| status)
    }

    /// Stops the regular heartbeats.
    pub fn stop_beating(&self) {
        self.is_beating.store(false, Ordering::SeqCst);
    }

    /// Tells the daemon that the instance leaves, without having said that it drains;
    /// returns the status of the answer. The instance goes on serving.
    pub fn leave(&self) -> Option<u16> {
        self.stop_beating();
        self.is_leaving.store(true, Ordering::SeqCst);
        let request = format!(
            "DELETE /cicadashift/instances/{} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n",
            self.id, self.control
        );
        http::exchange(self.control, request.as_bytes(), CALL_TIMEOUT).ok().map(|answer| answer.0)
    }

    /// Ends the instance: its address refuses connections, and open ones are closed.
    pub fn end(&self) {
        self.stop_beating();
        self.has_ended.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _may_be_closed = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn beat(&self) {
        loop {
            if !self.is_beating.load(Ordering::SeqCst) {
                return;
            }
            let heartbeat = self.next_heartbeat();
            let status = self.send_heartbeat(&heartbeat);
            if status.is_none_or(|status| status >= 300) {
                self.record.line(&format!("{}: heartbeat not acknowledged: {status:?}", self.id));
            }
            std::thread::sleep(HEARTBEAT);
        }
    }

    fn accept(self: &Arc<Instance>, listener: &TcpListener) {
        while !self.has_ended.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            stream.set_nonblocking(false).expect("a socket can block");
            if let Ok(copy) = stream.try_clone() {
                self.streams.lock().unwrap().push(copy);
            }
            let instance = self.clone();
            std::thread::spawn(move || instance.serve(Conn::new(stream)));
        }
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(head)) = conn.read_head() {
            if conn.read_body(&head).is_err() || !self.answer(&mut conn, &head) {
                return;
            }
        }
    }

    /// Answers a request; returns whether the connection stays open.
    fn answer(&self, conn: &mut Conn, head: &Head) -> bool {
        let path = head.word(1).to_string();
        let id = head.header("x-request-id").unwrap_or("").to_string();
        let running = self.running.lock().unwrap().0;
        let common = format!(
            "X-Request-Id: {id}\r\nX-Instance-Id: {}\r\nX-Server-Load: {running},0,{SLOTS}\r\n",
            self.id
        );
        if path == "/health" {
            let is_leaving = self.is_leaving.load(Ordering::SeqCst);
            let status = if is_leaving { "503 Service Unavailable" } else { "200 OK" };
            return http::respond(&mut conn.stream, status, &common, b"").is_ok();
        }
        let expected = head.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let status = "421 Misdirected Request";
            return http::respond(&mut conn.stream, status, &common, b"").is_ok();
        }
        let Some(work) = self.work.iter().find(|work| path.starts_with(work.prefix)).copied()
        else {
            let more = format!("{common}X-Server-Stamp: {}.{id}\r\n", self.id);
            return http::respond(&mut conn.stream, "404 Not Found", &more, b"").is_ok();
        };
        if !self.take_slot() {
            let more = format!("{common}X-Not-Executed: 1\r\n");
            return http::respond(&mut conn.stream, "503 Service Unavailable", &more, b"").is_ok();
        }
        let run = Run { id: id.clone(), at: Instant::now() };
        self.runs.lock().unwrap().push(run);
        self.record.line(&format!("run {id} {path} at {}", self.id));
        let is_wanted = self.work_on(conn, work.takes);
        let is_open = is_wanted && self.send_answer(conn, &common, &id, work);
        self.give_slot();
        self.record.line(&format!("end {id} at {}", self.id));
        is_open
    }

    fn send_answer(&self, conn: &mut Conn, common: &str, id: &str, work: Work) -> bool {
        let number = self.answered.fetch_add(1, Ordering::SeqCst) + 1;
        let is_broken = work.break_each > 0 && number % work.break_each == 0;
        let body: Vec<u8> = (0..work.bytes).map(|at| b'a' + (at % 26) as u8).collect();
        let head = format!(
            "HTTP/1.1 200 OK\r\n{common}Keep-Alive: timeout={IDLE_S}\r\nX-Server-Stamp: {}.{id}\r\n\
             Content-Length: {}\r\n\r\n",
            self.id,
            body.len()
        );
        let sent = if is_broken { work.break_after.min(body.len()) } else { body.len() };
        let pieces = if work.sending.is_zero() { 1 } else { 20 };
        let mut result = conn.stream.write_all(head.as_bytes());
        for piece in body[..sent].chunks(sent.div_ceil(pieces).max(1)) {
            result = result.and_then(|()| conn.stream.write_all(piece));
            std::thread::sleep(work.sending / pieces as u32);
        }
        if is_broken {
            self.record.line(&format!("broken off {id} at {}", self.id));
            let _closed = conn.stream.shutdown(std::net::Shutdown::Both);
        }
        result.is_ok() && !is_broken
    }

    /// Works for a time; returns false if the caller's connection was closed meanwhile.
    fn work_on(&self, conn: &mut Conn, time: Duration) -> bool {
        let until = Instant::now() + time;
        let step = Duration::from_millis(10);
        let mut byte = [0; 1];
        let is_wanted = loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break true;
            }
            let _polls_at_least =
                conn.stream.set_read_timeout(Some(left.min(step).max(Duration::from_millis(1))));
            match conn.stream.peek(&mut byte) {
                Ok(0) => break false,
                Ok(_) => std::thread::sleep(left.min(step)),
                Err(err) if is_timeout(&err) => {}
                Err(_) => break false,
            }
        };
        let _blocks_again = conn.stream.set_read_timeout(None);
        is_wanted
    }

    fn take_slot(&self) -> bool {
        let mut running = self.running.lock().unwrap();
        if running.0 >= SLOTS && running.1 >= QUEUE {
            return false;
        }
        running.1 += 1;
        while running.0 >= SLOTS {
            running = self.freed.wait(running).unwrap();
        }
        running.1 -= 1;
        running.0 += 1;
        true
    }

    fn give_slot(&self) {
        self.running.lock().unwrap().0 -= 1;
        self.freed.notify_one();
    }
}

fn is_timeout(err: &std::io::Error) -> bool {
    matches!(err.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut)
}
