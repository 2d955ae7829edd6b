//! The JSON gateway of etcd v3, as its documentation publishes it.
//!
//! Keys and values travel in base64, numbers of 64 bits as strings. Several
//! reads or writes go into one transaction, so that a change costs the platform
//! a fixed number of calls.

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

/// Time for one call; the platform answers in milliseconds when it is well.
const CALL_TIME: Duration = Duration::from_millis(1500);
/// Connections kept to the platform.
const CONNECTIONS: usize = 4;
/// Largest answer: a transaction's worth of objects, in base64.
const MAX_ANSWER: usize = 64 << 20;
/// Longest line of a watch: one value of a megabyte, in base64.
const MAX_LINE: usize = 4 << 20;

/// A client of the platform.
pub struct Etcd {
    addrs: Vec<SocketAddr>,
    preferred: AtomicUsize,
    pool: Pool,
}

impl Etcd {
    /// Makes a client that uses the first of the addresses that answers.
    pub fn new(addrs: Vec<SocketAddr>) -> Etcd {
        Etcd { addrs, preferred: AtomicUsize::new(0), pool: Pool::new(CONNECTIONS) }
    }

    async fn call(&self, path: &str, ask: Value) -> Result<Value, PlatformError> {
        let to = self.addr()?;
        let result = self.pool.exchange(to, request(path, &ask)?, MAX_ANSWER, CALL_TIME).await;
        let res = result.map_err(|err| self.failed(err))?;
        match res.status() {
            StatusCode::OK => {}
            StatusCode::TOO_MANY_REQUESTS => return Err(PlatformError::RateLimited),
            status => return Err(self.failed_with(format!("status {status}"))),
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

    fn failed(&self, err: SendError) -> PlatformError {
        self.preferred.fetch_add(1, Ordering::Relaxed);
        match err.is_unsent() {
            true => PlatformError::NotApplied(err.to_string()),
            false => PlatformError::Unknown(err.to_string()),
        }
    }

    fn failed_with(&self, why: String) -> PlatformError {
        self.preferred.fetch_add(1, Ordering::Relaxed);
        PlatformError::NotApplied(why)
    }

    async fn txn(&self, ask: Value) -> Result<Value, PlatformError> {
        self.call("/v3/kv/txn", ask).await
    }
}

impl KeyValueStore for Etcd {
    type Watch = EtcdWatch;

    async fn get(&self, key: &str) -> Result<Option<Pair>, PlatformError> {
        let found = self.call("/v3/kv/range", json!({"key": encode(key.as_bytes())})).await?;
        Ok(pairs(&found)?.pop())
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
        let ask = json!({
            "key": encode(prefix.as_bytes()),
            "range_end": encode(&prefix_end(prefix)),
            "keys_only": keys_only,
        });
        pairs(&self.call("/v3/kv/range", ask).await?)
    }

    async fn put_many(&self, items: &[(String, Vec<u8>)]) -> Result<(), PlatformError> {
        let writes: Vec<Value> = items.iter().map(|(key, value)| put(key, value, None)).collect();
        self.txn(json!({"success": writes})).await.map(drop)
    }

    async fn delete_unchanged(
        &self,
        pairs: &[(String, Revision)],
    ) -> Result<ConditionalWrite, PlatformError> {
        let compares: Vec<Value> =
            pairs.iter().map(|(key, revision)| unchanged(key, *revision)).collect();
        let deletes: Vec<Value> = pairs
            .iter()
            .map(|(key, _)| json!({"request_delete_range": {"key": encode(key.as_bytes())}}))
            .collect();
        let result = self.txn(json!({"compare": compares, "success": deletes})).await?;
        Ok(swapped(&result))
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expected: Revision,
        value: &[u8],
        lease: Option<Lease>,
    ) -> Result<ConditionalWrite, PlatformError> {
        let compare = unchanged(key, expected);
        let ask = json!({"compare": [compare], "success": [put(key, value, lease)]});
        let result = self.txn(ask).await?;
        if !result["responses"][0]["error"].is_null() {
            return Ok(ConditionalWrite::Rejected);
        }
        Ok(swapped(&result))
    }

    async fn put_leased(
        &self,
        key: &str,
        value: &[u8],
        lease: Lease,
    ) -> Result<ConditionalWrite, PlatformError> {
        let result = self.txn(json!({"success": [put(key, value, Some(lease))]})).await?;
        Ok(swapped(&result))
    }

    async fn grant(&self, time: Duration) -> Result<Lease, PlatformError> {
        let ask = json!({"TTL": time.as_secs().max(1).to_string(), "ID": "0"});
        let result = self.call("/v3/lease/grant", ask).await?;
        let id = number(&result["ID"])?;
        let seconds = number(&result["TTL"])?;
        Ok(Lease { id, ttl: Duration::from_secs(seconds.max(0) as u64), era: 0 })
    }

    async fn keep_alive(&self, lease: Lease) -> Result<bool, PlatformError> {
        let ask = json!({"ID": lease.id.to_string()});
        let result = self.call("/v3/lease/keepalive", ask).await?;
        Ok(number(&result["result"]["TTL"]).unwrap_or(0) > 0)
    }

    async fn revoke(&self, lease: Lease) -> Result<(), PlatformError> {
        self.call("/v3/lease/revoke", json!({"ID": lease.id.to_string()})).await.map(drop)
    }

    async fn watch(&self, prefix: &str) -> Result<EtcdWatch, PlatformError> {
        self.watch_as(prefix, json!({})).await
    }

    async fn watch_from(&self, prefix: &str, after: Revision) -> Result<EtcdWatch, PlatformError> {
        self.watch_as(prefix, json!({"start_revision": (after.number + 1).to_string()})).await
    }
}

impl Etcd {
    async fn watch_as(&self, prefix: &str, mut create: Value) -> Result<EtcdWatch, PlatformError> {
        create["key"] = json!(encode(prefix.as_bytes()));
        create["range_end"] = json!(encode(&prefix_end(prefix)));
        let req = request("/v3/watch", &json!({"create_request": create}))?;
        let sent = exec::timeout(CALL_TIME, self.pool.send(self.addr()?, req)).await;
        let (res, _closes_with_the_watch) =
            sent.unwrap_or(Err(SendError::TimedOut)).map_err(|err| self.failed(err))?;
        if res.status() != StatusCode::OK {
            return Err(self.failed_with(format!("status {}", res.status())));
        }
        let mut watch = EtcdWatch { incoming: res.into_body(), buf: Vec::new() };
        // The first line says that the watch is in place. Before it, a change
        // could be missed between a read and the watch.
        let created = exec::timeout(CALL_TIME, watch.line()).await;
        created.unwrap_or(Err(PlatformError::Unknown("watch not confirmed".to_string())))?;
        Ok(watch)
    }
}

/// A watch in progress.
pub struct EtcdWatch {
    incoming: Incoming,
    buf: Vec<u8>,
}

impl EtcdWatch {
    async fn line(&mut self) -> Result<Vec<u8>, PlatformError> {
        loop {
            if let Some(end) = self.buf.iter().position(|byte| *byte == b'\n') {
                let rest = self.buf.split_off(end + 1);
                return Ok(std::mem::replace(&mut self.buf, rest));
            }
            if self.buf.len() > MAX_LINE {
                return Err(PlatformError::Protocol("line of a watch is too long".to_string()));
            }
            let data = self.data().await?;
            self.buf.extend_from_slice(&data);
        }
    }

    async fn data(&mut self) -> Result<Bytes, PlatformError> {
        loop {
            match self.incoming.frame().await {
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
        let line = self.line().await?;
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

fn request(path: &str, ask: &Value) -> Result<Request<Body>, PlatformError> {
    Request::builder()
        .method("POST")
        .uri(path)
        .header("host", "platform")
        .header("content-type", "application/json")
        .body(body::full(ask.to_string()))
        .map_err(|err| PlatformError::NotApplied(err.to_string()))
}

fn put(key: &str, value: &[u8], lease: Option<Lease>) -> Value {
    let lease = lease.map_or(0, |lease| lease.id).to_string();
    let put = json!({"key": encode(key.as_bytes()), "value": encode(value), "lease": lease});
    json!({"request_put": put})
}

fn unchanged(key: &str, revision: Revision) -> Value {
    json!({
        "key": encode(key.as_bytes()),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": revision.number.to_string(),
    })
}

fn swapped(result: &Value) -> ConditionalWrite {
    match result["succeeded"].as_bool().unwrap_or(false) {
        true => ConditionalWrite::Applied,
        false => ConditionalWrite::Rejected,
    }
}

fn pairs(found: &Value) -> Result<Vec<Pair>, PlatformError> {
    found["kvs"].as_array().into_iter().flatten().map(pair).collect()
}

fn pair(kv: &Value) -> Result<Pair, PlatformError> {
    let key = String::from_utf8(decode(&kv["key"])?)
        .map_err(|err| PlatformError::Protocol(err.to_string()))?;
    let value = match kv["value"].is_null() {
        true => Vec::new(),
        false => decode(&kv["value"])?,
    };
    let revision = Revision { era: 0, number: number(&kv["mod_revision"]).unwrap_or(0) };
    Ok(Pair { key, value, revision })
}

fn encode(buf: &[u8]) -> String {
    STANDARD.encode(buf)
}

fn decode(value: &Value) -> Result<Vec<u8>, PlatformError> {
    let text = value.as_str().unwrap_or_default();
    STANDARD.decode(text).map_err(|err| PlatformError::Protocol(err.to_string()))
}

fn number(value: &Value) -> Result<i64, PlatformError> {
    let parsed = match value {
        Value::String(text) => text.parse().ok(),
        other => other.as_i64(),
    };
    parsed.ok_or_else(|| PlatformError::Protocol(format!("{value} is not a number")))
}

/// Returns the first key after all that begin with a prefix.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    end
}
