//! Datagrams of another writer, who has the key: well sealed, but with bytes changed.
//!
//! A member of another release, or one whose memory fails, sends what looks like news.
//! If it were believed in part, hosts would vanish from the tables of others and calls
//! would go to upstreams that do not exist. What can be read replaces at most the record
//! that it names, and whatever cannot be read changes nothing.

use cicadashift_core::ids::HostKey;
use cicadashift_core::limit::{Grant, LimitKey, Notice, Usage};
use cicadashift_core::membership::record::{Endpoint, Health, Readiness, Record};
use cicadashift_core::membership::table::Table;
use cicadashift_wire::datagram::{Datagram, Kind};
use cicadashift_wire::rpc;
use cicadashift_wire::seal::MeshKey;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

/// Mutations of each message; all from one seed.
const MUTATIONS: usize = 4000;
const SEED: u64 = 20_261_203;

fn record(name: &str) -> Record {
    let addr = SocketAddr::from(([10, 0, 0, 7], 7380));
    Record {
        host: HostKey::of(name),
        name: name.to_string(),
        domain: "north".to_string(),
        life: 1_771_000_000_000,
        seq: 3,
        health: Health::Alive,
        near: addr,
        far: addr,
        link_kbps: 10_000,
        reader: false,
        endpoints: vec![Endpoint {
            instance: format!("i-{name}"),
            service: "orders".to_string(),
            version: String::new(),
            slots: 7,
            readiness: Readiness::Ready,
        }],
        rollouts: Vec::new(),
    }
}

fn datagram() -> Datagram {
    let records = vec![record("b"), record("c")];
    let kind = Kind::News;
    Datagram {
        from: HostKey::of("b"),
        kind,
        active: 12,
        follows_store: true,
        digest: 99,
        records,
        suspicions_summary: 7,
        suspicions: Vec::new(),
        usages: vec![Usage { key: LimitKey(3), offered: 40, admitted: 30 }],
        grants: vec![Grant { key: LimitKey(3), share: 7_500 }],
        notice: Some(Notice { keeper: HostKey::of("b"), number: 4, grants: Vec::new() }),
    }
}

/// Changes, drops, doubles or inserts a few bytes.
fn mutate(buf: &mut Vec<u8>, rng: &mut fastrand::Rng) {
    for _ in 0..rng.usize(1..3) {
        if buf.is_empty() {
            return;
        }
        let at = rng.usize(..buf.len());
        match rng.u8(..8) {
            0 => drop(buf.remove(at)),
            1 => buf.insert(at, rng.u8(..)),
            2 => buf.truncate(at),
            _ => buf[at] = rng.u8(..),
        }
    }
}

fn known() -> Table {
    let now = Instant::now();
    let mut table = Table::new(record("me"), now);
    for name in ["a", "b", "c"] {
        table.apply(record(name), now);
    }
    table
}

fn by_host(table: &Table) -> BTreeMap<HostKey, Record> {
    table.iter().map(|record| (record.host, record.clone())).collect()
}

#[test]
fn a_changed_datagram_replaces_at_most_the_records_that_it_names() {
    let key = MeshKey::new("a key for tests, not for use");
    let mut rng = fastrand::Rng::with_seed(SEED);
    let whole = rpc::encode(&datagram());
    let mut read = 0;
    for _ in 0..MUTATIONS {
        let mut buf = whole.clone();
        mutate(&mut buf, &mut rng);
        key.seal(&mut buf);
        let mut table = known();
        let before = by_host(&table);
        let Ok(got) = Datagram::decode(&buf, &key) else { continue };
        read += 1;
        let named: Vec<HostKey> = got.records.iter().map(|record| record.host).collect();
        for record in got.records {
            table.apply(record, Instant::now());
        }
        let after = by_host(&table);
        for (host, record) in before.iter().filter(|(host, _)| !named.contains(host)) {
            assert_eq!(after.get(host), Some(record), "a record that was not named");
        }
        assert!(after.len() <= before.len() + named.len());
    }
    assert!(read > MUTATIONS / 20, "only {read} could be read: the test shows little");
}

#[test]
fn changed_requests_and_answers_between_daemons_are_read_or_refused() {
    let mut rng = fastrand::Rng::with_seed(SEED);
    let request = rpc::Request::Sync {
        outline: vec![(HostKey::of("a"), 1), (HostKey::of("b"), 2)],
        records: vec![record("a")],
    };
    let answer = rpc::Response::Compared {
        records: vec![record("b"), record("c")],
        wanted: vec![HostKey::of("a")],
        active: 12,
        catalog: vec!["orders".to_string()],
    };
    let messages = [rpc::encode(&request), rpc::encode(&answer)];
    let mut refused = 0;
    for _ in 0..MUTATIONS {
        for whole in &messages {
            let mut buf = whole.clone();
            mutate(&mut buf, &mut rng);
            refused += usize::from(rpc::decode::<rpc::Request>(&buf).is_err());
            refused += usize::from(rpc::decode::<rpc::Response>(&buf).is_err());
        }
    }
    assert!(refused > MUTATIONS, "only {refused} were refused");
}
