//! Messages with changed bytes; datagrams are sealed with the mesh key after the change.
//!
//! A member of another release, or one with faulty memory, may send such messages. If a
//! receiver applied a part of one, hosts would disappear from its membership table, and
//! calls would go to upstreams that do not exist. A datagram that can be decoded replaces
//! at most the records that it names; one that cannot be decoded changes nothing.

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

/// Number of mutations of each message, all from one seed.
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

/// Changes, removes or inserts one or two bytes, or truncates the message.
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

fn initial_table() -> Table {
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
    let original = rpc::encode(&datagram());
    let mut decoded = 0;
    for _ in 0..MUTATIONS {
        let mut buf = original.clone();
        mutate(&mut buf, &mut rng);
        key.seal(&mut buf);
        let mut table = initial_table();
        let before = by_host(&table);
        let Ok(got) = Datagram::decode(&buf, &key) else { continue };
        decoded += 1;
        let named: Vec<HostKey> = got.records.iter().map(|record| record.host).collect();
        for record in got.records {
            table.apply(record, Instant::now());
        }
        let after = by_host(&table);
        for (host, record) in before.iter().filter(|(host, _)| !named.contains(host)) {
            assert_eq!(
                after.get(host),
                Some(record),
                "a record that the datagram does not name has changed"
            );
        }
        assert!(after.len() <= before.len() + named.len());
    }
    assert!(
        decoded > MUTATIONS / 20,
        "only {decoded} datagrams could be decoded: too few for this test"
    );
}

#[test]
fn changed_requests_and_responses_are_decoded_or_refused() {
    let mut rng = fastrand::Rng::with_seed(SEED);
    let request = rpc::Request::Sync {
        outline: vec![(HostKey::of("a"), 1), (HostKey::of("b"), 2)],
        records: vec![record("a")],
    };
    let response = rpc::Response::Compared {
        records: vec![record("b"), record("c")],
        wanted: vec![HostKey::of("a")],
        active: 12,
        catalog: vec!["orders".to_string()],
    };
    let messages = [rpc::encode(&request), rpc::encode(&response)];
    let mut refused = 0;
    for _ in 0..MUTATIONS {
        for original in &messages {
            let mut buf = original.clone();
            mutate(&mut buf, &mut rng);
            refused += usize::from(rpc::decode::<rpc::Request>(&buf).is_err());
            refused += usize::from(rpc::decode::<rpc::Response>(&buf).is_err());
        }
    }
    assert!(refused > MUTATIONS, "only {refused} messages were refused");
}
