//! Loaded into a process under test by `LD_PRELOAD`: makes system calls fail in ways that Linux
//! documents, as the switches of `valehatch-fault-control` say. Without that file every call passes
//! through unchanged.
//!
//! Only calls through the C library are reached; those that a program makes directly (epoll and
//! poll of `rustix`) are interrupted by signals instead.

#![allow(clippy::missing_safety_doc)]

use std::ffi::{CStr, c_char, c_int, c_void};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};
use std::time::Duration;

use libc::{clockid_t, size_t, sockaddr, socklen_t, ssize_t, timespec};
use valehatch_fault_control::{CONTROL_FILE_BYTES, CONTROL_FILE_VARIABLE, Switch};

const MICROS_PER_SECOND: i64 = 1_000_000;
const NANOS_PER_MICRO: i64 = 1_000;
/// How often a write is held up.
const HOLD_UP_EACH: Duration = Duration::from_millis(500);

/// Errors that concern one connection or the whole machine for a moment (accept(2), connect(2),
/// socket(2)).
const ACCEPT_ERRORS: [c_int; 6] = [
    libc::ECONNABORTED,
    libc::ENFILE,
    libc::EMFILE,
    libc::ENOBUFS,
    libc::EINTR,
    libc::EPROTO,
];
const CONNECT_ERRORS: [c_int; 4] = [
    libc::EADDRNOTAVAIL,
    libc::ENETUNREACH,
    libc::ENOBUFS,
    libc::EAGAIN,
];
const SOCKET_ERRORS: [c_int; 4] = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
const LATE_ERRORS: [c_int; 2] = [libc::ETIMEDOUT, libc::EHOSTUNREACH];

/// The mapped file; `None` without one.
fn switches() -> Option<&'static [AtomicI64]> {
    static MAPPED: OnceLock<Option<&'static [AtomicI64]>> = OnceLock::new();
    *MAPPED.get_or_init(|| {
        let path = std::env::var_os(CONTROL_FILE_VARIABLE)?;
        let path = std::ffi::CString::new(path.into_encoded_bytes()).ok()?;
        // SAFETY: the path ends in a zero byte; the mapping is never given back, so that it lives
        // as long as the process.
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

fn value(switch: Switch) -> i64 {
    switches().map_or(0, |all| all[switch.index()].load(Ordering::Relaxed))
}

/// A number that differs from call to call.
fn next_number() -> u64 {
    static CALLS: AtomicU64 = AtomicU64::new(0);
    let mut mixed = CALLS
        .fetch_add(1, Ordering::Relaxed)
        .wrapping_add(1)
        .wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Whether this call is one of those that a switch makes fail.
fn strikes(switch: Switch) -> bool {
    let rate = value(switch);
    rate > 0 && i64::try_from(next_number() % 1_000).unwrap_or(0) < rate
}

fn fail(error: c_int) -> c_int {
    // SAFETY: the C library gives each thread a place for its error number.
    unsafe { *libc::__errno_location() = error };
    -1
}

fn last_error() -> c_int {
    // SAFETY: as above.
    unsafe { *libc::__errno_location() }
}

fn one_of(errors: &[c_int]) -> c_int {
    errors[usize::try_from(next_number() >> 10).unwrap_or(0) % errors.len()]
}

/// The function behind a name in the libraries loaded after this one.
macro_rules! real {
    ($name:literal, $kind:ty) => {{
        static FOUND: OnceLock<usize> = OnceLock::new();
        let name: &CStr = $name;
        // SAFETY: the name ends in a zero byte, and the C library's function of this name has this
        // type.
        unsafe {
            let address =
                *FOUND.get_or_init(|| libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) as usize);
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
    // SAFETY: the caller's own arguments.
    let done = unsafe { call(clock, time) };
    let offset = if clock == libc::CLOCK_REALTIME && done == 0 {
        value(Switch::WallClockOffset)
    } else {
        0
    };
    if offset != 0 {
        // SAFETY: the call has written it.
        let time = unsafe { &mut *time };
        let micros = time.tv_sec * MICROS_PER_SECOND + time.tv_nsec / NANOS_PER_MICRO + offset;
        time.tv_sec = micros.div_euclid(MICROS_PER_SECOND);
        time.tv_nsec = micros.rem_euclid(MICROS_PER_SECOND) * NANOS_PER_MICRO;
    }
    done
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
    if strikes(Switch::AcceptFails) {
        return fail(one_of(&ACCEPT_ERRORS));
    }
    // SAFETY: the caller's own arguments.
    unsafe { call(fd, to, length, flags) }
}

/// See connect(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(fd: c_int, to: *const sockaddr, length: socklen_t) -> c_int {
    let call = real!(
        c"connect",
        unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int
    );
    if strikes(Switch::ConnectFails) {
        return fail(one_of(&CONNECT_ERRORS));
    }
    // SAFETY: the caller's own arguments.
    unsafe { call(fd, to, length) }
}

/// See socket(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let call = real!(
        c"socket",
        unsafe extern "C" fn(c_int, c_int, c_int) -> c_int
    );
    if strikes(Switch::SocketFails) {
        return fail(one_of(&SOCKET_ERRORS));
    }
    // SAFETY: the caller's own arguments.
    unsafe { call(domain, kind, protocol) }
}

/// How much of a transfer is made: a single byte now and then.
fn shortened(length: size_t) -> size_t {
    if length > 1 && strikes(Switch::ShortTransfers) {
        1
    } else {
        length
    }
}

/// Whether a transfer is interrupted: one that does not wait never is.
fn interrupted(flags: c_int) -> bool {
    flags & libc::MSG_DONTWAIT == 0 && strikes(Switch::Interrupts)
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
    if interrupted(flags) {
        return fail(libc::EINTR) as ssize_t;
    }
    // SAFETY: the caller's own buffer, of which no more is used than the caller allows.
    let done = unsafe { call(fd, into, shortened(length), flags) };
    let broken = done < 0 && last_error() == libc::ECONNRESET;
    if broken && strikes(Switch::LateErrors) {
        return fail(one_of(&LATE_ERRORS)) as ssize_t;
    }
    done
}

/// Held up before this write, and for how long: once in [`HOLD_UP_EACH`], so that no request meets
/// two.
fn hold_up() -> Option<Duration> {
    static LAST: AtomicU64 = AtomicU64::new(0);
    let pause = u64::try_from(value(Switch::PauseBeforeWrite))
        .ok()
        .filter(|pause| *pause > 0)?;
    let now = monotonic_micros();
    let last = LAST.load(Ordering::Relaxed);
    let due = now >= last + HOLD_UP_EACH.as_micros() as u64;
    let first = due
        && LAST
            .compare_exchange(last, now, Ordering::Relaxed, Ordering::Relaxed)
            .is_ok();
    first.then(|| Duration::from_micros(pause))
}

fn monotonic_micros() -> u64 {
    let mut time = timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: the structure is the call's own.
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
    if interrupted(flags) {
        return fail(libc::EINTR) as ssize_t;
    }
    if let Some(pause) = hold_up() {
        std::thread::sleep(pause);
    }
    // SAFETY: the caller's own buffer, of which no more is used than the caller allows.
    unsafe { call(fd, from, shortened(length), flags) }
}

/// Whether a descriptor is a regular file.
fn is_file(fd: c_int) -> bool {
    // SAFETY: the structure is written by the call before it is read.
    unsafe {
        let mut status = std::mem::zeroed::<libc::stat>();
        libc::fstat(fd, &raw mut status) == 0 && status.st_mode & libc::S_IFMT == libc::S_IFREG
    }
}

/// See write(2). A file's write that fails makes a part first: the call says how much, and the next
/// one that there is no space left.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(fd: c_int, from: *const c_void, length: size_t) -> ssize_t {
    static FULL: AtomicBool = AtomicBool::new(false);
    let call = real!(
        c"write",
        unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t
    );
    if value(Switch::FileWriteFails) > 0 && is_file(fd) {
        if FULL.swap(false, Ordering::Relaxed) || length < 2 {
            return fail(libc::ENOSPC) as ssize_t;
        }
        if strikes(Switch::FileWriteFails) {
            FULL.store(true, Ordering::Relaxed);
            // SAFETY: half of the caller's own buffer.
            return unsafe { call(fd, from, length / 2) };
        }
    }
    // SAFETY: the caller's own arguments.
    unsafe { call(fd, from, length) }
}

/// See fsync(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    let call = real!(c"fsync", unsafe extern "C" fn(c_int) -> c_int);
    if strikes(Switch::SyncFails) {
        return fail(libc::EIO);
    }
    // SAFETY: the caller's own argument.
    unsafe { call(fd) }
}

/// See fdatasync(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fdatasync(fd: c_int) -> c_int {
    let call = real!(c"fdatasync", unsafe extern "C" fn(c_int) -> c_int);
    if strikes(Switch::SyncFails) {
        return fail(libc::EIO);
    }
    // SAFETY: the caller's own argument.
    unsafe { call(fd) }
}

/// See rename(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    let call = real!(
        c"rename",
        unsafe extern "C" fn(*const c_char, *const c_char) -> c_int
    );
    if strikes(Switch::RenameFails) {
        return fail(libc::EIO);
    }
    // SAFETY: the caller's own arguments.
    unsafe { call(from, to) }
}
