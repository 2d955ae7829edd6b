//! What the product meets at its edges, as types and traits.
//!
//! [`store`] is the key-value service in which everything lasts. [`interface`]
//! is the form in which callers, upstreams and operators speak: names of
//! headers, reports of upstreams, and where the configuration lies. An adapter
//! for another platform implements these and nothing else; no decision is made
//! behind them.

pub mod interface;
pub mod store;
