//! A simulated metadata store of the users' platform, with the platform's published
//! protocol.
//!
//! Implements only the fields that cicadashift uses. [`Faults`] lists the faults that can
//! be injected. A store that is unreachable from a single host is simulated by cutting the
//! [`crate::link::Link`] of that host.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use cicadashift_http::body::{self, Body};
use cicadashift_http::exec;
use cicadashift_http::hyper::{Method, Request, Response, StatusCode};
use cicadashift_http::reactor::Async;
use cicadashift_http::server::{self, Limits, StopHandle};
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Key of the operators' configuration.
pub const CONFIG_KEY: &str = "op/config";
/// Prefix of the keys that operators write.
const OPERATOR_PREFIX: &str = "op/";
/// Interval at which a pending watch checks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const MAX_REQUEST_BYTES: usize = 4 << 20;

/// How calls fail during an outage of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// The store accepts calls and never answers.
    Silent,
    /// The store answers 503 and does not execute the call.
    Busy,
    /// The store answers 429 and does not execute the call.
    TooMany,
}

/// Injected faults.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Every call fails in this way, and pending watches end.
    pub down: Option<Outage>,
    /// Delay added to each call.
    pub delay: Duration,
    /// Number of the next transactions that are executed but never answered.
    pub lose_answers: u32,
    /// Transactions that write a key with this prefix are answered 503 and not executed.
    pub refused_writes: Option<&'static str>,
    /// Reads of a key, or of keys, with this prefix are answered 503.
    pub refused_reads: Option<&'static str>,
    /// Answers to watches are held back, as if the store took longer to collect the changes than
    /// any reader waits.
    pub late_watches: bool,
}

#[derive(Clone)]
struct Item {
    value: String,
    revision: i64,
    created: i64,
    lease: i64,
}

#[derive(Default)]
struct State {
    revision: i64,
    items: BTreeMap<String, Item>,
    /// Changes by revision; `None` stands for a deletion.
    history: BTreeMap<i64, (String, Option<Item>)>,
    /// The newest revision whose change is no longer in `history`.
    compacted: i64,
    leases: HashMap<i64, (Duration, Instant)>,
    next_lease: i64,
    faults: Faults,
    calls: u64,
    /// Incremented each time the store is restored from a copy.
    era: u64,
}

/// A copy of the contents of the store, from which the store can be restored.
pub struct StoreCopy {
    revision: i64,
    items: BTreeMap<String, Item>,
    history: BTreeMap<i64, (String, Option<Item>)>,
    leases: HashMap<i64, (Duration, Instant)>,
    next_lease: i64,
}

/// A running simulated store.
pub struct Store {
    /// The listen address.
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
    _stop: StopHandle,
}

impl Store {
    /// Starts the store on a free port.
    ///
    /// # Panics
    ///
    /// Panics if the system refuses a port.
    pub fn start() -> Store {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a free port");
        let addr = listener.get_ref().local_addr().expect("a bound socket has an address");
        let state = Arc::new(Mutex::new(State::default()));
        let (stop, stopped) = server::stop_channel();
        let serving = state.clone();
        exec::spawn(server::serve(listener, Limits::default(), stopped, move |_, req| {
            handle(serving.clone(), req)
        }))
        .detach();
        Store { addr, state, _stop: stop }
    }

    /// Changes the injected faults.
    pub fn change_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut lock(&self.state).faults);
    }

    /// Writes a key without a lease, as an operator does.
    pub fn put(&self, key: &str, value: &[u8]) {
        lock(&self.state).put(key, STANDARD.encode(value), 0);
    }

    /// Writes a key whose value is answered as this text, which need not be base64.
    pub fn put_text(&self, key: &str, text: &str) {
        lock(&self.state).put(key, text.to_string(), 0);
    }

    /// Returns the value of a key.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let state = lock(&self.state);
        let item = state.items.get(key)?;
        STANDARD.decode(&item.value).ok()
    }

    /// Returns the keys that begin with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = lock(&self.state);
        state.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Expires all leases and deletes their keys immediately.
    pub fn expire_all_leases(&self) {
        let mut state = lock(&self.state);
        state.leases.clear();
        state.expire(Instant::now());
    }

    /// Deletes all keys that begin with `prefix`, although their leases stay valid.
    pub fn delete_prefix(&self, prefix: &str) {
        for key in self.keys(prefix) {
            lock(&self.state).delete(&key);
        }
    }

    /// Discards the history of changes, so that watches from older revisions fail.
    pub fn drop_history(&self) {
        let mut state = lock(&self.state);
        state.compacted = state.revision;
        state.history.clear();
    }

    /// Returns a copy of the contents of the store.
    pub fn copy(&self) -> StoreCopy {
        let state = lock(&self.state);
        StoreCopy {
            revision: state.revision,
            items: state.items.clone(),
            history: state.history.clone(),
            leases: state.leases.clone(),
            next_lease: state.next_lease,
        }
    }

    /// Restores the store from a copy. Writes and leases since the copy are lost, revisions
    /// and lease ids are assigned again, and the operator's keys are written once more with
    /// their latest values.
    pub fn restore(&self, copy: StoreCopy) {
        let mut state = lock(&self.state);
        let is_operator_key = |(key, _): &(&String, &Item)| key.starts_with(OPERATOR_PREFIX);
        let operator_items: Vec<(String, String)> = state
            .items
            .iter()
            .filter(is_operator_key)
            .map(|(key, item)| (key.clone(), item.value.clone()))
            .collect();
        state.era += 1;
        state.revision = copy.revision;
        state.items = copy.items;
        state.history = copy.history;
        state.leases = copy.leases;
        state.next_lease = copy.next_lease;
        operator_items.into_iter().for_each(|(key, value)| state.put(&key, value, 0));
    }

    /// Returns the number of calls received.
    pub fn calls(&self) -> u64 {
        lock(&self.state).calls
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: i64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_string(), item.clone());
        self.history.insert(revision, (key.to_string(), Some(item)));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.insert(self.revision, (key.to_string(), None));
        }
    }

    fn expire(&mut self, now: Instant) {
        self.leases.retain(|_, (ttl, renewed)| now < *renewed + *ttl);
        let expired: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease != 0 && !self.leases.contains_key(&item.lease))
            .map(|(key, _)| key.clone())
            .collect();
        expired.iter().for_each(|key| self.delete(key));
    }

    fn events_after(&self, prefix: &str, after: i64) -> Vec<Value> {
        let changes = self.history.range(after + 1..);
        changes
            .filter(|(_, (key, _))| key.starts_with(prefix))
            .map(|(revision, (key, item))| match item {
                Some(item) => json_of(key, item),
                None => json!({"Key": key, "Revision": revision, "Deleted": true}),
            })
            .collect()
    }
}

async fn handle(state: Arc<Mutex<State>>, req: Request<Body>) -> Response<Body> {
    let mut res = dispatch(state.clone(), req).await;
    let era = lock(&state).era.to_string();
    if let Ok(era) = era.parse() {
        res.headers_mut().insert("store-era", era);
    }
    res
}

async fn dispatch(state: Arc<Mutex<State>>, req: Request<Body>) -> Response<Body> {
    let faults = {
        let mut state = lock(&state);
        state.calls += 1;
        state.expire(Instant::now());
        state.faults.clone()
    };
    match faults.down {
        Some(Outage::Silent) => return std::future::pending().await,
        Some(Outage::Busy) => return answer(StatusCode::SERVICE_UNAVAILABLE, &json!({})),
        Some(Outage::TooMany) => return answer(StatusCode::TOO_MANY_REQUESTS, &json!({})),
        None => {}
    }
    smol::Timer::after(faults.delay).await;
    let (head, incoming) = req.into_parts();
    let body = body::read(incoming, MAX_REQUEST_BYTES).await.unwrap_or_default();
    let request: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
    let query = parse_query(head.uri.query().unwrap_or_default());
    let path = head.uri.path().trim_start_matches("/cicadashift/");
    let (call, id) = path.split_once('/').unwrap_or((path, ""));
    let id: i64 = id.parse().unwrap_or(0);
    match (&head.method, call) {
        (&Method::GET, "kv-key" | "kv-range")
            if faults.refused_reads.is_some_and(|prefix| reads(&query, prefix)) =>
        {
            answer(StatusCode::SERVICE_UNAVAILABLE, &json!({}))
        }
        (&Method::GET, "kv-key") => get(&lock(&state), &query),
        (&Method::GET, "kv-range") => range(&lock(&state), &query),
        (&Method::GET, "kv-watch") => {
            let response = watch(&state, &query).await;
            while lock(&state).faults.late_watches {
                smol::Timer::after(POLL_INTERVAL).await;
            }
            response
        }
        (&Method::POST, "kv-txn")
            if faults.refused_writes.is_some_and(|prefix| writes(&request, prefix)) =>
        {
            answer(StatusCode::SERVICE_UNAVAILABLE, &json!({}))
        }
        (&Method::POST, "kv-txn") => {
            let response = transact(&mut lock(&state), &request);
            lose_or_return(&state, response).await
        }
        (&Method::POST, "kv-lease") => grant_lease(&mut lock(&state), &request),
        (&Method::POST, "kv-keep") => keep_lease_alive(&mut lock(&state), id),
        (&Method::DELETE, "kv-lease-end") => {
            lock(&state).leases.remove(&id);
            answer(StatusCode::OK, &json!({}))
        }
        _ => answer(StatusCode::NOT_FOUND, &json!({"Error": "no such call"})),
    }
}

fn get(state: &State, query: &HashMap<String, String>) -> Response<Body> {
    let key = &query["Key"];
    let Some(item) = state.items.get(key) else {
        return answer(StatusCode::NOT_FOUND, &json!({"AsOf": state.revision}));
    };
    let mut found = json_of(key, item);
    found["AsOf"] = json!(state.revision);
    answer(StatusCode::OK, &found)
}

/// Answers with pages of two items, so that readers have to handle further pages.
fn range(state: &State, query: &HashMap<String, String>) -> Response<Body> {
    let after = query.get("after").cloned().unwrap_or_default();
    let all: Vec<_> = state
        .items
        .iter()
        .filter(|(key, _)| key.starts_with(&query["Prefix"]) && **key > after)
        .collect();
    let items: Vec<Value> = all.iter().take(2).map(|(key, item)| json_of(key, item)).collect();
    let more = all.len() > items.len();
    let page = json!({"items": items, "HasMore": more, "AsOf": state.revision});
    answer(StatusCode::OK, &page)
}

async fn watch(state: &Mutex<State>, query: &HashMap<String, String>) -> Response<Body> {
    let number = |name: &str| query.get(name).and_then(|text| text.parse::<i64>().ok());
    let after = number("after").unwrap_or(0);
    let until = Instant::now() + Duration::from_millis(number("WaitMs").unwrap_or(0) as u64);
    loop {
        {
            let state = lock(state);
            if state.faults.down.is_some() {
                return answer(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
            }
            if after < state.compacted || after > state.revision {
                return answer(StatusCode::GONE, &json!({}));
            }
            let events = state.events_after(&query["Prefix"], after);
            if !events.is_empty() || Instant::now() >= until {
                let body = json!({"events": events, "AsOf": state.revision});
                return answer(StatusCode::OK, &body);
            }
        }
        smol::Timer::after(POLL_INTERVAL).await;
    }
}

fn transact(state: &mut State, request: &Value) -> Response<Body> {
    let rows = |name: &str| request[name].as_array().cloned().unwrap_or_default();
    let text = |row: &Value, name: &str| row[name].as_str().unwrap_or_default().to_string();
    for row in rows("Expected") {
        let now = state.items.get(&text(&row, "Key")).map_or(0, |item| item.revision);
        if now != row["Revision"].as_i64().unwrap_or(-1) {
            return answer(StatusCode::PRECONDITION_FAILED, &json!({"items": []}));
        }
    }
    for row in rows("Puts") {
        let lease = row["Lease"].as_i64().unwrap_or(0);
        if lease != 0 && !state.leases.contains_key(&lease) {
            return answer(StatusCode::NOT_FOUND, &json!({"Error": "no such lease"}));
        }
        state.put(&text(&row, "Key"), text(&row, "Value"), lease);
    }
    for row in rows("Deletes") {
        state.delete(row.as_str().unwrap_or_default());
    }
    answer(StatusCode::OK, &json!({"Revision": state.revision}))
}

/// Never answers if [`Faults::lose_answers`] is above 0; returns the response otherwise.
async fn lose_or_return(state: &Mutex<State>, response: Response<Body>) -> Response<Body> {
    let lost = {
        let faults = &mut lock(state).faults;
        let lost = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        lost
    };
    match lost {
        true => std::future::pending().await,
        false => response,
    }
}

fn grant_lease(state: &mut State, request: &Value) -> Response<Body> {
    state.next_lease += 1;
    let ttl = request["TtlMs"].as_u64().unwrap_or(1000);
    let lease = state.next_lease;
    state.leases.insert(lease, (Duration::from_millis(ttl), Instant::now()));
    answer(StatusCode::OK, &json!({"Lease": lease, "TtlMs": ttl}))
}

fn keep_lease_alive(state: &mut State, id: i64) -> Response<Body> {
    let Some((ttl, renewed)) = state.leases.get_mut(&id) else {
        return answer(StatusCode::NOT_FOUND, &json!({}));
    };
    *renewed = Instant::now();
    answer(StatusCode::OK, &json!({"TtlMs": ttl.as_millis() as u64}))
}

fn json_of(key: &str, item: &Item) -> Value {
    json!({
        "Key": key,
        "Value": item.value,
        "Revision": item.revision,
        "Created": item.created,
        "Lease": item.lease,
    })
}

/// Returns whether a transaction writes a key with a prefix.
fn writes(request: &Value, prefix: &str) -> bool {
    let puts = request["Puts"].as_array().into_iter().flatten();
    puts.filter_map(|put| put["Key"].as_str()).any(|key| key.starts_with(prefix))
}

/// Returns whether a query reads keys with a prefix.
fn reads(query: &HashMap<String, String>, prefix: &str) -> bool {
    let read = query.get("Key").or(query.get("Prefix"));
    read.is_some_and(|read| read.starts_with(prefix))
}

fn parse_query(text: &str) -> HashMap<String, String> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_string(), value.to_string())).collect()
}

fn answer(status: StatusCode, value: &Value) -> Response<Body> {
    let mut res = Response::new(body::full(value.to_string()));
    *res.status_mut() = status;
    res
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
