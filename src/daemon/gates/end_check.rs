//! Result of the check whether an upstream ended, shared by all calls to it that broke.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

/// State of the check whether an upstream ended.
#[derive(Default)]
pub struct EndCheck {
    /// Number of broken calls that wait for the result.
    pub(super) broken_calls: AtomicUsize,
    pub(super) last: smol::lock::Mutex<LastCheck>,
}

#[derive(Clone, Copy, Default)]
pub(super) enum LastCheck {
    /// The upstream was not checked.
    #[default]
    NotChecked,
    /// The upstream was alive in a check that began at this moment.
    Alive(Instant),
    /// The upstream ended.
    Ended,
}

/// Counts a broken call while it waits for the result of the check.
pub(super) struct BrokenCallGuard<'a>(&'a AtomicUsize);

impl<'a> BrokenCallGuard<'a> {
    pub(super) fn new(count: &'a AtomicUsize) -> BrokenCallGuard<'a> {
        count.fetch_add(1, Ordering::Relaxed);
        BrokenCallGuard(count)
    }
}

impl Drop for BrokenCallGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
