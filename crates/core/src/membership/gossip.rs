//! Gossip: the updates that remain to be sent, their receivers and their repetitions.
//!
//! An update is sent in small datagrams to a few random members of the failure domain,
//! in [`ROUNDS_PER_UPDATE`] rounds; each receiver to which it is new does the same. The
//! bytes per update and member do not grow with the number of members. One member in 400
//! is reached by no datagram, and all datagrams to a member may be lost; the digests that
//! every probe carries reveal such differences, which are then repaired.
//!
//! Between failure domains, updates are sent by a few members of each domain, its
//! [`BRIDGES`], and occasionally by any other member ([`Candidates`]). Failure: every
//! member sends to members of all domains. Symptom: each update crosses between domains
//! many times for each member. If all bridges of a domain die at once, its other members
//! still send, each in one of [`FAR_ONE_IN`] rounds, until membership has selected new
//! bridges.

use crate::ids::HostKey;
use std::collections::BTreeMap;

/// Members of the own failure domain that one round of gossip is sent to.
pub const GOSSIP_FANOUT: usize = 3;

/// Rounds in which a member sends an update. With three receivers in each round, a share
/// of e to the power of -6 of the members is reached by no datagram, however many there
/// are.
const ROUNDS_PER_UPDATE: u32 = 2;

/// Records in one datagram; at about 150 bytes each they fit a usual MTU.
pub const RECORDS_PER_DATAGRAM: usize = 8;

/// Datagrams that one member is sent in a round while many updates are pending. After a
/// restart of the whole mesh, 295 daemons have two changes each to spread within two
/// seconds.
pub const DATAGRAMS_PER_ROUND: usize = 3;

/// Members of a failure domain that send to the other domains in each round.
pub const BRIDGES: usize = 2;

/// A member that is not a bridge sends to a member of another domain in one of this many
/// rounds, on average.
pub const FAR_ONE_IN: u64 = 16;

/// Members that may be sent the updates of one round.
#[derive(Clone, Debug, Default)]
pub struct Candidates {
    /// The other members of the failure domain.
    pub near: Vec<HostKey>,
    /// The members of each other domain, its bridges first.
    pub far: Vec<Vec<HostKey>>,
    /// Whether this member is a bridge.
    pub is_bridge: bool,
}

impl Candidates {
    /// Returns the members to send to in one round. `random` returns any number below its
    /// argument.
    pub fn sample(mut self, mut random: impl FnMut(usize) -> usize) -> Vec<HostKey> {
        let mut out = Vec::new();
        while out.len() < GOSSIP_FANOUT && !self.near.is_empty() {
            let index = random(self.near.len());
            out.push(self.near.swap_remove(index));
        }
        if self.is_bridge {
            for domain in &self.far {
                out.extend(domain.get(random(domain.len().clamp(1, BRIDGES))));
            }
        } else if !self.far.is_empty() && random(FAR_ONE_IN as usize) == 0 {
            let domain = &self.far[random(self.far.len())];
            out.extend(domain.get(random(domain.len().max(1))));
        }
        out
    }
}

/// Updates that remain to be sent, by their subject, with the rounds left for each.
#[derive(Clone, Debug)]
pub struct Queue<K, T> {
    pending: BTreeMap<K, (T, u32)>,
}

impl<K, T> Default for Queue<K, T> {
    fn default() -> Queue<K, T> {
        Queue { pending: BTreeMap::new() }
    }
}

impl<K: Copy + Ord, T: Clone> Queue<K, T> {
    /// Adds an update, which replaces an older one of the same key.
    pub fn push(&mut self, key: K, update: T) {
        self.pending.insert(key, (update, ROUNDS_PER_UPDATE));
    }

    /// Returns whether no updates remain to be sent.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns up to `max_updates` updates for one round, those sent least often first.
    pub fn take_round(&mut self, max_updates: usize) -> Vec<T> {
        let mut keys: Vec<(u32, K)> =
            self.pending.iter().map(|(key, (_, left))| (*left, *key)).collect();
        keys.sort_unstable_by(|a, b| b.cmp(a));
        keys.truncate(max_updates);
        keys.into_iter().filter_map(|(_, key)| self.take_one(key)).collect()
    }

    fn take_one(&mut self, key: K) -> Option<T> {
        let (update, left) = self.pending.get_mut(&key)?;
        let update = update.clone();
        *left -= 1;
        if *left == 0 {
            self.pending.remove(&key);
        }
        Some(update)
    }
}
