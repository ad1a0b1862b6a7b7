//! The snapshot's file. It is written under another name, made durable and renamed: a reader finds
//! a complete one or none.

use std::fs::{self, File};
use std::io::{self, ErrorKind, Read, Write};
use std::path::Path;

/// The file's name in the state directory.
pub const NAME: &str = "snapshot";
/// Its name while it is written.
const NEW_NAME: &str = "snapshot.new";

/// Replaces the snapshot.
///
/// # Errors
/// The error of the file system; the last snapshot is then still there.
pub fn write(directory: &Path, bytes: &[u8]) -> io::Result<()> {
    replace(directory, NEW_NAME, NAME, bytes)
}

/// Replaces a file of the directory by way of a temporary name.
///
/// # Errors
/// The error of the file system; the file is then unchanged.
pub fn replace(directory: &Path, temporary: &str, name: &str, bytes: &[u8]) -> io::Result<()> {
    let mut file = File::create(directory.join(temporary))?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(directory.join(temporary), directory.join(name))?;
    File::open(directory)?.sync_all()
}

/// Reads the last snapshot; `None` if there is none. At most `max_bytes` and one byte are read, so
/// that the caller sees that a file is too long.
///
/// # Errors
/// The error of the file system.
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
