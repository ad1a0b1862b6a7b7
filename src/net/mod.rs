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
use std::sync::OnceLock;
use std::thread;
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, bounded};

/// Threads need little: what is large lies on the heap.
const STACK: usize = 128 * 1024;
/// How long a thread that has nothing to do is kept. Connections come and go by the hundreds, and a new thread
/// costs more than all that most of them do.
const KEPT: Duration = Duration::from_secs(2);

type Body = Box<dyn FnOnce() + Send>;

/// Runs something on a thread with a small stack: one that waits for work, or a new one. That the machine has no
/// more of them is an error, not a panic.
pub fn spawn(name: &str, body: impl FnOnce() + Send + 'static) -> io::Result<()> {
    static IDLE: OnceLock<(Sender<Body>, Receiver<Body>)> = OnceLock::new();
    // It holds nothing, so that only a thread that waits can take what is sent.
    let (give, take) = IDLE.get_or_init(|| bounded(0));
    let Err(body) = give.try_send(Box::new(body)) else { return Ok(()) };
    let mut body = body.into_inner();
    let work = move || {
        loop {
            body();
            match take.recv_timeout(KEPT) {
                Ok(next) => body = next,
                Err(_) => return,
            }
        }
    };
    thread::Builder::new().name(name.into()).stack_size(STACK).spawn(work).map(drop)
}

/// Locks, also where a thread that held the lock has panicked.
pub fn lock<T>(mutex: &std::sync::Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
