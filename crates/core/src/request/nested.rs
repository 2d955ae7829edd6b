//! Which calls upstreams make while they run another one.
//!
//! If such a nested call is refused, its parent fails, and all the work done for that
//! is lost. So it goes before new work. It is known by its id: upstreams pass on the id
//! of the request that they run, or add a separator and a part of their own to it
//! (`docs/UPSTREAMS.md`), and a nested call begins on the host of its parent, where the
//! daemon knows the ids of all requests that its upstream runs.
//!
//! Load pattern: a service that others call is at its limit. Without this its callers'
//! own requests and the nested calls are refused alike, and 784 of 4 695 runs of the
//! calling service were lost in twenty seconds of a burst.
//!
//! # Limits
//!
//! Calls of upstreams that give them unrelated ids count as callers' own. A caller
//! cannot claim to be nested without knowing the id of a running request.

use std::collections::HashMap;

/// The requests that run at the upstreams of one host, by id.
#[derive(Clone, Debug, Default)]
pub struct Parents {
    /// How often each id runs; an attempt may be repeated beside the first.
    running: HashMap<String, u32>,
}

impl Parents {
    /// Takes in that a request was passed to an upstream.
    pub fn began(&mut self, id: &str) {
        *self.running.entry(id.to_string()).or_default() += 1;
    }

    /// Takes in that it ended there.
    pub fn ended(&mut self, id: &str) {
        if let Some(count) = self.running.get_mut(id) {
            *count -= 1;
            if *count == 0 {
                self.running.remove(id);
            }
        }
    }

    /// Returns whether a call is named after a request that runs.
    pub fn is_nested(&self, id: &str) -> bool {
        let separators = id.match_indices(|c: char| !c.is_ascii_alphanumeric());
        let mut prefixes = separators.map(|(at, _)| &id[..at]);
        self.running.contains_key(id) || prefixes.any(|prefix| self.running.contains_key(prefix))
    }
}
