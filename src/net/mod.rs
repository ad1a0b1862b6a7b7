//! Sockets and threads, by peer. Nothing here decides: threads tell the core what happened and carry out what
//! it asks for.

pub mod clients;
pub mod cql;
pub mod list;
pub mod pg;
pub mod pg_clients;
pub mod pg_servers;
pub mod servers;
pub mod signals;
pub mod snmp;

use std::io;
use std::thread;

/// Threads need little: what is large lies on the heap.
const STACK: usize = 128 * 1024;

/// A thread with a small stack. That the machine has no more of them is an error, not a panic.
pub fn spawn(name: &str, body: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new().name(name.into()).stack_size(STACK).spawn(body).map(drop)
}

/// Locks, also where a thread that held the lock has panicked.
pub fn lock<T>(mutex: &std::sync::Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
