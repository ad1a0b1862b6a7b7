//! RowDescription and DataRow of results with exactly one column.

/// Bytes of a one-column DataRow before the value: the column count and the value's length.
pub(crate) const ROW_HEADER_BYTES: usize = 6;
/// Encoded column count of 1.
const ONE_COLUMN: [u8; 2] = [0, 1];
/// Bytes of a column's description after the name.
const COLUMN_ATTRIBUTES_BYTES: usize = 18;

/// Encodes the start of a DataRow with one column, whose value has `length` bytes.
pub(crate) fn row_header(length: usize) -> [u8; ROW_HEADER_BYTES] {
    let mut header = [0, 1, 0, 0, 0, 0];
    header[2..].copy_from_slice(&(length as u32).to_be_bytes());
    header
}

/// Whether a RowDescription describes exactly one column.
pub(crate) fn describes_one_column(body: &[u8]) -> bool {
    let Some(column) = body.strip_prefix(&ONE_COLUMN) else {
        return false;
    };
    let Some(name_length) = column.len().checked_sub(COLUMN_ATTRIBUTES_BYTES) else {
        return false;
    };
    // The name must be zero-terminated and contain no other zero byte.
    let name = &column[..name_length];
    name.iter().position(|byte| *byte == 0) == name_length.checked_sub(1)
}

/// Returns the value of a DataRow's only column; `None` if the row has not exactly one column or
/// the value is null.
pub(crate) fn only_column(body: &[u8]) -> Option<&[u8]> {
    let (count, column) = body.split_first_chunk::<2>()?;
    let (length, value) = column.split_first_chunk::<4>()?;
    let length = u32::from_be_bytes(*length) as usize;
    (*count == ONE_COLUMN && length == value.len()).then_some(value)
}
