//! Types and traits of the product's external interfaces.
//!
//! [`store`] is the key-value store that holds all persistent data. [`interface`] is the
//! protocol towards callers, upstreams and operators: names of headers, reports of
//! upstreams, and the keys of the configuration. An adapter for another platform
//! implements these traits and nothing else; it makes no decisions.

pub mod interface;
pub mod store;
