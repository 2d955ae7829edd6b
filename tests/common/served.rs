//! Counts of served calls by time.

use std::time::{Duration, Instant};

/// Returns the most calls in any window of this length.
pub fn most_in_window(times: &[Instant], window: Duration) -> usize {
    let count =
        |from: Instant| times.iter().filter(|at| (from..from + window).contains(*at)).count();
    times.iter().map(|from| count(*from)).max().unwrap_or(0)
}

/// Returns the fewest calls of any window that begins a second after the first call or later.
pub fn least_in_window(served: &[Instant], window: Duration) -> usize {
    let (Some(first), Some(last)) = (served.iter().min(), served.iter().max()) else { return 0 };
    let count =
        |from: Instant| served.iter().filter(|at| (from..from + window).contains(*at)).count();
    let starts = served.iter().filter(|at| **at > *first + Duration::from_secs(1));
    let whole = starts.filter(|at| **at + window < *last);
    whole.map(|from| count(*from)).min().unwrap_or(0)
}

/// Returns the calls in each quarter of a second from the first one on.
pub fn by_quarter_second(times: &[Instant]) -> Vec<u32> {
    let Some(first) = times.iter().min() else { return Vec::new() };
    let mut counts = Vec::new();
    for at in times {
        let i = (at.duration_since(*first).as_millis() / 250) as usize;
        counts.resize(counts.len().max(i + 1), 0);
        counts[i] += 1;
    }
    counts
}
