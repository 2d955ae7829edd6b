//! Objects are deleted only if they are old, unreferenced and unchanged.

use cicadashift_core::delivery::garbage::{MIN_AGE, Sweep};
use cicadashift_core::ids::{ObjectHash, Revision};
use std::collections::BTreeSet;
use std::time::Instant;

#[test]
fn an_accept_in_progress_keeps_its_objects() {
    // Guards against deleting the objects of an accept in progress. A client has written
    // its objects but not yet swapped the head, so the sweep finds them unreferenced. They
    // stay while they are younger than `MIN_AGE`, and a second attempt that writes one
    // again resets its age. Only an object unchanged for `MIN_AGE` is deleted.
    let (referenced, pending, abandoned) = (hash("named"), hash("slow"), hash("left"));
    let keep = BTreeSet::from([referenced]);
    let start = Instant::now();
    let mut sweep = Sweep::default();
    let first = [(referenced, at(1)), (pending, at(2)), (abandoned, at(3))];
    assert_eq!(sweep.round(&first, &keep, start), vec![]);
    assert_eq!(sweep.round(&first, &keep, start + MIN_AGE / 2), vec![]);
    let again = [(referenced, at(1)), (pending, at(9)), (abandoned, at(3))];
    assert_eq!(sweep.round(&again, &keep, start + MIN_AGE), vec![(abandoned, at(3))]);
    assert_eq!(sweep.round(&again, &keep, start + MIN_AGE + MIN_AGE / 2), vec![(abandoned, at(3))]);
}

fn at(number: i64) -> Revision {
    Revision { era: 0, number }
}

fn hash(text: &str) -> ObjectHash {
    ObjectHash::of(text.as_bytes())
}
