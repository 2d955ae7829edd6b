//! A simulated key-value service of the platform, with ranges, transactions, leases and
//! watches in the protocol of its published JSON gateway.
//!
//! Implements only the fields that cicadashift uses. [`Faults`] lists the faults that can
//! be injected; [`Counts`] counts the calls received.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use cicadashift_http::body::{self, Body, BodyError};
use cicadashift_http::exec;
use cicadashift_http::hyper::body::Frame;
use cicadashift_http::hyper::{Request, Response, StatusCode};
use cicadashift_http::reactor::Async;
use cicadashift_http::server::{self, Limits, StopHandle};
use http_body_util::{BodyExt, StreamBody};
use serde_json::{Value, json};
use smol::channel::{Receiver, Sender};
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Maximum size of a value, as the requirements give it.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// Default of the rate limits in [`Faults`]: no call is refused.
const NO_LIMIT: u32 = u32::MAX;

/// Injected faults.
#[derive(Clone, Debug)]
pub struct Faults {
    /// Delay added to each call.
    pub delay: Duration,
    /// Whether every call fails and every watch ends.
    pub outage: bool,
    /// Number of the next writes that are executed, with the connection closed instead of an
    /// answer.
    pub lose_answers: u32,
    /// Whether all leases expire immediately, before the end of their ttl.
    pub expire_leases: bool,
    /// Maximum number of reads per second; further reads are refused.
    pub reads_per_s: u32,
    /// Maximum number of other calls per second; further ones are refused.
    pub writes_per_s: u32,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            delay: Duration::ZERO,
            outage: false,
            lose_answers: 0,
            expire_leases: false,
            reads_per_s: NO_LIMIT,
            writes_per_s: NO_LIMIT,
        }
    }
}

/// Calls that the platform has received since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Range requests.
    pub reads: u64,
    /// Transactions.
    pub writes: u64,
    /// Grants, keep-alives and revocations of leases.
    pub leases: u64,
    /// Watches started.
    pub watches: u64,
    /// Calls refused over the limit or during an outage.
    pub refused: u64,
    /// Bytes of values in answers and of watch events.
    pub bytes_out: u64,
    /// Maximum number of calls in one second.
    pub peak_per_s: u64,
}

impl Counts {
    /// Returns the number of all calls. A watch counts as one call.
    pub fn calls(&self) -> u64 {
        self.reads + self.writes + self.leases + self.watches
    }
}

#[derive(Clone)]
struct Entry {
    value: Vec<u8>,
    mod_revision: i64,
    lease: i64,
}

struct Watcher {
    from: Vec<u8>,
    to: Vec<u8>,
    tx: Sender<Bytes>,
}

#[derive(Default)]
struct State {
    revision: i64,
    entries: BTreeMap<Vec<u8>, Entry>,
    leases: HashMap<i64, (Duration, Instant)>,
    next_lease: i64,
    watchers: Vec<Watcher>,
    faults: Faults,
    counts: Counts,
    second: Option<(Instant, u64, u32, u32)>,
}

/// A running simulated platform.
pub struct Platform {
    /// The listen address.
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
    _stop: StopHandle,
}

impl Platform {
    /// Starts the platform on a free port.
    ///
    /// # Panics
    ///
    /// Panics if the system refuses a port.
    pub fn start() -> Platform {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a free port");
        let addr = listener.get_ref().local_addr().expect("a bound socket has an address");
        let state = Arc::new(Mutex::new(State::default()));
        let (stop, stopped) = server::stop_channel();
        let limits = Limits { head_timeout: Duration::from_secs(120), ..Limits::default() };
        let serving = state.clone();
        exec::spawn(server::serve(listener, limits, stopped, move |_, req| {
            handle(serving.clone(), req)
        }))
        .detach();
        exec::spawn(expire_leases(Arc::downgrade(&state))).detach();
        Platform { addr, state, _stop: stop }
    }

    /// Changes the injected faults.
    pub fn change_faults(&self, change: impl FnOnce(&mut Faults)) {
        let mut state = lock(&self.state);
        change(&mut state.faults);
        if state.faults.outage {
            state.watchers.clear();
        }
    }

    /// Returns the counts of calls.
    pub fn counts(&self) -> Counts {
        lock(&self.state).counts.clone()
    }

    /// Resets the maximum number of calls in one second.
    pub fn reset_peak(&self) {
        lock(&self.state).counts.peak_per_s = 0;
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<Vec<u8>> {
        lock(&self.state).entries.get(key.as_bytes()).map(|entry| entry.value.clone())
    }

    /// Returns the keys that begin with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        lock(&self.state)
            .entries
            .keys()
            .map(|key| String::from_utf8_lossy(key).into_owned())
            .filter(|key| key.starts_with(prefix))
            .collect()
    }

    /// Overwrites a value without a new revision or a watch event, like corruption on a disk.
    pub fn corrupt(&self, key: &str, value: &[u8]) {
        let mut state = lock(&self.state);
        if let Some(entry) = state.entries.get_mut(key.as_bytes()) {
            entry.value = value.to_vec();
        }
    }
}

async fn expire_leases(state: std::sync::Weak<Mutex<State>>) {
    loop {
        smol::Timer::after(Duration::from_millis(100)).await;
        let Some(state) = state.upgrade() else { return };
        let mut state = lock(&state);
        let now = Instant::now();
        let all = state.faults.expire_leases;
        let expired: Vec<i64> = state
            .leases
            .iter()
            .filter(|(_, (ttl, renewed))| all || now >= *renewed + *ttl)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            state.end_lease(id);
        }
    }
}

async fn handle(state: Arc<Mutex<State>>, req: Request<Body>) -> Response<Body> {
    let path = req.uri().path().to_string();
    let Ok(buf) = body::read(req.into_body(), 4 * MAX_VALUE_BYTES).await else {
        return refuse(StatusCode::PAYLOAD_TOO_LARGE, "request too large");
    };
    let Ok(request) = serde_json::from_slice::<Value>(&buf) else {
        return refuse(StatusCode::BAD_REQUEST, "not JSON");
    };
    let delay = {
        let mut state = lock(&state);
        if let Some(refusal) = state.admit(&path) {
            return refusal;
        }
        state.faults.delay
    };
    if !delay.is_zero() {
        smol::Timer::after(delay).await;
    }
    let mut state = lock(&state);
    match path.as_str() {
        "/v3/kv/range" => answer(state.range(&request)),
        "/v3/kv/txn" => {
            let result = state.txn(&request);
            let writes = request["success"].to_string().contains("request_put");
            if writes && state.faults.lose_answers > 0 {
                state.faults.lose_answers -= 1;
                return lose_answer();
            }
            answer(result)
        }
        "/v3/lease/grant" => answer(state.grant(&request)),
        "/v3/lease/keepalive" => answer(json!({"result": state.keep_alive(&request)})),
        "/v3/lease/revoke" => {
            let id = number(&request["ID"]);
            state.end_lease(id);
            answer(json!({}))
        }
        "/v3/watch" => state.watch(&request),
        _ => refuse(StatusCode::NOT_FOUND, "no such call"),
    }
}

impl State {
    fn admit(&mut self, path: &str) -> Option<Response<Body>> {
        let now = Instant::now();
        let (since, calls, reads, writes) = self.second.unwrap_or((now, 0, 0, 0));
        let (since, mut calls, mut reads, mut writes) =
            match now.duration_since(since) >= Duration::from_secs(1) {
                true => (now, 0, 0, 0),
                false => (since, calls, reads, writes),
            };
        calls += 1;
        self.counts.peak_per_s = self.counts.peak_per_s.max(calls);
        let counter = match path {
            "/v3/kv/range" => &mut self.counts.reads,
            "/v3/kv/txn" => &mut self.counts.writes,
            "/v3/watch" => &mut self.counts.watches,
            _ => &mut self.counts.leases,
        };
        *counter += 1;
        match path {
            "/v3/kv/range" => reads += 1,
            _ => writes += 1,
        }
        self.second = Some((since, calls, reads, writes));
        if self.faults.outage {
            self.counts.refused += 1;
            return Some(refuse(StatusCode::SERVICE_UNAVAILABLE, "outage"));
        }
        if reads > self.faults.reads_per_s || writes > self.faults.writes_per_s {
            self.counts.refused += 1;
            return Some(refuse(StatusCode::TOO_MANY_REQUESTS, "over the limit"));
        }
        None
    }

    fn range(&mut self, request: &Value) -> Value {
        let (from, to) = (bytes_of(&request["key"]), bytes_of(&request["range_end"]));
        let keys_only = request["keys_only"].as_bool().unwrap_or(false);
        let found: Vec<Value> = self
            .entries
            .iter()
            .filter(|(key, _)| in_range(key, &from, &to))
            .map(|(key, entry)| kv(key, entry, keys_only))
            .collect();
        let bytes: usize =
            found.iter().filter_map(|kv| kv["value"].as_str()).map(|value| value.len()).sum();
        self.counts.bytes_out += bytes as u64;
        json!({"header": self.header(), "count": found.len().to_string(), "kvs": found})
    }

    fn txn(&mut self, request: &Value) -> Value {
        let none = Vec::new();
        let holds =
            request["compare"].as_array().unwrap_or(&none).iter().all(|cmp| self.compare(cmp));
        let branch = if holds { &request["success"] } else { &request["failure"] };
        let responses: Vec<Value> =
            branch.as_array().unwrap_or(&none).iter().map(|op| self.operate(op)).collect();
        json!({"header": self.header(), "succeeded": holds, "responses": responses})
    }

    fn compare(&self, cmp: &Value) -> bool {
        let entry = self.entries.get(&bytes_of(&cmp["key"]));
        let mod_revision = entry.map_or(0, |entry| entry.mod_revision);
        mod_revision == number(&cmp["mod_revision"])
    }

    fn operate(&mut self, op: &Value) -> Value {
        if let Some(put) = op.get("request_put") {
            let lease = number(&put["lease"]);
            if lease != 0 && !self.leases.contains_key(&lease) {
                return json!({"error": "lease not found"});
            }
            self.put(bytes_of(&put["key"]), bytes_of(&put["value"]), lease);
            return json!({"response_put": {}});
        }
        if let Some(range) = op.get("request_range") {
            return json!({"response_range": self.range(range)});
        }
        if let Some(delete) = op.get("request_delete_range") {
            self.delete(&bytes_of(&delete["key"]));
            return json!({"response_delete_range": {}});
        }
        json!({"error": "unknown operation"})
    }

    fn put(&mut self, key: Vec<u8>, value: Vec<u8>, lease: i64) {
        self.revision += 1;
        let entry = Entry { value, mod_revision: self.revision, lease };
        let event = json!({"kv": kv(&key, &entry, false)});
        self.entries.insert(key.clone(), entry);
        self.notify(&key, event);
    }

    fn delete(&mut self, key: &[u8]) {
        if self.entries.remove(key).is_some() {
            self.revision += 1;
            let event = json!({"type": "DELETE", "kv": {"key": STANDARD.encode(key)}});
            self.notify(key, event);
        }
    }

    fn notify(&mut self, key: &[u8], event: Value) {
        let line = json!({"result": {"header": self.header(), "events": [event]}});
        let line = Bytes::from(format!("{line}\n"));
        let mut bytes = 0;
        self.watchers.retain(|watcher| {
            if !in_range(key, &watcher.from, &watcher.to) {
                return !watcher.tx.is_closed();
            }
            bytes += line.len() as u64;
            watcher.tx.try_send(line.clone()).is_ok()
        });
        self.counts.bytes_out += bytes;
    }

    fn watch(&mut self, request: &Value) -> Response<Body> {
        let create = &request["create_request"];
        let (tx, rx) = smol::channel::unbounded();
        let created = json!({"result": {"header": self.header(), "created": true}});
        let _open = tx.try_send(Bytes::from(format!("{created}\n")));
        let watcher =
            Watcher { from: bytes_of(&create["key"]), to: bytes_of(&create["range_end"]), tx };
        let start = number(&create["start_revision"]);
        for (key, entry) in &self.entries {
            let due = start > 0 && entry.mod_revision >= start;
            if due && in_range(key, &watcher.from, &watcher.to) {
                let event = json!({"result": {"events": [{"kv": kv(key, entry, false)}]}});
                let _open = watcher.tx.try_send(Bytes::from(format!("{event}\n")));
            }
        }
        self.watchers.push(watcher);
        Response::new(stream(rx))
    }

    fn grant(&mut self, request: &Value) -> Value {
        self.next_lease += 1;
        let id = self.next_lease;
        let seconds = number(&request["TTL"]).max(1);
        self.leases.insert(id, (Duration::from_secs(seconds as u64), Instant::now()));
        json!({"ID": id.to_string(), "TTL": seconds.to_string()})
    }

    fn keep_alive(&mut self, request: &Value) -> Value {
        let id = number(&request["ID"]);
        let Some((ttl, renewed)) = self.leases.get_mut(&id) else {
            return json!({"ID": id.to_string(), "TTL": "0"});
        };
        *renewed = Instant::now();
        json!({"ID": id.to_string(), "TTL": ttl.as_secs().to_string()})
    }

    fn end_lease(&mut self, id: i64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let keys: Vec<Vec<u8>> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.delete(&key);
        }
    }

    fn header(&self) -> Value {
        json!({"revision": self.revision.to_string()})
    }
}

fn in_range(key: &[u8], from: &[u8], to: &[u8]) -> bool {
    if to.is_empty() { key == from } else { key >= from && key < to }
}

fn kv(key: &[u8], entry: &Entry, keys_only: bool) -> Value {
    let mut out = json!({
        "key": STANDARD.encode(key),
        "mod_revision": entry.mod_revision.to_string(),
        "lease": entry.lease.to_string(),
    });
    if !keys_only {
        out["value"] = Value::String(STANDARD.encode(&entry.value));
    }
    out
}

fn bytes_of(value: &Value) -> Vec<u8> {
    value.as_str().and_then(|text| STANDARD.decode(text).ok()).unwrap_or_default()
}

fn number(value: &Value) -> i64 {
    match value {
        Value::String(text) => text.parse().unwrap_or(0),
        other => other.as_i64().unwrap_or(0),
    }
}

fn answer(value: Value) -> Response<Body> {
    Response::new(body::full(value.to_string()))
}

fn refuse(status: StatusCode, reason: &str) -> Response<Body> {
    let mut res = answer(json!({"error": reason, "code": 14}));
    *res.status_mut() = status;
    res
}

/// Returns a response that closes the connection instead of answering.
fn lose_answer() -> Response<Body> {
    let broken = smol::stream::once(Err(BodyError::Broken("lost".to_string())));
    Response::new(StreamBody::new(broken).boxed_unsync())
}

fn stream(rx: Receiver<Bytes>) -> Body {
    let frames = smol::stream::unfold(rx, |rx| async move {
        let buf = rx.recv().await.ok()?;
        Some((Ok(Frame::data(buf)), rx))
    });
    StreamBody::new(frames).boxed_unsync()
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
