//! What one daemon admits of one limit.

use super::{Grant, LimitKey, NOTICE_EVERY, Usage};
use std::time::{Duration, Instant};

/// How long a keeper's word counts; some reports may be lost.
const GRANT_LASTS: Duration = Duration::from_millis(1500);
/// How long a share below one counts at a daemon that admits nothing, hence reports
/// nothing and is answered nothing. As long as it takes a split mesh to find new keepers;
/// the end of holding back is told.
const NOTICE_LASTS: Duration = NOTICE_EVERY.saturating_mul(10);
/// Time over which what was admitted is averaged, to go on with it without a keeper.
const RATE_OVER: Duration = Duration::from_secs(3);
/// Time after which a limit that nobody asks for is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// What may be admitted without a keeper, of what was admitted before.
const ALONE_FACTOR: f64 = 1.25;
/// Calls that may be admitted beyond that, so that a daemon which admitted little is
/// not shut.
const ALONE_BURST: f64 = 2.0;

/// One daemon's part in a limit.
#[derive(Clone, Debug)]
pub struct Limiter {
    offered: u32,
    admitted: u32,
    /// Calls of [`Grant::ALL`] that may be admitted, and until when that counts.
    granted: u16,
    until: Instant,
    /// When the keeper's last word came.
    heard: Instant,
    /// Calls admitted a second, averaged.
    rate: f64,
    /// Calls that may be admitted without a keeper.
    alone: f64,
    at: Instant,
}

impl Limiter {
    /// Makes the part of a daemon that has heard nothing yet; it admits everything until
    /// its keeper had time to answer.
    pub fn new(now: Instant) -> Limiter {
        Limiter {
            offered: 0,
            admitted: 0,
            granted: Grant::ALL,
            until: now + GRANT_LASTS,
            heard: now,
            rate: 0.0,
            alone: ALONE_BURST,
            at: now,
        }
    }

    /// Decides about one call; `random` is any number.
    ///
    /// While the limit is held back, a call whose answer would be late whatever is done
    /// does not take the place of one that can still be in time, and does not count as
    /// offered.
    pub fn admit(&mut self, is_late: bool, now: Instant, random: u64) -> bool {
        self.advance(now);
        if is_late && self.granted < Grant::ALL {
            return false;
        }
        self.offered = self.offered.saturating_add(1);
        let is_admitted = match now < self.until {
            true => self.is_granted(random),
            false => self.alone >= 1.0 && self.is_granted(random),
        };
        if is_admitted {
            self.admitted = self.admitted.saturating_add(1);
            self.alone = (self.alone - 1.0).max(0.0);
            self.rate += 1.0 / RATE_OVER.as_secs_f64();
        }
        is_admitted
    }

    fn is_granted(&self, random: u64) -> bool {
        random % u64::from(Grant::ALL) < u64::from(self.granted)
    }

    /// Takes in that a call which was admitted did not run after all.
    pub fn give_back(&mut self) {
        self.admitted = self.admitted.saturating_sub(1);
    }

    /// Takes the keeper's word in.
    pub fn apply_grant(&mut self, grant: Grant, now: Instant) {
        self.granted = grant.share;
        self.until = now + GRANT_LASTS;
        self.heard = now;
    }

    /// Returns what is to be reported, and begins to count anew.
    pub fn take_usage(&mut self, key: LimitKey) -> Option<Usage> {
        let usage = Usage { key, offered: self.offered, admitted: self.admitted };
        (self.offered, self.admitted) = (0, 0);
        (usage.offered > 0).then_some(usage)
    }

    /// Returns the share of [`Grant::ALL`] that is admitted, and calls admitted a second.
    pub fn share_and_rate(&self, now: Instant) -> (u16, f64) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        (self.granted, self.rate * (-passed / RATE_OVER.as_secs_f64()).exp())
    }

    /// Returns whether nothing is lost by forgetting it.
    pub fn is_idle(&self, now: Instant) -> bool {
        self.offered == 0 && now.saturating_duration_since(self.at) >= FORGET_AFTER
    }

    fn advance(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at);
        // Without calls there was nothing to report and no answer to be had.
        if passed >= GRANT_LASTS {
            self.until = self.until.max(now + GRANT_LASTS);
            if now.saturating_duration_since(self.heard) >= NOTICE_LASTS {
                self.granted = Grant::ALL;
            }
        }
        self.at = self.at.max(now);
        let seconds = passed.as_secs_f64();
        let kept = (-seconds / RATE_OVER.as_secs_f64()).exp();
        let earned = self.rate * ALONE_FACTOR * seconds;
        self.alone = (self.alone + earned).min(ALONE_BURST + self.rate);
        self.rate *= kept;
    }
}
