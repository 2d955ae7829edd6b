//! Processor time and memory of a process, read from `/proc`.

/// Clock ticks per second in `/proc`; Linux reports 100 on every architecture.
const CLOCK_TICKS_PER_S: f64 = 100.0;

/// Returns the processor time a process has used, in seconds.
pub fn cpu_seconds(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The process name in parentheses may contain spaces, so fields are counted from the
    // closing parenthesis.
    let Some((_, rest)) = text.rsplit_once(") ") else { return 0.0 };
    let fields: Vec<&str> = rest.split(' ').collect();
    let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / CLOCK_TICKS_PER_S
}

/// Returns the resident memory of a process, in megabytes.
pub fn rss_mb(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.trim().split(' ').next()?.parse::<f64>().ok());
    kb.unwrap_or(0.0) / 1024.0
}
