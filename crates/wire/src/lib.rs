//! Messages between daemons, and their encoding.
//!
//! Requests are sent as MessagePack in the body of `POST /mesh` ([`rpc`]). Probes
//! and gossip are sent as MessagePack in datagrams ([`datagram`]), because an HTTP
//! exchange costs ten times the bytes of a probe. Forwarded calls stay plain HTTP
//! and carry their context in one header ([`call`]). Datagrams are sealed with the
//! mesh key, and connections carry a token made from it ([`seal`]).
//!
//! The decoders read bytes from the network: they limit sizes, never panic, and
//! return typed errors. `tests/decoders.rs` feeds them arbitrary bytes.

pub mod call;
pub mod datagram;
pub mod rpc;
pub mod seal;

use std::fmt;

/// Why bytes cannot be decoded as a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WireError {
    /// The message is longer than the limit.
    TooLarge { got: usize, max: usize },
    /// Not an encoding of the expected type.
    Malformed(String),
    /// Not sealed with the mesh key.
    BadSeal,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::TooLarge { got, max } => {
                write!(f, "message too large: {got} bytes, at most {max}")
            }
            WireError::Malformed(why) => write!(f, "malformed message: {why}"),
            WireError::BadSeal => write!(f, "seal is missing or not made with this mesh's key"),
        }
    }
}

impl std::error::Error for WireError {}
