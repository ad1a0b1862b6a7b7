//! Fault-injection library, loaded into a process under test by `LD_PRELOAD`. The library makes
//! system calls fail in ways that Linux documents, controlled by the switches of
//! `valehatch-fault-control`. Without a control file every call passes through unchanged.
//!
//! Only calls through the C library are intercepted. Direct system calls (epoll and poll of
//! `rustix`) are not; signals interrupt those instead.

#![allow(clippy::missing_safety_doc)]

use std::ffi::{CStr, c_char, c_int, c_void};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};
use std::time::Duration;

use libc::{clockid_t, size_t, sockaddr, socklen_t, ssize_t, timespec};
use valehatch_fault_control::{CONTROL_FILE_BYTES, CONTROL_FILE_VARIABLE, Switch};

const MICROS_PER_SECOND: i64 = 1_000_000;
const NANOS_PER_MICRO: i64 = 1_000;
/// Minimum interval between two pauses of [`Switch::PauseBeforeWrite`].
const WRITE_PAUSE_INTERVAL: Duration = Duration::from_millis(500);

/// Transient errors of accept(2), about one connection or the whole machine.
const ACCEPT_ERRORS: [c_int; 6] = [
    libc::ECONNABORTED,
    libc::ENFILE,
    libc::EMFILE,
    libc::ENOBUFS,
    libc::EINTR,
    libc::EPROTO,
];
/// Transient errors of connect(2) that arise on the local machine.
const CONNECT_ERRORS: [c_int; 4] = [
    libc::EADDRNOTAVAIL,
    libc::ENETUNREACH,
    libc::ENOBUFS,
    libc::EAGAIN,
];
/// Resource limits that socket(2) reports.
const SOCKET_ERRORS: [c_int; 4] = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
/// Network errors that replace ECONNRESET.
const LATE_ERRORS: [c_int; 2] = [libc::ETIMEDOUT, libc::EHOSTUNREACH];

/// Switches in the mapped control file; `None` if no file is named or the mapping failed.
fn switches() -> Option<&'static [AtomicI64]> {
    static MAPPING: OnceLock<Option<&'static [AtomicI64]>> = OnceLock::new();
    *MAPPING.get_or_init(|| {
        let path = std::env::var_os(CONTROL_FILE_VARIABLE)?;
        let path = std::ffi::CString::new(path.into_encoded_bytes()).ok()?;
        // SAFETY: the path is NUL-terminated, and the memory is never unmapped, so it stays valid
        // as long as the process runs.
        unsafe {
            let file = libc::open(path.as_ptr(), libc::O_RDONLY | libc::O_CLOEXEC);
            let null = std::ptr::null_mut();
            let map = libc::mmap(
                null,
                CONTROL_FILE_BYTES,
                libc::PROT_READ,
                libc::MAP_SHARED,
                file,
                0,
            );
            libc::close(file);
            if map == libc::MAP_FAILED {
                return None;
            }
            Some(std::slice::from_raw_parts(
                map.cast::<AtomicI64>(),
                Switch::ALL.len(),
            ))
        }
    })
}

fn switch_value(switch: Switch) -> i64 {
    switches().map_or(0, |all| all[switch.index()].load(Ordering::Relaxed))
}

/// Next number of a SplitMix64 sequence. The seed is fixed, so each process draws the same numbers.
fn next_random() -> u64 {
    static CALLS: AtomicU64 = AtomicU64::new(0);
    let mut mixed = CALLS
        .fetch_add(1, Ordering::Relaxed)
        .wrapping_add(1)
        .wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Draws whether the fault of a rate switch is injected into this call.
fn should_inject(switch: Switch) -> bool {
    let rate = switch_value(switch);
    rate > 0 && i64::try_from(next_random() % 1_000).unwrap_or(0) < rate
}

fn fail(error: c_int) -> c_int {
    // SAFETY: `__errno_location` returns a valid pointer to the calling thread's errno.
    unsafe { *libc::__errno_location() = error };
    -1
}

fn last_error() -> c_int {
    // SAFETY: `__errno_location` returns a valid pointer to the calling thread's errno.
    unsafe { *libc::__errno_location() }
}

fn choose_error(errors: &[c_int]) -> c_int {
    errors[usize::try_from(next_random() >> 10).unwrap_or(0) % errors.len()]
}

/// Looks up the next definition of a symbol after this library, which is the C library's function.
macro_rules! real {
    ($name:literal, $kind:ty) => {{
        static ADDRESS: OnceLock<usize> = OnceLock::new();
        let name: &CStr = $name;
        // SAFETY: the name is NUL-terminated, and the C library's function of this name has the
        // given type.
        unsafe {
            let address =
                *ADDRESS.get_or_init(|| libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) as usize);
            std::mem::transmute::<usize, $kind>(address)
        }
    }};
}

/// See clock_gettime(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    let call = real!(
        c"clock_gettime",
        unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int
    );
    // SAFETY: the arguments are passed on unchanged; their validity is the caller's obligation.
    let result = unsafe { call(clock, time) };
    let offset = if clock == libc::CLOCK_REALTIME && result == 0 {
        switch_value(Switch::WallClockOffset)
    } else {
        0
    };
    if offset != 0 {
        // SAFETY: the successful call has written the structure, so the pointer is valid.
        let time = unsafe { &mut *time };
        let micros = time.tv_sec * MICROS_PER_SECOND + time.tv_nsec / NANOS_PER_MICRO + offset;
        time.tv_sec = micros.div_euclid(MICROS_PER_SECOND);
        time.tv_nsec = micros.rem_euclid(MICROS_PER_SECOND) * NANOS_PER_MICRO;
    }
    result
}

/// See accept4(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    to: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    let call = real!(
        c"accept4",
        unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int
    );
    if should_inject(Switch::AcceptFails) {
        return fail(choose_error(&ACCEPT_ERRORS));
    }
    // SAFETY: the arguments are passed on unchanged; their validity is the caller's obligation.
    unsafe { call(fd, to, length, flags) }
}

/// See connect(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(fd: c_int, to: *const sockaddr, length: socklen_t) -> c_int {
    let call = real!(
        c"connect",
        unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int
    );
    if should_inject(Switch::ConnectFails) {
        return fail(choose_error(&CONNECT_ERRORS));
    }
    // SAFETY: the arguments are passed on unchanged; their validity is the caller's obligation.
    unsafe { call(fd, to, length) }
}

/// See socket(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let call = real!(
        c"socket",
        unsafe extern "C" fn(c_int, c_int, c_int) -> c_int
    );
    if should_inject(Switch::SocketFails) {
        return fail(choose_error(&SOCKET_ERRORS));
    }
    // SAFETY: the arguments are passed on unchanged; their validity is the caller's obligation.
    unsafe { call(domain, kind, protocol) }
}

/// Length of a transfer after fault injection: a single byte at the rate of
/// [`Switch::ShortTransfers`].
fn transfer_length(length: size_t) -> size_t {
    if length > 1 && should_inject(Switch::ShortTransfers) {
        1
    } else {
        length
    }
}

/// Draws whether a transfer fails with EINTR. A non-blocking transfer (MSG_DONTWAIT) never does.
fn should_interrupt(flags: c_int) -> bool {
    flags & libc::MSG_DONTWAIT == 0 && should_inject(Switch::Interrupts)
}

/// See recv(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(
    fd: c_int,
    into: *mut c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    let call = real!(
        c"recv",
        unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t
    );
    if should_interrupt(flags) {
        return fail(libc::EINTR) as ssize_t;
    }
    // SAFETY: the buffer is the caller's, and the length is at most the caller's.
    let result = unsafe { call(fd, into, transfer_length(length), flags) };
    let was_reset = result < 0 && last_error() == libc::ECONNRESET;
    if was_reset && should_inject(Switch::LateErrors) {
        return fail(choose_error(&LATE_ERRORS)) as ssize_t;
    }
    result
}

/// Duration of the pause before this write, if one is due: at most one per
/// [`WRITE_PAUSE_INTERVAL`], so that no request meets two pauses.
fn pause_before_write() -> Option<Duration> {
    static LAST_PAUSE: AtomicU64 = AtomicU64::new(0);
    let pause = u64::try_from(switch_value(Switch::PauseBeforeWrite))
        .ok()
        .filter(|pause| *pause > 0)?;
    let now = monotonic_micros();
    let last = LAST_PAUSE.load(Ordering::Relaxed);
    let due = now >= last + WRITE_PAUSE_INTERVAL.as_micros() as u64;
    let claimed = due
        && LAST_PAUSE
            .compare_exchange(last, now, Ordering::Relaxed, Ordering::Relaxed)
            .is_ok();
    claimed.then(|| Duration::from_micros(pause))
}

fn monotonic_micros() -> u64 {
    let mut time = timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: the pointer refers to a local variable.
    unsafe { clock_gettime(libc::CLOCK_MONOTONIC, &raw mut time) };
    u64::try_from(time.tv_sec * MICROS_PER_SECOND + time.tv_nsec / NANOS_PER_MICRO).unwrap_or(0)
}

/// See send(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(
    fd: c_int,
    from: *const c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    let call = real!(
        c"send",
        unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t
    );
    if should_interrupt(flags) {
        return fail(libc::EINTR) as ssize_t;
    }
    if let Some(pause) = pause_before_write() {
        std::thread::sleep(pause);
    }
    // SAFETY: the buffer is the caller's, and the length is at most the caller's.
    unsafe { call(fd, from, transfer_length(length), flags) }
}

/// Whether a descriptor refers to a regular file.
fn is_regular_file(fd: c_int) -> bool {
    // SAFETY: all-zero bytes are a valid `stat`, which the call fills in before it is read.
    unsafe {
        let mut status = std::mem::zeroed::<libc::stat>();
        libc::fstat(fd, &raw mut status) == 0 && status.st_mode & libc::S_IFMT == libc::S_IFREG
    }
}

/// See write(2). A full disk is injected as two calls, as on Linux: the first writes a part of the
/// buffer and returns its length, the next write to a file fails with ENOSPC. While the switch is
/// on, writes of less than two bytes, which cannot be split, always fail.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(fd: c_int, from: *const c_void, length: size_t) -> ssize_t {
    static PARTIAL_WRITE_DONE: AtomicBool = AtomicBool::new(false);
    let call = real!(
        c"write",
        unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t
    );
    if switch_value(Switch::FileWriteFails) > 0 && is_regular_file(fd) {
        if PARTIAL_WRITE_DONE.swap(false, Ordering::Relaxed) || length < 2 {
            return fail(libc::ENOSPC) as ssize_t;
        }
        if should_inject(Switch::FileWriteFails) {
            PARTIAL_WRITE_DONE.store(true, Ordering::Relaxed);
            // SAFETY: the buffer is the caller's, and half its length is used.
            return unsafe { call(fd, from, length / 2) };
        }
    }
    // SAFETY: the arguments are passed on unchanged; their validity is the caller's obligation.
    unsafe { call(fd, from, length) }
}

/// See fsync(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    let call = real!(c"fsync", unsafe extern "C" fn(c_int) -> c_int);
    if should_inject(Switch::SyncFails) {
        return fail(libc::EIO);
    }
    // SAFETY: the argument is passed on unchanged.
    unsafe { call(fd) }
}

/// See fdatasync(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fdatasync(fd: c_int) -> c_int {
    let call = real!(c"fdatasync", unsafe extern "C" fn(c_int) -> c_int);
    if should_inject(Switch::SyncFails) {
        return fail(libc::EIO);
    }
    // SAFETY: the argument is passed on unchanged.
    unsafe { call(fd) }
}

/// See rename(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    let call = real!(
        c"rename",
        unsafe extern "C" fn(*const c_char, *const c_char) -> c_int
    );
    if should_inject(Switch::RenameFails) {
        return fail(libc::EIO);
    }
    // SAFETY: the arguments are passed on unchanged; their validity is the caller's obligation.
    unsafe { call(from, to) }
}
