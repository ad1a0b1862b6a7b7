//! Reads the fields of a header or record, big-endian, one after another.

use crate::error::FieldError;

/// The bytes that have not been read yet. A field's name is its name on the wire, for errors.
pub(crate) struct FieldReader<'a> {
    left: &'a [u8],
}

impl<'a> FieldReader<'a> {
    /// A reader at the start of `bytes`.
    pub(crate) const fn new(bytes: &'a [u8]) -> Self {
        Self { left: bytes }
    }

    /// How many bytes are left.
    pub(crate) const fn left(&self) -> usize {
        self.left.len()
    }

    /// The next `length` bytes.
    ///
    /// # Errors
    /// Fewer are left.
    pub(crate) const fn bytes(
        &mut self,
        length: usize,
        field: &'static str,
    ) -> Result<&'a [u8], FieldError> {
        let Some((head, tail)) = self.left.split_at_checked(length) else {
            return Err(FieldError::Truncated {
                field,
                needed: length,
                left: self.left.len(),
            });
        };
        self.left = tail;
        Ok(head)
    }

    /// The next `N` bytes, as an array.
    fn array<const N: usize>(&mut self, field: &'static str) -> Result<[u8; N], FieldError> {
        let mut array = [0; N];
        array.copy_from_slice(self.bytes(N, field)?);
        Ok(array)
    }

    /// An unsigned integer of one byte.
    ///
    /// # Errors
    /// The bytes end inside it; so for the other integers.
    pub(crate) fn u8(&mut self, field: &'static str) -> Result<u8, FieldError> {
        self.array(field).map(u8::from_be_bytes)
    }

    /// An unsigned integer of two bytes.
    pub(crate) fn u16(&mut self, field: &'static str) -> Result<u16, FieldError> {
        self.array(field).map(u16::from_be_bytes)
    }

    /// An unsigned integer of four bytes.
    pub(crate) fn u32(&mut self, field: &'static str) -> Result<u32, FieldError> {
        self.array(field).map(u32::from_be_bytes)
    }

    /// An unsigned integer of eight bytes.
    pub(crate) fn u64(&mut self, field: &'static str) -> Result<u64, FieldError> {
        self.array(field).map(u64::from_be_bytes)
    }

    /// A finite number of four bytes.
    ///
    /// # Errors
    /// The bytes end inside it, or it is infinite or NaN.
    pub(crate) fn f32(&mut self, field: &'static str) -> Result<f64, FieldError> {
        let value = self.array(field).map(f32::from_be_bytes)?;
        finite(value.into(), field)
    }

    /// A finite number of eight bytes.
    ///
    /// # Errors
    /// The bytes end inside it, or it is infinite or NaN.
    pub(crate) fn f64(&mut self, field: &'static str) -> Result<f64, FieldError> {
        let value = self.array(field).map(f64::from_be_bytes)?;
        finite(value, field)
    }
}

/// The value, if it is neither infinite nor NaN.
const fn finite(value: f64, field: &'static str) -> Result<f64, FieldError> {
    if value.is_finite() {
        Ok(value)
    } else {
        Err(FieldError::NotFinite { field, value })
    }
}
