//! Which members answer.
//!
//! Each period one member is probed, in a shuffled round, so that everybody is
//! probed within a bounded time and the work of a member does not grow with
//! their number. A missed answer is asked for through [`HELPERS`] others before
//! the member is suspected; a suspect has [`SUSPICION`] to refute before it is
//! believed dead.
//!
//! A daemon that was itself frozen sees that from the gap between two ticks. It
//! then believes nothing of what it missed: the others were not silent, it was
//! deaf.

use crate::ids::HostKey;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time between two probes of one daemon.
pub const PERIOD: Duration = Duration::from_millis(1000);
/// Wait for a direct answer before others are asked to probe.
pub const DIRECT_WAIT: Duration = Duration::from_millis(300);
/// Members asked to probe for us.
pub const HELPERS: usize = 3;
/// Time a suspect has to refute.
pub const SUSPICION: Duration = Duration::from_millis(2500);
/// Gap between ticks that means this daemon itself was frozen.
pub const PAUSE: Duration = Duration::from_millis(2000);

/// What the detector wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Probe this member directly.
    DirectProbe(HostKey),
    /// Ask `helper` to probe `target`.
    IndirectProbe { helper: HostKey, target: HostKey },
    /// Believe the member suspect.
    Suspect(HostKey),
    /// Believe the member dead.
    Dead(HostKey),
    /// This daemon was frozen: compare tables with somebody before trusting own
    /// beliefs.
    Frozen(Duration),
}

#[derive(Clone, Copy, Debug)]
struct Outstanding {
    target: HostKey,
    since: Instant,
    indirect: bool,
}

/// Probes of one daemon.
#[derive(Clone, Debug)]
pub struct Detector {
    round: Vec<HostKey>,
    outstanding: Option<Outstanding>,
    suspects: BTreeMap<HostKey, Instant>,
    next_probe: Instant,
    last_tick: Instant,
}

impl Detector {
    /// Makes a detector that probes first one period from now.
    pub fn new(now: Instant) -> Detector {
        Detector {
            round: Vec::new(),
            outstanding: None,
            suspects: BTreeMap::new(),
            next_probe: now + PERIOD,
            last_tick: now,
        }
    }

    /// Takes in an answer of a member, direct or through others.
    pub fn answered(&mut self, host: HostKey) {
        self.suspects.remove(&host);
        if self.outstanding.is_some_and(|probe| probe.target == host) {
            self.outstanding = None;
        }
    }

    /// Starts the suspicion that another member reported.
    pub fn suspected(&mut self, host: HostKey, now: Instant) {
        self.suspects.entry(host).or_insert(now);
    }

    /// Does what is due at this time.
    ///
    /// `others` are the live members but this one; `random` is any number.
    pub fn tick(&mut self, now: Instant, others: &[HostKey], random: u64) -> Vec<Action> {
        let gap = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        if gap >= PAUSE {
            return self.wake(now, gap);
        }
        let mut probes = Vec::new();
        self.escalate(now, others, random, &mut probes);
        self.expire(now, others, &mut probes);
        if now >= self.next_probe {
            self.next_probe = now + PERIOD;
            self.start(now, others, random, &mut probes);
        }
        probes
    }

    /// Forgets what was due while this daemon was frozen.
    ///
    /// Failure: a frozen daemon wakes and finds every timer expired. Symptom: it
    /// believes the whole domain dead and tells so. All timers start anew.
    fn wake(&mut self, now: Instant, gap: Duration) -> Vec<Action> {
        self.outstanding = None;
        self.next_probe = now + PERIOD;
        self.suspects.values_mut().for_each(|since| *since = now);
        vec![Action::Frozen(gap)]
    }

    fn escalate(
        &mut self,
        now: Instant,
        others: &[HostKey],
        random: u64,
        probes: &mut Vec<Action>,
    ) {
        let Some(probe) = &mut self.outstanding else { return };
        if !probe.indirect && now >= probe.since + DIRECT_WAIT {
            probe.indirect = true;
            let target = probe.target;
            let helpers: Vec<_> = others.iter().filter(|host| **host != target).collect();
            let count = HELPERS.min(helpers.len());
            for i in 0..count {
                let helper = *helpers[(random as usize).wrapping_add(i) % helpers.len()];
                probes.push(Action::IndirectProbe { helper, target });
            }
        }
        if now >= probe.since + PERIOD - Duration::from_millis(50) {
            let target = probe.target;
            self.outstanding = None;
            if others.contains(&target) && !self.suspects.contains_key(&target) {
                self.suspects.insert(target, now);
                probes.push(Action::Suspect(target));
            }
        }
    }

    fn expire(&mut self, now: Instant, others: &[HostKey], probes: &mut Vec<Action>) {
        self.suspects.retain(|host, _| others.contains(host));
        let dead: Vec<_> = self
            .suspects
            .iter()
            .filter(|(_, since)| now >= **since + SUSPICION)
            .map(|(host, _)| *host)
            .collect();
        for host in dead {
            self.suspects.remove(&host);
            probes.push(Action::Dead(host));
        }
    }

    fn start(&mut self, now: Instant, others: &[HostKey], random: u64, probes: &mut Vec<Action>) {
        self.round.retain(|host| others.contains(host));
        if self.round.is_empty() {
            self.round = others.to_vec();
            self.round.sort_by_key(|host| crate::delivery::tree::mix(host.0 ^ random));
        }
        let Some(target) = self.round.pop() else { return };
        self.outstanding = Some(Outstanding { target, since: now, indirect: false });
        probes.push(Action::DirectProbe(target));
    }
}
