//! The process's signals: SIGTERM and SIGINT request a planned shutdown, SIGHUP a reload of the
//! configuration.
//!
//! One thread waits for the signals.

use std::io;

use crossbeam_channel::Sender;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use valehatch_core::Event;

use crate::spawn;

/// Catches the signals: they no longer end the program, and are queued for [`watch`].
///
/// # Errors
/// Returns an error if the handlers cannot be installed.
pub fn catch() -> io::Result<Signals> {
    Signals::new([SIGTERM, SIGINT, SIGHUP])
}

/// Starts the signal thread. On SIGTERM and SIGINT, it calls `on_shutdown` and then notifies the
/// cores; on SIGHUP, it calls `on_reload`. Each signal repeats the calls.
///
/// # Errors
/// Returns an error if the thread cannot be started.
pub fn watch(
    mut signals: Signals,
    cores: Vec<Sender<Event>>,
    on_reload: impl Fn() + Send + 'static,
    on_shutdown: impl Fn() + Send + 'static,
) -> io::Result<()> {
    spawn("signals", move || {
        for signal in signals.forever() {
            if signal == SIGHUP {
                on_reload();
                continue;
            }
            tracing::info!("planned shutdown requested");
            on_shutdown();
            for core in &cores {
                // A core that has ended accepts no more events.
                let _ = core.send(Event::ShutdownRequested);
            }
        }
    })
}
