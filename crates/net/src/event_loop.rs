//! The loop: drain what came in, read the clock once, take a turn, carry out what it asks for.

use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crossbeam_channel::{Receiver, RecvTimeoutError};
use valehatch_policy::Time;

use valehatch_core::cluster_clock::ClusterClock;
use valehatch_core::{Effect, Event, State};

use crate::lock;

/// Events that one turn takes at the most.
const BATCH: usize = 512;
/// The monotonic clock starts here, so that times some way back are still above zero.
const START: i64 = 100_000_000_000;

/// The monotonic clock in microseconds, and where the cluster's Unix clock stands on it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    began: Instant,
    /// What the wall clock said the offset was at the start; it never changes.
    wall_offset: i64,
    /// Shared by all copies, and kept for as long as the process lives.
    cluster: &'static Mutex<ClusterClock>,
}

impl Clock {
    /// Reads the system's time, the only time that this is done: from then on endpoints correct it.
    #[allow(clippy::cast_possible_truncation)]
    pub fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_micros() as i64);
        let wall_offset = unix - START;
        let cluster = Box::leak(Box::new(Mutex::new(ClusterClock::new(wall_offset))));
        Self {
            began: Instant::now(),
            wall_offset,
            cluster,
        }
    }

    /// Now.
    #[allow(clippy::cast_possible_truncation)]
    pub fn now(&self) -> Time {
        Time(START + self.began.elapsed().as_micros() as i64)
    }

    /// A Unix time in microseconds on this clock.
    pub fn place(&self, unix: i64) -> Time {
        Time(unix.saturating_sub(lock(self.cluster).offset()))
    }

    /// A Unix time in microseconds as the wall clock at the start would place it: for times that are on their way to who
    /// checks them, so that a correction meanwhile does not move them.
    pub const fn by_wall_clock(&self, unix: i64) -> Time {
        Time(unix.saturating_sub(self.wall_offset))
    }

    /// The Unix time in microseconds of a time from [`Clock::by_wall_clock`].
    pub const fn unix_by_wall_clock(&self, at: Time) -> i64 {
        at.0.saturating_add(self.wall_offset)
    }

    /// The cluster's clock; corrections wait for as long as it is held.
    pub fn cluster(&self) -> MutexGuard<'static, ClusterClock> {
        lock(self.cluster)
    }
}

/// Takes turns until `hands` says that the program is to end; it gets `None` when a turn's effects are through.
#[allow(clippy::cast_sign_loss)]
pub fn run(
    state: &mut State,
    clock: Clock,
    events: &Receiver<Event>,
    mut hands: impl FnMut(Option<Effect>) -> bool,
) {
    let mut effects = vec![];
    let mut now = clock.now();
    loop {
        let wait = state
            .next_due()
            .map_or(i64::MAX, |at| (at - now).0)
            .clamp(0, 1_000_000) as u64;
        let mut batch = vec![];
        match events.recv_timeout(Duration::from_micros(wait)) {
            Ok(event) => batch.push(event),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        batch.extend(events.try_iter().take(BATCH));
        now = clock.now();
        state.reduce(now, batch, &mut effects);
        for effect in effects.drain(..) {
            if !hands(Some(effect)) {
                return;
            }
        }
        hands(None);
    }
}
