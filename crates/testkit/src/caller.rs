//! A caller, which sends requests and classifies their results.

use bytes::Bytes;
use cicadashift_http::body;
use cicadashift_http::client::Pool;
use cicadashift_http::hyper::{Method, Request, StatusCode};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Client-side timeout of a request; longer than any deadline in the tests.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// How a request ended for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// A complete answer of an upstream.
    Answer { status: u16, body: Bytes, instance: String, request: String },
    /// The request was reported as not run, with the time after which to retry.
    NotRun { reason: String, retry_after: Duration },
    /// The request was reported as possibly run.
    Unknown,
    /// Any other answer, such as 404 for a missing route, with its status code.
    Refused(u16),
    /// The request could not be sent or no complete answer arrived, with the error.
    Lost(String),
}

/// The result of one request.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// How the request ended.
    pub outcome: CallOutcome,
    /// Time from sending the request to its result.
    pub took: Duration,
}

/// Sends requests to one entry daemon or one upstream.
pub struct Caller {
    to: SocketAddr,
    pool: Pool,
}

impl Caller {
    /// Creates a caller that reuses its connections.
    pub fn new(to: SocketAddr) -> Caller {
        Caller { to, pool: Pool::new(256) }
    }

    /// Sends one request with the request id `id`.
    pub async fn call(&self, method: &str, uri: &str, id: &str, body: &[u8]) -> CallResult {
        let started = Instant::now();
        let outcome = self.send(method, uri, id, body).await;
        CallResult { outcome, took: started.elapsed() }
    }

    async fn send(&self, method: &str, uri: &str, id: &str, body: &[u8]) -> CallOutcome {
        let method = Method::from_bytes(method.as_bytes()).unwrap_or(Method::GET);
        let req = Request::builder()
            .method(method)
            .uri(uri)
            .header("host", "mesh")
            .header("cicadashift-request-id", id)
            .body(body::full(body.to_vec()));
        let Ok(req) = req else { return CallOutcome::Lost("bad request".to_string()) };
        let res = match self.pool.exchange(self.to, req, MAX_ANSWER_BYTES, REQUEST_TIMEOUT).await {
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
