//! Reads the body of a request in steps, each of which is reserved before it is read: a length field
//! alone claims no memory, and a client that stops half way holds no more than it has sent.

use std::fmt;
use std::io::{self, Read};

use valehatch_memory_budget::{MemoryUse, Reservation};

use super::session::RequestReader;

/// Bytes of a body that are reserved and read at once.
const STEP_BYTES: usize = 16 * 1024;
/// Bytes of a body that are granted in any case: most requests are not longer, and the number of
/// connections bounds them.
const GRANTED_BYTES: usize = 4 * 1024;

/// Reasons why the body of a request was not read to its end.
#[derive(Debug)]
pub enum BodyError {
    /// The connection was closed or failed.
    Io(io::Error),
    /// Incomplete requests hold all memory that they may hold; the rest of the body is unread.
    OutOfMemory {
        /// Number of bytes of the body that are unread.
        unread: usize,
    },
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => error.fmt(f),
            Self::OutOfMemory { .. } => f.write_str("no memory for the request"),
        }
    }
}

impl std::error::Error for BodyError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Io(error) => Some(error),
            Self::OutOfMemory { .. } => None,
        }
    }
}

impl From<io::Error> for BodyError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// The bytes of a request that is not open yet.
pub struct RequestBody {
    /// The bytes that were read.
    pub bytes: Vec<u8>,
    /// Memory reserved for them until [`Session::reserve`](super::Session::reserve) has reserved
    /// memory for the open request.
    pub memory: Reservation,
}

impl RequestReader {
    /// Reads a body of `length` bytes; the caller has checked the length. Blocks until it has
    /// arrived. The result begins with `head`, which was read before.
    ///
    /// # Errors
    /// See [`BodyError`].
    pub fn read_body(&mut self, head: &[u8], length: usize) -> Result<RequestBody, BodyError> {
        let granted = length.min(GRANTED_BYTES);
        let budget = &self.connection().memory;
        let mut memory = budget.reserve(MemoryUse::PartialRequests, head.len() + granted);
        let mut bytes = Vec::with_capacity(head.len() + granted);
        bytes.extend_from_slice(head);
        self.read_step(&mut bytes, granted)?;
        let mut unread = length - granted;
        while unread > 0 {
            let step = unread.min(STEP_BYTES);
            if !memory.try_grow(step) {
                return Err(BodyError::OutOfMemory { unread });
            }
            self.read_step(&mut bytes, step)?;
            unread -= step;
        }
        Ok(RequestBody { bytes, memory })
    }

    fn read_step(&mut self, bytes: &mut Vec<u8>, step: usize) -> io::Result<()> {
        let begin = bytes.len();
        // Not `reserve`, which would double the capacity.
        bytes.reserve_exact(step);
        bytes.resize(begin + step, 0);
        self.read_exact(&mut bytes[begin..])
    }
}
