//! The files of the request log on a disk: [`LogStorage`] over a directory that one process has
//! locked.

use std::collections::HashMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

use valehatch_request_log::LogStorage;

/// A locked directory. Files that were append_files to stay open.
pub struct StateDirectory {
    path: PathBuf,
    append_files: HashMap<String, File>,
    /// Open lock file; the lock is held until it is dropped.
    lock: File,
}

impl StateDirectory {
    /// Creates the directory if it is missing, and locks it.
    ///
    /// # Errors
    /// Returns the file system's error, or an error if another process holds the lock.
    pub fn acquire(path: PathBuf) -> io::Result<Self> {
        fs::create_dir_all(&path)?;
        let lock = lock(&path)?;
        Ok(Self {
            path,
            append_files: HashMap::new(),
            lock,
        })
    }

    /// Fails if the name no longer refers to the open file.
    ///
    /// Writes to an open file succeed even after the file or its directory was removed, but the
    /// data can never be read: the counts would be published, then lost with the process. Comparing
    /// device and inode after each write detects this before the counts are published.
    fn check_name_refers_to(&self, name: &str, file: &File) -> io::Result<()> {
        let named = fs::metadata(self.path.join(name))?;
        let open = file.metadata()?;
        if (named.dev(), named.ino()) == (open.dev(), open.ino()) {
            return Ok(());
        }
        Err(io::Error::other(format!(
            "{name} is no longer the file that was open"
        )))
    }

    fn open_for_append(&self, name: &str) -> io::Result<File> {
        let file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.path.join(name))?;
        File::open(&self.path)?.sync_all()?;
        Ok(file)
    }

    fn append_and_sync(&self, name: &str, mut file: &File, bytes: &[u8]) -> io::Result<()> {
        file.write_all(bytes)?;
        file.sync_data()?;
        self.check_name_refers_to(name, file)
    }
}

fn lock(directory: &Path) -> io::Result<File> {
    let lock = OpenOptions::new()
        .create(true)
        .write(true)
        .truncate(false)
        .open(directory.join("lock"))?;
    lock.try_lock()
        .map_err(|_| io::Error::other("another gateway uses the folder"))?;
    Ok(lock)
}

impl LogStorage for StateDirectory {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = vec![];
        for entry in fs::read_dir(&self.path)? {
            names.push(entry?.file_name().to_string_lossy().into_owned());
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        if !self.path.exists() {
            fs::create_dir_all(&self.path)?;
            self.lock = lock(&self.path)?;
        }
        let mut file = File::create(self.path.join(name))?;
        file.write_all(bytes)?;
        file.sync_all()
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        if !self.append_files.contains_key(name) {
            let file = self.open_for_append(name)?;
            self.append_files.insert(name.to_owned(), file);
        }
        let Some(file) = self.append_files.get(name) else {
            return Err(io::ErrorKind::NotFound.into());
        };
        let written = self.append_and_sync(name, file, bytes);
        if written.is_err() {
            self.append_files.remove(name);
        }
        written
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.append_files.remove(name);
        let file = OpenOptions::new().write(true).open(self.path.join(name))?;
        file.set_len(length)?;
        file.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.append_files.remove(from);
        self.append_files.remove(to);
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.append_files.remove(name);
        match fs::remove_file(self.path.join(name)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }

    fn sync(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
