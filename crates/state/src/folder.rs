//! The ledger's folder on a disk.

use std::collections::HashMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::MetadataExt;
use std::path::PathBuf;

use valehatch_request_log::LogStorage;

/// A folder on a disk.
pub struct StateDirectory {
    dir: PathBuf,
    /// Files that are appended to.
    open: HashMap<String, File>,
    /// Held for as long as this lives.
    lock: File,
}

impl StateDirectory {
    /// Makes the folder if need be, and takes it for this process alone.
    ///
    /// # Errors
    /// What the system says, or that another process has it.
    pub fn take(dir: PathBuf) -> io::Result<Self> {
        fs::create_dir_all(&dir)?;
        let lock = Self::lock(&dir)?;
        Ok(Self {
            dir,
            open: HashMap::new(),
            lock,
        })
    }

    fn lock(dir: &std::path::Path) -> io::Result<File> {
        let lock = OpenOptions::new()
            .create(true)
            .write(true)
            .truncate(false)
            .open(dir.join("lock"))?;
        lock.try_lock()
            .map_err(|_| io::Error::other("another gateway uses the folder"))?;
        Ok(lock)
    }

    /// A file that was taken away, or whose folder was, goes on to take what is written: nobody would find it.
    fn still_there(&self, name: &str, file: &File) -> io::Result<()> {
        let (named, held) = (fs::metadata(self.dir.join(name))?, file.metadata()?);
        let same = (named.dev(), named.ino()) == (held.dev(), held.ino());
        if same {
            Ok(())
        } else {
            Err(io::Error::other(format!(
                "{name} is no longer the file that was open"
            )))
        }
    }
}

impl LogStorage for StateDirectory {
    fn list(&self) -> io::Result<Vec<String>> {
        let names = fs::read_dir(&self.dir)?
            .map(|e| e.map(|e| e.file_name().to_string_lossy().into_owned()));
        names.collect()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.dir.join(name))
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        if !self.dir.exists() {
            fs::create_dir_all(&self.dir)?;
            self.lock = Self::lock(&self.dir)?;
        }
        let mut file = File::create(self.dir.join(name))?;
        file.write_all(bytes)?;
        file.sync_all()
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        if !self.open.contains_key(name) {
            let file = OpenOptions::new()
                .create(true)
                .append(true)
                .open(self.dir.join(name))?;
            File::open(&self.dir)?.sync_all()?;
            self.open.insert(name.to_owned(), file);
        }
        let Some(file) = self.open.get(name) else {
            return Err(io::ErrorKind::NotFound.into());
        };
        let written = { file }.write_all(bytes).and_then(|()| file.sync_data());
        let written = written.and_then(|()| self.still_there(name, file));
        if written.is_err() {
            self.open.remove(name);
        }
        written
    }

    fn cut(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.open.remove(name);
        let file = OpenOptions::new().write(true).open(self.dir.join(name))?;
        file.set_len(length)?;
        file.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open.remove(from);
        self.open.remove(to);
        fs::rename(self.dir.join(from), self.dir.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open.remove(name);
        match fs::remove_file(self.dir.join(name)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }

    fn sync(&mut self) -> io::Result<()> {
        File::open(&self.dir)?.sync_all()
    }
}
