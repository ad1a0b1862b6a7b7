//! The file operations that the request log needs. The gateway implements them over a directory,
//! tests implement them in memory.

use std::io;

/// Files by name in one directory. The effect of a call is durable when the call returns, except
/// for [`LogStorage::rename`] and [`LogStorage::remove`], which [`LogStorage::sync`] makes durable.
pub trait LogStorage: Send {
    /// Lists the names of all files.
    ///
    /// # Errors
    /// The error of the file system.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Reads a file completely.
    ///
    /// # Errors
    /// The error of the file system; [`io::ErrorKind::NotFound`] if there is no such file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Replaces the content of a file, or creates the file.
    ///
    /// # Errors
    /// The error of the file system; the file may then hold a part of the bytes.
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Appends to a file, or creates the file.
    ///
    /// # Errors
    /// The error of the file system; a part of the bytes may have been appended.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Truncates a file to a length in bytes.
    ///
    /// # Errors
    /// The error of the file system.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Renames a file, replacing an existing one.
    ///
    /// # Errors
    /// The error of the file system; [`io::ErrorKind::NotFound`] if there is no such file.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file; a missing file is not an error.
    ///
    /// # Errors
    /// The error of the file system.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes renames and removals durable.
    ///
    /// # Errors
    /// The error of the file system.
    fn sync(&mut self) -> io::Result<()>;
}
