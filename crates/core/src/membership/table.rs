//! The newest record of every daemon, and a journal of changes.

use super::record::{Health, Record};
use crate::delivery::tree::mix;
use crate::ids::HostKey;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// How long a dead daemon's record is kept, so that late news of its life is
/// recognized as old.
pub const TOMBSTONE: Duration = Duration::from_secs(600);

/// Position in a table's journal.
pub type JournalPos = u64;

/// What became of a record that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// It is newer and was taken in.
    New,
    /// It is known or older.
    Old,
    /// It speaks of this daemon and is wrong; answer with a higher sequence.
    Refute,
}

/// What two members tell each other after a comparison of their tables.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Comparison {
    /// Records that the other one lacks, or has in another state.
    pub records: Vec<Record>,
    /// Hosts whose records are to be had from the other one.
    pub wanted: Vec<HostKey>,
}

#[derive(Clone, Debug)]
struct Row {
    record: Record,
    changed: JournalPos,
    at: Instant,
}

/// The newest record of every daemon known.
#[derive(Clone, Debug)]
pub struct Table {
    me: HostKey,
    rows: HashMap<HostKey, Row>,
    journal: JournalPos,
}

impl Table {
    /// Makes a table that holds only this daemon's own record.
    pub fn new(own: Record, now: Instant) -> Table {
        let me = own.host;
        let row = Row { record: own, changed: 1, at: now };
        Table { me, rows: HashMap::from([(me, row)]), journal: 1 }
    }

    /// Returns this daemon's own record.
    ///
    /// # Panics
    ///
    /// Does not: the own record is put in by [`Table::new`] and never removed.
    pub fn own(&self) -> &Record {
        &self.rows[&self.me].record
    }

    /// Returns the record of a host.
    pub fn get(&self, host: HostKey) -> Option<&Record> {
        self.rows.get(&host).map(|row| &row.record)
    }

    /// Returns how many hosts have a record.
    #[allow(clippy::len_without_is_empty, reason = "the own record is always there")]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns all records, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.rows.values().map(|row| &row.record)
    }

    /// Returns the live members of a failure domain, or of all, this daemon among
    /// them.
    pub fn live(&self, domain: Option<&str>) -> Vec<HostKey> {
        let mut hosts: Vec<_> = self
            .iter()
            .filter(|record| record.is_live())
            .filter(|record| domain.is_none_or(|domain| record.domain == domain))
            .map(|record| record.host)
            .collect();
        hosts.sort_unstable();
        hosts
    }

    /// Returns the names of the failure domains known, sorted.
    pub fn domains(&self) -> Vec<String> {
        let names: std::collections::BTreeSet<_> = self.iter().map(|r| r.domain.clone()).collect();
        names.into_iter().collect()
    }

    /// Changes this daemon's own record and raises its sequence.
    pub fn update_own(&mut self, now: Instant, change: impl FnOnce(&mut Record)) -> Record {
        let mut record = self.own().clone();
        change(&mut record);
        record.seq += 1;
        self.store(record.clone(), now);
        record
    }

    /// Takes in a record that arrived, if it is newer than the one held.
    pub fn apply(&mut self, record: Record, now: Instant) -> Applied {
        if record.host == self.me {
            return self.apply_to_self(record, now);
        }
        if self.get(record.host).is_some_and(|held| held.rank() >= record.rank()) {
            return Applied::Old;
        }
        self.store(record, now);
        Applied::New
    }

    /// Records a belief about another daemon's health at its present rank.
    ///
    /// Returns the record to spread, or `None` if nothing changed.
    pub fn set_health(&mut self, host: HostKey, health: Health, now: Instant) -> Option<Record> {
        let mut record = self.get(host)?.clone();
        if host == self.me || record.health >= health {
            return None;
        }
        record.health = health;
        self.store(record.clone(), now);
        Some(record)
    }

    /// Returns the records that changed after a position, and the new position.
    pub fn since(&self, pos: JournalPos) -> (Vec<Record>, JournalPos) {
        let mut rows: Vec<_> = self.rows.values().filter(|row| row.changed > pos).collect();
        rows.sort_by_key(|row| row.changed);
        (rows.into_iter().map(|row| row.record.clone()).collect(), self.journal)
    }

    /// Summarizes the ranks of all records but those of the dead in a number.
    ///
    /// Equal tables have equal digests; a difference that lasts makes two
    /// members compare their tables whole. The dead are left out, since they are
    /// forgotten at a different moment everywhere.
    pub fn digest(&self) -> u64 {
        self.iter()
            .filter(|record| record.health != Health::Dead)
            .fold(0, |acc, record| acc ^ fingerprint(record))
    }

    /// Returns each host with a number that tells the state of its record.
    pub fn outline(&self) -> Vec<(HostKey, u64)> {
        self.iter().map(|record| (record.host, fingerprint(record))).collect()
    }

    /// Compares with the outline of another member's table.
    ///
    /// Which of two states is the newer one cannot be told from a fingerprint, so that
    /// a record in two states goes both ways.
    pub fn compare(&self, theirs: &[(HostKey, u64)]) -> Comparison {
        let theirs: HashMap<HostKey, u64> = theirs.iter().copied().collect();
        let differs = |record: &&Record| theirs.get(&record.host) != Some(&fingerprint(record));
        let records = self.iter().filter(differs).cloned().collect();
        let is_wanted = |host: &HostKey, state: u64| {
            self.get(*host).is_none_or(|record| fingerprint(record) != state)
        };
        let wanted = theirs.iter().filter(|(host, state)| is_wanted(host, **state));
        Comparison { records, wanted: wanted.map(|(host, _)| *host).collect() }
    }

    /// Returns the records of some hosts, as far as they are known.
    pub fn records_of(&self, hosts: &[HostKey]) -> Vec<Record> {
        hosts.iter().filter_map(|host| self.get(*host)).cloned().collect()
    }

    /// Drops the records of daemons that have been dead for [`TOMBSTONE`].
    pub fn sweep(&mut self, now: Instant) {
        self.rows.retain(|_, row| row.record.health != Health::Dead || now < row.at + TOMBSTONE);
    }

    /// Answers a record about this daemon that does not come from its owner.
    ///
    /// A higher life than the own one means that the clock went back between
    /// two starts; the own life is moved past it, since records of a lower one
    /// would never be taken in by anybody.
    fn apply_to_self(&mut self, record: Record, now: Instant) -> Applied {
        let own = self.own();
        if record.rank() <= own.rank() {
            return Applied::Old;
        }
        let (life, seq) = match record.life > own.life {
            true => (record.life + 1, 0),
            false => (own.life, record.seq.max(own.seq)),
        };
        self.update_own(now, |own| {
            own.life = life;
            own.seq = seq;
        });
        Applied::Refute
    }

    fn store(&mut self, record: Record, now: Instant) {
        self.journal += 1;
        let row = Row { record, changed: self.journal, at: now };
        self.rows.insert(row.record.host, row);
    }
}

fn fingerprint(record: &Record) -> u64 {
    let health = record.health as u64;
    mix(record.host.0 ^ mix(record.life ^ mix(record.seq << 2 | health)))
}

/// Groups records by the service of their endpoints.
pub fn by_service<'a>(
    records: impl Iterator<Item = &'a Record>,
) -> BTreeMap<&'a str, Vec<&'a Record>> {
    let mut out: BTreeMap<&str, Vec<&Record>> = BTreeMap::new();
    for record in records.filter(|record| record.is_live()) {
        for endpoint in &record.endpoints {
            out.entry(&endpoint.service).or_default().push(record);
        }
    }
    out
}
