//! Input that is read before it can be handled.
//!
//! The end of a client's input stands behind the bytes that it has sent before. While its requests
//! cannot be handled, their bytes are kept here, so that the end is reached. Memory is reserved before
//! the bytes are read. State: the received chunks, in order.

use std::collections::VecDeque;
use std::io;

use valehatch_memory_budget::{MemoryUse, Reservation};

use super::super::connection::{ClientConnection, Received};

/// Size of a chunk in bytes.
const CHUNK_BYTES: usize = 4 * 1024;

/// Received bytes with the memory that is reserved for them.
struct Chunk {
    bytes: Vec<u8>,
    /// Bytes at the beginning that were taken.
    taken: usize,
    _memory: Reservation,
}

impl Chunk {
    fn unread(&self) -> &[u8] {
        &self.bytes[self.taken..]
    }
}

/// Result of reading ahead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadAheadOutcome {
    /// This number of bytes was read.
    Bytes(usize),
    /// All input that has arrived is read, and its end is not among it.
    CaughtUp,
    /// The end of the input is reached: the client has closed its side.
    Closed,
    /// No memory is left for further bytes.
    OutOfMemory,
}

/// Received bytes that cannot be handled yet.
#[derive(Default)]
pub(super) struct ReadAhead {
    chunks: VecDeque<Chunk>,
}

impl ReadAhead {
    /// Number of received bytes.
    pub(super) fn len(&self) -> usize {
        self.chunks.iter().map(|chunk| chunk.unread().len()).sum()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }

    /// Drops all received bytes.
    pub(super) fn clear(&mut self) {
        self.chunks.clear();
    }

    /// Reads bytes that have arrived; does not wait for any.
    ///
    /// # Errors
    /// As [`ClientConnection::receive`].
    pub(super) fn receive(
        &mut self,
        connection: &ClientConnection,
    ) -> io::Result<ReadAheadOutcome> {
        let mut buffer = [0; CHUNK_BYTES];
        let Some(chunk) = self.chunk_with_room(connection) else {
            return Ok(ReadAheadOutcome::OutOfMemory);
        };
        let room = CHUNK_BYTES - chunk.bytes.len();
        let outcome = match connection.receive(&mut buffer[..room]) {
            Ok(Received::Bytes(count)) => {
                chunk.bytes.extend_from_slice(&buffer[..count]);
                Ok(ReadAheadOutcome::Bytes(count))
            }
            Ok(Received::Pending) => Ok(ReadAheadOutcome::CaughtUp),
            Ok(Received::Closed) => Ok(ReadAheadOutcome::Closed),
            Err(error) => Err(error),
        };
        self.chunks.pop_back_if(|chunk| chunk.bytes.is_empty());
        outcome
    }

    /// The last chunk, or a new one if the last is full. `None` if there is no memory for a new one.
    fn chunk_with_room(&mut self, connection: &ClientConnection) -> Option<&mut Chunk> {
        let is_full = |chunk: &Chunk| chunk.bytes.len() == CHUNK_BYTES;
        if self.chunks.back().is_none_or(is_full) {
            let reserved = connection
                .memory
                .try_reserve(MemoryUse::ReadAhead, CHUNK_BYTES)?;
            self.chunks.push_back(Chunk {
                bytes: Vec::with_capacity(CHUNK_BYTES),
                taken: 0,
                _memory: reserved,
            });
        }
        self.chunks.back_mut()
    }

    /// Moves the first bytes to `into`, as many as it holds at most; returns their number.
    pub(super) fn take(&mut self, into: &mut [u8]) -> usize {
        let Some(first) = self.chunks.front_mut() else {
            return 0;
        };
        let count = into.len().min(first.unread().len());
        into[..count].copy_from_slice(&first.unread()[..count]);
        first.taken += count;
        if first.unread().is_empty() {
            self.chunks.pop_front();
        }
        count
    }
}
