//! Threads with small stacks that are reused for jobs arriving soon after, and locking of mutexes
//! regardless of poisoning.
//!
//! State: the idle threads and the number of threads by job, shared by the whole program.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, bounded};

/// Large data is on the heap, so threads need little stack.
const STACK_BYTES: usize = 128 * 1024;
/// How long an idle thread waits for its next job. Connections come and go by the hundreds, and
/// starting a thread costs more than most of them do; each idle thread, however, retains allocator
/// memory.
const IDLE_TIMEOUT: Duration = Duration::from_millis(300);

type Job = Box<dyn FnOnce() + Send>;

/// Idle threads; the one that became idle last is at the end.
static IDLE: Mutex<Vec<Sender<Job>>> = Mutex::new(vec![]);
/// Number of threads that run a job, by its name.
static RUNNING: Mutex<BTreeMap<&'static str, usize>> = Mutex::new(BTreeMap::new());

/// Counts a job from its start until it is dropped.
struct RunningJob(&'static str);

impl RunningJob {
    fn start(name: &'static str) -> Self {
        *lock(&RUNNING).entry(name).or_default() += 1;
        Self(name)
    }
}

impl Drop for RunningJob {
    fn drop(&mut self) {
        if let Some(count) = lock(&RUNNING).get_mut(self.0) {
            *count -= 1;
        }
    }
}

/// Number of threads that run a job, by its name, including names of jobs that have ended.
pub fn running_jobs() -> BTreeMap<&'static str, usize> {
    lock(&RUNNING).clone()
}

/// Runs a job on a thread with a small stack: on the one that became idle last, so that surplus
/// threads end, or on a new one, which gets this name.
///
/// # Errors
/// Returns an error if no further thread can be started.
pub fn spawn(name: &'static str, job: impl FnOnce() + Send + 'static) -> io::Result<()> {
    let running = RunningJob::start(name);
    let mut job: Job = Box::new(move || {
        let _running = running;
        job();
    });
    while let Some(idle) = lock(&IDLE).pop() {
        match idle.try_send(job) {
            Ok(()) => return Ok(()),
            Err(not_sent) => job = not_sent.into_inner(),
        }
    }
    thread::Builder::new()
        .name(name.into())
        .stack_size(STACK_BYTES)
        .spawn(move || run_jobs(job))
        .map(drop)
}

/// Runs this job, and then further ones until none arrives for [`IDLE_TIMEOUT`].
fn run_jobs(first: Job) {
    let (sender, receiver) = bounded(1);
    let mut job = first;
    loop {
        job();
        lock(&IDLE).push(sender.clone());
        let Some(next) = next_job(&sender, &receiver) else {
            return;
        };
        job = next;
    }
}

fn next_job(sender: &Sender<Job>, receiver: &Receiver<Job>) -> Option<Job> {
    if let Ok(job) = receiver.recv_timeout(IDLE_TIMEOUT) {
        return Some(job);
    }
    let mut idle = lock(&IDLE);
    if let Some(index) = idle.iter().position(|other| other.same_channel(sender)) {
        idle.remove(index);
        return None;
    }
    drop(idle);
    // A thread in `spawn` has taken this one off the list and is about to send it a job.
    receiver.recv().ok()
}

/// Locks a mutex, even if a thread has panicked while it held the lock.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
