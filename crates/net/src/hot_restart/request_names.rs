//! Passes the names of sent requests to the other process, without waiting for it: a process that
//! hangs must not hold up this one.
//!
//! State: the names that the other process has not been sent yet, bounded in number.

use std::collections::VecDeque;
use std::io::{self, Write};
use std::os::unix::net::UnixStream;
use std::sync::Arc;

use rustix::io::Errno;
use rustix::net::{SendFlags, send};
use valehatch_hot_restart::messages::{self, HandoffMessage};

/// Maximum number of names that wait; the oldest are dropped.
const MAX_WAITING: usize = 4_096;
/// Maximum bytes of names in one message. The kernel takes a message of this size as a whole or not
/// at all.
const MESSAGE_NAME_BYTES: usize = 2 * 1024;

/// Names that wait until the other process has room for them.
#[derive(Default)]
pub(super) struct NameOutbox(VecDeque<Arc<str>>);

impl NameOutbox {
    pub(super) fn add(&mut self, names: &[Arc<str>]) {
        self.0.extend(names.iter().cloned());
        let surplus = self.0.len().saturating_sub(MAX_WAITING);
        self.0.drain(..surplus);
    }

    /// Sends as many names as the other process has room for.
    ///
    /// # Errors
    /// Returns an error if the connection failed.
    pub(super) fn flush(&mut self, peer: &UnixStream) -> io::Result<()> {
        while !self.0.is_empty() {
            let count = self.next_count();
            let names = self.0.iter().take(count).map(|name| name.to_string());
            let message = messages::encode(&HandoffMessage::RequestNames(names.collect()));
            let flags = SendFlags::DONTWAIT | SendFlags::NOSIGNAL;
            match send(peer, &message, flags) {
                Ok(sent) => (&*peer).write_all(&message[sent..])?,
                Err(Errno::AGAIN | Errno::INTR) => return Ok(()),
                Err(e) => return Err(e.into()),
            }
            self.0.drain(..count);
        }
        Ok(())
    }

    /// Number of names that fit into one message; at least one.
    fn next_count(&self) -> usize {
        let mut bytes = 0;
        let fitting = self.0.iter().take_while(|name| {
            bytes += name.len() + 1;
            bytes <= MESSAGE_NAME_BYTES
        });
        fitting.count().max(1)
    }
}
