//! Several requests in flight on one connection, against a server on loopback.
//!
//! The handler of these tests records the requests that it started and those that were
//! dropped before they were answered. It holds requests for `/slow` until the test
//! releases them, so that the order of events does not depend on timing.

use cicadashift_http::ahead::{MAX_PIPELINED, Place, Target};
use cicadashift_http::body::{self, Body};
use cicadashift_http::exec;
use cicadashift_http::hyper::{Request, Response, StatusCode};
use cicadashift_http::reactor::Async;
use cicadashift_http::server::{Limits, StopHandle, serve, stop_channel};
use smol::channel::{Receiver, Sender, unbounded};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Timeout for events that nothing delays.
const SOON: Duration = Duration::from_secs(10);
/// Time within which the requests of a caller that disconnected must be cancelled.
const CANCEL_BOUND: Duration = Duration::from_millis(500);

/// Time in which a request that may be started early is started.
const START_TIME: Duration = Duration::from_millis(200);
/// Bytes of an answer that no socket buffer takes.
const LARGE_BYTES: usize = 64 << 20;

/// The paths of the requests that the handler started, and of those that were dropped
/// before they were answered.
#[derive(Default)]
struct Observed {
    started: Vec<String>,
    dropped: Vec<String>,
}

struct Server {
    addr: SocketAddr,
    observed: Arc<Mutex<Observed>>,
    changed: Receiver<()>,
    release: Sender<()>,
    stop: Option<StopHandle>,
    serving: smol::Task<()>,
}

/// Records a request that is dropped before it is answered.
struct Unanswered {
    observed: Arc<Mutex<Observed>>,
    changed: Sender<()>,
    path: Option<String>,
}

impl Drop for Unanswered {
    fn drop(&mut self) {
        if let Some(path) = self.path.take() {
            self.observed.lock().expect("the lock is not poisoned").dropped.push(path);
            let _nobody_waits = self.changed.try_send(());
        }
    }
}

impl Server {
    fn start() -> Server {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port is free");
        let addr = listener.get_ref().local_addr().expect("the listener is bound");
        let observed = Arc::new(Mutex::new(Observed::default()));
        let (changed_tx, changed) = unbounded();
        let (release, released) = unbounded();
        let (stop, stopped) = stop_channel();
        let may_overlap = |target: &Target| target.method == "GET";
        let limits = Limits { may_overlap: Some(Arc::new(may_overlap)), ..Limits::default() };
        let handler_observed = observed.clone();
        let serving = exec::spawn(serve(listener, limits, stopped, move |_, req| {
            handle(req, handler_observed.clone(), changed_tx.clone(), released.clone())
        }));
        Server { addr, observed, changed, release, stop: Some(stop), serving }
    }

    async fn caller(&self) -> Async<TcpStream> {
        Async::<TcpStream>::connect(self.addr).await.expect("the server listens")
    }

    /// Waits until `condition` holds for the observed requests.
    async fn wait_until(&self, what: &str, condition: impl Fn(&Observed) -> bool) {
        let reached = async {
            while !condition(&self.observed.lock().expect("the lock is not poisoned")) {
                let _more = self.changed.recv().await;
            }
        };
        let observed = || {
            let observed = self.observed.lock().expect("the lock is not poisoned");
            format!("started {:?}, dropped {:?}", observed.started, observed.dropped)
        };
        assert!(exec::timeout(SOON, reached).await.is_some(), "{what}: {}", observed());
    }

    fn started(&self) -> Vec<String> {
        self.observed.lock().expect("the lock is not poisoned").started.clone()
    }
}

async fn handle(
    req: Request<Body>,
    observed: Arc<Mutex<Observed>>,
    changed: Sender<()>,
    released: Receiver<()>,
) -> Response<Body> {
    let path = req.uri().path().to_string();
    let place = req.extensions().get::<Place>().cloned();
    observed.lock().expect("the lock is not poisoned").started.push(path.clone());
    let _nobody_waits = changed.try_send(());
    let mut unanswered = Unanswered { observed, changed, path: Some(path.clone()) };
    if path == "/slow-unread" {
        let _released = released.recv().await;
        unanswered.path = None;
        return Response::new(body::full("[/slow-unread]"));
    }
    let sent = body::read(req.into_body(), 1 << 20).await.unwrap_or_default();
    if path.starts_with("/slow") {
        let _released = released.recv().await;
    }
    if path.starts_with("/slow-ending") {
        let reserved = place.is_some_and(|place| place.reserve_end());
        let _released = released.recv().await;
        unanswered.path = None;
        return Response::new(body::full(format!("[{path} reserved={reserved}]")));
    }
    unanswered.path = None;
    let mut res = Response::new(body::full(format!("[{path} {}]", sent.len())));
    if path == "/slow-closing-large" {
        *res.body_mut() = body::full(vec![b'x'; LARGE_BYTES]);
    }
    match path.as_str() {
        "/refused" => *res.status_mut() = StatusCode::SERVICE_UNAVAILABLE,
        "/failed" => *res.status_mut() = StatusCode::INTERNAL_SERVER_ERROR,
        _ => {}
    }
    if path.starts_with("/slow-closing") || path == "/refused" {
        res.headers_mut().insert("connection", "close".parse().expect("ascii"));
    }
    res
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: m\r\n\r\n")
}

fn post(path: &str, sent: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: m\r\ncontent-length: {}\r\n\r\n{sent}", sent.len())
}

async fn send(caller: &mut Async<TcpStream>, text: &str) {
    caller.write_all(text.as_bytes()).await.expect("the server reads the request");
}

/// Reads until `count` answers have arrived or the connection ends, and returns the status
/// and body of each.
async fn read_answers(caller: &mut Async<TcpStream>, count: usize) -> Vec<String> {
    let mut got = String::new();
    let read = async {
        let mut chunk = [0; 4096];
        while got.matches(']').count() < count {
            match caller.read(&mut chunk).await {
                Ok(0) | Err(_) => break,
                Ok(len) => got.push_str(&String::from_utf8_lossy(&chunk[..len])),
            }
        }
    };
    assert!(exec::timeout(SOON, read).await.is_some(), "answers so far: {got}");
    got.split("HTTP/1.1 ")
        .skip(1)
        .map(|answer| {
            let status = answer.split(' ').next().unwrap_or_default();
            let body = answer.split("\r\n\r\n").nth(1).unwrap_or_default();
            format!("{status} {body}")
        })
        .collect()
}

/// Returns whether the server has closed a connection.
async fn is_closed(caller: &mut Async<TcpStream>) -> bool {
    let mut chunk = [0; 64];
    let end = exec::timeout(SOON, caller.read(&mut chunk)).await;
    matches!(end, Some(Ok(0) | Err(_)))
}

fn run(test: impl Future<Output = ()>) {
    exec::run(2, test);
}

// A caller pipelines a fast request behind a slow one. The fast one is started at once,
// and only its answer waits for the slow one's.
#[test]
fn a_request_behind_a_slow_one_is_started_at_once() {
    run(async {
        let server = Server::start();
        let mut caller = server.caller().await;
        send(&mut caller, &(get("/slow") + &get("/fast"))).await;
        server.wait_until("both start", |observed| observed.started.len() == 2).await;
        server.release.send(()).await.expect("the handler holds the receiver");
        let got = read_answers(&mut caller, 2).await;
        assert_eq!(got, ["200 [/slow 0]", "200 [/fast 0]"]);
    });
}

// Refused and failed requests behind a slow one are answered in the order of the
// requests. The refusal asks to close the connection, which would cut off the requests
// started behind it; only the last answer may close it.
#[test]
fn refused_and_failed_requests_are_answered_in_order() {
    run(async {
        let server = Server::start();
        let mut caller = server.caller().await;
        let all = ["/slow", "/refused", "/failed", "/fast"].map(get).concat();
        send(&mut caller, &all).await;
        server.wait_until("all start", |observed| observed.started.len() == 4).await;
        server.release.send(()).await.expect("the handler holds the receiver");
        let got = read_answers(&mut caller, 4).await;
        let expected = ["200 [/slow 0]", "503 [/refused 0]", "500 [/failed 0]", "200 [/fast 0]"];
        assert_eq!(got, expected);
    });
}

// A caller disconnects while three of its requests are in flight, two of them started
// early. All three are cancelled, so that no upstream works on abandoned calls.
#[test]
fn a_caller_that_disconnects_cancels_all_its_requests() {
    run(async {
        let server = Server::start();
        let mut caller = server.caller().await;
        send(&mut caller, &["/slow-1", "/slow-2", "/slow-3"].map(get).concat()).await;
        server.wait_until("all start", |observed| observed.started.len() == 3).await;
        drop(caller);
        let ended = server.wait_until("all end", |observed| observed.dropped.len() == 3);
        assert!(exec::timeout(CANCEL_BOUND, ended).await.is_some());
    });
}

// The answer to the first request closes the connection, and the caller sends all
// requests behind it again. A request that may not run twice, and those behind it, must
// therefore not have been started.
#[test]
fn a_request_that_may_not_run_twice_waits_for_the_answers_before_it() {
    run(async {
        let server = Server::start();
        let mut caller = server.caller().await;
        let all = get("/slow-closing") + &post("/once", "abc") + &get("/behind");
        send(&mut caller, &all).await;
        server.wait_until("the first starts", |observed| observed.started.len() == 1).await;
        server.release.send(()).await.expect("the handler holds the receiver");
        assert_eq!(read_answers(&mut caller, 3).await, ["200 [/slow-closing 0]"]);
        assert!(is_closed(&mut caller).await);
        assert_eq!(server.started(), ["/slow-closing"]);
    });
}

// The first answer asks to close the connection after the request behind it was started
// early. That request is still answered on the same connection: the header that closes
// it is removed.
#[test]
fn a_started_request_is_answered_after_a_closing_answer() {
    run(async {
        let server = Server::start();
        let mut caller = server.caller().await;
        send(&mut caller, &(get("/slow-closing") + &get("/behind"))).await;
        server.wait_until("both start", |observed| observed.started.len() == 2).await;
        server.release.send(()).await.expect("the handler holds the receiver");
        let got = read_answers(&mut caller, 2).await;
        assert_eq!(got, ["200 [/slow-closing 0]", "200 [/behind 0]"]);
    });
}

// Behind a slow request comes one whose body looks like a request. The body is not taken
// for a request, and the request that follows it is served.
#[test]
fn a_body_is_never_taken_for_a_request() {
    run(async {
        let server = Server::start();
        let mut caller = server.caller().await;
        let inner = get("/smuggled");
        let all = get("/slow") + &post("/once", &inner) + &get("/last");
        send(&mut caller, &all).await;
        server.wait_until("the first starts", |observed| observed.started.len() == 1).await;
        server.release.send(()).await.expect("the handler holds the receiver");
        let got = read_answers(&mut caller, 3).await;
        let once = format!("200 [/once {}]", inner.len());
        assert_eq!(got, ["200 [/slow 0]", &once, "200 [/last 0]"]);
        assert_eq!(server.started(), ["/slow", "/once", "/last"]);
    });
}

// Behind a valid request comes one whose length is invalid or ambiguous, with a body that
// looks like a request. hyper answers it or closes the connection when it reaches it.
// Nothing in the body becomes a request, neither early nor later.
#[test]
fn ambiguous_framing_never_smuggles_a_request() {
    run(async {
        let smuggled = get("/smuggled");
        let cases = [
            ("length and chunks", "transfer-encoding: chunked\r\ncontent-length: 5", "0\r\n\r\n"),
            ("two lengths", "content-length: 5\r\ncontent-length: 50", ""),
            ("signed length", "content-length: +5", ""),
            ("bad chunk", "transfer-encoding: chunked", "zz\r\n"),
            ("chunks not last", "transfer-encoding: chunked, gzip", ""),
            ("folded line", "content-length: 5\r\n 0", ""),
            ("space before colon", "content-length : 5", ""),
            ("no header", "content-length", ""),
        ];
        let mut out = String::new();
        for (name, lines, body) in cases {
            let server = Server::start();
            let mut caller = server.caller().await;
            let bad = format!("POST /bad HTTP/1.1\r\nhost: m\r\n{lines}\r\n\r\n{body}{smuggled}");
            send(&mut caller, &(get("/slow") + &bad)).await;
            server.wait_until("the first starts", |observed| observed.started.len() == 1).await;
            server.release.send(()).await.expect("the handler holds the receiver");
            let got = read_answers(&mut caller, 3).await;
            let smuggled = server.started().iter().any(|path| path == "/smuggled");
            out.push_str(&format!("{name}: {got:?} smuggled={smuggled}\n"));
            assert!(!smuggled, "{name}");
        }
        let expected = [
            r#"length and chunks: ["200 [/slow 0]", "200 [/bad 0]"] smuggled=false"#,
            r#"two lengths: ["200 [/slow 0]", "400 "] smuggled=false"#,
            r#"signed length: ["200 [/slow 0]", "400 "] smuggled=false"#,
            r#"bad chunk: ["200 [/slow 0]", "200 [/bad 0]"] smuggled=false"#,
            r#"chunks not last: ["200 [/slow 0]", "400 "] smuggled=false"#,
            r#"folded line: ["200 [/slow 0]", "400 "] smuggled=false"#,
            r#"space before colon: ["200 [/slow 0]", "400 "] smuggled=false"#,
            r#"no header: ["200 [/slow 0]", "400 "] smuggled=false"#,
        ];
        assert_eq!(out.lines().collect::<Vec<_>>(), expected);
    });
}

// A planned stop begins while a slow request and one started behind it are in flight.
// Both are answered, and then the connection closes. A third request that arrived after
// the stop would not be started, and its caller would send it elsewhere; the test sends
// none.
#[test]
fn a_stop_lets_started_requests_be_answered() {
    run(async {
        let mut server = Server::start();
        let mut caller = server.caller().await;
        send(&mut caller, &(get("/slow") + &get("/slow-2"))).await;
        server.wait_until("both start", |observed| observed.started.len() == 2).await;
        drop(server.stop.take());
        server.release.send(()).await.expect("the handler holds the receiver");
        server.release.send(()).await.expect("the handler holds the receiver");
        assert_eq!(read_answers(&mut caller, 2).await, ["200 [/slow 0]", "200 [/slow-2 0]"]);
        assert!(is_closed(&mut caller).await);
        assert!(exec::timeout(SOON, &mut server.serving).await.is_some(), "the server ends");
    });
}

// A caller writes a thousand requests and reads no answer. Only a bounded number of them
// is started, and another caller is served meanwhile.
#[test]
fn a_caller_that_only_writes_starts_a_bounded_number_of_requests() {
    run(async {
        let server = Server::start();
        let caller = server.caller().await;
        let mut writing = caller;
        let all = get("/slow").repeat(1000);
        let writer = exec::spawn(async move {
            let _cancelled = writing.write_all(all.as_bytes()).await;
            writing
        });
        server
            .wait_until("the read-ahead queue is full", |observed| {
                observed.started.len() == 1 + MAX_PIPELINED
            })
            .await;
        let mut other = server.caller().await;
        send(&mut other, &get("/other")).await;
        assert_eq!(read_answers(&mut other, 1).await, ["200 [/other 0]"]);
        assert_eq!(server.started().len(), 2 + MAX_PIPELINED);
        drop(writer);
    });
}

// The bytes of a series of requests arrive split at each offset, and in random pieces.
// The answers do not depend on the split: each request is answered once, in order, with
// the length of its own body.
#[test]
fn splitting_the_bytes_does_not_change_the_answers() {
    run(async {
        let server = Server::start();
        let series = get("/a") + &get("/b") + &post("/c", "12345") + &get("/d");
        let expected = ["200 [/a 0]", "200 [/b 0]", "200 [/c 5]", "200 [/d 0]"];
        for cut in 1..series.len() {
            let mut caller = server.caller().await;
            send(&mut caller, &series[..cut]).await;
            send(&mut caller, &series[cut..]).await;
            assert_eq!(read_answers(&mut caller, 4).await, expected, "cut at {cut}");
        }
        for seed in 0..60 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let (text, expected) = random_series(&mut rng);
            let mut caller = server.caller().await;
            let mut left = text.as_str();
            while !left.is_empty() {
                let len = rng.usize(1..=left.len().min(90));
                send(&mut caller, &left[..len]).await;
                left = &left[len..];
            }
            assert_eq!(read_answers(&mut caller, expected.len()).await, expected, "seed {seed}");
        }
    });
}

// A head is longer than the read-ahead buffer. hyper reads it without the scanner, and
// the requests behind it are served one at a time.
#[test]
fn a_head_longer_than_the_read_ahead_buffer_is_served() {
    run(async {
        let server = Server::start();
        let mut caller = server.caller().await;
        let long = format!("GET /long HTTP/1.1\r\nhost: m\r\nx: {}\r\n\r\n", "y".repeat(24 << 10));
        send(&mut caller, &(long + &get("/behind"))).await;
        assert_eq!(read_answers(&mut caller, 2).await, ["200 [/long 0]", "200 [/behind 0]"]);
    });
}

/// Returns a random series of requests and the answers expected for it.
fn random_series(rng: &mut fastrand::Rng) -> (String, Vec<String>) {
    let mut text = String::new();
    let mut expected = Vec::new();
    for i in 0..rng.usize(2..12) {
        let body = "x\r\n\r\nGET /no HTTP/1.1\r\n\r\n".repeat(rng.usize(0..4));
        match rng.u8(0..4) {
            0 => {
                text.push_str(&post(&format!("/p{i}"), &body));
                expected.push(format!("200 [/p{i} {}]", body.len()));
            }
            1 => {
                let size = body.len();
                let chunk =
                    if size > 0 { format!("{size:x}\r\n{body}\r\n") } else { String::new() };
                text.push_str(&format!(
                    "POST /c{i} HTTP/1.1\r\nhost: m\r\ntransfer-encoding: chunked\r\n\r\n{chunk}0\r\n\r\n"
                ));
                expected.push(format!("200 [/c{i} {size}]"));
            }
            _ => {
                text.push_str(&get(&format!("/g{i}")));
                expected.push(format!("200 [/g{i} 0]"));
            }
        }
    }
    (text, expected)
}

// The answer to the first request could break off, and the request behind it was started
// early. The end of the connection cannot be reserved, so that its handler holds the answer.
#[test]
fn the_end_is_not_reserved_before_a_started_request() {
    run(async {
        let server = Server::start();
        let mut caller = server.caller().await;
        send(&mut caller, &(get("/slow-ending") + &get("/behind"))).await;
        server.wait_until("both start", |observed| observed.started.len() == 2).await;
        server.release.send(()).await.expect("the handler holds the receiver");
        server.release.send(()).await.expect("the handler holds the receiver");
        let got = read_answers(&mut caller, 2).await;
        assert_eq!(got, ["200 [/slow-ending reserved=false]", "200 [/behind 0]"]);
    });
}

// The answer to the first request may break off from now on. A request that arrives behind it
// is not started before it has been sent; the one behind that may be started early again.
#[test]
fn nothing_is_started_behind_a_reserved_end() {
    run(async {
        let server = Server::start();
        let mut caller = server.caller().await;
        send(&mut caller, &get("/slow-ending")).await;
        server.wait_until("the first starts", |observed| observed.started.len() == 1).await;
        server.release.send(()).await.expect("the handler holds the receiver");
        smol::Timer::after(START_TIME).await;
        send(&mut caller, &(get("/slow-behind") + &get("/last"))).await;
        smol::Timer::after(START_TIME).await;
        assert_eq!(server.started(), ["/slow-ending"]);
        server.release.send(()).await.expect("the handler holds the receiver");
        server.wait_until("all start", |observed| observed.started.len() == 3).await;
        server.release.send(()).await.expect("the handler holds the receiver");
        let got = read_answers(&mut caller, 3).await;
        let expected =
            ["200 [/slow-ending reserved=true]", "200 [/slow-behind 0]", "200 [/last 0]"];
        assert_eq!(got, expected);
    });
}

// An answer that closes the connection is still being sent when a further request arrives.
// That request is not started, since nobody could receive its answer.
#[test]
fn nothing_is_started_behind_an_answer_that_closes_the_connection() {
    run(async {
        let server = Server::start();
        let mut caller = server.caller().await;
        send(&mut caller, &get("/slow-closing-large")).await;
        server.wait_until("the first starts", |observed| observed.started.len() == 1).await;
        server.release.send(()).await.expect("the handler holds the receiver");
        let mut head = [0; 16];
        caller.read_exact(&mut head).await.expect("the answer begins");
        send(&mut caller, &get("/behind")).await;
        smol::Timer::after(START_TIME).await;
        assert_eq!(server.started(), ["/slow-closing-large"]);
    });
}

// A request is answered before its body is read, which closes the connection where the body
// is long. The request behind it is answered, or is not started.
#[test]
fn a_body_that_is_not_read_loses_no_started_request() {
    run(async {
        for len in [1, 1 << 10, 12 << 10] {
            let server = Server::start();
            let mut caller = server.caller().await;
            let body = "b".repeat(len);
            let head =
                format!("GET /slow-unread HTTP/1.1\r\nhost: m\r\ncontent-length: {len}\r\n\r\n");
            send(&mut caller, &(head + &body + &get("/behind"))).await;
            server.wait_until("the first starts", |observed| !observed.started.is_empty()).await;
            smol::Timer::after(START_TIME).await;
            server.release.send(()).await.expect("the handler holds the receiver");
            let got = read_answers(&mut caller, 2).await;
            assert_eq!(got.first().map(String::as_str), Some("200 [/slow-unread]"), "{len}");
            let lost = server.started().len() > got.len();
            assert!(!lost, "{len}: {got:?} of {:?}", server.started());
        }
    });
}
