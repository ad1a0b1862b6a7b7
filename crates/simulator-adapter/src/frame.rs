//! Framing on the wire. All numbers are big-endian.
//!
//! | part | bytes |
//! | --- | --- |
//! | header of an input frame | number 4, length of the body 4, clock 8 (milliseconds, a float) |
//! | header of a reply | number of the answered frame 4, length of the body 4, record count 4 |
//! | record | code 1, length of its fields 4, fields |
//!
//! A body is a sequence of records without padding. Only the four-byte length field limits its
//! length, so the buffer grows as bytes arrive and is not allocated from the announced length.

use std::io::{self, Read};

use valehatch_config::settings::ms_to_micros;
use valehatch_policy::Time;

use crate::error::{AdapterError, FieldError};
use crate::fields::FieldReader;

const HEADER_BYTES: usize = 16;
const REPLY_HEADER_BYTES: usize = 12;
/// Bytes of a record's code and length, which precede its fields.
const RECORD_HEADER_BYTES: usize = 5;

/// An input frame: the records of events up to the frame's clock.
pub(crate) struct Frame {
    /// Number that the simulator gave to the frame.
    pub(crate) number: u32,
    /// Simulator clock at which the frame's events are applied.
    pub(crate) now: Time,
    /// Encoded records.
    pub(crate) body: Vec<u8>,
}

impl Frame {
    /// Reads the frame after `previous_frame`; `None` if the input ends before its first byte.
    ///
    /// # Errors
    /// The input cannot be read or ends inside the frame, or the clock is not a finite number.
    pub(crate) fn read(
        input: &mut impl Read,
        previous_frame: Option<u32>,
    ) -> Result<Option<Self>, AdapterError> {
        let Some(bytes) = read_header(input, previous_frame)? else {
            return Ok(None);
        };
        let header = FrameHeader::parse(&bytes)?;
        let body = read_body(input, &header)?;
        Ok(Some(Self {
            number: header.number,
            now: header.now,
            body,
        }))
    }

    /// Iterates over the records. The first record that exceeds the body yields an error and ends
    /// the iteration.
    pub(crate) fn records(&self) -> impl Iterator<Item = Result<Record<'_>, AdapterError>> {
        let mut offset = 0;
        std::iter::from_fn(move || {
            if offset >= self.body.len() {
                return None;
            }
            let record = Record::parse(&self.body, offset);
            offset = match &record {
                Ok(record) => offset + RECORD_HEADER_BYTES + record.fields.len(),
                Err(_) => self.body.len(),
            };
            Some(record.map_err(|error| error.in_frame(self.number)))
        })
    }
}

/// Header of an input frame.
struct FrameHeader {
    number: u32,
    /// Length of the body in bytes.
    length: u32,
    now: Time,
}

impl FrameHeader {
    fn parse(bytes: &[u8; HEADER_BYTES]) -> Result<Self, AdapterError> {
        let [n0, n1, n2, n3, l0, l1, l2, l3, clock @ ..] = *bytes;
        let number = u32::from_be_bytes([n0, n1, n2, n3]);
        let length = u32::from_be_bytes([l0, l1, l2, l3]);
        let clock_ms = f64::from_be_bytes(clock);
        if !clock_ms.is_finite() {
            return Err(AdapterError::ClockNotFinite {
                frame: number,
                clock_ms,
            });
        }
        Ok(Self {
            number,
            length,
            now: Time(ms_to_micros(clock_ms)),
        })
    }
}

/// Reads a header; `None` if the input ends before its first byte.
fn read_header(
    input: &mut impl Read,
    previous_frame: Option<u32>,
) -> Result<Option<[u8; HEADER_BYTES]>, AdapterError> {
    let mut header = [0; HEADER_BYTES];
    let mut received = 0;
    while received < HEADER_BYTES {
        match input.read(&mut header[received..]) {
            Ok(0) if received == 0 => return Ok(None),
            Ok(0) => {
                return Err(AdapterError::HeaderTruncated {
                    previous_frame,
                    received,
                    length: HEADER_BYTES,
                });
            }
            Ok(count) => received += count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(source) => {
                return Err(AdapterError::HeaderUnreadable {
                    previous_frame,
                    source,
                });
            }
        }
    }
    Ok(Some(header))
}

/// Reads a body of the length that `header` announces.
fn read_body(input: &mut impl Read, header: &FrameHeader) -> Result<Vec<u8>, AdapterError> {
    let mut body = Vec::new();
    let received = input
        .by_ref()
        .take(u64::from(header.length))
        .read_to_end(&mut body)
        .map_err(AdapterError::BodyUnreadable)?;
    if received < header.length as usize {
        return Err(AdapterError::BodyTruncated {
            frame: header.number,
            received,
            length: header.length,
        });
    }
    Ok(body)
}

/// A record of an input frame.
pub(crate) struct Record<'a> {
    /// Offset of the record in the body, in bytes.
    pub(crate) offset: usize,
    /// Record code; selects the layout of the fields.
    pub(crate) code: u8,
    /// Encoded fields.
    pub(crate) fields: &'a [u8],
}

/// Error for a record that exceeds its frame's body.
struct TruncatedRecord {
    /// Offset of the record in the body, in bytes.
    offset: usize,
    /// The code, length or fields, whichever is cut off.
    source: FieldError,
}

impl TruncatedRecord {
    /// Converts the error to an [`AdapterError`] for the frame with this number.
    const fn in_frame(self, frame: u32) -> AdapterError {
        AdapterError::RecordTruncated {
            frame,
            offset: self.offset,
            source: self.source,
        }
    }
}

impl<'a> Record<'a> {
    /// Parses the record at `offset` of `body`.
    fn parse(body: &'a [u8], offset: usize) -> Result<Self, TruncatedRecord> {
        let truncated = |source| TruncatedRecord { offset, source };
        let mut reader = FieldReader::new(&body[offset..]);
        let code = reader.u8("a record's code").map_err(truncated)?;
        let length = reader.u32("a record's length").map_err(truncated)?;
        let fields = reader
            .bytes(length as usize, "a record's fields")
            .map_err(truncated)?;
        Ok(Self {
            offset,
            code,
            fields,
        })
    }
}

/// A reply under construction.
pub(crate) struct Reply {
    /// Number of the frame that this reply answers.
    number: u32,
    /// Number of records in `body`.
    record_count: u32,
    /// Encoded records.
    body: Vec<u8>,
}

impl Reply {
    /// Creates an empty reply to the frame with this number.
    pub(crate) const fn new(number: u32) -> Self {
        Self {
            number,
            record_count: 0,
            body: Vec::new(),
        }
    }

    /// Appends a record whose fields are the concatenation of `fields`.
    pub(crate) fn push(&mut self, code: u8, fields: &[&[u8]]) {
        let length: usize = fields.iter().map(|field| field.len()).sum();
        self.body.push(code);
        self.body.extend_from_slice(&length_field(length));
        for field in fields {
            self.body.extend_from_slice(field);
        }
        self.record_count += 1;
    }

    /// Returns the encoded reply, header included.
    pub(crate) fn into_bytes(self) -> Vec<u8> {
        let mut frame = Vec::with_capacity(REPLY_HEADER_BYTES + self.body.len());
        frame.extend_from_slice(&self.number.to_be_bytes());
        frame.extend_from_slice(&length_field(self.body.len()));
        frame.extend_from_slice(&self.record_count.to_be_bytes());
        frame.extend_from_slice(&self.body);
        frame
    }
}

/// Encodes a length as a four-byte field; a greater length is written as `u32::MAX`.
fn length_field(length: usize) -> [u8; 4] {
    u32::try_from(length).unwrap_or(u32::MAX).to_be_bytes()
}
