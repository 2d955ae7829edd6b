//! A stand-in of the platform's metadata store, by its published protocol.

use crate::http::{self, Conn, Head};
use crate::json::{self, Value, quote};
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Time that the store takes for a call.
const CALL_TIME: Duration = Duration::from_millis(4);
/// Most items in one page.
const PAGE: usize = 500;

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
    /// Changes by revision; `None` is a deletion.
    history: BTreeMap<i64, (String, Option<Item>)>,
    leases: HashMap<i64, (Duration, Instant)>,
    last_lease: i64,
}

pub struct Store {
    pub addr: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(ip: IpAddr) -> Store {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let addr = listener.local_addr().expect("a bound socket has an address");
        let shared =
            Arc::new((Mutex::new(State { revision: 1, ..State::default() }), Condvar::new()));
        let serving = shared.clone();
        http::serve(listener, move |conn| serve_connection(conn, &serving));
        Store { addr, shared }
    }

    /// Writes a key, as the operator does.
    pub fn put(&self, key: &str, value: &[u8]) {
        let (state, changed) = &*self.shared;
        state.lock().unwrap().put(key, base64(value), 0);
        changed.notify_all();
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: i64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_string(), item.clone());
        self.history.insert(self.revision, (key.to_string(), Some(item)));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.insert(self.revision, (key.to_string(), None));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, (ttl, renewed)| now < *renewed + *ttl);
        let is_gone = |item: &Item| item.lease != 0 && !self.leases.contains_key(&item.lease);
        let gone: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| is_gone(item))
            .map(|(key, _)| key.clone())
            .collect();
        gone.iter().for_each(|key| self.delete(key));
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"Key\":{},\"Value\":{},\"Revision\":{},\"Created\":{},\"Lease\":{}}}",
        quote(key),
        quote(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

fn serve_connection(mut conn: Conn, shared: &Arc<(Mutex<State>, Condvar)>) {
    while let Ok(Some(head)) = conn.read_head() {
        let Ok(body) = conn.read_body(&head) else { return };
        std::thread::sleep(CALL_TIME);
        let (status, answer) = answer(&head, &body, shared);
        let more = "Content-Type: application/json\r\n";
        if http::respond(&mut conn.stream, status, more, answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn answer(
    head: &Head,
    body: &[u8],
    shared: &Arc<(Mutex<State>, Condvar)>,
) -> (&'static str, String) {
    let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
    let query = parse_query(query);
    let param = |name: &str| query.get(name).cloned().unwrap_or_default();
    let body = json::parse(body);
    let call = path.strip_prefix("/cicadashift/").unwrap_or("");
    let (state, changed) = &**shared;
    if call == "kv-watch" {
        return watch(
            &param("Prefix"),
            param("after").parse().unwrap_or(0),
            &param("WaitMs"),
            shared,
        );
    }
    let mut state = state.lock().unwrap();
    state.expire();
    let result = match (head.word(0), call) {
        ("GET", "kv-key") => match state.items.get(&param("Key")) {
            Some(item) => {
                let text = item_json(&param("Key"), item);
                let text = text.trim_end_matches('}');
                ("200 OK", format!("{text},\"AsOf\":{}}}", state.revision))
            }
            None => ("404 Not Found", format!("{{\"AsOf\":{}}}", state.revision)),
        },
        ("GET", "kv-range") => range(&state, &param("Prefix"), &param("after")),
        ("POST", "kv-txn") => transact(&mut state, &body),
        ("POST", "kv-lease") => {
            let ttl_ms = body.get("TtlMs").number().clamp(1000, 600_000);
            state.last_lease += 1;
            let id = state.last_lease;
            state.leases.insert(id, (Duration::from_millis(ttl_ms as u64), Instant::now()));
            ("200 OK", format!("{{\"Lease\":{id},\"TtlMs\":{ttl_ms}}}"))
        }
        ("POST", call) => keep(&mut state, call.strip_prefix("kv-keep/").unwrap_or("")),
        ("DELETE", call) => {
            let id = call.strip_prefix("kv-lease-end/").and_then(|id| id.parse().ok()).unwrap_or(0);
            state.leases.remove(&id);
            state.expire();
            ("200 OK", "{}".to_string())
        }
        _ => ("404 Not Found", "{}".to_string()),
    };
    drop(state);
    changed.notify_all();
    result
}

fn keep(state: &mut State, id: &str) -> (&'static str, String) {
    match state.leases.get_mut(&id.parse().unwrap_or(0)) {
        Some((ttl, renewed)) => {
            *renewed = Instant::now();
            ("200 OK", format!("{{\"TtlMs\":{}}}", ttl.as_millis()))
        }
        None => ("404 Not Found", "{}".to_string()),
    }
}

fn range(state: &State, prefix: &str, after: &str) -> (&'static str, String) {
    let found: Vec<String> = state
        .items
        .iter()
        .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
        .map(|(key, item)| item_json(key, item))
        .collect();
    let page = &found[..found.len().min(PAGE)];
    let more = found.len() > PAGE;
    let items = page.join(",");
    ("200 OK", format!("{{\"items\":[{items}],\"HasMore\":{more},\"AsOf\":{}}}", state.revision))
}

fn transact(state: &mut State, body: &Value) -> (&'static str, String) {
    let revision_of = |key: &str| state.items.get(key).map_or(0, |item| item.revision);
    let expected = body.get("Expected").rows();
    let holds = |row: &Value| revision_of(row.get("Key").text()) == row.get("Revision").number();
    if !expected.iter().all(holds) {
        let items: Vec<String> = expected
            .iter()
            .filter_map(|row| state.items.get_key_value(row.get("Key").text()))
            .map(|(key, item)| item_json(key, item))
            .collect();
        return ("412 Precondition Failed", format!("{{\"items\":[{}]}}", items.join(",")));
    }
    let lease_of = |row: &Value| row.get("Lease").number();
    let puts = body.get("Puts").rows();
    if puts.iter().any(|row| lease_of(row) != 0 && !state.leases.contains_key(&lease_of(row))) {
        return ("404 Not Found", "{}".to_string());
    }
    for row in puts {
        state.put(row.get("Key").text(), row.get("Value").text().to_string(), lease_of(row));
    }
    for key in body.get("Deletes").rows() {
        state.delete(key.text());
    }
    ("200 OK", format!("{{\"Revision\":{}}}", state.revision))
}

fn watch(
    prefix: &str,
    after: i64,
    wait_ms: &str,
    shared: &Arc<(Mutex<State>, Condvar)>,
) -> (&'static str, String) {
    let until = Instant::now() + Duration::from_millis(wait_ms.parse().unwrap_or(0));
    let (state, changed) = &**shared;
    let mut state = state.lock().unwrap();
    loop {
        state.expire();
        let events: Vec<String> = state
            .history
            .range(after + 1..)
            .filter(|(_, (key, _))| key.starts_with(prefix))
            .map(|(revision, (key, item))| match item {
                Some(item) => item_json(key, item),
                None => {
                    format!("{{\"Key\":{},\"Revision\":{revision},\"Deleted\":true}}", quote(key))
                }
            })
            .collect();
        let left = until.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() {
            let events = events.join(",");
            return ("200 OK", format!("{{\"events\":[{events}],\"AsOf\":{}}}", state.revision));
        }
        state = changed.wait_timeout(state, left).unwrap().0;
    }
}

fn parse_query(query: &str) -> HashMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_string(), unescape(value))).collect()
}

fn unescape(text: &str) -> String {
    let mut out = Vec::new();
    let bytes = text.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                out.push(code);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).to_string()
}

fn base64(buf: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in buf.chunks(3) {
        let bytes = [chunk[0], *chunk.get(1).unwrap_or(&0), *chunk.get(2).unwrap_or(&0)];
        let word = u32::from_be_bytes([0, bytes[0], bytes[1], bytes[2]]);
        for i in 0..4 {
            let letter = LETTERS[(word >> (18 - 6 * i)) as usize & 63];
            out.push(if i <= chunk.len() { char::from(letter) } else { '=' });
        }
    }
    out
}
