//! Several requests in flight on one connection, against a server on loopback.
//!
//! The handler of these tests tells what it began and what was dropped before its
//! end, and holds `/slow` until it is released, so that every order of events is
//! made, not waited for.

use cicadashift_http::ahead::{MOST_AHEAD, Target};
use cicadashift_http::body::{self, Body};
use cicadashift_http::exec;
use cicadashift_http::hyper::{Request, Response, StatusCode};
use cicadashift_http::server::{Limits, StopHandle, serve, stop_channel};
use smol::Async;
use smol::channel::{Receiver, Sender, unbounded};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time within which something must happen that nothing holds up.
const SOON: Duration = Duration::from_secs(10);
/// Time within which the work for a caller that left must end.
const LEFT_BOUND: Duration = Duration::from_millis(500);

/// What the handler was asked and how it ended.
#[derive(Default)]
struct Seen {
    begun: Vec<String>,
    dropped: Vec<String>,
}

struct Server {
    addr: SocketAddr,
    seen: Arc<Mutex<Seen>>,
    news: Receiver<()>,
    release: Sender<()>,
    stop: Option<StopHandle>,
    serving: smol::Task<()>,
}

/// Notes a request that ends before its answer is made.
struct Unanswered {
    seen: Arc<Mutex<Seen>>,
    news: Sender<()>,
    path: Option<String>,
}

impl Drop for Unanswered {
    fn drop(&mut self) {
        if let Some(path) = self.path.take() {
            self.seen.lock().expect("no test panics with it").dropped.push(path);
            let _nobody_waits = self.news.try_send(());
        }
    }
}

impl Server {
    fn start() -> Server {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port is free");
        let addr = listener.get_ref().local_addr().expect("it is bound");
        let seen = Arc::new(Mutex::new(Seen::default()));
        let (news_tx, news) = unbounded();
        let (release, held) = unbounded();
        let (stop, stopped) = stop_channel();
        let may_overlap = |target: &Target| target.method == "GET";
        let limits = Limits { may_overlap: Some(Arc::new(may_overlap)), ..Limits::default() };
        let of_handler = seen.clone();
        let serving = exec::spawn(serve(listener, limits, stopped, move |_, req| {
            handle(req, of_handler.clone(), news_tx.clone(), held.clone())
        }));
        Server { addr, seen, news, release, stop: Some(stop), serving }
    }

    async fn caller(&self) -> Async<TcpStream> {
        Async::<TcpStream>::connect(self.addr).await.expect("the server listens")
    }

    /// Waits until what was seen is as asked, and returns it.
    async fn until(&self, what: &str, is: impl Fn(&Seen) -> bool) {
        let reached = async {
            while !is(&self.seen.lock().expect("no test panics with it")) {
                let _more = self.news.recv().await;
            }
        };
        let seen = || {
            let seen = self.seen.lock().expect("no test panics with it");
            format!("begun {:?}, dropped {:?}", seen.begun, seen.dropped)
        };
        assert!(exec::timeout(SOON, reached).await.is_some(), "{what}: {}", seen());
    }

    fn begun(&self) -> Vec<String> {
        self.seen.lock().expect("no test panics with it").begun.clone()
    }
}

async fn handle(
    req: Request<Body>,
    seen: Arc<Mutex<Seen>>,
    news: Sender<()>,
    held: Receiver<()>,
) -> Response<Body> {
    let path = req.uri().path().to_string();
    seen.lock().expect("no test panics with it").begun.push(path.clone());
    let _nobody_waits = news.try_send(());
    let mut unanswered = Unanswered { seen, news, path: Some(path.clone()) };
    let sent = body::read(req.into_body(), 1 << 20).await.unwrap_or_default();
    if path.starts_with("/slow") {
        let _released = held.recv().await;
    }
    unanswered.path = None;
    let mut res = Response::new(body::full(format!("[{path} {}]", sent.len())));
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
    caller.write_all(text.as_bytes()).await.expect("the server takes it");
}

/// Reads until so many answers have come, and returns their status and body.
async fn answers(caller: &mut Async<TcpStream>, most: usize) -> Vec<String> {
    let mut got = String::new();
    let read = async {
        let mut chunk = [0; 4096];
        while got.matches(']').count() < most {
            match caller.read(&mut chunk).await {
                Ok(0) | Err(_) => break,
                Ok(len) => got.push_str(&String::from_utf8_lossy(&chunk[..len])),
            }
        }
    };
    assert!(exec::timeout(SOON, read).await.is_some(), "the answers so far: {got}");
    got.split("HTTP/1.1 ")
        .skip(1)
        .map(|answer| {
            let status = answer.split(' ').next().unwrap_or_default();
            let body = answer.split("\r\n\r\n").nth(1).unwrap_or_default();
            format!("{status} {body}")
        })
        .collect()
}

/// Tells whether nothing more comes on a connection.
async fn is_closed(caller: &mut Async<TcpStream>) -> bool {
    let mut chunk = [0; 64];
    let end = exec::timeout(SOON, caller.read(&mut chunk)).await;
    matches!(end, Some(Ok(0) | Err(_)))
}

fn run(test: impl Future<Output = ()>) {
    exec::run(2, test);
}

// A caller sends a second request before the first is answered. The first is slow;
// the second is worked on meanwhile and its answer waits for the first one's.
#[test]
fn a_slow_request_holds_up_only_the_order_of_answers() {
    run(async {
        let server = Server::start();
        let mut caller = server.caller().await;
        send(&mut caller, &(get("/slow") + &get("/fast"))).await;
        server.until("both begin", |seen| seen.begun.len() == 2).await;
        server.release.send(()).await.expect("the handler holds the other end");
        let got = answers(&mut caller, 2).await;
        assert_eq!(got, ["200 [/slow 0]", "200 [/fast 0]"]);
    });
}

// Failures and refusals behind a slow request come in their place. A refusal closes
// a connection that has nothing behind it; here it would cut what was begun, so that
// only the last answer may close.
#[test]
fn refused_and_failed_answers_come_in_their_place() {
    run(async {
        let server = Server::start();
        let mut caller = server.caller().await;
        let all = ["/slow", "/refused", "/failed", "/fast"].map(get).concat();
        send(&mut caller, &all).await;
        server.until("all begin", |seen| seen.begun.len() == 4).await;
        server.release.send(()).await.expect("the handler holds the other end");
        let got = answers(&mut caller, 4).await;
        let expected = ["200 [/slow 0]", "503 [/refused 0]", "500 [/failed 0]", "200 [/fast 0]"];
        assert_eq!(got, expected);
    });
}

// A caller leaves while three of its requests are at work, one of them in turn and
// two ahead. All three end, so that no upstream works for nobody.
#[test]
fn a_caller_that_leaves_ends_all_its_requests() {
    run(async {
        let server = Server::start();
        let mut caller = server.caller().await;
        send(&mut caller, &["/slow-1", "/slow-2", "/slow-3"].map(get).concat()).await;
        server.until("all begin", |seen| seen.begun.len() == 3).await;
        drop(caller);
        let ended = server.until("all end", |seen| seen.dropped.len() == 3);
        assert!(exec::timeout(LEFT_BOUND, ended).await.is_some());
    });
}

// The answer to the first request closes the connection. What stands behind it is
// sent again by its caller, whatever its kind: a request that may not run twice must
// not have begun.
#[test]
fn what_may_not_run_twice_waits_for_the_answers_before_it() {
    run(async {
        let server = Server::start();
        let mut caller = server.caller().await;
        let all = get("/slow-closing") + &post("/once", "abc") + &get("/behind");
        send(&mut caller, &all).await;
        server.until("the first begins", |seen| seen.begun.len() == 1).await;
        server.release.send(()).await.expect("the handler holds the other end");
        assert_eq!(answers(&mut caller, 3).await, ["200 [/slow-closing 0]"]);
        assert!(is_closed(&mut caller).await);
        assert_eq!(server.begun(), ["/slow-closing"]);
    });
}

// As before, but what stands behind the closing answer has begun. It is answered on
// the same connection; the word that it closes is taken back.
#[test]
fn what_was_begun_is_answered_although_an_answer_before_it_closes() {
    run(async {
        let server = Server::start();
        let mut caller = server.caller().await;
        send(&mut caller, &(get("/slow-closing") + &get("/behind"))).await;
        server.until("both begin", |seen| seen.begun.len() == 2).await;
        server.release.send(()).await.expect("the handler holds the other end");
        let got = answers(&mut caller, 2).await;
        assert_eq!(got, ["200 [/slow-closing 0]", "200 [/behind 0]"]);
    });
}

// A request with a body stands behind a slow one, and its body looks like a request.
// The body is never taken for one, and what follows it is served after it.
#[test]
fn a_body_is_never_taken_for_a_request() {
    run(async {
        let server = Server::start();
        let mut caller = server.caller().await;
        let inner = get("/smuggled");
        let all = get("/slow") + &post("/once", &inner) + &get("/last");
        send(&mut caller, &all).await;
        server.until("the first begins", |seen| seen.begun.len() == 1).await;
        server.release.send(()).await.expect("the handler holds the other end");
        let got = answers(&mut caller, 3).await;
        let once = format!("200 [/once {}]", inner.len());
        assert_eq!(got, ["200 [/slow 0]", &once, "200 [/last 0]"]);
        assert_eq!(server.begun(), ["/slow", "/once", "/last"]);
    });
}

// Behind a good request comes one whose length is doubtful, with a body that looks
// like a request. hyper answers or ends the connection when it comes to it; nothing
// in the body becomes a request, neither early nor later.
#[test]
fn doubtful_framing_behind_a_good_request_never_becomes_a_request() {
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
            server.until("the first begins", |seen| seen.begun.len() == 1).await;
            server.release.send(()).await.expect("the handler holds the other end");
            let got = answers(&mut caller, 3).await;
            let smuggled = server.begun().iter().any(|path| path == "/smuggled");
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

// A planned stop comes while a slow request and one behind it are at work. Both are
// answered, then the connection closes; a third that comes after the stop has not
// begun, and its caller sends it elsewhere.
#[test]
fn a_stop_lets_what_was_begun_be_answered() {
    run(async {
        let mut server = Server::start();
        let mut caller = server.caller().await;
        send(&mut caller, &(get("/slow") + &get("/slow-2"))).await;
        server.until("both begin", |seen| seen.begun.len() == 2).await;
        drop(server.stop.take());
        server.release.send(()).await.expect("the handler holds the other end");
        server.release.send(()).await.expect("the handler holds the other end");
        assert_eq!(answers(&mut caller, 2).await, ["200 [/slow 0]", "200 [/slow-2 0]"]);
        assert!(is_closed(&mut caller).await);
        assert!(exec::timeout(SOON, &mut server.serving).await.is_some(), "the server ends");
    });
}

// A caller writes a thousand requests and reads nothing. Only a bounded number of
// them is at work, and another caller is served meanwhile.
#[test]
fn a_caller_that_only_writes_gets_a_bounded_share() {
    run(async {
        let server = Server::start();
        let caller = server.caller().await;
        let mut writing = caller;
        let all = get("/slow").repeat(1000);
        let writer = exec::spawn(async move {
            let _cut_at_the_end = writing.write_all(all.as_bytes()).await;
            writing
        });
        server.until("the window fills", |seen| seen.begun.len() == 1 + MOST_AHEAD).await;
        let mut other = server.caller().await;
        send(&mut other, &get("/other")).await;
        assert_eq!(answers(&mut other, 1).await, ["200 [/other 0]"]);
        assert_eq!(server.begun().len(), 2 + MOST_AHEAD);
        drop(writer);
    });
}

// The bytes of a series of requests arrive cut at every place, and in random pieces.
// Whatever the pieces, the answers are those of the plain model: each request once,
// in order, with the length of its own body.
#[test]
fn pieces_do_not_change_what_is_answered() {
    run(async {
        let server = Server::start();
        let series = get("/a") + &get("/b") + &post("/c", "12345") + &get("/d");
        let expected = ["200 [/a 0]", "200 [/b 0]", "200 [/c 5]", "200 [/d 0]"];
        for cut in 1..series.len() {
            let mut caller = server.caller().await;
            send(&mut caller, &series[..cut]).await;
            send(&mut caller, &series[cut..]).await;
            assert_eq!(answers(&mut caller, 4).await, expected, "cut at {cut}");
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
            assert_eq!(answers(&mut caller, expected.len()).await, expected, "seed {seed}");
        }
    });
}

// A head is longer than what is read ahead. hyper reads it by itself, and requests
// behind it are served one at a time.
#[test]
fn a_head_longer_than_the_window_is_served() {
    run(async {
        let server = Server::start();
        let mut caller = server.caller().await;
        let long = format!("GET /long HTTP/1.1\r\nhost: m\r\nx: {}\r\n\r\n", "y".repeat(24 << 10));
        send(&mut caller, &(long + &get("/behind"))).await;
        assert_eq!(answers(&mut caller, 2).await, ["200 [/long 0]", "200 [/behind 0]"]);
    });
}

/// Makes a series of requests and the answers that the plain model gives.
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
