//! Forwards rows that are too long to be buffered to the client as they are received.

use std::fmt;
use std::io::{self, BufReader, ErrorKind, Read};
use std::sync::Arc;

use valehatch_net::clients::ResponseBody;
use valehatch_net::upstream::BodyOpener;
use valehatch_policy::Outcome;

use super::response_stream::ResponseStream;
use crate::codec::framing::header;
use crate::codec::message_types::backend;
use crate::codec::rows::{ROW_HEADER_BYTES, row_header};

/// Maximum size in bytes of a buffered value; longer values are streamed.
pub(super) const MAX_BUFFERED_VALUE_BYTES: usize = 64 * 1024;

/// Reasons why a row was not streamed completely.
#[derive(Debug)]
pub(super) enum StreamedRowError {
    /// The endpoint's connection failed or stalled.
    Connection(io::Error),
    /// The row does not consist of exactly one non-null column.
    NotOneColumn,
    /// The client has disconnected.
    ClientDisconnected,
}

impl StreamedRowError {
    pub(super) const fn outcome(&self) -> Outcome {
        match self {
            Self::Connection(_) => Outcome::Reset,
            Self::NotOneColumn => Outcome::Error,
            Self::ClientDisconnected => Outcome::Cancelled,
        }
    }
}

impl fmt::Display for StreamedRowError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connection(error) => write!(f, "connection failed: {error}"),
            Self::NotOneColumn => f.write_str("row does not have exactly one non-null column"),
            Self::ClientDisconnected => f.write_str("client disconnected"),
        }
    }
}

impl std::error::Error for StreamedRowError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Connection(error) => Some(error),
            Self::NotOneColumn | Self::ClientDisconnected => None,
        }
    }
}

/// Whether the body of a DataRow is too long to be buffered.
pub(super) const fn is_streamed(body_length: usize) -> bool {
    body_length > MAX_BUFFERED_VALUE_BYTES + ROW_HEADER_BYTES
}

/// Forwards a DataRow's body of `body_length` bytes after the messages in `preceding`. The row's
/// header is checked before anything is forwarded. After an error, the client's connection is
/// closed in the middle of the row, so that the client cannot take a partial row for a complete
/// one.
pub(super) fn stream_row(
    reader: &mut BufReader<ResponseStream>,
    preceding: &[u8],
    body_length: usize,
    open_body: BodyOpener,
) -> Result<Arc<ResponseBody>, StreamedRowError> {
    let mut start = [0; ROW_HEADER_BYTES];
    reader
        .read_exact(&mut start)
        .map_err(StreamedRowError::Connection)?;
    let value_length = body_length - ROW_HEADER_BYTES;
    if start != row_header(value_length) {
        return Err(StreamedRowError::NotOneColumn);
    }
    let response = open_body().ok_or(StreamedRowError::ClientDisconnected)?;
    let message_header = header(backend::DATA_ROW, body_length);
    response
        .begin(&[preceding, &message_header, &start].concat())
        .map_err(|_| StreamedRowError::ClientDisconnected)?;
    reader
        .get_mut()
        .allow_slow_streaming()
        .map_err(StreamedRowError::Connection)?;
    forward_value(reader, value_length, &response)?;
    Ok(response)
}

fn forward_value(
    reader: &mut BufReader<ResponseStream>,
    value_length: usize,
    response: &ResponseBody,
) -> Result<(), StreamedRowError> {
    let mut chunk = vec![0; response.chunk_bytes()];
    let mut remaining = value_length;
    while remaining > 0 {
        let read_length = remaining.min(chunk.len());
        let received = match reader.read(&mut chunk[..read_length]) {
            Ok(0) => {
                return Err(StreamedRowError::Connection(
                    ErrorKind::UnexpectedEof.into(),
                ));
            }
            Ok(received) => received,
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            Err(error) => return Err(StreamedRowError::Connection(error)),
        };
        response
            .forward(&chunk[..received])
            .map_err(|_| StreamedRowError::ClientDisconnected)?;
        remaining -= received;
    }
    Ok(())
}
