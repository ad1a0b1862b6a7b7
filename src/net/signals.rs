//! The platform's signals: SIGTERM and SIGINT ask for a planned stop.

use crossbeam_channel::Sender;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::core::Event;

/// Tells the core of a planned stop.
pub fn watch(events: Sender<Event>) -> std::io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    super::spawn("signals", move || {
        for _ in signals.forever() {
            crate::log!("a planned stop was asked for");
            if events.send(Event::Terminate).is_err() {
                return;
            }
        }
    })
}
