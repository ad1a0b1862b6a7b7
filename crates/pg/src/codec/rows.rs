//! RowDescription and DataRow of results that have one column.

/// Bytes of a DataRow before the value of its only column: the count of columns and the value's
/// length.
pub(crate) const ROW_HEADER_BYTES: usize = 6;
/// The count of columns, as it is encoded.
const ONE_COLUMN: [u8; 2] = [0, 1];
/// Bytes of a column's description after its name.
const COLUMN_ATTRIBUTES_BYTES: usize = 18;

/// The start of a DataRow whose only column's value has `length` bytes.
pub(crate) fn row_header(length: usize) -> [u8; ROW_HEADER_BYTES] {
    let mut header = [0, 1, 0, 0, 0, 0];
    header[2..].copy_from_slice(&(length as u32).to_be_bytes());
    header
}

/// Whether a RowDescription describes one column.
pub(crate) fn describes_one_column(body: &[u8]) -> bool {
    let Some(column) = body.strip_prefix(&ONE_COLUMN) else {
        return false;
    };
    let Some(name_length) = column.len().checked_sub(COLUMN_ATTRIBUTES_BYTES) else {
        return false;
    };
    // The name ends with the only zero byte in it.
    let name = &column[..name_length];
    name.iter().position(|byte| *byte == 0) == name_length.checked_sub(1)
}

/// The value of a DataRow's only column; `None` if there are more columns or it is null.
pub(crate) fn only_column(body: &[u8]) -> Option<&[u8]> {
    let (count, column) = body.split_first_chunk::<2>()?;
    let (length, value) = column.split_first_chunk::<4>()?;
    let length = u32::from_be_bytes(*length) as usize;
    (*count == ONE_COLUMN && length == value.len()).then_some(value)
}
