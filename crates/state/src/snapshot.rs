//! The snapshot's file: written aside, made durable, renamed; so there is a whole one or none at any time.

use std::fs::{self, File};
use std::io::{self, ErrorKind, Read, Write};
use std::path::Path;

/// Its name in the folder.
pub const NAME: &str = "snapshot";
const ASIDE: &str = "snapshot.new";

/// Writes one in the place of the last.
///
/// # Errors
/// What the system says; then the last one is still there.
pub fn write(dir: &Path, bytes: &[u8]) -> io::Result<()> {
    replace(dir, ASIDE, NAME, bytes)
}

/// Writes a file of the folder anew, aside first.
///
/// # Errors
/// What the system says; then the file is as it was.
pub fn replace(dir: &Path, aside: &str, name: &str, bytes: &[u8]) -> io::Result<()> {
    let mut file = File::create(dir.join(aside))?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(dir.join(aside), dir.join(name))?;
    File::open(dir)?.sync_all()
}

/// What was written last, `None` if nothing was; no more than `most` bytes and one are read.
///
/// # Errors
/// What the system says.
pub fn read(dir: &Path, most: usize) -> io::Result<Option<Vec<u8>>> {
    let file = match File::open(dir.join(NAME)) {
        Err(e) if e.kind() == ErrorKind::NotFound => return Ok(None),
        file => file?,
    };
    let mut bytes = vec![];
    file.take(u64::try_from(most).unwrap_or(u64::MAX).saturating_add(1))
        .read_to_end(&mut bytes)?;
    Ok(Some(bytes))
}
