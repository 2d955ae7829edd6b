//! Whether a new version is worse than the old one.
//!
//! Two shares are compared for each kind of call: the share of calls that failed, and the
//! share that took several times as long as is usual for the old version. A share of the new
//! version counts as worse if it exceeds the share that the old version's answers allow by so
//! much that chance causes it less than once in [`COMPARISONS_PER_FALSE_ALARM`] comparisons,
//! by Chernoff's bound on the binomial tail: a bound holds however few answers there are, and
//! needs no tables.
//!
//! # Faulty hosts and kinds of calls
//!
//! One upstream may be slow or fail because of its host. With three or more upstreams, the
//! worst quarter is therefore left out: of the new ones so that a faulty host does not count
//! against the version, unless the others are bad as well; and of the old ones, for failures,
//! so that a faulty host does not raise the share that is allowed. Kinds of calls differ in
//! their work, so each kind is compared separately, and then all kinds together.
//!
//! # Limits
//!
//! A thousand answers are too few to tell a version that fails one call in a hundred from a
//! good one, or one that is slow in fewer than one call in eight.

use super::tally::{Kinds, LATENCY_BUCKETS, Tally};
use crate::request::gate::KindKey;
use std::collections::BTreeSet;

/// Number of comparisons in which there is at most one false alarm. A rollout makes some
/// hundred comparisons.
const COMPARISONS_PER_FALSE_ALARM: f64 = 20_000.0;
/// Minimum number of bad calls, failed or slow, for evidence against a version, however few
/// the answers.
const MIN_BAD_CALLS: u32 = 4;
/// Share of failures that any version may have, in addition to [`FAILURE_SHARE_FACTOR`] times
/// the old version's share.
const TOLERATED_FAILURE_SHARE: f64 = 0.003;
/// Factor on the old version's share of failures.
const FAILURE_SHARE_FACTOR: f64 = 1.5;
/// Buckets above the old version's median bucket from which on an answer is slow: between two
/// and four times as long as the median.
const SLOW_BUCKET_OFFSET: usize = 3;
/// Share of slow answers that any version may have, in addition to [`SLOW_SHARE_FACTOR`] times
/// the old version's share: upstreams of one version differ threefold in speed.
const TOLERATED_SLOW_SHARE: f64 = 0.1;
/// Factor on the old version's share of slow answers.
const SLOW_SHARE_FACTOR: f64 = 2.0;
/// Minimum number of answers of the old version to a kind of call before the times of that
/// kind are compared.
const MIN_OLD_ANSWERS: u32 = 20;
/// Ratio of the share of bad calls of all upstreams to the share without the worst quarter,
/// above which the bad calls are attributed to single hosts.
const OUTLIER_RATIO: f64 = 3.0;
/// Minimum number of upstreams for the worst quarter to be left out.
const MIN_UPSTREAMS_TO_TRIM: usize = 3;

/// Evidence that the new version is worse.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Evidence {
    /// What was compared.
    pub about: About,
    /// The kind of call; absent if all kinds are combined.
    pub kind: Option<KindKey>,
    /// Calls at the new version that failed or were slow.
    pub bad: u32,
    /// Calls at the new version that were compared.
    pub of: u32,
    /// The share of bad calls that would have been allowed.
    pub allowed: f64,
}

/// The property that is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum About {
    /// Failed calls.
    Failures,
    /// Slow answers.
    Times,
}

/// Compares the upstreams of the new version with those of the old one; returns the strongest
/// evidence against the new version, if any is strong enough.
pub fn judge(new: &[&Kinds], old: &[&Kinds]) -> Option<Evidence> {
    let mut strongest: Option<(f64, Evidence)> = None;
    for about in [About::Failures, About::Times] {
        let mut rows = compare_kinds(new, old, about);
        rows.extend(combine_kinds(&rows));
        for evidence in rows {
            let strength = chernoff_exponent(evidence.bad, evidence.of, evidence.allowed);
            let is_enough =
                evidence.bad >= MIN_BAD_CALLS && strength >= COMPARISONS_PER_FALSE_ALARM.ln();
            if is_enough && strongest.is_none_or(|(highest, _)| strength > highest) {
                strongest = Some((strength, evidence));
            }
        }
    }
    strongest.map(|(_, evidence)| evidence)
}

/// Returns the bad calls of the new version and the allowed share, for each kind of call.
fn compare_kinds(new: &[&Kinds], old: &[&Kinds], about: About) -> Vec<Evidence> {
    let rows = distinct_kinds(new).into_iter().map(|kind| {
        let slow_from = median_bucket(&sum(old, kind)).map(|bucket| bucket + SLOW_BUCKET_OFFSET);
        let bad_of = |tally: &Tally| match about {
            About::Failures => tally.failures,
            About::Times => slow_answers(tally, slow_from),
        };
        let ((bad, of), allowed) = match about {
            About::Failures => {
                let old_counts = trim_worst_quarter(old, kind, bad_of);
                let allowed = TOLERATED_FAILURE_SHARE
                    + FAILURE_SHARE_FACTOR * share(old_counts.0, old_counts.1);
                (trim_if_outliers(new, kind, bad_of), allowed)
            }
            // The old side is not trimmed: both versions run on slow hosts too.
            About::Times => {
                let old_sum = sum(old, kind);
                let allowed = TOLERATED_SLOW_SHARE
                    + SLOW_SHARE_FACTOR * share(bad_of(&old_sum), old_sum.total());
                (trim_if_outliers(new, kind, bad_of), allowed)
            }
        };
        Evidence { about, kind: Some(kind), bad, of, allowed }
    });
    rows.collect()
}

/// Combines all kinds into one row: a fault that affects each kind is detected sooner in the
/// sum.
fn combine_kinds(rows: &[Evidence]) -> Option<Evidence> {
    let of: u32 = rows.iter().map(|row| row.of).sum();
    let allowed: f64 = rows.iter().map(|row| row.allowed * f64::from(row.of)).sum();
    let about = rows.first()?.about;
    let bad = rows.iter().map(|row| row.bad).sum();
    Some(Evidence { about, kind: None, bad, of, allowed: allowed / f64::from(of.max(1)) })
}

fn distinct_kinds(all: &[&Kinds]) -> Vec<KindKey> {
    let rows = all.iter().flat_map(|kinds| &kinds.0);
    let keys: BTreeSet<u64> = rows.map(|(kind, _)| kind.0).collect();
    keys.into_iter().map(KindKey).collect()
}

fn sum(all: &[&Kinds], kind: KindKey) -> Tally {
    let mut out = Tally::default();
    let rows = all.iter().flat_map(|kinds| &kinds.0).filter(|(counted, _)| *counted == kind);
    rows.for_each(|(_, tally)| out.add(tally));
    out
}

/// Returns the numbers of bad calls and of all calls. The worst quarter of the upstreams is
/// left out only if the bad calls are concentrated in it (see [`OUTLIER_RATIO`]).
fn trim_if_outliers(all: &[&Kinds], kind: KindKey, bad: impl Fn(&Tally) -> u32) -> (u32, u32) {
    let untrimmed = sum(all, kind);
    let untrimmed = (bad(&untrimmed), untrimmed.total());
    let trimmed = trim_worst_quarter(all, kind, bad);
    let is_spread = share(trimmed.0, trimmed.1) * OUTLIER_RATIO >= share(untrimmed.0, untrimmed.1);
    if is_spread { untrimmed } else { trimmed }
}

/// Returns the numbers of bad calls and of all calls without the worst quarter of the
/// upstreams.
fn trim_worst_quarter(all: &[&Kinds], kind: KindKey, bad: impl Fn(&Tally) -> u32) -> (u32, u32) {
    let tallies = all.iter().flat_map(|kinds| &kinds.0).filter(|(counted, _)| *counted == kind);
    let mut counts: Vec<(u32, u32)> =
        tallies.map(|(_, tally)| (bad(tally), tally.total())).filter(|(_, of)| *of > 0).collect();
    counts.sort_by(|a, b| share(a.0, a.1).total_cmp(&share(b.0, b.1)));
    if counts.len() >= MIN_UPSTREAMS_TO_TRIM {
        counts.truncate(counts.len() - counts.len().div_ceil(4));
    }
    counts.into_iter().fold((0, 0), |acc, count| (acc.0 + count.0, acc.1 + count.1))
}

/// Returns the bucket of the median answer, or `None` if there are too few answers.
fn median_bucket(tally: &Tally) -> Option<usize> {
    let answers: u32 = tally.times.iter().sum();
    if answers < MIN_OLD_ANSWERS {
        return None;
    }
    let mut below = 0;
    (0..LATENCY_BUCKETS).find(|bucket| {
        below += tally.times[*bucket];
        below * 2 >= answers
    })
}

fn slow_answers(tally: &Tally, from: Option<usize>) -> u32 {
    from.map_or(0, |from| tally.times.iter().skip(from).sum())
}

fn share(part: u32, of: u32) -> f64 {
    f64::from(part) / f64::from(of.max(1))
}

/// Returns the exponent of Chernoff's bound: where bad calls have the probability `allowed`,
/// at least `bad` of them occur by chance with a probability of at most `exp(-exponent)`.
fn chernoff_exponent(bad: u32, of: u32, allowed: f64) -> f64 {
    let (allowed, observed) = (allowed.min(1.0), share(bad, of));
    if of == 0 || observed <= allowed {
        return 0.0;
    }
    let good_term = match observed < 1.0 {
        true => (1.0 - observed) * ((1.0 - observed) / (1.0 - allowed)).ln(),
        false => 0.0,
    };
    f64::from(of) * (observed * (observed / allowed).ln() + good_term)
}
