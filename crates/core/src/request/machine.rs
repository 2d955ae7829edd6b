//! How slow the machine of an upstream is at the moment, as the upstream reports it.
//!
//! An upstream may share its machine with others. Its *pace* is the time that work takes there
//! now in per cent of the usual time. The pace is apart from the speed of the upstream itself,
//! which lasts and is learned from its answers.
//!
//! A pace lasts some [`PACE_TTL`] and was reported at any moment of that time. The chance that
//! it still holds therefore falls evenly with the age of the report, and so does the excess
//! over the usual time that is expected of it.

use std::time::{Duration, Instant};

/// Age at which a reported pace says nothing any more: the time for which a machine keeps
/// one pace.
pub const PACE_TTL: Duration = Duration::from_millis(600);
/// Multiple of the usual time from which on a machine is slow. Differences below it are no
/// more than those between two calls of one kind.
pub const SLOW_FACTOR: f64 = 1.5;
/// The pace of a machine on which work takes as long as usual, in per cent.
const USUAL: f64 = 100.0;
/// Bounds of the pace that is believed, in per cent.
const MIN_PER_CENT: u16 = 25;
const MAX_PER_CENT: u16 = 2_000;

/// A pace and the age of the report that it comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PaceReport {
    /// Time that work takes, in per cent of the usual time.
    pub per_cent: u16,
    /// Time since the upstream reported it.
    pub age: Duration,
}

impl PaceReport {
    /// Returns the pace as a daemon keeps it that received the report at `now`.
    pub fn received(self, now: Instant) -> MachinePace {
        let reported = now.checked_sub(self.age).unwrap_or(now);
        MachinePace::new(self.per_cent, reported)
    }
}

/// The pace of an upstream's machine at the moment of its report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachinePace {
    per_cent: u16,
    reported: Instant,
}

impl MachinePace {
    /// Creates the pace that was reported at `reported`.
    pub fn new(per_cent: u16, reported: Instant) -> MachinePace {
        MachinePace { per_cent: per_cent.clamp(MIN_PER_CENT, MAX_PER_CENT), reported }
    }

    /// Returns the pace with its age, or `None` if it says nothing any more.
    pub fn report(&self, now: Instant) -> Option<PaceReport> {
        let age = self.age(now);
        (age < PACE_TTL).then_some(PaceReport { per_cent: self.per_cent, age })
    }

    /// Returns the expected time of work that begins at `now`, as a multiple of the usual time.
    pub fn factor(&self, now: Instant) -> f64 {
        let left = PACE_TTL.saturating_sub(self.age(now)).div_duration_f64(PACE_TTL);
        1.0 + (f64::from(self.per_cent) / USUAL - 1.0) * left
    }

    /// Returns whether the machine is much slower than usual.
    pub fn is_slow(&self, now: Instant) -> bool {
        self.factor(now) >= SLOW_FACTOR
    }

    /// Returns the expected time of a stretch of work that usually takes `work`: what is not
    /// done while the pace holds is done at the usual pace.
    pub fn stretch(&self, work: Duration, now: Instant) -> Duration {
        let factor = self.factor(now);
        let lasts = PACE_TTL.saturating_sub(self.age(now));
        let done = lasts.div_f64(factor).min(work);
        work - done + done.mul_f64(factor)
    }

    /// Returns the newer of two paces.
    pub fn newer(self, other: Option<MachinePace>) -> MachinePace {
        other.filter(|other| other.reported > self.reported).unwrap_or(self)
    }

    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.reported)
    }
}

/// Load report of an upstream on its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamLoad {
    /// Calls that it runs.
    pub running: u16,
    /// Calls that wait at it.
    pub waiting: u16,
    /// Calls that it runs at once.
    pub slots: u16,
    /// Pace of its machine in per cent, where it reports one.
    pub pace: Option<u16>,
}

impl UpstreamLoad {
    /// Parses three or four figures, separated by commas; `None` if they are anything else. The
    /// pace may have a fraction.
    pub fn parse(text: &str) -> Option<UpstreamLoad> {
        let mut figures = text.split(',').map(str::trim);
        let mut count = || figures.next()?.parse::<u16>().ok();
        let (running, waiting, slots) = (count()?, count()?, count()?);
        let pace = match figures.next() {
            None => None,
            Some(figure) => Some(parse_pace(figure)?),
        };
        let is_valid = slots > 0 && figures.next().is_none();
        is_valid.then_some(UpstreamLoad { running, waiting, slots, pace })
    }
}

fn parse_pace(figure: &str) -> Option<u16> {
    let per_cent = figure.parse::<f64>().ok()?.round();
    (1.0..=f64::from(u16::MAX)).contains(&per_cent).then_some(per_cent as u16)
}
