//! The platform's signals: SIGTERM and SIGINT ask for a planned stop, SIGHUP for a look at the configuration.

use crossbeam_channel::Sender;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use valehatch_core::Event;

/// From here on no signal ends the program; what comes before `watch` is kept for it.
pub fn catch() -> std::io::Result<Signals> {
    Signals::new([SIGTERM, SIGINT, SIGHUP])
}

/// Tells the core of a planned stop, and others by `leave`; `reload` reads the configuration again, as often as that is
/// asked for.
pub fn watch(
    mut signals: Signals,
    events: Vec<Sender<Event>>,
    reload: impl Fn() + Send + 'static,
    leave: impl Fn() + Send + 'static,
) -> std::io::Result<()> {
    super::spawn("signals", move || {
        for signal in signals.forever() {
            if signal == SIGHUP {
                reload();
                continue;
            }
            tracing::info!("a planned stop was asked for");
            leave();
            // A core that has ended already takes no more events.
            events
                .iter()
                .for_each(|to| drop(to.send(Event::ShutdownRequested)));
        }
    })
}
