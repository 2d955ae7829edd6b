//! LOST: clients that read large answers at the pace of their line while the daemon of their
//! machine gets SIGTERM.

use crate::fleet::{Fleet, HOST, SERVICE, config, pause};
use crate::has_trouble;
use cicadashift_http::exec;
use cicadashift_testkit::hosted::instance::LARGE_BYTES;
use smol::Async;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use socket2::{Domain, Socket, Type};
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// What the clients allow for a whole answer; the route allows as much.
const DEADLINE: Duration = Duration::from_millis(2500);
/// Pace of a client's line: 160 KB a second.
const READ_BYTES: usize = 8_000;
const READ_INTERVAL: Duration = Duration::from_millis(50);

struct Got {
    id: String,
    at: Duration,
    took: Duration,
    status: Option<u16>,
    expected: Option<usize>,
    bytes: usize,
}

impl Got {
    fn is_whole(&self) -> bool {
        self.expected == Some(self.bytes)
    }
}

/// Downloads one document, with a receive window like that of a narrow line.
async fn download(to: SocketAddr, id: String, began: Instant) -> Got {
    let at = began.elapsed();
    let mut got = Got { id, at, took: Duration::ZERO, status: None, expected: None, bytes: 0 };
    let _ended = exec::timeout(DEADLINE, read(to, &mut got)).await;
    got.took = began.elapsed() - at;
    got
}

async fn read(to: SocketAddr, got: &mut Got) -> Option<()> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).ok()?;
    socket.set_recv_buffer_size(16 << 10).ok()?;
    socket.connect(&to.into()).ok()?;
    let mut stream = Async::<TcpStream>::new(socket.into()).ok()?;
    let text = format!(
        "GET /packs/large HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {}\r\nx-deadline-ms: {}\r\n\r\n",
        got.id,
        DEADLINE.as_millis()
    );
    stream.write_all(text.as_bytes()).await.ok()?;
    let (mut head, mut chunk) = (Vec::new(), [0; READ_BYTES]);
    loop {
        let len = stream.read(&mut chunk).await.ok()?;
        if len == 0 {
            return Some(());
        }
        if got.status.is_some() {
            got.bytes += len;
        } else {
            head.extend_from_slice(&chunk[..len]);
            let text = String::from_utf8_lossy(&head).into_owned();
            if let Some(end) = text.find("\r\n\r\n") {
                got.status = text.get(9..12).and_then(|code| code.parse().ok());
                let lower = text[..end].to_ascii_lowercase();
                got.expected = lower
                    .split("\r\n")
                    .find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
                got.bytes = head.len() - end - 4;
            }
        }
        if got.is_whole() {
            return Some(());
        }
        smol::Timer::after(READ_INTERVAL).await;
    }
}

pub async fn slow_readers() -> i32 {
    let machines = [(0, SERVICE), (0, SERVICE), (1, SERVICE), (1, SERVICE)];
    let mut first = config(1, &[("/packs/", "download", SERVICE)], None);
    first["VirtualHosts"][0]["Paths"][0]["TimeoutMs"] =
        serde_json::json!(DEADLINE.as_millis() as u64);
    first["VirtualHosts"][0]["Paths"][0]["TargetLatencyMs"] = serde_json::json!(2000);
    let fleet = Fleet::start(&machines, &first);
    if !fleet.wait_until_serving().await {
        return 2;
    }
    pause(4000).await;
    let mut events: Vec<(Duration, String)> = Vec::new();
    let began = fleet.began;
    let mut tasks = Vec::new();
    let to = fleet.machines[0].callers;
    // Twenty downloads a second, begun until the platform has missed two readiness answers.
    for n in 0..70 {
        if n == 30 && has_trouble() {
            fleet.signal(0, "-TERM");
            events.push((fleet.now(), "SIGTERM to the daemon of machine 0".to_string()));
        }
        tasks.push(exec::spawn(download(to, format!("pack-{n}"), began)));
        pause(50).await;
    }
    let mut all = Vec::new();
    for task in tasks {
        all.push(task.await);
    }
    let (mut cut, mut whole, mut other) = (0, 0, 0);
    for got in &all {
        let runs = fleet.ledger.count(&got.id);
        let is_cut = runs > 0 && !got.is_whole() && got.took < DEADLINE;
        cut += usize::from(is_cut);
        let is_served = got.status == Some(200) && got.is_whole();
        whole += usize::from(is_served);
        other += usize::from(!is_cut && !is_served);
        events.push((
            got.at,
            format!(
                "request {}: status {:?}, {} of {:?} bytes after {} ms, runs {runs}{}",
                got.id,
                got.status,
                got.bytes,
                got.expected,
                got.took.as_millis(),
                if is_cut { ": CUT" } else { "" }
            ),
        ));
    }
    events.sort();
    let mut out = File::create("record.txt").expect("record.txt can be written");
    for (at, line) in &events {
        let _written = writeln!(out, "{:8.3} s  {line}", at.as_secs_f64());
    }
    let summary = format!(
        "{whole} answers of {LARGE_BYTES} bytes whole, {cut} cut before their deadline, {other} others\n"
    );
    let _written = out.write_all(summary.as_bytes());
    print!("{summary}");
    if whole < 10 {
        return 2;
    }
    i32::from(cut > 0)
}
