//! Gathers the bytes of a client's next message, without waiting for them.
//!
//! The bytes of a partial message are kept here, and the connection waits for input like an idle
//! one, so a client that is slow to send costs the bytes that it has sent and no thread. Memory for
//! bytes is reserved before they are read. The protocol says where a message ends by a [`Framing`].
//! While the next message cannot be handled, what follows may be read ahead, to reach the client's
//! close. State: the received bytes that belong to no returned message yet, and what is left of a turn.

mod arrival;
mod read_ahead;
mod stalled;

pub(super) use stalled::ReadAheadEnd;

use std::fmt;
use std::io::{self, Write};
use std::sync::Arc;

use valehatch_memory_budget::{MemoryUse, Reservation};

use super::NextInput;
use super::connection::{ClientConnection, LINGER_BYTES, ReceiveStatus, Received, RequestInput};

use arrival::ArrivalTracker;
use read_ahead::ReadAhead;

/// Bytes that are read at once while the length of a message is unknown.
const READ_BYTES: usize = 4 * 1024;
/// Maximum bytes that are read at once; they are read onto the stack.
const MAX_READ_BYTES: usize = 16 * 1024;
/// Bytes that a connection may hold of partial messages in any case: most requests are not longer,
/// and the number of connections bounds them.
const GRANTED_BYTES: usize = 4 * 1024;
/// Messages that are handled in one turn; other connections are served before the next turn.
const TURN_MESSAGES: usize = 64;
/// Bytes that are read in one turn.
const TURN_BYTES: usize = 256 * 1024;

/// Finds the end of the message at the beginning of the received bytes. Returns the length of the
/// whole message in bytes, or `None` while too little of it has been received.
pub type Framing<E> = fn(received: &[u8]) -> Result<Option<usize>, E>;

/// A complete message, as it was received.
pub struct Message {
    /// Header and body.
    pub bytes: Vec<u8>,
    /// Memory reserved for them until [`Session::reserve`](super::Session::reserve) has reserved
    /// memory for the open request.
    pub memory: Reservation,
}

impl fmt::Debug for Message {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a message of {} bytes", self.bytes.len())
    }
}

/// What a client has sent next.
#[derive(Debug)]
pub enum NextMessage<E> {
    /// A complete message.
    Message(Message),
    /// The beginning of a message for whose further bytes there is no memory. The rest is unread.
    OutOfMemory {
        /// The bytes that were received of it.
        received: Vec<u8>,
    },
    /// The received bytes are not the beginning of a message.
    Invalid(E),
    /// The next message has not been received completely.
    Incomplete,
    /// Too many responses are pending: no message is returned until one of them is written.
    Stalled,
    /// This turn is over, and more input is available.
    TurnOver,
    /// The connection is closed: no further message will arrive.
    Closed,
}

/// What can still be handled before other connections are served.
struct Turn {
    messages: usize,
    bytes: usize,
}

impl Turn {
    const FULL: Self = Self {
        messages: TURN_MESSAGES,
        bytes: TURN_BYTES,
    };

    const fn is_over(&self) -> bool {
        self.messages == 0 || self.bytes == 0
    }
}

/// Reads the messages of a client; never blocks.
pub struct RequestReader {
    connection: Arc<ClientConnection>,
    received: Vec<u8>,
    /// Bytes at the beginning of `received` that belong to messages that were returned.
    consumed: usize,
    /// Memory reserved for `received`.
    memory: Reservation,
    /// Bytes behind `received` that were read before they could be handled.
    read_ahead: ReadAhead,
    arrival: ArrivalTracker,
    /// Set if all input that has arrived was read ahead.
    caught_up: bool,
    /// A message that could not be handled yet; it is returned again.
    put_back: Option<Message>,
    /// Bytes of the current message that are to be skipped when they arrive.
    skipped: usize,
    /// Bytes that a lingering close may still discard.
    discardable: usize,
    turn: Turn,
}

impl RequestReader {
    pub(super) fn new(connection: Arc<ClientConnection>) -> Self {
        let memory = connection.memory.reserve(MemoryUse::PartialRequests, 0);
        Self {
            connection,
            received: vec![],
            consumed: 0,
            memory,
            read_ahead: ReadAhead::default(),
            arrival: ArrivalTracker::default(),
            caught_up: false,
            put_back: None,
            skipped: 0,
            discardable: LINGER_BYTES,
            turn: Turn::FULL,
        }
    }

    /// Begins a turn: [`RequestReader::next_message`] returns a limited number of messages until
    /// the next one.
    pub(super) const fn begin_turn(&mut self) {
        self.turn = Turn::FULL;
    }

    /// Returns the next message if it has been received. Messages that a client sent before it
    /// disconnected are still returned, but are not executed.
    ///
    /// # Errors
    /// Returns an error if the connection failed.
    pub fn next_message<E>(&mut self, framing: Framing<E>) -> io::Result<NextMessage<E>> {
        if self.connection.closing_since().is_some() {
            return Ok(match self.discard_received() {
                NextInput::Pending => NextMessage::Incomplete,
                NextInput::Closed => NextMessage::Closed,
            });
        }
        match self.connection.receive_status() {
            ReceiveStatus::PeerClosed => self.connection.state().set_disconnected(),
            ReceiveStatus::Empty if self.received_bytes() == 0 => {
                self.connection.end_input_delay();
                return Ok(NextMessage::Incomplete);
            }
            ReceiveStatus::Empty | ReceiveStatus::Data => {}
        }
        if self.connection.state().is_aborted() {
            return Ok(NextMessage::Closed);
        }
        if self.turn.is_over() {
            return Ok(self.end_turn());
        }
        let is_stalled = !self.connection.may_add_response();
        self.caught_up = false;
        if is_stalled || self.put_back.is_some() {
            match self.read_ahead_if_needed()? {
                ReadAheadEnd::TurnOver => return Ok(self.end_turn()),
                // The next message is to be rejected, in place of a probe.
                ReadAheadEnd::Waits if self.connection.rejects_request() => {}
                ReadAheadEnd::Waits if is_stalled => return Ok(NextMessage::Stalled),
                ReadAheadEnd::Waits => {}
                ReadAheadEnd::Disconnected => self.connection.state().set_disconnected(),
            }
        }
        if let Some(message) = self.put_back.take() {
            return Ok(NextMessage::Message(message));
        }
        self.gather(framing)
    }

    /// Ends a turn. What is left of the input may have arrived by now, and its requests' time runs from
    /// then.
    fn end_turn<E>(&self) -> NextMessage<E> {
        self.connection.delay_input();
        NextMessage::TurnOver
    }

    /// Receives bytes until a message is complete or no more are available.
    fn gather<E>(&mut self, framing: Framing<E>) -> io::Result<NextMessage<E>> {
        loop {
            self.skip_received();
            let received = self.unhandled();
            let length = match self.skipped {
                0 => framing(received),
                skipped => Ok(Some(skipped)),
            };
            let missing = match length {
                Err(error) => return Ok(NextMessage::Invalid(error)),
                Ok(Some(length)) if length <= received.len() => {
                    return Ok(NextMessage::Message(self.take_message(length)));
                }
                Ok(Some(length)) => length - received.len(),
                Ok(None) => 0,
            };
            if self.turn.is_over() {
                return Ok(self.end_turn());
            }
            self.discard_consumed();
            let Some(step) = self.reserve_step(missing) else {
                let received = self.take_unhandled();
                return Ok(NextMessage::OutOfMemory { received });
            };
            match self.receive(step, missing)? {
                Received::Bytes(_) => {}
                Received::Pending => {
                    self.connection.end_input_delay();
                    return Ok(NextMessage::Incomplete);
                }
                Received::Closed => return Ok(NextMessage::Closed),
            }
        }
    }

    /// Reserves memory for the bytes that are read next; returns their number, or `None` if
    /// partial messages hold all memory that they may hold.
    fn reserve_step(&mut self, missing: usize) -> Option<usize> {
        let held = self.received.len();
        let granted = GRANTED_BYTES.saturating_sub(held);
        let step = missing.clamp(READ_BYTES, MAX_READ_BYTES);
        if step <= granted {
            self.memory.grow(step);
            return Some(step);
        }
        if self.memory.try_grow(step) {
            return Some(step);
        }
        if granted > 0 {
            self.memory.grow(granted);
            return Some(granted);
        }
        None
    }

    /// Reads up to `step` bytes. The buffer grows by what has arrived, and by a little more if the
    /// message is known to be longer, so that one that arrives byte by byte is not copied each time.
    fn receive(&mut self, step: usize, missing: usize) -> io::Result<Received> {
        let mut buffer = [0; MAX_READ_BYTES];
        let outcome = match self.read_ahead.take(&mut buffer[..step]) {
            0 => self.receive_from_socket(&mut buffer[..step]),
            count => Ok(Received::Bytes(count)),
        };
        if let Ok(Received::Bytes(count)) = outcome {
            let spare = self.received.capacity() - self.received.len();
            if spare < count {
                let expected = missing.min(READ_BYTES);
                self.received.reserve_exact(count.max(expected));
            }
            self.received.extend_from_slice(&buffer[..count]);
            self.turn.bytes = self.turn.bytes.saturating_sub(count);
        }
        self.memory.resize(self.received.capacity());
        outcome
    }

    fn receive_from_socket(&mut self, into: &mut [u8]) -> io::Result<Received> {
        let outcome = self.connection.receive(into);
        if let Ok(Received::Bytes(count)) = outcome {
            self.arrival.on_read(count);
        }
        outcome
    }

    /// Records that bytes of messages are handled.
    fn on_handled(&mut self, bytes: usize) {
        if let Some(arrived_after) = self.arrival.on_handled(bytes) {
            self.connection.set_input_delayed_since(arrived_after);
        }
    }

    /// Received bytes that belong to no returned message.
    fn unhandled(&self) -> &[u8] {
        &self.received[self.consumed..]
    }

    /// Frees the bytes of messages that were returned; the whole buffer, if there are no others.
    fn discard_consumed(&mut self) {
        if self.consumed == self.received.len() {
            self.take_received();
        }
        self.received.drain(..self.consumed);
        self.consumed = 0;
    }

    /// Takes the next message, of `length` bytes, from the received bytes.
    fn take_message(&mut self, length: usize) -> Message {
        self.turn.messages = self.turn.messages.saturating_sub(1);
        self.on_handled(length);
        let budget = Arc::clone(&self.connection.memory);
        if self.consumed == 0 && length == self.received.len() {
            let empty = budget.reserve(MemoryUse::PartialRequests, 0);
            return Message {
                bytes: std::mem::take(&mut self.received),
                memory: std::mem::replace(&mut self.memory, empty),
            };
        }
        let bytes = self.unhandled()[..length].to_vec();
        self.consumed += length;
        Message {
            memory: budget.reserve(MemoryUse::PartialRequests, bytes.len()),
            bytes,
        }
    }

    /// Takes the beginning of a message for whose rest there is no memory.
    fn take_unhandled(&mut self) -> Vec<u8> {
        let received = self.take_received();
        self.on_handled(received.len());
        received
    }

    /// Empties the buffer and frees its memory.
    fn take_received(&mut self) -> Vec<u8> {
        self.consumed = 0;
        self.memory.resize(0);
        std::mem::take(&mut self.received)
    }

    /// Returns a message that could not be handled yet; [`RequestReader::next_message`] will return
    /// it again.
    pub fn put_back(&mut self, message: Message) {
        self.put_back = Some(message);
    }

    /// Skips the rest of a message of `length` bytes for which there was no memory, of which
    /// `received` bytes have been received.
    pub const fn skip_rest(&mut self, length: usize, received: usize) {
        self.skipped = length.saturating_sub(received);
    }

    fn skip_received(&mut self) {
        let count = self.skipped.min(self.unhandled().len());
        self.consumed += count;
        self.skipped -= count;
        self.on_handled(count);
    }

    /// Reports that the message that was returned last has been handled. Part of the next one may
    /// have been received with it.
    pub fn finish_message(&self) {
        let is_handled = self.unhandled().is_empty() && self.read_ahead.is_empty();
        let input = if is_handled && self.skipped == 0 {
            RequestInput::None
        } else {
            RequestInput::Partial
        };
        self.connection.finish_message(input);
    }

    /// Number of bytes that have been received of messages that are not handled yet.
    pub(super) fn received_bytes(&self) -> usize {
        let put_back = self.put_back.as_ref();
        let put_back = put_back.map_or(0, |message| message.bytes.len());
        put_back + self.unhandled().len() + self.read_ahead.len()
    }

    /// Discards what was received and what arrives, after the closing error. Returns
    /// [`NextInput::Closed`] once the client has closed the connection too or the limit is used up.
    pub(super) fn discard_received(&mut self) -> NextInput {
        self.put_back = None;
        self.take_received();
        self.read_ahead.clear();
        self.connection.discard_received(&mut self.discardable)
    }

    /// Writes directly to the socket, bypassing the write queue. Only allowed before any response
    /// is queued, for a few bytes that fit into the empty send buffer.
    ///
    /// # Errors
    /// Returns an error if the connection failed.
    pub fn write_unqueued(&self, bytes: &[u8]) -> io::Result<()> {
        (&self.connection.stream).write_all(bytes)
    }
}
