//! Reads a response from a connection and applies the timeouts of responses.

use std::io::{self, Read};
use std::net::TcpStream;
use std::time::Duration;

/// Maximum stall of a response that has begun; short enough to leave time for another attempt.
const STALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum stall of a streamed response, which another attempt cannot replace. Some endpoints take
/// seconds for a chunk.
const STREAMING_STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Progress of a response, which decides its read timeout.
enum ReadState {
    /// Nothing has been received. This wait is bounded by the core, not by a socket timeout.
    AwaitingFirstByte,
    /// The first bytes have been received; the next read sets a timeout.
    Begun,
    /// The socket has a read timeout.
    Timed,
}

/// Reads a response. The first read has no timeout; every later read has one.
pub(super) struct ResponseStream<'a> {
    stream: &'a TcpStream,
    state: ReadState,
}

impl<'a> ResponseStream<'a> {
    pub(super) const fn new(stream: &'a TcpStream) -> Self {
        Self {
            stream,
            state: ReadState::AwaitingFirstByte,
        }
    }

    /// Applies the longer timeout of streamed responses to the rest of the response.
    pub(super) fn allow_slow_streaming(&mut self) -> io::Result<()> {
        self.state = ReadState::Timed;
        self.stream.set_read_timeout(Some(STREAMING_STALL_TIMEOUT))
    }

    /// Removes the read timeout, so that the connection can be used for the next request.
    pub(super) fn clear_timeout(&self) -> io::Result<()> {
        match self.state {
            ReadState::AwaitingFirstByte | ReadState::Begun => Ok(()),
            ReadState::Timed => self.stream.set_read_timeout(None),
        }
    }
}

impl Read for ResponseStream<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if matches!(self.state, ReadState::Begun) {
            self.stream.set_read_timeout(Some(STALL_TIMEOUT))?;
            self.state = ReadState::Timed;
        }
        let mut stream = self.stream;
        let received = stream.read(buffer)?;
        if matches!(self.state, ReadState::AwaitingFirstByte) {
            self.state = ReadState::Begun;
        }
        Ok(received)
    }
}
