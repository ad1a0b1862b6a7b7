//! Values that are too long to be buffered, which the gateway streams.
#![allow(dead_code)]

/// Length in bytes of the longest value that the gateway buffers.
pub(crate) const LONGEST_BUFFERED: usize = 64 * 1024;
pub(crate) const MIB: usize = 1024 * 1024;

/// A value of this length of which no two parts are equal.
pub(crate) fn long_value(length: usize) -> String {
    let all = (0..)
        .flat_map(|n: u64| format!("{:x},", n.wrapping_mul(0x9e37_79b9_7f4a_7c15)).into_bytes());
    all.take(length).map(char::from).collect()
}
