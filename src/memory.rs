//! How the allocator gives memory back.
//!
//! Failure: glibc raises its bounds for large blocks with the first large block that is
//! freed, and from then on takes such blocks from the heap, between small ones that
//! live on. Symptom: a daemon that has read a configuration of 250 KB a few times holds
//! two megabytes that it does not use. With bounds that stay where they are such blocks
//! go back to the system as soon as they are freed.

use std::ffi::c_int;

/// Size from which on a block is a mapping of its own, in bytes. Texts of configurations
/// and large answers are above it; buffers of connections are below.
const OWN_MAPPING_FROM: c_int = 64 << 10;
/// Free bytes at the top of the heap that are given back.
const GIVE_BACK_FROM: c_int = 64 << 10;
/// Bytes by which the heap grows beyond what is asked for.
const GROW_BY: c_int = 16 << 10;

/// Sets the allocator's bounds; to be called before there are other threads.
pub fn configure_allocator() {
    let bounds = [
        (libc::M_MMAP_THRESHOLD, OWN_MAPPING_FROM),
        (libc::M_TRIM_THRESHOLD, GIVE_BACK_FROM),
        (libc::M_TOP_PAD, GROW_BY),
    ];
    for (name, value) in bounds {
        if !set(name, value) {
            eprintln!("the allocator does not take bound {name}; memory may stay in use");
        }
    }
}

#[expect(unsafe_code, reason = "no library offers this; the call takes two plain numbers")]
fn set(name: c_int, value: c_int) -> bool {
    // SAFETY: `mallopt` has no preconditions; it is called while there is one thread.
    unsafe { libc::mallopt(name, value) == 1 }
}
