//! Whether a version is worse than the one before.
//!
//! Two things are compared for each kind of call: the share that failed, and the share
//! that took several times as long as the old version usually does. A share of the new
//! version counts as worse where it is so far above what the old one's allows that chance
//! brings that about less than once in [`ODDS`], by Chernoff's bound on the binomial tail:
//! a bound holds however few answers there are, and needs no tables.
//!
//! # What is not the version
//!
//! One upstream may be slow or fail by its host. Of three or more, the worst quarter is left
//! out: of new ones lest a host speak against the version, unless the others fail as well,
//! and of old ones that fail lest they hide what the version does. Work that differs by kind is compared by kind, and then all
//! kinds together.
//!
//! # Limits
//!
//! A version that fails one call in a hundred is not told from a good one by a thousand
//! answers; nor is one that is slow in fewer than one call in eight.

use super::tally::{CLASSES, Kinds, Tally};
use crate::request::gate::KindKey;
use std::collections::BTreeSet;

/// One false alarm in so many comparisons, at most; a rollout makes some hundred.
const ODDS: f64 = 20_000.0;
/// Failures that say nothing yet, however few the answers.
const FAILURES_LEAST: u32 = 4;
/// Share of failures that any version may have, beside [`FAILURES_TIMES`] that of the old.
const FAILURES_FREE: f64 = 0.003;
/// Times the old version's share of failures.
const FAILURES_TIMES: f64 = 1.5;
/// Classes above the old version's usual one from which on an answer is slow: between
/// two and four times as long.
const SLOW_CLASSES: usize = 3;
/// Share of slow answers that any version may have, beside [`SLOW_TIMES`] that of the
/// old: upstreams of one version differ threefold in speed.
const SLOW_FREE: f64 = 0.1;
/// Times the old version's share of slow answers.
const SLOW_TIMES: f64 = 2.0;
/// Answers of the old version to a kind before its times are compared.
const OLD_LEAST: u32 = 20;
/// Times that the share of bad calls of all upstreams is above that of all but the worst
/// quarter, from which on it is that of one host.
const OUTLIER: f64 = 3.0;
/// Upstreams from which on the worst quarter is left out.
const SOME_UPSTREAMS: usize = 3;

/// Why a version is worse.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Evidence {
    /// What was compared.
    pub about: About,
    /// The kind of call; absent where all kinds are taken together.
    pub kind: Option<KindKey>,
    /// Calls of the new version that were bad in this.
    pub bad: u32,
    /// Of how many.
    pub of: u32,
    /// The share that would have been allowed.
    pub allowed: f64,
}

/// What is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum About {
    /// Failed calls.
    Failures,
    /// Slow answers.
    Times,
}

/// Compares the upstreams of the new version with the old ones; returns the strongest
/// reason against the new one, if any is strong enough.
pub fn judge(new: &[&Kinds], old: &[&Kinds]) -> Option<Evidence> {
    let mut found: Option<(f64, Evidence)> = None;
    for about in [About::Failures, About::Times] {
        let mut rows = compare_kinds(new, old, about);
        rows.extend(together(&rows));
        for evidence in rows {
            let strength = surprise(evidence.bad, evidence.of, evidence.allowed);
            let is_enough = evidence.bad >= FAILURES_LEAST && strength >= ODDS.ln();
            if is_enough && found.is_none_or(|(most, _)| strength > most) {
                found = Some((strength, evidence));
            }
        }
    }
    found.map(|(_, evidence)| evidence)
}

/// Returns what the new version did in each kind of call, and what is allowed of it.
fn compare_kinds(new: &[&Kinds], old: &[&Kinds], about: About) -> Vec<Evidence> {
    let rows = kinds_of(new).into_iter().map(|kind| {
        let slow_from = usual_class(&sum(old, kind)).map(|class| class + SLOW_CLASSES);
        let bad_of = |tally: &Tally| match about {
            About::Failures => tally.failures,
            About::Times => slow(tally, slow_from),
        };
        let ((bad, of), allowed) = match about {
            About::Failures => {
                let before = without_worst(old, kind, bad_of);
                let allowed = FAILURES_FREE + FAILURES_TIMES * share(before.0, before.1);
                (without_outlier(new, kind, bad_of), allowed)
            }
            // Slow hosts are among both.
            About::Times => {
                let before = sum(old, kind);
                let allowed = SLOW_FREE + SLOW_TIMES * share(bad_of(&before), before.total());
                (without_outlier(new, kind, bad_of), allowed)
            }
        };
        Evidence { about, kind: Some(kind), bad, of, allowed }
    });
    rows.collect()
}

/// Returns all kinds as one: a fault that shows in each of them shows sooner in all.
fn together(rows: &[Evidence]) -> Option<Evidence> {
    let of: u32 = rows.iter().map(|row| row.of).sum();
    let allowed: f64 = rows.iter().map(|row| row.allowed * f64::from(row.of)).sum();
    let about = rows.first()?.about;
    let bad = rows.iter().map(|row| row.bad).sum();
    Some(Evidence { about, kind: None, bad, of, allowed: allowed / f64::from(of.max(1)) })
}

fn kinds_of(all: &[&Kinds]) -> Vec<KindKey> {
    let rows = all.iter().flat_map(|kinds| &kinds.0);
    let keys: BTreeSet<u64> = rows.map(|(kind, _)| kind.0).collect();
    keys.into_iter().map(KindKey).collect()
}

fn sum(all: &[&Kinds], kind: KindKey) -> Tally {
    let mut out = Tally::default();
    let rows = all.iter().flat_map(|kinds| &kinds.0).filter(|(known, _)| *known == kind);
    rows.for_each(|(_, tally)| out.add(tally));
    out
}

/// Returns bad calls and all, without the worst quarter of the upstreams only where these
/// have nearly all of the bad calls.
fn without_outlier(all: &[&Kinds], kind: KindKey, bad: impl Fn(&Tally) -> u32) -> (u32, u32) {
    let whole = sum(all, kind);
    let whole = (bad(&whole), whole.total());
    let rest = without_worst(all, kind, bad);
    let is_spread = share(rest.0, rest.1) * OUTLIER >= share(whole.0, whole.1);
    if is_spread { whole } else { rest }
}

/// Returns bad calls and all, without the worst quarter of the upstreams.
fn without_worst(all: &[&Kinds], kind: KindKey, bad: impl Fn(&Tally) -> u32) -> (u32, u32) {
    let tallies = all.iter().flat_map(|kinds| &kinds.0).filter(|(known, _)| *known == kind);
    let mut counts: Vec<(u32, u32)> =
        tallies.map(|(_, tally)| (bad(tally), tally.total())).filter(|(_, of)| *of > 0).collect();
    counts.sort_by(|a, b| share(a.0, a.1).total_cmp(&share(b.0, b.1)));
    if counts.len() >= SOME_UPSTREAMS {
        counts.truncate(counts.len() - counts.len().div_ceil(4));
    }
    counts.into_iter().fold((0, 0), |acc, count| (acc.0 + count.0, acc.1 + count.1))
}

/// Returns the class in which the middle one of the answers lies.
fn usual_class(tally: &Tally) -> Option<usize> {
    let answers: u32 = tally.times.iter().sum();
    if answers < OLD_LEAST {
        return None;
    }
    let mut below = 0;
    (0..CLASSES).find(|class| {
        below += tally.times[*class];
        below * 2 >= answers
    })
}

fn slow(tally: &Tally, from: Option<usize>) -> u32 {
    from.map_or(0, |from| tally.times.iter().skip(from).sum())
}

fn share(part: u32, of: u32) -> f64 {
    f64::from(part) / f64::from(of.max(1))
}

/// Returns how unlikely so many bad ones are, as the logarithm of the odds.
fn surprise(bad: u32, of: u32, allowed: f64) -> f64 {
    let (allowed, seen) = (allowed.min(1.0), share(bad, of));
    if of == 0 || seen <= allowed {
        return 0.0;
    }
    let good = match seen < 1.0 {
        true => (1.0 - seen) * ((1.0 - seen) / (1.0 - allowed)).ln(),
        false => 0.0,
    };
    f64::from(of) * (seen * (seen / allowed).ln() + good)
}
