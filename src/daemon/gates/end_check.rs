//! What is known of an upstream's end while calls at it break.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

/// What is known of an upstream's end.
#[derive(Default)]
pub struct EndCheck {
    /// Calls that broke and wait for the answer.
    pub(super) breaking: AtomicUsize,
    pub(super) found: smol::lock::Mutex<Found>,
}

#[derive(Clone, Copy, Default)]
pub(super) enum Found {
    /// Nobody asked.
    #[default]
    Nothing,
    /// It lived when it was asked, beginning at this moment.
    Alive(Instant),
    /// It ended.
    Ended,
}

/// A call that broke; counted while it waits for what is found.
pub(super) struct Breaking<'a>(&'a AtomicUsize);

impl<'a> Breaking<'a> {
    pub(super) fn new(count: &'a AtomicUsize) -> Breaking<'a> {
        count.fetch_add(1, Ordering::Relaxed);
        Breaking(count)
    }
}

impl Drop for Breaking<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
