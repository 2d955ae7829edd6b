//! Telling calls that upstreams make from callers' own.

use cicadashift_core::request::nested::Parents;

// An upstream runs two attempts of one request, and makes calls named after it. They
// are nested until the last attempt has ended; a call with a like-sounding name, or one
// of a request that runs elsewhere, never is.
#[test]
fn a_call_is_nested_while_the_request_it_is_named_after_runs() {
    let mut parents = Parents::default();
    parents.began("9c41d07b");
    parents.began("9c41d07b");
    let ids =
        ["9c41d07b.1", "9c41d07b/2-3", "9c41d07b.1.2", "9c41d07b", "9c41d07bff.1", "77aa.1", ""];
    let nested = |parents: &Parents| ids.map(|id| parents.is_nested(id));
    assert_eq!(nested(&parents), [true, true, true, true, false, false, false]);
    parents.ended("9c41d07b");
    assert!(parents.is_nested("9c41d07b.1"), "the other attempt still runs");
    parents.ended("9c41d07b");
    assert_eq!(nested(&parents), [false; 7]);
}
