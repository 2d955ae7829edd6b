//! A client of the JSON gateway of etcd v3, as its documentation describes it.
//!
//! Keys and values are encoded in base64, 64-bit integers as strings. Several reads or
//! writes go into one transaction, so that a change takes a fixed number of calls.

use super::{Change, ConditionalWrite, KeyValueStore, Lease, Pair, PlatformError, Revision, Watch};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use cicadashift_http::body::{self, Body};
use cicadashift_http::client::{Pool, SendError};
use cicadashift_http::exec;
use cicadashift_http::hyper::body::Incoming;
use cicadashift_http::hyper::{Request, StatusCode};
use http_body_util::BodyExt;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Timeout of one call; a healthy store answers within milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Idle connections kept open to each address.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// Largest response body: the objects of one transaction, in base64.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Longest line of a watch stream: a value of one megabyte, in base64.
const MAX_LINE_BYTES: usize = 4 << 20;

/// A client of etcd.
pub struct Etcd {
    addrs: Vec<SocketAddr>,
    preferred: AtomicUsize,
    pool: Pool,
}

impl Etcd {
    /// Makes a client that uses one address at a time and moves on to the next after a
    /// failed call.
    pub fn new(addrs: Vec<SocketAddr>) -> Etcd {
        Etcd { addrs, preferred: AtomicUsize::new(0), pool: Pool::new(MAX_IDLE_CONNECTIONS) }
    }

    async fn call(&self, path: &str, body: Value) -> Result<Value, PlatformError> {
        let addr = self.addr()?;
        let result =
            self.pool.exchange(addr, request(path, &body)?, MAX_RESPONSE_BYTES, CALL_TIMEOUT).await;
        let res = result.map_err(|err| self.send_failed(err))?;
        match res.status() {
            StatusCode::OK => {}
            StatusCode::TOO_MANY_REQUESTS => return Err(PlatformError::RateLimited),
            status => return Err(self.rejected(format!("status {status}"))),
        }
        serde_json::from_slice(res.body()).map_err(|err| PlatformError::Protocol(err.to_string()))
    }

    fn addr(&self) -> Result<SocketAddr, PlatformError> {
        let count = self.addrs.len();
        if count == 0 {
            return Err(PlatformError::NoAddress);
        }
        Ok(self.addrs[self.preferred.load(Ordering::Relaxed) % count])
    }

    fn send_failed(&self, err: SendError) -> PlatformError {
        self.preferred.fetch_add(1, Ordering::Relaxed);
        match err.is_unsent() {
            true => PlatformError::NotApplied(err.to_string()),
            false => PlatformError::Unknown(err.to_string()),
        }
    }

    fn rejected(&self, why: String) -> PlatformError {
        self.preferred.fetch_add(1, Ordering::Relaxed);
        PlatformError::NotApplied(why)
    }

    async fn txn(&self, body: Value) -> Result<Value, PlatformError> {
        self.call("/v3/kv/txn", body).await
    }
}

impl KeyValueStore for Etcd {
    type Watch = EtcdWatch;

    async fn get(&self, key: &str) -> Result<Option<Pair>, PlatformError> {
        let response = self.call("/v3/kv/range", json!({"key": encode(key.as_bytes())})).await?;
        Ok(pairs(&response)?.pop())
    }

    async fn get_many(&self, keys: &[String]) -> Result<Vec<Pair>, PlatformError> {
        let reads: Vec<Value> = keys
            .iter()
            .map(|key| json!({"request_range": {"key": encode(key.as_bytes())}}))
            .collect();
        let result = self.txn(json!({"success": reads})).await?;
        let mut out = Vec::new();
        for response in result["responses"].as_array().into_iter().flatten() {
            out.extend(pairs(&response["response_range"])?);
        }
        Ok(out)
    }

    async fn list(&self, prefix: &str, keys_only: bool) -> Result<Vec<Pair>, PlatformError> {
        let body = json!({
            "key": encode(prefix.as_bytes()),
            "range_end": encode(&prefix_end(prefix)),
            "keys_only": keys_only,
        });
        pairs(&self.call("/v3/kv/range", body).await?)
    }

    async fn put_many(&self, items: &[(String, Vec<u8>)]) -> Result<(), PlatformError> {
        let writes: Vec<Value> =
            items.iter().map(|(key, value)| put_op(key, value, None)).collect();
        self.txn(json!({"success": writes})).await.map(drop)
    }

    async fn delete_unchanged(
        &self,
        pairs: &[(String, Revision)],
    ) -> Result<ConditionalWrite, PlatformError> {
        let compares: Vec<Value> =
            pairs.iter().map(|(key, revision)| compare_revision(key, *revision)).collect();
        let deletes: Vec<Value> = pairs
            .iter()
            .map(|(key, _)| json!({"request_delete_range": {"key": encode(key.as_bytes())}}))
            .collect();
        let result = self.txn(json!({"compare": compares, "success": deletes})).await?;
        Ok(swap_result(&result))
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expected: Revision,
        value: &[u8],
        lease: Option<Lease>,
    ) -> Result<ConditionalWrite, PlatformError> {
        let compare = compare_revision(key, expected);
        let body = json!({"compare": [compare], "success": [put_op(key, value, lease)]});
        let result = self.txn(body).await?;
        if !result["responses"][0]["error"].is_null() {
            return Ok(ConditionalWrite::Rejected);
        }
        Ok(swap_result(&result))
    }

    async fn put_leased(
        &self,
        key: &str,
        value: &[u8],
        lease: Lease,
    ) -> Result<ConditionalWrite, PlatformError> {
        let result = self.txn(json!({"success": [put_op(key, value, Some(lease))]})).await?;
        Ok(swap_result(&result))
    }

    async fn grant(&self, time: Duration) -> Result<Lease, PlatformError> {
        let body = json!({"TTL": time.as_secs().max(1).to_string(), "ID": "0"});
        let result = self.call("/v3/lease/grant", body).await?;
        let id = parse_i64(&result["ID"])?;
        let seconds = parse_i64(&result["TTL"])?;
        Ok(Lease { id, ttl: Duration::from_secs(seconds.max(0) as u64), era: 0 })
    }

    async fn keep_alive(&self, lease: Lease) -> Result<bool, PlatformError> {
        let body = json!({"ID": lease.id.to_string()});
        let result = self.call("/v3/lease/keepalive", body).await?;
        Ok(parse_i64(&result["result"]["TTL"]).unwrap_or(0) > 0)
    }

    async fn revoke(&self, lease: Lease) -> Result<(), PlatformError> {
        self.call("/v3/lease/revoke", json!({"ID": lease.id.to_string()})).await.map(drop)
    }

    async fn watch(&self, prefix: &str) -> Result<EtcdWatch, PlatformError> {
        self.create_watch(prefix, json!({})).await
    }

    async fn watch_from(&self, prefix: &str, after: Revision) -> Result<EtcdWatch, PlatformError> {
        self.create_watch(prefix, json!({"start_revision": (after.number + 1).to_string()})).await
    }
}

impl Etcd {
    async fn create_watch(
        &self,
        prefix: &str,
        mut create: Value,
    ) -> Result<EtcdWatch, PlatformError> {
        create["key"] = json!(encode(prefix.as_bytes()));
        create["range_end"] = json!(encode(&prefix_end(prefix)));
        let req = request("/v3/watch", &json!({"create_request": create}))?;
        let sent = exec::timeout(CALL_TIMEOUT, self.pool.send(self.addr()?, req)).await;
        // Not returned to the pool: dropping the connection closes it once the watch ends.
        let (res, _connection) =
            sent.unwrap_or(Err(SendError::TimedOut)).map_err(|err| self.send_failed(err))?;
        if res.status() != StatusCode::OK {
            return Err(self.rejected(format!("status {}", res.status())));
        }
        let mut watch = EtcdWatch { body: res.into_body(), buf: Vec::new() };
        // The first line confirms that the watch is created. Without waiting for it, a
        // change between a read and the creation of the watch could be missed.
        let created = exec::timeout(CALL_TIMEOUT, watch.read_line()).await;
        created.unwrap_or(Err(PlatformError::Unknown("watch not confirmed".to_string())))?;
        Ok(watch)
    }
}

/// A watch on a key prefix: a streamed response with one JSON object per line.
pub struct EtcdWatch {
    body: Incoming,
    buf: Vec<u8>,
}

impl EtcdWatch {
    async fn read_line(&mut self) -> Result<Vec<u8>, PlatformError> {
        loop {
            if let Some(end) = self.buf.iter().position(|byte| *byte == b'\n') {
                let rest = self.buf.split_off(end + 1);
                return Ok(std::mem::replace(&mut self.buf, rest));
            }
            if self.buf.len() > MAX_LINE_BYTES {
                return Err(PlatformError::Protocol("line of a watch is too long".to_string()));
            }
            let data = self.read_data().await?;
            self.buf.extend_from_slice(&data);
        }
    }

    async fn read_data(&mut self) -> Result<Bytes, PlatformError> {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(data);
                    }
                }
                Some(Err(err)) => return Err(PlatformError::NotApplied(err.to_string())),
                None => return Err(PlatformError::NotApplied("watch ended".to_string())),
            }
        }
    }
}

impl Watch for EtcdWatch {
    async fn next(&mut self) -> Result<Vec<Change>, PlatformError> {
        let line = self.read_line().await?;
        let value: Value = serde_json::from_slice(&line)
            .map_err(|err| PlatformError::Protocol(err.to_string()))?;
        let events = value["result"]["events"].as_array().cloned().unwrap_or_default();
        events.iter().map(change).collect()
    }
}

fn change(event: &Value) -> Result<Change, PlatformError> {
    let pair = pair(&event["kv"])?;
    match event["type"].as_str() {
        Some("DELETE") => Ok(Change::Deleted(pair.key)),
        _ => Ok(Change::Put(pair)),
    }
}

fn request(path: &str, body: &Value) -> Result<Request<Body>, PlatformError> {
    Request::builder()
        .method("POST")
        .uri(path)
        .header("host", "platform")
        .header("content-type", "application/json")
        .body(body::full(body.to_string()))
        .map_err(|err| PlatformError::NotApplied(err.to_string()))
}

fn put_op(key: &str, value: &[u8], lease: Option<Lease>) -> Value {
    let lease = lease.map_or(0, |lease| lease.id).to_string();
    let put = json!({"key": encode(key.as_bytes()), "value": encode(value), "lease": lease});
    json!({"request_put": put})
}

fn compare_revision(key: &str, revision: Revision) -> Value {
    json!({
        "key": encode(key.as_bytes()),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": revision.number.to_string(),
    })
}

fn swap_result(result: &Value) -> ConditionalWrite {
    match result["succeeded"].as_bool().unwrap_or(false) {
        true => ConditionalWrite::Applied,
        false => ConditionalWrite::Rejected,
    }
}

fn pairs(response: &Value) -> Result<Vec<Pair>, PlatformError> {
    response["kvs"].as_array().into_iter().flatten().map(pair).collect()
}

fn pair(kv: &Value) -> Result<Pair, PlatformError> {
    let key = String::from_utf8(decode(&kv["key"])?)
        .map_err(|err| PlatformError::Protocol(err.to_string()))?;
    let value = match kv["value"].is_null() {
        true => Vec::new(),
        false => decode(&kv["value"])?,
    };
    let revision = Revision { era: 0, number: parse_i64(&kv["mod_revision"]).unwrap_or(0) };
    Ok(Pair { key, value, revision })
}

fn encode(buf: &[u8]) -> String {
    STANDARD.encode(buf)
}

fn decode(value: &Value) -> Result<Vec<u8>, PlatformError> {
    let text = value.as_str().unwrap_or_default();
    STANDARD.decode(text).map_err(|err| PlatformError::Protocol(err.to_string()))
}

fn parse_i64(value: &Value) -> Result<i64, PlatformError> {
    let parsed = match value {
        Value::String(text) => text.parse().ok(),
        other => other.as_i64(),
    };
    parsed.ok_or_else(|| PlatformError::Protocol(format!("{value} is not a number")))
}

/// Returns the end, exclusive, of the range of keys that begin with a prefix.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    end
}
