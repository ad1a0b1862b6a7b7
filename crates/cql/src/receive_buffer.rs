//! Splits what an endpoint sends into frames. A response that is larger than what was reserved when
//! its request was sent must be granted memory before its body is buffered; otherwise its bytes are
//! discarded as they arrive.
//!
//! State: the bytes of incomplete frames, at most [`MAX_BUFFERED_RESPONSE_BYTES`] without a
//! reservation.

use std::sync::Arc;

use valehatch_memory_budget::{MemoryBudget, MemoryUse, Reservation};

use crate::frame::{Direction, Frame, FrameError, FrameHeader, HEADER_LENGTH, MAX_ENDPOINT_BODY};

/// Size of a response in bytes up to which it is buffered without a further reservation.
pub const MAX_BUFFERED_RESPONSE_BYTES: usize = 68 * 1024;
/// Capacity in bytes above which an empty buffer is freed, so that one large response does not hold
/// memory permanently.
const MAX_IDLE_BYTES: usize = 256 * 1024;

/// What was received of one frame.
#[derive(Debug)]
pub(crate) enum ReceivedFrame {
    /// A complete frame, with the memory that was reserved for its size.
    Complete(Frame, Option<Reservation>),
    /// A frame without memory for its body, by its stream id. The body may still be arriving.
    Discarded(i16),
}

/// Received bytes that are not complete frames yet.
#[derive(Debug)]
pub(crate) struct ReceiveBuffer {
    budget: Arc<MemoryBudget>,
    bytes: Vec<u8>,
    /// Reservation for the large frame at the front of `bytes`.
    reserved: Option<Reservation>,
    /// Bytes of a discarded frame that have not arrived yet.
    discardable: usize,
}

impl ReceiveBuffer {
    pub(crate) const fn new(budget: Arc<MemoryBudget>) -> Self {
        Self {
            budget,
            bytes: vec![],
            reserved: None,
            discardable: 0,
        }
    }

    /// Whether no frame is incomplete.
    pub(crate) const fn is_empty(&self) -> bool {
        self.bytes.is_empty() && self.discardable == 0
    }

    /// Adds received bytes.
    pub(crate) fn extend(&mut self, received: &[u8]) {
        let discarded = self.discardable.min(received.len());
        self.discardable -= discarded;
        self.bytes.extend_from_slice(&received[discarded..]);
    }

    /// Takes the first frame; `None` while it is incomplete.
    ///
    /// # Errors
    /// The frame is not a response of version 4, or its body is too long.
    pub(crate) fn next_frame(&mut self) -> Result<Option<ReceivedFrame>, FrameError> {
        let Some(header) = FrameHeader::parse(&self.bytes, Direction::Response, MAX_ENDPOINT_BODY)?
        else {
            return Ok(None);
        };
        let length = HEADER_LENGTH + header.body_length;
        if !self.reserve_frame(length) {
            self.discard_frame(length);
            return Ok(Some(ReceivedFrame::Discarded(header.stream_id())));
        }
        if self.bytes.len() < length {
            return Ok(None);
        }
        let frame = Frame::from_bytes(self.take_front(length));
        Ok(Some(ReceivedFrame::Complete(frame, self.reserved.take())))
    }

    /// Frees the capacity that a large frame has left behind.
    pub(crate) fn free_unused(&mut self) {
        if self.bytes.is_empty() && self.bytes.capacity() > MAX_IDLE_BYTES {
            self.bytes = vec![];
        }
    }

    /// Reserves memory for the frame at the front, if it is large.
    fn reserve_frame(&mut self, length: usize) -> bool {
        if length <= MAX_BUFFERED_RESPONSE_BYTES || self.reserved.is_some() {
            return true;
        }
        self.reserved = self.budget.try_reserve(MemoryUse::LargeResponses, length);
        // A vector that grows by itself would double its capacity.
        let missing = length.saturating_sub(self.bytes.len());
        if self.reserved.is_some() {
            self.bytes.reserve_exact(missing);
        }
        self.reserved.is_some()
    }

    fn discard_frame(&mut self, length: usize) {
        let received = length.min(self.bytes.len());
        self.bytes.drain(..received);
        self.discardable = length - received;
    }

    /// Takes the first bytes; a large frame is not copied.
    fn take_front(&mut self, length: usize) -> Vec<u8> {
        if length > MAX_BUFFERED_RESPONSE_BYTES {
            let rest = self.bytes.split_off(length);
            return std::mem::replace(&mut self.bytes, rest);
        }
        let front = self.bytes[..length].to_vec();
        self.bytes.drain(..length);
        front
    }
}
