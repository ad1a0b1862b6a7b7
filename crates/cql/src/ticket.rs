//! What the answer to a request needs to know of it. The core keeps it as a number.

/// A request, as far as its answer depends on it.
#[derive(Clone, Copy)]
pub(crate) struct Ticket {
    pub(crate) stream_id: i16,
    pub(crate) is_write: bool,
    /// The protocol's number of the consistency level.
    pub(crate) consistency: u16,
}

impl Ticket {
    /// Bits 0 to 15 are the stream id, bit 16 is set for a write, bits 32 to 47 are the
    /// consistency.
    pub(crate) const fn to_bits(self) -> u64 {
        self.stream_id.cast_unsigned() as u64
            | (self.is_write as u64) << 16
            | (self.consistency as u64) << 32
    }

    pub(crate) const fn from_bits(bits: u64) -> Self {
        let [
            stream_low,
            stream_high,
            flags,
            _,
            level_low,
            level_high,
            _,
            _,
        ] = bits.to_le_bytes();
        Self {
            stream_id: i16::from_le_bytes([stream_low, stream_high]),
            is_write: flags & 1 == 1,
            consistency: u16::from_le_bytes([level_low, level_high]),
        }
    }
}
