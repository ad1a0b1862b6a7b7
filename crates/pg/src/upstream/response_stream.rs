//! A connection while a response is read from it, with the timeouts of a response.

use std::io::{self, Read};
use std::net::TcpStream;
use std::time::Duration;

/// How long a response that has begun may stall: soon enough for another attempt in its place.
const STALL_TIMEOUT: Duration = Duration::from_millis(400);
/// The same for a streamed response, which no attempt can replace; some endpoints take seconds for
/// a chunk.
const STREAMING_STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Where the response stands.
enum ReadState {
    /// Nothing was received. The core bounds this time, not the socket.
    AwaitingFirstByte,
    /// The first bytes were received.
    Begun,
    /// The socket has a read timeout.
    Timed,
}

/// Reads a response. Before its first byte there is no timeout; after it, every read has one.
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

    /// Lets the rest of the response come slowly.
    pub(super) fn allow_slow_streaming(&mut self) -> io::Result<()> {
        self.state = ReadState::Timed;
        self.stream.set_read_timeout(Some(STREAMING_STALL_TIMEOUT))
    }

    /// Leaves the connection without a timeout, for the next request.
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
