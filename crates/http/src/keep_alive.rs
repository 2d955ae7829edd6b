//! The `Keep-Alive` header, by which a server states how long it keeps an idle connection.

use std::time::Duration;

/// Longest time for which a connection is kept idle, whatever its server states. Any number of
/// seconds fits the header, and one near the largest overflows when it is added to a time.
pub const MAX_KEEP_ALIVE: Duration = Duration::from_secs(3600);

/// Returns the time that a `Keep-Alive` header states, at most [`MAX_KEEP_ALIVE`]; `None` if it
/// states none that can be read.
pub fn timeout(header: &str) -> Option<Duration> {
    let seconds = header.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds: u64 = seconds.parse().ok()?;
    Some(Duration::from_secs(seconds).min(MAX_KEEP_ALIVE))
}
