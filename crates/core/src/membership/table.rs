//! Membership table: the newest record of every daemon, and a journal of changes.

use super::record::{Health, Record};
use crate::delivery::tree::mix;
use crate::ids::HostKey;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Time for which a dead daemon's record is kept, so that late records of its
/// incarnation are recognized as old.
pub const TOMBSTONE_TTL: Duration = Duration::from_secs(600);

/// Position in a table's journal.
pub type JournalPos = u64;

/// Result of [`Table::apply`] for a received record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The record is newer and was stored.
    New,
    /// The record is already known or older.
    Old,
    /// The record describes this daemon and is wrong; the own record now outranks it and is
    /// to be spread.
    Refute,
}

/// Records that two members exchange after a comparison of their tables.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Comparison {
    /// Own records that the other member lacks, or has in another state.
    pub records: Vec<Record>,
    /// Hosts whose records are to be requested from the other member.
    pub wanted: Vec<HostKey>,
}

#[derive(Clone, Debug)]
struct Row {
    record: Record,
    /// Journal position of the last change.
    changed_pos: JournalPos,
    changed_at: Instant,
}

/// The newest record of every known daemon.
#[derive(Clone, Debug)]
pub struct Table {
    me: HostKey,
    rows: HashMap<HostKey, Row>,
    journal: JournalPos,
}

impl Table {
    /// Creates a table that holds only this daemon's own record.
    pub fn new(own: Record, now: Instant) -> Table {
        let me = own.host;
        let row = Row { record: own, changed_pos: 1, changed_at: now };
        Table { me, rows: HashMap::from([(me, row)]), journal: 1 }
    }

    /// Returns this daemon's own record.
    ///
    /// # Panics
    ///
    /// Never panics: [`Table::new`] inserts the own record, and it is never removed.
    pub fn own(&self) -> &Record {
        &self.rows[&self.me].record
    }

    /// Returns the record of a host.
    pub fn get(&self, host: HostKey) -> Option<&Record> {
        self.rows.get(&host).map(|row| &row.record)
    }

    /// Returns the number of hosts that have a record.
    #[allow(clippy::len_without_is_empty, reason = "the own record is always there")]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns all records, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.rows.values().map(|row| &row.record)
    }

    /// Returns the live members of a failure domain, or of all domains, including this
    /// daemon.
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

    /// Returns the names of the known failure domains, sorted.
    pub fn domains(&self) -> Vec<String> {
        let names: std::collections::BTreeSet<_> = self.iter().map(|r| r.domain.clone()).collect();
        names.into_iter().collect()
    }

    /// Changes this daemon's own record, raises its sequence and returns it.
    pub fn update_own(&mut self, now: Instant, change: impl FnOnce(&mut Record)) -> Record {
        let mut record = self.own().clone();
        change(&mut record);
        record.seq += 1;
        self.store(record.clone(), now);
        record
    }

    /// Stores a received record if it is newer than the present one.
    pub fn apply(&mut self, record: Record, now: Instant) -> Applied {
        if record.host == self.me {
            return self.apply_to_self(record, now);
        }
        if self.get(record.host).is_some_and(|present| present.rank() >= record.rank()) {
            return Applied::Old;
        }
        self.store(record, now);
        Applied::New
    }

    /// Worsens the health of another daemon's record, which keeps its incarnation and
    /// sequence.
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
        let mut rows: Vec<_> = self.rows.values().filter(|row| row.changed_pos > pos).collect();
        rows.sort_by_key(|row| row.changed_pos);
        (rows.into_iter().map(|row| row.record.clone()).collect(), self.journal)
    }

    /// Returns a digest of the ranks of all records except those of dead daemons.
    ///
    /// Equal tables have equal digests; if a difference lasts, two members compare their
    /// whole tables. Dead daemons are left out, since each member drops their records at a
    /// different time.
    pub fn digest(&self) -> u64 {
        self.iter()
            .filter(|record| record.health != Health::Dead)
            .fold(0, |acc, record| acc ^ fingerprint(record))
    }

    /// Returns each host with the fingerprint of its record.
    pub fn outline(&self) -> Vec<(HostKey, u64)> {
        self.iter().map(|record| (record.host, fingerprint(record))).collect()
    }

    /// Compares with the outline of another member's table.
    ///
    /// A fingerprint does not show which of two states of a record is newer, so a record
    /// in different states is exchanged both ways.
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

    /// Returns the records of the given hosts, as far as they are known.
    pub fn records_of(&self, hosts: &[HostKey]) -> Vec<Record> {
        hosts.iter().filter_map(|host| self.get(*host)).cloned().collect()
    }

    /// Drops the records of daemons that have been dead for [`TOMBSTONE_TTL`].
    pub fn sweep(&mut self, now: Instant) {
        self.rows.retain(|_, row| {
            row.record.health != Health::Dead || now < row.changed_at + TOMBSTONE_TTL
        });
    }

    /// Refutes a record of this daemon that outranks its own record.
    ///
    /// A higher incarnation than the own one means that the clock went back between two
    /// starts. The own incarnation is raised above it, since no member would store records
    /// of a lower incarnation.
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
        let row = Row { record, changed_pos: self.journal, changed_at: now };
        self.rows.insert(row.record.host, row);
    }
}

/// Returns a hash of the host, the incarnation, the sequence and the health of a record.
fn fingerprint(record: &Record) -> u64 {
    let health = record.health as u64;
    mix(record.host.0 ^ mix(record.life ^ mix(record.seq << 2 | health)))
}

/// Groups the records of live daemons by the services of their endpoints.
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
