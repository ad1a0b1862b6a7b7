//! The loop: drain what came in, read the clock once, take a turn, carry out what it asks for.

use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crossbeam_channel::{Receiver, RecvTimeoutError};
use valehatch_policy::{Span, Time};

use valehatch_core::cluster_clock::{ClusterClock, Told};
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
    /// Shared by all copies, and kept for as long as the process lives.
    cluster: &'static Mutex<ClusterClock>,
}

impl Clock {
    /// Reads the system's time, the only time that this is done: from then on endpoints correct it.
    #[allow(clippy::cast_possible_truncation)]
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as i64);
        let cluster = Box::leak(Box::new(Mutex::new(ClusterClock::new(unix - START))));
        Self { began: Instant::now(), cluster }
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

    /// A time on this clock as Unix time in microseconds.
    pub fn unix(&self, at: Time) -> i64 {
        at.0.saturating_add(lock(self.cluster).offset())
    }

    /// Whether primaries have confirmed or corrected the wall clock.
    pub fn is_verified(&self) -> bool {
        lock(self.cluster).is_verified()
    }

    /// Takes in a Unix time in microseconds that an endpoint told between these times; what was placed before lies so much
    /// later (earlier if negative) if that corrects the clock.
    pub fn observe(&self, unix: i64, asked: Time, came: Time, told: Told) -> Option<Span> {
        let grew = lock(self.cluster).observe(unix, asked, came, told)?;
        Some(Span(-grew))
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
        let wait = state.next_due().map_or(i64::MAX, |at| (at - now).0).clamp(0, 1_000_000) as u64;
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
