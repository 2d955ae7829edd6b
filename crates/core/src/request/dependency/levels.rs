//! The fraction of the calls of each kind that a host admits, for lack of capacity for the
//! nested calls of their runs.

use super::window::FadingCount;
use super::{Level, MAX_KINDS, NestedEnd, falls_into, retry_after};
use crate::config::Priority;
use crate::request::gate::KindKey;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Time over which nested calls and runs are counted.
const WINDOW: Duration = Duration::from_millis(500);
/// Nested calls or runs that ran well, assumed beside the counted ones, so that a few refused
/// calls in a quiet moment are a small share.
const ASSUMED_WELL: f64 = 2.0;
/// Share of refused nested calls, and share of lost runs of a kind, above which its level is
/// lowered for the first time.
const MIN_SHARE: f64 = 0.05;
/// Time between a refused nested call and the failure of the run that made it, at most: an
/// upstream may wait for its other nested calls first.
const MATCH_TIME: Duration = Duration::from_millis(500);
/// Refused nested calls remembered until a run fails.
const MAX_UNMATCHED: usize = 256;
/// Interval at which levels are moved.
const STEP: Duration = Duration::from_millis(100);
/// Steps made up for at most after a pause.
const MAX_STEPS: u32 = 50;
/// Lowest level: probes that show whether the called service has capacity again.
const FLOOR: f64 = 0.1;
/// Part of the way to its target that a level is lowered by in a step.
const GAIN: f64 = 0.5;
/// Multiple of the share of refused nested calls that a level is lowered by in the end. Above
/// one, since a run that makes two calls is lost with either.
const MARGIN: f64 = 1.5;
/// Weight of a step in the mean level.
const MEAN_SMOOTHING: f64 = 0.2;
/// What a level is raised by in a step while nested calls are refused now and then.
const RISE: f64 = 0.001;
/// What a level is raised by in a step for each second beyond [`CALM`] in which none was
/// refused: slowly at first, since the last refusals were near the present level.
const CALM_RISE: f64 = 0.03;
/// Time without a refused nested call after which the called service may have room again.
const CALM: Duration = Duration::from_millis(700);
/// Time without a lost run after which a level is not lowered further.
const LOST_WITHIN: Duration = Duration::from_secs(1);
/// Time without a lost run after which the state of a kind is forgotten.
const MAX_AGE: Duration = Duration::from_secs(3);
/// Part of the share of nested calls refused by their own level for which a level is lowered.
/// Below one, since two services that call each other would otherwise keep each other at the
/// floor: what each passes on becomes less each time around.
const PASSED_ON_PART: f64 = 0.8;
/// Weight of one run in the usual share of failed runs of its kind.
const USUAL_SMOOTHING: f64 = 0.02;

/// A kind whose calls began or ceased to be refused by their level.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The level was lowered for the first time.
    Began(KindKey),
    /// All calls are admitted again.
    Ended(KindKey),
}

/// The levels of one host.
#[derive(Clone, Debug, Default)]
pub struct Levels {
    nested: FadingCount,
    refused: FadingCount,
    passed_on: FadingCount,
    last_refusal: Option<Instant>,
    /// When nested calls were refused that no failed run is matched with yet.
    unmatched: VecDeque<Instant>,
    kinds: HashMap<KindKey, Row>,
    stepped_at: Option<Instant>,
    changes: Vec<Change>,
}

#[derive(Clone, Copy, Debug)]
struct Row {
    priority: Priority,
    runs: FadingCount,
    failed: FadingCount,
    /// Failed runs that followed a refused nested call.
    lost: FadingCount,
    last_run: Instant,
    last_lost: Option<Instant>,
    /// Share of runs that fail while no nested calls are refused.
    usual: f64,
    level: f64,
    /// Mean of the level over about [`WINDOW`]: at which the counted calls were admitted.
    mean_level: f64,
}

impl Row {
    fn new(priority: Priority, now: Instant) -> Row {
        Row {
            priority,
            runs: FadingCount::default(),
            failed: FadingCount::default(),
            lost: FadingCount::default(),
            last_run: now,
            last_lost: None,
            usual: 0.0,
            level: 1.0,
            mean_level: 1.0,
        }
    }

    fn is_throttled(&self) -> bool {
        self.level < 1.0
    }

    fn lost_within(&self, time: Duration, now: Instant) -> bool {
        self.last_lost.is_some_and(|at| now.saturating_duration_since(at) < time)
    }

    /// Returns whether runs of the kind are lost to refused nested calls: failed runs follow
    /// such calls, and there are more of them than usual.
    fn loses_runs(&self, now: Instant) -> bool {
        let runs = self.runs.get(WINDOW, now) + ASSUMED_WELL;
        let lost = self.lost.get(WINDOW, now) / runs;
        let failed = self.failed.get(WINDOW, now) / runs;
        lost > MIN_SHARE && failed > self.usual + MIN_SHARE
    }

    fn set_level(&mut self, level: f64) {
        self.level = level.clamp(FLOOR, 1.0);
    }
}

/// Shares of the nested calls that were refused lately.
#[derive(Clone, Copy, Debug)]
struct Shares {
    refused: f64,
    passed_on: f64,
}

impl Shares {
    /// Returns the lowest level that nested calls refused by their own level may lead to.
    fn passed_on_bound(self) -> f64 {
        1.0 - PASSED_ON_PART * self.passed_on
    }
}

impl Levels {
    /// Records how a nested call of this host's upstream ended.
    pub fn record_nested(&mut self, end: NestedEnd, now: Instant) {
        self.step(now);
        self.nested.add(1.0, WINDOW, now);
        match end {
            NestedEnd::Ran => return,
            NestedEnd::Refused => {
                self.refused.add(1.0, WINDOW, now);
                self.last_refusal = Some(now);
            }
            NestedEnd::PassedOn => self.passed_on.add(1.0, WINDOW, now),
        }
        self.unmatched.push_back(now);
        if self.unmatched.len() > MAX_UNMATCHED {
            self.unmatched.pop_front();
        }
    }

    /// Records how a run of a kind ended at this host's upstream. `has_failed` means with an
    /// error that a refused nested call would lead to.
    pub fn record_run(
        &mut self,
        kind: KindKey,
        priority: Priority,
        has_failed: bool,
        now: Instant,
    ) {
        self.step(now);
        let is_new = !self.kinds.contains_key(&kind);
        if is_new && self.kinds.len() >= MAX_KINDS {
            self.kinds.retain(|_, row| now.saturating_duration_since(row.last_run) < MAX_AGE);
        }
        if is_new && self.kinds.len() >= MAX_KINDS {
            return;
        }
        let shares = self.shares(now);
        let is_lost = has_failed && self.take_unmatched(now);
        let row = self.kinds.entry(kind).or_insert_with(|| Row::new(priority, now));
        row.priority = priority;
        row.last_run = now;
        row.runs.add(1.0, WINDOW, now);
        let failed = f64::from(u8::from(has_failed));
        row.failed.add(failed, WINDOW, now);
        if is_lost {
            row.lost.add(1.0, WINDOW, now);
            row.last_lost = Some(now);
        } else if shares.refused + shares.passed_on <= MIN_SHARE {
            row.usual += USUAL_SMOOTHING * (failed - row.usual);
        }
    }

    /// Decides about a call of a kind before it takes a slot.
    ///
    /// # Errors
    ///
    /// Returns when the caller may come back if the call is refused as not run.
    pub fn admit(&mut self, kind: KindKey, now: Instant, random: u64) -> Result<(), Duration> {
        self.step(now);
        match self.kinds.get(&kind) {
            Some(row) if !falls_into(row.level, random) => Err(retry_after(random)),
            _ => Ok(()),
        }
    }

    /// Returns the level of a kind, or `None` if all its calls are admitted.
    pub fn level(&self, kind: KindKey) -> Option<Level> {
        let row = self.kinds.get(&kind).filter(|row| row.is_throttled())?;
        Some(Level::of_share(row.level))
    }

    /// Returns the levels of all kinds of which not all calls are admitted.
    pub fn throttled(&self) -> Vec<(KindKey, Level)> {
        let throttled = self.kinds.iter().filter(|(_, row)| row.is_throttled());
        throttled.map(|(kind, row)| (*kind, Level::of_share(row.level))).collect()
    }

    /// Moves the levels up to `now` and returns what began or ended since the last call.
    pub fn tick(&mut self, now: Instant) -> Vec<Change> {
        self.step(now);
        std::mem::take(&mut self.changes)
    }

    /// Takes the oldest refused nested call that a run failing now may have made. Each of them
    /// ends one run, so that an upstream that fails by itself loses at most as many.
    fn take_unmatched(&mut self, now: Instant) -> bool {
        let is_old = |at: &Instant| now.saturating_duration_since(*at) > MATCH_TIME;
        while self.unmatched.front().is_some_and(is_old) {
            self.unmatched.pop_front();
        }
        self.unmatched.pop_front().is_some()
    }

    fn shares(&self, now: Instant) -> Shares {
        let nested = self.nested.get(WINDOW, now) + ASSUMED_WELL;
        Shares {
            refused: self.refused.get(WINDOW, now) / nested,
            passed_on: self.passed_on.get(WINDOW, now) / nested,
        }
    }

    fn step(&mut self, now: Instant) {
        let mut at = self.stepped_at.unwrap_or(now);
        if now.saturating_duration_since(at) > STEP * MAX_STEPS {
            at = now.checked_sub(STEP * MAX_STEPS).unwrap_or(now);
        }
        while now.saturating_duration_since(at) >= STEP {
            at += STEP;
            self.move_levels(at);
        }
        self.stepped_at = Some(at);
    }

    fn move_levels(&mut self, now: Instant) {
        let shares = self.shares(now);
        let since_refusal =
            self.last_refusal.map_or(MAX_AGE, |at| now.saturating_duration_since(at));
        let rise = RISE + CALM_RISE * since_refusal.saturating_sub(CALM).as_secs_f64();
        let lowered = self.rank_to_lower(shares, now);
        for (kind, row) in &mut self.kinds {
            row.mean_level += MEAN_SMOOTHING * (row.level - row.mean_level);
            let was_throttled = row.is_throttled();
            if lowered == Some(row.priority) && may_lower(row, shares, now) {
                lower(row, shares);
            }
            if was_throttled {
                raise(row, shares, rise, now);
            }
            match (was_throttled, row.is_throttled()) {
                (false, true) => self.changes.push(Change::Began(*kind)),
                (true, false) => self.changes.push(Change::Ended(*kind)),
                _ => {}
            }
        }
    }

    /// Returns the least urgent rank with calls to refuse: a more urgent one has its turn only
    /// after all less urgent ones are at the floor.
    fn rank_to_lower(&self, shares: Shares, now: Instant) -> Option<Priority> {
        let rows = self.kinds.values();
        let to_lower = rows.filter(|row| may_lower(row, shares, now) && row.level > FLOOR);
        to_lower.map(|row| row.priority).max()
    }
}

fn may_lower(row: &Row, shares: Shares, now: Instant) -> bool {
    match row.is_throttled() {
        true => row.lost_within(LOST_WITHIN, now),
        false => shares.refused + shares.passed_on > MIN_SHARE && row.loses_runs(now),
    }
}

/// Lowers a level towards the share of calls whose nested calls would not have been refused.
/// The refused ones belong to calls that were admitted by earlier levels, so the target is
/// taken from their mean.
fn lower(row: &mut Row, shares: Shares) {
    let target = row.mean_level * (1.0 - MARGIN * shares.refused);
    let bound = shares.passed_on_bound();
    let target = target.min((row.mean_level * (1.0 - MARGIN * shares.passed_on)).max(bound));
    if target < row.level {
        row.set_level(row.level + GAIN * (target - row.level));
    }
}

fn raise(row: &mut Row, shares: Shares, rise: f64, now: Instant) {
    if !row.lost_within(MAX_AGE, now) {
        row.level = 1.0;
        return;
    }
    let may_rise = row.level < shares.passed_on_bound();
    row.set_level(row.level + if may_rise { rise } else { RISE });
}
