//! Settings of the C library's allocator.
//!
//! glibc gives threads arenas of their own, up to eight for each processor. Each arena keeps freed
//! memory, so that a process with a hundred threads holds several times what is in use.

/// Maximum number of arenas, shared by all threads.
const MAX_ARENAS: i32 = 2;

/// Limits what the allocator keeps for the threads of this process. To be called before other
/// threads start; does nothing with another C library than glibc.
pub fn limit_arenas() {
    #[cfg(target_env = "gnu")]
    {
        // SAFETY: `mallopt` takes two integers and changes a parameter of the allocator under its
        // own lock; it may be called at any time.
        let accepted = unsafe { libc::mallopt(libc::M_ARENA_MAX, MAX_ARENAS) };
        debug_assert_eq!(accepted, 1, "glibc knows the parameter");
    }
}
