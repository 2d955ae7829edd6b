//! Failure detector: probes members and decides which of them are suspect or dead.
//!
//! One member is probed per interval, in rounds of shuffled order, so that every
//! member is probed within a bounded time and the work per member does not grow
//! with their number. A member that does not answer is probed through [`HELPERS`]
//! other members before it is suspected; a suspect has [`SUSPICION_TIMEOUT`] to
//! refute the suspicion before it is declared dead.
//!
//! A daemon that was itself frozen detects this by the gap between two ticks.
//! Answers that it missed meanwhile do not count against the other members: they
//! were not silent, this daemon could not receive.

use crate::ids::HostKey;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Interval between two probes that one daemon sends.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(1000);
/// Time to wait for an answer to a direct probe before sending indirect probes.
pub const DIRECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Members that are asked to send an indirect probe.
pub const HELPERS: usize = 3;
/// Time that a suspect has to refute the suspicion.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(2500);
/// Gap between two ticks from which on this daemon counts as having been frozen.
pub const FREEZE_GAP: Duration = Duration::from_millis(2000);

/// Action that the detector requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Probe this member directly.
    DirectProbe(HostKey),
    /// Ask `helper` to probe `target`.
    IndirectProbe { helper: HostKey, target: HostKey },
    /// Mark the member as suspect.
    Suspect(HostKey),
    /// Mark the member as dead.
    Dead(HostKey),
    /// This daemon was frozen for this time: compare tables with another member
    /// before relying on the own one.
    Frozen(Duration),
}

/// The last probe while it is not answered.
#[derive(Clone, Copy, Debug)]
struct Outstanding {
    target: HostKey,
    sent: Instant,
    /// Whether indirect probes were sent.
    indirect: bool,
}

/// State of the probes that one daemon sends.
#[derive(Clone, Debug)]
pub struct Detector {
    /// Members still to be probed in this round, the next one last.
    round: Vec<HostKey>,
    outstanding: Option<Outstanding>,
    /// Suspected members and when the suspicion began.
    suspects: BTreeMap<HostKey, Instant>,
    next_probe: Instant,
    last_tick: Instant,
}

impl Detector {
    /// Creates a detector whose first probe is due one interval from now.
    pub fn new(now: Instant) -> Detector {
        Detector {
            round: Vec::new(),
            outstanding: None,
            suspects: BTreeMap::new(),
            next_probe: now + PROBE_INTERVAL,
            last_tick: now,
        }
    }

    /// Records an answer of a member to a direct or indirect probe, which ends a suspicion.
    pub fn answered(&mut self, host: HostKey) {
        self.suspects.remove(&host);
        if self.outstanding.is_some_and(|probe| probe.target == host) {
            self.outstanding = None;
        }
    }

    /// Starts the suspicion of a member that another member reported as suspect.
    pub fn suspected(&mut self, host: HostKey, now: Instant) {
        self.suspects.entry(host).or_insert(now);
    }

    /// Returns the actions that are due.
    ///
    /// `others` are the live members except this one; `random` is any number.
    pub fn tick(&mut self, now: Instant, others: &[HostKey], random: u64) -> Vec<Action> {
        let gap = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        if gap >= FREEZE_GAP {
            return self.restart_timers(now, gap);
        }
        let mut actions = Vec::new();
        self.escalate(now, others, random, &mut actions);
        self.expire(now, others, &mut actions);
        if now >= self.next_probe {
            self.next_probe = now + PROBE_INTERVAL;
            self.start_probe(now, others, random, &mut actions);
        }
        actions
    }

    /// Restarts all timers after this daemon was frozen.
    ///
    /// Failure: a daemon resumes after a freeze and finds every timer expired.
    /// Symptom: it marks its whole failure domain as dead and spreads this.
    fn restart_timers(&mut self, now: Instant, gap: Duration) -> Vec<Action> {
        self.outstanding = None;
        self.next_probe = now + PROBE_INTERVAL;
        self.suspects.values_mut().for_each(|since| *since = now);
        vec![Action::Frozen(gap)]
    }

    fn escalate(
        &mut self,
        now: Instant,
        others: &[HostKey],
        random: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(probe) = &mut self.outstanding else { return };
        if !probe.indirect && now >= probe.sent + DIRECT_TIMEOUT {
            probe.indirect = true;
            let target = probe.target;
            let helpers: Vec<_> = others.iter().filter(|host| **host != target).collect();
            let count = HELPERS.min(helpers.len());
            for i in 0..count {
                let helper = *helpers[(random as usize).wrapping_add(i) % helpers.len()];
                actions.push(Action::IndirectProbe { helper, target });
            }
        }
        if now >= probe.sent + PROBE_INTERVAL - Duration::from_millis(50) {
            let target = probe.target;
            self.outstanding = None;
            if others.contains(&target) && !self.suspects.contains_key(&target) {
                self.suspects.insert(target, now);
                actions.push(Action::Suspect(target));
            }
        }
    }

    fn expire(&mut self, now: Instant, others: &[HostKey], actions: &mut Vec<Action>) {
        self.suspects.retain(|host, _| others.contains(host));
        let dead: Vec<_> = self
            .suspects
            .iter()
            .filter(|(_, since)| now >= **since + SUSPICION_TIMEOUT)
            .map(|(host, _)| *host)
            .collect();
        for host in dead {
            self.suspects.remove(&host);
            actions.push(Action::Dead(host));
        }
    }

    fn start_probe(
        &mut self,
        now: Instant,
        others: &[HostKey],
        random: u64,
        actions: &mut Vec<Action>,
    ) {
        self.round.retain(|host| others.contains(host));
        if self.round.is_empty() {
            self.round = others.to_vec();
            self.round.sort_by_key(|host| crate::delivery::tree::mix(host.0 ^ random));
        }
        let Some(target) = self.round.pop() else { return };
        self.outstanding = Some(Outstanding { target, sent: now, indirect: false });
        actions.push(Action::DirectProbe(target));
    }
}
