//! What is still to be told, to whom, and how often.
//!
//! A change is sent in small datagrams to a few random members of the failure domain,
//! in [`ROUNDS`] rounds; each receiver to whom it is new does the same. The bytes per
//! change and member do not grow with the members. Who is told by nobody, one in 400,
//! and loss of all copies, are made good by the comparison of digests that rides on
//! every probe.
//!
//! Between failure domains a few members carry the news, the [`BRIDGES`] of each, and
//! now and then any other ([`Candidates`]). Failure: every member tells members of all
//! domains. Symptom: each change crosses between domains many times for each member.
//! Should all bridges of a domain die at once, the others still tell, one in
//! [`FAR_ONE_IN`] rounds each, until membership has named new ones.

use crate::ids::HostKey;
use std::collections::BTreeMap;

/// Members that one round of gossip is sent to.
pub const GOSSIP_FANOUT: usize = 3;

/// Rounds in which a member tells news. With three others in each, a share of e to the
/// power of -6 is told by nobody, however many there are.
const ROUNDS: u32 = 2;

/// Records in one datagram; at about 150 bytes each they stay under a usual MTU.
pub const RECORDS_PER_DATAGRAM: usize = 8;

/// Datagrams that one member gets in a round while much is to be told. After a restart
/// of everything 295 daemons have two changes each to tell within two seconds.
pub const DATAGRAMS_PER_ROUND: usize = 3;

/// Members of a failure domain that tell the other domains in each round.
pub const BRIDGES: usize = 2;

/// A member that is no bridge tells one of another domain in one round of so many.
pub const FAR_ONE_IN: u64 = 16;

/// Who may be told in one round.
#[derive(Clone, Debug, Default)]
pub struct Candidates {
    /// The other members of the failure domain.
    pub near: Vec<HostKey>,
    /// Those of each other domain, its bridges first.
    pub far: Vec<Vec<HostKey>>,
    /// Whether this member is a bridge.
    pub is_bridge: bool,
}

impl Candidates {
    /// Returns whom to tell in one round. `random` gives any number below its argument.
    pub fn sample(mut self, mut random: impl FnMut(usize) -> usize) -> Vec<HostKey> {
        let mut out = Vec::new();
        while out.len() < GOSSIP_FANOUT && !self.near.is_empty() {
            let place = random(self.near.len());
            out.push(self.near.swap_remove(place));
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

/// News that still have to be told, by what they are about.
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
    /// Adds news, in place of older ones about the same.
    pub fn push(&mut self, key: K, news: T) {
        self.pending.insert(key, (news, ROUNDS));
    }

    /// Returns whether nothing is left to tell.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Takes the news for one round, those told least often first, `most` of them.
    pub fn take_round(&mut self, most: usize) -> Vec<T> {
        let mut keys: Vec<(u32, K)> =
            self.pending.iter().map(|(key, (_, left))| (*left, *key)).collect();
        keys.sort_unstable_by(|a, b| b.cmp(a));
        keys.truncate(most);
        keys.into_iter().filter_map(|(_, key)| self.take_one(key)).collect()
    }

    fn take_one(&mut self, key: K) -> Option<T> {
        let (news, left) = self.pending.get_mut(&key)?;
        let news = news.clone();
        *left -= 1;
        if *left == 0 {
            self.pending.remove(&key);
        }
        Some(news)
    }
}
