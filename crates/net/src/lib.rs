//! Sockets and threads, by peer. Nothing here decides: threads tell the core what happened and carry out what
//! it asks for.

#![forbid(unsafe_code)]
#![expect(missing_docs, reason = "not yet split and documented")]

pub mod clients;
mod clock;
pub mod connection_limits;
pub mod discovery;
mod event_loop;
pub mod gossip_transport;
pub mod hot_restart;
pub mod log;
pub mod signals;
pub mod upstream;

pub use clock::Clock;
pub use event_loop::{LoopControl, TurnStep, run};

use std::io;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crossbeam_channel::{Sender, bounded};

/// Threads need little: what is large lies on the heap.
const STACK: usize = 128 * 1024;
/// How long a thread that has nothing to do is kept. Connections come and go by the hundreds, and a new thread
/// costs more than all that most of them do. Not for long: each keeps memory that the allocator set aside for it.
const KEPT: Duration = Duration::from_millis(300);

type Body = Box<dyn FnOnce() + Send>;

/// Threads that wait for work, the one that has waited for the shortest last.
static IDLE: Mutex<Vec<Sender<Body>>> = Mutex::new(vec![]);

/// Runs something on a thread with a small stack: the one that has just become free, so that those that are not
/// needed end, or a new one. That the machine has no more of them is an error, not a panic.
pub fn spawn(name: &str, body: impl FnOnce() + Send + 'static) -> io::Result<()> {
    let mut body: Body = Box::new(body);
    while let Some(idle) = lock(&IDLE).pop() {
        match idle.try_send(body) {
            Ok(()) => return Ok(()),
            Err(back) => body = back.into_inner(),
        }
    }
    let work = move || {
        let (give, take) = bounded(1);
        loop {
            body();
            lock(&IDLE).push(give.clone());
            body = match take.recv_timeout(KEPT) {
                Ok(next) => next,
                Err(_) => {
                    let mut idle = lock(&IDLE);
                    if let Some(place) = idle.iter().position(|i| i.same_channel(&give)) {
                        idle.remove(place);
                        return;
                    }
                    drop(idle);
                    // Whoever has taken this thread off the list is about to hand it something.
                    let Ok(next) = take.recv() else { return };
                    next
                }
            };
        }
    };
    thread::Builder::new()
        .name(name.into())
        .stack_size(STACK)
        .spawn(work)
        .map(drop)
}

/// Locks, also where a thread that held the lock has panicked.
pub fn lock<T>(mutex: &std::sync::Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}
