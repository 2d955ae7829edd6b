//! A caller: sends one request and says exactly what became of it.

use bytes::Bytes;
use cicadashift_http::body;
use cicadashift_http::client::Pool;
use cicadashift_http::hyper::{Method, Request, StatusCode};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time after which a caller stops waiting; longer than any deadline used.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const MOST: usize = 64 << 20;

/// What a caller got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// A whole answer of an upstream.
    Answer { status: u16, body: Bytes, instance: String, request: String },
    /// Told that it did not run, and when to come back.
    NotRun { reason: String, retry_after: Duration },
    /// Told that it may have run.
    Unknown,
    /// Refused for what it is, such as no route.
    Refused(u16),
    /// Nothing that can be understood: lost.
    Lost(String),
}

/// One request's result.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// What came back.
    pub outcome: CallOutcome,
    /// How long it took.
    pub took: Duration,
}

/// Sends requests to one entry daemon or upstream.
pub struct Caller {
    to: SocketAddr,
    pool: Pool,
}

impl Caller {
    /// Makes a caller that keeps its connections.
    pub fn new(to: SocketAddr) -> Caller {
        Caller { to, pool: Pool::new(256) }
    }

    /// Sends one request named `id`.
    pub async fn call(&self, method: &str, uri: &str, id: &str, body: &[u8]) -> CallResult {
        let started = Instant::now();
        let outcome = self.attempt(method, uri, id, body).await;
        CallResult { outcome, took: started.elapsed() }
    }

    async fn attempt(&self, method: &str, uri: &str, id: &str, body: &[u8]) -> CallOutcome {
        let method = Method::from_bytes(method.as_bytes()).unwrap_or(Method::GET);
        let req = Request::builder()
            .method(method)
            .uri(uri)
            .header("host", "mesh")
            .header("cicadashift-request-id", id)
            .body(body::full(body.to_vec()));
        let Ok(req) = req else { return CallOutcome::Lost("bad request".to_string()) };
        let res = match self.pool.exchange(self.to, req, MOST, WAIT_TIMEOUT).await {
            Ok(res) => res,
            Err(err) => return CallOutcome::Lost(err.to_string()),
        };
        let header = |name: &str| {
            res.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or_default().to_string()
        };
        match header("cicadashift-outcome").as_str() {
            "not-run" => CallOutcome::NotRun {
                reason: header("cicadashift-reason"),
                retry_after: Duration::from_millis(
                    header("cicadashift-retry-after-ms").parse().unwrap_or(0),
                ),
            },
            "unknown" => CallOutcome::Unknown,
            _ if res.status() == StatusCode::OK => CallOutcome::Answer {
                status: res.status().as_u16(),
                instance: header("x-instance"),
                request: header("x-request"),
                body: res.body().clone(),
            },
            _ => CallOutcome::Refused(res.status().as_u16()),
        }
    }
}
