//! What is still to be told, to whom, and how often.
//!
//! A change is sent in small datagrams to a few random members of the failure domain,
//! in [`ROUNDS`] rounds; each receiver to whom it is new does the same. The bytes per
//! change and member do not grow with the members. Who is told by nobody, one in 400,
//! and loss of all copies, are made good by the comparison of digests that rides on
//! every probe.
//!
//! Between failure domains a few members carry the news, the [`BRIDGES`] of each, and
//! now and then any other ([`Audience`]). Failure: every member tells members of all
//! domains. Symptom: with 295 daemons in five domains each change crosses between
//! domains some 4 200 times; with bridges some 230 times (worked out from the rounds).
//! Should all bridges of a domain die at once, the others still tell, one in
//! [`FAR_ONE_IN`] rounds each, until membership has named new ones.

use super::record::Record;
use crate::ids::HostKey;
use std::collections::BTreeMap;

/// Members that one round of gossip is sent to.
pub const GOSSIP_FANOUT: usize = 3;

/// Rounds in which a member tells a change. With three others in each, a share of e to
/// the power of -6 is told by nobody, however many there are.
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
pub struct Audience {
    /// The other members of the failure domain.
    pub near: Vec<HostKey>,
    /// Those of each other domain, its bridges first.
    pub far: Vec<Vec<HostKey>>,
    /// Whether this member is a bridge.
    pub is_bridge: bool,
}

impl Audience {
    /// Returns whom to tell in one round. `random` gives any number below its argument.
    pub fn draw(mut self, mut random: impl FnMut(usize) -> usize) -> Vec<HostKey> {
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

/// Changes that still have to be told.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    pending: BTreeMap<HostKey, (Record, u32)>,
}

impl Queue {
    /// Adds a change, in place of an older one of the same host.
    pub fn push(&mut self, record: Record) {
        self.pending.insert(record.host, (record, ROUNDS));
    }

    /// Returns whether nothing is left to tell.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Takes the records for one round, those told least often first, as many as fit
    /// into its datagrams.
    pub fn take_round(&mut self) -> Vec<Record> {
        let mut hosts: Vec<(u32, HostKey)> =
            self.pending.iter().map(|(host, (_, left))| (*left, *host)).collect();
        hosts.sort_unstable_by(|a, b| b.cmp(a));
        hosts.truncate(RECORDS_PER_DATAGRAM * DATAGRAMS_PER_ROUND);
        hosts.into_iter().filter_map(|(_, host)| self.take_one(host)).collect()
    }

    fn take_one(&mut self, host: HostKey) -> Option<Record> {
        let (record, left) = self.pending.get_mut(&host)?;
        let record = record.clone();
        *left -= 1;
        if *left == 0 {
            self.pending.remove(&host);
        }
        Some(record)
    }
}
