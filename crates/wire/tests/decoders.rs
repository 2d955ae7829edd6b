//! For any input bytes, the decoders return a message or an error and never panic.

use cicadashift_core::ids::HostKey;
use cicadashift_core::membership::departures::Departure;
use cicadashift_wire::call::Context;
use cicadashift_wire::datagram::{Datagram, Kind};
use cicadashift_wire::rpc::{self, Request, Response};
use cicadashift_wire::seal::MeshKey;
use proptest::prelude::*;

fn key() -> MeshKey {
    MeshKey::new("a key for tests, not for use")
}

fn datagram(digest: u64) -> Datagram {
    let kind = Kind::PingFor { target: HostKey(digest) };
    Datagram {
        from: HostKey(1),
        kind,
        active: 7,
        follows_store: true,
        digest,
        records: Vec::new(),
        suspicions_summary: 0,
        suspicions: Vec::new(),
        usages: Vec::new(),
        grants: Vec::new(),
        notice: None,
    }
}

proptest! {
    #[test]
    fn arbitrary_bytes_do_not_panic(buf in proptest::collection::vec(any::<u8>(), 0..2048)) {
        let _request = rpc::decode::<Request>(&buf);
        let _response = rpc::decode::<Response>(&buf);
        let _context = Context::from_header(&buf);
        prop_assert!(Datagram::decode(&buf, &key()).is_err());
    }

    #[test]
    fn sealed_arbitrary_bytes_do_not_panic(buf in proptest::collection::vec(any::<u8>(), 0..512)) {
        let mut sealed = buf;
        key().seal(&mut sealed);
        let _datagram = Datagram::decode(&sealed, &key());
    }

    #[test]
    fn a_datagram_is_decoded_as_it_was_encoded(digest in any::<u64>()) {
        let sent = datagram(digest);
        prop_assert_eq!(Datagram::decode(&sent.encode(&key()), &key()), Ok(sent));
    }

    #[test]
    fn departures_are_decoded_as_they_were_encoded(start in any::<u64>(), left_ms in any::<u32>()) {
        let departure =
            Departure { host: HostKey(2), instance: "i-1".to_string(), start, at_ms: 9, left_ms };
        let kind = Kind::Departures(vec![departure.clone()]);
        let sent = Datagram { kind, ..datagram(start) };
        prop_assert_eq!(Datagram::decode(&sent.encode(&key()), &key()), Ok(sent));
        let request = Request::Departures { host: HostKey(2), departures: vec![departure] };
        prop_assert_eq!(rpc::decode(&rpc::encode(&request)), Ok(request));
    }

    #[test]
    fn a_changed_datagram_is_refused(digest in any::<u64>(), at in any::<prop::sample::Index>(), by in 1_u8..) {
        let mut buf = datagram(digest).encode(&key());
        let at = at.index(buf.len());
        buf[at] ^= by;
        prop_assert!(Datagram::decode(&buf, &key()).is_err());
    }
}

#[test]
fn a_token_of_another_mesh_is_refused() {
    let other = MeshKey::new("another key, of another mesh");
    assert!(key().accepts_token(key().token().as_bytes()));
    assert!(!key().accepts_token(other.token().as_bytes()));
    assert!(!key().accepts_token(b""));
}
