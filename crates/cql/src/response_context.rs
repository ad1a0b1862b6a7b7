//! The attributes of a request that its response depends on. The core stores them as an opaque
//! number, the ticket.

/// Attributes of a request that are needed to encode its response.
#[derive(Clone, Copy)]
pub(crate) struct ResponseContext {
    pub(crate) stream_id: i16,
    pub(crate) is_write: bool,
    /// Consistency level, as numbered by the protocol.
    pub(crate) consistency: u16,
}

impl ResponseContext {
    /// Encodes the ticket: bits 0 to 15 are the stream id, bit 16 is set for a write, bits 32 to 47
    /// are the consistency level.
    pub(crate) const fn to_ticket(self) -> u64 {
        self.stream_id.cast_unsigned() as u64
            | (self.is_write as u64) << 16
            | (self.consistency as u64) << 32
    }

    pub(crate) const fn from_ticket(ticket: u64) -> Self {
        let [
            stream_low,
            stream_high,
            flags,
            _,
            level_low,
            level_high,
            _,
            _,
        ] = ticket.to_le_bytes();
        Self {
            stream_id: i16::from_le_bytes([stream_low, stream_high]),
            is_write: flags & 1 == 1,
            consistency: u16::from_le_bytes([level_low, level_high]),
        }
    }
}
