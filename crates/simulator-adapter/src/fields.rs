//! Reader for the big-endian fields of a record.

use crate::error::FieldError;

/// Cursor over the unread bytes of a record. The `field` parameters are names on the wire, used in
/// error messages.
pub(crate) struct FieldReader<'a> {
    unread: &'a [u8],
}

impl<'a> FieldReader<'a> {
    /// Creates a reader at the start of `bytes`.
    pub(crate) const fn new(bytes: &'a [u8]) -> Self {
        Self { unread: bytes }
    }

    /// Number of unread bytes.
    pub(crate) const fn remaining(&self) -> usize {
        self.unread.len()
    }

    /// Reads the next `length` bytes.
    ///
    /// # Errors
    /// Fewer than `length` bytes are left.
    pub(crate) const fn bytes(
        &mut self,
        length: usize,
        field: &'static str,
    ) -> Result<&'a [u8], FieldError> {
        let Some((head, tail)) = self.unread.split_at_checked(length) else {
            return Err(FieldError::Truncated {
                field,
                needed: length,
                left: self.unread.len(),
            });
        };
        self.unread = tail;
        Ok(head)
    }

    /// Reads the next `N` bytes as an array.
    fn array<const N: usize>(&mut self, field: &'static str) -> Result<[u8; N], FieldError> {
        let mut array = [0; N];
        array.copy_from_slice(self.bytes(N, field)?);
        Ok(array)
    }

    /// Reads an unsigned one-byte integer.
    ///
    /// # Errors
    /// Fewer bytes are left than the integer has. The same holds for the wider integers below.
    pub(crate) fn u8(&mut self, field: &'static str) -> Result<u8, FieldError> {
        self.array(field).map(u8::from_be_bytes)
    }

    /// Reads an unsigned two-byte integer.
    pub(crate) fn u16(&mut self, field: &'static str) -> Result<u16, FieldError> {
        self.array(field).map(u16::from_be_bytes)
    }

    /// Reads an unsigned four-byte integer.
    pub(crate) fn u32(&mut self, field: &'static str) -> Result<u32, FieldError> {
        self.array(field).map(u32::from_be_bytes)
    }

    /// Reads an unsigned eight-byte integer.
    pub(crate) fn u64(&mut self, field: &'static str) -> Result<u64, FieldError> {
        self.array(field).map(u64::from_be_bytes)
    }

    /// Reads a finite four-byte float.
    ///
    /// # Errors
    /// Fewer bytes are left than the float has, or the value is infinite or NaN.
    pub(crate) fn f32(&mut self, field: &'static str) -> Result<f64, FieldError> {
        let value = self.array(field).map(f32::from_be_bytes)?;
        finite(value.into(), field)
    }

    /// Reads a finite eight-byte float.
    ///
    /// # Errors
    /// Fewer bytes are left than the float has, or the value is infinite or NaN.
    pub(crate) fn f64(&mut self, field: &'static str) -> Result<f64, FieldError> {
        let value = self.array(field).map(f64::from_be_bytes)?;
        finite(value, field)
    }
}

/// Returns `value` unless it is infinite or NaN.
const fn finite(value: f64, field: &'static str) -> Result<f64, FieldError> {
    if value.is_finite() {
        Ok(value)
    } else {
        Err(FieldError::NotFinite { field, value })
    }
}
