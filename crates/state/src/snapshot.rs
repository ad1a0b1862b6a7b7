//! The snapshot file. A snapshot is written under a temporary name, made durable and renamed, so
//! that a reader finds either a complete snapshot or none.

use std::fs::{self, File};
use std::io::{self, ErrorKind, Read, Write};
use std::path::Path;

/// Name of the snapshot file in the state directory.
pub const NAME: &str = "snapshot";
/// Temporary name while a snapshot is written.
const TEMPORARY_NAME: &str = "snapshot.new";

/// Replaces the snapshot file.
///
/// # Errors
/// Returns the file system's error; the previous snapshot is then still in place.
pub fn write(directory: &Path, bytes: &[u8]) -> io::Result<()> {
    replace(directory, TEMPORARY_NAME, NAME, bytes)
}

/// Replaces a file of the directory atomically, by renaming a temporary file.
///
/// # Errors
/// Returns the file system's error; the file is then unchanged.
pub fn replace(directory: &Path, temporary: &str, name: &str, bytes: &[u8]) -> io::Result<()> {
    let mut file = File::create(directory.join(temporary))?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(directory.join(temporary), directory.join(name))?;
    File::open(directory)?.sync_all()
}

/// Reads the snapshot file; `None` if there is none. Reads at most `max_bytes` plus one byte, so
/// that the caller can detect a file that is too long.
///
/// # Errors
/// Returns the file system's error.
pub fn read(directory: &Path, max_bytes: usize) -> io::Result<Option<Vec<u8>>> {
    let file = match File::open(directory.join(NAME)) {
        Err(e) if e.kind() == ErrorKind::NotFound => return Ok(None),
        file => file?,
    };
    let limit = u64::try_from(max_bytes).unwrap_or(u64::MAX);
    let mut bytes = vec![];
    file.take(limit.saturating_add(1)).read_to_end(&mut bytes)?;
    Ok(Some(bytes))
}
