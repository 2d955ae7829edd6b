//! Settings of the allocator that return freed memory to the system.
//!
//! Failure: glibc raises its mmap threshold when the first large block is freed, and from
//! then on allocates blocks of that size on the heap, between small long-lived ones.
//! Symptom: a daemon that has read a configuration of 250 KB a few times keeps two
//! megabytes that it does not use. With fixed thresholds such blocks are returned to the
//! system as soon as they are freed.

use std::ffi::c_int;

/// Size from which a block is allocated by `mmap`, in bytes. Configuration texts and large
/// answers are above it; connection buffers are below.
const MMAP_THRESHOLD: c_int = 64 << 10;
/// Free bytes at the top of the heap from which on they are returned to the system.
const TRIM_THRESHOLD: c_int = 64 << 10;
/// Bytes by which the heap grows beyond a request.
const TOP_PAD: c_int = 16 << 10;

/// Sets the options of the allocator; must be called before other threads are started.
pub fn configure_allocator() {
    let options = [
        (libc::M_MMAP_THRESHOLD, MMAP_THRESHOLD),
        (libc::M_TRIM_THRESHOLD, TRIM_THRESHOLD),
        (libc::M_TOP_PAD, TOP_PAD),
    ];
    for (option, value) in options {
        if !set_option(option, value) {
            eprintln!(
                "mallopt option {option} was rejected; freed memory may not be returned to the system"
            );
        }
    }
}

#[expect(unsafe_code, reason = "no safe wrapper of mallopt exists; the call takes two integers")]
fn set_option(option: c_int, value: c_int) -> bool {
    // SAFETY: `mallopt` takes two integers and has no preconditions on them; it is called
    // while the process has one thread.
    unsafe { libc::mallopt(option, value) == 1 }
}
